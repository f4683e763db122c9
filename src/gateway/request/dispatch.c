#include "gateway/quota/upstream_limits.h"
#include "gateway/request/exchange.h"
#include "gateway/request/unconfirmed_refusal.h"
#include "parsleygw/place.h"
#include "util/log.h"
#include "util/metric.h"
#include "util/random.h"
#include <string.h>

/* No attempt is started with less time than this before the deadline. */
#define MIN_ATTEMPT_TIME_US 5000
/* Bytes of a request's head and of a short answer. */
#define HEAD_SIZE_ESTIMATE 1200
/* When a caller may retry if no slot was free: about the time of one
 * generation. */
#define NO_SLOT_RETRY_MS 250
/* Longest retry time of requests that upstreams hold back, without its random
 * part. Limits and backoffs last for seconds, so a later time would keep
 * callers away for nothing. */
#define THROTTLED_RETRY_MAX_MS 10000
/* A process without a configuration gets one within a second. */
#define NO_CONFIG_RETRY_MS 400

/* Part of its time for which a long prompt waits for an engine's backlog. Less
 * than BACKLOG_QUEUE_SHARE, so that it is sent rather than refused. */
#define BACKLOG_WAIT_SHARE 0.5
/* Part of the time left for which such a prompt is queued at least. */
#define BACKLOG_QUEUE_SHARE 0.6
/* Route priorities that are distinguished within one workspace priority. */
#define ROUTE_RANKS 3
/* Routes whose run times are kept: 100 KB. Routes come and go with the
 * configuration. */
#define RUN_TIMES_MAX 1024

static struct pgw_metric_counter requests = {
    .name = "pgw_gateway_requests_total",
    .help = "Requests that were received completely",
};
static struct pgw_metric_counter refusals = {
    .name = "pgw_gateway_refused_total",
    .help = "Requests that the gateway answered with an error of its own",
};
static struct pgw_metric_counter quarantined = {
    .name = "pgw_gateway_poison_refused_total",
    .help = "Requests refused because they were running in several crashes",
};
static struct pgw_metric_gauge queued_now = {
    .name = "pgw_gateway_waiting",
    .help = "Requests that are queued for a free slot at an upstream",
};
static struct pgw_metric_histogram first_answer_time = {
    .name = "pgw_gateway_first_answer_seconds",
    .help = "Time from a request's first byte to the first byte of its answer",
};

static void
register_metrics(void)
{
    pgw_metric_register_counter(&requests);
    pgw_metric_register_counter(&refusals);
    pgw_metric_register_counter(&quarantined);
    pgw_metric_register_gauge(&queued_now);
    pgw_metric_register_histogram(&first_answer_time);
}

static void
leave_queue(struct pgw_exchange *exchange)
{
    if (exchange->queued_at_us > 0) {
        exchange->queued_us += pgw_now_us() - exchange->queued_at_us;
        exchange->queued_at_us = 0;
    }
    pgw_timer_stop(exchange->gateway->loop, &exchange->queue_timer);
    pgw_room_wait_drop(exchange);
    pgw_wait_queue_remove(&exchange->gateway->waiting, &exchange->waiting);
    pgw_metric_gauge_set(&queued_now, exchange->gateway->waiting.count);
}

void
pgw_exchange_free(struct pgw_exchange *exchange)
{
    struct pgw_gateway *gateway = exchange->gateway;

    pgw_room_wait_count_result(exchange);
    leave_queue(exchange);
    pgw_timer_stop(gateway->loop, &exchange->deadline_timer);
    pgw_home_probe_drop(exchange);
    pgw_prefill_claim_drop(exchange);
    pgw_attempt_record_abandoned(exchange);
    pgw_trial_room_drop(exchange);
    pgw_suspect_wait_drop(exchange);
    pgw_stream_origin_drop(exchange);
    pgw_run_cover_dispose(&exchange->cover);
    pgw_quota_end(gateway->quota, exchange);
    pgw_call_cancel(&exchange->call);
    pgw_attempt_count_end(exchange);
    pgw_list_remove(&exchange->in_gateway);
    if (exchange->caller != NULL) {
        exchange->caller->owner = NULL;
    }
    for (size_t i = 0; i < exchange->tried_count; i++) {
        pgw_upstream_unref(exchange->tried[i]);
    }
    if (exchange->answer_fields != NULL) {
        g_string_free(exchange->answer_fields, TRUE);
    }
    pgw_attempt_drop_answer(exchange);
    pgw_event_stream_dispose(&exchange->events);
    pgw_route_table_unref(exchange->table);
    g_free((char *)exchange->facts.id);
    g_free((char *)exchange->facts.model);
    g_free((char *)exchange->facts.resumes);
    g_free(exchange->process);
    g_free(exchange);
}

