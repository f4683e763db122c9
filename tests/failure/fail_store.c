/*
 * The store is down, slow, or answers from the past, while processes restart.
 * What must hold: who has a copy, or a peer that has one, serves; a restarted
 * herd gets its copy from peers and does not ask the store; a fleet without
 * any copy says why it is not ready and serves as soon as it gets one; nobody
 * goes back to an older configuration; a change arrives although the
 * processes that should watch the store are stuck; what the platform's list
 * once called leaving gets no new work, though the list takes it back.
 */
#include <signal.h>
#include <string.h>

#include "harness_fleet.h"

#define ENTRIES 4
#define PROMPT                                                                \
    "route guide\n---\nfrom the south\n---\nwhere is the next hostel?"

static void
order(struct fleet *fleet, const char *path, const char *text)
{
    struct harness_answer answer;

    g_assert_cmpint(
        harness_post(&answer, harness_process_url(fleet->objects, path), text),
        ==, 200);
    harness_answer_dispose(&answer);
}

static gint64
stat_of(struct fleet *fleet, const char *name)
{
    return harness_get_int(harness_process_url(fleet->objects, "/_stats"),
                           name);
}

/* Starts entry @index again with the settings that it had. */
static void
start_entry(struct fleet *fleet, unsigned index)
{
    char *path =
        g_strdup_printf("%s/entry%u.json", harness_dir(fleet->harness), index);

    fleet->entries[index] = harness_spawn(fleet->harness, "parsleygw-entry",
                                          "--config", path, NULL);
    g_free(path);
}

static void
assert_serves(struct harness_process *entry)
{
    struct harness_stream stream;

    fleet_ask(&stream, entry, PROMPT, 4);
    g_assert_true(stream.done);
    g_assert_cmpuint(stream.tokens, >=, 4);
    harness_stream_dispose(&stream);
}

struct settled {
    struct fleet *fleet;
    gint64 reads;
    unsigned same;
};

/* No read for two seconds: the sidecars have made their first ones. */
static bool
has_settled(void *data)
{
    struct settled *settled = data;
    gint64 reads = stat_of(settled->fleet, "reads");

    g_usleep(200000);
    settled->same = reads == settled->reads ? settled->same + 1 : 0;
    settled->reads = reads;
    return settled->same >= 10;
}

/* All entries restart at once while each answer of the store takes longer
 * than they may take to serve, or while it is down. */
static void
check_herd(const char *trouble)
{
    struct fleet_options options = FLEET_OPTIONS_INIT;
    struct settled settled = {.fleet = NULL};
    struct fleet *fleet;
    gint64 reads;
    gint64 refused;
    gint64 began;

    options.entries = ENTRIES;
    fleet = fleet_new(&options);
    settled.fleet = fleet;
    g_assert_true(harness_wait_until(has_settled, &settled, 120));
    order(fleet, "/_control", trouble);
    for (unsigned i = 0; i < ENTRIES; i++) {
        harness_process_stop(fleet->entries[i], SIGKILL);
    }
    reads = stat_of(fleet, "reads");
    refused = stat_of(fleet, "refused");
    began = g_get_monotonic_time();
    for (unsigned i = 0; i < ENTRIES; i++) {
        start_entry(fleet, i);
    }
    for (unsigned i = 0; i < ENTRIES; i++) {
        harness_wait_ready(harness_process_url(fleet->entries[i], "/readyz"));
        assert_serves(fleet->entries[i]);
    }
    reads = stat_of(fleet, "reads") - reads;
    refused = stat_of(fleet, "refused") - refused;
    g_test_message("%u entries serve %.0f ms after their start; %d reads, "
                   "%d calls in the outage, the sidecars' included",
                   ENTRIES, (double)(g_get_monotonic_time() - began) / 1000,
                   (int)reads, (int)refused);
    for (unsigned i = 0; i < ENTRIES; i++) {
        fleet_wait_configured(fleet, fleet->entries[i]);
    }
    /* Each may have looked at the platform's list, no more. */
    g_assert_cmpint(reads, <=, ENTRIES);
    fleet_free(fleet);
}

static void
test_herd(void)
{
    check_herd("{\"latency_ms\":3000}");
    check_herd("{\"outage\":true}");
}

/* Starts the sidecar on the port that it had, as the store names it. */
static void
restart_sidecar(struct fleet *fleet, unsigned index)
{
    uint16_t port = harness_process_port(fleet->sidecars[index]);
    const char *path;

    harness_process_stop(fleet->sidecars[index], SIGKILL);
    path = harness_write_file(
        fleet->harness, "again.json",
        "{\"instance\":\"up%u\",\"zone\":\"a\",\"pool\":\"guide\",\"listen\":"
        "\"127.0.0.1:%u\",\"admin_listen\":\"127.0.0.1:0\","
        "\"upstream_url\":\"http://127.0.0.1:%u\",\"upstream_type\":\"model\","
        "\"store_url\":\"http://127.0.0.1:%u\"}",
        index, port, harness_process_port(fleet->engines[index]),
        harness_process_port(fleet->objects));
    fleet->sidecars[index] = harness_spawn(fleet->harness, "parsleygw-sidecar",
                                           "--config", path, NULL);
    harness_process_port(fleet->sidecars[index]);
}

static bool
says_why(void *data)
{
    struct harness_process *entry = data;
    struct harness_answer answer;
    long status = harness_get(&answer, harness_process_url(entry, "/readyz"));
    bool says = status == 503 &&
                strstr(answer.body->str, "no configuration yet") != NULL;

    harness_answer_dispose(&answer);
    return says;
}

