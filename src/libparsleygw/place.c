#include <parsleygw/place.h>
#include <string.h>
#include <xxhash.h>

/*
 * A deeper level reorders windows of its parent's ranking. The first window
 * has the upstreams that normally cache the level; later windows, doubling in
 * size, have those that its requests spill to. The windows of level 1 start at
 * four upstreams and those of deeper levels at two, so the children of a hot
 * parent spread it over its first four upstreams.
 */
#define FIRST_WINDOW 4
#define DEEP_WINDOW 2

struct scored_node {
    uint64_t score;
    uint32_t index;
};

/* Finalizer of a 64-bit hash: each input bit flips half of the output bits on
 * average. */
static inline uint64_t
mix(uint64_t x)
{
    x ^= x >> 32;
    x *= UINT64_C(0xd6e8feb86659fd93);
    x ^= x >> 32;
    x *= UINT64_C(0xd6e8feb86659fd93);
    x ^= x >> 32;
    return x;
}

static uint64_t
level_key(const struct pgw_level *level)
{
    return mix(level->hash_high) ^ level->hash_low;
}

uint64_t
pgw_place_id_hash(const char *id)
{
    return XXH3_64bits(id, strlen(id));
}

/* Equal scores are ordered by index, which makes the order total. */
static inline bool
ranks_before(const struct scored_node *a, const struct scored_node *b)
{
    return a->score > b->score ||
           (a->score == b->score && a->index < b->index);
}

static void
insert_node(struct scored_node *top, size_t *count, size_t max,
            struct scored_node node)
{
    size_t i = *count < max ? (*count)++ : max - 1;

    while (i > 0 && ranks_before(&node, &top[i - 1])) {
        top[i] = top[i - 1];
        i--;
    }
    top[i] = node;
}

/*
 * One pass over the pool with one hash and one comparison per node. About
 * max * ln(n / max) nodes are inserted.
 */
static size_t
top_nodes(struct scored_node *top, size_t max,
          const struct pgw_place_node *nodes, size_t n, uint64_t key)
{
    uint64_t min_score = 0;
    size_t count = 0;

    for (size_t i = 0; i < n; i++) {
        uint64_t score = mix(nodes[i].id_hash ^ key);

        if (score < min_score || !nodes[i].usable) {
            continue;
        }
        insert_node(
            top, &count, max,
            (struct scored_node){.score = score, .index = (uint32_t)i});
        if (count == max) {
            /* A later node of equal score ranks lower and is skipped too. */
            min_score = top[max - 1].score + 1;
        }
    }
    return count;
}

static void
rank_window(struct scored_node *window, size_t count,
            const struct pgw_place_node *nodes, uint64_t key)
{
    struct scored_node sorted[PGW_PLACE_RANK_MAX] = {0};
    size_t ranked_count = 0;

    for (size_t i = 0; i < count; i++) {
        uint32_t index = window[i].index;

        insert_node(
            sorted, &ranked_count, count,
            (struct scored_node){.score = mix(nodes[index].id_hash ^ key),
                                 .index = index});
    }
    memcpy(window, sorted, count * sizeof(*window));
}

static void
rank_in_windows(struct scored_node *top, size_t count,
                const struct pgw_place_node *nodes,
                const struct pgw_level *level, size_t width)
{
    uint64_t key = level_key(level);
    size_t start = 0;

    while (start < count) {
        size_t size = MIN(width, count - start);

        rank_window(top + start, size, nodes, key);
        /* The first two windows have the same size: 4, 4, 8, 16. */
        if (start > 0) {
            width *= 2;
        }
        start += size;
    }
}

/*
 * Gives each of the first FIRST_WINDOW ranks a different zone as long as there
 * is one. Failure: a zone is lost. Symptom: all probed candidates of some
 * prefixes are down and their requests are retried in a burst. With ranks in
 * several zones a probed candidate remains.
 */
static void
spread_zones(struct scored_node *top, size_t count,
             const struct pgw_place_node *nodes)
{
    for (size_t rank = 1; rank < MIN(count, FIRST_WINDOW); rank++) {
        for (size_t other = rank; other < count; other++) {
            uint32_t zone = nodes[top[other].index].zone;
            bool zone_is_used = false;

            for (size_t i = 0; i < rank; i++) {
                zone_is_used =
                    zone_is_used || nodes[top[i].index].zone == zone;
            }
            if (!zone_is_used) {
                struct scored_node node = top[other];

                memmove(top + rank + 1, top + rank,
                        (other - rank) * sizeof(*top));
                top[rank] = node;
                break;
            }
        }
    }
}

/* The last level is the whole prompt, which other requests rarely share.
 * Ranking by it would scatter its parent's requests, so it counts only when it
 * is the only level. */
static size_t
shared_levels(const struct pgw_level_chain *chain)
{
    return chain->count > 1 ? chain->count - 1 : chain->count;
}

size_t
pgw_place_rank(uint32_t *out, size_t k, const struct pgw_place_node *nodes,
               size_t n, const struct pgw_level_chain *chain)
{
    struct scored_node top[PGW_PLACE_RANK_MAX];
    size_t levels = shared_levels(chain);
    uint64_t key = levels > 0 ? level_key(&chain->levels[0]) : 0;
    size_t count = top_nodes(top, PGW_PLACE_RANK_MAX, nodes, n, key);

    spread_zones(top, count, nodes);
    for (size_t i = 1; i < levels; i++) {
        rank_in_windows(top, count, nodes, &chain->levels[i],
                        i == 1 ? FIRST_WINDOW : DEEP_WINDOW);
    }
    count = MIN(count, k);
    for (size_t i = 0; i < count; i++) {
        out[i] = top[i].index;
    }
    return count;
}
