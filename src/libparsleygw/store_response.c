#include "store_response.h"

#include <string.h>

#include "config_internal.h"
#include "json_slice.h"

static uint64_t
parse_version(JsonObject *object)
{
    gint64 version =
        json_object_get_int_member_with_default(object, "version", 0);

    return version < 0 ? 0 : (uint64_t)version;
}

bool
pgw_store__parse_object(struct pgw_store_object *out, const char *text,
                        size_t size)
{
    JsonNode *document =
        pgw_config__json_parse(text, (gssize)size, "answer", NULL);
    JsonObject *object;
    JsonNode *value;

    *out = (struct pgw_store_object){0};
    if (document == NULL) {
        return false;
    }
    object = json_node_get_object(document);
    out->name = g_strdup(
        json_object_get_string_member_with_default(object, "name", ""));
    out->version = parse_version(object);
    out->deleted =
        json_object_get_boolean_member_with_default(object, "deleted", FALSE);
    value = json_object_get_member(object, "value");
    if (value != NULL && !JSON_NODE_HOLDS_NULL(value) && !out->deleted) {
        out->value = json_to_string(value, FALSE);
    }
    json_node_unref(document);
    return true;
}

/* Reads a member that is text without escapes, as names are. */
static char *
copy_plain_text(const char *text, size_t size, const char *member)
{
    const char *value;
    size_t length;

    if (!pgw_json__slice_member(&value, &length, text, size, member) ||
        length < 2 || value[0] != '"' || memchr(value, '\\', length) != NULL) {
        return NULL;
    }
    while (length > 2 && g_ascii_isspace(value[length - 1])) {
        length--;
    }
    return value[length - 1] == '"' ? g_strndup(value + 1, length - 2) : NULL;
}

/* An object whose value no reader accepts, such as one that is nested too
 * deeply, still exists: it is listed with its text, which its readers reject.
 * Others in the list hold. */
static bool
take_unreadable(struct pgw_store_object *out, const char *text, size_t size)
{
    const char *value;
    size_t length;
    char *name = copy_plain_text(text, size, "name");

    *out = (struct pgw_store_object){.name = name};
    if (name == NULL ||
        !pgw_json__slice_member(&value, &length, text, size, "version")) {
        g_clear_pointer(&out->name, g_free);
        return false;
    }
    out->version = g_ascii_strtoull(value, NULL, 10);
    out->value = pgw_json__slice_member(&value, &length, text, size, "value")
                     ? g_strndup(value, length)
                     : NULL;
    return true;
}

/* The collection's version is outside the array. Parsing only the text around
 * the array's elements keeps memory small. */
static bool
parse_collection_version(uint64_t *out, const char *text, size_t size,
                         const char *array, const char *array_end)
{
    GString *without_elements = g_string_new_len(text, array - text);
    JsonNode *document;

    g_string_append_len(without_elements, array_end,
                        (gssize)(text + size - array_end));
    document = pgw_config__json_parse(
        without_elements->str, (gssize)without_elements->len, "answer", NULL);
    g_string_free(without_elements, TRUE);
    if (document == NULL) {
        return false;
    }
    *out = parse_version(json_node_get_object(document));
    json_node_unref(document);
    return true;
}

bool
pgw_store__parse_list(struct pgw_store_list *out, const char *text,
                      size_t size, const char *member)
{
    GArray *objects =
        g_array_new(FALSE, FALSE, sizeof(struct pgw_store_object));
    struct pgw_json__slice slice = {.next = text, .end = text};
    struct pgw_store_object object;
    const char *array;
    const char *element;
    size_t length;
    bool ok;

    ok = pgw_json__slice_init(&slice, text, size, member);
    array = slice.next;
    while (ok && pgw_json__slice_next(&slice, &element, &length)) {
        ok = pgw_store__parse_object(&object, element, length) ||
             take_unreadable(&object, element, length);
        if (ok) {
            g_array_append_val(objects, object);
        }
    }
    *out = (struct pgw_store_list){.n = objects->len};
    out->objects =
        (struct pgw_store_object *)(void *)g_array_free(objects, FALSE);
    ok = ok && parse_collection_version(&out->version, text, size, array,
                                        slice.next);
    if (!ok) {
        pgw_store_list_dispose(out);
    }
    return ok;
}

bool
pgw_store__parse_instances(struct pgw_store_instances *out, const char *text,
                           size_t size)
{
    JsonNode *document =
        pgw_config__json_parse(text, (gssize)size, "answer", NULL);
    JsonNode *list;
    JsonArray *array;
    bool ok = false;

    *out = (struct pgw_store_instances){0};
    if (document == NULL) {
        return false;
    }
    list = json_object_get_member(json_node_get_object(document), "instances");
    if (list == NULL || !JSON_NODE_HOLDS_ARRAY(list)) {
        goto done;
    }
    array = json_node_get_array(list);
    out->n = json_array_get_length(array);
    out->instances = g_new0(struct pgw_store_instance, out->n);
    for (guint i = 0; i < out->n; i++) {
        JsonNode *node = json_array_get_element(array, i);
        JsonObject *object;

        if (!JSON_NODE_HOLDS_OBJECT(node)) {
            goto done;
        }
        object = json_node_get_object(node);
        out->instances[i].id = g_strdup(
            json_object_get_string_member_with_default(object, "id", ""));
        out->instances[i].zone = g_strdup(
            json_object_get_string_member_with_default(object, "zone", ""));
        out->instances[i].leaving =
            strcmp(json_object_get_string_member_with_default(object, "state",
                                                              ""),
                   "leaving") == 0;
    }
    ok = true;
done:
    if (!ok) {
        pgw_store_instances_dispose(out);
    }
    json_node_unref(document);
    return ok;
}
