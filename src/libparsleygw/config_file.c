/* Bootstrap files and whole-set snapshots as JSON. */
#include <errno.h>
#include <string.h>

#include "config_internal.h"
#include "parsleygw/errors.h"

static bool
apply_node(struct pgw_config_set *set, JsonNode *node, guint index,
           GError **error)
{
    JsonObject *object;
    JsonNode *value;
    char *text = NULL;
    gint64 version;
    bool ok;

    if (!JSON_NODE_HOLDS_OBJECT(node)) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                    "objects[%u]: must be an object with kind, name, version "
                    "and value",
                    index);
        return false;
    }
    object = json_node_get_object(node);
    version = json_object_get_int_member_with_default(object, "version", 0);
    value = json_object_get_member(object, "value");
    if (value != NULL && !JSON_NODE_HOLDS_NULL(value)) {
        text = json_to_string(value, FALSE);
    }
    ok = pgw_config_set_apply(
        set, json_object_get_string_member_with_default(object, "kind", ""),
        json_object_get_string_member_with_default(object, "name", ""),
        version < 0 ? 0 : (uint64_t)version, text, NULL, error);
    if (!ok) {
        g_prefix_error(error, "objects[%u]: ", index);
    }
    g_free(text);
    return ok;
}

bool
pgw_config_set_load_text(struct pgw_config_set *set, const char *text,
                         gssize length, GError **error)
{
    JsonNode *document =
        pgw_config__json_parse(text, length, "snapshot", error);
    JsonObject *root;
    JsonNode *node;
    JsonArray *array;
    bool ok = false;

    if (document == NULL) {
        return false;
    }
    root = json_node_get_object(document);
    node = json_object_get_member(root, "objects");
    if (node == NULL || !JSON_NODE_HOLDS_ARRAY(node)) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                    "objects: missing: write {\"objects\":[...]}");
        goto done;
    }
    array = json_node_get_array(node);
    for (guint i = 0; i < json_array_get_length(array); i++) {
        if (!apply_node(set, json_array_get_element(array, i), i, error)) {
            goto done;
        }
    }
    ok = true;
done:
    json_node_unref(document);
    return ok;
}

bool
pgw_config_set_load_file(struct pgw_config_set *set, const char *path,
                         GError **error)
{
    GError *cause = NULL;
    char *text = NULL;
    gsize length = 0;
    bool ok = false;

    if (!g_file_get_contents(path, &text, &length, &cause)) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_IO,
                    "%s: check the path and its permissions", cause->message);
        g_error_free(cause);
        return false;
    }
    ok = pgw_config_set_load_text(set, text, (gssize)length, error);
    if (!ok) {
        g_prefix_error(error, "%s: ", path);
    }
    g_free(text);
    return ok;
}

/* Kinds and names need no escaping: their characters are limited. */
static void
append_object(const char *kind, const char *name, uint64_t version,
              const char *value, void *data)
{
    GString *text = data;

    g_string_append_printf(text,
                           "%s\n{\"kind\":\"%s\",\"name\":\"%s\","
                           "\"version\":%" G_GUINT64_FORMAT ",\"value\":",
                           text->str[text->len - 1] == '[' ? "" : ",", kind,
                           name, version);
    g_string_append(text, value == NULL ? "null" : value);
    g_string_append_c(text, '}');
}

char *
pgw_config_set_to_text(const struct pgw_config_set *set)
{
    GString *text = g_string_new("{\"objects\":[");

    pgw_config_set_foreach(set, append_object, text);
    g_string_append(text, "]}\n");
    return g_string_free(text, FALSE);
}

bool
pgw_config_set_save(const struct pgw_config_set *set, const char *path,
                    GError **error)
{
    char *text = pgw_config_set_to_text(set);
    GError *cause = NULL;
    bool ok = g_file_set_contents(path, text, -1, &cause);

    if (!ok) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_IO,
                    "%s: check the directory and its permissions",
                    cause->message);
        g_error_free(cause);
    }
    g_free(text);
    return ok;
}
