#include <signal.h>
#include <stdatomic.h>

#include "harness_fleet.h"

#define ENGINES 6
#define REPEATS 5
/* Engines that one request may end, as in fail_quarantine. */
#define CRASHES_MAX 2
/* A request is abandoned after a second, and its engine crashes later. */
#define CRASH_AFTER_MS "1200"
#define ABANDON_MS 1000
/* After the run was seen, which takes some time. */
#define KILL_AFTER_MS 700
#define CRASH_LIMIT_S 3
#define RUN_LIMIT_S 30

static const char *const engine_args[] = {
    "--crash-on", "POISON", "--crash-after-ms", CRASH_AFTER_MS, NULL};

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

static struct fleet *
start_with(const char *const *args, unsigned entries, unsigned deadline_ms)
{
    struct fleet_options options = FLEET_OPTIONS_INIT;

    options.engines = ENGINES;
    options.entries = entries;
    options.engine_args = args;
    if (deadline_ms > 0) {
        options.deadline_ms = deadline_ms;
    }
    return fleet_new(&options);
}

static struct fleet *
start(unsigned entries, unsigned deadline_ms)
{
    return start_with(engine_args, entries, deadline_ms);
}

static long
send_poison(struct harness_answer *out, struct harness_process *entry,
            long timeout_s)
{
    return fleet_call(
        out, entry, "/v1/completions",
        &(struct harness_call){.body = "{\"model\":\"ask\",\"prompt\":"
                                       "\"the POISON question\","
                                       "\"max_tokens\":5}",
                               .timeout_s = timeout_s});
}

static void
expect_few_crashes(struct crash *crash, bool ran)
{
    if (ran) {
        harness_wait_until(has_crashed, crash, CRASH_LIMIT_S);
    }
    g_assert_cmpuint(count_crashed(crash->fleet), <=, CRASHES_MAX);
}

/* Guards against a request that ends one engine after the other, each time
 * just after its caller has left. */
static void
test_engines_survive_impatient_callers(void)
{
    struct crash crash = {.fleet = start(2, 0)};

    for (unsigned i = 0; i < REPEATS; i++) {
        struct harness_answer answer;

        crash.before = count_crashed(crash.fleet);
        send_poison(&answer, crash.fleet->entries[i % 2], ABANDON_MS / 1000);
        /* One that was refused ends no engine. */
        expect_few_crashes(&crash, answer.status == 0);
        harness_answer_dispose(&answer);
    }
    fleet_free(crash.fleet);
}

/* Guards against the same just after the request's deadline. */
static void
test_engines_survive_deadlines(void)
{
    struct crash crash = {.fleet = start(2, ABANDON_MS)};

    for (unsigned i = 0; i < REPEATS; i++) {
        struct harness_answer answer;

        crash.before = count_crashed(crash.fleet);
        send_poison(&answer, crash.fleet->entries[i % 2], 0);
        expect_few_crashes(&crash, answer.status == 504);
        harness_answer_dispose(&answer);
    }
    fleet_free(crash.fleet);
}

/* Guards against the same with engines that break off their answer, and live
 * on for longer than their sidecars wait. */
static void
test_engines_survive_late_ends(void)
{
    static const char *const args[] = {"--crash-on", "POISON",
                                       "--crash-linger-ms", "500", NULL};
    struct crash crash = {.fleet = start_with(args, 2, 0)};

    for (unsigned i = 0; i < REPEATS; i++) {
        struct harness_answer answer;

        crash.before = count_crashed(crash.fleet);
        send_poison(&answer, crash.fleet->entries[i % 2], 0);
        expect_few_crashes(&crash, answer.status == 502);
        harness_answer_dispose(&answer);
    }
    fleet_free(crash.fleet);
}

/* Guards against a request that ends one engine after the other, each time
 * just after its answer. */
static void
test_engines_survive_answers(void)
{
    static const char *const args[] = {"--crash-on", "POISON",
                                       "--crash-answered-ms", "50", NULL};
    struct crash crash = {.fleet = start_with(args, 2, 0)};

    for (unsigned i = 0; i < REPEATS; i++) {
        struct harness_answer answer;

        crash.before = count_crashed(crash.fleet);
        send_poison(&answer, crash.fleet->entries[i % 2], 0);
        expect_few_crashes(&crash, answer.status == 200);
        harness_answer_dispose(&answer);
    }
    fleet_free(crash.fleet);
}

struct sent {
    struct fleet *fleet;
    struct harness_process *entry;
    atomic_bool answered;
};

static gpointer
send_until_answered(gpointer data)
{
    struct sent *sent = data;
    struct harness_answer answer;

    send_poison(&answer, sent->entry, 0);
    harness_answer_dispose(&answer);
    atomic_store(&sent->answered, true);
    return NULL;
}

static bool
runs_or_is_answered(void *data)
{
    struct sent *sent = data;
    gint64 runs = 0;

    for (unsigned i = 0; i < ENGINES; i++) {
        runs += fleet_status_int(sent->fleet->sidecars[i], "running");
    }
    return runs > 0 || atomic_load(&sent->answered);
}

/* Guards against the same just after the entry was killed. */
static void
test_engines_survive_killed_entries(void)
{
    struct crash crash = {.fleet = start(REPEATS, 0)};

    for (unsigned i = 0; i < REPEATS; i++) {
        struct sent sent = {.fleet = crash.fleet,
                            .entry = crash.fleet->entries[i]};
        GThread *sender;

        crash.before = count_crashed(crash.fleet);
        sender = g_thread_new("sender", send_until_answered, &sent);
        g_assert_true(
            harness_wait_until(runs_or_is_answered, &sent, RUN_LIMIT_S));
        if (!atomic_load(&sent.answered)) {
            g_usleep(KILL_AFTER_MS * 1000);
            harness_process_stop(sent.entry, SIGKILL);
            expect_few_crashes(&crash, true);
        }
        g_thread_join(sender);
        expect_few_crashes(&crash, false);
    }
    fleet_free(crash.fleet);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/abandoned_run/engines_survive_impatient_callers",
                    test_engines_survive_impatient_callers);
    g_test_add_func("/abandoned_run/engines_survive_deadlines",
                    test_engines_survive_deadlines);
    g_test_add_func("/abandoned_run/engines_survive_late_ends",
                    test_engines_survive_late_ends);
    g_test_add_func("/abandoned_run/engines_survive_answers",
                    test_engines_survive_answers);
    g_test_add_func("/abandoned_run/engines_survive_killed_entries",
                    test_engines_survive_killed_entries);
    return g_test_run();
}
