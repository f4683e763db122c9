/* Parses, validates and frees the four kinds of configuration objects. */
#include <string.h>

#include "config_internal.h"
#include "parsleygw/errors.h"
#include "util/hex.h"

#define MAX_KEYS 1024
#define MAX_WORKSPACES 32768
#define MAX_DEADLINE_MS (24u * 3600 * 1000)
#define MAX_TOKENS 1000000
#define MAX_TEXT_LENGTH 256
#define DIGEST_DIGITS ((size_t)2 * PGW_KEY_DIGEST_SIZE)

static const char *const kind_names[PGW_CONFIG__KINDS] = {
    [PGW_CONFIG__PROFILE] = PGW_CONFIG_KIND_PROFILE,
    [PGW_CONFIG__WORKSPACE] = PGW_CONFIG_KIND_WORKSPACE,
    [PGW_CONFIG__POOL] = PGW_CONFIG_KIND_POOL,
    [PGW_CONFIG__UPSTREAM] = PGW_CONFIG_KIND_UPSTREAM,
};

bool
pgw_config__kind_parse(enum pgw_config__kind *out, const char *kind)
{
    for (int i = 0; i < PGW_CONFIG__KINDS; i++) {
        if (g_strcmp0(kind, kind_names[i]) == 0) {
            *out = (enum pgw_config__kind)i;
            return true;
        }
    }
    return false;
}

const char *
pgw_config__kind_name(enum pgw_config__kind kind)
{
    return kind_names[kind];
}

bool
pgw_config_name_is_valid(const char *name)
{
    size_t length = name == NULL ? 0 : strlen(name);

    if (length == 0 || length > PGW_CONFIG_NAME_MAX) {
        return false;
    }
    for (size_t i = 0; i < length; i++) {
        if (!g_ascii_isalnum(name[i]) && strchr("._-", name[i]) == NULL) {
            return false;
        }
    }
    return true;
}

/* Reads whether "type" is "service" instead of "model". */
static bool
read_type(struct pgw_config__reader *reader)
{
    char *type =
        pgw_config__read_string(reader, "type", "model", MAX_TEXT_LENGTH);
    bool is_service = strcmp(type, "service") == 0;

    if (!is_service && strcmp(type, "model") != 0) {
        pgw_config__read_fail(reader, "type", "give \"model\" or \"service\"");
    }
    g_free(type);
    return is_service;
}

static char **
read_workspaces(struct pgw_config__reader *reader)
{
    JsonArray *array = pgw_config__read_array(reader, "workspaces");
    guint n = array == NULL ? 0 : json_array_get_length(array);
    char **names = g_new0(char *, MAX(n, 1) + 1);
    char where[32];

    if (array == NULL) {
        names[0] = g_strdup("*");
        return names;
    }
    if (n > MAX_WORKSPACES) {
        pgw_config__read_fail(reader, "workspaces",
                              "too many: use \"*\" and keys");
        return names;
    }
    for (guint i = 0; i < n; i++) {
        JsonNode *node = json_array_get_element(array, i);
        const char *name =
            JSON_NODE_HOLDS_VALUE(node) ? json_node_get_string(node) : NULL;

        if (g_strcmp0(name, "*") != 0 && !pgw_config_name_is_valid(name)) {
            g_snprintf(where, sizeof(where), "workspaces[%u]", i);
            pgw_config__read_fail(reader, where,
                                  "give a workspace's name or \"*\"");
            break;
        }
        names[i] = g_strdup(name);
    }
    return names;
}

static void
read_profile(struct pgw_config__reader *reader, struct pgw_profile *profile)
{
    static const char *const members[] = {
        "type",         "pool",        "model",      "adapter",
        "priority",     "deadline_ms", "repeatable", "ttft_weight",
        "level_marker", "max_tokens",  "workspaces", NULL};
    char *priority;

    pgw_config__check_members(reader, members);
    profile->is_service = read_type(reader);
    profile->pool = pgw_config__read_name(reader, "pool", NULL);
    profile->model =
        pgw_config__read_string(reader, "model", "", MAX_TEXT_LENGTH);
    profile->adapter =
        pgw_config__read_string(reader, "adapter", "", MAX_TEXT_LENGTH);
    priority =
        pgw_config__read_string(reader, "priority", "normal", MAX_TEXT_LENGTH);
    if (!pgw_priority_parse(&profile->priority, priority)) {
        pgw_config__read_fail(
            reader, "priority",
            "give \"urgent\", \"interactive\", \"normal\" or \"batch\"");
    }
    g_free(priority);
    profile->deadline_ms = pgw_config__read_uint(reader, "deadline_ms", 30000,
                                                 1, MAX_DEADLINE_MS);
    /* Calls of a plain service are not idempotent unless declared so: a retry
     * could execute the call twice. */
    profile->repeatable =
        pgw_config__read_bool(reader, "repeatable", !profile->is_service);
    profile->ttft_weight =
        pgw_config__read_fraction(reader, "ttft_weight", 0.5);
    profile->level_marker =
        pgw_config__read_string(reader, "level_marker", "", MAX_TEXT_LENGTH);
    profile->max_tokens =
        pgw_config__read_uint(reader, "max_tokens", 1024, 1, MAX_TOKENS);
    profile->workspaces = (const char *const *)read_workspaces(reader);
}

