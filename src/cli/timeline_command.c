#include "cli/fetch.h"
#include "cli/timeline.h"
#include "util/json_reader.h"

#include "parsleygw/errors.h"
#include "util/hex.h"
#include "util/hlc.h"
#include "util/program.h"

#include <stdio.h>
#include <string.h>

#define DEFAULT_SINCE "5m"

/* "90s", "5m", "2h" as microseconds. */
static bool
parse_span(uint64_t *out, const char *text, GError **error)
{
    char *end = NULL;
    guint64 number = g_ascii_strtoull(text, &end, 10);
    uint64_t unit = 0;

    if (strcmp(end, "s") == 0) {
        unit = 1;
    }
    else if (strcmp(end, "m") == 0) {
        unit = 60;
    }
    else if (strcmp(end, "h") == 0) {
        unit = UINT64_C(60) * 60;
    }
    if (unit == 0 || number == 0 || number > 1000000) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                    "--since: found \"%s\"; write a time such as 90s, 5m or "
                    "2h",
                    text);
        return false;
    }
    *out = number * unit * G_USEC_PER_SEC;
    return true;
}

typedef char *(*format_func)(const struct pgw_timeline *timeline);

static format_func
find_format(const struct pgw_cli_options *options)
{
    const char *name = options->format;

    if (name == NULL) {
        name = options->json ? "json" : "text";
    }
    if (strcmp(name, "text") == 0) {
        return pgw_timeline_to_text;
    }
    if (strcmp(name, "json") == 0) {
        return pgw_timeline_to_json;
    }
    return strcmp(name, "html") == 0 ? pgw_timeline_to_html : NULL;
}

/* The path that each process is asked for, NULL with @error set. */
static char *
make_path(const struct pgw_cli_options *options, GError **error)
{
    struct pgw_request_id id;
    uint64_t span;
    uint64_t now = pgw_hlc_wall_us();

    /* One request's events are few, so all that are kept are wanted. */
    if (options->request != NULL &&
        !pgw_request_id_parse(&id, options->request)) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                    "--request: found \"%s\"; write the 32 digits of the "
                    "answer's X-Pgw-Request-Id",
                    options->request);
        return NULL;
    }
    if (options->request != NULL && options->since == NULL) {
        return g_strdup_printf("/timeline?request=%s", options->request);
    }
    if (!parse_span(&span,
                    options->since != NULL ? options->since : DEFAULT_SINCE,
                    error)) {
        return NULL;
    }
    return g_strdup_printf("/timeline?since=%" G_GINT64_MODIFIER "x%s%s",
                           pgw_hlc_from_us(now - MIN(span, now)),
                           options->request != NULL ? "&request=" : "",
                           options->request != NULL ? options->request : "");
}

static void
collect(struct pgw_timeline *timeline, const GArray *answers)
{
    for (guint i = 0; i < answers->len; i++) {
        const struct pgw_cli_answer *answer =
            &g_array_index(answers, struct pgw_cli_answer, i);
        JsonNode *root = answer->status == 200
                             ? pgw_json_parse_text(answer->body->str)
                             : NULL;

        if (!pgw_timeline_add(timeline, root)) {
            g_ptr_array_add(timeline->missing,
                            answer->problem != NULL
                                ? g_strdup_printf("%s: %s", answer->address,
                                                  answer->problem)
                                : g_strdup_printf("%s: HTTP status %ld",
                                                  answer->address,
                                                  answer->status));
        }
        g_clear_pointer(&root, json_node_unref);
    }
    pgw_timeline_sort(timeline);
}

static bool
write_result(const struct pgw_cli_options *options, const char *text,
             GError **error)
{
    GError *cause = NULL;

    if (options->output == NULL) {
        fputs(text, stdout);
        return true;
    }
    if (!g_file_set_contents(options->output, text, -1, &cause)) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_IO,
                    "%s; choose another --output", cause->message);
        g_error_free(cause);
        return false;
    }
    return true;
}

bool
pgw_cli_timeline(struct pgw_cli *cli,
                 const struct pgw_cli_command *command G_GNUC_UNUSED,
                 GError **error)
{
    format_func format = find_format(&cli->options);
    GPtrArray *addresses = NULL;
    struct pgw_timeline timeline;
    GArray *answers;
    char *path;
    char *text;
    bool ok;

    if (format == NULL) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                    "--format: found \"%s\"; write text, json or html",
                    cli->options.format);
        return false;
    }
    path = make_path(&cli->options, error);
    if (path != NULL) {
        addresses = pgw_cli_admin_addresses(cli, error);
    }
    if (addresses == NULL) {
        g_free(path);
        return false;
    }
    pgw_timeline_init(&timeline);
    answers = pgw_cli_fetch_all(addresses, path, cli->options.timeout_ms);
    collect(&timeline, answers);
    text = format(&timeline);
    ok = write_result(&cli->options, text, error);
    if (ok && timeline.lanes->len == 0) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_UNAVAILABLE,
                    "no process answered; check --admin");
        ok = false;
    }
    g_free(text);
    g_array_unref(answers);
    pgw_timeline_dispose(&timeline);
    g_ptr_array_unref(addresses);
    g_free(path);
    return ok;
}
