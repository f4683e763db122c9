#include "harness_fleet.h"

#define RETRY_AFTER_MS "1500"
#define CALLS 20

static gint64
requests_in_backoff(const struct fleet *fleet)
{
    gint64 count = 0;

    for (unsigned i = 0; i < fleet->options.engines; i++) {
        count +=
            harness_get_int(harness_process_url(fleet->engines[i], "/_stats"),
                            "requests_in_backoff");
    }
    return count;
}

/* Guards against requests for an engine that has requested a backoff. */
static void
test_backoff_is_kept(void)
{
    static const char *const engine_args[] = {"--retry-after-ms",
                                              RETRY_AFTER_MS, NULL};
    struct fleet_options options = FLEET_OPTIONS_INIT;
    struct fleet *fleet;
    char *body = fleet_body("what is left?", 4);
    struct harness_call call = {.body = body};
    unsigned served = 0;

    options.engine_args = engine_args;
    fleet = fleet_new(&options);
    for (unsigned i = 0; i < CALLS || served == 0; i++) {
        struct harness_answer answer;
        long status =
            fleet_call(&answer, fleet->entries[0], "/v1/completions", &call);

        if (status == 200) {
            served++;
        }
        else {
            JsonNode *node = harness_parse(answer.body->str);

            g_assert_cmpstr(harness_json_string(node, "error/ran"), ==, "no");
            json_node_unref(node);
        }
        harness_answer_dispose(&answer);
        g_usleep(status == 200 ? 0 : 50000);
    }
    g_assert_cmpint(requests_in_backoff(fleet), ==, 0);
    g_free(body);
    fleet_free(fleet);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/retry_after/is_kept", test_backoff_is_kept);
    return g_test_run();
}
