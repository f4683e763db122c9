#ifndef PGW_GATEWAY_SILENCE_H
#define PGW_GATEWAY_SILENCE_H

#include <stdint.h>

/*
 * Time for which an engine may read one prompt token before it is given up.
 * Alone it needs 16 to 20 us. A full one reads for several requests at a time,
 * and what it has read is lost when it is given up: with 70 us, engines short
 * of memory were given up in the middle of their work, each of these prompts
 * was read twice, and the second engine was as full as the first. Worth of two
 * overloaded days: 0.148 and 0.327 with 70 us, 0.263 and 0.407 with 200 us,
 * 0.250 and 0.398 with 400 us.
 */
#define PGW_SILENCE_TOKEN_US 200

/**
 * pgw_silence_limit_us() - when a silent upstream is given up
 * @objective_us: time in which the answer is worth most
 * @share: part of it that a plain call may be silent
 * @prompt_tokens: size of a prompt, 0 for a plain call
 *
 * Return: microseconds after which another upstream may still be in time.
 */
uint64_t pgw_silence_limit_us(uint64_t objective_us, double share,
                              uint32_t prompt_tokens);

#endif
