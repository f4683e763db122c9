#include "gateway/pace/engine_pace.h"
#include <glib.h>
#include <math.h>

/* Minimum weight of a sample. An engine yields a few samples a second, so a
 * lasting change is followed within seconds. The first samples weigh more. */
#define MIN_WEIGHT (1.0 / 8.0)
/* Samples are clamped to the estimate times or divided by this factor. */
#define OUTLIER_FACTOR 4.0
/* Time over which stated slowdowns are averaged: about that of the samples
 * behind a prefill rate. */
#define MEAN_US 8000000.0

void
pgw_engine_pace_reset(struct pgw_engine_pace *pace)
{
    *pace = (struct pgw_engine_pace){0};
}

static bool
is_rate(double tokens_per_ms)
{
    return isfinite(tokens_per_ms) && tokens_per_ms > 0 &&
           tokens_per_ms <= PGW_ENGINE_PREFILL_RATE_MAX;
}

bool
pgw_engine_pace_add_prefill(struct pgw_engine_pace *pace, double tokens,
                            uint64_t took_us, uint64_t now_us)
{
    double sample = took_us == 0 ? 0 : tokens * 1000.0 / (double)took_us;

    if (!is_rate(sample)) {
        pace->ignored++;
        return false;
    }
    pace->samples++;
    if (pace->samples == 1) {
        pace->prefill_rate = sample;
    }
    else {
        sample = CLAMP(sample, pace->prefill_rate / OUTLIER_FACTOR,
                       pace->prefill_rate * OUTLIER_FACTOR);
        pace->prefill_rate += MAX(1.0 / pace->samples, MIN_WEIGHT) *
                              (sample - pace->prefill_rate);
    }
    pace->prefill_rate_at_us = now_us;
    return true;
}

bool
pgw_engine_pace_set_prefill_rate(struct pgw_engine_pace *pace,
                                 double tokens_per_ms, uint64_t now_us)
{
    if (tokens_per_ms == 0) {
        return true;
    }
    if (!is_rate(tokens_per_ms)) {
        pace->ignored++;
        return false;
    }
    pace->prefill_rate = tokens_per_ms;
    pace->samples++;
    pace->prefill_rate_at_us = now_us;
    return true;
}

/* Statements come with answers, at irregular times. Each counts for the time
 * since the one before it. */
static void
add_to_mean(struct pgw_engine_pace *pace, double slowdown, uint64_t now_us)
{
    double since_last_us;
    double average_us;

    if (pace->mean_slowdown <= 0) {
        pace->mean_slowdown = slowdown;
        pace->slowdown_since_us = now_us;
        return;
    }
    if (now_us <= pace->slowdown_at_us) {
        return;
    }
    since_last_us = (double)(now_us - pace->slowdown_at_us);
    average_us = MIN((double)(now_us - pace->slowdown_since_us), MEAN_US);
    pace->mean_slowdown += MIN(since_last_us / average_us, 1.0) *
                           (slowdown - pace->mean_slowdown);
}

bool
pgw_engine_pace_set_slowdown(struct pgw_engine_pace *pace, double slowdown,
                             uint64_t now_us)
{
    if (!isfinite(slowdown) || slowdown < PGW_ENGINE_SLOWDOWN_MIN ||
        slowdown > PGW_ENGINE_SLOWDOWN_MAX) {
        pace->ignored++;
        return false;
    }
    add_to_mean(pace, slowdown, now_us);
    pace->slowdown = slowdown;
    pace->slowdown_at_us = now_us;
    return true;
}

static double
current_slowdown(const struct pgw_engine_pace *pace, uint64_t now_us)
{
    uint64_t age_us =
        now_us > pace->slowdown_at_us ? now_us - pace->slowdown_at_us : 0;
    double fresh = 1.0 - (double)MIN(age_us, PGW_ENGINE_SLOWDOWN_VALID_US) /
                             (double)PGW_ENGINE_SLOWDOWN_VALID_US;

    return pace->mean_slowdown +
           (pace->slowdown - pace->mean_slowdown) * fresh;
}

double
pgw_engine_pace_rate(const struct pgw_engine_pace *pace, double pool_rate,
                     uint64_t now_us)
{
    bool is_observed = pace->prefill_rate > 0;
    double rate = is_observed ? pace->prefill_rate : pool_rate;

    if (pace->mean_slowdown <= 0) {
        return rate;
    }
    return rate * (is_observed ? pace->mean_slowdown : 1.0) /
           current_slowdown(pace, now_us);
}
