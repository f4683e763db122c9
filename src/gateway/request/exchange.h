#ifndef PGW_GATEWAY_REQUEST_EXCHANGE_H
#define PGW_GATEWAY_REQUEST_EXCHANGE_H

#include "gateway/cover/run_cover.h"
#include "gateway/crash/crash_quarantine.h"
#include "gateway/placement/lanes.h"
#include "gateway/request/abandoned_trials.h"
#include "gateway/request/answered_runs.h"
#include "gateway/request/gateway.h"
#include "gateway/share/share_table.h"
#include "gateway/upstream/moving_average.h"
#include "gateway/upstream/status_check.h"
#include "gateway/upstream/target_weights.h"
#include "libparsleygw/drain_window.h"

/* When a caller may resend a request that crashes its upstreams: the longest
 * time that any caller waits, since an earlier retry would be refused too. */
#define PGW_CRASH_QUARANTINE_RETRY_MS 30000

/**
 * struct pgw_gateway - one entry
 * @started_us: when the gateway was created
 * @routes: configuration in force, NULL before the first one
 * @routes_set_at_us: when @routes came into force
 * @isolation: which workspaces share no cached parts
 * @budgets: retry budgets of services
 * @crash_quarantine: requests and prompt parts that were running when
 *   upstreams crashed
 * @abandoned_trials: trials of these whose runs were abandoned
 * @answered_runs: runs whose answers prove nothing yet
 * @losses: engines that ended lately
 * @quota: quotas of workspaces
 * @software_records: software versions of services
 * @stream_origins: software versions of streams
 * @stream_records: unfinished streams in the platform's store
 * @waiting: requests that are queued for a free slot
 * @shares: shared services and their refused callers
 * @exchanges: all requests that have not ended
 * @answers_size: bytes of incomplete answers that are held
 * @dispatch_task: tries to dispatch the queued requests, once for all changes
 *   of one turn of the loop
 * @dispatch_timer: does the same when an upstream that refused may be tried
 *   again
 * @start_timer: ends the pause before callers are accepted without a
 *   configuration
 * @unresponsive_timer: checks upstreams for liveness
 * @old_weights_timer: withdraws requests when the time of their weights ends
 * @liveness_checked_us: when it last did, 0: never
 * @resumed_us: when the entry last found that it had been stopped itself, 0:
 *   never
 * @target_weights: model -> &struct pgw_target_weights
 * @ms_per_output_token: observed time from the first event to the end of a
 *   run, divided by the most output tokens that its caller allows
 * @prefill_rate: observed prefill speed of an engine, in tokens per ms
 * @lanes: service -> &struct pgw_lanes, the division of its pool
 * @load_wait_ms: mean time that an engine which is next to load weights
 *   waits for its turn
 * @dispatch_due_us: when @dispatch_timer expires, 0: it is not set
 * @dispatch_is_posted: @dispatch_task is posted and has not run
 * @drain: the time that a planned stop leaves
 * @run_times: name of a route -> &struct pgw_run_times
 * @sidecars: how sidecars are reached, NULL: they are not
 * @sidecars_context: passed to @sidecars
 * @claims: number of a claim -> the &struct pgw_exchange that waits for it
 * @last_claim: number of the last claim
 * @probes: number of a probe -> the &struct pgw_exchange that waits for it
 * @last_probe: number of the last probe
 * @entries: number of entries in the deployment, 0: not known
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
    struct pgw_isolation *isolation;
    struct pgw_upstream_table *upstreams;
    struct pgw_retry_budgets *budgets;
    struct pgw_crash_quarantine *crash_quarantine;
    struct pgw_abandoned_trials *abandoned_trials;
    struct pgw_answered_runs *answered_runs;
    struct pgw_engine_losses losses;
    struct pgw_quota *quota;
    struct pgw_software_records *software_records;
    struct pgw_stream_origins *stream_origins;
    struct pgw_stream_records *stream_records;
    struct pgw_wait_queue waiting;
    struct pgw_share_table *shares;
    struct pgw_list exchanges;
    size_t answers_size;
    struct pgw_task dispatch_task;
    struct pgw_timer dispatch_timer;
    struct pgw_timer start_timer;
    struct pgw_timer unresponsive_timer;
    struct pgw_timer old_weights_timer;
    uint64_t liveness_checked_us;
    uint64_t resumed_us;
    GHashTable *target_weights;
    struct pgw_moving_average ms_per_output_token;
    struct pgw_moving_average prefill_rate;
    GHashTable *lanes;
    double load_wait_ms;
    uint64_t dispatch_due_us;
    bool dispatch_is_posted;
    bool is_draining; /* a planned stop is in progress */
    struct pgw_drain_window drain;
    GHashTable *run_times;
    bool refuses_all; /* the process ends at once */
    const struct pgw_sidecar_ops *sidecars;
    void *sidecars_context;
    GHashTable *claims;
    uint64_t last_claim;
    GHashTable *probes;
    uint64_t last_probe;
    uint32_t entries;
};

