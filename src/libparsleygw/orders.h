#ifndef PGW_ORDERS_H
#define PGW_ORDERS_H

#include "parsleygw/permit.h"
#include "parsleygw/rollout.h"
#include "parsleygw/store.h"

/**
 * DOC: Carrying out orders to one engine
 *
 * A thread beside the engine compares what it runs with what its pool
 * declares, takes a permit, waits until no request runs there, sends the
 * order, watches it and releases the permit. What an earlier process of the
 * same upstream left unfinished is gone on with first.
 */

struct pgw_orders;

/**
 * enum pgw_orders_phase - progress, for status and the time line
 * @PGW_ORDERS_IDLE: the engine is as declared
 * @PGW_ORDERS_WAITING: waits for a permit, or for the store
 * @PGW_ORDERS_DRAINING: has one; requests end
 * @PGW_ORDERS_SENDING: the order is being sent
 * @PGW_ORDERS_LOADING: the engine carries it out
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
 * struct pgw_orders_state - for /status
 * @phase: progress
 * @fence: number of the order in progress, 0 without one
 * @order: the order in progress
 * @done: orders carried out
 * @refused: orders refused for an old number
 * @problem: why it waits; empty when it does not
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
 * @store: the store; must outlive this
 * @engine_url: the engine, "http://ip:port"
 * @scope: pool, name of the permit object
 * @target: upstream
 * @holder: this process: instance and incarnation
 * @hold: true: hand no new request to the engine; false: go on. Called on
 *   this module's thread
 * @is_idle: no request runs at the engine; called on this module's thread
 * @confirm: asks the store whether what is wanted is still what is declared;
 *   called on this module's thread before an order is begun and once more
 *   before it is sent. False, with an error set, gives the order up
 * @context: handed to both
 * @term_us: term of a permit
 * @poll_us: between two looks at the engine
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

/** pgw_orders_new() - start; does nothing before pgw_orders_set_desired() */
struct pgw_orders *pgw_orders_new(const struct pgw_orders_options *options);

/**
 * pgw_orders_free() - stop and wait for the thread
 *
 * An order in progress is left to the successor: the engine loads anyway.
 */
void pgw_orders_free(struct pgw_orders *orders);

/**
 * pgw_orders_set_desired() - what the configuration asks of the engine now
 * @orders: the orders
 * @wanted: copied
 * @limit: orders at once in the pool, from pgw_permit_limit()
 */
void pgw_orders_set_desired(struct pgw_orders *orders,
                            const struct pgw_rollout_desired *wanted,
                            unsigned limit);

/** pgw_orders_get_state() - any thread */
void pgw_orders_get_state(struct pgw_orders *orders,
                          struct pgw_orders_state *out);

#endif
