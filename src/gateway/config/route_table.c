#include "gateway/config/route_table.h"
#include "util/log.h"
#include <string.h>
#include <xxhash.h>

#define HOST_MAX 256

struct pgw_route_table {
    int references;
    uint64_t version;
    struct pgw_caller_limits limits;
    GHashTable *routes;    /* host and path prefix -> struct pgw_route */
    size_t longest_prefix; /* bytes of the longest path prefix */
    GHashTable *services;  /* name -> struct pgw_service */
    GHashTable *keys;      /* key -> struct pgw_workspace */
    bool requires_keys;
    GPtrArray *workspaces; /* of struct pgw_workspace, owned */
    GPtrArray *kv_stores;  /* of struct pgw_service, owned by services */
};

static void
route_free(void *data)
{
    struct pgw_route *route = data;

    for (size_t i = 0; i < route->target_count; i++) {
        g_free(route->targets[i].service);
    }
    g_free(route->targets);
    g_free(route->name);
    g_free(route->host);
    g_free(route->path_prefix);
    g_free(route);
}

static void
service_free(void *data)
{
    struct pgw_service *service = data;

    g_free(service->name);
    g_free(service->store_address);
    g_free(service->status_path);
    g_free(service->zone);
    g_free(service);
}

static void
workspace_free(void *data)
{
    struct pgw_workspace *workspace = data;

    g_free(workspace->name);
    g_free(workspace);
}

struct pgw_route_table *
pgw_route_table_new(uint64_t version)
{
    struct pgw_route_table *table = g_new0(struct pgw_route_table, 1);

    table->references = 1;
    table->version = version;
    table->limits = (struct pgw_caller_limits)PGW_CALLER_LIMITS_INIT;
    table->routes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, route_free);
    table->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, service_free);
    table->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    table->workspaces = g_ptr_array_new_with_free_func(workspace_free);
    table->kv_stores = g_ptr_array_new();
    return table;
}

struct pgw_route_table *
pgw_route_table_ref(struct pgw_route_table *table)
{
    table->references++;
    return table;
}

void
pgw_route_table_unref(struct pgw_route_table *table)
{
    if (table == NULL || --table->references > 0) {
        return;
    }
    g_hash_table_destroy(table->routes);
    g_hash_table_destroy(table->services);
    g_hash_table_destroy(table->keys);
    g_ptr_array_free(table->workspaces, TRUE);
    g_ptr_array_free(table->kv_stores, TRUE);
    g_free(table);
}

void
pgw_route_table_add_route(struct pgw_route_table *table,
                          const struct pgw_route *route)
{
    struct pgw_route *copy = g_memdup2(route, sizeof(*route));
    char *key = g_strconcat(copy->host, copy->path_prefix, NULL);

    if (!g_str_has_suffix(copy->path_prefix, "/")) {
        pgw_log_warning("route_never_matches",
                        "route=%s prefix=%s reason=no_slash_at_the_end",
                        copy->name, copy->path_prefix);
    }
    table->longest_prefix =
        MAX(table->longest_prefix, strlen(copy->path_prefix));
    g_hash_table_replace(table->routes, key, copy);
}

void
pgw_route_table_add_service(struct pgw_route_table *table,
                            const struct pgw_service *service)
{
    struct pgw_service *copy = g_memdup2(service, sizeof(*service));

    if (copy->is_kv_store) {
        g_ptr_array_add(table->kv_stores, copy);
    }
    g_hash_table_replace(table->services, copy->name, copy);
}

void
pgw_route_table_add_workspace(struct pgw_route_table *table,
                              const struct pgw_workspace *workspace,
                              const char *const *keys)
{
    struct pgw_workspace *copy = g_memdup2(workspace, sizeof(*workspace));

    g_ptr_array_add(table->workspaces, copy);
    table->requires_keys = true;
    for (size_t i = 0; keys[i] != NULL; i++) {
        g_hash_table_insert(table->keys, g_strdup(keys[i]), copy);
    }
}

void
pgw_route_table_set_limits(struct pgw_route_table *table,
                           const struct pgw_caller_limits *limits)
{
    table->limits = *limits;
}

uint64_t
pgw_route_table_version(const struct pgw_route_table *table)
{
    return table->version;
}

const GPtrArray *
pgw_route_table_workspaces(const struct pgw_route_table *table)
{
    return table->workspaces;
}

const struct pgw_caller_limits *
pgw_route_table_limits(const struct pgw_route_table *table)
{
    return &table->limits;
}

void
pgw_route_table_require_keys(struct pgw_route_table *table)
{
    table->requires_keys = true;
}

bool
pgw_route_table_requires_keys(const struct pgw_route_table *table)
{
    return table->requires_keys;
}

/* Truncates @key after its last slash; the first @kept_size bytes are kept. */
static bool
truncate_to_slash(char *key, size_t kept_size)
{
    char *slash = strrchr(key + kept_size, '/');

    if (slash == NULL) {
        return false;
    }
    slash[1] = '\0';
    return true;
}

/*
 * Prefixes end with a slash, so all prefixes of a path are found by truncating
 * it at each of its slashes. These are looked up, the longest first. A scan of
 * all routes of a host would take time in proportion to the configuration.
 */
const struct pgw_route *
pgw_route_table_match(const struct pgw_route_table *table, const char *host,
                      const char *target)
{
    size_t host_size = strcspn(host, ":");
    size_t path_size = MIN(strcspn(target, "?"), table->longest_prefix);
    const struct pgw_route *route = NULL;
    char *key;

    if (host_size >= HOST_MAX) {
        return NULL;
    }
    key = g_malloc(host_size + path_size + 1);
    for (size_t i = 0; i < host_size; i++) {
        key[i] = g_ascii_tolower(host[i]);
    }
    memcpy(key + host_size, target, path_size);
    key[host_size + path_size] = '\0';
    while (route == NULL && truncate_to_slash(key, host_size)) {
        route = g_hash_table_lookup(table->routes, key);
        /* Removes the slash, so that the next one is found. */
        key[strlen(key) - 1] = '\0';
    }
    g_free(key);
    return route;
}

const struct pgw_workspace *
pgw_route_table_workspace(const struct pgw_route_table *table, const char *key)
{
    return g_hash_table_lookup(table->keys, key);
}

const struct pgw_service *
pgw_route_table_service(const struct pgw_route_table *table, const char *name)
{
    return g_hash_table_lookup(table->services, name);
}

const struct pgw_service *
pgw_route_table_kv_store(const struct pgw_route_table *table, uint64_t part)
{
    const struct pgw_service *best = NULL;
    uint64_t best_score = 0;

    for (unsigned i = 0; i < table->kv_stores->len; i++) {
        const struct pgw_service *store =
            g_ptr_array_index(table->kv_stores, i);
        uint64_t score = XXH3_64bits_withSeed(
            store->store_address, strlen(store->store_address), part);

        if (best == NULL || score > best_score) {
            best = store;
            best_score = score;
        }
    }
    return best;
}

const char *
pgw_route_pick(const struct pgw_route *route, uint64_t random)
{
    uint64_t total = 0;

    for (size_t i = 0; i < route->target_count; i++) {
        total += route->targets[i].weight;
    }
    random = total == 0 ? 0 : random % total;
    for (size_t i = 0; i < route->target_count; i++) {
        if (random < route->targets[i].weight) {
            return route->targets[i].service;
        }
        random -= route->targets[i].weight;
    }
    return route->target_count == 0 ? NULL : route->targets[0].service;
}
