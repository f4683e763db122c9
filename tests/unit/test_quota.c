#include "scene_gateway.h"
#include <pthread.h>
#include <string.h>
#include <unistd.h>

/* Sidecars that own quotas, simulated by the test. */
#define OWNERS 3

/**
 * struct fake_owners - state of the simulated owners
 * @reachable: whether asks reach each of them
 * @asks: number of asks for a request
 * @last: the last ask
 * @asked_position: position of the owner that received the last ask
 * @given_back: units that were reported as given back
 * @answer: answer to the next ask
 */
struct fake_owners {
    bool reachable[OWNERS];
    unsigned asks;
    struct pgw_quota_ask last;
    int asked_position;
    double given_back;
    struct pgw_quota_answer answer;
};

/* Written on the gateway's thread, read on the test's. */
static struct fake_owners fake_owners;
static pthread_mutex_t state_lock = PTHREAD_MUTEX_INITIALIZER;

static struct fake_owners
copy_state(void)
{
    struct fake_owners copy;

    pthread_mutex_lock(&state_lock);
    copy = fake_owners;
    pthread_mutex_unlock(&state_lock);
    return copy;
}

static void
set_reachable(int position, bool reachable)
{
    pthread_mutex_lock(&state_lock);
    fake_owners.reachable[position] = reachable;
    pthread_mutex_unlock(&state_lock);
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
    pthread_mutex_lock(&state_lock);
    fake_owners.answer = answer;
    pthread_mutex_unlock(&state_lock);
}

static void
reset_state(void)
{
    pthread_mutex_lock(&state_lock);
    memset(&fake_owners, 0, sizeof(fake_owners));
    pthread_mutex_unlock(&state_lock);
}

static bool
ask_quota(void *context, const struct pgw_upstream *upstream,
          const struct pgw_quota_ask *ask)
{
    int position = atoi(upstream->id + 1);
    bool reachable;

    (void)context;
    pthread_mutex_lock(&state_lock);
    reachable = fake_owners.reachable[position];
    if (reachable) {
        fake_owners.given_back -= MIN(ask->request.spent, 0);
    }
    if (reachable && ask->ask != 0) {
        fake_owners.asks++;
        fake_owners.last = *ask;
        fake_owners.asked_position = position;
    }
    pthread_mutex_unlock(&state_lock);
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

/* Runs on the gateway's thread, like a sidecar's answer. */
static void
answer_ask(struct scene *scene)
{
    struct fake_owners state = copy_state();
    char id[16];

    g_snprintf(id, sizeof(id), "e%d", state.asked_position);
    pgw_quota_handle_answer(
        pgw_gateway_quota(scene->gateway),
        pgw_upstream_table_find(pgw_gateway_upstreams(scene->gateway), id),
        state.last.request.workspace, state.last.ask, &state.answer);
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
        if (copy_state().asks >= asks) {
            return;
        }
        g_usleep(1000);
    }
    g_assert_cmpuint(copy_state().asks, >=, asks);
}

static struct scene *
set_up_owners(struct scene *scene)
{
    reset_state();
    set_all_reachable(true);
    scene_set_quota(scene, 5, 100, 100);
    scene_run(scene, add_owners);
    return scene;
}

