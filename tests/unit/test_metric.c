#include "util/metric.h"

#include <string.h>

/* Whatever is recorded, a quantile lies at or above the exact one and at most
 * 1/16 over it. */
static void
test_quantile_error_is_bounded(void)
{
    struct pgw_metric_snapshot *snapshot =
        g_new0(struct pgw_metric_snapshot, 1);

    for (uint64_t us = 1; us < (UINT64_C(1) << PGW_METRIC_MAX_BITS) - 1;
         us += us / 7 + 1) {
        uint64_t found;

        memset(snapshot, 0, sizeof(*snapshot));
        pgw_metric_snapshot_record_us(snapshot, us);
        found = pgw_metric_snapshot_quantile_us(snapshot, 0.99);
        g_assert_cmpuint(found, >=, us);
        g_assert_cmpuint(found, <=, us + us / 16);
    }
    g_free(snapshot);
}

static void
test_quantiles_and_merge(void)
{
    struct pgw_metric_snapshot *low = g_new0(struct pgw_metric_snapshot, 1);
    struct pgw_metric_snapshot *high = g_new0(struct pgw_metric_snapshot, 1);

    g_assert_cmpuint(pgw_metric_snapshot_quantile_us(low, 0.5), ==, 0);
    for (int i = 0; i < 99; i++) {
        pgw_metric_snapshot_record_us(low, 10);
    }
    pgw_metric_snapshot_record_us(high, UINT64_MAX / 2);
    pgw_metric_snapshot_merge(low, high);
    g_assert_cmpuint(low->count, ==, 100);
    g_assert_cmpuint(pgw_metric_snapshot_quantile_us(low, 0.99), ==, 10);
    g_assert_cmpuint(pgw_metric_snapshot_quantile_us(low, 1.0), ==,
                     (UINT64_C(1) << PGW_METRIC_MAX_BITS) - 1);
    g_free(low);
    g_free(high);
}

static struct pgw_metric_counter done = {.name = "pgw_test_total",
                                         .help = "Test",
                                         .labels = "result=\"done\""};
static struct pgw_metric_counter other = {.name = "pgw_other_total",
                                          .help = "Other",
                                          .labels = NULL};
static struct pgw_metric_counter failed = {.name = "pgw_test_total",
                                           .help = "Test",
                                           .labels = "result=\"failed\""};
static struct pgw_metric_histogram ttft = {.name = "pgw_test_seconds",
                                           .help = "Time",
                                           .labels = "zone=\"a\""};

static void *
count_many(void *unused G_GNUC_UNUSED)
{
    for (int i = 0; i < 10000; i++) {
        pgw_metric_counter_add(&done, 1);
        pgw_metric_histogram_record_us(&ttft, 1000);
    }
    return NULL;
}

static void
test_render_after_concurrent_counting(void)
{
    GThread *threads[4];
    char *text;

    pgw_metric_register_counter(&done);
    pgw_metric_register_counter(&done);
    pgw_metric_register_counter(&other);
    pgw_metric_register_counter(&failed);
    pgw_metric_register_histogram(&ttft);
    for (size_t i = 0; i < G_N_ELEMENTS(threads); i++) {
        threads[i] = g_thread_new("count", count_many, NULL);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(threads); i++) {
        g_thread_join(threads[i]);
    }
    text = pgw_metric_render();
    /* One header for the two samples of one name, standing together. */
    g_assert_nonnull(strstr(text, "# TYPE pgw_test_total counter\n"
                                  "pgw_test_total{result=\"done\"} 40000\n"
                                  "pgw_test_total{result=\"failed\"} 0\n"));
    g_assert_nonnull(strstr(text, "pgw_other_total 0\n"));
    g_assert_nonnull(strstr(
        text, "pgw_test_seconds_bucket{zone=\"a\",le=\"0.000512\"} 0\n"));
    g_assert_nonnull(strstr(
        text, "pgw_test_seconds_bucket{zone=\"a\",le=\"0.001024\"} 40000\n"));
    g_assert_nonnull(strstr(text, "pgw_test_seconds_sum{zone=\"a\"} 40\n"));
    g_assert_nonnull(
        strstr(text, "pgw_test_seconds_count{zone=\"a\"} 40000\n"));
    g_free(text);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/metric/error", test_quantile_error_is_bounded);
    g_test_add_func("/metric/merge", test_quantiles_and_merge);
    g_test_add_func("/metric/render", test_render_after_concurrent_counting);
    return g_test_run();
}
