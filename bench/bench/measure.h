#ifndef BENCH_MEASURE_H
#define BENCH_MEASURE_H

#include <json-glib/json-glib.h>

#include "load.h"
#include "options.h"

/**
 * struct measure - everything that one policy's run left behind
 * @schedule: array of struct arrival
 * @results: one for each
 * @executions: of plain calls, by idempotency key
 * @prefilled: prompt tokens that the engines say they computed
 * @sample: sums of the engines' loads over @samples looks
 * @cpu_us: processor time of this process during the run
 * @entry_cpu_us: of all entries that still ran at the end
 */
struct measure {
    const struct bench_options *options;
    const char *policy;
    const GArray *schedule;
    const struct load_result *results;
    const struct load *load;
    GHashTable *executions;
    uint64_t prefilled;
    struct fleet_sample sample;
    uint64_t wall_us;
    uint64_t cpu_us;
    uint64_t entry_cpu_us;
};

/** measure_write() - one object of the output's "policies" */
void measure_write(JsonBuilder *out, const struct measure *measure);

/** measure_dump() - one line of CSV for each call, to look into a run */
void measure_dump(const struct measure *measure, const char *path);

/** measure_percentile() - of unsorted times (uint64_t), sorted in place */
double measure_percentile_ms(GArray *times, double percent);

/** measure_write_percentiles() - a member {"n","p50","p95","p99"} */
void measure_write_percentiles(JsonBuilder *out, const char *name,
                               GArray *times);

#endif
