#include "scene_gateway.h"
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* A limit that allows no second request while a test runs. */
#define TINY_LIMIT "Server-Limit: 0.001\r\n"
#define LEAVING "Server-Leaving: 1\r\n"
/* A backoff that does not end while a test runs. */
#define LONG_RETRY_AFTER "Retry-After: 600\r\n"
/* The upstream closes its connection, so that the next request needs a new one
 * and the test sees it. */
#define CLOSE "Connection: close\r\n"

static void
do_nothing(struct scene *scene)
{
    (void)scene;
}

static unsigned request_count;

static void
count_requests(struct scene *scene)
{
    request_count = pgw_gateway_request_count(scene->gateway);
}

/* Waits until the gateway has read so many requests that have no answer. */
static void
wait_for_requests(struct scene *scene, unsigned count)
{
    do {
        scene_run(scene, count_requests);
    } while (request_count < count);
}

/**
 * struct notice - a statement after which an upstream takes no request
 * @name: for the names of the tests
 * @fields: header lines of the answer
 * @refused: the answer is a refusal; else the request was run
 */
struct notice {
    const char *name;
    const char *fields;
    bool refused;
};

static struct scene *
start(unsigned upstreams)
{
    struct scene *scene = scene_new(upstreams);

    scene_set_routes(scene, 1, true);
    return scene;
}

/* Answers a request at an upstream, and reads the answer as its caller. */
static void
finish_call(int caller, int fd, const char *id, const char *fields)
{
    char *answer;

    scene_answer(fd, id, 200, fields, "done");
    answer = scene_read_until(caller, "done");
    g_assert_nonnull(strstr(answer, "HTTP/1.1 200"));
    g_free(answer);
    close(caller);
    close(fd);
}

/* Accepts the next request at an upstream and reads it. */
static int
accept_request(struct scene *scene, unsigned upstream)
{
    int fd = scene_accept(scene, upstream);

    g_free(scene_read_request(fd));
    return fd;
}

/* Serves one request at any upstream, whose answer has additional fields.
 * Returns the upstream. */
static unsigned
serve_one(struct scene *scene, const char *id, const char *fields)
{
    unsigned upstream;
    int caller = scene_call(scene, "/again/", id);
    int fd = scene_accept_any(scene, &upstream);

    g_free(scene_read_request(fd));
    finish_call(caller, fd, id, fields);
    return upstream;
}

/* Lets one upstream state a notice, and returns it. A refused request is
 * served by another upstream. */
static unsigned
give_notice(struct scene *scene, const struct notice *notice)
{
    unsigned held;
    unsigned other;
    int caller;
    int fd;

    if (!notice->refused) {
        return serve_one(scene, "notice", notice->fields);
    }
    caller = scene_call(scene, "/again/", "notice");
    fd = scene_accept_any(scene, &held);
    g_free(scene_read_request(fd));
    scene_refuse_with(fd, notice->fields);
    close(fd);
    fd = scene_accept_any(scene, &other);
    g_assert_cmpuint(other, !=, held);
    g_free(scene_read_request(fd));
    finish_call(caller, fd, "notice", CLOSE);
    return held;
}

/* Guards against a queued request for an upstream that takes none. */
static void
test_queue(gconstpointer notice)
{
    struct scene *scene = start(2);
    unsigned held = give_notice(scene, notice);
    unsigned other = 1 - held;
    int caller_b = scene_call(scene, "/again/", "b");
    int fd_b = accept_request(scene, other);
    int caller_c;

    /* The other upstream has no free slot, so this request is queued. */
    caller_c = scene_call(scene, "/again/", "c");
    wait_for_requests(scene, 2);
    finish_call(caller_b, fd_b, "b", CLOSE);
    finish_call(caller_c, accept_request(scene, other), "c", CLOSE);
    g_assert_true(scene_has_no_connection(scene, held));
    scene_free(scene);
}

