#ifndef PGW_GATEWAY_RESPONSE_TIMEOUT_H
#define PGW_GATEWAY_RESPONSE_TIMEOUT_H

#include <stdint.h>

/* Time for which an engine may read one prompt token before it is given up.
 * One with a full batch reads for several requests at a time, and what it has
 * read is lost when it is given up: the next engine would be as full. */
#define PGW_PREFILL_TOKEN_US 200

/**
 * pgw_response_timeout_us() - when a silent upstream is given up
 * @objective_us: time in which the answer is worth most
 * @share: part of it that a plain call may be silent
 * @prompt_tokens: size of a prompt, 0 for a plain call
 *
 * Return: microseconds after which another upstream may still be in time.
 */
uint64_t pgw_response_timeout_us(uint64_t objective_us, double share,
                                 uint32_t prompt_tokens);

#endif
