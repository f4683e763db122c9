#include "gateway/target_weights.h"
#include <glib.h>

#define LIMIT UINT64_C(6800000)

/*
 * Version 2 is named and, before all engines have it, version 3. Engines that
 * still run version 1 are out once the time of version 2 is over: the time of
 * version 3 does not give them more.
 */
static void
test_each_version_has_its_own_time(void)
{
    struct pgw_target_weights weights = {0};

    g_assert_cmpuint(pgw_target_weights_oldest_usable(&weights, LIMIT, LIMIT),
                     ==, 0);
    g_assert_true(pgw_target_weights_add(&weights, 2, 1000));
    g_assert_true(pgw_target_weights_add(&weights, 3, 5000000));
    g_assert_false(pgw_target_weights_add(&weights, 2, 6000000));
    g_assert_cmpuint(pgw_target_weights_newest(&weights), ==, 3);
    g_assert_cmpuint(
        pgw_target_weights_oldest_usable(&weights, LIMIT, 1000 + LIMIT - 1),
        ==, 0);
    g_assert_cmpuint(
        pgw_target_weights_oldest_usable(&weights, LIMIT, 1000 + LIMIT), ==,
        2);
    g_assert_cmpuint(
        pgw_target_weights_oldest_usable(&weights, LIMIT, 5000000 + LIMIT), ==,
        3);
}

/* More versions than are remembered: the last ones count, and what was found
 * to be too old before does not become usable again. */
static void
test_many_versions(void)
{
    struct pgw_target_weights weights = {0};

    for (uint64_t i = 1; i <= 50; i++) {
        uint64_t before =
            pgw_target_weights_oldest_usable(&weights, LIMIT, i * 1000000);

        g_assert_true(pgw_target_weights_add(&weights, i, i * 1000000));
        g_assert_cmpuint(
            pgw_target_weights_oldest_usable(&weights, LIMIT, i * 1000000), >=,
            before);
    }
    g_assert_cmpuint(pgw_target_weights_newest(&weights), ==, 50);
    g_assert_cmpuint(
        pgw_target_weights_oldest_usable(&weights, LIMIT, 50000000), ==, 43);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/named_weights/own_time",
                    test_each_version_has_its_own_time);
    g_test_add_func("/named_weights/many", test_many_versions);
    return g_test_run();
}
