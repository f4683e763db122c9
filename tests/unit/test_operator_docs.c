/*
 * Operators look up what a process said. A refusal code, a time-line kind or
 * a command that the pages do not know would leave them alone with it.
 */
#include "cli/cli.h"
#include "util/trace.h"

#include <string.h>

static char *
read_page(const char *name)
{
    char *tests = g_path_get_dirname(__FILE__);
    char *path =
        g_build_filename(tests, "..", "..", "docs", "operators", name, NULL);
    char *text = NULL;

    g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
    g_free(path);
    g_free(tests);
    return text;
}

static void
test_every_refusal_is_explained(void)
{
    char *page = read_page("refusals.md");

    for (int i = 0; i < PGW_REFUSAL_COUNT; i++) {
        char *row = g_strdup_printf("\n| `%s` | %u | ", pgw_refusal_name(i),
                                    pgw_refusal_status(i));

        if (strstr(page, row) == NULL) {
            g_error("refusals.md lacks the row \"%s\"", row + 1);
        }
        g_free(row);
    }
    g_free(page);
}

static bool
is_kind(const char *word)
{
    return pgw_trace_kind_parse(word) >= 0;
}

/* All words in back quotes in the first column of the table of kinds. */
static void
test_time_line_kinds_exist(void)
{
    char *page = read_page("timeline.md");
    char *table = strstr(page, "| kind |");
    char **lines;
    unsigned found = 0;

    g_assert_nonnull(table);
    lines = g_strsplit(table, "\n", -1);
    for (char **line = lines + 2; g_str_has_prefix(*line, "| `"); line++) {
        char *column = g_strndup(*line, strcspn(*line + 2, "|"));
        char **words = g_strsplit(column, "`", -1);

        for (guint i = 1; i < g_strv_length(words); i += 2) {
            if (!is_kind(words[i])) {
                g_error("timeline.md names no kind: %s", words[i]);
            }
            found++;
        }
        g_strfreev(words);
        g_free(column);
    }
    g_assert_cmpuint(found, >, 10);
    g_strfreev(lines);
    g_free(page);
}

/* Each "    parsleygw group name" line of the pages is a command. */
static void
test_documented_commands_exist(void)
{
    static const char *const pages[] = {"cli.md", "install.md", "timeline.md"};
    unsigned found = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(pages); i++) {
        char *page = read_page(pages[i]);
        char **lines = g_strsplit(page, "\n", -1);

        for (char **line = lines; *line != NULL; line++) {
            char **words;
            int used;

            if (!g_str_has_prefix(*line, "    parsleygw ") ||
                strstr(*line, " --s") != NULL) {
                continue;
            }
            words = g_strsplit(g_strstrip(*line), " ", -1);
            if (pgw_cli_find_command(words + 1, (int)g_strv_length(words) - 1,
                                     &used) == NULL) {
                g_error("%s: no such command: %s", pages[i], *line);
            }
            found++;
            g_strfreev(words);
        }
        g_strfreev(lines);
        g_free(page);
    }
    g_assert_cmpuint(found, >, 20);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/operator_docs/refusals",
                    test_every_refusal_is_explained);
    g_test_add_func("/operator_docs/kinds", test_time_line_kinds_exist);
    g_test_add_func("/operator_docs/commands", test_documented_commands_exist);
    return g_test_run();
}
