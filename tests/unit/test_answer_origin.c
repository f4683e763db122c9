#include "gateway/request/answer_origin.h"
#include "gateway/upstream/named_refusals.h"
#include "scene_gateway.h"
#include "util/log.h"
#include <string.h>
#include <unistd.h>

static struct scene *
ready_scene(unsigned upstreams)
{
    struct scene *scene = scene_new(upstreams);

    scene_set_routes(scene, 1, true);
    return scene;
}

static void
expect(int caller, const char *begin, const char *end)
{
    char *answer = scene_read_until(caller, end);

    if (!g_str_has_prefix(answer, begin)) {
        g_error("'%s' does not begin: %s", begin, answer);
    }
    g_free(answer);
    close(caller);
}

/* Serves one request, so that its connection is kept. */
static int
serve_first(struct scene *scene, const char *path)
{
    int caller = scene_call(scene, path, "a");
    int upstream = scene_accept(scene, 0);

    g_free(scene_read_request(upstream));
    scene_answer(upstream, "a", 200, "", "ok");
    expect(caller, "HTTP/1.1 200 ", "ok");
    return upstream;
}

/* Accepts the next connection and answers its request. */
static void
serve_next(struct scene *scene, const char *id)
{
    int upstream = scene_accept(scene, 0);

    g_free(scene_read_request(upstream));
    scene_answer(upstream, id, 200, "Connection: close\r\n", "ok");
    close(upstream);
}

/* The next request's connection: another one if @kept may not be used. */
static int
next_connection(struct scene *scene, int kept, bool is_kept)
{
    return is_kept ? kept : scene_accept(scene, 0);
}

/* Guards against a request that is refused or sent again while it runs: the
 * refusal of the request before came twice. */
static void
test_repeated_refusal(void)
{
    static const char *const paths[] = {"/once/", "/brook/"};

    for (size_t i = 0; i < 2 * G_N_ELEMENTS(paths); i++) {
        const char *path = paths[i / 2];
        bool is_named = i % 2 == 1;
        struct scene *scene = ready_scene(1);
        int upstream = serve_first(scene, path);
        int refused = scene_call(scene, path, "a2");
        int caller;
        int next;

        g_free(scene_read_request(upstream));
        scene_refuse_with(upstream, is_named ? "Attempt-Id: a2\r\n" : "");
        caller = scene_call(scene, path, "b");
        next = next_connection(scene, upstream, is_named);
        g_free(scene_read_request(next));
        scene_refuse(upstream);
        scene_answer(next, "b", 200, "", "ok");
        expect(caller, "HTTP/1.1 200 ", "ok");
        close(refused);
        if (next != upstream) {
            close(next);
        }
        close(upstream);
        scene_free(scene);
    }
}

/* Guards against a request that waits until its deadline at an upstream that
 * names some refusals only: the unnamed one is its own. */
static void
test_sometimes_named(void)
{
    struct scene *scene = ready_scene(1);
    int upstream = serve_first(scene, "/once/");
    int refused[2];

    for (size_t i = 0; i < G_N_ELEMENTS(refused); i++) {
        refused[i] = scene_call(scene, "/once/", i == 0 ? "b" : "c");
        if (i == 1) {
            close(upstream);
            upstream = scene_accept(scene, 0);
        }
        g_free(scene_read_request(upstream));
        scene_refuse_with(upstream, i == 0 ? "" : "Attempt-Id: c\r\n");
    }
    /* The next one has a connection of its own, where no name is needed. */
    for (size_t i = 0; i < 2; i++) {
        int caller = scene_call(scene, "/once/", "d");
        int next = scene_accept(scene, 0);

        g_free(scene_read_request(next));
        scene_refuse(next);
        /* Its connection is closed once the refusal was taken. */
        g_free(scene_read_all(next));
        close(next);
        close(caller);
    }
    close(refused[0]);
    close(refused[1]);
    close(upstream);
    scene_free(scene);
}

/* Guards against "not run" for a run that a copy of an earlier refusal ended.
 */
static void
test_uncertain_refusal(void)
{
    struct scene *scene = ready_scene(1);
    int upstream = serve_first(scene, "/again/");
    int refused = scene_call(scene, "/again/", "b");
    int caller;

    g_free(scene_read_request(upstream));
    scene_refuse_with(upstream, "Attempt-Id: b\r\n");
    caller = scene_call(scene, "/again/", "c");
    g_free(scene_read_request(upstream));
    scene_refuse(upstream);
    expect(caller, "HTTP/1.1 502 ", "\"ran\":\"unknown\"");
    close(refused);
    close(upstream);
    scene_free(scene);
}

