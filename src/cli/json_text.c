#include "cli/objects.h"

#include "util/json_text.h"

/* json-glib writes 0.9 as 0.90000000000000002; operators compare what they
 * wrote with what they get, so numbers are written as briefly as they read
 * back the same. */
static void
append_double(GString *out, double value)
{
    char text[G_ASCII_DTOSTR_BUF_SIZE];

    for (int digits = 15; digits <= 17; digits++) {
        char format[8];

        g_snprintf(format, sizeof(format), "%%.%dg", digits);
        g_ascii_formatd(text, sizeof(text), format, value);
        if (g_ascii_strtod(text, NULL) == value) {
            break;
        }
    }
    g_string_append(out, text);
}

static void
append_break(GString *out, int indent)
{
    if (indent >= 0) {
        g_string_append_printf(out, "\n%*s", 2 * indent, "");
    }
}

static void append_node(GString *out, JsonNode *node, int indent);

static void
append_scalar(GString *out, JsonNode *node)
{
    char *text;

    if (JSON_NODE_HOLDS_VALUE(node) &&
        json_node_get_value_type(node) == G_TYPE_DOUBLE) {
        append_double(out, json_node_get_double(node));
        return;
    }
    text = json_to_string(node, FALSE);
    g_string_append(out, text);
    g_free(text);
}

static void
append_name(GString *out, const char *name, bool spaced)
{
    pgw_json_append_text(out, name);
    g_string_append(out, spaced ? ": " : ":");
}

/* @indent is the depth when lines are broken, -1 for one line. */
static void
append_object(GString *out, JsonObject *object, int indent)
{
    int inner = indent < 0 ? -1 : indent + 1;
    GList *names = json_object_get_members(object);

    g_string_append_c(out, '{');
    for (GList *i = names; i != NULL; i = i->next) {
        append_break(out, inner);
        append_name(out, i->data, indent >= 0);
        append_node(out, json_object_get_member(object, i->data), inner);
        if (i->next != NULL) {
            g_string_append_c(out, ',');
        }
    }
    if (names != NULL) {
        append_break(out, indent);
    }
    g_string_append_c(out, '}');
    g_list_free(names);
}

static void
append_array(GString *out, JsonArray *array, int indent)
{
    int inner = indent < 0 ? -1 : indent + 1;
    guint count = json_array_get_length(array);

    g_string_append_c(out, '[');
    for (guint i = 0; i < count; i++) {
        append_break(out, inner);
        append_node(out, json_array_get_element(array, i), inner);
        if (i + 1 < count) {
            g_string_append_c(out, ',');
        }
    }
    if (count > 0) {
        append_break(out, indent);
    }
    g_string_append_c(out, ']');
}

static void
append_node(GString *out, JsonNode *node, int indent)
{
    if (JSON_NODE_HOLDS_OBJECT(node)) {
        append_object(out, json_node_get_object(node), indent);
    }
    else if (JSON_NODE_HOLDS_ARRAY(node)) {
        append_array(out, json_node_get_array(node), indent);
    }
    else {
        append_scalar(out, node);
    }
}

char *
pgw_cli_json_text(JsonNode *node, bool pretty)
{
    GString *out = g_string_new(NULL);

    append_node(out, node, pretty ? 0 : -1);
    return g_string_free(out, FALSE);
}
