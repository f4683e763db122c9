#include "gateway/exchange.h"
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
test_passes_on_unchanged(void)
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
test_who_may_not_ask(void)
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
 * A caller connects before the process has its first configuration, which
 * comes right after. The caller must be served, not told to come back.
 */
static void
test_connects_before_the_configuration(void)
{
    struct scene *scene = scene_new_with_start_pause(1);
    int caller = scene_call(scene, "/once/", "a");
    int upstream;

    /* Turns of the loop in which it could have read the request. */
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
 * The caller's key is taken away and a late copy of the older configuration
 * comes afterwards. The caller must stay out: versions never go back.
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
 * The first upstream says that it did not run the call, so the second may,
 * although the call must run once. When all say so, the caller is told that it
 * has not run and when to come back.
 */
static void
test_not_run_goes_on(void)
{
    struct scene *scene = ready_scene(2);
    int caller = scene_call(scene, "/once/", "a");
    unsigned first;
    int one = scene_accept_any(scene, &first);
    int two;

    g_free(scene_read_request(one));
    scene_refuse(one);
    two = scene_accept(scene, 1 - first);
    g_free(scene_read_request(two));
    scene_answer(two, "a", 200, "", "ok");
    expect_ok(caller);
    close(one);
    close(two);
    scene_free(scene);
}

/*
 * Another incarnation answers at an upstream's address. It did not run the
 * request, so the next one gets it, and nothing more is sent to the first
 * although nobody said yet that it is gone.
 */
static void
test_displaced_upstream_is_left_alone(void)
{
    struct scene *scene = ready_scene(2);
    int caller = scene_call(scene, "/once/", "a");
    unsigned first;
    int one = scene_accept_any(scene, &first);
    int two;

    g_free(scene_read_request(one));
    scene_send(one, "HTTP/1.1 421 Other\r\nInstance-Id: i-new\r\n"
                    "Content-Length: 0\r\n\r\n");
    two = scene_accept(scene, 1 - first);
    g_free(scene_read_request(two));
    scene_answer(two, "a", 200, "", "ok");
    expect_ok(caller);
    for (unsigned i = 0; i < 3; i++) {
        caller = scene_call(scene, "/again/", "b");
        g_free(scene_read_request(two));
        scene_answer(two, "b", 200, "", "ok");
        expect_ok(caller);
    }
    g_assert_true(scene_has_no_connection(scene, first));
    close(one);
    close(two);
    scene_free(scene);
}

static void
test_all_refuse(void)
{
    struct scene *scene = ready_scene(1);
    int caller = scene_call(scene, "/once/", "a");
    int upstream = scene_accept(scene, 0);
    char *answer;

    g_free(scene_read_request(upstream));
    scene_refuse(upstream);
    close(scene_call(scene, "/none/", "b")); /* the loop serves on */
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
 * The upstream takes a call that must run once and breaks off. It may have run
 * it, so no other upstream gets it and the caller is not told "not run".
 */
static void
test_broken_call_is_not_repeated(void)
{
    struct scene *scene = ready_scene(2);
    int caller = scene_call(scene, "/once/", "a");
    unsigned first;
    int one = scene_accept_any(scene, &first);

    g_free(scene_read_request(one));
    scene_reset(one);
    expect_status(caller, "HTTP/1.1 502 ");
    g_assert_true(scene_has_no_connection(scene, 1 - first));
    scene_free(scene);
}

static void
test_broken_repeatable_call_is_repeated(void)
{
    struct scene *scene = ready_scene(2);
    int caller = scene_call(scene, "/again/", "a");
    unsigned first;
    int one = scene_accept_any(scene, &first);
    int two;

    g_free(scene_read_request(one));
    scene_reset(one);
    two = scene_accept(scene, 1 - first);
    g_free(scene_read_request(two));
    scene_answer(two, "a", 200, "", "ok");
    expect_ok(caller);
    close(two);
    scene_free(scene);
}

/*
 * One upstream answers a request twice; the second answer arrives where the
 * next request's answer is due. The next caller must get its own.
 */
static void
test_foreign_answer_is_passed_over(void)
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
 * Bytes follow a whole answer. They belong to no request: the connection is
 * not used again, and the next caller's request comes on a new one.
 */
static void
test_odd_connection_is_dropped(void)
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

/* A success that no upstream vouches for is not passed on as one. */
static void
test_answer_without_mark(void)
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

/* An answer without a length whose connection is reset is cut short. */
static void
test_reset_is_no_end(void)
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
 * An engine dies in the middle of the caller's third event. The caller sees
 * events 1 to 4 once each and in order, in one answer that ends properly: the
 * second engine goes on behind event 2.
 */
static void
test_stream_resumes(void)
{
    struct scene *scene = ready_scene(2);
    int caller = scene_call(scene, "/flow/", "a");
    unsigned first;
    int one = scene_accept_any(scene, &first);
    int two;
    char *request;
    char *answer;

    g_free(scene_read_request(one));
    scene_begin_stream(one, "a");
    scene_chunk(one, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\nda");
    g_free(scene_read_until(caller, "id: 2\ndata: x\n\n"));
    scene_reset(one);
    two = scene_accept(scene, 1 - first);
    request = scene_read_request(two);
    assert_has(request, "\r\nLast-Event-Id: 2\r\n");
    g_free(request);
    scene_begin_stream(two, "a");
    scene_chunk(two, "id: 3\ndata: y\n\n");
    scene_chunk(two, "id: 4\ndata: y\n\n");
    scene_send(two, "0\r\n\r\n");
    answer = scene_read_until(caller, "\r\n0\r\n\r\n");
    assert_has(answer, "id: 3\ndata: y\n\n");
    assert_has(answer, "id: 4\ndata: y\n\n");
    assert_lacks(answer, "HTTP/1.1");
    assert_lacks(answer, "data: x");
    g_free(answer);
    close(caller);
    close(two);
    scene_free(scene);
}

/* Nothing was heard of any upstream for 1.5 s, neither by a sidecar nor in an
 * answer. */
static void
fall_silent(struct scene *scene)
{
    pgw_list_foreach (
        link, pgw_upstream_table_all(pgw_gateway_upstreams(scene->gateway))) {
        pgw_upstream_mark_seen(
            pgw_container_of(link, struct pgw_upstream, in_table),
            pgw_now_us() - 1500000);
    }
}

/*
 * The machines of two engines are suspended in the middle of a stream each.
 * Nothing ends their connections, so without a look at who was heard of their
 * callers wait until they give up. The stream that may be resumed goes on at a
 * third engine, once and in order, and the engine that stands still finds its
 * connection closed when it wakes; the other stream is left where it is, since
 * it must not run twice.
 */
static void
test_silent_engine(void)
{
    struct scene *scene = ready_scene(3);
    int flow = scene_call(scene, "/flow/", "a");
    int brook;
    unsigned first;
    unsigned second;
    int one = scene_accept_any(scene, &first);
    int other;
    int two;
    char *request;
    char *answer;
    char byte;

    g_free(scene_read_request(one));
    scene_begin_stream(one, "a");
    scene_chunk(one, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
    g_free(scene_read_until(flow, "id: 2\ndata: x\n\n"));
    /* Each has one place, so this one is elsewhere. */
    brook = scene_call(scene, "/brook/", "b");
    other = scene_accept_any(scene, &second);
    g_free(scene_read_request(other));
    scene_begin_stream(other, "b");
    scene_chunk(other, "id: 1\ndata: z\n\n");
    g_free(scene_read_until(brook, "id: 1\ndata: z\n\n"));
    scene_run(scene, fall_silent);

    two = scene_accept(scene, 3 - first - second);
    request = scene_read_request(two);
    assert_has(request, "\r\nLast-Event-Id: 2\r\n");
    g_free(request);
    g_assert_cmpint(recv(one, &byte, 1, 0), <=, 0);
    scene_begin_stream(two, "a");
    scene_chunk(two, "id: 3\ndata: y\n\n");
    scene_send(two, "0\r\n\r\n");
    answer = scene_read_until(flow, "\r\n0\r\n\r\n");
    assert_has(answer, "id: 3\ndata: y\n\n");
    assert_lacks(answer, "HTTP/1.1");
    g_free(answer);

    scene_chunk(other, "id: 2\ndata: z\n\n");
    scene_send(other, "0\r\n\r\n");
    g_free(scene_read_until(brook, "id: 2\ndata: z\n\n"));
    g_assert_true(scene_has_no_connection(scene, second));
    close(brook);
    close(flow);
    close(one);
    close(two);
    close(other);
    scene_free(scene);
}

/*
 * The machine of an engine stands still, so that nothing of a request is
 * acknowledged beyond what its kernel can hold. The caller leaves. The rest of
 * the request must not be sent on until the machine wakes, when it would run
 * for nobody: the connection is reset.
 */
static void
test_given_up_request_never_arrives(void)
{
    struct scene *scene = ready_scene(1);
    int least = 1;
    GString *body = g_string_new(NULL);
    struct pollfd waits = {.events = 0};
    char first;
    int caller;

    g_assert_cmpint(setsockopt(scene->listeners[0], SOL_SOCKET, SO_RCVBUF,
                               &least, sizeof(least)),
                    ==, 0);
    g_string_set_size(body, 1000000);
    memset(body->str, 'x', body->len);
    caller = scene_call_with_body(scene, "/flow/", "a", body->str);
    waits.fd = scene_accept(scene, 0);
    g_assert_cmpint(recv(waits.fd, &first, 1, MSG_PEEK), ==, 1);
    close(caller);
    g_assert_cmpint(poll(&waits, 1, SCENE_TIMEOUT_S * 1000), ==, 1);
    g_assert_true((waits.revents & (POLLERR | POLLHUP)) != 0);
    close(waits.fd);
    g_string_free(body, TRUE);
    scene_free(scene);
}

/* The upstream's socket in test_given_up_between_writes(). */
static int between_writes_fd;

/* On the gateway's thread, which so cannot write more meanwhile. */
static void
drain_and_give_up(struct scene *scene)
{
    struct pgw_exchange *exchange = pgw_container_of(
        scene->gateway->exchanges.next, struct pgw_exchange, in_gateway);
    struct pollfd waits = {.fd = between_writes_fd, .events = POLLIN};
    char buffer[65536];

    while (poll(&waits, 1, 300) > 0) {
        g_assert_cmpint(recv(waits.fd, buffer, sizeof(buffer), 0), >, 0);
    }
    exchange->caller->owner = NULL;
    pgw_exchange_handle_caller_gone(exchange);
}

/* A request that is given up when all that was written of it has arrived, and
 * not all was written, must end with a reset: the rest never comes. */
static void
test_given_up_between_writes(void)
{
    struct scene *scene = ready_scene(1);
    struct pollfd waits = {.events = 0};
    int least = 1;
    GString *body = g_string_new(NULL);
    int caller;

    g_assert_cmpint(setsockopt(scene->listeners[0], SOL_SOCKET, SO_RCVBUF,
                               &least, sizeof(least)),
                    ==, 0);
    /* More than a socket's buffer takes. */
    g_string_set_size(body, 4000000);
    memset(body->str, 'x', body->len);
    caller = scene_call_with_body(scene, "/flow/", "a", body->str);
    waits.fd = between_writes_fd = scene_accept(scene, 0);
    waits.events = POLLIN;
    g_assert_cmpint(poll(&waits, 1, SCENE_TIMEOUT_S * 1000), ==, 1);
    scene_run(scene, drain_and_give_up);
    waits.events = 0;
    g_assert_cmpint(poll(&waits, 1, SCENE_TIMEOUT_S * 1000), ==, 1);
    g_assert_true((waits.revents & (POLLERR | POLLHUP)) != 0);
    close(caller);
    close(waits.fd);
    g_string_free(body, TRUE);
    scene_free(scene);
}

/*
 * A stream that may not be resumed breaks: the caller's connection ends
 * without the last chunk, so that half an answer does not look whole.
 */
static void
test_broken_stream_shows(void)
{
    struct scene *scene = ready_scene(2);
    int caller = scene_call(scene, "/brook/", "a");
    unsigned first;
    int one = scene_accept_any(scene, &first);
    char *answer;

    g_free(scene_read_request(one));
    scene_begin_stream(one, "a");
    scene_chunk(one, "id: 1\ndata: x\n\n");
    g_free(scene_read_until(caller, "id: 1\ndata: x\n\n"));
    scene_reset(one);
    answer = scene_read_all(caller);
    assert_lacks(answer, "0\r\n\r\n");
    g_free(answer);
    g_assert_true(scene_has_no_connection(scene, 1 - first));
    close(caller);
    scene_free(scene);
}

/* The next upstream answers a resumed stream with a failure of its own: that
 * must not end the caller's answer as if it were whole. */
static void
test_failed_resumption_is_no_end(void)
{
    struct scene *scene = ready_scene(2);
    int caller = scene_call(scene, "/flow/", "a");
    unsigned first;
    int one = scene_accept_any(scene, &first);
    int two;
    char *answer;

    g_free(scene_read_request(one));
    scene_begin_stream(one, "a");
    scene_chunk(one, "id: 1\ndata: x\n\n");
    g_free(scene_read_until(caller, "id: 1\ndata: x\n\n"));
    scene_reset(one);
    two = scene_accept(scene, 1 - first);
    g_free(scene_read_request(two));
    scene_answer(two, "a", 400, "", "no");
    answer = scene_read_all(caller);
    assert_lacks(answer, "0\r\n\r\n");
    g_free(answer);
    close(two);
    close(caller);
    scene_free(scene);
}

/*
 * The caller leaves while its request runs. What may be repeated is cancelled,
 * which the upstream sees as a closed connection; what must run once is left
 * to end.
 */
static void
test_caller_leaves(void)
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

/* The only place is taken and two requests wait: "b" of @first on @first_path,
 * then "c" of @second. When the place becomes free "c" gets it. */
static void
assert_second_goes_first(const char *first, const char *first_path,
                         const char *second, const char *second_path)
{
    struct scene *scene = ready_scene(1);
    int running = scene_call(scene, "/once/", "a");
    int upstream = scene_accept(scene, 0);
    int later;
    int sooner;
    char *request;

    g_free(scene_read_request(upstream));
    later = scene_call_with_key(scene, first, first_path, "b");
    /* A refusal that comes back shows that the one before it was read. */
    expect_status(scene_call(scene, "/none/", "x"), "HTTP/1.1 404 ");
    sooner = scene_call_with_key(scene, second, second_path, "c");
    expect_status(scene_call(scene, "/none/", "y"), "HTTP/1.1 404 ");
    scene_answer(upstream, "a", 200, "", "ok");
    expect_ok(running);
    request = scene_read_request(upstream);
    assert_has(request, "Attempt-Id: c\r\n");
    g_free(request);
    scene_answer(upstream, "c", 200, "", "ok");
    expect_ok(sooner);
    g_free(scene_read_request(upstream));
    scene_answer(upstream, "b", 200, "", "ok");
    expect_ok(later);
    close(upstream);
    scene_free(scene);
}

static void
test_urgent_request_goes_first(void)
{
    assert_second_goes_first(SCENE_KEY, "/once/", SCENE_KEY, "/first/");
}

/* A workspace's priority goes before a route's: what one workspace has of the
 * less urgent route goes before the urgent one of the other. */
static void
test_urgent_workspace_goes_first(void)
{
    assert_second_goes_first(SCENE_KEY_LOW_PRIORITY, "/first/", SCENE_KEY,
                             "/once/");
}

/* The route's time passes while an upstream is silent: the caller hears that
 * nothing is known, and the upstream's connection is closed. */
static void
test_route_timeout(void)
{
    struct scene *scene = ready_scene(1);
    int caller = scene_call(scene, "/late/", "a");
    int upstream = scene_accept(scene, 0);
    char *rest;

    g_free(scene_read_request(upstream));
    expect_status(caller, "HTTP/1.1 504 ");
    rest = scene_read_all(upstream);
    g_free(rest);
    close(upstream);
    scene_free(scene);
}

static void
begin_drain(struct scene *scene)
{
    pgw_gateway_drain(scene->gateway);
}

/* A planned stop: what runs is answered, and the answer ends its connection.
 */
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
    pgw_gateway_drain(scene->gateway);
    pgw_gateway_close_idle(scene->gateway);
}

/*
 * A planned stop comes while a stream runs, whose head went out before and
 * does not say that the connection will end. Once the stream has ended the
 * connection must end too: a request that came on it would be taken so late
 * that the process ends before its answer.
 */
static void
test_kept_connection_ends_with_the_stop(void)
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
 * An engine dies within a stream while the only other place is taken. The
 * stream waits, then goes on: one head, events in order, a proper end.
 */
static void
test_resumption_may_wait(void)
{
    struct scene *scene = ready_scene(2);
    int other = scene_call(scene, "/once/", "o");
    unsigned taken;
    int busy = scene_accept_any(scene, &taken);
    int caller = scene_call(scene, "/flow/", "a");
    int one = scene_accept(scene, 1 - taken);
    char *answer;

    g_free(scene_read_request(busy));
    g_free(scene_read_request(one));
    scene_begin_stream(one, "a");
    scene_chunk(one, "id: 1\ndata: x\n\n");
    g_free(scene_read_until(caller, "id: 1\ndata: x\n\n"));
    scene_reset(one);
    /* Behind this refusal the loop has seen the reset. */
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

/* The next upstream that gets the request crashes while it runs it. */
static void
crash_next(struct scene *scene)
{
    unsigned which;
    int upstream = scene_accept_any(scene, &which);

    g_free(scene_read_request(upstream));
    scene_reset(upstream);
}

/*
 * A request brings down each upstream that begins to run it: three of them die
 * with it, one after the other, and the caller is told that nobody knows. The
 * upstreams come back and the caller sends the same again, as a new attempt.
 * It must be refused as not run before it reaches a fourth, and told to stay
 * away for long; a request for something else is served.
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
        crash_next(scene);
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
 * The same, before anybody says that the upstreams are gone: another request
 * finds that nobody listens where the first one broke off, at all three.
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
 * Many callers ask for the same thing. Three upstreams crash while they run
 * it, but it ends well at another one: it does no harm, and is let through.
 */
static void
test_innocent_beside_crashes(void)
{
    struct scene *scene = ready_scene(3);
    int caller = scene_call(scene, "/again/", "a");
    int upstream;
    unsigned which;

    crash_next(scene);
    crash_next(scene);
    upstream = scene_accept_any(scene, &which);
    g_free(scene_read_request(upstream));
    scene_restart_upstreams(scene);
    scene_answer(upstream, "a", 200, "", "ok");
    expect_ok(caller);
    close(upstream);
    caller = scene_call(scene, "/again/", "b");
    crash_next(scene);
    upstream = scene_accept_any(scene, &which);
    g_free(scene_read_request(upstream));
    scene_answer(upstream, "b", 200, "", "ok");
    expect_ok(caller);
    close(upstream);
    scene_free(scene);
}

/*
 * An upstream's machine loses its power: nothing closes its connections, and
 * callers of the dead process wait until their deadlines.
 */
static void
test_process_ended(void)
{
    struct scene *scene = scene_new_without_answer_grace(1);
    int once;
    int dead;
    int again;
    int repeat;
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
    repeat = scene_accept(scene, 0);
    g_free(scene_read_request(repeat));
    scene_restart_upstreams(scene);
    successor = scene_accept(scene, 0);
    g_free(scene_read_request(successor));
    scene_answer(successor, "b", 200, "", "ok");
    expect_ok(again);
    close(dead);
    close(repeat);
    close(successor);
    scene_free(scene);
}

/* What a process had answered before its successor was listed is delivered. */
static void
test_last_answer_of_a_process(void)
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

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    pgw_log_init("test", "", "error");
    g_test_add_func("/gateway/unchanged", test_passes_on_unchanged);
    g_test_add_func("/gateway/who_may_not_ask", test_who_may_not_ask);
    g_test_add_func("/gateway/revoked", test_revoked_key_stays_revoked);
    g_test_add_func("/gateway/not_run", test_not_run_goes_on);
    g_test_add_func("/gateway/displaced",
                    test_displaced_upstream_is_left_alone);
    g_test_add_func("/gateway/all_refuse", test_all_refuse);
    g_test_add_func("/gateway/broken_once", test_broken_call_is_not_repeated);
    g_test_add_func("/gateway/broken_again",
                    test_broken_repeatable_call_is_repeated);
    g_test_add_func("/gateway/foreign_answer",
                    test_foreign_answer_is_passed_over);
    g_test_add_func("/gateway/odd_connection", test_odd_connection_is_dropped);
    g_test_add_func("/gateway/answer_without_mark", test_answer_without_mark);
    g_test_add_func("/gateway/reset_is_no_end", test_reset_is_no_end);
    g_test_add_func("/gateway/stream_resumes", test_stream_resumes);
    g_test_add_func("/gateway/silent_engine", test_silent_engine);
    g_test_add_func("/gateway/given_up_request",
                    test_given_up_request_never_arrives);
    g_test_add_func("/gateway/given_up_between_writes",
                    test_given_up_between_writes);
    g_test_add_func("/gateway/broken_stream", test_broken_stream_shows);
    g_test_add_func("/gateway/failed_resumption",
                    test_failed_resumption_is_no_end);
    g_test_add_func("/gateway/caller_leaves", test_caller_leaves);
    g_test_add_func("/gateway/urgent_first", test_urgent_request_goes_first);
    g_test_add_func("/gateway/urgent_workspace_first",
                    test_urgent_workspace_goes_first);
    g_test_add_func("/gateway/route_timeout", test_route_timeout);
    g_test_add_func("/gateway/drain", test_drain);
    g_test_add_func("/gateway/resumption_waits", test_resumption_may_wait);
    g_test_add_func("/gateway/kept_connection",
                    test_kept_connection_ends_with_the_stop);
    g_test_add_func("/gateway/before_configuration",
                    test_connects_before_the_configuration);
    g_test_add_func("/gateway/crashing_request",
                    test_request_that_crashes_upstreams);
    g_test_add_func("/gateway/crashes_by_refusal",
                    test_crash_shown_by_refused_connections);
    g_test_add_func("/gateway/innocent_beside_crashes",
                    test_innocent_beside_crashes);
    g_test_add_func("/gateway/process_ended", test_process_ended);
    g_test_add_func("/gateway/last_answer_of_a_process",
                    test_last_answer_of_a_process);
    return g_test_run();
}
