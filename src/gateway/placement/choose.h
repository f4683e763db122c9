#ifndef PGW_GATEWAY_PLACEMENT_CHOOSE_H
#define PGW_GATEWAY_PLACEMENT_CHOOSE_H

#include "gateway/config/policy.h"
#include "gateway/pace/forecast.h"
#include "gateway/placement/cache_salt.h"
#include "gateway/placement/candidates.h"
#include "gateway/upstream/target_weights.h"
#include "gateway/upstream/upstream_table.h"

/**
 * DOC: Choice of the upstream for a request
 *
 * Pure functions over an entry's state, with the clock passed in. A plain call
 * goes to the least loaded upstream, preferably of the local zone. A prompt
 * goes to the engine with the lowest estimated cost until its first token,
 * counted in tokens to prefill.
 */

#define PGW_PROMPT_PARTS_MAX 16

/**
 * struct pgw_prompt_part - one part of a prompt
 * @id: hash of the part's id
 * @tokens: size of the part
 */
struct pgw_prompt_part {
    uint64_t id;
    uint32_t tokens;
};

/**
 * struct pgw_prompt - the properties of a prompt that the choice uses
 * @parts: in order; the last part is not shared with other requests
 * @part_count: number of @parts
 * @tokens: size of the prompt
 * @output_tokens: maximum number of tokens of the answer
 * @isolated_to: the isolated workspace that sends it, NULL: it is not isolated
 * @cache_scope: who may use its cached parts (cache_salt.h), NULL: all
 */
struct pgw_prompt {
    struct pgw_prompt_part parts[PGW_PROMPT_PARTS_MAX];
    size_t part_count;
    uint32_t tokens;
    uint32_t output_tokens;
    const char *isolated_to;
    const char *cache_scope;
};

/**
 * pgw_part_key() - key of a cached part
 * @model: name of the model
 * @salt: salt under which the part is cached
 * @id: pgw_part_id() of the part's id
 */
uint64_t pgw_part_key(const char *model, const char *salt, uint64_t id);

/** pgw_part_id() - hash of a part's id */
uint64_t pgw_part_id(const char *text, size_t size);

/**
 * struct pgw_choose_options - weights and limits of the choice
 * @plain_max_load: maximum load of a plain upstream, in multiples of its
 *   slots; a short queue there hides the time between two answers
 * @engine_max_load: the same for engines, where a queue only adds delay
 * @home_max_load: the same for homes of a prompt and for engines that have
 *   all of its shared parts cached, in pools that are not evaluated whole
 * @long_prefill_share: share of an engine's slots that long prompts with
 *   pending tokens may take
 * @non_home_weight: cost of prefilling shared parts on an engine that is no
 *   home of the prompt, in multiples of their tokens: entries that look for
 *   the parts at the homes do not find them and prefill them again
 * @kv_share: share of an engine's KV cache that may be reserved; a full cache
 *   preempts requests, and the estimates of several entries overlap
 * @max_backlog_ms: maximum prefill backlog of this entry at one engine while
 *   most of its pool is unavailable, in milliseconds of prefill; latency
 *   objectives are 300 to 1,000 ms, and other entries add their own backlog
 * @remote_zone_tokens_per_kb: cost of each KiB of a request that is sent to
 *   another availability zone, in tokens: where traffic between zones is
 *   expensive, 20 KB cost as much as prefilling 400 tokens
 * @running_cost_tokens: cost of each request that runs on an engine, in
 *   tokens: each makes a decode step half a percent longer, which adds up to
 *   10 to 20 tokens over one answer
 * @prefill_interference_weight: cost of prefilling a prompt for each request
 *   that runs on the engine, in multiples of the prompt's pending tokens:
 *   steps with prefill take five times as long, so long prompts go where few
 *   other requests are decoding
 * @divided_interference_weight: the same in a pool that is divided between
 *   long and short prompts
 * @short_lane_cost_tokens: cost of a short prompt at an engine for long ones,
 *   in tokens: 25 ms of prefill
 * @long_lane_cost_tokens: cost of a long prompt at an engine for short ones,
 *   in tokens: about one cold prompt that is prefilled before it
 * @full_cost_tokens: extra cost of an engine with all slots taken, in tokens
 * @long_prefill_tokens: assumed pending tokens of a long prompt that an engine
 *   prefills for another entry
 * @rank_cost_share: cost of each further rank, as a share of the shared
 *   tokens; decides where a cold prompt goes
 * @min_rank_cost_tokens: minimum cost of a rank, for short prompts
 * @recompute_weight: cost of prefilling a shared part that no engine is known
 *   to have cached, in multiples of its tokens: prefill also delays the
 *   engine's other requests
 * @fetch_cost_tokens: fixed cost of a fetch from another engine, in tokens: 2
 *   ms
 * @fetch_cost_weight: cost of each fetched token, in tokens: links transfer 7
 *   to 15 times as many tokens as an engine prefills in the same time
 * @fetch_min_tokens: fewer missing tokens are prefilled rather than fetched; a
 *   fetch takes about 2 ms
 * @failure_cost_tokens: cost of an upstream whose failure rate is 1, in tokens
 * @old_weights_cost_ms: cost of older weights, in milliseconds of prefill
 * @load_delay_weight: cost of each millisecond by which a request delays the
 *   load of new weights, as a share of the prefill possible in it: the engine
 *   serves nothing new until its runs have ended
 * @refusal_backoff_enabled: an engine that refuses several requests in a row
 *   gets none for a backoff time
 * @unhealthy_failure_rate: failure rate above which an upstream is unhealthy
 */
