#include <parsleygw/place.h>
#include <string.h>

/* Each round asks twice as many as the one before: after four the whole
 * ranking was asked. */
#define ROUNDS 4

/* The baselines and earlier versions that the project's own policy is measured
 * against. */

static bool
takes_work(const struct pgw_place_candidate *candidate)
{
    return !candidate->refuses && !candidate->leaving;
}

static uint64_t
requests_at(const struct pgw_place_candidate *candidate)
{
    return (uint64_t)candidate->running + candidate->waiting;
}

static void
take(struct pgw_place_choice *out, size_t position)
{
    *out = (struct pgw_place_choice){.found = true, .position = position};
}

static size_t
rank_nested(uint32_t *out, size_t k, const struct pgw_place_node *nodes,
            size_t n, const struct pgw_level_chain *chain, uint64_t turn)
{
    (void)turn;
    return pgw_place_rank(out, k, nodes, n, chain);
}

/* Rendezvous hashing of the first level alone. */
static size_t
rank_first_level(uint32_t *out, size_t k, const struct pgw_place_node *nodes,
                 size_t n, const struct pgw_level_chain *chain, uint64_t turn)
{
    struct pgw_level_chain first = *chain;

    (void)turn;
    first.count = MIN(chain->count, 1);
    return pgw_place_rank(out, k, nodes, n, &first);
}

static size_t
rank_in_turn(uint32_t *out, size_t k, const struct pgw_place_node *nodes,
             size_t n, const struct pgw_level_chain *chain, uint64_t turn)
{
    size_t count = 0;

    (void)chain;
    k = MIN(k, PGW_PLACE_RANK_MAX);
    for (size_t i = 0; i < n && count < k; i++) {
        size_t index = (turn + i) % n;

        if (nodes[index].usable) {
            out[count++] = (uint32_t)index;
        }
    }
    return count;
}

static void
choose_first(struct pgw_place_choice *out,
             const struct pgw_place_candidate *candidates, size_t n,
             const struct pgw_place_weights *weights, uint32_t prompt_tokens,
             uint64_t random)
{
    (void)weights;
    (void)prompt_tokens;
    (void)random;
    *out = (struct pgw_place_choice){.spill = true};
    for (size_t i = 0; i < n && !out->found; i++) {
        if (takes_work(&candidates[i])) {
            take(out, i);
        }
    }
}

/* Consistent hashing with bounded loads: the first rank whose requests stay
 * within the factor times the mean, counting the new one. */
static void
choose_bounded(struct pgw_place_choice *out,
               const struct pgw_place_candidate *candidates, size_t n,
               const struct pgw_place_weights *weights, uint32_t prompt_tokens,
               uint64_t random)
{
    uint64_t total = 1;
    double bound;

    for (size_t i = 0; i < n; i++) {
        total += requests_at(&candidates[i]);
    }
    bound = weights->load_factor * (double)total / (double)MAX(n, 1);
    bound = MAX(bound, 1.0);
    for (size_t i = 0; i < n; i++) {
        if (candidates[i].answered && takes_work(&candidates[i]) &&
            (double)requests_at(&candidates[i]) <= bound) {
            take(out, i);
            return;
        }
    }
    choose_first(out, candidates, n, weights, prompt_tokens, random);
}

static bool
less_loaded(const struct pgw_place_candidate *a,
            const struct pgw_place_candidate *b)
{
    if (requests_at(a) != requests_at(b)) {
        return requests_at(a) < requests_at(b);
    }
    return a->queued_tokens < b->queued_tokens;
}

static void
choose_least_loaded(struct pgw_place_choice *out,
                    const struct pgw_place_candidate *candidates, size_t n,
                    const struct pgw_place_weights *weights,
                    uint32_t prompt_tokens, uint64_t random)
{
    *out = (struct pgw_place_choice){.found = false};
    for (size_t i = 0; i < n; i++) {
        if (candidates[i].answered && takes_work(&candidates[i]) &&
            (!out->found ||
             less_loaded(&candidates[i], &candidates[out->position]))) {
            take(out, i);
        }
    }
    if (!out->found) {
        choose_first(out, candidates, n, weights, prompt_tokens, random);
    }
}

/* Until 66e9d4b: what waits at a candidate does not count. */
static void
choose_without_queue(struct pgw_place_choice *out,
                     const struct pgw_place_candidate *candidates, size_t n,
                     const struct pgw_place_weights *weights,
                     uint32_t prompt_tokens, uint64_t random)
{
    struct pgw_place_weights earlier = *weights;

    earlier.queue_weight = 0.0;
    pgw_place_choose(out, candidates, n, &earlier, prompt_tokens, random);
}

/* Until 5af4405: entries of several zones compute a new prefix several times.
 */
static void
choose_without_rank(struct pgw_place_choice *out,
                    const struct pgw_place_candidate *candidates, size_t n,
                    const struct pgw_place_weights *weights,
                    uint32_t prompt_tokens, uint64_t random)
{
    struct pgw_place_weights earlier = *weights;

    earlier.rank_weight = 0.0;
    choose_without_queue(out, candidates, n, &earlier, prompt_tokens, random);
}

static const struct pgw_place_policy policies[] = {
    {.name = "parsleygw",
     .probes = 4,
     .rounds = ROUNDS,
     .rank = rank_nested,
     .choose = pgw_place_choose,
     .settled = pgw_place_is_settled},
    {.name = "parsleygw-v1",
     .probes = 3,
     .fixed_probes = true,
     .rounds = 1,
     .rank = rank_nested,
     .choose = choose_without_rank},
    {.name = "parsleygw-v2",
     .probes = 3,
     .fixed_probes = true,
     .rounds = 1,
     .rank = rank_nested,
     .choose = choose_without_queue},
    {.name = "parsleygw-v3",
     .probes = 3,
     .fixed_probes = true,
     .rounds = ROUNDS,
     .rank = rank_nested,
     .choose = choose_without_queue,
     .settled = pgw_place_is_settled},
    {.name = "parsleygw-v4",
     .probes = 4,
     .rounds = ROUNDS,
     .rank = rank_nested,
     .choose = choose_without_queue,
     .settled = pgw_place_is_settled},
    {.name = "hash",
     .probes = 0,
     .rounds = ROUNDS,
     .rank = rank_first_level,
     .choose = choose_bounded},
    {.name = "least-loaded",
     .probes = 0,
     .rounds = ROUNDS,
     .rank = rank_in_turn,
     .choose = choose_least_loaded},
    {.name = "round-robin",
     .probes = 1,
     .rounds = ROUNDS,
     .rank = rank_in_turn,
     .choose = choose_first},
};

const struct pgw_place_policy *
pgw_place_policy_find(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
        if (strcmp(policies[i].name, name) == 0) {
            return &policies[i];
        }
    }
    return NULL;
}