/* Occupies the two other upstreams. Returns the callers and connections. */
static void
occupy(struct scene *scene, const char *path, int callers[2], int fds[2],
       unsigned upstreams[2])
{
    static const char *const ids[] = {"b", "c"};

    for (unsigned i = 0; i < 2; i++) {
        callers[i] = scene_call(scene, i == 0 ? path : "/again/", ids[i]);
        fds[i] = scene_accept_any(scene, &upstreams[i]);
        g_free(scene_read_request(fds[i]));
    }
}

/* Guards against a retry that is sent to an upstream that takes none. */
static void
test_retry(gconstpointer notice)
{
    struct scene *scene = start(3);
    unsigned held = give_notice(scene, notice);
    unsigned upstreams[2];
    int callers[2];
    int fds[2];

    occupy(scene, "/again/", callers, fds, upstreams);
    scene_refuse(fds[0]);
    finish_call(callers[1], fds[1], "c", CLOSE);
    finish_call(callers[0], accept_request(scene, upstreams[1]), "b", CLOSE);
    g_assert_true(scene_has_no_connection(scene, held));
    close(fds[0]);
    scene_free(scene);
}

/* Guards against a stream that is resumed where no request is taken. */
static void
test_resumed_stream(gconstpointer notice)
{
    struct scene *scene = start(3);
    unsigned held = give_notice(scene, notice);
    unsigned upstreams[2];
    int callers[2];
    int fds[2];
    int resumed;

    occupy(scene, "/flow/", callers, fds, upstreams);
    scene_begin_stream(fds[0], "b");
    scene_chunk(fds[0], "id: 1\ndata: x\n\n");
    g_free(scene_read_until(callers[0], "data: x"));
    scene_reset(fds[0]);
    finish_call(callers[1], fds[1], "c", CLOSE);
    resumed = accept_request(scene, upstreams[1]);
    scene_begin_stream(resumed, "b");
    scene_chunk(resumed, "id: 2\ndata: y\n\n");
    g_free(scene_read_until(callers[0], "data: y"));
    g_assert_true(scene_has_no_connection(scene, held));
    close(resumed);
    close(callers[0]);
    scene_free(scene);
}

/* Guards against callers who wait for a pool that is at its limits. */
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

/* Guards against callers who wait for a pool that is in a long backoff. */
static void
test_pool_in_backoff_refuses_at_once(void)
{
    struct scene *scene = start(1);
    int first = scene_call(scene, "/again/", "a");
    int fd = accept_request(scene, 0);
    int second;
    char *answer;

    scene_refuse_with(fd, LONG_RETRY_AFTER CLOSE);
    answer = scene_read_until(first, "retry_after_ms");
    g_assert_nonnull(strstr(answer, "HTTP/1.1 503"));
    g_free(answer);
    second = scene_call(scene, "/once/", "b");
    answer = scene_read_until(second, "retry_after_ms");
    g_assert_nonnull(strstr(answer, "HTTP/1.1 503"));
    g_assert_nonnull(strstr(answer, "\"ran\":\"no\""));
    g_assert_cmpint(atoi(strstr(answer, "Retry-After: ") + 13), >=, 10);
    g_free(answer);
    scene_run(scene, do_nothing);
    g_assert_true(scene_has_no_connection(scene, 0));
    close(first);
    close(second);
    close(fd);
    scene_free(scene);
}

/* Guards against queued requests that wait for a pool in a long backoff. */
static void
test_queued_request_is_refused_at_once(void)
{
    struct scene *scene = start(1);
    int first = scene_call(scene, "/again/", "a");
    int fd = accept_request(scene, 0);
    int second = scene_call(scene, "/once/", "b");
    char *answer;

    /* The only slot is occupied, so the second request is queued. */
    wait_for_requests(scene, 2);
    scene_refuse_with(fd, LONG_RETRY_AFTER CLOSE);
    answer = scene_read_until(first, "retry_after_ms");
    g_assert_nonnull(strstr(answer, "HTTP/1.1 503"));
    g_free(answer);
    answer = scene_read_until(second, "retry_after_ms");
    g_assert_nonnull(strstr(answer, "HTTP/1.1 503"));
    g_assert_nonnull(strstr(answer, "\"ran\":\"no\""));
    g_assert_cmpint(atoi(strstr(answer, "Retry-After: ") + 13), >=, 10);
    g_free(answer);
    g_assert_true(scene_has_no_connection(scene, 0));
    close(first);
    close(second);
    close(fd);
    scene_free(scene);
}

