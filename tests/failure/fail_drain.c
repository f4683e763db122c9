/*
 * An instance is replaced: its entry or sidecar gets SIGTERM while callers
 * read their streams. Each of them sees its answer to the last token; who
 * comes new is told "leaving", not run (by the entry), or is served by another
 * upstream (behind a leaving sidecar). The process then ends with status 0.
 */
#include <arpa/inet.h>
#include <pthread.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "harness_fleet.h"

#define CALLERS 24
#define TOKENS 150
#define LIMIT_S 60

static struct fleet_caller *callers[CALLERS];
static char *prompts[CALLERS];

static void
start_callers(struct fleet *fleet)
{
    for (unsigned i = 0; i < CALLERS; i++) {
        prompts[i] = g_strdup_printf("guide\n---\nquestion %u", i);
        callers[i] = fleet_caller_start(fleet->entries[0], prompts[i], TOKENS);
    }
    for (unsigned i = 0; i < CALLERS; i++) {
        fleet_caller_wait_begun(callers[i], 500);
    }
}

static void
assert_all_whole(struct fleet *fleet)
{
    for (unsigned i = 0; i < CALLERS; i++) {
        struct harness_stream stream;
        char *expected;

        g_assert_cmpint(fleet_caller_finish(callers[i], &stream), ==, 200);
        if (!stream.done) {
            g_error("cut short: %s", stream.error);
        }
        expected = fleet_expected(fleet, prompts[i], TOKENS);
        g_assert_cmpstr(stream.text->str, ==, expected);
        harness_stream_dispose(&stream);
        g_free(expected);
        g_free(prompts[i]);
    }
}

static bool
entry_leaves(void *data)
{
    struct harness_answer answer;
    long status = harness_get(&answer, data);

    harness_answer_dispose(&answer);
    return status == 503;
}

/* Refused from the moment at which it leaves until its port closes. */
static void
assert_new_work_refused(struct harness_process *entry)
{
    char *body = fleet_body("too late", 5);
    struct harness_answer answer;

    g_assert_true(harness_wait_until(
        entry_leaves, (void *)harness_process_url(entry, "/readyz"), LIMIT_S));
    for (unsigned i = 0; i < 20; i++) {
        char *connection;

        fleet_call(&answer, entry, "/v1/completions",
                   &(struct harness_call){.body = body});
        fleet_assert_refusal(&answer, 503, "leaving", "no");
        connection = harness_answer_header(&answer, "Connection");
        g_assert_cmpstr(connection, ==, "close");
        g_free(connection);
        harness_answer_dispose(&answer);
    }
    g_free(body);
}

static void
test_entry(void)
{
    struct fleet_options options = FLEET_OPTIONS_INIT;
    struct fleet *fleet = fleet_new(&options);

    start_callers(fleet);
    harness_process_signal(fleet->entries[0], SIGTERM);
    assert_new_work_refused(fleet->entries[0]);
    assert_all_whole(fleet);
    g_assert_cmpint(harness_process_wait(fleet->entries[0]), ==, 0);
    fleet_free(fleet);
}

/* A caller that never reads holds its stream beyond the drain timeout: the
 * stop does not wait for ever, and does not end in an abort. */
static void
test_entry_gives_up(void)
{
    struct fleet_options options = FLEET_OPTIONS_INIT;
    struct fleet *fleet;
    struct harness_stream stream;

    options.entry_settings = ",\"drain_timeout_ms\":300";
    fleet = fleet_new(&options);
    callers[0] = fleet_caller_start(fleet->entries[0], "long", 4000);
    fleet_caller_wait_begun(callers[0], 500);
    g_assert_cmpint(harness_process_stop(fleet->entries[0], SIGTERM), ==, 0);
    g_assert_cmpint(fleet_caller_finish(callers[0], &stream), ==, 200);
    g_assert_false(stream.done);
    g_assert_nonnull(stream.error);
    g_assert_nonnull(strstr(stream.error, "\"ran\":\"yes\""));
    harness_stream_dispose(&stream);
    fleet_free(fleet);
}

static bool
is_reading(void *data)
{
    return fleet_status_int(data, "reading") == 1;
}

/* A body that is half sent when the stop begins gets its answer, too. */
static void
test_entry_body_on_its_way(void)
{
    struct fleet_options options = FLEET_OPTIONS_INIT;
    struct fleet *fleet = fleet_new(&options);
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
        .sin_port = htons(harness_process_port(fleet->entries[0])),
    };
    const char *head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                       "Content-Length: 6\r\n"
                       "Authorization: Bearer " FLEET_KEY "\r\n\r\n{  ";
    char answer[2048] = "";
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    g_assert_cmpint(connect(fd, (struct sockaddr *)&address, sizeof(address)),
                    ==, 0);
    g_assert_cmpint(send(fd, head, strlen(head), 0), ==,
                    (ssize_t)strlen(head));
    g_assert_true(harness_wait_until(is_reading, fleet->entries[0], LIMIT_S));
    harness_process_signal(fleet->entries[0], SIGTERM);
    /* Longer than the process stays in any case. */
    g_usleep(1500000);
    g_assert_cmpint(send(fd, "  }", 3, MSG_NOSIGNAL), ==, 3);
    g_assert_cmpint(recv(fd, answer, sizeof(answer) - 1, 0), >, 0);
    g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 503"));
    g_assert_nonnull(strstr(answer, "\"ran\":\"no\""));
    close(fd);
    g_assert_cmpint(harness_process_wait(fleet->entries[0]), ==, 0);
    fleet_free(fleet);
}

