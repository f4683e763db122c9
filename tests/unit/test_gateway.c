#include "gateway/request/exchange.h"
#include "scene_gateway.h"
#include "util/log.h"
#include <poll.h>
#include <string.h>
#include <unistd.h>

static void
assert_has(const char *text, const char *part)
{
    if (strstr(text, part) == NULL) {
        g_error("'%s' is missing in: %s", part, text);
    }
}

static void
assert_lacks(const char *text, const char *part)
{
    if (strstr(text, part) != NULL) {
        g_error("'%s' should not be in: %s", part, text);
    }
}

/* Reads an answer with "ok" as body and closes the caller. */
static void
expect_ok(int caller)
{
    char *answer = scene_read_until(caller, "\r\n\r\nok");

    assert_has(answer, "HTTP/1.1 200 ");
    assert_has(answer, "Server-Seal: ");
    g_free(answer);
    close(caller);
}

static void
expect_status(int caller, const char *status)
{
    char *answer = scene_read_until(caller, "}}");

    g_assert_true(g_str_has_prefix(answer, status));
    assert_lacks(answer, "Server-Seal");
    g_free(answer);
    close(caller);
}

static struct scene *
ready_scene(unsigned upstreams)
{
    struct scene *scene = scene_new(upstreams);

    scene_set_routes(scene, 5, true);
    return scene;
}

static void
test_relays_unchanged(void)
{
    struct scene *scene = ready_scene(1);
    int caller = scene_call(scene, "/once/a%20b?q=1", "id-1");
    int upstream = scene_accept(scene, 0);
    char *request = scene_read_request(upstream);

    g_assert_true(g_str_has_prefix(request, "POST /once/a%20b?q=1 HTTP/1.1"));
    assert_has(request, "\r\nTenant: parish\r\n");
    assert_has(request, "\r\nExpect-Instance: u0\r\n");
    assert_has(request, "\r\nDeadline-Ms: 1");
    assert_lacks(request, SCENE_KEY);
    g_free(request);
    scene_answer(upstream, "id-1", 200, "X-Mine: 1\r\n", "ok");
    expect_ok(caller);
    close(upstream);
    scene_free(scene);
}

static void
test_refused_before_dispatch(void)
{
    struct scene *scene = scene_new(1);

    expect_status(scene_call(scene, "/once/", "a"), "HTTP/1.1 503 ");
    scene_set_routes(scene, 5, false);
    expect_status(scene_call(scene, "/once/", "b"), "HTTP/1.1 401 ");
    expect_status(scene_call(scene, "/none/", "c"), "HTTP/1.1 404 ");
    g_assert_true(scene_has_no_connection(scene, 0));
    scene_free(scene);
}

static void
do_nothing(struct scene *scene)
{
    (void)scene;
}

/*
 * Guards against refusing a caller that connects shortly before the first
 * configuration arrives. Its connection waits and is then served.
 */
static void
test_connects_before_the_configuration(void)
{
    struct scene *scene = scene_new_with_start_pause(1);
    int caller = scene_call(scene, "/once/", "a");
    int upstream;

    /* Gives the loop turns in which it could read the request. */
    for (unsigned i = 0; i < 5; i++) {
        scene_run(scene, do_nothing);
    }
    scene_set_routes(scene, 5, true);
    upstream = scene_accept(scene, 0);
    g_free(scene_read_request(upstream));
    scene_answer(upstream, "a", 200, "", "ok");
    expect_ok(caller);
    close(upstream);
    scene_free(scene);
}

/*
 * Guards against a revoked key that works again: a copy of an older
 * configuration arrives after the one that revokes the key.
 */
static void
test_revoked_key_stays_revoked(void)
{
    struct scene *scene = ready_scene(1);

    scene_set_routes(scene, 9, false);
    scene_set_routes(scene, 5, true);
    expect_status(scene_call(scene, "/once/", "a"), "HTTP/1.1 401 ");
    scene_free(scene);
}

/*
 * An upstream answers that it did not run a request that must run at most
 * once. The request is sent to the second upstream.
 */
static void
test_not_run_is_retried(void)
{
    struct scene *scene = ready_scene(2);
    int caller = scene_call(scene, "/once/", "a");
    unsigned first;
    int first_fd = scene_accept_any(scene, &first);
    int second_fd;

    g_free(scene_read_request(first_fd));
    scene_refuse(first_fd);
    second_fd = scene_accept(scene, 1 - first);
    g_free(scene_read_request(second_fd));
    scene_answer(second_fd, "a", 200, "", "ok");
    expect_ok(caller);
    close(first_fd);
    close(second_fd);
    scene_free(scene);
}

/*
 * Another incarnation answers at an upstream's address. It did not run the
 * request, so the request goes to the next upstream. Nothing more is sent to
 * the address, although the list still names the old incarnation.
 */
