#include "gateway/route_table.h"
#include <string.h>
#include <xxhash.h>

#define HOST_MAX 256

struct pgw_route_table {
    int references;
    uint64_t version;
    struct pgw_caller_limits limits;
    GHashTable *hosts;     /* host -> GPtrArray of routes, longest first */
    GHashTable *services;  /* name -> struct pgw_service */
    GHashTable *keys;      /* key -> struct pgw_workspace */
    GPtrArray *workspaces; /* owns them */
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

static void
routes_free(void *data)
{
    g_ptr_array_free(data, TRUE);
}

struct pgw_route_table *
pgw_route_table_new(uint64_t version)
{
    struct pgw_route_table *table = g_new0(struct pgw_route_table, 1);

    table->references = 1;
    table->version = version;
    table->limits = (struct pgw_caller_limits)PGW_CALLER_LIMITS_INIT;
    table->hosts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, routes_free);
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
    g_hash_table_destroy(table->hosts);
    g_hash_table_destroy(table->services);
    g_hash_table_destroy(table->keys);
    g_ptr_array_free(table->workspaces, TRUE);
    g_ptr_array_free(table->kv_stores, TRUE);
    g_free(table);
}

static int
longest_first(const void *a, const void *b)
{
    const struct pgw_route *left = *(struct pgw_route *const *)a;
    const struct pgw_route *right = *(struct pgw_route *const *)b;
    size_t left_size = strlen(left->path_prefix);
    size_t right_size = strlen(right->path_prefix);

    return left_size == right_size ? 0 : left_size < right_size ? 1 : -1;
}

void
pgw_route_table_add_route(struct pgw_route_table *table,
                          const struct pgw_route *route)
{
    struct pgw_route *copy = g_memdup2(route, sizeof(*route));
    GPtrArray *routes = g_hash_table_lookup(table->hosts, route->host);

    if (routes == NULL) {
        routes = g_ptr_array_new_with_free_func(route_free);
        g_hash_table_insert(table->hosts, g_strdup(route->host), routes);
    }
    g_ptr_array_add(routes, copy);
    g_ptr_array_sort(routes, longest_first);
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

const struct pgw_caller_limits *
pgw_route_table_limits(const struct pgw_route_table *table)
{
    return &table->limits;
}

bool
pgw_route_table_has_keys(const struct pgw_route_table *table)
{
    return table->workspaces->len > 0;
}

const struct pgw_route *
pgw_route_table_match(const struct pgw_route_table *table, const char *host,
                      const char *target)
{
    char name[HOST_MAX];
    size_t host_size = strcspn(host, ":");
    size_t path_size = strcspn(target, "?");
    const GPtrArray *routes;

    if (host_size >= sizeof(name)) {
        return NULL;
    }
    for (size_t i = 0; i < host_size; i++) {
        name[i] = g_ascii_tolower(host[i]);
    }
    name[host_size] = '\0';
    routes = g_hash_table_lookup(table->hosts, name);
    for (unsigned i = 0; routes != NULL && i < routes->len; i++) {
        const struct pgw_route *route = g_ptr_array_index(routes, i);
        size_t size = strlen(route->path_prefix);

        if (size <= path_size &&
            memcmp(route->path_prefix, target, size) == 0) {
            return route;
        }
    }
    return NULL;
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
