/*
 * Guards against log events without documentation and documentation of log
 * events that no code writes. On-call engineers search the page for the event
 * and the fields of a log line.
 */
#include <glib.h>
#include <stdbool.h>
#include <string.h>

static const char *const folders[] = {"src/gateway", "src/util", "platform"};

static char *
root_path(const char *name)
{
    char *tests = g_path_get_dirname(__FILE__);
    char *path = g_build_filename(tests, "..", "..", name, NULL);

    g_free(tests);
    return path;
}

static char *
read_file(const char *name)
{
    char *path = root_path(name);
    char *text = NULL;

    g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
    g_free(path);
    return text;
}

/* Returns the string literals of a call's arguments, concatenated; a line feed
 * follows the first literal. */
static char *
join_string_literals(const char *arguments)
{
    GString *out = g_string_new(NULL);
    bool quoted = false;
    unsigned depth = 1;

    for (; depth > 0; arguments++) {
        g_assert_cmpint(*arguments, !=, '\0');
        if (*arguments == '"') {
            quoted = !quoted;
            if (!quoted && strchr(out->str, '\n') == NULL) {
                g_string_append_c(out, '\n');
            }
        }
        else if (quoted) {
            g_string_append_c(out, *arguments);
        }
        else {
            depth += *arguments == '(';
            depth -= *arguments == ')';
        }
    }
    return g_string_free(out, FALSE);
}

/* Returns the fields of a format string, quoted as on the page. */
static GPtrArray *
find_fields(const char *format)
{
    GPtrArray *fields = g_ptr_array_new_with_free_func(g_free);
    GRegex *regex = g_regex_new("([a-z_]+)=", 0, 0, NULL);
    GMatchInfo *match;

    g_regex_match(regex, format, 0, &match);
    while (g_match_info_matches(match)) {
        char *name = g_match_info_fetch(match, 1);

        g_ptr_array_add(fields, g_strdup_printf("`%s`", name));
        g_free(name);
        g_match_info_next(match, NULL);
    }
    g_match_info_free(match);
    g_regex_unref(regex);
    return fields;
}

/* Returns the table row of an event; NULL if the page has none. */
static char *
find_row(const char *page, const char *event)
{
    char *start = g_strdup_printf("| `%s` |", event);
    char **lines = g_strsplit(page, "\n", -1);
    char *out = NULL;

    for (size_t i = 0; out == NULL && lines[i] != NULL; i++) {
        if (g_str_has_prefix(lines[i], start)) {
            out = g_strdup(lines[i]);
        }
    }
    g_strfreev(lines);
    g_free(start);
    return out;
}

static void
check_call(const char *page, GHashTable *logged_events, const char *call)
{
    char *text = join_string_literals(call);
    char **parts = g_strsplit(text, "\n", 2);
    char *row = find_row(page, parts[0]);
    GPtrArray *fields = find_fields(parts[1]);

    if (row == NULL) {
        g_error("events.md lacks the event \"%s\"", parts[0]);
    }
    for (guint i = 0; i < fields->len; i++) {
        if (strstr(row, g_ptr_array_index(fields, i)) == NULL) {
            g_error("events.md lacks %s of \"%s\"",
                    (char *)g_ptr_array_index(fields, i), parts[0]);
        }
    }
    g_hash_table_add(logged_events, g_strdup(parts[0]));
    g_ptr_array_unref(fields);
    g_free(row);
    g_strfreev(parts);
    g_free(text);
}

static void
check_source(const char *page, GHashTable *logged_events, const char *source)
{
    GRegex *regex =
        g_regex_new("pgw_log_(info|warning|error|debug|some)\\(", 0, 0, NULL);
    GMatchInfo *match;

    g_regex_match(regex, source, 0, &match);
    while (g_match_info_matches(match)) {
        int end;

        g_match_info_fetch_pos(match, 0, NULL, &end);
        check_call(page, logged_events, source + end);
        g_match_info_next(match, NULL);
    }
    g_match_info_free(match);
    g_regex_unref(regex);
}

static void
check_folder(const char *page, GHashTable *logged_events, const char *folder)
{
    char *path = root_path(folder);
    GDir *dir = g_dir_open(path, 0, NULL);
    const char *name;

    g_assert_nonnull(dir);
    while ((name = g_dir_read_name(dir)) != NULL) {
        char *file = g_build_filename(folder, name, NULL);
        char *file_path = root_path(file);

        if (g_file_test(file_path, G_FILE_TEST_IS_DIR)) {
            check_folder(page, logged_events, file);
        }
        else if (g_str_has_suffix(name, ".c")) {
            char *source = read_file(file);

            check_source(page, logged_events, source);
            g_free(source);
        }
        g_free(file_path);
        g_free(file);
    }
    g_dir_close(dir);
    g_free(path);
}

static void
test_events_match_page(void)
{
    char *page = read_file("docs/operators/events.md");
    GHashTable *logged_events =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    char **rows;

    for (size_t i = 0; i < G_N_ELEMENTS(folders); i++) {
        check_folder(page, logged_events, folders[i]);
    }
    g_assert_cmpuint(g_hash_table_size(logged_events), >, 40);
    rows = g_strsplit(page, "\n", -1);
    for (char **row = rows; *row != NULL; row++) {
        char *event = g_str_has_prefix(*row, "| `")
                          ? g_strndup(*row + 3, strcspn(*row + 3, "`"))
                          : NULL;

        if (event != NULL && !g_hash_table_contains(logged_events, event)) {
            g_error("no code writes the event \"%s\" of events.md", event);
        }
        g_free(event);
    }
    g_strfreev(rows);
    g_hash_table_destroy(logged_events);
    g_free(page);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/event_docs/events_match_page", test_events_match_page);
    return g_test_run();
}
