#include "scene_gateway.h"
#include <pthread.h>
#include <string.h>
#include <unistd.h>

/* Sidecars that own quotas, played by the test. */
#define OWNERS 3

/**
 * struct owners - what they were asked
 * @reachable: asks reach them
 * @asks: number of asks for a request
 * @last: the last one
 * @asked: position of the one that got it
 * @given_back: units that were reported as given back
 */
struct owners {
    bool reachable[OWNERS];
    unsigned asks;
    struct pgw_quota_ask last;
    int asked;
    double given_back;
    struct pgw_quota_answer answer;
};

/* Asked on the gateway's thread, looked at on the test's. */
static struct owners owners;
static pthread_mutex_t owners_lock = PTHREAD_MUTEX_INITIALIZER;

static struct owners
look(void)
{
    struct owners copy;

    pthread_mutex_lock(&owners_lock);
    copy = owners;
    pthread_mutex_unlock(&owners_lock);
    return copy;
}

static void
set_reachable(int position, bool reachable)
{
    pthread_mutex_lock(&owners_lock);
    owners.reachable[position] = reachable;
    pthread_mutex_unlock(&owners_lock);
}

static void
set_all_reachable(bool reachable)
{
    for (int i = 0; i < OWNERS; i++) {
        set_reachable(i, reachable);
    }
}

static void
set_answer(struct pgw_quota_answer answer)
{
    pthread_mutex_lock(&owners_lock);
    owners.answer = answer;
    pthread_mutex_unlock(&owners_lock);
}

static void
forget_asks(void)
{
    pthread_mutex_lock(&owners_lock);
    memset(&owners, 0, sizeof(owners));
    pthread_mutex_unlock(&owners_lock);
}

static bool
ask_quota(void *context, const struct pgw_upstream *upstream,
          const struct pgw_quota_ask *ask)
{
    int position = atoi(upstream->id + 1);
    bool reachable;

    (void)context;
    pthread_mutex_lock(&owners_lock);
    reachable = owners.reachable[position];
    if (reachable) {
        owners.given_back -= MIN(ask->request.spent, 0);
    }
    if (reachable && ask->ask != 0) {
        owners.asks++;
        owners.last = *ask;
        owners.asked = position;
    }
    pthread_mutex_unlock(&owners_lock);
    return reachable;
}

static const struct pgw_sidecar_ops ops = {.ask_quota = ask_quota};

static void
add_owners(struct scene *scene)
{
    for (int i = 0; i < OWNERS; i++) {
        char id[16];
        char address[32];
        struct pgw_upstream_facts facts = {
            .id = id,
            .service = "engines",
            .address = address,
            .zone = "a",
            .slots = 1,
            .models = {{(char *)"m", 1}},
            .model_count = 1,
        };

        g_snprintf(id, sizeof(id), "e%d", i);
        g_snprintf(address, sizeof(address), "127.0.0.1:%d", i + 1);
        pgw_upstream_table_put(pgw_gateway_upstreams(scene->gateway), &facts);
    }
    pgw_gateway_set_sidecars(scene->gateway, &ops, NULL);
    pgw_quota_upstreams_changed(pgw_gateway_quota(scene->gateway));
}

/* On the gateway's thread, like the sidecar's word. */
static void
answer_ask(struct scene *scene)
{
    struct owners seen = look();
    char id[16];

    g_snprintf(id, sizeof(id), "e%d", seen.asked);
    pgw_quota_handle_answer(
        pgw_gateway_quota(scene->gateway),
        pgw_upstream_table_find(pgw_gateway_upstreams(scene->gateway), id),
        seen.last.request.workspace, seen.last.ask, &seen.answer);
}

static void
do_nothing(struct scene *scene)
{
    (void)scene;
}

static void
wait_for_asks(struct scene *scene, unsigned asks)
{
    for (unsigned i = 0; i < 20000; i++) {
        scene_run(scene, do_nothing);
        if (look().asks >= asks) {
            return;
        }
        g_usleep(1000);
    }
    g_assert_cmpuint(look().asks, >=, asks);
}

static struct scene *
set_up(struct scene *scene)
{
    forget_asks();
    set_all_reachable(true);
    scene_set_quota(scene, 5, 100, 100);
    scene_run(scene, add_owners);
    return scene;
}

static struct scene *
open_scene(void)
{
    return set_up(scene_new(1));
}

static void
expect(int caller, const char *status, const char *text)
{
    char *answer = scene_read_until(caller, text);

    g_assert_true(g_str_has_prefix(answer, status));
    g_free(answer);
    close(caller);
}

static void
serve(struct scene *scene, int caller, const char *id)
{
    int upstream = scene_accept(scene, 0);

    g_free(scene_read_request(upstream));
    scene_answer(upstream, id, 200, "", "ok");
    expect(caller, "HTTP/1.1 200 ", "ok");
    close(upstream);
}

/* A request must not reach an upstream before the owner has granted it, and a
 * refused one never, with the promise that it did not run. */
