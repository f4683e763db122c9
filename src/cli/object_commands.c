#include "cli/objects.h"
#include "cli/table.h"

#include "parsleygw/errors.h"
#include "util/json_reader.h"

#include <stdio.h>
#include <string.h>

/* What "get" printed and "put" reads: the value with the version that a
 * change of it is based on. */
static JsonNode *
envelope_new(const char *kind, const char *name, uint64_t version,
             JsonNode *value)
{
    JsonObject *object = json_object_new();
    JsonNode *node = json_node_new(JSON_NODE_OBJECT);

    json_object_set_string_member(object, "kind", kind);
    json_object_set_string_member(object, "name", name);
    json_object_set_int_member(object, "version", (gint64)version);
    json_object_set_member(object, "value", value);
    json_node_take_object(node, object);
    return node;
}

bool
pgw_cli_object_get(struct pgw_cli *cli, const struct pgw_cli_command *command,
                   GError **error)
{
    JsonNode *value = NULL;
    uint64_t version = 0;

    if (!pgw_cli_open_store(cli, error) ||
        !pgw_cli_get_object(cli, &value, &version, command->kind, cli->args[0],
                            error)) {
        return false;
    }
    pgw_cli_json_print(
        envelope_new(command->kind, cli->args[0], version, value));
    return true;
}

static bool
load_input(JsonNode **out, const char *path, GError **error)
{
    char *text = NULL;
    gsize size = 0;
    GIOChannel *input;
    bool ok;

    if (strcmp(path, "-") != 0) {
        return pgw_json_load(out, path, error);
    }
    input = g_io_channel_unix_new(fileno(stdin));
    ok = g_io_channel_read_to_end(input, &text, &size, NULL) ==
             G_IO_STATUS_NORMAL &&
         pgw_json_parse(out, text, size, "standard input", error);
    if (!ok && error != NULL && *error == NULL) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_IO,
                    "cannot read standard input");
    }
    g_io_channel_unref(input);
    g_free(text);
    return ok;
}

/* Takes the value out of an envelope and its version into @version. A bare
 * value leaves @version alone. */
static JsonNode *
unwrap(JsonNode *input, gint64 *version)
{
    JsonObject *object;
    JsonNode *value;

    if (!JSON_NODE_HOLDS_OBJECT(input)) {
        return input;
    }
    object = json_node_get_object(input);
    value = json_object_get_member(object, "value");
    if (value == NULL || !json_object_has_member(object, "version")) {
        return input;
    }
    if (*version < 0) {
        *version = json_object_get_int_member(object, "version");
    }
    value = json_node_ref(value);
    json_node_unref(input);
    return value;
}

/* A value without a version would replace whatever stands, also what another
 * operator wrote since the file was made, and that edit would be gone
 * unseen. So only a new object may come without. */
static bool
find_base(struct pgw_cli *cli, struct pgw_cli_change *change, gint64 given,
          GError **error)
{
    JsonNode *current = NULL;
    GError *cause = NULL;

    if (given >= 0 && !cli->options.force) {
        change->base = (uint64_t)given;
        return true;
    }
    if (!pgw_cli_get_object(cli, &current, &change->base, change->kind,
                            change->name, &cause)) {
        bool is_new = g_error_matches(cause, PGW_ERROR, PGW_ERROR_NOT_FOUND);

        if (is_new) {
            change->base = 0;
            g_error_free(cause);
        }
        else {
            g_propagate_error(error, cause);
        }
        return is_new;
    }
    json_node_unref(current);
#ifndef PGW_DISABLE_CLI_BASE
    if (!cli->options.force) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_CONFLICT,
                    "%s/%s: exists as version %" G_GUINT64_FORMAT
                    "; change what \"get\" prints, or add --if-version "
                    "%" G_GUINT64_FORMAT " to replace just that",
                    change->kind, change->name, change->base, change->base);
        return false;
    }
#endif
    return true;
}

