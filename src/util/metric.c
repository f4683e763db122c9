#include "util/metric.h"

#include <math.h>
#include <stdbool.h>
#include <string.h>

#define MAX_METRICS 1024
#define SUB_BUCKETS (1u << PGW_METRIC_SUB_BITS)
#define MAX_VALUE ((UINT64_C(1) << PGW_METRIC_MAX_BITS) - 1)

/* Prometheus gets one bucket for each power of two from 64 us to 134 s. */
#define FIRST_RENDERED_BIT 6
#define LAST_RENDERED_BIT 27

enum metric_kind {
    COUNTER,
    GAUGE,
    HISTOGRAM
};

/* All three kinds begin with the same three members. */
struct metric_entry {
    enum metric_kind kind;
    const char *name;
    const char *help;
    const char *labels;
    const void *metric;
};

static struct metric_entry table[MAX_METRICS];
static size_t table_count;
static GMutex table_lock;

static void
register_metric(struct metric_entry entry)
{
    bool known = false;

    g_mutex_lock(&table_lock);
    for (size_t i = 0; i < table_count && !known; i++) {
        known = table[i].metric == entry.metric;
    }
    if (!known && table_count < MAX_METRICS) {
        table[table_count++] = entry;
    }
    g_mutex_unlock(&table_lock);
}

void
pgw_metric_register_counter(struct pgw_metric_counter *counter)
{
    register_metric((struct metric_entry){.kind = COUNTER,
                                          .name = counter->name,
                                          .help = counter->help,
                                          .labels = counter->labels,
                                          .metric = counter});
}

void
pgw_metric_register_gauge(struct pgw_metric_gauge *gauge)
{
    register_metric((struct metric_entry){.kind = GAUGE,
                                          .name = gauge->name,
                                          .help = gauge->help,
                                          .labels = gauge->labels,
                                          .metric = gauge});
}

void
pgw_metric_register_histogram(struct pgw_metric_histogram *histogram)
{
    register_metric((struct metric_entry){.kind = HISTOGRAM,
                                          .name = histogram->name,
                                          .help = histogram->help,
                                          .labels = histogram->labels,
                                          .metric = histogram});
}

void
pgw_metric_counter_add(struct pgw_metric_counter *counter, uint64_t n)
{
    __atomic_fetch_add(&counter->value, n, __ATOMIC_RELAXED);
}

uint64_t
pgw_metric_counter_get(const struct pgw_metric_counter *counter)
{
    return __atomic_load_n(&counter->value, __ATOMIC_RELAXED);
}

void
pgw_metric_gauge_set(struct pgw_metric_gauge *gauge, int64_t value)
{
    __atomic_store_n(&gauge->value, value, __ATOMIC_RELAXED);
}

void
pgw_metric_gauge_add(struct pgw_metric_gauge *gauge, int64_t n)
{
    __atomic_fetch_add(&gauge->value, n, __ATOMIC_RELAXED);
}

int64_t
pgw_metric_gauge_get(const struct pgw_metric_gauge *gauge)
{
    return __atomic_load_n(&gauge->value, __ATOMIC_RELAXED);
}

static size_t
bucket_of(uint64_t us)
{
    unsigned shift;

    if (us < SUB_BUCKETS) {
        return us;
    }
    if (us > MAX_VALUE) {
        us = MAX_VALUE;
    }
    shift = 63 - (unsigned)__builtin_clzll(us) - PGW_METRIC_SUB_BITS;
    return ((size_t)(shift + 1) << PGW_METRIC_SUB_BITS) +
           ((us >> shift) & (SUB_BUCKETS - 1));
}

/* Greatest value that falls into a bucket. */
static uint64_t
bucket_top(size_t bucket)
{
    unsigned shift;

    if (bucket < SUB_BUCKETS) {
        return bucket;
    }
    shift = (unsigned)(bucket >> PGW_METRIC_SUB_BITS) - 1;
    return ((((bucket & (SUB_BUCKETS - 1)) + SUB_BUCKETS + 1) << shift)) - 1;
}

void
pgw_metric_histogram_record_us(struct pgw_metric_histogram *histogram,
                               uint64_t us)
{
    __atomic_fetch_add(&histogram->buckets[bucket_of(us)], 1,
                       __ATOMIC_RELAXED);
    __atomic_fetch_add(&histogram->sum_us, us, __ATOMIC_RELAXED);
}

void
pgw_metric_histogram_snapshot(struct pgw_metric_snapshot *out,
                              const struct pgw_metric_histogram *histogram)
{
    out->count = 0;
    out->sum_us = __atomic_load_n(&histogram->sum_us, __ATOMIC_RELAXED);
    for (size_t i = 0; i < PGW_METRIC_BUCKETS; i++) {
        out->buckets[i] =
            __atomic_load_n(&histogram->buckets[i], __ATOMIC_RELAXED);
        out->count += out->buckets[i];
    }
}

void
pgw_metric_snapshot_record_us(struct pgw_metric_snapshot *snapshot,
                              uint64_t us)
{
    snapshot->buckets[bucket_of(us)]++;
    snapshot->count++;
    snapshot->sum_us += us;
}

