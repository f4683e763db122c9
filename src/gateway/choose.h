#ifndef PGW_GATEWAY_CHOOSE_H
#define PGW_GATEWAY_CHOOSE_H

#include "gateway/candidates.h"
#include "gateway/policy.h"
#include "gateway/upstream_table.h"

/**
 * DOC: Which upstream gets a request
 *
 * Pure decisions over an entry's knowledge, with the clock passed in. Plain
 * calls go to the least loaded upstream nearby; prompts go where the least
 * remains to be computed before their first token.
 */

#define PGW_PROMPT_PARTS_MAX 16

/**
 * struct pgw_prompt_part - one part of a prompt
 * @id: hash of its id
 * @tokens: its size
 */
struct pgw_prompt_part {
    uint64_t id;
    uint32_t tokens;
};

/**
 * struct pgw_prompt - what placement needs to know of a prompt
 * @parts: in order; the last one belongs to this request alone
 * @part_count: number of @parts
 * @tokens: size of the prompt
 * @output_tokens: most tokens of the answer
 * @isolated_to: workspace that alone may use its cached parts, NULL: all may
 */
struct pgw_prompt {
    struct pgw_prompt_part parts[PGW_PROMPT_PARTS_MAX];
    size_t part_count;
    uint32_t tokens;
    uint32_t output_tokens;
    const char *isolated_to;
};

#define PGW_CACHE_SALT_SIZE 96

/**
 * pgw_cache_salt() - text under which a prompt's parts are cached
 * @out: receives the text
 * @version: weights that compute them
 * @isolated_to: workspace that alone may use them, NULL: all may
 *
 * Neither engines nor their store look at version or workspace: a part that
 * is found under the same text is used. So the text names both.
 */
void pgw_cache_salt(char out[PGW_CACHE_SALT_SIZE], uint64_t version,
                    const char *isolated_to);

/**
 * pgw_part_key() - identity of a cached part
 * @model: name of the model
 * @salt: text that it is cached under
 * @id: pgw_part_id() of its id
 */
uint64_t pgw_part_key(const char *model, const char *salt, uint64_t id);

/** pgw_part_id() - hash of a part's id */
uint64_t pgw_part_id(const char *text, size_t size);

/**
 * struct pgw_choose_options - thresholds of the choice
 * @plain_max_load: a plain upstream gets no more than this times its slots:
 * its own short queue hides the time between two answers
 * @engine_depth: the same for engines, whose queue only delays
 * @home_depth: the same for homes of a prompt and for holders of its parts, in
 *   pools that are not weighed whole
 * @long_share: part of an engine's places that long prompts may take which it
 *   has not read yet
 * @stray_share: cost of reading shared parts on an engine that is no home of
 *   the prompt, in times their tokens: they are read again by who looks for
 *   them at the homes
 * @memory_share: part of an engine's memory that may be promised; preemption
 *   begins when it is full, and estimates of several entries overlap
 * @reading_ms: what this entry has an engine read at a time while most of its
 *   pool is away, in milliseconds of its reading: objectives are 300 to 1,000
 *   ms, and other entries have it read, too
 * @zone_tokens_per_kb: what a KiB of a request costs that crosses to another
 *   availability zone, in tokens: where such bytes are dear, 20 KB cost as
 *   much as reading 400 tokens again
 * @request_tokens: what each request at an engine delays another, in tokens:
 *   a step grows by half a percent with each, which is 10 to 20 tokens in the
 *   time of one answer
 * @harm_share: what reading a prompt's tokens costs each request that runs
 *   there, in times these tokens: steps that read take five times as long, so
 *   long prompts go where few others wait for their next token
 * @full_tokens: the same of an engine with all places taken
 * @long_prefill_tokens: what is left on average of a long prompt that an
 *   engine reads for another entry
 * @rank_share: cost of each rank further down, as a part of the shared tokens:
 *   settles where a prompt that is cached nowhere goes
 * @rank_tokens: the least cost of a rank, for short prompts
 * @reread_weight: cost of reading a shared part that no engine is known to
 *   hold, in times its tokens: it takes the engine's time from others, too
 * @fetch_tokens: cost of a fetch from another engine, in tokens: 2 ms
 * @fetch_share: and of each token that it moves: links carry seven to fifteen
 *   times what an engine reads
 * @fetch_min_tokens: less is read again rather than fetched; a fetch takes
 *   about two milliseconds
 * @failing_tokens: cost of an upstream that fails always
 * @old_weights_cost_ms: cost of older weights, in milliseconds of an engine's
 * reading
 * @load_delay_weight: what each millisecond costs that a request will run
 * beyond the turn of an engine which is among the next to load, as a part of
 * what an engine reads in it: until its runs have ended it serves nobody
 * @refusal_backoff_enabled: engines that refuse several times in a row are
 * left alone
 * @bad_rate: failure rate above which an upstream counts as unhealthy
 */