bool
pgw_cli_object_put(struct pgw_cli *cli, const struct pgw_cli_command *command,
                   GError **error)
{
    struct pgw_cli_change change = {.kind = command->kind,
                                    .name = cli->args[0]};
    gint64 given = cli->options.if_version;
    uint64_t version;
    bool ok;

    if (!pgw_cli_open_store(cli, error) ||
        !load_input(&change.value, cli->args[1], error)) {
        return false;
    }
    change.value = unwrap(change.value, &given);
    ok = find_base(cli, &change, given, error) &&
         pgw_cli_commit(cli, &version, &change, error);
    if (ok) {
        pgw_cli_report_change(cli, &change, version);
    }
    json_node_unref(change.value);
    return ok;
}

/* "deadline_ms=800", "pool=assistants", "workspaces=["a","b"]": what is not
 * JSON is taken as text. */
static bool
set_key(JsonObject *object, const char *assignment, GError **error)
{
    const char *equals = strchr(assignment, '=');
    JsonNode *value = NULL;
    char *key;

    if (equals == NULL || equals == assignment) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                    "\"%s\": write KEY=VALUE", assignment);
        return false;
    }
    key = g_strndup(assignment, (gsize)(equals - assignment));
    if (equals[1] == '\0') {
        json_object_remove_member(object, key);
    }
    else if (pgw_json_parse(&value, equals + 1, strlen(equals + 1), "value",
                            NULL)) {
        json_object_set_member(object, key, value);
    }
    else {
        json_object_set_string_member(object, key, equals + 1);
    }
    g_free(key);
    return true;
}

static bool
edit_value(struct pgw_cli *cli, JsonNode **value, GError **error)
{
    JsonNode *copy = json_node_new(JSON_NODE_OBJECT);
    JsonObject *object = json_object_new();
    GList *members;
    bool ok = JSON_NODE_HOLDS_OBJECT(*value);

    members =
        ok ? json_object_get_members(json_node_get_object(*value)) : NULL;
    for (GList *i = members; i != NULL; i = i->next) {
        JsonNode *member =
            json_object_get_member(json_node_get_object(*value), i->data);

        json_object_set_member(object, i->data, json_node_copy(member));
    }
    g_list_free(members);
    for (int i = 1; ok && i < cli->n_args; i++) {
        ok = set_key(object, cli->args[i], error);
    }
    json_node_take_object(copy, object);
    json_node_unref(*value);
    *value = copy;
    return ok;
}

bool
pgw_cli_object_edit(struct pgw_cli *cli, const struct pgw_cli_command *command,
                    GError **error)
{
    struct pgw_cli_change change = {.kind = command->kind,
                                    .name = cli->args[0]};
    JsonNode *before = NULL;
    uint64_t version;
    char *diff;
    bool ok;

    if (!pgw_cli_open_store(cli, error) ||
        !pgw_cli_get_object(cli, &before, &change.base, command->kind,
                            cli->args[0], error)) {
        return false;
    }
    if (cli->options.if_version >= 0) {
        change.base = (uint64_t)cli->options.if_version;
    }
    change.value = json_node_ref(before);
    ok = edit_value(cli, &change.value, error) &&
         pgw_cli_commit(cli, &version, &change, error);
    if (ok) {
        diff = pgw_cli_json_diff(before, change.value);
        if (!cli->options.json) {
            fputs(diff, stdout);
        }
        pgw_cli_report_change(cli, &change, version);
        g_free(diff);
    }
    json_node_unref(before);
    json_node_unref(change.value);
    return ok;
}

