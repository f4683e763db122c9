#include "gateway/upstream/cached_parts.h"
#include <stdlib.h>

/* Maximum number of keys in a generation of requested keys. A full generation
 * replaces the previous one. An engine caches a few hundred shared parts. */
#define REQUESTED_MAX 4096
/* How long an announced part counts as expected: the request waits in the
 * engine's queue, and its whole prompt is prefilled before the part is cached.
 */
#define EXPECTED_US 4000000
/* Maximum number of announced parts. */
#define EXPECTED_MAX 1024

static GHashTable *
new_key_table(void)
{
    return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
}

void
pgw_cached_parts_init(struct pgw_cached_parts *parts)
{
    *parts = (struct pgw_cached_parts){
        .tokens = new_key_table(),
        .requested = new_key_table(),
        .previously_requested = new_key_table(),
        .expected = new_key_table(),
        .announced_us =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free),
        .local_changed = new_key_table(),
        .remote_changed = new_key_table(),
        .remote_reported = new_key_table(),
    };
}

void
pgw_cached_parts_dispose(struct pgw_cached_parts *parts)
{
    g_hash_table_destroy(parts->tokens);
    g_hash_table_destroy(parts->requested);
    g_hash_table_destroy(parts->previously_requested);
    g_hash_table_destroy(parts->expected);
    g_hash_table_destroy(parts->announced_us);
    g_hash_table_destroy(parts->local_changed);
    g_hash_table_destroy(parts->remote_changed);
    g_hash_table_destroy(parts->remote_reported);
}

