#include "libparsleygw/cache_view.h"

#include <stdlib.h>
#include <string.h>

struct pgw_cache *
pgw_cache_new(const struct pgw_cache_options *options)
{
    static const struct pgw_cache_options defaults = PGW_CACHE_OPTIONS_INIT;
    struct pgw_cache_options limits = options != NULL ? *options : defaults;
    struct pgw_cache *cache = g_new0(struct pgw_cache, 1);

    limits.blocks = MAX(limits.blocks, 16);
    limits.levels = MAX(limits.levels, 1);
    limits.requests = MAX(limits.requests, 1);
    limits.block_tokens = MAX(limits.block_tokens, 1);
    pgw_cache__table_init(&cache->table, &limits);
    cache->version = g_strdup("");
    return cache;
}

void
pgw_cache_free(struct pgw_cache *cache)
{
    if (cache == NULL) {
        return;
    }
    pgw_cache__table_dispose(&cache->table);
    g_free(cache->version);
    g_free(cache);
}

static void
reset_view(struct pgw_cache *cache)
{
    pgw_cache__table_clear(&cache->table);
    cache->last_seq = 0;
    cache->list_seq = 0;
    cache->last_event = (struct pgw_cache_event){.seq = 0};
    cache->sync_needed = false;
    cache->stats.resets++;
}

void
pgw_cache_clear_engine(struct pgw_cache *cache, uint64_t now_us)
{
    if (cache->engine_known) {
        reset_view(cache);
    }
    cache->engine_known = false;
    cache->incarnation = 0;
    g_free(cache->version);
    cache->version = g_strdup("");
    cache->engine_set_us = now_us;
}

static bool
is_same_engine(const struct pgw_cache *cache,
               const struct pgw_cache_source *source)
{
#ifdef PGW_DISABLE_CACHE_VERSION
    return cache->engine_known && cache->incarnation == source->incarnation;
#elif defined(PGW_DISABLE_CACHE_INCARNATION)
    return cache->engine_known &&
           g_strcmp0(cache->version, source->version) == 0;
#else
    return cache->engine_known && cache->incarnation == source->incarnation &&
           g_strcmp0(cache->version, source->version) == 0;
#endif
}

/*
 * Failure: an engine crashes or loads other weights and loses its blocks.
 * Symptom: requests are placed for blocks that are gone and miss the cache
 * after every restart. Each response names the engine's incarnation and
 * version. A response requested after the current ones were set is from an
 * engine at least as new, so a late response never restores an old engine.
 */
bool
pgw_cache_set_engine(struct pgw_cache *cache,
                     const struct pgw_cache_source *source, uint64_t now_us)
{
    if (is_same_engine(cache, source)) {
        return true;
    }
    if (source->requested_us < cache->engine_set_us ||
        (cache->engine_known &&
         source->requested_us == cache->engine_set_us)) {
        cache->stats.late++;
        pgw_cache_clear_engine(cache, now_us);
        return false;
    }
    pgw_cache_clear_engine(cache, now_us);
    cache->engine_known = true;
    cache->incarnation = source->incarnation;
    g_free(cache->version);
    cache->version = g_strdup(source->version);
    return true;
}

uint64_t
pgw_cache_incarnation(const struct pgw_cache *cache)
{
    return cache->incarnation;
}

const char *
pgw_cache_version(const struct pgw_cache *cache)
{
    return cache->version;
}

uint64_t
pgw_cache_last_seq(const struct pgw_cache *cache)
{
    return cache->last_seq;
}

uint64_t
pgw_cache_certain_seq(const struct pgw_cache *cache)
{
    return MAX(cache->last_seq, cache->list_seq);
}

static void
hint_levels(struct pgw_cache *cache, const struct pgw_cache__request *request,
            uint64_t now_us)
{
    for (size_t i = 0; i < request->chain.count; i++) {
        const struct pgw_level *level = &request->chain.levels[i];
        struct pgw_cache__level *cached_level =
            pgw_cache__level_get(&cache->table, level, request->workspace);

        cached_level->hint_until_us = now_us + cache->table.options.hint_us;
        cached_level->hint_tokens =
            level->end_tokens -
            level->end_tokens % cache->table.options.block_tokens;
    }
}