unsigned
pgw_exchange_rank(const struct pgw_exchange *exchange, unsigned ranks)
{
    unsigned rank = MIN(exchange->route->priority, ROUTE_RANKS - 1);

    if (exchange->workspace != NULL) {
        rank += exchange->workspace->priority * ROUTE_RANKS;
    }
    return MIN(rank, ranks - 1);
}

/* Whether the log line may be sampled: the first upstream answered, without an
 * error and within the objectives, and no stop is in progress. */
static bool
is_routine(const struct pgw_exchange *exchange, const char *outcome,
           uint64_t first_us)
{
    return strcmp(outcome, "answered") == 0 && exchange->status < 400 &&
           exchange->sends == 1 && !exchange->gateway->is_draining &&
           (exchange->route->objective_ms == 0 ||
            first_us <= exchange->route->objective_ms * 1000ULL) &&
           !pgw_stream_pace_is_late(exchange);
}

static const char *
workspace_name(const struct pgw_workspace *workspace)
{
    return workspace == NULL ? "-" : workspace->name;
}

static void
log_request_end(const struct pgw_exchange *exchange, const char *outcome)
{
    uint64_t now = pgw_now_us();
    uint64_t first = exchange->first_event_us == 0
                         ? 0
                         : exchange->first_event_us - exchange->received_us;
    uint64_t queued = exchange->queued_us;

    if (exchange->queued_at_us > 0) {
        queued += now - exchange->queued_at_us;
    }
    pgw_log_some(
        is_routine(exchange, outcome, first), "request_end",
        "request=%s route=%s service=%s rank=%u "
        "config=%" G_GUINT64_FORMAT " outcome=%s status=%u objective_ms=%u "
        "limit_ms=%" G_GUINT64_FORMAT " queued_ms=%" G_GUINT64_FORMAT
        " sends=%u runs=%u load=%u "
        "load_age_ms=%" G_GUINT64_FORMAT " "
        "upstream=%s weights=%" G_GUINT64_FORMAT
        " tokens=%u homes=%zu probe_ms=%" G_GUINT64_FORMAT
        " missing=%u fetch=%s "
        "first_ms=%" G_GUINT64_FORMAT " total_ms=%" G_GUINT64_FORMAT
        " events=%" G_GUINT64_FORMAT
        " workspace=%s pause_ms=%" G_GUINT64_FORMAT
        " pause_objective_ms=%u pause_prompts=%u "
        "forecast_first_ms=%.0f forecast_end_ms=%.0f",
        exchange->facts.id, exchange->route->name, exchange->service,
        pgw_exchange_rank(exchange, PGW_WAIT_QUEUE_RANKS),
        pgw_route_table_version(exchange->table), outcome, exchange->status,
        exchange->route->objective_ms,
        (exchange->deadline_us - exchange->received_us) / 1000, queued / 1000,
        exchange->sends, exchange->runs, exchange->load_at_choice,
        exchange->load_report_age_us / 1000,
        exchange->tried_count == 0
            ? "-"
            : exchange->tried[exchange->tried_count - 1]->id,
        exchange->weights, exchange->facts.prompt.tokens,
        exchange->homes.count, exchange->probes_waited_us / 1000,
        exchange->missing_tokens,
        exchange->fetch_source == NULL ? "-" : exchange->fetch_source,
        first / 1000, (now - exchange->received_us) / 1000,
        exchange->events.events, workspace_name(exchange->workspace),
        exchange->pace.longest_pause_us / 1000,
        exchange->route->pause_objective_ms, exchange->pace.long_prefills,
        exchange->forecast.first_ms, exchange->forecast.end_ms);
    if (first > 0) {
        pgw_metric_histogram_record_us(&first_answer_time, first);
    }
    pgw_stream_pace_record(exchange, strcmp(outcome, "answered") == 0, now);
}

void
pgw_exchange_finish(struct pgw_exchange *exchange, const char *outcome)
{
    struct pgw_gateway *gateway = exchange->gateway;

    log_request_end(exchange, outcome);
    pgw_exchange_free(exchange);
    pgw_gateway_dispatch_queued(gateway);
}

static void
answer_with_error(struct pgw_caller *caller, unsigned status,
                  const char *reason, bool ran, uint32_t retry_after_ms)
{
    char fields[128];
    char body[256];
    int size = g_snprintf(
        body, sizeof(body),
        "{\"error\":{\"code\":\"%s\",\"ran\":\"%s\",\"retry_after_ms\":%u}}",
        reason, ran ? "unknown" : "no", retry_after_ms);

    g_snprintf(fields, sizeof(fields), "Content-Type: application/json\r\n");
    if (retry_after_ms > 0) {
        g_snprintf(fields, sizeof(fields),
                   "Content-Type: application/json\r\n"
                   "Retry-After: %u.%03u\r\n",
                   retry_after_ms / 1000, retry_after_ms % 1000);
    }
    pgw_metric_counter_add(&refusals, 1);
    pgw_caller_begin(caller, status, fields, size);
    pgw_caller_write(caller, body, (size_t)size);
    pgw_caller_end(caller);
}