void
pgw_cached_parts_clear(struct pgw_cached_parts *parts)
{
    g_hash_table_remove_all(parts->tokens);
    g_hash_table_remove_all(parts->expected);
    g_hash_table_remove_all(parts->announced_us);
    g_hash_table_remove_all(parts->local_changed);
    g_hash_table_remove_all(parts->remote_changed);
    g_hash_table_remove_all(parts->remote_reported);
    parts->epoch = 0;
    parts->next = 0;
    parts->local_reset = true;
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
is_requested(const struct pgw_cached_parts *parts, uint64_t key)
{
    return g_hash_table_contains(parts->requested, &key) ||
           g_hash_table_contains(parts->previously_requested, &key);
}

static void
mark_changed(struct pgw_cached_parts *parts, uint64_t key)
{
    set(parts->local_changed, key, 1);
    set(parts->remote_changed, key, 1);
}

void
pgw_cached_parts_apply_events(struct pgw_cached_parts *parts,
                              const struct pgw_cache_events *events)
{
    /*
     * Failure: an engine restarts, or its events were overwritten before the
     * sidecar read them. Symptom: evicted parts count as cached, and prompts
     * are sent where they have to be prefilled again. Therefore all previous
     * state is dropped.
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
        g_hash_table_remove(parts->announced_us, &event->key);
        if (is_requested(parts, event->key)) {
            mark_changed(parts, event->key);
        }
    }
}

static gboolean
is_expired(void *key, void *value, void *now_us)
{
    (void)key;
    return *(uint64_t *)now_us - *(uint64_t *)value >= EXPECTED_US;
}

/* A request may be refused, so that no cache event ever follows; expired
 * announcements are removed when the table is full. */
static void
record_announcement(struct pgw_cached_parts *parts, uint64_t key,
                    uint64_t now_us)
{
    if (g_hash_table_size(parts->announced_us) >= EXPECTED_MAX) {
        g_hash_table_foreach_remove(parts->announced_us, is_expired, &now_us);
    }
    if (g_hash_table_size(parts->announced_us) >= EXPECTED_MAX) {
        return;
    }
    g_hash_table_replace(parts->announced_us, g_memdup2(&key, sizeof(key)),
                         g_memdup2(&now_us, sizeof(now_us)));
}

void
pgw_cached_parts_expect(struct pgw_cached_parts *parts, uint64_t key,
                        uint32_t tokens, uint64_t now_us)
{
    bool is_new = !is_requested(parts, key);

    if (g_hash_table_size(parts->requested) >= REQUESTED_MAX) {
        g_hash_table_destroy(parts->previously_requested);
        parts->previously_requested = parts->requested;
        parts->requested = new_key_table();
    }
    set(parts->requested, key, 1);
    if (pgw_cached_parts_tokens(parts, key) == 0) {
        set(parts->expected, key, tokens);
        record_announcement(parts, key, now_us);
        mark_changed(parts, key);
    }
    else if (is_new) {
        mark_changed(parts, key);
    }
}

uint32_t
pgw_cached_parts_tokens(const struct pgw_cached_parts *parts, uint64_t key)
{
    return lookup(parts->tokens, key);
}

bool
pgw_cached_parts_has_changes(const struct pgw_cached_parts *parts, bool remote)
{
    return remote ? parts->remote_reset ||
                        g_hash_table_size(parts->remote_changed) > 0
                  : parts->local_reset ||
                        g_hash_table_size(parts->local_changed) > 0;
}

struct pgw_part_update
pgw_cached_parts_lookup(const struct pgw_cached_parts *parts, uint64_t key,
                        uint64_t now_us)
{
    const uint64_t *announced_us =
        g_hash_table_lookup(parts->announced_us, &key);
    uint32_t cached = pgw_cached_parts_tokens(parts, key);

    return (struct pgw_part_update){
        .key = key,
        .tokens = cached,
        .expected = cached == 0 && announced_us != NULL &&
                    now_us - *announced_us < EXPECTED_US,
    };
}

/* Current state of a part, for entries that have not been sent it yet. */
static struct pgw_part_update
current_update(const struct pgw_cached_parts *parts, uint64_t key)
{
    uint32_t cached = pgw_cached_parts_tokens(parts, key);
    uint32_t expected = lookup(parts->expected, key);

    return (struct pgw_part_update){
        .key = key,
        .tokens = cached > 0 ? cached : expected,
        .expected = cached == 0 && expected > 0,
    };
}

/* Remote zones are not sent what they were sent before, nor the eviction of a
 * part that was never reported to them. */
static bool
differs_from_reported(const struct pgw_cached_parts *parts,
                      const struct pgw_part_update *update)
{
    return update->expected ||
           update->tokens != lookup(parts->remote_reported, update->key);
}

static uint32_t
sort_size(const struct pgw_cached_parts *parts,
          const struct pgw_part_update *update)
{
    return MAX(update->tokens, lookup(parts->remote_reported, update->key));
}

static int
largest_first(const void *left, const void *right, void *context)
{
    uint32_t a = sort_size(context, left);
    uint32_t b = sort_size(context, right);

    return a > b ? -1 : a < b;
}

static void
mark_reported(struct pgw_cached_parts *parts, const GArray *updates,
              bool remote)
{
    for (unsigned i = 0; i < updates->len; i++) {
        const struct pgw_part_update *update =
            &g_array_index(updates, struct pgw_part_update, i);

        g_hash_table_remove(remote ? parts->remote_changed
                                   : parts->local_changed,
                            &update->key);
        if (!remote) {
            continue;
        }
        g_hash_table_remove(parts->expected, &update->key);
        if (update->tokens == 0 || update->expected) {
            g_hash_table_remove(parts->remote_reported, &update->key);
        }
        else {
            set(parts->remote_reported, update->key, update->tokens);
        }
    }
}

GArray *
pgw_cached_parts_changes(struct pgw_cached_parts *parts, bool remote,
                         size_t max_count)
{
    GHashTable *changed =
        remote ? parts->remote_changed : parts->local_changed;
    GArray *updates =
        g_array_new(FALSE, FALSE, sizeof(struct pgw_part_update));
    GHashTableIter iter;
    void *key;

    g_hash_table_iter_init(&iter, changed);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        struct pgw_part_update update =
            current_update(parts, *(const uint64_t *)key);

        if (remote && !differs_from_reported(parts, &update)) {
            g_hash_table_iter_remove(&iter);
            continue;
        }
        g_array_append_val(updates, update);
    }
    if (updates->len > max_count) {
        g_array_sort_with_data(updates, largest_first, parts);
        g_array_set_size(updates, (unsigned)max_count);
    }
    mark_reported(parts, updates, remote);
    if (remote) {
        parts->remote_reset = false;
    }
    else {
        parts->local_reset = false;
    }
    return updates;
}

GArray *
pgw_cached_parts_snapshot(const struct pgw_cached_parts *parts, bool remote)
{
    GArray *updates =
        g_array_new(FALSE, FALSE, sizeof(struct pgw_part_update));
    GHashTableIter iter;
    void *key;
    void *tokens;

    g_hash_table_iter_init(&iter,
                           remote ? parts->remote_reported : parts->tokens);
    while (g_hash_table_iter_next(&iter, &key, &tokens)) {
        struct pgw_part_update update = {
            .key = *(const uint64_t *)key,
            .tokens = GPOINTER_TO_UINT(tokens),
        };

        if (remote || is_requested(parts, update.key)) {
            g_array_append_val(updates, update);
        }
    }
    return updates;
}