void
pgw_cache_record_request(struct pgw_cache *cache,
                         const struct pgw_request_id *request,
                         const struct pgw_level_chain *chain,
                         const struct pgw_level_salt *salt, uint64_t now_us)
{
    struct pgw_cache__request *recorded;

    if (!cache->engine_known ||
        g_strcmp0(salt->version, cache->version) != 0) {
        return;
    }
    recorded = pgw_cache__request_get(&cache->table, request);
    recorded->workspace = pgw_level_workspace_hash(salt->workspace);
    recorded->chain = *chain;
    recorded->certain_tokens =
        pgw_cache_match(cache, salt->workspace, chain, now_us, NULL);
    hint_levels(cache, recorded, now_us);
}

void
pgw_cache_record_first_token(struct pgw_cache *cache,
                             const struct pgw_request_id *request,
                             const struct pgw_cache_source *source,
                             uint32_t cached_tokens, uint64_t now_us)
{
    const struct pgw_cache__request *recorded;

    if (!pgw_cache_set_engine(cache, source, now_us)) {
        return;
    }
    recorded = pgw_cache__request_find(&cache->table, request);
    if (recorded == NULL) {
        return;
    }
    if (recorded->certain_tokens > cached_tokens) {
        cache->stats.overestimated_tokens +=
            recorded->certain_tokens - cached_tokens;
    }
    hint_levels(cache, recorded, now_us);
}

/* Binds the request's levels that reach at least to the block's end to this
 * block, unless they are bound to a deeper one. This holds for late events
 * too, since it says where the block lies, not that it is cached. */
static void
bind_levels(struct pgw_cache *cache, const struct pgw_cache_event *event,
            struct pgw_cache__block *block)
{
    const struct pgw_cache__request *request =
        pgw_cache__request_find(&cache->table, &event->request);

    for (size_t i = 0; request != NULL && i < request->chain.count; i++) {
        const struct pgw_level *level = &request->chain.levels[i];
        struct pgw_cache__level *cached_level;

        if (level->end_tokens < event->end_token) {
            continue;
        }
        cached_level =
            pgw_cache__level_get(&cache->table, level, request->workspace);
        if (cached_level->block == NULL ||
            cached_level->block_end <= event->end_token) {
            pgw_cache__level_bind(cached_level, block, event->end_token);
        }
    }
}

static void
apply_event(struct pgw_cache *cache, const struct pgw_cache_event *event)
{
    struct pgw_cache__block *block;

    cache->stats.events++;
    switch (event->kind) {
    case PGW_CACHE_STORED:
    case PGW_CACHE_USED:
        block =
            pgw_cache__block_store(&cache->table, event->block, event->parent);
        if (block != NULL) {
            bind_levels(cache, event, block);
        }
        else {
            cache->sync_needed = true;
        }
        break;
    case PGW_CACHE_EVICTED:
        block = pgw_cache__block_find(&cache->table, event->block);
        if (block != NULL) {
            pgw_cache__block_evict(&cache->table, block);
        }
        break;
    case PGW_CACHE_CLEARED:
        pgw_cache__block_evict_all(&cache->table);
        break;
    }
}

/*
 * Failure: an event is lost that may have been an eviction. Symptom: the block
 * counts as cached forever and predicted hits miss. All certain blocks become
 * hints, which expire, and the block list is requested.
 */
static void
handle_gap(struct pgw_cache *cache, uint64_t now_us)
{
    cache->stats.gaps++;
#ifndef PGW_DISABLE_CACHE_GAP
    pgw_cache__block_downgrade_all(&cache->table,
                                   now_us + cache->table.options.hint_us);
    cache->sync_needed = true;
#else
    (void)now_us;
#endif
}

static bool
is_stored_or_used(const struct pgw_cache_event *event)
{
    return event->kind == PGW_CACHE_STORED || event->kind == PGW_CACHE_USED;
}

/* Applies a duplicate event or one that the last block list includes. */
static void
apply_late_event(struct pgw_cache *cache, const struct pgw_cache_event *event)
{
    struct pgw_cache__block *block =
        pgw_cache__block_find(&cache->table, event->block);

    cache->stats.late++;
    if (block != NULL && is_stored_or_used(event)) {
        bind_levels(cache, event, block);
    }
}

/*
 * Whether the events lost before @event cannot have been evictions. Most
 * events carry consecutive blocks of one request, so a gap among them skips as
 * many blocks as sequence numbers:
 * - each used block has an event, so the lost events were for used blocks;
 * - among stored blocks only a gap of one event is conclusive: its block must
 *   have been stored just now, since it was not among the certain blocks.
 */
