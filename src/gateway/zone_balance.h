#ifndef PGW_GATEWAY_ZONE_BALANCE_H
#define PGW_GATEWAY_ZONE_BALANCE_H

#include "util/list.h"
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Whether the engines of a zone bear what comes to it
 *
 * Zones have engines alike, but callers are not spread alike. An entry whose
 * own zone is clearly busier than the others must go on weighing all engines,
 * however old their reports: otherwise its callers wait while engines next
 * door are idle.
 */

/**
 * struct pgw_zone_balance - moving means, as shares of the engines' places
 * @near: load of the own zone's engines
 * @far: load of those in other zones, of which reports and answers are known
 * @samples: how many looks these rest on
 */
struct pgw_zone_balance {
    double near;
    double far;
    unsigned samples;
};

/** pgw_zone_balance_look() - look at a table's upstreams; call it every half
 * second */
void pgw_zone_balance_look(struct pgw_zone_balance *balance,
                           const struct pgw_list *upstreams, uint64_t now_us);

/** pgw_zone_balance_note() - one look */
void pgw_zone_balance_note(struct pgw_zone_balance *balance, double near,
                           double far);

/** pgw_zone_balance_is_even() - the own zone may be weighed alone; @was: it is
 * now */
bool pgw_zone_balance_is_even(const struct pgw_zone_balance *balance,
                              bool was);

#endif
