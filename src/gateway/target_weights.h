#ifndef PGW_GATEWAY_TARGET_WEIGHTS_H
#define PGW_GATEWAY_TARGET_WEIGHTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Versions of a model's weights that were named
 *
 * A version may be named before the one before it is in place everywhere, and
 * the time in which engines have to follow runs for each on its own. So the
 * time of each is kept, not that of the newest alone.
 */

/* Versions whose time may still run; ten seconds with one each second. */
#define PGW_TARGET_WEIGHTS_MAX 10

/**
 * struct pgw_target_version - one version
 * @version: its number
 * @at_us: when it was named
 */
struct pgw_target_version {
    uint64_t version;
    uint64_t at_us;
};

/**
 * struct pgw_target_weights - the versions of one model, ascending
 * @named: the last ones
 * @count: number of @named
 */
struct pgw_target_weights {
    struct pgw_target_version named[PGW_TARGET_WEIGHTS_MAX];
    size_t count;
};

/**
 * pgw_target_weights_add() - a version was named
 * @weights: of its model
 * @version: its number
 * @at_us: when it was named
 *
 * Return: whether it is newer than all before.
 */
bool pgw_target_weights_add(struct pgw_target_weights *weights,
                            uint64_t version, uint64_t at_us);

/** pgw_target_weights_newest() - the newest version, 0: none was named */
uint64_t pgw_target_weights_newest(const struct pgw_target_weights *weights);

/**
 * pgw_target_weights_oldest_usable() - the oldest version that may still be
 * used
 * @weights: of the model
 * @limit_us: for how long older ones may be used after a version was named
 * @now_us: monotonic time
 *
 * Return: the version, 0: any.
 */
uint64_t
pgw_target_weights_oldest_usable(const struct pgw_target_weights *weights,
                                 uint64_t limit_us, uint64_t now_us);

/**
 * pgw_target_weights_usable_for_us() - how long an engine may still be used
 * @weights: of its model
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