static void
test_displaced_upstream_is_not_used(void)
{
    struct scene *scene = ready_scene(2);
    int caller = scene_call(scene, "/once/", "a");
    unsigned first;
    int first_fd = scene_accept_any(scene, &first);
    int second_fd;

    g_free(scene_read_request(first_fd));
    scene_send(first_fd, "HTTP/1.1 421 Other\r\nInstance-Id: i-new\r\n"
                         "Content-Length: 0\r\n\r\n");
    second_fd = scene_accept(scene, 1 - first);
    g_free(scene_read_request(second_fd));
    scene_answer(second_fd, "a", 200, "", "ok");
    expect_ok(caller);
    for (unsigned i = 0; i < 3; i++) {
        caller = scene_call(scene, "/again/", "b");
        g_free(scene_read_request(second_fd));
        scene_answer(second_fd, "b", 200, "", "ok");
        expect_ok(caller);
    }
    g_assert_true(scene_has_no_connection(scene, first));
    close(first_fd);
    close(second_fd);
    scene_free(scene);
}

/* When all upstreams answer that they did not run a request, the caller's
 * answer says so and states when to retry. */
static void
test_all_refuse(void)
{
    struct scene *scene = ready_scene(1);
    int caller = scene_call(scene, "/once/", "a");
    int upstream = scene_accept(scene, 0);
    char *answer;

    g_free(scene_read_request(upstream));
    scene_refuse(upstream);
    close(scene_call(scene, "/none/", "b")); /* other requests are served */
    answer = scene_read_until(caller, "}}");
    g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 503 "));
    assert_has(answer, "Retry-After: ");
    assert_has(answer, "\"ran\":\"no\"");
    g_free(answer);
    close(caller);
    close(upstream);
    scene_free(scene);
}

/*
 * Guards against running a request twice: the connection breaks after an
 * upstream got a request that must run at most once. The request is not
 * retried, and the caller's answer does not say that it was not run.
 */
static void
test_broken_request_is_not_retried(void)
{
    struct scene *scene = ready_scene(2);
    int caller = scene_call(scene, "/once/", "a");
    unsigned first;
    int first_fd = scene_accept_any(scene, &first);

    g_free(scene_read_request(first_fd));
    scene_reset(first_fd);
    expect_status(caller, "HTTP/1.1 502 ");
    g_assert_true(scene_has_no_connection(scene, 1 - first));
    scene_free(scene);
}

static void
test_broken_repeatable_request_is_retried(void)
{
    struct scene *scene = ready_scene(2);
    int caller = scene_call(scene, "/again/", "a");
    unsigned first;
    int first_fd = scene_accept_any(scene, &first);
    int second_fd;

    g_free(scene_read_request(first_fd));
    scene_reset(first_fd);
    second_fd = scene_accept(scene, 1 - first);
    g_free(scene_read_request(second_fd));
    scene_answer(second_fd, "a", 200, "", "ok");
    expect_ok(caller);
    close(second_fd);
    scene_free(scene);
}

/*
 * Guards against giving a caller another caller's answer: an upstream answers
 * a request twice, and the second answer arrives where the answer to the next
 * request on the connection is expected.
 */
static void
test_foreign_answer_is_dropped(void)
{
    struct scene *scene = ready_scene(1);
    int caller = scene_call(scene, "/again/", "a");
    int upstream = scene_accept(scene, 0);

    g_free(scene_read_request(upstream));
    scene_answer(upstream, "a", 200, "", "ok");
    expect_ok(caller);
    caller = scene_call(scene, "/again/", "b");
    g_free(scene_read_request(upstream));
    scene_answer(upstream, "a", 200, "", "not yours");
    scene_answer(upstream, "b", 200, "", "ok");
    expect_ok(caller);
    close(upstream);
    scene_free(scene);
}

/*
 * Bytes that belong to no request follow a complete answer. The connection is
 * closed, and the next request is sent on a new one.
 */
static void
test_extra_bytes_close_connection(void)
{
    struct scene *scene = ready_scene(1);
    int caller = scene_call(scene, "/again/", "a");
    int upstream = scene_accept(scene, 0);
    int second;

    g_free(scene_read_request(upstream));
    scene_send(upstream, "HTTP/1.1 200 X\r\nAttempt-Id: a\r\n"
                         "Server-Seal: s\r\nContent-Length: 2\r\n\r\nok"
                         "HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\nx");
    expect_ok(caller);
    caller = scene_call(scene, "/again/", "b");
    second = scene_accept(scene, 0);
    g_free(scene_read_request(second));
    scene_answer(second, "b", 200, "", "ok");
    expect_ok(caller);
    close(upstream);
    close(second);
    scene_free(scene);
}

/* A success without the field that marks an upstream's answer, for example one
 * of a proxy, is not relayed. */
static void
test_answer_not_genuine(void)
{
    struct scene *scene = ready_scene(1);
    int caller = scene_call(scene, "/once/", "a");
    int upstream = scene_accept(scene, 0);

    g_free(scene_read_request(upstream));
    scene_send(upstream, "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok");
    expect_status(caller, "HTTP/1.1 502 ");
    close(upstream);
    scene_free(scene);
}

