#include "gateway/moving_average.h"
#include <glib.h>

#define NOW UINT64_C(100000000)

static void
note(struct pgw_moving_average *estimate, double sample, unsigned times)
{
    for (unsigned i = 0; i < times; i++) {
        pgw_moving_average_add(estimate, sample, NOW);
    }
}

/* A prior that is a hundred times off is left within some ten samples. */
static void
test_prior_is_left(void)
{
    struct pgw_moving_average estimate;

    pgw_moving_average_init(&estimate, 10);
    note(&estimate, 1000, 20);
    g_assert_cmpfloat(estimate.value, >, 600);
    note(&estimate, 1000, 60);
    g_assert_cmpfloat(estimate.value, >, 950);
    g_assert_cmpfloat(estimate.value, <=, 1000);
}

/* One request stands still: what is expected stays within a quarter. */
static void
test_outlier(void)
{
    struct pgw_moving_average estimate;

    pgw_moving_average_init(&estimate, 100);
    note(&estimate, 100, 50);
    note(&estimate, 1e9, 1);
    g_assert_cmpfloat(estimate.value, <, 125);
}

/* The deployment gets faster, and slower again. */
static void
test_regimes(void)
{
    struct pgw_moving_average estimate;

    pgw_moving_average_init(&estimate, 100);
    note(&estimate, 100, 100);
    note(&estimate, 20, 60);
    g_assert_cmpfloat(estimate.value, <, 25);
    note(&estimate, 100, 80);
    g_assert_cmpfloat(estimate.value, >, 80);
}

/* Clocks that stand and reports that are empty say nothing. */
static void
test_nothing_observed(void)
{
    struct pgw_moving_average estimate;

    pgw_moving_average_init(&estimate, 100);
    pgw_moving_average_add(&estimate, 0, NOW);
    pgw_moving_average_add(&estimate, -5, NOW);
    pgw_moving_average_add(&estimate, 0.0 / 0.0, NOW);
    g_assert_cmpfloat(estimate.value, ==, 100);
    g_assert_cmpuint(estimate.at_us, ==, 0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/estimate/prior", test_prior_is_left);
    g_test_add_func("/estimate/outlier", test_outlier);
    g_test_add_func("/estimate/regimes", test_regimes);
    g_test_add_func("/estimate/nothing", test_nothing_observed);
    return g_test_run();
}
