#ifndef PARSLEYGW_PERMIT_H
#define PARSLEYGW_PERMIT_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "parsleygw/store.h"

G_BEGIN_DECLS

/**
 * DOC: Permits for orders to engines, with fencing numbers
 *
 * One store object a pool (kind %PGW_PERMIT_KIND) lists the orders in
 * progress, at most the declared number of weight loads at once. Every step
 * of an order is one conditional write: it is granted, started, renewed while
 * it runs, released. An order reaches the engine only after its start was
 * written, so that of a reclaim and a start exactly one takes effect, however
 * long either side was paused before its write.
 *
 * A grant's fencing number is the version that its write replaced, plus one.
 * Versions come from the store's one counter, so numbers only grow, also
 * over a deleted and recreated object. A holder that was paused after its
 * start and was replaced carries a smaller number than its successor: the
 * engine refuses it if it checks, otherwise the sidecar's gate does.
 *
 * A lease is taken to have lapsed when an observer saw its beat unchanged for
 * a whole term by the observer's own clock: clocks are never compared.
 * Correctness does not rest on it: a lapse too early costs a repeated order
 * under a higher number.
 */

#define PGW_PERMIT_KIND "permit"
#define PGW_PERMIT_NAME_MAX 128
#define PGW_PERMIT_TEXT_MAX 256

/**
 * struct pgw_permit_order - what the engine is to do (POST /orders)
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
 * @PGW_PERMIT_GRANTED: may be started; the engine has not heard of it
 * @PGW_PERMIT_STARTED: the engine may have been told
 */
enum pgw_permit_phase {
    PGW_PERMIT_GRANTED,
    PGW_PERMIT_STARTED,
};

/**
 * struct pgw_permit_slot - one order in progress
 * @target: upstream whose engine it is for
 * @holder: process that carries it out, with its incarnation ("u1:90ab")
 * @fence: fencing number
 * @beat: grows while the holder lives
 * @phase: see &enum pgw_permit_phase
 * @order: the order, kept so that a successor can go on with it
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
 * @version: its version in the store; 0: it does not exist
 * @slots: orders in progress
 * @n: number of @slots
 */
struct pgw_permit_table {
    uint64_t version;
    struct pgw_permit_slot slots[PGW_PERMIT_SLOTS_MAX];
    size_t n;
};

/**
 * pgw_permit_table_parse() - read a permit object
 * @out: receives the table
 * @version: version of the object
 * @value: its JSON text
 * @error: %PGW_ERROR_INVALID
 */
bool pgw_permit_table_parse(struct pgw_permit_table *out, uint64_t version,
                            const char *value, GError **error);

/**
 * pgw_permit_table_format() - JSON text of a table
 * @table: the table
 * @nonce: identity of this write, see pgw_store_put_confirmed()
 *
 * Return: text to release with g_free().
 */
char *pgw_permit_table_format(const struct pgw_permit_table *table,
                              const char *nonce);

/** pgw_permit_table_find() - the order for a target; NULL: none */
const struct pgw_permit_slot *
pgw_permit_table_find(const struct pgw_permit_table *table,
                      const char *target);

/**
 * struct pgw_permit_observer - since when each lease has been unchanged
 *
 * Zeroed is an observer that has seen nothing.
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
 * pgw_permit_observe() - note a table that was just read
 * @observer: the observer
 * @table: the table
 * @now_us: time before the read was sent
 */
void pgw_permit_observe(struct pgw_permit_observer *observer,
                        const struct pgw_permit_table *table, uint64_t now_us);

/** pgw_permit_has_lapsed() - unchanged for a whole term before @now_us? */
bool pgw_permit_has_lapsed(const struct pgw_permit_observer *observer,
                           const struct pgw_permit_slot *slot, uint64_t now_us,
                           uint64_t term_us);

/**
 * enum pgw_permit_step - what a process wants to write
 * @PGW_PERMIT_ACQUIRE: get a grant for a target, or go on with its order
 * @PGW_PERMIT_START: the order is about to be sent
 * @PGW_PERMIT_RENEW: still at it
 * @PGW_PERMIT_RELEASE: done, or given up before its start
 *
 * Whoever goes on with a started order sends it again under the own number
 * before releasing it, also when the engine shows that nothing is left to do:
 * only an order that arrived makes the engine or its gate refuse the older
 * number of a holder that wakes up later.
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
 * @fence: number of the grant; ignored by acquire
 * @order: the order, for acquire; for renew another one that takes the place
 *   of the first, or NULL
 * @limit: orders at once, from pgw_permit_limit(); acquire only
 * @is_gone: the target does not exist any more (membership says so), so that
 *   nobody will ever go on with its started order; NULL: none is
 * @data: handed to @is_gone
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
 * pgw_permit_decide() - what to write for a step
 * @table: the table as read; receives what is to be written
 * @write: receives whether anything is to be written
 * @slot: receives the order as it stands after the step: its number, phase
 *   and what was ordered; not set by release
 * @request: the step
 * @observer: has observed @table
 * @now_us: time
 * @term_us: term of a lease
 * @error: %PGW_ERROR_OVERLOADED: all permits are in use;
 *   %PGW_ERROR_CONFLICT: another process carries out an order for the target;
 *   %PGW_ERROR_STALE: the grant was reclaimed: do not send the order
 *
 * Pure. Acquire reclaims grants that lapsed before their start. A lapsed
 * order that was started still loads the engine perhaps: it keeps its permit
 * until a process goes on with it (acquire for the same target, which gives
 * it a higher number) or its target is gone.
 */
bool pgw_permit_decide(struct pgw_permit_table *table, bool *write,
                       struct pgw_permit_slot *slot,
                       const struct pgw_permit_request *request,
                       const struct pgw_permit_observer *observer,
                       uint64_t now_us, uint64_t term_us, GError **error);

/**
 * pgw_permit_limit() - orders that may run at once
 * @load_permits: the pool's declared number
 * @usable: usable upstreams of the pool, those with an order included
 *
 * Return: @load_permits, but so that at least one upstream goes on serving
 * during a rollout; 1 for a pool of one.
 */
unsigned pgw_permit_limit(unsigned load_permits, size_t usable);

/**
 * struct pgw_permit_gate - highest number that went to an engine
 * @high_water: refuses all below; start with the number that the engine's
 *   status or the permit object names
 *
 * Stands in for engines that ignore fencing numbers, and for those that check
 * but forget the number in a crash: every order passes it.
 */
struct pgw_permit_gate {
    uint64_t high_water;
};

/**
 * pgw_permit_gate_admit() - may an order with this number go to the engine?
 * @gate: the gate
 * @fence: the order's number
 * @error: %PGW_ERROR_STALE
 *
 * An equal number is the same order repeated.
 */
bool pgw_permit_gate_admit(struct pgw_permit_gate *gate, uint64_t fence,
                           GError **error);

/**
 * pgw_permit_run() - read, decide, write; again after a lost race
 * @slot: as for pgw_permit_decide()
 * @store: the store
 * @scope: name of the permit object, the pool's name
 * @request: the step
 * @observer: this process's observer of @scope
 * @term_us: term of a lease
 * @deadline_us: time to give up, in g_get_monotonic_time()
 * @error: as pgw_permit_decide() and the store's calls
 *
 * Steps are idempotent: one whose outcome stayed unknown is simply run again.
 */
bool pgw_permit_run(struct pgw_permit_slot *slot, struct pgw_store *store,
                    const char *scope,
                    const struct pgw_permit_request *request,
                    struct pgw_permit_observer *observer, uint64_t term_us,
                    uint64_t deadline_us, GError **error);

G_END_DECLS

#endif
