#ifndef PGW_GATEWAY_PLACEMENT_ENGINE_WAIT_H
#define PGW_GATEWAY_PLACEMENT_ENGINE_WAIT_H

#include "gateway/placement/choose.h"

/**
 * DOC: What a prompt has before it at an engine, and whether it waits for that
 *
 * Load answered: more prompts, long or short, than engines prefill.
 */

/** pgw_engine_rate() - tokens that an engine prefills in a millisecond now */
double pgw_engine_rate(const struct pgw_upstream *upstream,
                       const struct pgw_choose_input *input);

/**
 * pgw_engine_slowness() - time that prefill takes at an engine, in multiples
 * of the pool's average
 *
 * Observed rates of equal engines differ by a third, since a busy engine is
 * observed while it does other work, too. Smaller differences count as none.
 */
double pgw_engine_slowness(const struct pgw_upstream *upstream,
                           const struct pgw_choose_input *input);

/** pgw_engine_backlog_tokens() - tokens that an engine has to prefill before
 * the prompt */
double pgw_engine_backlog_tokens(const struct pgw_upstream *upstream,
                                 const struct pgw_choose_input *input,
                                 const struct pgw_choose_options *options);

/**
 * pgw_engine_start_us() - time until a prompt that is sent now begins to run
 * @upstream: the engine
 * @pending_tokens: tokens of the prompt that it has to prefill
 * @input: the request
 * @options: weights of the choice
 *
 * The estimate is rather too long: what other entries have sent since the
 * engine's last report is not known.
 *
 * Return: microseconds.
 */
uint64_t pgw_engine_start_us(const struct pgw_upstream *upstream,
                             uint32_t pending_tokens,
                             const struct pgw_choose_input *input,
                             const struct pgw_choose_options *options);

/**
 * pgw_engine_wait_us() - how long a prompt stays queued before it is sent
 * @upstream: the engine
 * @pending_tokens: tokens of the prompt that it has to prefill
 * @input: the request
 * @options: weights of the choice
 *
 * Return: microseconds until the engine takes the prompt, 0: now.
 */
uint64_t pgw_engine_wait_us(const struct pgw_upstream *upstream,
                            uint32_t pending_tokens,
                            const struct pgw_choose_input *input,
                            const struct pgw_choose_options *options);

/** pgw_engine_backlog_limit() - most tokens that may be pending at an engine
 * with a long prompt of @pending_tokens; 0: it needs no grant */
uint32_t pgw_engine_backlog_limit(const struct pgw_upstream *upstream,
                                  uint32_t pending_tokens,
                                  const struct pgw_choose_input *input);

#endif