struct pgw_choose_options {
    double plain_max_load;
    double engine_max_load;
    double home_max_load;
    double long_prefill_share;
    double non_home_weight;
    double kv_share;
    double max_backlog_ms;
    double remote_zone_tokens_per_kb;
    double running_cost_tokens;
    double prefill_interference_weight;
    double divided_interference_weight;
    double short_lane_cost_tokens;
    double long_lane_cost_tokens;
    double full_cost_tokens;
    double long_prefill_tokens;
    double rank_cost_share;
    double min_rank_cost_tokens;
    double recompute_weight;
    double fetch_cost_tokens;
    double fetch_cost_weight;
    uint32_t fetch_min_tokens;
    double failure_cost_tokens;
    double old_weights_cost_ms;
    double load_delay_weight;
    bool refusal_backoff_enabled;
    double unhealthy_failure_rate;
};

#define PGW_CHOOSE_OPTIONS_INIT                                               \
    {                                                                         \
        .plain_max_load = 2.0, .engine_max_load = 1.0, .home_max_load = 2.0,  \
        .long_prefill_share = 0.5, .non_home_weight = 1.0, .kv_share = 0.92,  \
        .max_backlog_ms = 400, .remote_zone_tokens_per_kb = 20,               \
        .running_cost_tokens = 20, .prefill_interference_weight = 0.02,       \
        .divided_interference_weight = 0.1, .short_lane_cost_tokens = 1500,   \
        .long_lane_cost_tokens = 15000, .full_cost_tokens = 2000,             \
        .long_prefill_tokens = 6000, .rank_cost_share = 0.02,                 \
        .min_rank_cost_tokens = 15, .recompute_weight = 2.5,                  \
        .fetch_cost_tokens = 100, .fetch_cost_weight = 0.3,                   \
        .fetch_min_tokens = 32, .failure_cost_tokens = 4000,                  \
        .old_weights_cost_ms = 120, .load_delay_weight = 0.33,                \
        .refusal_backoff_enabled = true, .unhealthy_failure_rate = 0.35       \
    }

/** pgw_choose_options_apply() - disable the terms of mechanisms that are off
 */
void pgw_choose_options_apply(struct pgw_choose_options *options,
                              const struct pgw_policy *policy);

#define PGW_TRIED_MAX 8

