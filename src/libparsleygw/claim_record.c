#include "claim_record.h"

#include "parsleygw/errors.h"
#include "util/json_reader.h"

#include <json-glib/json-glib.h>
#include <string.h>

#define FORMAT_VERSION 1
#define DEFAULT_CONTENT_TYPE "application/octet-stream"

static void
append_quoted(GString *json, const char *text)
{
    g_string_append_c(json, '"');
    for (; *text != '\0'; text++) {
        if (*text == '"' || *text == '\\') {
            g_string_append_c(json, '\\');
        }
        g_string_append_c(json, *text);
    }
    g_string_append_c(json, '"');
}

static bool
is_printable(const char *text)
{
    for (; *text != '\0'; text++) {
        if (!g_ascii_isprint(*text)) {
            return false;
        }
    }
    return true;
}

static void
append_answer(GString *json, const struct pgw_claim_record *record)
{
    gsize size;
    const guchar *bytes;
    char *text;

    g_string_append_printf(json, ",%u,", record->status);
    append_quoted(json, record->content_type);
    if (record->body == NULL) {
        g_string_append(json, ",null");
        return;
    }
    bytes = g_bytes_get_data(record->body, &size);
    text = g_base64_encode(bytes, size);
    g_string_append_printf(json, ",\"%s\"", text);
    g_free(text);
}

static void
record_print(struct pgw_claim_record *record)
{
    GString *json = g_string_new(NULL);

    append_quoted(json, record->name);
    g_string_append_printf(json, ":[\"%c\",\"%" G_GINT64_MODIFIER "x\",",
                           (int)record->state, record->owner);
    append_quoted(json, record->nonce);
    g_string_append_printf(json, ",%" G_GUINT64_FORMAT, record->time_us);
    if (record->state == PGW_CLAIM_DONE) {
        append_answer(json, record);
    }
    g_string_append_c(json, ']');
    record->json_length = json->len;
    record->json = g_string_free(json, FALSE);
}

struct pgw_claim_record *
pgw_claim__record_new(enum pgw_claim_state state, const char *name,
                      uint64_t owner, const char *nonce, uint64_t time_us,
                      const struct pgw_claim_answer *answer)
{
    struct pgw_claim_record *record = g_new0(struct pgw_claim_record, 1);

    record->references = 1;
    record->state = state;
    record->name = g_strdup(name);
    record->owner = owner;
    record->time_us = time_us;
    g_strlcpy(record->nonce, nonce, sizeof(record->nonce));
    if (state == PGW_CLAIM_DONE) {
        const char *type = answer->content_type;

        record->status = answer->status;
        record->content_type = g_strdup(
            type != NULL && is_printable(type) ? type : DEFAULT_CONTENT_TYPE);
        record->body = answer->body != NULL ? g_bytes_ref(answer->body) : NULL;
    }
    record_print(record);
    return record;
}

struct pgw_claim_record *
pgw_claim__record_without_body(const struct pgw_claim_record *record)
{
    struct pgw_claim_answer answer = {
        .status = record->status,
        .content_type = record->content_type,
    };

    return pgw_claim__record_new(record->state, record->name, record->owner,
                                 record->nonce, record->time_us, &answer);
}

struct pgw_claim_record *
pgw_claim__record_ref(struct pgw_claim_record *record)
{
    record->references++;
    return record;
}

void
pgw_claim__record_unref(struct pgw_claim_record *record)
{
    if (record == NULL || --record->references > 0) {
        return;
    }
    g_clear_pointer(&record->body, g_bytes_unref);
    g_free(record->content_type);
    g_free(record->name);
    g_free(record->json);
    g_free(record);
}

static void
unref_record(gpointer record)
{
    pgw_claim__record_unref(record);
}

struct pgw_claim_object *
pgw_claim__object_new(void)
{
    struct pgw_claim_object *object = g_new0(struct pgw_claim_object, 1);

    object->records =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, unref_record);
    object->windows =
        g_array_new(FALSE, FALSE, sizeof(struct pgw_claim_window));
    return object;
}

