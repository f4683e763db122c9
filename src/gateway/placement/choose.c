#include "gateway/placement/choose.h"
#include "gateway/placement/engine_wait.h"
#include <float.h>
#include <string.h>
#include <xxhash.h>

/* An engine that refuses this many requests in a row gets none until its
 * backoff ends. */
#define BACKOFF_REFUSALS 3
/* Part of the objective that a short prompt may wait without a cost. */
#define START_DELAY_FREE_SHARE 0.05
/* Shortest time until a prompt that waits for a backlog is tried again: the
 * interval of engines' reports is longer, and each trial probes its homes. */
#define BACKLOG_RETRY_US 20000

void
pgw_choose_options_apply(struct pgw_choose_options *options,
                         const struct pgw_policy *policy)
{
    const struct {
        enum pgw_mechanism mechanism;
        double *term;
    } terms[] = {
        {PGW_MECHANISM_LOAD_NEXT, &options->load_delay_weight},
        {PGW_MECHANISM_OLD_WEIGHTS_COST, &options->old_weights_cost_ms},
        {PGW_MECHANISM_PROMPT_RANK, &options->rank_cost_share},
        {PGW_MECHANISM_PROMPT_RANK, &options->min_rank_cost_tokens},
        {PGW_MECHANISM_LONG_PREFILLS, &options->long_prefill_tokens},
        {PGW_MECHANISM_PREFILL_INTERFERENCE,
         &options->prefill_interference_weight},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(terms); i++) {
        if (!pgw_policy_is_on(policy, terms[i].mechanism)) {
            *terms[i].term = 0;
        }
    }
    options->refusal_backoff_enabled =
        pgw_policy_is_on(policy, PGW_MECHANISM_REFUSAL_BACKOFF);
    if (!pgw_policy_is_on(policy, PGW_MECHANISM_ENGINE_FETCH)) {
        options->fetch_min_tokens = UINT32_MAX;
    }
}

static bool
is_excluded(const struct pgw_choose_input *input,
            const struct pgw_upstream *upstream)
{
    if (input->only != NULL && upstream != input->only) {
        return true;
    }
    for (size_t i = 0; i < input->tried_count; i++) {
        if (input->tried[i] == upstream) {
            return true;
        }
    }
    return false;
}

static bool
is_unhealthy(const struct pgw_upstream *upstream,
             const struct pgw_choose_options *options, uint64_t now_us)
{
    return now_us < upstream->avoid_until_us ||
           now_us < upstream->full_until_us ||
           pgw_upstream_liveness(upstream, now_us) != PGW_RESPONSIVE ||
           upstream->failure_rate > options->unhealthy_failure_rate;
}

/* Cost of a plain call: the load after it, in multiples of the slots. */
static double
plain_cost(const struct pgw_upstream *upstream,
           const struct pgw_choose_options *options, uint64_t now_us)
{
    double load = pgw_upstream_load_estimate(upstream, now_us);
    double load_factor = (load + 1.0) / upstream->slots;
    double cost = load_factor;

    if (load_factor > options->plain_max_load) {
        return DBL_MAX;
    }
    /* Traffic to another zone costs more and has a higher latency. A remote
     * upstream is chosen if its load is lower by more than half its slots. */
    if (!upstream->same_zone) {
        cost += 0.5;
    }
    if (now_us < upstream->warmup_until_us) {
        cost += 0.5;
    }
    /* A failure rate of one half costs as much as a load of half the slots. */
    return cost + upstream->failure_rate;
}

uint32_t
pgw_prompt_shared(const struct pgw_prompt *prompt)
{
    uint32_t total = 0;

    for (size_t i = 0; i + 1 < prompt->part_count; i++) {
        total += prompt->parts[i].tokens;
    }
    return total;
}

/* Tokens that no other request shares; they are always prefilled. */
static uint32_t
unshared_tokens(const struct pgw_prompt *prompt)
{
    return prompt->part_count == 0
               ? prompt->tokens
               : prompt->parts[prompt->part_count - 1].tokens;
}

uint64_t
pgw_part_id(const char *text, size_t size)
{
    return XXH3_64bits(text, size);
}