/**
 * struct pgw_choose_input - a request and the state to choose by
 * @pool: upstreams of the service, NULL: none was ever known
 * @tried: upstreams that earlier attempts of the request went to
 * @tried_count: number of @tried
 * @only: the only upstream that may be chosen, NULL: any
 * @prompt: prompt of an engine's request; NULL for a plain call
 * @homes: homes of the prompt whose sidecars were probed; NULL: none
 * @model: model of the request; NULL for a plain call
 * @version: engines with older weights cost more, 0: no such cost
 * @target_weights: announced versions of the model, NULL: none
 * @old_weights_usable_us: a prompt that begins later than this after the
 *   announcement of a newer version is not sent to an engine
 * @newest_version: engines with older weights are going to load this version
 * @software: only upstreams of this software version, interned; NULL: of any
 * @size: bytes of the request
 * @run_ms: estimated time from the end of prefill to the end of the answer
 * @prefill_tokens_per_ms: prefill rate of an engine
 * @load_wait_ms: how long an engine that loads next waits for its turn
 * @objective_ms: latency objective of the first event, 0: none
 * @may_wait: the request can still be queued
 * @granted: engine whose sidecar has granted the prompt; NULL: none
 * @kv_tokens: KV cache size of an engine that has not reported its own
 * @now_us: monotonic time
 * @random: breaks ties, and seeds the sample of a large pool
 */
struct pgw_choose_input {
    const struct pgw_upstream_pool *pool;
    struct pgw_upstream *const *tried;
    size_t tried_count;
    const struct pgw_upstream *only;
    const struct pgw_prompt *prompt;
    const struct pgw_homes *homes;
    const char *model;
    uint64_t version;
    const struct pgw_target_weights *target_weights;
    uint64_t old_weights_usable_us;
    uint64_t newest_version;
    const char *software;
    size_t size;
    double run_ms;
    double prefill_tokens_per_ms;
    double load_wait_ms;
    double objective_ms;
    bool may_wait;
    const struct pgw_upstream *granted;
    uint64_t kv_tokens;
    uint64_t now_us;
    uint64_t random;
};

/**
 * struct pgw_choice - result of pgw_choose()
 * @upstream: the chosen upstream; NULL: none can take the request now
 * @holder: another engine that has more of the shared parts cached than
 *   @upstream; NULL: none
 * @holder_missing: shared tokens that @holder lacks
 * @missing_tokens: shared tokens that @upstream lacks
 * @shared_tokens: all shared tokens of the prompt
 * @busy: some upstream may take the request later
 * @limited: would have been chosen, but is at its limit; NULL: none
 * @limited_per_s: sum of the limits of all evaluated upstreams that are at
 *   them
 * @backoff_until_us: when the first of the evaluated upstreams that want no
 *   requests takes some again; 0: all do
 * @only_throttled: every upstream that may take the request is at its limit or
 *   wants no requests
 * @retry_at_us: end of the earliest backoff or probe interval that ruled out
 *   an upstream, or when an engine's backlog is short enough; 0: none did
 * @pending_tokens: tokens that @upstream has to prefill
 * @needs_claim: the sidecar of @upstream has to grant the prompt
 * @backlog_limit_tokens: most tokens that may be pending there with the prompt
 * @waits_for_backlog: the best engine has too many tokens to prefill now
 * @forecast: of the prompt at @upstream
 */
struct pgw_choice {
    struct pgw_upstream *upstream;
    struct pgw_upstream *holder;
    uint32_t holder_missing;
    uint32_t missing_tokens;
    uint32_t shared_tokens;
    bool busy;
    struct pgw_upstream *limited;
    double limited_per_s;
    uint64_t backoff_until_us;
    bool only_throttled;
    uint64_t retry_at_us;
    uint32_t pending_tokens;
    bool needs_claim;
    uint32_t backlog_limit_tokens;
    bool waits_for_backlog;
    struct pgw_forecast forecast;
};

/** pgw_prompt_chain() - shared parts of a prompt as a chain of levels, for
 * ranking */
void pgw_prompt_chain(struct pgw_level_chain *out,
                      const struct pgw_prompt *prompt);

/** pgw_prompt_shared() - number of tokens in the shared parts */
uint32_t pgw_prompt_shared(const struct pgw_prompt *prompt);

/** pgw_choose() - choose an upstream for a request */
void pgw_choose(struct pgw_choice *out, const struct pgw_choose_input *input,
                const struct pgw_choose_options *options);

#endif
