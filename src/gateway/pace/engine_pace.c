#include "gateway/pace/engine_pace.h"
#include <glib.h>
#include <math.h>

/* Minimum weight of a sample. An engine yields a few samples a second, so a
 * lasting change is followed within seconds. The first samples weigh more. */
#define MIN_WEIGHT (1.0 / 8.0)
/* Samples are clamped to the estimate times or divided by this factor. */
#define OUTLIER_FACTOR 4.0

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

bool
pgw_engine_pace_set_slowdown(struct pgw_engine_pace *pace, double slowdown,
                             uint64_t now_us)
{
    if (!isfinite(slowdown) || slowdown < PGW_ENGINE_SLOWDOWN_MIN ||
        slowdown > PGW_ENGINE_SLOWDOWN_MAX) {
        pace->ignored++;
        return false;
    }
    pace->slowdown = slowdown;
    pace->slowdown_at_us = now_us;
    return true;
}

static double
current_slowdown(const struct pgw_engine_pace *pace, uint64_t now_us)
{
    uint64_t age_us =
        now_us > pace->slowdown_at_us ? now_us - pace->slowdown_at_us : 0;

    if (pace->slowdown <= 0 || age_us >= PGW_ENGINE_SLOWDOWN_VALID_US) {
        return 1.0;
    }
    return 1.0 +
           (pace->slowdown - 1.0) *
               (1.0 - (double)age_us / (double)PGW_ENGINE_SLOWDOWN_VALID_US);
}

double
pgw_engine_pace_rate(const struct pgw_engine_pace *pace, double pool_rate,
                     uint64_t now_us)
{
    double usual = pace->prefill_rate > 0 ? pace->prefill_rate : pool_rate;

    return usual / current_slowdown(pace, now_us);
}
