#ifndef PGW_LIBPARSLEYGW_ADMIT_RATE_H
#define PGW_LIBPARSLEYGW_ADMIT_RATE_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * struct pgw_admit__rate - what an upstream's speed is learned to be
 * @prefill_tokens_per_s: moving average
 * @step_us: moving average of a decode step
 * @run_us: moving average of a whole run
 * @first_prefill: first guess, bounds the learned rate
 * @last_first_token: when a prefill ended last
 */
struct pgw_admit__rate {
    double prefill_tokens_per_s;
    double step_us;
    double run_us;
    double first_prefill;
    uint64_t last_first_token;
};

void pgw_admit__rate_init(struct pgw_admit__rate *rate,
                          double prefill_tokens_per_s, double step_us);

/* A prefill of @tokens that was handed over at @started ended at @now. */
void pgw_admit__rate_prefill(struct pgw_admit__rate *rate, uint32_t tokens,
                             uint64_t started, uint64_t now);

/* A run of @run_us ended that decoded @tokens tokens in @decode_us. */
void pgw_admit__rate_done(struct pgw_admit__rate *rate, uint32_t tokens,
                          uint64_t decode_us, uint64_t run_us);

double pgw_admit__rate_prefill_us(const struct pgw_admit__rate *rate,
                                  double tokens);

/* What a request takes from the upstream, in microseconds: its prefill and
 * its part of the decode steps. At least 1. */
double pgw_admit__rate_cost_us(const struct pgw_admit__rate *rate,
                               uint32_t uncached_tokens, uint32_t max_tokens,
                               uint32_t batch);

G_END_DECLS

#endif
