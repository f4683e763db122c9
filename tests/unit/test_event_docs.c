/*
 * On-call engineers search a page for the event and the fields of a line. A
 * line of the gateway path that the page lacks, or one that no code writes any
 * more, would send them the wrong way.
 */
#include <glib.h>
#include <stdbool.h>
#include <string.h>

static const char *const folders[] = {"src/gateway", "platform"};

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

/* Appends the string literals of a call's arguments, joined; the first one is
 * set apart by a line feed. */
static char *
literals_of(const char *at)
{
    GString *out = g_string_new(NULL);
    bool quoted = false;
    unsigned depth = 1;

    for (; depth > 0; at++) {
        g_assert_cmpint(*at, !=, '\0');
        if (*at == '"') {
            quoted = !quoted;
            if (!quoted && strchr(out->str, '\n') == NULL) {
                g_string_append_c(out, '\n');
            }
        }
        else if (quoted) {
            g_string_append_c(out, *at);
        }
        else {
            depth += *at == '(';
            depth -= *at == ')';
        }
    }
    return g_string_free(out, FALSE);
}

/* The fields of a format, as the page writes them. */
static GPtrArray *
fields_of(const char *format)
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

/* The line of the page that begins with an event. */
static char *
row_of(const char *page, const char *event)
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
check_call(const char *page, GHashTable *seen, const char *call)
{
    char *text = literals_of(call);
    char **parts = g_strsplit(text, "\n", 2);
    char *row = row_of(page, parts[0]);
    GPtrArray *fields = fields_of(parts[1]);

    if (row == NULL) {
        g_error("events.md lacks the event \"%s\"", parts[0]);
    }
    for (guint i = 0; i < fields->len; i++) {
        if (strstr(row, g_ptr_array_index(fields, i)) == NULL) {
            g_error("events.md lacks %s of \"%s\"",
                    (char *)g_ptr_array_index(fields, i), parts[0]);
        }
    }
    g_hash_table_add(seen, g_strdup(parts[0]));
    g_ptr_array_unref(fields);
    g_free(row);
    g_strfreev(parts);
    g_free(text);
}

static void
check_source(const char *page, GHashTable *seen, const char *source)
{
    GRegex *regex =
        g_regex_new("pgw_log_(info|warning|error|debug|some)\\(", 0, 0, NULL);
    GMatchInfo *match;

    g_regex_match(regex, source, 0, &match);
    while (g_match_info_matches(match)) {
        int end;

        g_match_info_fetch_pos(match, 0, NULL, &end);
        check_call(page, seen, source + end);
        g_match_info_next(match, NULL);
    }
    g_match_info_free(match);
    g_regex_unref(regex);
}

static void
check_folder(const char *page, GHashTable *seen, const char *folder)
{
    char *path = root_path(folder);
    GDir *dir = g_dir_open(path, 0, NULL);
    const char *name;

    g_assert_nonnull(dir);
    while ((name = g_dir_read_name(dir)) != NULL) {
        if (g_str_has_suffix(name, ".c")) {
            char *file = g_build_filename(folder, name, NULL);
            char *source = read_file(file);

            check_source(page, seen, source);
            g_free(source);
            g_free(file);
        }
    }
    g_dir_close(dir);
    g_free(path);
}

static void
test_events_are_listed(void)
{
    char *page = read_file("docs/operators/events.md");
    GHashTable *seen =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    char **rows;

    for (size_t i = 0; i < G_N_ELEMENTS(folders); i++) {
        check_folder(page, seen, folders[i]);
    }
    g_assert_cmpuint(g_hash_table_size(seen), >, 40);
    rows = g_strsplit(page, "\n", -1);
    for (char **row = rows; *row != NULL; row++) {
        char *event = g_str_has_prefix(*row, "| `")
                          ? g_strndup(*row + 3, strcspn(*row + 3, "`"))
                          : NULL;

        if (event != NULL && !g_hash_table_contains(seen, event)) {
            g_error("no code writes the event \"%s\" of events.md", event);
        }
        g_free(event);
    }
    g_strfreev(rows);
    g_hash_table_destroy(seen);
    g_free(page);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/event_docs/listed", test_events_are_listed);
    return g_test_run();
}
