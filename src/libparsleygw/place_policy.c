#include <parsleygw/place.h>
#include <string.h>

/* Each round probes twice as many candidates as the one before; four rounds
 * cover the whole ranking. */
#define MAX_ROUNDS 4

/* Besides the default policy there are baselines and earlier versions of it
 * for comparison. */

static bool
accepts_requests(const struct pgw_place_candidate *candidate)
{
    return !candidate->refuses && !candidate->leaving;
}

static uint64_t
request_count(const struct pgw_place_candidate *candidate)
{
    return (uint64_t)candidate->running + candidate->waiting;
}

static void
set_choice(struct pgw_place_choice *out, size_t position)
{
    *out = (struct pgw_place_choice){.found = true, .position = position};
}

static size_t
rank_nested(uint32_t *out, size_t k, const struct pgw_place_node *nodes,
            size_t n, const struct pgw_level_chain *chain,
            uint64_t request_number)
{
    (void)request_number;
    return pgw_place_rank(out, k, nodes, n, chain);
}

/* Rendezvous hashing by the first level alone. */
static size_t
rank_first_level(uint32_t *out, size_t k, const struct pgw_place_node *nodes,
                 size_t n, const struct pgw_level_chain *chain,
                 uint64_t request_number)
{
    struct pgw_level_chain first = *chain;

    (void)request_number;
    first.count = MIN(chain->count, 1);
    return pgw_place_rank(out, k, nodes, n, &first);
}

static size_t
rank_round_robin(uint32_t *out, size_t k, const struct pgw_place_node *nodes,
                 size_t n, const struct pgw_level_chain *chain,
                 uint64_t request_number)
{
    size_t count = 0;

    (void)chain;
    k = MIN(k, PGW_PLACE_RANK_MAX);
    for (size_t i = 0; i < n && count < k; i++) {
        size_t index = (request_number + i) % n;

        if (nodes[index].usable) {
            out[count++] = (uint32_t)index;
        }
    }
    return count;
}

static void
choose_first_rank(struct pgw_place_choice *out,
                  const struct pgw_place_candidate *candidates, size_t n,
                  const struct pgw_place_weights *weights,
                  uint32_t prompt_tokens, uint64_t random)
{
    (void)weights;
    (void)prompt_tokens;
    (void)random;
    *out = (struct pgw_place_choice){.spill = true};
    for (size_t i = 0; i < n && !out->found; i++) {
        if (accepts_requests(&candidates[i])) {
            set_choice(out, i);
        }
    }
}

/* Consistent hashing with bounded loads: chooses the first rank whose requests
 * stay within load_factor times the mean, which counts the new request. */
static void
choose_bounded_load(struct pgw_place_choice *out,
                    const struct pgw_place_candidate *candidates, size_t n,
                    const struct pgw_place_weights *weights,
                    uint32_t prompt_tokens, uint64_t random)
{
    uint64_t total = 1;
    double bound;

    for (size_t i = 0; i < n; i++) {
        total += request_count(&candidates[i]);
    }
    bound = weights->load_factor * (double)total / (double)MAX(n, 1);
    bound = MAX(bound, 1.0);
    for (size_t i = 0; i < n; i++) {
        if (candidates[i].answered && accepts_requests(&candidates[i]) &&
            (double)request_count(&candidates[i]) <= bound) {
            set_choice(out, i);
            return;
        }
    }
    choose_first_rank(out, candidates, n, weights, prompt_tokens, random);
}

static bool
is_less_loaded(const struct pgw_place_candidate *a,
               const struct pgw_place_candidate *b)
{
    if (request_count(a) != request_count(b)) {
        return request_count(a) < request_count(b);
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
        if (candidates[i].answered && accepts_requests(&candidates[i]) &&
            (!out->found ||
             is_less_loaded(&candidates[i], &candidates[out->position]))) {
            set_choice(out, i);
        }
    }
    if (!out->found) {
        choose_first_rank(out, candidates, n, weights, prompt_tokens, random);
    }
}

/* Policy before 66e9d4b: requests queued at a candidate add no cost. */
static void
choose_without_queue(struct pgw_place_choice *out,
                     const struct pgw_place_candidate *candidates, size_t n,
                     const struct pgw_place_weights *weights,
                     uint32_t prompt_tokens, uint64_t random)
{
    struct pgw_place_weights earlier_weights = *weights;

    earlier_weights.queue_weight = 0.0;
    pgw_place_choose(out, candidates, n, &earlier_weights, prompt_tokens,
                     random);
}

/* Policy before 5af4405: ranks add no cost, so entries of several zones have a
 * new prefix prefilled several times. */
static void
choose_without_rank(struct pgw_place_choice *out,
                    const struct pgw_place_candidate *candidates, size_t n,
                    const struct pgw_place_weights *weights,
                    uint32_t prompt_tokens, uint64_t random)
{
    struct pgw_place_weights earlier_weights = *weights;

    earlier_weights.rank_weight = 0.0;
    choose_without_queue(out, candidates, n, &earlier_weights, prompt_tokens,
                         random);
}

static const struct pgw_place_policy policies[] = {
    {.name = "parsleygw",
     .probes = 4,
     .rounds = MAX_ROUNDS,
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
     .rounds = MAX_ROUNDS,
     .rank = rank_nested,
     .choose = choose_without_queue,
     .settled = pgw_place_is_settled},
    {.name = "parsleygw-v4",
     .probes = 4,
     .rounds = MAX_ROUNDS,
     .rank = rank_nested,
     .choose = choose_without_queue,
     .settled = pgw_place_is_settled},
    {.name = "hash",
     .probes = 0,
     .rounds = MAX_ROUNDS,
     .rank = rank_first_level,
     .choose = choose_bounded_load},
    {.name = "least-loaded",
     .probes = 0,
     .rounds = MAX_ROUNDS,
     .rank = rank_round_robin,
     .choose = choose_least_loaded},
    {.name = "round-robin",
     .probes = 1,
     .rounds = MAX_ROUNDS,
     .rank = rank_round_robin,
     .choose = choose_first_rank},
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