void
pgw_exchange_refuse(struct pgw_exchange *exchange, unsigned status,
                    const char *reason, uint32_t retry_after_ms)
{
    struct pgw_caller *caller = exchange->caller;

    exchange->status = status;
    if (caller != NULL) {
        exchange->caller = NULL;
        caller->owner = NULL;
        log_request_end(exchange, reason);
        if (exchange->phase == PGW_PHASE_RELAYING) {
            pgw_caller_abort(caller);
        }
        else {
            answer_with_error(caller, status, reason,
                              pgw_exchange_may_have_run(exchange),
                              retry_after_ms);
        }
    }
    struct pgw_gateway *gateway = exchange->gateway;

    pgw_exchange_free(exchange);
    pgw_gateway_dispatch_queued(gateway);
}

struct pgw_drain_request
pgw_exchange_drain_request(const struct pgw_exchange *exchange)
{
    const struct pgw_run_times *times = g_hash_table_lookup(
        exchange->gateway->run_times, exchange->route->name);

    return (struct pgw_drain_request){
        .deadline_us = exchange->deadline_us,
        .longest_run_us = times == NULL ? 0 : pgw_run_times_longest_us(times),
        .may_run_again = pgw_route_may_run_again(exchange->route),
    };
}

bool
pgw_exchange_fits_drain(const struct pgw_exchange *exchange)
{
    const struct pgw_gateway *gateway = exchange->gateway;
    const struct pgw_drain_request request =
        pgw_exchange_drain_request(exchange);

    return !gateway->is_draining ||
           pgw_drain_window_fits(&gateway->drain, &request, pgw_now_us());
}

void
pgw_exchange_record_run(const struct pgw_exchange *exchange)
{
    struct pgw_gateway *gateway = exchange->gateway;
    uint64_t now = pgw_now_us();
    struct pgw_run_times *times =
        g_hash_table_lookup(gateway->run_times, exchange->route->name);

    if (times == NULL) {
        if (g_hash_table_size(gateway->run_times) >= RUN_TIMES_MAX) {
            g_hash_table_remove_all(gateway->run_times);
        }
        times = g_new0(struct pgw_run_times, 1);
        g_hash_table_insert(gateway->run_times,
                            g_strdup(exchange->route->name), times);
    }
    pgw_run_times_add(times, now - exchange->sent_us, now);
}

void
pgw_exchange_refuse_stopping(struct pgw_exchange *exchange)
{
    pgw_exchange_refuse(exchange,
                        pgw_exchange_may_have_run(exchange) ? 502 : 503,
                        "stopping", 0);
}

static bool
needs_lanes(const struct pgw_exchange *exchange)
{
    const struct pgw_gateway_options *options = &exchange->gateway->options;

    return exchange->facts.model != NULL &&
           exchange->route->pause_objective_ms > 0 &&
           options->lanes.window_us > 0 &&
           pgw_policy_is_on(&options->policy, PGW_MECHANISM_LANES);
}

/* Updates the division of a service's pool. Returns NULL where no pause is
 * promised. */
static struct pgw_lanes *
update_lanes(struct pgw_exchange *exchange, uint64_t now_us)
{
    struct pgw_gateway *gateway = exchange->gateway;
    const struct pgw_upstream_pool *pool =
        pgw_upstream_table_pool(gateway->upstreams, exchange->service);
    struct pgw_lanes *lanes =
        g_hash_table_lookup(gateway->lanes, exchange->service);

    if (pool == NULL) {
        return NULL;
    }
    if (!needs_lanes(exchange)) {
        if (lanes != NULL) {
            pgw_lanes_expire(lanes, &gateway->options.lanes, pool, now_us);
        }
        return NULL;
    }
    if (lanes == NULL) {
        lanes = g_new0(struct pgw_lanes, 1);
        g_hash_table_insert(gateway->lanes, g_strdup(exchange->service),
                            lanes);
    }
    pgw_lanes_update(lanes, &gateway->options.lanes, pool, now_us);
    return lanes;
}

/* When the caller gives up unless the first event has come. */
static uint64_t
first_event_due_us(const struct pgw_exchange *exchange)
{
    return exchange->route->patience_ms == 0
               ? exchange->deadline_us
               : MIN(exchange->deadline_us,
                     exchange->received_us +
                         exchange->route->patience_ms * 1000ULL);
}

static uint64_t
time_left_us(const struct pgw_exchange *exchange, uint64_t now_us)
{
    uint64_t due_us = first_event_due_us(exchange);

    return due_us > now_us ? due_us - now_us : 0;
}

/* Until when the request may wait for an engine's backlog: not for so long
 * that it could not end before its deadline, or that its caller leaves. */
