#include "sidecar/fetch.h"
#include "sidecar/gate.h"
#include "sidecar/orders.h"
#include "sidecar/sidecar.h"
#include "util/log.h"

#define STATUS_INTERVAL_US UINT64_C(500000)
/* While the gate is closed every status brings the engine back sooner. */
#define STATUS_CLOSED_US UINT64_C(50000)
#define STATUS_DOUBT_US UINT64_C(20000)
#define STATUS_TIMEOUT_MS 1000L
/* One lost answer is no death; two in a row, a second apart, are. */
#define STATUS_FAILURES_DEAD 2
#define EVENTS_RETRY_US UINT64_C(100000)
#define EVENTS_PAUSE_US UINT64_C(10000)
#define EVENTS_GRACE_MS 1000L
#define BLOCKS_TIMEOUT_MS 2000L
/* Entries of a list that one turn of the loop takes; less than 0.1 ms. */
#define LIST_SLICE ((size_t)64)
/* Bytes of its text, some 50 entries. */
#define READ_SLICE ((size_t)8192)

static char *
engine_url(const struct engine *engine, const char *path)
{
    return g_strconcat(engine->sidecar->settings->upstream_url, path, NULL);
}

static void
engine_set_alive(struct engine *engine, bool alive)
{
    struct sidecar *sidecar = engine->sidecar;

    if (engine->alive == alive) {
        return;
    }
    engine->alive = alive;
    pgw_trace_record(sidecar->trace,
                     alive ? PGW_TRACE_UPSTREAM_UP : PGW_TRACE_UPSTREAM_DOWN,
                     NULL, 0, engine->incarnation, 0, engine->version);
    pgw_log_info(alive ? "upstream_up" : "upstream_down",
                 "incarnation=%" G_GINT64_MODIFIER "x version=%s",
                 engine->incarnation, engine->version);
    if (!alive) {
        pgw_cache_clear_engine(sidecar->cache, pgw_now_us());
        engine->incarnation = 0;
        engine->loading = false;
    }
    sidecar_push_state(sidecar);
}

/* An engine said who it is. Anything that it said before it was asked for is
 * ignored by the cache, so a late word of a dead engine changes nothing. */
static bool
engine_take_identity(struct engine *engine,
                     const struct pgw_cache_source *source)
{
    bool changed;

    if (source->incarnation == 0 ||
        !pgw_cache_set_engine(engine->sidecar->cache, source, pgw_now_us())) {
        return false;
    }
    changed = source->incarnation != engine->incarnation ||
              strcmp(source->version, engine->version) != 0;
    engine->incarnation = source->incarnation;
    if (changed) {
        g_free(engine->version);
        engine->version = g_strdup(source->version);
        sidecar_push_state(engine->sidecar);
    }
    return true;
}

static uint64_t
status_interval(const struct engine *engine, uint64_t asked_us)
{
    if (engine->alive && asked_us <= engine->doubt_us) {
        return STATUS_DOUBT_US;
    }
    return orders_is_closed(engine->sidecar->orders) ? STATUS_CLOSED_US
                                                     : STATUS_INTERVAL_US;
}

static void
status_done(void *context, long status, JsonObject *body, uint64_t asked_us)
{
    struct engine *engine = context;
    struct pgw_cache_source source = {.requested_us = asked_us};

    engine->status = NULL;
    if (status == 200 && body != NULL) {
        source.incarnation = fetch_object_hex(body, "incarnation");
        source.version = fetch_object_string(body, "version");
    }
    if (engine_take_identity(engine, &source)) {
        if (asked_us > engine->doubt_us) {
            engine->status_failures = 0;
        }
        g_free(engine->model);
        engine->model = g_strdup(fetch_object_string(body, "model"));
        engine->loading = fetch_object_bool(body, "loading");
        engine->told_us = asked_us;
        engine_set_alive(engine, true);
    }
    else if (++engine->status_failures >= STATUS_FAILURES_DEAD) {
        engine_set_alive(engine, false);
    }
    orders_engine_told(engine->sidecar->orders);
    pgw_timer_start(engine->sidecar->loop, &engine->status_timer,
                    status_interval(engine, asked_us));
    gate_engine_told(engine->sidecar);
}

static void
status_due(struct pgw_timer *timer)
{
    struct engine *engine =
        pgw_container_of(timer, struct engine, status_timer);
    char *url;

    if (engine->status != NULL) {
        return;
    }
    url = engine_url(engine, "/status");
    engine->status = fetch_start(engine->sidecar->transfers, url, NULL,
                                 STATUS_TIMEOUT_MS, status_done, engine);
    g_free(url);
}

