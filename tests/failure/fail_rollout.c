/*
 * The operator edits the pool's version from w1 to w2 and does nothing else.
 * Callers go on asking all the while and see nothing of it: no request is
 * refused or cut off, and none is answered by two versions. The operator sees
 * at most load_permits engines loading at once, also as the weight store
 * counts them, and all engines on w2 at the end. With the store down in the
 * middle nothing more begins to load, what loads serves when it has loaded,
 * and the rest follows when the store is back.
 *
 * All processes stop that could tell one sidecar of the edit, and its engine
 * comes back with other weights. The sidecar, which knows only w1, looks into
 * the store before it orders anything; the engine loads once, w2.
 */
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <string.h>

#include "harness_fleet.h"
#include "parsleygw/watch.h"

#define ENGINES 4
#define PERMITS 2
#define CALLERS 6
#define TOKENS 12
/* One event a token and a last one with the reason. */
#define EVENTS (TOKENS + 1)
#define LIMIT_S 90
#define EDITS 12
/* A process that starts watches the store until it knows its zone; an edit in
 * that time would reach it. */
#define FIRST_WATCH_US (3 * G_USEC_PER_SEC)

static const char pool[] =
    "{\"type\":\"model\",\"model\":\"rulebook-7b\",\"version\":\"%s\","
    "\"load_permits\":%d,\"checks_fencing\":true,\"kv_store\":\"\","
    "\"bytes_per_token\":4}";

struct traffic {
    struct fleet *fleet;
    pthread_t threads[CALLERS];
    atomic_bool stop;
    atomic_uint serial;
    atomic_uint answered;
    atomic_uint lost;
    char *problem;
};

/* The stand-in's tokens follow from the prompt alone, so a gap, a repetition
 * or another engine's text shows. */
static void
judge(struct traffic *traffic, const struct harness_answer *answer)
{
    struct harness_stream stream;

    harness_stream_parse(&stream, answer->body->str);
    if (answer->status != 200 || !stream.done || stream.error != NULL ||
        stream.tokens != EVENTS) {
        if (atomic_fetch_add(&traffic->lost, 1) == 0) {
            traffic->problem = g_strdup(answer->body->str);
        }
    }
    else {
        atomic_fetch_add(&traffic->answered, 1);
    }
    harness_stream_dispose(&stream);
}

static void *
ask_on(void *data)
{
    struct traffic *traffic = data;

    while (!atomic_load(&traffic->stop)) {
        unsigned number = atomic_fetch_add(&traffic->serial, 1);
        char *prompt = g_strdup_printf("the long rulebook\n---\nmenu %u\n---\n"
                                       "dish %u",
                                       number % 7, number);
        char *body = fleet_body(prompt, TOKENS);
        struct harness_answer answer;

        fleet_call(&answer, traffic->fleet->entries[0], "/v1/completions",
                   &(struct harness_call){.body = body});
        judge(traffic, &answer);
        harness_answer_dispose(&answer);
        g_free(body);
        g_free(prompt);
    }
    return NULL;
}

static void
traffic_start(struct traffic *traffic, struct fleet *fleet)
{
    memset(traffic, 0, sizeof(*traffic));
    traffic->fleet = fleet;
    for (unsigned i = 0; i < CALLERS; i++) {
        pthread_create(&traffic->threads[i], NULL, ask_on, traffic);
    }
}

static void
traffic_finish(struct traffic *traffic)
{
    atomic_store(&traffic->stop, true);
    for (unsigned i = 0; i < CALLERS; i++) {
        pthread_join(traffic->threads[i], NULL);
    }
    g_test_message("answered %u lost %u", atomic_load(&traffic->answered),
                   atomic_load(&traffic->lost));
    if (atomic_load(&traffic->lost) > 0) {
        g_error("lost %u: %s", atomic_load(&traffic->lost), traffic->problem);
    }
    g_assert_cmpuint(atomic_load(&traffic->answered), >, CALLERS);
}

static unsigned
engines_on(struct fleet *fleet, const char *version)
{
    unsigned count = 0;

    for (unsigned i = 0; i < fleet->options.engines; i++) {
        JsonNode *status = harness_get_json(
            harness_process_url(fleet->engines[i], "/status"));

        count += strcmp(harness_json_string(status, "version"), version) == 0;
        json_node_unref(status);
    }
    return count;
}

static unsigned
engines_on_w2(struct fleet *fleet)
{
    return engines_on(fleet, "w2");
}

static bool
all_on_w2(void *data)
{
    return engines_on_w2(data) == ENGINES;
}

static bool
one_on_w2(void *data)
{
    return engines_on_w2(data) > 0;
}

struct rollout {
    struct harness *weights_harness;
    struct harness_process *weights;
    struct fleet *fleet;
    struct traffic traffic;
};

