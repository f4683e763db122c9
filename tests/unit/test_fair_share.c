#include "gateway/share/fair_share.h"
#include <math.h>

#define NOW_US 5000000ULL

/* Failure: a workspace that asks for little is held back, or room is left that
 * somebody wants. */
static void
test_level(void)
{
    const double asked[] = {10, 100, 100};
    const double weights[] = {1, 1, 2};

    g_assert_cmpfloat(pgw_max_min_level(asked, weights, 3, 100), ==, 30);
    g_assert_true(isinf(pgw_max_min_level(asked, weights, 3, 210)));
    g_assert_cmpfloat(pgw_max_min_level(asked, weights, 3, 0), ==, 0);
    g_assert_true(isinf(pgw_max_min_level(NULL, NULL, 0, 0)));
}

/* Failure: more workspaces than are kept apart hide the one that takes most,
 * or a crest that is over still counts. */
static void
test_use(void)
{
    struct pgw_fair_share share = {0};
    double part;

    g_assert_cmpstr(pgw_fair_share_top(&share, &part, NOW_US), ==, "-");
    for (uint64_t i = 1; i <= 200; i++) {
        pgw_fair_share_ask(&share, 1, "large", 1, 900, NOW_US + i);
        pgw_fair_share_serve(&share, 1, 500, NOW_US + i);
        pgw_fair_share_ask(&share, i + 1, "small", 1, 10, NOW_US + i);
        pgw_fair_share_serve(&share, i + 1, 10, NOW_US + i);
    }
    g_assert_cmpstr(pgw_fair_share_top(&share, &part, NOW_US), ==, "large");
    g_assert_cmpfloat(part, >, 0.9);
    g_assert_cmpfloat(pgw_fair_share_ratio(&share, 1, 1000, NOW_US + 300), >,
                      1);
    g_assert_cmpfloat(pgw_fair_share_ratio(&share, 201, 1000, NOW_US + 300),
                      <=, 1);
    g_assert_cmpfloat(pgw_fair_share_ratio(&share, 1, 1000, NOW_US + 20000000),
                      ==, 0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/fair_share/level", test_level);
    g_test_add_func("/fair_share/use", test_use);
    return g_test_run();
}
