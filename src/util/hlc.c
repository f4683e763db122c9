#include "util/hlc.h"

#include <stdbool.h>
#include <time.h>

static struct pgw_hlc process_clock;

/* Moves the clock past @floor and the wall clock. */
static uint64_t
advance(struct pgw_hlc *clock, uint64_t floor, uint64_t wall_us)
{
    uint64_t last = __atomic_load_n(&clock->last, __ATOMIC_RELAXED);
    uint64_t next;

    do {
        next = MAX(MAX(last, floor) + 1, pgw_hlc_from_us(wall_us));
    } while (!__atomic_compare_exchange_n(&clock->last, &last, next, true,
                                          __ATOMIC_RELAXED, __ATOMIC_RELAXED));
    return next;
}

uint64_t
pgw_hlc_now(struct pgw_hlc *clock, uint64_t wall_us)
{
    return advance(clock, 0, wall_us);
}

uint64_t
pgw_hlc_receive(struct pgw_hlc *clock, uint64_t remote, uint64_t wall_us)
{
#ifndef PGW_DISABLE_HLC_BOUND
    /* One instance with a wall clock hours ahead would drag every clock of
     * the fleet along, and the time line would show that hour on all lanes.
     * Not following it costs the order of that instance's events only. */
    if (pgw_hlc_to_us(remote) > wall_us + PGW_HLC_MAX_AHEAD_US) {
        remote = 0;
    }
#endif
    return advance(clock, remote, wall_us);
}

uint64_t
pgw_hlc_wall_us(void)
{
    struct timespec now;

    clock_gettime(CLOCK_REALTIME, &now);
    return (uint64_t)now.tv_sec * G_USEC_PER_SEC +
           (uint64_t)now.tv_nsec / 1000;
}

struct pgw_hlc *
pgw_hlc_process(void)
{
    return &process_clock;
}
