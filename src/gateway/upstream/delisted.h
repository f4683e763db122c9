#ifndef PGW_GATEWAY_UPSTREAM_DELISTED_H
#define PGW_GATEWAY_UPSTREAM_DELISTED_H

#include "gateway/upstream/upstream_table.h"

/**
 * DOC: Upstreams that vanish from the list without having announced a drain
 *
 * Failure: the list loses the records of upstreams that are alive, because
 * their heartbeats did not reach the store while it was down. Symptom: all
 * requests are refused until the records are written again. So a delisted
 * upstream stays usable for a grace period. The period is shorter than the
 * time for which an upstream that really drains continues to serve. It starts
 * with the upstream's own delisting; a later delisting of others does not
 * restart it.
 */

/**
 * struct pgw_delisted_options - grace periods
 * @single_grace_us: if few upstreams are delisted
 * @mass_grace_us: if more than a quarter of all upstreams are delisted, so
 *   that the list may be wrong
 * @store_recovery_grace_us: if the store has just recovered; upstreams that
 *   are alive are listed again within two seconds
 */
struct pgw_delisted_options {
    uint64_t single_grace_us;
    uint64_t mass_grace_us;
    uint64_t store_recovery_grace_us;
};

/**
 * pgw_delisted_add() - start the grace period of an upstream that vanished
 * from the list
 * @table: table of the upstream
 * @upstream: upstream that has not announced a drain
 * @store_recovering: the store was down a moment ago
 * @options: grace periods
 * @now_us: monotonic time
 */
void pgw_delisted_add(struct pgw_upstream_table *table,
                      struct pgw_upstream *upstream, bool store_recovering,
                      const struct pgw_delisted_options *options,
                      uint64_t now_us);

/**
 * pgw_delisted_sweep() - remove upstreams whose grace period has ended
 *
 * Return: whether any were removed.
 */
bool pgw_delisted_sweep(struct pgw_upstream_table *table, uint64_t now_us);

#endif
