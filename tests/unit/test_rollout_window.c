#include "gateway/rollout_window.h"
#include <glib.h>

#define POOL 18
#define SECOND UINT64_C(1000000)

static const struct pgw_rollout_window_options options =
    PGW_ROLLOUT_WINDOW_OPTIONS_INIT;

static void
fill(struct pgw_rollout_candidate *engines, size_t count, uint64_t version)
{
    for (size_t i = 0; i < count; i++) {
        engines[i] = (struct pgw_rollout_candidate){
            .place = (i * 7) % count,
            .version = version,
        };
    }
}

static unsigned
count_go(const struct pgw_rollout_candidate *engines, size_t count)
{
    unsigned go = 0;

    for (size_t i = 0; i < count; i++) {
        go += engines[i].go;
    }
    return go;
}

/*
 * A version is rolled out over 18 engines that take 1.3 s each. As one is done
 * the next begins: never more than three are away, and all have loaded after
 * six rounds, which no clock but the loads themselves has set.
 */
static void
test_next_begins_when_one_is_done(void)
{
    struct pgw_rollout_candidate engines[POOL];
    const uint64_t wanted = 2;
    unsigned rounds = 0;

    fill(engines, POOL, 1);
    while (pgw_rollout_window_select(engines, POOL, wanted, &options) > 0) {
        g_assert_cmpuint(count_go(engines, POOL), ==, 3);
        for (size_t i = 0; i < POOL; i++) {
            engines[i].loading = engines[i].go;
        }
        g_assert_cmpuint(
            pgw_rollout_window_select(engines, POOL, wanted, &options), ==, 3);
        g_assert_cmpuint(count_go(engines, POOL), ==, 0);
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

/* A version is named while the one before is rolled out: engines that have not
 * loaded that one go first, and skip it. */
static void
test_oldest_weights_go_first(void)
{
    struct pgw_rollout_candidate engines[POOL];
    const uint64_t wanted = 3;

    fill(engines, POOL, 2);
    engines[4].version = 1;
    engines[9].version = 1;
    engines[15].version = 1;
    g_assert_cmpuint(
        pgw_rollout_window_select(engines, POOL, wanted, &options), ==, 3);
    g_assert_cmpuint(engines[0].version, ==, 1);
    g_assert_cmpuint(engines[2].version, ==, 1);
    g_assert_true(engines[0].go && engines[1].go && engines[2].go);
    g_assert_cmpuint(count_go(engines, POOL), ==, 3);
    g_assert_true(engines[3].next && engines[5].next && !engines[6].next);
}

/* Loads beside many others, or behind long runs, take longer: what is expected
 * is the time of one that was held up by nothing. */
static void
test_pace_is_that_of_a_free_load(void)
{
    struct pgw_weights_load_times pace = {0};

    g_assert_cmpuint(pgw_weights_load_times_expected_us(&pace), ==, 0);
    pgw_weights_load_times_add(&pace, 30 * SECOND);
    g_assert_cmpuint(pgw_weights_load_times_expected_us(&pace), ==,
                     30 * SECOND);
    pgw_weights_load_times_add(&pace, SECOND);
    pgw_weights_load_times_add(&pace, 3 * SECOND);
    g_assert_cmpuint(pgw_weights_load_times_expected_us(&pace), ==, SECOND);
    /* All loads take longer from now on. */
    for (unsigned i = 0; i < PGW_WEIGHTS_LOAD_TIMES_MAX; i++) {
        pgw_weights_load_times_add(&pace, 5 * SECOND);
    }
    g_assert_cmpuint(pgw_weights_load_times_expected_us(&pace), ==,
                     5 * SECOND);
}

static void
test_alone_each_begins_at_the_end(void)
{
    for (unsigned i = 0; i <= 10; i++) {
        uint64_t at =
            pgw_rollout_window_latest_start_us(i / 10.0, 10 * SECOND);

        g_assert_cmpuint(at, >=, 10 * SECOND);
        g_assert_cmpuint(at, <=, 12 * SECOND);
    }
    g_assert_cmpuint(pgw_rollout_window_latest_start_us(0.5, 0), ==, 0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/load_window/next", test_next_begins_when_one_is_done);
    g_test_add_func("/load_window/size", test_size);
    g_test_add_func("/load_window/oldest", test_oldest_weights_go_first);
    g_test_add_func("/load_window/pace", test_pace_is_that_of_a_free_load);
    g_test_add_func("/load_window/alone", test_alone_each_begins_at_the_end);
    return g_test_run();
}
