#include "scene_gateway.h"
#include "util/http_status.h"
#include "util/transfer.h"
#include <string.h>
#include <unistd.h>

static const char *const invalid[] = {
    "000",  "099", "099 x", "20",  "2",    "600",  "999", "1000",
    "0200", "2x0", "-20",   "+20", "2000", "0x1f", "101",
};

static char *
render(const char *status)
{
    return g_strdup_printf("HTTP/1.1 %s OK\r\nAttempt-Id: a\r\nServer-Seal: "
                           "s.a\r\nContent-Length: 2\r\n\r\nok",
                           status);
}

static bool
is_valid(const char *line, size_t step)
{
    struct pgw_http_status status = {0};

    for (size_t at = 0; at < strlen(line); at += step) {
        if (!pgw_http_status_feed(&status, line + at,
                                  MIN(step, strlen(line) - at))) {
            return false;
        }
    }
    return true;
}

/* Guards against a status that is taken for valid, or for invalid, as it comes
 * in pieces. */
static void
test_lines(void)
{
    static const char *const valid[] = {
        "HTTP/1.1 200 OK\r\n",        "\r\n\r\nHTTP/1.1 404 \r\n",
        "HTTP/1.1 503\r\n",           "HTTP/1.0 599\n",
        "HTTP/1.1  100 Continue\r\n",
    };

    for (size_t step = 1; step < 30; step++) {
        for (size_t i = 0; i < G_N_ELEMENTS(valid); i++) {
            g_assert_true(is_valid(valid[i], step));
        }
        for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
            char *line = render(invalid[i]);

            g_assert_false(is_valid(line, step));
            g_free(line);
        }
    }
}

/* Guards against an answer with an invalid status that its caller gets, or
 * after which another one is awaited until the deadline. */
static void
test_gateway(void)
{
    struct scene *scene = scene_new(1);

    scene_set_routes(scene, 1, true);
    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        int caller = scene_call(scene, "/late/", "a");
        int upstream = scene_accept(scene, 0);
        char *text = render(invalid[i]);

        g_free(scene_read_request(upstream));
        scene_send(upstream, text);
        g_free(text);
        text = scene_read_until(caller, "}}");
        if (!g_str_has_prefix(text, "HTTP/1.1 502 ")) {
            g_error("status %s: %s", invalid[i], text);
        }
        g_free(text);
        close(upstream);
        close(caller);
    }
    scene_free(scene);
}

/* Guards against interim answers that end the call. */
static void
test_interim_answers(void)
{
    struct scene *scene = scene_new(1);
    int caller;
    int upstream;

    scene_set_routes(scene, 1, true);
    caller = scene_call(scene, "/once/", "a");
    upstream = scene_accept(scene, 0);
    g_free(scene_read_request(upstream));
    scene_send(upstream, "HTTP/1.1 100 Continue\r\n\r\n"
                         "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
    scene_answer(upstream, "a", 418, "", "tea");
    g_free(scene_read_until(caller, "tea"));
    close(upstream);
    close(caller);
    scene_free(scene);
}

struct play {
    struct pgw_loop *loop;
    int listener;
    const char *answer;
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
serve(void *context)
{
    const struct play *play = context;
    int fd = accept(play->listener, NULL, NULL);

    g_free(scene_read_until(fd, "\r\n\r\n"));
    scene_send(fd, play->answer);
    /* Until the other side has closed. */
    g_free(scene_read_all(fd));
    close(fd);
    return NULL;
}

/* The same for the calls of the older path. */
static void
test_transfer(void)
{
    struct pgw_address address;
    int listener = scene_listen(&address);
    char text[PGW_ADDRESS_TEXT_SIZE];
    char *url;

    pgw_address_format(text, &address);
    url = g_strdup_printf("http://%s", text);
    for (size_t i = 0; i <= G_N_ELEMENTS(invalid); i++) {
        bool is_last = i == G_N_ELEMENTS(invalid);
        char *answer = render(is_last ? "200" : invalid[i]);
        struct play play = {.loop = pgw_loop_new(NULL),
                            .listener = listener,
                            .answer = answer};
        struct pgw_transfer_pool *pool = pgw_transfer_pool_new(play.loop);
        struct pgw_transfer_options options = {.method = "GET", .url = url};
        pthread_t thread;

        pthread_create(&thread, NULL, serve, &play);
        pgw_transfer_start(pool, &options, &ops, &play);
        pgw_loop_run(play.loop);
        pthread_join(thread, NULL);
        g_assert_cmpint(play.code == CURLE_OK, ==, is_last);
        pgw_transfer_pool_free(pool);
        pgw_loop_free(play.loop);
        g_free(answer);
    }
    g_free(url);
    close(listener);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/http_status/lines", test_lines);
    g_test_add_func("/http_status/gateway", test_gateway);
    g_test_add_func("/http_status/interim_answers", test_interim_answers);
    g_test_add_func("/http_status/transfer", test_transfer);
    return g_test_run();
}
