#ifndef PGW_GATEWAY_LEASE_H
#define PGW_GATEWAY_LEASE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * DOC: A lease in the platform's store
 *
 * One object names its holder; who wants it writes it under the condition that
 * it is as it was last read. The holder may act until a fixed time after it
 * *asked* for its last acknowledged write; others take over once the object
 * has stood still for that time and a pause more, by their own clocks. So no
 * two ever act within the pause, whatever is lost, late or paused.
 *
 * A pure machine: what is known goes in with the time, what to do next comes
 * out. The time must go on while the machine is suspended (CLOCK_BOOTTIME):
 * one that wakes must not believe that it still holds what others took over.
 */

/**
 * struct pgw_lease_options - times
 * @term_us: how long a holder may act after it asked for a write
 * @pause_us: between the acts of one holder and those of the next; at least
 *   the deployment's bound on orders by turns
 * @renew_us: from one write to the next
 * @poll_us: between two looks at a lease that another one holds
 * @retry_us: after a call that failed
 */
struct pgw_lease_options {
    uint64_t term_us;
    uint64_t pause_us;
    uint64_t renew_us;
    uint64_t poll_us;
    uint64_t retry_us;
};

/* Two seconds bear a call of 1.7 s that is given up and one more. The pause is
 * the deployments' three seconds and a half more for what is on its way. */
#define PGW_LEASE_OPTIONS_INIT                                                \
    {                                                                         \
        .term_us = 2000000, .pause_us = 3500000, .renew_us = 700000,          \
        .poll_us = 1000000, .retry_us = 300000                                \
    }

/**
 * enum pgw_lease_step - what to do now
 * @PGW_LEASE_IDLE: nothing
 * @PGW_LEASE_READ: read the object
 * @PGW_LEASE_CREATE: make it, naming this holder
 * @PGW_LEASE_REPLACE: write it, if it still has @revision
 */
enum pgw_lease_step {
    PGW_LEASE_IDLE,
    PGW_LEASE_READ,
    PGW_LEASE_CREATE,
    PGW_LEASE_REPLACE,
};

/**
 * enum pgw_lease_result - how a call ended
 * @PGW_LEASE_DONE: it was done
 * @PGW_LEASE_ABSENT: there is no such object
 * @PGW_LEASE_CONFLICT: the condition did not hold
 * @PGW_LEASE_FAILED: no answer, or a refusal; a write may have been done
 */
enum pgw_lease_result {
    PGW_LEASE_DONE,
    PGW_LEASE_ABSENT,
    PGW_LEASE_CONFLICT,
    PGW_LEASE_FAILED,
};

/**
 * struct pgw_lease - state of one process
 * @wanted: it has something to do under the lease
 * @known: the object was read, and nothing has failed since
 * @exists: there is one
 * @mine: it names this process
 * @revision: of the object
 * @seen_us: since when it has that revision
 * @writes: number of own writes; each names its own, so that it can be told
 *   apart
 * @asking: a call is on its way
 * @asked_us: since when
 * @until_us: this process may act until then
 * @next_us: no call before
 */
struct pgw_lease {
    struct pgw_lease_options options;
    bool wanted;
    bool known;
    bool exists;
    bool mine;
    uint64_t revision;
    uint64_t seen_us;
    uint64_t writes;
    bool asking;
    uint64_t asked_us;
    uint64_t until_us;
    uint64_t next_us;
};

void pgw_lease_init(struct pgw_lease *lease,
                    const struct pgw_lease_options *options);

/** pgw_lease_set_wanted() - whether there is something to do under the lease
 */
void pgw_lease_set_wanted(struct pgw_lease *lease, bool wanted);

/** pgw_lease_step() - what to do now; a call that it names must be ended with
 * one of the functions below */
enum pgw_lease_step pgw_lease_step(struct pgw_lease *lease, uint64_t now_us);

/**
 * pgw_lease_finish_read() - the end of a read
 * @lease: the state
 * @result: %PGW_LEASE_DONE, _ABSENT or _FAILED
 * @mine: it names this process
 * @writes: number that it names, where @mine
 * @revision: of the object
 * @now_us: the time
 */
void pgw_lease_finish_read(struct pgw_lease *lease,
                           enum pgw_lease_result result, bool mine,
                           uint64_t writes, uint64_t revision,
                           uint64_t now_us);

/** pgw_lease_finish_write() - the end of a write; @revision where it was done
 */
void pgw_lease_finish_write(struct pgw_lease *lease,
                            enum pgw_lease_result result, uint64_t revision,
                            uint64_t now_us);

/** pgw_lease_holds() - this process may act */
bool pgw_lease_holds(const struct pgw_lease *lease, uint64_t now_us);

G_END_DECLS

#endif