static uint64_t
backlog_wait_end_us(const struct pgw_exchange *exchange)
{
    uint64_t limit_us = first_event_due_us(exchange) - exchange->received_us;

    return exchange->received_us +
           (uint64_t)((double)limit_us * BACKLOG_WAIT_SHARE);
}

static bool
may_wait_for_backlog(const struct pgw_exchange *exchange, uint64_t now_us)
{
    return exchange->phase != PGW_PHASE_RELAYING &&
           exchange->route->pause_objective_ms > 0 &&
           pgw_policy_is_on(&exchange->gateway->options.policy,
                            PGW_MECHANISM_BACKLOG_WAIT) &&
           now_us < backlog_wait_end_us(exchange);
}

/* @tried_count: number of the upstreams tried before that are left out
 * @only: the only upstream that may be chosen, NULL: any */
static void
choose_among(struct pgw_choice *out, const struct pgw_exchange *exchange,
             size_t tried_count, const struct pgw_upstream *only)
{
    struct pgw_gateway *gateway = exchange->gateway;
    const struct pgw_service *service =
        pgw_route_table_service(exchange->table, exchange->service);
    const struct pgw_target_weights *target =
        exchange->facts.model == NULL
            ? NULL
            : g_hash_table_lookup(gateway->target_weights,
                                  exchange->facts.model);
    struct pgw_choose_input input = {
        .pool = pgw_upstream_table_pool(gateway->upstreams, exchange->service),
        .tried = exchange->tried,
        .tried_count = tried_count,
        .only = only,
        .software = exchange->software_is_fixed ? exchange->software : NULL,
        .now_us = pgw_now_us(),
        .random = pgw_random_u64(),
    };

    if (exchange->facts.model != NULL) {
        input.prompt = &exchange->facts.prompt;
        input.homes = &exchange->homes;
        input.model = exchange->facts.model;
        input.run_ms = gateway->ms_per_output_token.value *
                       exchange->facts.prompt.output_tokens;
        input.load_wait_ms = gateway->load_wait_ms;
        input.prefill_tokens_per_ms = gateway->prefill_rate.value;
        input.objective_ms = exchange->route->objective_ms;
        input.may_wait = may_wait_for_backlog(exchange, input.now_us);
        input.granted = exchange->claim_is_granted ? exchange->claimed : NULL;
        input.kv_tokens = service == NULL ? 0 : service->kv_tokens;
        input.size = HEAD_SIZE_ESTIMATE +
                     (exchange->caller == NULL
                          ? 0
                          : pgw_buffer_size(&exchange->caller->body));
    }
    if (target != NULL) {
        input.newest_version = pgw_target_weights_newest(target);
        input.version = pgw_target_weights_oldest_preferred(
            target,
            pgw_policy_is_on(&gateway->options.policy,
                             PGW_MECHANISM_WEIGHTS_GRACE)
                ? gateway->options.weights_grace_us
                : 0,
            input.now_us);
        input.target_weights = target;
        input.old_weights_usable_us = gateway->options.old_weights_usable_us;
    }
    pgw_choose(out, &input, &gateway->options.choose);
}

static void
choose_upstream(struct pgw_choice *out, const struct pgw_exchange *exchange,
                size_t tried_count)
{
    const struct pgw_upstream *has_room = pgw_trial_room_at(exchange);

    choose_among(out, exchange, tried_count, has_room);
    if (out->upstream == NULL && has_room != NULL) {
        choose_among(out, exchange, tried_count, NULL);
    }
}

bool
pgw_exchange_has_free_upstream(const struct pgw_exchange *exchange)
{
    struct pgw_choice choice;

    choose_upstream(&choice, exchange, exchange->tried_count);
    return choice.upstream != NULL;
}

/* A request that is queued for longer could not end before its deadline. An
 * earlier refusal leaves the caller time for a retry. */
uint64_t
pgw_exchange_queue_time_us(const struct pgw_exchange *exchange,
                           uint64_t now_us)
{
    return (uint64_t)((double)time_left_us(exchange, now_us) *
                      exchange->gateway->options.queue_time_share);
}

/* Queued requests for the same service that are dispatched before a request of
 * this rank. */
static unsigned
count_queued_before(const struct pgw_exchange *exchange)
{
    const struct pgw_gateway *gateway = exchange->gateway;
    unsigned rank = pgw_exchange_rank(exchange, PGW_WAIT_QUEUE_RANKS);
    unsigned count = pgw_room_wait_count_before(exchange);

    for (unsigned i = 0; i <= rank; i++) {
        pgw_list_foreach (link, &gateway->waiting.queues[i]) {
            const struct pgw_exchange *other =
                pgw_container_of(link, struct pgw_exchange, waiting.link);

            count += strcmp(other->service, exchange->service) == 0;
        }
    }
    return count;
}

/* Estimated time until the first of the upstreams that hold requests back, by
 * their limits or the backoff that they requested, takes this request. */
