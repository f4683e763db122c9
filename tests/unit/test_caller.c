#include "gateway/http/caller.h"
#include "util/log.h"
#include "util/metric.h"
#include <arpa/inet.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CALLERS 100
#define STEP_US 2000
/* Longer than a listener takes to close. */
#define A_WHILE_US UINT64_C(200000)
/* Longest wait for an expected event; expires only when a test fails. */
#define LIMIT_US UINT64_C(20000000)

#define REQUEST "GET /a HTTP/1.1\r\nHost: h.example\r\n\r\n"
#define OK_BODY "\r\n\r\nok"

/**
 * struct fixture - a server on a loop that runs only within run_until()
 * @requests: requests received
 * @streaming: caller whose answer the test has not ended, or NULL
 * @on_request: what the test does in on_request() instead of answering
 * @is_done: when run_until() returns
 */
struct fixture {
    struct pgw_loop *loop;
    struct pgw_caller_server *server;
    struct pgw_timer step;
    uint64_t until_us;
    unsigned requests;
    struct pgw_caller *streaming;
    void (*on_request)(struct fixture *fixture, struct pgw_caller *caller);
    bool (*is_done)(struct fixture *fixture);
};

static void
answer_ok(struct pgw_caller *caller)
{
    pgw_caller_begin(caller, 200, "", 2);
    pgw_caller_write(caller, "ok", 2);
    pgw_caller_end(caller);
}

static void
on_request(struct pgw_caller *caller, void *context)
{
    struct fixture *fixture = context;

    fixture->requests++;
    if (fixture->on_request != NULL) {
        fixture->on_request(fixture, caller);
        return;
    }
    answer_ok(caller);
}

static void
on_gone(struct pgw_caller *caller, void *context)
{
    (void)caller;
    (void)context;
}

static char *
render_error(const struct pgw_caller *caller, unsigned status, void *context)
{
    (void)caller;
    (void)context;
    return g_strdup_printf("error %u", status);
}

static const struct pgw_caller_ops ops = {
    .on_request = on_request,
    .on_gone = on_gone,
    .render_error = render_error,
};

static void
step_due(struct pgw_timer *timer)
{
    struct fixture *fixture = pgw_container_of(timer, struct fixture, step);

    g_assert_cmpuint(pgw_now_us(), <, fixture->until_us);
    if (fixture->is_done(fixture)) {
        pgw_loop_stop(fixture->loop);
        return;
    }
    pgw_timer_start(fixture->loop, timer, STEP_US);
}

static void
run_until(struct fixture *fixture, bool (*is_done)(struct fixture *fixture))
{
    fixture->is_done = is_done;
    fixture->until_us = pgw_now_us() + LIMIT_US;
    pgw_timer_start(fixture->loop, &fixture->step, 0);
    pgw_loop_run(fixture->loop);
}

static bool
is_closed(struct fixture *fixture)
{
    return pgw_caller_server_is_closed(fixture->server);
}

static bool
has_one_request(struct fixture *fixture)
{
    return fixture->requests == 1;
}

static bool
has_two_requests(struct fixture *fixture)
{
    return fixture->requests == 2;
}

/* The server's timers that are due by then have run. */
static bool
has_run_for_a_while(struct fixture *fixture)
{
    return pgw_now_us() > fixture->until_us - LIMIT_US + A_WHILE_US;
}

static void
fixture_init(struct fixture *fixture)
{
    struct pgw_address any;

    memset(fixture, 0, sizeof(*fixture));
    fixture->loop = pgw_loop_new(NULL);
    fixture->step.on_due = step_due;
    g_assert_true(pgw_address_parse(&any, "127.0.0.1:0", NULL));
    fixture->server =
        pgw_caller_server_new(fixture->loop, &any, &ops, fixture, NULL);
    g_assert_nonnull(fixture->server);
}

static void
fixture_dispose(struct fixture *fixture)
{
    pgw_caller_server_free(fixture->server);
    pgw_loop_free(fixture->loop);
}

/* The kernel completes the handshake without the server. */
static int
caller_connect(const struct fixture *fixture)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
        .sin_port = htons(pgw_caller_server_port(fixture->server)),
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

