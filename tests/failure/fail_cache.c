/*
 * Callers ask prompts that an engine has cached; then the engine is killed and
 * a new one answers at its address, or its weights change and change back,
 * and what the old one had reported arrives only afterwards. Other workspaces
 * and adapters ask the same prompts, and events are lost and doubled. Nobody
 * is promised cached tokens that the engine does not have: what the sidecar
 * counts for a prompt is at most what the engine then reports in the answer,
 * and nothing of a dead engine, older weights or somebody else.
 */
#include <signal.h>
#include <string.h>

#include "entry/levels_frame.h"
#include "harness_entry_end.h"
#include "harness_fleet.h"

#define LIMIT_S 60
#define MARKER "\n---\n"
#define OTHER_KEY "test-key-2"
#define MODEL "rulebook-7b"
#define LONG_BYTES 16000
#define SHORT_BYTES 2000
#define POLL_MS 1000
#define HELD_POLL_MS 50000
/* Held: the first connection that carries more than any answer but events.
 * The rest of those fits into the kernel's buffers and outlives the engine. */
#define HOLD_BYTES 3000
#define HOLD_EVENTS "{\"mode\":\"stall\",\"once\":true,\"after_bytes\":3000}"
#define LET_GO "{\"mode\":\"pass\",\"lift\":true}"
/* Requests under way count as a hint for 2 s, blocks after a gap, too; the
 * list of all blocks is asked for at most once a second. */
#define SETTLE_US (4 * G_USEC_PER_SEC)

static const struct pgw_level_salt parish = {.workspace = "parish",
                                             .model = MODEL,
                                             .adapter = "",
                                             .version = "w1"};

struct scene {
    struct fleet *fleet;
    struct entry_end *end;
    struct pgw_level_salt salt;
    uint64_t probes;
};

static void
scene_init(struct scene *scene, const char *const *engine_args,
           unsigned poll_ms)
{
    struct fleet_options options = FLEET_OPTIONS_INIT;
    char *poll = g_strdup_printf(",\"event_poll_ms\":%u", poll_ms);

    options.engines = 1;
    options.proxy_upstreams = true;
    options.engine_args = engine_args;
    /* A poll that is held is waited for. */
    options.sidecar_settings = poll;
    *scene = (struct scene){.fleet = fleet_new(&options), .salt = parish};
    scene->end = entry_end_greet(scene->fleet->sidecars[0]);
    g_free(poll);
}

static void
scene_dispose(struct scene *scene)
{
    entry_end_free(scene->end);
    fleet_free(scene->fleet);
}

/* One level of so many bytes that no other number shares, and a question. */
static char *
prompt(unsigned number, size_t bytes)
{
    GString *text = g_string_new(NULL);

    while (text->len < bytes) {
        g_string_append_printf(text, "%04u%06zu ", number, text->len);
    }
    g_string_append(text, MARKER "question");
    return g_string_free(text, FALSE);
}

/* Probes as the entry of a workspace does; the levels may be salted as
 * somebody else's. Free the reply. */
static Pgw__ProbeReply *
probe(struct scene *scene, const struct pgw_level_salt *salt,
      const char *workspace, const char *text)
{
    Pgw__Probe message = PGW__PROBE__INIT;
    struct pgw_level_chain chain;
    struct levels_frame levels;
    enum pgw_frame_type type;
    uint32_t ends[PGW_LEVEL_MAX];
    size_t n = pgw_level_boundaries(ends, PGW_LEVEL_MAX - 1, text,
                                    strlen(text), MARKER);
    Pgw__ProbeReply *reply;

    g_assert_true(
        pgw_level_chain_init(&chain, salt, text, strlen(text), ends, n, 4));
    levels_frame_init(&levels, &chain);
    message.probe = ++scene->probes;
    message.workspace = (char *)workspace;
    message.share = 1;
    message.priority = 1;
    message.prompt_tokens = chain.prompt_tokens;
    message.deadline_ms = 60000;
    message.model = (char *)salt->model;
    message.version = (char *)salt->version;
    message.n_levels = chain.count;
    message.levels = levels.pointers;
    entry_end_send(scene->end, PGW_FRAME_PROBE, &message.base);
    reply = (Pgw__ProbeReply *)entry_end_next(
        scene->end, 1u << PGW_FRAME_PROBE_REPLY, &type);
    g_assert_nonnull(reply);
    g_assert_cmpuint(reply->probe, ==, scene->probes);
    return reply;
}

