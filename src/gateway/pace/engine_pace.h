#ifndef PGW_GATEWAY_PACE_ENGINE_PACE_H
#define PGW_GATEWAY_PACE_ENGINE_PACE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: What is known of an engine's speed
 *
 * Engines of one pool differ, and share their machines with others. The
 * sidecar beside an engine observes how fast it prefills, and reports that to
 * the entries; the engine's own answers state how long work takes on its
 * machine at the moment. A restart clears both.
 *
 * Load answered: engines of unequal speed that would otherwise get equal
 * work.
 */

/**
 * struct pgw_engine_pace - speed of one engine; zeroed: unknown
 * @prefill_rate: prompt tokens that it prefills in a millisecond with its
 *   machine as it is on average, 0: unknown
 * @samples: number of observations behind @prefill_rate
 * @prefill_rate_at_us: time of the last of these
 * @slowdown: how long work takes at the moment, in multiples of the usual
 *   time; 0: not stated
 * @slowdown_at_us: when it was stated
 * @slowdown_since_us: when one was stated first
 * @mean_slowdown: average of what was stated, 0: none was; @prefill_rate was
 *   observed with about this one
 * @ignored: number of figures that were invalid and ignored
 */
struct pgw_engine_pace {
    double prefill_rate;
    uint32_t samples;
    uint64_t prefill_rate_at_us;
    double slowdown;
    uint64_t slowdown_at_us;
    uint64_t slowdown_since_us;
    double mean_slowdown;
    uint32_t ignored;
};

/** pgw_engine_pace_reset() - the engine has restarted */
void pgw_engine_pace_reset(struct pgw_engine_pace *pace);

/**
 * pgw_engine_pace_add_prefill() - add an observed prefill
 * @pace: the engine's speed
 * @tokens: prompt tokens that were prefilled without a pause
 * @took_us: time that they took
 * @now_us: monotonic time
 *
 * Outliers are clamped, so that neither one request that hung nor a wrong
 * figure changes the estimate much.
 *
 * Return: false if the sample was ignored: its rate is not finite, not
 * positive or above %PGW_ENGINE_PREFILL_RATE_MAX.
 */
bool pgw_engine_pace_add_prefill(struct pgw_engine_pace *pace, double tokens,
                                 uint64_t took_us, uint64_t now_us);

/**
 * pgw_engine_pace_set_prefill_rate() - set the rate that a sidecar has
 * observed
 * @pace: the engine's speed
 * @tokens_per_ms: the rate; 0: unknown, nothing changes; not finite, negative
 *   or above %PGW_ENGINE_PREFILL_RATE_MAX: ignored
 * @now_us: monotonic time
 *
 * Return: false if the figure was ignored.
 */
bool pgw_engine_pace_set_prefill_rate(struct pgw_engine_pace *pace,
                                      double tokens_per_ms, uint64_t now_us);

/**
 * pgw_engine_pace_set_slowdown() - set how long work takes at the moment
 * @pace: the engine's speed
 * @slowdown: in multiples of the usual time; not finite, below
 *   %PGW_ENGINE_SLOWDOWN_MIN or above %PGW_ENGINE_SLOWDOWN_MAX: ignored
 * @now_us: monotonic time
 *
 * Return: false if the figure was ignored.
 */
bool pgw_engine_pace_set_slowdown(struct pgw_engine_pace *pace,
                                  double slowdown, uint64_t now_us);

/**
 * pgw_engine_pace_rate() - tokens that the engine prefills in a millisecond
 * now
 * @pace: the engine's speed
 * @pool_rate: rate of an average engine of the pool, used for an engine of
 *   which nothing is known
 * @now_us: monotonic time
 *
 * A stated slowdown counts for %PGW_ENGINE_SLOWDOWN_VALID_US and fades to the
 * average one until then. An observed rate includes the average slowdown, so
 * only the deviation from it counts; the pool's rate is that of an engine on a
 * usual machine.
 */
double pgw_engine_pace_rate(const struct pgw_engine_pace *pace,
                            double pool_rate, uint64_t now_us);

/* Ten times the fastest engine known. */
#define PGW_ENGINE_PREFILL_RATE_MAX 1000.0
/* A machine that is slower by more than this does no useful work. */
#define PGW_ENGINE_SLOWDOWN_MAX 100.0
/* A figure below this would draw all prompts to the engine that states it. */
#define PGW_ENGINE_SLOWDOWN_MIN 0.1
/* Machines change their speed several times a second. */
#define PGW_ENGINE_SLOWDOWN_VALID_US 1000000ULL

#endif