/* What has arrived until the end of the connection; free it. */
static char *
caller_read_all(int fd)
{
    GString *text = g_string_new(NULL);
    struct pollfd polled = {.fd = fd, .events = POLLIN};
    char buffer[1024];
    ssize_t size;

    do {
        g_assert_cmpint(poll(&polled, 1, LIMIT_US / 1000), ==, 1);
        size = recv(fd, buffer, sizeof(buffer), 0);
        g_string_append_len(text, buffer, MAX(size, 0));
    } while (size > 0);
    return g_string_free(text, FALSE);
}

static void
assert_answered(int fd)
{
    char *answer = caller_read_all(fd);

    g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200 "));
    g_assert_true(g_str_has_suffix(answer, OK_BODY));
    g_free(answer);
    close(fd);
}

/* Guards against requests in the listen backlog that a stop resets. */
static void
test_backlog_is_answered(void)
{
    struct fixture fixture;
    int callers[CALLERS];

    fixture_init(&fixture);
    for (unsigned i = 0; i < CALLERS; i++) {
        callers[i] = caller_connect(&fixture);
        caller_send(callers[i], REQUEST);
    }
    pgw_caller_server_close(fixture.server);
    run_until(&fixture, is_closed);
    for (unsigned i = 0; i < CALLERS; i++) {
        assert_answered(callers[i]);
    }
    fixture_dispose(&fixture);
}

/* Guards against a stop that loses connections while accepting is paused. */
static void
test_paused_backlog_is_answered(void)
{
    struct fixture fixture;
    int caller;

    fixture_init(&fixture);
    pgw_caller_server_pause(fixture.server, true);
    caller = caller_connect(&fixture);
    caller_send(caller, REQUEST);
    pgw_caller_server_close(fixture.server);
    run_until(&fixture, is_closed);
    assert_answered(caller);
    fixture_dispose(&fixture);
}

/* Guards against a request on a kept connection that a stop leaves unread. */
static void
test_kept_connection_is_read(void)
{
    struct fixture fixture;
    int caller;

    fixture_init(&fixture);
    caller = caller_connect(&fixture);
    caller_send(caller, REQUEST);
    run_until(&fixture, has_one_request);
    caller_send(caller, REQUEST);
    pgw_caller_server_close(fixture.server);
    run_until(&fixture, is_closed);
    g_assert_cmpuint(fixture.requests, ==, 2);
    assert_answered(caller);
    fixture_dispose(&fixture);
}

/* Guards against a connection that is closed before its first request. */
static void
test_first_request_is_awaited(void)
{
    struct fixture fixture;
    int caller;

    fixture_init(&fixture);
    caller = caller_connect(&fixture);
    pgw_caller_server_close(fixture.server);
    run_until(&fixture, has_run_for_a_while);
    caller_send(caller, REQUEST);
    run_until(&fixture, is_closed);
    assert_answered(caller);
    fixture_dispose(&fixture);
}

/* Guards against a stop that waits for callers that send nothing. */
static void
test_silent_connection_is_closed(void)
{
    struct fixture fixture;
    char *answer;
    int caller;

    fixture_init(&fixture);
    caller = caller_connect(&fixture);
    pgw_caller_server_close(fixture.server);
    run_until(&fixture, is_closed);
    answer = caller_read_all(caller);
    g_assert_cmpstr(answer, ==, "");
    g_free(answer);
    close(caller);
    fixture_dispose(&fixture);
}

static void
begin_stream(struct fixture *fixture, struct pgw_caller *caller)
{
    fixture->streaming = caller;
    fixture->on_request = NULL;
    pgw_caller_begin(caller, 200, "", -1);
}

/* Guards against the loss of the next request on a connection whose stream
 * began before the stop and did not announce the end of the connection. */
static void
test_request_after_stream_is_answered(void)
{
    struct fixture fixture;
    int caller;

    fixture_init(&fixture);
    fixture.on_request = begin_stream;
    caller = caller_connect(&fixture);
    caller_send(caller, REQUEST);
    run_until(&fixture, has_one_request);
    pgw_caller_server_close(fixture.server);
    run_until(&fixture, has_run_for_a_while);
    pgw_caller_end(fixture.streaming);
    caller_send(caller, REQUEST);
    run_until(&fixture, is_closed);
    g_assert_cmpuint(fixture.requests, ==, 2);
    assert_answered(caller);
    fixture_dispose(&fixture);
}

static struct pgw_caller *slow_callers[2];

static void
begin_slow_stream(struct fixture *fixture, struct pgw_caller *caller)
{
    slow_callers[fixture->requests - 1] = caller;
    pgw_caller_begin(caller, 200, "", -1);
}

