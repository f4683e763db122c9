#ifndef PGW_GATEWAY_ROLLOUT_WINDOW_H
#define PGW_GATEWAY_ROLLOUT_WINDOW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Which engines of a pool load new weights now
 *
 * Pure decisions; every entry makes them alike from what the processes beside
 * the engines report. A few engines load at a time and the next one begins as
 * soon as one is done, so that the pace follows the time that a load takes
 * there: with groups that began every 0.4 s where a load takes 1.3 s half of
 * the engines loaded together, and a third of all requests was refused.
 */

/* Loads whose time is remembered. */
#define PGW_WEIGHTS_LOAD_TIMES_MAX 8

/**
 * struct pgw_weights_load_times - how long loads take here
 * @samples: the last ones, in microseconds
 * @count: number of @samples
 * @next: which one is replaced next
 */
struct pgw_weights_load_times {
    uint64_t samples[PGW_WEIGHTS_LOAD_TIMES_MAX];
    size_t count;
    size_t next;
};

/** pgw_weights_load_times_add() - an engine was away for a load for so long */
void pgw_weights_load_times_add(struct pgw_weights_load_times *pace,
                                uint64_t us);

/**
 * pgw_weights_load_times_expected_us() - time that the next load takes
 *
 * Return: the least of the last ones; 0: none was seen. Others had long runs
 * to end first, or loaded beside too many.
 */
uint64_t
pgw_weights_load_times_expected_us(const struct pgw_weights_load_times *pace);

/**
 * struct pgw_rollout_candidate - an engine of the pool
 * @place: its place in the order that all entries draw alike
 * @version: weights that it runs
 * @loading: it is away for a load, whichever version it loads
 * @context: the caller's
 * @go: out: it may begin
 * @next: out: it is about to be told to
 */
struct pgw_rollout_candidate {
    uint64_t place;
    uint64_t version;
    bool loading;
    void *context;
    bool go;
    bool next;
};

/**
 * struct pgw_rollout_window_options - thresholds
 * @share: engines that load at once, as a part of the pool
 */
struct pgw_rollout_window_options {
    double share;
};

/* A fifth: weights come slower to each where more load at once. */
#define PGW_ROLLOUT_WINDOW_OPTIONS_INIT                                       \
    {                                                                         \
        .share = 0.19                                                         \
    }

/**
 * pgw_rollout_window_size() - how many engines load at once
 * @options: thresholds
 * @count: engines of the pool
 *
 * Not more when time is short: engines that load share a link, so each takes
 * longer then, which makes time shorter still, until nobody serves.
 */
unsigned
pgw_rollout_window_size(const struct pgw_rollout_window_options *options,
                        unsigned count);

/**
 * pgw_rollout_window_select() - who may begin
 * @engines: those that can be reached; sorted in place
 * @count: number of @engines
 * @wanted: newest version
 * @options: thresholds
 *
 * Engines with the oldest weights go first: their time runs out first.
 *
 * Return: the size of the window, 0: all have loaded.
 */
unsigned
pgw_rollout_window_select(struct pgw_rollout_candidate *engines, size_t count,
                          uint64_t wanted,
                          const struct pgw_rollout_window_options *options);

/**
 * pgw_rollout_window_latest_start_us() - when an engine begins that nobody
 * tells to
 * @place: its place among the pool's, from 0 to 1
 * @left_us: until it may not be used any more with the weights that it has
 *
 * Failure: entries are gone or cut off while a version is rolled out. Symptom:
 * engines that wait for their word run old weights beyond the deployment's
 * bound. Each begins by itself once it is of no use, which costs the callers
 * nothing then. Sooner it would load beside those that were told to, and all
 * would take longer.
 *
 * Return: microseconds from now.
 */
uint64_t pgw_rollout_window_latest_start_us(double place, uint64_t left_us);

#endif
