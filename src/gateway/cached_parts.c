#include "gateway/cached_parts.h"
#include <stdlib.h>

/* Keys that are remembered as asked for before older ones are forgotten: an
 * engine holds some hundred shared parts, and twice as many are kept. */
#define ASKED_MAX 4096
/* A part is taken to be on its way for so long: a request waits in the
 * engine's queue, and its whole prompt is read before the part is held. */
#define ARRIVING_US 4000000
/* Parts on their way that are remembered. */
#define ARRIVING_MAX 1024

static GHashTable *
key_table(void)
{
    return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
}

void
pgw_cached_parts_init(struct pgw_cached_parts *parts)
{
    *parts = (struct pgw_cached_parts){
        .tokens = key_table(),
        .asked = key_table(),
        .asked_before = key_table(),
        .expected = key_table(),
        .arriving =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free),
        .near_changed = key_table(),
        .far_changed = key_table(),
        .far_known = key_table(),
    };
}

void
pgw_cached_parts_dispose(struct pgw_cached_parts *parts)
{
    g_hash_table_destroy(parts->tokens);
    g_hash_table_destroy(parts->asked);
    g_hash_table_destroy(parts->asked_before);
    g_hash_table_destroy(parts->expected);
    g_hash_table_destroy(parts->arriving);
    g_hash_table_destroy(parts->near_changed);
    g_hash_table_destroy(parts->far_changed);
    g_hash_table_destroy(parts->far_known);
}

void
pgw_cached_parts_clear(struct pgw_cached_parts *parts)
{
    g_hash_table_remove_all(parts->tokens);
    g_hash_table_remove_all(parts->expected);
    g_hash_table_remove_all(parts->arriving);
    g_hash_table_remove_all(parts->near_changed);
    g_hash_table_remove_all(parts->far_changed);
    g_hash_table_remove_all(parts->far_known);
    parts->epoch = 0;
    parts->next = 0;
    parts->reset = true;
    parts->remote_reset = true;
}

static uint32_t
lookup(GHashTable *table, uint64_t key)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(table, &key));
}

static void
set(GHashTable *table, uint64_t key, uint32_t tokens)
{
    g_hash_table_replace(table, g_memdup2(&key, sizeof(key)),
                         GUINT_TO_POINTER(tokens));
}

static bool
is_asked(const struct pgw_cached_parts *parts, uint64_t key)
{
    return g_hash_table_contains(parts->asked, &key) ||
           g_hash_table_contains(parts->asked_before, &key);
}

static void
note_change(struct pgw_cached_parts *parts, uint64_t key)
{
    set(parts->near_changed, key, 1);
    set(parts->far_changed, key, 1);
}

void
pgw_cached_parts_apply_events(struct pgw_cached_parts *parts,
                              const struct pgw_cache_events *events)
{
    /*
     * Failure: an engine starts anew, or its events were overwritten before
     * they were read. Symptom: parts that are long gone count as held, and
     * prompts go where they are read again. Nothing of before is kept.
     */
#ifndef PGW_DISABLE_GATEWAY_HELD
    if (events->epoch != parts->epoch || events->gap) {
        pgw_cached_parts_clear(parts);
        parts->epoch = events->epoch;
    }
#endif
    parts->next = events->next;
    for (size_t i = 0; i < events->count; i++) {
        const struct pgw_cache_event *event = &events->events[i];

        if (event->tokens == 0) {
            g_hash_table_remove(parts->tokens, &event->key);
        }
        else {
            set(parts->tokens, event->key, event->tokens);
        }
        g_hash_table_remove(parts->expected, &event->key);
        g_hash_table_remove(parts->arriving, &event->key);
        if (is_asked(parts, event->key)) {
            note_change(parts, event->key);
        }
    }
}

static gboolean
is_old(void *key, void *value, void *now_us)
{
    (void)key;
    return *(uint64_t *)now_us - *(uint64_t *)value >= ARRIVING_US;
}

/* A request may be refused, and nothing will come of it: what is too old to be
 * on its way goes when there are many. */
static void
note_arrival(struct pgw_cached_parts *parts, uint64_t key, uint64_t now_us)
{
    if (g_hash_table_size(parts->arriving) >= ARRIVING_MAX) {
        g_hash_table_foreach_remove(parts->arriving, is_old, &now_us);
    }
    if (g_hash_table_size(parts->arriving) >= ARRIVING_MAX) {
        return;
    }
    g_hash_table_replace(parts->arriving, g_memdup2(&key, sizeof(key)),
                         g_memdup2(&now_us, sizeof(now_us)));
}

