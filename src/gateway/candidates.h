#ifndef PGW_GATEWAY_CANDIDATES_H
#define PGW_GATEWAY_CANDIDATES_H

#include "gateway/upstream_table.h"
#include "parsleygw/level.h"

/**
 * DOC: Which upstreams of a pool are weighed for a request
 *
 * A small pool is weighed whole. Of a large one, and of one whose sidecars
 * would report too rarely to entries of other zones, only some are: those of
 * the entry's own availability zone, and of these the first ones in rank for
 * the prompt and a few drawn by lot. So a choice costs the same among 300 and
 * 10,000 upstreams, and no upstream is left out for its place in the list.
 */

/* Most upstreams that one choice weighs: it then takes a small part of what an
 * entry needs for a whole request. */
#define PGW_CANDIDATES_MAX 128

/**
 * struct pgw_candidates - upstreams to weigh
 * @items: these; the order between equals is the draw's
 * @rank: rank of each for the prompt, %PGW_PLACE_RANK_MAX for the rest
 * @count: number of @items
 * @home_count: how many of the first are homes of the prompt
 * @all: no upstream of the pool is missing
 */
struct pgw_candidates {
    struct pgw_upstream *items[PGW_CANDIDATES_MAX];
    uint32_t rank[PGW_CANDIDATES_MAX];
    size_t count;
    size_t home_count;
    bool all;
};

/**
 * enum pgw_candidates_scope - where candidates are looked for
 * @PGW_CANDIDATES_LOCAL_ZONE: in the entry's own zone, if the pool is large
 * and the zone has a fair number
 * @PGW_CANDIDATES_ALL_ZONES: in all zones: nobody nearby could take it
 */
enum pgw_candidates_scope {
    PGW_CANDIDATES_LOCAL_ZONE,
    PGW_CANDIDATES_ALL_ZONES,
};

/* Homes of a prompt: the first in rank of a pool that is not weighed whole. */
#define PGW_HOMES_MAX 4

/**
 * struct pgw_homes - where entries of all zones look for a prompt's parts
 * @items: the first in rank of the whole pool
 * @count: number of @items
 */
struct pgw_homes {
    struct pgw_upstream *items[PGW_HOMES_MAX];
    size_t count;
};

/**
 * pgw_homes_pick() - the homes of a prompt
 * @out: receives them; none where the pool is weighed whole
 * @pool: upstreams of the service
 * @chain: shared parts of the prompt
 * @count: how many, %PGW_HOMES_MAX at most
 * @now_us: monotonic time
 */
void pgw_homes_pick(struct pgw_homes *out,
                    const struct pgw_upstream_pool *pool,
                    const struct pgw_level_chain *chain, size_t count,
                    uint64_t now_us);

/**
 * pgw_candidates_pick() - upstreams to weigh for one request
 * @out: receives them
 * @pool: upstreams of the service
 * @from: where to look
 * @homes: weighed beside the own zone, before it in rank; NULL: none
 * @chain: shared parts of the prompt; NULL: a plain call
 * @random: the draw; the same one gives the same candidates
 * @now_us: monotonic time
 */
void pgw_candidates_pick(struct pgw_candidates *out,
                         const struct pgw_upstream_pool *pool,
                         enum pgw_candidates_scope from,
                         const struct pgw_homes *homes,
                         const struct pgw_level_chain *chain, uint64_t random,
                         uint64_t now_us);

#endif
