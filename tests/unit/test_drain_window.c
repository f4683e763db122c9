#include "libparsleygw/drain_window.h"
#include <glib.h>

#define SECOND UINT64_C(1000000)

static const struct pgw_drain_window window = {
    .begun_us = 100 * SECOND,
    .cut_us = 107 * SECOND,
};

static bool
fits(uint64_t now_us, uint64_t deadline_us, uint64_t longest_us, bool again)
{
    const struct pgw_drain_request request = {
        .deadline_us = deadline_us,
        .longest_run_us = longest_us,
        .may_run_again = again,
    };

    return pgw_drain_window_fits(&window, &request, now_us);
}

/* A request that must not run again may not be cut once it was passed on. */
static void
test_once_only_is_never_cut(void)
{
    for (uint64_t now = 103 * SECOND; now < 110 * SECOND; now += SECOND / 10) {
        for (uint64_t left = 0; left < 10 * SECOND; left += SECOND / 10) {
            g_assert_cmpint(fits(now, now + left, 1000, false), ==,
                            now + left <= window.cut_us);
        }
    }
}

/* Long deadlines must not turn callers away who are served in no time. */
static void
test_short_runs_are_taken(void)
{
    g_assert_true(fits(101 * SECOND, 131 * SECOND, SECOND / 10, false));
    g_assert_true(fits(106 * SECOND, 131 * SECOND, SECOND / 10, true));
    g_assert_false(fits(106 * SECOND, 131 * SECOND, SECOND, true));
}

/* Early in a stop requests that may run again must not be turned away for a
 * run that is unlikely to last much longer than those before. */
static void
test_early_runs_are_taken(void)
{
    g_assert_true(fits(102 * SECOND, 112 * SECOND, 3 * SECOND, true));
    g_assert_false(fits(102 * SECOND, 112 * SECOND, 3 * SECOND, false));
}

/* A stream that lasts twice as long as those before must not be cut. */
static void
test_longer_runs_are_not_cut(void)
{
    g_assert_false(fits(103 * SECOND, 113 * SECOND, 5 * SECOND / 2, true));
}

/* Nothing is known of a route's runs: each may last until its deadline. */
static void
test_unknown_runs_last_until_the_deadline(void)
{
    g_assert_true(fits(101 * SECOND, 106 * SECOND, 0, true));
    g_assert_false(fits(101 * SECOND, 108 * SECOND, 0, true));
}

/* Many short runs must not hide a long one that is as likely to come again. */
static void
test_longest_run_is_kept(void)
{
    struct pgw_run_times times = {0};

    pgw_run_times_add(&times, 9 * SECOND, 100 * SECOND);
    for (unsigned i = 0; i < 100000; i++) {
        pgw_run_times_add(&times, 1, 101 * SECOND);
    }
    pgw_run_times_add(&times, 1, 131 * SECOND);
    g_assert_cmpuint(pgw_run_times_longest_us(&times), ==, 9 * SECOND);
    pgw_run_times_add(&times, 1, 162 * SECOND);
    g_assert_cmpuint(pgw_run_times_longest_us(&times), ==, 1);
}

static enum pgw_drain_verdict
judge(uint64_t now_us, uint64_t events_left, uint64_t longest_pause_us)
{
    const struct pgw_drain_stream stream = {
        .events_left = events_left,
        .promised_pause_us = SECOND / 5,
        .longest_pause_us = longest_pause_us,
        .answer_due_us = 104 * SECOND,
        .forecast_end_us = 105 * SECOND,
    };

    return pgw_drain_window_judge(&window, &stream, now_us);
}

/* Guards against streams begun late on the runs of others, which are relayed
 * at once and cut in the middle. */
static void
test_late_streams_are_provisional(void)
{
    struct pgw_drain_request request = {
        .deadline_us = 113 * SECOND,
        .longest_run_us = SECOND / 2,
        .may_run_again = true,
    };

    g_assert_cmpuint(
        pgw_drain_window_forecast_end_us(&window, &request, 103 * SECOND), ==,
        105 * SECOND);
    g_assert_cmpuint(
        pgw_drain_window_forecast_end_us(&window, &request, 102 * SECOND), ==,
        0);
    request.deadline_us = window.cut_us;
    g_assert_cmpuint(
        pgw_drain_window_forecast_end_us(&window, &request, 103 * SECOND), ==,
        0);
}

