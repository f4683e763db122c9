#include "scene_gateway.h"
#include "util/transfer.h"
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* More than the kernel buffers of a connection. */
#define UPLOAD_BYTES 4000000
#define PLAYS 40
#define PART_HEAD "HTTP/1.1 200 OK\r\nAttempt-Id: b\r\nServer-Seal: s.b\r\n"

ssize_t __real_send(int fd, const void *data, size_t size, int flags);
ssize_t __wrap_send(int fd, const void *data, size_t size, int flags);

/* Bytes of the request that are written before the upstream acts. */
#define FIRST_BYTES 64

/**
 * struct early_end - what the upstream does while a request is written
 * @upstream: its connection
 * @peer: the other end of it
 * @answer: what it answers
 * @in_order: it has closed in order before it resets
 * @writes: writes to it until it acts, 0: it does not
 */
static struct early_end {
    int upstream;
    struct sockaddr_storage peer;
    const char *answer;
    bool in_order;
    int writes;
} early;

static bool
is_to_upstream(int fd)
{
    struct sockaddr_storage address = {0};
    socklen_t size = sizeof(address);

    return getsockname(fd, (struct sockaddr *)&address, &size) == 0 &&
           memcmp(&address, &early.peer, sizeof(address)) == 0;
}

static void
wait_for(int fd, short events)
{
    struct pollfd polled = {.fd = fd, .events = events};

    g_assert_cmpint(poll(&polled, 1, SCENE_TIMEOUT_S * 1000), ==, 1);
}

static void
end_early(int fd)
{
    __real_send(early.upstream, early.answer, strlen(early.answer),
                MSG_NOSIGNAL);
    if (early.in_order) {
        shutdown(early.upstream, SHUT_WR);
        wait_for(fd, POLLRDHUP);
    }
    scene_reset(early.upstream);
    /* Errors are always reported. */
    wait_for(fd, 0);
}

/* Part of a request is written, then its upstream answers and resets. */
ssize_t
__wrap_send(int fd, const void *data, size_t size, int flags)
{
    if (__atomic_load_n(&early.writes, __ATOMIC_ACQUIRE) > 0 &&
        is_to_upstream(fd)) {
        if (__atomic_sub_fetch(&early.writes, 1, __ATOMIC_ACQ_REL) > 0) {
            size = MIN(size, FIRST_BYTES);
        }
        else {
            end_early(fd);
        }
    }
    return __real_send(fd, data, size, flags);
}

/* Sends a request on a connection that has carried one, and whose upstream
 * answers and resets it while the request is written. Returns the caller's
 * answer, to be freed. */
static char *
play_early_end(const char *answer, bool in_order)
{
    struct scene *scene = scene_new(1);
    socklen_t size = sizeof(early.peer);
    int caller;
    int upstream;
    char *text;

    scene_set_routes(scene, 1, true);
    caller = scene_call(scene, "/once/", "a");
    upstream = scene_accept(scene, 0);
    g_free(scene_read_request(upstream));
    scene_answer(upstream, "a", 200, "", "first");
    g_free(scene_read_until(caller, "first"));
    close(caller);
    early = (struct early_end){
        .upstream = upstream, .answer = answer, .in_order = in_order};
    getpeername(upstream, (struct sockaddr *)&early.peer, &size);
    __atomic_store_n(&early.writes, 2, __ATOMIC_RELEASE);
    caller =
        scene_call_with_fields(scene, "/once/", "b", "Connection: close\r\n");
    text = scene_read_all(caller);
    g_assert_cmpint(__atomic_load_n(&early.writes, __ATOMIC_ACQUIRE), ==, 0);
    close(caller);
    scene_free(scene);
    return text;
}

/* Guards against part of an answer without a length that its caller gets as a
 * whole one, since a write took the error of the reset. */
