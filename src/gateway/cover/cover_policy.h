#ifndef PGW_GATEWAY_COVER_COVER_POLICY_H
#define PGW_GATEWAY_COVER_COVER_POLICY_H

#include "gateway/cover/engine_losses.h"
#include "gateway/upstream/upstream_table.h"

/**
 * DOC: Which runs are copied to a second engine, and to which
 *
 * Answers the load of engines that end in the middle of runs which no other
 * engine may begin again. A copy costs time of two links and room at its
 * holder, where cached parts yield to it; without it, the loss of an engine
 * costs the prompt's prefill and the caller's answer. A run is covered where
 * the expected loss exceeds the cost, so only while engines are being lost,
 * and only if another engine has room. Pure functions over an entry's state,
 * with clock and randomness passed in.
 */

/**
 * struct pgw_cover_options - weights and limits of the decision
 * @answer_tokens: what a lost answer is worth, in tokens of prefill, beside
 *   those of its prompt
 * @min_tokens: shorter prompts are not covered: setting a transfer up costs an
 *   engine as much as their prefill
 * @use_share: share of the runs whose engine is lost that go on from their
 *   copy; others have no event yet, or lose their holder too
 * @room_weight: cost of the room that a copied token takes, in tokens of
 *   prefill: parts of prompts yield to it, some of which are prefilled again
 * @link_weight: cost of a link's time as a share of the cost of an engine's:
 *   transfers run beside the engine, and links are mostly idle
 * @copy_time: time of copying a token, as a share of the time of its prefill,
 *   if the configuration does not state the sizes from which it follows
 * @remote_factor: factor of that cost between availability zones
 * @ill_failure_rate: an engine with a higher rate of failed attempts may be
 *   about to end
 * @max_load: highest share of a holder's slots that are taken
 * @max_kv: highest share of a holder's KV cache that is taken, with the copy
 * @spread: random part of a holder's cost, so that the copies of several
 *   entries do not all go to the engine that reported the most room
 * @candidates: engines of a pool that are evaluated
 */
struct pgw_cover_options {
    double answer_tokens;
    uint32_t min_tokens;
    double use_share;
    double room_weight;
    double link_weight;
    double copy_time;
    double remote_factor;
    double ill_failure_rate;
    double max_load;
    double max_kv;
    double spread;
    unsigned candidates;
};

#define PGW_COVER_OPTIONS_INIT                                                \
    {                                                                         \
        .answer_tokens = 10000, .min_tokens = 500, .use_share = 0.6,          \
        .room_weight = 0.02, .link_weight = 0.1, .copy_time = 0.1,            \
        .remote_factor = 2, .ill_failure_rate = 0.2, .max_load = 0.8,         \
        .max_kv = 0.8, .spread = 0.3, .candidates = 64                        \
    }

/**
 * struct pgw_cover_input - a run that is about to be sent
 * @pool: engines of the service
 * @engine: the engine that was chosen
 * @losses: engines lost lately
 * @service: hash of the service's name, as in @losses
 * @model: name of the model
 * @prompt_tokens: size of the prompt
 * @output_tokens: maximum size of the answer
 * @run_ms: estimated time until the end of the answer
 * @kv_tokens: KV cache size of an engine that has not reported its own
 * @kv_token_bytes: bytes of KV cache of one token, 0: unknown
 * @link_bytes_per_ms: speed of an engine's link, 0: unknown
 * @prefill_tokens_per_ms: prefill rate of an engine, 0: unknown
 * @now_us: monotonic time
 * @random: first candidate, and the random part of their costs
 */
struct pgw_cover_input {
    const struct pgw_upstream_pool *pool;
    const struct pgw_upstream *engine;
    const struct pgw_engine_losses *losses;
    uint64_t service;
    const char *model;
    uint32_t prompt_tokens;
    uint32_t output_tokens;
    double run_ms;
    uint64_t kv_tokens;
    double kv_token_bytes;
    double link_bytes_per_ms;
    double prefill_tokens_per_ms;
    uint64_t now_us;
    uint64_t random;
};

/**
 * struct pgw_cover - result of pgw_cover_decide()
 * @holder: the engine that receives the copy, NULL: the run is not covered
 * @reason: why, for logs: what endangers the run, or what rules a copy out
 * @risk: assumed probability that the engine is lost during the run, 0..1
 */
struct pgw_cover {
    struct pgw_upstream *holder;
    const char *reason;
    double risk;
};

/** pgw_cover_decide() - decide whether a run is covered, and by which engine
 */
void pgw_cover_decide(struct pgw_cover *out,
                      const struct pgw_cover_input *input,
                      const struct pgw_cover_options *options);

#endif
