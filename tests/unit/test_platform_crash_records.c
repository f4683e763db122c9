#include "scene_gateway.h"

#include "crash_records.h"
#include "util/log.h"
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CRASHES 3
#define EMPTY "{\"items\":[],\"has_more\":false,\"current_rev\":7}"

/**
 * struct life - an entry's process; the test acts as the store
 * @step: run on the loop
 * @fd: connection of the last call, -1: none
 */
struct life {
    struct pgw_task task;
    struct pgw_loop *loop;
    struct platform_store *store;
    struct pgw_crash_quarantine *quarantine;
    struct platform_crash_records *records;
    pthread_t thread;
    int listener;
    int fd;
    void (*step)(struct life *life);
    pthread_mutex_t lock;
    pthread_cond_t done;
    bool is_done;
};

static const struct pgw_crash_keys keys = {
    .items = {{.bytes = {1, 2, 3}}},
    .count = 1,
};

static void
run_step(struct pgw_task *task)
{
    struct life *life = pgw_container_of(task, struct life, task);

    life->step(life);
    pthread_mutex_lock(&life->lock);
    life->is_done = true;
    pthread_cond_signal(&life->done);
    pthread_mutex_unlock(&life->lock);
}

static void
on_loop(struct life *life, void (*step)(struct life *life))
{
    life->step = step;
    life->is_done = false;
    life->task.run = run_step;
    pgw_loop_post(life->loop, &life->task);
    pthread_mutex_lock(&life->lock);
    while (!life->is_done) {
        pthread_cond_wait(&life->done, &life->lock);
    }
    pthread_mutex_unlock(&life->lock);
}

static void
start_records(struct life *life)
{
    life->records =
        platform_crash_records_new(life->store, life->quarantine, "entry-1");
}

static struct life *
life_new(void)
{
    struct life *life = g_new0(struct life, 1);
    struct pgw_crash_quarantine_options options =
        PGW_CRASH_QUARANTINE_OPTIONS_INIT;
    struct pgw_address address;

    pthread_mutex_init(&life->lock, NULL);
    pthread_cond_init(&life->done, NULL);
    life->listener = scene_listen(&address);
    life->loop = pgw_loop_new(NULL);
    life->store = platform_store_new(life->loop, &address);
    life->quarantine = pgw_crash_quarantine_new(&options);
    life->fd = -1;
    pthread_create(&life->thread, NULL, scene_loop_main, life->loop);
    on_loop(life, start_records);
    return life;
}

static void
life_free(struct life *life)
{
    pgw_loop_stop(life->loop);
    pthread_join(life->thread, NULL);
    platform_crash_records_free(life->records);
    platform_store_free(life->store);
    pgw_crash_quarantine_free(life->quarantine);
    pgw_loop_free(life->loop);
    close(life->fd);
    close(life->listener);
    pthread_cond_destroy(&life->done);
    pthread_mutex_destroy(&life->lock);
    g_free(life);
}

/* Answers the next call, which ends with @end; returns its text, to be freed.
 */
static char *
serve(struct life *life, const char *expected, const char *end,
      unsigned status, const char *body)
{
    char *request;

    close(life->fd);
    life->fd = accept(life->listener, NULL, NULL);
    request = scene_read_until(life->fd, end);
    if (strstr(request, expected) == NULL) {
        g_error("%s instead of %s", request, expected);
    }
    scene_answer(life->fd, "s", status, "Connection: close\r\n", body);
    return request;
}

static void
crash_upstreams(struct life *life)
{
    for (unsigned i = 0; i < CRASHES; i++) {
        uint64_t now_us = pgw_now_us();
        char id[16];

        g_snprintf(id, sizeof(id), "u%u", i);
        pgw_crash_quarantine_add_interrupted(life->quarantine, &keys, id,
                                             now_us);
        pgw_crash_quarantine_add_crash(life->quarantine, id, 0, now_us);
    }
}

static void
sync_records(struct life *life)
{
    platform_crash_records_sync(life->records);
}

static uint32_t counted;

static void
count_crashes(struct life *life)
{
    counted =
        pgw_crash_quarantine_crashes(life->quarantine, &keys, pgw_now_us());
}

/* Waits until the records have handled the answer to their last call. */
static void
wait_for_crashes(struct life *life, uint32_t expected)
{
    for (unsigned i = 0; i < 2000; i++) {
        on_loop(life, count_crashes);
        if (counted == expected) {
            return;
        }
        g_usleep(1000);
    }
    g_assert_cmpuint(counted, ==, expected);
}

/* Guards against a request that crashes upstreams and is counted from zero
 * after all entries have ended. An unreadable object hides no other. */
static void
test_crashes_outlive_all_entries(void)
{
    struct life *first = life_new();
    struct life *second;
    char *created;
    char *page;

    g_free(serve(first, "GET /api/objects/parsleygw-crashes HTTP", "\r\n\r\n",
                 200, EMPTY));
    on_loop(first, crash_upstreams);
    for (unsigned i = 0; i < 50; i++) {
        on_loop(first, sync_records);
        g_usleep(1000);
    }
    created = serve(first, "POST /api/objects/parsleygw-crashes HTTP", "\"}}",
                    201, "{\"metadata\":{\"revision\":8}}");
    page = g_strdup_printf(
        "{\"items\":[{\"metadata\":{\"name\":\"x\"},\"specification\":7},"
        "{\"metadata\":{\"name\":\"y\"},\"specification\":"
        "{\"written_us\":1,\"runs\":\"!\"}},%s],"
        "\"has_more\":false,\"current_rev\":8}",
        strstr(created, "\r\n\r\n") + 4);
    second = life_new();
    g_free(serve(second, "GET /api/objects/parsleygw-crashes HTTP", "\r\n\r\n",
                 200, page));
    wait_for_crashes(second, CRASHES);
    g_free(page);
    g_free(created);
    life_free(second);
    life_free(first);
}

static void
crash_once(struct life *life)
{
    pgw_crash_quarantine_add_interrupted(life->quarantine, &keys, "u0",
                                         pgw_now_us());
    pgw_crash_quarantine_add_crash(life->quarantine, "u0", 0, pgw_now_us());
}

/* Guards against calls to the store for each crash of an upstream. */
static void
test_single_crashes_are_not_written(void)
{
    struct life *life = life_new();
    struct pollfd calls;

    g_free(serve(life, "GET /api/objects/parsleygw-crashes HTTP", "\r\n\r\n",
                 200, EMPTY));
    on_loop(life, crash_once);
    for (unsigned i = 0; i < 50; i++) {
        on_loop(life, sync_records);
        g_usleep(1000);
    }
    calls = (struct pollfd){.fd = life->listener, .events = POLLIN};
    g_assert_cmpint(poll(&calls, 1, 0), ==, 0);
    life_free(life);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    pgw_log_init("test", "", "error");
    g_test_add_func("/platform_crash_records/crashes_outlive_all_entries",
                    test_crashes_outlive_all_entries);
    g_test_add_func("/platform_crash_records/single_crashes_are_not_written",
                    test_single_crashes_are_not_written);
    return g_test_run();
}
