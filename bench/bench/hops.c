#include "hops.h"

#include <string.h>

#include "failure/harness_http.h"
#include "measure.h"
#include "util/hlc.h"

#define SLOWEST 20 /* one in that many counts as slow */
#define BUCKET_PREFIX "pgw_loop_turn_seconds_bucket{le=\""

enum stage {
    STAGE_ACCEPT,
    STAGE_PLACE,
    STAGE_OPEN,
    STAGE_UPSTREAM,
    STAGE_FIRST_TOKEN,
    STAGE_DONE,
    STAGE_COUNT,
};

static const char *const stage_events[STAGE_COUNT] = {
    [STAGE_ACCEPT] = "request_accept",   [STAGE_PLACE] = "place",
    [STAGE_OPEN] = "attempt_open",       [STAGE_UPSTREAM] = "upstream_start",
    [STAGE_FIRST_TOKEN] = "first_token", [STAGE_DONE] = "request_done",
};

/* Named after the stage at which a hop ends; no hop ends at the first. */
static const char *const hop_names[STAGE_COUNT] = {
    [STAGE_PLACE] = "accept_to_place",
    [STAGE_OPEN] = "place_to_open",
    [STAGE_UPSTREAM] = "open_to_upstream",
    [STAGE_FIRST_TOKEN] = "upstream_to_first_token",
    [STAGE_DONE] = "first_token_to_done",
};

struct path {
    uint64_t at_us[STAGE_COUNT];
};

static void
take_event(GHashTable *paths, JsonObject *event)
{
    const char *kind = json_object_get_string_member(event, "kind");
    const char *request =
        json_object_get_string_member_with_default(event, "request", NULL);
    struct path *path;

    for (unsigned i = 0; request != NULL && i < STAGE_COUNT; i++) {
        if (strcmp(kind, stage_events[i]) != 0) {
            continue;
        }
        path = g_hash_table_lookup(paths, request);
        if (path == NULL) {
            path = g_new0(struct path, 1);
            g_hash_table_insert(paths, g_strdup(request), path);
        }
        path->at_us[i] = pgw_hlc_to_us(g_ascii_strtoull(
            json_object_get_string_member(event, "hlc"), NULL, 16));
    }
}

static void
read_time_line(GHashTable *paths, const struct harness_process *process)
{
    char *url = fleet_admin_url(process, "/timeline");
    JsonNode *root = harness_get_json(url);
    JsonArray *events =
        json_object_get_array_member(json_node_get_object(root), "events");

    for (guint i = 0; i < json_array_get_length(events); i++) {
        take_event(paths, json_array_get_object_element(events, i));
    }
    json_node_unref(root);
    g_free(url);
}

static bool
is_whole(const struct path *path)
{
    for (unsigned i = 0; i < STAGE_COUNT; i++) {
        if (path->at_us[i] == 0) {
            return false;
        }
    }
    return true;
}

static uint64_t
path_took(const struct path *path)
{
    return path->at_us[STAGE_DONE] - path->at_us[STAGE_ACCEPT];
}

/* The clocks of two processes are the same, the order in which they are read
 * within one microsecond is not. */
static uint64_t
hop_took(const struct path *path, unsigned stage)
{
    return path->at_us[stage] -
           MIN(path->at_us[stage], path->at_us[stage - 1]);
}

static gint
compare_paths(gconstpointer a, gconstpointer b)
{
    uint64_t left = path_took(*(struct path *const *)a);
    uint64_t right = path_took(*(struct path *const *)b);

    return (left > right) - (left < right);
}

static GPtrArray *
whole_paths(GHashTable *paths)
{
    GPtrArray *whole = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, paths);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (is_whole(value)) {
            g_ptr_array_add(whole, value);
        }
    }
    g_ptr_array_sort(whole, compare_paths);
    return whole;
}

static void
write_percentiles(JsonBuilder *out, const GPtrArray *paths)
{
    json_builder_set_member_name(out, "hops_ms");
    json_builder_begin_object(out);
    for (unsigned stage = 1; stage < STAGE_COUNT; stage++) {
        GArray *times = g_array_new(FALSE, FALSE, sizeof(uint64_t));

        for (guint i = 0; i < paths->len; i++) {
            uint64_t took = hop_took(g_ptr_array_index(paths, i), stage);

            g_array_append_val(times, took);
        }
        measure_write_percentiles(out, hop_names[stage], times);
        g_array_unref(times);
    }
    json_builder_end_object(out);
}

static void
write_slow_means(JsonBuilder *out, const GPtrArray *paths)
{
    guint first = paths->len - paths->len / SLOWEST;

    json_builder_set_member_name(out, "slow_hops_ms");
    json_builder_begin_object(out);
    for (unsigned stage = 1; stage < STAGE_COUNT && first < paths->len;
         stage++) {
        uint64_t sum = 0;

        for (guint i = first; i < paths->len; i++) {
            sum += hop_took(g_ptr_array_index(paths, i), stage);
        }
        json_builder_set_member_name(out, hop_names[stage]);
        json_builder_add_double_value(out, (double)sum / 1000 /
                                               (double)(paths->len - first));
    }
    json_builder_end_object(out);
}

/* The counts of turns by their length, as the metrics page has them: of so
 * many seconds at most, cumulated. */
static void
write_turns(JsonBuilder *out, const char *name,
            const struct harness_process *process)
{
    char *url = fleet_admin_url(process, "/metrics");
    struct harness_answer answer;
    const char *line;

    harness_get(&answer, url);
    json_builder_set_member_name(out, name);
    json_builder_begin_object(out);
    for (line = strstr(answer.body->str, BUCKET_PREFIX); line != NULL;
         line = strstr(line, BUCKET_PREFIX)) {
        const char *end;
        char *bound;

        line += strlen(BUCKET_PREFIX);
        end = strchr(line, '"');
        bound = g_strndup(line, (gsize)(end - line));
        json_builder_set_member_name(out, bound);
        json_builder_add_int_value(
            out, g_ascii_strtoll(end + strlen("\"}"), NULL, 10));
        g_free(bound);
    }
    json_builder_end_object(out);
    harness_answer_dispose(&answer);
    g_free(url);
}

void
hops_write(JsonBuilder *out, struct fleet *fleet)
{
    GHashTable *paths =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    GPtrArray *whole;

    read_time_line(paths, fleet->entries[0]);
    for (unsigned i = 0; i < fleet->options.scenario->engines; i++) {
        read_time_line(paths, fleet->sidecars[i]);
    }
    whole = whole_paths(paths);
    write_percentiles(out, whole);
    write_slow_means(out, whole);
    json_builder_set_member_name(out, "loop_turns");
    json_builder_begin_object(out);
    write_turns(out, "entry", fleet->entries[0]);
    write_turns(out, "sidecar", fleet->sidecars[0]);
    json_builder_end_object(out);
    g_ptr_array_unref(whole);
    g_hash_table_unref(paths);
}
