#include "sidecar/fetch.h"
#include "sidecar/gate.h"
#include "sidecar/kv.h"
#include "util/hex.h"
#include "util/json_reader.h"
#include "util/json_text.h"
#include "util/log.h"

/* One event of a stream carries a token and its usage; an upstream that
 * sends a line beyond this is not an engine. */
#define MODEL_LINE_MAX ((size_t)1 << 20)
#define EVENT_PREFIX "data: "

static struct pgw_level_salt
run_salt(const struct run *run)
{
    return (struct pgw_level_salt){
        .workspace = run->open->workspace,
        .model = run->open->model,
        .adapter = run->open->adapter,
        .version = run->open->version,
    };
}

static void
append_member(GString *out, const char *name, const char *text)
{
    g_string_append_printf(out, ",\"%s\":", name);
    pgw_json_append_text(out, text);
}

static char *
request_body(const struct run *run)
{
    const Pgw__Open *open = run->open;
    struct pgw_level_salt salt = run_salt(run);
    char cache_salt[PGW_LEVEL_CACHE_SALT_SIZE];
    char id[PGW_REQUEST_ID_TEXT_SIZE];
    GString *out = g_string_sized_new(open->body.len + 512);

    pgw_level_cache_salt(cache_salt, &salt);
    pgw_request_id_format(id, &run->key.request);
    g_string_append(out, "{\"prompt\":");
    pgw_json_append_string(out, (const char *)open->body.data, open->body.len);
    append_member(out, "model", open->model);
    append_member(out, "version", open->version);
    append_member(out, "adapter", open->adapter);
    append_member(out, "request_id", id);
    append_member(out, "cache_salt", cache_salt);
    g_string_append_printf(
        out,
        ",\"max_tokens\":%u,\"stream\":true,\"priority\":%u"
        ",\"seed\":%" G_GUINT64_FORMAT ",\"resume_from\":%u,\"resume_text\":",
        open->max_tokens, open->priority, open->seed, open->resume_from);
    pgw_json_append_string(out, (const char *)open->resume_text.data,
                           open->resume_text.len);
    g_string_append_c(out, '}');
    return g_string_free(out, FALSE);
}

static void
model_start(struct run *run)
{
    struct sidecar *sidecar = run->sidecar;
    struct pgw_level_salt salt = run_salt(run);
    char *url =
        g_strconcat(sidecar->settings->upstream_url, "/v1/completions", NULL);
    char *body = request_body(run);
    struct pgw_transfer_options options = {
        .method = "POST",
        .url = url,
        .content_type = "application/json",
        .body = body,
        .body_size = strlen(body),
    };

    run->tokens = run->open->resume_from;
    pgw_cache_note_request(sidecar->cache, &run->key.request, &run->chain,
                           &salt, pgw_now_us());
    run->transfer = pgw_transfer_start(sidecar->transfers, &options,
                                       &run_transfer_ops, run);
    g_free(body);
    g_free(url);
}

static void
model_head(struct run *run, long status)
{
    /* Engines refuse before they run anything. One that finds fault with the
     * request itself has not failed: the next one would say the same. */
    run->refused = (status >= 400 && status < 500) || status == 503;
    run->broken = !run->refused && status != 200;
}

static void
first_token(struct run *run, JsonObject *usage)
{
    struct sidecar *sidecar = run->sidecar;
    const char *engine =
        pgw_transfer_header(run->transfer, "X-Engine-Incarnation");
    const char *version =
        pgw_transfer_header(run->transfer, "X-Model-Version");
    struct pgw_cache_source source = {
        .incarnation = engine == NULL ? 0 : g_ascii_strtoull(engine, NULL, 16),
        .version = version == NULL ? "" : version,
        .asked = run->sent_us,
    };

    if (usage != NULL) {
        run->prompt_tokens =
            (uint32_t)fetch_object_uint(usage, "prompt_tokens");
        run->cached_tokens =
            (uint32_t)fetch_object_uint(usage, "cached_tokens");
    }
    pgw_admit_set_uncached_tokens(
        sidecar->admit, &run->item,
        run->prompt_tokens - MIN(run->prompt_tokens, run->cached_tokens));
    pgw_admit_first_token(sidecar->admit, &run->item, pgw_now_us());
    /* The engine has room for the next prefill; waiting for the gate's own
     * tick would leave it idle in the meantime. */
    gate_pump_soon(sidecar);
    pgw_cache_note_answer(sidecar->cache, &run->key.request, &source,
                          run->cached_tokens, pgw_now_us());
    kv_note_answer(sidecar->kv, run);
    run_send_started(run, "", source.version, source.incarnation);
}

