#include <getopt.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "http_lib.h"
#include "sync_lib.h"
#include "util/list.h"

/**
 * DOC: standin-service, a plain service for tests and experiments
 *
 * It runs whatever it is sent and counts that by idempotency key, so that a
 * test sees which calls ran twice. README.md tells what each option does.
 */

#define SERVER_THREADS 2
#define CRASH_STATUS 3
#define ONE_MS 1000

struct service_options {
    uint16_t port;
    uint64_t delay_us;
    const char *crash_on;
    size_t answer_bytes;
    const char *log_file;
};

struct service_answer {
    struct pgw_list link;
    struct standin_call *call;
    GString *body;
    uint64_t due;
};

struct service {
    struct service_options options;
    pthread_mutex_t lock;
    pthread_cond_t changed;
    GHashTable *counts; /* idempotency key to executions */
    GString *log;       /* JSON objects, comma-separated */
    struct pgw_list delayed;
    FILE *file;
};

static void
append_quoted(GString *out, const char *text)
{
    JsonNode *node = json_node_init_string(json_node_alloc(), text);
    char *quoted = json_to_string(node, FALSE);

    g_string_append(out, quoted);
    g_free(quoted);
    json_node_unref(node);
}

/* Caller holds the lock. */
static guint
count_execution(struct service *service, const char *key)
{
    guint count =
        GPOINTER_TO_UINT(g_hash_table_lookup(service->counts, key)) + 1;

    g_hash_table_replace(service->counts, g_strdup(key),
                         GUINT_TO_POINTER(count));
    return count;
}

/* Caller holds the lock. */
static void
log_execution(struct service *service, const char *key, guint execution,
              struct standin_call *call)
{
    g_string_append_printf(service->log,
                           "%s{\"key\":", service->log->len == 0 ? "" : ",");
    append_quoted(service->log, key);
    g_string_append_printf(service->log,
                           ",\"execution\":%u,\"method\":\"%s\",\"path\":",
                           execution, standin_call_method(call));
    append_quoted(service->log, standin_call_path(call));
    g_string_append_c(service->log, '}');
    if (service->file != NULL) {
        fprintf(service->file, "%s\n", key);
        fflush(service->file);
    }
}

static GString *
compose_answer(const struct service *service, const char *key, guint execution,
               struct standin_call *call)
{
    GString *body = g_string_new("{\"key\":");
    size_t echo;

    standin_call_body(call, &echo);
    append_quoted(body, key);
    g_string_append_printf(body, ",\"execution\":%u,\"path\":", execution);
    append_quoted(body, standin_call_path(call));
    g_string_append_printf(body, ",\"echo\":%zu", echo);
    if (service->options.answer_bytes > body->len) {
        size_t padding = service->options.answer_bytes - body->len;

        g_string_append(body, ",\"padding\":\"");
        while (padding-- > 0) {
            g_string_append_c(body, (char)('a' + padding % 26));
        }
        g_string_append_c(body, '"');
    }
    g_string_append_c(body, '}');
    return body;
}

static void
answer_later(struct service *service, struct standin_call *call, GString *body)
{
    struct service_answer *answer = g_new0(struct service_answer, 1);

    answer->call = standin_call_ref(call);
    answer->body = body;
    answer->due = (uint64_t)g_get_monotonic_time() + service->options.delay_us;
    pthread_mutex_lock(&service->lock);
    pgw_list_append(&service->delayed, &answer->link);
    pthread_cond_signal(&service->changed);
    pthread_mutex_unlock(&service->lock);
}

static void *
run_answers(void *data)
{
    struct service *service = data;

    pthread_mutex_lock(&service->lock);
    for (;;) {
        struct pgw_list *first = pgw_list_first(&service->delayed);
        struct service_answer *answer;

        if (first == NULL) {
            pthread_cond_wait(&service->changed, &service->lock);
            continue;
        }
        answer = pgw_container_of(first, struct service_answer, link);
        if ((uint64_t)g_get_monotonic_time() < answer->due) {
            standin_cond_wait_until(&service->changed, &service->lock,
                                    answer->due);
            continue;
        }
        pgw_list_remove(first);
        standin_call_reply(answer->call, 200, answer->body);
        standin_call_unref(answer->call);
        g_free(answer);
    }
    return NULL;
}