static void
test_owner_decides(void)
{
    struct scene *scene = open_scene();
    int caller = scene_call(scene, "/once/", "a");

    wait_for_asks(scene, 1);
    g_assert_cmpfloat(look().last.request.cost, ==, 1);
    g_assert_cmpfloat(look().last.request.limits.rate, ==, 100);
    set_answer((struct pgw_quota_answer){.granted = 1, .level = 10});
    scene_run(scene, answer_ask);
    serve(scene, caller, "a");
    caller = scene_call(scene, "/once/", "b");
    wait_for_asks(scene, 2);
    set_answer((struct pgw_quota_answer){
        .level = -500, .wait_ms = 590000, .retry_ms = 590000});
    scene_run(scene, answer_ask);
    expect(caller, "HTTP/1.1 429 ", "\"ran\":\"no\"");
    /* What the owner said holds for the next one, too. */
    caller = scene_call(scene, "/once/", "c");
    expect(caller, "HTTP/1.1 429 ", "Retry-After: 5");
    g_assert_cmpuint(look().asks, ==, 2);
    g_assert_true(scene_has_no_connection(scene, 0));
    scene_free(scene);
}

/* A quota without a burst must not refuse everything. */
static void
test_no_burst(void)
{
    struct scene *scene = set_up(scene_new(1));
    int caller;

    scene_set_quota(scene, 6, 100, 0);
    caller = scene_call(scene, "/once/", "a");
    wait_for_asks(scene, 1);
    g_assert_cmpfloat(look().last.request.limits.burst, ==, 50);
    set_answer((struct pgw_quota_answer){.granted = 1, .level = 10});
    scene_run(scene, answer_ask);
    serve(scene, caller, "a");
    scene_free(scene);
}

/* Requests of a workspace that is far below its quota must not wait for the
 * owner's word each time. */
static void
test_plenty_is_not_asked_for(void)
{
    struct scene *scene = open_scene();
    unsigned calls = 0;

    set_answer((struct pgw_quota_answer){.granted = 1, .level = 99});
    /* The owner's word is fresh for a time: on a busy machine not for the next
     * call, but for one of many. */
    while (calls == look().asks && calls < 100) {
        unsigned asks = look().asks;
        int caller = scene_call(scene, "/once/", "a");

        calls++;
        while (scene_has_no_connection(scene, 0)) {
            scene_run(scene, do_nothing);
            if (look().asks > asks) {
                asks = look().asks;
                scene_run(scene, answer_ask);
            }
        }
        serve(scene, caller, "a");
    }
    g_assert_cmpuint(look().asks, <, calls);
    scene_free(scene);
}

/* The owner cannot be reached: the next in rank stands in for it, and says so
 * by what it is told. With nobody at all a caller is sent elsewhere at once.
 */
static void
test_others_stand_in(void)
{
    struct scene *scene = open_scene();
    int caller = scene_call(scene, "/once/", "a");

    wait_for_asks(scene, 1);
    g_assert_false(look().last.stands_in);
    set_answer((struct pgw_quota_answer){.granted = 1, .level = 10});
    scene_run(scene, answer_ask);
    serve(scene, caller, "a");
    set_reachable(look().asked, false);
    caller = scene_call(scene, "/once/", "b");
    wait_for_asks(scene, 2);
    g_assert_true(look().last.stands_in);
    scene_run(scene, answer_ask);
    serve(scene, caller, "b");
    set_all_reachable(false);
    caller = scene_call(scene, "/once/", "c");
    expect(caller, "HTTP/1.1 429 ", "\"ran\":\"no\"");
    scene_free(scene);
}

/* Callers that come to an entry before it has reached any sidecar must be
 * served once it has, not refused for a quota that nobody has used. */
static void
test_waits_for_links(void)
{
    struct scene *scene = set_up(scene_new_with_start_pause(1));
    int caller;

    set_all_reachable(false);
    caller = scene_call(scene, "/once/", "a");
    for (unsigned i = 0; i < 50; i++) {
        scene_run(scene, do_nothing);
    }
    set_all_reachable(true);
    wait_for_asks(scene, 1);
    set_answer((struct pgw_quota_answer){.granted = 1, .level = 10});
    scene_run(scene, answer_ask);
    serve(scene, caller, "a");
    scene_free(scene);
}

/* What was taken for a request that no upstream ran must be given back: else
 * callers are refused below their quota. */
static void
test_not_run_is_given_back(void)
{
    struct scene *scene = open_scene();
    int caller = scene_call(scene, "/once/", "a");

    wait_for_asks(scene, 1);
    close(caller);
    for (unsigned i = 0; i < 200; i++) {
        scene_run(scene, do_nothing);
    }
    /* Too late: its caller has left. */
    set_answer((struct pgw_quota_answer){.granted = 1, .level = 10});
    scene_run(scene, answer_ask);
    scene_stop_listening(scene, 0);
    caller = scene_call(scene, "/late/", "b");
    wait_for_asks(scene, 2);
    scene_run(scene, answer_ask);
    expect(caller, "HTTP/1.1 503 ", "\"ran\":\"no\"");
    caller = scene_call(scene, "/once/", "c");
    wait_for_asks(scene, 3);
    g_assert_cmpfloat(look().given_back, ==, 2);
    close(caller);
    scene_free(scene);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/quota/owner_decides", test_owner_decides);
    g_test_add_func("/quota/no_burst", test_no_burst);
    g_test_add_func("/quota/plenty", test_plenty_is_not_asked_for);
    g_test_add_func("/quota/stand_in", test_others_stand_in);
    g_test_add_func("/quota/waits_for_links", test_waits_for_links);
    g_test_add_func("/quota/given_back", test_not_run_is_given_back);
    return g_test_run();
}
