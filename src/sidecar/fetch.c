#include "sidecar/fetch.h"
#include "util/buffer.h"
#include "util/json_reader.h"

/* The list of all blocks of an engine with a million of them fits. */
#define FETCH_MAX_BYTES ((size_t)64 << 20)

struct fetch {
    struct pgw_transfer *transfer;
    struct pgw_buffer body;
    fetch_done done;
    fetch_text_done text_done;
    void *context;
    uint64_t asked_us;
    bool too_large;
};

static bool
on_body(struct pgw_transfer *transfer, const uint8_t *data, size_t size,
        void *context)
{
    struct fetch *fetch = context;

    (void)transfer;
    if (pgw_buffer_size(&fetch->body) + size > FETCH_MAX_BYTES) {
        fetch->too_large = true;
    }
    else {
        pgw_buffer_append(&fetch->body, data, size);
    }
    return true;
}

static void
fetch_free(struct fetch *fetch)
{
    pgw_buffer_dispose(&fetch->body);
    g_free(fetch);
}

static void
on_done(struct pgw_transfer *transfer, CURLcode code, long status,
        void *context)
{
    struct fetch *fetch = context;
    JsonObject *object = NULL;
    JsonNode *root = NULL;

    (void)transfer;
    if (code != CURLE_OK || fetch->too_large) {
        status = 0;
    }
    if (fetch->text_done != NULL) {
        fetch->text_done(fetch->context, status,
                         (const char *)pgw_buffer_head(&fetch->body),
                         pgw_buffer_size(&fetch->body), fetch->asked_us);
        fetch_free(fetch);
        return;
    }
    if (status != 0 &&
        pgw_json_parse(&root, (const char *)pgw_buffer_head(&fetch->body),
                       pgw_buffer_size(&fetch->body), "answer", NULL) &&
        JSON_NODE_HOLDS_OBJECT(root)) {
        object = json_node_get_object(root);
    }
    fetch->done(fetch->context, status, object, fetch->asked_us);
    g_clear_pointer(&root, json_node_unref);
    fetch_free(fetch);
}

static const struct pgw_transfer_ops fetch_ops = {
    .on_body = on_body,
    .on_done = on_done,
};

static struct fetch *
start(struct pgw_transfer_pool *pool,
      const struct pgw_transfer_options *options, void *context)
{
    struct fetch *fetch = g_new0(struct fetch, 1);

    fetch->context = context;
    fetch->asked_us = pgw_now_us();
    fetch->transfer = pgw_transfer_start(pool, options, &fetch_ops, fetch);
    return fetch;
}

struct fetch *
fetch_start(struct pgw_transfer_pool *pool, const char *url, const char *body,
            long timeout_ms, fetch_done done, void *context)
{
    struct pgw_transfer_options options = {
        .method = body == NULL ? "GET" : "POST",
        .url = url,
        .content_type = body == NULL ? NULL : "application/json",
        .body = body,
        .body_size = body == NULL ? 0 : strlen(body),
        .timeout_ms = timeout_ms,
    };
    struct fetch *fetch = start(pool, &options, context);

    fetch->done = done;
    return fetch;
}

struct fetch *
fetch_start_text(struct pgw_transfer_pool *pool, const char *url,
                 long timeout_ms, fetch_text_done done, void *context)
{
    struct pgw_transfer_options options = {
        .method = "GET",
        .url = url,
        .timeout_ms = timeout_ms,
    };
    struct fetch *fetch = start(pool, &options, context);

    fetch->text_done = done;
    return fetch;
}

void
fetch_cancel(struct fetch *fetch)
{
    if (fetch != NULL) {
        pgw_transfer_cancel(fetch->transfer);
        fetch_free(fetch);
    }
}

static JsonNode *
object_member(JsonObject *object, const char *name)
{
    JsonNode *node = json_object_get_member(object, name);

    return node != NULL && JSON_NODE_HOLDS_VALUE(node) ? node : NULL;
}

uint64_t
fetch_object_uint(JsonObject *object, const char *name)
{
    JsonNode *node = object_member(object, name);
    gint64 value = node == NULL ? 0 : json_node_get_int(node);

    return value < 0 ? 0 : (uint64_t)value;
}

bool
fetch_object_bool(JsonObject *object, const char *name)
{
    JsonNode *node = object_member(object, name);

    return node != NULL && json_node_get_boolean(node);
}

uint64_t
fetch_object_hex(JsonObject *object, const char *name)
{
    return g_ascii_strtoull(fetch_object_string(object, name), NULL, 16);
}

const char *
fetch_object_string(JsonObject *object, const char *name)
{
    JsonNode *node = object_member(object, name);
    const char *text = NULL;

    if (node != NULL && json_node_get_value_type(node) == G_TYPE_STRING) {
        text = json_node_get_string(node);
    }
    return text == NULL ? "" : text;
}
