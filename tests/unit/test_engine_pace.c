#include "gateway/pace/engine_pace.h"
#include <glib.h>
#include <math.h>

#define NOW UINT64_C(100000000)
#define POOL_RATE 20.0

static void
add_samples(struct pgw_engine_pace *pace, double tokens_per_ms, unsigned times)
{
    for (unsigned i = 0; i < times; i++) {
        pgw_engine_pace_add_prefill(pace, tokens_per_ms * 100, 100000, NOW);
    }
}

static double
rate(const struct pgw_engine_pace *pace, uint64_t now_us)
{
    return pgw_engine_pace_rate(pace, POOL_RATE, now_us);
}

/* An engine of which nothing is known gets the pool's rate, and its own after
 * 20 samples, also if the first one was wrong by a factor of ten. */
static void
test_converges(void)
{
    struct pgw_engine_pace pace = {0};

    g_assert_cmpfloat(rate(&pace, NOW), ==, POOL_RATE);
    add_samples(&pace, 400, 1);
    add_samples(&pace, 40, 20);
    g_assert_cmpfloat(rate(&pace, NOW), >, 36);
    g_assert_cmpfloat(rate(&pace, NOW), <, 52);
    add_samples(&pace, 40, 20);
    g_assert_cmpfloat(ABS(rate(&pace, NOW) - 40), <, 4);
}

/* A lasting change of speed is followed; one request that hung is not. */
static void
test_follows_lasting_change(void)
{
    struct pgw_engine_pace pace = {0};

    add_samples(&pace, 40, 60);
    add_samples(&pace, 0.1, 1);
    g_assert_cmpfloat(rate(&pace, NOW), >, 35);
    add_samples(&pace, 10, 60);
    g_assert_cmpfloat(ABS(rate(&pace, NOW) - 10), <, 2);
}

/* Guards against an engine that gets all prompts, or none, because it states
 * or yields nonsense. */
static void
test_nonsense_is_ignored(void)
{
    static const double figures[] = {-1, NAN, INFINITY, -INFINITY, 1e300};
    struct pgw_engine_pace pace = {0};
    unsigned ignored = 0;

    add_samples(&pace, 40, 20);
    for (size_t i = 0; i < G_N_ELEMENTS(figures); i++) {
        g_assert_false(
            pgw_engine_pace_set_prefill_rate(&pace, figures[i], NOW));
        g_assert_false(pgw_engine_pace_set_slowdown(&pace, figures[i], NOW));
        g_assert_false(
            pgw_engine_pace_add_prefill(&pace, figures[i], 1000, NOW));
        g_assert_cmpuint(pace.ignored, ==, ignored += 3);
    }
    g_assert_false(pgw_engine_pace_add_prefill(&pace, 1000, 0, NOW));
    g_assert_false(pgw_engine_pace_set_slowdown(&pace, 0, NOW));
    g_assert_true(pgw_engine_pace_set_prefill_rate(&pace, 0, NOW));
    g_assert_cmpuint(pace.ignored, ==, ignored + 2);
    g_assert_cmpfloat(ABS(rate(&pace, NOW) - 40), <, 0.01);
}

static uint64_t
state_slowdown(struct pgw_engine_pace *pace, double slowdown, uint64_t from_us,
               uint64_t for_us)
{
    uint64_t now = from_us;

    for (; now < from_us + for_us; now += 100000) {
        g_assert_true(pgw_engine_pace_set_slowdown(pace, slowdown, now));
    }
    return now;
}

/* A machine that is slow for two seconds counts as slow at once and in all of
 * this time, and as usual again a second after its last statement. */
static void
test_slow_machine(void)
{
    struct pgw_engine_pace pace = {0};
    uint64_t now;

    add_samples(&pace, 40, 20);
    now = state_slowdown(&pace, 1, NOW, 20000000);
    g_assert_cmpfloat(ABS(rate(&pace, now) - 40), <, 0.01);
    now = state_slowdown(&pace, 4, now, 200000);
    g_assert_cmpfloat(rate(&pace, now - 100000), <, 12);
    now = state_slowdown(&pace, 4, now, 1800000);
    g_assert_cmpfloat(rate(&pace, now - 100000), <, 20);
    g_assert_cmpfloat(rate(&pace, now + 300000), <, 40);
    g_assert_cmpfloat(ABS(rate(&pace, now + 1000000) - 40), <, 0.01);
}

