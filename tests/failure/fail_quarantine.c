/*
 * A request crashes each engine that runs it, and its caller sends it again
 * and again, through two entries and under new ids. Two engines crash, then
 * the caller is refused as "quarantined", not run. Those who streamed beside
 * it see a pause and get their whole answers: each goes on alone on another
 * engine and is cleared by its good end. The operator sees the quarantine and
 * lifts it; only then does the request reach an engine again.
 *
 * So it is with engines that tell for a moment more that all is well.
 * Six copies are sent at once, three by each of two entries, before any engine
 * has crashed. All but the first go to one engine: two crash, each of the six
 * callers hears a refusal, and the innocents beside them are answered whole.
 *
 * While the store is down it is two engines as well: the sidecars tell each
 * crash to all entries at once, these hand it to whichever sidecar they ask
 * next, and the caller hears "quarantined", not run. A request whose engine
 * was killed once is answered by another one; its repeat is refused at once as
 * "store_down", not run. When the store is back the first one stands in the
 * operators' list and the second is answered.
 *
 * A request takes machines along, engine and sidecar, so that nobody reports
 * the crash. Its entry lost it there and makes it a suspect, so that it runs
 * alone under a permit. After the second machine its stream ends with an
 * error; each repeat is refused, not run, first for want of the permit, then
 * as "quarantined", when the permit of the dead holder has run out.
 */
#include <signal.h>
#include <string.h>

#include "harness_fleet.h"

#define ENGINES 5
#define INNOCENTS 6
#define TOKENS 100
#define REPEATS 5
#define COPIES 6
/* So long that a copy is load enough to send others elsewhere, and so short
 * that no sidecar holds one back. */
#define FILLER 6000
#define INNOCENT "innocent question"

static unsigned
count_crashed(struct fleet *fleet)
{
    unsigned crashed = 0;

    for (unsigned i = 0; i < ENGINES; i++) {
        crashed += !harness_process_is_running(fleet->engines[i]);
    }
    return crashed;
}

static long
send_poison(struct harness_answer *out, struct harness_process *entry)
{
    return fleet_call(
        out, entry, "/v1/completions",
        &(struct harness_call){.body = "{\"model\":\"ask\",\"prompt\":"
                                       "\"the POISON question\","
                                       "\"max_tokens\":5}"});
}

/* Runs the operators' client; its output is to be freed. */
static char *
operate(struct fleet *fleet, const char *action, const char *name)
{
    const char *const args[] = {
        "--store",    harness_process_url(fleet->stores[0], ""),
        "quarantine", action,
        name,         NULL};
    struct harness_process *process =
        harness_spawnv(fleet->harness, "parsleygw", args);

    g_assert_cmpint(harness_process_wait(process), ==, 0);
    return harness_process_output(process);
}

static struct fleet *
start_with(const char *const *engine_args)
{
    struct fleet_options options = FLEET_OPTIONS_INIT;

    options.engines = ENGINES;
    options.entries = 2;
    options.engine_args = engine_args;
    return fleet_new(&options);
}

static struct fleet *
start(void)
{
    static const char *const engine_args[] = {"--crash-on", "POISON", NULL};

    return start_with(engine_args);
}

static void
start_innocents(struct fleet *fleet, struct fleet_caller **callers)
{
    for (unsigned i = 0; i < INNOCENTS; i++) {
        char *prompt = g_strdup_printf("innocent question %u", i);

        callers[i] = fleet_caller_start(fleet->entries[i % 2], prompt, TOKENS);
        fleet_caller_wait_begun(callers[i], 1);
        g_free(prompt);
    }
}

static void
assert_answered(struct fleet *fleet, struct fleet_caller **callers)
{
    for (unsigned i = 0; i < INNOCENTS; i++) {
        char *prompt = g_strdup_printf("innocent question %u", i);
        char *expected = fleet_expected(fleet, prompt, TOKENS);
        struct harness_stream stream;

        g_assert_cmpint(fleet_caller_finish(callers[i], &stream), ==, 200);
        g_assert_null(stream.error);
        g_assert_true(stream.done);
        g_assert_cmpstr(stream.text->str, ==, expected);
        harness_stream_dispose(&stream);
        g_free(expected);
        g_free(prompt);
    }
}