static uint32_t
matched_as(struct scene *scene, const struct pgw_level_salt *salt,
           const char *workspace, const char *text)
{
    Pgw__ProbeReply *reply = probe(scene, salt, workspace, text);
    uint32_t matched = reply->matched_tokens;

    pgw_frame_free(&reply->base);
    return matched;
}

static uint32_t
matched(struct scene *scene, const char *text)
{
    return matched_as(scene, &scene->salt, scene->salt.workspace, text);
}

/* Asks, and checks the engine's report against what was counted before. */
static gint64
ask(struct scene *scene, const char *text)
{
    uint32_t counted = matched(scene, text);
    struct harness_stream stream;
    gint64 cached;

    fleet_ask(&stream, scene->fleet->entries[0], text, 4);
    g_assert_true(stream.done);
    cached = stream.cached_tokens;
    harness_stream_dispose(&stream);
    g_test_message("counted %u, cached %" G_GINT64_FORMAT, counted, cached);
    g_assert_cmpint(counted, <=, cached);
    return cached;
}

struct wanted {
    struct scene *scene;
    const char *text;
    const char *version;
    uint64_t engine;
};

static bool
is_matched(void *data)
{
    const struct wanted *wanted = data;

    return matched(wanted->scene, wanted->text) > 0;
}

static bool
is_engine(void *data)
{
    const struct wanted *wanted = data;
    Pgw__ProbeReply *reply =
        probe(wanted->scene, &parish, parish.workspace, wanted->text);
    bool same = reply->engine != 0 && reply->engine != wanted->engine &&
                strcmp(reply->version, wanted->version) == 0;

    pgw_frame_free(&reply->base);
    return same;
}

/* Waits until the sidecar counts what the events say, and no hint. */
static void
settle(struct scene *scene, const char *text)
{
    struct wanted wanted = {.scene = scene, .text = text};

    g_usleep(SETTLE_US);
    g_assert_true(harness_wait_until(is_matched, &wanted, LIMIT_S));
}

static void
wait_version(struct scene *scene, const char *text, const char *version)
{
    struct wanted wanted = {
        .scene = scene, .text = text, .version = version, .engine = 0};

    fleet_put(scene->fleet, "pool", "guide",
              "{\"type\":\"model\",\"model\":\"" MODEL "\",\"version\":"
              "\"%s\",\"load_permits\":3,\"checks_fencing\":true,"
              "\"kv_store\":\"\",\"bytes_per_token\":4}",
              version);
    g_assert_true(harness_wait_until(is_engine, &wanted, LIMIT_S));
    fleet_wait_configured(scene->fleet, scene->fleet->entries[0]);
}

static void
wait_restart(struct scene *scene, const char *text,
             const char *const *engine_args)
{
    struct fleet *fleet = scene->fleet;
    Pgw__ProbeReply *reply = probe(scene, &parish, parish.workspace, text);
    struct wanted wanted = {.scene = scene,
                            .text = text,
                            .version = "w1",
                            .engine = reply->engine};
    char *port =
        g_strdup_printf("%u", harness_process_port(fleet->engines[0]));
    const char *args[] = {
        "--port",       port, engine_args[0], engine_args[1], engine_args[2],
        engine_args[3], NULL};

    pgw_frame_free(&reply->base);
    g_assert_cmpint(harness_process_stop(fleet->engines[0], SIGKILL), ==,
                    -SIGKILL);
    fleet->engines[0] = harness_spawnv(fleet->harness, "standin-engine", args);
    harness_process_port(fleet->engines[0]);
    g_free(port);
    g_assert_true(harness_wait_until(is_engine, &wanted, LIMIT_S));
}

static gint64
to_sidecar_bytes(struct scene *scene)
{
    return harness_get_int(
        fleet_admin_url(scene->fleet->upstreams[0], "/stats"), "to_client");
}

struct held {
    struct scene *scene;
    gint64 before;
};

static bool
is_held(void *data)
{
    const struct held *held = data;

    return to_sidecar_bytes(held->scene) >= held->before + HOLD_BYTES;
}

