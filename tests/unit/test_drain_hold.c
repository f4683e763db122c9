#include "gateway/request/exchange.h"
#include "scene_gateway.h"
#include <string.h>
#include <unistd.h>

#define SECOND UINT64_C(1000000)
/* Between two events of a slow stream. */
#define SLOW_PAUSE_US 20000
/* More events than a slow stream can send before the cut. */
#define LONG_STREAM "Token-Count: 60,1000000\r\n"
#define SHORT_STREAM "Token-Count: 60,3\r\n"

/* The gateway stops since four seconds and cuts what is left after six more:
 * earlier than the deadline of the requests. */
static void
begin_late_drain(struct scene *scene)
{
    pgw_gateway_drain(scene->gateway, pgw_now_us() + 6 * SECOND);
    scene->gateway->drain.begun_us -= 4 * SECOND;
}

static void
refuse_late(struct scene *scene)
{
    pgw_gateway_refuse_late(scene->gateway);
}

static void
refuse_rest(struct scene *scene)
{
    pgw_gateway_refuse_rest(scene->gateway);
}

/* A gateway late in a stop, which has seen a stream of half a second. */
static struct scene *
stopping_scene(void)
{
    struct scene *scene = scene_new(2);
    int caller;
    int upstream;
    unsigned which;

    scene_set_routes(scene, 1, true);
    caller = scene_call(scene, "/flow/", "before");
    upstream = scene_accept_any(scene, &which);
    g_free(scene_read_request(upstream));
    scene_begin_stream(upstream, "before");
    g_usleep(SECOND / 2);
    scene_chunk(upstream, "id: 1\ndata: x\n\n");
    scene_send(upstream, "0\r\n\r\n");
    g_free(scene_read_until(caller, "id: 1\ndata: x\n\n\r\n0"));
    close(caller);
    close(upstream);
    scene_run(scene, begin_late_drain);
    return scene;
}

/* Sends a request on a connection from before the stop and accepts its
 * attempt. */
static int
begin_stream(struct scene *scene, int *caller, const char *fields)
{
    unsigned which;
    int upstream;

    *caller = scene_call_with_fields(scene, "/flow/", "a", fields);
    upstream = scene_accept_any(scene, &which);
    g_free(scene_read_request(upstream));
    scene_begin_stream(upstream, "a");
    return upstream;
}

/* Guards against streams that begin late in a stop, take longer than those
 * before, and are cut in the middle. */
static void
test_slow_stream_is_given_up(void)
{
    struct scene *scene = stopping_scene();
    int caller;
    int upstream = begin_stream(scene, &caller, LONG_STREAM);
    char *answer;

    scene_chunk(upstream, "id: 1\ndata: x\n\n");
    g_usleep(SLOW_PAUSE_US);
    scene_chunk(upstream, "id: 2\ndata: x\n\n");
    answer = scene_read_all(caller);
    g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 502 "));
    g_assert_nonnull(strstr(answer, "\"ran\":\"unknown\""));
    g_assert_null(strstr(answer, "id: 1"));
    g_free(answer);
    close(caller);
    close(upstream);
    scene_free(scene);
}

/* Guards against the moment since the first event that is taken for a pause:
 * the stream would look fast. */
static void
test_first_event_shows_no_pace(void)
{
    struct scene *scene = stopping_scene();
    int caller;
    int upstream = begin_stream(scene, &caller, "Token-Count: 60,1000\r\n");
    char *answer;

    scene_chunk(upstream, "id: 1\ndata: x\n\n");
    g_usleep(SLOW_PAUSE_US);
    scene_chunk(upstream, "id: 2\ndata: x\n\n");
    answer = scene_read_all(caller);
    g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 502 "));
    g_free(answer);
    close(caller);
    close(upstream);
    scene_free(scene);
}

/* Guards against a held stream whose upstream falls silent, and whose caller
 * hears nothing until the end of the grace period. */
static void
test_silent_stream_is_given_up(void)
{
    struct scene *scene = stopping_scene();
    int caller;
    int upstream = begin_stream(scene, &caller, LONG_STREAM);
    char *answer;

    scene_chunk(upstream, "id: 1\ndata: x\n\n");
    g_usleep(SLOW_PAUSE_US);
    scene_run(scene, refuse_late);
    answer = scene_read_all(caller);
    g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 502 "));
    g_free(answer);
    close(caller);
    close(upstream);
    scene_free(scene);
}

/* Guards against streams that are turned away, or not answered in full, though
 * they end long before the cut. */
