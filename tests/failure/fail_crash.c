/*
 * The engine or the sidecar that serves a stream is killed in the middle, or
 * the connection to it goes silent without an error. The caller sees a pause
 * and then the rest of its answer, the same text as an unbroken one: the entry
 * finds out (a closed or silent connection, or the sidecar's word), and
 * another engine goes on after the tokens that were delivered.
 */
#include <signal.h>
#include <string.h>

#include "harness_fleet.h"

#define TOKENS 150
#define LIMIT_S 60
#define PROMPT "which pass is open after the storm?"

static unsigned
serving(struct fleet *fleet)
{
    for (unsigned i = 0; i < fleet->options.engines; i++) {
        const char *url = harness_process_url(fleet->engines[i], "/_stats");

        if (harness_get_int(url, "running") > 0) {
            return i;
        }
    }
    g_error("no engine runs the request");
}

/* Lets a stream begin, breaks what serves it and expects it whole. */
static void
assert_survives(const struct fleet_options *options,
                void (*strike)(struct fleet *fleet, unsigned index))
{
    struct fleet *fleet = fleet_new(options);
    struct fleet_caller *caller =
        fleet_caller_start(fleet->entries[0], PROMPT, TOKENS);
    struct harness_stream stream;
    unsigned struck;
    gint64 began;
    char *expected;

    fleet_caller_wait_begun(caller, 3000);
    struck = serving(fleet);
    began = g_get_monotonic_time();
    strike(fleet, struck);
    g_assert_cmpint(fleet_caller_finish(caller, &stream), ==, 200);
    if (!stream.done) {
        g_error("cut short: %s\n%s", stream.error,
                harness_process_log(fleet->entries[0]));
    }
    g_test_message("whole %.1f s after the strike, %.1f s of that decoding",
                   (double)(g_get_monotonic_time() - began) / 1e6,
                   TOKENS * 0.02);
    expected = fleet_expected(fleet, PROMPT, TOKENS);
    g_assert_cmpstr(stream.text->str, ==, expected);
    g_assert_cmpfloat(fleet_metric(fleet->entries[0], "pgw_resumes_total"), ==,
                      1);
    g_assert_cmpint(harness_get_int(harness_process_url(
                                        fleet->engines[1 - struck], "/_stats"),
                                    "resume_mismatches"),
                    ==, 0);
    harness_stream_dispose(&stream);
    g_free(expected);
    fleet_free(fleet);
}

static void
kill_engine(struct fleet *fleet, unsigned index)
{
    g_assert_cmpint(harness_process_stop(fleet->engines[index], SIGKILL), ==,
                    -SIGKILL);
}

static void
kill_sidecar(struct fleet *fleet, unsigned index)
{
    g_assert_cmpint(harness_process_stop(fleet->sidecars[index], SIGKILL), ==,
                    -SIGKILL);
}

static void
stall_link(struct fleet *fleet, unsigned index)
{
    fleet_set_mode(fleet->links[index], "{\"mode\":\"stall\"}");
}

static void
half_open_link(struct fleet *fleet, unsigned index)
{
    fleet_set_mode(fleet->links[index], "{\"mode\":\"half_open\"}");
}

static void
cut_link(struct fleet *fleet, unsigned index)
{
    fleet_set_mode(fleet->links[index],
                   "{\"mode\":\"cut\",\"after_bytes\":777,\"once\":true}");
}

static void
stall_upstream(struct fleet *fleet, unsigned index)
{
    fleet_set_mode(fleet->upstreams[index], "{\"mode\":\"stall\"}");
}

static void
half_open_upstream(struct fleet *fleet, unsigned index)
{
    fleet_set_mode(fleet->upstreams[index], "{\"mode\":\"half_open\"}");
}

static void
cut_upstream(struct fleet *fleet, unsigned index)
{
    fleet_set_mode(fleet->upstreams[index], "{\"mode\":\"cut\"}");
}

static void
stop_sidecar(struct fleet *fleet, unsigned index)
{
    harness_process_signal(fleet->sidecars[index], SIGSTOP);
}

struct strike {
    const char *name;
    void (*strike)(struct fleet *fleet, unsigned index);
    bool proxy_links;
    bool proxy_upstreams;
};

static const struct strike strikes[] = {
    {"/crash/engine-killed", kill_engine, false, false},
    {"/crash/sidecar-killed", kill_sidecar, false, false},
    {"/crash/link-cut", cut_link, true, false},
    {"/crash/link-stalls", stall_link, true, false},
    {"/crash/link-half-open", half_open_link, true, false},
    {"/crash/upstream-cut", cut_upstream, false, true},
    {"/crash/upstream-stalls", stall_upstream, false, true},
    {"/crash/upstream-half-open", half_open_upstream, false, true},
};

static void
test_strike(gconstpointer data)
{
    const struct strike *strike = data;
    struct fleet_options options = FLEET_OPTIONS_INIT;

    options.proxy_links = strike->proxy_links;
    options.proxy_upstreams = strike->proxy_upstreams;
    assert_survives(&options, strike->strike);
}

/* A paused sidecar, as on a machine that is suspended: its frames come late,
 * when the request has long been answered elsewhere. */
static void
test_sidecar_paused(void)
{
    struct fleet_options options = FLEET_OPTIONS_INIT;
    struct fleet *fleet = fleet_new(&options);
    struct fleet_caller *caller =
        fleet_caller_start(fleet->entries[0], PROMPT, TOKENS);
    struct harness_stream stream;
    unsigned struck;
    char *expected;

    fleet_caller_wait_begun(caller, 3000);
    struck = serving(fleet);
    stop_sidecar(fleet, struck);
    g_assert_cmpint(fleet_caller_finish(caller, &stream), ==, 200);
    g_assert_true(stream.done);
    expected = fleet_expected(fleet, PROMPT, TOKENS);
    g_assert_cmpstr(stream.text->str, ==, expected);
    harness_stream_dispose(&stream);
    harness_process_signal(fleet->sidecars[struck], SIGCONT);
    fleet_wait_usable(fleet->entries[0], 2);
    fleet_ask(&stream, fleet->entries[0], PROMPT, TOKENS);
    g_assert_cmpstr(stream.text->str, ==, expected);
    harness_stream_dispose(&stream);
    g_free(expected);
    fleet_free(fleet);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(strikes); i++) {
        g_test_add_data_func(strikes[i].name, &strikes[i], test_strike);
    }
    g_test_add_func("/crash/sidecar-paused", test_sidecar_paused);
    return g_test_run();
}