static void
rollout_begin(struct rollout *rollout, bool proxy_store)
{
    struct fleet_options options = FLEET_OPTIONS_INIT;
    const char *args[] = {"--weight-store", NULL, "--load-ms", "1500",
                          "--decode-ms",    "5",  NULL};

    rollout->weights_harness = harness_new();
    rollout->weights = harness_spawn(
        rollout->weights_harness, "standin-kvstore", "--permits", "2", NULL);
    args[1] = harness_process_url(rollout->weights, "");
    options.engines = ENGINES;
    options.proxy_store = proxy_store;
    options.engine_args = args;
    rollout->fleet = fleet_new(&options);
    traffic_start(&rollout->traffic, rollout->fleet);
    fleet_put(rollout->fleet, "pool", "guide", pool, "w2", PERMITS);
}

static void
rollout_end(struct rollout *rollout)
{
    const char *stats = harness_process_url(rollout->weights, "/_stats");
    gint64 most;

    g_assert_true(harness_wait_until(all_on_w2, rollout->fleet, LIMIT_S));
    traffic_finish(&rollout->traffic);
    most = harness_get_int(stats, "max_loading");
    g_assert_cmpint(most, >=, 1);
    g_assert_cmpint(most, <=, PERMITS);
    g_assert_cmpint(harness_get_int(stats, "loads_done"), ==, ENGINES);
    fleet_free(rollout->fleet);
    harness_free(rollout->weights_harness);
}

static void
test_whole(void)
{
    struct rollout rollout;

    rollout_begin(&rollout, false);
    rollout_end(&rollout);
}

static void
test_store_outage(void)
{
    struct rollout rollout;

    rollout_begin(&rollout, true);
    g_assert_true(harness_wait_until(one_on_w2, rollout.fleet, LIMIT_S));
    fleet_set_mode(rollout.fleet->stores[0], "{\"mode\":\"cut\"}");
    g_usleep(3 * G_USEC_PER_SEC);
    g_assert_cmpuint(engines_on_w2(rollout.fleet), <, ENGINES);
    fleet_set_mode(rollout.fleet->stores[0], "{\"mode\":\"pass\"}");
    rollout_end(&rollout);
}

struct target {
    struct fleet *fleet;
    char version[8];
};

static bool
all_on_target(void *data)
{
    struct target *target = data;

    return engines_on(target->fleet, target->version) == ENGINES;
}

/* Weights that load at once, edit upon edit: requests are under way at each
 * of the moments at which the last engine of a version closes its gate. */
static void
test_many(void)
{
    const char *const args[] = {"--load-ms", "20", "--decode-ms", "2", NULL};
    struct fleet_options options = FLEET_OPTIONS_INIT;
    struct traffic traffic;
    struct target target;

    options.engines = ENGINES;
    options.engine_args = args;
    target.fleet = fleet_new(&options);
    traffic_start(&traffic, target.fleet);
    for (unsigned i = 0; i < EDITS; i++) {
        g_snprintf(target.version, sizeof(target.version), "w%u", i + 2);
        fleet_put(target.fleet, "pool", "guide", pool, target.version,
                  PERMITS);
        g_assert_true(harness_wait_until(all_on_target, &target, LIMIT_S));
    }
    traffic_finish(&traffic);
    fleet_free(target.fleet);
}

static bool
is_loading(void *data)
{
    JsonNode *status = harness_get_json(harness_process_url(data, "/status"));
    bool loading = json_node_get_boolean(harness_json(status, "loading"));

    json_node_unref(status);
    return loading;
}

static bool
runs_one(void *data)
{
    return harness_get_int(harness_process_url(data, "/_stats"), "running") ==
           1;
}

static bool
all_but_one_on_w2(void *data)
{
    return engines_on_w2(data) == ENGINES - 1;
}

/* One engine still answers by w1 while the others have w2; it crashes,
 * and nobody is left who could go on with the answer. The caller gets what
 * came so far and an explicit error, and not a rest by other weights. */
static void
test_crash_midway(void)
{
    struct fleet_options options = FLEET_OPTIONS_INIT;
    const char *const args[] = {"--load-ms", "200", "--decode-ms", "10", NULL};
    const unsigned tokens = 4000;
    struct fleet *fleet;
    struct fleet_caller *caller;
    struct harness_stream stream;
    struct harness_stream whole;
    unsigned at = 0;

    options.engines = ENGINES;
    options.engine_args = args;
    fleet = fleet_new(&options);
    caller = fleet_caller_start(fleet->entries[0], "a long answer", tokens);
    fleet_caller_wait_begun(caller, 1000);
    while (!runs_one(fleet->engines[at])) {
        at++;
        g_assert_cmpuint(at, <, ENGINES);
    }
    fleet_put(fleet, "pool", "guide", pool, "w2", PERMITS);
    g_assert_true(harness_wait_until(all_but_one_on_w2, fleet, LIMIT_S));
    g_assert_true(runs_one(fleet->engines[at]));
    harness_process_stop(fleet->engines[at], SIGKILL);
    g_assert_cmpint(fleet_caller_finish(caller, &stream), ==, 200);
    g_assert_false(stream.done);
    g_assert_nonnull(stream.error);
    g_assert_cmpuint(stream.tokens, >, 0);
    g_assert_cmpuint(stream.tokens, <, tokens);
    fleet_ask(&whole, fleet->entries[0], "a long answer", stream.tokens);
    g_assert_true(g_str_has_prefix(whole.text->str, stream.text->str));
    harness_stream_dispose(&stream);
    harness_stream_dispose(&whole);
    fleet_free(fleet);
}

