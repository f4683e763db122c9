#include "gateway/zone_balance.h"
#include <glib.h>

static void
note(struct pgw_zone_balance *balance, unsigned looks, double near, double far)
{
    for (unsigned i = 0; i < looks; i++) {
        pgw_zone_balance_note(balance, near, far);
    }
}

/* Callers of a zone that gets more than its share must not wait beside engines
 * of other zones that are idle. */
static void
test_busier_zone(void)
{
    struct pgw_zone_balance balance = {0};

    g_assert_true(pgw_zone_balance_is_even(&balance, true));
    note(&balance, 20, 0.6, 0.5);
    g_assert_false(pgw_zone_balance_is_even(&balance, true));
    note(&balance, 60, 0.5, 0.5);
    g_assert_true(pgw_zone_balance_is_even(&balance, false));
}

/* A burst of a second, or a zone where hardly anything runs, must not change
 * the way in which prompts are placed. */
static void
test_burst(void)
{
    struct pgw_zone_balance balance = {0};

    note(&balance, 20, 0.4, 0.45);
    note(&balance, 1, 0.9, 0.45);
    g_assert_true(pgw_zone_balance_is_even(&balance, true));
    balance = (struct pgw_zone_balance){0};
    note(&balance, 20, 0.08, 0.01);
    g_assert_true(pgw_zone_balance_is_even(&balance, true));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/zone_balance/busier", test_busier_zone);
    g_test_add_func("/zone_balance/burst", test_burst);
    return g_test_run();
}
