#include <stdio.h>

#include "hops.h"
#include "measure.h"
#include "run.h"

/**
 * DOC: What the path itself costs
 *
 * One entry before engines that need no time for a prompt, so that what is
 * left is the way there and back.
 */

#define US_PER_S 1e6
#define SETTLE_S 2.0 /* not measured: connections are made */
#define OVERHEAD_S 10.0
#define STREAMS_OPEN_S 4.0 /* time in which the streams are opened */
#define STREAMS_HOLD_S 30.0
#define STREAM_DECODE_MS 250
#define LOOK_US 20000
#define SATURATE_STEP_S 4.0
#define SATURATE_FIRST 500.0
#define SATURATE_GROWTH 1.5
#define SATURATE_STEPS 9

static struct scenario
path_scenario(double rate, unsigned max_tokens, unsigned deadline_ms)
{
    return (struct scenario){
        .name = "path",
        .pool = "guides",
        .model = "guide-7b",
        .service_pool = "records",
        .zones = {"sudurland-a", "sudurland-b", "sudurland-c"},
        .engines = 6,
        .services = 1,
        .rate = rate,
        .guides = 6,
        .hostels = 8,
        .walkers = 1,
        .n_classes = 1,
        .classes = {{.profile = "route-question",
                     .priority = "interactive",
                     .deadline_ms = deadline_ms,
                     .ttft_weight = 0.9,
                     .level_tokens = {512, 256},
                     .question_tokens = 64,
                     .max_tokens = max_tokens,
                     .share = 1}},
    };
}

static GArray *
path_schedule(const struct scenario *scenario, double seconds, uint64_t seed)
{
    return workload_schedule(&(struct workload_options){
        .scenario = scenario,
        .seed = seed,
        .seconds = seconds,
        .load = 1,
        .skew = 1,
        .shift_s = -1,
        .burst_s = -1,
        .time_scale = 1,
    });
}

static void
write_number(JsonBuilder *out, const char *name, double number)
{
    json_builder_set_member_name(out, name);
    json_builder_add_double_value(out, number);
}

static void
write_count(JsonBuilder *out, const char *name, uint64_t count)
{
    json_builder_set_member_name(out, name);
    json_builder_add_int_value(out, (gint64)count);
}

/**
 * struct path_times - calls of one side
 * @failures: counts by outcome and code, of GUINT_TO_POINTER()
 */
struct path_times {
    GArray *first;
    GArray *total;
    uint64_t failed;
    GHashTable *failures;
};

static void
count_failure(struct path_times *times, const struct load_result *result)
{
    static const char *const outcomes[] = {
        [OUTCOME_ANSWERED] = "answered", [OUTCOME_REFUSED] = "refused",
        [OUTCOME_BROKEN] = "broken",     [OUTCOME_LOST] = "lost",
        [OUTCOME_WRONG] = "wrong",
    };
    char *name =
        g_strdup_printf("%s %s", outcomes[result->outcome], result->code);
    guint count =
        GPOINTER_TO_UINT(g_hash_table_lookup(times->failures, name)) + 1;

    times->failed++;
    g_hash_table_replace(times->failures, name, GUINT_TO_POINTER(count));
}

/* Counted from the actual send: how late this process was is not part of the
 * path, and the calls are sent at their pace either way. */
static void
collect(struct path_times *out, const GArray *schedule,
        const struct load_result *results)
{
    *out = (struct path_times){
        .first = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
        .total = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
        .failures =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
    };
    for (guint i = 0; i < schedule->len; i++) {
        const struct load_result *result = &results[i];
        uint64_t first = result->ttft_us - result->late_us;
        uint64_t total = result->total_us - result->late_us;

        if (result->outcome != OUTCOME_ANSWERED) {
            count_failure(out, result);
        }
        else if ((double)g_array_index(schedule, struct arrival, i).at_us >=
                 SETTLE_S * US_PER_S) {
            g_array_append_val(out->first, first);
            g_array_append_val(out->total, total);
        }
    }
}

static void
path_times_dispose(struct path_times *times)
{
    g_array_unref(times->first);
    g_array_unref(times->total);
    g_hash_table_unref(times->failures);
}

