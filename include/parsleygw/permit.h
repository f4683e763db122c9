#ifndef PARSLEYGW_PERMIT_H
#define PARSLEYGW_PERMIT_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "parsleygw/store.h"

G_BEGIN_DECLS

/**
 * DOC: Permits for orders to engines, with fencing tokens
 *
 * One store object per pool (kind %PGW_PERMIT_KIND) lists the orders in
 * progress, at most the declared number of weight loads at once. Every step
 * of an order is one conditional write: the permit is granted, started,
 * renewed while the order runs, and released. An order is sent to the engine
 * only after its start was written, so exactly one of a reclaim and a start
 * takes effect, however long either side was paused before its write.
 *
 * A grant's fencing token is a number (below: fencing number): the version
 * that its write replaced, plus one. Versions come from the store's one
 * counter, so fencing numbers only grow, even when the object is deleted and
 * recreated. A holder that was paused after its start and was replaced has a
 * smaller number than its successor: the engine refuses the order if it checks
 * the number, otherwise the sidecar does, see &struct pgw_permit_fencing.
 *
 * A lease counts as lapsed when an observer has seen its heartbeat counter
 * unchanged for a whole term by the observer's own clock; clocks of different
 * machines are never compared. Correctness does not depend on this: a lapse
 * that is detected too early costs a repeated order under a higher number.
 */

#define PGW_PERMIT_KIND "permit"
#define PGW_PERMIT_NAME_MAX 128
#define PGW_PERMIT_TEXT_MAX 256

/**
 * struct pgw_permit_order - a command to an engine (POST /orders)
 * @kind: "load_version", "load_model", "load_adapter" or "set_role"
 */
struct pgw_permit_order {
    char kind[32];
    char model[PGW_PERMIT_TEXT_MAX + 1];
    char version[PGW_PERMIT_TEXT_MAX + 1];
    char adapter[PGW_PERMIT_TEXT_MAX + 1];
    char role[32];
};

/**
 * enum pgw_permit_phase - progress of an order
 * @PGW_PERMIT_GRANTED: may be started; not sent to the engine
 * @PGW_PERMIT_STARTED: may have been sent to the engine
 */
enum pgw_permit_phase {
    PGW_PERMIT_GRANTED,
    PGW_PERMIT_STARTED,
};

/**
 * struct pgw_permit_slot - one order in progress
 * @target: upstream whose engine the order is for
 * @holder: process that runs the order, with its incarnation ("u1:90ab")
 * @fence: fencing number
 * @beat: heartbeat counter, incremented by each renewal
 * @phase: see &enum pgw_permit_phase
 * @order: the order, stored so that a successor can resume it
 */
struct pgw_permit_slot {
    char target[PGW_PERMIT_NAME_MAX + 1];
    char holder[PGW_PERMIT_NAME_MAX + 1];
    uint64_t fence;
    uint64_t beat;
    enum pgw_permit_phase phase;
    struct pgw_permit_order order;
};

#define PGW_PERMIT_SLOTS_MAX 64

/**
 * struct pgw_permit_table - the permit object as read
 * @version: version in the store; 0: the object does not exist
 * @slots: orders in progress
 * @n: number of @slots
 */
struct pgw_permit_table {
    uint64_t version;
    struct pgw_permit_slot slots[PGW_PERMIT_SLOTS_MAX];
    size_t n;
};

/**
 * pgw_permit_table_parse() - parse a permit object
 * @out: receives the table
 * @version: version of the object
 * @value: JSON text of the object
 * @error: %PGW_ERROR_INVALID
 */
bool pgw_permit_table_parse(struct pgw_permit_table *out, uint64_t version,
                            const char *value, GError **error);

/**
 * pgw_permit_table_format() - format a table as JSON
 * @table: the table
 * @nonce: identity of this write, see pgw_store_put_confirmed()
 *
 * Return: text to release with g_free().
 */
char *pgw_permit_table_format(const struct pgw_permit_table *table,
                              const char *nonce);

/** pgw_permit_table_find() - find the order for a target; NULL: none */
const struct pgw_permit_slot *
pgw_permit_table_find(const struct pgw_permit_table *table,
                      const char *target);

/**
 * struct pgw_permit_observer - time since which each lease is unchanged
 * @seen: leases of the last table observed, with the time of their last change
 * @n: number of @seen
 *
 * A zeroed struct is an observer that has observed no table.
 */
struct pgw_permit_observer {
    struct {
        char target[PGW_PERMIT_NAME_MAX + 1];
        uint64_t fence;
        uint64_t beat;
        uint64_t since_us;
    } seen[PGW_PERMIT_SLOTS_MAX];
    size_t n;
};

/**
 * pgw_permit_observe() - update an observer with a table that was just read
 * @observer: the observer
 * @table: the table
 * @now_us: time before the read was sent
 */
void pgw_permit_observe(struct pgw_permit_observer *observer,
                        const struct pgw_permit_table *table, uint64_t now_us);