uint64_t
pgw_part_key(const char *model, const char *salt, uint64_t id)
{
    uint64_t key = XXH3_64bits_withSeed(salt, strlen(salt), id);

    key ^= XXH3_64bits(model, strlen(model));
    return key == 0 ? 1 : key;
}

/**
 * struct candidate_set - candidates and what they lack of the prompt
 * @candidates: upstreams to evaluate
 * @missing: by position, shared tokens that a candidate lacks, with expected
 *   parts counted as cached
 * @confirmed: by position, the same with only the parts that its sidecar has
 *   reported
 * @mostly_unavailable: less than half of the candidates are usable now
 */
struct candidate_set {
    struct pgw_candidates candidates;
    uint32_t missing[PGW_CANDIDATES_MAX];
    uint32_t confirmed[PGW_CANDIDATES_MAX];
    bool mostly_unavailable;
};

/* A cached part is usable only if all parts before it are cached, too. */
static uint32_t
missing_tokens(const struct pgw_upstream *upstream,
               const struct pgw_choose_input *input, bool expected)
{
    const struct pgw_prompt *prompt = input->prompt;
    uint64_t version = pgw_upstream_version(upstream, input->model);
    uint32_t missing = pgw_prompt_shared(prompt);
    char salt[PGW_CACHE_SALT_SIZE];

    pgw_cache_salt(salt, version, prompt->cache_scope);
    for (size_t i = 0; i + 1 < prompt->part_count; i++) {
        uint64_t key = pgw_part_key(input->model, salt, prompt->parts[i].id);

        if (!pgw_upstream_has_part(upstream, key, prompt->parts[i].tokens,
                                   expected, input->now_us)) {
            break;
        }
        missing -= prompt->parts[i].tokens;
    }
    return missing;
}

static uint64_t
kv_capacity(const struct pgw_upstream *upstream,
            const struct pgw_choose_input *input)
{
    return upstream->load.kv_total > 0 ? upstream->load.kv_total
                                       : input->kv_tokens;
}

/* Whether the request fits into the KV cache beside what runs there. A request
 * alone on an engine always fits. */
static bool
fits_kv_cache(const struct pgw_upstream *upstream,
              const struct pgw_choose_input *input,
              const struct pgw_choose_options *options)
{
    uint64_t total = kv_capacity(upstream, input);
    uint64_t used = pgw_upstream_kv_estimate(upstream, input->now_us);
    uint64_t need =
        (uint64_t)input->prompt->tokens + input->prompt->output_tokens;

    return total == 0 || used == 0 ||
           (double)(used + need) <= (double)total * options->kv_share;
}

/*
 * Failure: most engines of a pool are unavailable, and the first of them comes
 * back. Symptom: all queued requests are sent to it at once and wait there for
 * prefill; those that must not run twice cannot be withdrawn when another
 * engine becomes free, or when the machine of this one hangs. Therefore an
 * engine's backlog is limited to what it prefills in part of a latency
 * objective, and the rest stays queued at the entry, where the next free
 * engine takes it. A single prompt is always allowed. While most engines are
 * available, the costs spread requests, and this limit would only send prompts
 * away from their cached parts.
 */
static bool
fits_backlog(const struct pgw_upstream *upstream, uint32_t pending_tokens,
             const struct pgw_choose_input *input,
             const struct pgw_choose_options *options)
{
    return upstream->prefill_tokens == 0 ||
           input->prefill_tokens_per_ms <= 0 ||
           (double)(upstream->prefill_tokens + pending_tokens) <=
               options->max_backlog_ms * input->prefill_tokens_per_ms;
}

/* The engine that lacks fewest tokens of the prompt, by its sidecar's report,
 * and runs the same weights as @upstream; NULL if none lacks fewer than
 * @missing. */
static struct pgw_upstream *
find_holder(const struct pgw_upstream *upstream, uint32_t missing,
            const struct pgw_choose_input *input,
            const struct candidate_set *set)
{
    uint64_t version = pgw_upstream_version(upstream, input->model);
    struct pgw_upstream *best = NULL;

    for (size_t i = 0; i < set->candidates.count; i++) {
        struct pgw_upstream *other = set->candidates.items[i];

        /* Prefer the local zone among equals: the transfer is shorter. */
        if (other == upstream || set->confirmed[i] > missing ||
            (set->confirmed[i] == missing &&
             (best == NULL || best->same_zone || !other->same_zone)) ||
            !pgw_upstream_is_usable(other, input->now_us) ||
            input->now_us < other->avoid_until_us ||
            pgw_upstream_liveness(other, input->now_us) != PGW_RESPONSIVE ||
            pgw_upstream_version(other, input->model) != version) {
            continue;
        }
        missing = set->confirmed[i];
        best = other;
    }
    return best;
}