/**
 * enum pgw_exchange_phase - progress of a request
 * @PGW_PHASE_QUEUED: waits for a free slot, or for answers of sidecars
 * @PGW_PHASE_SENT: sent to an upstream; no event has reached the caller
 * @PGW_PHASE_RELAYING: events have reached the caller; stays so while a stream
 *   is queued to resume at another upstream
 */
enum pgw_exchange_phase {
    PGW_PHASE_QUEUED,
    PGW_PHASE_SENT,
    PGW_PHASE_RELAYING,
};

/**
 * struct pgw_stream_pace - pauses of a stream
 * @last_event_us: when the last event was relayed, 0: none was
 * @longest_pause_us: longest time between two events
 * @long_prefills: long prompts that were taken to be pending at the upstream
 *   when that pause ended
 */
struct pgw_stream_pace {
    uint64_t last_event_us;
    uint64_t longest_pause_us;
    uint32_t long_prefills;
};

/**
 * struct pgw_exchange - one request of a caller
 * @caller: NULL after the caller has disconnected
 * @table: the configuration under which the request was accepted
 * @facts: decoded head; host and key point into the caller's head
 * @crash_keys: what of the request may crash upstreams
 * @waiting: link in the gateway's queue
 * @share: state of the service that the request shares with others, NULL: it
 *   does not
 * @turn: position among the requests that wait for @share
 * @before: what was before it when it was queued
 * @is_displaced: it is refused in favour of others of its workspace
 * @return_early: its caller has sent it before this time, which a refusal
 * named
 * @deadline_timer: expires at @deadline_us
 * @quota_timer: ends the wait for the answer of a quota's owner, or for links
 *   to owners
 * @origin_timer: ends the wait for answers about @software
 * @queue_timer: while queued: ends the longest time in the queue
 * @response_timer: while an attempt is in progress: its response timeout
 * @probe_timer: ends the wait for answers to a probe
 * @deadline_us: the caller gets its final answer by then
 * @runs: attempts that may have run the request
 * @sends: all attempts, including those that an upstream refused
 * @last_byte_us: when the last byte of the current attempt's answer arrived,
 *   0: none did
 * @began_us: when the current attempt's first event arrived, 0: none did
 * @prefill_is_announced: the sidecar of @upstream counts the request's long
 *   prompt as pending
 * @stuck_is_logged: a log line says that the request stays at an upstream that
 *   is not responsive
 * @may_have_run: some attempt ended and may have run the request
 * @run_is_over: the current attempt's run has ended at its upstream, or is
 *   recorded as abandoned or interrupted
 * @cover: copy of its run at another engine
 * @homes: engines where all entries look for the prompt's cached parts, and
 *   which may be chosen outside the own zone; references are held
 * @suspect_timer: asks again whether a request that waits for a trial may run
 * @suspect_until_us: when that wait ends with a refusal, 0: it does not wait
 * @trial: token of the trial that the request has claimed, 0: none
 * @room_check: asks an upstream whether it has room for the trial
 * @room_at: upstream that had room at @room_known_us; a reference is held.
 *   NULL: none
 * @room_known_us: when it said so
 * @room_ask_at_us: no upstream is asked before
 * @room_until_us: when the wait for room ends with a refusal, 0: it does not
 *   wait
 * @software: with @software_is_fixed, the version of the software at which a
 *   stream goes on; NULL: not known, it goes on nowhere
 * @software_is_fixed: the caller has events of the stream
 * @sent_software: software version of the current attempt's upstream
 * @origin_id: hash of the id of the attempt that began the stream, 0: it has
 * not begun
 * @origin_sought_us: when its version was first looked for, 0: it was not
 * @origin_ask: number of the ask for @software whose answers are awaited, 0:
 *   none
 * @origin_answers: number of answers that are awaited
 * @origin_is_complete: all sidecars that may know it were asked
 * @start_wait: among the short prompts that wait for their first event
 * @claim_timer: ends the wait for the answer to a claim
 * @claim: number of the claim whose answer is awaited, 0: none
 * @claimed: engine that was asked to take the prompt; a reference is held.
 *   NULL: none
 * @claim_is_granted: its sidecar counts the prompt as pending, or has not
 *   answered in time and may do so
 * @probe: number of the probe whose answers are awaited, 0: none
 * @probed_at_us: when the last probe was sent
 * @probes_waited_us: total time spent waiting for answers to probes
 * @home_is_fresh: by position in @homes, whether the cached parts known of
 *   this engine are up to date
 * @quota_cost: units of its workspace's quota that the request needs
 * @quota_spent: units that were taken for it
 * @quota_ask: number of the ask to the quota's owner whose answer is
 *   awaited, 0: none
 * @upstream: upstream of the current attempt, NULL between attempts
 * @process: process that the current or last attempt was sent to
 * @reserved_tokens: tokens of KV cache counted at @upstream for this request
 * @prefill_tokens: pending prompt tokens counted at @upstream; 0 after the
 *   first event
 * @missing_tokens: tokens of shared parts that @upstream did not have cached
 * @queued_at_us: since when the request is queued, 0: it is not
 * @queued_us: total time in the queue, without the current wait
 * @forecast: what was expected when the current attempt was sent; zeroed: no
 *   forecast was made
 * @pace: how evenly the events of a stream arrive
 * @forecast_end_us: when the current attempt's run ends by the forecast on
 *   which it was begun in a planned stop, 0: its events are relayed as they
 *   arrive
 * @load_at_choice: estimated requests at @upstream when it was chosen
 * @load_report_age_us: age of the report on which the estimate rests
 * @fetch_source: where missing prompt parts are fetched from, for logs
 * @weights: version of the weights that produce its events
 * @answer_weights: version that the answer names, 0: none
 * @is_unframed: the answer has neither a length nor chunks
 * @is_named: the answer names the request
 * @not_run: the upstream states that it did not run the request
 * @answer_fields: header lines for the caller
 * @answer: body received so far, if the answer is not a stream; else complete
 *   events that are held
 * @held_size: bytes of @answer and of an incomplete event that are counted in
 *   the gateway's @answers_size
 * @events: events of a stream
 * @stream_size: bytes of the stream so far, over all attempts
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
    struct pgw_crash_keys crash_keys;
    enum pgw_exchange_phase phase;
    struct pgw_wait_queue_item waiting;
    struct pgw_service_share *share;
    struct pgw_queue_order_item turn;
    struct pgw_queue_place before;
    bool is_displaced;
    struct pgw_return return_early;
    struct pgw_timer deadline_timer;
    struct pgw_timer quota_timer;
    struct pgw_timer origin_timer;
    struct pgw_timer queue_timer;
    struct pgw_timer response_timer;
    struct pgw_timer probe_timer;
    uint64_t received_us;
    uint64_t deadline_us;
    uint64_t sent_us;
    uint64_t last_byte_us;
    uint64_t began_us;
    uint64_t first_event_us;
    uint32_t runs;
    uint32_t sends;
    bool prefill_is_announced;
    bool stuck_is_logged;
    bool may_have_run;
    bool run_is_over;
    struct pgw_upstream *tried[PGW_TRIED_MAX];
    size_t tried_count;
    struct pgw_timer suspect_timer;
    uint64_t suspect_until_us;
    uint64_t trial;
    struct pgw_status_check room_check;
    struct pgw_upstream *room_at;
    uint64_t room_known_us;
    uint64_t room_ask_at_us;
    uint64_t room_until_us;
    const char *software;
    bool software_is_fixed;
    const char *sent_software;
    uint64_t origin_id;
    uint64_t origin_sought_us;
    uint64_t origin_ask;
    unsigned origin_answers;
    bool origin_is_complete;
    struct pgw_start_wait start_wait;
    struct pgw_timer claim_timer;
    uint64_t claim;
    struct pgw_upstream *claimed;
    bool claim_is_granted;
    struct pgw_run_cover cover;
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
    char *process;
    uint32_t reserved_tokens;
    uint32_t prefill_tokens;
    uint32_t missing_tokens;
    uint64_t queued_at_us;
    uint64_t queued_us;
    struct pgw_forecast forecast;
    struct pgw_stream_pace pace;
    uint64_t forecast_end_us;
    uint32_t load_at_choice;
    uint64_t load_report_age_us;
    const char *fetch_source;
    uint64_t weights;
    uint64_t answer_weights;
    unsigned status;
    bool is_unframed;
    bool is_named;
    bool not_run;
    bool is_stream;
    GString *answer_fields;
    struct pgw_buffer answer;
    size_t held_size;
    struct pgw_event_stream events;
    size_t stream_size;
};

/* gateway.c */
/** pgw_gateway_dispatch_queued_at() - dispatch queued requests at @at_us, or
 * earlier; 0: no time is set */