void
pgw_cached_parts_expect(struct pgw_cached_parts *parts, uint64_t key,
                        uint32_t tokens, uint64_t now_us)
{
    bool is_new = !is_asked(parts, key);

    if (g_hash_table_size(parts->asked) >= ASKED_MAX) {
        g_hash_table_destroy(parts->asked_before);
        parts->asked_before = parts->asked;
        parts->asked = key_table();
    }
    set(parts->asked, key, 1);
    if (pgw_cached_parts_tokens(parts, key) == 0) {
        set(parts->expected, key, tokens);
        note_arrival(parts, key, now_us);
        note_change(parts, key);
    }
    else if (is_new) {
        note_change(parts, key);
    }
}

uint32_t
pgw_cached_parts_tokens(const struct pgw_cached_parts *parts, uint64_t key)
{
    return lookup(parts->tokens, key);
}

bool
pgw_cached_parts_has_changes(const struct pgw_cached_parts *parts, bool far)
{
    return far ? parts->remote_reset ||
                     g_hash_table_size(parts->far_changed) > 0
               : parts->reset || g_hash_table_size(parts->near_changed) > 0;
}

struct pgw_part_update
pgw_cached_parts_lookup(const struct pgw_cached_parts *parts, uint64_t key,
                        uint64_t now_us)
{
    const uint64_t *at_us = g_hash_table_lookup(parts->arriving, &key);
    uint32_t held = pgw_cached_parts_tokens(parts, key);

    return (struct pgw_part_update){
        .key = key,
        .tokens = held,
        .expected =
            held == 0 && at_us != NULL && now_us - *at_us < ARRIVING_US,
    };
}

/* What there is to say of a part to who was not told yet. */
static struct pgw_part_update
word_of(const struct pgw_cached_parts *parts, uint64_t key)
{
    uint32_t held = pgw_cached_parts_tokens(parts, key);
    uint32_t expected = lookup(parts->expected, key);

    return (struct pgw_part_update){
        .key = key,
        .tokens = held > 0 ? held : expected,
        .expected = held == 0 && expected > 0,
    };
}

/* The others are not told what they know, nor of the end of what they never
 * heard of. */
static bool
is_news_far_away(const struct pgw_cached_parts *parts,
                 const struct pgw_part_update *word)
{
    return word->expected ||
           word->tokens != lookup(parts->far_known, word->key);
}

static uint32_t
weight_of(const struct pgw_cached_parts *parts,
          const struct pgw_part_update *word)
{
    return MAX(word->tokens, lookup(parts->far_known, word->key));
}

static int
largest_first(const void *left, const void *right, void *context)
{
    uint32_t a = weight_of(context, left);
    uint32_t b = weight_of(context, right);

    return a > b ? -1 : a < b;
}

static void
count_as_told(struct pgw_cached_parts *parts, const GArray *words, bool far)
{
    for (unsigned i = 0; i < words->len; i++) {
        const struct pgw_part_update *word =
            &g_array_index(words, struct pgw_part_update, i);

        g_hash_table_remove(far ? parts->far_changed : parts->near_changed,
                            &word->key);
        if (!far) {
            continue;
        }
        g_hash_table_remove(parts->expected, &word->key);
        if (word->tokens == 0 || word->expected) {
            g_hash_table_remove(parts->far_known, &word->key);
        }
        else {
            set(parts->far_known, word->key, word->tokens);
        }
    }
}

GArray *
pgw_cached_parts_changes(struct pgw_cached_parts *parts, bool far, size_t most)
{
    GHashTable *changed = far ? parts->far_changed : parts->near_changed;
    GArray *words = g_array_new(FALSE, FALSE, sizeof(struct pgw_part_update));
    GHashTableIter iter;
    void *key;

    g_hash_table_iter_init(&iter, changed);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        struct pgw_part_update word = word_of(parts, *(const uint64_t *)key);

        if (far && !is_news_far_away(parts, &word)) {
            g_hash_table_iter_remove(&iter);
            continue;
        }
        g_array_append_val(words, word);
    }
    if (words->len > most) {
        g_array_sort_with_data(words, largest_first, parts);
        g_array_set_size(words, (unsigned)most);
    }
    count_as_told(parts, words, far);
    if (far) {
        parts->remote_reset = false;
    }
    else {
        parts->reset = false;
    }
    return words;
}

GArray *
pgw_cached_parts_snapshot(const struct pgw_cached_parts *parts, bool far)
{
    GArray *words = g_array_new(FALSE, FALSE, sizeof(struct pgw_part_update));
    GHashTableIter iter;
    void *key;
    void *tokens;

    g_hash_table_iter_init(&iter, far ? parts->far_known : parts->tokens);
    while (g_hash_table_iter_next(&iter, &key, &tokens)) {
        struct pgw_part_update word = {
            .key = *(const uint64_t *)key,
            .tokens = GPOINTER_TO_UINT(tokens),
        };

        if (far || is_asked(parts, word.key)) {
            g_array_append_val(words, word);
        }
    }
    return words;
}
