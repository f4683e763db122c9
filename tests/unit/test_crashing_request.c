#include "scene_gateway.h"
#include <string.h>
#include <unistd.h>

static struct scene *
ready_scene(void)
{
    struct scene *scene = scene_new_with_crash_gap(SCENE_UPSTREAMS);

    scene_set_routes(scene, 1, true);
    return scene;
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

/* All upstreams crash at once while they run a request; then all restart. */
static void
crash_all(struct scene *scene)
{
    int caller =
        scene_call_with_fields(scene, "/again/", "a", "Connection: close\r\n");

    for (unsigned i = 0; i < SCENE_UPSTREAMS; i++) {
        unsigned which;
        int upstream = scene_accept_any(scene, &which);

        g_free(scene_read_request(upstream));
        scene_reset(upstream);
    }
    expect(caller, "HTTP/1.1 502 ");
    scene_restart_upstreams(scene);
}

/* Answers the next request that reaches an upstream. */
static void
answer_next(struct scene *scene)
{
    unsigned which;
    int upstream = scene_accept_any(scene, &which);
    char *request = scene_read_request(upstream);
    const char *id = strstr(request, "\r\nAttempt-Id: ");
    char name[2] = {id[strlen("\r\nAttempt-Id: ")], '\0'};

    scene_answer(upstream, name, 200, "", "ok");
    g_free(request);
    close(upstream);
}

/* Guards against a request that ends all upstreams of a service at once, again
 * and again: after three crashes, however close, it runs once at a time. */
static void
test_one_run_after_crashes_at_once(void)
{
    struct scene *scene = ready_scene();
    unsigned which;
    int callers[3];
    int upstream;

    crash_all(scene);
    callers[0] =
        scene_call_with_fields(scene, "/again/", "b", "Connection: close\r\n");
    upstream = scene_accept_any(scene, &which);
    g_free(scene_read_request(upstream));
    callers[1] =
        scene_call_with_fields(scene, "/again/", "c", "Connection: close\r\n");
    scene_reset(upstream);
    expect(callers[0], "HTTP/1.1 502 ");
    expect(callers[1], "crashes_upstreams");
    callers[2] =
        scene_call_with_fields(scene, "/again/", "d", "Connection: close\r\n");
    expect(callers[2], "Retry-After: 30.000");
    for (unsigned i = 0; i < SCENE_UPSTREAMS; i++) {
        g_assert_true(scene_has_no_connection(scene, i));
    }
    scene_free(scene);
}

/* Guards against harmless requests that are refused after a power loss of all
 * upstreams that were running them. */
static void
test_served_after_power_loss(void)
{
    struct scene *scene = ready_scene();
    int callers[2];

    crash_all(scene);
    callers[0] =
        scene_call_with_fields(scene, "/again/", "b", "Connection: close\r\n");
    callers[1] =
        scene_call_with_fields(scene, "/again/", "c", "Connection: close\r\n");
    answer_next(scene);
    answer_next(scene);
    expect(callers[0], "HTTP/1.1 200 ");
    expect(callers[1], "HTTP/1.1 200 ");
    scene_free(scene);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/crashing_request/one_run_after_crashes_at_once",
                    test_one_run_after_crashes_at_once);
    g_test_add_func("/crashing_request/served_after_power_loss",
                    test_served_after_power_loss);
    return g_test_run();
}
