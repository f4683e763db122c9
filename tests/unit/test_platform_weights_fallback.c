#include "scene_gateway.h"

#include "codec.h"
#include "libparsleygw/link.h"
#include "util/log.h"
#include "weights_fallback.h"
#include <arpa/inet.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Ten times the first backoff of the feed. */
#define RECONNECT_WAIT_MS 1000

/**
 * struct fixture - a sidecar without an engine; the test acts as the store
 * @listener: socket that accepts calls to the store
 */
struct fixture {
    struct pgw_loop *loop;
    struct pgw_engine_sidecar *sidecar;
    struct platform_store *store;
    struct platform_weights_fallback *fallback;
    struct pgw_link *entry;
    pthread_t thread;
    int listener;
};

static struct fixture *fixture;

static void
get_token(void *context)
{
    (void)context;
}

static bool
on_frame(struct pgw_link *link, enum pgw_frame_type type,
         ProtobufCMessage *message, void *context)
{
    (void)link;
    (void)type;
    (void)message;
    (void)context;
    return false;
}

static void
on_closed(struct pgw_link *link, const GError *error, void *context)
{
    (void)link;
    (void)error;
    (void)context;
}

static const struct pgw_link_ops link_ops = {
    .on_frame = on_frame,
    .on_closed = on_closed,
};

static void
fixture_new(void)
{
    struct pgw_address address;
    struct pgw_engine_sidecar_options sidecar_options = {
        .instance = "sidecar",
        .zone = "a",
        .codec = &platform_engine_codec,
        .get_token = get_token,
    };
    struct platform_weights_fallback_options fallback = {.delay_us = 1};

    fixture = g_new0(struct fixture, 1);
    fixture->listener = scene_listen(&address);
    fixture->loop = pgw_loop_new(NULL);
    fixture->store = platform_store_new(fixture->loop, &address);
    /* Nothing listens at this address, so the engine never responds. */
    g_assert_true(
        pgw_address_parse(&sidecar_options.engine, "127.0.0.1:1", NULL));
    g_assert_true(
        pgw_address_parse(&sidecar_options.listen, "127.0.0.1:0", NULL));
    fixture->sidecar =
        pgw_engine_sidecar_new(fixture->loop, &sidecar_options, NULL);
    g_assert_nonnull(fixture->sidecar);
    fallback.store = fixture->store;
    fallback.sidecar = fixture->sidecar;
    fixture->fallback =
        platform_weights_fallback_new(fixture->loop, &fallback);
    pthread_create(&fixture->thread, NULL, scene_loop_main, fixture->loop);
}

static void
fixture_free(void)
{
    pgw_loop_stop(fixture->loop);
    pthread_join(fixture->thread, NULL);
    pgw_link_close(fixture->entry);
    platform_weights_fallback_free(fixture->fallback);
    platform_store_free(fixture->store);
    pgw_engine_sidecar_free(fixture->sidecar);
    pgw_loop_free(fixture->loop);
    close(fixture->listener);
    g_free(fixture);
}

static struct pgw_task connect_task;

static void
connect_entry(struct pgw_task *task)
{
    (void)task;
    fixture->entry =
        scene_connect_entry(fixture->loop, fixture->sidecar, &link_ops);
}

/*
 * Guards against a pool whose engines all load a new version at once. A
 * sidecar without a connected entry watches target versions in the store. If
 * the watch continued after an entry connects, each sidecar would receive the
 * next version without the rollout window of the entries.
 */
static void
test_store_watch_ends_when_entry_connects(void)
{
    struct pollfd listener_poll = {.events = POLLIN};
    char *head;
    int fd;

    fixture_new();
    listener_poll.fd = fixture->listener;
    fd = accept(fixture->listener, NULL, NULL);
    head = scene_read_until(fd, "\r\n\r\n");
    g_assert_nonnull(strstr(head, "GET /api/objects/versions"));
    g_free(head);
    scene_answer(fd, "s", 200, "",
                 "{\"items\":[],\"has_more\":false,\"current_rev\":7}");
    head = scene_read_until(fd, "\r\n\r\n");
    g_assert_nonnull(strstr(head, "watch=7"));
    g_free(head);
    connect_task.run = connect_entry;
    pgw_loop_post(fixture->loop, &connect_task);
    head = scene_read_all(fd);
    g_assert_cmpstr(head, ==, "");
    g_free(head);
    close(fd);
    /* After a failed watch the feed would connect again within 0.1 s. */
    g_assert_cmpint(poll(&listener_poll, 1, RECONNECT_WAIT_MS), ==, 0);
    fixture_free();
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    pgw_log_init("test", "", "error");
    g_test_add_func(
        "/platform_weights_fallback/watch_ends_when_entry_connects",
        test_store_watch_ends_when_entry_connects);
    return g_test_run();
}
