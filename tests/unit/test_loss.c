#include "libparsleygw/loss.h"

#define LINKS 10000
#define STEP_US 50000

/* However many links break, and however full they were, a series makes
 * suspects of one link's newest attempts only. */
static void
test_series_is_bounded(void)
{
    struct pgw_loss_options options = PGW_LOSS_OPTIONS_INIT;
    struct pgw_loss loss;
    uint32_t marks = 0;
    uint64_t now = 5;
    uint32_t one;

    options.suspects_max = 1000;
    pgw_loss_init(&loss, &options);
    for (unsigned i = 0; i < LINKS; i++) {
        g_assert_true(pgw_loss_record_break(&one, &loss, 32, now) == (i == 0));
        marks += one;
        now += STEP_US;
    }
    g_assert_cmpuint(marks, ==, PGW_LOSS_SUSPECTS_MAX);
}

static void
test_lone_ones_count(void)
{
    struct pgw_loss_options options = PGW_LOSS_OPTIONS_INIT;
    struct pgw_loss loss;
    uint32_t marks;

    pgw_loss_init(&loss, &options);
    g_assert_true(pgw_loss_record_break(&marks, &loss, 3, 0));
    g_assert_cmpuint(marks, ==, 3);
    g_assert_false(pgw_loss_record_break(&marks, &loss, 3, options.window_us));
    g_assert_cmpuint(marks, ==, 0);
    g_assert_true(
        pgw_loss_record_break(&marks, &loss, 40, 2 * options.window_us + 1));
    g_assert_cmpuint(marks, ==, PGW_LOSS_SUSPECTS_MAX);
}

/* Neither what streams since long, nor what was sent to a dead machine. */
static void
test_recent_ones_count(void)
{
    struct pgw_loss_options options = PGW_LOSS_OPTIONS_INIT;
    uint64_t heard = 10 * options.recent_us;
    struct pgw_loss loss;

    pgw_loss_init(&loss, &options);
    g_assert_false(
        pgw_loss_is_candidate(&loss, heard - options.recent_us - 1, heard));
    g_assert_true(
        pgw_loss_is_candidate(&loss, heard - options.recent_us, heard));
    g_assert_true(
        pgw_loss_is_candidate(&loss, heard + options.slack_us, heard));
    g_assert_false(
        pgw_loss_is_candidate(&loss, heard + options.slack_us + 1, heard));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/loss/series-is-bounded", test_series_is_bounded);
    g_test_add_func("/loss/lone-ones-count", test_lone_ones_count);
    g_test_add_func("/loss/recent-ones-count", test_recent_ones_count);
    return g_test_run();
}
