#include "scene_gateway.h"
#include "util/log.h"
#include "util/loop.h"
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define EVENT_SIZE ((size_t)64 * 1024)
/* What the gateway keeps of a stream, and the buffers of the sockets on both
 * sides, are less than this. */
#define STREAM_MAX ((size_t)64 * 1024 * 1024)

static struct scene *
ready_scene(void)
{
    struct scene *scene = scene_new(1);

    scene_set_routes(scene, 5, true);
    return scene;
}

/*
 * Guards against the memory of an entry, and against an upstream that waits:
 * the caller of a stream reads nothing. It is disconnected, and its run is
 * cancelled.
 */
static void
test_unread_stream_ends(void)
{
    struct scene *scene = ready_scene();
    int caller = scene_call(scene, "/flow/", "a");
    int upstream = scene_accept(scene, 0);
    char *data = g_strnfill(EVENT_SIZE, 'x');
    size_t sent = 0;
    ssize_t size = 1;

    g_free(scene_read_request(upstream));
    scene_begin_stream(upstream, "a");
    for (unsigned id = 1; size > 0 && sent < STREAM_MAX; id++) {
        char *event = g_strdup_printf("id: %u\ndata: %s\n\n", id, data);
        char *chunk = g_strdup_printf("%zx\r\n%s\r\n", strlen(event), event);
        size_t done = 0;

        while (done < strlen(chunk) &&
               (size = send(upstream, chunk + done, strlen(chunk) - done,
                            MSG_NOSIGNAL)) > 0) {
            done += (size_t)size;
        }
        sent += done;
        g_free(event);
        g_free(chunk);
    }
    g_assert_cmpint(size, <, 0);
    g_assert_true(errno == EPIPE || errno == ECONNRESET);
    g_assert_cmpuint(sent, <, STREAM_MAX);
    g_free(data);
    close(caller);
    close(upstream);
    scene_free(scene);
}

#define SLOW_BODY ((size_t)512 * 1024)
#define SLOW_BUFFER 4096
#define SLOW_PAUSE_US 250000
/* Longer than any time-out of a connection. */
#define SLOW_US UINT64_C(8000000)

/* A connection must not be reset while its upstream reads a body slowly. */
static void
test_slow_upstream_gets_body(void)
{
    struct scene *scene = ready_scene();
    int buffer = SLOW_BUFFER;
    char *body = g_strnfill(SLOW_BODY, 'b');
    char *data = g_malloc(SLOW_BODY);
    uint64_t begin_us = pgw_now_us();
    size_t size = 0;
    char *answer;
    int caller;
    int upstream;

    g_assert_cmpint(setsockopt(scene->listeners[0], SOL_SOCKET, SO_RCVBUF,
                               &buffer, sizeof(buffer)),
                    ==, 0);
    caller = scene_call_with_body(scene, "/once/", "a", body);
    upstream = scene_accept(scene, 0);
    while (size < SLOW_BODY) {
        bool is_slow = pgw_now_us() < begin_us + SLOW_US;
        ssize_t received = recv(upstream, data, SLOW_BUFFER, 0);

        g_assert_cmpint(received, >, 0);
        size += (size_t)received;
        if (is_slow) {
            g_usleep(SLOW_PAUSE_US);
        }
    }
    scene_answer(upstream, "a", 200, "", "done");
    answer = scene_read_until(caller, "done");
    g_assert_nonnull(strstr(answer, " 200 "));
    g_free(answer);
    g_free(body);
    g_free(data);
    close(caller);
    close(upstream);
    scene_free(scene);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    pgw_log_init("test", "", "error");
    g_test_add_func("/slow_caller/unread_stream_ends",
                    test_unread_stream_ends);
    g_test_add_func("/slow_caller/slow_upstream_gets_body",
                    test_slow_upstream_gets_body);
    return g_test_run();
}