struct pgw_claim_object *
pgw_claim__object_copy(const struct pgw_claim_object *object)
{
    struct pgw_claim_object *copy = pgw_claim__object_new();
    GHashTableIter iter;
    gpointer record;

    g_hash_table_iter_init(&iter, object->records);
    while (g_hash_table_iter_next(&iter, NULL, &record)) {
        pgw_claim__object_put(copy, pgw_claim__record_ref(record));
    }
    g_array_append_vals(copy->windows, object->windows->data,
                        object->windows->len);
    return copy;
}

void
pgw_claim__object_free(struct pgw_claim_object *object)
{
    if (object == NULL) {
        return;
    }
    g_hash_table_destroy(object->records);
    g_array_free(object->windows, TRUE);
    g_free(object);
}

struct pgw_claim_record *
pgw_claim__object_get(const struct pgw_claim_object *object, const char *name)
{
    return g_hash_table_lookup(object->records, name);
}

void
pgw_claim__object_remove(struct pgw_claim_object *object, const char *name)
{
    struct pgw_claim_record *record = pgw_claim__object_get(object, name);

    if (record != NULL) {
        object->bytes -= record->json_length + 1;
        g_hash_table_remove(object->records, name);
    }
}

void
pgw_claim__object_put(struct pgw_claim_object *object,
                      struct pgw_claim_record *record)
{
    pgw_claim__object_remove(object, record->name);
    object->bytes += record->json_length + 1;
    g_hash_table_insert(object->records, record->name, record);
}

void
pgw_claim__object_compact(struct pgw_claim_object *object, uint64_t oldest_us)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, object->records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct pgw_claim_record *record = value;

        if (record->time_us < oldest_us) {
            object->bytes -= record->json_length + 1;
            g_hash_table_iter_remove(&iter);
        }
    }
    for (guint i = object->windows->len; i > 0; i--) {
        if (g_array_index(object->windows, struct pgw_claim_window, i - 1)
                .to_us < oldest_us) {
            g_array_remove_index_fast(object->windows, i - 1);
        }
    }
}

struct pgw_claim_window *
pgw_claim__object_window(const struct pgw_claim_object *object, uint64_t owner)
{
    for (guint i = 0; i < object->windows->len; i++) {
        struct pgw_claim_window *window =
            &g_array_index(object->windows, struct pgw_claim_window, i);

        if (window->owner == owner) {
            return window;
        }
    }
    return NULL;
}

char *
pgw_claim__object_print(const struct pgw_claim_object *object, size_t *length)
{
    GString *json = g_string_sized_new(object->bytes + 256);
    GHashTableIter iter;
    gpointer value;
    const char *separator = "";

    g_string_append_printf(json, "{\"v\":%d,\"w\":[", FORMAT_VERSION);
    for (guint i = 0; i < object->windows->len; i++) {
        const struct pgw_claim_window *window =
            &g_array_index(object->windows, struct pgw_claim_window, i);

        g_string_append_printf(
            json,
            "%s[\"%" G_GINT64_MODIFIER "x\",%" G_GUINT64_FORMAT
            ",%" G_GUINT64_FORMAT "]",
            i > 0 ? "," : "", window->owner, window->from_us, window->to_us);
    }
    g_string_append(json, "],\"c\":{");
    g_hash_table_iter_init(&iter, object->records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct pgw_claim_record *record = value;

        g_string_append(json, separator);
        g_string_append_len(json, record->json, (gssize)record->json_length);
        separator = ",";
    }
    g_string_append(json, "}}");
    *length = json->len;
    return g_string_free(json, FALSE);
}

static const char *
string_at(JsonArray *array, guint index)
{
    JsonNode *node = index < json_array_get_length(array)
                         ? json_array_get_element(array, index)
                         : NULL;

    return node != NULL && JSON_NODE_HOLDS_VALUE(node) &&
                   json_node_get_value_type(node) == G_TYPE_STRING
               ? json_node_get_string(node)
               : NULL;
}

static bool
number_at(uint64_t *out, JsonArray *array, guint index)
{
    JsonNode *node = index < json_array_get_length(array)
                         ? json_array_get_element(array, index)
                         : NULL;

    if (node == NULL || !JSON_NODE_HOLDS_VALUE(node) ||
        json_node_get_value_type(node) != G_TYPE_INT64 ||
        json_node_get_int(node) < 0) {
        return false;
    }
    *out = (uint64_t)json_node_get_int(node);
    return true;
}

