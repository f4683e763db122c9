#include "gateway/placement/response_timeout.h"
#include "gateway/placement/source.h"
#include "gateway/request/exchange.h"
#include "gateway/request/unconfirmed_refusal.h"
#include "gateway/upstream/announced_prompts.h"
#include "util/log.h"
#include "util/metric.h"
#include <string.h>

/* Engines get the route's priority alone, in steps of two. If the workspace's
 * priority came first, long prompts of one workspace would run before short
 * ones of another, which need less time. */
#define ROUTE_PRIORITY_STEP 2

static struct pgw_metric_counter sends = {
    .name = "pgw_gateway_sends_total",
    .help = "Attempts, including retries",
};

/* The upstream has not answered, but another one may still answer in time.
 * Closing the connection ends the run. A trial stays where it is: it may be
 * about to crash this upstream. */
static void
on_response_timeout(struct pgw_timer *timer)
{
    struct pgw_exchange *exchange =
        pgw_container_of(timer, struct pgw_exchange, response_timer);

    if (exchange->call.answered || exchange->trial != 0 ||
        !pgw_attempt_may_retry(exchange) ||
        !pgw_attempt_take_retry(exchange)) {
        return;
    }
    pgw_call_cancel(&exchange->call);
    pgw_attempt_record_result(exchange, PGW_RESULT_TIMEOUT);
    pgw_attempt_retry(exchange, "silent");
}

static void
start_response_timer(struct pgw_exchange *exchange)
{
    struct pgw_gateway *gateway = exchange->gateway;

    if (exchange->route->objective_ms == 0 ||
        !pgw_attempt_may_retry(exchange) ||
        exchange->phase == PGW_PHASE_RELAYING) {
        return;
    }
    exchange->response_timer.on_due = on_response_timeout;
    pgw_timer_start(
        gateway->loop, &exchange->response_timer,
        pgw_response_timeout_us((uint64_t)exchange->route->objective_ms * 1000,
                                gateway->options.response_timeout_share,
                                exchange->facts.model == NULL
                                    ? 0
                                    : MAX(exchange->facts.prompt.tokens, 1)));
}

static uint32_t
time_left_ms(const struct pgw_exchange *exchange)
{
    uint64_t now = pgw_now_us();

    return exchange->deadline_us <= now
               ? 1
               : (uint32_t)((exchange->deadline_us - now) / 1000);
}

/*
 * The prompt's shared parts are expected at the upstream from now on, so that
 * other requests with the same parts go there and no second engine prefills
 * them. A long prompt is announced even if all its parts are cached: otherwise
 * other entries would take the engine for idle until its next report.
 */
static void
announce(struct pgw_exchange *exchange, const struct pgw_choice *choice,
         uint64_t version)
{
    struct pgw_upstream *upstream = choice->upstream;
    const struct pgw_gateway *gateway = exchange->gateway;
    const struct pgw_prompt *prompt = &exchange->facts.prompt;
    struct pgw_shared_part new_parts[PGW_PROMPT_PARTS_MAX];
    struct pgw_announcement announcement = {.parts = new_parts};
    size_t count = 0;
    uint64_t now = pgw_now_us();
    char salt[PGW_CACHE_SALT_SIZE];

    pgw_cache_salt(salt, version, prompt->cache_scope);
    for (size_t i = 0; i + 1 < prompt->part_count; i++) {
        uint32_t tokens = prompt->parts[i].tokens;
        uint64_t key =
            pgw_part_key(exchange->facts.model, salt, prompt->parts[i].id);

        if (!pgw_upstream_has_part(upstream, key, tokens, true, now)) {
            new_parts[count++] =
                (struct pgw_shared_part){.key = key, .tokens = tokens};
        }
        pgw_recent_parts_add(&upstream->expected, key, now);
    }
    announcement.pending_tokens =
        prompt->tokens - choice->shared_tokens + choice->missing_tokens;
    announcement.prefilled_tokens = pgw_attempt_prefilled_tokens(
        exchange, announcement.pending_tokens, choice->missing_tokens);
    announcement.kv_tokens = prompt->tokens + prompt->output_tokens;
    announcement.request = pgw_announced_prompts_id(exchange->facts.id);
    announcement.count = count;
    if ((count > 0 ||
         announcement.pending_tokens >= PGW_LONG_PREFILL_TOKENS) &&
        gateway->sidecars != NULL &&
        pgw_policy_is_on(&gateway->options.policy,
                         PGW_MECHANISM_EXPECTED_PARTS)) {
        gateway->sidecars->announce(gateway->sidecars_context, upstream,
                                    &announcement);
        exchange->prefill_is_announced =
            announcement.pending_tokens >= PGW_LONG_PREFILL_TOKENS;
    }
}

