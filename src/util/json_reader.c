#include "util/json_reader.h"

#include "parsleygw/errors.h"
#include "util/address.h"

#include <string.h>
#include <sys/stat.h>

#define MAX_FILE_BYTES (1u << 20)

/* What a first look at a text found that the JSON library would not. */
enum text_fault {
    TEXT_GOOD,
    TEXT_DEEP,
    TEXT_NUL,
    TEXT_NO_JSON,
};

/* Skips the string that begins at @i; returns the index of its last byte. */
static size_t
skip_string(enum text_fault *fault, const char *text, size_t size, size_t i)
{
    for (i++; i < size && text[i] != '"'; i++) {
        if (text[i] != '\\') {
            continue;
        }
        if (size - i >= 6 && memcmp(text + i, "\\u0000", 6) == 0) {
            *fault = TEXT_NUL;
        }
        i++;
    }
    return i;
}

/*
 * json-glib parses by recursion. Without a bound a body of nested brackets
 * ends in a stack overflow, and the process dies for one caller's request;
 * counting brackets outside strings first keeps the parser's depth bounded.
 * It also takes comments and single quotes, which could hide brackets from
 * the count, and cuts strings at an escaped NUL, so that half a prompt would
 * be answered; such texts are refused.
 */
static enum text_fault
scan_text(const char *text, size_t size)
{
    enum text_fault fault = TEXT_GOOD;
    unsigned depth = 0;

    for (size_t i = 0; i < size && fault == TEXT_GOOD; i++) {
        switch (text[i]) {
        case '"':
            i = skip_string(&fault, text, size, i);
            break;
        case '[':
        case '{':
#ifndef PGW_DISABLE_JSON_DEPTH
            fault = ++depth > PGW_JSON_MAX_DEPTH ? TEXT_DEEP : TEXT_GOOD;
#endif
            break;
        case ']':
        case '}':
            depth -= depth > 0;
            break;
        default:
            if (!g_ascii_isspace(text[i]) && !g_ascii_isalnum(text[i]) &&
                strchr(":,+-.", text[i]) == NULL) {
                fault = TEXT_NO_JSON;
            }
            break;
        }
    }
    return fault;
}

static void
set_text_error(GError **error, enum text_fault fault, const char *where)
{
    switch (fault) {
    case TEXT_DEEP:
        g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                    "%s: nested deeper than %d; write it flatter", where,
                    PGW_JSON_MAX_DEPTH);
        break;
    case TEXT_NUL:
        g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                    "%s: holds the escape \\u0000; leave it out", where);
        break;
    default:
        g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                    "%s: not valid JSON: a character that JSON does not have "
                    "outside of strings; remove it",
                    where);
        break;
    }
}

/* Messages quote keys and text, whose line breaks would split our one line. */
static void
one_line(GError **error)
{
    if (error != NULL && *error != NULL) {
        g_strdelimit((*error)->message, "\r\n", ' ');
    }
}

bool
pgw_json_parse(JsonNode **out, const char *text, size_t size,
               const char *where, GError **error)
{
    JsonParser *parser = json_parser_new_immutable();
    enum text_fault fault = scan_text(text, size);
    GError *cause = NULL;
    bool ok = false;

    if (fault != TEXT_GOOD) {
        set_text_error(error, fault, where);
        goto done;
    }
    if (!json_parser_load_from_data(parser, text, (gssize)size, &cause)) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                    "%s: not valid JSON: %s", where, cause->message);
        one_line(error);
        goto done;
    }
    if (json_parser_get_root(parser) == NULL) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                    "%s: empty; write one JSON object", where);
        goto done;
    }
    *out = json_node_ref(json_parser_get_root(parser));
    ok = true;
done:
    g_clear_error(&cause);
    g_object_unref(parser);
    return ok;
}

JsonNode *
pgw_json_parse_text(const char *text)
{
    JsonNode *root = NULL;

    pgw_json_parse(&root, text, strlen(text), "text", NULL);
    return root;
}

