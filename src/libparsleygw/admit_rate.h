#ifndef PGW_LIBPARSLEYGW_ADMIT_RATE_H
#define PGW_LIBPARSLEYGW_ADMIT_RATE_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * struct pgw_admit__rate - learned speed of an upstream
 * @prefill_tokens_per_s: moving average
 * @step_us: moving average of a decode step
 * @run_us: moving average of a whole run
 * @initial_prefill_tokens_per_s: initial estimate, bounds the learned
 *     rate
 * @last_first_token_us: when the latest prefill ended
 */
struct pgw_admit__rate {
    double prefill_tokens_per_s;
    double step_us;
    double run_us;
    double initial_prefill_tokens_per_s;
    uint64_t last_first_token_us;
};

void pgw_admit__rate_init(struct pgw_admit__rate *rate,
                          double prefill_tokens_per_s, double step_us);

/* Adds the sample of a prefill of @tokens from @started_us to @now_us. */
void pgw_admit__rate_add_prefill(struct pgw_admit__rate *rate, uint32_t tokens,
                                 uint64_t started_us, uint64_t now_us);

/* Adds the sample of a run of @run_us that decoded @tokens in @decode_us. */
void pgw_admit__rate_add_run(struct pgw_admit__rate *rate, uint32_t tokens,
                             uint64_t decode_us, uint64_t run_us);

double pgw_admit__rate_prefill_us(const struct pgw_admit__rate *rate,
                                  double tokens);

/* Time that a request uses at the upstream, in microseconds: its prefill and
 * its part of the batched decode steps. At least 1. */
double pgw_admit__rate_cost_us(const struct pgw_admit__rate *rate,
                               uint32_t uncached_tokens, uint32_t max_tokens,
                               uint32_t batch);

G_END_DECLS

#endif
