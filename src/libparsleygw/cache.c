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
forget(struct pgw_cache *cache)
{
    pgw_cache__table_clear(&cache->table);
    cache->last_seq = 0;
    cache->list_seq = 0;
    cache->last_event = (struct pgw_cache_event){.seq = 0};
    cache->sync_needed = false;
    cache->stats.forgets++;
}

void
pgw_cache_clear_engine(struct pgw_cache *cache, uint64_t now)
{
    if (cache->known) {
        forget(cache);
    }
    cache->known = false;
    cache->incarnation = 0;
    g_free(cache->version);
    cache->version = g_strdup("");
    cache->since = now;
}

static bool
same_engine(const struct pgw_cache *cache,
            const struct pgw_cache_source *source)
{
#ifdef PGW_DISABLE_CACHE_VERSION
    return cache->known && cache->incarnation == source->incarnation;
#elif defined(PGW_DISABLE_CACHE_INCARNATION)
    return cache->known && g_strcmp0(cache->version, source->version) == 0;
#else
    return cache->known && cache->incarnation == source->incarnation &&
           g_strcmp0(cache->version, source->version) == 0;
#endif
}

/*
 * An engine that crashed or loaded other weights has none of the blocks that
 * it had. Counting them would send requests there for nothing, seen as
 * misses after every restart. Any answer names its incarnation and version,
 * and an answer that was asked for after the known one came can only be from
 * an engine at least as new, so a late answer never brings an old one back.
 */
bool
pgw_cache_set_engine(struct pgw_cache *cache,
                     const struct pgw_cache_source *source, uint64_t now)
{
    if (same_engine(cache, source)) {
        return true;
    }
    if (source->requested_us < cache->since ||
        (cache->known && source->requested_us == cache->since)) {
        cache->stats.late++;
        pgw_cache_clear_engine(cache, now);
        return false;
    }
    pgw_cache_clear_engine(cache, now);
    cache->known = true;
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
            uint64_t now)
{
    for (size_t i = 0; i < request->chain.count; i++) {
        const struct pgw_level *level = &request->chain.levels[i];
        struct pgw_cache__level *known =
            pgw_cache__level_get(&cache->table, level, request->workspace);

        known->hint_until = now + cache->table.options.hint_us;
        known->hint_tokens =
            level->end_tokens -
            level->end_tokens % cache->table.options.block_tokens;
    }
}

void
pgw_cache_record_request(struct pgw_cache *cache,
                         const struct pgw_request_id *request,
                         const struct pgw_level_chain *chain,
                         const struct pgw_level_salt *salt, uint64_t now)
{
    struct pgw_cache__request *note;

    if (!cache->known || g_strcmp0(salt->version, cache->version) != 0) {
        return;
    }
    note = pgw_cache__request_get(&cache->table, request);
    note->workspace = pgw_level_workspace_hash(salt->workspace);
    note->chain = *chain;
    note->sure_tokens =
        pgw_cache_match(cache, salt->workspace, chain, now, NULL);
    hint_levels(cache, note, now);
}

void
pgw_cache_record_first_token(struct pgw_cache *cache,
                             const struct pgw_request_id *request,
                             const struct pgw_cache_source *source,
                             uint32_t cached_tokens, uint64_t now)
{
    const struct pgw_cache__request *note;

    if (!pgw_cache_set_engine(cache, source, now)) {
        return;
    }
    note = pgw_cache__request_find(&cache->table, request);
    if (note == NULL) {
        return;
    }
    if (note->sure_tokens > cached_tokens) {
        cache->stats.overcounted += note->sure_tokens - cached_tokens;
    }
    hint_levels(cache, note, now);
}

/* Levels of the request that reach at least to the block's end are known up
 * to this block, unless they are known further. That is true whenever it is
 * heard: it says what the block is, not that it is cached. */
static void
bind_levels(struct pgw_cache *cache, const struct pgw_cache_event *event,
            struct pgw_cache__block *block)
{
    const struct pgw_cache__request *request =
        pgw_cache__request_find(&cache->table, &event->request);

