#include "gateway/request/exchange.h"
#include "gateway/request/unconfirmed_refusal.h"
#include "scene_gateway.h"
#include "util/log.h"
#include <poll.h>
#include <string.h>
#include <unistd.h>

/* Statuses by which callers send a request again that may run only once. */
static const unsigned refusals[] = {408, 429, 503};

static struct scene *
ready_scene(unsigned upstreams)
{
    struct scene *scene = scene_new(upstreams);

    scene_set_routes(scene, 5, true);
    return scene;
}

/* Reads the gateway's own answer, which must have the status and say whether
 * the request ran, and bear no seal of an upstream. */
static void
expect_own(int caller, const char *status, const char *ran)
{
    char *answer = scene_read_until(caller, "}}");

    g_assert_true(g_str_has_prefix(answer, status));
    g_assert_nonnull(strstr(answer, ran));
    g_assert_null(strstr(answer, "Server-Seal"));
    g_free(answer);
    close(caller);
}

static void
test_only_runs_at_most_once(void)
{
    static const struct pgw_route once = {.repeatable = false};
    static const struct pgw_route again = {.repeatable = true};
    static const struct pgw_route stream = {.stream = true,
                                            .repeatable = true};
    static const struct pgw_route resumable = {.stream = true,
                                               .resumable = true};

    for (size_t i = 0; i < G_N_ELEMENTS(refusals); i++) {
        g_assert_true(pgw_refusal_is_unconfirmed(&once, refusals[i]));
        g_assert_true(pgw_refusal_is_unconfirmed(&stream, refusals[i]));
        g_assert_false(pgw_refusal_is_unconfirmed(&again, refusals[i]));
        g_assert_false(pgw_refusal_is_unconfirmed(&resumable, refusals[i]));
    }
    g_assert_true(pgw_status_means_not_run(421));
    g_assert_false(pgw_refusal_is_unconfirmed(&once, 200));
    g_assert_false(pgw_refusal_is_unconfirmed(&once, 500));
    g_assert_false(pgw_refusal_is_unconfirmed(&once, 502));
    g_assert_false(pgw_refusal_is_unconfirmed(&once, 504));
}

/*
 * Guards against a caller that is told "not run" of a request that may have
 * run: its upstream answers with such a status and does not state that it did
 * not run it.
 */
static void
test_unconfirmed_is_not_relayed(void)
{
    static const char *const paths[] = {"/once/", "/brook/"};
    struct scene *scene = ready_scene(2);

    for (size_t i = 0; i < G_N_ELEMENTS(refusals); i++) {
        for (size_t p = 0; p < G_N_ELEMENTS(paths); p++) {
            int caller = scene_call(scene, paths[p], "a");
            unsigned first;
            int upstream = scene_accept_any(scene, &first);

            g_free(scene_read_request(upstream));
            scene_answer(upstream, "a", refusals[i], "Connection: close\r\n",
                         "busy");
            expect_own(caller, "HTTP/1.1 502 ", "\"ran\":\"unknown\"");
            g_assert_true(scene_has_no_connection(scene, 1 - first));
            close(upstream);
        }
    }
    scene_free(scene);
}

/* A request that may run again is sent to the other upstream, and the last
 * answer is relayed as it is. */
static void
test_repeatable_is_relayed(void)
{
    struct scene *scene = ready_scene(1);
    int caller = scene_call(scene, "/again/", "a");
    int upstream = scene_accept(scene, 0);
    char *answer;

    g_free(scene_read_request(upstream));
    scene_answer(upstream, "a", 429, "", "busy");
    answer = scene_read_until(caller, "busy");
    g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 429 "));
    g_assert_nonnull(strstr(answer, "Server-Seal: s.a"));
    g_free(answer);
    close(caller);
    close(upstream);
    scene_free(scene);
}

/* Guards against a second run after an upstream's own error: its 500, and its
 * 504 at the time limit, mean that the request ran. */
static void
test_error_counts_as_run(void)
{
    static const unsigned errors[] = {500, 504};
    struct scene *scene = ready_scene(2);

    for (size_t i = 0; i < G_N_ELEMENTS(errors); i++) {
        int caller = scene_call(scene, "/once/", "a");
        unsigned first;
        int upstream = scene_accept_any(scene, &first);
        char *status = g_strdup_printf("HTTP/1.1 %u ", errors[i]);
        char *answer;

        g_free(scene_read_request(upstream));
        scene_answer(upstream, "a", errors[i], "Connection: close\r\n",
                     "failed");
        answer = scene_read_until(caller, "failed");
        g_assert_true(g_str_has_prefix(answer, status));
        g_assert_nonnull(strstr(answer, "Server-Seal: s.a"));
        g_assert_true(scene_has_no_connection(scene, 1 - first));
        g_free(status);
        g_free(answer);
        close(caller);
        close(upstream);
    }
    scene_free(scene);
}

