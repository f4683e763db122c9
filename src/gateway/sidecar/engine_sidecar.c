#include "gateway/sidecar/engine_sidecar_internal.h"
#include "util/log.h"
#include "util/metric.h"
#include <string.h>

/* Handles an entry's announcement of a request, or of the end of its prefill.
 * Other entries get a report with the request before the engine's own reports
 * and cache events can include it. */
static void
handle_announcement(struct pgw_engine_sidecar *sidecar,
                    const Pgw__ExpectedParts *message)
{
    if (message->to_read == 0 && message->n_parts == 0) {
        pgw_announced_prompts_end(&sidecar->announced_prompts,
                                  message->request);
        pgw_prefill_meter_end(&sidecar->prefill_meter, message->request,
                              message->prefilled, pgw_now_us());
        return;
    }
    sidecar->arrivals_since_poll.requests++;
    if (message->to_read >= PGW_LONG_PREFILL_TOKENS) {
        pgw_announced_prompts_add(&sidecar->announced_prompts,
                                  message->request, message->to_read,
                                  pgw_now_us());
    }
    if (message->prefilled >= PGW_LONG_PREFILL_TOKENS) {
        pgw_prefill_meter_begin(&sidecar->prefill_meter, message->request,
                                pgw_now_us());
    }
    sidecar->arrivals_since_poll.kv_tokens += message->memory;
    for (size_t i = 0; i < message->n_parts; i++) {
        pgw_cached_parts_expect(&sidecar->cached_parts, message->parts[i]->key,
                                message->parts[i]->tokens, pgw_now_us());
    }
    if (sidecar->alive && pgw_engine_sidecar_has_reportable_change(sidecar)) {
        pgw_engine_sidecar_report_to_entries(sidecar, false);
    }
}

static void
handle_prefill_claim(const struct pgw_connected_entry *entry,
                     const Pgw__PrefillClaim *message)
{
    struct pgw_engine_sidecar *sidecar = entry->sidecar;
    Pgw__PrefillAnswer answer = PGW__PREFILL_ANSWER__INIT;

    pgw_announced_prompts_end(&sidecar->announced_prompts, message->request);
    answer.claim = message->claim;
    answer.unread =
        pgw_announced_prompts_pending(&sidecar->announced_prompts).tokens;
    answer.granted = answer.unread == 0 ||
                     answer.unread + message->to_read <= message->limit;
    if (answer.granted) {
        pgw_announced_prompts_add(&sidecar->announced_prompts,
                                  message->request, message->to_read,
                                  pgw_now_us());
    }
    pgw_link_send(entry->link, PGW_FRAME_PREFILL_ANSWER, &answer.base);
}

static void
handle_hello(struct pgw_connected_entry *entry, const Pgw__Hello *hello)
{
    entry->is_remote = strcmp(hello->zone, entry->sidecar->zone) != 0;
    entry->probe_only = hello->on_request;
    entry->started_us = pgw_now_us() - hello->age_ms * 1000ULL;
    if (entry->sidecar->alive && !entry->probe_only) {
        pgw_engine_sidecar_send_full_state(entry->sidecar, entry);
    }
}

static bool
on_frame(struct pgw_link *link, enum pgw_frame_type type,
         ProtobufCMessage *message, void *context)
{
    struct pgw_connected_entry *entry = context;

    (void)link;
    if (type == PGW_FRAME_HELLO) {
        handle_hello(entry, (const Pgw__Hello *)message);
    }
    else if (type == PGW_FRAME_LOAD_WEIGHTS) {
        const Pgw__LoadWeights *target = (const Pgw__LoadWeights *)message;

        pgw_engine_sidecar_set_target_weights(
            entry->sidecar, target->model, target->version,
            target->start_in_ms * 1000ULL, target->instance);
    }
    else if (type == PGW_FRAME_EXPECTED_PARTS) {
        handle_announcement(entry->sidecar,
                            (const Pgw__ExpectedParts *)message);
    }
    else if (type == PGW_FRAME_ENGINE_PROBE) {
        pgw_engine_sidecar_answer_probe(entry->sidecar, entry,
                                        (const Pgw__EngineProbe *)message);
    }
    else if (type == PGW_FRAME_PREFILL_CLAIM) {
        handle_prefill_claim(entry, (const Pgw__PrefillClaim *)message);
    }
    else if (type == PGW_FRAME_QUOTA_ASK) {
        pgw_engine_sidecar_handle_quota_ask(entry,
                                            (const Pgw__QuotaAsk *)message);
    }
    else if (type == PGW_FRAME_LIMIT_ASK) {
        pgw_engine_sidecar_handle_limit_ask(entry,
                                            (const Pgw__LimitAsk *)message);
    }
    else if (type == PGW_FRAME_STREAM_ORIGINS) {
        pgw_engine_sidecar_handle_stream_origins(
            entry->sidecar, (const Pgw__StreamOrigins *)message);
    }
    else if (type == PGW_FRAME_STREAM_ORIGIN_ASK) {
        pgw_engine_sidecar_handle_stream_ask(
            entry, (const Pgw__StreamOriginAsk *)message);
    }
    return false;
}

static void
on_closed(struct pgw_link *link, const GError *error, void *context)
{
    struct pgw_connected_entry *entry = context;

    (void)link;
    pgw_log_info("entry_lost", "reason=%s",
                 error == NULL ? "closed" : error->message);
    pgw_list_remove(&entry->in_entries);
    g_free(entry);
}

