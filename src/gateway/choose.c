#include "gateway/choose.h"
#include <float.h>
#include <string.h>
#include <xxhash.h>

/* After so many refusals without an answer in between an engine takes nothing
 * at all. */
#define REFUSALS_IN_A_ROW 3

void
pgw_choose_options_apply(struct pgw_choose_options *options,
                         const struct pgw_policy *policy)
{
    const struct {
        enum pgw_mechanism mechanism;
        double *weight;
    } weights[] = {
        {PGW_MECHANISM_LOAD_NEXT, &options->load_delay_weight},
        {PGW_MECHANISM_OLD_WEIGHTS_COST, &options->old_weights_cost_ms},
        {PGW_MECHANISM_PROMPT_RANK, &options->rank_share},
        {PGW_MECHANISM_PROMPT_RANK, &options->rank_tokens},
        {PGW_MECHANISM_LONG_PREFILLS, &options->long_prefill_tokens},
        {PGW_MECHANISM_PREFILL_INTERFERENCE, &options->harm_share},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(weights); i++) {
        if (!pgw_policy_is_on(policy, weights[i].mechanism)) {
            *weights[i].weight = 0;
        }
    }
    options->refusal_backoff_enabled =
        pgw_policy_is_on(policy, PGW_MECHANISM_REFUSAL_BACKOFF);
    if (!pgw_policy_is_on(policy, PGW_MECHANISM_ENGINE_FETCH)) {
        options->fetch_min_tokens = UINT32_MAX;
    }
}

static bool
was_tried(const struct pgw_choose_input *input,
          const struct pgw_upstream *upstream)
{
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
           upstream->failure_rate > options->bad_rate;
}

