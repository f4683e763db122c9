#include <parsleygw/place.h>

/* Weight of recomputed tokens in the cost at ttft_weight 1 and 0. Never zero,
 * since recomputation also delays the requests queued behind it. */
#define RECOMPUTE_WEIGHT_MIN 0.5
#define RECOMPUTE_WEIGHT_MAX 8.0

/* Expected wait before the request's own prefill beyond which the next ranks
 * are probed, at ttft_weight 1 and 0. */
#define SPILL_WAIT_MIN_US 100000.0
#define SPILL_WAIT_MAX_US 1000000.0

/* With a shorter queue than this, further replies are not waited for. */
#define SETTLED_WAIT_US 10000.0
/* A block that a level ends in is not cached as part of the level. */
#define SETTLED_MISSING_TOKENS 64u

#define US_PER_S 1e6

/* Inputs of the cost that are the same for all candidates. */
struct cost_model {
    const struct pgw_place_weights *weights;
    uint32_t prompt_tokens;
    double us_per_token;
    double recompute_weight;
    double spill_wait_us;
    double mean_wait_us;
    uint64_t random;
};

static double
interpolate(double at_one, double at_zero, double weight)
{
    return at_zero + (at_one - at_zero) * CLAMP(weight, 0.0, 1.0);
}

static bool
accepts_requests(const struct pgw_place_candidate *candidate)
{
    return !candidate->refuses && !candidate->leaving;
}

static double
uncached_prefill_us(const struct cost_model *cost_model,
                    const struct pgw_place_candidate *candidate)
{
    uint32_t cached =
        MIN(candidate->matched_tokens, cost_model->prompt_tokens);

    return (cost_model->prompt_tokens - cached) * cost_model->us_per_token;
}

/* Time before the request's own prefill starts, by the sidecar's reply. */
static double
reported_wait_us(const struct cost_model *cost_model,
                 const struct pgw_place_candidate *candidate)
{
    double prefill_us = uncached_prefill_us(cost_model, candidate);

    if (candidate->ttft_us > 0) {
        return MAX(candidate->ttft_us - prefill_us, 0.0);
    }
    return candidate->queued_tokens * cost_model->us_per_token;
}

/* 0 for a fresh reply, 1/2 at an age of lag_us, approaching 1 with age. */
static double
staleness(const struct cost_model *cost_model,
          const struct pgw_place_candidate *candidate)
{
    double lag = MAX(cost_model->weights->lag_us, 1);

    return candidate->age_us / (candidate->age_us + lag);
}

/*
 * Failure: a reply is old and no longer describes the current load. Symptom:
 * all entries choose the upstream that looked idle, and the load oscillates
 * between upstreams with the period of the replies. As a reply ages, the
 * expected wait moves towards the mean with random jitter, and the tokens that
 * this entry has sent since the reply are added.
 */
static double
expected_wait_us(const struct cost_model *cost_model,
                 const struct pgw_place_candidate *candidate, size_t position)
{
    double wait_us = reported_wait_us(cost_model, candidate);
#ifndef PGW_DISABLE_PLACE_LAG
    double weight_of_mean = staleness(cost_model, candidate);
    uint64_t noise =
        (cost_model->random + position) * UINT64_C(0x9e3779b97f4a7c15);
    double jitter = (double)(noise >> 40) / (double)(1 << 24);

    wait_us +=
        (cost_model->mean_wait_us * (0.5 + jitter) - wait_us) * weight_of_mean;
    wait_us += candidate->charged_tokens * cost_model->us_per_token;
#else
    (void)position;
    (void)staleness;
#endif
    return wait_us;
}

static double
mean_wait_us(const struct cost_model *cost_model,
             const struct pgw_place_candidate *candidates, size_t n)
{
    double sum = 0.0;
    size_t count = 0;

    for (size_t i = 0; i < n; i++) {
        if (candidates[i].answered) {
            sum += reported_wait_us(cost_model, &candidates[i]);
            count++;
        }
    }
    return count > 0 ? sum / (double)count : 0.0;
}

static void
cost_model_init(struct cost_model *out,
                const struct pgw_place_candidate *candidates, size_t n,
                const struct pgw_place_weights *weights,
                uint32_t prompt_tokens, uint64_t random)
{
    double rate = MAX(weights->prefill_tokens_per_s, 1.0);

    *out = (struct cost_model){
        .weights = weights,
        .prompt_tokens = prompt_tokens,
        .us_per_token = US_PER_S / rate,
        .recompute_weight = interpolate(
            RECOMPUTE_WEIGHT_MIN, RECOMPUTE_WEIGHT_MAX, weights->ttft_weight),
        .spill_wait_us = interpolate(SPILL_WAIT_MIN_US, SPILL_WAIT_MAX_US,
                                     weights->ttft_weight),
        .random = random,
    };
    out->mean_wait_us = mean_wait_us(out, candidates, n);
}

