#ifndef PGW_GATEWAY_UPSTREAM_MOVING_AVERAGE_H
#define PGW_GATEWAY_UPSTREAM_MOVING_AVERAGE_H

#include <stdint.h>

/**
 * DOC: Moving averages of observed quantities
 *
 * An average starts from a prior. A single outlier has little effect, and a
 * lasting change is followed within about ten samples. Without samples the
 * value does not change, because the last one is the best estimate of the
 * next.
 */

/**
 * struct pgw_moving_average - average of one quantity
 * @value: current estimate
 * @samples: number of samples
 * @at_us: time of the last sample, 0: none
 */
struct pgw_moving_average {
    double value;
    uint64_t samples;
    uint64_t at_us;
};

/** pgw_moving_average_init() - start from a prior, which must be above 0 */
void pgw_moving_average_init(struct pgw_moving_average *average, double prior);

/** pgw_moving_average_add() - add a sample; samples that are not above 0 are
 * ignored */
void pgw_moving_average_add(struct pgw_moving_average *average, double sample,
                            uint64_t now_us);

#endif
