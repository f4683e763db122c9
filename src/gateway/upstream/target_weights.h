#ifndef PGW_GATEWAY_UPSTREAM_TARGET_WEIGHTS_H
#define PGW_GATEWAY_UPSTREAM_TARGET_WEIGHTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Announced versions of a model's weights
 *
 * A version may be announced before the previous one is loaded everywhere, and
 * each version has its own deadline by which engines must run it or a newer
 * one. So the announcement time of each is kept, not just of the newest.
 */

/* Versions whose deadline may not have passed yet: covers ten seconds with one
 * version per second. */
#define PGW_TARGET_WEIGHTS_MAX 10

/**
 * struct pgw_target_version - one announced version
 * @version: its number
 * @announced_at_us: when it was announced at the earliest, in monotonic time
 * @received_at_us: when this process received it
 */
struct pgw_target_version {
    uint64_t version;
    uint64_t announced_at_us;
    uint64_t received_at_us;
};

/**
 * struct pgw_target_weights - the announced versions of one model, ascending
 * @versions: the most recent ones
 * @count: number of @versions
 */
struct pgw_target_weights {
    struct pgw_target_version versions[PGW_TARGET_WEIGHTS_MAX];
    size_t count;
};

/**
 * pgw_target_weights_add() - add an announced version
 * @weights: versions of its model
 * @version: its number
 * @announced_at_us: when it was announced at the earliest, in monotonic time
 * @received_at_us: when this process received it
 *
 * Return: true if it is newer than all others; false: it was ignored.
 */
bool pgw_target_weights_add(struct pgw_target_weights *weights,
                            uint64_t version, uint64_t announced_at_us,
                            uint64_t received_at_us);

/** pgw_target_weights_next() - the first announced version that is newer than
 * @version, NULL: none */
const struct pgw_target_version *
pgw_target_weights_next(const struct pgw_target_weights *weights,
                        uint64_t version);

/** pgw_target_weights_newest() - the newest announced version, 0: none */
uint64_t pgw_target_weights_newest(const struct pgw_target_weights *weights);

/**
 * pgw_target_weights_oldest_usable() - the oldest version that may still be
 * used
 * @weights: versions of the model
 * @limit_us: how long older versions may be used after the announcement of a
 *   version
 * @now_us: monotonic time
 *
 * Return: the version; 0: all versions are usable.
 */
uint64_t
pgw_target_weights_oldest_usable(const struct pgw_target_weights *weights,
                                 uint64_t limit_us, uint64_t now_us);

/**
 * pgw_target_weights_oldest_preferred() - the oldest version that is not worth
 * less than newer ones
 * @weights: versions of the model
 * @grace_us: how long older versions are worth as much after the receipt of a
 *   version. All processes receive it at about the same time, but know with
 *   different precision how long ago it was announced
 * @now_us: monotonic time
 *
 * Return: the version; 0: all versions are worth the same.
 */
uint64_t
pgw_target_weights_oldest_preferred(const struct pgw_target_weights *weights,
                                    uint64_t grace_us, uint64_t now_us);

/** pgw_target_weights_next_end_us() - when older weights stop being usable
 * next, after @now_us; 0: they do not */
uint64_t
pgw_target_weights_next_end_us(const struct pgw_target_weights *weights,
                               uint64_t limit_us, uint64_t now_us);

/**
 * pgw_target_weights_usable_for_us() - how long an engine may still be used
 * @weights: versions of its model
 * @version: version that it runs
 * @limit_us: as above
 * @now_us: monotonic time
 *
 * Return: microseconds; %UINT64_MAX when its version is the newest.
 */
uint64_t
pgw_target_weights_usable_for_us(const struct pgw_target_weights *weights,
                                 uint64_t version, uint64_t limit_us,
                                 uint64_t now_us);

#endif
