#include <inttypes.h>

#include "engine.h"

#define POLL_MIN_PERIOD_US 2000
#define POLL_LIMIT_MS 60000

struct engine_poll {
    struct pgw_list link;
    struct standin_call *call;
    uint64_t after;
    uint64_t deadline;
};

static uint64_t
list_queued_tokens(struct pgw_list *list)
{
    uint64_t tokens = 0;

    pgw_list_foreach (pos, list) {
        struct engine_request *request =
            pgw_container_of(pos, struct engine_request, link);

        tokens += request->prompt_tokens - request->prefilled;
    }
    return tokens;
}

void
engine_load_sample(struct engine *engine, uint64_t now)
{
    uint64_t period = engine->options.load_age_us / (ENGINE_LOAD_SAMPLES / 4);
    struct engine_load load = {
        .at = now,
        .running = engine->running_count,
        .waiting = engine->waiting_count,
    };
    struct engine_load *last =
        &engine->loads[engine->load_count % ENGINE_LOAD_SAMPLES];

    if (engine->load_count > 0 && now < last->at + period) {
        return;
    }
    load.queued_tokens = list_queued_tokens(&engine->running);
    for (unsigned i = 0; i < ENGINE_PRIORITIES; i++) {
        load.queued_tokens += list_queued_tokens(&engine->waiting[i]);
    }
    engine->load_count++;
    engine->loads[engine->load_count % ENGINE_LOAD_SAMPLES] = load;
}

void
engine_serve_load(struct engine *engine, struct standin_call *call)
{
    uint64_t now = engine_now();
    struct engine_load load = {0};

    pthread_mutex_lock(&engine->lock);
    engine_load_sample(engine, now);
    for (uint64_t i = engine->load_count;
         i > 0 && i + ENGINE_LOAD_SAMPLES > engine->load_count; i--) {
        const struct engine_load *sample =
            &engine->loads[i % ENGINE_LOAD_SAMPLES];

        if (sample->at + engine->options.load_age_us <= now) {
            load = *sample;
            break;
        }
    }
    pthread_mutex_unlock(&engine->lock);
    standin_call_replyf(
        call, 200,
        "{\"incarnation\":\"%016" PRIx64 "\",\"running\":%u,\"waiting\":%u,"
        "\"queued_tokens\":%" PRIu64 "}",
        engine->incarnation, load.running, load.waiting, load.queued_tokens);
}

/* Caller holds the lock. */
static void
reply_events(struct engine *engine, struct standin_call *call, uint64_t after,
             uint64_t now)
{
    GString *events = g_string_new(NULL);
    uint64_t last = engine_journal_write(engine->journal, after, now, events);

    standin_call_replyf(
        call, 200,
        "{\"incarnation\":\"%016" PRIx64
        "\",\"version\":\"%s\",\"last\":%" PRIu64 ",\"events\":[%s]}",
        engine->incarnation, engine->version, last, events->str);
    g_string_free(events, TRUE);
}

void
engine_serve_events(struct engine *engine, struct standin_call *call)
{
    uint64_t after = standin_call_query_uint(call, "after", 0);
    uint64_t wait_ms = standin_call_query_uint(call, "wait_ms", 0);
    uint64_t now = engine_now();
    struct engine_poll *poll;

    pthread_mutex_lock(&engine->lock);
    /* A number beyond the last comes from another incarnation: its reader
     * must learn that at once. */
    if (wait_ms == 0 || after > engine_journal_last(engine->journal) ||
        engine_journal_has(engine->journal, after, now)) {
        reply_events(engine, call, after, now);
    }
    else {
        poll = g_new0(struct engine_poll, 1);
        poll->call = standin_call_ref(call);
        poll->after = after;
        poll->deadline = now + MIN(wait_ms, POLL_LIMIT_MS) * 1000;
        pgw_list_append(&engine->polls, &poll->link);
        pthread_cond_signal(&engine->poll_changed);
    }
    pthread_mutex_unlock(&engine->lock);
}

void
engine_events_notify(struct engine *engine)
{
    if (!pgw_list_is_empty(&engine->polls)) {
        pthread_cond_signal(&engine->poll_changed);
    }
}

/* Answers the polls that are due. Return: when to look again. */
static uint64_t
answer_polls(struct engine *engine, uint64_t now)
{
    uint64_t next = UINT64_MAX;

    pgw_list_foreach_safe (pos, &engine->polls) {
        struct engine_poll *poll =
            pgw_container_of(pos, struct engine_poll, link);

        if (now < poll->deadline &&
            !engine_journal_has(engine->journal, poll->after, now)) {
            next = MIN(next, poll->deadline);
            continue;
        }
        reply_events(engine, poll->call, poll->after, now);
        standin_call_unref(poll->call);
        pgw_list_remove(&poll->link);
        g_free(poll);
    }
    return next;
}

static void *
run_polls(void *data)
{
    struct engine *engine = data;
    uint64_t now, next;

    pthread_mutex_lock(&engine->lock);
    for (;;) {
        now = engine_now();
        next = answer_polls(engine, now);
        if (next == UINT64_MAX) {
            pthread_cond_wait(&engine->poll_changed, &engine->lock);
        }
        else {
            next = MIN(next, engine_journal_due(engine->journal));
            standin_cond_wait_until(&engine->poll_changed, &engine->lock,
                                    MAX(next, now + POLL_MIN_PERIOD_US));
        }
    }
    return NULL;
}

void
engine_reports_start(struct engine *engine)
{
    g_thread_unref(g_thread_new("polls", run_polls, engine));
}

void
engine_serve_blocks(struct engine *engine, struct standin_call *call)
{
    GString *blocks = g_string_new(NULL);

    pthread_mutex_lock(&engine->lock);
    engine_cache_write(engine->cache, blocks);
    standin_call_replyf(call, 200,
                        "{\"incarnation\":\"%016" PRIx64
                        "\",\"version\":\"%s\",\"last\":%" PRIu64
                        ",\"blocks\":[%s]}",
                        engine->incarnation, engine->version,
                        engine_journal_last(engine->journal), blocks->str);
    pthread_mutex_unlock(&engine->lock);
    g_string_free(blocks, TRUE);
}

void
engine_serve_stats(struct engine *engine, struct standin_call *call)
{
    const struct engine_stats *stats = &engine->stats;
    GString *out = g_string_new(NULL);
    GHashTableIter iter;
    gpointer id, count;
    const char *comma = "";

    pthread_mutex_lock(&engine->lock);
    g_string_append_printf(
        out,
        "{\"requests\":%" PRIu64 ",\"cancelled\":%" PRIu64
        ",\"prefilled_tokens\":%" PRIu64 ",\"cached_tokens\":%" PRIu64
        ",\"resume_mismatches\":%" PRIu64 ",\"requests_in_backoff\":%" PRIu64
        ",\"running\":%u,\"waiting\":%u,\"cache_blocks\":%u,"
        "\"executions\":{",
        stats->requests, stats->cancelled, stats->prefilled_tokens,
        stats->cached_tokens, stats->resume_mismatches,
        stats->requests_in_backoff, engine->running_count,
        engine->waiting_count, engine_cache_size(engine->cache));
    g_hash_table_iter_init(&iter, engine->executions);
    while (g_hash_table_iter_next(&iter, &id, &count)) {
        g_string_append_printf(out, "%s\"%s\":%u", comma, (const char *)id,
                               GPOINTER_TO_UINT(count));
        comma = ",";
    }
    pthread_mutex_unlock(&engine->lock);
    g_string_append(out, "}}");
    standin_call_reply(call, 200, out);
}
