#include "harness_fleet.h"

#define ENGINES 6
#define REPEATS 5
/* Engines that one request may end, as in fail_quarantine. */
#define CRASHES_MAX 2

static unsigned
count_crashed(struct fleet *fleet)
{
    unsigned crashed = 0;

    for (unsigned i = 0; i < ENGINES; i++) {
        crashed += !harness_process_is_running(fleet->engines[i]);
    }
    return crashed;
}

struct crash {
    struct fleet *fleet;
    unsigned before;
};

static bool
has_crashed(void *data)
{
    const struct crash *crash = data;

    return count_crashed(crash->fleet) > crash->before;
}

/* Guards against a request that ends one engine after the other, each time
 * just after its caller has left. */
static void
test_engines_survive_impatient_callers(void)
{
    static const char *const engine_args[] = {
        "--crash-on", "POISON", "--crash-after-ms", "1200", NULL};
    struct fleet_options options = FLEET_OPTIONS_INIT;
    struct crash crash;

    options.engines = ENGINES;
    options.entries = 2;
    options.engine_args = engine_args;
    crash.fleet = fleet_new(&options);
    for (unsigned i = 0; i < REPEATS; i++) {
        struct harness_answer answer;

        crash.before = count_crashed(crash.fleet);
        fleet_call(&answer, crash.fleet->entries[i % 2], "/v1/completions",
                   &(struct harness_call){.body =
                                              "{\"model\":\"ask\",\"prompt\":"
                                              "\"the POISON question\","
                                              "\"max_tokens\":5}",
                                          .timeout_s = 1});

        /* One that was refused ends no engine. */
        if (answer.status == 0) {
            harness_wait_until(has_crashed, &crash, 3);
        }
        harness_answer_dispose(&answer);
        g_assert_cmpuint(count_crashed(crash.fleet), <=, CRASHES_MAX);
    }
    fleet_free(crash.fleet);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/abandoned_run/engines_survive_impatient_callers",
                    test_engines_survive_impatient_callers);
    return g_test_run();
}
