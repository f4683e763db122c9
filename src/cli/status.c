#include "cli/fetch.h"
#include "cli/objects.h"
#include "cli/table.h"
#include "util/json_reader.h"

#include "parsleygw/errors.h"

#include <stdio.h>
#include <string.h>

static const char *const columns[] = {
    "instance", "role",    "zone",    "pool",     "state", "weights",
    "config",   "running", "waiting", "hit_rate", "note",  NULL};

/* Members of a daemon's /status; each may be missing. */
struct process_status {
    JsonNode *root;
    JsonObject *object;
};

static void
process_status_parse(struct process_status *out,
                     const struct pgw_cli_answer *answer)
{
    out->root = answer->status == 200 && answer->body->len > 0
                    ? pgw_json_parse_text(answer->body->str)
                    : NULL;
    out->object = out->root != NULL && JSON_NODE_HOLDS_OBJECT(out->root)
                      ? json_node_get_object(out->root)
                      : NULL;
}

static const char *
text_member(const struct process_status *status, const char *name)
{
    if (status->object == NULL) {
        return NULL;
    }
    return json_object_get_string_member_with_default(status->object, name,
                                                      NULL);
}

static gint64
number_member(const struct process_status *status, const char *name)
{
    if (status->object == NULL) {
        return 0;
    }
    return json_object_get_int_member_with_default(status->object, name, 0);
}

static bool
bool_member(const struct process_status *status, const char *name,
            bool fallback)
{
    if (status->object == NULL) {
        return fallback;
    }
    return json_object_get_boolean_member_with_default(status->object, name,
                                                       fallback);
}

static bool
is_entry(const struct process_status *status)
{
    return g_strcmp0(text_member(status, "role"), "entry") == 0;
}

/* The worst thing that is true, in one word. */
static const char *
state_word(const struct process_status *status,
           const struct pgw_cli_answer *ready)
{
    if (status->object == NULL) {
        return "unreachable";
    }
    if (!bool_member(status, "alive", true)) {
        return "upstream-down";
    }
    if (bool_member(status, "leaving", false)) {
        return "leaving";
    }
    return ready->status == 200 ? "ready" : "not-ready";
}

/* Value of a counter without labels in Prometheus' text, 0 for none. */
static guint64
counter_value(const char *metrics, const char *name)
{
    const char *line = metrics;
    size_t length = strlen(name);

    while (line != NULL) {
        if (strncmp(line, name, length) == 0 && line[length] == ' ') {
            return g_ascii_strtoull(line + length + 1, NULL, 10);
        }
        line = strchr(line, '\n');
        line = line != NULL ? line + 1 : NULL;
    }
    return 0;
}

/* Share of the prompt tokens since the process's start that came from a
 * cache; entries count it. */
static char *
hit_rate_text(const struct pgw_cli_answer *metrics)
{
    guint64 prompt =
        counter_value(metrics->body->str, "pgw_prompt_tokens_total");
    guint64 cached =
        counter_value(metrics->body->str, "pgw_cached_tokens_total");

    return prompt == 0 ? NULL
                       : g_strdup_printf("%.1f%%", 100.0 * (double)cached /
                                                       (double)prompt);
}

/* Why a process is not ready, or cannot be asked. */
static char *
note_text(const struct pgw_cli_answer *status,
          const struct pgw_cli_answer *ready)
{
    if (status->problem != NULL) {
        return g_strdup(status->problem);
    }
    if (ready->status == 200 || ready->body->len == 0) {
        return NULL;
    }
    return g_strstrip(g_strdup(ready->body->str));
}

static void
add_process(struct pgw_cli_table *table, const struct pgw_cli_answer *answer,
            const struct pgw_cli_answer *ready,
            const struct pgw_cli_answer *metrics)
{
    struct process_status status;
    const char *instance;
    char *hit_rate;
    char *note = note_text(answer, ready);

    process_status_parse(&status, answer);
    instance = text_member(&status, "instance");
    hit_rate = hit_rate_text(metrics);
    pgw_cli_table_text(table, instance != NULL ? instance : answer->address);
    pgw_cli_table_text(table, text_member(&status, "role"));
    pgw_cli_table_text(table, text_member(&status, "zone"));
    pgw_cli_table_text(table, text_member(&status, "pool"));
    pgw_cli_table_text(table, state_word(&status, ready));
    pgw_cli_table_text(table, text_member(&status, "version"));
    pgw_cli_table_number(table, number_member(&status, "config_version"));
    pgw_cli_table_number(
        table,
        number_member(&status, is_entry(&status) ? "inflight" : "running"));
    pgw_cli_table_number(table, number_member(&status, "waiting"));
    pgw_cli_table_text(table, hit_rate);
    pgw_cli_table_text(table, note);
    g_free(hit_rate);
    g_free(note);
    g_clear_pointer(&status.root, json_node_unref);
}

