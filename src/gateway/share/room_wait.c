#include "gateway/request/exchange.h"
#include "gateway/request/stream_origins.h"
#include "parsleygw/level.h"
#include "util/log.h"
#include "util/metric.h"
#include "util/random.h"
#include <string.h>

/* Part of its remaining time for which a caller stays away when told to: under
 * the third that callers grant, so that one whose clock differs or whose
 * answer takes a while still heeds it. */
#define HEEDED_SHARE 0.3
/* Requests that are passed over in one turn of the loop because nothing can
 * take them. More would let a long queue hold up the loop. */
#define PASSED_MAX 64
/* Part of the objective above which a wait is logged. */
#define LOGGED_WAIT_SHARE 0.1

static struct pgw_metric_counter refused_no_room = {
    .name = "pgw_share_refused_total",
    .help = "Requests for shared services that were refused while others "
            "waited",
    .labels = "reason=\"no_room\"",
};
static struct pgw_metric_counter refused_not_placed = {
    .name = "pgw_share_refused_total",
    .help = "Requests for shared services that were refused while others "
            "waited",
    .labels = "reason=\"not_placed\"",
};
static struct pgw_metric_counter promised = {
    .name = "pgw_share_promised_total",
    .help = "Refusals whose time to return has room that was promised to "
            "nobody else",
};
static struct pgw_metric_counter returned = {
    .name = "pgw_share_returned_total",
    .help = "Callers that returned at a time that an entry had promised",
};
static struct pgw_metric_counter returned_in_time = {
    .name = "pgw_share_returned_in_time_total",
    .help = "Of these, callers that got their first event within the "
            "objective of that attempt",
};

static void
register_metrics(void)
{
    pgw_metric_register_counter(&refused_no_room);
    pgw_metric_register_counter(&refused_not_placed);
    pgw_metric_register_counter(&promised);
    pgw_metric_register_counter(&returned);
    pgw_metric_register_counter(&returned_in_time);
}

static const char *
workspace_of(const struct pgw_exchange *exchange)
{
    return exchange->workspace == NULL ? "-" : exchange->workspace->name;
}

/* By what the caller sends, since each attempt has another id. */
static uint64_t
return_key(const struct pgw_exchange *exchange)
{
    const struct pgw_fingerprint *request = &exchange->crash_keys.items[0];
    uint64_t key;

    G_STATIC_ASSERT(sizeof(key) <= sizeof(*request));
    memcpy(&key, request, sizeof(key));
    return key;
}

static uint64_t
before_us(uint64_t at_us, double ms)
{
    uint64_t us = (uint64_t)(MAX(ms, 0) * 1000);

    return at_us > us ? at_us - us : 1;
}

static void
recognise(struct pgw_exchange *exchange)
{
    struct pgw_queue_order_item *turn = &exchange->turn;
    struct pgw_returned_caller caller;
    enum pgw_returned how = pgw_returned_callers_take(
        &exchange->gateway->shares->returned, return_key(exchange),
        exchange->received_us, &caller);

    if (how == PGW_RETURNED_UNKNOWN) {
        return;
    }
    turn->returned = how == PGW_RETURNED_PROMISED;
    turn->is_early = how == PGW_RETURNED_EARLY;
    turn->in_time_start_us = caller.in_time_start_us;
    if (turn->is_early) {
        exchange->return_early = caller.at;
    }
    if (turn->returned) {
        pgw_metric_counter_add(&returned, 1);
    }
}

void
pgw_room_wait_init(struct pgw_exchange *exchange)
{
    struct pgw_gateway *gateway = exchange->gateway;
    const struct pgw_prompt *prompt = &exchange->facts.prompt;
    const struct pgw_workspace *workspace = exchange->workspace;
    struct pgw_queue_order_item *turn = &exchange->turn;
    double prefill_ms, run_ms;

    if (exchange->facts.model == NULL ||
        !pgw_policy_is_on(&gateway->options.policy,
                          PGW_MECHANISM_FAIR_SHARE)) {
        return;
    }
    register_metrics();
    exchange->share = pgw_share_table_get(gateway->shares, exchange->service);
    turn->admit.workspace = pgw_level_workspace_hash(workspace_of(exchange));
    turn->admit.share =
        pgw_queue_order_share(workspace == NULL ? 0 : workspace->priority);
    turn->admit.uncached_tokens = prompt->tokens;
    turn->admit.max_tokens = prompt->output_tokens;
    prefill_ms = gateway->prefill_rate.value > 0
                     ? prompt->tokens / gateway->prefill_rate.value
                     : 0;
    run_ms = gateway->ms_per_output_token.value * prompt->output_tokens;
    if (exchange->route->objective_ms > 0) {
        turn->in_time_start_us = before_us(
            exchange->received_us + exchange->route->objective_ms * 1000ULL,
            prefill_ms);
    }
    turn->late_start_us =
        before_us(exchange->deadline_us, prefill_ms + run_ms);
    turn->is_resumed = pgw_stream_origin_is_resumed(exchange);
    recognise(exchange);
}

