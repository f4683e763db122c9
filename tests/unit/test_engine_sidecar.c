#include "scene_engine.h"
#include "scene_gateway.h"

#include "codec.h"
#include "gateway/engine_sidecar.h"
#include "libparsleygw/link.h"
#include "util/log.h"
#include <arpa/inet.h>
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
 * @answer: the last answer to a probe: its number, what is unread,
 *          the word on the first part
 * @lock: of what the entry has heard; a POSIX one, as the thread sanitizer
 *        does not see those inside GLib
 */
struct stage {
    struct pgw_loop *loop;
    struct pgw_engine_sidecar *guard;
    struct pgw_link *entry;
    pthread_t thread;
    int engine;
    uint64_t tokens;
    pthread_mutex_t lock;
    unsigned states;
    bool loading;
    uint64_t version;
    struct {
        uint64_t probe;
        uint64_t unread;
        uint32_t part;
    } answer;
};

static struct stage *stage;

static void
get_token(void *context)
{
    (void)context;
    stage->tokens++;
    pgw_engine_sidecar_set_token(stage->guard, 40 + stage->tokens);
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
    if (state->n_models > 0) {
        stage->version = state->models[0]->version;
    }
    if (state->probe != 0) {
        stage->answer.probe = state->probe;
        stage->answer.unread = state->unread;
        stage->answer.part =
            state->n_part_words > 0 ? state->part_words[0] : 0;
    }
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
    struct pgw_engine_sidecar_options options = {
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
    stage->guard = pgw_engine_sidecar_new(stage->loop, &options, NULL);
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
    pgw_engine_sidecar_free(stage->guard);
    pgw_loop_free(stage->loop);
    close(stage->engine);
    pthread_mutex_destroy(&stage->lock);
    g_free(stage);
}

static struct pgw_task name_task;

static void
name_weights(struct pgw_task *task)
{
    (void)task;
    pgw_engine_sidecar_set_target_weights(stage->guard, "m", 2, 0, "i-1");
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
is_told(const struct scene_engine *engine)
{
    (void)engine;
    return entry_knows_version(1, false);
}

static bool
is_ordered(const struct scene_engine *engine)
{
    return engine->orders > 0;
}

static bool
is_open_again(const struct scene_engine *engine)
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
    struct scene_engine engine = {.version = 1, .sequence = 3};

    stage_open();
    engine.listener = stage->engine;
    scene_engine_serve(&engine, is_told);
    name_task.run = name_weights;
    pgw_loop_post(stage->loop, &name_task);
    scene_engine_serve(&engine, is_ordered);
    g_assert_true(entry_knows_version(1, true));
    g_assert_nonnull(strstr(engine.order, "\"version\":2"));
    g_assert_nonnull(strstr(engine.order, "\"fence\":41"));
    g_assert_nonnull(strstr(engine.order, "\"expect\":3"));
    g_assert_nonnull(strstr(engine.order, "\"method\":\"block\""));
    engine.version = 2;
    engine.sequence = 4;
    scene_engine_serve(&engine, is_open_again);
    g_assert_cmpuint(engine.orders, ==, 1);
    g_assert_cmpuint(stage->tokens, ==, 1);
    g_free(engine.order);
    stage_close();
}

static bool
is_ordered_again(const struct scene_engine *engine)
{
    return engine->orders > 1;
}

/*
 * The engine takes an order, crashes and is back under its id before the next
 * report, with its old weights and no order accepted. It is ordered again at
 * once, with its new count, and not only when the first order is given up.
 */
static void
test_restart_during_an_order(void)
{
    struct scene_engine engine = {
        .version = 1, .sequence = 3, .started_ms = 1000};

    stage_open();
    engine.listener = stage->engine;
    scene_engine_serve(&engine, is_told);
    name_task.run = name_weights;
    pgw_loop_post(stage->loop, &name_task);
    scene_engine_serve(&engine, is_ordered);
    engine.started_ms = 2000;
    engine.sequence = 0;
    /* Busy with something else: without the start the first order would count
     * as the one that it is busy with. */
    engine.busy = true;
    scene_engine_serve(&engine, is_ordered_again);
    g_assert_nonnull(strstr(engine.order, "\"expect\":0"));
    g_free(engine.order);
    stage_close();
}

static struct pgw_task probe_task;

/* As an entry of another zone: announces a prompt, and asks about its part. */
static void
announce_and_probe(struct pgw_task *task)
{
    uint64_t keys[] = {77};
    Pgw__Hello hello = PGW__HELLO__INIT;
    Pgw__HeldPart part = PGW__HELD_PART__INIT;
    Pgw__HeldPart *parts[] = {&part};
    Pgw__ExpectedParts announcement = PGW__EXPECTED_PARTS__INIT;
    Pgw__EngineProbe probe = PGW__ENGINE_PROBE__INIT;

    (void)task;
    hello.instance = (char *)"e";
    hello.zone = (char *)"b";
    hello.on_request = true;
    pgw_link_send(stage->entry, PGW_FRAME_HELLO, &hello.base);
    part.key = keys[0];
    part.tokens = 5000;
    announcement.parts = parts;
    announcement.n_parts = 1;
    announcement.to_read = 6000;
    announcement.memory = 6100;
    announcement.request = 1;
    pgw_link_send(stage->entry, PGW_FRAME_EXPECTED_PARTS, &announcement.base);
    probe.probe = 9;
    probe.part_keys = keys;
    probe.n_part_keys = 1;
    pgw_link_send(stage->entry, PGW_FRAME_ENGINE_PROBE, &probe.base);
}

static bool
is_answered(const struct scene_engine *engine)
{
    bool answered;

    (void)engine;
    pthread_mutex_lock(&stage->lock);
    answered = stage->answer.probe == 9;
    pthread_mutex_unlock(&stage->lock);
    return answered;
}

/* Guards against entries that all send to one engine between two of its
 * reports: what one announces is told to the next who asks. */
static void
test_probe_counts_what_is_announced(void)
{
    struct scene_engine engine = {.version = 1};

    stage_open();
    engine.listener = stage->engine;
    scene_engine_serve(&engine, is_told);
    probe_task.run = announce_and_probe;
    pgw_loop_post(stage->loop, &probe_task);
    scene_engine_serve(&engine, is_answered);
    g_assert_cmpuint(stage->answer.unread, ==, 6000);
    g_assert_cmpuint(stage->answer.part, ==, 1);
    stage_close();
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    pgw_log_init("test", "", "error");
    g_test_add_func("/engine_guard/order", test_order);
    g_test_add_func("/engine_guard/restart", test_restart_during_an_order);
    g_test_add_func("/engine_guard/probe",
                    test_probe_counts_what_is_announced);
    return g_test_run();
}
