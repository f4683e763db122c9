#include "scene_gateway.h"
#include "util/log.h"
#include <string.h>
#include <unistd.h>

#define MODEL "m"
/* More engines than are evaluated for one request. */
#define ENGINES 160
/* Number of engines in the gateway's zone: enough to be evaluated alone. */
#define LOCAL_ENGINES 10
/* Longer than any test takes. */
#define WAIT_US (60 * UINT64_C(1000000))
#define PROMPT                                                                \
    "Model: " MODEL "\r\nToken-Count: 16000,10\r\n"                           \
    "Prompt-Prefix: ab12:13000,cd34:3000\r\n"

/**
 * struct fake_sidecars - state of the simulated sidecars
 * @probed: number of sidecars that were probed
 * @last: number of the last probe
 * @homes: positions of the probed engines
 * @announced_to: position of the engine that a request was announced to, or -1
 * @pending_tokens: tokens to prefill, as announced
 * @request: id of the announced request
 * @ended: number of announcements that the request's prefill has ended
 */
struct fake_sidecars {
    unsigned probed;
    uint64_t last;
    int homes[ENGINES];
    int announced_to;
    uint32_t pending_tokens;
    uint64_t request;
    unsigned ended;
};

static struct fake_sidecars fake_sidecars;

static struct pgw_upstream *
engine(struct scene *scene, int position)
{
    char id[16];

    g_snprintf(id, sizeof(id), "e%d", position);
    return pgw_upstream_table_find(pgw_gateway_upstreams(scene->gateway), id);
}

static int
position_of(const struct pgw_upstream *upstream)
{
    return atoi(upstream->id + 1);
}

static void
announce(void *context, const struct pgw_upstream *upstream,
         const struct pgw_announcement *announcement)
{
    (void)context;
    if (announcement->pending_tokens == 0 && announcement->count == 0) {
        g_assert_cmpint(fake_sidecars.announced_to, ==, position_of(upstream));
        g_assert_cmpuint(fake_sidecars.request, ==, announcement->request);
        fake_sidecars.ended++;
        return;
    }
    fake_sidecars.announced_to = position_of(upstream);
    fake_sidecars.pending_tokens = announcement->pending_tokens;
    fake_sidecars.request = announcement->request;
}

static bool
probe(void *context, const struct pgw_upstream *upstream, uint64_t number,
      const uint64_t *keys, size_t count)
{
    (void)context;
    (void)keys;
    g_assert_cmpuint(count, ==, 1);
    g_assert_false(upstream->same_zone);
    fake_sidecars.homes[fake_sidecars.probed++] = position_of(upstream);
    fake_sidecars.last = number;
    return true;
}

static const struct pgw_sidecar_ops ops = {
    .announce = announce,
    .probe = probe,
};

/* Adds engines of two zones, all at the address of the simulated one. */
static void
add_engines(struct scene *scene)
{
    struct pgw_upstream_table *table = pgw_gateway_upstreams(scene->gateway);
    struct pgw_upstream *played = pgw_upstream_table_find(table, "u0");

    for (int i = 0; i < ENGINES; i++) {
        char id[16];
        char address[32];
        struct pgw_upstream_facts facts = {
            .id = id,
            .service = "service",
            .address = address,
            .zone = i < LOCAL_ENGINES ? "a" : "b",
            .slots = 8,
            .models = {{(char *)MODEL, 1}},
            .model_count = 1,
        };

        g_snprintf(id, sizeof(id), "e%d", i);
        g_snprintf(address, sizeof(address), "127.0.0.1:%d", i + 1);
        pgw_upstream_table_put(table, &facts);
        engine(scene, i)->address = played->address;
    }
    pgw_upstream_table_remove(table, played);
    pgw_gateway_set_sidecars(scene->gateway, &ops, NULL);
}

static struct scene *
set_up_scene(uint64_t probe_wait_us)
{
    struct scene *scene = scene_new_with_probe_wait(1, probe_wait_us);

    fake_sidecars = (struct fake_sidecars){.announced_to = -1};
    scene_set_routes(scene, 5, true);
    scene_run(scene, add_engines);
    return scene;
}

static unsigned probed_by_now;

static void
read_probed(struct scene *scene)
{
    (void)scene;
    probed_by_now = fake_sidecars.probed;
}

static int
send_prompt(struct scene *scene)
{
    int caller = scene_call_with_fields(scene, "/flow/", "a", PROMPT);

    probed_by_now = 0;
    while (probed_by_now == 0) {
        scene_run(scene, read_probed);
    }
    return caller;
}

static uint64_t
part_key(void)
{
    char salt[PGW_CACHE_SALT_SIZE];

    pgw_cache_salt(salt, 1, NULL);
    return pgw_part_key(MODEL, salt, pgw_part_id("ab12", 4));
}

