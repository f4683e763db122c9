#ifndef PGW_GATEWAY_SIDECAR_LEASE_H
#define PGW_GATEWAY_SIDECAR_LEASE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * DOC: A lease in the platform's store
 *
 * One object in the store names the holder. A process acquires or renews the
 * lease with a conditional write, which fails if the object has changed since
 * it was last read. The holder may act for a fixed term, counted from when it
 * *sent* its last acknowledged write. Another process takes over once the
 * object has not changed for the term and a pause, by its own clock. So the
 * acts of two holders are always at least the pause apart, even if messages
 * are lost or delayed or processes are paused.
 *
 * A store that is restored from a backup has lost writes, and a lease with
 * them. So a process that does not hold the lease acquires it no sooner than
 * the term and the pause after it has noticed that.
 *
 * A pure state machine: events and the time go in, the next step comes out.
 * The time must include suspend (CLOCK_BOOTTIME): a process that resumes must
 * not act under a lease that has expired meanwhile.
 */

/**
 * struct pgw_lease_options - times
 * @term_us: how long a holder may act after it sent a write
 * @pause_us: shortest time between the acts of two holders; at least the
 *   deployment's bound on the time between orders of different holders
 * @renew_us: interval at which the holder renews the lease
 * @poll_us: interval at which others read a lease that they don't hold
 * @retry_us: delay after a failed call
 */
struct pgw_lease_options {
    uint64_t term_us;
    uint64_t pause_us;
    uint64_t renew_us;
    uint64_t poll_us;
    uint64_t retry_us;
};

/* A term of two seconds survives a call that times out after 1.7 s and one
 * more. The pause is the deployments' bound of three seconds plus half a
 * second for messages in flight. */
#define PGW_LEASE_OPTIONS_INIT                                                \
    {                                                                         \
        .term_us = 2000000, .pause_us = 3500000, .renew_us = 700000,          \
        .poll_us = 1000000, .retry_us = 300000                                \
    }

/**
 * enum pgw_lease_step - what to do now
 * @PGW_LEASE_IDLE: nothing
 * @PGW_LEASE_READ: read the object
 * @PGW_LEASE_CREATE: create the object with this process as the holder
 * @PGW_LEASE_REPLACE: write this process as the holder if the object still has
 *   &pgw_lease.revision
 */
enum pgw_lease_step {
    PGW_LEASE_IDLE,
    PGW_LEASE_READ,
    PGW_LEASE_CREATE,
    PGW_LEASE_REPLACE,
};

/**
 * enum pgw_lease_result - result of a call to the store
 * @PGW_LEASE_DONE: the read or write succeeded
 * @PGW_LEASE_ABSENT: the object does not exist
 * @PGW_LEASE_CONFLICT: the condition of the write did not hold
 * @PGW_LEASE_FAILED: no answer or an error; a write may have taken effect
 */
enum pgw_lease_result {
    PGW_LEASE_DONE,
    PGW_LEASE_ABSENT,
    PGW_LEASE_CONFLICT,
    PGW_LEASE_FAILED,
};

/**
 * struct pgw_lease_answer - the store's answer to a call
 * @result: %PGW_LEASE_DONE, _ABSENT or _FAILED for a read, _DONE, _CONFLICT or
 *   _FAILED for a write
 * @names_self: of a read: the object names this process as its holder
 * @write_number: of a read: number of the write in the object, if @names_self
 * @revision: revision of the object, with %PGW_LEASE_DONE only
 * @restored_us: when this process noticed that the store was restored, 0: it
 *   was not. A write that crosses a restore is a conflict
 */
struct pgw_lease_answer {
    enum pgw_lease_result result;
    bool names_self;
    uint64_t write_number;
    uint64_t revision;
    uint64_t restored_us;
};

/**
 * struct pgw_lease - lease state of one process
 * @options: times
 * @wanted: the process has something to do under the lease
 * @state_known: the object was read, and every write since has succeeded
 * @exists: the object exists
 * @names_self: the object names this process as its holder
 * @revision: revision of the object
 * @revision_seen_us: when this process first saw that revision
 * @write_count: number of writes of this process; each write carries its
 *   number, which identifies it in a later read
 * @call_in_flight: a call has not ended yet
 * @write_sent_us: when the last write was sent
 * @valid_until_us: end of the term in which this process may act
 * @own_revision: revision of the last write of this process that is known to
 *   have taken effect
 * @restored_us: when the process noticed that the store was restored, 0: it
 *   was not
 * @next_call_us: no call is made before this time
 */
struct pgw_lease {
    struct pgw_lease_options options;
    bool wanted;
    bool state_known;
    bool exists;
    bool names_self;
    uint64_t revision;
    uint64_t revision_seen_us;
    uint64_t write_count;
    bool call_in_flight;
    uint64_t write_sent_us;
    uint64_t valid_until_us;
    uint64_t own_revision;
    uint64_t restored_us;
    uint64_t next_call_us;
};

void pgw_lease_init(struct pgw_lease *lease,
                    const struct pgw_lease_options *options);

/** pgw_lease_set_wanted() - set whether the process has something to do under
 * the lease */
void pgw_lease_set_wanted(struct pgw_lease *lease, bool wanted);

/** pgw_lease_step() - return what to do now; the end of a returned call must
 * be reported with pgw_lease_finish_read() or pgw_lease_finish_write() */
enum pgw_lease_step pgw_lease_step(struct pgw_lease *lease, uint64_t now_us);

/** pgw_lease_finish_read() - report the answer to a read */
void pgw_lease_finish_read(struct pgw_lease *lease,
                           const struct pgw_lease_answer *answer,
                           uint64_t now_us);

/** pgw_lease_finish_write() - report the answer to a write */
void pgw_lease_finish_write(struct pgw_lease *lease,
                            const struct pgw_lease_answer *answer,
                            uint64_t now_us);

/** pgw_lease_holds() - whether this process holds the lease and may act */
bool pgw_lease_holds(const struct pgw_lease *lease, uint64_t now_us);

G_END_DECLS

#endif
