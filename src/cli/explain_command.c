#include "cli/cli.h"
#include "cli/explain.h"
#include "util/json_reader.h"

#include "parsleygw/errors.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

/* One file, or standard input for "-". */
static bool
read_file(struct pgw_logs *logs, const char *name, GError **error)
{
    FILE *file = strcmp(name, "-") == 0 ? stdin : fopen(name, "r");
    char *line = NULL;
    size_t room = 0;
    ssize_t size;

    if (file == NULL) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_IO,
                    "%s: %s; name files with collected logs, or - for "
                    "standard input",
                    name, g_strerror(errno));
        return false;
    }
    while ((size = getline(&line, &room, file)) >= 0) {
        pgw_logs_take(logs, line, (size_t)size);
    }
    g_free(line);
    if (file != stdin) {
        fclose(file);
    }
    return true;
}

/* All files; standard input when there are none. */
static bool
read_files(struct pgw_logs *logs, char **names, int count, GError **error)
{
    if (count == 0 && !read_file(logs, "-", error)) {
        return false;
    }
    for (int i = 0; i < count; i++) {
        if (!read_file(logs, names[i], error)) {
            return false;
        }
    }
    if (logs->read == 0) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                    "no line of a parsleygw process was found; give the "
                    "standard output of the entries and sidecars");
        return false;
    }
    pgw_logs_finish(logs);
    return true;
}

static const char *
outcome_of(const struct pgw_explanation *explanation)
{
    const char *outcome = NULL;

    if (explanation->end != NULL) {
        outcome = pgw_log_line_get(explanation->end, "outcome");
        if (outcome == NULL) {
            outcome = pgw_log_line_get(explanation->end, "reason");
        }
    }
    return outcome == NULL ? "no_end" : outcome;
}

static uint64_t
status_of(const struct pgw_explanation *explanation)
{
    return explanation->end == NULL
               ? 0
               : pgw_log_line_number(explanation->end, "status");
}

static JsonObject *
to_json(const struct pgw_explanation *explanation)
{
    JsonObject *object = json_object_new();

    json_object_set_string_member(object, "request", explanation->request);
    json_object_set_string_member(object, "outcome", outcome_of(explanation));
    json_object_set_int_member(object, "status",
                               (gint64)status_of(explanation));
    json_object_set_string_member(object, "cause",
                                  pgw_cause_name(explanation->cause));
    json_object_set_string_member(object, "sentence", explanation->sentence);
    return object;
}

static void
print_json(JsonObject *object)
{
    JsonNode *root = json_node_new(JSON_NODE_OBJECT);
    char *text;

    json_node_take_object(root, object);
    text = json_to_string(root, TRUE);
    printf("%s\n", text);
    g_free(text);
    json_node_unref(root);
}

static void
print_one_json(const struct pgw_explanation *explanation,
               const struct pgw_timeline *timeline)
{
    JsonObject *object = to_json(explanation);
    char *text = pgw_timeline_to_json(timeline);

    json_object_set_member(object, "timeline", pgw_json_parse_text(text));
    print_json(object);
    g_free(text);
}

static bool
print_one(const struct pgw_cli *cli, const struct pgw_explanation *explanation,
          GError **error)
{
    const char *format = cli->options.format;
    struct pgw_timeline timeline;
    char *text = NULL;
    bool ok = true;

    pgw_explanation_timeline(&timeline, explanation);
    if (cli->options.json || g_strcmp0(format, "json") == 0) {
        print_one_json(explanation, &timeline);
    }
    else if (format == NULL || strcmp(format, "text") == 0) {
        text = pgw_timeline_to_text(&timeline);
        printf("request %s: %s, status %" G_GUINT64_FORMAT "\n"
               "cause: %s: %s\n\n%s",
               explanation->request, outcome_of(explanation),
               status_of(explanation), pgw_cause_name(explanation->cause),
               explanation->sentence, text);
    }
    else if (strcmp(format, "html") == 0) {
        text = pgw_timeline_to_html(&timeline);
        fputs(text, stdout);
    }
    else {
        g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                    "--format: found \"%s\"; write text, json or html",
                    format);
        ok = false;
    }
    g_free(text);
    pgw_timeline_dispose(&timeline);
    return ok;
}

bool
pgw_cli_explain(struct pgw_cli *cli,
                const struct pgw_cli_command *command G_GNUC_UNUSED,
                GError **error)
{
    const struct pgw_explanation *explanation;
    struct pgw_logs logs;
    bool ok;

    pgw_logs_init(&logs, cli->args[0]);
    ok = read_files(&logs, cli->args + 1, cli->n_args - 1, error);
    if (ok) {
        explanation = g_hash_table_lookup(logs.requests, cli->args[0]);
        ok = explanation != NULL && print_one(cli, explanation, error);
        if (explanation == NULL) {
            g_set_error(error, PGW_ERROR, PGW_ERROR_NOT_FOUND,
                        "no line of request %s in %" G_GUINT64_FORMAT
                        " lines; collect the logs of all entries of that "
                        "time, and look for log_dropped",
                        cli->args[0], logs.read);
        }
    }
    pgw_logs_dispose(&logs);
    return ok;
}

static void
print_failed_text(const struct pgw_logs *logs, const GPtrArray *list,
                  unsigned explained)
{
    for (guint i = 0; i < list->len; i++) {
        const struct pgw_explanation *explanation = g_ptr_array_index(list, i);

        printf("%s %s %" G_GUINT64_FORMAT " %s: %s\n", explanation->request,
               outcome_of(explanation), status_of(explanation),
               pgw_cause_name(explanation->cause), explanation->sentence);
    }
    printf("# %u of %" G_GUINT64_FORMAT " requests failed, ran late or were "
           "sent again; %u of these are explained\n",
           list->len, logs->ended, explained);
}

static void
print_failed_json(const struct pgw_logs *logs, const GPtrArray *list,
                  unsigned explained)
{
    JsonObject *root = json_object_new();
    JsonArray *requests = json_array_new();

    for (guint i = 0; i < list->len; i++) {
        json_array_add_object_element(requests,
                                      to_json(g_ptr_array_index(list, i)));
    }
    json_object_set_int_member(root, "ended", (gint64)logs->ended);
    json_object_set_int_member(root, "explained", explained);
    json_object_set_array_member(root, "requests", requests);
    print_json(root);
}

bool
pgw_cli_explain_failed(struct pgw_cli *cli,
                       const struct pgw_cli_command *command G_GNUC_UNUSED,
                       GError **error)
{
    struct pgw_logs logs;
    unsigned explained = 0;
    GPtrArray *list;

    pgw_logs_init(&logs, NULL);
    if (!read_files(&logs, cli->args, cli->n_args, error)) {
        pgw_logs_dispose(&logs);
        return false;
    }
    list = pgw_logs_list(&logs);
    for (guint i = 0; i < list->len; i++) {
        const struct pgw_explanation *explanation = g_ptr_array_index(list, i);

        explained += explanation->cause != PGW_CAUSE_UNKNOWN;
    }
    if (cli->options.json) {
        print_failed_json(&logs, list, explained);
    }
    else {
        print_failed_text(&logs, list, explained);
    }
    g_ptr_array_unref(list);
    pgw_logs_dispose(&logs);
    return true;
}
