#ifndef PGW_GATEWAY_MOVING_AVERAGE_H
#define PGW_GATEWAY_MOVING_AVERAGE_H

#include <stdint.h>

/**
 * DOC: Quantities that are learnt from what is observed
 *
 * A moving mean that begins with a stated prior. One odd sample moves it
 * little; a lasting change is followed within some ten samples. Silence
 * changes nothing: the last regime is the best guess for the next one.
 */

/**
 * struct pgw_moving_average - one quantity
 * @value: what is believed
 * @samples: how many it rests on
 * @at_us: when the last one came, 0: none has
 */
struct pgw_moving_average {
    double value;
    uint64_t samples;
    uint64_t at_us;
};

/** pgw_moving_average_init() - nothing is known but a prior above 0 */
void pgw_moving_average_init(struct pgw_moving_average *estimate,
                             double prior);

/** pgw_moving_average_add() - it was observed; what is not above 0 says
 * nothing */
void pgw_moving_average_add(struct pgw_moving_average *estimate, double sample,
                            uint64_t now_us);

#endif
