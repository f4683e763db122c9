#include "gateway/request/exchange.h"
#include "gateway/upstream/announced_prompts.h"
#include "scene_gateway.h"
#include "util/log.h"
#include <string.h>
#include <unistd.h>

#define MODEL "m"
#define REQUEST "a"
#define ENGINES 2
#define TOKENS 16000
/* Longer than any test takes. */
#define WAIT_US (60 * UINT64_C(1000000))
/* No part of it is shared, so no home is probed. */
#define PROMPT "Model: " MODEL "\r\nToken-Count: 16000,10\r\n"

/**
 * struct fake_sidecars - state of the simulated sidecars
 * @unreachable: no message reaches them
 * @claims: number of claims
 * @claim: the last of them
 * @claimed: position of its engine
 * @announced: number of announced prompts
 * @announced_to: position of the engine of the last of them
 * @ended: number of announcements that a prompt was prefilled or given up
 * @ended_at: position of the engine of the last of them
 */
struct fake_sidecars {
    bool unreachable;
    unsigned claims;
    struct pgw_prefill_claim claim;
    int claimed;
    unsigned announced;
    int announced_to;
    unsigned ended;
    int ended_at;
};

/* On the gateway's thread, and a copy for the test. */
static struct fake_sidecars sidecars;
static struct fake_sidecars seen;

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
    g_assert_cmpuint(announcement->request, ==,
                     pgw_announced_prompts_id(REQUEST));
    if (announcement->pending_tokens == 0 && announcement->count == 0) {
        sidecars.ended++;
        sidecars.ended_at = position_of(upstream);
        return;
    }
    g_assert_cmpuint(announcement->pending_tokens, ==, TOKENS);
    sidecars.announced++;
    sidecars.announced_to = position_of(upstream);
}

static bool
claim_prefill(void *context, const struct pgw_upstream *upstream,
              const struct pgw_prefill_claim *claim)
{
    (void)context;
    g_assert_cmpuint(claim->request, ==, pgw_announced_prompts_id(REQUEST));
    g_assert_cmpuint(claim->pending_tokens, ==, TOKENS);
    g_assert_cmpuint(claim->limit_tokens, >, TOKENS);
    sidecars.claims++;
    sidecars.claim = *claim;
    sidecars.claimed = position_of(upstream);
    return !sidecars.unreachable;
}

static const struct pgw_sidecar_ops ops = {
    .announce = announce,
    .claim_prefill = claim_prefill,
};

/* Adds engines for long prompts, all at the address of the simulated one. */
static void
add_engines(struct scene *scene)
{
    struct pgw_upstream_table *table = pgw_gateway_upstreams(scene->gateway);
    struct pgw_upstream *played = pgw_upstream_table_find(table, "u0");

    for (unsigned i = 0; i < ENGINES; i++) {
        char id[16];
        char address[32];
        struct pgw_upstream_facts facts = {
            .id = id,
            .service = "service",
            .address = address,
            .zone = "a",
            .slots = 8,
            .models = {{(char *)MODEL, 1}},
            .model_count = 1,
        };
        struct pgw_upstream *engine;

        g_snprintf(id, sizeof(id), "e%u", i);
        g_snprintf(address, sizeof(address), "127.0.0.1:%u", i + 1);
        engine = pgw_upstream_table_put(table, &facts);
        engine->address = played->address;
        engine->lane = PGW_LANE_LONG;
    }
    pgw_upstream_table_remove(table, played);
    pgw_gateway_set_sidecars(scene->gateway, &ops, NULL);
}

static struct pgw_upstream *
engine(struct scene *scene, int position)
{
    char id[16];

    g_snprintf(id, sizeof(id), "e%d", position);
    return pgw_upstream_table_find(pgw_gateway_upstreams(scene->gateway), id);
}

static struct scene *
set_up_scene(uint64_t wait_us)
{
    struct scene *scene = scene_new_with_probe_wait(1, wait_us);

    sidecars = (struct fake_sidecars){0};
    scene_set_routes(scene, 5, true);
    scene_run(scene, add_engines);
    return scene;
}

static void
copy_state(struct scene *scene)
{
    (void)scene;
    seen = sidecars;
}

static void
wait_for_claims(struct scene *scene, unsigned claims)
{
    do {
        scene_run(scene, copy_state);
    } while (seen.claims < claims);
}

static int
send_prompt(struct scene *scene, const char *path)
{
    return scene_call_with_fields(scene, path, REQUEST, PROMPT);
}

/* The prompt reaches an engine, whose position is returned. */
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
    scene_answer(upstream, REQUEST, 200, "", "ok");
    answer = scene_read_until(caller, "\r\n\r\nok");
    g_assert_nonnull(strstr(answer, "HTTP/1.1 200 "));
    g_free(answer);
    close(caller);
    close(upstream);
    /* Lets the event loop finish the turn that answered the caller. */
    scene_run(scene, copy_state);
    g_assert_true(scene_has_no_connection(scene, 0));
    g_assert_cmpuint(seen.announced, ==, 1);
    g_assert_cmpint(seen.announced_to, ==, position);
    g_assert_cmpint(seen.ended_at, ==, position);
    return position;
}

