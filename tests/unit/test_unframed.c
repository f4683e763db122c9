#include "scene_gateway.h"
#include <string.h>
#include <unistd.h>

static struct scene *
ready_scene(void)
{
    struct scene *scene = scene_new(2);

    scene_set_routes(scene, 1, true);
    return scene;
}

/* Sends a request in a version of HTTP, without "Connection: close". */
static int
call(struct scene *scene, const char *version, const char *path)
{
    int caller = scene_connect(scene);
    char *text = g_strdup_printf("POST %s HTTP/%s\r\nHost: h.example\r\n"
                                 "Attempt-Id: a\r\nDeadline-Ms: 60000\r\n"
                                 "Authorization: Bearer " SCENE_KEY "\r\n"
                                 "Content-Length: 4\r\n\r\nbody",
                                 path, version);

    scene_send(caller, text);
    g_free(text);
    return caller;
}

/* Accepts the next attempt and sends a head with neither length nor chunks. */
static int
begin_unframed(struct scene *scene, const char *type)
{
    unsigned which;
    int upstream = scene_accept_any(scene, &which);
    char *head =
        g_strdup_printf("HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n"
                        "Server-Seal: s.a\r\nContent-Type: %s\r\n\r\n",
                        type);

    g_free(scene_read_request(upstream));
    scene_send(upstream, head);
    g_free(head);
    return upstream;
}

/* Guards against unframed answers that are cut off, or never end. */
static void
test_answer_ends_with_its_connection(void)
{
    static const char *const paths[] = {"/once/", "/again/", "/brook/",
                                        "/flow/"};

    for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
        struct scene *scene = ready_scene();
        int caller = call(scene, "1.1", paths[i]);
        bool is_stream = i >= 2;
        int upstream = begin_unframed(scene, is_stream ? "text/event-stream"
                                                       : "text/plain");

        scene_send(upstream, "id: 1\ndata: x\n\n");
        close(upstream);
        g_free(scene_read_until(caller, is_stream ? "id: 1\ndata: x\n\n\r\n0"
                                                  : "id: 1\ndata: x\n\n"));
        close(caller);
        scene_free(scene);
    }
}

/* Guards against streams broken off within an event that look complete. */
static void
test_stream_cut_within_an_event(void)
{
    static const char *const cuts[] = {"id: 2", "id: 2\nda", "id: 2\ndata: y",
                                       "id: 2\ndata: y\n"};

    for (size_t i = 0; i < G_N_ELEMENTS(cuts); i++) {
        struct scene *scene = ready_scene();
        int caller = call(scene, "1.1", "/brook/");
        int upstream = begin_unframed(scene, "text/event-stream");
        char *answer;

        scene_send(upstream, "id: 1\ndata: x\n\n");
        scene_send(upstream, cuts[i]);
        close(upstream);
        answer = scene_read_all(caller);
        g_assert_nonnull(strstr(answer, "id: 1\ndata: x\n\n"));
        g_assert_null(strstr(answer, "id: 2"));
        g_assert_null(strstr(answer, "\r\n0\r\n\r\n"));
        g_free(answer);
        close(caller);
        scene_free(scene);
    }
}

/* Guards against a resumable stream that is not taken up after a cut. */
static void
test_cut_stream_is_taken_up(void)
{
    struct scene *scene = ready_scene();
    int caller = call(scene, "1.1", "/flow/");
    int upstream = begin_unframed(scene, "text/event-stream");
    unsigned which;
    char *request;

    scene_send(upstream, "id: 1\ndata: x\n\nid: 2\nda");
    close(upstream);
    upstream = scene_accept_any(scene, &which);
    request = scene_read_request(upstream);
    g_assert_nonnull(strstr(request, "Last-Event-Id: 1\r\n"));
    g_free(request);
    scene_begin_stream(upstream, "a");
    scene_chunk(upstream, "id: 2\ndata: y\n\n");
    scene_send(upstream, "0\r\n\r\n");
    g_free(scene_read_until(caller, "id: 2\ndata: y\n\n\r\n0"));
    close(upstream);
    close(caller);
    scene_free(scene);
}

/* Guards against chunks sent to a caller of HTTP/1.0, which has none. */
static void
test_stream_to_http_1_0(void)
{
    struct scene *scene = ready_scene();
    int caller = call(scene, "1.0", "/brook/");
    int upstream = begin_unframed(scene, "text/event-stream");
    char *answer;

    scene_send(upstream, "id: 1\ndata: x\n\n");
    close(upstream);
    answer = scene_read_all(caller);
    g_assert_null(strstr(answer, "chunked"));
    g_assert_true(g_str_has_suffix(answer, "\r\n\r\nid: 1\ndata: x\n\n"));
    g_free(answer);
    close(caller);
    scene_free(scene);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/unframed/answer_ends_with_its_connection",
                    test_answer_ends_with_its_connection);
    g_test_add_func("/unframed/stream_cut_within_an_event",
                    test_stream_cut_within_an_event);
    g_test_add_func("/unframed/cut_stream_is_taken_up",
                    test_cut_stream_is_taken_up);
    g_test_add_func("/unframed/stream_to_http_1_0", test_stream_to_http_1_0);
    return g_test_run();
}
