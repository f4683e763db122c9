#include "scene_gateway.h"
#include "util/log.h"
#include <string.h>
#include <unistd.h>

#define MODEL "m"
/* A pool of more engines than one choice weighs. */
#define ENGINES 160
/* Of these, in the gateway's own zone: enough to be weighed alone. */
#define NEAR 10
/* Longer than any test takes. */
#define WAIT_US (60 * UINT64_C(1000000))
#define PROMPT                                                                \
    "Model: " MODEL "\r\nToken-Count: 16000,10\r\n"                           \
    "Prompt-Prefix: ab12:13000,cd34:3000\r\n"

/**
 * struct sidecars - those of all engines, played by the test
 * @asked: how many were asked
 * @homes: positions of their engines
 * @last: number of the last probe
 * @announced: position of the engine that a request was announced to, or -1
 * @to_read: tokens that it was told to have to read
 * @request: id of that request
 * @ended: how often an end of that request was announced
 */
struct sidecars {
    unsigned asked;
    uint64_t last;
    int homes[ENGINES];
    int announced;
    uint32_t to_read;
    uint64_t request;
    unsigned ended;
};

static struct sidecars sidecars;

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
    if (announcement->to_read == 0 && announcement->count == 0) {
        g_assert_cmpint(sidecars.announced, ==, position_of(upstream));
        g_assert_cmpuint(sidecars.request, ==, announcement->request);
        sidecars.ended++;
        return;
    }
    sidecars.announced = position_of(upstream);
    sidecars.to_read = announcement->to_read;
    sidecars.request = announcement->request;
}

static bool
probe(void *context, const struct pgw_upstream *upstream, uint64_t number,
      const uint64_t *keys, size_t count)
{
    (void)context;
    (void)keys;
    g_assert_cmpuint(count, ==, 1);
    g_assert_false(upstream->same_zone);
    sidecars.homes[sidecars.asked++] = position_of(upstream);
    sidecars.last = number;
    return true;
}

static const struct pgw_sidecar_ops ops = {
    .announce = announce,
    .probe = probe,
};

/* Engines of two zones, all at the address of the one that the test plays. */
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
            .zone = i < NEAR ? "a" : "b",
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
open_scene(uint64_t probe_wait_us)
{
    struct scene *scene = scene_new_with_probe_wait(1, probe_wait_us);

    sidecars = (struct sidecars){.announced = -1};
    scene_set_routes(scene, 5, true);
    scene_run(scene, add_engines);
    return scene;
}

static unsigned asked_by_now;

static void
look(struct scene *scene)
{
    (void)scene;
    asked_by_now = sidecars.asked;
}

static int
ask(struct scene *scene)
{
    int caller = scene_call_with_fields(scene, "/flow/", "a", PROMPT);

    asked_by_now = 0;
    while (asked_by_now == 0) {
        scene_run(scene, look);
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

/* All homes are idle, and the second one has the prompt's part. */
static void
answer_all(struct scene *scene)
{
    struct pgw_upstream_load load = {.slots = 8, .kv_total = 140000};

    for (unsigned i = 0; i < sidecars.asked; i++) {
        pgw_upstream_update_load(engine(scene, sidecars.homes[i]), &load,
                                 pgw_now_us());
    }
    pgw_upstream_set_cached_part(engine(scene, sidecars.homes[1]), part_key(),
                                 13000);
    for (unsigned i = 0; i < sidecars.asked; i++) {
        pgw_gateway_probe_answered(scene->gateway, sidecars.last,
                                   engine(scene, sidecars.homes[i]));
    }
}

/* Returns the engine that got the request. */
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

/* Guards against a prompt that is read again beside an engine of another zone
 * that holds it. */
static void
test_goes_to_its_holder(void)
{
    struct scene *scene = open_scene(WAIT_US);
    int caller = ask(scene);

    g_assert_cmpuint(sidecars.asked, >, 1);
    g_assert_true(scene_has_no_connection(scene, 0));
    scene_run(scene, answer_all);
    g_assert_cmpint(serve(scene, caller), ==, sidecars.homes[1]);
    g_assert_cmpint(sidecars.announced, ==, sidecars.homes[1]);
    g_assert_cmpuint(sidecars.to_read, ==, 3000);
    /* The turn of the loop that answered the caller is over. */
    scene_run(scene, look);
    g_assert_cmpuint(sidecars.ended, ==, 1);
    scene_free(scene);
}

/* Guards against a caller that waits for sidecars which do not answer: the own
 * zone's engine takes the prompt. */
static void
test_unanswered(void)
{
    struct scene *scene = open_scene(1000);
    int caller = ask(scene);

    g_assert_cmpint(serve(scene, caller), <, NEAR);
    scene_free(scene);
}

static void
answer_late(struct scene *scene)
{
    for (unsigned i = 0; i < sidecars.asked; i++) {
        pgw_gateway_probe_answered(scene->gateway, sidecars.last,
                                   engine(scene, sidecars.homes[i]));
    }
    g_assert_cmpuint(pgw_gateway_request_count(scene->gateway), ==, 0);
}

/* Guards against an answer that reaches a request which is gone. */
static void
test_caller_leaves(void)
{
    struct scene *scene = open_scene(WAIT_US);
    int caller = ask(scene);

    close(caller);
    /* Turns of the loop in which it sees that the caller has left. */
    for (unsigned i = 0; i < 5; i++) {
        scene_run(scene, look);
    }
    scene_run(scene, answer_late);
    scene_free(scene);
}

static void
remove_homes(struct scene *scene)
{
    for (unsigned i = 0; i < sidecars.asked; i++) {
        pgw_upstream_table_remove(pgw_gateway_upstreams(scene->gateway),
                                  engine(scene, sidecars.homes[i]));
    }
}

/* Guards against a home that leaves the list while its answer is waited for.
 */
static void
test_home_goes(void)
{
    struct scene *scene = open_scene(100000);
    int caller = ask(scene);

    scene_run(scene, remove_homes);
    g_assert_cmpint(serve(scene, caller), <, NEAR);
    scene_free(scene);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    pgw_log_init("test", "", "error");
    g_test_add_func("/home_probe/holder", test_goes_to_its_holder);
    g_test_add_func("/home_probe/unanswered", test_unanswered);
    g_test_add_func("/home_probe/caller_leaves", test_caller_leaves);
    g_test_add_func("/home_probe/home_goes", test_home_goes);
    return g_test_run();
}
