#include "gateway/moving_average.h"

#include <glib.h>

/* Weight of a sample: about the last 16 count. The first ones weigh more, so
 * that a prior that is far off is left soon. */
#define WEIGHT_LEAST (1.0 / 16.0)
/* A sample counts as at most so many times what is believed, and as no less
 * than that part of it: one request that stood still for seconds must not
 * change what is expected of the next ones. */
#define OUTLIER_TIMES 4.0

void
pgw_moving_average_init(struct pgw_moving_average *estimate, double prior)
{
    *estimate = (struct pgw_moving_average){.value = prior};
}

void
pgw_moving_average_add(struct pgw_moving_average *estimate, double sample,
                       uint64_t now_us)
{
    double weight = 1.0 / (double)(estimate->samples + 2);

    if (!(sample > 0)) {
        return;
    }
    sample = CLAMP(sample, estimate->value / OUTLIER_TIMES,
                   estimate->value * OUTLIER_TIMES);
    estimate->value += MAX(weight, WEIGHT_LEAST) * (sample - estimate->value);
    estimate->samples++;
    estimate->at_us = now_us;
}