void pgw_gateway_dispatch_queued_at(struct pgw_gateway *gateway,
                                    uint64_t at_us);

/** pgw_gateway_handle_crash() - an upstream's process has ended, as this entry
 * has seen */
void pgw_gateway_handle_crash(struct pgw_gateway *gateway,
                              const struct pgw_upstream *upstream);

/* dispatch.c */
/** pgw_exchange_begin() - accept a request that was received completely */
void pgw_exchange_begin(struct pgw_gateway *gateway,
                        struct pgw_caller *caller);
/** pgw_exchange_handle_caller_gone() - the caller has disconnected: cancel the
 * request, unless its upstream must be left to complete it */
void pgw_exchange_handle_caller_gone(struct pgw_exchange *exchange);
/** pgw_exchange_dispatch() - send the request to an upstream, or queue it if
 * none has a free slot */
void pgw_exchange_dispatch(struct pgw_exchange *exchange);
/** pgw_exchange_has_free_upstream() - whether another upstream could take the
 * request now */
bool pgw_exchange_has_free_upstream(const struct pgw_exchange *exchange);
/** pgw_exchange_fits_drain() - an attempt that begins now will have ended when
 * a planned stop, if there is one, cuts what is left */
bool pgw_exchange_fits_drain(const struct pgw_exchange *exchange);
/** pgw_exchange_drain_request() - the request as a planned stop sees it */
struct pgw_drain_request
pgw_exchange_drain_request(const struct pgw_exchange *exchange);
/** pgw_exchange_record_run() - the current attempt has taken so long; it has
 * ended, or a planned stop has to know */