static void
read_key(struct pgw_config__reader *parent, JsonNode *node, guint index,
         struct pgw_key *key)
{
    static const char *const members[] = {"id", "sha256", "revoked", NULL};
    char path[32];
    struct pgw_config__reader reader = *parent;
    char *hex;

    g_snprintf(path, sizeof(path), "keys[%u].", index);
    reader.path = path;
    if (!JSON_NODE_HOLDS_OBJECT(node)) {
        pgw_config__read_fail(&reader, "id",
                              "must be in an object: write {...}");
        parent->failed = true;
        return;
    }
    reader.object = json_node_get_object(node);
    pgw_config__check_members(&reader, members);
    key->id = pgw_config__read_name(&reader, "id", NULL);
    hex = pgw_config__read_string(&reader, "sha256", NULL, DIGEST_DIGITS);
    if (hex != NULL &&
        !pgw_hex_decode(key->sha256, PGW_KEY_DIGEST_SIZE, hex)) {
        pgw_config__read_fail(
            &reader, "sha256",
            "give the 64 hexadecimal digits of the key's SHA-256");
    }
    g_free(hex);
    key->revoked = pgw_config__read_bool(&reader, "revoked", false);
    parent->failed |= reader.failed;
}

static void
read_workspace(struct pgw_config__reader *reader,
               struct pgw_workspace *workspace)
{
    static const char *const members[] = {"share", "max_inflight", "keys",
                                          NULL};
    JsonArray *array;
    struct pgw_key *keys;

    pgw_config__check_members(reader, members);
    workspace->share = pgw_config__read_uint(reader, "share", 1, 1, 10000);
    workspace->max_inflight =
        pgw_config__read_uint(reader, "max_inflight", 0, 0, 1000000);
    array = pgw_config__read_array(reader, "keys");
    if (array == NULL) {
        return;
    }
    if (json_array_get_length(array) > MAX_KEYS) {
        pgw_config__read_fail(reader, "keys",
                              "more than 1024: delete revoked keys");
        return;
    }
    workspace->n_keys = json_array_get_length(array);
    keys = g_new0(struct pgw_key, workspace->n_keys);
    workspace->keys = keys;
    for (guint i = 0; i < workspace->n_keys && !reader->failed; i++) {
        read_key(reader, json_array_get_element(array, i), i, &keys[i]);
    }
}

static void
read_pool(struct pgw_config__reader *reader, struct pgw_pool *pool)
{
    static const char *const members[] = {"type",
                                          "model",
                                          "version",
                                          "load_permits",
                                          "checks_fencing",
                                          "kv_store",
                                          "bytes_per_token",
                                          "region",
                                          NULL};
    const char *fallback;

    pgw_config__check_members(reader, members);
    pool->is_service = read_type(reader);
    /* A plain service runs no model. */
    fallback = pool->is_service ? "" : NULL;
    pool->model =
        pgw_config__read_string(reader, "model", fallback, MAX_TEXT_LENGTH);
    pool->version =
        pgw_config__read_string(reader, "version", fallback, MAX_TEXT_LENGTH);
    pool->load_permits =
        pgw_config__read_uint(reader, "load_permits", 3, 1, 1000);
    pool->checks_fencing =
        pgw_config__read_bool(reader, "checks_fencing", false);
    pool->kv_store =
        pgw_config__read_string(reader, "kv_store", "", MAX_TEXT_LENGTH);
    if (pool->kv_store != NULL && pool->kv_store[0] != '\0' &&
        !g_str_has_prefix(pool->kv_store, "http://")) {
        pgw_config__read_fail(reader, "kv_store",
                              "give http://ip:port or the empty string");
    }
    pool->bytes_per_token =
        pgw_config__read_uint(reader, "bytes_per_token", 4, 1, 64);
    pool->region =
        pgw_config__read_string(reader, "region", "", MAX_TEXT_LENGTH);
}

/* Splits "ip:port" or "[ip]:port". */
static bool
parse_address(char **host, uint16_t *port, const char *address)
{
    const char *colon = strrchr(address, ':');
    guint64 number = 0;

    if (colon == NULL ||
        !g_ascii_string_to_unsigned(colon + 1, 10, 1, 65535, &number, NULL)) {
        return false;
    }
    if (address[0] == '[' && colon[-1] == ']') {
        *host = g_strndup(address + 1, (gsize)(colon - address - 2));
    }
    else {
        *host = g_strndup(address, (gsize)(colon - address));
    }
    *port = (uint16_t)number;
    return g_hostname_is_ip_address(*host);
}

