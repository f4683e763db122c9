#include "scene_gateway.h"
#include "util/log.h"
#include <string.h>
#include <unistd.h>

#define NO_REUSE "Connection: close\r\n"

static struct scene *
ready_scene(void)
{
    struct scene *scene = scene_new_with_crash_gap(SCENE_UPSTREAMS);

    scene->status_path = "/health";
    scene_set_routes(scene, 1, true);
    return scene;
}

static int
call(struct scene *scene, const char *id)
{
    return scene_call_with_fields(scene, "/once/", id, NO_REUSE);
}

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

/* Accepts the next request at any upstream. */
static int
accept_request(struct scene *scene, const char *text)
{
    unsigned which;
    int upstream = scene_accept_any(scene, &which);
    char *request = scene_read_until(upstream, "\r\n\r\n");

    if (strstr(request, text) == NULL) {
        g_error("no '%s' in: %s", text, request);
    }
    g_free(request);
    return upstream;
}

/* Answers with a length, or with an answer that ends with its connection. */
static void
answer(int upstream, const char *id, unsigned status, bool unframed)
{
    char *text;

    if (!unframed) {
        scene_answer(upstream, id, status, "", "ok");
        return;
    }
    text = g_strdup_printf("HTTP/1.1 %u X\r\nAttempt-Id: %s\r\n"
                           "Server-Seal: s\r\n\r\nok",
                           status, id);
    scene_send(upstream, text);
    g_free(text);
}

/* The request runs at each upstream, is answered, and then all crash. */
static void
answer_and_crash(struct scene *scene, unsigned status, bool unframed)
{
    static const char *const ids[] = {"a", "b", "c"};
    int callers[SCENE_UPSTREAMS];
    int upstreams[SCENE_UPSTREAMS];
    unsigned which;

    for (unsigned i = 0; i < SCENE_UPSTREAMS; i++) {
        callers[i] = call(scene, ids[i]);
        upstreams[i] = scene_accept_any(scene, &which);
        g_free(scene_read_request(upstreams[i]));
    }
    for (unsigned i = 0; i < SCENE_UPSTREAMS; i++) {
        answer(upstreams[i], ids[i], status, unframed);
        close(upstreams[i]);
        expect(callers[i], "ok");
    }
    scene_restart_upstreams(scene);
}

/* Of two requests with the same body one runs, and its crash refuses both. */
static void
expect_one_run(struct scene *scene, unsigned status)
{
    int callers[2];
    int upstream;

    callers[0] = call(scene, "d");
    upstream = accept_request(scene, "Attempt-Id: d");
    callers[1] = call(scene, "e");
    answer(upstream, "d", status, false);
    close(upstream);
    expect(callers[0], "ok");
    scene_restart_upstreams(scene);
    expect(callers[1], "crashes_upstreams");
    for (unsigned i = 0; i < SCENE_UPSTREAMS; i++) {
        g_assert_true(scene_has_no_connection(scene, i));
    }
}

/* Guards against a request that crashes upstreams just after their answers,
 * which would clear it each time. */
static void
test_answer_before_crash(void)
{
    struct scene *scene = ready_scene();

    answer_and_crash(scene, 200, false);
    expect_one_run(scene, 200);
    scene_free(scene);
}

/* Guards against the same with errors of the upstreams' own. */
static void
test_own_error_before_crash(void)
{
    struct scene *scene = ready_scene();

    answer_and_crash(scene, 500, false);
    expect_one_run(scene, 500);
    scene_free(scene);
}

/* Guards against the same with answers that end with their connections. */
static void
test_unframed_answer_before_crash(void)
{
    struct scene *scene = ready_scene();

    answer_and_crash(scene, 200, true);
    expect_one_run(scene, 200);
    scene_free(scene);
}

/* Guards against a harmless request that waits for the result of a trial whose
 * upstream nobody else calls. */
static void
test_upstream_of_a_trial_is_asked(void)
{
    struct scene *scene = ready_scene();
    int callers[2];
    int upstream;

    answer_and_crash(scene, 200, false);
    callers[0] = call(scene, "d");
    upstream = accept_request(scene, "Attempt-Id: d");
    answer(upstream, "d", 200, false);
    close(upstream);
    expect(callers[0], "ok");
    callers[1] = call(scene, "e");
    upstream = accept_request(scene, "GET /health ");
    scene_send(upstream, "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n"
                         "Connection: close\r\n\r\n");
    close(upstream);
    upstream = accept_request(scene, "Attempt-Id: e");
    answer(upstream, "e", 200, false);
    close(upstream);
    expect(callers[1], "ok");
    scene_free(scene);
}

/* Guards against a harmless request that is tried again, since its answer says
 * that something is missing. */
static void
test_rejection_clears(void)
{
    struct scene *scene = ready_scene();
    int callers[2];
    int upstream;

    answer_and_crash(scene, 404, false);
    callers[0] = call(scene, "d");
    upstream = accept_request(scene, "Attempt-Id: d");
    answer(upstream, "d", 404, false);
    close(upstream);
    expect(callers[0], "HTTP/1.1 404 ");
    upstream = accept_request(scene, "GET /health ");
    scene_send(upstream, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                         "Connection: close\r\n\r\n");
    close(upstream);
    for (unsigned i = 0; i < 2; i++) {
        callers[i] = call(scene, i == 0 ? "e" : "f");
    }
    for (unsigned i = 0; i < 2; i++) {
        close(accept_request(scene, "Attempt-Id: "));
    }
    close(callers[0]);
    close(callers[1]);
    scene_free(scene);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    pgw_log_init("test", "", "error");
    g_test_add_func("/answered_runs/answer_before_crash",
                    test_answer_before_crash);
    g_test_add_func("/answered_runs/own_error_before_crash",
                    test_own_error_before_crash);
    g_test_add_func("/answered_runs/unframed_answer_before_crash",
                    test_unframed_answer_before_crash);
    g_test_add_func("/answered_runs/upstream_of_a_trial_is_asked",
                    test_upstream_of_a_trial_is_asked);
    g_test_add_func("/answered_runs/rejection_clears", test_rejection_clears);
    return g_test_run();
}
