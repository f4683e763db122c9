#include "harness_http.h"

#include <curl/curl.h>
#include <string.h>

#define DEFAULT_TIMEOUT_S 60

struct transfer {
    const struct harness_call *call;
    struct harness_answer *answer;
};

static size_t
take_body(char *data, size_t size, size_t count, void *user_data)
{
    struct transfer *transfer = user_data;
    const struct harness_call *call = transfer->call;
    size_t length = size * count;

    g_string_append_len(transfer->answer->body, data, (gssize)length);
    if (call->on_data != NULL &&
        !call->on_data(data, length, call->user_data)) {
        return 0;
    }
    return length;
}

static size_t
take_header(char *data, size_t size, size_t count, void *user_data)
{
    struct transfer *transfer = user_data;

    g_string_append_len(transfer->answer->headers, data,
                        (gssize)(size * count));
    return size * count;
}

static void
prepare(CURL *curl, struct transfer *transfer)
{
    const struct harness_call *call = transfer->call;

    curl_easy_setopt(curl, CURLOPT_URL, call->url);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_TIMEOUT,
                     call->timeout_s > 0 ? call->timeout_s
                                         : DEFAULT_TIMEOUT_S);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, take_body);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, transfer);
    curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, take_header);
    curl_easy_setopt(curl, CURLOPT_HEADERDATA, transfer);
    if (call->body != NULL) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE,
                         (long)strlen(call->body));
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, call->body);
    }
    if (call->method != NULL) {
        curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, call->method);
    }
}

long
harness_send(struct harness_answer *out, const struct harness_call *call)
{
    struct transfer transfer = {.call = call, .answer = out};
    struct curl_slist *headers = NULL;
    CURL *curl = curl_easy_init();

    *out = (struct harness_answer){.headers = g_string_new(NULL),
                                   .body = g_string_new(NULL)};
    prepare(curl, &transfer);
    for (unsigned i = 0; call->headers != NULL && call->headers[i] != NULL;
         i++) {
        headers = curl_slist_append(headers, call->headers[i]);
    }
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    out->whole = curl_easy_perform(curl) == CURLE_OK;
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &out->status);
    curl_easy_cleanup(curl);
    curl_slist_free_all(headers);
    return out->status;
}

long
harness_get(struct harness_answer *out, const char *url)
{
    return harness_send(out, &(struct harness_call){.url = url});
}

long
harness_post(struct harness_answer *out, const char *url, const char *body)
{
    return harness_send(out, &(struct harness_call){
                                 .method = "POST", .url = url, .body = body});
}

void
harness_answer_dispose(struct harness_answer *answer)
{
    g_string_free(answer->headers, TRUE);
    g_string_free(answer->body, TRUE);
    *answer = (struct harness_answer){0};
}

char *
harness_answer_header(const struct harness_answer *answer, const char *name)
{
    char **lines = g_strsplit(answer->headers->str, "\r\n", -1);
    size_t length = strlen(name);
    char *value = NULL;

    for (char **line = lines; *line != NULL && value == NULL; line++) {
        if (g_ascii_strncasecmp(*line, name, length) == 0 &&
            (*line)[length] == ':') {
            value = g_strstrip(g_strdup(*line + length + 1));
        }
    }
    g_strfreev(lines);
    return value;
}

JsonNode *
harness_parse(const char *text)
{
    GError *error = NULL;
    JsonNode *node = json_from_string(text, &error);

    if (node == NULL) {
        g_error("no JSON: %s: %s", text, error ? error->message : "empty");
    }
    return node;
}

JsonNode *
harness_get_json(const char *url)
{
    struct harness_answer answer;
    JsonNode *node;

    g_assert_cmpint(harness_get(&answer, url), ==, 200);
    node = harness_parse(answer.body->str);
    harness_answer_dispose(&answer);
    return node;
}