/* Cost of the shared parts that an engine lacks: a fetch if another engine
 * has them cached, else prefill. */
static double
missing_parts_cost(const struct pgw_upstream *upstream, uint32_t missing,
                   const struct pgw_choose_input *input,
                   const struct pgw_choose_options *options,
                   const struct candidate_set *set)
{
    if (missing == 0) {
        return 0;
    }
    if (missing >= options->fetch_min_tokens &&
        find_holder(upstream, missing, input, set) != NULL) {
        return options->fetch_cost_tokens +
               options->fetch_cost_weight * missing;
    }
    return options->recompute_weight * missing;
}

/* Each running request slows the others down slightly; the cost grows steeply
 * as the slots fill up. */
static double
load_cost(const struct pgw_upstream *upstream, uint32_t pending_tokens,
          const struct pgw_choose_options *options, uint64_t now_us)
{
    double load = pgw_upstream_load_estimate(upstream, now_us);
    double fullness = load / upstream->slots;
    double interference_weight = upstream->lane == PGW_LANE_NONE
                                     ? options->prefill_interference_weight
                                     : options->divided_interference_weight;

    return load * (options->running_cost_tokens +
                   interference_weight * pending_tokens) +
           fullness * fullness * options->full_cost_tokens;
}

static bool
is_home(const struct candidate_set *set, size_t position)
{
    return position < set->candidates.home_count;
}

/*
 * Failure: all engines of a pool are full. Symptom: each prompt goes to any
 * engine with a free slot, where it is cold; the additional prefill takes
 * three times as much engine time, so the engines stay full long after the
 * cause is over. Therefore a prompt may queue at a home or at an engine that
 * has all of its shared parts cached. An engine that is going to load weights
 * is excluded: it refuses its queue and drops its cached parts then.
 */
static double
max_load(const struct pgw_upstream *upstream, size_t position,
         const struct pgw_choose_input *input,
         const struct pgw_choose_options *options,
         const struct candidate_set *set)
{
    bool has_affinity =
        set->candidates.home_count > 0 &&
        (is_home(set, position) || set->missing[position] == 0) &&
        pgw_upstream_version(upstream, input->model) >=
            input->newest_version &&
        pgw_prompt_shared(input->prompt) >= PGW_LONG_PREFILL_TOKENS;

    return (has_affinity ? options->home_max_load : options->engine_max_load) *
           upstream->slots;
}

/*
 * Failure: long prompts take all slots of an engine. Symptom: the engine
 * preempts them for requests of a more urgent route and later prefills them
 * from the start. An engine prefills one prompt at a time, so further long
 * prompts would only block slots.
 */
static bool
fits_long_prefills(const struct pgw_upstream *upstream,
                   uint32_t pending_tokens,
                   const struct pgw_choose_input *input,
                   const struct pgw_choose_options *options)
{
    double long_prefills =
        upstream->long_prefills +
        pgw_upstream_others_long_prefills(upstream, input->now_us);

    return pending_tokens < PGW_LONG_PREFILL_TOKENS ||
           long_prefills <
               MAX(options->long_prefill_share * upstream->slots, 1);
}

/* Parts that are cached outside the homes are not found by other entries,
 * which prefill them again. */
static double
non_home_cost(size_t position, const struct pgw_choose_input *input,
              const struct pgw_choose_options *options,
              const struct candidate_set *set)
{
    return set->candidates.home_count == 0 || is_home(set, position) ||
                   set->missing[position] == 0
               ? 0
               : options->non_home_weight * pgw_prompt_shared(input->prompt);
}

/* Pending tokens of the prompt at a candidate. */
static uint32_t
pending_tokens_at(size_t position, const struct pgw_choose_input *input,
                  const struct candidate_set *set)
{
    return set->missing[position] + unshared_tokens(input->prompt);
}

