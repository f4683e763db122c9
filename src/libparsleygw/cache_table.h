#ifndef PGW_LIBPARSLEYGW_CACHE_TABLE_H
#define PGW_LIBPARSLEYGW_CACHE_TABLE_H

#include <parsleygw/cache.h>

#include "util/list.h"

G_BEGIN_DECLS

/**
 * DOC: Blocks, levels and requests of the cache view, each bounded
 */

#define PGW_CACHE__CERTAIN UINT64_MAX

/**
 * struct pgw_cache__block - a cached block, or the absent parent of one
 * @id: identity given by the engine; first member, as the hash table's key
 * @parent: the block before it; NULL for a first block or while unknown
 * @children: number of blocks with this one as parent
 * @valid_until_us: %PGW_CACHE__CERTAIN while certain, else when the hint
 *     expires; 0 for an absent block
 * @is_first: the block starts a prompt
 * @is_listed: the block is in the block list that is being applied
 * @lru: link, least recently stored or used first
 * @levels: levels that end in the block
 */
struct pgw_cache__block {
    gint64 id;
    struct pgw_cache__block *parent;
    uint32_t children;
    bool is_first;
    bool is_listed;
    uint64_t valid_until_us;
    struct pgw_list lru;
    struct pgw_list levels;
};

/**
 * struct pgw_cache__level_key - identity of a level
 *
 * The workspace is part of the key: a forged hash collision still finds
 * nothing of another workspace.
 */
struct pgw_cache__level_key {
    uint64_t high;
    uint64_t low;
    uint64_t workspace;
};

/**
 * struct pgw_cache__level - cached blocks of a level
 * @key: identity
 * @block: the deepest block in an event that lies within the level, or NULL
 * @block_end: tokens up to the end of @block
 * @hint_until_us: when @hint_tokens expires
 * @hint_tokens: likely cached tokens
 * @lru: link, least recently updated first
 * @of_block: link in the levels of @block
 */
struct pgw_cache__level {
    struct pgw_cache__level_key key;
    struct pgw_cache__block *block;
    uint32_t block_end;
    uint32_t hint_tokens;
    uint64_t hint_until_us;
    struct pgw_list lru;
    struct pgw_list of_block;
};

/**
 * struct pgw_cache__request - a request whose events may still arrive
 * @id: identity
 * @workspace: pgw_level_workspace_hash() of its workspace
 * @chain: its levels
 * @certain_tokens: certain prefix when the request was sent
 * @lru: link, oldest first
 */
struct pgw_cache__request {
    struct pgw_request_id id;
    uint64_t workspace;
    struct pgw_level_chain chain;
    uint32_t certain_tokens;
    struct pgw_list lru;
};

/**
 * struct pgw_cache__table - bounded sets of blocks, levels and requests
 * @options: limits of the sets
 * @present: blocks that are not absent
 */
struct pgw_cache__table {
    struct pgw_cache_options options;
    GHashTable *blocks;
    GHashTable *levels;
    GHashTable *requests;
    struct pgw_list block_lru;
    struct pgw_list level_lru;
    struct pgw_list request_lru;
    size_t present;
};

void pgw_cache__table_init(struct pgw_cache__table *table,
                           const struct pgw_cache_options *options);

void pgw_cache__table_dispose(struct pgw_cache__table *table);

/* Empties all three sets. */
void pgw_cache__table_clear(struct pgw_cache__table *table);

struct pgw_cache__block *
pgw_cache__block_find(const struct pgw_cache__table *table, uint64_t id);

/**
 * pgw_cache__block_store() - mark a block as certainly cached
 * @table: the table
 * @id: the block
 * @parent: the block before it, 0 for a first block
 *
 * Creates the block and, if needed, an absent block for its parent. Blocks
 * beyond the capacity are treated as evicted, least recently stored or used
 * first.
 *
 * Return: the block, or NULL if absent parents had filled the table and all
 * blocks were removed.
 */
struct pgw_cache__block *pgw_cache__block_store(struct pgw_cache__table *table,
                                                uint64_t id, uint64_t parent);

/* Marks the block as certainly not cached. */
void pgw_cache__block_evict(struct pgw_cache__table *table,
                            struct pgw_cache__block *block);

/* Marks all blocks as certainly not cached. */
void pgw_cache__block_evict_all(struct pgw_cache__table *table);

/* Turns certain blocks into hints that expire at @until_us. */
void pgw_cache__block_downgrade_all(struct pgw_cache__table *table,
                                    uint64_t until_us);

/* Returns NULL if the table has no such level. */
struct pgw_cache__level *
pgw_cache__level_find(const struct pgw_cache__table *table,
                      const struct pgw_level *level, uint64_t workspace);

/* Finds or creates a level and marks it as most recently updated. */
struct pgw_cache__level *pgw_cache__level_get(struct pgw_cache__table *table,
                                              const struct pgw_level *level,
                                              uint64_t workspace);

void pgw_cache__level_bind(struct pgw_cache__level *level,
                           struct pgw_cache__block *block, uint32_t end);

struct pgw_cache__request *
pgw_cache__request_find(const struct pgw_cache__table *table,
                        const struct pgw_request_id *id);

/* Finds or creates a request and marks it as newest. */
struct pgw_cache__request *
pgw_cache__request_get(struct pgw_cache__table *table,
                       const struct pgw_request_id *id);

G_END_DECLS

#endif
