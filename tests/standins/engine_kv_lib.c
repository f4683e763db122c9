#include <inttypes.h>
#include <xxhash.h>

#include "engine.h"
#include "fetch_lib.h"

/**
 * DOC: Moving cached blocks to and from the KV store
 *
 * The value names the chain of blocks and the weights that computed them. Its
 * checksum stands for the integrity check of real cache data.
 */

struct kv_task {
    struct engine *engine;
    struct standin_call *call;
    uint64_t block;
    char *url;
    bool is_export;
};

static uint64_t
chain_checksum(const GArray *chain)
{
    return XXH3_64bits(chain->data, chain->len * sizeof(uint64_t));
}

/* Takes as long as the transfer of so many blocks. */
static unsigned
transfer(const struct engine *engine, unsigned blocks)
{
    unsigned tokens = blocks * engine->options.block_tokens;

    g_usleep((gulong)(tokens * 1e6 / engine->options.kv_rate));
    return tokens;
}

static void
export_chain(struct kv_task *task)
{
    struct engine *engine = task->engine;
    GString *value = g_string_new(NULL), *answer = g_string_new(NULL);
    GArray *chain;

    pthread_mutex_lock(&engine->lock);
    chain = engine_cache_chain(engine->cache, task->block);
    g_string_append_printf(value,
                           "{\"model\":\"%s\",\"version\":\"%s\","
                           "\"checksum\":\"%016" PRIx64 "\",\"chain\":[",
                           engine->model, engine->version,
                           chain_checksum(chain));
    pthread_mutex_unlock(&engine->lock);
    for (guint i = 0; i < chain->len; i++) {
        g_string_append_printf(value, "%s\"%016" PRIx64 "\"",
                               i == 0 ? "" : ",",
                               g_array_index(chain, uint64_t, i));
    }
    g_string_append(value, "]}");
    if (chain->len == 0) {
        standin_call_error(task->call, 404, "not_found",
                           "the block is not cached here");
    }
    else if (standin_fetch(answer, "PUT", task->url, value) != 200) {
        standin_call_error(task->call, 502, "store_failed",
                           "the KV store did not take the value");
    }
    else {
        standin_call_replyf(task->call, 200, "{\"tokens\":%u}",
                            transfer(engine, chain->len));
    }
    g_array_unref(chain);
    g_string_free(value, TRUE);
    g_string_free(answer, TRUE);
}

/* Return: the chain, NULL when the value is damaged. */
static GArray *
parse_chain(JsonObject *value)
{
    GArray *chain = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    JsonArray *ids = json_object_get_array_member(value, "chain");
    uint64_t checksum = g_ascii_strtoull(
        json_object_get_string_member_with_default(value, "checksum", ""),
        NULL, 16);

    for (guint i = 0; ids != NULL && i < json_array_get_length(ids); i++) {
        uint64_t id =
            g_ascii_strtoull(json_array_get_string_element(ids, i), NULL, 16);

        g_array_append_val(chain, id);
    }
    if (chain->len == 0 || checksum != chain_checksum(chain)) {
        g_array_unref(chain);
        return NULL;
    }
    return chain;
}

static unsigned
store_chain(struct engine *engine, const GArray *chain)
{
    unsigned size = engine->options.block_tokens, stored = 0;
    struct engine_block *tail = NULL;
    uint64_t now = engine_now();

    pthread_mutex_lock(&engine->lock);
    while (stored < chain->len &&
           engine_cache_store(engine->cache, &tail,
                              g_array_index(chain, uint64_t, stored),
                              (stored + 1) * size, "", now)) {
        stored++;
    }
    engine_cache_release(engine->cache, tail, now);
    engine_events_notify(engine);
    pthread_mutex_unlock(&engine->lock);
    return stored * size;
}

static void
import_value(struct kv_task *task, JsonObject *value)
{
    struct engine *engine = task->engine;
    GArray *chain = parse_chain(value);
    bool runs;

    pthread_mutex_lock(&engine->lock);
    runs = engine_runs(
        engine,
        json_object_get_string_member_with_default(value, "model", "?"),
        json_object_get_string_member_with_default(value, "version", "?"), "");
    pthread_mutex_unlock(&engine->lock);
    if (chain == NULL) {
        standin_call_error(task->call, 502, "damaged",
                           "the value from the KV store is damaged");
    }
    else if (!runs) {
        standin_call_error(task->call, 409, "wrong_version",
                           "the value belongs to other weights");
    }
    else {
        transfer(engine, chain->len);
        standin_call_replyf(task->call, 200, "{\"tokens\":%u}",
                            store_chain(engine, chain));
    }
    if (chain != NULL) {
        g_array_unref(chain);
    }
}

static void
import_chain(struct kv_task *task)
{
    GString *answer = g_string_new(NULL);
    JsonNode *root = NULL;
    long status = standin_fetch(answer, "GET", task->url, NULL);

    if (status == 404) {
        standin_call_error(task->call, 404, "not_found",
                           "the KV store does not hold the block");
        goto done;
    }
    root = status == 200 ? json_from_string(answer->str, NULL) : NULL;
    if (root == NULL || !JSON_NODE_HOLDS_OBJECT(root)) {
        standin_call_error(task->call, 502, "store_failed",
                           "the KV store gave no value");
        goto done;
    }
    import_value(task, json_node_get_object(root));
done:
    if (root != NULL) {
        json_node_unref(root);
    }
    g_string_free(answer, TRUE);
}

static void *
run_kv(void *data)
{
    struct kv_task *task = data;

    if (task->is_export) {
        export_chain(task);
    }
    else {
        import_chain(task);
    }
    standin_call_unref(task->call);
    g_free(task->url);
    g_free(task);
    return NULL;
}

void
engine_serve_kv(struct engine *engine, struct standin_call *call,
                bool is_export)
{
    JsonObject *body = standin_call_json(call);
    const char *block, *store;
    struct kv_task *task;

    if (body == NULL) {
        return;
    }
    block = json_object_get_string_member_with_default(body, "block", "");
    store = json_object_get_string_member_with_default(body, "store", "");
    task = g_new0(struct kv_task, 1);
    task->engine = engine;
    task->call = standin_call_ref(call);
    task->block = g_ascii_strtoull(block, NULL, 16);
    task->url = g_strdup_printf("%s/kv/%016" PRIx64, store, task->block);
    task->is_export = is_export;
    json_object_unref(body);
    g_thread_unref(g_thread_new("kv", run_kv, task));
}
