#include "engine_cache_lib.h"

#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

#include "util/list.h"

struct engine_block {
    uint64_t id; /* first: the key of the table */
    struct engine_block *parent;
    unsigned children;
    unsigned holds;
    unsigned end_token;
    uint64_t used_at;
    struct pgw_list idle; /* linked while neither held nor a parent */
};

struct engine_cache {
    unsigned capacity;
    GHashTable *blocks;
    struct pgw_list idle; /* least recently used first */
    struct engine_journal *journal;
};

static guint
hash_id(gconstpointer key)
{
    return (guint)(*(const uint64_t *)key >> 32);
}

struct engine_cache *
engine_cache_new(unsigned capacity, struct engine_journal *journal)
{
    struct engine_cache *cache = g_new0(struct engine_cache, 1);

    cache->capacity = capacity;
    cache->journal = journal;
    cache->blocks =
        g_hash_table_new_full(hash_id, g_int64_equal, NULL, g_free);
    pgw_list_init(&cache->idle);
    return cache;
}

uint64_t
engine_chain_root(const char *salt, const char *model, const char *adapter,
                  const char *version)
{
    const char *parts[] = {salt, model, adapter, version};
    uint64_t root = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
        root = XXH3_64bits_withSeed(parts[i], strlen(parts[i]), root);
    }
    return root;
}

GArray *
engine_chain_blocks(uint64_t root, const char *text, size_t length,
                    size_t block_bytes)
{
    GArray *chain = g_array_sized_new(FALSE, FALSE, sizeof(uint64_t),
                                      (guint)(length / block_bytes));

    for (size_t at = 0; at + block_bytes <= length; at += block_bytes) {
        root = XXH3_64bits_withSeed(text + at, block_bytes, root);
        g_array_append_val(chain, root);
    }
    return chain;
}

static void
report(struct engine_cache *cache, enum engine_event_kind kind,
       const struct engine_block *block, const char *request, uint64_t now)
{
    struct engine_event event = {.kind = kind};

    if (block != NULL) {
        event.block = block->id;
        event.parent = block->parent == NULL ? 0 : block->parent->id;
        event.end_token = block->end_token;
    }
    g_strlcpy(event.request, request, sizeof(event.request));
    engine_journal_append(cache->journal, &event, now);
}

/* A block becomes idle when its last child is evicted or its last hold ends;
 * it then takes the place that its last use gives it. The walk is short: a
 * parent whose child was the oldest is among the oldest too. */
static void
update_idle(struct engine_cache *cache, struct engine_block *block)
{
    struct pgw_list *before = &cache->idle;

    pgw_list_remove(&block->idle);
    if (block->holds > 0 || block->children > 0) {
        return;
    }
    if (pgw_list_is_empty(&cache->idle) ||
        pgw_container_of(cache->idle.prev, struct engine_block, idle)
                ->used_at <= block->used_at) {
        pgw_list_append(&cache->idle, &block->idle);
        return;
    }
    pgw_list_foreach (pos, &cache->idle) {
        if (pgw_container_of(pos, struct engine_block, idle)->used_at >
            block->used_at) {
            before = pos;
            break;
        }
    }
    pgw_list_append(before, &block->idle);
}

static void
hold(struct engine_cache *cache, struct engine_block *block, uint64_t now)
{
    block->holds++;
    block->used_at = now;
    update_idle(cache, block);
}

void
engine_cache_release(struct engine_cache *cache, struct engine_block *tail,
                     uint64_t now)
{
    if (tail != NULL) {
        tail->holds--;
        tail->used_at = now;
        update_idle(cache, tail);
    }
}

unsigned
engine_cache_match(struct engine_cache *cache, struct engine_block **tail,
                   const GArray *chain, unsigned limit, const char *request,
                   uint64_t now)
{
    struct engine_block *deepest = NULL;
    unsigned matched = 0;

    limit = MIN(limit, chain->len);
    while (matched < limit) {
        struct engine_block *block = g_hash_table_lookup(
            cache->blocks, &g_array_index(chain, uint64_t, matched));

        if (block == NULL) {
            break;
        }
        block->used_at = now;
        report(cache, ENGINE_EVENT_USED, block, request, now);
        deepest = block;
        matched++;
    }
    if (deepest != NULL) {
        hold(cache, deepest, now);
    }
    *tail = deepest;
    return matched;
}

static bool
evict_one(struct engine_cache *cache, uint64_t now)
{
    struct pgw_list *oldest = pgw_list_first(&cache->idle);
    struct engine_block *block, *parent;

    if (oldest == NULL) {
        return false;
    }
    block = pgw_container_of(oldest, struct engine_block, idle);
    parent = block->parent;
    report(cache, ENGINE_EVENT_EVICTED, block, "", now);
    pgw_list_remove(&block->idle);
    g_hash_table_remove(cache->blocks, &block->id);
    if (parent != NULL) {
        parent->children--;
        update_idle(cache, parent);
    }
    return true;
}

bool
engine_cache_store(struct engine_cache *cache, struct engine_block **tail,
                   uint64_t id, unsigned end_token, const char *request,
                   uint64_t now)
{
    struct engine_block *block = g_hash_table_lookup(cache->blocks, &id);

    if (block == NULL) {
        if (g_hash_table_size(cache->blocks) >= cache->capacity &&
            !evict_one(cache, now)) {
            return false;
        }
        block = g_new0(struct engine_block, 1);
        block->id = id;
        block->parent = *tail;
        block->end_token = end_token;
        if (*tail != NULL) {
            (*tail)->children++;
        }
        g_hash_table_insert(cache->blocks, &block->id, block);
        report(cache, ENGINE_EVENT_STORED, block, request, now);
    }
    hold(cache, block, now);
    engine_cache_release(cache, *tail, now);
    *tail = block;
    return true;
}

void
engine_cache_clear(struct engine_cache *cache, uint64_t now)
{
    pgw_list_init(&cache->idle);
    g_hash_table_remove_all(cache->blocks);
    report(cache, ENGINE_EVENT_CLEARED, NULL, "", now);
}

void
engine_cache_write(struct engine_cache *cache, GString *out)
{
    GHashTableIter iter;
    gpointer value;
    bool first = true;

    g_hash_table_iter_init(&iter, cache->blocks);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct engine_block *block = value;

        g_string_append_printf(out,
                               "%s{\"block\":\"%016" PRIx64 "\",\"parent\":\"",
                               first ? "" : ",", block->id);
        if (block->parent != NULL) {
            g_string_append_printf(out, "%016" PRIx64, block->parent->id);
        }
        g_string_append(out, "\"}");
        first = false;
    }
}

GArray *
engine_cache_chain(struct engine_cache *cache, uint64_t id)
{
    GArray *chain = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    struct engine_block *block = g_hash_table_lookup(cache->blocks, &id);

    for (; block != NULL; block = block->parent) {
        g_array_prepend_val(chain, block->id);
    }
    return chain;
}

unsigned
engine_cache_size(struct engine_cache *cache)
{
    return g_hash_table_size(cache->blocks);
}
