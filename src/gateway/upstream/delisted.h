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
 *
 * An entry cannot tell whether the store was down or only its own path to it.
 * In the second case the list was right all the time, and a delisting that the
 * entry has missed may be as old as the disruption: it gets no grace period.
 * What tells the first case is that a service has lost many upstreams that no
 * others replace.
 */

/**
 * struct pgw_delisted_bounds - bounds of the deployment
 * @drain_us: how long an upstream that leaves continues to serve
 * @heard_us: how late the entry hears of a delisting
 */
struct pgw_delisted_bounds {
    uint64_t drain_us;
    uint64_t heard_us;
};

/**
 * struct pgw_delisted_options - grace periods
 * @single_grace_us: if few upstreams are delisted
 * @mass_grace_us: if more than a quarter of all upstreams are delisted, so
 *   that the list may be wrong
 * @recovering_us: how long after a failure records may still vanish from the
 *   list although their upstreams are alive
 * @relist_us: how long after the end of a disruption these are listed again
 */
struct pgw_delisted_options {
    uint64_t single_grace_us;
    uint64_t mass_grace_us;
    uint64_t recovering_us;
    uint64_t relist_us;
};

/** pgw_delisted_options_init() - grace periods that keep the bounds */
void pgw_delisted_options_init(struct pgw_delisted_options *out,
                               const struct pgw_delisted_bounds *bounds);

/**
 * struct pgw_list_disruption - the last disruption of this process's list;
 * times are monotonic
 * @began_us: when the first request began that failed, 0: none did
 * @failed_us: when the last one failed
 * @ended_us: when the first valid response arrived after it, 0: none has
 * @is_catching_up: the changes that are passed on now were missed meanwhile,
 *   and may be old
 */
struct pgw_list_disruption {
    uint64_t began_us;
    uint64_t failed_us;
    uint64_t ended_us;
    bool is_catching_up;
};

/** pgw_list_is_recovering() - the list was disrupted a moment ago, so records
 * that it lacks may be of upstreams that are alive */
bool pgw_list_is_recovering(const struct pgw_list_disruption *disruption,
                            const struct pgw_delisted_options *options,
                            uint64_t now_us);

/**
 * pgw_delisted_add() - start the grace period of an upstream that vanished
 * from the list
 * @table: table of the upstream
 * @upstream: upstream that has not announced a drain
 * @disruption: the list's last disruption
 * @options: grace periods
 * @now_us: monotonic time
 */
void pgw_delisted_add(struct pgw_upstream_table *table,
                      struct pgw_upstream *upstream,
                      const struct pgw_list_disruption *disruption,
                      const struct pgw_delisted_options *options,
                      uint64_t now_us);

/**
 * pgw_delisted_sweep() - remove upstreams whose grace period has ended
 *
 * Return: whether any were removed.
 */
bool pgw_delisted_sweep(struct pgw_upstream_table *table, uint64_t now_us);

#endif
