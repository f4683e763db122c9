#include <inttypes.h>

#include "engine.h"
#include "fetch_lib.h"

struct load_task {
    struct engine *engine;
    uint64_t order;
    char *url; /* at the weight store, NULL without one */
};

bool
engine_runs(const struct engine *engine, const char *model,
            const char *version, const char *adapter)
{
    if (*model != '\0' && g_strcmp0(model, engine->model) != 0) {
        return false;
    }
    if (*version != '\0' && g_strcmp0(version, engine->version) != 0) {
        return false;
    }
    return *adapter == '\0' ||
           g_ptr_array_find_with_equal_func(engine->adapters, adapter,
                                            g_str_equal, NULL);
}

void
engine_serve_status(struct engine *engine, struct standin_call *call)
{
    GString *out = g_string_new(NULL);

    pthread_mutex_lock(&engine->lock);
    g_string_append_printf(out,
                           "{\"incarnation\":\"%016" PRIx64
                           "\",\"model\":\"%s\",\"version\":\"%s\","
                           "\"adapters\":[",
                           engine->incarnation, engine->model,
                           engine->version);
    for (guint i = 0; i < engine->adapters->len; i++) {
        g_string_append_printf(out, "%s\"%s\"", i == 0 ? "" : ",",
                               (const char *)engine->adapters->pdata[i]);
    }
    g_string_append_printf(
        out, "],\"role\":\"%s\",\"fence\":%" PRIu64 ",\"loading\":%s}",
        engine->role, engine->fence, engine->loading ? "true" : "false");
    pthread_mutex_unlock(&engine->lock);
    standin_call_reply(call, 200, out);
}

static void *
run_load(void *data)
{
    struct load_task *task = data;
    struct engine *engine = task->engine;
    GString *answer = g_string_new(NULL);

    /* Like an engine that retries its storage: an outage makes the load
     * longer and does not end it. */
    while (task->url != NULL &&
           standin_fetch(answer, "GET", task->url, NULL) != 200) {
        g_usleep(100000);
    }
    if (task->url == NULL) {
        g_usleep(engine->options.load_us);
    }
    pthread_mutex_lock(&engine->lock);
    if (engine->load_order == task->order) {
        engine->loaded = true;
        pthread_cond_signal(&engine->work);
    }
    pthread_mutex_unlock(&engine->lock);
    g_string_free(answer, TRUE);
    g_free(task->url);
    g_free(task);
    return NULL;
}

static bool
replace(char **field, const char *value)
{
    bool changes = g_strcmp0(*field, value) != 0;

    if (changes) {
        g_free(*field);
        *field = g_strdup(value);
    }
    return changes;
}

/* Caller holds the lock. A load under way for the same target goes on. */
static void
begin_load(struct engine *engine, const char *model, const char *version,
           const char *adapter)
{
    bool changes = replace(&engine->next_model, model);
    struct load_task *task;

    changes = replace(&engine->next_version, version) || changes;
    changes = replace(&engine->next_adapter, adapter) || changes;
    if (engine->loading && !changes) {
        return;
    }
    engine->loading = true;
    engine->loaded = false;
    task = g_new0(struct load_task, 1);
    task->engine = engine;
    task->order = ++engine->load_order;
    if (engine->options.weight_store != NULL) {
        task->url = g_strdup_printf("%s/weights/%s/%s?ms=%" PRIu64,
                                    engine->options.weight_store, model,
                                    version, engine->options.load_us / 1000);
    }
    g_thread_unref(g_thread_new("load", run_load, task));
}

/* Weights are replaced in place, so not before the last request that needs
 * the old ones has ended; the cache of the old ones is worthless. */
void
engine_finish_load(struct engine *engine, uint64_t now)
{
    bool weights;

    if (!engine->loading || !engine->loaded) {
        return;
    }
    weights = *engine->next_adapter == '\0';
    if (weights && engine->running_count + engine->waiting_count > 0) {
        return;
    }
    if (weights) {
        replace(&engine->model, engine->next_model);
        replace(&engine->version, engine->next_version);
        g_ptr_array_set_size(engine->adapters, 0);
        engine_cache_clear(engine->cache, now);
        engine_events_notify(engine);
    }
    else {
        g_ptr_array_add(engine->adapters, g_strdup(engine->next_adapter));
    }
    engine->loading = false;
}

/* Caller holds the lock. Return: whether the order has nothing to do. */
static bool
take_order(struct engine *engine, const char *kind, JsonObject *order)
{
    const char *model = json_object_get_string_member_with_default(
        order, "model", engine->model);
    const char *version = json_object_get_string_member_with_default(
        order, "version", engine->version);
    const char *adapter =
        json_object_get_string_member_with_default(order, "adapter", "");

    if (g_strcmp0(kind, "set_role") == 0) {
        replace(&engine->role, json_object_get_string_member_with_default(
                                   order, "role", engine->role));
        return true;
    }
    if (g_strcmp0(kind, "load_adapter") != 0) {
        adapter = "";
    }
    else {
        model = engine->model;
        version = engine->version;
    }
    if (*model == '\0') {
        model = engine->model;
    }
    if (*version == '\0') {
        version = engine->version;
    }
    if (!engine->loading && engine_runs(engine, model, version, adapter)) {
        return true;
    }
    begin_load(engine, model, version, adapter);
    return false;
}

void
engine_serve_orders(struct engine *engine, struct standin_call *call)
{
    JsonObject *order = standin_call_json(call);
    const char *kind;
    uint64_t fence;
    bool stale, idle = false;

    if (order == NULL) {
        return;
    }
    kind = json_object_get_string_member_with_default(order, "kind", "");
    fence =
        (uint64_t)json_object_get_int_member_with_default(order, "fence", 0);
    if (!g_str_has_prefix(kind, "load_") && g_strcmp0(kind, "set_role") != 0) {
        standin_call_error(call, 400, "bad_request",
                           "kind must be load_version, load_model, "
                           "load_adapter or set_role");
        goto done;
    }
    pthread_mutex_lock(&engine->lock);
    stale = !engine->options.ignore_fence && fence < engine->fence;
    if (stale) {
        standin_call_replyf(call, 409,
                            "{\"error\":{\"code\":\"stale_fence\"},"
                            "\"fence\":%" PRIu64 "}",
                            engine->fence);
    }
    else {
        engine->fence = fence;
        idle = take_order(engine, kind, order);
        standin_call_replyf(call, idle ? 200 : 202, "{\"state\":\"%s\"}",
                            idle ? "done" : "loading");
    }
    pthread_mutex_unlock(&engine->lock);
done:
    json_object_unref(order);
}