/* Guards against another caller's answer that names no request. */
static void
test_repeated_answer(void)
{
    struct scene *scene = ready_scene(1);
    int upstream = serve_first(scene, "/once/");
    int caller = scene_call(scene, "/once/", "b");

    g_free(scene_read_request(upstream));
    scene_send(upstream, "HTTP/1.1 200 X\r\nServer-Seal: s.a\r\n"
                         "Content-Length: 9\r\n\r\nnot yours");
    scene_answer(upstream, "b", 200, "", "ok");
    expect(caller, "HTTP/1.1 200 ", "\r\n\r\nok");
    /* A connection with an answer too many is not kept. */
    caller = scene_call(scene, "/once/", "c");
    serve_next(scene, "c");
    expect(caller, "HTTP/1.1 200 ", "ok");
    close(upstream);
    scene_free(scene);
}

/* Guards against a second run of a request that its upstream refused before
 * its id changed: the late copy of that refusal names the request. */
static void
test_refusal_of_an_earlier_attempt(void)
{
    struct scene *scene = ready_scene(1);
    int upstream = serve_first(scene, "/once/");
    int caller = scene_call(scene, "/once/", "b");
    int next;

    g_free(scene_read_request(upstream));
    scene_refuse_with(upstream, "Attempt-Id: b\r\n");
    scene_restart_upstream(scene, 0);
    next = scene_accept(scene, 0);
    g_free(scene_read_request(next));
    scene_refuse_with(upstream, "Attempt-Id: b\r\n");
    scene_answer(next, "b", 200, "", "ok");
    expect(caller, "HTTP/1.1 200 ", "ok");
    close(next);
    close(upstream);
    scene_free(scene);
}

/* Guards against bytes that arrived while a connection was idle. */
static void
test_bytes_before_the_request(void)
{
    struct scene *scene = ready_scene(1);
    int upstream = serve_first(scene, "/once/");
    int caller;

    scene_refuse(upstream);
    caller = scene_call(scene, "/once/", "b");
    serve_next(scene, "b");
    expect(caller, "HTTP/1.1 200 ", "ok");
    close(upstream);
    scene_free(scene);
}

static void
test_decision(void)
{
    static const struct {
        struct pgw_answer_evidence evidence;
        enum pgw_answer_origin origin;
    } cases[] = {
        {{.id = "b", .connection_is_shared = true}, PGW_ANSWER_OWN},
        {{.id = "a", .not_run = true}, PGW_ANSWER_FOREIGN},
        {{.not_run = true}, PGW_ANSWER_OWN},
        {{.genuine = true}, PGW_ANSWER_OWN},
        {{.genuine = true, .connection_is_shared = true}, PGW_ANSWER_FOREIGN},
        {{.not_run = true, .connection_is_shared = true}, PGW_ANSWER_OWN},
        {{.not_run = true,
          .refusals_are_named = true,
          .connection_is_shared = true},
         PGW_ANSWER_FOREIGN},
        {{.not_run = true,
          .refusals_are_named = true,
          .may_run_again = true,
          .connection_is_shared = true},
         PGW_ANSWER_UNCERTAIN},
        {{.not_run = true, .refusals_are_named = true}, PGW_ANSWER_OWN},
        /* Neither a run nor a refusal: the attempt ends as unknown. */
        {{.connection_is_shared = true}, PGW_ANSWER_OWN},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct pgw_answer_evidence evidence = cases[i].evidence;

        evidence.awaited = "b";
        g_assert_cmpint(pgw_answer_origin(&evidence), ==, cases[i].origin);
    }
}

static void
test_named_refusals(void)
{
    struct pgw_named_refusals refusals = {0};

    g_assert_false(pgw_named_refusals_contains(&refusals, 503));
    for (unsigned status = 500; status < 600; status++) {
        pgw_named_refusals_add(&refusals, 503);
        pgw_named_refusals_add(&refusals, status);
    }
    g_assert_true(pgw_named_refusals_contains(&refusals, 503));
    g_assert_false(pgw_named_refusals_contains(&refusals, 421));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    pgw_log_init("test", "", "error");
    g_test_add_func("/answer_origin/decision", test_decision);
    g_test_add_func("/answer_origin/named_refusals", test_named_refusals);
    g_test_add_func("/answer_origin/repeated_refusal", test_repeated_refusal);
    g_test_add_func("/answer_origin/sometimes_named", test_sometimes_named);
    g_test_add_func("/answer_origin/uncertain_refusal",
                    test_uncertain_refusal);
    g_test_add_func("/answer_origin/repeated_answer", test_repeated_answer);
    g_test_add_func("/answer_origin/refusal_of_an_earlier_attempt",
                    test_refusal_of_an_earlier_attempt);
    g_test_add_func("/answer_origin/bytes_before_the_request",
                    test_bytes_before_the_request);
    return g_test_run();
}