/* Cost of mixing long and short prompts in a divided pool. */
static double
lane_cost(const struct pgw_upstream *upstream, uint32_t pending_tokens,
          const struct pgw_choose_options *options)
{
    if (pending_tokens < PGW_LONG_PREFILL_TOKENS) {
        return upstream->lane == PGW_LANE_LONG
                   ? options->short_lane_cost_tokens
                   : 0;
    }
    return upstream->lane == PGW_LANE_SHORT ? options->long_lane_cost_tokens
                                            : 0;
}

/* Cost of the time until the first event. A long prompt takes longer at a slow
 * engine, as any backlog does. A short one waits in a queue; what is a small
 * part of the objective costs nothing, since no caller is served worse. */
static double
start_cost(const struct pgw_upstream *upstream, size_t position,
           const struct pgw_choose_input *input,
           const struct pgw_choose_options *options,
           const struct candidate_set *set)
{
    double backlog = pgw_engine_backlog_tokens(upstream, input, options);
    uint32_t pending_tokens = pending_tokens_at(position, input, set);
    double slowness = pgw_engine_slowness(upstream, input);
    double delay_ms;

    if (pending_tokens >= PGW_LONG_PREFILL_TOKENS) {
        return backlog * slowness + pending_tokens * (slowness - 1);
    }
    delay_ms = (double)pgw_start_delay_estimate_us(&upstream->start_delay,
                                                   input->now_us) /
                   1000 -
               input->objective_ms * START_DELAY_FREE_SHARE;
    return backlog * slowness +
           MAX(delay_ms, 0) * input->prefill_tokens_per_ms;
}

/*
 * Failure: an engine with older weights has a long queue. Symptom: a request
 * is sent in time, and begins when the weights may no longer be used.
 */
static bool
begins_in_time(const struct pgw_upstream *upstream, uint32_t pending_tokens,
               const struct pgw_choose_input *input,
               const struct pgw_choose_options *options)
{
    uint64_t usable_us =
        input->target_weights == NULL
            ? UINT64_MAX
            : pgw_target_weights_usable_for_us(
                  input->target_weights,
                  pgw_upstream_version(upstream, input->model),
                  input->old_weights_usable_us, input->now_us);

    return usable_us == UINT64_MAX ||
           usable_us >
               pgw_engine_start_us(upstream, pending_tokens, input, options);
}

static double
engine_cost(const struct pgw_upstream *upstream, size_t position,
            const struct pgw_choose_input *input,
            const struct pgw_choose_options *options,
            const struct candidate_set *set)
{
    uint32_t load = pgw_upstream_load_estimate(upstream, input->now_us);
    uint64_t version = pgw_upstream_version(upstream, input->model);
    double rank_cost =
        MAX(options->rank_cost_share * pgw_prompt_shared(input->prompt),
            options->min_rank_cost_tokens);
    double cost;

    if (load + 1 > max_load(upstream, position, input, options, set) ||
        !fits_kv_cache(upstream, input, options) ||
        !fits_long_prefills(upstream, pending_tokens_at(position, input, set),
                            input, options) ||
        (set->mostly_unavailable &&
         !fits_backlog(upstream, pending_tokens_at(position, input, set),
                       input, options))) {
        return DBL_MAX;
    }
    if (!begins_in_time(upstream, pending_tokens_at(position, input, set),
                        input, options)) {
        return DBL_MAX;
    }
    cost = start_cost(upstream, position, input, options, set);
    cost += missing_parts_cost(upstream, set->missing[position], input,
                               options, set);
    cost += load_cost(upstream, pending_tokens_at(position, input, set),
                      options, input->now_us);
    cost += set->candidates.rank[position] * rank_cost;
    cost += non_home_cost(position, input, options, set);
    cost +=
        lane_cost(upstream, pending_tokens_at(position, input, set), options);
    if (upstream->is_next_to_load) {
        cost += MAX(input->run_ms - input->load_wait_ms, 0) *
                options->load_delay_weight * input->prefill_tokens_per_ms;
    }
    if (!upstream->same_zone) {
        cost +=
            (double)input->size * options->remote_zone_tokens_per_kb / 1024;
    }
    cost += version < input->version
                ? options->old_weights_cost_ms * input->prefill_tokens_per_ms
                : 0;
    return cost + upstream->failure_rate * options->failure_cost_tokens;
}

