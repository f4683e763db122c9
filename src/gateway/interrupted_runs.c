#include "gateway/interrupted_runs.h"

/* A rack failure of 40 engines with 64 runs each stays below it. */
#define RUNS_MAX 4096

void
pgw_interrupted_runs_init(struct pgw_interrupted_runs *runs,
                          uint64_t lifetime_us)
{
    runs->items =
        g_array_new(FALSE, FALSE, sizeof(struct pgw_interrupted_run));
    runs->lifetime_us = lifetime_us;
}

void
pgw_interrupted_runs_dispose(struct pgw_interrupted_runs *runs)
{
    g_array_unref(runs->items);
}

struct pgw_interrupted_run *
pgw_interrupted_runs_at(const struct pgw_interrupted_runs *runs, guint index)
{
    return &g_array_index(runs->items, struct pgw_interrupted_run, index);
}

guint
pgw_interrupted_runs_expire(struct pgw_interrupted_runs *runs, uint64_t now_us)
{
    guint expired = 0;

    while (expired < runs->items->len &&
           pgw_interrupted_runs_at(runs, expired)->at_us + runs->lifetime_us <=
               now_us) {
        expired++;
    }
    g_array_remove_range(runs->items, 0, expired);
    return expired;
}

void
pgw_interrupted_runs_add(struct pgw_interrupted_runs *runs,
                         const struct pgw_interrupted_run *run)
{
    if (runs->items->len >= RUNS_MAX) {
        g_array_remove_index(runs->items, 0);
    }
    g_array_append_vals(runs->items, run, 1);
}

struct pgw_interrupted_run *
pgw_interrupted_runs_find(const struct pgw_interrupted_runs *runs,
                          const struct pgw_fingerprint *fingerprint,
                          uint64_t crash)
{
    for (guint i = 0; i < runs->items->len; i++) {
        struct pgw_interrupted_run *run = pgw_interrupted_runs_at(runs, i);

        if (run->crash == crash &&
            pgw_fingerprint_equal(&run->fingerprint, fingerprint)) {
            return run;
        }
    }
    return NULL;
}

bool
pgw_interrupted_runs_clear(struct pgw_interrupted_runs *runs,
                           const struct pgw_fingerprint *fingerprint)
{
    bool was_published = false;

    for (guint i = 0; i < runs->items->len; i++) {
        struct pgw_interrupted_run *run = pgw_interrupted_runs_at(runs, i);

        if (!run->cleared &&
            pgw_fingerprint_equal(&run->fingerprint, fingerprint)) {
            run->cleared = true;
            was_published |= run->published;
        }
    }
    return was_published;
}
