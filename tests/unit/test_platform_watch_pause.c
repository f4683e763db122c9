#include "watch_pause.h"
#include <glib.h>

#define PAUSE_MIN_US 350000

/**
 * struct simulation - result of a simulated watch
 * @call_count: watch responses with changes
 * @oldest_change_us: highest age of a change when a response returned it
 */
struct simulation {
    unsigned call_count;
    uint64_t oldest_change_us;
};

/* Simulates a watch on @changes changes, one every @interval_us. */
static struct simulation
simulate_rollout(uint64_t drain_ms, uint64_t changes, uint64_t interval_us)
{
    struct platform_watch_pause pause = {
        .min_us = PAUSE_MIN_US,
        .max_us = platform_watch_pause_max_us(drain_ms, PAUSE_MIN_US),
    };
    struct simulation result = {0};
    uint64_t now_us = 0;
    uint64_t received = 0;

    while (received < changes) {
        uint64_t oldest_us = received * interval_us;
        uint64_t waited_us = oldest_us > now_us ? oldest_us - now_us : 0;

        now_us += waited_us;
        result.call_count++;
        result.oldest_change_us =
            MAX(result.oldest_change_us, now_us - oldest_us);
        received = MIN(now_us / interval_us + 1, changes);
        now_us += platform_watch_pause_next(&pause, true, waited_us);
    }
    return result;
}

/* Guards against a number of store calls that grows with every change of a
 * rollout. */
static void
test_rollout_costs_few_calls(void)
{
    struct simulation rollout = simulate_rollout(4000, 144, 20000);

    g_assert_cmpuint(rollout.call_count, <=, 5);
    g_assert_cmpuint(rollout.oldest_change_us, <=, 1350000);
}

/* Guards against the record of a draining server that arrives after the drain
 * time. */
static void
test_maximum_is_within_drain_time(void)
{
    for (uint64_t drain_ms = 0; drain_ms <= 20000; drain_ms += 500) {
        uint64_t max_us = platform_watch_pause_max_us(drain_ms, PAUSE_MIN_US);

        g_assert_cmpuint(max_us, >=, PAUSE_MIN_US);
        g_assert_true(max_us == PAUSE_MIN_US || max_us * 2 < drain_ms * 1000);
    }
    g_assert_cmpuint(platform_watch_pause_max_us(2000, PAUSE_MIN_US), ==,
                     PAUSE_MIN_US);
}

/* Guards against a single change that is delayed to be batched with others. */
static void
test_single_change_waits_minimum(void)
{
    struct platform_watch_pause pause = {.min_us = PAUSE_MIN_US,
                                         .max_us = 1350000};

    g_assert_cmpuint(platform_watch_pause_next(&pause, true, 3000000), ==,
                     PAUSE_MIN_US);
    g_assert_cmpuint(platform_watch_pause_next(&pause, true, 0), ==,
                     2 * PAUSE_MIN_US);
    g_assert_cmpuint(platform_watch_pause_next(&pause, true, 2000000), ==,
                     PAUSE_MIN_US);
    g_assert_cmpuint(platform_watch_pause_next(&pause, true, 0), ==,
                     2 * PAUSE_MIN_US);
    g_assert_cmpuint(platform_watch_pause_next(&pause, false, 6000000), ==, 0);
    g_assert_cmpuint(platform_watch_pause_next(&pause, true, 0), ==,
                     PAUSE_MIN_US);
}

/* Guards against calls that grow with the number of entries. */
static void
test_many_entries_watch_for_longer(void)
{
    g_assert_cmpuint(platform_watch_ms(0, false), ==, 1500);
    g_assert_cmpuint(platform_watch_ms(5, false), ==, 1500);
    g_assert_cmpuint(platform_watch_ms(31, false), ==, 3100);
    g_assert_cmpuint(platform_watch_ms(940, false), ==, PLATFORM_WATCH_MAX_MS);
    g_assert_cmpuint(platform_watch_ms(940, true), ==, 1500);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/platform_watch_pause/rollout_costs_few_calls",
                    test_rollout_costs_few_calls);
    g_test_add_func("/platform_watch_pause/maximum_is_within_drain_time",
                    test_maximum_is_within_drain_time);
    g_test_add_func("/platform_watch_pause/single_change_waits_minimum",
                    test_single_change_waits_minimum);
    g_test_add_func("/platform_watch_pause/many_entries",
                    test_many_entries_watch_for_longer);
    return g_test_run();
}