static void
grant(struct scene *scene)
{
    pgw_gateway_prefill_answered(scene->gateway, sidecars.claim.claim, true,
                                 0);
}

static void
refuse(struct scene *scene)
{
    pgw_gateway_prefill_answered(scene->gateway, sidecars.claim.claim, false,
                                 10000);
}

static bool claim_is_under_way;

static void
read_claim(struct scene *scene)
{
    claim_is_under_way = engine(scene, sidecars.claimed)->claim_at_us > 0;
}

/* Guards against a claim for each of the prompts that wait for one engine:
 * while one is under way, the engine is asked for no other. */
static void
test_one_claim_at_a_time(void)
{
    struct scene *scene = set_up_scene(WAIT_US);
    int caller = send_prompt(scene, "/soon/");

    wait_for_claims(scene, 1);
    scene_run(scene, read_claim);
    g_assert_true(claim_is_under_way);
    scene_run(scene, grant);
    scene_run(scene, read_claim);
    g_assert_false(claim_is_under_way);
    serve(scene, caller);
    scene_free(scene);
}

static void
test_granted(void)
{
    struct scene *scene = set_up_scene(WAIT_US);
    int caller = send_prompt(scene, "/soon/");

    wait_for_claims(scene, 1);
    g_assert_true(scene_has_no_connection(scene, 0));
    g_assert_cmpuint(seen.announced, ==, 0);
    scene_run(scene, grant);
    g_assert_cmpint(serve(scene, caller), ==, seen.claimed);
    g_assert_cmpuint(seen.claims, ==, 1);
    g_assert_cmpuint(seen.ended, ==, 1);
    scene_free(scene);
}

/* Guards against a refused prompt that is sent anyway, or never again tried.
 */
static void
test_refused(void)
{
    struct scene *scene = set_up_scene(WAIT_US);
    int caller = send_prompt(scene, "/soon/");

    for (unsigned i = 1; i <= 2 * ENGINES; i++) {
        wait_for_claims(scene, i);
        scene_run(scene, refuse);
        g_assert_true(scene_has_no_connection(scene, 0));
    }
    wait_for_claims(scene, 2 * ENGINES + 1);
    scene_run(scene, grant);
    g_assert_cmpint(serve(scene, caller), ==, seen.claimed);
    /* A refused claim is not counted, so it need not be given up. */
    g_assert_cmpuint(seen.ended, ==, 1);
    scene_free(scene);
}

/* Guards against a prompt that waits for a sidecar which is paused, or whose
 * message was lost. The answer comes when the request is gone. */
static void
test_unanswered(void)
{
    struct scene *scene = set_up_scene(1000);
    int caller = send_prompt(scene, "/soon/");

    serve(scene, caller);
    g_assert_cmpuint(seen.claims, ==, 1);
    scene_run(scene, refuse);
    scene_run(scene, grant);
    scene_free(scene);
}

static void
set_unreachable(struct scene *scene)
{
    (void)scene;
    sidecars.unreachable = true;
}

/* Guards against a prompt that waits for an answer to a claim that was never
 * sent. */
static void
test_unreachable(void)
{
    struct scene *scene = set_up_scene(WAIT_US);
    int caller;

    scene_run(scene, set_unreachable);
    caller = send_prompt(scene, "/soon/");
    serve(scene, caller);
    scene_free(scene);
}

static unsigned request_count;

static void
count_requests(struct scene *scene)
{
    copy_state(scene);
    request_count = pgw_gateway_request_count(scene->gateway);
}

/* Guards against a sidecar that counts a prompt which will not come, since its
 * caller has left. */
static void
test_caller_leaves(void)
{
    struct scene *scene = set_up_scene(WAIT_US);
    int caller = send_prompt(scene, "/soon/");

    wait_for_claims(scene, 1);
    close(caller);
    do {
        scene_run(scene, count_requests);
    } while (request_count > 0);
    g_assert_cmpuint(seen.ended, ==, 1);
    g_assert_cmpint(seen.ended_at, ==, seen.claimed);
    scene_run(scene, grant);
    scene_run(scene, copy_state);
    g_assert_cmpuint(seen.announced, ==, 0);
    g_assert_true(scene_has_no_connection(scene, 0));
    scene_free(scene);
}

static void
grant_and_refuse(struct scene *scene)
{
    grant(scene);
    refuse(scene);
    grant(scene);
}

/* Guards against an answer that arrives twice. */
static void
test_two_answers(void)
{
    struct scene *scene = set_up_scene(WAIT_US);
    int caller = send_prompt(scene, "/soon/");

    wait_for_claims(scene, 1);
    scene_run(scene, grant_and_refuse);
    g_assert_cmpint(serve(scene, caller), ==, seen.claimed);
    g_assert_cmpuint(seen.claims, ==, 1);
    scene_free(scene);
}

static void
refuse_until_sent(struct scene *scene)
{
    while (scene_has_no_connection(scene, 0)) {
        scene_run(scene, refuse);
        scene_run(scene, count_requests);
        g_assert_cmpuint(request_count, >, 0);
    }
}

