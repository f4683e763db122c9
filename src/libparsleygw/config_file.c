/* Reads and writes a configuration set as JSON. */
#include <errno.h>
#include <string.h>

#include "config_internal.h"
#include "json_slice.h"
#include "parsleygw/errors.h"

static bool
apply_element(struct pgw_config_set *set, const char *text, size_t size,
              GError **error)
{
    JsonNode *document =
        pgw_config__json_parse(text, (gssize)size, "object", error);
    JsonObject *object;
    JsonNode *value;
    char *value_text = NULL;
    gint64 version;
    bool ok;

    if (document == NULL) {
        return false;
    }
    object = json_node_get_object(document);
    version = json_object_get_int_member_with_default(object, "version", 0);
    value = json_object_get_member(object, "value");
    if (value != NULL && !JSON_NODE_HOLDS_NULL(value)) {
        value_text = json_to_string(value, FALSE);
    }
    ok = pgw_config_set_apply(
        set, json_object_get_string_member_with_default(object, "kind", ""),
        json_object_get_string_member_with_default(object, "name", ""),
        version < 0 ? 0 : (uint64_t)version, value_text, NULL, error);
    g_free(value_text);
    json_node_unref(document);
    return ok;
}

/* Checks that the text without the elements of its array is valid JSON, so
 * that a truncated file is not accepted with the objects before its end. */
static bool
check_remainder(const char *text, size_t length, const char *array,
                const char *end, GError **error)
{
    GString *remainder = g_string_new_len(text, array - text);
    JsonNode *document;

    g_string_append_len(remainder, end, text + length - end);
    document = pgw_config__json_parse(remainder->str, (gssize)remainder->len,
                                      "snapshot", error);
    g_string_free(remainder, TRUE);
    g_clear_pointer(&document, json_node_unref);
    return error == NULL || *error == NULL;
}

bool
pgw_config_set_load_text(struct pgw_config_set *set, const char *text,
                         gssize length, GError **error)
{
    size_t size = length < 0 ? strlen(text) : (size_t)length;
    struct pgw_json__slice slice;
    GError *cause = NULL;
    const char *array;
    const char *element;
    size_t element_size;
    unsigned index = 0;

    if (!pgw_json__slice_init(&slice, text, size, "objects")) {
        if (check_remainder(text, size, text + size, text + size, error)) {
            g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                        "objects: missing: write {\"objects\":[...]}");
        }
        return false;
    }
    array = slice.next;
    while (pgw_json__slice_next(&slice, &element, &element_size)) {
        if (!apply_element(set, element, element_size, &cause)) {
            g_propagate_prefixed_error(error, cause, "objects[%u]: ", index);
            return false;
        }
        index++;
    }
    if (!check_remainder(text, size, array, slice.next, &cause)) {
        g_propagate_error(error, cause);
        return false;
    }
    return true;
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

/* Kinds and names consist of characters that need no escaping. */
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
