#include "gateway/http/slow_callers.h"
#include <glib.h>

/* Failure: many callers stop reading, and the process runs out of memory; or
 * one that has just begun to wait is closed instead of the oldest. */
static void
test_oldest_goes_first(void)
{
    struct pgw_slow_callers callers;
    struct pgw_slow_caller items[4] = {0};

    pgw_slow_callers_init(&callers);
    callers.bound = 100;
    pgw_slow_callers_update(&callers, &items[0], 30);
    pgw_slow_callers_update(&callers, &items[1], 30);
    pgw_slow_callers_update(&callers, &items[2], 40);
    g_assert_null(pgw_slow_callers_excess(&callers));
    /* The first one has caught up in between: it is the youngest now. */
    pgw_slow_callers_update(&callers, &items[0], 0);
    pgw_slow_callers_update(&callers, &items[0], 5);
    pgw_slow_callers_update(&callers, &items[1], 90);
    g_assert_true(pgw_slow_callers_excess(&callers) == &items[1]);
    pgw_slow_callers_update(&callers, &items[1], 0);
    g_assert_null(pgw_slow_callers_excess(&callers));
    pgw_slow_callers_update(&callers, &items[3], 101);
    g_assert_true(pgw_slow_callers_excess(&callers) == &items[2]);
    pgw_slow_callers_update(&callers, &items[2], 0);
    g_assert_true(pgw_slow_callers_excess(&callers) == &items[0]);
    pgw_slow_callers_update(&callers, &items[0], 0);
    pgw_slow_callers_update(&callers, &items[3], 0);
    g_assert_cmpuint(callers.pending, ==, 0);
    callers.bound = 0;
    pgw_slow_callers_update(&callers, &items[0], 1000000);
    g_assert_null(pgw_slow_callers_excess(&callers));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/slow_callers/oldest_first", test_oldest_goes_first);
    return g_test_run();
}