static struct pgw_cache_source
list_source(const struct engine_answer *answer)
{
    return (struct pgw_cache_source){
        .incarnation = answer->list.incarnation,
        .version = answer->list.version,
        .requested_us = answer->asked_us,
    };
}

static void
answer_dispose(struct engine *engine, struct engine_answer *answer)
{
    pgw_timer_stop(engine->sidecar->loop, &answer->timer);
    engine_list_dispose(&answer->list);
    g_clear_pointer(&answer->text, g_free);
}

/*
 * An engine that lost time tells thousands of events at once. Taken in one
 * turn of the loop, they would hold up every probe and token for as many
 * microseconds; so each turn takes a few and others come in between.
 */
static void
answer_begin(struct engine_answer *answer, const char *text, size_t size,
             uint64_t asked_us)
{
    answer->text = g_memdup2(text, size);
    answer->asked_us = asked_us;
    answer->whole = false;
    answer->taken = 0;
    engine_list_init(&answer->list, answer->text, size);
    answer->timer.on_due(&answer->timer);
}

static void
answer_continue(struct engine *engine, struct engine_answer *answer)
{
    pgw_timer_start(engine->sidecar->loop, &answer->timer, 0);
}

static void
blocks_take(struct engine *engine)
{
    struct engine_answer *answer = &engine->blocks_answer;
    struct pgw_cache_source source = list_source(answer);
    const GArray *blocks = answer->list.blocks;

    if (blocks == NULL) {
        return;
    }
    pgw_cache_sync(engine->sidecar->cache, &source, answer->list.last,
                   (const struct pgw_cache_block *)blocks->data, blocks->len,
                   pgw_now_us());
    pgw_trace_record(engine->sidecar->trace, PGW_TRACE_RESYNC, NULL, 0,
                     blocks->len, 0, NULL);
}

static void
blocks_read(struct pgw_timer *timer)
{
    struct engine *engine =
        pgw_container_of(timer, struct engine, blocks_answer.timer);
    enum engine_list_state state =
        engine_list_read(&engine->blocks_answer.list, READ_SLICE);

    if (state == ENGINE_LIST_MORE) {
        answer_continue(engine, &engine->blocks_answer);
        return;
    }
    if (state == ENGINE_LIST_WHOLE) {
        blocks_take(engine);
    }
    answer_dispose(engine, &engine->blocks_answer);
}

static void
blocks_done(void *context, long status, const char *text, size_t size,
            uint64_t asked_us)
{
    struct engine *engine = context;

    engine->blocks = NULL;
    if (status == 200) {
        answer_begin(&engine->blocks_answer, text, size, asked_us);
    }
}

static void
blocks_start_if_wanted(struct engine *engine)
{
    char *url;

    if (engine->blocks != NULL || engine->blocks_answer.text != NULL ||
        !pgw_cache_sync_is_due(engine->sidecar->cache, pgw_now_us())) {
        return;
    }
    url = engine_url(engine, "/blocks");
    engine->blocks = fetch_start_text(engine->sidecar->transfers, url,
                                      BLOCKS_TIMEOUT_MS, blocks_done, engine);
    g_free(url);
}

/* Takes some of the events that were read. Return: whether any are left. */
static bool
events_take(struct engine *engine)
{
    struct engine_answer *answer = &engine->events_answer;
    struct pgw_cache *cache = engine->sidecar->cache;
    struct pgw_cache_source source = list_source(answer);
    GArray *events = answer->list.events;
    size_t left = events == NULL ? 0 : events->len - answer->taken;
    size_t count = MIN(left, LIST_SLICE);
    struct pgw_cache_stats before;
    struct pgw_cache_stats after;

    pgw_cache_stats_get(&before, cache);
    pgw_cache_apply(cache, &source,
                    count == 0 ? NULL
                               : &g_array_index(events, struct pgw_cache_event,
                                                answer->taken),
                    count, count == left ? answer->list.last : 0,
                    pgw_now_us());
    pgw_cache_stats_get(&after, cache);
    answer->taken += count;
    if (after.gaps > before.gaps) {
        pgw_trace_record(engine->sidecar->trace, PGW_TRACE_EVENT_GAP, NULL, 0,
                         pgw_cache_last_seq(cache), 0, NULL);
    }
    return count < left;
}