/* Guards against a refusal although the backoff ends in time. */
static void
test_backoff_ends(void)
{
    struct scene *scene = start(2);
    unsigned in_backoff;
    int caller = scene_call(scene, "/again/", "a");
    int fd = scene_accept_any(scene, &in_backoff);
    int other;

    g_free(scene_read_request(fd));
    scene_refuse_with(fd, "Retry-After: 0.2\r\n" CLOSE);
    close(fd);
    /* The other upstream has no free slot until the end of the test. */
    other = accept_request(scene, 1 - in_backoff);
    fd = scene_call(scene, "/once/", "b");
    finish_call(fd, accept_request(scene, in_backoff), "b", CLOSE);
    finish_call(caller, other, "a", CLOSE);
    scene_free(scene);
}

/* Guards against a retry that waits for a limit beyond its deadline. */
static void
test_retry_beyond_limits_is_refused(void)
{
    struct scene *scene = start(2);
    unsigned limited = serve_one(scene, "a", TINY_LIMIT CLOSE);
    int caller = scene_call(scene, "/again/", "b");
    int fd = accept_request(scene, 1 - limited);
    char *answer;

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

/* Guards against an upstream that stays limited after its limit's end. */
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

/* Guards against a statement that is lost with its upstream's record. */
static void
test_record_lost_meanwhile(gconstpointer data)
{
    const struct notice *notice = data;
    struct scene *scene = start(2);
    unsigned held;
    int caller = scene_call(scene, "/again/", "a");
    int fd = scene_accept_any(scene, &held);

    g_free(scene_read_request(fd));
    scene_list_again(scene);
    if (notice->refused) {
        scene_refuse_with(fd, notice->fields);
        close(fd);
        fd = accept_request(scene, 1 - held);
        finish_call(caller, fd, "a", CLOSE);
    }
    else {
        finish_call(caller, fd, "a", notice->fields);
    }
    for (unsigned i = 0; i < 4; i++) {
        caller = scene_call(scene, "/again/", "b");
        finish_call(caller, accept_request(scene, 1 - held), "b", CLOSE);
    }
    g_assert_true(scene_has_no_connection(scene, held));
    scene_free(scene);
}

static void
add_tests(const struct notice *notice)
{
    static const struct {
        const char *way;
        void (*run)(gconstpointer notice);
    } ways[] = {
        {"queue", test_queue},
        {"retry", test_retry},
        {"resumed_stream", test_resumed_stream},
        {"record_lost_meanwhile", test_record_lost_meanwhile},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(ways); i++) {
        char *path = g_strdup_printf("/upstream_notice/%s/%s", notice->name,
                                     ways[i].way);

        g_test_add_data_func(path, notice, ways[i].run);
        g_free(path);
    }
}

int
main(int argc, char **argv)
{
    static const struct notice notices[] = {
        {"limit", TINY_LIMIT CLOSE, false},
        {"limit_in_refusal", TINY_LIMIT CLOSE, true},
        {"leaving", LEAVING CLOSE, false},
        {"leaving_in_refusal", LEAVING CLOSE, true},
        {"backoff", LONG_RETRY_AFTER CLOSE, true},
    };

    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(notices); i++) {
        add_tests(&notices[i]);
    }
    g_test_add_func("/upstream_notice/limited_pool_refuses_at_once",
                    test_limited_pool_refuses_at_once);
    g_test_add_func("/upstream_notice/retry_beyond_limits_is_refused",
                    test_retry_beyond_limits_is_refused);
    g_test_add_func("/upstream_notice/limit_ends", test_limit_ends);
    g_test_add_func("/upstream_notice/pool_in_backoff_refuses_at_once",
                    test_pool_in_backoff_refuses_at_once);
    g_test_add_func("/upstream_notice/queued_request_is_refused_at_once",
                    test_queued_request_is_refused_at_once);
    g_test_add_func("/upstream_notice/backoff_ends", test_backoff_ends);
    return g_test_run();
}
