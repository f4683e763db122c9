#include <getopt.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http_lib.h"
#include "objects_history_lib.h"
#include "util/list.h"

/**
 * DOC: standin-objects, the platform's object API for tests and experiments
 *
 * Speaks the object API of docs/upstream-protocol.md and, under paths that
 * start with an underscore, takes orders to misbehave:
 *
 * - ``POST /_control {"outage":bool,"latency_ms":n,"lose_answers":n,
 *   "answer_old":bool,"as_of":version}``: the next n writes take effect and
 *   get no answer; with answer_old all reads answer as of the given version
 *   (default: the version that stands at the call).
 * - ``GET /_stats``: calls counted by what became of them.
 * - ``POST /_instances {"instances":[..]}``: what the platform's list shows
 *   after --instances-lag-ms.
 */

#define SERVER_THREADS 2
#define VALUE_MAX (1024 * 1024)
#define TICK_US 1000

/* Calls a second, with a burst of a fifth of a second. */
struct limit {
    double rate;
    double tokens;
    gint64 then;
};

struct stats {
    uint64_t reads;
    uint64_t writes;
    uint64_t watches;
    uint64_t conflicts;
    uint64_t limited;
    uint64_t refused; /* in an outage */
};

/* An answer that waits for its time: a delayed one, or a watch. */
struct pending {
    struct pgw_list link;
    struct standin_call *call;
    gint64 due;
    unsigned status;
    GString *body; /* NULL: a watch without news yet */
    char *kind;
    uint64_t after;
};

/* What the platform's list shows from a time on. */
struct instances {
    gint64 from;
    char *text;
};

struct objects {
    pthread_mutex_t lock; /* guards all below */
    struct objects_history *history;
    struct limit reads;
    struct limit writes;
    gint64 latency_us;
    gint64 instances_lag_us;
    bool outage;
    uint64_t lose_answers;
    uint64_t as_of;
    struct stats stats;
    struct pgw_list pending;
    GArray *instances;
};

static bool
limit_take(struct limit *limit)
{
    gint64 now = g_get_monotonic_time();
    double burst = MAX(limit->rate / 5, 1);

    limit->tokens += limit->rate * (double)(now - limit->then) / 1e6;
    limit->tokens = MIN(limit->tokens, burst);
    limit->then = now;
    if (limit->tokens < 1) {
        return false;
    }
    limit->tokens -= 1;
    return true;
}

static void
pending_add(struct objects *objects, const struct pending *template)
{
    struct pending *pending = g_new(struct pending, 1);

    *pending = *template;
    standin_call_ref(pending->call);
    pgw_list_append(&objects->pending, &pending->link);
}

static void
answer(struct objects *objects, struct standin_call *call, unsigned status,
       GString *body)
{
    if (objects->latency_us == 0) {
        standin_call_reply(call, status, body);
        return;
    }
    pending_add(objects,
                &(struct pending){
                    .call = call,
                    .due = g_get_monotonic_time() + objects->latency_us,
                    .status = status,
                    .body = body,
                });
}

static void
answer_error(struct objects *objects, struct standin_call *call,
             unsigned status, const char *code)
{
    GString *body = g_string_new(NULL);

    g_string_printf(body, "{\"error\":{\"code\":\"%s\"}}", code);
    answer(objects, call, status, body);
}

static void
answer_object(struct objects *objects, struct standin_call *call,
              unsigned status, const char *kind, const char *name,
              uint64_t as_of)
{
    const char *value;
    uint64_t version =
        objects_history_get(objects->history, kind, name, as_of, &value);
    GString *body = g_string_new(NULL);

    g_string_printf(body,
                    "{\"kind\":\"%s\",\"name\":\"%s\",\"version\":%" PRIu64
                    ",\"value\":%s}",
                    kind, name, version, value == NULL ? "null" : value);
    answer(objects, call, version == 0 && status == 200 ? 404 : status, body);
}

