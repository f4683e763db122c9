#include "measure.h"

#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "fault.h"

#define US_PER_S 1e6
#define RECOVERY_S 5.0 /* after that the tail should be back */
#define RECOVERY_WINDOW_S 5.0
#define PREFILL_RATE 10000.0 /* of one engine, the stand-in's default */

typedef bool (*choose_func)(const struct measure *measure,
                            const struct call_class *class, size_t index,
                            const void *data);

struct window {
    double from_s;
    double to_s;
};

static const struct call_class *
class_of(const struct measure *measure, size_t index)
{
    return &measure->options->scenario
                ->classes[g_array_index(measure->schedule, struct arrival,
                                        index)
                              .class];
}

/* Intended send time in measured seconds; negative in the warm-up. */
static double
time_of(const struct measure *measure, size_t index)
{
    double at =
        (double)g_array_index(measure->schedule, struct arrival, index).at_us;

    return at * measure->options->time_scale / US_PER_S -
           measure->options->warmup;
}

static gint
compare_times(gconstpointer a, gconstpointer b)
{
    uint64_t left = *(const uint64_t *)a, right = *(const uint64_t *)b;

    return (left > right) - (left < right);
}

double
measure_percentile_ms(GArray *times, double percent)
{
    guint index;

    if (times->len == 0) {
        return 0;
    }
    g_array_sort(times, compare_times);
    index = (guint)(percent / 100 * times->len);
    index = MIN(index, times->len - 1);
    return (double)g_array_index(times, uint64_t, index) / 1000;
}

static void
write_number(JsonBuilder *out, const char *name, double number)
{
    json_builder_set_member_name(out, name);
    /* Four places: enough, and the committed files stay small. */
    json_builder_add_double_value(out, round(number * 1e4) / 1e4);
}

static void
write_count(JsonBuilder *out, const char *name, uint64_t count)
{
    json_builder_set_member_name(out, name);
    json_builder_add_int_value(out, (gint64)count);
}

void
measure_write_percentiles(JsonBuilder *out, const char *name, GArray *times)
{
    json_builder_set_member_name(out, name);
    json_builder_begin_object(out);
    write_count(out, "n", times->len);
    write_number(out, "p50", measure_percentile_ms(times, 50));
    write_number(out, "p95", measure_percentile_ms(times, 95));
    write_number(out, "p99", measure_percentile_ms(times, 99));
    json_builder_end_object(out);
}

/* Somebody waits for the first token. */
static bool
is_waited(const struct measure *measure, const struct call_class *class,
          size_t index, const void *data)
{
    (void)data;
    return !class->service && strcmp(class->priority, "batch") != 0 &&
           time_of(measure, index) >= 0;
}

static bool
is_of_class(const struct measure *measure, const struct call_class *class,
            size_t index, const void *data)
{
    return class == data && time_of(measure, index) >= 0;
}

static bool
is_waited_in(const struct measure *measure, const struct call_class *class,
             size_t index, const void *data)
{
    const struct window *window = data;
    double at = time_of(measure, index);

    return is_waited(measure, class, index, NULL) && at >= window->from_s &&
           at < window->to_s;
}

/* Times to first token of chosen answered calls. With @refused, calls that
 * got no answer count with their profile's deadline, or a policy that refuses
 * the slow ones would look fast. */
static GArray *
collect(const struct measure *measure, choose_func choose, const void *data,
        bool refused)
{
    GArray *times = g_array_new(FALSE, FALSE, sizeof(uint64_t));

    for (guint i = 0; i < measure->schedule->len; i++) {
        const struct load_result *result = &measure->results[i];
        const struct call_class *class = class_of(measure, i);
        uint64_t time = result->ttft_us;

        if (!choose(measure, class, i, data) ||
            (result->outcome != OUTCOME_ANSWERED && !refused)) {
            continue;
        }
        if (result->outcome != OUTCOME_ANSWERED) {
            time = MAX(result->total_us, (uint64_t) class->deadline_ms * 1000);
        }
        g_array_append_val(times, time);
    }
    return times;
}

