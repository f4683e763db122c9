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
 * struct pgw_cache__block - one cached block, or the absent parent of one
 * @id: the engine's name for it; first, as the hash table's key
 * @parent: the block before it; NULL for a first block or while unknown
 * @children: blocks that name this one as parent
 * @valid_until: %PGW_CACHE__CERTAIN while certain, else when the hint ends;
 *     0 for an absent block
 * @first: it starts a prompt
 * @listed: the list that is compared names it
 * @lru: link, least recently touched first
 * @levels: levels that end in it
 */
struct pgw_cache__block {
    gint64 id;
    struct pgw_cache__block *parent;
    uint32_t children;
    bool first;
    bool listed;
    uint64_t valid_until;
    struct pgw_list lru;
    struct pgw_list levels;
};

/**
 * struct pgw_cache__level_key - identity of a level
 *
 * The workspace stands beside the hash: a forged collision of the hash still
 * finds nothing of another workspace.
 */
struct pgw_cache__level_key {
    uint64_t high;
    uint64_t low;
    uint64_t workspace;
};

/**
 * struct pgw_cache__level - what is known of a level
 * @key: identity
 * @block: the deepest block seen that lies within it, or NULL
 * @block_end: tokens up to @block's end
 * @hint_until: until when @hint_tokens counts
 * @hint_tokens: likely cached tokens
 * @lru: link, least recently noted first
 * @of_block: link among @block's levels
 */
struct pgw_cache__level {
    struct pgw_cache__level_key key;
    struct pgw_cache__block *block;
    uint32_t block_end;
    uint32_t hint_tokens;
    uint64_t hint_until;
    struct pgw_list lru;
    struct pgw_list of_block;
};

/**
 * struct pgw_cache__request - a request whose events may still come
 * @id: identity
 * @workspace: pgw_level_workspace_hash() of its workspace
 * @chain: its levels
 * @sure_tokens: certain prefix when it was sent
 * @lru: link, oldest first
 */
struct pgw_cache__request {
    struct pgw_request_id id;
    uint64_t workspace;
    struct pgw_level_chain chain;
    uint32_t sure_tokens;
    struct pgw_list lru;
};

/**
 * struct pgw_cache__table - the three sets
 * @options: limits
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
 * pgw_cache__block_store() - a block is certainly cached
 * @table: the table
 * @id: the block
 * @parent: the block before it, 0 for a first block
 *
 * Makes the block and, if need be, an absent entry for its parent. What
 * exceeds the capacity is taken as evicted, least recently touched first.
 *
 * Return: the block, or NULL if the table had to be emptied of blocks since
 * absent parents filled it.
 */
struct pgw_cache__block *pgw_cache__block_store(struct pgw_cache__table *table,
                                                uint64_t id, uint64_t parent);

/* The block is certainly not cached. */
void pgw_cache__block_evict(struct pgw_cache__table *table,
                            struct pgw_cache__block *block);

/* All blocks are certainly not cached. */
void pgw_cache__block_evict_all(struct pgw_cache__table *table);

/* Certain blocks become hints that end at @until. */
void pgw_cache__block_downgrade_all(struct pgw_cache__table *table,
                                    uint64_t until);

/* Makes no level. NULL if the level is not known. */
struct pgw_cache__level *
pgw_cache__level_find(const struct pgw_cache__table *table,
                      const struct pgw_level *level, uint64_t workspace);

/* Finds or makes a level and marks it recently used. */
struct pgw_cache__level *pgw_cache__level_get(struct pgw_cache__table *table,
                                              const struct pgw_level *level,
                                              uint64_t workspace);

void pgw_cache__level_bind(struct pgw_cache__level *level,
                           struct pgw_cache__block *block, uint32_t end);

struct pgw_cache__request *
pgw_cache__request_find(const struct pgw_cache__table *table,
                        const struct pgw_request_id *id);

/* Finds or makes a request and marks it newest. */
struct pgw_cache__request *
pgw_cache__request_get(struct pgw_cache__table *table,
                       const struct pgw_request_id *id);

G_END_DECLS

#endif
