#include <parsleygw/place.h>

/* Weight of recomputed tokens in the cost: at ttft_weight 1 and 0. Never
 * zero, since recomputation delays the requests behind it, too. */
#define RECOMPUTE_WEIGHT_MIN 0.5
#define RECOMPUTE_WEIGHT_MAX 8.0

/* Wait before the own prefill that asks for the next ranks: at ttft_weight 1
 * and 0, in microseconds. */
#define SPILL_WAIT_MIN_US 100000.0
#define SPILL_WAIT_MAX_US 1000000.0

/* A queue shorter than this is not worth waiting for another answer. */
#define SETTLED_WAIT_US 10000.0
/* Levels end inside a block, which is then not cached. */
#define SETTLED_MISSING_TOKENS 64u

#define US_PER_S 1e6

/* What costs are computed from, the same for all candidates. */
struct pricing {
    const struct pgw_place_weights *weights;
    uint32_t prompt_tokens;
    double us_per_token;
    double recompute_weight;
    double spill_wait_us;
    double mean_wait_us;
    uint64_t random;
};

static double
between(double at_one, double at_zero, double weight)
{
    return at_zero + (at_one - at_zero) * CLAMP(weight, 0.0, 1.0);
}

static bool
takes_work(const struct pgw_place_candidate *candidate)
{
    return !candidate->refuses && !candidate->leaving;
}

static double
uncached_us(const struct pricing *pricing,
            const struct pgw_place_candidate *candidate)
{
    uint32_t cached = MIN(candidate->matched_tokens, pricing->prompt_tokens);

    return (pricing->prompt_tokens - cached) * pricing->us_per_token;
}

/* Time before the own prefill starts, as the sidecar reported it. */
static double
reported_wait_us(const struct pricing *pricing,
                 const struct pgw_place_candidate *candidate)
{
    double own = uncached_us(pricing, candidate);

    if (candidate->ttft_us > 0) {
        return MAX(candidate->ttft_us - own, 0.0);
    }
    return candidate->queued_tokens * pricing->us_per_token;
}

/* 0 for a fresh answer, 1/2 at the weights' lag, towards 1 for an old one. */
static double
staleness(const struct pricing *pricing,
          const struct pgw_place_candidate *candidate)
{
    double lag = MAX(pricing->weights->lag_us, 1);

    return candidate->age_us / (candidate->age_us + lag);
}

/*
 * An old report says little about the load of now. Believing it sends every
 * entry to the one that looked idle, seen as load that swings between
 * upstreams with the reports' period. So the wait drifts to the mean as the
 * report ages, what this entry sent since is charged, and the rest is chance.
 */
static double
expected_wait_us(const struct pricing *pricing,
                 const struct pgw_place_candidate *candidate, size_t position)
{
    double wait = reported_wait_us(pricing, candidate);
#ifndef PGW_DISABLE_PLACE_LAG
    double stale = staleness(pricing, candidate);
    uint64_t noise =
        (pricing->random + position) * UINT64_C(0x9e3779b97f4a7c15);
    double chance = (double)(noise >> 40) / (double)(1 << 24);

    wait += (pricing->mean_wait_us * (0.5 + chance) - wait) * stale;
    wait += candidate->charged_tokens * pricing->us_per_token;
#else
    (void)position;
    (void)staleness;
#endif
    return wait;
}

static double
mean_wait_us(const struct pricing *pricing,
             const struct pgw_place_candidate *candidates, size_t n)
{
    double sum = 0.0;
    size_t count = 0;

    for (size_t i = 0; i < n; i++) {
        if (candidates[i].answered) {
            sum += reported_wait_us(pricing, &candidates[i]);
            count++;
        }
    }
    return count > 0 ? sum / (double)count : 0.0;
}

static void
price_init(struct pricing *out, const struct pgw_place_candidate *candidates,
           size_t n, const struct pgw_place_weights *weights,
           uint32_t prompt_tokens, uint64_t random)
{
    double rate = MAX(weights->prefill_tokens_per_s, 1.0);

    *out = (struct pricing){
        .weights = weights,
        .prompt_tokens = prompt_tokens,
        .us_per_token = US_PER_S / rate,
        .recompute_weight = between(RECOMPUTE_WEIGHT_MIN, RECOMPUTE_WEIGHT_MAX,
                                    weights->ttft_weight),
        .spill_wait_us = between(SPILL_WAIT_MIN_US, SPILL_WAIT_MAX_US,
                                 weights->ttft_weight),
        .random = random,
    };
    out->mean_wait_us = mean_wait_us(out, candidates, n);
}

/*
 * What is computed again delays all that wait behind it. Without counting
 * them a launch has each engine compute each of its prefixes, seen as a longer
 * queue at every engine; with them a prefix moves on only when a shorter queue
 * is worth it to all.
 */
static double
recompute_price(const struct pricing *pricing,
                const struct pgw_place_candidate *candidate, size_t position)
{
    return pricing->recompute_weight +
           pricing->weights->rank_weight * (double)position +
           pricing->weights->queue_weight * candidate->waiting;
}

static void
choose_unanswered(struct pgw_place_choice *out,
                  const struct pgw_place_candidate *candidates, size_t n)
{
    for (size_t i = 0; i < n && !out->found; i++) {
        if (!candidates[i].answered && takes_work(&candidates[i])) {
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
    struct pricing pricing;
    double best = 0.0;
    double best_wait = 0.0;

    *out = (struct pgw_place_choice){.found = false};
    price_init(&pricing, candidates, n, weights, prompt_tokens, random);
    for (size_t i = 0; i < n; i++) {
        const struct pgw_place_candidate *one = &candidates[i];
        double own = uncached_us(&pricing, one);
        double wait;
        double cost;

        if (!one->answered || !takes_work(one)) {
            continue;
        }
        wait = expected_wait_us(&pricing, one, i);
        cost = wait + own * (1.0 + recompute_price(&pricing, one, i)) +
               (one->same_zone ? 0 : weights->zone_cost_us);
        if (!out->found || cost < best) {
            best = cost;
            best_wait = wait;
            out->found = true;
            out->position = i;
        }
    }
    if (out->found) {
        out->cost_us = (uint64_t)best;
        out->spill = best_wait > pricing.spill_wait_us;
        return;
    }
    choose_unanswered(out, candidates, n);
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
        out->found = candidates[i].answered && takes_work(&candidates[i]);
        out->position = i;
    }
    return true;
}

/* Prompt tokens that other requests can have brought into a cache. */
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
        const struct pgw_place_candidate *one = &candidates[i];
        double queued = (double)one->queued_tokens + one->charged_tokens;

        if (one->answered && takes_work(one) && one->waiting == 0 &&
            one->matched_tokens >= shared_tokens(chain) &&
            queued * us_per_token <= SETTLED_WAIT_US) {
            return true;
        }
    }
    return false;
}