JsonNode *
harness_json(JsonNode *root, const char *path)
{
    char **steps = g_strsplit(path, "/", -1);
    JsonNode *node = root;

    for (char **step = steps; *step != NULL && node != NULL; step++) {
        if (**step == '\0') {
            continue;
        }
        if (JSON_NODE_HOLDS_OBJECT(node)) {
            node = json_object_get_member(json_node_get_object(node), *step);
        }
        else if (JSON_NODE_HOLDS_ARRAY(node)) {
            JsonArray *array = json_node_get_array(node);
            guint64 index = g_ascii_strtoull(*step, NULL, 10);

            node = index < json_array_get_length(array)
                       ? json_array_get_element(array, (guint)index)
                       : NULL;
        }
        else {
            node = NULL;
        }
    }
    g_strfreev(steps);
    return node;
}

static JsonNode *
need_value(JsonNode *root, const char *path)
{
    JsonNode *node = harness_json(root, path);

    if (node == NULL || !JSON_NODE_HOLDS_VALUE(node)) {
        char *text = json_to_string(root, FALSE);

        g_error("no value at %s of %s", path, text);
    }
    return node;
}

gint64
harness_json_int(JsonNode *root, const char *path)
{
    return json_node_get_int(need_value(root, path));
}

const char *
harness_json_string(JsonNode *root, const char *path)
{
    return json_node_get_string(need_value(root, path));
}

unsigned
harness_json_length(JsonNode *root, const char *path)
{
    JsonNode *node = harness_json(root, path);

    if (node != NULL && JSON_NODE_HOLDS_ARRAY(node)) {
        return json_array_get_length(json_node_get_array(node));
    }
    if (node != NULL && JSON_NODE_HOLDS_OBJECT(node)) {
        return json_object_get_size(json_node_get_object(node));
    }
    return 0;
}

gint64
harness_get_int(const char *url, const char *path)
{
    JsonNode *node = harness_get_json(url);
    gint64 value = harness_json_int(node, path);

    json_node_unref(node);
    return value;
}

/* A finish reason of null is no value. */
static char *
dup_reason(JsonNode *root)
{
    JsonNode *node = harness_json(root, "choices/0/finish_reason");

    return node != NULL && JSON_NODE_HOLDS_VALUE(node)
               ? g_strdup(json_node_get_string(node))
               : NULL;
}

/* An engine names cached tokens directly, an entry among the details. */
static void
parse_usage(struct harness_stream *out, JsonNode *root)
{
    static const char *const paths[] = {
        "usage/cached_tokens", "usage/prompt_tokens_details/cached_tokens"};

    for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
        if (harness_json(root, paths[i]) != NULL) {
            out->prompt_tokens = harness_json_int(root, "usage/prompt_tokens");
            out->cached_tokens = harness_json_int(root, paths[i]);
        }
    }
}

static void
parse_event(struct harness_stream *out, const char *data)
{
    JsonNode *root = harness_parse(data);
    JsonNode *text = harness_json(root, "choices/0/text");

    if (text == NULL) {
        text = harness_json(root, "choices/0/delta/content");
    }
    if (harness_json(root, "error") != NULL) {
        g_free(out->error);
        out->error = g_strdup(data);
    }
    if (text != NULL && JSON_NODE_HOLDS_VALUE(text)) {
        g_string_append(out->text, json_node_get_string(text));
        out->tokens++;
    }
    if (harness_json(root, "choices/0") != NULL) {
        g_free(out->finish_reason);
        out->finish_reason = dup_reason(root);
    }
    parse_usage(out, root);
    json_node_unref(root);
}

void
harness_stream_parse(struct harness_stream *out, const char *body)
{
    char **events = g_strsplit(body, "\n\n", -1);

    *out = (struct harness_stream){
        .text = g_string_new(NULL), .prompt_tokens = -1, .cached_tokens = -1};
    /* What follows the last empty line is a cut event, or nothing. */
    for (char **event = events; event[0] != NULL && event[1] != NULL;
         event++) {
        const char *data = strstr(*event, "data: ");

        if (data == NULL) {
            continue;
        }
        data += strlen("data: ");
        if (strcmp(data, "[DONE]") == 0) {
            out->done = true;
        }
        else {
            parse_event(out, data);
        }
    }
    g_strfreev(events);
}

void
harness_stream_dispose(struct harness_stream *stream)
{
    g_string_free(stream->text, TRUE);
    g_free(stream->finish_reason);
    g_free(stream->error);
    *stream = (struct harness_stream){0};
}
