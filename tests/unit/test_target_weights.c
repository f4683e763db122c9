#include "gateway/upstream/target_weights.h"
#include <glib.h>

#define LIMIT_US UINT64_C(6800000)

/*
 * Version 3 is announced before all engines run version 2. Engines that still
 * run version 1 are unusable after the deadline of version 2: the later
 * deadline of version 3 does not extend it.
 */
static void
test_each_version_has_own_deadline(void)
{
    struct pgw_target_weights weights = {0};

    g_assert_cmpuint(
        pgw_target_weights_oldest_usable(&weights, LIMIT_US, LIMIT_US), ==, 0);
    g_assert_true(pgw_target_weights_add(&weights, 2, 1000, 1000));
    g_assert_true(pgw_target_weights_add(&weights, 3, 5000000, 5000000));
    g_assert_false(pgw_target_weights_add(&weights, 2, 6000000, 6000000));
    g_assert_cmpuint(pgw_target_weights_newest(&weights), ==, 3);
    g_assert_cmpuint(pgw_target_weights_oldest_usable(&weights, LIMIT_US,
                                                      1000 + LIMIT_US - 1),
                     ==, 0);
    g_assert_cmpuint(
        pgw_target_weights_oldest_usable(&weights, LIMIT_US, 1000 + LIMIT_US),
        ==, 2);
    g_assert_cmpuint(pgw_target_weights_oldest_usable(&weights, LIMIT_US,
                                                      5000000 + LIMIT_US),
                     ==, 3);
}

/* More versions than are kept: the most recent ones count, and a version that
 * was too old before does not become usable again. */
static void
test_many_versions(void)
{
    struct pgw_target_weights weights = {0};

    for (uint64_t i = 1; i <= 50; i++) {
        uint64_t before =
            pgw_target_weights_oldest_usable(&weights, LIMIT_US, i * 1000000);

        g_assert_true(
            pgw_target_weights_add(&weights, i, i * 1000000, i * 1000000));
        g_assert_cmpuint(
            pgw_target_weights_oldest_usable(&weights, LIMIT_US, i * 1000000),
            >=, before);
    }
    g_assert_cmpuint(pgw_target_weights_newest(&weights), ==, 50);
    g_assert_cmpuint(
        pgw_target_weights_oldest_usable(&weights, LIMIT_US, 50000000), ==,
        43);
}

/* Guards against entries that prefer new weights at different times, as they
 * know with different precision when these were announced. */
static void
test_preference_counts_from_receipt(void)
{
    struct pgw_target_weights weights = {0};

    pgw_target_weights_add(&weights, 2, 1000, 5000);
    g_assert_cmpuint(pgw_target_weights_oldest_preferred(&weights, 100, 5099),
                     ==, 0);
    g_assert_cmpuint(pgw_target_weights_oldest_preferred(&weights, 100, 5100),
                     ==, 2);
    g_assert_cmpuint(pgw_target_weights_oldest_usable(&weights, 100, 1100), ==,
                     2);
}

/* Each version that is not the first ends the time of older ones. */
static void
test_ends_come_in_order(void)
{
    struct pgw_target_weights weights = {0};

    g_assert_cmpuint(pgw_target_weights_next_end_us(&weights, LIMIT_US, 1), ==,
                     0);
    pgw_target_weights_add(&weights, 2, 1000, 1000);
    pgw_target_weights_add(&weights, 3, 5000, 5000);
    g_assert_cmpuint(pgw_target_weights_next_end_us(&weights, LIMIT_US, 1), ==,
                     1000 + LIMIT_US);
    g_assert_cmpuint(
        pgw_target_weights_next_end_us(&weights, LIMIT_US, 1000 + LIMIT_US),
        ==, 5000 + LIMIT_US);
    g_assert_cmpuint(
        pgw_target_weights_next_end_us(&weights, LIMIT_US, 5000 + LIMIT_US),
        ==, 0);
    g_assert_cmpuint(pgw_target_weights_next(&weights, 2)->version, ==, 3);
    g_assert_null(pgw_target_weights_next(&weights, 3));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/target_weights/preferred",
                    test_preference_counts_from_receipt);
    g_test_add_func("/target_weights/ends_in_order", test_ends_come_in_order);
    g_test_add_func("/target_weights/own_deadline",
                    test_each_version_has_own_deadline);
    g_test_add_func("/target_weights/many", test_many_versions);
    return g_test_run();
}