/* The name of the object of the one fingerprint that is quarantined. */
static char *
quarantined_name(struct fleet *fleet)
{
    char *list = operate(fleet, "list", NULL);
    char **lines = g_strsplit(list, "\n", -1);
    char *name = NULL;

    for (unsigned i = 0; lines[i] != NULL; i++) {
        if (strstr(lines[i], "quarantined") != NULL) {
            g_assert_null(name);
            name = g_strndup(lines[i], strcspn(lines[i], " "));
        }
    }
    g_assert_nonnull(name);
    g_strfreev(lines);
    g_free(list);
    return name;
}

struct lifted {
    struct fleet *fleet;
    unsigned turn;
};

static bool
reaches_an_engine(void *data)
{
    struct lifted *lifted = data;
    struct harness_answer answer;

    send_poison(&answer, lifted->fleet->entries[lifted->turn++ % 2]);
    harness_answer_dispose(&answer);
    return count_crashed(lifted->fleet) > 2;
}

static void
test_two_crashes_at_most(void)
{
    struct fleet *fleet = start();
    struct fleet_caller *callers[INNOCENTS];
    struct harness_answer answer;
    struct lifted lifted;
    char *name;

    start_innocents(fleet, callers);
    for (unsigned i = 0; i < REPEATS; i++) {
        g_assert_cmpint(send_poison(&answer, fleet->entries[i % 2]), !=, 200);
        harness_answer_dispose(&answer);
        g_assert_cmpuint(count_crashed(fleet), <=, 2);
    }
    send_poison(&answer, fleet->entries[0]);
    fleet_assert_refusal(&answer, 422, "quarantined", "no");
    harness_answer_dispose(&answer);
    assert_answered(fleet, callers);
    g_assert_cmpuint(count_crashed(fleet), ==, 2);
    name = quarantined_name(fleet);
    g_free(operate(fleet, "lift", name));
    lifted = (struct lifted){.fleet = fleet};
    g_assert_true(harness_wait_until(reaches_an_engine, &lifted, 30));
    g_test_message("crashed engines before lifting: 2");
    g_free(name);
    fleet_free(fleet);
}

/* The engines break off the answer some time before they end, and say until
 * then that all is well. */
static void
test_dying_slowly(void)
{
    static const char *const engine_args[] = {"--crash-on", "POISON",
                                              "--crash-linger-ms", "60", NULL};
    struct fleet *fleet = start_with(engine_args);
    struct harness_answer answer;

    for (unsigned i = 0; i < REPEATS; i++) {
        g_assert_cmpint(send_poison(&answer, fleet->entries[i % 2]), !=, 200);
        harness_answer_dispose(&answer);
    }
    send_poison(&answer, fleet->entries[0]);
    fleet_assert_refusal(&answer, 422, "quarantined", "no");
    harness_answer_dispose(&answer);
    g_assert_cmpuint(count_crashed(fleet), ==, 2);
    fleet_free(fleet);
}

struct copy {
    struct harness_process *entry;
    const char *body;
    struct harness_answer answer;
    long status;
};

static gpointer
send_copy(gpointer data)
{
    struct copy *copy = data;

    copy->status = fleet_call(&copy->answer, copy->entry, "/v1/completions",
                              &(struct harness_call){.body = copy->body});
    return NULL;
}

static bool
copies_wait(void *data)
{
    const struct fleet *fleet = data;
    gint64 runs = 0;

    for (unsigned i = 0; i < ENGINES; i++) {
        runs += fleet_status_int(fleet->sidecars[i], "running") +
                fleet_status_int(fleet->sidecars[i], "waiting");
    }
    return runs >= INNOCENTS + COPIES;
}

static void
signal_engines(struct fleet *fleet, int number)
{
    for (unsigned i = 0; i < ENGINES; i++) {
        harness_process_signal(fleet->engines[i], number);
    }
}