void
pgw_prompt_chain(struct pgw_level_chain *out, const struct pgw_prompt *prompt)
{
    *out = (struct pgw_level_chain){0};
    for (size_t i = 0; i + 1 < prompt->part_count && i < PGW_LEVEL_MAX; i++) {
        out->levels[i].hash_high = prompt->parts[i].id;
        out->levels[i].hash_low = prompt->parts[i].id;
        out->count = i + 1;
    }
}

static void
collect_candidates(struct candidate_set *out,
                   const struct pgw_choose_input *input,
                   enum pgw_candidates_scope scope)
{
    struct pgw_candidates *candidates = &out->candidates;
    struct pgw_level_chain chain;
    size_t usable = 0;

    if (input->prompt == NULL) {
        pgw_candidates_pick(candidates, input->pool, scope, NULL, NULL,
                            PGW_LANE_NONE, input->random, input->now_us);
        return;
    }
    pgw_prompt_chain(&chain, input->prompt);
    pgw_candidates_pick(candidates, input->pool, scope, input->homes, &chain,
                        input->prompt->tokens < PGW_LONG_PREFILL_TOKENS
                            ? PGW_LANE_LONG
                            : PGW_LANE_SHORT,
                        input->random, input->now_us);
    for (size_t i = 0; i < candidates->count; i++) {
        out->missing[i] = missing_tokens(candidates->items[i], input, true);
        out->confirmed[i] = missing_tokens(candidates->items[i], input, false);
        usable += pgw_upstream_is_usable(candidates->items[i], input->now_us);
    }
    out->mostly_unavailable = usable * 2 < candidates->count;
}

static double
candidate_cost(const struct pgw_upstream *upstream, size_t position,
               const struct pgw_choose_input *input,
               const struct pgw_choose_options *options,
               const struct candidate_set *set)
{
    return input->prompt == NULL
               ? plain_cost(upstream, options, input->now_us)
               : engine_cost(upstream, position, input, options, set);
}

static void
set_retry_at(struct pgw_choice *out, uint64_t at_us)
{
    if (out->retry_at_us == 0 || at_us < out->retry_at_us) {
        out->retry_at_us = at_us;
    }
}

/*
 * Failure: an engine's machine is suspended while all other engines load
 * weights or are full. Symptom: it looks idle and gets request after request;
 * none of them can be withdrawn or reported as not run, and callers wait until
 * they give up. Therefore an engine that is unresponsive, and whose sidecar is
 * too, gets one request at a time as a probe. Requests that stay queued can
 * still be refused as not run.
 */
static bool
awaits_probe(struct pgw_choice *out, const struct pgw_upstream *upstream,
             const struct pgw_choose_input *input)
{
    if (pgw_upstream_liveness(upstream, input->now_us) != PGW_UNRESPONSIVE ||
        input->now_us >= upstream->probe_at_us) {
        return false;
    }
    set_retry_at(out, upstream->probe_at_us);
    return true;
}

/*
 * Failure: an engine loads new weights while reports of its sidecar do not
 * arrive, or more entries send to it than it has slots. Symptom: it refuses
 * everything at once, looks idle, and attracts most requests: 90 refusals in
 * 0.6 s while links were cut, each of which took a retry from the budget.
 * During the backoff requests stay queued, where they can wait for far longer.
 */
static bool
is_backing_off(struct pgw_choice *out, const struct pgw_upstream *upstream,
               const struct pgw_choose_input *input,
               const struct pgw_choose_options *options)
{
    /* A full plain service has a free slot within milliseconds, and a single
     * refusal of an engine may only concern a long prompt. */
    if (!options->refusal_backoff_enabled || input->prompt == NULL ||
        upstream->refusals < BACKOFF_REFUSALS ||
        input->now_us >= upstream->full_until_us) {
        return false;
    }
    set_retry_at(out, upstream->full_until_us);
    return true;
}

/*
 * Failure: an overloaded upstream names a limit, and entries go on sending
 * what its load and its cached parts attract. Symptom: it gets several times
 * the requests that it can take. Every way to an upstream leads through the
 * choice, so the limit is checked here, also for unhealthy upstreams: a pool
 * without any other is no reason to exceed it.
 */