static bool
gap_has_no_eviction(struct pgw_cache *cache,
                    const struct pgw_cache_event *event)
{
    const struct pgw_cache_event *last = &cache->last_event;
    uint64_t lost_count = event->seq - cache->last_seq - 1;
    const struct pgw_cache__block *parent;

    if (last->seq != cache->last_seq || last->kind != event->kind ||
        !is_stored_or_used(event) ||
        memcmp(&last->request, &event->request, sizeof(last->request)) != 0 ||
        event->end_token !=
            last->end_token +
                (lost_count + 1) * cache->table.options.block_tokens) {
        return false;
    }
    if (event->kind == PGW_CACHE_USED) {
        return true;
    }
    parent = pgw_cache__block_find(&cache->table, event->parent);
    if (lost_count != 1 || cache->sync_needed ||
        (parent != NULL && parent->valid_until_us != 0)) {
        return false;
    }
    return pgw_cache__block_store(&cache->table, event->parent, last->block) !=
           NULL;
}

static int
compare_seq(const void *a, const void *b)
{
    const struct pgw_cache_event *left = a;
    const struct pgw_cache_event *right = b;

    return (left->seq > right->seq) - (left->seq < right->seq);
}

static void
handle_event(struct pgw_cache *cache, const struct pgw_cache_event *event,
             uint64_t now_us)
{
    if (event->seq <= cache->last_seq) {
        apply_late_event(cache, event);
        return;
    }
    /* The last block list covers the events lost before it. */
    if (event->seq > pgw_cache_certain_seq(cache) + 1 &&
        !gap_has_no_eviction(cache, event)) {
        handle_gap(cache, now_us);
    }
    cache->last_seq = event->seq;
    cache->last_event = *event;
    if (event->seq <= cache->list_seq) {
        apply_late_event(cache, event);
    }
    else {
        apply_event(cache, event);
    }
}

void
pgw_cache_apply(struct pgw_cache *cache, const struct pgw_cache_source *source,
                struct pgw_cache_event *events, size_t n, uint64_t last,
                uint64_t now_us)
{
    if (!pgw_cache_set_engine(cache, source, now_us)) {
        return;
    }
    if (n > 0) {
        qsort(events, n, sizeof(*events), compare_seq);
    }
    for (size_t i = 0; i < n; i++) {
        handle_event(cache, &events[i], now_us);
    }
    if (last > pgw_cache_certain_seq(cache)) {
        handle_gap(cache, now_us);
    }
    cache->last_seq = MAX(cache->last_seq, last);
}

/* Evicts all blocks that are not in @blocks. */
static void
evict_unlisted(struct pgw_cache__table *table,
               const struct pgw_cache_block *blocks, size_t n)
{
    for (size_t i = 0; i < n; i++) {
        struct pgw_cache__block *block =
            pgw_cache__block_find(table, blocks[i].block);

        if (block != NULL && block->valid_until_us != 0) {
            block->is_listed = true;
        }
    }
    /* The list has present blocks only, and a present block is freed only by
     * its own eviction, so the next link stays valid. */
    pgw_list_foreach_safe (link, &table->block_lru) {
        struct pgw_cache__block *block =
            pgw_container_of(link, struct pgw_cache__block, lru);

        if (!block->is_listed) {
            pgw_cache__block_evict(table, block);
            continue;
        }
        block->is_listed = false;
    }
}

bool
pgw_cache_sync(struct pgw_cache *cache, const struct pgw_cache_source *source,
               uint64_t seq, const struct pgw_cache_block *blocks, size_t n,
               uint64_t now_us)
{
    if (!pgw_cache_set_engine(cache, source, now_us)) {
        return false;
    }
    if (seq < pgw_cache_certain_seq(cache)) {
        cache->stats.late++;
        return false;
    }
    evict_unlisted(&cache->table, blocks, n);
    for (size_t i = 0; i < n; i++) {
        (void)pgw_cache__block_store(&cache->table, blocks[i].block,
                                     blocks[i].parent);
    }
    cache->list_seq = seq;
    cache->sync_needed = false;
    cache->stats.syncs++;
    return true;
}

bool
pgw_cache_sync_is_due(struct pgw_cache *cache, uint64_t now_us)
{
    if (!cache->engine_known || !cache->sync_needed ||
        now_us < cache->next_sync_us) {
        return false;
    }
    cache->next_sync_us = now_us + cache->table.options.sync_interval_us;
    return true;
}
