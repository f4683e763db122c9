#include "gateway/request/exchange.h"
#include "gateway/upstream/unresponsive.h"
#include "scene_gateway.h"
#include "util/log.h"
#include <string.h>
#include <unistd.h>

/* More than the age from which on an attempt is moved. */
#define OLD_US 1100000
/* Token of another request's trial. */
#define OTHER_TRIAL 7

static struct pgw_exchange *
only_exchange(const struct scene *scene)
{
    return pgw_container_of(pgw_list_first(&scene->gateway->exchanges),
                            struct pgw_exchange, in_gateway);
}

/* Three upstreams have crashed with the request, and another one like it is
 * being tried. */
static void
start_other_trial(struct scene *scene)
{
    struct pgw_crash_quarantine *quarantine = scene->gateway->crash_quarantine;
    const struct pgw_crash_keys *keys = &only_exchange(scene)->crash_keys;
    uint64_t now_us = pgw_now_us();
    uint64_t trial = 0;

    for (unsigned i = 0; i < 3; i++) {
        char id[16];

        g_snprintf(id, sizeof(id), "crashed%u", i);
        pgw_crash_quarantine_add_interrupted(quarantine, keys, id, now_us);
        pgw_crash_quarantine_add_crash(quarantine, id, 0, now_us);
    }
    g_assert_cmpint(pgw_crash_quarantine_admit(quarantine, keys, &trial,
                                               G_USEC_PER_SEC, OTHER_TRIAL,
                                               now_us),
                    ==, PGW_CRASH_WAIT);
    pgw_crash_quarantine_start_trial(
        quarantine, keys, trial, "tried",
        now_us + SCENE_TIMEOUT_S * (uint64_t)G_USEC_PER_SEC, now_us);
}

static void
complete_other_trial(struct scene *scene)
{
    pgw_crash_quarantine_clear(scene->gateway->crash_quarantine,
                               &only_exchange(scene)->crash_keys);
}

static uint64_t response_due_us;

/* The upstream has stopped sending, so its request moves, and waits. */
static void
stall(struct scene *scene)
{
    struct pgw_exchange *exchange = only_exchange(scene);

    response_due_us = pgw_now_us() + OLD_US;
    exchange->sent_us -= OLD_US;
    exchange->upstream->last_seen_us = 1;
    pgw_unresponsive_check(scene->gateway);
    g_assert_null(exchange->upstream);
}

static void
do_nothing(struct scene *scene)
{
    (void)scene;
}

/* Guards against an entry that crashes when the response timeout of an attempt
 * expires after the attempt has ended and its request waits for another. */
static void
test_response_timeout_ends_with_its_attempt(void)
{
    struct scene *scene = scene_new_with_crash_gap(2);
    unsigned first;
    unsigned second;
    int upstream;
    int caller;
    char *answer;

    scene_set_routes(scene, 1, true);
    caller = scene_call(scene, "/quick/", "a");
    upstream = scene_accept_any(scene, &first);
    g_free(scene_read_request(upstream));
    scene_run(scene, start_other_trial);
    scene_run(scene, stall);
    while (pgw_now_us() <= response_due_us) {
        scene_run(scene, do_nothing);
        g_usleep(1000);
    }
    scene_run(scene, complete_other_trial);
    close(upstream);
    upstream = scene_accept_any(scene, &second);
    g_assert_cmpuint(second, !=, first);
    g_free(scene_read_request(upstream));
    scene_answer(upstream, "a", 200, "", "ok");
    answer = scene_read_until(caller, "\r\n\r\nok");
    g_assert_nonnull(strstr(answer, "HTTP/1.1 200 "));
    g_free(answer);
    close(upstream);
    close(caller);
    scene_free(scene);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    pgw_log_init("test", "", "error");
    g_test_add_func("/attempt/response_timeout_ends_with_its_attempt",
                    test_response_timeout_ends_with_its_attempt);
    return g_test_run();
}