/* All homes are idle, and the second one has the prompt's part cached. */
static void
answer_probes(struct scene *scene)
{
    struct pgw_upstream_load load = {.slots = 8, .kv_total = 140000};

    for (unsigned i = 0; i < fake_sidecars.probed; i++) {
        pgw_upstream_update_load(engine(scene, fake_sidecars.homes[i]), &load,
                                 pgw_now_us());
    }
    pgw_upstream_set_cached_part(engine(scene, fake_sidecars.homes[1]),
                                 part_key(), 13000);
    for (unsigned i = 0; i < fake_sidecars.probed; i++) {
        pgw_gateway_probe_answered(scene->gateway, fake_sidecars.last,
                                   engine(scene, fake_sidecars.homes[i]));
    }
}

/* Returns the position of the engine that got the request. */
static int
serve(struct scene *scene, int caller)
{
    int upstream = scene_accept(scene, 0);
    char *request = scene_read_request(upstream);
    const char *instance = strstr(request, "Expect-Instance: e");
    char *answer;
    int position;

    g_assert_nonnull(instance);
    position = atoi(instance + strlen("Expect-Instance: e"));
    g_free(request);
    scene_answer(upstream, "a", 200, "", "ok");
    answer = scene_read_until(caller, "\r\n\r\nok");
    g_assert_nonnull(strstr(answer, "HTTP/1.1 200 "));
    g_free(answer);
    close(caller);
    close(upstream);
    return position;
}

/* Guards against prefilling a prompt again although an engine of a remote zone
 * has it cached. */
static void
test_prompt_goes_to_its_holder(void)
{
    struct scene *scene = set_up_scene(WAIT_US);
    int caller = send_prompt(scene);

    g_assert_cmpuint(fake_sidecars.probed, >, 1);
    g_assert_true(scene_has_no_connection(scene, 0));
    scene_run(scene, answer_probes);
    g_assert_cmpint(serve(scene, caller), ==, fake_sidecars.homes[1]);
    g_assert_cmpint(fake_sidecars.announced_to, ==, fake_sidecars.homes[1]);
    g_assert_cmpuint(fake_sidecars.pending_tokens, ==, 3000);
    /* Lets the event loop finish the turn that answered the caller. */
    scene_run(scene, read_probed);
    g_assert_cmpuint(fake_sidecars.ended, ==, 1);
    scene_free(scene);
}

/* Guards against a caller that waits for sidecars which do not answer: an
 * engine of the local zone gets the prompt. */
static void
test_unanswered_probes(void)
{
    struct scene *scene = set_up_scene(1000);
    int caller = send_prompt(scene);

    g_assert_cmpint(serve(scene, caller), <, LOCAL_ENGINES);
    scene_free(scene);
}

static void
answer_late(struct scene *scene)
{
    for (unsigned i = 0; i < fake_sidecars.probed; i++) {
        pgw_gateway_probe_answered(scene->gateway, fake_sidecars.last,
                                   engine(scene, fake_sidecars.homes[i]));
    }
    g_assert_cmpuint(pgw_gateway_request_count(scene->gateway), ==, 0);
}

/* Guards against an answer for a request that has ended. */
static void
test_caller_leaves(void)
{
    struct scene *scene = set_up_scene(WAIT_US);
    int caller = send_prompt(scene);

    close(caller);
    /* Lets the event loop detect that the caller has left. */
    for (unsigned i = 0; i < 5; i++) {
        scene_run(scene, read_probed);
    }
    scene_run(scene, answer_late);
    scene_free(scene);
}

static void
remove_homes(struct scene *scene)
{
    for (unsigned i = 0; i < fake_sidecars.probed; i++) {
        pgw_upstream_table_remove(pgw_gateway_upstreams(scene->gateway),
                                  engine(scene, fake_sidecars.homes[i]));
    }
}

/* Guards against a home that is removed from the list while its answer is
 * awaited. */
static void
test_home_is_removed(void)
{
    struct scene *scene = set_up_scene(100000);
    int caller = send_prompt(scene);

    scene_run(scene, remove_homes);
    g_assert_cmpint(serve(scene, caller), <, LOCAL_ENGINES);
    scene_free(scene);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    pgw_log_init("test", "", "error");
    g_test_add_func("/home_probe/holder", test_prompt_goes_to_its_holder);
    g_test_add_func("/home_probe/unanswered", test_unanswered_probes);
    g_test_add_func("/home_probe/caller_leaves", test_caller_leaves);
    g_test_add_func("/home_probe/home_is_removed", test_home_is_removed);
    return g_test_run();
}