/* A cached prompt, and one whose events stay on the way. */
static void
warm_and_hold(struct scene *scene, const char *warm, const char *late)
{
    struct held held = {.scene = scene};

    g_assert_cmpint(ask(scene, warm), ==, 0);
    settle(scene, warm);
    g_assert_cmpint(ask(scene, warm), >=, SHORT_BYTES / 4 - 32);
    fleet_set_mode(scene->fleet->upstreams[0], HOLD_EVENTS);
    held.before = to_sidecar_bytes(scene);
    g_assert_cmpint(ask(scene, late), ==, 0);
    g_assert_true(harness_wait_until(is_held, &held, LIMIT_S));
    /* The engine has the rest to write. */
    g_usleep(G_USEC_PER_SEC / 5);
}

static bool
is_delivered(void *data)
{
    const struct held *held = data;

    return fleet_status_int(held->scene->fleet->sidecars[0], "late_events") >
           held->before;
}

/* Asks again, since a request that comes while the view is being forgotten
 * is not counted for. */
static bool
is_counted(void *data)
{
    struct wanted *wanted = data;

    ask(wanted->scene, wanted->text);
    g_usleep(SETTLE_US);
    return is_matched(wanted);
}

/* What the dead engine reported arrives, and then events of the present one
 * are taken as ever. */
static void
deliver_late(struct scene *scene)
{
    char *fresh = prompt(900, SHORT_BYTES);
    struct wanted wanted = {.scene = scene, .text = fresh};
    struct held held = {.scene = scene};

    held.before = fleet_status_int(scene->fleet->sidecars[0], "late_events");
    fleet_set_mode(scene->fleet->upstreams[0], LET_GO);
    g_assert_true(harness_wait_until(is_delivered, &held, LIMIT_S));
    g_assert_true(harness_wait_until(is_counted, &wanted, LIMIT_S));
    g_free(fresh);
}

static void
assert_uncounted(struct scene *scene, const char *warm, const char *late)
{
    g_assert_cmpuint(matched(scene, warm), ==, 0);
    g_assert_cmpuint(matched(scene, late), ==, 0);
}

static const char *const on_time[] = {"--event-loss", "0", "--event-delay-ms",
                                      "50", NULL};

static void
test_restart(void)
{
    char *warm = prompt(1, SHORT_BYTES);
    char *late = prompt(2, LONG_BYTES);
    struct scene scene;

    scene_init(&scene, on_time, HELD_POLL_MS);
    warm_and_hold(&scene, warm, late);
    wait_restart(&scene, warm, on_time);
    assert_uncounted(&scene, warm, late);
    deliver_late(&scene);
    assert_uncounted(&scene, warm, late);
    g_assert_cmpint(ask(&scene, late), ==, 0);
    g_assert_cmpint(ask(&scene, warm), ==, 0);
    scene_dispose(&scene);
    g_free(warm);
    g_free(late);
}

/* The new engine numbers its events from 1 again, and the first answer to the
 * sidecar's question for those behind the dead one's last is an empty one. */
static void
test_restart_counts(void)
{
    /* More events than all of the waiting below can bring. */
    char *many = prompt(1, 8 * LONG_BYTES);
    char *few = prompt(2, SHORT_BYTES);
    struct wanted wanted = {.text = few};
    struct scene scene;

    scene_init(&scene, on_time, POLL_MS);
    wanted.scene = &scene;
    g_assert_cmpint(ask(&scene, many), ==, 0);
    settle(&scene, many);
    wait_restart(&scene, many, on_time);
    g_assert_true(harness_wait_until(is_counted, &wanted, LIMIT_S));
    g_assert_cmpuint(matched(&scene, many), ==, 0);
    scene_dispose(&scene);
    g_free(many);
    g_free(few);
}

