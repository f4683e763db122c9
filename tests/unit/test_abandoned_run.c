#include "scene_gateway.h"

#include "util/log.h"
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static struct scene *
ready_scene(void)
{
    struct scene *scene = scene_new_with_crash_gap(SCENE_UPSTREAMS);

    scene_set_routes(scene, 1, true);
    return scene;
}

#define NO_REUSE "Connection: close\r\n"

static void
expect(int caller, const char *text)
{
    char *answer = scene_read_all(caller);

    if (strstr(answer, text) == NULL) {
        g_error("no '%s' in: %s", text, answer);
    }
    g_free(answer);
    close(caller);
}

/* Waits until the gateway has closed a connection to an upstream. */
static void
wait_closed(int upstream)
{
    char *rest = scene_read_all(upstream);

    g_free(rest);
    close(upstream);
}

/* One request runs at each upstream. */
static void
run_everywhere(struct scene *scene, const char *path, int *callers,
               int *upstreams)
{
    static const char *const ids[] = {"a", "b", "c"};

    for (unsigned i = 0; i < SCENE_UPSTREAMS; i++) {
        unsigned which;

        callers[i] = scene_call_with_fields(scene, path, ids[i], NO_REUSE);
        upstreams[i] = scene_accept_any(scene, &which);
        g_free(scene_read_request(upstreams[i]));
    }
}

/* The gateway gives the runs up: its callers leave, or wait no longer. */
static void
abandon_all(struct scene *scene, const char *path, bool callers_leave)
{
    int callers[SCENE_UPSTREAMS];
    int upstreams[SCENE_UPSTREAMS];

    run_everywhere(scene, path, callers, upstreams);
    for (unsigned i = 0; i < SCENE_UPSTREAMS && callers_leave; i++) {
        close(callers[i]);
    }
    for (unsigned i = 0; i < SCENE_UPSTREAMS; i++) {
        wait_closed(upstreams[i]);
    }
    for (unsigned i = 0; i < SCENE_UPSTREAMS && !callers_leave; i++) {
        expect(callers[i], "HTTP/1.1 504 ");
    }
}

/* Of two requests with the same body one runs, and its crash refuses both. */
static void
expect_one_run(struct scene *scene, const char *path)
{
    unsigned which;
    int callers[2];
    int upstream;

    callers[0] = scene_call_with_fields(scene, path, "d", NO_REUSE);
    upstream = scene_accept_any(scene, &which);
    g_free(scene_read_request(upstream));
    callers[1] = scene_call_with_fields(scene, path, "e", NO_REUSE);
    scene_reset(upstream);
    expect(callers[0], "HTTP/1.1 502 ");
    expect(callers[1], "crashes_upstreams");
    for (unsigned i = 0; i < SCENE_UPSTREAMS; i++) {
        g_assert_true(scene->stopped[i] || scene_has_no_connection(scene, i));
    }
}

/* Guards against a request that crashes upstreams just after its callers left,
 * and that nothing is held against. */
static void
test_callers_leave_before_crash(void)
{
    struct scene *scene = ready_scene();

    abandon_all(scene, "/again/", true);
    scene_restart_upstreams(scene);
    expect_one_run(scene, "/again/");
    scene_free(scene);
}

/* Guards against the same with streams. */
static void
test_stream_callers_leave_before_crash(void)
{
    struct scene *scene = ready_scene();

    abandon_all(scene, "/flow/", true);
    scene_restart_upstreams(scene);
    expect_one_run(scene, "/flow/");
    scene_free(scene);
}

/* Guards against the same with runs that end at their deadline. */
static void
test_deadline_before_crash(void)
{
    struct scene *scene = ready_scene();

    abandon_all(scene, "/brisk/", false);
    scene_restart_upstreams(scene);
    expect_one_run(scene, "/brisk/");
    scene_free(scene);
}

/* Guards against the same with runs that are sent to another upstream after
 * the response timeout. */
