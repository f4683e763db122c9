#ifndef PGW_GATEWAY_SIDECAR_ROLLOUT_WINDOW_H
#define PGW_GATEWAY_SIDECAR_ROLLOUT_WINDOW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Which engines of a pool load new weights now
 *
 * Pure functions. All entries decide alike, from what the sidecars report. A
 * limited number of engines loads at once, and the next one starts as soon as
 * one has finished, so the pace follows the loading time of the deployment.
 * Starting a new group every 0.4 s with 1.3 s loads left half of the pool
 * loading and a third of requests refused.
 */

/* Number of loading times that are kept. */
#define PGW_WEIGHTS_LOAD_TIMES_MAX 8

/**
 * struct pgw_weights_load_times - recent loading times of the deployment
 * @samples: the most recent ones, in microseconds
 * @count: number of @samples
 * @next: index of the sample that is replaced next
 */
struct pgw_weights_load_times {
    uint64_t samples[PGW_WEIGHTS_LOAD_TIMES_MAX];
    size_t count;
    size_t next;
};

/** pgw_weights_load_times_add() - record how long an engine was unavailable
 * while it loaded */
void pgw_weights_load_times_add(struct pgw_weights_load_times *times,
                                uint64_t us);

/**
 * pgw_weights_load_times_expected_us() - expected duration of the next load
 *
 * Return: the shortest recent loading time; 0 without any. Longer ones include
 * the end of long runs, or a link shared with more loads than usual.
 */
uint64_t
pgw_weights_load_times_expected_us(const struct pgw_weights_load_times *times);

/**
 * struct pgw_rollout_candidate - an engine of the pool
 * @rank: position in the loading order, which all entries compute alike
 * @version: version that it runs
 * @loading: it is loading weights, of whichever version
 * @context: caller's data
 * @may_start: output: it may start loading
 * @starts_next: output: it is among the next ones to start
 */
struct pgw_rollout_candidate {
    uint64_t rank;
    uint64_t version;
    bool loading;
    void *context;
    bool may_start;
    bool starts_next;
};

/**
 * struct pgw_rollout_window_options - thresholds
 * @loading_share: share of the pool that loads at once
 * @loading_share_max: the same where loads take long
 * @load_us: expected duration of an undisturbed load, 0: not known
 * @usable_us: how long old weights may be used after a newer version was
 *   announced, 0: not known
 */
struct pgw_rollout_window_options {
    double loading_share;
    double loading_share_max;
    uint64_t load_us;
    uint64_t usable_us;
};

/* About a fifth: engines that load at once share bandwidth, so each load takes
 * longer with more of them. */
#define PGW_ROLLOUT_WINDOW_OPTIONS_INIT                                       \
    {                                                                         \
        .loading_share = 0.19, .loading_share_max = 0.25                      \
    }

/**
 * pgw_rollout_window_size() - number of engines that load at once
 * @options: thresholds
 * @count: number of engines in the pool
 *
 * Failure: undisturbed loads alone take as long as old weights may be used.
 * Symptom: engines that are slow while the last ones load keep old weights
 * beyond the deployment's limit. The window is larger where undisturbed loads
 * would take more than half of that time.
 *
 * It does not grow when time runs short: engines that load share a link, so
 * each load would take longer, which leaves less time still, until no engine
 * serves.
 *
 * Return: at least 1.
 */
unsigned
pgw_rollout_window_size(const struct pgw_rollout_window_options *options,
                        unsigned count);

/**
 * pgw_rollout_window_select() - select the engines that may start loading
 * @engines: the reachable engines; sorted in place
 * @count: number of @engines
 * @target_version: newest version
 * @options: thresholds
 *
 * Engines with the oldest weights start first, as theirs expire first.
 *
 * Return: the size of the window, 0: all engines run @target_version.
 */
unsigned
pgw_rollout_window_select(struct pgw_rollout_candidate *engines, size_t count,
                          uint64_t target_version,
                          const struct pgw_rollout_window_options *options);

/**
 * pgw_rollout_window_latest_start_us() - when an engine starts loading without
 * being selected
 * @rank_fraction: its rank in the pool, from 0 to 1
 * @usable_for_us: time until its current weights may no longer be used
 *
 * Failure: entries are down or partitioned off during a rollout. Symptom:
 * engines that wait to be selected keep old weights beyond the deployment's
 * limit. Each engine therefore starts by itself once its weights may no longer
 * be used, when it serves no requests anyway. An earlier start would overlap
 * with the loads of selected engines and make all of them slower.
 *
 * Return: microseconds from now.
 */
uint64_t pgw_rollout_window_latest_start_us(double rank_fraction,
                                            uint64_t usable_for_us);

#endif