/* The KV store for the prompt's parts, or NULL if there is none. */
static const struct pgw_service *
kv_store_for(const struct pgw_exchange *exchange)
{
    return pgw_policy_is_on(&exchange->gateway->options.policy,
                            PGW_MECHANISM_STORE)
               ? pgw_route_table_kv_store(exchange->table,
                                          exchange->facts.prompt.parts[0].id)
               : NULL;
}

static void
fill_kv_source(struct pgw_forward *forward, struct pgw_exchange *exchange,
               const struct pgw_choice *choice)
{
    const struct pgw_gateway *gateway = exchange->gateway;
    const struct pgw_service *store = kv_store_for(exchange);
    struct pgw_source_options options = PGW_SOURCE_OPTIONS_INIT;
    struct pgw_source_input input = {
        .shared = choice->shared_tokens,
        .missing = choice->missing_tokens,
        .has_holder = choice->holder != NULL,
        .holder_missing = choice->holder_missing,
        .has_store = store != NULL,
    };
    struct pgw_source source;

    options.requires_full_holder = pgw_policy_is_on(
        &gateway->options.policy, PGW_MECHANISM_STORE_REMAINDER);
    source = pgw_source_decide(&input, &options);
    if (source.from == PGW_SOURCE_ENGINE && choice->holder != NULL) {
        exchange->fetch_source = "engine";
        forward->fetch_from = choice->holder->address_text;
    }
    else if (source.from == PGW_SOURCE_STORE && store != NULL) {
        exchange->fetch_source = "store";
        forward->fetch_from = store->store_address;
    }
    if (source.save && store != NULL) {
        forward->save_to = store->store_address;
    }
}

static void
fill_engine_fields(struct pgw_forward *forward, struct pgw_exchange *exchange,
                   const struct pgw_choice *choice,
                   char salt[PGW_CACHE_SALT_SIZE])
{
    uint64_t version =
        pgw_upstream_version(choice->upstream, exchange->facts.model);

    exchange->weights = version;
    exchange->fetch_source = NULL;
    forward->weights = version;
    forward->cache_salt = salt;
    if (version == 0) {
        /* The version that will run the prompt is not known, so none of its
         * parts may be shared. */
        pgw_cache_salt_once(
            salt,
            exchange->workspace == NULL ? NULL : exchange->workspace->name,
            exchange->facts.id);
        return;
    }
    pgw_cache_salt(salt, version, exchange->facts.prompt.cache_scope);
    pgw_run_cover_fill(forward, exchange, choice);
    if (forward->backup_at == NULL) {
        fill_kv_source(forward, exchange, choice);
        announce(exchange, choice, version);
    }
}

static void
fill_forward(struct pgw_forward *out, struct pgw_exchange *exchange,
             const struct pgw_choice *choice, char salt[PGW_CACHE_SALT_SIZE])
{
    struct pgw_caller *caller = exchange->caller;

    *out = (struct pgw_forward){
        .head = caller->head,
        .body = pgw_buffer_head(&caller->body),
        .body_size = pgw_buffer_size(&caller->body),
        .instance = choice->upstream->id,
        .workspace =
            exchange->workspace == NULL ? NULL : exchange->workspace->name,
        .deadline_ms = time_left_ms(exchange),
        .priority = -1,
        .resume_after = exchange->facts.resume_after,
        .has_resume = exchange->facts.has_resume,
    };
    if (exchange->events.has_id) {
        out->resume_after = exchange->events.last_id;
        out->has_resume = true;
    }
    if (exchange->facts.model != NULL) {
        out->priority =
            pgw_policy_is_on(&exchange->gateway->options.policy,
                             PGW_MECHANISM_ROUTE_PRIORITY)
                ? (int)MIN(exchange->route->priority * ROUTE_PRIORITY_STEP,
                           PGW_PRIORITIES - 1)
                : 0;
        fill_engine_fields(out, exchange, choice, salt);
    }
}

