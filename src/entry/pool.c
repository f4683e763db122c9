#include "entry/upstream.h"
#include <xxhash.h>

/* Keeps what is known about versions. */
static void
pool_clear(struct pool *pool)
{
    for (size_t i = 0; i < PGW_VERSIONS_MAX; i++) {
        g_clear_pointer(&pool->nodes[i], g_free);
    }
    g_clear_pointer(&pool->upstreams, g_free);
    pool->count = 0;
}

void
pool_free(gpointer data)
{
    struct pool *pool = data;

    pool_clear(pool);
    g_free(pool->name);
    g_free(pool);
}

static uint32_t
zone_number(const char *zone)
{
    return (uint32_t)XXH3_64bits(zone, strlen(zone));
}

static struct pool *
pool_get(struct entry *entry, const char *name)
{
    struct pool *pool = g_hash_table_lookup(entry->pools, name);

    if (pool == NULL) {
        pool = g_new0(struct pool, 1);
        pool->name = g_strdup(name);
        g_hash_table_insert(entry->pools, pool->name, pool);
    }
    return pool;
}

static void
add_nodes(struct pool *pool, const struct pgw_member *member,
          struct upstream *upstream)
{
    for (size_t i = 0; i < pool->split.n; i++) {
        pool->nodes[i][pool->count] = (struct pgw_place_node){
            .id_hash = pgw_place_id_hash(member->upstream->id),
            .zone = zone_number(member->upstream->zone),
            .usable =
                pgw_version_can_run(member, pool->split.parts[i].version),
        };
    }
    pool->upstreams[pool->count++] = upstream;
}

static void
pool_fill(struct pool *pool, struct entry *entry,
          const struct pgw_member_view *view, unsigned *usable)
{
    size_t n = 0;
    const struct pgw_member *members =
        pgw_member_view_pool(view, pool->name, &n);
    const struct pgw_pool *declared =
        pgw_config_pool(pgw_member_view_config(view), pool->name);

    pgw_version_track_set_target(&pool->track,
                                 declared == NULL ? "" : declared->version);
    pgw_version_track_observe(&pool->track, members, n);
    pgw_version_split_init(&pool->split, &pool->track, members, n);
    for (size_t i = 0; i < pool->split.n; i++) {
        pool->nodes[i] = g_new(struct pgw_place_node, n);
    }
    pool->upstreams = g_new(struct upstream *, n);
    for (size_t i = 0; i < n; i++) {
        struct upstream *upstream =
            g_hash_table_lookup(entry->upstreams, members[i].upstream->id);

        if (upstream != NULL) {
            add_nodes(pool, &members[i], upstream);
            *usable += members[i].state == PGW_MEMBER_USABLE &&
                       upstream_can_talk(upstream);
        }
    }
}

static void
rebuild(struct entry *entry, const struct pgw_member_view *view)
{
    size_t count = 0;
    const struct pgw_upstream *const *declared =
        pgw_config_upstreams(pgw_member_view_config(view), NULL, &count);
    GHashTableIter iter;
    gpointer value;
    unsigned usable = 0;

    g_hash_table_iter_init(&iter, entry->pools);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        pool_clear(value);
    }
    for (size_t i = 0; i < count; i++) {
        struct pool *pool = pool_get(entry, declared[i]->pool);

        if (pool->upstreams == NULL) {
            pool_fill(pool, entry, view, &usable);
        }
    }
    g_hash_table_iter_init(&iter, entry->pools);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (((struct pool *)value)->count == 0) {
            g_hash_table_iter_remove(&iter);
        }
    }
    atomic_store(&entry->usable, usable);
}

void
pools_refresh(struct entry *entry)
{
    struct pgw_member_view *view = pgw_members_build(entry->members);

    if (view != NULL && view != entry->view) {
        rebuild(entry, view);
    }
    if (entry->view != NULL) {
        pgw_member_view_unref(entry->view);
    }
    entry->view = view;
}

struct pool *
pool_find(struct entry *entry, const char *name)
{
    pools_refresh(entry);
    return g_hash_table_lookup(entry->pools, name);
}

const struct pgw_place_node *
pool_nodes(const struct pool *pool, const char *version)
{
    for (size_t i = 0; i < pool->split.n; i++) {
        if (strcmp(pool->split.parts[i].version, version) == 0) {
            return pool->nodes[i];
        }
    }
    return NULL;
}
