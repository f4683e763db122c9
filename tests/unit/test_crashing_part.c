#include "scene_gateway.h"
#include <string.h>
#include <unistd.h>

/* Crashes after which a part of a prompt may be refused. */
#define CRASHES 5

/* No two prompts have the same last part. */
static int
call(struct scene *scene, const char *path, const char *id, const char *shared)
{
    char *parts = g_strdup_printf("%s,%s00%s:20", shared, id, id);
    int caller = scene_call_with_prompt(scene, path, id, parts);

    g_free(parts);
    return caller;
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

/* The next request that reaches an upstream crashes it; then it restarts. */
static void
crash_next(struct scene *scene)
{
    unsigned which;
    int upstream = scene_accept_any(scene, &which);

    g_free(scene_read_request(upstream));
    scene_reset(upstream);
}

static void
crash_upstreams(struct scene *scene, const char *path, const char *shared,
                const char *answer)
{
    for (unsigned i = 0; i < CRASHES; i++) {
        char id[] = {(char)('a' + i), '\0'};
        int caller = call(scene, path, id, shared);

        crash_next(scene);
        expect(caller, answer);
        scene_restart_upstreams(scene);
    }
}

static void
answer_next(struct scene *scene, const char *id)
{
    unsigned which;
    int upstream = scene_accept_any(scene, &which);

    g_free(scene_read_request(upstream));
    scene_begin_stream(upstream, id);
    scene_chunk(upstream, "id: 1\ndata: x\n\n");
    scene_send(upstream, "0\r\n\r\n");
    close(upstream);
}

static void
expect_no_connection(struct scene *scene)
{
    for (unsigned i = 0; i < SCENE_UPSTREAMS; i++) {
        g_assert_true(scene_has_no_connection(scene, i));
    }
}

static struct scene *
ready_scene(void)
{
    struct scene *scene = scene_new_with_crash_gap(SCENE_UPSTREAMS);

    scene_set_routes(scene, 1, true);
    return scene;
}

/* Guards against different requests with one part in common that crash one
 * upstream after the other. */
static void
test_refused_after_five_crashes(void)
{
    struct scene *scene = ready_scene();

    crash_upstreams(scene, "/brook/", "f00d:20,bad:20", "HTTP/1.1 502 ");
    expect(call(scene, "/brook/", "s", "f00d:20,bad:20"), "HTTP/1.1 503 ");
    expect(call(scene, "/brook/", "t", "f00d:20,bad:20,1:10"),
           "crashes_upstreams");
    expect_no_connection(scene);
    scene_free(scene);
}

/* Guards against sound requests that are refused since they share the first
 * part with one that crashes upstreams, and against faulty ones that run again
 * since a sound one has cleared what both share. */
static void
test_first_part_is_served(void)
{
    struct scene *scene = ready_scene();
    int caller;

    crash_upstreams(scene, "/brook/", "f00d:20,bad:20", "HTTP/1.1 502 ");
    caller = call(scene, "/brook/", "s", "f00d:20,600d:20");
    answer_next(scene, "s");
    expect(caller, "HTTP/1.1 200 ");
    expect(call(scene, "/brook/", "t", "f11d:20,bad:20"), "crashes_upstreams");
    caller = call(scene, "/brook/", "u", "f00d:20");
    answer_next(scene, "u");
    expect(caller, "HTTP/1.1 200 ");
    expect_no_connection(scene);
    scene_free(scene);
}

/* All upstreams lose power while each runs a request with the part that all
 * share, and once more during the next run. */
static void
lose_power_twice(struct scene *scene)
{
    int callers[SCENE_UPSTREAMS];
    int upstreams[SCENE_UPSTREAMS];
    unsigned which;

    for (unsigned i = 0; i < SCENE_UPSTREAMS; i++) {
        char id[] = {(char)('a' + i), '\0'};

        callers[i] = call(scene, "/brook/", id, "f00d:20");
        upstreams[i] = scene_accept_any(scene, &which);
        g_free(scene_read_request(upstreams[i]));
    }
    for (unsigned i = 0; i < SCENE_UPSTREAMS; i++) {
        scene_reset(upstreams[i]);
        expect(callers[i], "HTTP/1.1 502 ");
    }
    scene_restart_upstreams(scene);
    callers[0] = call(scene, "/brook/", "d", "f00d:20");
    crash_next(scene);
    expect(callers[0], "HTTP/1.1 502 ");
    scene_restart_upstreams(scene);
}

/* Guards against sound requests that are refused after a power loss of all
 * upstreams that were running a part which all share. */
static void
test_served_after_power_loss(void)
{
    struct scene *scene = ready_scene();

    for (unsigned turn = 0; turn < 2; turn++) {
        lose_power_twice(scene);
        for (unsigned i = 0; i < 3; i++) {
            char id[] = {(char)('s' + i), '\0'};
            int caller = call(scene, "/brook/", id, "f00d:20");

            answer_next(scene, id);
            expect(caller, "HTTP/1.1 200 ");
        }
    }
    scene_free(scene);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/crashing_part/refused_after_five_crashes",
                    test_refused_after_five_crashes);
    g_test_add_func("/crashing_part/first_part_is_served",
                    test_first_part_is_served);
    g_test_add_func("/crashing_part/served_after_power_loss",
                    test_served_after_power_loss);
    return g_test_run();
}