bool
pgw_cli_object_diff(struct pgw_cli *cli, const struct pgw_cli_command *command,
                    GError **error)
{
    JsonNode *before = NULL;
    JsonNode *after = NULL;
    GError *cause = NULL;
    uint64_t version = 0;
    gint64 given = -1;
    char *diff;

    if (!pgw_cli_open_store(cli, error) ||
        !load_input(&after, cli->args[1], error)) {
        return false;
    }
    after = unwrap(after, &given);
    if (!pgw_cli_get_object(cli, &before, &version, command->kind,
                            cli->args[0], &cause) &&
        !g_error_matches(cause, PGW_ERROR, PGW_ERROR_NOT_FOUND)) {
        g_propagate_error(error, cause);
        json_node_unref(after);
        return false;
    }
    g_clear_error(&cause);
    diff = pgw_cli_json_diff(before, after);
    printf("%s", *diff == '\0' ? "no difference\n" : diff);
    g_free(diff);
    g_clear_pointer(&before, json_node_unref);
    json_node_unref(after);
    return true;
}

bool
pgw_cli_object_delete(struct pgw_cli *cli,
                      const struct pgw_cli_command *command, GError **error)
{
    struct pgw_cli_change change = {.kind = command->kind,
                                    .name = cli->args[0]};
    JsonNode *current = NULL;
    uint64_t version;

    if (!pgw_cli_open_store(cli, error) ||
        !pgw_cli_get_object(cli, &current, &change.base, command->kind,
                            cli->args[0], error)) {
        return false;
    }
    json_node_unref(current);
    if (cli->options.if_version >= 0) {
        change.base = (uint64_t)cli->options.if_version;
    }
    if (!pgw_cli_commit(cli, &version, &change, error)) {
        return false;
    }
    pgw_cli_report_change(cli, &change, version);
    return true;
}

/* A file of objects is checked as a whole, without a store. */
static bool check_file(struct pgw_cli *cli, const char *path, GError **error);

static bool
check_against_store(struct pgw_cli *cli, const struct pgw_cli_command *command,
                    GError **error)
{
    struct pgw_cli_change change = {.kind = command->kind,
                                    .name = cli->args[0]};
    struct pgw_config_set *set = NULL;
    gint64 given = -1;
    bool ok;

    if (!pgw_cli_open_store(cli, error) ||
        !load_input(&change.value, cli->args[1], error)) {
        return false;
    }
    change.value = unwrap(change.value, &given);
    ok = pgw_cli_load_set(cli, &set, error) &&
         pgw_cli_check_change(cli, set, &change, error);
    g_clear_pointer(&set, pgw_config_set_free);
    json_node_unref(change.value);
    if (ok) {
        printf("%s/%s: valid\n", command->kind, cli->args[0]);
    }
    return ok;
}

struct file_check {
    struct pgw_cli *cli;
    const struct pgw_config_set *set;
    GError **error;
    unsigned count;
    bool ok;
};

static void
check_one(const char *kind, const char *name, uint64_t version G_GNUC_UNUSED,
          const char *value, void *data)
{
    struct file_check *check = data;

    if (!check->ok || value == NULL) {
        return;
    }
    check->count++;
    check->ok =
        pgw_config_check(check->set, kind, name, value,
                         check->cli->options.force ? PGW_CONFIG_CHECK_FORCE
                                                   : PGW_CONFIG_CHECK_NONE,
                         check->error);
}

/* A file of objects is checked as a whole, without a store. */
static bool
check_file(struct pgw_cli *cli, const char *path, GError **error)
{
    struct pgw_config_set *set = pgw_config_set_new();
    struct file_check check = {
        .cli = cli, .set = set, .error = error, .ok = true};

    check.ok = pgw_config_set_load_file(set, path, error);
    if (check.ok) {
        pgw_config_set_foreach(set, check_one, &check);
    }
    if (check.ok) {
        printf("%s: %u objects, valid together\n", path, check.count);
    }
    pgw_config_set_free(set);
    return check.ok;
}

bool
pgw_cli_object_check(struct pgw_cli *cli,
                     const struct pgw_cli_command *command, GError **error)
{
    return cli->n_args == 1 ? check_file(cli, cli->args[0], error)
                            : check_against_store(cli, command, error);
}
