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

/* Guards against an entry that takes what an upstream sends without end. */
static void
test_connection_is_closed(gconstpointer data)
{
    const struct endless *endless = data;
    struct scene *scene = scene_new(1);
    pthread_t reader;
    int caller;
    int upstream;

    scene_set_routes(scene, 1, true);
    caller = scene_call_with_fields(scene, endless->path, "a",
                                    "Connection: close\r\n");
    upstream = scene_accept(scene, 0);
    g_free(scene_read_request(upstream));
    pthread_create(&reader, NULL, read_all, &caller);
    expect_closed(upstream, endless);
    pthread_join(reader, NULL);
    close(caller);
    close(upstream);
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
    }
    return g_test_run();
}