/* Plain calls: how long the queue would be, in rounds of the slots. */
static double
plain_cost(const struct pgw_upstream *upstream,
           const struct pgw_choose_options *options, uint64_t now_us)
{
    double load = pgw_upstream_load_estimate(upstream, now_us);
    double rounds = (load + 1.0) / upstream->slots;
    double cost = rounds;

    if (rounds > options->plain_max_load) {
        return DBL_MAX;
    }
    /* Half a round is what a call may wait before it crosses to another
     * zone, whose bytes cost and whose way is longer. */
    if (!upstream->same_zone) {
        cost += 0.5;
    }
    if (now_us < upstream->warmup_until_us) {
        cost += 0.5;
    }
    /* An upstream that fails every second call is worth half a round more. */
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

/* Tokens that no other request shares: always read. */
static uint32_t
own_tokens(const struct pgw_prompt *prompt)
{
    return prompt->part_count == 0
               ? prompt->tokens
               : prompt->parts[prompt->part_count - 1].tokens;
}

void
pgw_cache_salt(char out[PGW_CACHE_SALT_SIZE], uint64_t version,
               const char *isolated_to)
{
    g_snprintf(out, PGW_CACHE_SALT_SIZE, "w%" G_GUINT64_FORMAT "%s%s", version,
               isolated_to == NULL ? "" : "-",
               isolated_to == NULL ? "" : isolated_to);
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
 * struct survey - the candidates and what they hold of one prompt, by position
 * @candidates: upstreams that are weighed
 * @missing: shared tokens that each lacks, counting what is on its way there
 * @confirmed: the same by its sidecar's word alone
 * @few: less than half of the candidates can be used now
 */
struct survey {
    struct pgw_candidates candidates;
    uint32_t missing[PGW_CANDIDATES_MAX];
    uint32_t confirmed[PGW_CANDIDATES_MAX];
    bool few;
};

/* A part counts only behind all before it. */
static uint32_t
missing_tokens(const struct pgw_upstream *upstream,
               const struct pgw_choose_input *input, bool expected)
{
    const struct pgw_prompt *prompt = input->prompt;
    uint64_t version = pgw_upstream_version(upstream, input->model);
    uint32_t missing = pgw_prompt_shared(prompt);
    char salt[PGW_CACHE_SALT_SIZE];

    pgw_cache_salt(salt, version, prompt->isolated_to);
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
memory_of(const struct pgw_upstream *upstream,
          const struct pgw_choose_input *input)
{
    return upstream->load.kv_total > 0 ? upstream->load.kv_total
                                       : input->kv_tokens;
}

/* Whether the request fits beside what runs there; one alone always may. */
static bool
fits_memory(const struct pgw_upstream *upstream,
            const struct pgw_choose_input *input,
            const struct pgw_choose_options *options)
{
    uint64_t total = memory_of(upstream, input);
    uint64_t used = pgw_upstream_kv_estimate(upstream, input->now_us);
    uint64_t need =
        (uint64_t)input->prompt->tokens + input->prompt->output_tokens;

    return total == 0 || used == 0 ||
           (double)(used + need) <= (double)total * options->memory_share;
}

/*
 * Failure: most engines of a pool are away, and one is back first. Symptom:
 * all that waits is sent there at once, to wait for its turn to be read; what
 * may not run twice cannot be taken back when another engine is free, or when
 * the machine of this one stands still. More than it reads in a part of an
 * objective waits at the entry, where the next free engine takes it. One
 * prompt alone always may. While most engines are there the costs spread
 * requests, and a bound would only send prompts away from where they are
 * cached.
 */
static bool
fits_reading(const struct pgw_upstream *upstream, uint32_t tokens,
             const struct pgw_choose_input *input,
             const struct pgw_choose_options *options)
{
    return upstream->prefill_tokens == 0 ||
           input->prefill_tokens_per_ms <= 0 ||
           (double)(upstream->prefill_tokens + tokens) <=
               options->reading_ms * input->prefill_tokens_per_ms;
}

/* The engine that lacks least of the prompt by its sidecar's word and could
 * give it to @upstream; NULL when none has more. */
static struct pgw_upstream *
find_holder(const struct pgw_upstream *upstream, uint32_t missing,
            const struct pgw_choose_input *input, const struct survey *survey)
{
    uint64_t version = pgw_upstream_version(upstream, input->model);
    struct pgw_upstream *best = NULL;

    for (size_t i = 0; i < survey->candidates.count; i++) {
        struct pgw_upstream *other = survey->candidates.items[i];

        /* Among equals one of the same zone: the way is shorter. */
        if (other == upstream || survey->confirmed[i] > missing ||
            (survey->confirmed[i] == missing &&
             (best == NULL || best->same_zone || !other->same_zone)) ||
            !pgw_upstream_is_usable(other, input->now_us) ||
            input->now_us < other->avoid_until_us ||
            pgw_upstream_liveness(other, input->now_us) != PGW_RESPONSIVE ||
            pgw_upstream_version(other, input->model) != version) {
            continue;
        }
        missing = survey->confirmed[i];
        best = other;
    }
    return best;
}

/* What it costs to get the shared parts that an engine lacks: a fetch where
 * another one holds them, reading them again where none does. */
static double
missing_cost(const struct pgw_upstream *upstream, uint32_t missing,
             const struct pgw_choose_input *input,
             const struct pgw_choose_options *options,
             const struct survey *survey)
{
    if (missing == 0) {
        return 0;
    }
    if (missing >= options->fetch_min_tokens &&
        find_holder(upstream, missing, input, survey) != NULL) {
        return options->fetch_tokens + options->fetch_share * missing;
    }
    return options->reread_weight * missing;
}

/* Requests that run slow each other down a little, and a lot once there are
 * as many as there are places. */
static double
crowd_cost(const struct pgw_upstream *upstream, uint32_t reading,
           const struct pgw_choose_options *options, uint64_t now_us)
{
    double load = pgw_upstream_load_estimate(upstream, now_us);
    double fullness = load / upstream->slots;

    return load * (options->request_tokens + options->harm_share * reading) +
           fullness * fullness * options->full_tokens;
}

/* What was announced is known; of the rest the number of prompts is. */
static double
reading_for_others(const struct pgw_upstream *upstream,
                   const struct pgw_choose_options *options,
                   double prefill_tokens_per_ms, uint64_t now_us)
{
    if (options->long_prefill_tokens <= 0) {
        return 0;
    }
    return upstream->load.unread > 0
               ? pgw_upstream_others_pending_tokens(
                     upstream, prefill_tokens_per_ms, now_us)
               : pgw_upstream_others_long_prefills(upstream, now_us) *
                     options->long_prefill_tokens;
}

static bool
is_home(const struct survey *survey, size_t position)
{
    return position < survey->candidates.home_count;
}

/*
 * Failure: all engines of a pool are full. Symptom: whoever has a free place
 * gets the next prompt, cold; it is read again each time, which takes three
 * times the engine's time, so that they stay full long after the cause is
 * over. A home is worth a wait in its queue, and so is who holds the parts. An
 * engine that will load weights refuses its queue then, and drops the parts.
 */
static double
depth_limit(const struct pgw_upstream *upstream, size_t position,
            const struct pgw_choose_input *input,
            const struct pgw_choose_options *options,
            const struct survey *survey)
{
    bool affine =
        survey->candidates.home_count > 0 &&
        (is_home(survey, position) || survey->missing[position] == 0) &&
        pgw_upstream_version(upstream, input->model) >=
            input->newest_version &&
        pgw_prompt_shared(input->prompt) >= PGW_LONG_PREFILL_TOKENS;

    return (affine ? options->home_depth : options->engine_depth) *
           upstream->slots;
}

/*
 * Failure: long prompts take all places of an engine. Symptom: it puts them
 * back as soon as a request of a more urgent route comes, and reads them again
 * from their beginning. One prompt is read at a time, so more than some only
 * wait there in place of others.
 */
static bool
fits_beside_long(const struct pgw_upstream *upstream, uint32_t tokens,
                 const struct pgw_choose_input *input,
                 const struct pgw_choose_options *options)
{
    double there = upstream->long_prefills +
                   pgw_upstream_others_long_prefills(upstream, input->now_us);

    return tokens < PGW_LONG_PREFILL_TOKENS ||
           there < MAX(options->long_share * upstream->slots, 1);
}

/* What is read where other entries do not look for it will be read again. */
static double
stray_cost(size_t position, const struct pgw_choose_input *input,
           const struct pgw_choose_options *options,
           const struct survey *survey)
{
    return survey->candidates.home_count == 0 || is_home(survey, position) ||
                   survey->missing[position] == 0
               ? 0
               : options->stray_share * pgw_prompt_shared(input->prompt);
}

static double
engine_cost(const struct pgw_upstream *upstream, size_t position,
            const struct pgw_choose_input *input,
            const struct pgw_choose_options *options,
            const struct survey *survey)
{
    uint32_t load = pgw_upstream_load_estimate(upstream, input->now_us);
    uint64_t version = pgw_upstream_version(upstream, input->model);
    double rank_tokens =
        MAX(options->rank_share * pgw_prompt_shared(input->prompt),
            options->rank_tokens);
    double cost;

    if (load + 1 > depth_limit(upstream, position, input, options, survey) ||
        !fits_memory(upstream, input, options) ||
        !fits_beside_long(
            upstream, survey->missing[position] + own_tokens(input->prompt),
            input, options) ||
        (survey->few &&
         !fits_reading(upstream,
                       survey->missing[position] + own_tokens(input->prompt),
                       input, options))) {
        return DBL_MAX;
    }
    if (version < input->min_version) {
        return DBL_MAX;
    }
    cost = (double)upstream->prefill_tokens +
           reading_for_others(upstream, options, input->prefill_tokens_per_ms,
                              input->now_us);
    cost += missing_cost(upstream, survey->missing[position], input, options,
                         survey);
    cost += crowd_cost(upstream,
                       survey->missing[position] + own_tokens(input->prompt),
                       options, input->now_us);
    cost += survey->candidates.rank[position] * rank_tokens;
    cost += stray_cost(position, input, options, survey);
    if (upstream->is_next_to_load) {
        cost += MAX(input->run_ms - input->load_wait_ms, 0) *
                options->load_delay_weight * input->prefill_tokens_per_ms;
    }
    if (!upstream->same_zone) {
        cost += (double)input->size * options->zone_tokens_per_kb / 1024;
    }
    cost += version < input->version
                ? options->old_weights_cost_ms * input->prefill_tokens_per_ms
                : 0;
    return cost + upstream->failure_rate * options->failing_tokens;
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
make_survey(struct survey *out, const struct pgw_choose_input *input,
            enum pgw_candidates_scope from)
{
    struct pgw_candidates *candidates = &out->candidates;
    struct pgw_level_chain chain;
    size_t usable = 0;

    if (input->prompt == NULL) {
        pgw_candidates_pick(candidates, input->pool, from, NULL, NULL,
                            input->random, input->now_us);
        return;
    }
    pgw_prompt_chain(&chain, input->prompt);
    pgw_candidates_pick(candidates, input->pool, from, input->homes, &chain,
                        input->random, input->now_us);
    for (size_t i = 0; i < candidates->count; i++) {
        out->missing[i] = missing_tokens(candidates->items[i], input, true);
        out->confirmed[i] = missing_tokens(candidates->items[i], input, false);
        usable += pgw_upstream_is_usable(candidates->items[i], input->now_us);
    }
    out->few = usable * 2 < candidates->count;
}

static double
cost_of(const struct pgw_upstream *upstream, size_t position,
        const struct pgw_choose_input *input,
        const struct pgw_choose_options *options, const struct survey *survey)
{
    return input->prompt == NULL
               ? plain_cost(upstream, options, input->now_us)
               : engine_cost(upstream, position, input, options, survey);
}

static void
ask_again_at(struct pgw_choice *out, uint64_t at_us)
{
    if (out->retry_at_us == 0 || at_us < out->retry_at_us) {
        out->retry_at_us = at_us;
    }
}

/*
 * Failure: an engine's machine is suspended while all others load or are full.
 * Symptom: it looks idle, so it is sent request after request, none of which
 * can be taken back or told to be "not run"; their callers wait for nothing
 * until they leave. Without a word of its sidecar or a byte of its own it gets
 * one request at a time to find out; what waits for a place elsewhere can
 * still be refused truthfully.
 */
static bool
awaits_probe(struct pgw_choice *out, const struct pgw_upstream *upstream,
             const struct pgw_choose_input *input)
{
    if (pgw_upstream_liveness(upstream, input->now_us) != PGW_UNRESPONSIVE ||
        input->now_us >= upstream->probe_at_us) {
        return false;
    }
    ask_again_at(out, upstream->probe_at_us);
    return true;
}

/*
 * Failure: an engine loads new weights while the word of its sidecar does not
 * get here, or more entries than it has places send to it. Symptom: it refuses
 * everything at once, so it looks idle and is sent more than any other; 90
 * requests in 0.6 s on a day with cut links, each a repeat less in the budget.
 * Until it is asked again requests wait, which they can do for far longer.
 */
static bool
backs_off(struct pgw_choice *out, const struct pgw_upstream *upstream,
          const struct pgw_choose_input *input,
          const struct pgw_choose_options *options)
{
    /* A plain service that is full has a place again within milliseconds, and
     * an engine that refuses once may have meant a long prompt. */
    if (!options->refusal_backoff_enabled || input->prompt == NULL ||
        upstream->refusals < REFUSALS_IN_A_ROW ||
        input->now_us >= upstream->full_until_us) {
        return false;
    }
    ask_again_at(out, upstream->full_until_us);
    return true;
}

/* One pass over the candidates; @unhealthy takes those that failed lately as
 * well. */
static struct pgw_upstream *
cheapest(struct pgw_choice *out, const struct pgw_choose_input *input,
         const struct pgw_choose_options *options, const struct survey *survey,
         bool unhealthy)
{
    struct pgw_upstream *best = NULL;
    double best_cost = DBL_MAX;

    for (size_t i = 0; i < survey->candidates.count; i++) {
        struct pgw_upstream *upstream = survey->candidates.items[i];
        double cost;

        if (!pgw_upstream_is_usable(upstream, input->now_us)) {
            out->busy |= upstream->loading && !upstream->leaving;
            continue;
        }
        if (was_tried(input, upstream)) {
            continue;
        }
        out->busy = true;
        if (awaits_probe(out, upstream, input) ||
            backs_off(out, upstream, input, options)) {
            continue;
        }
        if (!unhealthy && is_unhealthy(upstream, options, input->now_us)) {
            continue;
        }
        cost = cost_of(upstream, i, input, options, survey);
        if (cost < best_cost) {
            best_cost = cost;
            best = upstream;
        }
    }
    return best;
}

static struct pgw_upstream *
cheapest_of(struct pgw_choice *out, const struct pgw_choose_input *input,
            const struct pgw_choose_options *options, struct survey *survey,
            enum pgw_candidates_scope from)
{
    struct pgw_upstream *upstream;

    make_survey(survey, input, from);
    upstream = cheapest(out, input, options, survey, false);
    return upstream != NULL ? upstream
                            : cheapest(out, input, options, survey, true);
}

void
pgw_choose(struct pgw_choice *out, const struct pgw_choose_input *input,
           const struct pgw_choose_options *options)
{
    struct survey survey;

    memset(out, 0, sizeof(*out));
    if (input->pool == NULL) {
        return;
    }
    out->upstream =
        cheapest_of(out, input, options, &survey, PGW_CANDIDATES_LOCAL_ZONE);
    if (out->upstream == NULL && !survey.candidates.all) {
        out->upstream = cheapest_of(out, input, options, &survey,
                                    PGW_CANDIDATES_ALL_ZONES);
    }
    if (out->upstream == NULL || input->prompt == NULL) {
        return;
    }
    out->missing_tokens = missing_tokens(out->upstream, input, true);
    out->shared_tokens = pgw_prompt_shared(input->prompt);
    if (options->fetch_min_tokens < UINT32_MAX) {
        out->holder =
            find_holder(out->upstream, out->shared_tokens, input, &survey);
    }
    if (out->holder != NULL) {
        out->holder_missing = missing_tokens(out->holder, input, false);
    }
}