static JsonObject *
member_object(JsonObject *object, const char *name)
{
    JsonNode *node = json_object_get_member(object, name);

    return node != NULL && JSON_NODE_HOLDS_OBJECT(node)
               ? json_node_get_object(node)
               : NULL;
}

static JsonObject *
first_choice(JsonObject *event)
{
    JsonNode *node = json_object_get_member(event, "choices");
    JsonNode *first;

    if (node == NULL || !JSON_NODE_HOLDS_ARRAY(node) ||
        json_array_get_length(json_node_get_array(node)) == 0) {
        return NULL;
    }
    first = json_array_get_element(json_node_get_array(node), 0);
    return JSON_NODE_HOLDS_OBJECT(first) ? json_node_get_object(first) : NULL;
}

static bool
take_event(struct run *run, JsonObject *event)
{
    JsonObject *choice = first_choice(event);
    JsonObject *usage = member_object(event, "usage");
    const char *text;
    const char *reason;
    uint64_t index = fetch_object_uint(event, "token_index");

    if (choice == NULL || run->finish_reason != NULL) {
        return false;
    }
    /* A token missing in the middle would reach the caller as a silent cut;
     * breaking the answer off makes the entry resume it instead. */
    if (index != run->tokens) {
        pgw_log_warning("token_gap", "expected=%u got=%" G_GUINT64_FORMAT,
                        run->tokens, index);
        return false;
    }
    if (run->state != RUN_STARTED) {
        first_token(run, usage);
    }
    text = fetch_object_string(choice, "text");
    run_send_data(run, text, strlen(text), run->tokens, 1);
    run->tokens++;
    reason = fetch_object_string(choice, "finish_reason");
    if (reason[0] != '\0') {
        run->finish_reason = g_strdup(reason);
    }
    if (usage != NULL) {
        run->completion_tokens =
            (uint32_t)fetch_object_uint(usage, "completion_tokens");
    }
    return true;
}

static bool
take_line(struct run *run, const char *line, size_t size)
{
    JsonNode *root = NULL;
    bool good;

    if (size <= strlen(EVENT_PREFIX) ||
        memcmp(line, EVENT_PREFIX, strlen(EVENT_PREFIX)) != 0) {
        return true;
    }
    line += strlen(EVENT_PREFIX);
    size -= strlen(EVENT_PREFIX);
    if (size >= 6 && memcmp(line, "[DONE]", 6) == 0) {
        return true;
    }
    good = pgw_json_parse(&root, line, size, "event", NULL) &&
           JSON_NODE_HOLDS_OBJECT(root) &&
           take_event(run, json_node_get_object(root));
    g_clear_pointer(&root, json_node_unref);
    return good;
}

static bool
model_body(struct run *run, const uint8_t *data, size_t size)
{
    const uint8_t *head;
    const uint8_t *end;

    pgw_buffer_append(&run->line, data, size);
    while ((head = pgw_buffer_head(&run->line)) != NULL &&
           (end = memchr(head, '\n', pgw_buffer_size(&run->line))) != NULL) {
        size_t length = (size_t)(end - head);

        if (!take_line(run, (const char *)head, length)) {
            return false;
        }
        pgw_buffer_consume(&run->line, length + 1);
    }
    return pgw_buffer_size(&run->line) <= MODEL_LINE_MAX;
}

static bool
model_complete(struct run *run)
{
    /* Only the last token's event names a reason: without it the engine went
     * away in the middle, however tidily the connection was closed. */
    return run->finish_reason != NULL;
}

const struct run_call run_call_model = {
    .start = model_start,
    .head = model_head,
    .body = model_body,
    .complete = model_complete,
};
