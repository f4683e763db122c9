#include "gateway/upstream/moving_average.h"
#include <glib.h>

#define NOW UINT64_C(100000000)

static void
add_samples(struct pgw_moving_average *average, double sample, unsigned times)
{
    for (unsigned i = 0; i < times; i++) {
        pgw_moving_average_add(average, sample, NOW);
    }
}

/* A prior that is wrong by a factor of 100 is replaced within a few dozen
 * samples. */
static void
test_prior_is_replaced(void)
{
    struct pgw_moving_average average;

    pgw_moving_average_init(&average, 10);
    add_samples(&average, 1000, 20);
    g_assert_cmpfloat(average.value, >, 600);
    add_samples(&average, 1000, 60);
    g_assert_cmpfloat(average.value, >, 950);
    g_assert_cmpfloat(average.value, <=, 1000);
}

/* A single outlier moves the value by less than a quarter. */
static void
test_outlier(void)
{
    struct pgw_moving_average average;

    pgw_moving_average_init(&average, 100);
    add_samples(&average, 100, 50);
    add_samples(&average, 1e9, 1);
    g_assert_cmpfloat(average.value, <, 125);
}

/* The deployment gets faster for a while, then slower again. */
static void
test_lasting_changes(void)
{
    struct pgw_moving_average average;

    pgw_moving_average_init(&average, 100);
    add_samples(&average, 100, 100);
    add_samples(&average, 20, 60);
    g_assert_cmpfloat(average.value, <, 25);
    add_samples(&average, 100, 80);
    g_assert_cmpfloat(average.value, >, 80);
}

/* Zero, negative and undefined samples are ignored. */
static void
test_invalid_samples(void)
{
    struct pgw_moving_average average;

    pgw_moving_average_init(&average, 100);
    pgw_moving_average_add(&average, 0, NOW);
    pgw_moving_average_add(&average, -5, NOW);
    pgw_moving_average_add(&average, 0.0 / 0.0, NOW);
    g_assert_cmpfloat(average.value, ==, 100);
    g_assert_cmpuint(average.at_us, ==, 0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/moving_average/prior", test_prior_is_replaced);
    g_test_add_func("/moving_average/outlier", test_outlier);
    g_test_add_func("/moving_average/lasting_changes", test_lasting_changes);
    g_test_add_func("/moving_average/invalid_samples", test_invalid_samples);
    return g_test_run();
}