static bool
is_at_limit(struct pgw_choice *out, const struct pgw_upstream *upstream,
            const struct pgw_choose_input *input)
{
#ifndef PGW_DISABLE_GATEWAY_LIMIT
    uint64_t next_us;

    if (pgw_limit_share_allows(&upstream->stated.limit, input->now_us)) {
        return false;
    }
    out->limited_per_s += upstream->stated.limit.per_s;
    next_us = pgw_limit_share_next_us(&upstream->stated.limit, input->now_us);
    if (next_us > 0) {
        set_retry_at(out, next_us);
    }
    return true;
#else
    return false;
#endif
}

/*
 * Failure: an upstream turns a request away and asks for a time without any.
 * Symptom: it gets more after each backoff, refuses all of them, and each
 * takes a retry from the budget, until callers of other upstreams get none.
 */
static bool
has_requested_backoff(struct pgw_choice *out,
                      const struct pgw_upstream *upstream,
                      const struct pgw_choose_input *input)
{
#ifndef PGW_DISABLE_GATEWAY_RETRY_AFTER
    if (input->now_us >= upstream->stated.backoff_until_us) {
        return false;
    }
    if (out->backoff_until_us == 0 ||
        upstream->stated.backoff_until_us < out->backoff_until_us) {
        out->backoff_until_us = upstream->stated.backoff_until_us;
    }
    set_retry_at(out, upstream->stated.backoff_until_us);
    return true;
#else
    return false;
#endif
}

/*
 * Failure: many requests are queued when an upstream's backoff ends. Symptom:
 * they reach it together, it refuses all of them and requests another backoff,
 * and each takes a retry from the budget. The first request is a trial, and
 * the others follow its answer.
 */
static bool
awaits_trial(struct pgw_choice *out, const struct pgw_upstream *upstream,
             const struct pgw_choose_input *input)
{
#ifndef PGW_DISABLE_GATEWAY_TRIAL
    if (!upstream->stated.recovering ||
        input->now_us >= upstream->stated.next_trial_us) {
        return false;
    }
    set_retry_at(out, upstream->stated.next_trial_us);
    return true;
#else
    return false;
#endif
}

/* One pass over the candidates, over unhealthy ones only with
 * @include_unhealthy. */
static struct pgw_upstream *
find_cheapest(struct pgw_choice *out, const struct pgw_choose_input *input,
              const struct pgw_choose_options *options,
              const struct candidate_set *set, bool include_unhealthy)
{
    struct pgw_upstream *best = NULL;
    struct pgw_upstream *limited = NULL;
    double best_cost = DBL_MAX;
    double limited_cost = DBL_MAX;
    uint64_t best_wait_us = 0;

    out->limited_per_s = 0;
    out->backoff_until_us = 0;
    out->only_throttled = true;
    for (size_t i = 0; i < set->candidates.count; i++) {
        struct pgw_upstream *upstream = set->candidates.items[i];
        bool at_limit;
        double cost;

        if (!pgw_upstream_is_usable(upstream, input->now_us)) {
            if (upstream->loading &&
                !pgw_upstream_is_leaving(upstream, input->now_us)) {
                out->busy = true;
                out->only_throttled = false;
            }
            continue;
        }
        if (has_requested_backoff(out, upstream, input) ||
            is_excluded(input, upstream)) {
            continue;
        }
        out->busy = true;
        at_limit = is_at_limit(out, upstream, input);
        out->only_throttled &= at_limit;
        if (awaits_probe(out, upstream, input) ||
            awaits_trial(out, upstream, input) ||
            is_backing_off(out, upstream, input, options)) {
            continue;
        }
        if (!include_unhealthy &&
            is_unhealthy(upstream, options, input->now_us)) {
            continue;
        }
        cost = candidate_cost(upstream, i, input, options, set);
        if (at_limit && cost < limited_cost) {
            limited_cost = cost;
            limited = upstream;
        }
        else if (!at_limit && cost < best_cost) {
            best_cost = cost;
            best = upstream;
            best_wait_us =
                input->prompt == NULL
                    ? 0
                    : pgw_engine_wait_us(upstream,
                                         pending_tokens_at(i, input, set),
                                         input, options);
        }
    }
    out->only_throttled &= out->limited_per_s > 0 || out->backoff_until_us > 0;
    if (limited_cost < best_cost) {
        out->limited = limited;
    }
    out->waits_for_backlog = best != NULL && best_wait_us > 0;
    if (out->waits_for_backlog) {
        set_retry_at(out, input->now_us + MAX(best_wait_us, BACKLOG_RETRY_US));
        return NULL;
    }
    return best;
}