static struct scene *
set_up_scene(void)
{
    return set_up_owners(scene_new(1));
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

/* A request must not reach an upstream before the owner has granted it. A
 * refused request must never reach one, and its answer must say that it did
 * not run. */
static void
test_owner_decides(void)
{
    struct scene *scene = set_up_scene();
    int caller = scene_call(scene, "/once/", "a");

    wait_for_asks(scene, 1);
    g_assert_cmpfloat(copy_state().last.request.cost, ==, 1);
    g_assert_cmpfloat(copy_state().last.request.limits.rate, ==, 100);
    set_answer((struct pgw_quota_answer){.granted = 1, .level = 10});
    scene_run(scene, answer_ask);
    serve(scene, caller, "a");
    caller = scene_call(scene, "/once/", "b");
    wait_for_asks(scene, 2);
    set_answer((struct pgw_quota_answer){
        .level = -500, .wait_ms = 590000, .retry_ms = 590000});
    scene_run(scene, answer_ask);
    expect(caller, "HTTP/1.1 429 ", "\"ran\":\"no\"");
    /* The owner's refusal applies to the next request, too. */
    caller = scene_call(scene, "/once/", "c");
    expect(caller, "HTTP/1.1 429 ", "Retry-After: 5");
    g_assert_cmpuint(copy_state().asks, ==, 2);
    g_assert_true(scene_has_no_connection(scene, 0));
    scene_free(scene);
}

/* A quota without a burst must not refuse everything. */
static void
test_no_burst(void)
{
    struct scene *scene = set_up_owners(scene_new(1));
    int caller;

    scene_set_quota(scene, 6, 100, 0);
    caller = scene_call(scene, "/once/", "a");
    wait_for_asks(scene, 1);
    g_assert_cmpfloat(copy_state().last.request.limits.burst, ==, 50);
    set_answer((struct pgw_quota_answer){.granted = 1, .level = 10});
    scene_run(scene, answer_ask);
    serve(scene, caller, "a");
    scene_free(scene);
}

/* Requests of a workspace that is far below its quota must not each wait for
 * the owner's answer. */
static void
test_ample_level_needs_no_ask(void)
{
    struct scene *scene = set_up_scene();
    unsigned calls = 0;

    set_answer((struct pgw_quota_answer){.granted = 1, .level = 99});
    /* The level in an owner's answer expires. On a busy machine it may be too
     * old for the next call, but not for all of many. */
    while (calls == copy_state().asks && calls < 100) {
        unsigned asks = copy_state().asks;
        int caller = scene_call(scene, "/once/", "a");

        calls++;
        while (scene_has_no_connection(scene, 0)) {
            scene_run(scene, do_nothing);
            if (copy_state().asks > asks) {
                asks = copy_state().asks;
                scene_run(scene, answer_ask);
            }
        }
        serve(scene, caller, "a");
    }
    g_assert_cmpuint(copy_state().asks, <, calls);
    scene_free(scene);
}

/* If the owner cannot be reached, the next in rank is asked as a fallback, and
 * the ask says so. If none can be reached, the caller is refused at once and
 * can try another entry. */
static void
test_fallback_owner(void)
{
    struct scene *scene = set_up_scene();
    int caller = scene_call(scene, "/once/", "a");

    wait_for_asks(scene, 1);
    g_assert_false(copy_state().last.is_fallback);
    set_answer((struct pgw_quota_answer){.granted = 1, .level = 10});
    scene_run(scene, answer_ask);
    serve(scene, caller, "a");
    set_reachable(copy_state().asked_position, false);
    caller = scene_call(scene, "/once/", "b");
    wait_for_asks(scene, 2);
    g_assert_true(copy_state().last.is_fallback);
    scene_run(scene, answer_ask);
    serve(scene, caller, "b");
    set_all_reachable(false);
    caller = scene_call(scene, "/once/", "c");
    expect(caller, "HTTP/1.1 429 ", "\"ran\":\"no\"");
    scene_free(scene);
}

/* Callers that reach an entry before it has a link to any sidecar must be
 * served once it has one, not refused for an unused quota. */
static void
test_waits_for_links(void)
{
    struct scene *scene = set_up_owners(scene_new_with_start_pause(1));
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

/* Units taken for a request that no upstream ran must be given back; otherwise
 * callers are refused below their quota. */
static void
test_not_run_is_given_back(void)
{
    struct scene *scene = set_up_scene();
    int caller = scene_call(scene, "/once/", "a");

    wait_for_asks(scene, 1);
    close(caller);
    for (unsigned i = 0; i < 200; i++) {
        scene_run(scene, do_nothing);
    }
    /* The answer comes too late: the caller has left. */
    set_answer((struct pgw_quota_answer){.granted = 1, .level = 10});
    scene_run(scene, answer_ask);
    scene_stop_listening(scene, 0);
    caller = scene_call(scene, "/late/", "b");
    wait_for_asks(scene, 2);
    scene_run(scene, answer_ask);
    expect(caller, "HTTP/1.1 503 ", "\"ran\":\"no\"");
    caller = scene_call(scene, "/once/", "c");
    wait_for_asks(scene, 3);
    g_assert_cmpfloat(copy_state().given_back, ==, 2);
    close(caller);
    scene_free(scene);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/quota/owner_decides", test_owner_decides);
    g_test_add_func("/quota/no_burst", test_no_burst);
    g_test_add_func("/quota/ample_level", test_ample_level_needs_no_ask);
    g_test_add_func("/quota/fallback_owner", test_fallback_owner);
    g_test_add_func("/quota/waits_for_links", test_waits_for_links);
    g_test_add_func("/quota/given_back", test_not_run_is_given_back);
    return g_test_run();
}