/* Guards against a prompt whose caller leaves while all engines refuse it: it
 * is sent after a part of that time. */
static void
test_refused_for_long(void)
{
    struct scene *scene = set_up_scene(WAIT_US);
    int caller = send_prompt(scene, "/brief/");

    wait_for_claims(scene, 1);
    refuse_until_sent(scene);
    serve(scene, caller);
    scene_free(scene);
}

/* All engines have more to prefill than the request can wait for. */
static void
add_backlogs(struct scene *scene)
{
    for (int i = 0; i < ENGINES; i++) {
        engine(scene, i)->prefill_tokens = 1000000;
    }
}

static void
remove_backlogs(struct scene *scene)
{
    for (int i = 0; i < ENGINES; i++) {
        engine(scene, i)->prefill_tokens = 0;
    }
}

/* Guards against a prompt that is tried again only when the backlog is gone,
 * and refused before. */
static void
test_backlog_outlasts_wait(void)
{
    struct scene *scene = set_up_scene(WAIT_US);
    int caller;

    scene_run(scene, add_backlogs);
    caller = send_prompt(scene, "/brief/");
    serve(scene, caller);
    g_assert_cmpuint(seen.claims, ==, 0);
    scene_run(scene, remove_backlogs);
    scene_free(scene);
}

static void
fill_engines(struct scene *scene)
{
    scene->gateway->options.queue_time_share = 0.33;
    for (int i = 0; i < ENGINES; i++) {
        engine(scene, i)->inflight = engine(scene, i)->slots;
    }
}

static void
empty_engines(struct scene *scene)
{
    for (int i = 0; i < ENGINES; i++) {
        engine(scene, i)->inflight = 0;
    }
    pgw_gateway_dispatch_queued(scene->gateway);
}

/* Guards against a prompt that was queued for a free slot, waits for a backlog
 * then, and is refused at the end of the time for the former. */
static void
test_full_before_refused(void)
{
    struct scene *scene = set_up_scene(WAIT_US);
    int caller;

    scene_run(scene, fill_engines);
    caller = scene_call_with_fields(scene, "/soon/", REQUEST,
                                    PROMPT "Deadline-Ms: 2000\r\n");
    do {
        scene_run(scene, count_requests);
    } while (request_count == 0);
    g_assert_cmpuint(seen.claims, ==, 0);
    scene_run(scene, empty_engines);
    wait_for_claims(scene, 1);
    refuse_until_sent(scene);
    serve(scene, caller);
    scene_free(scene);
}

static void
remove_claimed(struct scene *scene)
{
    pgw_upstream_table_remove(pgw_gateway_upstreams(scene->gateway),
                              engine(scene, sidecars.claimed));
}

/* Guards against an engine that is removed from the list while its sidecar's
 * answer is awaited: another one gets the prompt. */
static void
test_engine_is_removed(void)
{
    struct scene *scene = set_up_scene(WAIT_US);
    int caller = send_prompt(scene, "/soon/");
    int removed;

    wait_for_claims(scene, 1);
    removed = seen.claimed;
    scene_run(scene, remove_claimed);
    scene_run(scene, grant);
    wait_for_claims(scene, 2);
    g_assert_cmpint(seen.claimed, !=, removed);
    g_assert_cmpuint(seen.ended, ==, 1);
    g_assert_cmpint(seen.ended_at, ==, removed);
    scene_run(scene, grant);
    g_assert_cmpint(serve(scene, caller), !=, removed);
    scene_free(scene);
}

/* Guards against a gateway that stops while an answer is awaited. */
static void
test_gateway_stops(void)
{
    struct scene *scene = set_up_scene(WAIT_US);
    int caller = send_prompt(scene, "/soon/");

    wait_for_claims(scene, 1);
    scene_free(scene);
    g_assert_cmpuint(sidecars.ended, ==, 1);
    close(caller);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    pgw_log_init("test", "", "error");
    g_test_add_func("/prefill_claim/granted", test_granted);
    g_test_add_func("/prefill_claim/one_at_a_time", test_one_claim_at_a_time);
    g_test_add_func("/prefill_claim/refused", test_refused);
    g_test_add_func("/prefill_claim/unanswered", test_unanswered);
    g_test_add_func("/prefill_claim/unreachable", test_unreachable);
    g_test_add_func("/prefill_claim/caller_leaves", test_caller_leaves);
    g_test_add_func("/prefill_claim/two_answers", test_two_answers);
    g_test_add_func("/prefill_claim/refused_for_long", test_refused_for_long);
    g_test_add_func("/prefill_claim/backlog_outlasts_wait",
                    test_backlog_outlasts_wait);
    g_test_add_func("/prefill_claim/full_before_refused",
                    test_full_before_refused);
    g_test_add_func("/prefill_claim/engine_is_removed",
                    test_engine_is_removed);
    g_test_add_func("/prefill_claim/gateway_stops", test_gateway_stops);
    return g_test_run();
}
