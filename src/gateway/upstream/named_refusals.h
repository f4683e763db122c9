#ifndef PGW_GATEWAY_UPSTREAM_NAMED_REFUSALS_H
#define PGW_GATEWAY_UPSTREAM_NAMED_REFUSALS_H

#include <stdbool.h>

/**
 * struct pgw_named_refusals - statuses with which an upstream has refused
 * requests by name
 * @statuses: such statuses
 * @count: number of @statuses
 * @some_are_unnamed: it has also refused one without a name
 */
struct pgw_named_refusals {
    unsigned short statuses[4];
    unsigned char count;
    bool some_are_unnamed;
};

/** pgw_named_refusals_add() - an upstream has refused a request by name */
void pgw_named_refusals_add(struct pgw_named_refusals *refusals,
                            unsigned status);

/** pgw_named_refusals_contains() - whether it has done so with a status */
bool pgw_named_refusals_contains(const struct pgw_named_refusals *refusals,
                                 unsigned status);

#endif
