#include "gateway/pace/start_delay.h"
#include <glib.h>

#define MS UINT64_C(1000)
#define NOW (UINT64_C(100000) * MS)

static struct pgw_start_delay delay;
static uint64_t now_us;

static void
set_up(void)
{
    pgw_start_delay_init(&delay);
    now_us = NOW;
}

static uint64_t
estimate_ms(void)
{
    return pgw_start_delay_estimate_us(&delay, now_us) / MS;
}

/* A request that gets its first event after @ms. */
static void
run(uint64_t ms)
{
    struct pgw_start_wait wait = {0};

    pgw_start_delay_begin(&delay, &wait, now_us);
    now_us += ms * MS;
    pgw_start_delay_end(&delay, &wait, true, now_us);
}

/* Guards against an engine whose queue grows and that looks idle until its
 * next report: the oldest request that waits there shows the queue. */
static void
test_oldest_wait_counts(void)
{
    struct pgw_start_wait first = {0};
    struct pgw_start_wait second = {0};

    set_up();
    g_assert_cmpuint(estimate_ms(), ==, 0);
    pgw_start_delay_begin(&delay, &first, now_us);
    now_us += 100 * MS;
    pgw_start_delay_begin(&delay, &second, now_us);
    now_us += 200 * MS;
    g_assert_cmpuint(estimate_ms(), ==, 300);
    pgw_start_delay_end(&delay, &first, false, now_us);
    g_assert_cmpuint(estimate_ms(), ==, 200);
    pgw_start_delay_end(&delay, &second, false, now_us);
    g_assert_cmpuint(estimate_ms(), ==, 0);
}

/* Guards against an estimate that follows a queue for too long, up or down. */
static void
test_average_follows(void)
{
    set_up();
    for (unsigned i = 0; i < 6; i++) {
        run(400);
    }
    g_assert_cmpuint(estimate_ms(), >, 300);
    for (unsigned i = 0; i < 6; i++) {
        run(10);
    }
    g_assert_cmpuint(estimate_ms(), <, 50);
}

/* Guards against an engine that is avoided for good after one bad second. */
static void
test_average_fades(void)
{
    set_up();
    run(1000);
    g_assert_cmpuint(estimate_ms(), >=, 400);
    now_us += 4000 * MS;
    g_assert_cmpuint(estimate_ms(), <, 50);
}

/* Guards against a request that is taken out twice, as when its caller leaves
 * right after its first event. */
static void
test_end_twice(void)
{
    struct pgw_start_wait wait = {0};

    set_up();
    pgw_start_delay_begin(&delay, &wait, now_us);
    now_us += 50 * MS;
    pgw_start_delay_end(&delay, &wait, true, now_us);
    pgw_start_delay_end(&delay, &wait, false, now_us);
    g_assert_cmpuint(estimate_ms(), ==, 25);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/start_delay/oldest_wait_counts",
                    test_oldest_wait_counts);
    g_test_add_func("/start_delay/average_follows", test_average_follows);
    g_test_add_func("/start_delay/average_fades", test_average_fades);
    g_test_add_func("/start_delay/end_twice", test_end_twice);
    return g_test_run();
}
