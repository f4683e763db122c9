#include "claim_shard.h"

bool
pgw_claim__window_is_own(const struct pgw_claim_shard *shard,
                         uint64_t created_us)
{
    const struct pgw_claim_window *window =
        pgw_claim__object_window(shard->base, shard->options.owner);

    /*
     * A write that gives up the older part of the window may have succeeded
     * although its reply is outstanding. Only the range that the windows of
     * all issued writes cover certainly still belongs to this process.
     */
    return window != NULL && !shard->closing && created_us != 0 &&
           created_us >= MAX(window->from_us, shard->window_floor_us) &&
           created_us <= window->to_us;
}

bool
pgw_claim__window_is_foreign(const struct pgw_claim_shard *shard,
                             uint64_t created_us)
{
#ifndef PGW_DISABLE_CLAIM_WINDOW
    /*
     * Failure: the owner of a window ran keys without the store while it was
     * down, and crashed. Symptom: nothing is recorded, so the next process
     * runs them again. Only the owner's incarnation may decide a key of its
     * window; all other processes refuse an unrecorded key as "unknown".
     */
    for (guint i = 0; created_us != 0 && i < shard->base->windows->len; i++) {
        const struct pgw_claim_window *window =
            &g_array_index(shard->base->windows, struct pgw_claim_window, i);

        if (window->owner != shard->options.owner &&
            created_us >= window->from_us && created_us <= window->to_us) {
            return true;
        }
    }
#else
    (void)shard;
    (void)created_us;
#endif
    return false;
}

bool
pgw_claim__window_is_due(const struct pgw_claim_shard *shard)
{
    const struct pgw_claim_window *window =
        pgw_claim__object_window(shard->base, shard->options.owner);

    if (shard->options.window_us == 0) {
        return false;
    }
    if (shard->closing) {
        return window != NULL;
    }
    return window == NULL ||
           window->to_us < shard->now_us + shard->options.window_us / 2;
}

/* If two windows overlapped, two processes could decide the same key. */
static uint64_t
first_free_us(const struct pgw_claim_shard *shard,
              const struct pgw_claim_object *draft)
{
    uint64_t from_us =
        shard->now_us - MIN(shard->now_us, shard->options.window_lookback_us);

    for (guint i = 0; i < draft->windows->len; i++) {
        const struct pgw_claim_window *window =
            &g_array_index(draft->windows, struct pgw_claim_window, i);

        if (window->owner != shard->options.owner) {
            from_us = MAX(from_us, window->to_us + 1);
        }
    }
    return MAX(from_us, shard->window_floor_us);
}

void
pgw_claim__window_draft(struct pgw_claim_shard *shard,
                        struct pgw_claim_object *draft)
{
    struct pgw_claim_window window = {
        .owner = shard->options.owner,
        .to_us = shard->now_us + shard->options.window_us,
    };

    for (guint i = draft->windows->len; i > 0; i--) {
        if (g_array_index(draft->windows, struct pgw_claim_window, i - 1)
                .owner == shard->options.owner) {
            g_array_remove_index_fast(draft->windows, i - 1);
        }
    }
    if (shard->options.window_us == 0 || shard->closing) {
        return;
    }
    window.from_us = first_free_us(shard, draft);
    if (window.from_us < window.to_us) {
        shard->window_floor_us = window.from_us;
        g_array_append_val(draft->windows, window);
    }
}
