#ifndef PGW_ORDERS_H
#define PGW_ORDERS_H

#include "parsleygw/permit.h"
#include "parsleygw/rollout.h"
#include "parsleygw/store.h"

/**
 * DOC: Running orders at one engine
 *
 * A thread of the sidecar compares the engine's state with the state declared
 * for its pool, acquires a permit, waits until no request runs at the engine,
 * sends the order, polls the engine until the order is done, and releases the
 * permit. An unfinished order of an earlier process of the same upstream is
 * resumed first.
 */

struct pgw_orders;

/**
 * enum pgw_orders_phase - progress, for status and the event log
 * @PGW_ORDERS_IDLE: no order is in progress
 * @PGW_ORDERS_WAITING: waiting for a permit or for the store
 * @PGW_ORDERS_DRAINING: permit acquired; running requests are ending
 * @PGW_ORDERS_SENDING: the order is being sent
 * @PGW_ORDERS_LOADING: the engine runs the order
 */
enum pgw_orders_phase {
    PGW_ORDERS_IDLE,
    PGW_ORDERS_WAITING,
    PGW_ORDERS_DRAINING,
    PGW_ORDERS_SENDING,
    PGW_ORDERS_LOADING,
};

/** pgw_orders_phase_name() - "idle", "waiting", "draining" .. */
const char *pgw_orders_phase_name(enum pgw_orders_phase phase);

/**
 * struct pgw_orders_state - state for /status
 * @phase: progress
 * @fence: fencing number of the order in progress, 0 without an order
 * @order: the order in progress
 * @done: number of completed orders
 * @refused: number of orders refused for an outdated fencing number
 * @problem: message of the last error, empty when there is none
 */
struct pgw_orders_state {
    enum pgw_orders_phase phase;
    uint64_t fence;
    struct pgw_permit_order order;
    uint64_t done;
    uint64_t refused;
    char problem[160];
};

/**
 * struct pgw_orders_options - one engine
 * @store: the store; must outlive the &struct pgw_orders
 * @engine_url: the engine, "http://ip:port"
 * @scope: name of the permit object: the pool's name
 * @target: upstream whose engine receives the orders
 * @holder: this process: instance and incarnation
 * @hold: true: send no new request to the engine; false: resume. Called on
 *   this module's thread
 * @is_idle: whether no request runs at the engine; called on this module's
 *   thread
 * @confirm: reads the store to check that the desired state is still the
 *   declared one; called on this module's thread before an order begins and
 *   again before it is sent. False, with an error set, abandons the order
 * @context: passed to the functions above
 * @term_us: term of a permit's lease
 * @poll_us: interval of polls of the engine
 */
struct pgw_orders_options {
    struct pgw_store *store;
    const char *engine_url;
    const char *scope;
    const char *target;
    const char *holder;
    void (*hold)(void *context, bool hold);
    bool (*is_idle)(void *context);
    bool (*confirm)(void *context, GError **error);
    void *context;
    uint64_t term_us;
    uint64_t poll_us;
};

#define PGW_ORDERS_OPTIONS_INIT                                               \
    {                                                                         \
        .term_us = 15000000, .poll_us = 500000                                \
    }

/** pgw_orders_new() - start the thread; it only resumes an earlier process's
 * order until pgw_orders_set_desired() */
struct pgw_orders *pgw_orders_new(const struct pgw_orders_options *options);

/**
 * pgw_orders_free() - stop and join the thread
 *
 * An order in progress is left to the successor: the engine continues loading.
 */
void pgw_orders_free(struct pgw_orders *orders);

/**
 * pgw_orders_set_desired() - set the engine's desired state
 * @orders: the orders
 * @desired: desired state; copied
 * @limit: maximum of concurrent orders in the pool, from pgw_permit_limit()
 */
void pgw_orders_set_desired(struct pgw_orders *orders,
                            const struct pgw_rollout_desired *desired,
                            unsigned limit);

/** pgw_orders_get_state() - copy the state; may be called on any thread */
void pgw_orders_get_state(struct pgw_orders *orders,
                          struct pgw_orders_state *out);

#endif
