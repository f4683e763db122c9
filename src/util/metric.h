#ifndef PGW_UTIL_METRIC_H
#define PGW_UTIL_METRIC_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * DOC: Counters, gauges and latency histograms
 *
 * A metric is a static struct in the module that counts; it is registered
 * once at start and never freed. Recording takes no lock and allocates
 * nothing. The members are plain integers that are touched only through
 * the compiler's atomic built-ins, so that the header stays C++-clean.
 *
 *   static struct pgw_metric_counter requests = {
 *       .name = "pgw_requests_total", .help = "Requests accepted",
 *       .labels = "result=\"done\""};
 *   pgw_metric_register_counter(&requests);
 *   pgw_metric_counter_add(&requests, 1);
 */

/** struct pgw_metric_counter - a number that only grows */
struct pgw_metric_counter {
    const char *name;
    const char *help;
    const char *labels;
    uint64_t value;
};

/** struct pgw_metric_gauge - a number that is set */
struct pgw_metric_gauge {
    const char *name;
    const char *help;
    const char *labels;
    int64_t value;
};

/* 16 buckets to each power of two: a bucket is at most 1/16 of its value
 * wide. 2^36 us are 19 hours, beyond any deadline. */
#define PGW_METRIC_SUB_BITS 4
#define PGW_METRIC_MAX_BITS 36
#define PGW_METRIC_BUCKETS                                                    \
    ((PGW_METRIC_MAX_BITS - PGW_METRIC_SUB_BITS + 1) << PGW_METRIC_SUB_BITS)

/**
 * struct pgw_metric_histogram - log-linear histogram of microseconds
 * @name: without unit; "_seconds" is part of the name as Prometheus wants it
 * @sum_us: sum of all values, in microseconds
 */
struct pgw_metric_histogram {
    const char *name;
    const char *help;
    const char *labels;
    uint64_t sum_us;
    uint64_t buckets[PGW_METRIC_BUCKETS];
};

/**
 * struct pgw_metric_snapshot - a histogram at one moment
 * @count: number of values
 * @sum_us: sum of all values, in microseconds
 */
struct pgw_metric_snapshot {
    uint64_t count;
    uint64_t sum_us;
    uint64_t buckets[PGW_METRIC_BUCKETS];
};

/** Registering one metric twice is ignored; the table holds 1024. */
void pgw_metric_register_counter(struct pgw_metric_counter *counter);
void pgw_metric_register_gauge(struct pgw_metric_gauge *gauge);
void pgw_metric_register_histogram(struct pgw_metric_histogram *histogram);

void pgw_metric_counter_add(struct pgw_metric_counter *counter, uint64_t n);
uint64_t pgw_metric_counter_get(const struct pgw_metric_counter *counter);
void pgw_metric_gauge_set(struct pgw_metric_gauge *gauge, int64_t value);
void pgw_metric_gauge_add(struct pgw_metric_gauge *gauge, int64_t n);
int64_t pgw_metric_gauge_get(const struct pgw_metric_gauge *gauge);

/**
 * pgw_metric_histogram_record_us() - count one duration
 * @histogram: the histogram
 * @us: microseconds; more than 2^36 - 1 counts as that
 */
void pgw_metric_histogram_record_us(struct pgw_metric_histogram *histogram,
                                    uint64_t us);

/**
 * pgw_metric_histogram_snapshot() - copy the counts
 * @out: receives them
 * @histogram: the histogram, which others may be recording into
 */
void
pgw_metric_histogram_snapshot(struct pgw_metric_snapshot *out,
                              const struct pgw_metric_histogram *histogram);

/**
 * pgw_metric_snapshot_record_us() - count one duration in a snapshot that
 * only this thread uses
 */
void pgw_metric_snapshot_record_us(struct pgw_metric_snapshot *snapshot,
                                   uint64_t us);

/** pgw_metric_snapshot_merge() - add the counts of @from to @into */
void pgw_metric_snapshot_merge(struct pgw_metric_snapshot *into,
                               const struct pgw_metric_snapshot *from);

/**
 * pgw_metric_snapshot_quantile_us() - value below which a share of all lies
 * @snapshot: the counts
 * @q: the share, 0 to 1
 *
 * Return: microseconds, at most 1/16 above the true value; 0 when empty.
 */
uint64_t
pgw_metric_snapshot_quantile_us(const struct pgw_metric_snapshot *snapshot,
                                double q);

/**
 * pgw_metric_render() - all registered metrics in Prometheus' text format
 *
 * Return: text to release with g_free().
 */
char *pgw_metric_render(void);

G_END_DECLS

#endif
