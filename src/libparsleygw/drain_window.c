#include "libparsleygw/drain_window.h"

/* Until then the balancer still sends new connections. Later ones would be
 * retried at entries that stay. */
#define EARLY_US 3000000
/* A run may take longer than all that were seen lately, in percent of these.
 * Early in a stop most requests come, so those that may run again are refused
 * less readily. */
#define MARGIN_EARLY 150
#define MARGIN 400
/* Attempts that begin later are provisional. Less than EARLY_US by the time
 * that a signal or a request may take to be handled. */
#define PROVISIONAL_US 2500000
/* A pause may be longer than all before it, in times of these. */
#define PAUSE_MARGIN 2

/* How long the run takes by those before it, 0: not known. */
static uint64_t
forecast_us(const struct pgw_drain_window *window,
            const struct pgw_drain_request *request, uint64_t now_us)
{
    bool is_early = now_us < window->begun_us + EARLY_US;
    uint64_t margin =
        request->may_run_again && is_early ? MARGIN_EARLY : MARGIN;

    /* If it is cut, the outcome of a request that must not run again stays
     * unknown: a forecast is not enough for it later. */
    return request->may_run_again || is_early
               ? request->longest_run_us * margin / 100
               : 0;
}

bool
pgw_drain_window_fits(const struct pgw_drain_window *window,
                      const struct pgw_drain_request *request, uint64_t now_us)
{
    uint64_t need_us =
        request->deadline_us > now_us ? request->deadline_us - now_us : 0;
    uint64_t run_us = forecast_us(window, request, now_us);

    if (window->cut_us == 0) {
        return true;
    }
    if (run_us > 0 && run_us < need_us) {
        need_us = run_us;
    }
    return now_us + need_us <= window->cut_us;
}

uint64_t
pgw_drain_window_forecast_end_us(const struct pgw_drain_window *window,
                                 const struct pgw_drain_request *request,
                                 uint64_t now_us)
{
    if (window->cut_us == 0 || request->deadline_us <= window->cut_us ||
        now_us < window->begun_us + PROVISIONAL_US) {
        return 0;
    }
    return now_us + forecast_us(window, request, now_us);
}

static bool
ends_in_time(uint64_t events, uint64_t pause_us, uint64_t left_us)
{
    return pause_us == 0 || events <= left_us / pause_us;
}

enum pgw_drain_verdict
pgw_drain_window_judge(const struct pgw_drain_window *window,
                       const struct pgw_drain_stream *stream, uint64_t now_us)
{
    uint64_t left_us = window->cut_us > now_us ? window->cut_us - now_us : 0;
    uint64_t slow_pause_us = stream->longest_pause_us * PAUSE_MARGIN;
    bool is_known = stream->events_left != PGW_DRAIN_EVENTS_UNKNOWN &&
                    stream->longest_pause_us > 0;

    if (stream->events_left == 0) {
        return PGW_DRAIN_RELAY;
    }
    if (!is_known) {
        return now_us < stream->forecast_end_us ? PGW_DRAIN_HOLD
                                                : PGW_DRAIN_GIVE_UP;
    }
    if (stream->promised_pause_us > 0 &&
        ends_in_time(stream->events_left,
                     slow_pause_us > stream->promised_pause_us
                         ? slow_pause_us
                         : stream->promised_pause_us,
                     left_us)) {
        return PGW_DRAIN_RELAY;
    }
    if (!ends_in_time(stream->events_left, stream->longest_pause_us,
                      left_us)) {
        return PGW_DRAIN_GIVE_UP;
    }
    if (now_us < stream->answer_due_us) {
        return PGW_DRAIN_HOLD;
    }
    return ends_in_time(stream->events_left, slow_pause_us, left_us)
               ? PGW_DRAIN_RELAY
               : PGW_DRAIN_GIVE_UP;
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