/* A stream that goes on shows in the logs where it does. */
static void
log_resumption(const struct pgw_exchange *exchange,
               const struct pgw_forward *forward,
               const struct pgw_upstream *upstream)
{
    if (forward->has_resume) {
        pgw_log_info("stream_resumed",
                     "request=%s resumes=%s after=%" G_GUINT64_FORMAT
                     " upstream=%s software=%s",
                     exchange->facts.id,
                     exchange->facts.resumes == NULL ? "-"
                                                     : exchange->facts.resumes,
                     forward->resume_after, upstream->id, upstream->software);
    }
}

/* The late copy of an answer to an earlier attempt of the request has the same
 * id. An address that was listed again has another record. */
static bool
was_sent_to_address(const struct pgw_exchange *exchange,
                    const struct pgw_upstream *upstream)
{
    for (size_t i = 0; i < exchange->tried_count; i++) {
        if (strcmp(exchange->tried[i]->address_text, upstream->address_text) ==
            0) {
            return true;
        }
    }
    return false;
}

/* A refusal that names nobody is certainly the request's own only on a
 * connection that carries no other one. */
static bool
needs_own_connection(const struct pgw_exchange *exchange,
                     const struct pgw_upstream *upstream)
{
    return was_sent_to_address(exchange, upstream) ||
           (upstream->named_refusals.some_are_unnamed &&
            !pgw_route_may_run_again(exchange->route));
}

void
pgw_exchange_send(struct pgw_exchange *exchange,
                  const struct pgw_choice *choice)
{
    struct pgw_gateway *gateway = exchange->gateway;
    const struct pgw_route *route = exchange->route;
    struct pgw_forward forward;
    char salt[PGW_CACHE_SALT_SIZE];
    GString *bytes = g_string_sized_new(1024);
    struct pgw_call_options options = {
        .address = &choice->upstream->address,
        .fresh = !route->repeatable && !route->resumable,
        .alone = needs_own_connection(exchange, choice->upstream),
        .no_body = strcmp(exchange->caller->head->method, "HEAD") == 0,
    };

    pgw_metric_register_counter(&sends);
    pgw_metric_counter_add(&sends, 1);
    fill_forward(&forward, exchange, choice, salt);
    log_resumption(exchange, &forward, choice->upstream);
    gateway->options.codec->write_request(bytes, &forward);
    options.bytes = bytes->str;
    options.size = bytes->len;
    pgw_attempt_count_start(exchange, choice);
    pgw_stream_origin_set_sent(exchange, choice->upstream);
    pgw_drain_hold_begin(exchange);
    exchange->phase = exchange->phase == PGW_PHASE_RELAYING
                          ? PGW_PHASE_RELAYING
                          : PGW_PHASE_SENT;
    exchange->run_is_over = false;
    exchange->sends++;
    exchange->runs++;
    if (exchange->runs > 1) {
        pgw_quota_charge_retry(gateway->quota, exchange);
    }
    exchange->sent_us = pgw_now_us();
    exchange->last_byte_us = 0;
    exchange->began_us = 0;
    exchange->call.ops = &pgw_relay_ops;
    if (!pgw_call_start(&exchange->call, gateway->pool, &options)) {
        exchange->runs--;
        pgw_attempt_record_result(exchange, PGW_RESULT_UNREACHABLE);
        pgw_attempt_handle_not_run(exchange, "no_socket", false);
    }
    else {
        start_response_timer(exchange);
    }
    g_string_free(bytes, TRUE);
}