static bool
owner_at(uint64_t *out, JsonArray *array, guint index)
{
    const char *text = string_at(array, index);
    guint64 owner;

    if (text == NULL ||
        !g_ascii_string_to_unsigned(text, 16, 1, G_MAXUINT64, &owner, NULL)) {
        return false;
    }
    *out = owner;
    return true;
}

static bool
parse_answer(struct pgw_claim_answer *out, JsonArray *array)
{
    uint64_t status;
    const char *body;

    if (json_array_get_length(array) != 7 || !number_at(&status, array, 4) ||
        string_at(array, 5) == NULL) {
        return false;
    }
    out->status = (uint32_t)status;
    out->content_type = string_at(array, 5);
    body = string_at(array, 6);
    if (body != NULL) {
        gsize size;
        guchar *bytes = g_base64_decode(body, &size);

        out->body = g_bytes_new_take(bytes, size);
    }
    return body != NULL || json_array_get_null_element(array, 6);
}

static bool
parse_record(struct pgw_claim_object *object, const char *name, JsonNode *node)
{
    struct pgw_claim_answer answer = {0};
    JsonArray *array;
    uint64_t owner, time_us;
    const char *state, *nonce;
    bool is_valid = false;

    if (!JSON_NODE_HOLDS_ARRAY(node)) {
        return false;
    }
    array = json_node_get_array(node);
    state = string_at(array, 0);
    nonce = string_at(array, 2);
    if (state == NULL || strlen(state) != 1 ||
        strchr("cud", state[0]) == NULL || nonce == NULL ||
        !owner_at(&owner, array, 1) || !number_at(&time_us, array, 3)) {
        return false;
    }
    is_valid = state[0] != PGW_CLAIM_DONE || parse_answer(&answer, array);
    if (is_valid) {
        pgw_claim__object_put(
            object, pgw_claim__record_new((enum pgw_claim_state)state[0], name,
                                          owner, nonce, time_us, &answer));
    }
    g_clear_pointer(&answer.body, g_bytes_unref);
    return is_valid;
}

static bool
parse_window(struct pgw_claim_object *object, JsonNode *node)
{
    struct pgw_claim_window window;
    JsonArray *array;

    if (!JSON_NODE_HOLDS_ARRAY(node)) {
        return false;
    }
    array = json_node_get_array(node);
    if (!owner_at(&window.owner, array, 0) ||
        !number_at(&window.from_us, array, 1) ||
        !number_at(&window.to_us, array, 2)) {
        return false;
    }
    g_array_append_val(object->windows, window);
    return true;
}

static bool
parse_members(struct pgw_claim_object *object, JsonObject *root)
{
    JsonNode *windows = json_object_get_member(root, "w");
    JsonNode *records = json_object_get_member(root, "c");
    JsonObjectIter iter;
    const char *name;
    JsonNode *node;

    if (json_object_get_int_member_with_default(root, "v", 0) !=
            FORMAT_VERSION ||
        windows == NULL || !JSON_NODE_HOLDS_ARRAY(windows) ||
        records == NULL || !JSON_NODE_HOLDS_OBJECT(records)) {
        return false;
    }
    for (guint i = 0; i < json_array_get_length(json_node_get_array(windows));
         i++) {
        if (!parse_window(object, json_array_get_element(
                                      json_node_get_array(windows), i))) {
            return false;
        }
    }
    json_object_iter_init(&iter, json_node_get_object(records));
    while (json_object_iter_next(&iter, &name, &node)) {
        if (!parse_record(object, name, node)) {
            return false;
        }
    }
    return true;
}

struct pgw_claim_object *
pgw_claim__object_parse(const char *json, size_t length, GError **error)
{
    struct pgw_claim_object *object = pgw_claim__object_new();
    JsonNode *root = NULL;

    pgw_json_parse(&root, json, length, "claim object", NULL);
    if (root == NULL || !JSON_NODE_HOLDS_OBJECT(root) ||
        !parse_members(object, json_node_get_object(root))) {
        g_set_error_literal(error, PGW_ERROR, PGW_ERROR_INVALID,
                            "claim object is malformed; restore it from its "
                            "last good version, keys in it are refused");
        g_clear_pointer(&object, pgw_claim__object_free);
    }
    g_clear_pointer(&root, json_node_unref);
    return object;
}