static void
test_response_timeout_before_crash(void)
{
    struct scene *scene = ready_scene();
    int callers[2];
    int upstreams[SCENE_UPSTREAMS];
    unsigned which;

    callers[0] = scene_call_with_fields(scene, "/quick/", "a", NO_REUSE);
    upstreams[0] = scene_accept_any(scene, &which);
    g_free(scene_read_request(upstreams[0]));
    scene_stop_listening(scene, which);
    wait_closed(upstreams[0]);
    for (unsigned i = 1; i < SCENE_UPSTREAMS; i++) {
        upstreams[i] = scene_accept_any(scene, &which);
        g_free(scene_read_request(upstreams[i]));
        if (i == 1) {
            callers[1] =
                scene_call_with_fields(scene, "/quick/", "b", NO_REUSE);
        }
    }
    close(callers[0]);
    close(callers[1]);
    wait_closed(upstreams[1]);
    wait_closed(upstreams[2]);
    scene_restart_upstreams(scene);
    expect_one_run(scene, "/quick/");
    scene_free(scene);
}

/* Guards against the same with runs that are given up at an answer that is not
 * genuine. */
static void
test_false_answer_before_crash(void)
{
    struct scene *scene = ready_scene();
    int callers[SCENE_UPSTREAMS];
    int upstreams[SCENE_UPSTREAMS];

    run_everywhere(scene, "/once/", callers, upstreams);
    for (unsigned i = 0; i < SCENE_UPSTREAMS; i++) {
        scene_send(upstreams[i],
                   "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        wait_closed(upstreams[i]);
        expect(callers[i], "HTTP/1.1 502 ");
    }
    scene_restart_upstreams(scene);
    expect_one_run(scene, "/once/");
    scene_free(scene);
}

/* Guards against slow requests that wait for each other though no upstream has
 * crashed. */
static void
test_slow_requests_run_together(void)
{
    struct scene *scene = ready_scene();
    int callers[SCENE_UPSTREAMS];
    int upstreams[SCENE_UPSTREAMS];

    for (unsigned round = 0; round < 3; round++) {
        abandon_all(scene, "/again/", true);
    }
    run_everywhere(scene, "/again/", callers, upstreams);
    for (unsigned i = 0; i < SCENE_UPSTREAMS; i++) {
        scene_answer(upstreams[i],
                     i == 0   ? "a"
                     : i == 1 ? "b"
                              : "c",
                     200, "", "ok");
        expect(callers[i], "HTTP/1.1 200 ");
        close(upstreams[i]);
    }
    scene_free(scene);
}

/* The request crashes all upstreams, and is a suspect afterwards. */
static void
make_suspect(struct scene *scene, const char *path)
{
    int callers[SCENE_UPSTREAMS];
    int upstreams[SCENE_UPSTREAMS];

    run_everywhere(scene, path, callers, upstreams);
    for (unsigned i = 0; i < SCENE_UPSTREAMS; i++) {
        close(callers[i]);
        wait_closed(upstreams[i]);
    }
    scene_restart_upstreams(scene);
}

/* Guards against suspects that are never tried, and so never cleared, since
 * their callers wait for less time than a claim takes. */
static void
test_suspect_with_little_time_is_tried(void)
{
    struct scene *scene = ready_scene();
    int callers[SCENE_UPSTREAMS];
    int upstreams[SCENE_UPSTREAMS];
    unsigned which;

    run_everywhere(scene, "/late/", callers, upstreams);
    for (unsigned i = 0; i < SCENE_UPSTREAMS; i++) {
        scene_reset(upstreams[i]);
        expect(callers[i], "HTTP/1.1 502 ");
    }
    scene_restart_upstreams(scene);
    callers[0] = scene_call_with_fields(scene, "/late/", "d", NO_REUSE);
    upstreams[0] = scene_accept_any(scene, &which);
    g_free(scene_read_request(upstreams[0]));
    scene_answer(upstreams[0], "d", 200, "", "ok");
    expect(callers[0], "HTTP/1.1 200 ");
    close(upstreams[0]);
    scene_free(scene);
}

/* Guards against a trial that runs at two upstreams, since its entry sent it
 * to the next one before the first had answered. */
static void
test_trial_stays_at_its_upstream(void)
{
    struct scene *scene = ready_scene();
    struct pollfd closed = {.events = POLLIN};
    unsigned which;
    int caller;

    make_suspect(scene, "/quick/");
    caller = scene_call_with_fields(scene, "/quick/", "d", NO_REUSE);
    closed.fd = scene_accept_any(scene, &which);
    g_free(scene_read_request(closed.fd));
    g_assert_cmpint(poll(&closed, 1, 1500), ==, 0);
    scene_answer(closed.fd, "d", 200, "", "ok");
    expect(caller, "HTTP/1.1 200 ");
    close(closed.fd);
    scene_free(scene);
}

/* The caller of a trial leaves, and then all upstreams crash. */
static void
abandon_trial(struct scene *scene, const char *id)
{
    int caller = scene_call_with_fields(scene, "/again/", id, NO_REUSE);
    unsigned which;
    int upstream = scene_accept_any(scene, &which);

    g_free(scene_read_request(upstream));
    close(caller);
    wait_closed(upstream);
    scene_restart_upstreams(scene);
}

/* Guards against a request that crashes one upstream after the other, since
 * the callers of its trials leave before the crash. */
static void
test_trial_fails_after_its_caller_left(void)
{
    struct scene *scene = ready_scene();

    make_suspect(scene, "/again/");
    abandon_trial(scene, "d");
    abandon_trial(scene, "e");
    expect(scene_call_with_fields(scene, "/again/", "f", NO_REUSE),
           "crashes_upstreams");
    for (unsigned i = 0; i < SCENE_UPSTREAMS; i++) {
        g_assert_true(scene_has_no_connection(scene, i));
    }
    scene_free(scene);
}

/* Guards against a slow request that is refused for a minute, since the
 * upstreams lost power after the caller of its trial had left. */
static void
test_slow_trial_before_power_loss(void)
{
    struct scene *scene = ready_scene();
    unsigned which;
    int upstream;
    int caller;

    make_suspect(scene, "/again/");
    abandon_trial(scene, "d");
    caller = scene_call_with_fields(scene, "/again/", "e", NO_REUSE);
    upstream = scene_accept_any(scene, &which);
    g_free(scene_read_request(upstream));
    scene_answer(upstream, "e", 200, "", "ok");
    expect(caller, "HTTP/1.1 200 ");
    close(upstream);
    scene_free(scene);
}

/* Guards against a slow request that is refused for a minute, since the
 * callers of its trial left. */
static void
test_slow_trial_is_repeated(void)
{
    struct scene *scene = ready_scene();
    unsigned which;
    int upstream;
    int caller;

    make_suspect(scene, "/again/");
    caller = scene_call_with_fields(scene, "/again/", "d", NO_REUSE);
    upstream = scene_accept_any(scene, &which);
    g_free(scene_read_request(upstream));
    close(caller);
    wait_closed(upstream);
    caller = scene_call_with_fields(scene, "/again/", "e", NO_REUSE);
    upstream = scene_accept_any(scene, &which);
    g_free(scene_read_request(upstream));
    scene_answer(upstream, "e", 200, "", "ok");
    expect(caller, "HTTP/1.1 200 ");
    close(upstream);
    scene_free(scene);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    pgw_log_init("test", "", "error");
    g_test_add_func("/abandoned_run/slow_requests_run_together",
                    test_slow_requests_run_together);
    g_test_add_func("/abandoned_run/callers_leave_before_crash",
                    test_callers_leave_before_crash);
    g_test_add_func("/abandoned_run/stream_callers_leave_before_crash",
                    test_stream_callers_leave_before_crash);
    g_test_add_func("/abandoned_run/deadline_before_crash",
                    test_deadline_before_crash);
    g_test_add_func("/abandoned_run/response_timeout_before_crash",
                    test_response_timeout_before_crash);
    g_test_add_func("/abandoned_run/false_answer_before_crash",
                    test_false_answer_before_crash);
    g_test_add_func("/abandoned_run/suspect_with_little_time_is_tried",
                    test_suspect_with_little_time_is_tried);
    g_test_add_func("/abandoned_run/trial_stays_at_its_upstream",
                    test_trial_stays_at_its_upstream);
    g_test_add_func("/abandoned_run/trial_fails_after_its_caller_left",
                    test_trial_fails_after_its_caller_left);
    g_test_add_func("/abandoned_run/slow_trial_before_power_loss",
                    test_slow_trial_before_power_loss);
    g_test_add_func("/abandoned_run/slow_trial_is_repeated",
                    test_slow_trial_is_repeated);
    return g_test_run();
}
