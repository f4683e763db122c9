#ifndef PGW_GATEWAY_SIDECAR_WEIGHTS_ORDER_H
#define PGW_GATEWAY_SIDECAR_WEIGHTS_ORDER_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: When an engine is ordered to load new weights
 *
 * A state machine without I/O: the caller passes in events and the clock and
 * carries out the step that comes out. At most one order is in flight. An
 * order whose answer was lost is resolved from the engine's reports.
 */

/**
 * struct pgw_weights_order_options - times
 * @announce_lead_us: delay between announcing the load to the entries and
 *   sending the order, so that entries stop sending requests to the engine
 *   before it refuses them
 * @drain_timeout_us: after that, how long the order waits at most for the
 *   engine's queue to empty: the engine refuses all queued requests when it
 *   gets the order. Without this wait about a quarter more requests are
 *   refused; 600 ms refuses no fewer than 300 ms and delays each load
 * @retry_delay_us: delay before the next attempt after a refusal
 * @unknown_outcome_us: how long an order without an answer may still be
 *   carried out. No second order is sent meanwhile; should both arrive, the
 *   engine's count of accepted orders makes it reject the second
 * @token_retry_delay_us: delay before the next request for a fencing token
 *   after none was available
 * @report_lag_us: maximum age of a report. A report that arrives sooner than
 *   this after an order may predate it and is not used to resolve the order.
 *   Reports to the engine's own machine have no lag
 */
struct pgw_weights_order_options {
    uint64_t announce_lead_us;
    uint64_t drain_timeout_us;
    uint64_t retry_delay_us;
    uint64_t unknown_outcome_us;
    uint64_t token_retry_delay_us;
    uint64_t report_lag_us;
};

#define PGW_WEIGHTS_ORDER_OPTIONS_INIT                                        \
    {                                                                         \
        .announce_lead_us = 15000, .drain_timeout_us = 300000,                \
        .retry_delay_us = 150000, .unknown_outcome_us = 600000,               \
        .token_retry_delay_us = 300000                                        \
    }

/**
 * enum pgw_weights_order_step - what the caller does next
 * @PGW_WEIGHTS_WAIT: nothing until @next_step_us or the next event
 * @PGW_WEIGHTS_REQUEST_TOKEN: request a fencing token
 * @PGW_WEIGHTS_ANNOUNCE_LOADING: report to the entries that the engine is
 *   about to load
 * @PGW_WEIGHTS_SEND_ORDER: send the order to the engine
 * @PGW_WEIGHTS_ANNOUNCE_AVAILABLE: report to the entries that the engine takes
 *   requests again
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
 * @target_version: version to load
 * @running_version: version in the engine's last report
 * @start_at_us: when the engine is to start loading
 * @announced: the load is announced to the entries
 * @announced_us: when it was announced
 * @queued_requests: length of the engine's queue
 * @token_requested: a request for a fencing token is pending
 * @token: fencing token, 0 without one
 * @token_until_us: no order carries @token after this time
 * @token_retry_at_us: no token is requested before this time
 * @in_flight: an order was sent and is not resolved yet
 * @accepted: the engine accepted that order
 * @sent_us: when it was sent
 * @retry_at_us: no attempt before this time
 * @next_step_us: when to call pgw_weights_order_next_step() again at the
 *   latest, 0: after the next event
 */
struct pgw_weights_order {
    struct pgw_weights_order_options options;
    uint64_t target_version;
    uint64_t running_version;
    uint64_t start_at_us;
    bool announced;
    uint64_t announced_us;
    uint32_t queued_requests;
    bool token_requested;
    uint64_t token;
    uint64_t token_until_us;
    uint64_t token_retry_at_us;
    bool in_flight;
    bool accepted;
    uint64_t sent_us;
    uint64_t retry_at_us;
    uint64_t next_step_us;
};

void pgw_weights_order_init(struct pgw_weights_order *order,
                            const struct pgw_weights_order_options *options);

/**
 * pgw_weights_order_set_target() - set the version to load and when to start
 * @order: the state
 * @version: version to load; older ones than the current target are ignored
 * @start_in_us: delay until the load starts; calls for one version keep the
 *   earliest start
 * @now_us: monotonic time
 */
void pgw_weights_order_set_target(struct pgw_weights_order *order,
                                  uint64_t version, uint64_t start_in_us,
                                  uint64_t now_us);

/**
 * pgw_weights_order_apply_report() - update the state from an engine's report
 * @order: the state
 * @version: version that the engine runs
 * @busy: the engine is executing an order
 * @queued_requests: length of the engine's queue
 * @now_us: monotonic time
 */
void pgw_weights_order_apply_report(struct pgw_weights_order *order,
                                    uint64_t version, bool busy,
                                    uint32_t queued_requests, uint64_t now_us);

/** pgw_weights_order_handle_restart() - the engine's process has restarted: an
 * order in flight went to the previous process */
void pgw_weights_order_handle_restart(struct pgw_weights_order *order);

/**
 * pgw_weights_order_set_token() - set the fencing token
 * @order: the state
 * @token: the token; 0: none is available, and it is requested again later
 * @valid_us: how long orders may carry it
 * @now_us: monotonic time
 */
void pgw_weights_order_set_token(struct pgw_weights_order *order,
                                 uint64_t token, uint64_t valid_us,
                                 uint64_t now_us);

/** pgw_weights_order_drop_token() - orders may not carry the token any more;
 * a new one is requested */
void pgw_weights_order_drop_token(struct pgw_weights_order *order);

/** pgw_weights_order_mark_sent() - the order is in flight */
void pgw_weights_order_mark_sent(struct pgw_weights_order *order,
                                 uint64_t now_us);

/**
 * enum pgw_order_answer - the engine's answer to an order
 * @PGW_ORDER_ACCEPTED: it executes the order, or already has
 * @PGW_ORDER_BUSY: it executes another order, or the count of accepted orders
 *   differs
 * @PGW_ORDER_FENCED: it has seen a higher fencing token
 * @PGW_ORDER_WRONG_INSTANCE: another incarnation has the address
 * @PGW_ORDER_REFUSED: it does not accept this order
 * @PGW_ORDER_LOST: no answer arrived
 */
enum pgw_order_answer {
    PGW_ORDER_ACCEPTED,
    PGW_ORDER_BUSY,
    PGW_ORDER_FENCED,
    PGW_ORDER_WRONG_INSTANCE,
    PGW_ORDER_REFUSED,
    PGW_ORDER_LOST,
};

/** pgw_weights_order_handle_answer() - apply the engine's answer to the order
 * in flight */
void pgw_weights_order_handle_answer(struct pgw_weights_order *order,
                                     enum pgw_order_answer answer,
                                     uint64_t now_us);

/** pgw_weights_order_next_step() - what to do now; call again after each step
 * until it returns %PGW_WEIGHTS_WAIT */
enum pgw_weights_order_step
pgw_weights_order_next_step(struct pgw_weights_order *order, uint64_t now_us);

#endif