struct print {
    struct harness_process *entry;
    const char *key;
    struct harness_answer answer;
};

static void *
print_main(void *data)
{
    struct print *print = data;
    char *key = g_strconcat("Idempotency-Key: ", print->key, NULL);
    const char *headers[] = {key, NULL};

    fleet_call(
        &print->answer, print->entry, "/svc/print/labels",
        &(struct harness_call){.body = "peanut free", .headers = headers});
    g_free(key);
    return NULL;
}

static bool
has_run(void *data)
{
    return fleet_status_int(data, "running") > 0;
}

static void
test_sidecar(void)
{
    static const char *const delay[] = {"--delay-ms", "1500", NULL};
    struct fleet_options options = FLEET_OPTIONS_INIT;
    struct fleet *fleet;
    struct harness_stream stream;
    struct print print;
    pthread_t printer;

    options.service = true;
    options.service_args = delay;
    fleet = fleet_new(&options);
    start_callers(fleet);
    print.entry = fleet->entries[0];
    print.key = "tray-1";
    g_assert_cmpint(pthread_create(&printer, NULL, print_main, &print), ==, 0);
    g_assert_true(harness_wait_until(has_run, fleet->sidecars[2], LIMIT_S));
    harness_process_signal(fleet->sidecars[0], SIGTERM);
    harness_process_signal(fleet->sidecars[2], SIGTERM);
    for (unsigned i = 0; i < 5; i++) {
        fleet_ask(&stream, fleet->entries[0], "new work", 5);
        g_assert_true(stream.done);
        harness_stream_dispose(&stream);
    }
    assert_all_whole(fleet);
    pthread_join(printer, NULL);
    g_assert_cmpint(print.answer.status, ==, 200);
    harness_answer_dispose(&print.answer);
    g_assert_cmpint(harness_process_wait(fleet->sidecars[0]), ==, 0);
    g_assert_cmpint(harness_process_wait(fleet->sidecars[2]), ==, 0);
    /* Nobody had to be rescued elsewhere. */
    g_assert_cmpfloat(fleet_metric(fleet->entries[0], "pgw_resumes_total"), ==,
                      0);
    fleet_free(fleet);
}

static bool
has_waiting(void *data)
{
    return fleet_status_int(data, "waiting") > 0;
}

/* Stops a process while one call runs and one waits behind it; the second
 * could begin in time and would be cut. */
static void
stop_with_queue(bool is_entry)
{
    static const char *const delay[] = {"--delay-ms", "3000", NULL};
    struct fleet_options options = FLEET_OPTIONS_INIT;
    struct fleet *fleet;
    struct harness_process *stopped;
    struct print prints[] = {{.key = "tray-1"}, {.key = "tray-2"}};
    pthread_t printers[G_N_ELEMENTS(prints)];

    options.engines = 1;
    options.service = true;
    options.service_args = delay;
    options.entry_settings = ",\"drain_timeout_ms\":5000";
    options.sidecar_settings = ",\"max_running\":1,\"drain_timeout_ms\":5000";
    fleet = fleet_new(&options);
    stopped = is_entry ? fleet->entries[0] : fleet->sidecars[1];
    for (unsigned i = 0; i < G_N_ELEMENTS(prints); i++) {
        prints[i].entry = fleet->entries[0];
        g_assert_cmpint(
            pthread_create(&printers[i], NULL, print_main, &prints[i]), ==, 0);
        g_assert_true(harness_wait_until(i == 0 ? has_run : has_waiting,
                                         fleet->sidecars[1], LIMIT_S));
    }
    harness_process_signal(stopped, SIGTERM);
    for (unsigned i = 0; i < G_N_ELEMENTS(prints); i++) {
        pthread_join(printers[i], NULL);
    }
    g_assert_cmpint(prints[0].answer.status, ==, 200);
    fleet_assert_refusal(&prints[1].answer, 503, "leaving", "no");
    harness_answer_dispose(&prints[0].answer);
    harness_answer_dispose(&prints[1].answer);
    g_assert_cmpint(harness_process_wait(stopped), ==, 0);
    fleet_free(fleet);
}

/* Guards against calls that wait in a stopping sidecar, begin late and are cut
 * with an unknown outcome. */
static void
test_sidecar_queue(void)
{
    stop_with_queue(false);
}

/* Guards against calls of a stopping entry that wait at a sidecar, begin late
 * and are cut with an unknown outcome. */
static void
test_entry_queue(void)
{
    stop_with_queue(true);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/drain/entry", test_entry);
    g_test_add_func("/drain/entry-gives-up", test_entry_gives_up);
    g_test_add_func("/drain/entry-body-on-its-way",
                    test_entry_body_on_its_way);
    g_test_add_func("/drain/sidecar", test_sidecar);
    g_test_add_func("/drain/sidecar-queue", test_sidecar_queue);
    g_test_add_func("/drain/entry-queue", test_entry_queue);
    return g_test_run();
}
