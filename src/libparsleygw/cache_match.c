#include "libparsleygw/cache_view.h"

/**
 * struct run - cached blocks from the prompt's start, up to the first hole
 * @sure: blocks that are certain
 * @likely: blocks that are certain or a hint that still counts
 * @last_sure: the last one of @sure
 */
struct run {
    uint32_t sure;
    uint32_t likely;
    uint64_t last_sure;
};

/* Walks from the block to the prompt's start. A hole resets the count, since
 * an engine matches from the start; a start that is not known counts nothing.
 */
static struct run
walk(const struct pgw_cache__table *table,
     const struct pgw_cache__block *block, uint64_t now)
{
    struct run run = {0};
    size_t steps = g_hash_table_size(table->blocks);

    for (; block != NULL && steps > 0; block = block->parent, steps--) {
        if (block->valid_until != PGW_CACHE__CERTAIN) {
            run.sure = 0;
        }
        else if (run.sure++ == 0) {
            run.last_sure = (uint64_t)block->id;
        }
        run.likely = block->valid_until > now ? run.likely + 1 : 0;
        if (block->first) {
            return run;
        }
    }
    return (struct run){0};
}

static struct run
match_run(const struct pgw_cache *cache, uint64_t workspace,
          const struct pgw_level_chain *chain, uint64_t now)
{
    struct run best = {0};

    /* A deeper level's blocks include a shallower one's, so the first level
     * whose certain run is whole ends the search. */
    for (size_t i = chain->count; i > 0; i--) {
        const struct pgw_cache__level *level = pgw_cache__level_find(
            &cache->table, &chain->levels[i - 1], workspace);
        struct run run;

        if (level == NULL || level->block == NULL) {
            continue;
        }
        run = walk(&cache->table, level->block, now);
        best.likely = MAX(best.likely, run.likely);
        if (run.sure > best.sure) {
            best.sure = run.sure;
            best.last_sure = run.last_sure;
        }
        if (run.sure > 0) {
            break;
        }
    }
    return best;
}

uint32_t
pgw_cache_match(const struct pgw_cache *cache, const char *workspace,
                const struct pgw_level_chain *chain, uint64_t now,
                uint32_t *hint_tokens)
{
    uint64_t owner = pgw_level_workspace_hash(workspace);
    struct run run = match_run(cache, owner, chain, now);
    uint32_t sure = run.sure * cache->table.options.block_tokens;
    uint32_t likely = run.likely * cache->table.options.block_tokens;

    for (size_t i = chain->count; hint_tokens != NULL && i > 0; i--) {
        const struct pgw_cache__level *level =
            pgw_cache__level_find(&cache->table, &chain->levels[i - 1], owner);

        if (level != NULL && now < level->hint_until) {
            likely = MAX(likely, level->hint_tokens);
            break;
        }
    }
    if (hint_tokens != NULL) {
        *hint_tokens = MAX(sure, likely);
    }
    return sure;
}

uint64_t
pgw_cache_last_block(const struct pgw_cache *cache, const char *workspace,
                     const struct pgw_level_chain *chain)
{
    return match_run(cache, pgw_level_workspace_hash(workspace), chain, 0)
        .last_sure;
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
