/*
 * A sidecar is stopped (a paused virtual machine) while its engine loads; its
 * lease lapses, and a second process for the same upstream takes the order
 * over. Then the first one wakes up and still believes that it holds the
 * permit; meanwhile the pool has moved on to w3, of which it has not heard.
 * The operator sees: the engine keeps the successor's number and weights, each
 * version was loaded once and no permit stays taken, whether the engine checks
 * numbers or takes any order.
 */
#include <signal.h>
#include <string.h>

#include "harness_fleet.h"

#define LIMIT_S 60

struct scene {
    struct fleet *fleet;
    struct harness *weights_harness;
    struct harness_process *weights;
    struct harness_process *second;
};

static void
put_version(struct scene *scene, const char *version, const char *checks)
{
    fleet_put(scene->fleet, "pool", "guide",
              "{\"type\":\"model\",\"model\":\"rulebook-7b\",\"version\":"
              "\"%s\",\"load_permits\":1,\"checks_fencing\":%s,"
              "\"bytes_per_token\":4}",
              version, checks);
}

static bool
is_loading(void *data)
{
    const struct scene *scene = data;
    JsonNode *status = harness_get_json(
        harness_process_url(scene->fleet->engines[0], "/status"));
    bool loading = json_node_get_boolean(harness_json(status, "loading"));

    json_node_unref(status);
    return loading;
}

/* Highest number that the engine took, and what it runs. */
static gint64
engine_fence(const struct scene *scene, char **version)
{
    JsonNode *status = harness_get_json(
        harness_process_url(scene->fleet->engines[0], "/status"));
    gint64 fence = harness_json_int(status, "fence");

    if (version != NULL) {
        *version = g_strdup(harness_json_string(status, "version"));
    }
    json_node_unref(status);
    return fence;
}

static bool
has_carried_out_both(void *data)
{
    return fleet_status_int(data, "order/done") == 2;
}

static bool
has_carried_out(void *data)
{
    return fleet_status_int(data, "order/done") > 0;
}

static unsigned
permits_in_use(const struct scene *scene)
{
    JsonNode *object = harness_get_json(
        harness_process_url(scene->fleet->objects, "/objects/permit/guide"));
    unsigned n = harness_json_length(object, "value/slots");

    json_node_unref(object);
    return n;
}

static bool
is_released(void *data)
{
    return permits_in_use(data) == 0;
}

static void
scene_init(struct scene *scene, const char *flag, const char *checks)
{
    struct fleet_options options = FLEET_OPTIONS_INIT;
    const char *args[] = {"--load-ms", "3000", "--weight-store",
                          NULL,        flag,   NULL};

    scene->weights_harness = harness_new();
    scene->weights =
        harness_spawn(scene->weights_harness, "standin-kvstore", NULL);
    args[3] = harness_process_url(scene->weights, "");
    options.engines = 1;
    options.engine_args = args;
    scene->fleet = fleet_new(&options);
    put_version(scene, "w2", checks);
}

/* The platform starts a replacement of the silent process. */
static void
start_second(struct scene *scene)
{
    const char *path = harness_write_file(
        scene->fleet->harness, "second.json",
        "{\"instance\":\"up0\",\"zone\":\"a\",\"pool\":\"guide\",\"listen\":"
        "\"127.0.0.1:0\",\"admin_listen\":\"127.0.0.1:0\","
        "\"upstream_url\":\"http://127.0.0.1:%u\",\"store_url\":"
        "\"http://127.0.0.1:%u\"}",
        harness_process_port(scene->fleet->engines[0]),
        harness_process_port(scene->fleet->objects));

    scene->second = harness_spawn(scene->fleet->harness, "parsleygw-sidecar",
                                  "--config", path, NULL);
    harness_wait_ready(fleet_admin_url(scene->second, "/readyz"));
}

static bool
is_told_to_stop(void *data)
{
    const char *url = fleet_admin_url(data, "/status");
    JsonNode *status = harness_get_json(url);
    const char *phase = harness_json_string(status, "order/phase");
    bool over = strcmp(phase, "idle") == 0 || strcmp(phase, "waiting") == 0;

    json_node_unref(status);
    return over;
}

static void
check(const char *flag, const char *checks)
{
    struct scene scene = {0};
    struct harness_process *first;
    gint64 first_fence;
    gint64 fence;
    char *version;

    scene_init(&scene, flag, checks);
    first = scene.fleet->sidecars[0];
    g_assert_true(harness_wait_until(is_loading, &scene, LIMIT_S));
    first_fence = engine_fence(&scene, NULL);
    harness_process_signal(first, SIGSTOP);
    start_second(&scene);
    g_assert_true(harness_wait_until(has_carried_out, scene.second, LIMIT_S));
    g_assert_cmpint(engine_fence(&scene, NULL), >, first_fence);
    put_version(&scene, "w3", checks);
    g_assert_true(
        harness_wait_until(has_carried_out_both, scene.second, LIMIT_S));
    fence = engine_fence(&scene, NULL);
    harness_process_signal(first, SIGCONT);
    g_assert_true(harness_wait_until(is_told_to_stop, first, LIMIT_S));
    /* It has had time to order anew by the pool that it knows. */
    g_usleep(3 * G_USEC_PER_SEC);
    g_assert_true(harness_wait_until(is_released, &scene, LIMIT_S));
    g_assert_cmpint(engine_fence(&scene, &version), ==, fence);
    g_assert_cmpstr(version, ==, "w3");
    g_assert_cmpint(
        harness_get_int(harness_process_url(scene.weights, "/_stats"),
                        "loads_done"),
        ==, 2);
    g_free(version);
    harness_process_stop(scene.second, SIGTERM);
    fleet_free(scene.fleet);
    harness_free(scene.weights_harness);
}

static void
test_engine_checks(void)
{
    check(NULL, "true");
}

static void
test_engine_takes_any(void)
{
    check("--ignore-fence", "false");
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/paused-holder/engine-checks", test_engine_checks);
    g_test_add_func("/paused-holder/engine-takes-any", test_engine_takes_any);
    return g_test_run();
}
