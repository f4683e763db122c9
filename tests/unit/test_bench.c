#include <glib.h>
#include <string.h>

#include "answer.h"
#include "measure.h"
#include "workload.h"

/* The bench's own checks must be able to fail: an answer that is wrong, cut
 * or refused must not count as answered. */

#define TOKENS 3

static enum outcome
judge(const char *stream, bool whole, long status)
{
    GString *prompt = g_string_new("the prompt");
    struct answer_check check = {.prompt = prompt, .tokens = TOKENS};
    struct load_result result = {0};
    struct answer answer;
    size_t half = strlen(stream) / 2;

    answer_init(&answer, false);
    answer_take(&answer, status, stream, half);
    answer_take(&answer, status, stream + half, strlen(stream) - half);
    answer_judge(&answer, &result, whole, status, &check);
    answer_dispose(&answer);
    g_string_free(prompt, TRUE);
    return result.outcome;
}

/* The right answer as a stream; @swap exchanges the first two tokens. */
static char *
right_stream(bool swap, bool done)
{
    GString *prompt = g_string_new("the prompt");
    GString *expected = g_string_new(NULL);
    GString *out = g_string_new(NULL);
    char **words;

    workload_answer(expected, prompt, TOKENS);
    words = g_strsplit(expected->str, " ", -1);
    for (unsigned i = 0; i < TOKENS; i++) {
        unsigned pick = swap && i < 2 ? 1 - i : i;

        g_string_append_printf(out,
                               "data: {\"choices\":[{\"text\":\"%s \","
                               "\"finish_reason\":%s}]}\n\n",
                               words[pick],
                               i + 1 == TOKENS ? "\"length\"" : "null");
    }
    g_string_append(out, done ? "data: [DONE]\n\n" : "");
    g_strfreev(words);
    g_string_free(expected, TRUE);
    g_string_free(prompt, TRUE);
    return g_string_free(out, FALSE);
}

static void
test_answers(void)
{
    static const char refusal[] =
        "{\"error\":{\"code\":\"overloaded\",\"ran\":\"no\"}}";
    static const char late_refusal[] =
        "event: error\n"
        "data: {\"error\":{\"code\":\"deadline\",\"ran\":\"unknown\"}}\n\n";
    char *right = right_stream(false, true);
    char *swapped = right_stream(true, true);
    char *open = right_stream(false, false);

    g_assert_cmpint(judge(right, true, 200), ==, OUTCOME_ANSWERED);
    g_assert_cmpint(judge(right, false, 200), ==, OUTCOME_LOST);
    g_assert_cmpint(judge(swapped, true, 200), ==, OUTCOME_WRONG);
    g_assert_cmpint(judge(open, true, 200), ==, OUTCOME_LOST);
    g_assert_cmpint(judge(refusal, true, 429), ==, OUTCOME_REFUSED);
    g_assert_cmpint(judge("{}", true, 500), ==, OUTCOME_LOST);
    g_assert_cmpint(judge(late_refusal, true, 200), ==, OUTCOME_BROKEN);
    g_free(right);
    g_free(swapped);
    g_free(open);
}

static GArray *
schedule(const struct scenario *scenario, uint64_t seed, double load,
         double burst_s)
{
    return workload_schedule(&(struct workload_options){
        .scenario = scenario,
        .seed = seed,
        .seconds = 100,
        .load = load,
        .skew = 1,
        .shift_s = -1,
        .burst_s = burst_s,
        .time_scale = 1,
    });
}

static void
test_schedule(void)
{
    const struct scenario *scenario = scenario_find("passports");
    GArray *first = schedule(scenario, 1, 1, -1);
    GArray *again = schedule(scenario, 1, 1, -1);
    GArray *other = schedule(scenario, 2, 1, -1);
    GArray *burst = schedule(scenario, 1, 1, 70);
    double expected = scenario->rate * 100;

    g_assert_cmpuint(first->len, ==, again->len);
    g_assert_cmpint(
        memcmp(first->data, again->data, first->len * sizeof(struct arrival)),
        ==, 0);
    g_assert_cmpuint(first->len, !=, other->len);
    g_assert_cmpfloat(first->len, >, expected * 0.9);
    g_assert_cmpfloat(first->len, <, expected * 1.1);
    /* Four times as many come on top for a tenth of the time. */
    g_assert_cmpfloat(burst->len - first->len, >, expected * 0.36);
    g_array_unref(first);
    g_array_unref(again);
    g_array_unref(other);
    g_array_unref(burst);
}

static void
test_prompts(void)
{
    const struct scenario *scenario = scenario_find("labels");
    struct arrival one = {.levels = {1, 2, 3}, .number = 1};
    struct arrival two = {.levels = {1, 2, 3}, .number = 2};
    GString *first = g_string_new(NULL), *second = g_string_new(NULL);
    size_t shared = (6144 + 512 + 768) * WORKLOAD_TOKEN_BYTES;

    workload_prompt(first, scenario, &one, 1);
    workload_prompt(second, scenario, &two, 1);
    g_assert_cmpuint(first->len, ==, shared + 64 * WORKLOAD_TOKEN_BYTES);
    g_assert_cmpint(memcmp(first->str, second->str, shared), ==, 0);
    g_assert_cmpint(memcmp(first->str + shared, second->str + shared, 16), !=,
                    0);
    g_string_free(first, TRUE);
    g_string_free(second, TRUE);
}

static void
test_percentiles(void)
{
    GArray *times = g_array_new(FALSE, FALSE, sizeof(uint64_t));

    g_assert_cmpfloat(measure_percentile_ms(times, 99), ==, 0);
    for (uint64_t i = 100; i > 0; i--) {
        uint64_t us = i * 1000;

        g_array_append_val(times, us);
    }
    g_assert_cmpfloat(measure_percentile_ms(times, 50), ==, 51);
    g_assert_cmpfloat(measure_percentile_ms(times, 99), ==, 100);
    g_array_unref(times);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/bench/answers", test_answers);
    g_test_add_func("/bench/schedule", test_schedule);
    g_test_add_func("/bench/prompts", test_prompts);
    g_test_add_func("/bench/percentiles", test_percentiles);
    return g_test_run();
}