/* Guards against callers that stop reading, each within its own bound, and
 * together take all memory: the first of them is closed, the other stays. */
static void
test_slowest_caller_is_closed(void)
{
    static char piece[64 * 1024];
    struct fixture fixture;
    int fds[2];

    fixture_init(&fixture);
    pgw_caller_server_set_pending_bound(fixture.server, 1000000);
    fixture.on_request = begin_slow_stream;
    for (int i = 0; i < 2; i++) {
        fds[i] = caller_connect(&fixture);
        caller_send(fds[i], REQUEST);
        run_until(&fixture, i == 0 ? has_one_request : has_two_requests);
    }
    for (int i = 0; i < 2; i++) {
        while (pgw_caller_pending(slow_callers[i]) < 600000) {
            pgw_caller_write(slow_callers[i], piece, sizeof(piece));
        }
    }
    g_assert_cmpuint(pgw_caller_pending(slow_callers[0]), ==, 0);
    g_assert_cmpuint(pgw_caller_pending(slow_callers[1]), >=, 600000);
    g_free(caller_read_all(fds[0]));
    close(fds[0]);
    close(fds[1]);
    fixture_dispose(&fixture);
}

static int idle_caller;

/* Lasts until the idle timeout of the other connection, which gets a request
 * meanwhile. */
static void
outlast_idle_timeout(struct fixture *fixture, struct pgw_caller *caller)
{
    fixture->on_request = NULL;
    caller_send(idle_caller, REQUEST);
    g_usleep(60000);
    answer_ok(caller);
}

/* Guards against an idle timeout that closes a connection with a request on
 * it. */
static void
test_idle_timeout_reads_first(void)
{
    struct pgw_caller_limits limits = PGW_CALLER_LIMITS_INIT;
    struct fixture fixture;
    int caller;

    fixture_init(&fixture);
    limits.idle_timeout_ms = 50;
    pgw_caller_server_set_limits(fixture.server, &limits);
    idle_caller = caller_connect(&fixture);
    caller_send(idle_caller, REQUEST);
    run_until(&fixture, has_one_request);
    fixture.on_request = outlast_idle_timeout;
    caller = caller_connect(&fixture);
    caller_send(caller, REQUEST);
    run_until(&fixture, has_two_requests);
    g_assert_cmpuint(fixture.requests, ==, 3);
    pgw_caller_server_close(fixture.server);
    run_until(&fixture, is_closed);
    assert_answered(idle_caller);
    assert_answered(caller);
    fixture_dispose(&fixture);
}

#define LONG_ANSWER ((size_t)24 * 1024 * 1024)
/* What a slow caller reads in one turn of the server's loop. */
#define SLOW_READ ((size_t)128 * 1024)

static size_t slow_received;
static struct pgw_caller *long_caller;

static void
answer_long(struct fixture *fixture, struct pgw_caller *caller)
{
    char *body = g_malloc0(LONG_ANSWER);

    (void)fixture;
    long_caller = caller;
    pgw_caller_begin(caller, 200, "", (int64_t)LONG_ANSWER);
    pgw_caller_write(caller, body, LONG_ANSWER);
    pgw_caller_end(caller);
    g_free(body);
}

/* Reads some of the answer; returns whether it has ended. */
static bool
read_slowly(struct fixture *fixture)
{
    static char buffer[SLOW_READ];
    ssize_t received = recv(idle_caller, buffer, SLOW_READ, MSG_DONTWAIT);

    (void)fixture;
    slow_received += received > 0 ? (size_t)received : 0;
    return received == 0 || slow_received >= LONG_ANSWER;
}

static bool
is_given_up(struct fixture *fixture)
{
    return pgw_caller_server_request_count(fixture->server) == 0;
}

static void
request_long_answer(struct fixture *fixture)
{
    struct pgw_caller_limits limits = PGW_CALLER_LIMITS_INIT;

    fixture_init(fixture);
    limits.idle_timeout_ms = 50;
    pgw_caller_server_set_limits(fixture->server, &limits);
    fixture->on_request = answer_long;
    idle_caller = caller_connect(fixture);
    caller_send(idle_caller, REQUEST);
    run_until(fixture, has_one_request);
    g_assert_cmpuint(pgw_caller_pending(long_caller), >, 0);
}

/* Guards against an idle timeout that cuts an answer off which its caller
 * still reads. */