static void
execute(struct service *service, struct standin_call *call)
{
    const char *key = standin_call_header(call, "Idempotency-Key");
    const char *crash_on = service->options.crash_on;
    GString *body;
    guint execution;

    key = key == NULL ? "" : key;
    pthread_mutex_lock(&service->lock);
    execution = count_execution(service, key);
    log_execution(service, key, execution, call);
    pthread_mutex_unlock(&service->lock);
    if (crash_on != NULL &&
        (strstr(standin_call_body(call, NULL), crash_on) != NULL ||
         strstr(standin_call_path(call), crash_on) != NULL)) {
        _exit(CRASH_STATUS);
    }
    body = compose_answer(service, key, execution, call);
    if (service->options.delay_us == 0) {
        standin_call_reply(call, 200, body);
    }
    else {
        answer_later(service, call, body);
    }
}

static void
serve_counts(struct service *service, struct standin_call *call)
{
    GString *out = g_string_new("{");
    GHashTableIter iter;
    gpointer key, count;

    pthread_mutex_lock(&service->lock);
    g_hash_table_iter_init(&iter, service->counts);
    while (g_hash_table_iter_next(&iter, &key, &count)) {
        if (out->len > 1) {
            g_string_append_c(out, ',');
        }
        append_quoted(out, key);
        g_string_append_printf(out, ":%u", GPOINTER_TO_UINT(count));
    }
    pthread_mutex_unlock(&service->lock);
    g_string_append_c(out, '}');
    standin_call_reply(call, 200, out);
}

static void
handle(struct standin_call *call, void *data)
{
    struct service *service = data;

    if (strcmp(standin_call_path(call), "/_counts") == 0) {
        serve_counts(service, call);
    }
    else if (strcmp(standin_call_path(call), "/_log") == 0) {
        pthread_mutex_lock(&service->lock);
        standin_call_replyf(call, 200, "[%s]", service->log->str);
        pthread_mutex_unlock(&service->lock);
    }
    else {
        execute(service, call);
    }
}

/* Counts of earlier runs last, so that a test can add up the executions on
 * both sides of a crash. */
static void
open_log_file(struct service *service)
{
    char *text = NULL;
    char **keys;

    if (service->options.log_file == NULL) {
        return;
    }
    if (g_file_get_contents(service->options.log_file, &text, NULL, NULL)) {
        keys = g_strsplit(text, "\n", -1);
        for (char **key = keys; key[0] != NULL && key[1] != NULL; key++) {
            count_execution(service, *key);
        }
        g_strfreev(keys);
        g_free(text);
    }
    service->file = fopen(service->options.log_file, "ae");
    if (service->file == NULL) {
        fprintf(stderr, "cannot write %s: choose another --log-file\n",
                service->options.log_file);
        exit(1);
    }
}

static void
parse_arguments(struct service_options *options, int argc, char **argv)
{
    static const struct option long_options[] = {
        {"port", required_argument, NULL, 'p'},
        {"delay-ms", required_argument, NULL, 'd'},
        {"crash-on", required_argument, NULL, 'c'},
        {"answer-bytes", required_argument, NULL, 'a'},
        {"log-file", required_argument, NULL, 'l'},
        {NULL, 0, NULL, 0},
    };
    int option;

    while ((option = getopt_long(argc, argv, "", long_options, NULL)) != -1) {
        switch (option) {
        case 'p':
            options->port = (uint16_t)g_ascii_strtoull(optarg, NULL, 10);
            break;
        case 'd':
            options->delay_us = g_ascii_strtoull(optarg, NULL, 10) * ONE_MS;
            break;
        case 'c':
            options->crash_on = optarg;
            break;
        case 'a':
            options->answer_bytes = g_ascii_strtoull(optarg, NULL, 10);
            break;
        case 'l':
            options->log_file = optarg;
            break;
        default:
            fprintf(stderr, "%s: bad option: see tests/standins/README.md\n",
                    argv[0]);
            exit(2);
        }
    }
}

int
main(int argc, char **argv)
{
    struct service service = {
        .counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
        .log = g_string_new(NULL),
    };

    standin_process_init();
    parse_arguments(&service.options, argc, argv);
    pthread_mutex_init(&service.lock, NULL);
    standin_cond_init(&service.changed);
    pgw_list_init(&service.delayed);
    open_log_file(&service);
    g_thread_unref(g_thread_new("answers", run_answers, &service));
    standin_server_run(&(struct standin_server_options){
        .port = service.options.port,
        .threads = SERVER_THREADS,
        .handle = handle,
        .data = &service,
    });
}