/** pgw_permit_has_lapsed() - whether a lease was unchanged for a whole term
 * before @now_us */
bool pgw_permit_has_lapsed(const struct pgw_permit_observer *observer,
                           const struct pgw_permit_slot *slot, uint64_t now_us,
                           uint64_t term_us);

/**
 * enum pgw_permit_step - step of an order, one write each
 * @PGW_PERMIT_ACQUIRE: get a grant for a target, or take over its order
 * @PGW_PERMIT_START: the order is about to be sent
 * @PGW_PERMIT_RENEW: the order is still in progress
 * @PGW_PERMIT_RELEASE: the order is done, or was abandoned before its start
 *
 * A process that resumes a started order resends it under its own number
 * before it releases the permit, even if the engine already shows the order's
 * effect: only an order that arrived makes the engine, or the sidecar's
 * fencing, refuse the smaller number of an earlier holder that continues after
 * a pause.
 */
enum pgw_permit_step {
    PGW_PERMIT_ACQUIRE,
    PGW_PERMIT_START,
    PGW_PERMIT_RENEW,
    PGW_PERMIT_RELEASE,
};

/**
 * struct pgw_permit_request - one step of one order
 * @step: see &enum pgw_permit_step
 * @holder: this process
 * @target: upstream whose engine the order is for
 * @fence: fencing number of the grant; ignored by acquire
 * @order: for acquire, the order; for renew, an order that replaces it, or
 * NULL
 * @limit: maximum of concurrent orders, from pgw_permit_limit(); acquire only
 * @is_gone: whether a target no longer exists according to membership, so that
 *   no process will ever resume its started order; NULL: all targets exist
 * @data: passed to @is_gone
 */
struct pgw_permit_request {
    enum pgw_permit_step step;
    const char *holder;
    const char *target;
    uint64_t fence;
    const struct pgw_permit_order *order;
    unsigned limit;
    bool (*is_gone)(void *data, const char *target);
    void *data;
};

/**
 * pgw_permit_decide() - compute the write for a step
 * @table: the table as read; receives the table to write
 * @write: receives whether a write is needed
 * @slot: receives the order after the step, with its number and phase; not set
 *   by release
 * @request: the step
 * @observer: has observed @table
 * @now_us: time
 * @term_us: term of a lease
 * @error: %PGW_ERROR_OVERLOADED: all permits are in use;
 *   %PGW_ERROR_CONFLICT: another process runs an order for the target;
 *   %PGW_ERROR_STALE: the grant was reclaimed: do not send the order
 *
 * Does no I/O. Acquire reclaims grants that lapsed before their start. A
 * lapsed order that was started may still be loading: it keeps its permit
 * until a process resumes it (acquire for the same target, which assigns a
 * higher number) or its target is gone.
 */
bool pgw_permit_decide(struct pgw_permit_table *table, bool *write,
                       struct pgw_permit_slot *slot,
                       const struct pgw_permit_request *request,
                       const struct pgw_permit_observer *observer,
                       uint64_t now_us, uint64_t term_us, GError **error);

/**
 * pgw_permit_limit() - maximum of concurrent orders in a pool
 * @load_permits: number declared for the pool
 * @usable: usable upstreams of the pool, including those with an order
 *
 * Return: @load_permits, limited so that at least one upstream serves requests
 * during a rollout; 1 for a pool of one.
 */
unsigned pgw_permit_limit(unsigned load_permits, size_t usable);

/**
 * struct pgw_permit_fencing - highest fencing number sent to an engine
 * @high_water: smaller numbers are refused; initialize with the number in the
 *   engine's status or in the permit object
 *
 * Every order is checked here before it is sent, since some engines ignore
 * fencing numbers and others lose the highest number in a crash.
 */
struct pgw_permit_fencing {
    uint64_t high_water;
};

/**
 * pgw_permit_fencing_admit() - check whether an order may be sent to the
 * engine
 * @fencing: highest number so far; updated
 * @fence: fencing number of the order
 * @error: %PGW_ERROR_STALE
 *
 * An equal number is accepted: the same order is resent.
 */
bool pgw_permit_fencing_admit(struct pgw_permit_fencing *fencing,
                              uint64_t fence, GError **error);

/**
 * pgw_permit_run_step() - run one step: read, decide, write; retry on conflict
 * @slot: as for pgw_permit_decide()
 * @store: the store
 * @scope: name of the permit object: the pool's name
 * @request: the step
 * @observer: this process's observer of @scope
 * @term_us: term of a lease
 * @deadline_us: end of retries, by g_get_monotonic_time()
 * @error: as for pgw_permit_decide() and the store's calls
 *
 * Steps are idempotent: a step with an unknown outcome can be run again.
 */
bool pgw_permit_run_step(struct pgw_permit_slot *slot, struct pgw_store *store,
                         const char *scope,
                         const struct pgw_permit_request *request,
                         struct pgw_permit_observer *observer,
                         uint64_t term_us, uint64_t deadline_us,
                         GError **error);

G_END_DECLS

#endif
