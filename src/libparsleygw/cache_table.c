#include "libparsleygw/cache_table.h"

#include <string.h>

static guint
level_hash(gconstpointer key)
{
    const struct pgw_cache__level_key *level = key;

    return (guint)(level->low ^ level->workspace);
}

static gboolean
level_equal(gconstpointer a, gconstpointer b)
{
    return memcmp(a, b, sizeof(struct pgw_cache__level_key)) == 0;
}

static guint
request_hash(gconstpointer key)
{
    guint hash;

    memcpy(&hash, key, sizeof(hash));
    return hash;
}

static gboolean
request_equal(gconstpointer a, gconstpointer b)
{
    return memcmp(a, b, sizeof(struct pgw_request_id)) == 0;
}

void
pgw_cache__table_init(struct pgw_cache__table *table,
                      const struct pgw_cache_options *options)
{
    *table = (struct pgw_cache__table){
        .options = *options,
        .blocks =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free),
        .levels = g_hash_table_new_full(level_hash, level_equal, NULL, g_free),
        .requests =
            g_hash_table_new_full(request_hash, request_equal, NULL, g_free),
    };
    pgw_list_init(&table->block_lru);
    pgw_list_init(&table->level_lru);
    pgw_list_init(&table->request_lru);
}

void
pgw_cache__table_dispose(struct pgw_cache__table *table)
{
    g_hash_table_destroy(table->blocks);
    g_hash_table_destroy(table->levels);
    g_hash_table_destroy(table->requests);
}

void
pgw_cache__table_clear(struct pgw_cache__table *table)
{
    g_hash_table_remove_all(table->levels);
    g_hash_table_remove_all(table->blocks);
    g_hash_table_remove_all(table->requests);
    pgw_list_init(&table->block_lru);
    pgw_list_init(&table->level_lru);
    pgw_list_init(&table->request_lru);
    table->present = 0;
}

static void
move_to_end(struct pgw_list *head, struct pgw_list *link)
{
    pgw_list_remove(link);
    pgw_list_append(head, link);
}

static void
unbind_level(struct pgw_cache__level *level)
{
    pgw_list_remove(&level->of_block);
    level->block = NULL;
    level->block_end = 0;
}

void
pgw_cache__level_bind(struct pgw_cache__level *level,
                      struct pgw_cache__block *block, uint32_t end)
{
    unbind_level(level);
    level->block = block;
    level->block_end = end;
    pgw_list_append(&block->levels, &level->of_block);
}

struct pgw_cache__block *
pgw_cache__block_find(const struct pgw_cache__table *table, uint64_t id)
{
    gint64 key = (gint64)id;

    return g_hash_table_lookup(table->blocks, &key);
}

/* Frees an absent block that has no children, then those of its ancestors that
 * were kept only for it. */
static void
free_unreferenced_blocks(struct pgw_cache__table *table,
                         struct pgw_cache__block *block)
{
    while (block != NULL && block->valid_until_us == 0 &&
           block->children == 0) {
        struct pgw_cache__block *parent = block->parent;

        pgw_list_foreach_safe (link, &block->levels) {
            unbind_level(
                pgw_container_of(link, struct pgw_cache__level, of_block));
        }
        pgw_list_remove(&block->lru);
        g_hash_table_remove(table->blocks, &block->id);
        if (parent != NULL) {
            parent->children--;
        }
        block = parent;
    }
}

void
pgw_cache__block_evict(struct pgw_cache__table *table,
                       struct pgw_cache__block *block)
{
    if (block->valid_until_us != 0) {
        block->valid_until_us = 0;
        table->present--;
        pgw_list_remove(&block->lru);
    }
    free_unreferenced_blocks(table, block);
}

void
pgw_cache__block_evict_all(struct pgw_cache__table *table)
{
    while (!pgw_list_is_empty(&table->block_lru)) {
        pgw_cache__block_evict(table,
                               pgw_container_of(table->block_lru.next,
                                                struct pgw_cache__block, lru));
    }
}

void
pgw_cache__block_downgrade_all(struct pgw_cache__table *table,
                               uint64_t until_us)
{
    struct pgw_list *link = table->block_lru.prev;

    /* A block becomes certain only when it is moved to the end of the list, so
     * all certain blocks are at the end. Stopping at the first hint avoids a
     * scan of all blocks for each gap when many events are lost. */
    while (link != &table->block_lru) {
        struct pgw_cache__block *block =
            pgw_container_of(link, struct pgw_cache__block, lru);

        if (block->valid_until_us != PGW_CACHE__CERTAIN) {
            break;
        }
        block->valid_until_us = until_us;
        link = link->prev;
    }
}

