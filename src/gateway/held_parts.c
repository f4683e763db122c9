#include "gateway/held_parts.h"

void
pgw_held_parts_init(struct pgw_held_parts *parts)
{
    *parts = (struct pgw_held_parts){
        .tokens =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL),
        .changed =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL),
        .long_held =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL),
        .far_changed =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL),
    };
}

void
pgw_held_parts_dispose(struct pgw_held_parts *parts)
{
    g_hash_table_destroy(parts->tokens);
    g_hash_table_destroy(parts->changed);
    g_hash_table_destroy(parts->long_held);
    g_hash_table_destroy(parts->far_changed);
}

void
pgw_held_parts_clear(struct pgw_held_parts *parts)
{
    g_hash_table_remove_all(parts->tokens);
    g_hash_table_remove_all(parts->changed);
    g_hash_table_remove_all(parts->long_held);
    g_hash_table_remove_all(parts->far_changed);
    parts->epoch = 0;
    parts->next = 0;
    parts->reset = true;
    parts->far_reset = true;
}

static void *
copy_key(uint64_t key)
{
    return g_memdup2(&key, sizeof(key));
}

static void
note_long(struct pgw_held_parts *parts, const struct pgw_cache_event *event)
{
    if (event->tokens >= PGW_LONG_PART_TOKENS) {
        g_hash_table_add(parts->long_held, copy_key(event->key));
    }
    else if (!g_hash_table_remove(parts->long_held, &event->key)) {
        return;
    }
    g_hash_table_add(parts->far_changed, copy_key(event->key));
}

void
pgw_held_parts_take(struct pgw_held_parts *parts,
                    const struct pgw_cache_events *events)
{
    /*
     * Failure: an engine starts anew, or its events were overwritten before
     * they were read. Symptom: parts that are long gone count as held, and
     * prompts go where they are read again. Nothing of before is kept.
     */
#ifndef PGW_DISABLE_GATEWAY_HELD
    if (events->epoch != parts->epoch || events->gap) {
        pgw_held_parts_clear(parts);
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
            g_hash_table_replace(parts->tokens, copy_key(event->key),
                                 GUINT_TO_POINTER(event->tokens));
        }
        g_hash_table_add(parts->changed, copy_key(event->key));
        note_long(parts, event);
    }
}

uint32_t
pgw_held_parts_tokens(const struct pgw_held_parts *parts, uint64_t key)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(parts->tokens, &key));
}

void
pgw_held_parts_told(struct pgw_held_parts *parts, bool far)
{
    g_hash_table_remove_all(parts->changed);
    parts->reset = false;
    if (far) {
        g_hash_table_remove_all(parts->far_changed);
        parts->far_reset = false;
    }
}