static uint64_t
throttle_delay_us(const struct pgw_exchange *exchange,
                  const struct pgw_choice *choice, uint64_t now_us)
{
    uint64_t wait_us = UINT64_MAX;

    if (choice->limited_per_s > 0) {
        wait_us = pgw_upstream_limits_wait_us(
            exchange->gateway, choice->limited_per_s,
            count_queued_before(exchange) + 1);
    }
    if (choice->backoff_until_us > now_us) {
        wait_us = MIN(wait_us, choice->backoff_until_us - now_us);
    }
    return wait_us;
}

/* The retry times of callers are spread over half of the delay, so that those
 * refused together do not return together. */
static uint32_t
throttled_retry_ms(uint64_t delay_us)
{
    uint64_t retry_ms = MIN(delay_us / 1000, THROTTLED_RETRY_MAX_MS);

    return (uint32_t)(retry_ms + pgw_random_u64() % (retry_ms / 2 + 1));
}

/* A caller that returns may be served by any upstream, also by one that was
 * tried. */
uint32_t
pgw_exchange_retry_ms(const struct pgw_exchange *exchange)
{
    struct pgw_choice choice;
    uint64_t now_us = pgw_now_us();
    uint32_t room_ms = pgw_room_wait_retry_ms(exchange, "not_placed");

    if (room_ms > 0) {
        return room_ms;
    }
    choose_upstream(&choice, exchange, 0);
    return choice.upstream == NULL && choice.only_throttled
               ? MAX(throttled_retry_ms(
                         throttle_delay_us(exchange, &choice, now_us)),
                     NO_SLOT_RETRY_MS)
               : NO_SLOT_RETRY_MS;
}

/* The room is not known any more if the others that waited are gone. */
static uint32_t
no_room_retry_ms(const struct pgw_exchange *exchange)
{
    uint32_t room_ms = pgw_room_wait_retry_ms(exchange, "no_room");

    return room_ms > 0 ? room_ms : NO_SLOT_RETRY_MS;
}

/* A request that never reached an upstream is reported as not run; for any
 * other the outcome is unknown. */
static void
on_deadline(struct pgw_timer *timer)
{
    struct pgw_exchange *exchange =
        pgw_container_of(timer, struct pgw_exchange, deadline_timer);

    if (exchange->caller == NULL) {
        pgw_exchange_finish(exchange, "abandoned");
        return;
    }
    if (!pgw_exchange_may_have_run(exchange)) {
        pgw_exchange_refuse(exchange, 503, "no_place",
                            pgw_exchange_retry_ms(exchange));
        return;
    }
    if (exchange->upstream != NULL) {
        pgw_upstream_record_attempt(exchange->upstream, PGW_RESULT_TIMEOUT,
                                    pgw_now_us());
    }
    pgw_exchange_refuse(exchange, 504, "deadline", 0);
}

static void
on_queue_timeout(struct pgw_timer *timer)
{
    struct pgw_exchange *exchange =
        pgw_container_of(timer, struct pgw_exchange, queue_timer);

    if (exchange->may_have_run) {
        pgw_exchange_refuse(exchange, 502, "no_place_to_repeat", 0);
    }
    else if (exchange->is_displaced) {
        pgw_exchange_refuse(exchange, 503, "no_room",
                            no_room_retry_ms(exchange));
    }
    else {
        pgw_exchange_refuse(exchange, 503, "no_place",
                            pgw_exchange_retry_ms(exchange));
    }
}

/*
 * Failure: all upstreams of a pool are at their limits or want no requests.
 * Symptom: callers wait in the queue for requests that others get first, and
 * are refused only when no time is left to try elsewhere. A request whose turn
 * would come too late is refused at once, with the time until its turn. The
 * turn of a queued request at a limit is an estimate that changes with the
 * grants of its owner, so that request waits on.
 */
static bool
refuse_throttled(struct pgw_exchange *exchange,
                 const struct pgw_choice *choice, uint64_t now_us)
{
    bool is_queued = pgw_list_is_linked(&exchange->waiting.link);
    uint64_t delay_us;

    if (!choice->only_throttled || (is_queued && choice->limited_per_s > 0)) {
        return false;
    }
    delay_us = throttle_delay_us(exchange, choice, now_us);
    if (delay_us <= pgw_exchange_queue_time_us(exchange, now_us)) {
        return false;
    }
    if (exchange->may_have_run) {
        pgw_exchange_refuse(exchange, 502, "no_place_to_repeat", 0);
        return true;
    }
    pgw_exchange_refuse(exchange, 503,
                        choice->limited_per_s > 0 ? "upstream_limits"
                                                  : "upstreams_in_backoff",
                        throttled_retry_ms(delay_us));
    return true;
}