bool
pgw_room_wait_has_turns(const struct pgw_exchange *exchange)
{
    return exchange->share != NULL && exchange->phase != PGW_PHASE_RELAYING &&
           !pgw_queue_order_is_empty(&exchange->share->order);
}

/* Refuses another request, not before this one's turn of the loop ends:
 * whoever dispatches this one may be going through a list of requests. */
static void
displace(struct pgw_exchange *exchange)
{
    exchange->is_displaced = true;
    pgw_timer_start(exchange->gateway->loop, &exchange->queue_timer, 0);
}

bool
pgw_room_wait_begin(struct pgw_exchange *exchange, uint64_t now_us)
{
    struct pgw_share_verdict verdict;
    struct pgw_queue_order_item *turn = &exchange->turn;
    struct pgw_share_offer offer = {
        .item = turn,
        .workspace = workspace_of(exchange),
        .is_known = exchange->sends > 0,
        .now_us = now_us,
    };

    exchange->is_displaced = false;
    turn->turn_by_us =
        turn->is_resumed || turn->returned || exchange->sends > 0
            ? 0
            : MIN(turn->late_start_us,
                  now_us + pgw_exchange_queue_time_us(exchange, now_us));
    if (turn->turn_by_us > 0 && turn->is_early) {
        turn->turn_by_us = now_us;
    }
    else if (turn->turn_by_us > 0 && turn->in_time_start_us > now_us) {
        turn->turn_by_us = MIN(turn->turn_by_us, turn->in_time_start_us);
    }
    pgw_service_share_offer(&verdict, exchange->share, &offer);
    exchange->before = verdict.place;
    if (verdict.refused != NULL && verdict.refused != turn) {
        displace(pgw_container_of(verdict.refused, struct pgw_exchange, turn));
    }
    return verdict.refused != turn;
}

/* The estimate of a queued request counts its whole prompt; the charge leaves
 * out what the engine has cached. */
static double
cost_of(const struct pgw_exchange *exchange, const struct pgw_choice *choice)
{
    const struct pgw_prompt *prompt = &exchange->facts.prompt;
    uint32_t cached = choice->shared_tokens > choice->missing_tokens
                          ? choice->shared_tokens - choice->missing_tokens
                          : 0;

    return (double)prompt->tokens - MIN(cached, prompt->tokens) +
           prompt->output_tokens;
}

void
pgw_room_wait_end(struct pgw_exchange *exchange,
                  const struct pgw_choice *choice)
{
    uint64_t now = pgw_now_us();
    uint64_t waited_us =
        exchange->queued_us +
        (exchange->queued_at_us == 0 ? 0 : now - exchange->queued_at_us);

    if (exchange->share == NULL) {
        return;
    }
    if (exchange->queued_at_us > 0 &&
        (double)waited_us >
            exchange->route->objective_ms * 1000.0 * LOGGED_WAIT_SHARE) {
        pgw_log_some(true, "room_waited",
                     "request=%s workspace=%s service=%s returned=%d "
                     "waited_ms=%" G_GUINT64_FORMAT " before=%u "
                     "queued_tokens=%.0f tokens_per_s=%.0f",
                     exchange->facts.id, workspace_of(exchange),
                     exchange->service, exchange->turn.returned,
                     waited_us / 1000, exchange->before.before,
                     exchange->before.work,
                     pgw_room_per_s(&exchange->share->room, now));
    }
    pgw_service_share_serve(exchange->share, &exchange->turn,
                            cost_of(exchange, choice), now);
}

