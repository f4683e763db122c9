#ifndef PGW_GATEWAY_EXCHANGE_H
#define PGW_GATEWAY_EXCHANGE_H

#include "gateway/crash_quarantine.h"
#include "gateway/gateway.h"
#include "gateway/moving_average.h"
#include "gateway/target_weights.h"

/**
 * struct pgw_gateway - one entry
 * @started_us: when it was made
 * @routes: configuration in force, NULL before the first
 * @routes_set_at_us: since when
 * @budgets: repeats that it may make
 * @poison: requests that were running when upstreams crashed
 * @quota: quotas of workspaces
 * @waiting: requests without a place
 * @exchanges: all requests that are not ended
 * @pump: looks at what waits, once for all that has changed in a turn
 * @dispatch_timer: looks at it when an upstream that refused is asked again
 * @start_timer: callers are let in without a configuration
 * @unresponsive_timer: looks for upstreams that have fallen silent
 * @weights: model -> &struct pgw_target_weights
 * @token_ms: time that a run takes for each token of the longest answer that
 *   its caller allows, as observed
 * @read_rate: tokens that an engine reads in a millisecond, as observed
 * @turn_ms: time until an engine that loads next is told to, on average
 * @dispatch_due_us: when @dispatch_timer is due, 0: it is not set
 * @sidecars: how sidecars are reached, NULL: they are not
 * @sidecars_context: handed to @sidecars
 * @probes: number of a probe -> the &struct pgw_exchange that waits for it
 * @last_probe: number of the last one
 */
struct pgw_gateway {
    struct pgw_loop *loop;
    uint64_t started_us;
    struct pgw_gateway_options options;
    char *instance;
    char *zone;
    struct pgw_caller_server *server;
    struct pgw_call_pool *pool;
    struct pgw_route_table *routes;
    uint64_t routes_set_at_us;
    struct pgw_upstream_table *upstreams;
    struct pgw_retry_budgets *budgets;
    struct pgw_crash_quarantine *poison;
    struct pgw_quota *quota;
    struct pgw_wait_queue waiting;
    struct pgw_list exchanges;
    struct pgw_task pump;
    struct pgw_timer dispatch_timer;
    struct pgw_timer start_timer;
    struct pgw_timer unresponsive_timer;
    GHashTable *weights;
    struct pgw_moving_average token_ms;
    struct pgw_moving_average read_rate;
    double turn_ms;
    uint64_t dispatch_due_us;
    bool dispatch_is_posted;
    const struct pgw_sidecar_ops *sidecars;
    void *sidecars_context;
    GHashTable *probes;
    uint64_t last_probe;
};

/**
 * enum pgw_exchange_phase - progress of a request
 * @PGW_PHASE_QUEUED: it waits for a place
 * @PGW_PHASE_SENT: an upstream has it and has not answered
 * @PGW_PHASE_RELAYING: events have reached the caller
 */
enum pgw_exchange_phase {
    PGW_PHASE_QUEUED,
    PGW_PHASE_SENT,
    PGW_PHASE_RELAYING,
};

/**
 * struct pgw_exchange - one request of a caller
 * @caller: NULL once the caller is gone
 * @table: configuration that it was accepted under
 * @facts: decoded head; host and key point into the caller's head
 * @fingerprint: what it asks, whoever sends it again
 * @deadline_us: the caller gets its final answer by then
 * @runs: upstreams that may have run it
 * @sends: upstreams that it was sent to, refusals included
 * @last_byte_us: when a byte of the present attempt's answer last came, 0:
 * none
 * @announced: its long prompt counts as unread at the sidecar of @upstream
 * @stuck_is_logged: that it waits for a silent upstream stands in the log
 * @may_have_run: some attempt ended without saying that it did not run
 * @homes: of the prompt, that may be chosen beside the own zone; held
 * @probe: answers of sidecars that it waits for, 0: none
 * @probed_at_us: when it last asked for them
 * @probes_waited_us: how long it has waited for them in all
 * @home_is_fresh: by position in @homes, whether what is known of it is fresh
 * @quota_cost: units of its workspace's quota that it needs
 * @quota_spent: units that were taken for it
 * @quota_ask: the ask to the owner of the quota that it waits for, 0: none
 * @upstream: where the current attempt is
 * @counted_tokens: memory that it counts at @upstream
 * @prefill_tokens: and prompt tokens without a first event
 * @queued_at_us: since when it waits for a place, 0: it does not
 * @queued_us: how long it has waited in all
 * @load_at_choice: requests that its upstream was taken to have when it was
 * chosen
 * @load_age_us: age of the report that this rests on
 * @fetched: where missing prompt parts are fetched from, for logs
 * @weights: version that its events come from
 * @answer_fields: header lines for the caller
 * @answer: body collected so far, of an answer that is not a stream
 * @events: of a stream
 */
