#include "util/hlc.h"

static void
test_follows_wall_and_never_goes_back(void)
{
    struct pgw_hlc clock = {0};
    uint64_t first = pgw_hlc_now(&clock, 5000);
    uint64_t second =
        pgw_hlc_now(&clock, 4000); /* the wall clock was set back */

    g_assert_cmpuint(pgw_hlc_to_us(first), ==, 5000);
    g_assert_cmpuint(second, >, first);
    g_assert_cmpuint(pgw_hlc_to_us(second), ==, 5000);
    g_assert_cmpuint(pgw_hlc_to_us(pgw_hlc_now(&clock, 6000)), ==, 6000);
}

/* A message that returns through a process whose wall clock lags must be
 * ordered behind its cause all the same. */
static void
test_receive_orders_behind_the_cause(void)
{
    struct pgw_hlc ahead = {0};
    struct pgw_hlc behind = {0};
    uint64_t sent = pgw_hlc_now(&ahead, 9000);
    uint64_t received = pgw_hlc_receive(&behind, sent, 1000);
    uint64_t reply = pgw_hlc_now(&behind, 1001);

    g_assert_cmpuint(received, >, sent);
    g_assert_cmpuint(reply, >, received);
    g_assert_cmpuint(pgw_hlc_receive(&ahead, reply, 9000), >, reply);
}

static void
test_broken_clock_is_not_followed(void)
{
    struct pgw_hlc clock = {0};
    uint64_t far = pgw_hlc_from_us(1000 + 2 * PGW_HLC_MAX_AHEAD_US);
    uint64_t received = pgw_hlc_receive(&clock, far, 1000);

    g_assert_cmpuint(pgw_hlc_to_us(received), ==, 1000);
    g_assert_cmpuint(pgw_hlc_receive(&clock, 0, 2000), >, received);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/hlc/wall", test_follows_wall_and_never_goes_back);
    g_test_add_func("/hlc/receive", test_receive_orders_behind_the_cause);
    g_test_add_func("/hlc/broken", test_broken_clock_is_not_followed);
    return g_test_run();
}