/* Gives a watch its news; false when there is none. */
static bool
watch_answer(struct objects *objects, struct standin_call *call,
             const char *kind, uint64_t after, bool expired)
{
    bool wait;
    GString *body = objects_history_changes(objects->history, kind, after,
                                            objects->as_of, &wait);

    if (body == NULL) {
        answer_error(objects, call, 410, "too_old");
        return true;
    }
    if (wait && !expired) {
        g_string_free(body, TRUE);
        return false;
    }
    answer(objects, call, 200, body);
    return true;
}

static void
serve_watch(struct objects *objects, struct standin_call *call,
            const char *kind)
{
    uint64_t after = standin_call_query_uint(call, "after", 0);
    uint64_t wait_ms = standin_call_query_uint(call, "wait_ms", 0);

    objects->stats.watches++;
    if (!watch_answer(objects, call, kind, after, wait_ms == 0)) {
        pending_add(objects, &(struct pending){
                                 .call = call,
                                 .due = g_get_monotonic_time() +
                                        (gint64)MIN(wait_ms, 600000) * 1000,
                                 .kind = g_strdup(kind),
                                 .after = after,
                             });
    }
}

static void
pending_free(struct pending *pending)
{
    pgw_list_remove(&pending->link);
    standin_call_unref(pending->call);
    g_free(pending->kind);
    g_free(pending);
}

static void
tell_watches(struct objects *objects, bool drop)
{
    pgw_list_foreach_safe (link, &objects->pending) {
        struct pending *pending = pgw_container_of(link, struct pending, link);

        if (pending->body != NULL) {
            continue;
        }
        if (drop) {
            standin_call_drop(pending->call);
            pending_free(pending);
        }
        else if (watch_answer(objects, pending->call, pending->kind,
                              pending->after, false)) {
            pending_free(pending);
        }
    }
}

static void
serve_write(struct objects *objects, struct standin_call *call,
            const char *kind, const char *name, const char *value)
{
    const char *condition = standin_call_header(call, "If-Match");
    enum objects_write result;
    uint64_t version;
    GString *body;

    objects->stats.writes++;
    if (condition == NULL) {
        answer_error(objects, call, 400, "no_condition");
        return;
    }
    result = objects_history_write(objects->history, kind, name,
                                   g_ascii_strtoull(condition, NULL, 10),
                                   value, &version);
    if (result != OBJECTS_WRITE_DONE) {
        objects->stats.conflicts += result == OBJECTS_WRITE_CONFLICT;
        answer_object(objects, call,
                      result == OBJECTS_WRITE_CONFLICT ? 409 : 404, kind, name,
                      OBJECTS_NOW);
        return;
    }
    tell_watches(objects, false);
    if (objects->lose_answers > 0) {
        objects->lose_answers--;
        standin_call_drop(call);
        return;
    }
    body = g_string_new(NULL);
    g_string_printf(body, "{\"version\":%" PRIu64 "}", version);
    answer(objects, call, 200, body);
}

static void
serve_put(struct objects *objects, struct standin_call *call, const char *kind,
          const char *name)
{
    size_t length;
    const char *value = standin_call_body(call, &length);
    JsonParser *parser;
    bool ok;

    if (length > VALUE_MAX) {
        answer_error(objects, call, 413, "too_large");
        return;
    }
    parser = json_parser_new();
    ok = length > 0 &&
         json_parser_load_from_data(parser, value, (gssize)length, NULL);
    g_object_unref(parser);
    if (!ok) {
        answer_error(objects, call, 400, "not_json");
        return;
    }
    serve_write(objects, call, kind, name, value);
}

static void
serve_instances(struct objects *objects, struct standin_call *call)
{
    gint64 now = g_get_monotonic_time();
    const char *text = "{\"instances\":[]}";

    for (guint i = 0; i < objects->instances->len; i++) {
        const struct instances *list =
            &g_array_index(objects->instances, struct instances, i);

        if (list->from <= now) {
            text = list->text;
        }
    }
    answer(objects, call, 200, g_string_new(text));
}

