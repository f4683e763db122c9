#ifndef PGW_GATEWAY_WEIGHTS_ORDER_H
#define PGW_GATEWAY_WEIGHTS_ORDER_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: When an engine is ordered to load new weights
 *
 * A pure machine: what is known goes in with the clock, what to do next comes
 * out. It gives one order at a time, waits for its turn, and settles an order
 * whose answer was lost by what the engine reports.
 */

/**
 * struct pgw_weights_order_options - times
 * @announce_us: from telling the entries to giving the order, so that nothing
 *   more is sent to an engine that is about to refuse it
 * @drain_us: how much longer the order waits at most for the engine's queue to
 *   be empty: an engine refuses what waits there when it is given the order.
 *   300 ms: refusals on six days of two deployments 1,831 to 1,469; 600 ms: no
 *   better for callers, and each load begins later
 * @again_us: after a refusal or a lost answer, before the next try
 * @settle_us: an order without an answer may be carried out so much later;
 *   meanwhile the engine's count of accepted orders keeps a second one apart
 * @token_again_us: pause after no fencing token could be had
 * @report_lag_us: how old a report may be; one that comes sooner after an
 *   order says nothing of it. An engine reports to its own machine without lag
 */
struct pgw_weights_order_options {
    uint64_t announce_us;
    uint64_t drain_us;
    uint64_t again_us;
    uint64_t settle_us;
    uint64_t token_again_us;
    uint64_t report_lag_us;
};

#define PGW_WEIGHTS_ORDER_OPTIONS_INIT                                        \
    {                                                                         \
        .announce_us = 15000, .drain_us = 300000, .again_us = 150000,         \
        .settle_us = 600000, .token_again_us = 300000                         \
    }

/**
 * enum pgw_weights_order_step - what to do now
 * @PGW_WEIGHTS_WAIT: nothing, until @next_us
 * @PGW_WEIGHTS_REQUEST_TOKEN: ask for a fencing token
 * @PGW_WEIGHTS_ANNOUNCE_LOADING: tell entries that the engine is about to load
 * @PGW_WEIGHTS_SEND_ORDER: give the order
 * @PGW_WEIGHTS_ANNOUNCE_AVAILABLE: tell entries that the engine takes requests
 * again
 */
enum pgw_weights_order_step {
    PGW_WEIGHTS_WAIT,
    PGW_WEIGHTS_REQUEST_TOKEN,
    PGW_WEIGHTS_ANNOUNCE_LOADING,
    PGW_WEIGHTS_SEND_ORDER,
    PGW_WEIGHTS_ANNOUNCE_AVAILABLE,
};

/**
 * struct pgw_weights_order - state for one model of one engine
 * @wanted: version that it is to run
 * @running: version that it reports
 * @due_us: when its turn comes
 * @announced: entries were told that it loads
 * @announced_us: when
 * @queued: requests that wait at the engine
 * @asked_token: a token is on its way
 * @token: fencing token, 0 without one
 * @sent: an order is on its way or its answer is unknown
 * @accepted: the engine said that it carries it out
 * @not_before_us: pause after a refusal
 * @next_us: when to step again at the latest, 0: on news only
 */
struct pgw_weights_order {
    struct pgw_weights_order_options options;
    uint64_t wanted;
    uint64_t running;
    uint64_t due_us;
    bool announced;
    uint64_t announced_us;
    uint32_t queued;
    bool asked_token;
    uint64_t token;
    bool sent;
    bool accepted;
    uint64_t sent_us;
    uint64_t not_before_us;
    uint64_t next_us;
};

void pgw_weights_order_init(struct pgw_weights_order *order,
                            const struct pgw_weights_order_options *options);

/**
 * pgw_weights_order_set_target() - a version was named, or its turn has come
 * @order: the state
 * @version: older ones are ignored
 * @start_in_us: when to begin at the latest; the soonest that was said holds
 * @now_us: monotonic time
 */
void pgw_weights_order_set_target(struct pgw_weights_order *order,
                                  uint64_t version, uint64_t start_in_us,
                                  uint64_t now_us);

/**
 * pgw_weights_order_apply_report() - the engine's word
 * @order: the state
 * @version: weights that it runs
 * @busy: it is busy with an order
 * @queued: requests that wait for a place there
 * @now_us: monotonic time
 */
void pgw_weights_order_apply_report(struct pgw_weights_order *order,
                                    uint64_t version, bool busy,
                                    uint32_t queued, uint64_t now_us);

/** pgw_weights_order_handle_restart() - the engine has started anew: an order
 * that was on its way went to the process before */
void pgw_weights_order_handle_restart(struct pgw_weights_order *order);

/** pgw_weights_order_set_token() - a fencing token, 0: none to be had */
void pgw_weights_order_set_token(struct pgw_weights_order *order,
                                 uint64_t token, uint64_t now_us);

/** pgw_weights_order_mark_sent() - the order is on its way */
void pgw_weights_order_mark_sent(struct pgw_weights_order *order,
                                 uint64_t now_us);

/**
 * enum pgw_order_answer - the engine's answer to an order
 * @PGW_ORDER_ACCEPTED: it carries it out, or the order already holds
 * @PGW_ORDER_BUSY: another order is on its way, or the count differs
 * @PGW_ORDER_FENCED: the token is lower than one that it has seen
 * @PGW_ORDER_WRONG_INSTANCE: another incarnation has the address
 * @PGW_ORDER_REFUSED: it takes no such order
 * @PGW_ORDER_LOST: no answer came
 */
enum pgw_order_answer {
    PGW_ORDER_ACCEPTED,
    PGW_ORDER_BUSY,
    PGW_ORDER_FENCED,
    PGW_ORDER_WRONG_INSTANCE,
    PGW_ORDER_REFUSED,
    PGW_ORDER_LOST,
};

/** pgw_weights_order_handle_answer() - what became of the order */
void pgw_weights_order_handle_answer(struct pgw_weights_order *order,
                                     enum pgw_order_answer answer,
                                     uint64_t now_us);

/** pgw_weights_order_step() - what to do now; ask again until it rests */
enum pgw_weights_order_step
pgw_weights_order_step(struct pgw_weights_order *order, uint64_t now_us);

#endif
