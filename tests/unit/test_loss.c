#include "libparsleygw/loss.h"

#define LINKS 10000
#define STEP_US 50000

/* A series of broken links, of any length and with any number of attempts,
 * marks only the newest attempts of one link as suspects. */
static void
test_series_marks_one_link(void)
{
    struct pgw_loss_options options = PGW_LOSS_OPTIONS_INIT;
    struct pgw_loss loss;
    uint32_t suspects = 0;
    uint64_t now_us = 5;
    uint32_t link_suspects;

    options.suspects_max = 1000;
    pgw_loss_init(&loss, &options);
    for (unsigned i = 0; i < LINKS; i++) {
        g_assert_true(pgw_loss_record_break(&link_suspects, &loss, 32,
                                            now_us) == (i == 0));
        suspects += link_suspects;
        now_us += STEP_US;
    }
    g_assert_cmpuint(suspects, ==, PGW_LOSS_SUSPECTS_MAX);
}

static void
test_isolated_break_marks_suspects(void)
{
    struct pgw_loss_options options = PGW_LOSS_OPTIONS_INIT;
    struct pgw_loss loss;
    uint32_t suspects;

    pgw_loss_init(&loss, &options);
    g_assert_true(pgw_loss_record_break(&suspects, &loss, 3, 0));
    g_assert_cmpuint(suspects, ==, 3);
    g_assert_false(
        pgw_loss_record_break(&suspects, &loss, 3, options.window_us));
    g_assert_cmpuint(suspects, ==, 0);
    g_assert_true(pgw_loss_record_break(&suspects, &loss, 40,
                                        2 * options.window_us + 1));
    g_assert_cmpuint(suspects, ==, PGW_LOSS_SUSPECTS_MAX);
}

/* Attempts that have run for long and attempts sent to a dead machine are no
 * candidates. */
static void
test_recent_attempts_are_candidates(void)
{
    struct pgw_loss_options options = PGW_LOSS_OPTIONS_INIT;
    uint64_t last_seen_us = 10 * options.recent_us;
    struct pgw_loss loss;

    pgw_loss_init(&loss, &options);
    g_assert_false(pgw_loss_is_candidate(
        &loss, last_seen_us - options.recent_us - 1, last_seen_us));
    g_assert_true(pgw_loss_is_candidate(
        &loss, last_seen_us - options.recent_us, last_seen_us));
    g_assert_true(pgw_loss_is_candidate(&loss, last_seen_us + options.slack_us,
                                        last_seen_us));
    g_assert_false(pgw_loss_is_candidate(
        &loss, last_seen_us + options.slack_us + 1, last_seen_us));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/loss/series-marks-one-link", test_series_marks_one_link);
    g_test_add_func("/loss/isolated-break-marks-suspects",
                    test_isolated_break_marks_suspects);
    g_test_add_func("/loss/recent-attempts-are-candidates",
                    test_recent_attempts_are_candidates);
    return g_test_run();
}