static void
serve_objects(struct objects *objects, struct standin_call *call,
              const char *kind, const char *name)
{
    const char *method = standin_call_method(call);

    if (strcmp(method, "PUT") == 0 && name != NULL) {
        serve_put(objects, call, kind, name);
    }
    else if (strcmp(method, "DELETE") == 0 && name != NULL) {
        serve_write(objects, call, kind, name, NULL);
    }
    else if (name != NULL) {
        objects->stats.reads++;
        answer_object(objects, call, 200, kind, name, objects->as_of);
    }
    else {
        objects->stats.reads++;
        answer(objects, call, 200,
               objects_history_list(objects->history, kind, objects->as_of));
    }
}

static bool
admit(struct objects *objects, struct standin_call *call)
{
    bool write = strcmp(standin_call_method(call), "GET") != 0;

    if (objects->outage) {
        objects->stats.refused++;
        answer_error(objects, call, 503, "outage");
        return false;
    }
    if (!limit_take(write ? &objects->writes : &objects->reads)) {
        objects->stats.limited++;
        standin_call_add_header(call, "Retry-After", "1");
        answer_error(objects, call, 429, "rate_limited");
        return false;
    }
    return true;
}

static void
control(struct objects *objects, struct standin_call *call)
{
    JsonObject *order = standin_call_json(call);

    if (order == NULL) {
        return;
    }
    objects->outage = json_object_get_boolean_member_with_default(
        order, "outage", objects->outage);
    objects->latency_us =
        1000 * json_object_get_int_member_with_default(
                   order, "latency_ms", objects->latency_us / 1000);
    objects->lose_answers = (uint64_t)json_object_get_int_member_with_default(
        order, "lose_answers", (gint64)objects->lose_answers);
    if (json_object_has_member(order, "answer_old")) {
        objects->as_of = OBJECTS_NOW;
        if (json_object_get_boolean_member(order, "answer_old")) {
            objects->as_of = (uint64_t)json_object_get_int_member_with_default(
                order, "as_of",
                (gint64)objects_history_counter(objects->history));
        }
    }
    json_object_unref(order);
    tell_watches(objects, objects->outage);
    standin_call_replyf(call, 200, "{}");
}

static void
set_instances(struct objects *objects, struct standin_call *call)
{
    JsonObject *order = standin_call_json(call);
    struct instances list;

    if (order == NULL) {
        return;
    }
    json_object_unref(order);
    list.from = g_get_monotonic_time() + objects->instances_lag_us;
    list.text = g_strdup(standin_call_body(call, NULL));
    g_array_append_val(objects->instances, list);
    standin_call_replyf(call, 200, "{}");
}

static void
report_stats(struct objects *objects, struct standin_call *call)
{
    standin_call_replyf(
        call, 200,
        "{\"reads\":%" PRIu64 ",\"writes\":%" PRIu64 ",\"watches\":%" PRIu64
        ",\"conflicts\":%" PRIu64 ",\"limited\":%" PRIu64
        ",\"refused\":%" PRIu64 ",\"version\":%" PRIu64 "}",
        objects->stats.reads, objects->stats.writes, objects->stats.watches,
        objects->stats.conflicts, objects->stats.limited,
        objects->stats.refused, objects_history_counter(objects->history));
}

/* Paths of the object API, after the limits have let the call in. */
static void
serve(struct objects *objects, struct standin_call *call)
{
    char **parts = g_strsplit(standin_call_path(call) + 1, "/", 4);
    guint n = g_strv_length(parts);

    if (n == 1 && strcmp(parts[0], "instances") == 0) {
        objects->stats.reads++;
        serve_instances(objects, call);
    }
    else if (n == 2 && strcmp(parts[0], "watch") == 0) {
        serve_watch(objects, call, parts[1]);
    }
    else if ((n == 2 || n == 3) && strcmp(parts[0], "objects") == 0) {
        serve_objects(objects, call, parts[1], parts[2]);
    }
    else {
        answer_error(objects, call, 404, "no_such_path");
    }
    g_strfreev(parts);
}

