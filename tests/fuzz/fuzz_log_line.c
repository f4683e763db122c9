/* The reader of collected logs: whatever it takes as a line has a time, a
 * process and an event, and its pairs print back to what reads the same. */
#include <string.h>

#include "util/log.h"
#include "util/log_line.h"

#include "fuzz/fuzz_input.h"

static const char *const lines[] = {
    "ts=2026-03-28T17:22:18.227662Z level=info instance=entry-1 zone=hall "
    "event=attempt_end request=e24a upstream=i-bf outcome=error runs=1 ms=62",
    "prefix ts=2026-03-28T17:22:18.227662Z level=warning instance=s zone=a "
    "event=entry_lost reason=\"the peer \\\"x\\\" \\\\ closed\\n\\x01\"",
};

/* The pairs of a line, written as a logger writes them. */
static char *
print(const struct pgw_log_line *line)
{
    GString *out = g_string_new("ts=2026-03-28T17:22:18.227662Z instance=");

    pgw_log_append_value(out, line->instance);
    g_string_append(out, " event=");
    pgw_log_append_value(out, line->event);
    for (size_t i = 0; i < line->pair_count; i++) {
        g_string_append_printf(out, " %s=", line->pairs[i].key);
        pgw_log_append_value(out, line->pairs[i].value);
    }
    return g_string_free(out, FALSE);
}

static void
check_line(const struct pgw_log_line *line)
{
    char *text = print(line);
    struct pgw_log_line *again;

    g_assert_cmpint(line->ts_us, >, 0);
    g_assert_cmpuint(line->pair_count, <=, PGW_LOG_LINE_PAIRS_MAX);
    if (!pgw_log_line_parse(&again, text, strlen(text))) {
        g_error("does not read its own: %s", text);
    }
    g_assert_cmpstr(again->instance, ==, line->instance);
    g_assert_cmpstr(again->event, ==, line->event);
    g_assert_cmpuint(again->pair_count, ==, line->pair_count);
    for (size_t i = 0; i < line->pair_count; i++) {
        g_assert_cmpstr(again->pairs[i].key, ==, line->pairs[i].key);
        g_assert_cmpstr(again->pairs[i].value, ==, line->pairs[i].value);
    }
    pgw_log_line_free(again);
    g_free(text);
}

int
main(void)
{
    GRand *random = g_rand_new_with_seed(FUZZ_SEED);
    GByteArray *input = g_byte_array_new();
    struct fuzz_seed seeds[G_N_ELEMENTS(lines)];
    unsigned good = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
        seeds[i].data = (const uint8_t *)lines[i];
        seeds[i].size = strlen(lines[i]);
    }
    for (unsigned i = 0; i < FUZZ_INPUTS; i++) {
        struct pgw_log_line *line;

        fuzz_next(input, random, seeds, G_N_ELEMENTS(seeds));
        if (pgw_log_line_parse(&line, (const char *)input->data, input->len)) {
            check_line(line);
            good++;
        }
        pgw_log_line_free(line);
    }
    g_print("lines: accepted %u of %u\n", good, FUZZ_INPUTS);
    g_assert_cmpuint(good, >, FUZZ_INPUTS / 20);
    g_assert_cmpuint(good, <, FUZZ_INPUTS);
    g_byte_array_unref(input);
    g_rand_free(random);
    return 0;
}