static double
write_times(JsonBuilder *out, const char *name, const struct measure *measure,
            choose_func choose, const void *data, bool refused)
{
    GArray *times = collect(measure, choose, data, refused);
    double p99 = measure_percentile_ms(times, 99);

    measure_write_percentiles(out, name, times);
    g_array_unref(times);
    return p99;
}

static void
write_outcomes(JsonBuilder *out, const struct measure *measure)
{
    uint64_t counts[OUTCOME_WRONG + 1] = {0}, said[SAID_UNKNOWN + 1] = {0};
    uint64_t repeats = 0;
    GHashTable *codes = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter iter;
    gpointer code, count;

    for (guint i = 0; i < measure->schedule->len; i++) {
        const struct load_result *result = &measure->results[i];

        counts[result->outcome]++;
        repeats += result->repeats;
        if (result->outcome == OUTCOME_REFUSED ||
            result->outcome == OUTCOME_BROKEN) {
            said[result->ran]++;
            count = g_hash_table_lookup(codes, result->code);
            g_hash_table_replace(
                codes, (gpointer)result->code,
                GUINT_TO_POINTER(GPOINTER_TO_UINT(count) + 1));
        }
    }
    write_count(out, "requests", measure->schedule->len);
    write_count(out, "answered", counts[OUTCOME_ANSWERED]);
    write_count(out, "refused", counts[OUTCOME_REFUSED]);
    write_count(out, "lost", counts[OUTCOME_LOST]);
    write_count(out, "broken_off", counts[OUTCOME_BROKEN]);
    write_count(out, "wrong_content", counts[OUTCOME_WRONG]);
    write_count(out, "said_not_run", said[SAID_NO]);
    write_count(out, "said_ran", said[SAID_YES]);
    write_count(out, "said_unknown", said[SAID_UNKNOWN]);
    write_count(out, "caller_repeats", repeats);
    json_builder_set_member_name(out, "refusal_codes");
    json_builder_begin_object(out);
    g_hash_table_iter_init(&iter, codes);
    while (g_hash_table_iter_next(&iter, &code, &count)) {
        write_count(out, code, GPOINTER_TO_UINT(count));
    }
    json_builder_end_object(out);
    g_hash_table_unref(codes);
}

/* What the services counted, against what the callers were told. */
static void
write_executions(JsonBuilder *out, const struct measure *measure)
{
    uint64_t doubled = 0, wrongly_not_run = 0, answered_without_run = 0;

    for (guint i = 0; i < measure->schedule->len; i++) {
        const struct load_result *result = &measure->results[i];
        char key[WORKLOAD_KEY_SIZE];
        guint count;

        if (!class_of(measure, i)->service) {
            continue;
        }
        load_key(key, measure->load,
                 &g_array_index(measure->schedule, struct arrival, i));
        count =
            GPOINTER_TO_UINT(g_hash_table_lookup(measure->executions, key));
        doubled += count > 1;
        wrongly_not_run += count > 0 && result->outcome == OUTCOME_REFUSED &&
                           result->ran == SAID_NO;
        answered_without_run +=
            count == 0 && result->outcome == OUTCOME_ANSWERED;
    }
    write_count(out, "doubled", doubled);
    write_count(out, "wrongly_not_run", wrongly_not_run);
    write_count(out, "answered_without_run", answered_without_run);
}

/* Prompt tokens that an unlimited cache would compute: each distinct prefix
 * once, in the order of intended send times, of calls that were answered. */
static uint64_t
ideal_tokens(const struct measure *measure, size_t index, GHashTable *seen)
{
    const struct arrival *arrival =
        &g_array_index(measure->schedule, struct arrival, index);
    const struct call_class *class = class_of(measure, index);
    uint64_t tokens = class->question_tokens;

    for (unsigned i = 0; i<WORKLOAD_LEVELS &&class->level_tokens[i]> 0; i++) {
        if (g_hash_table_add(seen, (gpointer)&arrival->levels[i])) {
            tokens += class->level_tokens[i];
        }
    }
    return tokens;
}

