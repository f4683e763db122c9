#include "run.h"

#include <stdio.h>
#include <sys/resource.h>

#include "fault.h"
#include "measure.h"

#define US_PER_S 1e6
#define SAMPLE_US 250000
#define TICK_US 10000
#define CRASH_ENGINE 0
#define CRASH_AWAY_S 2.0

/* What the main thread does while the callers call. */
struct conductor {
    const struct bench_options *options;
    struct fleet *fleet;
    struct load *load;
    struct fleet_sample sample;
    unsigned done; /* faults so far, a bit each */
    bool away;
    bool back;
};

static uint64_t
own_cpu_us(void)
{
    struct rusage usage;

    getrusage(RUSAGE_SELF, &usage);
    return (uint64_t)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) *
               1000000 +
           (uint64_t)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

/* Whether a part of the measured time has come, plus some seconds. */
static bool
is_time(const struct conductor *conductor, double part, double plus_s)
{
    const struct bench_options *options = conductor->options;
    double at = (options->warmup + part * options->seconds + plus_s) *
                US_PER_S / options->time_scale;

    return (double)g_get_monotonic_time() >=
           (double)load_began_us(conductor->load) + at;
}

static bool
is_due(struct conductor *conductor, enum fault fault)
{
    unsigned bit = 1u << fault;

    if ((conductor->options->faults & bit) == 0 ||
        (conductor->done & bit) != 0 ||
        !is_time(conductor, fault_kinds[fault].at, 0)) {
        return false;
    }
    conductor->done |= bit;
    return true;
}

/* Shift and burst are in the schedule itself. */
static void
make_faults(struct conductor *conductor)
{
    if (is_due(conductor, FAULT_CRASH)) {
        fleet_kill_engine(conductor->fleet, CRASH_ENGINE);
        conductor->away = true;
    }
    if (conductor->away && !conductor->back &&
        is_time(conductor, fault_kinds[FAULT_CRASH].at, CRASH_AWAY_S)) {
        fleet_start_engine(conductor->fleet, CRASH_ENGINE);
        conductor->back = true;
    }
    if (is_due(conductor, FAULT_HERD)) {
        fleet_herd(conductor->fleet);
    }
}

static void
conduct(struct conductor *conductor)
{
    uint64_t next_sample = 0;

    while (!load_is_done(conductor->load)) {
        uint64_t now = (uint64_t)g_get_monotonic_time();

        make_faults(conductor);
        if (now >= next_sample && is_time(conductor, 0, 0) &&
            !is_time(conductor, 1, 0) && conductor->away == conductor->back) {
            fleet_sample(conductor->fleet, &conductor->sample);
            next_sample = now + SAMPLE_US;
        }
        g_usleep(TICK_US);
    }
}

static void
run_policy(JsonBuilder *out, const struct bench_options *options,
           const GArray *schedule, const char *policy)
{
    struct fleet *fleet = fleet_start(&(struct fleet_options){
        .scenario = options->scenario,
        .policy = policy,
        .time_scale = options->time_scale,
    });
    uint64_t cpu = own_cpu_us(), began = (uint64_t)g_get_monotonic_time();
    struct conductor conductor = {.options = options, .fleet = fleet};
    struct measure measure = {
        .options = options, .policy = policy, .schedule = schedule};

    fprintf(stderr, "parsleygw-bench: %s, %s: %u calls\n",
            options->scenario->name, policy, schedule->len);
    conductor.load = load_start(&(struct load_options){
        .scenario = options->scenario,
        .schedule = schedule,
        .ports = fleet->entry_ports,
        .n_ports = FLEET_ENTRIES,
        .threads = options->threads,
        .seed = options->seed,
    });
    conduct(&conductor);
    measure.results = load_finish(conductor.load);
    measure.wall_us = (uint64_t)g_get_monotonic_time() - began;
    measure.cpu_us = own_cpu_us() - cpu;
    measure.load = conductor.load;
    measure.sample = conductor.sample;
    measure.executions = fleet_counts(fleet);
    measure.prefilled = fleet_prefilled(fleet);
    for (unsigned i = 0; i < FLEET_ENTRIES; i++) {
        measure.entry_cpu_us += fleet_cpu_us(fleet->entries[i]);
    }
    measure_write(out, &measure);
    if (options->dump != NULL) {
        measure_dump(&measure, options->dump);
    }
    g_hash_table_unref(measure.executions);
    load_free(conductor.load);
    fleet_stop(fleet);
}

static double
fault_time(const struct bench_options *options, enum fault fault)
{
    return (options->faults & 1u << fault) != 0
               ? fault_kinds[fault].at * options->seconds
               : -1;
}

void
run_policies(JsonBuilder *out, const struct bench_options *options)
{
    GArray *schedule = workload_schedule(&(struct workload_options){
        .scenario = options->scenario,
        .seed = options->seed,
        .warmup_s = options->warmup,
        .seconds = options->seconds,
        .load = options->load,
        .skew = options->skew,
        .shift_s = fault_time(options, FAULT_SHIFT),
        .burst_s = fault_time(options, FAULT_BURST),
        .time_scale = options->time_scale,
    });

    json_builder_set_member_name(out, "policies");
    json_builder_begin_array(out);
    for (char **policy = options->policies; *policy != NULL; policy++) {
        run_policy(out, options, schedule, *policy);
    }
    json_builder_end_array(out);
    g_array_unref(schedule);
}