/* Guards against a stream that is relayed before its rest is sure to end. */
static void
test_streams_are_held_until_sure(void)
{
    const uint64_t now = 103 * SECOND + SECOND / 2;

    g_assert_cmpint(judge(now, 29, 0), ==, PGW_DRAIN_HOLD);
    g_assert_cmpint(judge(now, 29, SECOND / 100), ==, PGW_DRAIN_HOLD);
    g_assert_cmpint(judge(now, 17, SECOND / 100), ==, PGW_DRAIN_RELAY);
    g_assert_cmpint(judge(now, 0, 0), ==, PGW_DRAIN_RELAY);
    /* Twice as slow as promised. */
    g_assert_cmpint(judge(now, 17, SECOND / 5), ==, PGW_DRAIN_HOLD);
    g_assert_cmpint(judge(now, 8, SECOND / 5), ==, PGW_DRAIN_RELAY);
}

/* Guards against callers who wait for a stream that will be cut. */
static void
test_hopeless_streams_are_given_up(void)
{
    const uint64_t now = 103 * SECOND + SECOND / 2;

    g_assert_cmpint(judge(now, 29, SECOND / 5), ==, PGW_DRAIN_GIVE_UP);
    g_assert_cmpint(judge(104 * SECOND, 29, SECOND / 10), ==,
                    PGW_DRAIN_GIVE_UP);
    g_assert_cmpint(judge(104 * SECOND, 29, SECOND / 20), ==, PGW_DRAIN_RELAY);
    g_assert_cmpint(judge(104 * SECOND, 29, 0), ==, PGW_DRAIN_HOLD);
    g_assert_cmpint(judge(105 * SECOND, 29, 0), ==, PGW_DRAIN_GIVE_UP);
    g_assert_cmpint(judge(108 * SECOND, 1, 1), ==, PGW_DRAIN_GIVE_UP);
}

/* Guards against a stream without a length that is relayed before its end. */
static void
test_streams_of_unknown_length_are_held(void)
{
    g_assert_cmpint(judge(104 * SECOND, PGW_DRAIN_EVENTS_UNKNOWN, 1), ==,
                    PGW_DRAIN_HOLD);
    g_assert_cmpint(judge(105 * SECOND, PGW_DRAIN_EVENTS_UNKNOWN, 1), ==,
                    PGW_DRAIN_GIVE_UP);
}

/* Without a stop nothing is turned away. */
static void
test_no_stop(void)
{
    const struct pgw_drain_window none = {0};
    const struct pgw_drain_request request = {.deadline_us = UINT64_MAX};

    g_assert_true(pgw_drain_window_fits(&none, &request, SECOND));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/drain_window/once_only_is_never_cut",
                    test_once_only_is_never_cut);
    g_test_add_func("/drain_window/short_runs_are_taken",
                    test_short_runs_are_taken);
    g_test_add_func("/drain_window/early_runs_are_taken",
                    test_early_runs_are_taken);
    g_test_add_func("/drain_window/longer_runs_are_not_cut",
                    test_longer_runs_are_not_cut);
    g_test_add_func("/drain_window/unknown_runs_last_until_the_deadline",
                    test_unknown_runs_last_until_the_deadline);
    g_test_add_func("/drain_window/longest_run_is_kept",
                    test_longest_run_is_kept);
    g_test_add_func("/drain_window/late_streams_are_provisional",
                    test_late_streams_are_provisional);
    g_test_add_func("/drain_window/streams_are_held_until_sure",
                    test_streams_are_held_until_sure);
    g_test_add_func("/drain_window/hopeless_streams_are_given_up",
                    test_hopeless_streams_are_given_up);
    g_test_add_func("/drain_window/streams_of_unknown_length_are_held",
                    test_streams_of_unknown_length_are_held);
    g_test_add_func("/drain_window/no_stop", test_no_stop);
    return g_test_run();
}
