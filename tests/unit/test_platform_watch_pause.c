#include "watch_pause.h"
#include <glib.h>

#define LEAST_US 350000

/**
 * struct played - a watch on changes that come at a steady pace
 * @calls: answers with changes
 * @latest_us: age of the oldest change when it was heard of, at the most
 */
struct played {
    unsigned calls;
    uint64_t latest_us;
};

static struct played
play(uint64_t drain_ms, uint64_t changes, uint64_t every_us)
{
    struct platform_batch batch = {
        .least_us = LEAST_US,
        .most_us = platform_batch_most_us(drain_ms, LEAST_US),
    };
    struct played out = {0};
    uint64_t now = 0;
    uint64_t taken = 0;

    while (taken < changes) {
        uint64_t oldest = taken * every_us;
        uint64_t waited = oldest > now ? oldest - now : 0;

        now += waited;
        out.calls++;
        out.latest_us = MAX(out.latest_us, now - oldest);
        taken = MIN(now / every_us + 1, changes);
        now += platform_batch_next(&batch, true, waited);
    }
    return out;
}

/* Guards against calls to the store that grow with each change of a rollout.
 */
static void
test_rollout(void)
{
    struct played rollout = play(4000, 144, 20000);

    g_assert_cmpuint(rollout.calls, <=, 5);
    g_assert_cmpuint(rollout.latest_us, <=, 1350000);
}

/* Guards against a leaving server that is heard of after its drain time. */
static void
test_bound(void)
{
    for (uint64_t drain_ms = 0; drain_ms <= 20000; drain_ms += 500) {
        uint64_t most = platform_batch_most_us(drain_ms, LEAST_US);

        g_assert_cmpuint(most, >=, LEAST_US);
        g_assert_true(most == LEAST_US || most * 2 < drain_ms * 1000);
    }
    g_assert_cmpuint(platform_batch_most_us(2000, LEAST_US), ==, LEAST_US);
}

/* Guards against a change that comes alone and waits for others. */
static void
test_single_changes(void)
{
    struct platform_batch batch = {.least_us = LEAST_US, .most_us = 1350000};

    g_assert_cmpuint(platform_batch_next(&batch, true, 3000000), ==, LEAST_US);
    g_assert_cmpuint(platform_batch_next(&batch, true, 0), ==, 2 * LEAST_US);
    g_assert_cmpuint(platform_batch_next(&batch, true, 2000000), ==, LEAST_US);
    g_assert_cmpuint(platform_batch_next(&batch, true, 0), ==, 2 * LEAST_US);
    g_assert_cmpuint(platform_batch_next(&batch, false, 6000000), ==, 0);
    g_assert_cmpuint(platform_batch_next(&batch, true, 0), ==, LEAST_US);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/platform_batch/rollout", test_rollout);
    g_test_add_func("/platform_batch/bound", test_bound);
    g_test_add_func("/platform_batch/single", test_single_changes);
    return g_test_run();
}
