#include "scene_gateway.h"
#include <string.h>
#include <unistd.h>

/* A limit that allows no second request while a test runs. */
#define TINY_LIMIT "Server-Limit: 0.001\r\n"
/* The upstream closes its connection, so that the next request needs a new one
 * and the test sees it. */
#define CLOSE "Connection: close\r\n"

static void
do_nothing(struct scene *scene)
{
    (void)scene;
}

/* Serves one request at any upstream, whose answer has additional fields.
 * Returns the upstream. */
static unsigned
serve_one(struct scene *scene, const char *id, const char *fields)
{
    unsigned upstream;
    int caller = scene_call(scene, "/again/", id);
    int fd = scene_accept_any(scene, &upstream);
    char *answer;

    g_free(scene_read_request(fd));
    scene_answer(fd, id, 200, fields, "done");
    answer = scene_read_until(caller, "done");
    g_assert_nonnull(strstr(answer, "200"));
    g_free(answer);
    close(caller);
    close(fd);
    return upstream;
}

static struct scene *
start(unsigned upstreams)
{
    struct scene *scene = scene_new(upstreams);

    scene_set_routes(scene, 1, true);
    return scene;
}

static void
finish_call(int caller, int fd, const char *id)
{
    char *answer;

    scene_answer(fd, id, 200, CLOSE, "done");
    answer = scene_read_until(caller, "done");
    g_free(answer);
    close(caller);
    close(fd);
}

/* Guards against a new request that is sent to an upstream at its limit. */
static void
test_limit_holds_for_queue(void)
{
    struct scene *scene = start(2);
    unsigned limited = serve_one(scene, "a", TINY_LIMIT CLOSE);
    unsigned other = 1 - limited;
    int caller_b = scene_call(scene, "/again/", "b");
    int fd_b = scene_accept(scene, other);
    int caller_c;
    int fd_c;

    g_free(scene_read_request(fd_b));
    /* The other upstream has no free slot, so this request is queued. */
    caller_c = scene_call(scene, "/again/", "c");
    finish_call(caller_b, fd_b, "b");
    fd_c = scene_accept(scene, other);
    g_free(scene_read_request(fd_c));
    finish_call(caller_c, fd_c, "c");
    g_assert_true(scene_has_no_connection(scene, limited));
    scene_free(scene);
}

/* Guards against a retry that is sent to an upstream at its limit. */
static void
test_limit_holds_for_retry(void)
{
    struct scene *scene = start(2);
    unsigned limited = serve_one(scene, "a", TINY_LIMIT CLOSE);
    int caller = scene_call(scene, "/again/", "b");
    int fd = scene_accept(scene, 1 - limited);
    char *answer;

    g_free(scene_read_request(fd));
    scene_refuse(fd);
    answer = scene_read_until(caller, "\r\n\r\n");
    g_assert_nonnull(strstr(answer, "HTTP/1.1 503"));
    g_assert_nonnull(strstr(answer, "Retry-After"));
    g_free(answer);
    scene_run(scene, do_nothing);
    g_assert_true(scene_has_no_connection(scene, limited));
    close(caller);
    close(fd);
    scene_free(scene);
}

/* Guards against a stream that is resumed at an upstream at its limit. */
static void
test_limit_holds_for_resumed_stream(void)
{
    struct scene *scene = start(2);
    unsigned limited = serve_one(scene, "a", TINY_LIMIT CLOSE);
    int caller = scene_call(scene, "/flow/", "b");
    int fd = scene_accept(scene, 1 - limited);

    g_free(scene_read_request(fd));
    scene_begin_stream(fd, "b");
    scene_chunk(fd, "id: 1\ndata: x\n\n");
    g_free(scene_read_until(caller, "data: x"));
    scene_reset(fd);
    /* The stream ends without its last chunk: it is incomplete. */
    g_free(scene_read_all(caller));
    scene_run(scene, do_nothing);
    g_assert_true(scene_has_no_connection(scene, limited));
    close(caller);
    scene_free(scene);
}

/* Guards against requests that are sent to a pool whose upstreams are all at
 * their limits, and against callers who wait there for nothing. */
static void
test_limited_pool_refuses_at_once(void)
{
    struct scene *scene = start(1);
    int caller;
    char *answer;

    serve_one(scene, "a", TINY_LIMIT CLOSE);
    caller = scene_call(scene, "/once/", "b");
    answer = scene_read_until(caller, "retry_after_ms");
    g_assert_nonnull(strstr(answer, "HTTP/1.1 503"));
    g_assert_nonnull(strstr(answer, "Retry-After"));
    g_assert_nonnull(strstr(answer, "\"ran\":\"no\""));
    g_free(answer);
    scene_run(scene, do_nothing);
    g_assert_true(scene_has_no_connection(scene, 0));
    close(caller);
    scene_free(scene);
}

/* Guards against a limit that is read only from answers with success. */
static void
test_limit_in_refusal(void)
{
    struct scene *scene = start(2);
    unsigned limited;
    int caller_a = scene_call(scene, "/again/", "a");
    int refused = scene_accept_any(scene, &limited);
    int caller_b;
    int fd;

    g_free(scene_read_request(refused));
    scene_send(refused, "HTTP/1.1 503 Full\r\nNot-Run: 1\r\n" TINY_LIMIT CLOSE
                        "Content-Length: 0\r\n\r\n");
    fd = scene_accept(scene, 1 - limited);
    g_free(scene_read_request(fd));
    close(refused);
    /* Only the upstream at its limit has a free slot. */
    caller_b = scene_call(scene, "/again/", "b");
    finish_call(caller_a, fd, "a");
    fd = scene_accept(scene, 1 - limited);
    g_free(scene_read_request(fd));
    finish_call(caller_b, fd, "b");
    g_assert_true(scene_has_no_connection(scene, limited));
    scene_free(scene);
}

/* Guards against an upstream that stays limited after it has ended its limit.
 */
static void
test_limit_ends(void)
{
    struct scene *scene = start(1);

    serve_one(scene, "a", "Server-Limit: 50\r\n" CLOSE);
    serve_one(scene, "b", CLOSE);
    for (unsigned i = 0; i < 20; i++) {
        serve_one(scene, "c", CLOSE);
    }
    scene_free(scene);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/upstream_notice/limit_holds_for_queue",
                    test_limit_holds_for_queue);
    g_test_add_func("/upstream_notice/limit_holds_for_retry",
                    test_limit_holds_for_retry);
    g_test_add_func("/upstream_notice/limit_holds_for_resumed_stream",
                    test_limit_holds_for_resumed_stream);
    g_test_add_func("/upstream_notice/limited_pool_refuses_at_once",
                    test_limited_pool_refuses_at_once);
    g_test_add_func("/upstream_notice/limit_in_refusal",
                    test_limit_in_refusal);
    g_test_add_func("/upstream_notice/limit_ends", test_limit_ends);
    return g_test_run();
}