/*
 * The answer to a question that named the last event of an engine since gone
 * says nothing about the events of the present one up to that number. Taking
 * it as their end left the view empty until the new engine had as many events
 * as the dead one, seen as misses long after a restart. The numbers of a view
 * only grow, so one that ends before the question was forgotten meanwhile.
 */
static bool
continues_view(const struct engine *engine)
{
#ifndef PGW_DISABLE_EVENTS_CONTINUE
    return pgw_cache_last_seq(engine->sidecar->cache) >= engine->events_after;
#else
    (void)engine;
    return true;
#endif
}

static void
events_end(struct engine *engine, uint64_t pause_us)
{
    answer_dispose(engine, &engine->events_answer);
    pgw_timer_start(engine->sidecar->loop, &engine->events_timer, pause_us);
}

static void
events_read(struct pgw_timer *timer)
{
    struct engine *engine =
        pgw_container_of(timer, struct engine, events_answer.timer);
    struct engine_answer *answer = &engine->events_answer;
    struct pgw_cache_source source;

    if (!answer->whole) {
        enum engine_list_state state =
            engine_list_read(&answer->list, READ_SLICE);

        if (state == ENGINE_LIST_BROKEN) {
            events_end(engine, EVENTS_RETRY_US);
            return;
        }
        answer->whole = state == ENGINE_LIST_WHOLE;
        if (!answer->whole) {
            answer_continue(engine, answer);
            return;
        }
    }
    source = list_source(answer);
    if (engine_take_identity(engine, &source) && continues_view(engine)) {
        if (events_take(engine)) {
            answer_continue(engine, answer);
            return;
        }
        blocks_start_if_wanted(engine);
    }
    /* Polls that are answered at once would keep both processes busy; a busy
     * engine's events are collected for a moment instead. */
    events_end(engine, EVENTS_PAUSE_US);
}

static void
events_done(void *context, long status, const char *text, size_t size,
            uint64_t asked_us)
{
    struct engine *engine = context;

    engine->events = NULL;
    if (status != 200) {
        pgw_timer_start(engine->sidecar->loop, &engine->events_timer,
                        EVENTS_RETRY_US);
        return;
    }
    answer_begin(&engine->events_answer, text, size, asked_us);
}

static void
events_poll(struct engine *engine)
{
    uint32_t wait_ms = engine->sidecar->settings->event_poll_ms;
    char *path;
    char *url;

    engine->events_after = pgw_cache_last_seq(engine->sidecar->cache);
    path = g_strdup_printf("/events?after=%" G_GUINT64_FORMAT "&wait_ms=%u",
                           engine->events_after, wait_ms);
    url = engine_url(engine, path);
    engine->events =
        fetch_start_text(engine->sidecar->transfers, url,
                         (long)wait_ms + EVENTS_GRACE_MS, events_done, engine);
    g_free(url);
    g_free(path);
}

static void
events_due(struct pgw_timer *timer)
{
    events_poll(pgw_container_of(timer, struct engine, events_timer));
}

void
engine_init(struct engine *engine, struct sidecar *sidecar)
{
    *engine = (struct engine){
        .sidecar = sidecar,
        .model = g_strdup(""),
        .version = g_strdup(""),
        .status_timer.on_due = status_due,
        .events_timer.on_due = events_due,
        .events_answer.timer.on_due = events_read,
        .blocks_answer.timer.on_due = blocks_read,
    };
    if (!sidecar->is_model) {
        engine->alive = true;
        return;
    }
    status_due(&engine->status_timer);
    events_poll(engine);
}

void
engine_suspect(struct engine *engine, uint64_t doubt_us)
{
    if (!engine->sidecar->is_model) {
        return;
    }
    /* Ask at once: until the answer new work would go to a dead engine. A
     * question that is out already is asked again after its answer. */
    engine->doubt_us = MAX(engine->doubt_us, doubt_us);
    engine->status_failures =
        MAX(engine->status_failures, STATUS_FAILURES_DEAD - 1);
    if (engine->status != NULL) {
        return;
    }
    pgw_timer_start(engine->sidecar->loop, &engine->status_timer, 0);
}

void
engine_dispose(struct engine *engine)
{
    pgw_timer_stop(engine->sidecar->loop, &engine->status_timer);
    pgw_timer_stop(engine->sidecar->loop, &engine->events_timer);
    fetch_cancel(engine->status);
    fetch_cancel(engine->events);
    fetch_cancel(engine->blocks);
    answer_dispose(engine, &engine->events_answer);
    answer_dispose(engine, &engine->blocks_answer);
    g_free(engine->model);
    g_free(engine->version);
}
