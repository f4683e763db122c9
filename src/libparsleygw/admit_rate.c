#include "libparsleygw/admit_rate.h"

#define US_PER_S 1e6

/* Part of a new sample in the moving averages. */
#define SAMPLE_WEIGHT 0.1

/* A shorter prefill says more about the decode step than about the rate. */
#define MIN_SAMPLE_TOKENS 128

/* A sample counts at most by this factor: a prefix that was cached or evicted
 * since the tokens were counted makes a wild one. */
#define MAX_SAMPLE_FACTOR 2.0

/* The learned rate stays within this factor of the first guess. */
#define MAX_DRIFT 16.0

/* First guess of a run: that many decode steps. */
#define FIRST_RUN_STEPS 32.0

static void
average(double *value, double sample)
{
    *value += (sample - *value) * SAMPLE_WEIGHT;
}

void
pgw_admit__rate_init(struct pgw_admit__rate *rate, double prefill_tokens_per_s,
                     double step_us)
{
    *rate = (struct pgw_admit__rate){
        .prefill_tokens_per_s = MAX(prefill_tokens_per_s, 1.0),
        .first_prefill = MAX(prefill_tokens_per_s, 1.0),
        .step_us = MAX(step_us, 0.0),
        .run_us = MAX(step_us, 0.0) * FIRST_RUN_STEPS,
    };
}

void
pgw_admit__rate_prefill(struct pgw_admit__rate *rate, uint32_t tokens,
                        uint64_t started, uint64_t now)
{
    /* Prefills run one after the other: this one began when the one before
     * it ended, if that was later than when it was handed over. */
    uint64_t began = MAX(started, rate->last_first_token);
    double took = (double)now - (double)began - rate->step_us;

    rate->last_first_token = now;
    if (tokens >= MIN_SAMPLE_TOKENS && took > 0.0) {
        double sample = CLAMP(tokens * US_PER_S / took,
                              rate->prefill_tokens_per_s / MAX_SAMPLE_FACTOR,
                              rate->prefill_tokens_per_s * MAX_SAMPLE_FACTOR);

        average(&rate->prefill_tokens_per_s,
                CLAMP(sample, rate->first_prefill / MAX_DRIFT,
                      rate->first_prefill * MAX_DRIFT));
    }
}

void
pgw_admit__rate_done(struct pgw_admit__rate *rate, uint32_t tokens,
                     uint64_t decode_us, uint64_t run_us)
{
    if (tokens > 1 && decode_us > 0) {
        average(&rate->step_us, (double)decode_us / (tokens - 1));
    }
    average(&rate->run_us, (double)run_us);
}

double
pgw_admit__rate_prefill_us(const struct pgw_admit__rate *rate, double tokens)
{
    return tokens * US_PER_S / rate->prefill_tokens_per_s;
}

double
pgw_admit__rate_cost_us(const struct pgw_admit__rate *rate,
                        uint32_t uncached_tokens, uint32_t max_tokens,
                        uint32_t batch)
{
    return 1.0 + pgw_admit__rate_prefill_us(rate, uncached_tokens) +
           max_tokens * rate->step_us / MAX(batch, 1);
}