static const struct pgw_link_ops link_ops = {
    .on_frame = on_frame,
    .on_closed = on_closed,
};

static void
on_accept(int fd, void *context)
{
    struct pgw_engine_sidecar *sidecar = context;
    struct pgw_connected_entry *entry = g_new0(struct pgw_connected_entry, 1);
    GError *error = NULL;

    entry->sidecar = sidecar;
    entry->link = pgw_link_accept(sidecar->loop, fd, &link_ops, entry, &error);
    if (entry->link == NULL) {
        pgw_log_warning("entry_link", "reason=%s", error->message);
        g_error_free(error);
        g_free(entry);
        return;
    }
    pgw_list_append(&sidecar->entries, &entry->in_entries);
}

struct pgw_engine_sidecar *
pgw_engine_sidecar_new(struct pgw_loop *loop,
                       const struct pgw_engine_sidecar_options *options,
                       GError **error)
{
    struct pgw_engine_sidecar *sidecar = g_new0(struct pgw_engine_sidecar, 1);
    struct pgw_call_pool_options pool = PGW_CALL_POOL_OPTIONS_INIT;

    pgw_engine_sidecar_register_order_metrics();
    pgw_engine_sidecar_register_poll_metrics();
    pgw_engine_sidecar_register_quota_metrics();
    sidecar->loop = loop;
    sidecar->options = *options;
    pgw_list_init(&sidecar->entries);
    if (options->listen.size > 0) {
        sidecar->listener = pgw_listener_new(loop, &options->listen, on_accept,
                                             sidecar, error);
        if (sidecar->listener == NULL) {
            g_free(sidecar);
            return NULL;
        }
    }
    sidecar->instance = g_strdup(options->instance);
    sidecar->zone = g_strdup(options->zone);
    pgw_address_format(sidecar->engine, &options->engine);
    sidecar->pool = pgw_call_pool_new(loop, &pool);
    sidecar->report_body = g_string_new(NULL);
    sidecar->events_body = g_string_new(NULL);
    pgw_cached_parts_init(&sidecar->cached_parts);
    pgw_announced_prompts_init(&sidecar->announced_prompts);
    pgw_prefill_meter_init(&sidecar->prefill_meter);
    sidecar->quotas = pgw_quota_buckets_new(&options->quotas);
    sidecar->limits = pgw_limit_ledger_new();
    sidecar->streams =
        pgw_stream_ledger_new(PGW_SOFTWARE_MIXED_US, PGW_SIDECAR_STREAMS_MAX);
    sidecar->events_timer.on_due = pgw_engine_sidecar_on_events_timer;
    if (sidecar->listener != NULL) {
        pgw_timer_start(loop, &sidecar->events_timer, 0);
    }
    sidecar->report_timer.on_due = pgw_engine_sidecar_on_report_timer;
    sidecar->step_timer.on_due = pgw_engine_sidecar_on_step_timer;
    pgw_timer_start(loop, &sidecar->report_timer, 0);
    return sidecar;
}

uint16_t
pgw_engine_sidecar_port(const struct pgw_engine_sidecar *sidecar)
{
    return pgw_listener_port(sidecar->listener);
}

unsigned
pgw_engine_sidecar_entry_count(const struct pgw_engine_sidecar *sidecar)
{
    unsigned count = 0;

    pgw_list_foreach (link, &sidecar->entries) {
        count++;
    }
    return count;
}

void
pgw_engine_sidecar_free(struct pgw_engine_sidecar *sidecar)
{
    pgw_call_cancel(&sidecar->report_call);
    pgw_call_cancel(&sidecar->order_call);
    pgw_call_cancel(&sidecar->events_call);
    pgw_timer_stop(sidecar->loop, &sidecar->events_timer);
    pgw_cached_parts_dispose(&sidecar->cached_parts);
    pgw_announced_prompts_dispose(&sidecar->announced_prompts);
    pgw_prefill_meter_dispose(&sidecar->prefill_meter);
    pgw_quota_buckets_free(sidecar->quotas);
    pgw_limit_ledger_free(sidecar->limits);
    pgw_stream_ledger_free(sidecar->streams);
    g_string_free(sidecar->events_body, TRUE);
    if (!pgw_list_is_empty(&sidecar->entries)) {
        pgw_list_foreach_safe (link, &sidecar->entries) {
            pgw_link_close(
                pgw_container_of(link, struct pgw_connected_entry, in_entries)
                    ->link);
        }
        pgw_loop_run_tasks(sidecar->loop);
    }
    pgw_timer_stop(sidecar->loop, &sidecar->report_timer);
    pgw_timer_stop(sidecar->loop, &sidecar->step_timer);
    pgw_listener_free(sidecar->listener);
    pgw_call_pool_free(sidecar->pool);
    for (size_t i = 0; i < sidecar->model_count; i++) {
        g_free(sidecar->models[i].model);
        g_free(sidecar->models[i].instance);
    }
    pgw_engine_report_clear(&sidecar->report);
    pgw_engine_report_clear(&sidecar->reported);
    g_string_free(sidecar->report_body, TRUE);
    g_free(sidecar->instance);
    g_free(sidecar->zone);
    g_free(sidecar);
}
