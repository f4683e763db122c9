#ifndef PGW_GATEWAY_PLACEMENT_RESPONSE_TIMEOUT_H
#define PGW_GATEWAY_PLACEMENT_RESPONSE_TIMEOUT_H

#include <stdint.h>

/* Time for an engine to prefill one prompt token before the attempt is given
 * up. An engine with a full batch prefills several prompts at a time. Giving
 * up too early discards this work, and the next engine would be as busy. */
#define PGW_PREFILL_TOKEN_US 200

/**
 * pgw_response_timeout_us() - when an attempt without an answer is given up
 * @objective_us: latency objective of the route
 * @share: part of the objective after which a plain service is given up
 * @prompt_tokens: size of the prompt, 0 for a plain service
 *
 * Return: microseconds after the start of the attempt. Another upstream may
 * still answer in time then.
 */
uint64_t pgw_response_timeout_us(uint64_t objective_us, double share,
                                 uint32_t prompt_tokens);

#endif
