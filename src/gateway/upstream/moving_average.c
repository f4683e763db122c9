#include "gateway/upstream/moving_average.h"

#include <glib.h>

/* Minimum weight of a sample, which averages about the last 16. The first
 * samples weigh more, so that a wrong prior is soon replaced. */
#define MIN_WEIGHT (1.0 / 16.0)
/* Samples are clamped to the current value times or divided by this factor: a
 * single request that hung for seconds must not change the estimate for the
 * next ones. */
#define OUTLIER_FACTOR 4.0

void
pgw_moving_average_init(struct pgw_moving_average *average, double prior)
{
    *average = (struct pgw_moving_average){.value = prior};
}

void
pgw_moving_average_add(struct pgw_moving_average *average, double sample,
                       uint64_t now_us)
{
    double weight = 1.0 / (double)(average->samples + 2);

    if (!(sample > 0)) {
        return;
    }
    sample = CLAMP(sample, average->value / OUTLIER_FACTOR,
                   average->value * OUTLIER_FACTOR);
    average->value += MAX(weight, MIN_WEIGHT) * (sample - average->value);
    average->samples++;
    average->at_us = now_us;
}