/* Guards against a machine that is always slow, or fast, and counts as such
 * twice: by its engine's observed rate and by what it states. Before a rate is
 * observed the statement alone counts. */
static void
test_permanently_slow_machine(void)
{
    static const double slowdowns[] = {0.6, 1, 1.6};

    for (size_t i = 0; i < G_N_ELEMENTS(slowdowns); i++) {
        struct pgw_engine_pace pace = {0};
        double own_rate = POOL_RATE / slowdowns[i];
        uint64_t now = state_slowdown(&pace, slowdowns[i], NOW, 1000000);

        g_assert_cmpfloat(ABS(rate(&pace, now) - own_rate), <, 0.01);
        add_samples(&pace, own_rate, 20);
        g_assert_cmpfloat(ABS(rate(&pace, now) - own_rate), <, 0.01);
        g_assert_cmpfloat(ABS(rate(&pace, now + 60000000) - own_rate), <,
                          0.01);
    }
}

/* The first statement falls into a moment in which the machine is slow: a few
 * seconds later it hardly counts. */
static void
test_first_statement_is_no_mean(void)
{
    struct pgw_engine_pace pace = {0};
    uint64_t now = state_slowdown(&pace, 2.5, NOW, 300000);

    state_slowdown(&pace, 1, now, 4000000);
    g_assert_cmpfloat(pace.mean_slowdown, <, 1.2);
}

/* A new process under the id of a former one: nothing of that is kept. */
static void
test_restart(void)
{
    struct pgw_engine_pace pace = {0};

    add_samples(&pace, 40, 20);
    pgw_engine_pace_set_slowdown(&pace, 4, NOW);
    pgw_engine_pace_reset(&pace);
    g_assert_cmpfloat(rate(&pace, NOW), ==, POOL_RATE);
    g_assert_cmpuint(pace.samples, ==, 0);
}

/* Reports are lost: the last rate holds. Statements come late or twice, with a
 * time before or after that of the decision: none moves the rate further than
 * it states, and all are forgotten. */
static void
test_late_and_lost_reports(void)
{
    struct pgw_engine_pace pace = {0};
    uint64_t now;
    double mean;

    g_assert_true(pgw_engine_pace_set_prefill_rate(&pace, 40, NOW));
    g_assert_cmpfloat(rate(&pace, NOW + 60000000), ==, 40);
    now = state_slowdown(&pace, 1, NOW, 10000000);
    pgw_engine_pace_set_slowdown(&pace, 2, now + 500);
    g_assert_cmpfloat(ABS(rate(&pace, now) - 20), <, 1);
    mean = pace.mean_slowdown;
    pgw_engine_pace_set_slowdown(&pace, 8, now - 400000);
    pgw_engine_pace_set_slowdown(&pace, 8, now - 400000);
    g_assert_cmpfloat(pace.mean_slowdown, ==, mean);
    g_assert_cmpfloat(ABS(rate(&pace, now + 5000000) - 40), <, 0.1);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/engine_pace/converges", test_converges);
    g_test_add_func("/engine_pace/lasting_change",
                    test_follows_lasting_change);
    g_test_add_func("/engine_pace/nonsense", test_nonsense_is_ignored);
    g_test_add_func("/engine_pace/slow_machine", test_slow_machine);
    g_test_add_func("/engine_pace/permanently_slow_machine",
                    test_permanently_slow_machine);
    g_test_add_func("/engine_pace/first_statement",
                    test_first_statement_is_no_mean);
    g_test_add_func("/engine_pace/restart", test_restart);
    g_test_add_func("/engine_pace/late_and_lost", test_late_and_lost_reports);
    return g_test_run();
}