static bool
is_done(void *data)
{
    return fleet_status_int(data, "order/done") == 1;
}

/* The operator takes an edit back while the engine loads: weights that never
 * come would hold the engine and its permit for ever. */
static void
test_taken_back(void)
{
    struct fleet_options options = FLEET_OPTIONS_INIT;
    const char *const args[] = {"--load-ms", "4000", NULL};
    struct fleet *fleet;
    struct harness_stream stream;

    options.engines = 1;
    options.engine_args = args;
    fleet = fleet_new(&options);
    fleet_put(fleet, "pool", "guide", pool, "w2", PERMITS);
    g_assert_true(harness_wait_until(is_loading, fleet->engines[0], LIMIT_S));
    fleet_put(fleet, "pool", "guide", pool, "w1", PERMITS);
    g_assert_true(harness_wait_until(is_done, fleet->sidecars[0], LIMIT_S));
    g_assert_cmpuint(engines_on_w2(fleet), ==, 0);
    fleet_ask(&stream, fleet->entries[0], "once more", TOKENS);
    g_assert_true(stream.done);
    harness_stream_dispose(&stream);
    fleet_free(fleet);
}

/* A sidecar that does not watch the store for its zone. */
static unsigned
find_follower(void)
{
    static const char *const names[ENGINES] = {"up0", "up1", "up2", "up3"};

    for (unsigned i = 0; i < ENGINES; i++) {
        if (!pgw_watch_is_selected(names[i], names, ENGINES, "a", 2)) {
            return i;
        }
    }
    g_assert_not_reached();
}

static void
signal_others(struct fleet *fleet, unsigned follower, int number)
{
    for (unsigned i = 0; i < ENGINES; i++) {
        if (i != follower) {
            harness_process_signal(fleet->sidecars[i], number);
        }
    }
    harness_process_signal(fleet->entries[0], number);
}

/* An engine with weights that nobody declares, at the same address. */
static void
replace_engine(struct rollout *rollout, unsigned index, unsigned port)
{
    char *number = g_strdup_printf("%u", port);

    rollout->fleet->engines[index] = harness_spawn(
        rollout->fleet->harness, "standin-engine", "--port", number,
        "--version", "w0", "--load-ms", "100", "--weight-store",
        harness_process_url(rollout->weights, ""), NULL);
    g_free(number);
}

static bool
is_on_w2(void *data)
{
    JsonNode *node = harness_get_json(harness_process_url(data, "/status"));
    bool moved = strcmp(harness_json_string(node, "version"), "w2") == 0;

    json_node_unref(node);
    return moved;
}

/* The follower's copy is old until it looks into the store by itself, which
 * takes seconds; an order takes a tenth of that. */
static void
test_old_copy(void)
{
    unsigned follower = find_follower();
    struct fleet_options options = FLEET_OPTIONS_INIT;
    struct rollout rollout = {0};
    unsigned port;

    rollout.weights_harness = harness_new();
    rollout.weights =
        harness_spawn(rollout.weights_harness, "standin-kvstore", NULL);
    options.engines = ENGINES;
    rollout.fleet = fleet_new(&options);
    g_usleep(FIRST_WATCH_US);
    port = harness_process_port(rollout.fleet->engines[follower]);
    harness_process_stop(rollout.fleet->engines[follower], SIGKILL);
    signal_others(rollout.fleet, follower, SIGSTOP);
    fleet_put(rollout.fleet, "pool", "guide", pool, "w2", PERMITS);
    replace_engine(&rollout, follower, port);
    g_assert_true(harness_wait_until(
        is_on_w2, rollout.fleet->engines[follower], LIMIT_S));
    g_assert_cmpint(
        harness_get_int(harness_process_url(rollout.weights, "/_stats"),
                        "loads_done"),
        ==, 1);
    signal_others(rollout.fleet, follower, SIGCONT);
    fleet_free(rollout.fleet);
    harness_free(rollout.weights_harness);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/rollout/whole", test_whole);
    g_test_add_func("/rollout/many", test_many);
    g_test_add_func("/rollout/store-outage", test_store_outage);
    g_test_add_func("/rollout/crash-midway", test_crash_midway);
    g_test_add_func("/rollout/taken-back", test_taken_back);
    g_test_add_func("/rollout/old-copy", test_old_copy);
    return g_test_run();
}