void pgw_exchange_record_run(const struct pgw_exchange *exchange);
/** pgw_exchange_refuse_stopping() - answer the caller, since the entry stops;
 * frees the exchange */
void pgw_exchange_refuse_stopping(struct pgw_exchange *exchange);
/**
 * pgw_exchange_rank() - position of the request by urgency, 0 is first
 * @exchange: the request
 * @ranks: number of ranks; the last one includes all less urgent requests
 *
 * The workspace's priority takes precedence over the route's.
 */
unsigned pgw_exchange_rank(const struct pgw_exchange *exchange,
                           unsigned ranks);
/** pgw_exchange_may_have_run() - an attempt is in progress, or one has ended
 * that may have run the request */
static inline bool
pgw_exchange_may_have_run(const struct pgw_exchange *exchange)
{
    return exchange->upstream != NULL || exchange->may_have_run;
}

/** pgw_exchange_refuse() - answer the caller with an error of the gateway;
 * frees the exchange */
void pgw_exchange_refuse(struct pgw_exchange *exchange, unsigned status,
                         const char *reason, uint32_t retry_after_ms);
/** pgw_exchange_queue_time_us() - longest time from now on that the request
 * may wait before it is sent */
uint64_t pgw_exchange_queue_time_us(const struct pgw_exchange *exchange,
                                    uint64_t now_us);
