#include "gateway/sidecar/rollout_window.h"
#include <glib.h>
#include <stdlib.h>

/* Engines that were never selected start loading between these multiples of
 * the time for which their weights are usable. */
#define UNSELECTED_START_FIRST 1.0
#define UNSELECTED_START_LAST 1.05
/* Share of the time for which old weights are usable that undisturbed loads
 * may take. */
#define UNDISTURBED_SHARE 0.5

void
pgw_weights_load_times_add(struct pgw_weights_load_times *times, uint64_t us)
{
    times->samples[times->next] = us;
    times->next = (times->next + 1) % PGW_WEIGHTS_LOAD_TIMES_MAX;
    times->count = MIN(times->count + 1, PGW_WEIGHTS_LOAD_TIMES_MAX);
}

uint64_t
pgw_weights_load_times_expected_us(const struct pgw_weights_load_times *times)
{
    uint64_t shortest_us = 0;

    for (size_t i = 0; i < times->count; i++) {
        if (shortest_us == 0 || times->samples[i] < shortest_us) {
            shortest_us = times->samples[i];
        }
    }
    return shortest_us;
}

/* The window with which undisturbed loads end in time. */
static double
size_in_time(const struct pgw_rollout_window_options *options, unsigned count)
{
    return options->usable_us == 0
               ? 0
               : (double)count * (double)options->load_us /
                     ((double)options->usable_us * UNDISTURBED_SHARE);
}

unsigned
pgw_rollout_window_size(const struct pgw_rollout_window_options *options,
                        unsigned count)
{
    unsigned size = (unsigned)((double)count * options->loading_share + 0.5);
    double size_max = (double)count * options->loading_share_max;
    double in_time = MIN(size_in_time(options, count), size_max);

    return MAX(MAX(size, (unsigned)in_time), 1);
}

static int
compare_engines(const void *left, const void *right)
{
    const struct pgw_rollout_candidate *a = left;
    const struct pgw_rollout_candidate *b = right;

    if (a->version != b->version) {
        return a->version < b->version ? -1 : 1;
    }
    return a->rank < b->rank ? -1 : a->rank > b->rank;
}

unsigned
pgw_rollout_window_select(struct pgw_rollout_candidate *engines, size_t count,
                          uint64_t target_version,
                          const struct pgw_rollout_window_options *options)
{
    unsigned pending = 0;
    unsigned loading = 0;
    unsigned next = 0;
    unsigned size;

    for (size_t i = 0; i < count; i++) {
        pending += engines[i].version < target_version;
        loading += engines[i].loading;
    }
    if (pending == 0) {
        return 0;
    }
    size = pgw_rollout_window_size(options, (unsigned)count);
    qsort(engines, count, sizeof(engines[0]), compare_engines);
    for (size_t i = 0; i < count; i++) {
        engines[i].may_start = false;
        engines[i].starts_next = false;
        if (engines[i].version >= target_version || engines[i].loading) {
            continue;
        }
        if (loading < size) {
            engines[i].may_start = true;
            loading++;
        }
        else if (next < size) {
            engines[i].starts_next = true;
            next++;
        }
    }
    return size;
}

uint64_t
pgw_rollout_window_latest_start_us(double rank_fraction,
                                   uint64_t usable_for_us)
{
    return (uint64_t)((double)usable_for_us *
                      (UNSELECTED_START_FIRST +
                       (UNSELECTED_START_LAST - UNSELECTED_START_FIRST) *
                           rank_fraction));
}