static struct pgw_cache__block *
get_block(struct pgw_cache__table *table, uint64_t id)
{
    struct pgw_cache__block *block = pgw_cache__block_find(table, id);

    if (block == NULL) {
        block = g_new0(struct pgw_cache__block, 1);
        block->id = (gint64)id;
        pgw_list_init(&block->levels);
        g_hash_table_add(table->blocks, block);
    }
    return block;
}

/* A block's parent never changes, since the block's identity is a hash chained
 * from it. Only the first parent that is given counts. */
static void
set_parent(struct pgw_cache__table *table, struct pgw_cache__block *block,
           uint64_t parent)
{
    if (block->is_first || block->parent != NULL) {
        return;
    }
    if (parent == 0 || parent == (uint64_t)block->id) {
        block->is_first = true;
        return;
    }
    block->parent = get_block(table, parent);
    block->parent->children++;
}

struct pgw_cache__block *
pgw_cache__block_store(struct pgw_cache__table *table, uint64_t id,
                       uint64_t parent)
{
    struct pgw_cache__block *block;

    /* Absent parents are few if the engine evicts whole chains. If it does
     * not, the table is emptied rather than grown, which costs one resync. */
    if (g_hash_table_size(table->blocks) + 2 > 2 * table->options.blocks) {
        pgw_cache__block_evict_all(table);
        return NULL;
    }
    block = get_block(table, id);
    set_parent(table, block, parent);
    if (block->valid_until_us == 0) {
        table->present++;
    }
    block->valid_until_us = PGW_CACHE__CERTAIN;
    move_to_end(&table->block_lru, &block->lru);
    if (table->present > table->options.blocks) {
        pgw_cache__block_evict(table,
                               pgw_container_of(table->block_lru.next,
                                                struct pgw_cache__block, lru));
    }
    return block;
}

static struct pgw_cache__level_key
level_key(const struct pgw_level *level, uint64_t workspace)
{
    struct pgw_cache__level_key key = {
        .high = level->hash_high,
        .low = level->hash_low,
    };

    /* The hash is fast, not cryptographic. Without the workspace in the key, a
     * workspace that forges the hash of another one's level could find out
     * what that workspace has cached. */
#ifndef PGW_DISABLE_CACHE_WORKSPACE
    key.workspace = workspace;
#else
    (void)workspace;
#endif
    return key;
}

struct pgw_cache__level *
pgw_cache__level_find(const struct pgw_cache__table *table,
                      const struct pgw_level *level, uint64_t workspace)
{
    struct pgw_cache__level_key key = level_key(level, workspace);

    return g_hash_table_lookup(table->levels, &key);
}

static void
remove_oldest_level(struct pgw_cache__table *table)
{
    struct pgw_cache__level *oldest =
        pgw_container_of(table->level_lru.next, struct pgw_cache__level, lru);

    unbind_level(oldest);
    pgw_list_remove(&oldest->lru);
    g_hash_table_remove(table->levels, &oldest->key);
}

struct pgw_cache__level *
pgw_cache__level_get(struct pgw_cache__table *table,
                     const struct pgw_level *level, uint64_t workspace)
{
    struct pgw_cache__level *found =
        pgw_cache__level_find(table, level, workspace);

    if (found == NULL) {
        if (g_hash_table_size(table->levels) >= table->options.levels) {
            remove_oldest_level(table);
        }
        found = g_new0(struct pgw_cache__level, 1);
        found->key = level_key(level, workspace);
        g_hash_table_add(table->levels, found);
    }
    move_to_end(&table->level_lru, &found->lru);
    return found;
}

struct pgw_cache__request *
pgw_cache__request_find(const struct pgw_cache__table *table,
                        const struct pgw_request_id *id)
{
    return g_hash_table_lookup(table->requests, id);
}

struct pgw_cache__request *
pgw_cache__request_get(struct pgw_cache__table *table,
                       const struct pgw_request_id *id)
{
    struct pgw_cache__request *found = pgw_cache__request_find(table, id);

    if (found == NULL) {
        if (g_hash_table_size(table->requests) >= table->options.requests) {
            struct pgw_cache__request *oldest = pgw_container_of(
                table->request_lru.next, struct pgw_cache__request, lru);

            pgw_list_remove(&oldest->lru);
            g_hash_table_remove(table->requests, &oldest->id);
        }
        found = g_new0(struct pgw_cache__request, 1);
        found->id = *id;
        g_hash_table_add(table->requests, found);
    }
    move_to_end(&table->request_lru, &found->lru);
    return found;
}
