#include "cli/objects.h"
#include "cli/table.h"

#include "parsleygw/errors.h"

#include <stdio.h>
#include <string.h>

/* The object API keeps the current value only, so the command line keeps the
 * earlier ones in an object of its own beside each profile, pool and
 * workspace, the newest first. */
#define HISTORY_KIND "history"
#define MAX_ENTRIES 50
#define MAX_BYTES ((size_t)256 * 1024)
#define MAX_TRIES 5

static char *
history_name(const char *kind, const char *name)
{
    return g_strdup_printf("%s.%s", kind, name);
}

static JsonNode *
new_entry(const struct pgw_cli_change *change, uint64_t version)
{
    GDateTime *now = g_date_time_new_now_utc();
    char *at = g_date_time_format(now, "%Y-%m-%dT%H:%M:%SZ");
    JsonObject *entry = json_object_new();
    JsonNode *node = json_node_new(JSON_NODE_OBJECT);

    json_object_set_int_member(entry, "version", (gint64)version);
    json_object_set_string_member(entry, "at", at);
    json_object_set_string_member(entry, "by", g_get_user_name());
    json_object_set_member(entry, "value",
                           change->value != NULL
                               ? json_node_copy(change->value)
                               : json_node_new(JSON_NODE_NULL));
    json_node_take_object(node, entry);
    g_free(at);
    g_date_time_unref(now);
    return node;
}

/* The new entry, then as many of the old ones as fit. */
static JsonNode *
prepend_entry(JsonNode *history, JsonNode *entry)
{
    JsonArray *entries = json_array_new();
    JsonObject *object = json_object_new();
    JsonNode *node = json_node_new(JSON_NODE_OBJECT);
    JsonArray *old = NULL;
    size_t bytes = 0;

    if (history != NULL && JSON_NODE_HOLDS_OBJECT(history) &&
        json_object_has_member(json_node_get_object(history), "entries")) {
        old = json_object_get_array_member(json_node_get_object(history),
                                           "entries");
    }
    json_array_add_element(entries, entry);
    for (guint i = 0; old != NULL && i < json_array_get_length(old); i++) {
        JsonNode *element = json_array_get_element(old, i);
        char *text = pgw_cli_json_text(element, false);

        bytes += strlen(text);
        g_free(text);
        if (i + 1 >= MAX_ENTRIES || bytes > MAX_BYTES) {
            break;
        }
        json_array_add_element(entries, json_node_copy(element));
    }
    json_object_set_array_member(object, "entries", entries);
    json_node_take_object(node, object);
    return node;
}

static bool
try_note(struct pgw_cli *cli, const struct pgw_cli_change *change,
         uint64_t version, const char *name, GError **error)
{
    JsonNode *history = NULL;
    struct pgw_cli_change note = {.kind = HISTORY_KIND, .name = name};
    uint64_t noted;
    bool ok = pgw_cli_find_object(cli, &history, &note.base, HISTORY_KIND,
                                  name, error);

    if (ok) {
        note.value = prepend_entry(history, new_entry(change, version));
        ok = pgw_cli_write(cli, &noted, &note, error);
        json_node_unref(note.value);
    }
    g_clear_pointer(&history, json_node_unref);
    return ok;
}

void
pgw_cli_note_history(struct pgw_cli *cli, const struct pgw_cli_change *change,
                     uint64_t version)
{
    char *name = history_name(change->kind, change->name);
    GError *error = NULL;
    bool ok = false;

    for (int tries = 0; tries < MAX_TRIES && !ok; tries++) {
        g_clear_error(&error);
        ok = try_note(cli, change, version, name, &error);
    }
    /* The change itself stands; a missing note must not look like a failure
     * that the operator would repeat. */
    if (!ok) {
        fprintf(stderr, "parsleygw: warning: not noted in the history: %s\n",
                error->message);
    }
    g_clear_error(&error);
    g_free(name);
}

static const char *const columns[] = {"version", "at", "by", NULL};

static void
print_entries(JsonArray *entries)
{
    guint count = json_array_get_length(entries);

    for (guint i = 0; i < count; i++) {
        JsonObject *entry = json_array_get_object_element(entries, i);
        JsonObject *older = i + 1 < count
                                ? json_array_get_object_element(entries, i + 1)
                                : NULL;
        JsonNode *before =
            older != NULL ? json_object_get_member(older, "value") : NULL;
        char *diff =
            pgw_cli_json_diff(before, json_object_get_member(entry, "value"));

        printf("version %" G_GINT64_FORMAT "  %s  by %s\n%s",
               json_object_get_int_member(entry, columns[0]),
               json_object_get_string_member(entry, columns[1]),
               json_object_get_string_member(entry, columns[2]), diff);
        g_free(diff);
    }
}

bool
pgw_cli_object_history(struct pgw_cli *cli,
                       const struct pgw_cli_command *command, GError **error)
{
    char *name = history_name(command->kind, cli->args[0]);
    JsonNode *history = NULL;
    uint64_t version;
    bool ok = pgw_cli_open_store(cli, error) &&
              pgw_cli_find_object(cli, &history, &version, HISTORY_KIND, name,
                                  error);

    g_free(name);
    if (!ok) {
        return false;
    }
    if (history == NULL) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_NOT_FOUND,
                    "%s/%s: no history; it was never changed by this program",
                    command->kind, cli->args[0]);
        return false;
    }
    if (cli->options.json) {
        pgw_cli_json_print(history);
        return true;
    }
    print_entries(json_object_get_array_member(json_node_get_object(history),
                                               "entries"));
    json_node_unref(history);
    return true;
}