/** pgw_exchange_retry_ms() - when a caller that is refused may return: when
 * the first of the upstreams takes requests again, if all hold them back */
uint32_t pgw_exchange_retry_ms(const struct pgw_exchange *exchange);
/** pgw_exchange_free() - release all resources and close the call */
void pgw_exchange_free(struct pgw_exchange *exchange);
/** pgw_exchange_finish() - log the outcome of a request whose caller needs no
 * further answer; frees the exchange */
void pgw_exchange_finish(struct pgw_exchange *exchange, const char *outcome);

/* suspect_wait.c */
/**
 * pgw_suspect_wait_begin() - hold a request back that may crash upstreams
 * @exchange: a request that is about to be dispatched
 *
 * Return: true if the request waits, and pgw_exchange_dispatch() is called
 * again, or if it was refused and is freed. Otherwise it may be sent.
 */
bool pgw_suspect_wait_begin(struct pgw_exchange *exchange);
/** pgw_suspect_wait_is_apart() - whether a request may be sent to an upstream;
 * two trials at one upstream would be blamed for one crash */
bool pgw_suspect_wait_is_apart(const struct pgw_exchange *exchange,
                               const struct pgw_upstream *upstream);
/** pgw_suspect_wait_end() - the request is sent to @upstream; starts its
 * trial if it has claimed one */
void pgw_suspect_wait_end(struct pgw_exchange *exchange,
                          const struct pgw_upstream *upstream);
/** pgw_suspect_wait_pass() - the trial's run has begun to answer and goes on:
 * what it has is cleared before the run ends */
void pgw_suspect_wait_pass(struct pgw_exchange *exchange);
/**
 * pgw_trial_room_begin() - let an upstream say that it has room for a trial
 * @exchange: a request that is about to be sent
 * @upstream: the upstream that was chosen for it
 *
 * A full upstream refuses a trial, which shows nothing and makes the next one
 * wait longer. So a trial that follows such a one is sent only to an upstream
 * that has just served a status check.
 *
 * Return: true if the request waits, and pgw_exchange_dispatch() is called
 * again, or if it was refused and is freed. Otherwise it may be sent.
 */
bool pgw_trial_room_begin(struct pgw_exchange *exchange,
                          struct pgw_upstream *upstream);
/** pgw_trial_room_at() - upstream that has just said so, NULL: none */
const struct pgw_upstream *
pgw_trial_room_at(const struct pgw_exchange *exchange);
/** pgw_trial_room_drop() - ask no more */
void pgw_trial_room_drop(struct pgw_exchange *exchange);
/** pgw_suspect_wait_end_trial() - end the request's trial, if it has one */
void pgw_suspect_wait_end_trial(struct pgw_exchange *exchange,
                                enum pgw_trial_result result);
/** pgw_suspect_wait_drop() - stop waiting, and give up a claimed trial */
void pgw_suspect_wait_drop(struct pgw_exchange *exchange);

/* room_wait.c */
/** pgw_room_wait_init() - prepare an accepted request; its service is shared
 * if it runs at engines */
void pgw_room_wait_init(struct pgw_exchange *exchange);
/** pgw_room_wait_has_turns() - others wait for the shared service: a request
 * that arrives takes its place among them */
bool pgw_room_wait_has_turns(const struct pgw_exchange *exchange);
/**
 * pgw_room_wait_begin() - give a request its place among those that wait
 * @exchange: a request that cannot be sent now
 * @now_us: monotonic time
 *
 * Return: false if it will not be served in time; the caller refuses it.
 */
bool pgw_room_wait_begin(struct pgw_exchange *exchange, uint64_t now_us);
/** pgw_room_wait_end() - the request is sent */
void pgw_room_wait_end(struct pgw_exchange *exchange,
                       const struct pgw_choice *choice);