void
pgw_metric_snapshot_merge(struct pgw_metric_snapshot *into,
                          const struct pgw_metric_snapshot *from)
{
    into->count += from->count;
    into->sum_us += from->sum_us;
    for (size_t i = 0; i < PGW_METRIC_BUCKETS; i++) {
        into->buckets[i] += from->buckets[i];
    }
}

uint64_t
pgw_metric_snapshot_quantile_us(const struct pgw_metric_snapshot *snapshot,
                                double q)
{
    uint64_t rank = (uint64_t)ceil(CLAMP(q, 0, 1) * (double)snapshot->count);
    uint64_t seen = 0;

    rank = MAX(rank, 1);
    if (snapshot->count == 0) {
        return 0;
    }
    for (size_t i = 0; i < PGW_METRIC_BUCKETS; i++) {
        seen += snapshot->buckets[i];
        if (seen >= rank) {
            return bucket_top(i);
        }
    }
    return MAX_VALUE;
}

static void
append_sample(GString *out, const struct metric_entry *entry,
              const char *suffix, const char *more_labels)
{
    bool has_labels = entry->labels != NULL && *entry->labels != '\0';
    bool has_more = *more_labels != '\0';

    g_string_append_printf(out, "%s%s", entry->name, suffix);
    if (has_labels || has_more) {
        g_string_append_printf(out, "{%s%s%s}",
                               has_labels ? entry->labels : "",
                               has_labels && has_more ? "," : "", more_labels);
    }
    g_string_append_c(out, ' ');
}

static void
append_seconds(GString *out, double us)
{
    char text[G_ASCII_DTOSTR_BUF_SIZE];

    g_string_append(
        out, g_ascii_formatd(text, sizeof(text), "%.9g", us / G_USEC_PER_SEC));
    g_string_append_c(out, '\n');
}

static void
append_bucket(GString *out, const struct metric_entry *entry,
              const char *bound, uint64_t cumulative)
{
    char label[64];

    g_snprintf(label, sizeof(label), "le=\"%s\"", bound);
    append_sample(out, entry, "_bucket", label);
    g_string_append_printf(out, "%" G_GUINT64_FORMAT "\n", cumulative);
}

static void
render_histogram(GString *out, const struct metric_entry *entry)
{
    struct pgw_metric_snapshot *snapshot =
        g_new(struct pgw_metric_snapshot, 1);
    uint64_t cumulative = 0;
    size_t next = 0;

    pgw_metric_histogram_snapshot(snapshot, entry->metric);
    for (unsigned bit = FIRST_RENDERED_BIT; bit <= LAST_RENDERED_BIT; bit++) {
        char bound[G_ASCII_DTOSTR_BUF_SIZE];
        uint64_t limit = UINT64_C(1) << bit;

        for (; next < bucket_of(limit); next++) {
            cumulative += snapshot->buckets[next];
        }
        g_ascii_formatd(bound, sizeof(bound), "%.9g",
                        (double)limit / G_USEC_PER_SEC);
        append_bucket(out, entry, bound, cumulative);
    }
    append_bucket(out, entry, "+Inf", snapshot->count);
    append_sample(out, entry, "_sum", "");
    append_seconds(out, (double)snapshot->sum_us);
    append_sample(out, entry, "_count", "");
    g_string_append_printf(out, "%" G_GUINT64_FORMAT "\n", snapshot->count);
    g_free(snapshot);
}

static void
render_entry(GString *out, const struct metric_entry *entry)
{
    switch (entry->kind) {
    case COUNTER:
        append_sample(out, entry, "", "");
        g_string_append_printf(out, "%" G_GUINT64_FORMAT "\n",
                               pgw_metric_counter_get(entry->metric));
        break;
    case GAUGE:
        append_sample(out, entry, "", "");
        g_string_append_printf(out, "%" G_GINT64_FORMAT "\n",
                               pgw_metric_gauge_get(entry->metric));
        break;
    case HISTOGRAM:
        render_histogram(out, entry);
        break;
    }
}

static int
compare_entries(const void *a, const void *b)
{
    const struct metric_entry *x = a;
    const struct metric_entry *y = b;
    int order = strcmp(x->name, y->name);

    return order != 0 ? order : g_strcmp0(x->labels, y->labels);
}

char *
pgw_metric_render(void)
{
    static const char *const kind_names[] = {"counter", "gauge", "histogram"};
    struct metric_entry *entries;
    GString *out = g_string_new(NULL);
    size_t count;

    g_mutex_lock(&table_lock);
    count = table_count;
    entries = g_memdup2(table, sizeof(table[0]) * MAX(count, 1));
    g_mutex_unlock(&table_lock);
    /* All samples of a name must stand together under one header. */
    qsort(entries, count, sizeof(entries[0]), compare_entries);
    for (size_t i = 0; i < count; i++) {
        if (i == 0 || strcmp(entries[i].name, entries[i - 1].name) != 0) {
            g_string_append_printf(
                out, "# HELP %s %s\n# TYPE %s %s\n", entries[i].name,
                entries[i].help, entries[i].name, kind_names[entries[i].kind]);
        }
        render_entry(out, &entries[i]);
    }
    g_free(entries);
    return g_string_free(out, FALSE);
}