/* The engines stand still until all copies are with their sidecars. */
static void
send_copies(struct fleet *fleet, const char *body)
{
    struct copy copies[COPIES] = {0};
    GThread *threads[COPIES];

    signal_engines(fleet, SIGSTOP);
    for (unsigned i = 0; i < COPIES; i++) {
        copies[i].entry = fleet->entries[i % 2];
        copies[i].body = body;
        threads[i] = g_thread_new("copy", send_copy, &copies[i]);
    }
    g_assert_true(harness_wait_until(copies_wait, fleet, 30));
    signal_engines(fleet, SIGCONT);
    for (unsigned i = 0; i < COPIES; i++) {
        g_thread_join(threads[i]);
        g_test_message("copy %u: %ld %s", i, copies[i].status,
                       copies[i].answer.body->str);
        g_assert_cmpint(copies[i].status, >=, 400);
        g_assert_nonnull(strstr(copies[i].answer.body->str, "\"ran\""));
        harness_answer_dispose(&copies[i].answer);
    }
}

static void
test_copies_at_once(void)
{
    struct fleet *fleet = start();
    struct fleet_caller *callers[INNOCENTS];
    struct harness_answer answer;
    char *filler = g_strnfill(FILLER, 'x');
    char *prompt = g_strdup_printf("%s the POISON question", filler);
    char *body = fleet_body(prompt, 5);

    start_innocents(fleet, callers);
    send_copies(fleet, body);
    g_assert_cmpuint(count_crashed(fleet), <=, 2);
    assert_answered(fleet, callers);
    fleet_call(&answer, fleet->entries[0], "/v1/completions",
               &(struct harness_call){.body = body});
    fleet_assert_refusal(&answer, 422, "quarantined", "no");
    harness_answer_dispose(&answer);
    g_assert_cmpuint(count_crashed(fleet), ==, 2);
    g_free(filler);
    g_free(prompt);
    g_free(body);
    fleet_free(fleet);
}

static long
send_innocent(struct harness_answer *out, struct harness_process *entry)
{
    char *body = fleet_body(INNOCENT, TOKENS);
    long status = fleet_call(out, entry, "/v1/completions",
                             &(struct harness_call){.body = body});

    g_free(body);
    return status;
}

static bool
is_answered(void *data)
{
    struct harness_answer answer;
    long status = send_innocent(&answer, ((struct fleet *)data)->entries[1]);

    harness_answer_dispose(&answer);
    return status == 200;
}

static void
set_outage(struct fleet *fleet, bool outage)
{
    struct harness_answer answer;

    g_assert_cmpint(
        harness_post(&answer, harness_process_url(fleet->objects, "/_control"),
                     outage ? "{\"outage\":true}" : "{\"outage\":false}"),
        ==, 200);
    harness_answer_dispose(&answer);
}

/* The sidecars write what they know as soon as they find the store back. */
static bool
is_listed(void *data)
{
    char *list = operate(data, "list", NULL);
    bool listed = strstr(list, "quarantined") != NULL;

    g_free(list);
    return listed;
}

static void
test_two_crashes_without_store(void)
{
    struct fleet *fleet = start();
    struct harness_answer answer;

    set_outage(fleet, true);
    for (unsigned i = 0; i < REPEATS; i++) {
        gint64 began = g_get_monotonic_time();

        g_assert_cmpint(send_poison(&answer, fleet->entries[i % 2]), !=, 200);
        g_test_message("answer %u after %.0f ms", i,
                       (double)(g_get_monotonic_time() - began) / 1000);
        if (i > 0) {
            fleet_assert_refusal(&answer, 422, "quarantined", "no");
        }
        harness_answer_dispose(&answer);
        g_assert_cmpuint(count_crashed(fleet), <=, 2);
    }
    g_assert_cmpuint(count_crashed(fleet), ==, 2);
    set_outage(fleet, false);
    g_assert_true(harness_wait_until(is_listed, fleet, 30));
    send_poison(&answer, fleet->entries[0]);
    fleet_assert_refusal(&answer, 422, "quarantined", "no");
    harness_answer_dispose(&answer);
    g_assert_cmpuint(count_crashed(fleet), ==, 2);
    fleet_free(fleet);
}

