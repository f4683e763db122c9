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

/* The feed's first pause is a tenth of this. */
#define AGAIN_MS 1000

/**
 * struct stage - a sidecar's guard without an engine; the test is the store
 * @listener: where the store is called
 */
struct stage {
    struct pgw_loop *loop;
    struct pgw_engine_sidecar *guard;
    struct platform_store *store;
    struct platform_alone *alone;
    struct pgw_link *entry;
    pthread_t thread;
    int listener;
};

static struct stage *stage;

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
stage_open(void)
{
    struct pgw_address address;
    struct pgw_engine_sidecar_options guard = {
        .instance = "guard",
        .zone = "a",
        .codec = &platform_engine_codec,
        .get_token = get_token,
    };
    struct platform_alone_options alone = {.after_us = 1};

    stage = g_new0(struct stage, 1);
    stage->listener = scene_listen(&address);
    stage->loop = pgw_loop_new(NULL);
    stage->store = platform_store_new(stage->loop, &address);
    /* Nothing listens there: an engine that does not answer. */
    g_assert_true(pgw_address_parse(&guard.engine, "127.0.0.1:1", NULL));
    g_assert_true(pgw_address_parse(&guard.listen, "127.0.0.1:0", NULL));
    stage->guard = pgw_engine_sidecar_new(stage->loop, &guard, NULL);
    g_assert_nonnull(stage->guard);
    alone.store = stage->store;
    alone.guard = stage->guard;
    stage->alone = platform_alone_new(stage->loop, &alone);
    pthread_create(&stage->thread, NULL, scene_loop_main, stage->loop);
}

static void
stage_close(void)
{
    pgw_loop_stop(stage->loop);
    pthread_join(stage->thread, NULL);
    pgw_link_close(stage->entry);
    platform_alone_free(stage->alone);
    platform_store_free(stage->store);
    pgw_engine_sidecar_free(stage->guard);
    pgw_loop_free(stage->loop);
    close(stage->listener);
    g_free(stage);
}

static struct pgw_task connect_task;

static void
connect_entry(struct pgw_task *task)
{
    (void)task;
    stage->entry = scene_connect_entry(stage->loop, stage->guard, &link_ops);
}

/*
 * A sidecar that no entry speaks to follows the store's weights. Then an entry
 * comes: the sidecar's watch ends, so that the next version reaches it through
 * the entries alone, which say whose turn it is. With the watch all engines of
 * a pool would load the next version at the same moment.
 */
static void
test_watch_ends_when_an_entry_comes(void)
{
    struct pollfd waits = {.events = POLLIN};
    char *head;
    int fd;

    stage_open();
    waits.fd = stage->listener;
    fd = accept(stage->listener, NULL, NULL);
    head = scene_read_until(fd, "\r\n\r\n");
    g_assert_nonnull(strstr(head, "GET /api/objects/versions"));
    g_free(head);
    scene_answer(fd, "s", 200, "",
                 "{\"items\":[],\"has_more\":false,\"current_rev\":7}");
    head = scene_read_until(fd, "\r\n\r\n");
    g_assert_nonnull(strstr(head, "watch=7"));
    g_free(head);
    connect_task.run = connect_entry;
    pgw_loop_post(stage->loop, &connect_task);
    head = scene_read_all(fd);
    g_assert_cmpstr(head, ==, "");
    g_free(head);
    close(fd);
    /* A watch that only timed out would be back after a tenth of a second. */
    g_assert_cmpint(poll(&waits, 1, AGAIN_MS), ==, 0);
    stage_close();
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    pgw_log_init("test", "", "error");
    g_test_add_func("/platform_alone/watch_ends",
                    test_watch_ends_when_an_entry_comes);
    return g_test_run();
}
