#include "util/log_line.h"
#include <string.h>

static struct pgw_log_line *
parse(const char *text)
{
    struct pgw_log_line *line;

    pgw_log_line_parse(&line, text, strlen(text));
    return line;
}

static void
test_line_with_prefix(void)
{
    struct pgw_log_line *line = parse(
        "   0.2277 host[3]: ts=2026-03-28T17:22:18.227662Z level=info "
        "instance=entry-1 zone=hall event=attempt_end request=e24a "
        "upstream=i-bf reason=\"it \\\"said\\\" \\\\ no\\x09\\n\" runs=1\n");

    g_assert_nonnull(line);
    g_assert_cmpint(line->ts_us % G_USEC_PER_SEC, ==, 227662);
    g_assert_cmpint(line->ts_us / G_USEC_PER_SEC, ==, 1774718538);
    g_assert_cmpstr(line->instance, ==, "entry-1");
    g_assert_cmpstr(line->zone, ==, "hall");
    g_assert_cmpstr(line->event, ==, "attempt_end");
    g_assert_cmpstr(pgw_log_line_get(line, "reason"), ==,
                    "it \"said\" \\ no\t\n");
    g_assert_cmpuint(pgw_log_line_number(line, "runs"), ==, 1);
    g_assert_cmpuint(pgw_log_line_number(line, "none"), ==, 0);
    g_assert_null(pgw_log_line_get(line, "instance"));
    pgw_log_line_free(line);
}

/* Others write to the same collector, and lines are cut. */
static void
test_not_ours(void)
{
    static const char *const lines[] = {
        "",
        "day  score",
        "parts=3 of 4",
        "ts=yesterday level=info instance=a event=b",
        "ts=2026-03-28T17:22:18.227662Z level=info instance=a",
        "ts=2026-03-28T17:22:18.227662Z level=info event=a",
        "ts=2026-03-28T17:22:18.227662Z instance=a event=b reason=\"cut",
        "ts=2026-03-28T17:22:18.227662Z instance=a event=b reason=\"c\\x0",
        "ts=2026-03-28T17:22:18.227662Z instance=a event=b reason=\"c\"d",
        "ts=2026-03-28T17:22:18.227662Z instance=a event=b lone",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
        struct pgw_log_line *line = parse(lines[i]);

        if (line != NULL) {
            g_error("taken as a line: %s", lines[i]);
        }
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/log_line/prefix", test_line_with_prefix);
    g_test_add_func("/log_line/not_ours", test_not_ours);
    return g_test_run();
}