static void
test_whole_fleet(void)
{
    struct fleet_options options = FLEET_OPTIONS_INIT;
    struct fleet *fleet;
    struct harness_answer answer;
    char *body = fleet_body(PROMPT, 4);

    options.engines = 1;
    fleet = fleet_new(&options);
    order(fleet, "/_control", "{\"outage\":true}");
    harness_process_stop(fleet->entries[0], SIGKILL);
    restart_sidecar(fleet, 0);
    start_entry(fleet, 0);
    g_assert_true(harness_wait_until(says_why, fleet->entries[0], 30));
    fleet_call(&answer, fleet->entries[0], "/v1/completions",
               &(struct harness_call){.body = body});
    fleet_assert_refusal(&answer, 503, "not_ready", "no");
    harness_answer_dispose(&answer);
    order(fleet, "/_control", "{\"outage\":false}");
    harness_wait_ready(harness_process_url(fleet->entries[0], "/readyz"));
    fleet_wait_configured(fleet, fleet->entries[0]);
    assert_serves(fleet->entries[0]);
    g_free(body);
    fleet_free(fleet);
}

/* A key is revoked; then the store forgets that, and an entry restarts. */
static void
test_past(void)
{
    struct fleet_options options = FLEET_OPTIONS_INIT;
    struct fleet *fleet = fleet_new(&options);
    struct harness_answer answer;
    char *body = fleet_body(PROMPT, 4);
    char *control = g_strdup_printf("{\"answer_old\":true,\"as_of\":%d}",
                                    (int)stat_of(fleet, "version"));

    fleet_put(fleet, "workspace", "parish", "{\"keys\":[]}");
    fleet_wait_configured(fleet, fleet->entries[0]);
    order(fleet, "/_control", control);
    /* A sidecar that restarts lists the store anew: it must believe its
     * peers, and the entry that restarts after it must not believe the list.
     */
    restart_sidecar(fleet, 0);
    harness_process_stop(fleet->entries[0], SIGKILL);
    start_entry(fleet, 0);
    harness_wait_ready(harness_process_url(fleet->entries[0], "/readyz"));
    fleet_wait_configured(fleet, fleet->entries[0]);
    fleet_call(&answer, fleet->entries[0], "/v1/completions",
               &(struct harness_call){.body = body});
    g_assert_cmpint(answer.status, ==, 401);
    harness_answer_dispose(&answer);
    g_free(control);
    g_free(body);
    fleet_free(fleet);
}

/* Both watchers of the zone are stopped: they hold their watches and tell
 * nobody. */
static void
test_stuck_watchers(void)
{
    struct fleet_options options = FLEET_OPTIONS_INIT;
    struct fleet *fleet = fleet_new(&options);
    gint64 began;

    for (unsigned i = 0; i < options.engines; i++) {
        harness_process_signal(fleet->sidecars[i], SIGSTOP);
    }
    began = g_get_monotonic_time();
    fleet_put(fleet, "profile", "ask",
              "{\"pool\":\"guide\",\"deadline_ms\":777}");
    fleet_wait_configured(fleet, fleet->entries[0]);
    g_test_message("change in force %.0f ms after it was made, by own looks",
                   (double)(g_get_monotonic_time() - began) / 1000);
    for (unsigned i = 0; i < options.engines; i++) {
        harness_process_signal(fleet->sidecars[i], SIGCONT);
    }
    fleet_free(fleet);
}

/* With everything in order, the time from the store to an entry. */
static void
test_change(void)
{
    struct fleet_options options = FLEET_OPTIONS_INIT;
    struct fleet *fleet = fleet_new(&options);
    gint64 slowest = 0;

    for (unsigned i = 0; i < 10; i++) {
        gint64 began = g_get_monotonic_time();

        fleet_put(fleet, "profile", "ask",
                  "{\"pool\":\"guide\",\"deadline_ms\":%u}", 1000 + i);
        fleet_wait_configured(fleet, fleet->entries[0]);
        slowest = MAX(slowest, g_get_monotonic_time() - began);
    }
    g_test_message("slowest of 10 changes in force after %.0f ms",
                   (double)slowest / 1000);
    fleet_free(fleet);
}

static void
test_list(void)
{
    struct fleet_options options = FLEET_OPTIONS_INIT;
    struct fleet *fleet = fleet_new(&options);

    order(fleet, "/_instances",
          "{\"instances\":[{\"id\":\"up0\",\"state\":\"leaving\",\"zone\":"
          "\"a\"},{\"id\":\"up1\",\"state\":\"live\",\"zone\":\"a\"}]}");
    fleet_wait_usable(fleet->entries[0], 1);
    order(fleet, "/_instances", "{\"instances\":[]}");
    /* Two more looks at the list. */
    gint64 reads = stat_of(fleet, "reads");

    while (stat_of(fleet, "reads") < reads + 2) {
        g_usleep(200000);
    }
    g_assert_cmpint(fleet_status_int(fleet->entries[0], "usable_upstreams"),
                    ==, 1);
    assert_serves(fleet->entries[0]);
    fleet_free(fleet);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/store/change", test_change);
    g_test_add_func("/store/herd", test_herd);
    g_test_add_func("/store/whole_fleet", test_whole_fleet);
    g_test_add_func("/store/past", test_past);
    g_test_add_func("/store/stuck_watchers", test_stuck_watchers);
    g_test_add_func("/store/list", test_list);
    return g_test_run();
}
