#include "gateway/placement/candidates.h"
#include "parsleygw/place.h"
#include <xxhash.h>

/* A smaller local zone is not evaluated alone: a few busy or failing upstreams
 * would make every request scan all zones as well. */
#define LOCAL_ZONE_MIN 8
/* Sample size for a plain call: the shortest queue among so many is hardly
 * longer than the shortest of all, and entries that decide at the same time on
 * the same reports spread over several upstreams. */
#define SAMPLES_PLAIN 16
/* Sample size for a prompt, in addition to the ranked upstreams: when those
 * are full, any sampled upstream with a free slot takes it. */
#define SAMPLES_PROMPT 32
/* Sample size when no upstream of the local zone can take the request. */
#define SAMPLES_ALL_ZONES 96
/* Maximum number of ranked upstreams; covers the largest supported pool. If
 * only part of the pool were ranked, entries that list it in another order
 * would find other homes. */
#define RANKED_MAX 16384

static bool
contains(const struct pgw_candidates *candidates,
         const struct pgw_upstream *upstream)
{
    for (size_t i = 0; i < candidates->count; i++) {
        if (candidates->items[i] == upstream) {
            return true;
        }
    }
    return false;
}

/* The homes are the first items. */
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

/* Appends all of @from, starting at a random position: the first of equally
 * good upstreams is chosen, and it must not be the same one at all entries. */
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
add_samples(struct pgw_candidates *out, const GPtrArray *from, unsigned count,
            uint64_t random)
{
    for (unsigned i = 0; i < count && from->len > 0; i++) {
        uint64_t hash = XXH3_64bits_withSeed(&i, sizeof(i), random);
        struct pgw_upstream *upstream =
            g_ptr_array_index(from, hash % from->len);

        if (!contains(out, upstream)) {
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

/* Finds the positions in @from of the @max_count highest ranked; returns their
 * number. */
static size_t
rank_upstreams(uint32_t *out, size_t max_count, const GPtrArray *from,
               const struct pgw_level_chain *chain, enum pgw_lane avoided,
               uint64_t now_us)
{
    size_t count = MIN(from->len, RANKED_MAX);
    struct pgw_place_node *nodes = g_new0(struct pgw_place_node, count);
    size_t ranked;

    for (size_t i = 0; i < count; i++) {
        const struct pgw_upstream *upstream = g_ptr_array_index(from, i);

        nodes[i] = (struct pgw_place_node){
            .id_hash = upstream->id_hash,
            .usable = pgw_upstream_is_usable(upstream, now_us) &&
                      (avoided == PGW_LANE_NONE || upstream->lane != avoided),
        };
    }
    ranked = pgw_place_rank(out, max_count, nodes, count, chain);
    g_free(nodes);
    return ranked;
}

/* Adds the highest ranked of @from, with ranks after those of the homes. */
static void
add_ranked(struct pgw_candidates *out, const GPtrArray *from,
           const struct pgw_level_chain *chain, enum pgw_lane avoided,
           uint64_t now_us)
{
    uint32_t positions[PGW_PLACE_RANK_MAX];
    size_t ranked = rank_upstreams(positions, PGW_PLACE_RANK_MAX, from, chain,
                                   avoided, now_us);
    uint32_t next = (uint32_t)out->home_count;

    for (size_t i = 0; i < ranked && next < PGW_PLACE_RANK_MAX; i++) {
        struct pgw_upstream *upstream = g_ptr_array_index(from, positions[i]);

        if (!is_home(out, upstream)) {
            set_rank(out, upstream, next++);
        }
    }
}

/* The pool is small enough to evaluate whole, and all of its reports are
 * fresh. */
static bool
is_evaluated_whole(const struct pgw_upstream_pool *pool)
{
    return !pool->remote_on_request && pool->all->len <= PGW_CANDIDATES_MAX;
}

void
pgw_homes_pick(struct pgw_homes *out, const struct pgw_upstream_pool *pool,
               const struct pgw_level_chain *chain, size_t count,
               uint64_t now_us)
{
    uint32_t positions[PGW_HOMES_MAX];

    out->count = 0;
    if (is_evaluated_whole(pool) || count == 0) {
        return;
    }
    out->count = rank_upstreams(positions, MIN(count, PGW_HOMES_MAX),
                                pool->all, chain, PGW_LANE_SHORT, now_us);
    for (size_t i = 0; i < out->count; i++) {
        out->items[i] = g_ptr_array_index(pool->all, positions[i]);
    }
}

void
pgw_candidates_pick(struct pgw_candidates *out,
                    const struct pgw_upstream_pool *pool,
                    enum pgw_candidates_scope scope,
                    const struct pgw_homes *homes,
                    const struct pgw_level_chain *chain, enum pgw_lane avoided,
                    uint64_t random, uint64_t now_us)
{
    const GPtrArray *from = pool->all;
    unsigned samples = chain == NULL ? SAMPLES_PLAIN : SAMPLES_PROMPT;
    bool all_reported;

    out->count = 0;
    out->all = is_evaluated_whole(pool);
    for (size_t i = 0; homes != NULL && i < homes->count; i++) {
        append(out, homes->items[i], (uint32_t)i);
    }
    out->home_count = out->count;
    if (scope == PGW_CANDIDATES_ALL_ZONES) {
        samples = SAMPLES_ALL_ZONES;
    }
    else if (!out->all && pool->local->len >= LOCAL_ZONE_MIN) {
        from = pool->local;
    }
    /* Engines of other zones that send no reports all look idle: a random
     * sample keeps requests from all going to the highest ranked one. */
    all_reported = out->all || from == pool->local;
    if (all_reported && from->len <= PGW_CANDIDATES_MAX) {
        add_all(out, from, random);
    }
    if (chain != NULL) {
        add_ranked(out, from, chain, avoided, now_us);
    }
    if (!all_reported || from->len > PGW_CANDIDATES_MAX) {
        add_samples(out, from, samples, random);
    }
}
