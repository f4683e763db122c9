#include "gateway/sidecar/rollout_window.h"
#include <glib.h>

#define POOL 18
#define SECOND_US UINT64_C(1000000)

static const struct pgw_rollout_window_options options =
    PGW_ROLLOUT_WINDOW_OPTIONS_INIT;

static void
fill(struct pgw_rollout_candidate *engines, size_t count, uint64_t version)
{
    for (size_t i = 0; i < count; i++) {
        engines[i] = (struct pgw_rollout_candidate){
            .rank = (i * 7) % count,
            .version = version,
        };
    }
}

static unsigned
count_starting(const struct pgw_rollout_candidate *engines, size_t count)
{
    unsigned starting = 0;

    for (size_t i = 0; i < count; i++) {
        starting += engines[i].may_start;
    }
    return starting;
}

/*
 * A version is rolled out over 18 engines. The next engine starts as soon as
 * one has finished: never more than three load at once, and all have loaded
 * after six rounds. Only finished loads advance the rollout, no timer does.
 */
static void
test_next_starts_after_finish(void)
{
    struct pgw_rollout_candidate engines[POOL];
    const uint64_t target_version = 2;
    unsigned rounds = 0;

    fill(engines, POOL, 1);
    while (pgw_rollout_window_select(engines, POOL, target_version, &options) >
           0) {
        g_assert_cmpuint(count_starting(engines, POOL), ==, 3);
        for (size_t i = 0; i < POOL; i++) {
            engines[i].loading = engines[i].may_start;
        }
        g_assert_cmpuint(
            pgw_rollout_window_select(engines, POOL, target_version, &options),
            ==, 3);
        g_assert_cmpuint(count_starting(engines, POOL), ==, 0);
        for (size_t i = 0; i < POOL; i++) {
            engines[i].version = engines[i].loading ? 2 : engines[i].version;
            engines[i].loading = false;
        }
        rounds++;
    }
    g_assert_cmpuint(rounds, ==, 6);
}

static void
test_size(void)
{
    g_assert_cmpuint(pgw_rollout_window_size(&options, POOL), ==, 3);
    g_assert_cmpuint(pgw_rollout_window_size(&options, 9), ==, 2);
    g_assert_cmpuint(pgw_rollout_window_size(&options, 1), ==, 1);
    g_assert_cmpuint(pgw_rollout_window_size(&options, 0), ==, 1);
}

/* Guards against loads that take all the time for which old weights are
 * usable, so that slow engines keep them for too long. */
static void
test_reserve(void)
{
    struct pgw_rollout_window_options timed = PGW_ROLLOUT_WINDOW_OPTIONS_INIT;

    timed.usable_us = 11 * SECOND_US;
    g_assert_cmpuint(pgw_rollout_window_size(&timed, POOL), ==, 3);
    timed.load_us = SECOND_US / 2;
    g_assert_cmpuint(pgw_rollout_window_size(&timed, POOL), ==, 3);
    timed.load_us = 14 * SECOND_US / 10;
    g_assert_cmpuint(pgw_rollout_window_size(&timed, POOL), ==, 4);
    timed.load_us = 20 * SECOND_US;
    g_assert_cmpuint(pgw_rollout_window_size(&timed, POOL), ==, 4);
    g_assert_cmpuint(pgw_rollout_window_size(&timed, 3), ==, 1);
}

/* A version is announced while the previous one is rolled out: engines that
 * have not loaded the previous one start first, and skip it. */
static void
test_oldest_weights_start_first(void)
{
    struct pgw_rollout_candidate engines[POOL];
    const uint64_t target_version = 3;

    fill(engines, POOL, 2);
    engines[4].version = 1;
    engines[9].version = 1;
    engines[15].version = 1;
    g_assert_cmpuint(
        pgw_rollout_window_select(engines, POOL, target_version, &options), ==,
        3);
    g_assert_cmpuint(engines[0].version, ==, 1);
    g_assert_cmpuint(engines[2].version, ==, 1);
    g_assert_true(engines[0].may_start && engines[1].may_start &&
                  engines[2].may_start);
    g_assert_cmpuint(count_starting(engines, POOL), ==, 3);
    g_assert_true(engines[3].starts_next && engines[5].starts_next &&
                  !engines[6].starts_next);
}

/* Loads beside many others, or behind long runs, take longer: the expected
 * time is that of an undisturbed load. */
static void
test_expected_time_is_undisturbed_load(void)
{
    struct pgw_weights_load_times times = {0};

    g_assert_cmpuint(pgw_weights_load_times_expected_us(&times), ==, 0);
    pgw_weights_load_times_add(&times, 30 * SECOND_US);
    g_assert_cmpuint(pgw_weights_load_times_expected_us(&times), ==,
                     30 * SECOND_US);
    pgw_weights_load_times_add(&times, SECOND_US);
    pgw_weights_load_times_add(&times, 3 * SECOND_US);
    g_assert_cmpuint(pgw_weights_load_times_expected_us(&times), ==,
                     SECOND_US);
    /* All loads take longer from now on. */
    for (unsigned i = 0; i < PGW_WEIGHTS_LOAD_TIMES_MAX; i++) {
        pgw_weights_load_times_add(&times, 5 * SECOND_US);
    }
    g_assert_cmpuint(pgw_weights_load_times_expected_us(&times), ==,
                     5 * SECOND_US);
}

static void
test_start_without_selection(void)
{
    for (unsigned i = 0; i <= 10; i++) {
        uint64_t at =
            pgw_rollout_window_latest_start_us(i / 10.0, 10 * SECOND_US);

        g_assert_cmpuint(at, >=, 10 * SECOND_US);
        g_assert_cmpuint(at, <=, 12 * SECOND_US);
    }
    g_assert_cmpuint(pgw_rollout_window_latest_start_us(0.5, 0), ==, 0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/rollout_window/next_starts_after_finish",
                    test_next_starts_after_finish);
    g_test_add_func("/rollout_window/size", test_size);
    g_test_add_func("/rollout_window/reserve", test_reserve);
    g_test_add_func("/rollout_window/oldest_weights_first",
                    test_oldest_weights_start_first);
    g_test_add_func("/rollout_window/expected_load_time",
                    test_expected_time_is_undisturbed_load);
    g_test_add_func("/rollout_window/start_without_selection",
                    test_start_without_selection);
    return g_test_run();
}
