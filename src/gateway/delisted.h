#ifndef PGW_GATEWAY_DELISTED_H
#define PGW_GATEWAY_DELISTED_H

#include "gateway/upstream_table.h"

/**
 * DOC: Upstreams that vanish from the list without having said that they leave
 *
 * Failure: the list loses the lines of upstreams that live, because their
 * heartbeats did not reach it while its store was away. Symptom: all requests
 * are refused until the lines are written again. So such an upstream is used
 * for some time more, which is shorter than the one for which one that really
 * leaves goes on serving. The time runs for each from its own end: others that
 * vanish later don't prolong it.
 */

/**
 * struct pgw_delisted_options - for how long a vanished upstream is used
 * @single_grace_us: when it is the only one or one of a few
 * @mass_grace_us: when more than a quarter vanished: the list may be wrong
 * @store_recovery_grace_us: when the store has just come back: living ones are
 * in the list again within two seconds
 */
struct pgw_delisted_options {
    uint64_t single_grace_us;
    uint64_t mass_grace_us;
    uint64_t store_recovery_grace_us;
};

/**
 * pgw_delisted_add() - an upstream is no longer in the list
 * @table: its table
 * @upstream: one that did not say that it leaves
 * @in_trouble: the store was away a moment ago
 * @options: times
 * @now_us: monotonic time
 */
void pgw_delisted_add(struct pgw_upstream_table *table,
                      struct pgw_upstream *upstream, bool in_trouble,
                      const struct pgw_delisted_options *options,
                      uint64_t now_us);

/**
 * pgw_delisted_sweep() - remove those whose time is over
 *
 * Return: whether there were any.
 */
bool pgw_delisted_sweep(struct pgw_upstream_table *table, uint64_t now_us);

#endif
