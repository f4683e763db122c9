#include "parsleygw/types.h"

static void
test_every_refusal_has_name_and_status(void)
{
    for (int i = 0; i < PGW_REFUSAL_COUNT; i++) {
        g_assert_nonnull(pgw_refusal_name(i));
        g_assert_cmpuint(pgw_refusal_status(i), >=, 400);
    }
    g_assert_cmpstr(pgw_refusal_name(PGW_REFUSAL_COUNT), ==, "internal");
}

static void
test_priority_round_trip(void)
{
    enum pgw_priority priority = PGW_PRIORITY_URGENT;

    for (int i = 0; i < PGW_PRIORITY_COUNT; i++) {
        g_assert_true(pgw_priority_parse(&priority, pgw_priority_name(i)));
        g_assert_cmpint(priority, ==, i);
    }
    g_assert_false(pgw_priority_parse(&priority, "soon"));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/types/refusals", test_every_refusal_has_name_and_status);
    g_test_add_func("/types/priorities", test_priority_round_trip);
    return g_test_run();
}
