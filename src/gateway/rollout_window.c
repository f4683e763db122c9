#include "gateway/rollout_window.h"
#include <glib.h>
#include <stdlib.h>

/* When the first and the last engine begin that are told nothing, as parts of
 * the time that is left. */
#define LATEST_FIRST 1.0
#define LATEST_LAST 1.15

void
pgw_weights_load_times_add(struct pgw_weights_load_times *pace, uint64_t us)
{
    pace->samples[pace->next] = us;
    pace->next = (pace->next + 1) % PGW_WEIGHTS_LOAD_TIMES_MAX;
    pace->count = MIN(pace->count + 1, PGW_WEIGHTS_LOAD_TIMES_MAX);
}

uint64_t
pgw_weights_load_times_expected_us(const struct pgw_weights_load_times *pace)
{
    uint64_t least = 0;

    for (size_t i = 0; i < pace->count; i++) {
        if (least == 0 || pace->samples[i] < least) {
            least = pace->samples[i];
        }
    }
    return least;
}

unsigned
pgw_rollout_window_size(const struct pgw_rollout_window_options *options,
                        unsigned count)
{
    unsigned usual = (unsigned)((double)count * options->share + 0.5);

    return MAX(usual, 1);
}

static int
compare_engines(const void *left, const void *right)
{
    const struct pgw_rollout_candidate *a = left;
    const struct pgw_rollout_candidate *b = right;

    if (a->version != b->version) {
        return a->version < b->version ? -1 : 1;
    }
    return a->place < b->place ? -1 : a->place > b->place;
}

unsigned
pgw_rollout_window_select(struct pgw_rollout_candidate *engines, size_t count,
                          uint64_t wanted,
                          const struct pgw_rollout_window_options *options)
{
    unsigned pending = 0;
    unsigned loading = 0;
    unsigned next = 0;
    unsigned size;

    for (size_t i = 0; i < count; i++) {
        pending += engines[i].version < wanted;
        loading += engines[i].loading;
    }
    if (pending == 0) {
        return 0;
    }
    size = pgw_rollout_window_size(options, (unsigned)count);
    qsort(engines, count, sizeof(engines[0]), compare_engines);
    for (size_t i = 0; i < count; i++) {
        engines[i].go = false;
        engines[i].next = false;
        if (engines[i].version >= wanted || engines[i].loading) {
            continue;
        }
        if (loading < size) {
            engines[i].go = true;
            loading++;
        }
        else if (next < size) {
            engines[i].next = true;
            next++;
        }
    }
    return size;
}

uint64_t
pgw_rollout_window_latest_start_us(double place, uint64_t left_us)
{
    return (uint64_t)((double)left_us *
                      (LATEST_FIRST + (LATEST_LAST - LATEST_FIRST) * place));
}
