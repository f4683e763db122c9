#include <parsleygw/place.h>
#include <string.h>
#include <xxhash.h>

/*
 * A deeper level ranks inside windows of its parent's ranking: the first
 * window is where it normally lives, the following ones, doubling, are where
 * it spills. Level 1 uses windows that start at four upstreams, all deeper
 * levels at two, so a hot parent spreads over the first four by its children.
 */
#define FIRST_WINDOW 4
#define DEEP_WINDOW 2

struct scored {
    uint64_t score;
    uint32_t index;
};

/* Finaliser of a 64-bit mix: every input bit changes half of the output's. */
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

/* Equal scores fall back on the index, so that the order is total. */
static inline bool
ranks_before(const struct scored *a, const struct scored *b)
{
    return a->score > b->score ||
           (a->score == b->score && a->index < b->index);
}

static void
insert_scored(struct scored *top, size_t *count, size_t max, struct scored one)
{
    size_t i = *count < max ? (*count)++ : max - 1;

    while (i > 0 && ranks_before(&one, &top[i - 1])) {
        top[i] = top[i - 1];
        i--;
    }
    top[i] = one;
}

/*
 * One pass over the pool: a mix and a compare for each node; the insertion
 * runs about max * ln(n / max) times.
 */
static size_t
top_nodes(struct scored *top, size_t max, const struct pgw_place_node *nodes,
          size_t n, uint64_t key)
{
    uint64_t floor = 0;
    size_t count = 0;

    for (size_t i = 0; i < n; i++) {
        uint64_t score = mix(nodes[i].id_hash ^ key);

        if (score < floor || !nodes[i].usable) {
            continue;
        }
        insert_scored(top, &count, max,
                      (struct scored){.score = score, .index = (uint32_t)i});
        if (count == max) {
            /* An equal score of a later node ranks behind: skip it, too. */
            floor = top[max - 1].score + 1;
        }
    }
    return count;
}

static void
rank_window(struct scored *window, size_t count,
            const struct pgw_place_node *nodes, uint64_t key)
{
    struct scored sorted[PGW_PLACE_RANK_MAX] = {0};
    size_t done = 0;

    for (size_t i = 0; i < count; i++) {
        uint32_t index = window[i].index;

        insert_scored(sorted, &done, count,
                      (struct scored){.score = mix(nodes[index].id_hash ^ key),
                                      .index = index});
    }
    memcpy(window, sorted, count * sizeof(*window));
}

static void
rank_inside(struct scored *top, size_t count,
            const struct pgw_place_node *nodes, const struct pgw_level *level,
            size_t width)
{
    uint64_t key = level_key(level);
    size_t from = 0;

    while (from < count) {
        size_t size = MIN(width, count - from);

        rank_window(top + from, size, nodes, key);
        /* First two windows alike, then doubling: 4, 4, 8, 16. */
        if (from > 0) {
            width *= 2;
        }
        from += size;
    }
}

/*
 * Within the first window's worth of ranks take another zone each while there
 * is one. Otherwise the loss of a zone could leave no probed candidate alive,
 * seen as a wave of retries for the prefixes that lived there alone.
 */
static void
spread_zones(struct scored *top, size_t count,
             const struct pgw_place_node *nodes)
{
    for (size_t at = 1; at < MIN(count, FIRST_WINDOW); at++) {
        for (size_t pick = at; pick < count; pick++) {
            uint32_t zone = nodes[top[pick].index].zone;
            bool seen = false;

            for (size_t i = 0; i < at; i++) {
                seen = seen || nodes[top[i].index].zone == zone;
            }
            if (!seen) {
                struct scored one = top[pick];

                memmove(top + at + 1, top + at, (pick - at) * sizeof(*top));
                top[at] = one;
                break;
            }
        }
    }
}

/* The last level is the whole prompt: it is this request's alone, unless it
 * is the only one, and would scatter its parent's requests. */
static size_t
shared_levels(const struct pgw_level_chain *chain)
{
    return chain->count > 1 ? chain->count - 1 : chain->count;
}

size_t
pgw_place_rank(uint32_t *out, size_t k, const struct pgw_place_node *nodes,
               size_t n, const struct pgw_level_chain *chain)
{
    struct scored top[PGW_PLACE_RANK_MAX];
    size_t levels = shared_levels(chain);
    uint64_t key = levels > 0 ? level_key(&chain->levels[0]) : 0;
    size_t count = top_nodes(top, PGW_PLACE_RANK_MAX, nodes, n, key);

    spread_zones(top, count, nodes);
    for (size_t i = 1; i < levels; i++) {
        rank_inside(top, count, nodes, &chain->levels[i],
                    i == 1 ? FIRST_WINDOW : DEEP_WINDOW);
    }
    count = MIN(count, k);
    for (size_t i = 0; i < count; i++) {
        out[i] = top[i].index;
    }
    return count;
}
