#include "scene_gateway.h"
#include "store.h"
#include <string.h>
#include <unistd.h>

/* A client of the store whose server is the test. */
struct play {
    struct pgw_loop *loop;
    struct platform_store *store;
    struct pgw_address address;
    struct pgw_task task;
    pthread_t thread;
    int listener;
    GAsyncQueue *statuses;
};

static void
on_response(void *context, const struct platform_store_response *response)
{
    struct play *play = context;

    /* A queue takes no NULL. */
    g_async_queue_push(play->statuses, GUINT_TO_POINTER(response->status + 1));
}

static void
begin_write(struct pgw_task *task)
{
    struct play *play = pgw_container_of(task, struct play, task);

    platform_store_replace(play->store, "leases", "orders", 0, "{}",
                           on_response, play);
}

static int
write_and_accept(struct play *play)
{
    int server;

    pgw_loop_post(play->loop, &play->task);
    server = accept(play->listener, NULL, NULL);
    g_free(scene_read_until(server, "{}}"));
    return server;
}

static unsigned
next_status(struct play *play)
{
    void *item = g_async_queue_timeout_pop(play->statuses,
                                           SCENE_TIMEOUT_S * G_USEC_PER_SEC);

    g_assert_nonnull(item);
    return GPOINTER_TO_UINT(item) - 1;
}

/* Guards against a write that is believed applied: the store's answer to the
 * write before comes twice. */
static void
test_write_has_its_own_connection(void)
{
    struct play play = {.task.run = begin_write};
    int first;
    int second;

    play.loop = pgw_loop_new(NULL);
    play.listener = scene_listen(&play.address);
    play.store = platform_store_new(play.loop, &play.address);
    play.statuses = g_async_queue_new();
    pthread_create(&play.thread, NULL, scene_loop_main, play.loop);
    first = write_and_accept(&play);
    scene_send(first, "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n{}");
    g_assert_cmpuint(next_status(&play), ==, 200);
    second = write_and_accept(&play);
    scene_send(second, "HTTP/1.1 409 X\r\nContent-Length: 2\r\n\r\n{}");
    g_assert_cmpuint(next_status(&play), ==, 409);
    pgw_loop_stop(play.loop);
    pthread_join(play.thread, NULL);
    platform_store_free(play.store);
    pgw_loop_free(play.loop);
    g_async_queue_unref(play.statuses);
    close(first);
    close(second);
    close(play.listener);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/platform_store/write_has_its_own_connection",
                    test_write_has_its_own_connection);
    return g_test_run();
}
