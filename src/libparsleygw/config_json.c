/* Typed access to members of JSON values; error messages name the path. */
#include <math.h>
#include <string.h>

#include "config_internal.h"
#include "parsleygw/errors.h"
#include "util/json_reader.h"

JsonNode *
pgw_config__json_parse(const char *text, gssize length, const char *what,
                       GError **error)
{
    size_t size = length < 0 ? strlen(text) : (size_t)length;
    JsonNode *root = NULL;

    if (!pgw_json_parse(&root, text, size, what, error)) {
        return NULL;
    }
    if (!JSON_NODE_HOLDS_OBJECT(root)) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                    "%s: not a JSON object: write {...}", what);
        json_node_unref(root);
        return NULL;
    }
    return root;
}

void
pgw_config__read_fail(struct pgw_config__reader *reader, const char *member,
                      const char *remedy)
{
    if (reader->failed) {
        return;
    }
    reader->failed = true;
    g_set_error(reader->error, PGW_ERROR, PGW_ERROR_INVALID, "%s/%s: %s%s: %s",
                reader->kind, reader->name, reader->path, member, remedy);
}

static JsonNode *
find_scalar(struct pgw_config__reader *reader, const char *member, GType type,
            const char *remedy)
{
    JsonNode *node = json_object_get_member(reader->object, member);

    if (node == NULL) {
        return NULL;
    }
    if (!JSON_NODE_HOLDS_VALUE(node) ||
        json_node_get_value_type(node) != type) {
        pgw_config__read_fail(reader, member, remedy);
        return NULL;
    }
    return node;
}

char *
pgw_config__read_string(struct pgw_config__reader *reader, const char *member,
                        const char *fallback, size_t max)
{
    JsonNode *node = find_scalar(reader, member, G_TYPE_STRING,
                                 "must be a string: quote it");
    const char *text;

    if (node == NULL) {
        if (fallback == NULL) {
            pgw_config__read_fail(reader, member, "missing: add this string");
        }
        return g_strdup(fallback);
    }
    text = json_node_get_string(node);
    if (strlen(text) > max) {
        pgw_config__read_fail(reader, member, "too long: shorten it");
    }
    return g_strdup(text);
}

char *
pgw_config__read_name(struct pgw_config__reader *reader, const char *member,
                      const char *fallback)
{
    char *text =
        pgw_config__read_string(reader, member, fallback, PGW_CONFIG_NAME_MAX);

    if (text != NULL && g_strcmp0(text, fallback) != 0 &&
        !pgw_config_name_is_valid(text)) {
        pgw_config__read_fail(reader, member,
                              "use 1 to 64 characters of A-Z a-z 0-9 . _ -");
    }
    return text;
}

uint32_t
pgw_config__read_uint(struct pgw_config__reader *reader, const char *member,
                      int64_t fallback, uint32_t min, uint32_t max)
{
    JsonNode *node =
        find_scalar(reader, member, G_TYPE_INT64, "must be a whole number");
    int64_t number = fallback;
    char remedy[64];

    if (node != NULL) {
        number = json_node_get_int(node);
    }
    if (number < min || number > max) {
        g_snprintf(remedy, sizeof(remedy), "give a number from %u to %u", min,
                   max);
        pgw_config__read_fail(reader, member, remedy);
        return min;
    }
    return (uint32_t)number;
}

bool
pgw_config__read_bool(struct pgw_config__reader *reader, const char *member,
                      bool fallback)
{
    JsonNode *node =
        find_scalar(reader, member, G_TYPE_BOOLEAN, "must be true or false");

    return node == NULL ? fallback : json_node_get_boolean(node);
}

double
pgw_config__read_fraction(struct pgw_config__reader *reader,
                          const char *member, double fallback)
{
    JsonNode *node = json_object_get_member(reader->object, member);
    double number;

    if (node == NULL) {
        return fallback;
    }
    if (!JSON_NODE_HOLDS_VALUE(node) ||
        (json_node_get_value_type(node) != G_TYPE_INT64 &&
         json_node_get_value_type(node) != G_TYPE_DOUBLE)) {
        pgw_config__read_fail(reader, member, "must be a number");
        return fallback;
    }
    number = json_node_get_double(node);
    if (!isfinite(number) || number < 0 || number > 1) {
        pgw_config__read_fail(reader, member, "give a number from 0 to 1");
        return fallback;
    }
    return number;
}

JsonArray *
pgw_config__read_array(struct pgw_config__reader *reader, const char *member)
{
    JsonNode *node = json_object_get_member(reader->object, member);

    if (node == NULL) {
        return NULL;
    }
    if (!JSON_NODE_HOLDS_ARRAY(node)) {
        pgw_config__read_fail(reader, member, "must be a list: write [...]");
        return NULL;
    }
    return json_node_get_array(node);
}

void
pgw_config__check_members(struct pgw_config__reader *reader,
                          const char *const *members)
{
    JsonObjectIter iter;
    const char *member;

    if (!reader->strict) {
        return;
    }
    json_object_iter_init(&iter, reader->object);
    while (json_object_iter_next(&iter, &member, NULL)) {
        if (!g_strv_contains(members, member)) {
            pgw_config__read_fail(reader, member,
                                  "no such member: correct its name");
        }
    }
}
