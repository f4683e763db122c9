#include "libparsleygw/orders_engine.h"

#include <curl/curl.h>
#include <string.h>

#include "config_internal.h"
#include "parsleygw/errors.h"
#include "util/curl_head.h"

#define CALL_TIMEOUT_MS 2000L
#define RESPONSE_MAX_BYTES 65536

static size_t
append_response(char *data, size_t size, size_t count, void *pointer)
{
    GString *response = pointer;

    if (response->len + size * count > RESPONSE_MAX_BYTES) {
        return 0;
    }
    g_string_append_len(response, data, (gssize)(size * count));
    return size * count;
}

/* Sends GET, or POST with a body. Return: the HTTP status, 0 without a
 * response. */
static long
call(GString *response, const char *base, const char *path, const char *body,
     GError **error)
{
    CURL *curl = curl_easy_init();
    char *url = g_strconcat(base, path, NULL);
    struct pgw_curl_head head;
    CURLcode code;
    long status = 0;

    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, CALL_TIMEOUT_MS);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_response);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, response);
    if (body != NULL) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
    }
    pgw_curl_head_watch(curl, &head);
    code = pgw_curl_head_check(&head, curl_easy_perform(curl));
    if (code == CURLE_OK) {
        curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    }
    else {
        g_set_error(error, PGW_ERROR, PGW_ERROR_UNAVAILABLE,
                    "engine%s: %s: check that the engine runs", path,
                    curl_easy_strerror(code));
    }
    curl_easy_cleanup(curl);
    g_free(url);
    return status;
}

static bool
set_status_error(long status, const char *path, GError **error)
{
    if (status != 0) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_PROTOCOL,
                    "engine%s: unexpected HTTP status %ld: check that "
                    "upstream_url is the engine's",
                    path, status);
    }
    return false;
}

static char *
dup_text_member(JsonObject *object, const char *name)
{
    return g_strdup(
        json_object_get_string_member_with_default(object, name, ""));
}

static char **
dup_list_member(JsonObject *object, const char *name)
{
    JsonNode *node = json_object_get_member(object, name);
    GPtrArray *list = g_ptr_array_new();

    if (node != NULL && JSON_NODE_HOLDS_ARRAY(node)) {
        JsonArray *array = json_node_get_array(node);

        for (guint i = 0; i < json_array_get_length(array); i++) {
            JsonNode *element = json_array_get_element(array, i);

            if (JSON_NODE_HOLDS_VALUE(element) &&
                json_node_get_value_type(element) == G_TYPE_STRING) {
                g_ptr_array_add(list, json_node_dup_string(element));
            }
        }
    }
    g_ptr_array_add(list, NULL);
    return (char **)g_ptr_array_free(list, FALSE);
}

bool
pgw_orders__engine_status_get(struct pgw_rollout_engine *out, const char *url,
                              GError **error)
{
    GString *response = g_string_new(NULL);
    long status = call(response, url, "/status", NULL, error);
    JsonNode *document = NULL;
    JsonObject *object;
    bool ok = false;

    if (status != 200) {
        ok = set_status_error(status, "/status", error);
        goto done;
    }
    document = pgw_config__json_parse(response->str, (gssize)response->len,
                                      "engine/status", error);
    if (document == NULL) {
        goto done;
    }
    object = json_node_get_object(document);
    *out = (struct pgw_rollout_engine){
        .model = dup_text_member(object, "model"),
        .version = dup_text_member(object, "version"),
        .role = dup_text_member(object, "role"),
        .adapters = dup_list_member(object, "adapters"),
        .loading = json_object_get_boolean_member_with_default(
            object, "loading", FALSE),
        .fence = (uint64_t)json_object_get_int_member_with_default(
            object, "fence", 0)};
    ok = true;
done:
    g_clear_pointer(&document, json_node_unref);
    g_string_free(response, TRUE);
    return ok;
}

void
pgw_orders__engine_status_dispose(struct pgw_rollout_engine *engine)
{
    g_free(engine->model);
    g_free(engine->version);
    g_free(engine->role);
    g_strfreev(engine->adapters);
    *engine = (struct pgw_rollout_engine){0};
}

static void
add_text(JsonBuilder *builder, const char *name, const char *text)
{
    json_builder_set_member_name(builder, name);
    json_builder_add_string_value(builder, text);
}

static char *
format_order(const struct pgw_permit_order *order, uint64_t fence)
{
    JsonBuilder *builder = json_builder_new();
    JsonNode *root;
    char *text;

    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "fence");
    json_builder_add_int_value(builder, (gint64)fence);
    add_text(builder, "kind", order->kind);
    add_text(builder, "model", order->model);
    add_text(builder, "version", order->version);
    add_text(builder, "adapter", order->adapter);
    add_text(builder, "role", order->role);
    json_builder_end_object(builder);
    root = json_builder_get_root(builder);
    text = json_to_string(root, FALSE);
    json_node_unref(root);
    g_object_unref(builder);
    return text;
}

bool
pgw_orders__send_order(const char *url, const struct pgw_permit_order *order,
                       uint64_t fence, GError **error)
{
    GString *response = g_string_new(NULL);
    char *body = format_order(order, fence);
    long status = call(response, url, "/orders", body, error);
    bool ok = status == 200 || status == 202;

    if (status == 409) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_STALE,
                    "engine/orders: fencing number %" G_GUINT64_FORMAT
                    " is outdated: acquire a new permit",
                    fence);
    }
    else if (!ok) {
        set_status_error(status, "/orders", error);
    }
    g_free(body);
    g_string_free(response, TRUE);
    return ok;
}
