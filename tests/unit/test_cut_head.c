#include "parsleygw/store.h"
#include "scene_gateway.h"
#include "util/transfer.h"
#include <string.h>
#include <unistd.h>

/* Heads of answers that say "ok". */
static const char *const heads[] = {
    "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nServer-Seal: s.a\r\n"
    "Content-Length: 2\r\n\r\n",
    "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nServer-Seal: s.a\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n"
    "Attempt-Id: a\r\nServer-Seal: s.a\r\nContent-Length: 2\r\n\r\n",
    "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nServer-Seal: s.a\r\n\r\n",
};

static void
end_connection(int fd, bool by_reset)
{
    if (by_reset) {
        scene_reset(fd);
    }
    else {
        close(fd);
    }
}

/* Guards against a 200 for an answer that ends within its head. */
static void
test_gateway(void)
{
    static const char *const paths[] = {"/once/", "/brook/"};
    struct scene *scene = scene_new(1);

    scene_set_routes(scene, 1, true);
    for (size_t i = 0; i < G_N_ELEMENTS(heads); i++) {
        for (size_t cut = 0; cut < strlen(heads[i]); cut++) {
            const char *path = paths[(i + cut) % 2];
            int caller = scene_call(scene, path, "a");
            int upstream = scene_accept(scene, 0);
            char *part = g_strndup(heads[i], cut);
            char *answer;

            g_free(scene_read_request(upstream));
            scene_send(upstream, part);
            end_connection(upstream, cut % 3 == 0);
            answer = scene_read_until(caller, "}}");
            g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 502 "));
            g_free(answer);
            g_free(part);
            close(caller);
        }
    }
    scene_free(scene);
}

struct play {
    struct pgw_loop *loop;
    CURLcode code;
    bool has_head;
};

static void
on_head(struct pgw_transfer *transfer, long status, void *context)
{
    struct play *play = context;

    (void)transfer;
    (void)status;
    play->has_head = true;
}

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
    .on_head = on_head,
    .on_body = on_body,
    .on_done = on_done,
};

/* What a server sends before it closes the first connection. */
struct server {
    int listener;
    const char *data;
    size_t size;
};

static void *
serve(void *context)
{
    const struct server *server = context;
    int fd = accept(server->listener, NULL, NULL);
    char *part = g_strndup(server->data, server->size);

    g_free(scene_read_until(fd, "\r\n\r\n"));
    scene_send(fd, part);
    close(fd);
    g_free(part);
    return NULL;
}

static char *
url_of(const struct pgw_address *address)
{
    char text[PGW_ADDRESS_TEXT_SIZE];

    pgw_address_format(text, address);
    return g_strdup_printf("http://%s", text);
}

/* The same for the calls of the older path. */
static void
test_transfer(void)
{
    struct pgw_address address;
    struct server server = {.listener = scene_listen(&address)};
    char *url = url_of(&address);

    for (size_t i = 0; i < G_N_ELEMENTS(heads); i++) {
        for (size_t cut = 0; cut <= strlen(heads[i]); cut++) {
            struct play play = {.loop = pgw_loop_new(NULL)};
            struct pgw_transfer_pool *pool = pgw_transfer_pool_new(play.loop);
            struct pgw_transfer_options options = {.method = "GET",
                                                   .url = url};
            bool is_whole = cut == strlen(heads[i]);
            pthread_t thread;

            server.data = heads[i];
            server.size = cut;
            pthread_create(&thread, NULL, serve, &server);
            pgw_transfer_start(pool, &options, &ops, &play);
            pgw_loop_run(play.loop);
            pthread_join(thread, NULL);
            g_assert_cmpint(play.has_head, ==, is_whole && i == 3);
            /* Only the head without a length or chunks may end here. */
            if (is_whole && i == 3) {
                g_assert_cmpint(play.code, ==, CURLE_OK);
            }
            else {
                g_assert_cmpint(play.code, !=, CURLE_OK);
            }
            pgw_transfer_pool_free(pool);
            pgw_loop_free(play.loop);
        }
    }
    g_free(url);
    close(server.listener);
}

/* Guards against a deletion that is believed done: the answer of the object
 * API ends within its head. */
static void
test_store(void)
{
    static const char head[] = "HTTP/1.1 200 OK\r\nDate: x\r\n";
    struct pgw_address address;
    struct server server = {.listener = scene_listen(&address),
                            .data = head,
                            .size = strlen(head)};
    char *url = url_of(&address);
    struct pgw_store_options options = PGW_STORE_OPTIONS_INIT;
    struct pgw_store *store = NULL;
    GError *error = NULL;
    pthread_t thread;

    options.url = url;
    g_assert_true(pgw_store_new(&store, &options, NULL));
    pthread_create(&thread, NULL, serve, &server);
    g_assert_false(pgw_store_delete_if(store, "pool", "a", 1,
                                       (uint64_t)g_get_monotonic_time() +
                                           SCENE_TIMEOUT_S * 1000000ULL,
                                       &error));
    g_assert_nonnull(error);
    g_error_free(error);
    pthread_join(thread, NULL);
    pgw_store_free(store);
    g_free(url);
    close(server.listener);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/cut_head/gateway", test_gateway);
    g_test_add_func("/cut_head/transfer", test_transfer);
    g_test_add_func("/cut_head/store", test_store);
    return g_test_run();
}
