#include "claim_shard.h"

bool
pgw_claim__window_is_mine(const struct pgw_claim_shard *shard,
                          uint64_t created_us)
{
    const struct pgw_claim_window *window =
        pgw_claim__object_window(shard->base, shard->options.owner);

    /*
     * A write that gives up the window's older part may have taken effect
     * although its answer is out: only what every asked-for window covers is
     * certainly still this process's own.
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
     * Failure: the owner of a window ran keys from memory while the store was
     * down, and died. Symptom: nothing is recorded, so the next process runs
     * them again. Nobody but the owner's own incarnation may decide a key of
     * its window, so an unrecorded one is "unknown" to all others for good.
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

/* Two windows must not overlap, or two processes would decide one key. */
static uint64_t
first_free(const struct pgw_claim_shard *shard,
           const struct pgw_claim_object *draft)
{
    uint64_t from =
        shard->now_us - MIN(shard->now_us, shard->options.window_back_us);

    for (guint i = 0; i < draft->windows->len; i++) {
        const struct pgw_claim_window *window =
            &g_array_index(draft->windows, struct pgw_claim_window, i);

        if (window->owner != shard->options.owner) {
            from = MAX(from, window->to_us + 1);
        }
    }
    return MAX(from, shard->window_floor_us);
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
    window.from_us = first_free(shard, draft);
    if (window.from_us < window.to_us) {
        shard->window_floor_us = window.from_us;
        g_array_append_val(draft->windows, window);
    }
}