static void
handle(struct standin_call *call, void *data)
{
    struct objects *objects = data;
    const char *path = standin_call_path(call);

    pthread_mutex_lock(&objects->lock);
    if (strcmp(path, "/_control") == 0) {
        control(objects, call);
    }
    else if (strcmp(path, "/_instances") == 0) {
        set_instances(objects, call);
    }
    else if (strcmp(path, "/_stats") == 0) {
        report_stats(objects, call);
    }
    else if (admit(objects, call)) {
        serve(objects, call);
    }
    pthread_mutex_unlock(&objects->lock);
}

static void *
run_pending(void *data)
{
    struct objects *objects = data;

    for (;;) {
        gint64 now;

        g_usleep(TICK_US);
        now = g_get_monotonic_time();
        pthread_mutex_lock(&objects->lock);
        pgw_list_foreach_safe (link, &objects->pending) {
            struct pending *pending =
                pgw_container_of(link, struct pending, link);

            if (pending->due > now) {
                continue;
            }
            if (pending->body != NULL) {
                standin_call_reply(pending->call, pending->status,
                                   pending->body);
            }
            else {
                watch_answer(objects, pending->call, pending->kind,
                             pending->after, true);
            }
            pending_free(pending);
        }
        pthread_mutex_unlock(&objects->lock);
    }
    return NULL;
}

static const struct option long_options[] = {
    {"port", required_argument, NULL, 'p'},
    {"write-rate", required_argument, NULL, 'w'},
    {"read-rate", required_argument, NULL, 'r'},
    {"latency-ms", required_argument, NULL, 'l'},
    {"seed", required_argument, NULL, 's'},
    {"file", required_argument, NULL, 'f'},
    {"instances-lag-ms", required_argument, NULL, 'i'},
    {NULL, 0, NULL, 0},
};

static void
parse_arguments(struct objects *objects, uint16_t *port, int argc, char **argv)
{
    int option;

    while ((option = getopt_long(argc, argv, "", long_options, NULL)) != -1) {
        switch (option) {
        case 'p':
            *port = (uint16_t)atoi(optarg);
            break;
        case 'w':
            objects->writes.rate = g_ascii_strtod(optarg, NULL);
            break;
        case 'r':
            objects->reads.rate = g_ascii_strtod(optarg, NULL);
            break;
        case 'l':
            objects->latency_us = 1000 * g_ascii_strtoll(optarg, NULL, 10);
            break;
        case 's':
            /* Nothing here is random; taken so that all stand-ins start
             * alike. */
            break;
        case 'f':
            if (!objects_history_load(objects->history, optarg)) {
                exit(2);
            }
            break;
        case 'i':
            objects->instances_lag_us =
                1000 * g_ascii_strtoll(optarg, NULL, 10);
            break;
        default:
            fprintf(stderr,
                    "usage: standin-objects [--port N] [--write-rate N] "
                    "[--read-rate N] [--latency-ms N] [--seed N] "
                    "[--file objects.json] [--instances-lag-ms N]\n");
            exit(2);
        }
    }
}

int
main(int argc, char **argv)
{
    struct objects *objects = g_new0(struct objects, 1);
    pthread_t pending;
    uint16_t port = 0;

    standin_process_init();
    pthread_mutex_init(&objects->lock, NULL);
    objects->history = objects_history_new();
    objects->reads.rate = 2000;
    objects->writes.rate = 300;
    objects->as_of = OBJECTS_NOW;
    objects->instances = g_array_new(FALSE, FALSE, sizeof(struct instances));
    pgw_list_init(&objects->pending);
    parse_arguments(objects, &port, argc, argv);
    pthread_create(&pending, NULL, run_pending, objects);
    standin_server_run(&(struct standin_server_options){
        .port = port,
        .threads = SERVER_THREADS,
        .handle = handle,
        .data = objects,
    });
}