/* Returns false if the request was refused, and is freed. */
static bool
enqueue(struct pgw_exchange *exchange, uint64_t now_us)
{
    struct pgw_gateway *gateway = exchange->gateway;
    bool is_patient = exchange->turn.is_resumed || exchange->turn.returned;

    /* A stream that is queued to resume keeps its phase, since its head was
     * sent: a second head would appear within the caller's answer. It goes
     * before all that have not begun. */
    if (exchange->phase != PGW_PHASE_RELAYING) {
        exchange->phase = PGW_PHASE_QUEUED;
    }
    if (exchange->share == NULL || exchange->phase == PGW_PHASE_RELAYING) {
        pgw_wait_queue_add(&gateway->waiting, &exchange->waiting,
                           pgw_exchange_rank(exchange, PGW_WAIT_QUEUE_RANKS));
    }
    else if (pgw_room_wait_begin(exchange, now_us)) {
        pgw_wait_queue_add_shared(&gateway->waiting, &exchange->waiting);
    }
    else {
        pgw_exchange_refuse(exchange, 503, "no_room",
                            no_room_retry_ms(exchange));
        return false;
    }
    exchange->queued_at_us = now_us;
    pgw_metric_gauge_set(&queued_now, gateway->waiting.count);
    exchange->queue_timer.on_due = on_queue_timeout;
    pgw_timer_start(gateway->loop, &exchange->queue_timer,
                    pgw_exchange_queue_time_us(exchange, now_us) *
                        (is_patient ? PGW_RETURNED_PATIENCE : 1));
    return true;
}

/*
 * Failure: a request was queued for a free slot before it waits for a backlog,
 * or the backlog is longer than its wait. Symptom: it is refused as not run,
 * though engines could have taken it. It stays queued until its wait ends, and
 * is tried then.
 */
static void
wait_for_backlog(struct pgw_exchange *exchange, uint64_t now_us)
{
    struct pgw_gateway *gateway = exchange->gateway;
    double share = MAX(gateway->options.queue_time_share, BACKLOG_QUEUE_SHARE);
    uint64_t end_us =
        exchange->queued_at_us +
        (uint64_t)((double)time_left_us(exchange, exchange->queued_at_us) *
                   share);

    pgw_gateway_dispatch_queued_at(gateway, backlog_wait_end_us(exchange));
    pgw_timer_start(gateway->loop, &exchange->queue_timer,
                    end_us > now_us ? end_us - now_us : 0);
}

/* The configuration may have changed while the request was queued. */
static void
update_cache_scope(struct pgw_exchange *exchange)
{
    exchange->facts.prompt.cache_scope = pgw_isolation_scope(
        exchange->gateway->isolation,
        exchange->workspace == NULL ? NULL : exchange->workspace->name);
}

void
pgw_exchange_dispatch(struct pgw_exchange *exchange)
{
    struct pgw_gateway *gateway = exchange->gateway;
    uint64_t now = pgw_now_us();
    struct pgw_choice choice;
    struct pgw_lanes *lanes;
    bool takes_turn;

    if (exchange->deadline_us < now + MIN_ATTEMPT_TIME_US) {
        on_deadline(&exchange->deadline_timer);
        return;
    }
    /*
     * Failure: a request is complete, gets a slot or is retried late in a
     * planned stop. Symptom: it is cut at the end of the grace period with an
     * unknown outcome.
     */
    if (!pgw_exchange_fits_drain(exchange)) {
        pgw_exchange_refuse_stopping(exchange);
        return;
    }
    update_cache_scope(exchange);
    lanes = update_lanes(exchange, now);
    if (pgw_prefill_claim_is_pending(exchange) ||
        pgw_suspect_wait_begin(exchange) || pgw_run_cover_dispatch(exchange) ||
        pgw_stream_origin_begin(exchange) || pgw_home_probe_begin(exchange)) {
        return;
    }
    choose_upstream(&choice, exchange, exchange->tried_count);
    if (choice.limited != NULL) {
        pgw_upstream_limits_want(gateway, choice.limited,
                                 !pgw_list_is_linked(&exchange->waiting.link));
    }
    takes_turn = !pgw_list_is_linked(&exchange->waiting.link) &&
                 !exchange->claim_is_granted &&
                 pgw_room_wait_has_turns(exchange);
    if (choice.upstream != NULL &&
        (takes_turn ||
         !pgw_suspect_wait_is_apart(exchange, choice.upstream))) {
        choice.upstream = NULL;
    }
    if (choice.upstream != NULL &&
        pgw_trial_room_begin(exchange, choice.upstream)) {
        return;
    }
    if (choice.upstream != NULL &&
        pgw_prefill_claim_begin(exchange, &choice)) {
        return;
    }
    if (choice.upstream != NULL) {
        if (exchange->claimed == choice.upstream) {
            pgw_prefill_claim_take(exchange);
        }
        else {
            pgw_prefill_claim_drop(exchange);
        }
        pgw_room_wait_end(exchange, &choice);
        leave_queue(exchange);
        pgw_trial_room_drop(exchange);
        pgw_suspect_wait_end(exchange, choice.upstream);
        if (lanes != NULL) {
            pgw_lanes_count_prompt(lanes, &gateway->options.lanes,
                                   choice.pending_tokens,
                                   exchange->facts.prompt.tokens, now);
        }
        pgw_exchange_send(exchange, &choice);
        return;
    }
    pgw_prefill_claim_drop(exchange);
    pgw_gateway_dispatch_queued_at(gateway, choice.retry_at_us);
    if (refuse_throttled(exchange, &choice, now)) {
        return;
    }
    if (!pgw_list_is_linked(&exchange->waiting.link)) {
        if (!enqueue(exchange, now)) {
            return;
        }
        if (takes_turn) {
            pgw_gateway_dispatch_queued(gateway);
        }
    }
    if (choice.waits_for_backlog && !exchange->turn.returned &&
        !exchange->is_displaced) {
        wait_for_backlog(exchange, now);
    }
}

