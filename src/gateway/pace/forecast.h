#ifndef PGW_GATEWAY_PACE_FORECAST_H
#define PGW_GATEWAY_PACE_FORECAST_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: When an engine will answer a prompt, and what the prompt does to others
 *
 * An engine prefills prompts in chunks between the tokens of the answers that
 * it generates. A prompt thus waits for the prompts before it, and while it is
 * prefilled every stream of the engine pauses.
 *
 * Load answered: long prompts beside short streams.
 */

/**
 * struct pgw_forecast_input - a prompt and an engine
 * @prefill_rate: tokens that the engine prefills in a millisecond
 * @backlog_tokens: pending tokens of the prompts before this one
 * @pending_tokens: pending tokens of this prompt
 * @generation_ms: time from the first event to the end of the answer
 */
struct pgw_forecast_input {
    double prefill_rate;
    double backlog_tokens;
    double pending_tokens;
    double generation_ms;
};

/**
 * struct pgw_forecast - what the caller of a prompt will see
 * @first_ms: time until the first event
 * @end_ms: time until the end of the answer
 * @pause_ms: pause that the prompt's prefill causes in the engine's streams
 */
struct pgw_forecast {
    double first_ms;
    double end_ms;
    double pause_ms;
};

/** pgw_forecast_compute() - forecast for a prompt at an engine */
void pgw_forecast_compute(struct pgw_forecast *out,
                          const struct pgw_forecast_input *input);

#endif