static bool
set_file_error(GError **error, const GError *cause, const char *path)
{
    int code = g_error_matches(cause, G_FILE_ERROR, G_FILE_ERROR_NOENT)
                   ? PGW_ERROR_NOT_FOUND
                   : PGW_ERROR_IO;

    g_set_error(error, PGW_ERROR, code, "%s: %s; check the path", path,
                cause->message);
    return false;
}

bool
pgw_json_load(JsonNode **out, const char *path, GError **error)
{
    GError *cause = NULL;
    char *text = NULL;
    gsize size = 0;
    struct stat info;
    bool ok = false;

    if (stat(path, &info) == 0 && info.st_size > (off_t)MAX_FILE_BYTES) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_TOO_LARGE,
                    "%s: %lld bytes; at most %u are read", path,
                    (long long)info.st_size, MAX_FILE_BYTES);
        goto done;
    }
    if (!g_file_get_contents(path, &text, &size, &cause)) {
        ok = set_file_error(error, cause, path);
        goto done;
    }
    ok = pgw_json_parse(out, text, size, path, error);
done:
    g_clear_error(&cause);
    g_free(text);
    return ok;
}

/* A value in the middle of being read; carried along for messages. */
struct reading {
    const struct pgw_json_field *field;
    const char *where;
    GError **error;
};

static char *
node_as_text(JsonNode *node)
{
    char *text = json_to_string(node, FALSE);

    if (strlen(text) > 60) {
        memcpy(text + 57, "...", 4);
    }
    return text;
}

static bool
wrong_type(const struct reading *r, JsonNode *node, const char *expected)
{
    char *found = node_as_text(node);

    g_set_error(r->error, PGW_ERROR, PGW_ERROR_INVALID,
                "%s: %s: found %s; write %s", r->where, r->field->key, found,
                expected);
    g_free(found);
    return false;
}

static bool
out_of_range(const struct reading *r, JsonNode *node)
{
    char *found = node_as_text(node);

    g_set_error(r->error, PGW_ERROR, PGW_ERROR_INVALID,
                "%s: %s: found %s; write a number from %.15g to %.15g",
                r->where, r->field->key, found, r->field->min, r->field->max);
    g_free(found);
    return false;
}

static bool
has_text(JsonNode *node)
{
    return JSON_NODE_HOLDS_VALUE(node) &&
           json_node_get_value_type(node) == G_TYPE_STRING;
}

static bool
read_double(const struct reading *r, double *out, JsonNode *node)
{
    GType type =
        JSON_NODE_HOLDS_VALUE(node) ? json_node_get_value_type(node) : 0;

    if (type != G_TYPE_INT64 && type != G_TYPE_DOUBLE) {
        return wrong_type(r, node, "a number");
    }
    *out = json_node_get_double(node);
    if (!(*out >= r->field->min && *out <= r->field->max)) {
        return out_of_range(r, node);
    }
    return true;
}

static bool
read_whole(const struct reading *r, uint64_t *out, JsonNode *node)
{
    double value;

    if (!JSON_NODE_HOLDS_VALUE(node) ||
        json_node_get_value_type(node) != G_TYPE_INT64) {
        return wrong_type(r, node, "a whole number");
    }
    if (!read_double(r, &value, node)) {
        return false;
    }
    *out = (uint64_t)json_node_get_int(node);
    return true;
}

static bool
check_choice(const struct reading *r, JsonNode *node, const char *text)
{
    const struct pgw_json_field *field = r->field;
    char *list;

    if (field->choices == NULL || g_strv_contains(field->choices, text)) {
        return true;
    }
    list = g_strjoinv(", ", (char **)field->choices);
    wrong_type(r, node, list);
    g_free(list);
    return false;
}

static bool
check_length(const struct reading *r, JsonNode *node, const char *text)
{
    size_t length = strlen(text);
    char expected[96];

    if (length >= r->field->min &&
        (r->field->max == 0 || length <= r->field->max)) {
        return true;
    }
    g_snprintf(expected, sizeof(expected), "text of %.0f to %.0f bytes",
               r->field->min, r->field->max);
    return wrong_type(r, node, expected);
}