/* What the store says of itself and of the whole configuration. */
struct store_health {
    bool reachable;
    gint64 answer_us;
    uint64_t newest;
    size_t quarantined;
    char *problem;
};

static void
note_version(const char *kind G_GNUC_UNUSED, const char *name G_GNUC_UNUSED,
             uint64_t version, const char *value G_GNUC_UNUSED, void *data)
{
    uint64_t *newest = data;

    *newest = MAX(*newest, version);
}

static void
ask_store(struct pgw_cli *cli, struct store_health *out)
{
    struct pgw_store_list quarantine = {0};
    struct pgw_config_set *set = NULL;
    GError *error = NULL;
    gint64 start = g_get_monotonic_time();

    out->reachable = pgw_cli_open_store(cli, &error) &&
                     pgw_store_list(cli->store, &quarantine, "quarantine",
                                    pgw_cli_deadline(cli), &error);
    out->answer_us = g_get_monotonic_time() - start;
    out->reachable = out->reachable && pgw_cli_load_set(cli, &set, &error);
    if (out->reachable) {
        pgw_config_set_foreach(set, note_version, &out->newest);
        out->quarantined = quarantine.n;
    }
    else {
        out->problem = g_strdup(error->message);
    }
    g_clear_error(&error);
    g_clear_pointer(&set, pgw_config_set_free);
    pgw_store_list_dispose(&quarantine);
}

static void
print_json(const struct pgw_cli_table *table,
           const struct store_health *health)
{
    JsonObject *root = json_object_new();
    JsonObject *store = json_object_new();
    JsonNode *node = json_node_new(JSON_NODE_OBJECT);

    json_object_set_boolean_member(store, "reachable", health->reachable);
    json_object_set_int_member(store, "answer_us", health->answer_us);
    json_object_set_int_member(store, "newest_version",
                               (gint64)health->newest);
    json_object_set_int_member(store, "quarantine_records",
                               (gint64)health->quarantined);
    if (health->problem != NULL) {
        json_object_set_string_member(store, "problem", health->problem);
    }
    json_object_set_object_member(root, "store", store);
    json_object_set_member(root, "processes", pgw_cli_table_to_json(table));
    json_node_take_object(node, root);
    pgw_cli_json_print(node);
}

static void
print_store(const struct store_health *health)
{
    if (!health->reachable) {
        printf("store: unreachable: %s\n", health->problem);
        return;
    }
    printf("store: answers in %.1f ms, newest configuration %" G_GUINT64_FORMAT
           ", quarantine records %zu\n",
           (double)health->answer_us / 1000, health->newest,
           health->quarantined);
}

bool
pgw_cli_status(struct pgw_cli *cli,
               const struct pgw_cli_command *command G_GNUC_UNUSED,
               GError **error)
{
    struct store_health health = {0};
    GPtrArray *addresses = pgw_cli_admin_addresses(cli, error);
    struct pgw_cli_table *table;
    GArray *statuses;
    GArray *readies;
    GArray *metrics;

    if (addresses == NULL) {
        return false;
    }
    statuses =
        pgw_cli_fetch_all(addresses, "/status", cli->options.timeout_ms);
    readies = pgw_cli_fetch_all(addresses, "/readyz", cli->options.timeout_ms);
    metrics =
        pgw_cli_fetch_all(addresses, "/metrics", cli->options.timeout_ms);
    ask_store(cli, &health);
    table = pgw_cli_table_new(columns);
    for (guint i = 0; i < statuses->len; i++) {
        add_process(table, &g_array_index(statuses, struct pgw_cli_answer, i),
                    &g_array_index(readies, struct pgw_cli_answer, i),
                    &g_array_index(metrics, struct pgw_cli_answer, i));
    }
    if (cli->options.json) {
        print_json(table, &health);
    }
    else {
        print_store(&health);
        pgw_cli_table_print(table, FALSE);
    }
    pgw_cli_table_free(table);
    g_array_unref(statuses);
    g_array_unref(readies);
    g_array_unref(metrics);
    g_ptr_array_unref(addresses);
    g_free(health.problem);
    return true;
}
