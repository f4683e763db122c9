#ifndef PGW_GATEWAY_PLACEMENT_CANDIDATES_H
#define PGW_GATEWAY_PLACEMENT_CANDIDATES_H

#include "gateway/upstream/upstream_table.h"
#include "parsleygw/level.h"

/**
 * DOC: Upstreams of a pool that are evaluated for a request
 *
 * A small pool is evaluated whole. Of a large pool, or of one whose sidecars
 * report too rarely to entries of other zones, only a subset is: upstreams of
 * the entry's own availability zone, and if these are too many, the highest
 * ranked for the prompt and a random sample. Hence a choice costs the same
 * with 300 and with 10,000 upstreams, and an upstream's position in the list
 * does not matter.
 */

/* Limits the cost of one choice to a small part of an entry's work for a
 * request. */
#define PGW_CANDIDATES_MAX 128

/**
 * struct pgw_candidates - upstreams to evaluate
 * @items: the upstreams, rotated or sampled at random
 * @rank: rank of each for the prompt, %PGW_PLACE_RANK_MAX if not ranked
 * @count: number of @items
 * @home_count: how many of the first @items are homes of the prompt
 * @all: @items has all upstreams of the pool
 */
struct pgw_candidates {
    struct pgw_upstream *items[PGW_CANDIDATES_MAX];
    uint32_t rank[PGW_CANDIDATES_MAX];
    size_t count;
    size_t home_count;
    bool all;
};

/**
 * enum pgw_candidates_scope - zones that candidates are taken from
 * @PGW_CANDIDATES_LOCAL_ZONE: the entry's own zone, if the pool is large and
 *   the zone has enough upstreams; else all zones
 * @PGW_CANDIDATES_ALL_ZONES: all zones; used when no candidate of the local
 *   zone can take the request
 */
enum pgw_candidates_scope {
    PGW_CANDIDATES_LOCAL_ZONE,
    PGW_CANDIDATES_ALL_ZONES,
};

/* Homes of a prompt: the highest ranked upstreams of a pool that is not
 * evaluated whole. */
#define PGW_HOMES_MAX 4

/**
 * struct pgw_homes - engines where entries of all zones look for a prompt's
 * parts
 * @items: the highest ranked upstreams of the whole pool
 * @count: number of @items
 */
struct pgw_homes {
    struct pgw_upstream *items[PGW_HOMES_MAX];
    size_t count;
};

/**
 * pgw_homes_pick() - find the homes of a prompt
 * @out: receives the homes; none if the pool is evaluated whole
 * @pool: upstreams of the service
 * @chain: shared parts of the prompt
 * @count: maximum number of homes, %PGW_HOMES_MAX at most
 * @now_us: monotonic time
 */
void pgw_homes_pick(struct pgw_homes *out,
                    const struct pgw_upstream_pool *pool,
                    const struct pgw_level_chain *chain, size_t count,
                    uint64_t now_us);

/**
 * pgw_candidates_pick() - collect the upstreams to evaluate for a request
 * @out: receives the candidates
 * @pool: upstreams of the service
 * @scope: zones to take them from
 * @homes: homes of the prompt, added first and with the first ranks; NULL:
 *   none
 * @chain: shared parts of the prompt; NULL: a plain call
 * @avoided: engines of this lane are not ranked for the prompt;
 *   %PGW_LANE_NONE: all are
 * @random: seed of the sample; the same seed gives the same candidates
 * @now_us: monotonic time
 */
void pgw_candidates_pick(struct pgw_candidates *out,
                         const struct pgw_upstream_pool *pool,
                         enum pgw_candidates_scope scope,
                         const struct pgw_homes *homes,
                         const struct pgw_level_chain *chain,
                         enum pgw_lane avoided, uint64_t random,
                         uint64_t now_us);

#endif