/* Checks an "ip:port" whose port must be in the field's range. */
static bool
check_address(const struct reading *r, const char *text)
{
    struct pgw_address address;
    GError *cause = NULL;
    double max = r->field->max == 0 ? G_MAXUINT16 : r->field->max;
    unsigned port;

    if (!pgw_address_parse(&address, text, &cause)) {
        g_set_error(r->error, PGW_ERROR, PGW_ERROR_INVALID, "%s: %s: %s",
                    r->where, r->field->key, cause->message);
        g_error_free(cause);
        return false;
    }
    port = pgw_address_port(&address);
    if (port < r->field->min || port > max) {
        g_set_error(r->error, PGW_ERROR, PGW_ERROR_INVALID,
                    "%s: %s: found port %u; write one from %.0f to %.0f",
                    r->where, r->field->key, port, r->field->min, max);
        return false;
    }
    return true;
}

static bool
check_url(const struct reading *r, JsonNode *node, const char *text)
{
    if (!g_str_has_prefix(text, "http://")) {
        return wrong_type(r, node, "a URL such as \"http://192.0.2.7:8080\"");
    }
    return check_address(r, text + strlen("http://"));
}

static bool
check_text(const struct reading *r, JsonNode *node, const char *text)
{
    switch (r->field->type) {
    case PGW_JSON_ADDRESS:
    case PGW_JSON_ADDRESS_LIST:
        return check_address(r, text);
    case PGW_JSON_URL:
        return check_url(r, node, text);
    case PGW_JSON_STRING:
        return check_length(r, node, text) && check_choice(r, node, text);
    default:
        return true;
    }
}

static bool
read_text(const struct reading *r, char **out, JsonNode *node)
{
    const char *text;

    if (!has_text(node)) {
        return wrong_type(r, node, "text in quotes");
    }
    text = json_node_get_string(node);
    if (!check_text(r, node, text)) {
        return false;
    }
    *out = g_strdup(text);
    return true;
}

static bool
check_member_count(const struct reading *r, JsonNode *node, unsigned count)
{
    char expected[96];

    if (count >= r->field->min || r->field->type == PGW_JSON_ADDRESS_LIST) {
        return true;
    }
    g_snprintf(expected, sizeof(expected), "at least %.0f members",
               r->field->min);
    return wrong_type(r, node, expected);
}

static bool
read_list(const struct reading *r, char ***out, JsonNode *node)
{
    GPtrArray *list;
    JsonArray *array;
    unsigned count;
    bool ok;

    if (!JSON_NODE_HOLDS_ARRAY(node)) {
        return wrong_type(r, node, "a list such as [\"..\", \"..\"]");
    }
    array = json_node_get_array(node);
    count = json_array_get_length(array);
    ok = check_member_count(r, node, count);
    list = g_ptr_array_new_with_free_func(g_free);
    for (unsigned i = 0; ok && i < count; i++) {
        char *text = NULL;

        ok = read_text(r, &text, json_array_get_element(array, i));
        g_ptr_array_add(list, text);
    }
    if (ok) {
        g_ptr_array_add(list, NULL);
        *out = (char **)g_ptr_array_steal(list, NULL);
    }
    g_ptr_array_unref(list);
    return ok;
}

static bool
read_bool(const struct reading *r, bool *out, JsonNode *node)
{
    if (!JSON_NODE_HOLDS_VALUE(node) ||
        json_node_get_value_type(node) != G_TYPE_BOOLEAN) {
        return wrong_type(r, node, "true or false");
    }
    *out = json_node_get_boolean(node);
    return true;
}

