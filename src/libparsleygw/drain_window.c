#include "libparsleygw/drain_window.h"

/* Until then the balancer still sends new connections. Later ones would be
 * retried at entries that stay. */
#define EARLY_US 3000000
/* A run may take longer than all that were seen lately, in percent of these.
 * Early in a stop most requests come, so those that may run again are refused
 * less readily. */
#define MARGIN_EARLY 150
#define MARGIN 400

bool
pgw_drain_window_fits(const struct pgw_drain_window *window,
                      const struct pgw_drain_request *request, uint64_t now_us)
{
    uint64_t need_us =
        request->deadline_us > now_us ? request->deadline_us - now_us : 0;
    bool is_early = now_us < window->begun_us + EARLY_US;
    uint64_t margin =
        request->may_run_again && is_early ? MARGIN_EARLY : MARGIN;

    if (window->cut_us == 0) {
        return true;
    }
    /* If it is cut, the outcome of a request that must not run again stays
     * unknown: a forecast is not enough for it later. */
    if (request->longest_run_us > 0 && (request->may_run_again || is_early) &&
        request->longest_run_us * margin / 100 < need_us) {
        need_us = request->longest_run_us * margin / 100;
    }
    return now_us + need_us <= window->cut_us;
}

void
pgw_run_times_add(struct pgw_run_times *times, uint64_t run_us,
                  uint64_t now_us)
{
    if (now_us >= times->since_us + PGW_RUN_TIMES_SPAN_US) {
        times->since_us = now_us;
        times->earlier_us = times->longest_us;
        times->longest_us = 0;
    }
    if (run_us > times->longest_us) {
        times->longest_us = run_us;
    }
}

uint64_t
pgw_run_times_longest_us(const struct pgw_run_times *times)
{
    return times->longest_us > times->earlier_us ? times->longest_us
                                                 : times->earlier_us;
}