static void
test_weights(void)
{
    static const char *const args[] = {"--load-ms", "200", "--event-delay-ms",
                                       "50", NULL};
    struct pgw_level_salt newer = parish;
    char *warm = prompt(1, SHORT_BYTES);
    char *late = prompt(2, LONG_BYTES);
    struct scene scene;

    newer.version = "w2";
    scene_init(&scene, args, HELD_POLL_MS);
    warm_and_hold(&scene, warm, late);
    wait_version(&scene, warm, "w2");
    /* By the older weights, as an entry asks that has not heard yet. */
    assert_uncounted(&scene, warm, late);
    g_assert_cmpuint(matched_as(&scene, &newer, "parish", warm), ==, 0);
    scene.salt = newer;
    deliver_late(&scene);
    g_assert_cmpuint(matched_as(&scene, &parish, "parish", late), ==, 0);
    g_assert_cmpuint(matched_as(&scene, &newer, "parish", late), ==, 0);
    scene.salt = parish;
    wait_version(&scene, warm, "w1");
    assert_uncounted(&scene, warm, late);
    g_assert_cmpint(ask(&scene, late), ==, 0);
    g_assert_cmpint(ask(&scene, warm), ==, 0);
    scene_dispose(&scene);
    g_free(warm);
    g_free(late);
}

static void
test_others(void)
{
    struct pgw_level_salt hostel = parish;
    struct pgw_level_salt adapter = parish;
    struct pgw_level_salt newer = parish;
    char *warm = prompt(1, SHORT_BYTES);
    struct harness_stream stream;
    struct scene scene;

    hostel.workspace = "hostel";
    adapter.adapter = "brogue";
    newer.version = "w2";
    scene_init(&scene, on_time, POLL_MS);
    fleet_put_workspace(scene.fleet, "hostel", OTHER_KEY);
    g_assert_cmpint(ask(&scene, warm), ==, 0);
    settle(&scene, warm);
    g_assert_cmpuint(matched_as(&scene, &hostel, "hostel", warm), ==, 0);
    /* Levels that were forged, and those of others of the own workspace. */
    g_assert_cmpuint(matched_as(&scene, &parish, "hostel", warm), ==, 0);
    g_assert_cmpuint(matched_as(&scene, &adapter, "parish", warm), ==, 0);
    g_assert_cmpuint(matched_as(&scene, &newer, "parish", warm), ==, 0);
    fleet_ask_as(scene.fleet, &stream, OTHER_KEY, warm, 4);
    g_assert_cmpint(stream.cached_tokens, ==, 0);
    harness_stream_dispose(&stream);
    g_assert_cmpint(ask(&scene, warm), >=, SHORT_BYTES / 4 - 32);
    scene_dispose(&scene);
    g_free(warm);
}

#define PROMPTS 20

/* The cache holds about half of the prompts; each third event is lost, and
 * each third comes twice, evictions among them. */
static void
test_loss(void)
{
    static const char *const args[] = {"--event-loss",
                                       "0.3",
                                       "--event-repeat",
                                       "0.3",
                                       "--event-delay-ms",
                                       "50",
                                       "--cache-blocks",
                                       "320",
                                       NULL};
    char *texts[PROMPTS];
    uint32_t counted[PROMPTS];
    uint32_t sum = 0;
    struct scene scene;

    scene_init(&scene, args, POLL_MS);
    for (unsigned i = 0; i < PROMPTS; i++) {
        texts[i] = prompt(i, SHORT_BYTES);
        g_assert_cmpint(ask(&scene, texts[i]), ==, 0);
    }
    settle(&scene, texts[PROMPTS - 1]);
    for (unsigned i = 0; i < PROMPTS; i++) {
        counted[i] = matched(&scene, texts[i]);
        sum += counted[i];
    }
    g_assert_cmpuint(sum, >, SHORT_BYTES / 4);
    /* The newest first: asking what is there evicts nothing. */
    for (unsigned i = PROMPTS; i-- > 0;) {
        struct harness_stream stream;

        fleet_ask(&stream, scene.fleet->entries[0], texts[i], 4);
        g_test_message("%u: counted %u, cached %" G_GINT64_FORMAT, i,
                       counted[i], stream.cached_tokens);
        g_assert_cmpint(counted[i], <=, stream.cached_tokens);
        harness_stream_dispose(&stream);
        g_free(texts[i]);
    }
    scene_dispose(&scene);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/cache/restart", test_restart);
    g_test_add_func("/cache/restart-counts", test_restart_counts);
    g_test_add_func("/cache/weights", test_weights);
    g_test_add_func("/cache/others", test_others);
    g_test_add_func("/cache/loss", test_loss);
    return g_test_run();
}
