#include "sidecar/fetch.h"
#include "sidecar/gate.h"
#include "sidecar/orders.h"
#include "sidecar/sidecar.h"
#include "util/hex.h"
#include "util/log.h"

#define STATUS_INTERVAL_US UINT64_C(500000)
/* While the gate is closed every status brings the engine back sooner. */
#define STATUS_CLOSED_US UINT64_C(50000)
#define STATUS_TIMEOUT_MS 1000L
/* One lost answer is no death; two in a row, a second apart, are. */
#define STATUS_FAILURES_DEAD 2
#define EVENTS_RETRY_US UINT64_C(100000)
#define EVENTS_PAUSE_US UINT64_C(10000)
#define EVENTS_GRACE_MS 1000L
#define BLOCKS_TIMEOUT_MS 2000L

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
        pgw_cache_lose_engine(sidecar->cache, pgw_now_us());
        engine->incarnation = 0;
        engine->loading = false;
    }
    sidecar_push_state(sidecar);
}

/* An engine said who it is. Anything that it said before it was asked for is
 * ignored by the cache, so a late word of a dead engine changes nothing. */
static bool
engine_take_identity(struct engine *engine, JsonObject *body,
                     uint64_t asked_us)
{
    struct pgw_cache_source source = {
        .incarnation = fetch_object_hex(body, "incarnation"),
        .version = fetch_object_string(body, "version"),
        .asked = asked_us,
    };
    bool changed;

    if (source.incarnation == 0 ||
        !pgw_cache_set_engine(engine->sidecar->cache, &source, pgw_now_us())) {
        return false;
    }
    changed = source.incarnation != engine->incarnation ||
              strcmp(source.version, engine->version) != 0;
    engine->incarnation = source.incarnation;
    if (changed) {
        g_free(engine->version);
        engine->version = g_strdup(source.version);
        sidecar_push_state(engine->sidecar);
    }
    return true;
}