static struct pgw_upstream *
choose_from(struct pgw_choice *out, const struct pgw_choose_input *input,
            const struct pgw_choose_options *options,
            struct candidate_set *set, enum pgw_candidates_scope scope)
{
    struct pgw_upstream *upstream;

    collect_candidates(set, input, scope);
    upstream = find_cheapest(out, input, options, set, false);
    return upstream != NULL || out->waits_for_backlog
               ? upstream
               : find_cheapest(out, input, options, set, true);
}

/* The upstreams of @pool that run a software version. */
static void
pool_filter(struct pgw_upstream_pool *out,
            const struct pgw_upstream_pool *pool, const char *software)
{
    *out = *pool;
    out->all = g_ptr_array_new();
    out->local = g_ptr_array_new();
    for (unsigned i = 0; i < pool->all->len; i++) {
        struct pgw_upstream *upstream = g_ptr_array_index(pool->all, i);

        if (upstream->software == software) {
            g_ptr_array_add(out->all, upstream);
            if (upstream->same_zone) {
                g_ptr_array_add(out->local, upstream);
            }
        }
    }
}

static void
fill_forecast(struct pgw_choice *out, const struct pgw_choose_input *input,
              const struct pgw_choose_options *options)
{
    const struct pgw_upstream *upstream = out->upstream;
    struct pgw_forecast_input forecast = {
        .prefill_rate = pgw_engine_rate(upstream, input),
        .backlog_tokens = pgw_engine_backlog_tokens(upstream, input, options),
        .pending_tokens = out->pending_tokens,
        .generation_ms = input->run_ms,
    };

    pgw_forecast_compute(&out->forecast, &forecast);
}

static void
choose_from_pool(struct pgw_choice *out, const struct pgw_choose_input *input,
                 const struct pgw_choose_options *options)
{
    struct candidate_set set;

    out->upstream =
        choose_from(out, input, options, &set, PGW_CANDIDATES_LOCAL_ZONE);
    if (out->upstream == NULL && !out->waits_for_backlog &&
        !set.candidates.all) {
        out->upstream =
            choose_from(out, input, options, &set, PGW_CANDIDATES_ALL_ZONES);
    }
    if (out->upstream == NULL || input->prompt == NULL) {
        return;
    }
    out->missing_tokens = missing_tokens(out->upstream, input, true);
    out->pending_tokens = out->missing_tokens + unshared_tokens(input->prompt);
    fill_forecast(out, input, options);
    /* The engine's sidecar applies the limit to all that entries have sent
     * there, which this entry does not know yet. */
    out->backlog_limit_tokens =
        pgw_engine_backlog_limit(out->upstream, out->pending_tokens, input);
    out->needs_claim = out->backlog_limit_tokens > 0;
    out->shared_tokens = pgw_prompt_shared(input->prompt);
    if (options->fetch_min_tokens < UINT32_MAX) {
        out->holder =
            find_holder(out->upstream, out->shared_tokens, input, &set);
    }
    if (out->holder != NULL) {
        out->holder_missing = missing_tokens(out->holder, input, false);
    }
}

void
pgw_choose(struct pgw_choice *out, const struct pgw_choose_input *input,
           const struct pgw_choose_options *options)
{
    struct pgw_choose_input filtered = *input;
    struct pgw_upstream_pool matching;

    memset(out, 0, sizeof(*out));
    if (input->pool == NULL) {
        return;
    }
    if (input->software == NULL) {
        choose_from_pool(out, input, options);
        return;
    }
    /* The version is more selective than the prompt's homes, which may run
     * another one. */
    pool_filter(&matching, input->pool, input->software);
    filtered.pool = &matching;
    filtered.homes = NULL;
    choose_from_pool(out, &filtered, options);
    g_ptr_array_unref(matching.all);
    g_ptr_array_unref(matching.local);
}
