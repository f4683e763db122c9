#include "gateway/placement/engine_wait.h"

/* Engines whose rate differs by less than this factor count as equal. */
#define EQUAL_RATES 1.4
/* Part of the objective that short prompts may wait in an engine's queue. */
#define START_DELAY_SHARE 0.6

/* Least time for each token of a prompt until it begins, on an engine that is
 * busy because all others load weights. */
#define START_TOKEN_US 100ULL
/* A start is taken to be this many times later than observed queues show. */
#define START_MARGIN 1.5

/* Estimated tokens that an engine has to prefill for other entries: those
 * announced if any were, else from the number of long prompts. */
static double
other_entries_prefill(const struct pgw_upstream *upstream,
                      const struct pgw_choose_options *options,
                      double prefill_tokens_per_ms, uint64_t now_us)
{
    if (options->long_prefill_tokens <= 0) {
        return 0;
    }
    return upstream->load.pending_tokens > 0
               ? pgw_upstream_others_pending_tokens(
                     upstream, prefill_tokens_per_ms, now_us)
               : pgw_upstream_others_long_prefills(upstream, now_us) *
                     options->long_prefill_tokens;
}

double
pgw_engine_rate(const struct pgw_upstream *upstream,
                const struct pgw_choose_input *input)
{
    return pgw_engine_pace_rate(&upstream->pace, input->prefill_tokens_per_ms,
                                input->now_us);
}

double
pgw_engine_backlog_tokens(const struct pgw_upstream *upstream,
                          const struct pgw_choose_input *input,
                          const struct pgw_choose_options *options)
{
    return (double)upstream->prefill_tokens +
           other_entries_prefill(upstream, options,
                                 input->prefill_tokens_per_ms, input->now_us);
}

/* Whether a long prompt takes part in the limit of backlogs. */
static bool
is_backlog_limited(const struct pgw_upstream *upstream,
                   uint32_t pending_tokens,
                   const struct pgw_choose_input *input)
{
    return input->may_wait && input->objective_ms > 0 &&
           input->prefill_tokens_per_ms > 0 &&
           upstream->lane != PGW_LANE_NONE &&
           pending_tokens >= PGW_LONG_PREFILL_TOKENS;
}

/*
 * Failure: more short prompts arrive than all engines prefill, and each is
 * sent at once. Symptom: they wait in the engines' queues, all of them for
 * longer than their objective, and nobody can decide any more whose turn it
 * is. Therefore they stay queued at the entry while even the best engine lets
 * them wait for most of the objective.
 *
 * Return: microseconds until the engine takes the prompt, 0: now.
 */
static uint64_t
start_wait_us(const struct pgw_upstream *upstream,
              const struct pgw_choose_input *input)
{
    uint64_t delay_us =
        pgw_start_delay_estimate_us(&upstream->start_delay, input->now_us);
    uint64_t limit_us =
        (uint64_t)(input->objective_ms * 1000 * START_DELAY_SHARE);

    return input->may_wait && limit_us > 0 && delay_us > limit_us
               ? delay_us - limit_us
               : 0;
}

/* Most milliseconds of prefill before a prompt. A large one would be late
 * behind any backlog; it still gets in where half an objective is pending. */
static double
backlog_limit_ms(double prompt_ms, const struct pgw_choose_input *input)
{
    return MAX(input->objective_ms - prompt_ms, input->objective_ms / 2);
}

/*
 * Failure: an engine becomes free, or looks so in a report that is older than
 * the decisions on it, while long prompts wait at many entries. Symptom: it
 * gets all of them, and the last one waits for seconds while other engines are
 * idle again. Therefore an engine's backlog is limited to the latency
 * objective, and further long prompts stay queued at their entries, where they
 * can still go elsewhere.
 *
 * Return: microseconds until the engine takes the prompt, 0: now.
 */
uint64_t
pgw_engine_wait_us(const struct pgw_upstream *upstream,
                   uint32_t pending_tokens,
                   const struct pgw_choose_input *input,
                   const struct pgw_choose_options *options)
{
    double rate = pgw_engine_rate(upstream, input);
    double backlog_ms;
    double limit_ms;

    if (pending_tokens < PGW_LONG_PREFILL_TOKENS) {
        return start_wait_us(upstream, input);
    }
    if (!is_backlog_limited(upstream, pending_tokens, input) ||
        upstream == input->granted) {
        return 0;
    }
    backlog_ms = pgw_engine_backlog_tokens(upstream, input, options) / rate;
    limit_ms = backlog_limit_ms(pending_tokens / rate, input);
    if (backlog_ms > limit_ms) {
        return (uint64_t)((backlog_ms - limit_ms) * 1000) + 1;
    }
    return upstream->claim_at_us > input->now_us
               ? upstream->claim_at_us - input->now_us
               : 0;
}

double
pgw_engine_slowness(const struct pgw_upstream *upstream,
                    const struct pgw_choose_input *input)
{
    double rate = pgw_engine_rate(upstream, input);
    double slowness = rate > 0 ? input->prefill_tokens_per_ms / rate : 1;

    return slowness > 1 / EQUAL_RATES && slowness < EQUAL_RATES ? 1 : slowness;
}

uint64_t
pgw_engine_start_us(const struct pgw_upstream *upstream,
                    uint32_t pending_tokens,
                    const struct pgw_choose_input *input,
                    const struct pgw_choose_options *options)
{
    double rate = pgw_engine_rate(upstream, input);
    double load = pgw_upstream_load_estimate(upstream, input->now_us);
    double queued = MAX(load + 1 - upstream->slots, 0);
    double wait_ms = queued * input->run_ms / MAX(upstream->slots, 1);
    uint64_t observed_us =
        pgw_start_delay_estimate_us(&upstream->start_delay, input->now_us);

    if (rate > 0) {
        wait_ms += (pgw_engine_backlog_tokens(upstream, input, options) +
                    pending_tokens) /
                   rate;
    }
    return MAX(
        input->prompt->tokens * START_TOKEN_US,
        (uint64_t)(START_MARGIN * MAX(wait_ms * 1000, (double)observed_us)));
}

uint32_t
pgw_engine_backlog_limit(const struct pgw_upstream *upstream,
                         uint32_t pending_tokens,
                         const struct pgw_choose_input *input)
{
    double rate = pgw_engine_rate(upstream, input);
    double prompt_ms = pending_tokens / rate;

    return is_backlog_limited(upstream, pending_tokens, input)
               ? (uint32_t)(rate *
                            (backlog_limit_ms(prompt_ms, input) + prompt_ms))
               : 0;
}