static void
read_upstream(struct pgw_config__reader *reader, struct pgw_upstream *upstream)
{
    static const char *const members[] = {"pool", "zone", "address", "state",
                                          NULL};
    char *address;
    char *state;

    pgw_config__check_members(reader, members);
    upstream->pool = pgw_config__read_name(reader, "pool", NULL);
    upstream->zone = pgw_config__read_name(reader, "zone", NULL);
    address =
        pgw_config__read_string(reader, "address", NULL, MAX_TEXT_LENGTH);
    if (address != NULL &&
        !parse_address((char **)&upstream->host, &upstream->port, address)) {
        pgw_config__read_fail(
            reader, "address",
            "give the sidecar's ip:port (an IP address, port 1 to 65535)");
    }
    g_free(address);
    state =
        pgw_config__read_string(reader, "state", "joined", MAX_TEXT_LENGTH);
    upstream->leaving = g_strcmp0(state, "leaving") == 0;
    if (!upstream->leaving && g_strcmp0(state, "joined") != 0) {
        pgw_config__read_fail(reader, "state",
                              "give \"joined\" or \"leaving\"");
    }
    g_free(state);
}

static void
read_value(struct pgw_config__reader *reader,
           struct pgw_config__object *object)
{
    switch (object->kind) {
    case PGW_CONFIG__PROFILE:
        object->as.profile.name = object->name;
        object->as.profile.version = object->version;
        read_profile(reader, &object->as.profile);
        break;
    case PGW_CONFIG__WORKSPACE:
        object->as.workspace.name = object->name;
        object->as.workspace.version = object->version;
        read_workspace(reader, &object->as.workspace);
        break;
    case PGW_CONFIG__POOL:
        object->as.pool.name = object->name;
        object->as.pool.object_version = object->version;
        read_pool(reader, &object->as.pool);
        break;
    default:
        object->as.upstream.id = object->name;
        object->as.upstream.version = object->version;
        read_upstream(reader, &object->as.upstream);
        break;
    }
}

static bool
parse_object(struct pgw_config__object *object, bool strict, GError **error)
{
    struct pgw_config__reader reader = {.kind = kind_names[object->kind],
                                        .name = object->name,
                                        .path = "",
                                        .strict = strict,
                                        .error = error};
    char *what = g_strdup_printf("%s/%s", reader.kind, reader.name);
    JsonNode *document = NULL;
    bool ok = false;

    if (strlen(object->text) > PGW_CONFIG_VALUE_MAX) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_TOO_LARGE,
                    "%s: value over %zu bytes: split it into several objects",
                    what, PGW_CONFIG_VALUE_MAX);
        goto done;
    }
    document = pgw_config__json_parse(object->text, -1, what, error);
    if (document == NULL) {
        goto done;
    }
    reader.object = json_node_get_object(document);
    read_value(&reader, object);
    ok = !reader.failed;
    /* Stored and replicated in one canonical form, whatever white space the
     * store's text has: it is inserted into snapshots unchanged. */
    g_free(object->text);
    object->text = json_to_string(document, FALSE);
done:
    g_clear_pointer(&document, json_node_unref);
    g_free(what);
    return ok;
}

struct pgw_config__object *
pgw_config__object_new(enum pgw_config__kind kind, const char *name,
                       uint64_t version, const char *text, bool strict,
                       GError **error)
{
    struct pgw_config__object *object = NULL;

    if (!pgw_config_name_is_valid(name)) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                    "%s: name: use 1 to 64 characters of A-Z a-z 0-9 . _ -",
                    kind_names[kind]);
        return NULL;
    }
    object = g_new0(struct pgw_config__object, 1);
    atomic_init(&object->refs, 1);
    object->kind = kind;
    object->version = version;
    object->name = g_strdup(name);
    object->text = g_strdup(text);
    if (text != NULL && !parse_object(object, strict, error)) {
        pgw_config__object_unref(object);
        return NULL;
    }
    return object;
}

struct pgw_config__object *
pgw_config__object_ref(struct pgw_config__object *object)
{
    atomic_fetch_add(&object->refs, 1);
    return object;
}

static void
free_value(struct pgw_config__object *object)
{
    switch (object->kind) {
    case PGW_CONFIG__PROFILE:
        g_free((char *)object->as.profile.pool);
        g_free((char *)object->as.profile.model);
        g_free((char *)object->as.profile.adapter);
        g_free((char *)object->as.profile.level_marker);
        g_strfreev((char **)object->as.profile.workspaces);
        break;
    case PGW_CONFIG__WORKSPACE:
        for (size_t i = 0; i < object->as.workspace.n_keys; i++) {
            g_free((char *)object->as.workspace.keys[i].id);
        }
        g_free((struct pgw_key *)object->as.workspace.keys);
        break;
    case PGW_CONFIG__POOL:
        g_free((char *)object->as.pool.model);
        g_free((char *)object->as.pool.version);
        g_free((char *)object->as.pool.kv_store);
        g_free((char *)object->as.pool.region);
        break;
    default:
        g_free((char *)object->as.upstream.pool);
        g_free((char *)object->as.upstream.zone);
        g_free((char *)object->as.upstream.host);
        break;
    }
}

void
pgw_config__object_unref(void *pointer)
{
    struct pgw_config__object *object = pointer;

    if (atomic_fetch_sub(&object->refs, 1) != 1) {
        return;
    }
    free_value(object);
    g_free(object->name);
    g_free(object->text);
    g_free(object);
}
