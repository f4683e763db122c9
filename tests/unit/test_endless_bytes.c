#include "scene_gateway.h"
#include "util/log.h"
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* More than an entry takes of one answer, and what the sockets between hold.
 */
#define CLOSED_WITHIN ((size_t)64 * 1024 * 1024)
#define BLOCK_SIZE 65536
#define GENUINE "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nServer-Seal: s\r\n"

/* What an upstream sends: a beginning, then @piece again and again. */
struct endless {
    const char *name;
    const char *path;
    const char *begin;
    const char *piece;
};

static const struct endless cases[] = {
    {"header_line", "/once/", "HTTP/1.1 200 OK\r\nX: ", "a"},
    {"headers", "/once/", "HTTP/1.1 200 OK\r\n", "X: a\r\n"},
    {"no_http", "/once/", "", "x"},
    {"interim_answers", "/once/", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"answers_of_others", "/once/", "",
     "HTTP/1.1 200 OK\r\nAttempt-Id: x\r\nContent-Length: 0\r\n\r\n"},
    {"answer_of_another", "/once/",
     "HTTP/1.1 200 OK\r\nAttempt-Id: x\r\nContent-Length: 1000000000000\r\n"
     "\r\n",
     "a"},
    {"chunk_size", "/once/", GENUINE "Transfer-Encoding: chunked\r\n\r\n",
     "0"},
    {"trailers", "/once/", GENUINE "Transfer-Encoding: chunked\r\n\r\n0\r\n",
     "X: a\r\n"},
    {"body", "/once/", GENUINE "\r\n", "a"},
    {"length", "/once/", GENUINE "Content-Length: 1000000000000\r\n\r\n", "a"},
    {"chunks", "/once/", GENUINE "Transfer-Encoding: chunked\r\n\r\n",
     "1\r\na\r\n"},
    {"event", "/brook/", GENUINE "Content-Type: text/event-stream\r\n\r\n",
     "data: a\n"},
    {"events", "/brook/", GENUINE "Content-Type: text/event-stream\r\n\r\n",
     "data: a\n\n"},
    {"blank_lines", "/brook/",
     GENUINE "Content-Type: text/event-stream\r\n\r\n", "\n"},
};

/* Sends until the connection is closed; fails if it takes too much. */
static void
expect_closed(int fd, const struct endless *endless)
{
    GString *block = g_string_sized_new(BLOCK_SIZE);
    size_t total = 0;
    ssize_t sent;

    scene_send(fd, endless->begin);
    while (block->len + strlen(endless->piece) <= BLOCK_SIZE) {
        g_string_append(block, endless->piece);
    }
    do {
        sent = send(fd, block->str, block->len, MSG_NOSIGNAL);
        total += sent > 0 ? (size_t)sent : 0;
    } while (sent > 0 && total <= CLOSED_WITHIN);
    if (sent > 0 || errno == EAGAIN) {
        g_error("%s: not closed after %zu bytes", endless->name, total);
    }
    g_string_free(block, TRUE);
}

static void *
read_all(void *caller)
{
    char buffer[BLOCK_SIZE];

    while (recv(*(int *)caller, buffer, sizeof(buffer), 0) > 0) {
    }
    return NULL;
}

static void
begin_drain(struct scene *scene)
{
    pgw_gateway_drain(scene->gateway,
                      pgw_now_us() + SCENE_TIMEOUT_S * UINT64_C(1000000));
}

static void
play_endless(const struct endless *endless, bool is_stopping)
{
    struct scene *scene = scene_new(1);
    pthread_t reader;
    int caller;
    int upstream;

    scene_set_routes(scene, 1, true);
    caller = scene_call_with_fields(scene, endless->path, "a",
                                    "Connection: close\r\n");
    upstream = scene_accept(scene, 0);
    g_free(scene_read_request(upstream));
    if (is_stopping) {
        scene_run(scene, begin_drain);
    }
    pthread_create(&reader, NULL, read_all, &caller);
    expect_closed(upstream, endless);
    pthread_join(reader, NULL);
    close(caller);
    close(upstream);
    scene_free(scene);
}

