#include "cli/objects.h"

static void
append_line(GString *out, char sign, const char *path, JsonNode *value)
{
    char *text = pgw_cli_json_text(value, false);

    g_string_append_printf(out, "  %c %s: %s\n", sign,
                           *path == '\0' ? "(value)" : path, text);
    g_free(text);
}

static void append_diff(GString *out, const char *path, JsonNode *before,
                        JsonNode *after);

static void
append_member(GString *out, const char *path, const char *name,
              JsonNode *before, JsonNode *after)
{
    char *inner =
        *path == '\0' ? g_strdup(name) : g_strdup_printf("%s.%s", path, name);

    append_diff(out, inner, before, after);
    g_free(inner);
}

static void
append_object_diff(GString *out, const char *path, JsonObject *before,
                   JsonObject *after)
{
    GList *names = json_object_get_members(before);

    for (GList *i = names; i != NULL; i = i->next) {
        append_member(out, path, i->data,
                      json_object_get_member(before, i->data),
                      json_object_get_member(after, i->data));
    }
    g_list_free(names);
    names = json_object_get_members(after);
    for (GList *i = names; i != NULL; i = i->next) {
        if (!json_object_has_member(before, i->data)) {
            append_member(out, path, i->data, NULL,
                          json_object_get_member(after, i->data));
        }
    }
    g_list_free(names);
}

static void
append_diff(GString *out, const char *path, JsonNode *before, JsonNode *after)
{
    if (before != NULL && after != NULL) {
        if (json_node_equal(before, after)) {
            return;
        }
        if (JSON_NODE_HOLDS_OBJECT(before) && JSON_NODE_HOLDS_OBJECT(after)) {
            append_object_diff(out, path, json_node_get_object(before),
                               json_node_get_object(after));
            return;
        }
    }
    if (before != NULL) {
        append_line(out, '-', path, before);
    }
    if (after != NULL) {
        append_line(out, '+', path, after);
    }
}

char *
pgw_cli_json_diff(JsonNode *before, JsonNode *after)
{
    GString *out = g_string_new(NULL);

    append_diff(out, "", before, after);
    return g_string_free(out, FALSE);
}