static void
write_tokens(JsonBuilder *out, const struct measure *measure)
{
    GHashTable *seen = g_hash_table_new(g_int64_hash, g_int64_equal);
    uint64_t prompt = 0, cached = 0, ideal = 0;
    double hit, ideal_hit;

    for (guint i = 0; i < measure->schedule->len; i++) {
        const struct load_result *result = &measure->results[i];

        if (result->outcome == OUTCOME_ANSWERED &&
            !class_of(measure, i)->service) {
            prompt += result->prompt_tokens;
            cached += result->cached_tokens;
            ideal += ideal_tokens(measure, i, seen);
        }
    }
    hit = prompt == 0 ? 0 : (double)cached / (double)prompt;
    ideal_hit = prompt == 0 ? 0 : 1 - (double)ideal / (double)prompt;
    write_number(out, "prefix_hit_rate", hit);
    write_number(out, "ideal_hit_rate", ideal_hit);
    write_number(out, "hit_of_ideal", ideal_hit > 0 ? hit / ideal_hit : 0);
    write_count(out, "prompt_tokens", prompt);
    write_count(out, "cached_tokens", cached);
    write_count(out, "ideal_tokens", ideal);
    write_count(out, "recomputed_tokens",
                prompt - cached > ideal ? prompt - cached - ideal : 0);
    write_count(out, "engine_prefilled_tokens", measure->prefilled);
    g_hash_table_unref(seen);
}

static void
write_machine(JsonBuilder *out, const struct measure *measure)
{
    const struct fleet_sample *sample = &measure->sample;
    GArray *late = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    double wall_s = (double)measure->wall_us / US_PER_S;
    double asked = (double)MAX(sample->asked, 1);

    for (guint i = 0; i < measure->schedule->len; i++) {
        g_array_append_val(late, measure->results[i].late_us);
    }
    json_builder_set_member_name(out, "engines");
    json_builder_begin_object(out);
    write_number(out, "busy", (double)sample->busy / asked);
    write_number(out, "running", (double)sample->running / asked);
    write_number(out, "waiting", (double)sample->waiting / asked);
    write_number(out, "prefill_use",
                 (double)measure->prefilled /
                     (PREFILL_RATE * measure->options->time_scale * wall_s *
                      measure->options->scenario->engines));
    json_builder_end_object(out);
    json_builder_set_member_name(out, "bench");
    json_builder_begin_object(out);
    write_number(out, "cores",
                 (double)measure->cpu_us / (double)measure->wall_us);
    write_number(out, "entry_cores",
                 (double)measure->entry_cpu_us / (double)measure->wall_us);
    measure_write_percentiles(out, "send_late_ms", late);
    write_number(out, "send_late_max_ms", measure_percentile_ms(late, 100));
    json_builder_end_object(out);
    g_array_unref(late);
}

static void
write_series(JsonBuilder *out, const struct measure *measure)
{
    json_builder_set_member_name(out, "series");
    json_builder_begin_array(out);
    for (unsigned at = 0; at < measure->options->seconds; at++) {
        struct window window = {.from_s = at, .to_s = at + 1};
        GArray *times = collect(measure, is_waited_in, &window, false);

        json_builder_begin_object(out);
        write_count(out, "t", at);
        write_count(out, "n", times->len);
        write_number(out, "p50", measure_percentile_ms(times, 50));
        write_number(out, "p95", measure_percentile_ms(times, 95));
        write_number(out, "p99", measure_percentile_ms(times, 99));
        json_builder_end_object(out);
        g_array_unref(times);
    }
    json_builder_end_array(out);
}

static double
window_p99(const struct measure *measure, double from, double to)
{
    struct window window = {.from_s = from, .to_s = to};
    GArray *times = collect(measure, is_waited_in, &window, true);
    double p99 = measure_percentile_ms(times, 99);

    g_array_unref(times);
    return p99;
}