/*
 * Recomputation delays every request queued behind it. Without that cost, a
 * launch of new prefixes makes every engine prefill every prefix, and the
 * queue grows at every engine. With that cost, a prefix spreads to another
 * engine only when the shorter queue outweighs the delay to all requests
 * queued there.
 */
static double
recompute_factor(const struct cost_model *cost_model,
                 const struct pgw_place_candidate *candidate, size_t position)
{
    return cost_model->recompute_weight +
           cost_model->weights->rank_weight * (double)position +
           cost_model->weights->queue_weight * candidate->waiting;
}

static void
choose_without_reply(struct pgw_place_choice *out,
                     const struct pgw_place_candidate *candidates, size_t n)
{
    for (size_t i = 0; i < n && !out->found; i++) {
        if (!candidates[i].answered && accepts_requests(&candidates[i])) {
            out->found = true;
            out->position = i;
        }
    }
}

void
pgw_place_choose(struct pgw_place_choice *out,
                 const struct pgw_place_candidate *candidates, size_t n,
                 const struct pgw_place_weights *weights,
                 uint32_t prompt_tokens, uint64_t random)
{
    struct cost_model cost_model;
    double best_cost_us = 0.0;
    double best_wait_us = 0.0;

    *out = (struct pgw_place_choice){.found = false};
    cost_model_init(&cost_model, candidates, n, weights, prompt_tokens,
                    random);
    for (size_t i = 0; i < n; i++) {
        const struct pgw_place_candidate *candidate = &candidates[i];
        double prefill_us = uncached_prefill_us(&cost_model, candidate);
        double wait_us;
        double candidate_cost_us;

        if (!candidate->answered || !accepts_requests(candidate)) {
            continue;
        }
        wait_us = expected_wait_us(&cost_model, candidate, i);
        candidate_cost_us =
            wait_us +
            prefill_us * (1.0 + recompute_factor(&cost_model, candidate, i)) +
            (candidate->same_zone ? 0 : weights->zone_cost_us);
        if (!out->found || candidate_cost_us < best_cost_us) {
            best_cost_us = candidate_cost_us;
            best_wait_us = wait_us;
            out->found = true;
            out->position = i;
        }
    }
    if (out->found) {
        out->cost_us = (uint64_t)best_cost_us;
        out->spill = best_wait_us > cost_model.spill_wait_us;
        return;
    }
    choose_without_reply(out, candidates, n);
    out->spill = !out->found;
}

bool
pgw_place_choose_first_available(struct pgw_place_choice *out,
                                 const struct pgw_place_candidate *candidates,
                                 size_t n)
{
    *out = (struct pgw_place_choice){.found = false};
    if (n == 0 || !candidates[0].answered || !candidates[0].gather) {
        return false;
    }
    for (size_t i = 0; i < n && !out->found; i++) {
        out->found =
            candidates[i].answered && accepts_requests(&candidates[i]);
        out->position = i;
    }
    return true;
}

/* Prompt tokens that other requests may have left in a cache. */
static uint32_t
shared_tokens(const struct pgw_level_chain *chain)
{
    uint32_t end = chain->count > 1
                       ? chain->levels[chain->count - 2].end_tokens
                       : chain->prompt_tokens;

    return end - MIN(end, SETTLED_MISSING_TOKENS);
}

bool
pgw_place_is_settled(const struct pgw_place_candidate *candidates, size_t n,
                     const struct pgw_place_weights *weights,
                     const struct pgw_level_chain *chain)
{
    double us_per_token = US_PER_S / MAX(weights->prefill_tokens_per_s, 1.0);

    for (size_t i = 0; i < n; i++) {
        const struct pgw_place_candidate *candidate = &candidates[i];
        double queued =
            (double)candidate->queued_tokens + candidate->charged_tokens;

        if (candidate->answered && accepts_requests(candidate) &&
            candidate->waiting == 0 &&
            candidate->matched_tokens >= shared_tokens(chain) &&
            queued * us_per_token <= SETTLED_WAIT_US) {
            return true;
        }
    }
    return false;
}