struct pgw_choose_options {
    double plain_max_load;
    double engine_depth;
    double home_depth;
    double long_share;
    double stray_share;
    double memory_share;
    double reading_ms;
    double zone_tokens_per_kb;
    double request_tokens;
    double harm_share;
    double full_tokens;
    double long_prefill_tokens;
    double rank_share;
    double rank_tokens;
    double reread_weight;
    double fetch_tokens;
    double fetch_share;
    uint32_t fetch_min_tokens;
    double failing_tokens;
    double old_weights_cost_ms;
    double load_delay_weight;
    bool refusal_backoff_enabled;
    double bad_rate;
};

#define PGW_CHOOSE_OPTIONS_INIT                                               \
    {                                                                         \
        .plain_max_load = 2.0, .engine_depth = 1.0, .home_depth = 2.0,        \
        .long_share = 0.5, .stray_share = 1.0, .memory_share = 0.92,          \
        .reading_ms = 400, .zone_tokens_per_kb = 20, .request_tokens = 20,    \
        .harm_share = 0.02, .full_tokens = 2000, .long_prefill_tokens = 6000, \
        .rank_share = 0.02, .rank_tokens = 15, .reread_weight = 2.5,          \
        .fetch_tokens = 100, .fetch_share = 0.3, .fetch_min_tokens = 32,      \
        .failing_tokens = 4000, .old_weights_cost_ms = 120,                   \
        .load_delay_weight = 0.33, .refusal_backoff_enabled = true,           \
        .bad_rate = 0.35                                                      \
    }

/** pgw_choose_options_apply() - leave out what is switched off */
void pgw_choose_options_apply(struct pgw_choose_options *options,
                              const struct pgw_policy *policy);

#define PGW_TRIED_MAX 8

/**
 * struct pgw_choose_input - one question
 * @pool: upstreams of the service, NULL: there never was one
 * @tried: upstreams that had the request before
 * @tried_count: number of @tried
 * @prompt: of an engine's request; NULL for a plain call
 * @homes: of the prompt, whose sidecars were asked; NULL: none
 * @model: whose weights; NULL for a plain call
 * @version: engines with older weights cost more, 0: none does
 * @min_version: engines with older weights are not used
 * @newest_version: engines with older weights will load it
 * @size: bytes of the request
 * @run_ms: how long it runs once its prompt is read, as far as can be told
 * @prefill_tokens_per_ms: tokens that an engine reads in a millisecond
 * @load_wait_ms: how long an engine that is among the next to load waits for
 * that
 * @kv_tokens: memory of one engine where it has not said
 * @now_us: monotonic time
 * @random: settles between equals, and who of a large pool is weighed
 */
struct pgw_choose_input {
    const struct pgw_upstream_pool *pool;
    struct pgw_upstream *const *tried;
    size_t tried_count;
    const struct pgw_prompt *prompt;
    const struct pgw_homes *homes;
    const char *model;
    uint64_t version;
    uint64_t min_version;
    uint64_t newest_version;
    size_t size;
    double run_ms;
    double prefill_tokens_per_ms;
    double load_wait_ms;
    uint64_t kv_tokens;
    uint64_t now_us;
    uint64_t random;
};

/**
 * struct pgw_choice - the answer
 * @upstream: where to send it; NULL: nowhere now
 * @holder: another upstream that should hold the shared parts that @upstream
 *   lacks; NULL when there is none
 * @holder_missing: shared tokens that @holder lacks
 * @missing_tokens: shared tokens that @upstream lacks
 * @shared_tokens: all shared tokens of the prompt
 * @busy: some upstream could take it later
 * @retry_at_us: when the first one that refused of late is asked again; 0:
 *   none did
 */
struct pgw_choice {
    struct pgw_upstream *upstream;
    struct pgw_upstream *holder;
    uint32_t holder_missing;
    uint32_t missing_tokens;
    uint32_t shared_tokens;
    bool busy;
    uint64_t retry_at_us;
};

/** pgw_prompt_chain() - the shared parts of a prompt, for ranking */
void pgw_prompt_chain(struct pgw_level_chain *out,
                      const struct pgw_prompt *prompt);

/** pgw_prompt_shared() - tokens of its shared parts */
uint32_t pgw_prompt_shared(const struct pgw_prompt *prompt);

/** pgw_choose() - pick an upstream */
void pgw_choose(struct pgw_choice *out, const struct pgw_choose_input *input,
                const struct pgw_choose_options *options);

#endif
