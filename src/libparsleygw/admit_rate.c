#include "libparsleygw/admit_rate.h"

#define US_PER_S 1e6

/* Weight of a new sample in the moving averages. */
#define SAMPLE_WEIGHT 0.1

/* The time of a shorter prefill depends more on the decode step than on the
 * prefill rate. */
#define MIN_SAMPLE_TOKENS 128

/* Samples are clamped to this factor of the current rate: a prefix that was
 * cached or evicted after the tokens were counted gives an outlier. */
#define MAX_SAMPLE_FACTOR 2.0

/* The learned rate stays within this factor of the initial estimate. */
#define MAX_RATE_FACTOR 16.0

/* Initial estimate of a run's length in decode steps. */
#define INITIAL_RUN_STEPS 32.0

static void
update_average(double *value, double sample)
{
    *value += (sample - *value) * SAMPLE_WEIGHT;
}

void
pgw_admit__rate_init(struct pgw_admit__rate *rate, double prefill_tokens_per_s,
                     double step_us)
{
    *rate = (struct pgw_admit__rate){
        .prefill_tokens_per_s = MAX(prefill_tokens_per_s, 1.0),
        .initial_prefill_tokens_per_s = MAX(prefill_tokens_per_s, 1.0),
        .step_us = MAX(step_us, 0.0),
        .run_us = MAX(step_us, 0.0) * INITIAL_RUN_STEPS,
    };
}

void
pgw_admit__rate_add_prefill(struct pgw_admit__rate *rate, uint32_t tokens,
                            uint64_t started_us, uint64_t now_us)
{
    /* Prefills run one after the other: this one began when the previous one
     * ended, if that was after its own start. */
    uint64_t began_us = MAX(started_us, rate->last_first_token_us);
    double took_us = (double)now_us - (double)began_us - rate->step_us;

    rate->last_first_token_us = now_us;
    if (tokens >= MIN_SAMPLE_TOKENS && took_us > 0.0) {
        double sample = CLAMP(tokens * US_PER_S / took_us,
                              rate->prefill_tokens_per_s / MAX_SAMPLE_FACTOR,
                              rate->prefill_tokens_per_s * MAX_SAMPLE_FACTOR);

        update_average(
            &rate->prefill_tokens_per_s,
            CLAMP(sample, rate->initial_prefill_tokens_per_s / MAX_RATE_FACTOR,
                  rate->initial_prefill_tokens_per_s * MAX_RATE_FACTOR));
    }
}

void
pgw_admit__rate_add_run(struct pgw_admit__rate *rate, uint32_t tokens,
                        uint64_t decode_us, uint64_t run_us)
{
    if (tokens > 1 && decode_us > 0) {
        update_average(&rate->step_us, (double)decode_us / (tokens - 1));
    }
    update_average(&rate->run_us, (double)run_us);
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