static void
kill_serving(struct fleet *fleet)
{
    for (unsigned i = 0; i < ENGINES; i++) {
        if (harness_get_int(harness_process_url(fleet->engines[i], "/_stats"),
                            "running") > 0) {
            harness_process_stop(fleet->engines[i], SIGKILL);
            return;
        }
    }
    g_error("no engine runs the request");
}

static void
test_innocent_without_store(void)
{
    struct fleet *fleet = start();
    struct fleet_caller *caller;
    struct harness_stream stream;
    struct harness_answer answer;
    char *expected;

    set_outage(fleet, true);
    caller = fleet_caller_start(fleet->entries[0], INNOCENT, TOKENS);
    fleet_caller_wait_begun(caller, 1);
    kill_serving(fleet);
    g_assert_cmpint(fleet_caller_finish(caller, &stream), ==, 200);
    g_assert_true(stream.done);
    expected = fleet_expected(fleet, INNOCENT, TOKENS);
    g_assert_cmpstr(stream.text->str, ==, expected);
    for (unsigned i = 0; i < 2; i++) {
        gint64 began = g_get_monotonic_time();

        send_innocent(&answer, fleet->entries[i]);
        g_test_message("repeat refused after %.0f ms",
                       (double)(g_get_monotonic_time() - began) / 1000);
        fleet_assert_refusal(&answer, 503, "store_down", "no");
        harness_answer_dispose(&answer);
    }
    set_outage(fleet, false);
    g_assert_true(harness_wait_until(is_answered, fleet, 30));
    harness_stream_dispose(&stream);
    g_free(expected);
    fleet_free(fleet);
}

static unsigned
kill_machine(struct fleet *fleet)
{
    for (unsigned i = 0; i < ENGINES; i++) {
        if (harness_process_is_running(fleet->engines[i]) &&
            harness_get_int(harness_process_url(fleet->engines[i], "/_stats"),
                            "running") > 0) {
            harness_process_stop(fleet->sidecars[i], SIGKILL);
            harness_process_stop(fleet->engines[i], SIGKILL);
            return i;
        }
    }
    return ENGINES;
}

struct machine {
    struct fleet *fleet;
    unsigned killed;
};

static bool
is_killed(void *data)
{
    struct machine *machine = data;

    machine->killed = kill_machine(machine->fleet);
    return machine->killed < ENGINES;
}

static bool
is_quarantined(void *data)
{
    struct fleet *fleet = data;
    struct harness_answer answer;
    bool quarantined;

    send_innocent(&answer, fleet->entries[1]);
    quarantined = strstr(answer.body->str, "quarantined") != NULL;
    g_assert_nonnull(strstr(answer.body->str, "\"no\""));
    harness_answer_dispose(&answer);
    return quarantined;
}

/* Its machine is ended, as if by the request, wherever it runs. */
static void
test_two_machines_at_most(void)
{
    struct fleet *fleet = start();
    struct machine machine = {fleet, 0};
    struct fleet_caller *caller;
    struct harness_stream stream;
    unsigned first;

    caller = fleet_caller_start(fleet->entries[0], INNOCENT, TOKENS);
    fleet_caller_wait_begun(caller, 1);
    first = kill_machine(fleet);
    g_assert_true(harness_wait_until(is_killed, &machine, 30));
    g_assert_cmpuint(first, !=, machine.killed);
    fleet_caller_finish(caller, &stream);
    g_assert_false(stream.done);
    harness_stream_dispose(&stream);
    g_assert_true(harness_wait_until(is_quarantined, fleet, 120));
    g_assert_true(is_listed(fleet));
    g_assert_cmpuint(count_crashed(fleet), ==, 2);
    fleet_free(fleet);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/quarantine/two-crashes-at-most",
                    test_two_crashes_at_most);
    g_test_add_func("/quarantine/dying-slowly", test_dying_slowly);
    g_test_add_func("/quarantine/copies-at-once", test_copies_at_once);
    g_test_add_func("/quarantine/two-crashes-without-store",
                    test_two_crashes_without_store);
    g_test_add_func("/quarantine/innocent-without-store",
                    test_innocent_without_store);
    g_test_add_func("/quarantine/two-machines-at-most",
                    test_two_machines_at_most);
    return g_test_run();
}