static struct pgw_exchange *
exchange_new(struct pgw_gateway *gateway, struct pgw_caller *caller,
             const struct pgw_request_facts *facts,
             const struct pgw_route *route,
             const struct pgw_workspace *workspace)
{
    struct pgw_exchange *exchange = g_new0(struct pgw_exchange, 1);
    uint64_t limit_ms = facts->deadline_ms;

    exchange->gateway = gateway;
    exchange->caller = caller;
    caller->owner = exchange;
    exchange->table = pgw_route_table_ref(gateway->routes);
    exchange->route = route;
    exchange->workspace = workspace;
    exchange->facts = *facts;
    /* The caller's head may be freed before the upstream has answered. */
    exchange->facts.id = g_strdup(facts->id);
    exchange->facts.model = g_strdup(facts->model);
    exchange->facts.resumes = g_strdup(facts->resumes);
    exchange->received_us = caller->received_at_us;
    if (limit_ms == 0 ||
        (route->timeout_ms > 0 && route->timeout_ms < limit_ms)) {
        limit_ms = route->timeout_ms;
    }
    exchange->deadline_us = exchange->received_us + limit_ms * 1000;
    exchange->service = pgw_route_pick(route, pgw_random_u64());
    update_cache_scope(exchange);
    exchange->deadline_timer.on_due = on_deadline;
    pgw_list_append(&gateway->exchanges, &exchange->in_gateway);
    return exchange;
}

static void
refuse_request(const struct pgw_gateway *gateway, struct pgw_caller *caller,
               const char *id, const struct pgw_workspace *workspace,
               unsigned status, const char *reason, uint32_t retry_after_ms)
{
    const struct pgw_route_table *routes = gateway->routes;

    pgw_log_info(
        "request_refused",
        "request=%s status=%u reason=%s config=%" G_GUINT64_FORMAT
        " config_age_ms=%" G_GUINT64_FORMAT " workspace=%s",
        id, status, reason,
        routes == NULL ? 0 : pgw_route_table_version(routes),
        routes == NULL ? 0 : (pgw_now_us() - gateway->routes_set_at_us) / 1000,
        workspace_name(workspace));
    answer_with_error(caller, status, reason, false, retry_after_ms);
}

/* Of path, workspace and body. Header fields are left out because they differ
 * when a caller resends the request. */
static void
compute_fingerprint(struct pgw_fingerprint *out, struct pgw_caller *caller,
                    const struct pgw_request_facts *facts,
                    const struct pgw_workspace *workspace)
{
    char *content =
        g_strdup_printf("%s %s%s %s", caller->head->method, facts->host,
                        pgw_http_head_target(caller->head),
                        workspace == NULL ? "" : workspace->name);

    pgw_fingerprint_compute(out, content, pgw_buffer_head(&caller->body),
                            pgw_buffer_size(&caller->body));
    g_free(content);
}

/* The last part of a prompt is the request's own. */
static void
fill_crash_keys(struct pgw_crash_keys *out, struct pgw_caller *caller,
                const struct pgw_request_facts *facts,
                const struct pgw_workspace *workspace)
{
    const struct pgw_prompt *prompt = &facts->prompt;
    struct pgw_fingerprint request;

    G_STATIC_ASSERT(PGW_CRASH_KEYS_MAX >= PGW_PROMPT_PARTS_MAX);
    compute_fingerprint(&request, caller, facts, workspace);
    pgw_crash_keys_init(out, &request);
#ifndef PGW_DISABLE_POISON_PARTS
    for (size_t i = 0; i + 1 < prompt->part_count; i++) {
        pgw_crash_keys_add_part(out, prompt->parts[i].id, prompt->isolated_to);
    }
#endif
}

