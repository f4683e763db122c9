#include "gateway/candidates.h"
#include "parsleygw/place.h"
#include <xxhash.h>

/* An own zone with fewer upstreams than this is not looked at alone: a few
 * that are busy or failing would send every request to the second look. */
#define NEAR_MIN 8
/* Drawn for a plain call: the shortest queue of so many is hardly longer than
 * the shortest of all, and entries that decide at the same moment on the same
 * reports do not all go to one upstream. */
#define DRAWN_PLAIN 16
/* Drawn for a prompt beside the first in rank: when those are full it goes to
 * one with room, whichever that is. */
#define DRAWN_PROMPT 32
/* Drawn when nothing nearby could take the request. */
#define DRAWN_ANYWHERE 96
/* Most upstreams that are ranked: all of the largest pool that the design aims
 * at, or entries with other orders of the list would find other homes. */
#define RANKED_MAX 16384

static bool
is_in(const struct pgw_candidates *candidates,
      const struct pgw_upstream *upstream)
{
    for (size_t i = 0; i < candidates->count; i++) {
        if (candidates->items[i] == upstream) {
            return true;
        }
    }
    return false;
}

/* Homes are taken in before all others. */
static bool
is_home(const struct pgw_candidates *candidates,
        const struct pgw_upstream *upstream)
{
    for (size_t i = 0; i < candidates->home_count; i++) {
        if (candidates->items[i] == upstream) {
            return true;
        }
    }
    return false;
}

static void
append(struct pgw_candidates *out, struct pgw_upstream *upstream,
       uint32_t rank)
{
    if (out->count < PGW_CANDIDATES_MAX) {
        out->items[out->count] = upstream;
        out->rank[out->count++] = rank;
    }
}

/* All of @from, beginning somewhere: the first of equals is the one that is
 * chosen, and it must not be the same one for all entries. */
static void
add_all(struct pgw_candidates *out, const GPtrArray *from, uint64_t random)
{
    for (unsigned i = 0; i < from->len; i++) {
        struct pgw_upstream *upstream =
            g_ptr_array_index(from, (random + i) % from->len);

        if (!is_home(out, upstream)) {
            append(out, upstream, PGW_PLACE_RANK_MAX);
        }
    }
}

static void
add_drawn(struct pgw_candidates *out, const GPtrArray *from, unsigned count,
          uint64_t random)
{
    for (unsigned i = 0; i < count && from->len > 0; i++) {
        uint64_t draw = XXH3_64bits_withSeed(&i, sizeof(i), random);
        struct pgw_upstream *upstream =
            g_ptr_array_index(from, draw % from->len);

        if (!is_in(out, upstream)) {
            append(out, upstream, PGW_PLACE_RANK_MAX);
        }
    }
}

static void
set_rank(struct pgw_candidates *out, struct pgw_upstream *upstream,
         uint32_t rank)
{
    for (size_t i = 0; i < out->count; i++) {
        if (out->items[i] == upstream) {
            out->rank[i] = rank;
            return;
        }
    }
    append(out, upstream, rank);
}

/* Positions in @from of the first @most in rank; returns their number. */
static size_t
rank(uint32_t *out, size_t most, const GPtrArray *from,
     const struct pgw_level_chain *chain, uint64_t now_us)
{
    size_t count = MIN(from->len, RANKED_MAX);
    struct pgw_place_node *nodes = g_new0(struct pgw_place_node, count);
    size_t ranked;

    for (size_t i = 0; i < count; i++) {
        const struct pgw_upstream *upstream = g_ptr_array_index(from, i);

        nodes[i] = (struct pgw_place_node){
            .id_hash = upstream->id_hash,
            .usable = pgw_upstream_is_usable(upstream, now_us),
        };
    }
    ranked = pgw_place_rank(out, most, nodes, count, chain);
    g_free(nodes);
    return ranked;
}

/* Takes in the first in rank of @from, behind the homes. */
static void
add_ranked(struct pgw_candidates *out, const GPtrArray *from,
           const struct pgw_level_chain *chain, uint64_t now_us)
{
    uint32_t order[PGW_PLACE_RANK_MAX];
    size_t ranked = rank(order, PGW_PLACE_RANK_MAX, from, chain, now_us);
    uint32_t next = (uint32_t)out->home_count;

    for (size_t i = 0; i < ranked && next < PGW_PLACE_RANK_MAX; i++) {
        struct pgw_upstream *upstream = g_ptr_array_index(from, order[i]);

        if (!is_home(out, upstream)) {
            set_rank(out, upstream, next++);
        }
    }
}

/* All of it can be weighed, and all that is known of it is fresh. */
static bool
is_weighed_whole(const struct pgw_upstream_pool *pool)
{
    return !pool->remote_on_request && pool->all->len <= PGW_CANDIDATES_MAX;
}

void
pgw_homes_pick(struct pgw_homes *out, const struct pgw_upstream_pool *pool,
               const struct pgw_level_chain *chain, size_t count,
               uint64_t now_us)
{
    uint32_t order[PGW_HOMES_MAX];

    out->count = 0;
    if (is_weighed_whole(pool) || count == 0) {
        return;
    }
    out->count =
        rank(order, MIN(count, PGW_HOMES_MAX), pool->all, chain, now_us);
    for (size_t i = 0; i < out->count; i++) {
        out->items[i] = g_ptr_array_index(pool->all, order[i]);
    }
}

void
pgw_candidates_pick(struct pgw_candidates *out,
                    const struct pgw_upstream_pool *pool,
                    enum pgw_candidates_scope from,
                    const struct pgw_homes *homes,
                    const struct pgw_level_chain *chain, uint64_t random,
                    uint64_t now_us)
{
    const GPtrArray *source = pool->all;
    unsigned drawn = chain == NULL ? DRAWN_PLAIN : DRAWN_PROMPT;
    bool known;

    out->count = 0;
    out->all = is_weighed_whole(pool);
    for (size_t i = 0; homes != NULL && i < homes->count; i++) {
        append(out, homes->items[i], (uint32_t)i);
    }
    out->home_count = out->count;
    if (from == PGW_CANDIDATES_ALL_ZONES) {
        drawn = DRAWN_ANYWHERE;
    }
    else if (!out->all && pool->local->len >= NEAR_MIN) {
        source = pool->local;
    }
    /* Of engines in other zones that do not report nothing is known, and each
     * looks idle: some are drawn, so that not all take the first in rank. */
    known = out->all || source == pool->local;
    if (known && source->len <= PGW_CANDIDATES_MAX) {
        add_all(out, source, random);
    }
    if (chain != NULL) {
        add_ranked(out, source, chain, now_us);
    }
    if (!known || source->len > PGW_CANDIDATES_MAX) {
        add_drawn(out, source, drawn, random);
    }
}
