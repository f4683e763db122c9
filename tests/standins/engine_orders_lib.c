#include <inttypes.h>
#include <string.h>

#include "engine.h"
#include "fetch_lib.h"

#define RETRY_US 100000

struct load_task {
    struct engine *engine;
    uint64_t order; /* of weights; a later order replaces it */
    char *adapter;  /* NULL when weights are loaded */
    char *url;      /* at the weight store, NULL without one */
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
        engine->role, engine->fence,
        engine->weights_loading || engine->adapters_loading->len > 0
            ? "true"
            : "false");
    pthread_mutex_unlock(&engine->lock);
    standin_call_reply(call, 200, out);
}

/* Caller holds the lock. */
static void
end_load(struct engine *engine, const struct load_task *task)
{
    guint index;

    if (task->adapter == NULL) {
        engine->weights_loaded |= engine->load_order == task->order;
        pthread_cond_signal(&engine->work);
    }
    else if (g_ptr_array_find_with_equal_func(engine->adapters_loading,
                                              task->adapter, g_str_equal,
                                              &index)) {
        g_ptr_array_remove_index(engine->adapters_loading, index);
        g_ptr_array_add(engine->adapters, g_strdup(task->adapter));
    }
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
        g_usleep(RETRY_US);
    }
    if (task->url == NULL) {
        g_usleep(engine->options.load_us);
    }
    pthread_mutex_lock(&engine->lock);
    end_load(engine, task);
    pthread_mutex_unlock(&engine->lock);
    g_string_free(answer, TRUE);
    g_free(task->adapter);
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

/* Caller holds the lock. */
static void
begin_load(struct engine *engine, const char *adapter, const char *name)
{
    struct load_task *task = g_new0(struct load_task, 1);

    task->engine = engine;
    task->order = engine->load_order;
    task->adapter = g_strdup(adapter);
    if (engine->options.weight_store != NULL) {
        task->url = g_strdup_printf("%s/weights/%s?ms=%" PRIu64,
                                    engine->options.weight_store, name,
                                    engine->options.load_us / 1000);
    }
    g_thread_unref(g_thread_new("load", run_load, task));
}

/* Caller holds the lock. A load under way for the same target goes on. */
static void
load_weights(struct engine *engine, const char *model, const char *version)
{
    bool changes = replace(&engine->next_model, model);

    changes = replace(&engine->next_version, version) || changes;
    if (engine->weights_loading && !changes) {
        return;
    }
    engine->weights_loading = true;
    engine->weights_loaded = false;
    engine->load_order++;
    begin_load(engine, NULL, version);
}

/* Caller holds the lock. */
static void
load_adapter(struct engine *engine, const char *adapter)
{
    if (!g_ptr_array_find_with_equal_func(engine->adapters_loading, adapter,
                                          g_str_equal, NULL)) {
        g_ptr_array_add(engine->adapters_loading, g_strdup(adapter));
        begin_load(engine, adapter, adapter);
    }
}

/* Weights are replaced in place, so not before the last request that needs
 * the old ones has ended; the cache and adapters of the old ones are
 * worthless. */
void
engine_finish_load(struct engine *engine, uint64_t now)
{
    if (!engine->weights_loaded ||
        engine->running_count + engine->waiting_count > 0) {
        return;
    }
    replace(&engine->model, engine->next_model);
    replace(&engine->version, engine->next_version);
    g_ptr_array_set_size(engine->adapters, 0);
    engine_cache_clear(engine->cache, now);
    engine_events_notify(engine);
    engine->weights_loading = false;
    engine->weights_loaded = false;
}

/* A member that is absent or empty means what the engine has. */
static const char *
target(JsonObject *order, const char *name, const char *current)
{
    const char *value =
        json_object_get_string_member_with_default(order, name, "");

    return *value == '\0' ? current : value;
}

/* Caller holds the lock. Return: whether the order has nothing to do. */
static bool
take_order(struct engine *engine, const char *kind, JsonObject *order)
{
    const char *model = target(order, "model", engine->model);
    const char *version = target(order, "version", engine->version);
    const char *adapter = target(order, "adapter", "");

    if (strcmp(kind, "set_role") == 0) {
        replace(&engine->role, target(order, "role", engine->role));
        return true;
    }
    if (strcmp(kind, "load_adapter") == 0) {
        if (engine_runs(engine, "", "", adapter)) {
            return true;
        }
        load_adapter(engine, adapter);
        return false;
    }
    if (!engine->weights_loading && engine_runs(engine, model, version, "")) {
        return true;
    }
    load_weights(engine, model, version);
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
    if (!g_str_has_prefix(kind, "load_") && strcmp(kind, "set_role") != 0) {
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