/** pgw_room_wait_drop() - give up the request's place, if it has one */
void pgw_room_wait_drop(struct pgw_exchange *exchange);
/** pgw_room_wait_count_before() - requests that wait for the shared service
 * and are before this one; all of them if it does not wait itself */
unsigned pgw_room_wait_count_before(const struct pgw_exchange *exchange);
/** pgw_room_wait_retry_ms() - when the caller returns that is refused for
 * @reason; 0: nothing is known of the room */
uint32_t pgw_room_wait_retry_ms(const struct pgw_exchange *exchange,
                                const char *reason);
/** pgw_room_wait_count_result() - count an answer to a caller that returned */
void pgw_room_wait_count_result(const struct pgw_exchange *exchange);
/** pgw_room_wait_dispatch() - try the requests that wait for shared services,
 * in their order */
void pgw_room_wait_dispatch(struct pgw_gateway *gateway);

/* home_probe.c */
/**
 * pgw_home_probe_begin() - probe the sidecars of a prompt's homes
 * @exchange: a request that is about to be dispatched
 *
 * Return: true when answers are awaited; pgw_exchange_dispatch() is called
 * when they have arrived or when the wait for them ends.
 */
bool pgw_home_probe_begin(struct pgw_exchange *exchange);
/** pgw_home_probe_drop() - stop waiting for answers and release the homes */
void pgw_home_probe_drop(struct pgw_exchange *exchange);

/* prefill_claim.c */
/**
 * pgw_prefill_claim_begin() - ask the sidecar of the chosen engine whether the
 * engine takes a long prompt now
 * @exchange: a request that is about to be sent
 * @choice: where to
 *
 * Return: true when an answer is awaited; pgw_exchange_dispatch() is called
 * then. false: the request may be sent.
 */
bool pgw_prefill_claim_begin(struct pgw_exchange *exchange,
                             const struct pgw_choice *choice);
/** pgw_prefill_claim_is_pending() - an answer is awaited */
bool pgw_prefill_claim_is_pending(const struct pgw_exchange *exchange);
/** pgw_prefill_claim_take() - the request is sent to the engine that granted
 * it, whose sidecar gets its announcement next */
void pgw_prefill_claim_take(struct pgw_exchange *exchange);
/** pgw_prefill_claim_drop() - give up the claim */
void pgw_prefill_claim_drop(struct pgw_exchange *exchange);

/* forward.c */
/** pgw_exchange_send() - start an attempt at the chosen upstream */
void pgw_exchange_send(struct pgw_exchange *exchange,
                       const struct pgw_choice *choice);

/* drain_hold.c */
/** pgw_drain_hold_begin() - an attempt begins: in a planned stop its stream
 * may be provisional (drain_window.h) */
void pgw_drain_hold_begin(struct pgw_exchange *exchange);
/** pgw_drain_hold_judge() - what is done with events that have just arrived */
enum pgw_drain_verdict
pgw_drain_hold_judge(const struct pgw_exchange *exchange);
/** pgw_drain_hold_is_hopeless() - whether a provisional stream that brings no
 * event will not end before the cut */
bool pgw_drain_hold_is_hopeless(const struct pgw_exchange *exchange);
/** pgw_drain_hold_give_up() - answer the caller of a provisional stream that
 * will not end before the cut; frees the exchange */
void pgw_drain_hold_give_up(struct pgw_exchange *exchange);

/* stream_pace.c */
/** pgw_stream_pace_add_event() - events are relayed now */
void pgw_stream_pace_add_event(struct pgw_exchange *exchange, uint64_t now_us);
/** pgw_stream_pace_is_late() - a pause of the stream exceeded the objective of
 * its route */
bool pgw_stream_pace_is_late(const struct pgw_exchange *exchange);
/** pgw_stream_pace_record() - update the metrics of pauses and forecasts with
 * a request that ends now
 * @is_answered: the caller got the whole answer */
void pgw_stream_pace_record(const struct pgw_exchange *exchange,
                            bool is_answered, uint64_t now_us);

/* relay.c */
/* Callbacks that relay an upstream's answer to the caller. */
extern const struct pgw_call_ops pgw_relay_ops;