/* What became of the calls that got no whole answer. */
static void
write_failures(JsonBuilder *out, const struct path_times *times)
{
    GHashTableIter iter;
    gpointer name;
    gpointer count;

    write_count(out, "failed", times->failed);
    json_builder_set_member_name(out, "failures");
    json_builder_begin_object(out);
    g_hash_table_iter_init(&iter, times->failures);
    while (g_hash_table_iter_next(&iter, &name, &count)) {
        write_count(out, name, GPOINTER_TO_UINT(count));
    }
    json_builder_end_object(out);
}

static void
write_times(JsonBuilder *out, const char *name, const struct path_times *times)
{
    json_builder_set_member_name(out, name);
    json_builder_begin_object(out);
    write_failures(out, times);
    measure_write_percentiles(out, "ttft_ms", times->first);
    measure_write_percentiles(out, "total_ms", times->total);
    json_builder_end_object(out);
}

void
run_overhead(JsonBuilder *out, const struct bench_options *options)
{
    struct scenario scenario = path_scenario(options->rate, 4, 10000);
    struct fleet *fleet =
        fleet_start(&(struct fleet_options){.scenario = &scenario,
                                            .policy = "parsleygw",
                                            .time_scale = 1,
                                            .entries = 1,
                                            .instant = true});
    GArray *schedules[2];
    struct load *loads[2];
    struct path_times times[2];
    static const unsigned percents[] = {50, 95, 99};

    for (unsigned i = 0; i < 2; i++) {
        bool direct = i == 1;

        schedules[i] =
            path_schedule(&scenario, SETTLE_S + OVERHEAD_S, options->seed + i);
        loads[i] = load_start(&(struct load_options){
            .scenario = &scenario,
            .schedule = schedules[i],
            .ports = direct ? fleet->engine_ports : fleet->entry_ports,
            .n_ports = direct ? scenario.engines : 1,
            .threads = 1,
            .seed = options->seed + i,
            .direct = direct,
        });
    }
    for (unsigned i = 0; i < 2; i++) {
        collect(&times[i], schedules[i], load_finish(loads[i]));
    }
    write_number(out, "rate", options->rate);
    write_times(out, "through_entry", &times[0]);
    write_times(out, "direct", &times[1]);
    for (size_t i = 0; i < G_N_ELEMENTS(percents); i++) {
        unsigned percent = percents[i];
        char *name = g_strdup_printf("added_ttft_p%u_ms", percent);

        write_number(out, name,
                     measure_percentile_ms(times[0].first, percent) -
                         measure_percentile_ms(times[1].first, percent));
        g_free(name);
    }
    write_number(out, "entry_cores",
                 (double)fleet_cpu_us(fleet->entries[0]) /
                     ((SETTLE_S + OVERHEAD_S) * US_PER_S));
    hops_write(out, fleet);
    for (unsigned i = 0; i < 2; i++) {
        path_times_dispose(&times[i]);
        load_free(loads[i]);
        g_array_unref(schedules[i]);
    }
    fleet_stop(fleet);
}

static gint
compare_moments(gconstpointer a, gconstpointer b)
{
    int64_t left = *(const int64_t *)a, right = *(const int64_t *)b;

    left = left < 0 ? -left : left;
    right = right < 0 ? -right : right;
    return (left > right) - (left < right);
}

/* Most calls at once between their first token and their end. */
static unsigned
most_streaming(const GArray *schedule, const struct load_result *results)
{
    /* Times at which a stream begins, and, negative, at which it ends. */
    GArray *moments = g_array_new(FALSE, FALSE, sizeof(int64_t));
    unsigned open = 0, most = 0;

    for (guint i = 0; i < schedule->len; i++) {
        uint64_t at = g_array_index(schedule, struct arrival, i).at_us;
        int64_t begin = (int64_t)(at + results[i].ttft_us);
        int64_t end = -(int64_t)(at + results[i].total_us);

        if (results[i].ttft_us > 0) {
            g_array_append_val(moments, begin);
            g_array_append_val(moments, end);
        }
    }
    g_array_sort(moments, compare_moments);
    for (guint i = 0; i < moments->len; i++) {
        open += g_array_index(moments, int64_t, i) > 0 ? 1 : -1u;
        most = MAX(most, open);
    }
    g_array_unref(moments);
    return most;
}