static void
test_answer_outlasts_idle_timeout(void)
{
    struct fixture fixture;

    request_long_answer(&fixture);
    slow_received = 0;
    run_until(&fixture, read_slowly);
    g_assert_cmpuint(slow_received, >=, LONG_ANSWER);
    close(idle_caller);
    fixture_dispose(&fixture);
}

/* Fits in the buffers of the kernel. */
#define SHORT_ANSWER ((size_t)128 * 1024)
#define PAUSED_READ ((size_t)4096)
#define READ_PAUSE_US 45000
/* All is read before, and the next request comes after it. */
#define RECEIPT_IDLE_MS 2000
#define NEXT_REQUEST_US UINT64_C(2600000)

static uint64_t answered_us;

static void
answer_short(struct fixture *fixture, struct pgw_caller *caller)
{
    char *body = g_malloc0(SHORT_ANSWER);

    fixture->on_request = NULL;
    pgw_caller_begin(caller, 200, "", (int64_t)SHORT_ANSWER);
    pgw_caller_write(caller, body, SHORT_ANSWER);
    pgw_caller_end(caller);
    g_assert_cmpuint(pgw_caller_pending(caller), ==, 0);
    answered_us = pgw_now_us();
    g_free(body);
}

static bool
read_with_pauses(struct fixture *fixture)
{
    static char buffer[PAUSED_READ];
    ssize_t received = recv(idle_caller, buffer, PAUSED_READ, MSG_DONTWAIT);

    (void)fixture;
    g_usleep(READ_PAUSE_US);
    slow_received += received > 0 ? (size_t)received : 0;
    return received == 0 || slow_received >= SHORT_ANSWER;
}

static bool
is_next_request_due(struct fixture *fixture)
{
    (void)fixture;
    return pgw_now_us() >= answered_us + NEXT_REQUEST_US;
}

/* Guards against an idle timeout that counts the time in which a caller reads
 * an answer out of the kernel's buffers, so that its next request is lost. */
static void
test_idle_time_begins_with_receipt(void)
{
    struct pgw_caller_limits limits = PGW_CALLER_LIMITS_INIT;
    struct fixture fixture;
    int small = 4 * PAUSED_READ;

    fixture_init(&fixture);
    limits.idle_timeout_ms = RECEIPT_IDLE_MS;
    pgw_caller_server_set_limits(fixture.server, &limits);
    fixture.on_request = answer_short;
    idle_caller = caller_connect(&fixture);
    setsockopt(idle_caller, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
    caller_send(idle_caller, REQUEST);
    run_until(&fixture, has_one_request);
    slow_received = 0;
    run_until(&fixture, read_with_pauses);
    run_until(&fixture, is_next_request_due);
    caller_send(idle_caller, REQUEST);
    run_until(&fixture, has_two_requests);
    close(idle_caller);
    fixture_dispose(&fixture);
}

/* Guards against a connection that stays open for good because its caller
 * reads nothing. */
static void
test_caller_that_reads_nothing_is_closed(void)
{
    struct fixture fixture;

    request_long_answer(&fixture);
    run_until(&fixture, is_given_up);
    close(idle_caller);
    fixture_dispose(&fixture);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    pgw_log_init("test", "", "error");
    g_test_add_func("/caller/slowest_is_closed",
                    test_slowest_caller_is_closed);
    g_test_add_func("/caller/backlog_is_answered", test_backlog_is_answered);
    g_test_add_func("/caller/paused_backlog_is_answered",
                    test_paused_backlog_is_answered);
    g_test_add_func("/caller/kept_connection_is_read",
                    test_kept_connection_is_read);
    g_test_add_func("/caller/first_request_is_awaited",
                    test_first_request_is_awaited);
    g_test_add_func("/caller/silent_connection_is_closed",
                    test_silent_connection_is_closed);
    g_test_add_func("/caller/request_after_stream_is_answered",
                    test_request_after_stream_is_answered);
    g_test_add_func("/caller/idle_timeout_reads_first",
                    test_idle_timeout_reads_first);
    g_test_add_func("/caller/idle_time_begins_with_receipt",
                    test_idle_time_begins_with_receipt);
    g_test_add_func("/caller/answer_outlasts_idle_timeout",
                    test_answer_outlasts_idle_timeout);
    g_test_add_func("/caller/reads_nothing_is_closed",
                    test_caller_that_reads_nothing_is_closed);
    return g_test_run();
}