static void
test_part_is_no_answer(void)
{
    static const char *const parts[] = {
        PART_HEAD "\r\ndone ",
        PART_HEAD "Content-Length: 9\r\n\r\ndone ",
        PART_HEAD "Transfer-Encoding: chunked\r\n\r\n5\r\ndone \r\n",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
        char *answer = play_early_end(parts[i], false);

        g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 502 "));
        g_assert_nonnull(strstr(answer, "\"ran\":\"unknown\""));
        g_free(answer);
    }
}

/* The same for a stream, whose caller gets what there is, and no end. */
static void
test_part_is_no_stream(void)
{
    char *answer = play_early_end(
        PART_HEAD "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n",
        false);

    g_assert_nonnull(strstr(answer, "id: 1\ndata: x\n\n"));
    g_assert_false(g_str_has_suffix(answer, "\r\n0\r\n\r\n"));
    g_free(answer);
}

/* Guards against a whole answer that is dropped, as the rest of its request
 * could not be written. */
static void
test_whole_answer_is_delivered(void)
{
    char *answer =
        play_early_end(PART_HEAD "Content-Length: 5\r\n\r\nwhole", false);

    g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200 "));
    g_assert_true(g_str_has_suffix(answer, "\r\n\r\nwhole"));
    g_free(answer);
    answer = play_early_end(PART_HEAD "\r\nwhole", true);
    g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200 "));
    g_assert_true(g_str_has_suffix(answer, "\r\n\r\nwhole"));
    g_free(answer);
}

struct play {
    struct pgw_loop *loop;
    int listener;
    unsigned delay_us;
    CURLcode code;
};

static bool
on_body(struct pgw_transfer *transfer, const uint8_t *data, size_t size,
        void *context)
{
    (void)transfer;
    (void)data;
    (void)size;
    (void)context;
    return true;
}

static void
on_done(struct pgw_transfer *transfer, CURLcode code, long status,
        void *context)
{
    struct play *play = context;

    (void)transfer;
    (void)status;
    play->code = code;
    pgw_loop_stop(play->loop);
}

static const struct pgw_transfer_ops ops = {
    .on_body = on_body,
    .on_done = on_done,
};

static void *
serve_part(void *context)
{
    const struct play *play = context;
    int fd = accept(play->listener, NULL, NULL);

    scene_send(fd, "HTTP/1.1 200 OK\r\n\r\ndone ");
    g_usleep(play->delay_us);
    scene_reset(fd);
    return NULL;
}

/* The same for the calls of the older path, at several moments of an upload.
 */
static void
test_transfer(void)
{
    struct pgw_address address;
    int listener = scene_listen(&address);
    int small = 4096;
    char text[PGW_ADDRESS_TEXT_SIZE];
    char *body = g_malloc0(UPLOAD_BYTES);
    char *url;

    setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
    pgw_address_format(text, &address);
    url = g_strdup_printf("http://%s", text);
    for (unsigned i = 0; i < PLAYS; i++) {
        struct play play = {.loop = pgw_loop_new(NULL),
                            .listener = listener,
                            .delay_us = i * 250};
        struct pgw_transfer_pool *pool = pgw_transfer_pool_new(play.loop);
        struct pgw_transfer_options options = {
            .method = "POST",
            .url = url,
            .body = body,
            .body_size = UPLOAD_BYTES,
        };
        pthread_t thread;

        pthread_create(&thread, NULL, serve_part, &play);
        pgw_transfer_start(pool, &options, &ops, &play);
        pgw_loop_run(play.loop);
        pthread_join(thread, NULL);
        g_assert_cmpint(play.code, !=, CURLE_OK);
        pgw_transfer_pool_free(pool);
        pgw_loop_free(play.loop);
    }
    g_free(body);
    g_free(url);
    close(listener);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/reset_answer/part_is_no_answer", test_part_is_no_answer);
    g_test_add_func("/reset_answer/part_is_no_stream", test_part_is_no_stream);
    g_test_add_func("/reset_answer/whole_answer_is_delivered",
                    test_whole_answer_is_delivered);
    g_test_add_func("/reset_answer/transfer", test_transfer);
    return g_test_run();
}
