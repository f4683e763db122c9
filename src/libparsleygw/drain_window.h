#ifndef PGW_LIBPARSLEYGW_DRAIN_WINDOW_H
#define PGW_LIBPARSLEYGW_DRAIN_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Which requests a process still begins during a planned stop
 *
 * At the end of the grace period the requests in progress are cut. A request
 * is begun only if it will have ended by then; any other is refused at
 * once, while another process still has time for it. The same is decided again
 * whenever an attempt is about to begin, and for requests that are queued.
 *
 * How long other requests took does not bound this one. A stream that begins
 * late on such a forecast is provisional: its events are held until the rest
 * of it is sure to end in time. Otherwise its caller gets a final answer while
 * there is time for another process, and no part of a stream.
 */

/**
 * struct pgw_drain_window - the time that a planned stop leaves
 * @begun_us: when the stop began
 * @cut_us: when the requests in progress are cut, 0: never
 */
struct pgw_drain_window {
    uint64_t begun_us;
    uint64_t cut_us;
};

/**
 * struct pgw_drain_request - a request that is about to be passed on
 * @deadline_us: when it ends in any case
 * @longest_run_us: longest time that such requests took lately, 0: not known
 * @may_run_again: its caller loses time but no work if it is cut
 */
struct pgw_drain_request {
    uint64_t deadline_us;
    uint64_t longest_run_us;
    bool may_run_again;
};

/** pgw_drain_window_fits() - whether the request will have ended before the
 * cut; always true without a stop */
bool pgw_drain_window_fits(const struct pgw_drain_window *window,
                           const struct pgw_drain_request *request,
                           uint64_t now_us);

/**
 * pgw_drain_window_forecast_end_us() - until when a provisional run may last
 * @window: the stop
 * @request: a request that fits
 * @now_us: when its attempt begins
 *
 * Return: 0 if the attempt is not provisional: the request ends before the cut
 * in any case, or it begins early in the stop, or there is none.
 */
uint64_t
pgw_drain_window_forecast_end_us(const struct pgw_drain_window *window,
                                 const struct pgw_drain_request *request,
                                 uint64_t now_us);

/* Number of events of a stream that states no length. */
#define PGW_DRAIN_EVENTS_UNKNOWN UINT64_MAX

/**
 * struct pgw_drain_stream - progress of a provisional stream
 * @events_left: most events that may follow, %PGW_DRAIN_EVENTS_UNKNOWN
 * @promised_pause_us: longest pause between two events of an answer that is in
 *   time, 0: none is promised
 * @longest_pause_us: longest pause so far, 0: fewer than two events have come
 * @answer_due_us: when its caller expects an event
 * @forecast_end_us: as returned by pgw_drain_window_forecast_end_us()
 */
struct pgw_drain_stream {
    uint64_t events_left;
    uint64_t promised_pause_us;
    uint64_t longest_pause_us;
    uint64_t answer_due_us;
    uint64_t forecast_end_us;
};

/**
 * enum pgw_drain_verdict - what is done with a provisional stream
 * @PGW_DRAIN_HOLD: it is not decided yet; its events are held
 * @PGW_DRAIN_RELAY: it ends before the cut; its events are relayed
 * @PGW_DRAIN_GIVE_UP: it does not; its caller gets an error
 */
enum pgw_drain_verdict {
    PGW_DRAIN_HOLD,
    PGW_DRAIN_RELAY,
    PGW_DRAIN_GIVE_UP,
};

/** pgw_drain_window_judge() - decide what is done with a provisional stream */
enum pgw_drain_verdict
pgw_drain_window_judge(const struct pgw_drain_window *window,
                       const struct pgw_drain_stream *stream, uint64_t now_us);

/**
 * struct pgw_run_times - how long the runs of one route take
 * @since_us: when the current span of %PGW_RUN_TIMES_SPAN_US began
 * @longest_us: longest run of the current span
 * @earlier_us: longest run of the span before
 */
struct pgw_run_times {
    uint64_t since_us;
    uint64_t longest_us;
    uint64_t earlier_us;
};

#define PGW_RUN_TIMES_SPAN_US UINT64_C(30000000)

/** pgw_run_times_add() - a run has ended after @run_us */
void pgw_run_times_add(struct pgw_run_times *times, uint64_t run_us,
                       uint64_t now_us);

/** pgw_run_times_longest_us() - longest run of the last two spans in which
 * any ended, 0: none did */
uint64_t pgw_run_times_longest_us(const struct pgw_run_times *times);

#endif
