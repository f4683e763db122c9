#include "gateway/engine_sidecar_internal.h"
#include "util/log.h"
#include "util/metric.h"
#include <string.h>

/* What an entry sends there is told to the others before the engine's own
 * report and events can say so. */
static void
take_expected(struct pgw_engine_sidecar *guard,
              const Pgw__ExpectedParts *message)
{
    if (message->to_read == 0 && message->n_parts == 0) {
        pgw_announced_prompts_end(&guard->announced, message->request);
        return;
    }
    guard->arrivals.requests++;
    if (message->to_read >= PGW_LONG_PREFILL_TOKENS) {
        pgw_announced_prompts_add(&guard->announced, message->request,
                                  message->to_read, pgw_now_us());
    }
    guard->arrivals.memory += message->memory;
    for (size_t i = 0; i < message->n_parts; i++) {
        pgw_cached_parts_expect(&guard->parts, message->parts[i]->key,
                                message->parts[i]->tokens, pgw_now_us());
    }
    if (guard->alive && pgw_engine_sidecar_has_reportable_change(guard)) {
        pgw_engine_sidecar_report_to_all(guard, false);
    }
}

static void
take_hello(struct pgw_connected_entry *peer, const Pgw__Hello *hello)
{
    peer->far = strcmp(hello->zone, peer->guard->zone) != 0;
    peer->on_request = hello->on_request;
    peer->started_us = pgw_now_us() - hello->age_ms * 1000ULL;
    if (peer->guard->alive && !peer->on_request) {
        pgw_engine_sidecar_send_full_state(peer->guard, peer);
    }
}

static bool
on_frame(struct pgw_link *link, enum pgw_frame_type type,
         ProtobufCMessage *message, void *context)
{
    struct pgw_connected_entry *peer = context;

    (void)link;
    if (type == PGW_FRAME_HELLO) {
        take_hello(peer, (const Pgw__Hello *)message);
    }
    else if (type == PGW_FRAME_LOAD_WEIGHTS) {
        const Pgw__LoadWeights *load = (const Pgw__LoadWeights *)message;

        pgw_engine_sidecar_set_target_weights(
            peer->guard, load->model, load->version,
            load->start_in_ms * 1000ULL, load->instance);
    }
    else if (type == PGW_FRAME_EXPECTED_PARTS) {
        take_expected(peer->guard, (const Pgw__ExpectedParts *)message);
    }
    else if (type == PGW_FRAME_ENGINE_PROBE) {
        pgw_engine_sidecar_answer_probe(peer->guard, peer,
                                        (const Pgw__EngineProbe *)message);
    }
    else if (type == PGW_FRAME_QUOTA_ASK) {
        pgw_engine_sidecar_take_quota_ask(peer,
                                          (const Pgw__QuotaAsk *)message);
    }
    return false;
}

static void
on_closed(struct pgw_link *link, const GError *error, void *context)
{
    struct pgw_connected_entry *peer = context;

    (void)link;
    pgw_log_info("entry_lost", "reason=%s",
                 error == NULL ? "closed" : error->message);
    pgw_list_remove(&peer->in_guard);
    g_free(peer);
}

static const struct pgw_link_ops link_ops = {
    .on_frame = on_frame,
    .on_closed = on_closed,
};

static void
on_accept(int fd, void *context)
{
    struct pgw_engine_sidecar *guard = context;
    struct pgw_connected_entry *peer = g_new0(struct pgw_connected_entry, 1);
    GError *error = NULL;

    peer->guard = guard;
    peer->link = pgw_link_accept(guard->loop, fd, &link_ops, peer, &error);
    if (peer->link == NULL) {
        pgw_log_warning("entry_link", "reason=%s", error->message);
        g_error_free(error);
        g_free(peer);
        return;
    }
    pgw_list_append(&guard->entries, &peer->in_guard);
}

struct pgw_engine_sidecar *
pgw_engine_sidecar_new(struct pgw_loop *loop,
                       const struct pgw_engine_sidecar_options *options,
                       GError **error)
{
    struct pgw_engine_sidecar *guard = g_new0(struct pgw_engine_sidecar, 1);
    struct pgw_call_pool_options pool = PGW_CALL_POOL_OPTIONS_INIT;

    pgw_engine_sidecar_register_order_metrics();
    pgw_engine_sidecar_register_poll_metrics();
    pgw_engine_sidecar_register_quota_metrics();
    guard->loop = loop;
    guard->options = *options;
    pgw_list_init(&guard->entries);
    if (options->listen.size > 0) {
        guard->listener =
            pgw_listener_new(loop, &options->listen, on_accept, guard, error);
        if (guard->listener == NULL) {
            g_free(guard);
            return NULL;
        }
    }
    guard->instance = g_strdup(options->instance);
    guard->zone = g_strdup(options->zone);
    pgw_address_format(guard->engine, &options->engine);
    guard->pool = pgw_call_pool_new(loop, &pool);
    guard->report_body = g_string_new(NULL);
    guard->events_body = g_string_new(NULL);
    pgw_cached_parts_init(&guard->parts);
    pgw_announced_prompts_init(&guard->announced);
    guard->quotas = pgw_quota_buckets_new(&options->quotas);
    guard->events_timer.on_due = pgw_engine_sidecar_events_due;
    if (guard->listener != NULL) {
        pgw_timer_start(loop, &guard->events_timer, 0);
    }
    guard->report_timer.on_due = pgw_engine_sidecar_report_due;
    guard->step_timer.on_due = pgw_engine_sidecar_step_due;
    pgw_timer_start(loop, &guard->report_timer, 0);
    return guard;
}

uint16_t
pgw_engine_sidecar_port(const struct pgw_engine_sidecar *guard)
{
    return pgw_listener_port(guard->listener);
}

unsigned
pgw_engine_sidecar_entry_count(const struct pgw_engine_sidecar *guard)
{
    unsigned count = 0;

    pgw_list_foreach (link, &guard->entries) {
        count++;
    }
    return count;
}

void
pgw_engine_sidecar_free(struct pgw_engine_sidecar *guard)
{
    pgw_call_cancel(&guard->report_call);
    pgw_call_cancel(&guard->order_call);
    pgw_call_cancel(&guard->events_call);
    pgw_timer_stop(guard->loop, &guard->events_timer);
    pgw_cached_parts_dispose(&guard->parts);
    pgw_announced_prompts_dispose(&guard->announced);
    pgw_quota_buckets_free(guard->quotas);
    g_string_free(guard->events_body, TRUE);
    if (!pgw_list_is_empty(&guard->entries)) {
        pgw_list_foreach_safe (link, &guard->entries) {
            pgw_link_close(
                pgw_container_of(link, struct pgw_connected_entry, in_guard)
                    ->link);
        }
        pgw_loop_run_tasks(guard->loop);
    }
    pgw_timer_stop(guard->loop, &guard->report_timer);
    pgw_timer_stop(guard->loop, &guard->step_timer);
    pgw_listener_free(guard->listener);
    pgw_call_pool_free(guard->pool);
    for (size_t i = 0; i < guard->model_count; i++) {
        g_free(guard->models[i].model);
        g_free(guard->models[i].instance);
    }
    pgw_engine_report_clear(&guard->report);
    pgw_engine_report_clear(&guard->told);
    g_string_free(guard->report_body, TRUE);
    g_free(guard->instance);
    g_free(guard->zone);
    g_free(guard);
}
