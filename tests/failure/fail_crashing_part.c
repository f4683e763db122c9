#include "harness_fleet.h"

#define ENGINES 10
#define PROMPTS 12
/* Engines that different prompts with one part may end. */
#define CRASHES_MAX (5 + 3)

static unsigned
count_crashed(struct fleet *fleet)
{
    unsigned crashed = 0;

    for (unsigned i = 0; i < ENGINES; i++) {
        crashed += !harness_process_is_running(fleet->engines[i]);
    }
    return crashed;
}

/* Guards against different prompts that begin with the same text and end one
 * engine after the other. */
static void
test_engines_survive_different_prompts(void)
{
    static const char *const engine_args[] = {"--crash-on", "POISON", NULL};
    struct fleet_options options = FLEET_OPTIONS_INIT;
    struct fleet *fleet;

    options.engines = ENGINES;
    options.entries = 2;
    options.engine_args = engine_args;
    fleet = fleet_new(&options);
    for (unsigned i = 0; i < PROMPTS; i++) {
        char *body = g_strdup_printf("{\"model\":\"ask\",\"prompt\":\"the "
                                     "POISON rules, question %u\","
                                     "\"max_tokens\":5}",
                                     i);
        struct harness_answer answer;

        fleet_call(&answer, fleet->entries[i % 2], "/v1/completions",
                   &(struct harness_call){.body = body});
        harness_answer_dispose(&answer);
        g_free(body);
    }
    g_assert_cmpuint(count_crashed(fleet), <=, CRASHES_MAX);
    fleet_free(fleet);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/crashing_part/engines_survive_different_prompts",
                    test_engines_survive_different_prompts);
    return g_test_run();
}