/* attempt.c */
/** pgw_attempt_count_start() - add the attempt to the upstream's counts of
 * requests and tokens */
void pgw_attempt_count_start(struct pgw_exchange *exchange,
                             const struct pgw_choice *choice);
/** pgw_attempt_count_end() - remove the attempt from these counts, stop its
 * timer and release the upstream; does nothing without one */
void pgw_attempt_count_end(struct pgw_exchange *exchange);
/** pgw_attempt_count_prefill_end() - remove the prompt from the upstream's
 * pending tokens */
void pgw_attempt_count_prefill_end(struct pgw_exchange *exchange);
/**
 * pgw_attempt_prefilled_tokens() - tokens of a prompt that its engine prefills
 * @exchange: the request, with its source of missing tokens
 * @pending_tokens: tokens that the engine does not have cached
 * @missing_tokens: shared tokens among these
 *
 * What another engine holds is fetched from it. A store may lack what it is
 * asked for, so that counts as prefilled.
 */
uint32_t pgw_attempt_prefilled_tokens(const struct pgw_exchange *exchange,
                                      uint32_t pending_tokens,
                                      uint32_t missing_tokens);
/** pgw_attempt_record_result() - account the result for the upstream's health
 */
void pgw_attempt_record_result(struct pgw_exchange *exchange,
                               enum pgw_attempt_result result);
/** pgw_attempt_record_interrupted() - the connection broke during the run; its
 * upstream may have crashed */
void pgw_attempt_record_interrupted(struct pgw_exchange *exchange);
/** pgw_attempt_held_size() - bytes of the answer that are held now */
size_t pgw_attempt_held_size(const struct pgw_exchange *exchange);
/** pgw_attempt_count_held() - count what is held of the answer in the
 * gateway's sum */
void pgw_attempt_count_held(struct pgw_exchange *exchange);
/** pgw_attempt_drop_answer() - drop what is held of the answer */
void pgw_attempt_drop_answer(struct pgw_exchange *exchange);
/** pgw_attempt_record_abandoned() - the entry closes the connection of a run
 * that has not ended. The upstream works on it until it sees that, and may
 * crash meanwhile. Nothing is recorded for a run that is over. */
void pgw_attempt_record_abandoned(struct pgw_exchange *exchange);
/** pgw_attempt_may_retry() - whether another upstream may get the request
 * although this one may have run it */
bool pgw_attempt_may_retry(const struct pgw_exchange *exchange);
/** pgw_attempt_take_retry() - take a retry from the budget; false: none is
 * left */
bool pgw_attempt_take_retry(struct pgw_exchange *exchange);
/** pgw_attempt_take_reserved_retry() - the same for a run that cannot begin
 * again: it may use what other retries leave of the deployment's limit */
bool pgw_attempt_take_reserved_retry(struct pgw_exchange *exchange);
/** pgw_attempt_retry() - end an attempt that may have run and dispatch the
 * request again; the caller has taken the retry */
void pgw_attempt_retry(struct pgw_exchange *exchange, const char *why);
/** pgw_attempt_abandon() - end the attempt and answer the caller that the
 * outcome is unknown; @why is the outcome for logs and callers */
void pgw_attempt_abandon(struct pgw_exchange *exchange, const char *why);
/**
 * pgw_attempt_handle_not_run() - end an attempt that did not run; dispatch the
 * request again if the budget allows it
 * @exchange: the request
 * @why: outcome for logs
 * @arrived: the upstream got the request and refused it; costs a retry
 */
void pgw_attempt_handle_not_run(struct pgw_exchange *exchange, const char *why,
                                bool arrived);
/** pgw_attempt_handle_unknown() - end an attempt that may have run; dispatch
 * the request again if its route and the budget allow it */
void pgw_attempt_handle_unknown(struct pgw_exchange *exchange,
                                const char *why);
/** pgw_attempt_handle_lost() - the same for an attempt whose upstream has
 * ended it and is no longer at work; its run may go on from a copy */
void pgw_attempt_handle_lost(struct pgw_exchange *exchange, const char *why);

#endif
