#include "harness_fleet.h"
#include <string.h>

/*
 * An availability zone drops out: every connection to two of four sidecars
 * goes silent in the same moment, without an error, while answers stream.
 * The callers see a pause and then the rest of their answers, the same text as
 * unbroken ones; new requests go to the other zone at once, since a probe that
 * stays unanswered keeps them away; a change of configuration made meanwhile
 * is in force on both sides. When the zone is back it is given work again.
 */

#define LOST 2
#define ENGINES 4
#define CALLERS 6
#define TOKENS 200

/* The zone is an engine that runs something and its neighbour. */
static unsigned
pick_zone(struct fleet *fleet)
{
    for (unsigned i = 0; i < ENGINES; i++) {
        const char *url = harness_process_url(fleet->engines[i], "/_stats");

        if (harness_get_int(url, "running") > 0) {
            return i;
        }
    }
    g_error("no engine runs anything");
}

static void
set_zone(struct fleet *fleet, unsigned first, const char *mode)
{
    for (unsigned i = 0; i < LOST; i++) {
        fleet_set_mode(fleet->links[(first + i) % ENGINES], mode);
    }
}

static void
ask_each_entry(struct fleet *fleet)
{
    struct harness_stream stream;

    for (unsigned i = 0; i < fleet->options.entries * 4; i++) {
        char *prompt = g_strdup_printf("where is the next hut, part %u", i);

        fleet_ask(&stream, fleet->entries[i % fleet->options.entries], prompt,
                  4);
        fleet_assert_whole(fleet, &stream, prompt, 4);
        harness_stream_dispose(&stream);
        g_free(prompt);
    }
}

static void
finish_callers(struct fleet *fleet, struct fleet_caller **callers,
               char **prompts)
{
    struct harness_stream stream;

    for (unsigned i = 0; i < CALLERS; i++) {
        g_assert_cmpint(fleet_caller_finish(callers[i], &stream), ==, 200);
        fleet_assert_whole(fleet, &stream, prompts[i], TOKENS);
        harness_stream_dispose(&stream);
        g_free(prompts[i]);
    }
}

static void
test_zone_lost_and_back(void)
{
    struct fleet_options options = FLEET_OPTIONS_INIT;
    struct fleet_caller *callers[CALLERS];
    char *prompts[CALLERS];
    struct fleet *fleet;
    double resumes = 0;
    unsigned zone;

    options.engines = ENGINES;
    options.entries = 2;
    options.proxy_links = true;
    fleet = fleet_new(&options);
    for (unsigned i = 0; i < CALLERS; i++) {
        prompts[i] = g_strdup_printf("%u: tell the way from here", i * 7919);
        callers[i] = fleet_caller_start(fleet->entries[i % options.entries],
                                        prompts[i], TOKENS);
    }
    for (unsigned i = 0; i < CALLERS; i++) {
        fleet_caller_wait_begun(callers[i], 200);
    }
    zone = pick_zone(fleet);
    set_zone(fleet, zone, "{\"mode\":\"stall\"}");
    ask_each_entry(fleet);
    fleet_put(fleet, "workspace", "late",
              "{\"share\":1,\"max_inflight\":0,\"keys\":[]}");
    for (unsigned i = 0; i < options.entries; i++) {
        fleet_wait_configured(fleet, fleet->entries[i]);
    }
    finish_callers(fleet, callers, prompts);
    for (unsigned i = 0; i < options.entries; i++) {
        resumes += fleet_metric(fleet->entries[i], "pgw_resumes_total");
    }
    g_assert_cmpfloat(resumes, >, 0);
    set_zone(fleet, zone, "{\"mode\":\"pass\"}");
    for (unsigned i = 0; i < options.entries; i++) {
        fleet_wait_usable(fleet->entries[i], ENGINES);
    }
    ask_each_entry(fleet);
    fleet_free(fleet);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/zone/lost-and-back", test_zone_lost_and_back);
    return g_test_run();
}