static void
test_calm_stream_is_answered(void)
{
    struct scene *scene = stopping_scene();
    int caller;
    int upstream = begin_stream(scene, &caller, SHORT_STREAM);
    char *answer;

    for (unsigned i = 1; i <= 3; i++) {
        char *event = g_strdup_printf("id: %u\ndata: x\n\n", i);

        scene_chunk(upstream, event);
        g_usleep(SLOW_PAUSE_US);
        g_free(event);
    }
    scene_send(upstream, "0\r\n\r\n");
    answer = scene_read_all(caller);
    g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200 "));
    g_assert_nonnull(strstr(answer, "id: 1\ndata: x\n\n"));
    g_assert_nonnull(strstr(answer, "id: 3\ndata: x\n\n"));
    g_assert_true(g_str_has_suffix(answer, "\r\n0\r\n\r\n"));
    g_free(answer);
    close(caller);
    close(upstream);
    scene_free(scene);
}

/* Guards against a stream of unknown length that is held and, complete, not
 * answered. */
static void
test_complete_stream_is_answered(void)
{
    struct scene *scene = stopping_scene();
    int caller;
    int upstream = begin_stream(scene, &caller, "");
    char *answer;

    scene_chunk(upstream, "id: 1\ndata: x\n\n");
    scene_chunk(upstream, "id: 2\ndata: y\n\n");
    scene_send(upstream, "0\r\n\r\n");
    answer = scene_read_all(caller);
    g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200 "));
    g_assert_nonnull(strstr(answer, "id: 1\ndata: x\n\n"));
    g_assert_nonnull(strstr(answer, "id: 2\ndata: y\n\n"));
    g_assert_true(g_str_has_suffix(answer, "\r\n0\r\n\r\n"));
    g_free(answer);
    close(caller);
    close(upstream);
    scene_free(scene);
}

/* Guards against held events that are lost, or come twice, when the upstream
 * breaks off and another one runs the request. */
static void
test_held_stream_begins_again(void)
{
    struct scene *scene = stopping_scene();
    int caller;
    int upstream = begin_stream(scene, &caller, SHORT_STREAM);
    unsigned which;
    char *text;

    scene_chunk(upstream, "id: 1\ndata: x\n\n");
    scene_reset(upstream);
    upstream = scene_accept_any(scene, &which);
    text = scene_read_request(upstream);
    g_assert_null(strstr(text, "Last-Event-Id"));
    g_free(text);
    scene_begin_stream(upstream, "a");
    scene_chunk(upstream, "id: 1\ndata: y\n\n");
    scene_chunk(upstream, "id: 2\ndata: y\n\n");
    scene_send(upstream, "0\r\n\r\n");
    text = scene_read_all(caller);
    g_assert_true(g_str_has_prefix(text, "HTTP/1.1 200 "));
    g_assert_null(strstr(text, "data: x"));
    g_assert_nonnull(strstr(text, "id: 1\ndata: y\n\n"));
    g_assert_true(g_str_has_suffix(text, "\r\n0\r\n\r\n"));
    g_free(text);
    close(caller);
    close(upstream);
    scene_free(scene);
}

/* Guards against a held stream that gets no complete answer at the end of the
 * grace period. */
static void
test_held_stream_is_refused_at_the_cut(void)
{
    struct scene *scene = stopping_scene();
    int caller;
    int upstream = begin_stream(scene, &caller, LONG_STREAM);
    char *answer;

    scene_run(scene, refuse_rest);
    answer = scene_read_all(caller);
    g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 502 "));
    g_free(answer);
    close(caller);
    close(upstream);
    scene_free(scene);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/drain_hold/slow_stream_is_given_up",
                    test_slow_stream_is_given_up);
    g_test_add_func("/drain_hold/first_event_shows_no_pace",
                    test_first_event_shows_no_pace);
    g_test_add_func("/drain_hold/silent_stream_is_given_up",
                    test_silent_stream_is_given_up);
    g_test_add_func("/drain_hold/calm_stream_is_answered",
                    test_calm_stream_is_answered);
    g_test_add_func("/drain_hold/complete_stream_is_answered",
                    test_complete_stream_is_answered);
    g_test_add_func("/drain_hold/held_stream_begins_again",
                    test_held_stream_begins_again);
    g_test_add_func("/drain_hold/held_stream_is_refused_at_the_cut",
                    test_held_stream_is_refused_at_the_cut);
    return g_test_run();
}
