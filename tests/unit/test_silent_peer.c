#include "scene_gateway.h"
#include "util/log.h"
#include <errno.h>
#include <linux/filter.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

/* Less than the deadline of a request, which would end the run in any case. */
#define BEFORE_DEADLINE_S (SCENE_TIMEOUT_S * 3 / 4)

/* From now on the peer acknowledges nothing, as if its machine had vanished.
 */
static void
vanish(int fd)
{
    struct sock_filter code[] = {BPF_STMT(BPF_RET | BPF_K, 0)};
    struct sock_fprog program = {.len = 1, .filter = code};

    g_assert_cmpint(setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                               sizeof(program)),
                    ==, 0);
}

static struct scene *
ready_scene(void)
{
    struct scene *scene = scene_new(1);

    scene_set_routes(scene, 5, true);
    return scene;
}

/* A vanished upstream must not hold a request until its deadline. */
static void
test_vanished_upstream_is_given_up(void)
{
    struct scene *scene = ready_scene();
    int caller = scene_call(scene, "/again/", "a");
    int upstream = scene_accept(scene, 0);
    char *answer;

    g_free(scene_read_request(upstream));
    scene_answer(upstream, "a", 200, "", "done");
    g_free(scene_read_until(caller, "done"));
    close(caller);
    vanish(upstream);
    caller =
        scene_call_with_fields(scene, "/again/", "b", "Connection: close\r\n");
    answer = scene_read_all(caller);
    g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 502 "));
    g_free(answer);
    close(caller);
    close(upstream);
    scene_free(scene);
}

/* The run of a stream whose caller has vanished must not go on. */
static void
test_vanished_caller_ends_its_run(void)
{
    struct scene *scene = ready_scene();
    int caller = scene_call(scene, "/flow/", "a");
    int upstream = scene_accept(scene, 0);
    struct timeval limit = {.tv_sec = BEFORE_DEADLINE_S};
    ssize_t received;
    char byte;

    setsockopt(upstream, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    g_free(scene_read_request(upstream));
    scene_begin_stream(upstream, "a");
    scene_chunk(upstream, "id: 1\ndata: first\n\n");
    g_free(scene_read_until(caller, "first"));
    vanish(caller);
    scene_chunk(upstream, "id: 2\ndata: second\n\n");
    received = recv(upstream, &byte, 1, 0);
    g_assert_true(received == 0 || (received < 0 && errno == ECONNRESET));
    close(caller);
    close(upstream);
    scene_free(scene);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    pgw_log_init("test", "", "info");
    g_test_add_func("/silent_peer/vanished_upstream_is_given_up",
                    test_vanished_upstream_is_given_up);
    g_test_add_func("/silent_peer/vanished_caller_ends_its_run",
                    test_vanished_caller_ends_its_run);
    return g_test_run();
}
