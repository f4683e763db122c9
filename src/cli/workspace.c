#include "cli/objects.h"

#include "parsleygw/errors.h"
#include "util/hex.h"

#include <stdio.h>
#include <string.h>
#include <sys/random.h>

#define SECRET_BYTES 32
#define KEY_PREFIX "pgw_"

/* A fresh key in text form; only its digest is ever stored. */
static bool
make_key(char **key, char **digest, GError **error)
{
    uint8_t secret[SECRET_BYTES];
    char text[2 * SECRET_BYTES + 1];

    if (getrandom(secret, sizeof(secret), 0) != (ssize_t)sizeof(secret)) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_IO,
                    "no random numbers from the system; try again");
        return false;
    }
    pgw_hex_encode(text, secret, sizeof(secret));
    *key = g_strconcat(KEY_PREFIX, text, NULL);
    *digest = g_compute_checksum_for_string(G_CHECKSUM_SHA256, *key, -1);
    explicit_bzero(secret, sizeof(secret));
    explicit_bzero(text, sizeof(text));
    return true;
}

static JsonObject *
make_key_object(const char *id, const char *digest)
{
    JsonObject *key = json_object_new();

    json_object_set_string_member(key, "id", id);
    json_object_set_string_member(key, "sha256", digest);
    json_object_set_boolean_member(key, "revoked", FALSE);
    return key;
}

static JsonArray *
key_array(JsonObject *workspace)
{
    JsonNode *node = json_object_get_member(workspace, "keys");

    return node != NULL && JSON_NODE_HOLDS_ARRAY(node)
               ? json_node_get_array(node)
               : NULL;
}

static bool
has_key(JsonArray *keys, const char *id)
{
    for (guint i = 0; i < json_array_get_length(keys); i++) {
        JsonObject *key = json_array_get_object_element(keys, i);

        if (g_strcmp0(json_object_get_string_member(key, "id"), id) == 0) {
            return true;
        }
    }
    return false;
}

static char *
free_key_id(JsonArray *keys)
{
    for (unsigned number = 1;; number++) {
        char *id = g_strdup_printf("k%u", number);

        if (!has_key(keys, id)) {
            return id;
        }
        g_free(id);
    }
}

/* The only moment at which the key exists outside its user's hands. */
static void
show_key(const struct pgw_cli *cli, const char *workspace, const char *id,
         const char *key)
{
    if (cli->options.json) {
        printf("{\"workspace\":\"%s\",\"id\":\"%s\",\"key\":\"%s\"}\n",
               workspace, id, key);
    }
    else {
        printf("workspace %s, key %s:\n%s\n"
               "It is shown this once and cannot be read again.\n",
               workspace, id, key);
    }
}

/* Adds a key to @value, writes it, and shows the key once it is stored. */
static bool
add_key(struct pgw_cli *cli, struct pgw_cli_change *change, GError **error)
{
    JsonObject *object = json_node_get_object(change->value);
    JsonArray *old = key_array(object);
    JsonArray *keys = json_array_new();
    char *key = NULL;
    char *digest = NULL;
    char *id;
    uint64_t version;
    bool ok;

    for (guint i = 0; old != NULL && i < json_array_get_length(old); i++) {
        json_array_add_element(keys,
                               json_node_copy(json_array_get_element(old, i)));
    }
    id = free_key_id(keys);
    ok = make_key(&key, &digest, error);
    if (ok) {
        json_array_add_object_element(keys, make_key_object(id, digest));
    }
    json_object_set_array_member(object, "keys", keys);
    ok = ok && pgw_cli_commit(cli, &version, change, error);
    if (ok) {
        show_key(cli, change->name, id, key);
    }
    if (key != NULL) {
        explicit_bzero(key, strlen(key));
    }
    g_free(key);
    g_free(digest);
    g_free(id);
    return ok;
}

bool
pgw_cli_workspace_create(struct pgw_cli *cli,
                         const struct pgw_cli_command *command, GError **error)
{
    struct pgw_cli_change change = {.kind = command->kind,
                                    .name = cli->args[0]};
    JsonObject *object;
    bool ok;

    if (!pgw_cli_open_store(cli, error)) {
        return false;
    }
    object = json_object_new();
    json_object_set_int_member(object, "share", MAX(cli->options.share, 1));
    json_object_set_int_member(object, "max_inflight",
                               MAX(cli->options.max_inflight, 0));
    change.value = json_node_new(JSON_NODE_OBJECT);
    json_node_take_object(change.value, object);
    ok = add_key(cli, &change, error);
    json_node_unref(change.value);
    return ok;
}

/* Reads the workspace into @change as a value that may be changed. */
static bool
load_workspace(struct pgw_cli *cli, struct pgw_cli_change *change,
               GError **error)
{
    JsonNode *stored = NULL;

    if (!pgw_cli_open_store(cli, error) ||
        !pgw_cli_get_object(cli, &stored, &change->base, change->kind,
                            change->name, error)) {
        return false;
    }
    if (!JSON_NODE_HOLDS_OBJECT(stored)) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                    "%s/%s: is no object; delete and create it", change->kind,
                    change->name);
        json_node_unref(stored);
        return false;
    }
    change->value = stored;
    return true;
}

bool
pgw_cli_workspace_rotate(struct pgw_cli *cli,
                         const struct pgw_cli_command *command, GError **error)
{
    struct pgw_cli_change change = {.kind = command->kind,
                                    .name = cli->args[0]};
    bool ok;

    if (!load_workspace(cli, &change, error)) {
        return false;
    }
    ok = add_key(cli, &change, error);
    json_node_unref(change.value);
    if (ok && !cli->options.json) {
        printf("The older keys stay valid; end them with: parsleygw workspace "
               "revoke %s KEYID\n",
               cli->args[0]);
    }
    return ok;
}

static bool
revoke_key(JsonArray *keys, const char *id)
{
    for (guint i = 0; keys != NULL && i < json_array_get_length(keys); i++) {
        JsonObject *key = json_array_get_object_element(keys, i);

        if (g_strcmp0(json_object_get_string_member(key, "id"), id) == 0) {
            json_object_set_boolean_member(key, "revoked", TRUE);
            return true;
        }
    }
    return false;
}

bool
pgw_cli_workspace_revoke(struct pgw_cli *cli,
                         const struct pgw_cli_command *command, GError **error)
{
    struct pgw_cli_change change = {.kind = command->kind,
                                    .name = cli->args[0]};
    uint64_t version;
    bool ok;

    if (!load_workspace(cli, &change, error)) {
        return false;
    }
    ok = revoke_key(key_array(json_node_get_object(change.value)),
                    cli->args[1]);
    if (!ok) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_NOT_FOUND,
                    "workspace/%s: no key \"%s\"; see parsleygw workspace "
                    "list",
                    cli->args[0], cli->args[1]);
    }
    ok = ok && pgw_cli_commit(cli, &version, &change, error);
    if (ok) {
        pgw_cli_report_change(cli, &change, version);
    }
    json_node_unref(change.value);
    return ok;
}