/* Guards against an entry that takes what an upstream sends without end. */
static void
test_connection_is_closed(gconstpointer data)
{
    play_endless(data, false);
}

/* Guards against the same while the entry stops. */
static void
test_connection_is_closed_stopping(gconstpointer data)
{
    play_endless(data, true);
}

/* Sends the first @size bytes of an answer of as many or more. */
static int
begin_answer(struct scene *scene, const char *id, size_t length, size_t size)
{
    unsigned which;
    int upstream = scene_accept_any(scene, &which);
    char *head =
        g_strdup_printf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n"
                        "Server-Seal: s\r\nContent-Length: %zu\r\n\r\n",
                        id, length);
    char *body = g_strnfill(size, 'b');

    g_free(scene_read_request(upstream));
    scene_send(upstream, head);
    scene_send(upstream, body);
    g_free(head);
    g_free(body);
    return upstream;
}

/* Guards against answers that each are within bounds, and together take all
 * the memory of an entry: the largest one is given up. */
static void
test_many_answers_are_bounded(void)
{
    struct scene *scene =
        scene_new_with_answers_bound(2, (size_t)4 * 1024 * 1024);
    int callers[2];
    int upstreams[2];
    char *answer;

    scene_set_routes(scene, 1, true);
    callers[0] =
        scene_call_with_fields(scene, "/once/", "a", "Connection: close\r\n");
    upstreams[0] = begin_answer(scene, "a", 6000000, 3000000);
    callers[1] =
        scene_call_with_fields(scene, "/once/", "b", "Connection: close\r\n");
    upstreams[1] = begin_answer(scene, "b", 2000000, 2000000);
    answer = scene_read_all(callers[0]);
    g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 502 "));
    g_free(answer);
    answer = scene_read_all(callers[1]);
    g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200 "));
    g_assert_cmpuint(strlen(answer), >, 2000000);
    g_free(answer);
    for (unsigned i = 0; i < 2; i++) {
        close(callers[i]);
        close(upstreams[i]);
    }
    scene_free(scene);
}

/* Many events that each are within bounds must not fill the memory. */
static void
test_many_events_are_bounded(void)
{
    struct scene *scene = scene_new_with_answers_bound(2, 300000);
    char *event = g_strnfill(200000, 'e');
    int callers[2];
    int upstreams[2];
    char *answer;

    scene_set_routes(scene, 1, true);
    for (unsigned i = 0; i < 2; i++) {
        const char *id = i == 0 ? "a" : "b";
        unsigned which;

        callers[i] = scene_call(scene, "/brook/", id);
        upstreams[i] = scene_accept_any(scene, &which);
        g_free(scene_read_request(upstreams[i]));
        scene_begin_stream(upstreams[i], id);
        scene_chunk(upstreams[i], "id: 1\ndata: first\n\n");
        g_free(scene_read_until(callers[i], "first"));
        scene_chunk(upstreams[i], event);
    }
    answer = scene_read_all(callers[0]);
    g_assert_null(strstr(answer, "0\r\n\r\n"));
    scene_chunk(upstreams[1], "\n\n");
    scene_chunk(upstreams[1], "");
    g_free(answer);
    answer = scene_read_until(callers[1], "0\r\n\r\n");
    g_assert_cmpuint(strlen(answer), >, 200000);
    g_free(answer);
    g_free(event);
    for (unsigned i = 0; i < 2; i++) {
        close(callers[i]);
        close(upstreams[i]);
    }
    scene_free(scene);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    pgw_log_init("test", "", "error");
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *path = g_strconcat("/endless_bytes/", cases[i].name, NULL);

        g_test_add_data_func(path, &cases[i], test_connection_is_closed);
        g_free(path);
        path = g_strconcat("/endless_bytes/stopping/", cases[i].name, NULL);
        g_test_add_data_func(path, &cases[i],
                             test_connection_is_closed_stopping);
        g_free(path);
    }
    g_test_add_func("/endless_bytes/many_answers_are_bounded",
                    test_many_answers_are_bounded);
    g_test_add_func("/endless_bytes/many_events_are_bounded",
                    test_many_events_are_bounded);
    return g_test_run();
}