void
pgw_exchange_begin(struct pgw_gateway *gateway, struct pgw_caller *caller)
{
    struct pgw_request_facts facts = {0};
    const struct pgw_workspace *workspace = NULL;
    const struct pgw_route *route;
    struct pgw_exchange *exchange;
    struct pgw_crash_keys crash_keys;
    uint64_t now = pgw_now_us();

    register_metrics();
    pgw_metric_counter_add(&requests, 1);
    if (!gateway->options.codec->read_request(&facts, caller->head)) {
        refuse_request(gateway, caller, "-", NULL, 400, "malformed", 0);
        return;
    }
    g_strlcpy(caller->name, facts.id, sizeof(caller->name));
    if (gateway->refuses_all) {
        refuse_request(gateway, caller, facts.id, NULL, 503, "stopping", 0);
        return;
    }
    if (gateway->routes == NULL) {
        refuse_request(gateway, caller, facts.id, NULL, 503,
                       "no_configuration", NO_CONFIG_RETRY_MS);
        return;
    }
    route = pgw_route_table_match(gateway->routes, facts.host,
                                  pgw_http_head_target(caller->head));
    if (route == NULL) {
        refuse_request(gateway, caller, facts.id, NULL, 404, "no_route", 0);
        return;
    }
    if (!route->open && pgw_route_table_requires_keys(gateway->routes)) {
        workspace =
            facts.key == NULL
                ? NULL
                : pgw_route_table_workspace(gateway->routes, facts.key);
        if (workspace == NULL) {
            refuse_request(gateway, caller, facts.id, NULL, 401,
                           "unauthorized", 0);
            return;
        }
    }
    if (workspace != NULL && workspace->isolated) {
        facts.prompt.isolated_to = workspace->name;
    }
    fill_crash_keys(&crash_keys, caller, &facts, workspace);
    /*
     * Failure: a request crashes each engine that runs it, and its caller
     * resends it, or others send one with the same faulty part in its prompt.
     * Symptom: an engine with all its requests is lost every few seconds. The
     * request is refused before it reaches an engine. Entries gossip the runs
     * that crashed, so every entry refuses it.
     */
    if (pgw_crash_quarantine_is_active(gateway->crash_quarantine, &crash_keys,
                                       now)) {
        pgw_metric_counter_add(&quarantined, 1);
        refuse_request(gateway, caller, facts.id, workspace, 503,
                       "crashes_upstreams", PGW_CRASH_QUARANTINE_RETRY_MS);
        return;
    }
    exchange = exchange_new(gateway, caller, &facts, route, workspace);
    exchange->crash_keys = crash_keys;
    exchange->crash_keys.pool = pgw_place_id_hash(exchange->service);
    pgw_room_wait_init(exchange);
    pgw_retry_budgets_deposit(gateway->budgets, exchange->service);
    pgw_retry_budgets_count_request(gateway->budgets, exchange->service, now);
    pgw_timer_start(gateway->loop, &exchange->deadline_timer,
                    exchange->deadline_us > now ? exchange->deadline_us - now
                                                : 0);
    if (pgw_quota_admit(gateway->quota, exchange)) {
        pgw_exchange_dispatch(exchange);
    }
}

/* The entry cannot see whether an upstream stops a cancelled run. The log line
 * shows how late the disconnect was noticed and whether the upstream was
 * reachable. */
static void
log_cancelled_run(const struct pgw_exchange *exchange, uint64_t unnoticed_us)
{
    const struct pgw_upstream *upstream = exchange->upstream;
    uint64_t now = pgw_now_us();
    struct pgw_call_socket_state socket;

    pgw_call_socket_state(&socket, &exchange->call);
    pgw_log_info("run_cancelled",
                 "request=%s upstream=%s late_ms=%" G_GUINT64_FORMAT
                 " sent_ms=%" G_GUINT64_FORMAT " heard_ms=%" G_GUINT64_FORMAT
                 " port=%u reused=%d unacked=%d events=%" G_GUINT64_FORMAT,
                 exchange->facts.id, upstream->id, unnoticed_us / 1000,
                 (now - exchange->sent_us) / 1000,
                 upstream->last_seen_us == 0
                     ? 0
                     : (now - upstream->last_seen_us) / 1000,
                 socket.port, exchange->call.earlier_calls > 0, socket.unacked,
                 exchange->events.events);
}

void
pgw_exchange_handle_caller_gone(struct pgw_exchange *exchange)
{
    uint64_t unnoticed_us = exchange->caller->gone_unnoticed_us;

    exchange->caller = NULL;
    /*
     * A request that must not run twice is left to complete, since after a
     * cancel its outcome would be unknown. Any other is cancelled: nobody
     * would receive its answer.
     */
    if (exchange->upstream != NULL && !exchange->route->repeatable &&
        !exchange->route->stream) {
        return;
    }
    if (exchange->upstream != NULL && pgw_call_is_running(&exchange->call)) {
        log_cancelled_run(exchange, unnoticed_us);
    }
    pgw_exchange_finish(exchange, "caller_gone");
}