void
pgw_room_wait_drop(struct pgw_exchange *exchange)
{
    if (exchange->share != NULL) {
        pgw_service_share_leave(exchange->share, &exchange->turn);
    }
    exchange->before = (struct pgw_queue_place){0};
}

unsigned
pgw_room_wait_count_before(const struct pgw_exchange *exchange)
{
    if (exchange->share == NULL) {
        return 0;
    }
    return pgw_queue_order_has(&exchange->turn)
               ? exchange->before.before
               : exchange->share->order.fair.count;
}

static void
choose_return(struct pgw_return *out, const struct pgw_exchange *exchange,
              uint64_t now_us)
{
    uint64_t left_us =
        exchange->deadline_us > now_us ? exchange->deadline_us - now_us : 0;

    if (exchange->return_early.at_us > now_us) {
        *out = exchange->return_early;
        return;
    }
    pgw_service_share_return(out, exchange->share, &exchange->turn,
                             (uint64_t)((double)left_us * HEEDED_SHARE),
                             now_us, pgw_random_u64());
}

uint32_t
pgw_room_wait_retry_ms(const struct pgw_exchange *exchange, const char *reason)
{
    struct pgw_service_share *share = exchange->share;
    uint64_t now = pgw_now_us();
    double room_per_s = share == NULL ? 0 : pgw_room_per_s(&share->room, now);
    struct pgw_returned_caller caller = {
        .key = return_key(exchange),
        .in_time_start_us = exchange->turn.in_time_start_us,
    };
    const char *top;
    double top_part;

    if (room_per_s <= 0) {
        return 0;
    }
    choose_return(&caller.at, exchange, now);
    pgw_metric_counter_add(
        &promised, pgw_share_table_refuse(exchange->gateway->shares, &caller));
    pgw_metric_counter_add(strcmp(reason, "no_room") == 0
                               ? &refused_no_room
                               : &refused_not_placed,
                           1);
    top = pgw_fair_share_top(&share->shares, &top_part, now);
    pgw_log_info(
        "room_refused",
        "request=%s workspace=%s service=%s reason=%s returned=%d ratio=%.2f "
        "before=%u queued_tokens=%.0f tokens_per_s=%.0f "
        "retry_ms=%" G_GUINT64_FORMAT " promised=%d top=%s top_share=%.2f",
        exchange->facts.id, workspace_of(exchange), exchange->service, reason,
        exchange->turn.returned,
        pgw_fair_share_ratio(&share->shares, exchange->turn.admit.workspace,
                             room_per_s, now),
        exchange->before.before, exchange->before.work, room_per_s,
        (caller.at.at_us - now) / 1000, caller.at.is_promised, top, top_part);
    return (uint32_t)MAX((caller.at.at_us - now) / 1000, 1);
}

void
pgw_room_wait_count_result(const struct pgw_exchange *exchange)
{
    uint64_t objective_us = exchange->route->objective_ms * 1000ULL;

    if (exchange->turn.returned && exchange->first_event_us > 0 &&
        (objective_us == 0 ||
         exchange->first_event_us <= exchange->received_us + objective_us)) {
        pgw_metric_counter_add(&returned_in_time, 1);
    }
}

static void
dispatch_service(struct pgw_service_share *share)
{
    struct pgw_list turns;
    struct pgw_list *link;
    unsigned passed = 0;

    if (pgw_queue_order_is_empty(&share->order)) {
        return;
    }
    pgw_list_init(&turns);
    pgw_queue_order_list(&share->order, &turns, pgw_now_us());
    while ((link = pgw_list_first(&turns)) != NULL) {
        struct pgw_exchange *exchange =
            pgw_container_of(link, struct pgw_exchange, turn.admit.link);
        unsigned waiting = share->order.fair.count;

        pgw_list_remove(link);
        if (passed < PASSED_MAX) {
            pgw_exchange_dispatch(exchange);
            passed += share->order.fair.count >= waiting;
        }
    }
}

void
pgw_room_wait_dispatch(struct pgw_gateway *gateway)
{
    /* A refused caller's next request may be for a new service. */
    GList *shares = g_hash_table_get_values(gateway->shares->services);

    for (GList *item = shares; item != NULL; item = item->next) {
        dispatch_service(item->data);
    }
    g_list_free(shares);
}
