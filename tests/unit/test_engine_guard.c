#include "scene_gateway.h"

#include "codec.h"
#include "gateway/engine_guard.h"
#include "libparsleygw/link.h"
#include "util/log.h"
#include <arpa/inet.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/**
 * struct stage - a guard between an engine and an entry that the test plays
 * @engine: the engine's listening socket
 * @tokens: fencing tokens given so far
 * @states: states that the entry has heard
 * @loading: the last one said that the engine loads
 * @version: weights in the last one
 * @lock: of what the entry has heard; a POSIX one, as the thread sanitizer
 *        does not see those inside GLib
 */
struct stage {
    struct pgw_loop *loop;
    struct pgw_engine_guard *guard;
    struct pgw_link *entry;
    pthread_t thread;
    int engine;
    uint64_t tokens;
    pthread_mutex_t lock;
    unsigned states;
    bool loading;
    uint64_t version;
};

static struct stage *stage;

static void
get_token(void *context)
{
    (void)context;
    stage->tokens++;
    pgw_engine_guard_take_token(stage->guard, 40 + stage->tokens);
}

static bool
on_frame(struct pgw_link *link, enum pgw_frame_type type,
         ProtobufCMessage *message, void *context)
{
    const Pgw__EngineState *state = (const Pgw__EngineState *)message;

    (void)link;
    (void)context;
    if (type != PGW_FRAME_ENGINE_STATE) {
        return false;
    }
    pthread_mutex_lock(&stage->lock);
    stage->states++;
    stage->loading = state->loading;
    stage->version = state->n_models > 0 ? state->models[0]->version : 0;
    pthread_mutex_unlock(&stage->lock);
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
    struct pgw_engine_guard_options options = {
        .instance = "guard",
        .zone = "a",
        .codec = &platform_engine_codec,
        .get_token = get_token,
    };

    stage = g_new0(struct stage, 1);
    pthread_mutex_init(&stage->lock, NULL);
    stage->engine = scene_listen(&options.engine);
    g_assert_true(pgw_address_parse(&options.listen, "127.0.0.1:0", NULL));
    stage->loop = pgw_loop_new(NULL);
    stage->guard = pgw_engine_guard_new(stage->loop, &options, NULL);
    g_assert_nonnull(stage->guard);
    stage->entry = scene_connect_entry(stage->loop, stage->guard, &link_ops);
    pthread_create(&stage->thread, NULL, scene_loop_main, stage->loop);
}

static void
stage_close(void)
{
    pgw_loop_stop(stage->loop);
    pthread_join(stage->thread, NULL);
    pgw_link_close(stage->entry);
    pgw_engine_guard_free(stage->guard);
    pgw_loop_free(stage->loop);
    close(stage->engine);
    pthread_mutex_destroy(&stage->lock);
    g_free(stage);
}

/**
 * struct engine - what the test's engine answers
 * @orders: orders that it has taken
 * @order: body of the last one
 */
struct engine {
    uint64_t version;
    bool busy;
    unsigned sequence;
    unsigned orders;
    char *order;
};

/* Serves one request of the guard; reports and orders as @engine says. */
static void
serve_one(struct engine *engine, int fd)
{
    char *head = scene_read_until(fd, "\r\n\r\n");
    char *text;

    if (strstr(head, "POST ") == head) {
        g_free(engine->order);
        engine->order = scene_read_until(fd, "}");
        engine->orders++;
        scene_send(fd, "HTTP/1.1 202 X\r\nContent-Length: 0\r\n\r\n");
    }
    else if (strstr(head, "/api/report") != NULL) {
        text = g_strdup_printf(
            "{\"models\":[{\"name\":\"m\",\"version\":%" G_GUINT64_FORMAT
            "}],\"busy\":%s,\"sequence\":%u,\"active\":1,\"kv_total\":900}",
            engine->version, engine->busy ? "true" : "false",
            engine->sequence);
        scene_answer(fd, "r", 200, "", text);
        g_free(text);
    }
    else {
        scene_answer(fd, "e", 200, "",
                     "{\"boot_epoch\":1,\"next\":0,\"lost_count\":false,"
                     "\"events\":[]}");
    }
    g_free(head);
}

/* Plays the engine until @done says so. */
static void
play(struct engine *engine, bool (*done)(const struct engine *engine))
{
    struct pollfd waits[16] = {{.fd = stage->engine, .events = POLLIN}};
    unsigned count = 1;

    while (!done(engine)) {
        g_assert_cmpint(poll(waits, count, SCENE_TIMEOUT_S * 1000), >, 0);
        for (unsigned i = 1; i < count; i++) {
            char byte;

            if (waits[i].revents != 0 &&
                recv(waits[i].fd, &byte, 1, MSG_PEEK) == 1) {
                serve_one(engine, waits[i].fd);
            }
            else if (waits[i].revents != 0) {
                close(waits[i].fd);
                waits[i] = waits[--count];
            }
        }
        if (waits[0].revents != 0) {
            g_assert_cmpuint(count, <, G_N_ELEMENTS(waits));
            waits[count++] = (struct pollfd){
                .fd = accept(stage->engine, NULL, NULL), .events = POLLIN};
        }
    }
    for (unsigned i = 1; i < count; i++) {
        close(waits[i].fd);
    }
}

static struct pgw_task name_task;

static void
name_weights(struct pgw_task *task)
{
    (void)task;
    pgw_engine_guard_name_weights(stage->guard, "m", 2, 0, "i-1");
}

static bool
entry_knows_version(uint64_t version, bool loading)
{
    bool known;

    pthread_mutex_lock(&stage->lock);
    known = stage->version == version && stage->loading == loading;
    pthread_mutex_unlock(&stage->lock);
    return known;
}

static bool
is_told(const struct engine *engine)
{
    (void)engine;
    return entry_knows_version(1, false);
}

static bool
is_ordered(const struct engine *engine)
{
    return engine->orders > 0;
}

static bool
is_open_again(const struct engine *engine)
{
    (void)engine;
    return entry_knows_version(2, false);
}

/*
 * Weights are named. The entry hears that the engine is about to load before
 * the engine gets the order, so that nothing more is sent to it; the order
 * bears a fencing token and the count of orders before it; once the engine
 * reports the new weights the entry hears that it serves again.
 */
static void
test_order(void)
{
    struct engine engine = {.version = 1, .sequence = 3};

    stage_open();
    play(&engine, is_told);
    name_task.run = name_weights;
    pgw_loop_post(stage->loop, &name_task);
    play(&engine, is_ordered);
    g_assert_true(entry_knows_version(1, true));
    g_assert_nonnull(strstr(engine.order, "\"version\":2"));
    g_assert_nonnull(strstr(engine.order, "\"fence\":41"));
    g_assert_nonnull(strstr(engine.order, "\"expect\":3"));
    g_assert_nonnull(strstr(engine.order, "\"method\":\"block\""));
    engine.version = 2;
    engine.sequence = 4;
    play(&engine, is_open_again);
    g_assert_cmpuint(engine.orders, ==, 1);
    g_assert_cmpuint(stage->tokens, ==, 1);
    g_free(engine.order);
    stage_close();
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    pgw_log_init("test", "", "error");
    g_test_add_func("/engine_guard/order", test_order);
    return g_test_run();
}
