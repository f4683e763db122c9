#include "entry/upstream.h"
#include <xxhash.h>

void
pool_free(gpointer data)
{
    struct pool *pool = data;

    g_free(pool->name);
    g_free(pool->nodes);
    g_free(pool->upstreams);
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
pool_add(struct pool *pool, const struct pgw_upstream *declared,
         struct upstream *upstream, bool usable)
{
    pool->nodes = g_renew(struct pgw_place_node, pool->nodes, pool->count + 1);
    pool->upstreams =
        g_renew(struct upstream *, pool->upstreams, pool->count + 1);
    pool->nodes[pool->count] = (struct pgw_place_node){
        .id_hash = pgw_place_id_hash(declared->id),
        .zone = zone_number(declared->zone),
        .usable = usable,
    };
    pool->upstreams[pool->count++] = upstream;
}

static void
rebuild(struct entry *entry, const struct pgw_member_view *view)
{
    size_t count = 0;
    const struct pgw_upstream *const *declared =
        pgw_config_upstreams(pgw_member_view_config(view), NULL, &count);
    unsigned usable = 0;

    g_hash_table_remove_all(entry->pools);
    for (size_t i = 0; i < count; i++) {
        struct upstream *upstream =
            g_hash_table_lookup(entry->upstreams, declared[i]->id);
        const struct pgw_member *member =
            pgw_member_view_find(view, declared[i]->id);
        bool good = member != NULL && member->state == PGW_MEMBER_USABLE;

        if (upstream == NULL) {
            continue;
        }
        pool_add(pool_get(entry, declared[i]->pool), declared[i], upstream,
                 good);
        usable += good && upstream_can_talk(upstream);
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