/*
 * Guards against a request that runs after its refusal: the upstream refuses
 * it before it has read the body. The connection is reset, so that the rest
 * never arrives.
 */
static void
test_early_refusal_ends_the_request(void)
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
    caller = scene_call_with_body(scene, "/once/", "a", body->str);
    polled.fd = scene_accept(scene, 0);
    g_free(scene_read_until(polled.fd, "\r\n\r\n"));
    scene_refuse(polled.fd);
    expect_own(caller, "HTTP/1.1 503 ", "\"ran\":\"no\"");
    g_assert_cmpint(poll(&polled, 1, SCENE_TIMEOUT_S * 1000), ==, 1);
    g_assert_true((polled.revents & (POLLERR | POLLHUP)) != 0);
    close(polled.fd);
    g_string_free(body, TRUE);
    scene_free(scene);
}

static void
limit_body_time(struct scene *scene)
{
    struct pgw_caller_limits limits = PGW_CALLER_LIMITS_INIT;

    limits.body_timeout_ms = 50;
    pgw_caller_server_set_limits(scene->gateway->server, &limits);
}

/* Guards against a request that runs after 408: its caller sends the rest of
 * the body when the time for it is over. */
static void
test_slow_body_never_runs(void)
{
    struct scene *scene = ready_scene(1);
    int caller;
    char *answer;

    scene_run(scene, limit_body_time);
    caller = scene_connect(scene);
    scene_send(caller, "POST /once/ HTTP/1.1\r\nHost: h.example\r\n"
                       "Attempt-Id: a\r\nAuthorization: Bearer " SCENE_KEY
                       "\r\nContent-Length: 4\r\n\r\nbo");
    answer = scene_read_until(caller, "}}");
    g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 408 "));
    g_free(answer);
    scene_send(caller, "dy");
    g_free(scene_read_all(caller));
    g_assert_true(scene_has_no_connection(scene, 0));
    close(caller);
    scene_free(scene);
}

/* Guards against "not run" at the time limit of a request that its upstream
 * has. */
static void
test_time_limit_of_a_run(void)
{
    struct scene *scene = ready_scene(1);
    int caller = scene_call(scene, "/late/", "a");
    int upstream = scene_accept(scene, 0);

    g_free(scene_read_request(upstream));
    expect_own(caller, "HTTP/1.1 504 ", "\"ran\":\"unknown\"");
    close(upstream);
    scene_free(scene);
}

/* Guards against a request that runs after its refusal at the time limit: it
 * was queued behind another one, which then ends. */
static void
test_time_limit_in_the_queue(void)
{
    struct scene *scene = ready_scene(1);
    int running = scene_call(scene, "/once/", "a");
    int upstream = scene_accept(scene, 0);
    int queued;

    g_free(scene_read_request(upstream));
    queued = scene_call(scene, "/late/", "b");
    expect_own(queued, "HTTP/1.1 503 ", "\"ran\":\"no\"");
    scene_answer(upstream, "a", 200, "", "ok");
    g_free(scene_read_until(running, "ok"));
    g_assert_true(scene_has_no_connection(scene, 0));
    close(running);
    close(upstream);
    scene_free(scene);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    pgw_log_init("test", "", "error");
    g_test_add_func("/unconfirmed_refusal/only_runs_at_most_once",
                    test_only_runs_at_most_once);
    g_test_add_func("/unconfirmed_refusal/is_not_relayed",
                    test_unconfirmed_is_not_relayed);
    g_test_add_func("/unconfirmed_refusal/repeatable_is_relayed",
                    test_repeatable_is_relayed);
    g_test_add_func("/unconfirmed_refusal/error_counts_as_run",
                    test_error_counts_as_run);
    g_test_add_func("/unconfirmed_refusal/early_refusal_ends_the_request",
                    test_early_refusal_ends_the_request);
    g_test_add_func("/unconfirmed_refusal/slow_body_never_runs",
                    test_slow_body_never_runs);
    g_test_add_func("/unconfirmed_refusal/time_limit_of_a_run",
                    test_time_limit_of_a_run);
    g_test_add_func("/unconfirmed_refusal/time_limit_in_the_queue",
                    test_time_limit_in_the_queue);
    return g_test_run();
}
