#ifndef PGW_UTIL_HLC_H
#define PGW_UTIL_HLC_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * DOC: Hybrid logical clock
 *
 * A value is wall-clock microseconds shifted left by %PGW_HLC_LOGICAL_BITS
 * plus a counter. If one event can have caused another, on any process, its
 * value is the smaller one; between unrelated events the values are as close
 * as the wall clocks are.
 */

#define PGW_HLC_LOGICAL_BITS 12

/* A received value further ahead than this is not followed. */
#define PGW_HLC_MAX_AHEAD_US (UINT64_C(60) * G_USEC_PER_SEC)

/**
 * struct pgw_hlc - a process's clock; zeroed is a valid start
 * @last: greatest value given or seen; touched only atomically
 */
struct pgw_hlc {
    uint64_t last;
};

/**
 * pgw_hlc_now() - value for a local event or a message to send
 * @clock: the clock; any number of threads may use it
 * @wall_us: wall clock in microseconds since 1970, see pgw_hlc_wall_us()
 *
 * Return: a value greater than all given or received before.
 */
uint64_t pgw_hlc_now(struct pgw_hlc *clock, uint64_t wall_us);

/**
 * pgw_hlc_receive() - take in the value that came with a message
 * @clock: the clock
 * @remote: the sender's value; 0 for none
 * @wall_us: wall clock in microseconds since 1970
 *
 * Return: a value for the event of receiving, greater than all before and
 * than @remote, unless @remote is more than %PGW_HLC_MAX_AHEAD_US ahead.
 */
uint64_t pgw_hlc_receive(struct pgw_hlc *clock, uint64_t remote,
                         uint64_t wall_us);

/** pgw_hlc_wall_us() - CLOCK_REALTIME in microseconds since 1970 */
uint64_t pgw_hlc_wall_us(void);

/** pgw_hlc_to_us() - the microseconds since 1970 in a clock value */
static inline uint64_t
pgw_hlc_to_us(uint64_t value)
{
    return value >> PGW_HLC_LOGICAL_BITS;
}

/** pgw_hlc_from_us() - the least clock value of a wall-clock time */
static inline uint64_t
pgw_hlc_from_us(uint64_t us)
{
    return us << PGW_HLC_LOGICAL_BITS;
}

/** pgw_hlc_process() - the clock that a whole process shares */
struct pgw_hlc *pgw_hlc_process(void);

G_END_DECLS

#endif
