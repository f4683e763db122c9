#include "cli/explain.h"

#include <string.h>

static void
line_free(void *line)
{
    pgw_log_line_free(line);
}

static void
explanation_free(void *data)
{
    struct pgw_explanation *explanation = data;

    g_ptr_array_unref(explanation->lines);
    if (explanation->context != NULL) {
        g_ptr_array_unref(explanation->context);
    }
    g_free(explanation->sentence);
    g_free(explanation->request);
    g_free(explanation);
}

void
pgw_logs_init(struct pgw_logs *logs, const char *wanted)
{
    memset(logs, 0, sizeof(*logs));
    logs->wanted = g_strdup(wanted);
    logs->requests =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, explanation_free);
    logs->changes = g_ptr_array_new_with_free_func(line_free);
    logs->addresses =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void
pgw_logs_dispose(struct pgw_logs *logs)
{
    g_hash_table_destroy(logs->requests);
    g_ptr_array_unref(logs->changes);
    g_hash_table_destroy(logs->addresses);
    g_free(logs->wanted);
}

bool
pgw_line_is_paused(const struct pgw_log_line *line)
{
    uint64_t objective = pgw_log_line_number(line, "pause_objective_ms");

    return objective > 0 && pgw_log_line_number(line, "pause_ms") > objective;
}

bool
pgw_line_went_well(const struct pgw_log_line *line)
{
    uint64_t objective = pgw_log_line_number(line, "objective_ms");

    return g_strcmp0(pgw_log_line_get(line, "outcome"), "answered") == 0 &&
           pgw_log_line_number(line, "status") < 400 &&
           pgw_log_line_number(line, "sends") <= 1 &&
           !pgw_line_is_paused(line) &&
           (objective == 0 ||
            pgw_log_line_number(line, "first_ms") <= objective);
}

static struct pgw_explanation *
explanation_get(struct pgw_logs *logs, const char *request)
{
    struct pgw_explanation *explanation =
        g_hash_table_lookup(logs->requests, request);

    if (explanation == NULL) {
        explanation = g_new0(struct pgw_explanation, 1);
        explanation->request = g_strdup(request);
        explanation->lines = g_ptr_array_new_with_free_func(line_free);
        g_hash_table_insert(logs->requests, explanation->request, explanation);
    }
    return explanation;
}

static void
take_request_line(struct pgw_logs *logs, struct pgw_log_line *line,
                  const char *request)
{
    bool is_end = strcmp(line->event, "request_end") == 0;

    logs->ended += is_end || strcmp(line->event, "request_refused") == 0;
    if (logs->wanted != NULL && strcmp(logs->wanted, request) != 0) {
        pgw_log_line_free(line);
        return;
    }
    if (logs->wanted == NULL && is_end && pgw_line_went_well(line)) {
        g_hash_table_remove(logs->requests, request);
        pgw_log_line_free(line);
        return;
    }
    g_ptr_array_add(explanation_get(logs, request)->lines, line);
}

static void
take_change(struct pgw_logs *logs, struct pgw_log_line *line)
{
    const char *upstream = pgw_log_line_get(line, "upstream");
    const char *address = pgw_log_line_get(line, "address");

    if (upstream != NULL && address != NULL) {
        g_hash_table_replace(logs->addresses, g_strdup(upstream),
                             g_strdup(address));
    }
    g_ptr_array_add(logs->changes, line);
}

void
pgw_logs_take(struct pgw_logs *logs, const char *text, size_t size)
{
    struct pgw_log_line *line;
    const char *request;

    if (!pgw_log_line_parse(&line, text, size)) {
        return;
    }
    logs->read++;
    request = pgw_log_line_get(line, "request");
    if (request != NULL) {
        take_request_line(logs, line, request);
    }
    else {
        take_change(logs, line);
    }
}

static int
compare_lines(gconstpointer a, gconstpointer b)
{
    const struct pgw_log_line *x = *(const struct pgw_log_line *const *)a;
    const struct pgw_log_line *y = *(const struct pgw_log_line *const *)b;

    return (x->ts_us > y->ts_us) - (x->ts_us < y->ts_us);
}

static int
compare_explanations(gconstpointer a, gconstpointer b)
{
    const struct pgw_explanation *x =
        *(const struct pgw_explanation *const *)a;
    const struct pgw_explanation *y =
        *(const struct pgw_explanation *const *)b;
    const struct pgw_log_line *first_x = g_ptr_array_index(x->lines, 0);
    const struct pgw_log_line *first_y = g_ptr_array_index(y->lines, 0);

    return (first_x->ts_us > first_y->ts_us) -
           (first_x->ts_us < first_y->ts_us);
}

static void
find_end(struct pgw_explanation *explanation)
{
    g_ptr_array_sort(explanation->lines, compare_lines);
    for (guint i = 0; i < explanation->lines->len; i++) {
        const struct pgw_log_line *line =
            g_ptr_array_index(explanation->lines, i);

        if (strcmp(line->event, "request_end") == 0 ||
            strcmp(line->event, "request_refused") == 0) {
            explanation->end = line;
        }
    }
}

void
pgw_logs_finish(struct pgw_logs *logs)
{
    GHashTableIter iter;
    gpointer value;

    g_ptr_array_sort(logs->changes, compare_lines);
    g_hash_table_iter_init(&iter, logs->requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        find_end(value);
        pgw_explanation_find_cause(value, logs);
    }
}

GPtrArray *
pgw_logs_list(const struct pgw_logs *logs)
{
    GPtrArray *list = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, logs->requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_ptr_array_add(list, value);
    }
    g_ptr_array_sort(list, compare_explanations);
    return list;
}