/* A reset ends an answer without a length as incomplete. */
static void
test_reset_is_incomplete(void)
{
    struct scene *scene = ready_scene(1);
    int caller = scene_call(scene, "/once/", "a");
    int upstream = scene_accept(scene, 0);

    g_free(scene_read_request(upstream));
    scene_send(upstream, "HTTP/1.1 200 X\r\nAttempt-Id: a\r\n"
                         "Server-Seal: s\r\n\r\nhalf");
    scene_reset(upstream);
    expect_status(caller, "HTTP/1.1 502 ");
    scene_free(scene);
}

/*
 * An engine crashes within the third event of a stream. The second engine
 * resumes after event 2, and the caller gets events 1 to 4 once each and in
 * order, in one complete answer.
 */
static void
test_stream_resumes(void)
{
    struct scene *scene = ready_scene(2);
    int caller = scene_call(scene, "/flow/", "a");
    unsigned first;
    int first_fd = scene_accept_any(scene, &first);
    int second_fd;
    char *request;
    char *answer;

    g_free(scene_read_request(first_fd));
    scene_begin_stream(first_fd, "a");
    scene_chunk(first_fd, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\nda");
    g_free(scene_read_until(caller, "id: 2\ndata: x\n\n"));
    scene_reset(first_fd);
    second_fd = scene_accept(scene, 1 - first);
    request = scene_read_request(second_fd);
    assert_has(request, "\r\nLast-Event-Id: 2\r\n");
    g_free(request);
    scene_begin_stream(second_fd, "a");
    scene_chunk(second_fd, "id: 3\ndata: y\n\n");
    scene_chunk(second_fd, "id: 4\ndata: y\n\n");
    scene_send(second_fd, "0\r\n\r\n");
    answer = scene_read_until(caller, "\r\n0\r\n\r\n");
    assert_has(answer, "id: 3\ndata: y\n\n");
    assert_has(answer, "id: 4\ndata: y\n\n");
    assert_lacks(answer, "HTTP/1.1");
    assert_lacks(answer, "data: x");
    g_free(answer);
    close(caller);
    close(second_fd);
    scene_free(scene);
}

/* Sets all upstreams to last seen 1.5 s ago. */
static void
set_unresponsive(struct scene *scene)
{
    pgw_list_foreach (
        link, pgw_upstream_table_all(pgw_gateway_upstreams(scene->gateway))) {
        pgw_upstream_mark_seen(
            pgw_container_of(link, struct pgw_upstream, in_table),
            pgw_now_us() - 1500000);
    }
}

/*
 * Guards against callers that wait for suspended engines until they time out:
 * nothing closes the connections of a suspended machine. Two engines become
 * unresponsive during a stream each. The resumable stream resumes at a third
 * engine and its old connection is closed; the other stream stays where it is,
 * since it must not run twice.
 */
static void
test_unresponsive_engine(void)
{
    struct scene *scene = ready_scene(3);
    int resumable_caller = scene_call(scene, "/flow/", "a");
    int other_caller;
    unsigned first;
    unsigned second;
    int first_fd = scene_accept_any(scene, &first);
    int other;
    int second_fd;
    char *request;
    char *answer;
    char byte;

    g_free(scene_read_request(first_fd));
    scene_begin_stream(first_fd, "a");
    scene_chunk(first_fd, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
    g_free(scene_read_until(resumable_caller, "id: 2\ndata: x\n\n"));
    /* Each engine has one slot, so this request gets another engine. */
    other_caller = scene_call(scene, "/brook/", "b");
    other = scene_accept_any(scene, &second);
    g_free(scene_read_request(other));
    scene_begin_stream(other, "b");
    scene_chunk(other, "id: 1\ndata: z\n\n");
    g_free(scene_read_until(other_caller, "id: 1\ndata: z\n\n"));
    scene_run(scene, set_unresponsive);

    second_fd = scene_accept(scene, 3 - first - second);
    request = scene_read_request(second_fd);
    assert_has(request, "\r\nLast-Event-Id: 2\r\n");
    g_free(request);
    g_assert_cmpint(recv(first_fd, &byte, 1, 0), <=, 0);
    scene_begin_stream(second_fd, "a");
    scene_chunk(second_fd, "id: 3\ndata: y\n\n");
    scene_send(second_fd, "0\r\n\r\n");
    answer = scene_read_until(resumable_caller, "\r\n0\r\n\r\n");
    assert_has(answer, "id: 3\ndata: y\n\n");
    assert_lacks(answer, "HTTP/1.1");
    g_free(answer);

    scene_chunk(other, "id: 2\ndata: z\n\n");
    scene_send(other, "0\r\n\r\n");
    g_free(scene_read_until(other_caller, "id: 2\ndata: z\n\n"));
    g_assert_true(scene_has_no_connection(scene, second));
    close(other_caller);
    close(resumable_caller);
    close(first_fd);
    close(second_fd);
    close(other);
    scene_free(scene);
}

/*
 * Guards against a cancelled request that still reaches its engine. The
 * engine's machine is suspended, so only the bytes that fit into its kernel's
 * buffer are acknowledged. The caller disconnects. The connection must be
 * reset: after an ordinary close the kernel would resend the rest of the
 * request, which would run without a caller once the machine resumes.
 */
static void
test_cancelled_request_never_arrives(void)
{
    struct scene *scene = ready_scene(1);
    int min_size = 1;
    GString *body = g_string_new(NULL);
    struct pollfd polled = {.events = 0};
    char first;
    int caller;

    g_assert_cmpint(setsockopt(scene->listeners[0], SOL_SOCKET, SO_RCVBUF,
                               &min_size, sizeof(min_size)),
                    ==, 0);
    g_string_set_size(body, 1000000);
    memset(body->str, 'x', body->len);
    caller = scene_call_with_body(scene, "/flow/", "a", body->str);
    polled.fd = scene_accept(scene, 0);
    g_assert_cmpint(recv(polled.fd, &first, 1, MSG_PEEK), ==, 1);
    close(caller);
    g_assert_cmpint(poll(&polled, 1, SCENE_TIMEOUT_S * 1000), ==, 1);
    g_assert_true((polled.revents & (POLLERR | POLLHUP)) != 0);
    close(polled.fd);
    g_string_free(body, TRUE);
    scene_free(scene);
}

/* The upstream's socket in test_cancelled_between_writes(). */
static int between_writes_fd;

/* Runs on the gateway's thread, so that the gateway writes nothing between the
 * drain and the cancel. */
static void
drain_and_cancel(struct scene *scene)
{
    struct pgw_exchange *exchange = pgw_container_of(
        scene->gateway->exchanges.next, struct pgw_exchange, in_gateway);
    struct pollfd polled = {.fd = between_writes_fd, .events = POLLIN};
    char buffer[65536];

    while (poll(&polled, 1, 300) > 0) {
        g_assert_cmpint(recv(polled.fd, buffer, sizeof(buffer), 0), >, 0);
    }
    exchange->caller->owner = NULL;
    pgw_exchange_handle_caller_gone(exchange);
}

/* A request of which a part was written and acknowledged is cancelled before
 * the rest was written. The connection must be reset. */
static void
test_cancelled_between_writes(void)
{
    struct scene *scene = ready_scene(1);
    struct pollfd polled = {.events = 0};
    int min_size = 1;
    GString *body = g_string_new(NULL);
    int caller;

    g_assert_cmpint(setsockopt(scene->listeners[0], SOL_SOCKET, SO_RCVBUF,
                               &min_size, sizeof(min_size)),
                    ==, 0);
    /* Larger than the socket's buffers. */
    g_string_set_size(body, 4000000);
    memset(body->str, 'x', body->len);
    caller = scene_call_with_body(scene, "/flow/", "a", body->str);
    polled.fd = between_writes_fd = scene_accept(scene, 0);
    polled.events = POLLIN;
    g_assert_cmpint(poll(&polled, 1, SCENE_TIMEOUT_S * 1000), ==, 1);
    scene_run(scene, drain_and_cancel);
    polled.events = 0;
    g_assert_cmpint(poll(&polled, 1, SCENE_TIMEOUT_S * 1000), ==, 1);
    g_assert_true((polled.revents & (POLLERR | POLLHUP)) != 0);
    close(caller);
    close(polled.fd);
    g_string_free(body, TRUE);
    scene_free(scene);
}

/*
 * The connection of a stream that is not resumable breaks. The caller's
 * connection ends without the last chunk, which shows that the answer is
 * incomplete.
 */
static void
test_broken_stream_is_incomplete(void)
{
    struct scene *scene = ready_scene(2);
    int caller = scene_call(scene, "/brook/", "a");
    unsigned first;
    int first_fd = scene_accept_any(scene, &first);
    char *answer;

    g_free(scene_read_request(first_fd));
    scene_begin_stream(first_fd, "a");
    scene_chunk(first_fd, "id: 1\ndata: x\n\n");
    g_free(scene_read_until(caller, "id: 1\ndata: x\n\n"));
    scene_reset(first_fd);
    answer = scene_read_all(caller);
    assert_lacks(answer, "0\r\n\r\n");
    g_free(answer);
    g_assert_true(scene_has_no_connection(scene, 1 - first));
    close(caller);
    scene_free(scene);
}

/* The next upstream answers a resumed stream with an error. The caller's
 * answer must not end as if it were complete. */
static void
test_failed_resumption_is_incomplete(void)
{
    struct scene *scene = ready_scene(2);
    int caller = scene_call(scene, "/flow/", "a");
    unsigned first;
    int first_fd = scene_accept_any(scene, &first);
    int second_fd;
    char *answer;

    g_free(scene_read_request(first_fd));
    scene_begin_stream(first_fd, "a");
    scene_chunk(first_fd, "id: 1\ndata: x\n\n");
    g_free(scene_read_until(caller, "id: 1\ndata: x\n\n"));
    scene_reset(first_fd);
    second_fd = scene_accept(scene, 1 - first);
    g_free(scene_read_request(second_fd));
    scene_answer(second_fd, "a", 400, "", "no");
    answer = scene_read_all(caller);
    assert_lacks(answer, "0\r\n\r\n");
    g_free(answer);
    close(second_fd);
    close(caller);
    scene_free(scene);
}

/*
 * The caller disconnects while its request runs. A repeatable request is
 * cancelled, and its upstream sees a closed connection. A request that must
 * run at most once is left to complete.
 */
static void
test_caller_disconnects(void)
{
    struct scene *scene = ready_scene(1);
    int caller = scene_call(scene, "/again/", "a");
    int upstream = scene_accept(scene, 0);
    char *rest;

    g_free(scene_read_request(upstream));
    close(caller);
    rest = scene_read_all(upstream);
    g_assert_cmpstr(rest, ==, "");
    g_free(rest);
    close(upstream);
    caller = scene_call(scene, "/once/", "b");
    upstream = scene_accept(scene, 0);
    g_free(scene_read_request(upstream));
    close(caller);
    scene_answer(upstream, "b", 200, "", "ok");
    caller = scene_call(scene, "/once/", "c");
    g_free(scene_read_request(upstream));
    scene_answer(upstream, "c", 200, "", "ok");
    expect_ok(caller);
    close(upstream);
    scene_free(scene);
}

/* The only slot is in use and two requests are queued: "b" with the key @first
 * on @first_path, then "c" with the key @second. The free slot goes to "c". */
static void
assert_second_goes_first(const char *first, const char *first_path,
                         const char *second, const char *second_path)
{
    struct scene *scene = ready_scene(1);
    int running = scene_call(scene, "/once/", "a");
    int upstream = scene_accept(scene, 0);
    int queued_first;
    int queued_second;
    char *request;

    g_free(scene_read_request(upstream));
    queued_first = scene_call_with_key(scene, first, first_path, "b");
    /* This answer shows that the request before it was read. */
    expect_status(scene_call(scene, "/none/", "x"), "HTTP/1.1 404 ");
    queued_second = scene_call_with_key(scene, second, second_path, "c");
    expect_status(scene_call(scene, "/none/", "y"), "HTTP/1.1 404 ");
    scene_answer(upstream, "a", 200, "", "ok");
    expect_ok(running);
    request = scene_read_request(upstream);
    assert_has(request, "Attempt-Id: c\r\n");
    g_free(request);
    scene_answer(upstream, "c", 200, "", "ok");
    expect_ok(queued_second);
    g_free(scene_read_request(upstream));
    scene_answer(upstream, "b", 200, "", "ok");
    expect_ok(queued_first);
    close(upstream);
    scene_free(scene);
}

static void
test_urgent_request_goes_first(void)
{
    assert_second_goes_first(SCENE_KEY, "/once/", SCENE_KEY, "/first/");
}

/* A workspace's priority takes precedence over a route's: a request of the
 * more urgent workspace on the less urgent route is sent first. */
static void
test_urgent_workspace_goes_first(void)
{
    assert_second_goes_first(SCENE_KEY_LOW_PRIORITY, "/first/", SCENE_KEY,
                             "/once/");
}

/* Failure: one workspace has queued many prompts. A less urgent one that comes
 * later gets its share of the engine, not the end of the queue. */
static void
test_workspaces_share_engine(void)
{
    static const char *const expected[] = {"b", "e", "c", "d"};
    struct scene *scene = ready_scene(1);
    int callers[G_N_ELEMENTS(expected)];
    int running =
        scene_call_with_key_and_prompt(scene, SCENE_KEY, "/once/", "a");
    int upstream = scene_accept(scene, 0);

    g_free(scene_read_request(upstream));
    for (size_t i = 0; i < G_N_ELEMENTS(expected); i++) {
        const char id[] = {(char)('b' + i), '\0'};

        callers[i] = scene_call_with_key_and_prompt(
            scene, *id == 'e' ? SCENE_KEY_LOW_PRIORITY : SCENE_KEY, "/once/",
            id);
        /* This answer shows that the request before it was read. */
        expect_status(scene_call(scene, "/none/", "x"), "HTTP/1.1 404 ");
    }
    scene_answer(upstream, "a", 200, "", "ok");
    expect_ok(running);
    for (size_t i = 0; i < G_N_ELEMENTS(expected); i++) {
        char *request = scene_read_request(upstream);
        char *line = g_strdup_printf("Attempt-Id: %s\r\n", expected[i]);

        assert_has(request, line);
        g_free(line);
        g_free(request);
        scene_answer(upstream, expected[i], 200, "", "ok");
        expect_ok(callers[*expected[i] - 'b']);
    }
    close(upstream);
    scene_free(scene);
}

/* The route's timeout expires without an answer: the caller gets a 504 that
 * does not claim that the request has not run, and the upstream's connection
 * is closed. */
static void
test_route_timeout(void)
{
    struct scene *scene = ready_scene(1);
    int caller = scene_call(scene, "/late/", "a");
    int upstream = scene_accept(scene, 0);
    char *answer;
    char *rest;

    g_free(scene_read_request(upstream));
    answer = scene_read_until(caller, "}}");
    g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 504 "));
    assert_has(answer, "\"ran\":\"unknown\"");
    g_free(answer);
    close(caller);
    rest = scene_read_all(upstream);
    g_free(rest);
    close(upstream);
    scene_free(scene);
}

static void
begin_drain(struct scene *scene)
{
    pgw_gateway_drain(scene->gateway, 0);
}

/* During a graceful drain, running requests are answered and their connections
 * closed after the answer. */
static void
test_drain(void)
{
    struct scene *scene = ready_scene(1);
    int caller = scene_call(scene, "/once/", "a");
    int upstream = scene_accept(scene, 0);
    char *answer;

    g_free(scene_read_request(upstream));
    scene_run(scene, begin_drain);
    scene_answer(upstream, "a", 200, "", "ok");
    answer = scene_read_all(caller);
    assert_has(answer, "Connection: close\r\n");
    assert_has(answer, "\r\n\r\nok");
    g_free(answer);
    close(caller);
    close(upstream);
    scene_free(scene);
}

static void
begin_close(struct scene *scene)
{
    pgw_gateway_drain(scene->gateway, 0);
    pgw_gateway_close(scene->gateway);
}

/*
 * Guards against a request that is lost when a process stops: a graceful drain
 * begins while a stream runs whose head did not announce the end of the
 * connection. The connection must be closed after the stream, since the
 * process would end before it answers another request on it.
 */
static void
test_drain_closes_connection_after_stream(void)
{
    struct scene *scene = ready_scene(1);
    int caller = scene_call(scene, "/brook/", "a");
    int upstream = scene_accept(scene, 0);
    char *answer;

    g_free(scene_read_request(upstream));
    scene_begin_stream(upstream, "a");
    scene_chunk(upstream, "id: 1\ndata: x\n\n");
    g_free(scene_read_until(caller, "id: 1\ndata: x\n\n"));
    scene_run(scene, begin_close);
    scene_chunk(upstream, "id: 2\ndata: x\n\n");
    scene_send(upstream, "0\r\n\r\n");
    answer = scene_read_all(caller);
    g_assert_true(g_str_has_suffix(answer, "id: 2\ndata: x\n\n\r\n0\r\n\r\n"));
    g_free(answer);
    close(caller);
    close(upstream);
    scene_free(scene);
}

/*
 * An engine crashes during a stream while the only other slot is in use. The
 * stream is queued and then resumes: one head, events in order, a proper end.
 */
static void
test_resumption_is_queued(void)
{
    struct scene *scene = ready_scene(2);
    int other = scene_call(scene, "/once/", "o");
    unsigned taken;
    int busy = scene_accept_any(scene, &taken);
    int caller = scene_call(scene, "/flow/", "a");
    int first_fd = scene_accept(scene, 1 - taken);
    char *answer;

    g_free(scene_read_request(busy));
    g_free(scene_read_request(first_fd));
    scene_begin_stream(first_fd, "a");
    scene_chunk(first_fd, "id: 1\ndata: x\n\n");
    g_free(scene_read_until(caller, "id: 1\ndata: x\n\n"));
    scene_reset(first_fd);
    /* This answer shows that the loop has seen the reset. */
    expect_status(scene_call(scene, "/none/", "n"), "HTTP/1.1 404 ");
    scene_answer(busy, "o", 200, "", "ok");
    expect_ok(other);
    g_free(scene_read_request(busy));
    scene_begin_stream(busy, "a");
    scene_chunk(busy, "id: 2\ndata: y\n\n");
    scene_send(busy, "0\r\n\r\n");
    answer = scene_read_until(caller, "\r\n0\r\n\r\n");
    assert_has(answer, "id: 2\ndata: y\n\n");
    assert_lacks(answer, "HTTP/1.1");
    g_free(answer);
    close(caller);
    close(busy);
    scene_free(scene);
}

/* Crashes the upstream that gets the next request, while it runs. */
static void
crash_next_upstream(struct scene *scene)
{
    unsigned which;
    int upstream = scene_accept_any(scene, &which);

    g_free(scene_read_request(upstream));
    scene_reset(upstream);
}

/*
 * Guards against a request that crashes one upstream after another: three
 * upstreams crash while they run it, and the caller gets an unknown outcome.
 * The upstreams restart and the caller resends the request with a new id. It
 * must be refused as not run, with a long Retry-After, before it reaches an
 * upstream. Another request is served.
 */
static void
test_request_that_crashes_upstreams(void)
{
    struct scene *scene = ready_scene(3);
    int caller = scene_call(scene, "/again/", "a");
    int other;
    int upstream;
    unsigned which;
    char *answer;

    for (unsigned i = 0; i < 3; i++) {
        crash_next_upstream(scene);
    }
    expect_status(caller, "HTTP/1.1 502 ");
    scene_restart_upstreams(scene);
    caller = scene_call(scene, "/again/", "b");
    answer = scene_read_until(caller, "}}");
    assert_has(answer, "HTTP/1.1 503 ");
    assert_has(answer, "crashes_upstreams");
    assert_has(answer, "\"ran\":\"no\"");
    assert_has(answer, "Retry-After: 30.000");
    g_free(answer);
    close(caller);
    other = scene_call(scene, "/again/other", "c");
    upstream = scene_accept_any(scene, &which);
    g_free(scene_read_request(upstream));
    scene_answer(upstream, "c", 200, "", "ok");
    expect_ok(other);
    close(upstream);
    scene_free(scene);
}

/*
 * The same before the list of upstreams shows the crashes: connections of
 * another request to all three upstreams are refused.
 */
static void
test_crash_shown_by_refused_connections(void)
{
    struct scene *scene = ready_scene(3);
    int caller = scene_call(scene, "/again/", "a");
    char *answer;

    for (unsigned i = 0; i < 3; i++) {
        unsigned which;
        int upstream = scene_accept_any(scene, &which);

        g_free(scene_read_request(upstream));
        scene_stop_listening(scene, which);
        scene_reset(upstream);
    }
    expect_status(caller, "HTTP/1.1 502 ");
    expect_status(scene_call(scene, "/late/", "b"), "HTTP/1.1 503 ");
    caller = scene_call(scene, "/again/", "c");
    answer = scene_read_until(caller, "}}");
    assert_has(answer, "crashes_upstreams");
    g_free(answer);
    close(caller);
    scene_free(scene);
}

/*
 * Three upstreams crash while they run requests with the same content, but one
 * such request completes. The completed run clears the crash quarantine.
 */
static void
test_completed_run_clears_quarantine(void)
{
    struct scene *scene = ready_scene(3);
    int caller = scene_call(scene, "/again/", "a");
    int upstream;
    unsigned which;

    crash_next_upstream(scene);
    crash_next_upstream(scene);
    upstream = scene_accept_any(scene, &which);
    g_free(scene_read_request(upstream));
    for (unsigned i = 0; i < 3; i++) {
        if (i != which) {
            scene_restart_upstream(scene, i);
        }
    }
    scene_answer(upstream, "a", 200, "", "ok");
    expect_ok(caller);
    close(upstream);
    caller = scene_call(scene, "/again/", "b");
    crash_next_upstream(scene);
    upstream = scene_accept_any(scene, &which);
    g_free(scene_read_request(upstream));
    scene_answer(upstream, "b", 200, "", "ok");
    expect_ok(caller);
    close(upstream);
    scene_free(scene);
}

/*
 * Guards against callers that wait for a dead process until their deadlines:
 * an upstream's machine loses power, so nothing closes its connections.
 */
static void
test_dead_process_ends_attempts(void)
{
    struct scene *scene = scene_new_without_answer_grace(1);
    int once;
    int dead;
    int again;
    int retry;
    int successor;
    char *answer;

    scene_set_routes(scene, 5, true);
    once = scene_call(scene, "/once/", "a");
    dead = scene_accept(scene, 0);
    g_free(scene_read_request(dead));
    scene_restart_upstreams(scene);
    answer = scene_read_until(once, "}}");
    g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 502 "));
    assert_has(answer, "upstream_lost");
    assert_has(answer, "\"ran\":\"unknown\"");
    g_free(answer);
    close(once);
    again = scene_call(scene, "/again/", "b");
    retry = scene_accept(scene, 0);
    g_free(scene_read_request(retry));
    scene_restart_upstreams(scene);
    successor = scene_accept(scene, 0);
    g_free(scene_read_request(successor));
    scene_answer(successor, "b", 200, "", "ok");
    expect_ok(again);
    close(dead);
    close(retry);
    close(successor);
    scene_free(scene);
}

/* The answer of a process that arrives soon after its successor was listed is
 * delivered. */
static void
test_final_answer_is_delivered(void)
{
    struct scene *scene = ready_scene(1);
    int caller = scene_call(scene, "/once/", "a");
    int upstream = scene_accept(scene, 0);

    g_free(scene_read_request(upstream));
    scene_restart_upstreams(scene);
    scene_answer(upstream, "a", 200, "", "ok");
    expect_ok(caller);
    close(upstream);
    scene_free(scene);
}

/* Lets an upstream answer with a large body, which is returned. The caller's
 * connection ends with the answer. */
static char *
answer_with_large_body(struct scene *scene, int *caller, size_t size)
{
    char *body = g_strnfill(size, 'x');
    int upstream;

    *caller = scene_call_with_fields(scene, "/once/", "id-1",
                                     "Connection: close\r\n");
    upstream = scene_accept(scene, 0);
    g_free(scene_read_request(upstream));
    scene_answer(upstream, "id-1", 200, "", body);
    close(upstream);
    return body;
}

/* Guards against a large answer that is lost. */
static void
test_large_answer(void)
{
    struct scene *scene = ready_scene(1);
    int caller;
    char *body = answer_with_large_body(scene, &caller, 3000000);
    char *answer = scene_read_all(caller);

    g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200 "));
    g_assert_true(g_str_has_suffix(answer, body));
    g_free(answer);
    g_free(body);
    close(caller);
    scene_free(scene);
}

static unsigned request_count;

static void
count_requests(struct scene *scene)
{
    request_count = pgw_gateway_request_count(scene->gateway);
}

/* Guards against a drain that ends before a slow caller has its answer. */
static void
test_answer_counts_until_it_is_sent(void)
{
    struct scene *scene = ready_scene(1);
    int caller;

    /* More than the kernel takes of it while nobody reads. */
    g_free(answer_with_large_body(scene, &caller, 8000000));
    g_free(scene_read_until(caller, "\r\n\r\n"));
    scene_run(scene, count_requests);
    g_assert_cmpuint(request_count, ==, 1);
    g_free(scene_read_all(caller));
    do {
        scene_run(scene, count_requests);
    } while (request_count > 0);
    close(caller);
    scene_free(scene);
}

static void
refuse_rest(struct scene *scene)
{
    pgw_gateway_drain(scene->gateway, 0);
    pgw_gateway_close(scene->gateway);
    pgw_gateway_refuse_rest(scene->gateway);
}

/* Guards against callers that get no answer when the time of a stop is over:
 * one whose request runs, one in the queue, one that still sends. */
static void
test_rest_is_refused(void)
{
    struct scene *scene = ready_scene(1);
    int running = scene_call(scene, "/once/", "a");
    int upstream = scene_accept(scene, 0);
    int queued;
    int sending;
    char *answer;

    g_free(scene_read_request(upstream));
    queued = scene_call(scene, "/once/", "b");
    sending = scene_connect(scene);
    scene_send(sending, "POST /none/ HTTP/1.1\r\nHost: h.example\r\n"
                        "Expect: 100-continue\r\n"
                        "Content-Length: 10\r\n\r\n");
    g_free(scene_read_until(sending, "HTTP/1.1 100 Continue\r\n\r\n"));
    scene_run(scene, refuse_rest);
    answer = scene_read_all(running);
    g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 502 "));
    assert_has(answer, "\"ran\":\"unknown\"");
    g_free(answer);
    answer = scene_read_all(queued);
    g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 503 "));
    assert_has(answer, "\"ran\":\"no\"");
    g_free(answer);
    answer = scene_read_all(sending);
    g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 503 "));
    assert_has(answer, "\"ran\":\"no\"");
    g_free(answer);
    close(running);
    close(queued);
    close(sending);
    close(upstream);
    scene_free(scene);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    pgw_log_init("test", "", "error");
    g_test_add_func("/gateway/relays_unchanged", test_relays_unchanged);
    g_test_add_func("/gateway/refused_before_dispatch",
                    test_refused_before_dispatch);
    g_test_add_func("/gateway/revoked", test_revoked_key_stays_revoked);
    g_test_add_func("/gateway/not_run", test_not_run_is_retried);
    g_test_add_func("/gateway/displaced", test_displaced_upstream_is_not_used);
    g_test_add_func("/gateway/all_refuse", test_all_refuse);
    g_test_add_func("/gateway/broken_once",
                    test_broken_request_is_not_retried);
    g_test_add_func("/gateway/broken_again",
                    test_broken_repeatable_request_is_retried);
    g_test_add_func("/gateway/foreign_answer", test_foreign_answer_is_dropped);
    g_test_add_func("/gateway/extra_bytes_close_connection",
                    test_extra_bytes_close_connection);
    g_test_add_func("/gateway/answer_not_genuine", test_answer_not_genuine);
    g_test_add_func("/gateway/reset_is_no_end", test_reset_is_incomplete);
    g_test_add_func("/gateway/stream_resumes", test_stream_resumes);
    g_test_add_func("/gateway/unresponsive_engine", test_unresponsive_engine);
    g_test_add_func("/gateway/cancelled_request_never_arrives",
                    test_cancelled_request_never_arrives);
    g_test_add_func("/gateway/cancelled_between_writes",
                    test_cancelled_between_writes);
    g_test_add_func("/gateway/broken_stream",
                    test_broken_stream_is_incomplete);
    g_test_add_func("/gateway/failed_resumption",
                    test_failed_resumption_is_incomplete);
    g_test_add_func("/gateway/caller_leaves", test_caller_disconnects);
    g_test_add_func("/gateway/urgent_first", test_urgent_request_goes_first);
    g_test_add_func("/gateway/workspaces_share_engine",
                    test_workspaces_share_engine);
    g_test_add_func("/gateway/urgent_workspace_first",
                    test_urgent_workspace_goes_first);
    g_test_add_func("/gateway/route_timeout", test_route_timeout);
    g_test_add_func("/gateway/drain", test_drain);
    g_test_add_func("/gateway/resumption_waits", test_resumption_is_queued);
    g_test_add_func("/gateway/kept_connection",
                    test_drain_closes_connection_after_stream);
    g_test_add_func("/gateway/before_configuration",
                    test_connects_before_the_configuration);
    g_test_add_func("/gateway/crashing_request",
                    test_request_that_crashes_upstreams);
    g_test_add_func("/gateway/crashes_by_refusal",
                    test_crash_shown_by_refused_connections);
    g_test_add_func("/gateway/completed_run_clears_quarantine",
                    test_completed_run_clears_quarantine);
    g_test_add_func("/gateway/process_ended", test_dead_process_ends_attempts);
    g_test_add_func("/gateway/large_answer", test_large_answer);
    g_test_add_func("/gateway/answer_counts_until_it_is_sent",
                    test_answer_counts_until_it_is_sent);
    g_test_add_func("/gateway/rest_is_refused", test_rest_is_refused);
    g_test_add_func("/gateway/last_answer_of_a_process",
                    test_final_answer_is_delivered);
    return g_test_run();
}