static bool
read_member(const struct reading *r, void *member, JsonNode *node)
{
    uint64_t whole = 0;

    switch (r->field->type) {
    case PGW_JSON_UINT:
        if (!read_whole(r, &whole, node)) {
            return false;
        }
        *(uint32_t *)member = (uint32_t)whole;
        return true;
    case PGW_JSON_UINT64:
        return read_whole(r, member, node);
    case PGW_JSON_DOUBLE:
        return read_double(r, member, node);
    case PGW_JSON_BOOL:
        return read_bool(r, member, node);
    case PGW_JSON_STRING_LIST:
    case PGW_JSON_ADDRESS_LIST:
        return read_list(r, member, node);
    default:
        return read_text(r, member, node);
    }
}

static void
set_default(const struct pgw_json_field *field, void *member)
{
    switch (field->type) {
    case PGW_JSON_UINT:
        *(uint32_t *)member = (uint32_t)field->number;
        break;
    case PGW_JSON_UINT64:
        *(uint64_t *)member = (uint64_t)field->number;
        break;
    case PGW_JSON_DOUBLE:
        *(double *)member = field->number;
        break;
    case PGW_JSON_BOOL:
        *(bool *)member = field->number != 0;
        break;
    case PGW_JSON_STRING_LIST:
    case PGW_JSON_ADDRESS_LIST:
        *(char ***)member = g_new0(char *, 1);
        break;
    default:
        *(char **)member = g_strdup(field->text);
        break;
    }
}

static bool
refuse_unknown_keys(const struct pgw_json_field *fields, size_t count,
                    JsonObject *object, const char *where, GError **error)
{
    GList *members = json_object_get_members(object);
    const char *unknown = NULL;

    for (GList *i = members; i != NULL && unknown == NULL; i = i->next) {
        size_t known = 0;

        while (known < count && strcmp(fields[known].key, i->data) != 0) {
            known++;
        }
        unknown = known == count ? i->data : NULL;
    }
    if (unknown != NULL) {
        GString *keys = g_string_new(NULL);

        for (size_t i = 0; i < count; i++) {
            g_string_append_printf(keys, "%s%s", i == 0 ? "" : ", ",
                                   fields[i].key);
        }
        g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                    "%s: %.64s: unknown key; remove it or write one of: %s",
                    where, unknown, keys->str);
        g_string_free(keys, TRUE);
    }
    g_list_free(members);
    return unknown == NULL;
}

static bool
read_field(void *out, const struct pgw_json_field *field, JsonObject *object,
           const char *where, GError **error)
{
    const struct reading r = {.field = field, .where = where, .error = error};
    void *member = (char *)out + field->offset;
    JsonNode *node = json_object_get_member(object, field->key);

    if (node != NULL) {
        return read_member(&r, member, node);
    }
    if (field->required) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                    "%s: %s: missing; this key is required", where,
                    field->key);
        return false;
    }
    set_default(field, member);
    return true;
}

bool
pgw_json_read(void *out, const struct pgw_json_field *fields, size_t count,
              JsonNode *node, const char *where, GError **error)
{
    JsonObject *object;
    bool ok;

    if (!JSON_NODE_HOLDS_OBJECT(node)) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                    "%s: found no object; write {\"key\": value, ..}", where);
        return false;
    }
    object = json_node_get_object(node);
    ok = refuse_unknown_keys(fields, count, object, where, error);
    for (size_t i = 0; ok && i < count; i++) {
        ok = read_field(out, &fields[i], object, where, error);
    }
    if (!ok) {
        pgw_json_dispose(out, fields, count);
        one_line(error);
    }
    return ok;
}

void
pgw_json_dispose(void *out, const struct pgw_json_field *fields, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        void *member = (char *)out + fields[i].offset;

        switch (fields[i].type) {
        case PGW_JSON_UINT:
        case PGW_JSON_UINT64:
        case PGW_JSON_DOUBLE:
        case PGW_JSON_BOOL:
            break;
        case PGW_JSON_STRING_LIST:
        case PGW_JSON_ADDRESS_LIST:
            g_clear_pointer((char ***)member, g_strfreev);
            break;
        default:
            g_clear_pointer((char **)member, g_free);
            break;
        }
    }
}
