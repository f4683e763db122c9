#include "scene_gateway.h"
#include "util/log.h"
#include <poll.h>
#include <string.h>
#include <unistd.h>

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

/* A gateway at which a request has crashed three upstreams, all of which are
 * back. */
static struct scene *
suspect_scene(void)
{
    struct scene *scene = scene_new_with_crash_gap(SCENE_UPSTREAMS);
    int caller;

    scene->status_path = "/health";
    scene_set_routes(scene, 1, true);
    caller = scene_call_with_fields(scene, "/again/", "a", NO_REUSE);
    for (unsigned i = 0; i < SCENE_UPSTREAMS; i++) {
        unsigned which;
        int upstream = scene_accept_any(scene, &which);

        g_free(scene_read_request(upstream));
        scene_reset(upstream);
    }
    expect(caller, "HTTP/1.1 502 ");
    scene_restart_upstreams(scene);
    return scene;
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

static bool
is_idle(struct scene *scene)
{
    for (unsigned i = 0; i < SCENE_UPSTREAMS; i++) {
        if (!scene_has_no_connection(scene, i)) {
            return false;
        }
    }
    return true;
}

/* Guards against a suspect that is sent to one upstream after the other, since
 * each refuses it. */
static void
test_refused_trial_is_not_repeated_at_once(void)
{
    struct scene *scene = suspect_scene();
    int caller = scene_call_with_fields(scene, "/again/", "d", NO_REUSE);
    int upstream = accept_request(scene, "Attempt-Id: d");

    scene_refuse(upstream);
    close(upstream);
    upstream = accept_request(scene, "GET /health ");
    g_assert_true(is_idle(scene));
    close(caller);
    close(upstream);
    scene_free(scene);
}

/* Guards against a suspect whose trial gets an upstream's own error, and that
 * is sent to the next upstream instead of answered. */
static void
test_own_error_of_a_trial_is_delivered(void)
{
    struct scene *scene = suspect_scene();
    int caller = scene_call_with_fields(scene, "/again/", "d", NO_REUSE);
    int upstream = accept_request(scene, "Attempt-Id: d");

    scene_answer(upstream, "d", 500, "", "broken");
    expect(caller, "broken");
    g_assert_true(is_idle(scene));
    close(upstream);
    scene_free(scene);
}

/* Guards against a harmless request that is refused for long, since its trials
 * are sent to upstreams that are full. */
static void
test_full_upstream_gets_no_second_trial(void)
{
    struct scene *scene = suspect_scene();
    int caller = scene_call_with_fields(scene, "/again/", "d", NO_REUSE);
    int upstream = accept_request(scene, "Attempt-Id: d");

    scene_refuse(upstream);
    close(upstream);
    for (unsigned i = 0; i < 3; i++) {
        upstream = accept_request(scene, "GET /health ");
        scene_send(upstream, "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
        close(upstream);
    }
    upstream = accept_request(scene, "GET /health ");
    scene_send(upstream, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                         "Connection: close\r\n\r\n");
    close(upstream);
    upstream = accept_request(scene, "Attempt-Id: d");
    scene_answer(upstream, "d", 200, "", "ok");
    expect(caller, "HTTP/1.1 200 ");
    close(upstream);
    scene_free(scene);
}

/* Guards against a harmless request that is refused for a minute, since a full
 * upstream resets the connection of its trial. */
static void
test_reset_by_a_living_upstream_proves_nothing(void)
{
    struct scene *scene = suspect_scene();
    int caller = scene_call_with_fields(scene, "/again/", "d", NO_REUSE);
    int upstream = accept_request(scene, "Attempt-Id: d");

    scene_reset(upstream);
    for (unsigned i = 0; i < 3; i++) {
        upstream = accept_request(scene, "GET /health ");
        scene_send(upstream, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                             "Connection: close\r\n\r\n");
        close(upstream);
    }
    upstream = accept_request(scene, "Attempt-Id: d");
    scene_answer(upstream, "d", 200, "", "ok");
    expect(caller, "HTTP/1.1 200 ");
    close(upstream);
    scene_free(scene);
}

/* Guards against a status check that is answered by the bytes of another
 * request, or by another process at the address. */
static void
test_foreign_status_is_no_room(void)
{
    struct scene *scene = suspect_scene();
    int caller = scene_call_with_fields(scene, "/again/", "d", NO_REUSE);
    int upstream = accept_request(scene, "Attempt-Id: d");

    scene_refuse(upstream);
    close(upstream);
    upstream = accept_request(scene, "GET /health ");
    scene_answer(upstream, "x", 200, "", "ok");
    close(upstream);
    upstream = accept_request(scene, "GET /health ");
    scene_send(upstream, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                         "Instance-Id: another\r\n\r\n");
    close(upstream);
    upstream = accept_request(scene, "GET /health ");
    close(upstream);
    close(caller);
    scene_free(scene);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    pgw_log_init("test", "", "error");
    g_test_add_func("/unproven_trial/refused_trial_is_not_repeated_at_once",
                    test_refused_trial_is_not_repeated_at_once);
    g_test_add_func("/unproven_trial/own_error_of_a_trial_is_delivered",
                    test_own_error_of_a_trial_is_delivered);
    g_test_add_func("/unproven_trial/full_upstream_gets_no_second_trial",
                    test_full_upstream_gets_no_second_trial);
    g_test_add_func(
        "/unproven_trial/reset_by_a_living_upstream_proves_nothing",
        test_reset_by_a_living_upstream_proves_nothing);
    g_test_add_func("/unproven_trial/foreign_status_is_no_room",
                    test_foreign_status_is_no_room);
    return g_test_run();
}
