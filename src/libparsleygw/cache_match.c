#include "libparsleygw/cache_view.h"

/**
 * struct cached_prefix - cached blocks from the prompt's start to the first
 * gap
 * @certain_blocks: number of certain blocks
 * @likely_blocks: number of blocks that are certain or an unexpired hint
 * @last_certain: the last certain block
 */
struct cached_prefix {
    uint32_t certain_blocks;
    uint32_t likely_blocks;
    uint64_t last_certain;
};

/* Walks from the block to the prompt's start. A gap resets the count, since an
 * engine matches from the start. If the start is unknown, nothing is counted.
 */
static struct cached_prefix
measure_prefix(const struct pgw_cache__table *table,
               const struct pgw_cache__block *block, uint64_t now_us)
{
    struct cached_prefix prefix = {0};
    size_t steps = g_hash_table_size(table->blocks);

    for (; block != NULL && steps > 0; block = block->parent, steps--) {
        if (block->valid_until_us != PGW_CACHE__CERTAIN) {
            prefix.certain_blocks = 0;
        }
        else if (prefix.certain_blocks++ == 0) {
            prefix.last_certain = (uint64_t)block->id;
        }
        prefix.likely_blocks =
            block->valid_until_us > now_us ? prefix.likely_blocks + 1 : 0;
        if (block->is_first) {
            return prefix;
        }
    }
    return (struct cached_prefix){0};
}

static struct cached_prefix
longest_prefix(const struct pgw_cache *cache, uint64_t workspace,
               const struct pgw_level_chain *chain, uint64_t now_us)
{
    struct cached_prefix best = {0};

    /* The blocks of a deeper level include those of the shallower ones, so the
     * first level with a certain prefix ends the search. */
    for (size_t i = chain->count; i > 0; i--) {
        const struct pgw_cache__level *level = pgw_cache__level_find(
            &cache->table, &chain->levels[i - 1], workspace);
        struct cached_prefix prefix;

        if (level == NULL || level->block == NULL) {
            continue;
        }
        prefix = measure_prefix(&cache->table, level->block, now_us);
        best.likely_blocks = MAX(best.likely_blocks, prefix.likely_blocks);
        if (prefix.certain_blocks > best.certain_blocks) {
            best.certain_blocks = prefix.certain_blocks;
            best.last_certain = prefix.last_certain;
        }
        if (prefix.certain_blocks > 0) {
            break;
        }
    }
    return best;
}

uint32_t
pgw_cache_match(const struct pgw_cache *cache, const char *workspace,
                const struct pgw_level_chain *chain, uint64_t now_us,
                uint32_t *hint_tokens)
{
    uint64_t workspace_hash = pgw_level_workspace_hash(workspace);
    struct cached_prefix prefix =
        longest_prefix(cache, workspace_hash, chain, now_us);
    uint32_t certain_tokens =
        prefix.certain_blocks * cache->table.options.block_tokens;
    uint32_t likely_tokens =
        prefix.likely_blocks * cache->table.options.block_tokens;

    for (size_t i = chain->count; hint_tokens != NULL && i > 0; i--) {
        const struct pgw_cache__level *level = pgw_cache__level_find(
            &cache->table, &chain->levels[i - 1], workspace_hash);

        if (level != NULL && now_us < level->hint_until_us) {
            likely_tokens = MAX(likely_tokens, level->hint_tokens);
            break;
        }
    }
    if (hint_tokens != NULL) {
        *hint_tokens = MAX(certain_tokens, likely_tokens);
    }
    return certain_tokens;
}

uint64_t
pgw_cache_last_block(const struct pgw_cache *cache, const char *workspace,
                     const struct pgw_level_chain *chain)
{
    return longest_prefix(cache, pgw_level_workspace_hash(workspace), chain, 0)
        .last_certain;
}

void
pgw_cache_stats_get(struct pgw_cache_stats *out, const struct pgw_cache *cache)
{
    const struct pgw_cache__table *table = &cache->table;

    *out = cache->stats;
    out->blocks = g_hash_table_size(table->blocks);
    out->levels = g_hash_table_size(table->levels);
    out->bytes =
        out->blocks * sizeof(struct pgw_cache__block) +
        out->levels * sizeof(struct pgw_cache__level) +
        g_hash_table_size(table->requests) * sizeof(struct pgw_cache__request);
}