struct pgw_exchange {
    struct pgw_list in_gateway;
    struct pgw_gateway *gateway;
    struct pgw_caller *caller;
    struct pgw_route_table *table;
    const struct pgw_route *route;
    const struct pgw_workspace *workspace;
    const char *service;
    struct pgw_request_facts facts;
    struct pgw_fingerprint fingerprint;
    enum pgw_exchange_phase phase;
    struct pgw_wait_queue_item waiting;
    struct pgw_timer timer;
    struct pgw_timer attempt_timer;
    uint64_t received_us;
    uint64_t deadline_us;
    uint64_t sent_us;
    uint64_t last_byte_us;
    uint64_t first_event_us;
    uint32_t runs;
    uint32_t sends;
    bool announced;
    bool stuck_is_logged;
    bool may_have_run;
    struct pgw_upstream *tried[PGW_TRIED_MAX];
    size_t tried_count;
    struct pgw_homes homes;
    uint64_t probe;
    uint64_t probed_at_us;
    uint64_t probes_waited_us;
    bool home_is_fresh[PGW_HOMES_MAX];
    double quota_cost;
    double quota_spent;
    uint64_t quota_ask;
    struct pgw_call call;
    struct pgw_upstream *upstream;
    uint32_t counted_tokens;
    uint32_t prefill_tokens;
    uint32_t missing_tokens;
    uint64_t queued_at_us;
    uint64_t queued_us;
    uint32_t load_at_choice;
    uint64_t load_age_us;
    const char *fetched;
    uint64_t weights;
    unsigned status;
    bool not_run;
    bool is_stream;
    GString *answer_fields;
    struct pgw_buffer answer;
    struct pgw_event_stream events;
};

/* gateway.c */
/** pgw_gateway_dispatch_queued_at() - look at what waits at a time, or sooner
 */
void pgw_gateway_dispatch_queued_at(struct pgw_gateway *gateway,
                                    uint64_t at_us);

/* dispatch.c */
/** pgw_exchange_begin() - accept a whole request */
void pgw_exchange_begin(struct pgw_gateway *gateway,
                        struct pgw_caller *caller);
/** pgw_exchange_handle_caller_gone() - nobody waits for the answer any more */
void pgw_exchange_handle_caller_gone(struct pgw_exchange *exchange);
/** pgw_exchange_dispatch() - try to send it; it waits if there is no place */
void pgw_exchange_dispatch(struct pgw_exchange *exchange);
/** pgw_exchange_has_free_upstream() - another upstream could take it now */
bool pgw_exchange_has_free_upstream(const struct pgw_exchange *exchange);
/**
 * pgw_exchange_rank() - how urgent it is: 0 goes first
 * @exchange: the request
 * @ranks: how many are told apart; the last one takes what is beyond
 *
 * The workspace's priority goes before the route's.
 */
unsigned pgw_exchange_rank(const struct pgw_exchange *exchange,
                           unsigned ranks);
/** pgw_exchange_refuse() - a final answer of the gateway's own */
void pgw_exchange_refuse(struct pgw_exchange *exchange, unsigned status,
                         const char *reason, uint32_t retry_after_ms);
/** pgw_exchange_free() - give back everything, close the call */
void pgw_exchange_free(struct pgw_exchange *exchange);
/** pgw_exchange_finish() - the caller has its answer; frees the exchange */
void pgw_exchange_finish(struct pgw_exchange *exchange, const char *outcome);

/* home_probe.c */
/**
 * pgw_home_probe_begin() - ask the sidecars of a prompt's homes
 * @exchange: a request that is about to be placed
 *
 * Return: true when answers are waited for; pgw_exchange_dispatch() is called
 * once they are there, or are not waited for any longer.
 */
bool pgw_home_probe_begin(struct pgw_exchange *exchange);
/** pgw_home_probe_drop() - wait for no answers, forget the homes */
void pgw_home_probe_drop(struct pgw_exchange *exchange);

/* forward.c */
/** pgw_exchange_send() - send it to the chosen upstream */
void pgw_exchange_send(struct pgw_exchange *exchange,
                       const struct pgw_choice *choice);

/* relay.c */
/* What comes back from an upstream, on its way to the caller. */
extern const struct pgw_call_ops pgw_relay_ops;

/* attempt.c */
/** pgw_attempt_count_start() - the attempt begins: count what it takes */
void pgw_attempt_count_start(struct pgw_exchange *exchange,
                             const struct pgw_choice *choice);
/** pgw_attempt_count_end() - the attempt is over: give back what it counts */
void pgw_attempt_count_end(struct pgw_exchange *exchange);
/** pgw_attempt_count_prefill_end() - its prompt has been read */
void pgw_attempt_count_prefill_end(struct pgw_exchange *exchange);
/** pgw_attempt_record_result() - account how it went for its upstream's health
 */
void pgw_attempt_record_result(struct pgw_exchange *exchange,
                               enum pgw_attempt_result result);
/** pgw_attempt_may_retry() - the route, and what is known of the request,
 * allow another upstream although this one may have run it */
bool pgw_attempt_may_retry(const struct pgw_exchange *exchange);
/** pgw_attempt_take_retry() - a repeat from the budget, if there is one */
bool pgw_attempt_take_retry(struct pgw_exchange *exchange);
/** pgw_attempt_retry() - it may have run; another upstream gets it, for which
 * a repeat was taken */
void pgw_attempt_retry(struct pgw_exchange *exchange, const char *why);
/** pgw_attempt_abandon() - the caller is told that nobody knows; @why is the
 * outcome */
void pgw_attempt_abandon(struct pgw_exchange *exchange, const char *why);
/**
 * pgw_attempt_handle_not_run() - nobody ran it: another upstream may, in the
 * budget
 * @exchange: the request
 * @why: outcome for logs
 * @arrived: the upstream got it and refused; costs a repeat
 */
void pgw_attempt_handle_not_run(struct pgw_exchange *exchange, const char *why,
                                bool arrived);
/** pgw_attempt_handle_unknown() - whether this upstream ran it is not known */
void pgw_attempt_handle_unknown(struct pgw_exchange *exchange,
                                const char *why);

#endif