static void
write_recovery(JsonBuilder *out, const struct measure *measure)
{
    json_builder_set_member_name(out, "faults");
    json_builder_begin_array(out);
    for (unsigned i = 0; i < FAULT_COUNT; i++) {
        double at = fault_kinds[i].at * measure->options->seconds;
        double before, after;

        if ((measure->options->faults & 1u << i) == 0) {
            continue;
        }
        before = window_p99(measure, at - RECOVERY_WINDOW_S, at);
        after = window_p99(measure, at + RECOVERY_S,
                           at + RECOVERY_S + RECOVERY_WINDOW_S);
        json_builder_begin_object(out);
        json_builder_set_member_name(out, "fault");
        json_builder_add_string_value(out, fault_kinds[i].name);
        write_number(out, "at_s", at);
        write_number(out, "p99_before_ms", before);
        write_number(out, "p99_during_ms",
                     window_p99(measure, at, at + RECOVERY_S));
        write_number(out, "p99_after_ms", after);
        write_number(out, "after_to_before", before > 0 ? after / before : 0);
        json_builder_end_object(out);
    }
    json_builder_end_array(out);
}

/* From the first measured call of batch work to the end of the last one. */
static double
batch_makespan_s(const struct measure *measure)
{
    double first = -1, last = 0;

    for (guint i = 0; i < measure->schedule->len; i++) {
        double at = time_of(measure, i);
        double end = at + (double)measure->results[i].total_us *
                              measure->options->time_scale / US_PER_S;

        if (at < 0 || strcmp(class_of(measure, i)->priority, "batch") != 0) {
            continue;
        }
        first = first < 0 ? at : first;
        last = MAX(last, end);
    }
    return first < 0 ? 0 : last - first;
}

void
measure_write(JsonBuilder *out, const struct measure *measure)
{
    const struct scenario *scenario = measure->options->scenario;

    json_builder_begin_object(out);
    json_builder_set_member_name(out, "policy");
    json_builder_add_string_value(out, measure->policy);
    write_outcomes(out, measure);
    write_executions(out, measure);
    write_tokens(out, measure);
    write_times(out, "ttft_ms", measure, is_waited, NULL, false);
    write_times(out, "ttft_with_refused_ms", measure, is_waited, NULL, true);
    write_number(out, "batch_makespan_s", batch_makespan_s(measure));
    json_builder_set_member_name(out, "profiles");
    json_builder_begin_object(out);
    for (unsigned i = 0; i < scenario->n_classes; i++) {
        write_times(out, scenario->classes[i].profile, measure, is_of_class,
                    &scenario->classes[i], false);
    }
    json_builder_end_object(out);
    write_machine(out, measure);
    write_recovery(out, measure);
    write_series(out, measure);
    json_builder_end_object(out);
}

void
measure_dump(const struct measure *measure, const char *path)
{
    FILE *file = fopen(path, "we");

    if (file == NULL) {
        fprintf(stderr, "parsleygw-bench: cannot write %s\n", path);
        return;
    }
    fprintf(file, "at_s,profile,workspace,prefix,outcome,ttft_ms,total_ms,"
                  "late_ms,prompt,cached,upstream\n");
    for (guint i = 0; i < measure->schedule->len; i++) {
        const struct arrival *arrival =
            &g_array_index(measure->schedule, struct arrival, i);
        const struct load_result *result = &measure->results[i];

        fprintf(file, "%.3f,%s,%u,%016" PRIx64 ",%d,%.1f,%.1f,%.1f,%u,%u,%s\n",
                time_of(measure, i), class_of(measure, i)->profile,
                arrival->workspace, arrival->levels[0], (int)result->outcome,
                (double)result->ttft_us / 1000,
                (double)result->total_us / 1000,
                (double)result->late_us / 1000, result->prompt_tokens,
                result->cached_tokens, result->upstream);
    }
    fclose(file);
}