void
run_streams(JsonBuilder *out, const struct bench_options *options)
{
    unsigned tokens = (unsigned)((STREAMS_OPEN_S + STREAMS_HOLD_S) * 1000 /
                                 STREAM_DECODE_MS);
    struct scenario scenario =
        path_scenario(options->streams / STREAMS_OPEN_S, tokens, 120000);
    struct fleet *fleet =
        fleet_start(&(struct fleet_options){.scenario = &scenario,
                                            .policy = "parsleygw",
                                            .time_scale = 1,
                                            .entries = 1,
                                            .instant = true,
                                            .decode_ms = STREAM_DECODE_MS,
                                            .max_running = options->streams});
    GArray *schedule = path_schedule(&scenario, STREAMS_OPEN_S, options->seed);
    uint64_t idle_kb = fleet_rss_kb(fleet->entries[0]), peak_kb = 0;
    const struct load_result *results;
    struct path_times times;
    struct load *load = load_start(&(struct load_options){
        .scenario = &scenario,
        .schedule = schedule,
        .ports = fleet->entry_ports,
        .n_ports = 1,
        .threads = options->threads,
        .seed = options->seed,
    });

    while (!load_is_done(load)) {
        peak_kb = MAX(peak_kb, fleet_rss_kb(fleet->entries[0]));
        g_usleep(LOOK_US);
    }
    results = load_finish(load);
    collect(&times, schedule, results);
    write_count(out, "calls", schedule->len);
    write_failures(out, &times);
    write_count(out, "most_streaming", most_streaming(schedule, results));
    write_count(out, "entry_idle_rss_kb", idle_kb);
    write_count(out, "entry_peak_rss_kb", peak_kb);
    write_count(out, "entry_after_rss_kb", fleet_rss_kb(fleet->entries[0]));
    path_times_dispose(&times);
    load_free(load);
    g_array_unref(schedule);
    fleet_stop(fleet);
}

/* One rate for a few seconds; returns the cores that the entry used. */
static double
saturate_step(JsonBuilder *out, const struct bench_options *options,
              double rate)
{
    struct scenario scenario = path_scenario(rate, 4, 10000);
    struct fleet *fleet =
        fleet_start(&(struct fleet_options){.scenario = &scenario,
                                            .policy = "parsleygw",
                                            .time_scale = 1,
                                            .entries = 1,
                                            .instant = true});
    GArray *schedule =
        path_schedule(&scenario, SETTLE_S + SATURATE_STEP_S, options->seed);
    uint64_t cpu = fleet_cpu_us(fleet->entries[0]);
    uint64_t began = (uint64_t)g_get_monotonic_time();
    struct path_times times;
    struct load *load = load_start(&(struct load_options){
        .scenario = &scenario,
        .schedule = schedule,
        .ports = fleet->entry_ports,
        .n_ports = 1,
        .threads = options->threads,
        .seed = options->seed,
    });
    const struct load_result *results = load_finish(load);
    double wall_us = (double)((uint64_t)g_get_monotonic_time() - began);
    double cores = (double)(fleet_cpu_us(fleet->entries[0]) - cpu) / wall_us;

    collect(&times, schedule, results);
    json_builder_begin_object(out);
    write_number(out, "offered_per_s", rate);
    write_number(out, "answered_per_s",
                 (double)(schedule->len - times.failed) * US_PER_S / wall_us);
    write_failures(out, &times);
    write_number(out, "entry_cores", cores);
    measure_write_percentiles(out, "ttft_ms", times.first);
    json_builder_end_object(out);
    path_times_dispose(&times);
    load_free(load);
    g_array_unref(schedule);
    fleet_stop(fleet);
    return cores;
}

void
run_saturate(JsonBuilder *out, const struct bench_options *options)
{
    double rate = SATURATE_FIRST, cores = 0, before = 0, before_rate = 0;

    json_builder_set_member_name(out, "steps");
    json_builder_begin_array(out);
    for (unsigned i = 0; i < SATURATE_STEPS && cores < 1; i++) {
        before = cores;
        before_rate = rate;
        rate = i == 0 ? SATURATE_FIRST : rate * SATURATE_GROWTH;
        cores = saturate_step(out, options, rate);
    }
    json_builder_end_array(out);
    /* Between the last two steps, in proportion. */
    if (cores >= 1 && cores > before) {
        write_number(out, "rate_at_one_core",
                     before_rate + (rate - before_rate) * (1 - before) /
                                       (cores - before));
    }
}
