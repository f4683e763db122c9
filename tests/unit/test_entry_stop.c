#include "entry/entry.h"
#include "entry/http.h"
#include "util/log.h"
#include <arpa/inet.h>
#include <glib/gstdio.h>
#include <microhttpd.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Longest wait for an expected event; expires only when a test fails. */
#define LIMIT_MS 20000
/* Longer than an entry without requests takes to stop. */
#define STOP_US 1500000

/**
 * struct gate - holds answers back between the handler and the HTTP server
 * @closed: answers wait
 * @held: how many do
 */
static struct gate {
    pthread_mutex_t lock;
    pthread_cond_t cond;
    bool closed;
    unsigned held;
} gate = {
    .lock = PTHREAD_MUTEX_INITIALIZER,
    .cond = PTHREAD_COND_INITIALIZER,
};

enum MHD_Result __real_MHD_queue_response(struct MHD_Connection *connection,
                                          unsigned status,
                                          struct MHD_Response *response);
enum MHD_Result __wrap_MHD_queue_response(struct MHD_Connection *connection,
                                          unsigned status,
                                          struct MHD_Response *response);

/* The linker puts this in the place of the library's function. */
enum MHD_Result
__wrap_MHD_queue_response(struct MHD_Connection *connection, unsigned status,
                          struct MHD_Response *response)
{
    pthread_mutex_lock(&gate.lock);
    gate.held++;
    pthread_cond_broadcast(&gate.cond);
    while (gate.closed) {
        pthread_cond_wait(&gate.cond, &gate.lock);
    }
    gate.held--;
    pthread_mutex_unlock(&gate.lock);
    return __real_MHD_queue_response(connection, status, response);
}

static void
gate_set(bool closed)
{
    pthread_mutex_lock(&gate.lock);
    gate.closed = closed;
    pthread_cond_broadcast(&gate.cond);
    pthread_mutex_unlock(&gate.lock);
}

static void
gate_wait_held(void)
{
    pthread_mutex_lock(&gate.lock);
    while (gate.held == 0) {
        pthread_cond_wait(&gate.cond, &gate.lock);
    }
    pthread_mutex_unlock(&gate.lock);
}

/**
 * struct fixture - an entry without a configuration, run as its program does
 * @thread: ends when the entry has stopped
 */
struct fixture {
    struct pgw_entry_settings *settings;
    struct entry *entry;
    struct http *http;
    pthread_t thread;
    struct pgw_task drain;
};

static void *
serve(void *data)
{
    struct fixture *fixture = data;

    pgw_loop_run(fixture->entry->loop);
    entry_finish(fixture->entry);
    http_stop(fixture->http);
    return NULL;
}

static void
fixture_init(struct fixture *fixture, const char *more)
{
    char *path = NULL;
    int fd = g_file_open_tmp("entry-XXXXXX.json", &path, NULL);
    char *text = g_strdup_printf(
        "{\"instance\":\"e\",\"zone\":\"a\",\"listen\":\"127.0.0.1:0\","
        "\"admin_listen\":\"127.0.0.1:0\",\"seeds\":[],"
        "\"store_url\":\"http://127.0.0.1:1\"%s}",
        more);
    GError *error = NULL;

    g_assert_cmpint(fd, >=, 0);
    close(fd);
    g_assert_true(g_file_set_contents(path, text, -1, NULL));
    pgw_entry_settings_load(&fixture->settings, path, &error);
    g_assert_no_error(error);
    fixture->entry = entry_new(fixture->settings, &error);
    g_assert_no_error(error);
    fixture->http = http_start(fixture->entry, &error);
    g_assert_no_error(error);
    g_assert_cmpint(pthread_create(&fixture->thread, NULL, serve, fixture), ==,
                    0);
    g_remove(path);
    g_free(path);
    g_free(text);
}

static void
fixture_dispose(struct fixture *fixture)
{
    pthread_join(fixture->thread, NULL);
    entry_free(fixture->entry);
    pgw_entry_settings_free(fixture->settings);
}

static void
drain_run(struct pgw_task *task)
{
    struct fixture *fixture = pgw_container_of(task, struct fixture, drain);

    entry_drain(fixture->entry);
}

static void
begin_stop(struct fixture *fixture)
{
    fixture->drain.run = drain_run;
    pgw_loop_post(fixture->entry->loop, &fixture->drain);
}

static int
caller_connect(const struct fixture *fixture)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
        .sin_port = htons(http_port(fixture->http)),
    };
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    g_assert_cmpint(connect(fd, (struct sockaddr *)&address, sizeof(address)),
                    ==, 0);
    return fd;
}

static void
caller_send(int fd, const char *text)
{
    g_assert_cmpint(send(fd, text, strlen(text), MSG_NOSIGNAL), ==,
                    (ssize_t)strlen(text));
}

static void
assert_refused(int fd)
{
    struct pollfd polled = {.fd = fd, .events = POLLIN};
    char answer[2048];
    ssize_t size;

    g_assert_cmpint(poll(&polled, 1, LIMIT_MS), ==, 1);
    size = recv(fd, answer, sizeof(answer) - 1, 0);
    g_assert_cmpint(size, >, 0);
    answer[size] = '\0';
    g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 503 "));
    g_assert_nonnull(strstr(answer, "\"ran\":\"no\""));
    close(fd);
}

static void
wait_reading(struct fixture *fixture)
{
    while (atomic_load(&fixture->entry->reading) == 0) {
        g_usleep(1000);
    }
}

#define HEAD                                                                  \
    "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n"

/* Guards against a stop that ends between the refusal of a request and the
 * sending of the refusal. */
static void
test_refusal_on_its_way(void)
{
    struct fixture fixture;
    int caller;

    fixture_init(&fixture, "");
    caller = caller_connect(&fixture);
    caller_send(caller, HEAD "{");
    wait_reading(&fixture);
    begin_stop(&fixture);
    gate_set(true);
    caller_send(caller, "}");
    gate_wait_held();
    g_usleep(STOP_US);
    gate_set(false);
    assert_refused(caller);
    fixture_dispose(&fixture);
}

/* Guards against a request that has arrived in part when the time to stop is
 * over, and is closed without an answer. */
static void
assert_incomplete_is_refused(const char *part)
{
    struct fixture fixture;
    int caller;

    fixture_init(&fixture, ",\"drain_timeout_ms\":300");
    caller = caller_connect(&fixture);
    caller_send(caller, part);
    begin_stop(&fixture);
    assert_refused(caller);
    fixture_dispose(&fixture);
}

static void
test_incomplete_body(void)
{
    assert_incomplete_is_refused(HEAD "{");
}

static void
test_incomplete_head(void)
{
    assert_incomplete_is_refused("POST /v1/completions HTTP/1.1\r\nHost:");
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    pgw_log_init("test", "", "error");
    g_test_add_func("/entry_stop/refusal_on_its_way", test_refusal_on_its_way);
    g_test_add_func("/entry_stop/incomplete_body", test_incomplete_body);
    g_test_add_func("/entry_stop/incomplete_head", test_incomplete_head);
    return g_test_run();
}