static void
status_done(void *context, long status, JsonObject *body, uint64_t asked_us)
{
    struct engine *engine = context;

    engine->status = NULL;
    if (status == 200 && body != NULL &&
        engine_take_identity(engine, body, asked_us)) {
        engine->status_failures = 0;
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
                    orders_is_closed(engine->sidecar->orders)
                        ? STATUS_CLOSED_US
                        : STATUS_INTERVAL_US);
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

static bool
event_kind_parse(enum pgw_cache_kind *out, const char *name)
{
    static const char *const names[] = {
        [PGW_CACHE_STORED] = "stored",
        [PGW_CACHE_USED] = "used",
        [PGW_CACHE_EVICTED] = "evicted",
        [PGW_CACHE_CLEARED] = "cleared",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (strcmp(names[i], name) == 0) {
            *out = (enum pgw_cache_kind)i;
            return true;
        }
    }
    return false;
}

static bool
event_parse(struct pgw_cache_event *out, JsonNode *node)
{
    JsonObject *object;

    if (!JSON_NODE_HOLDS_OBJECT(node)) {
        return false;
    }
    object = json_node_get_object(node);
    *out = (struct pgw_cache_event){
        .seq = fetch_object_uint(object, "seq"),
        .block = fetch_object_hex(object, "block"),
        .parent = fetch_object_hex(object, "parent"),
        .end_token = (uint32_t)fetch_object_uint(object, "end_token"),
    };
    if (!pgw_request_id_parse(&out->request,
                              fetch_object_string(object, "request_id"))) {
        out->request = (struct pgw_request_id){{0}};
    }
    return event_kind_parse(&out->kind, fetch_object_string(object, "kind"));
}

static JsonArray *
member_array(JsonObject *object, const char *name)
{
    JsonNode *node = json_object_get_member(object, name);

    return node != NULL && JSON_NODE_HOLDS_ARRAY(node)
               ? json_node_get_array(node)
               : NULL;
}

static void
blocks_done(void *context, long status, JsonObject *body, uint64_t asked_us)
{
    struct engine *engine = context;
    JsonArray *array = NULL;
    struct pgw_cache_block *blocks;
    guint count;
    struct pgw_cache_source source;

    engine->blocks = NULL;
    if (status == 200 && body != NULL) {
        array = member_array(body, "blocks");
    }
    if (array == NULL) {
        return;
    }
    count = json_array_get_length(array);
    blocks = g_new0(struct pgw_cache_block, count + 1);
    for (guint i = 0; i < count; i++) {
        JsonNode *node = json_array_get_element(array, i);

        if (JSON_NODE_HOLDS_OBJECT(node)) {
            JsonObject *object = json_node_get_object(node);

            blocks[i].block = fetch_object_hex(object, "block");
            blocks[i].parent = fetch_object_hex(object, "parent");
        }
    }
    source = (struct pgw_cache_source){
        .incarnation = fetch_object_hex(body, "incarnation"),
        .version = fetch_object_string(body, "version"),
        .asked = asked_us,
    };
    pgw_cache_sync(engine->sidecar->cache, &source,
                   fetch_object_uint(body, "last"), blocks, count,
                   pgw_now_us());
    pgw_trace_record(engine->sidecar->trace, PGW_TRACE_RESYNC, NULL, 0, count,
                     0, NULL);
    g_free(blocks);
}

static void
blocks_start_if_wanted(struct engine *engine)
{
    char *url;

    if (engine->blocks != NULL ||
        !pgw_cache_wants_sync(engine->sidecar->cache, pgw_now_us())) {
        return;
    }
    url = engine_url(engine, "/blocks");
    engine->blocks = fetch_start(engine->sidecar->transfers, url, NULL,
                                 BLOCKS_TIMEOUT_MS, blocks_done, engine);
    g_free(url);
}

static void
events_take(struct engine *engine, JsonObject *body, uint64_t asked_us)
{
    JsonArray *array = member_array(body, "events");
    guint count = array == NULL ? 0 : json_array_get_length(array);
    struct pgw_cache_event *events = g_new0(struct pgw_cache_event, count + 1);
    size_t n = 0;
    struct pgw_cache_stats before;
    struct pgw_cache_stats after;
    struct pgw_cache_source source = {
        .incarnation = fetch_object_hex(body, "incarnation"),
        .version = fetch_object_string(body, "version"),
        .asked = asked_us,
    };

    for (guint i = 0; i < count; i++) {
        if (event_parse(&events[n], json_array_get_element(array, i))) {
            n++;
        }
    }
    pgw_cache_stats_get(&before, engine->sidecar->cache);
    pgw_cache_apply(engine->sidecar->cache, &source, events, n,
                    fetch_object_uint(body, "last"), pgw_now_us());
    pgw_cache_stats_get(&after, engine->sidecar->cache);
    if (after.gaps > before.gaps) {
        pgw_trace_record(engine->sidecar->trace, PGW_TRACE_EVENT_GAP, NULL, 0,
                         pgw_cache_last_seq(engine->sidecar->cache), 0, NULL);
    }
    g_free(events);
}

static void
events_done(void *context, long status, JsonObject *body, uint64_t asked_us)
{
    struct engine *engine = context;

    engine->events = NULL;
    if (status != 200 || body == NULL) {
        pgw_timer_start(engine->sidecar->loop, &engine->events_timer,
                        EVENTS_RETRY_US);
        return;
    }
    if (engine_take_identity(engine, body, asked_us)) {
        events_take(engine, body, asked_us);
        blocks_start_if_wanted(engine);
    }
    /* Polls that are answered at once would keep both processes busy; a busy
     * engine's events are collected for a moment instead. */
    pgw_timer_start(engine->sidecar->loop, &engine->events_timer,
                    EVENTS_PAUSE_US);
}

static void
events_poll(struct engine *engine)
{
    uint32_t wait_ms = engine->sidecar->settings->event_poll_ms;
    char *path =
        g_strdup_printf("/events?after=%" G_GUINT64_FORMAT "&wait_ms=%u",
                        pgw_cache_last_seq(engine->sidecar->cache), wait_ms);
    char *url = engine_url(engine, path);

    engine->events =
        fetch_start(engine->sidecar->transfers, url, NULL,
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
    };
    if (!sidecar->is_model) {
        engine->alive = true;
        return;
    }
    status_due(&engine->status_timer);
    events_poll(engine);
}

void
engine_suspect(struct engine *engine)
{
    if (!engine->sidecar->is_model || engine->status != NULL) {
        return;
    }
    /* Ask at once: until the answer new work would go to a dead engine. */
    engine->status_failures = STATUS_FAILURES_DEAD - 1;
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
    g_free(engine->model);
    g_free(engine->version);
}
