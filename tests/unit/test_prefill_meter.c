#include "gateway/pace/prefill_meter.h"

#define NOW UINT64_C(100000000)
#define MS UINT64_C(1000)

static double
rate(const struct pgw_prefill_meter *meter)
{
    return meter->pace.prefill_rate;
}

/* Two prompts of different entries are prefilled one after the other; the
 * period from the first announcement to the last end is the sample. */
static void
test_busy_period(void)
{
    struct pgw_prefill_meter meter;

    pgw_prefill_meter_init(&meter);
    pgw_prefill_meter_begin(&meter, 1, NOW);
    pgw_prefill_meter_begin(&meter, 2, NOW + 10 * MS);
    pgw_prefill_meter_end(&meter, 1, 2000, NOW + 100 * MS);
    g_assert_cmpuint(meter.pace.samples, ==, 0);
    pgw_prefill_meter_end(&meter, 2, 2000, NOW + 200 * MS);
    g_assert_cmpuint(meter.pace.samples, ==, 1);
    g_assert_cmpfloat(ABS(rate(&meter) - 20), <, 0.01);
    pgw_prefill_meter_dispose(&meter);
}

/* An engine with a prompt pending at all times is measured, too. */
static void
test_never_idle(void)
{
    struct pgw_prefill_meter meter;

    pgw_prefill_meter_init(&meter);
    pgw_prefill_meter_begin(&meter, 1, NOW);
    for (uint64_t i = 1; i <= 100; i++) {
        pgw_prefill_meter_begin(&meter, i + 1, NOW + i * 100 * MS - MS);
        pgw_prefill_meter_end(&meter, i, 3000, NOW + i * 100 * MS);
    }
    g_assert_cmpuint(meter.pace.samples, >=, 19);
    g_assert_cmpfloat(ABS(rate(&meter) - 30), <, 1);
    pgw_prefill_meter_dispose(&meter);
}

/* Guards against rates from tokens that were not prefilled: an abandoned
 * prompt, one that was mostly fetched, an entry that crashed with its prompt
 * pending, and an end that comes twice or for another process. */
static void
test_no_sample(void)
{
    struct pgw_prefill_meter meter;

    pgw_prefill_meter_init(&meter);
    pgw_prefill_meter_begin(&meter, 1, NOW);
    pgw_prefill_meter_begin(&meter, 2, NOW);
    pgw_prefill_meter_end(&meter, 1, 0, NOW + 50 * MS);
    pgw_prefill_meter_end(&meter, 2, 5000, NOW + 100 * MS);
    pgw_prefill_meter_begin(&meter, 3, NOW + 200 * MS);
    pgw_prefill_meter_end(&meter, 3, 100, NOW + 250 * MS);
    pgw_prefill_meter_begin(&meter, 4, NOW + 300 * MS);
    pgw_prefill_meter_expire(&meter, NOW + 6000 * MS);
    g_assert_cmpuint(g_hash_table_size(meter.pending), ==, 0);
    pgw_prefill_meter_end(&meter, 4, 5000, NOW + 6001 * MS);
    g_assert_cmpuint(meter.pace.samples, ==, 0);
    pgw_prefill_meter_dispose(&meter);
}

/* A restart forgets the rate and the prompts of the former process. */
static void
test_restart(void)
{
    struct pgw_prefill_meter meter;

    pgw_prefill_meter_init(&meter);
    pgw_prefill_meter_begin(&meter, 1, NOW);
    pgw_prefill_meter_end(&meter, 1, 2000, NOW + 100 * MS);
    pgw_prefill_meter_begin(&meter, 2, NOW + 100 * MS);
    g_assert_cmpfloat(rate(&meter), >, 0);
    pgw_prefill_meter_clear(&meter);
    pgw_prefill_meter_end(&meter, 2, 2000, NOW + 200 * MS);
    g_assert_cmpfloat(rate(&meter), ==, 0);
    pgw_prefill_meter_dispose(&meter);
}

/* Announcements without ends do not fill the memory. */
static void
test_bounded(void)
{
    struct pgw_prefill_meter meter;

    pgw_prefill_meter_init(&meter);
    for (uint64_t i = 0; i < 100000; i++) {
        pgw_prefill_meter_begin(&meter, i, NOW);
    }
    g_assert_cmpuint(g_hash_table_size(meter.pending), <=, 1024);
    pgw_prefill_meter_dispose(&meter);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/prefill_meter/busy_period", test_busy_period);
    g_test_add_func("/prefill_meter/never_idle", test_never_idle);
    g_test_add_func("/prefill_meter/no_sample", test_no_sample);
    g_test_add_func("/prefill_meter/restart", test_restart);
    g_test_add_func("/prefill_meter/bounded", test_bounded);
    return g_test_run();
}