    for (size_t i = 0; request != NULL && i < request->chain.count; i++) {
        const struct pgw_level *level = &request->chain.levels[i];
        struct pgw_cache__level *known;

        if (level->end_tokens < event->end_token) {
            continue;
        }
        known = pgw_cache__level_get(&cache->table, level, request->workspace);
        if (known->block == NULL || known->block_end <= event->end_token) {
            pgw_cache__level_bind(known, block, event->end_token);
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
 * A lost event may have been an eviction. Blocks known until then would count
 * for ever, seen as hits that never come true. So all of them become hints of
 * bounded time, and the full list is asked for.
 */
static void
note_gap(struct pgw_cache *cache, uint64_t now)
{
    cache->stats.gaps++;
#ifndef PGW_DISABLE_CACHE_GAP
    pgw_cache__block_downgrade_all(&cache->table,
                                   now + cache->table.options.hint_us);
    cache->sync_needed = true;
#else
    (void)now;
#endif
}

static bool
names_block(const struct pgw_cache_event *event)
{
    return event->kind == PGW_CACHE_STORED || event->kind == PGW_CACHE_USED;
}

/* An event from before the last full list, or a doubled one. */
static void
apply_late_event(struct pgw_cache *cache, const struct pgw_cache_event *event)
{
    struct pgw_cache__block *block =
        pgw_cache__block_find(&cache->table, event->block);

    cache->stats.late++;
    if (block != NULL && names_block(event)) {
        bind_levels(cache, event, block);
    }
}

/*
 * Whether what was lost before @event can have been no eviction. Most events
 * name one block after the other of one request, so a loss among them leaves
 * just as many blocks unnamed as numbers are missing:
 * - used blocks are all named, so the lost ones were used;
 * - of stored ones only a single loss is sure: its block must have been
 *   stored just now, since the certain view did not have it.
 */
static bool
loss_is_harmless(struct pgw_cache *cache, const struct pgw_cache_event *event)
{
    const struct pgw_cache_event *last = &cache->last_event;
    uint64_t lost = event->seq - cache->last_seq - 1;
    const struct pgw_cache__block *parent;

    if (last->seq != cache->last_seq || last->kind != event->kind ||
        !names_block(event) ||
        memcmp(&last->request, &event->request, sizeof(last->request)) != 0 ||
        event->end_token !=
            last->end_token + (lost + 1) * cache->table.options.block_tokens) {
        return false;
    }
    if (event->kind == PGW_CACHE_USED) {
        return true;
    }
    parent = pgw_cache__block_find(&cache->table, event->parent);
    if (lost != 1 || cache->sync_needed ||
        (parent != NULL && parent->valid_until != 0)) {
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
take_event(struct pgw_cache *cache, const struct pgw_cache_event *event,
           uint64_t now)
{
    if (event->seq <= cache->last_seq) {
        apply_late_event(cache, event);
        return;
    }
    /* What was lost before the last full list is in it. */
    if (event->seq > pgw_cache_certain_seq(cache) + 1 &&
        !loss_is_harmless(cache, event)) {
        note_gap(cache, now);
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
                uint64_t now)
{
    if (!pgw_cache_set_engine(cache, source, now)) {
        return;
    }
    if (n > 0) {
        qsort(events, n, sizeof(*events), compare_seq);
    }
    for (size_t i = 0; i < n; i++) {
        take_event(cache, &events[i], now);
    }
    if (last > pgw_cache_certain_seq(cache)) {
        note_gap(cache, now);
    }
    cache->last_seq = MAX(cache->last_seq, last);
}

/* Evicts every block that is not among @blocks. */
static void
evict_unlisted(struct pgw_cache__table *table,
               const struct pgw_cache_block *blocks, size_t n)
{
    for (size_t i = 0; i < n; i++) {
        struct pgw_cache__block *block =
            pgw_cache__block_find(table, blocks[i].block);

        if (block != NULL && block->valid_until != 0) {
            block->listed = true;
        }
    }
    /* Only present blocks are in this list, and a present block is only freed
     * by its own eviction, so the next one stays. */
    pgw_list_foreach_safe (link, &table->block_lru) {
        struct pgw_cache__block *block =
            pgw_container_of(link, struct pgw_cache__block, lru);

        if (!block->listed) {
            pgw_cache__block_evict(table, block);
            continue;
        }
        block->listed = false;
    }
}

bool
pgw_cache_sync(struct pgw_cache *cache, const struct pgw_cache_source *source,
               uint64_t seq, const struct pgw_cache_block *blocks, size_t n,
               uint64_t now)
{
    if (!pgw_cache_set_engine(cache, source, now)) {
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
pgw_cache_sync_is_due(struct pgw_cache *cache, uint64_t now)
{
    if (!cache->known || !cache->sync_needed || now < cache->next_sync) {
        return false;
    }
    cache->next_sync = now + cache->table.options.sync_interval_us;
    return true;
}
