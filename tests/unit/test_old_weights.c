#include "gateway/request/exchange.h"
#include "scene_gateway.h"
#include "util/log.h"
#include <string.h>
#include <unistd.h>

#define MODEL_FIELDS                                                          \
    "Model: m\r\nToken-Count: 60,8\r\nPrompt-Prefix: aa:40,bb:20\r\n"         \
    "Connection: close\r\n"
#define END_US 1000000
#define EVENT "id: 1\ndata: x\n\n"

static unsigned newer_upstream;

static void
set_old_version(struct scene *scene)
{
    scene->gateway->options.old_weights_usable_us = END_US;
    scene->gateway->options.old_weights_end_us = END_US;
    pgw_list_foreach (
        link, pgw_upstream_table_all(pgw_gateway_upstreams(scene->gateway))) {
        pgw_upstream_set_version(
            pgw_container_of(link, struct pgw_upstream, in_table), "m", 1);
    }
}

/* A version was announced whose reserve is nearly over; one upstream has it.
 */
static void
announce_version(struct scene *scene)
{
    char id[16];

    g_snprintf(id, sizeof(id), "u%u", newer_upstream);
    pgw_upstream_set_version(
        pgw_upstream_table_find(pgw_gateway_upstreams(scene->gateway), id),
        "m", 2);
    pgw_gateway_set_target_weights(scene->gateway, "m", 2, END_US - 20000, 0);
}

static struct scene *
scene_with_request(const char *path, int *caller, int *upstream)
{
    struct scene *scene = scene_new(2);
    unsigned first;

    scene_set_routes(scene, 1, true);
    scene_run(scene, set_old_version);
    *caller = scene_call_with_fields(scene, path, "a", MODEL_FIELDS);
    *upstream = scene_accept_any(scene, &first);
    newer_upstream = 1 - first;
    g_free(scene_read_request(*upstream));
    return scene;
}

static void
assert_closed(int fd)
{
    char byte;

    g_assert_cmpint(read(fd, &byte, 1), <=, 0);
    close(fd);
}

/* Guards against a stream that waits at an engine until its weights are too
 * old: it begins at one with newer weights instead. */
static void
test_resumable_stream_moves(void)
{
    int caller;
    int upstream;
    struct scene *scene = scene_with_request("/flow/", &caller, &upstream);
    char *answer;

    scene_run(scene, announce_version);
    assert_closed(upstream);
    upstream = scene_accept(scene, newer_upstream);
    g_free(scene_read_request(upstream));
    scene_begin_stream(upstream, "a");
    scene_chunk(upstream, EVENT);
    scene_chunk(upstream, "");
    answer = scene_read_until(caller, "0\r\n\r\n");
    g_assert_nonnull(strstr(answer, "HTTP/1.1 200 "));
    g_assert_nonnull(strstr(answer, EVENT));
    g_free(answer);
    close(upstream);
    close(caller);
    scene_free(scene);
}

/* Guards against a stream that may run once and is sent to a second engine
 * after it was withdrawn from the first. */
static void
test_unrepeatable_stream_fails(void)
{
    int caller;
    int upstream;
    struct scene *scene = scene_with_request("/brook/", &caller, &upstream);
    char *answer;

    scene_run(scene, announce_version);
    assert_closed(upstream);
    answer = scene_read_until(caller, "\r\n\r\n");
    g_assert_nonnull(strstr(answer, "HTTP/1.1 502 "));
    g_assert_true(scene_has_no_connection(scene, newer_upstream));
    g_free(answer);
    close(caller);
    scene_free(scene);
}

/* Guards against the withdrawal of a run that began in time. */
static void
test_begun_stream_stays(void)
{
    int caller;
    int upstream;
    struct scene *scene = scene_with_request("/brook/", &caller, &upstream);
    char *answer;

    scene_begin_stream(upstream, "a");
    scene_chunk(upstream, EVENT);
    g_free(scene_read_until(caller, EVENT));
    scene_run(scene, announce_version);
    g_usleep(60000);
    scene_chunk(upstream, "id: 2\ndata: y\n\n");
    scene_chunk(upstream, "");
    answer = scene_read_until(caller, "0\r\n\r\n");
    g_assert_nonnull(strstr(answer, "id: 2\ndata: y\n\n"));
    g_free(answer);
    close(upstream);
    close(caller);
    scene_free(scene);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    pgw_log_init("test", "", "error");
    g_test_add_func("/old_weights/resumable_stream_moves",
                    test_resumable_stream_moves);
    g_test_add_func("/old_weights/unrepeatable_stream_fails",
                    test_unrepeatable_stream_fails);
    g_test_add_func("/old_weights/begun_stream_stays",
                    test_begun_stream_stays);
    return g_test_run();
}
