/*
 * A kitchen orders a label and repeats the order under the same key: at two
 * entries at once, after its entry, the sidecar or both died, while the store
 * loses answers, is down, or a process wakes from a pause. It sees one whole
 * answer, always the same, or a refusal; the label is printed once. The claim
 * stands in the store before the call is handed over, and only the process
 * that made it may ever free it. The service counts what it ran.
 */
#include <signal.h>
#include <string.h>

#include "harness_fleet.h"

#define LIMIT_S 30
#define RUN_MS "400"

static struct harness_answer
print_label(struct harness_process *entry, const char *key)
{
    struct fleet_print print;

    fleet_print_start(&print, entry, key);
    fleet_print_wait(&print);
    return print.answer;
}

static void
assert_printed(struct harness_answer *answer, const char *key)
{
    JsonNode *node;

    g_assert_cmpint(answer->status, ==, 200);
    g_assert_true(answer->whole);
    node = harness_parse(answer->body->str);
    g_assert_cmpstr(harness_json_string(node, "key"), ==, key);
    g_assert_cmpint(harness_json_int(node, "execution"), ==, 1);
    json_node_unref(node);
    harness_answer_dispose(answer);
}

static void
assert_refused(struct harness_answer *answer, long status, const char *code,
               const char *ran)
{
    fleet_assert_refusal(answer, status, code, ran);
    harness_answer_dispose(answer);
}

struct expected_print {
    struct fleet *fleet;
    const char *key;
};

static bool
is_printing(void *data)
{
    const struct expected_print *expected = data;

    return fleet_print_count(expected->fleet, expected->key) > 0;
}

static void
wait_printing(struct fleet *fleet, const char *key)
{
    struct expected_print expected = {.fleet = fleet, .key = key};

    g_assert_true(harness_wait_until(is_printing, &expected, LIMIT_S));
}

static void
order_store(struct fleet *fleet, const char *order)
{
    struct harness_answer answer;

    g_assert_cmpint(
        harness_post(&answer, harness_process_url(fleet->objects, "/_control"),
                     order),
        ==, 200);
    harness_answer_dispose(&answer);
}

/* A new sidecar beside the same service, as the platform would start it. */
static void
replace_sidecar(struct fleet *fleet)
{
    char *path =
        g_build_filename(harness_dir(fleet->harness), "up0.json", NULL);

    fleet->sidecars[0] = harness_spawn(fleet->harness, "parsleygw-sidecar",
                                       "--config", path, NULL);
    fleet_put(fleet, "upstream", "up0",
              "{\"pool\":\"desk\",\"zone\":\"a\",\"address\":\"127.0.0.1:%u\","
              "\"state\":\"joined\"}",
              harness_process_port(fleet->sidecars[0]));
    for (unsigned i = 0; i < fleet->options.entries; i++) {
        if (harness_process_is_running(fleet->entries[i])) {
            fleet_wait_configured(fleet, fleet->entries[i]);
            fleet_wait_usable(fleet->entries[i], 1);
        }
    }
    g_free(path);
}

static struct fleet *
desk_new(unsigned deadline_ms)
{
    static const char *const service_args[] = {"--delay-ms", RUN_MS, NULL};
    struct fleet_options options = FLEET_OPTIONS_INIT;

    options.engines = 0;
    options.entries = 2;
    options.service = true;
    options.deadline_ms = deadline_ms;
    options.service_args = service_args;
    return fleet_new(&options);
}

/* Whatever happened: no key ran twice. */
static void
desk_free(struct fleet *fleet)
{
    JsonNode *node =
        harness_get_json(harness_process_url(fleet->service, "/_counts"));
    JsonObjectIter iter;
    JsonNode *count;
    unsigned ran = 0;
    unsigned doubled = 0;

    json_object_iter_init(&iter, json_node_get_object(node));
    while (json_object_iter_next(&iter, NULL, &count)) {
        ran++;
        doubled += json_node_get_int(count) > 1;
    }
    json_node_unref(node);
    g_test_message("keys that ran: %u, doubled: %u", ran, doubled);
    g_assert_cmpuint(doubled, ==, 0);
    fleet_free(fleet);
}

/* Both callers come before the label is printed; both get its one answer. */
static void
test_two_entries(void)
{
    struct fleet *fleet = desk_new(20000);
    struct fleet_print prints[6];

    for (unsigned i = 0; i < G_N_ELEMENTS(prints); i++) {
        fleet_print_start(&prints[i], fleet->entries[i % 2], "order-1");
    }
    for (unsigned i = 0; i < G_N_ELEMENTS(prints); i++) {
        fleet_print_wait(&prints[i]);
        assert_printed(&prints[i].answer, "order-1");
    }
    g_assert_cmpint(fleet_print_count(fleet, "order-1"), ==, 1);
    desk_free(fleet);
}

/* The store takes the claim and the outcome, but their answers are lost. */
static void
test_lost_store_answers(void)
{
    struct fleet *fleet = desk_new(20000);
    struct harness_answer answer;

    order_store(fleet, "{\"lose_answers\":2}");
    answer = print_label(fleet->entries[0], "order-2");
    assert_printed(&answer, "order-2");
    answer = print_label(fleet->entries[1], "order-2");
    assert_printed(&answer, "order-2");
    g_assert_cmpint(fleet_print_count(fleet, "order-2"), ==, 1);
    desk_free(fleet);
}

/* Down: what was printed is answered again, new orders are refused as "not
 * run" and printed once by the same key when the store is back. */
static void
test_outage(void)
{
    struct fleet *fleet = desk_new(20000);
    struct harness_answer answer = print_label(fleet->entries[0], "order-3");

    assert_printed(&answer, "order-3");
    order_store(fleet, "{\"outage\":true}");
    answer = print_label(fleet->entries[1], "order-3");
    assert_printed(&answer, "order-3");
    answer = print_label(fleet->entries[0], "order-4");
    assert_refused(&answer, 503, "store_down", "no");
    g_assert_cmpint(fleet_print_count(fleet, "order-4"), ==, 0);
    order_store(fleet, "{\"outage\":false}");
    answer = print_label(fleet->entries[1], "order-4");
    for (unsigned i = 0; i < 1000 && answer.status == 503; i++) {
        assert_refused(&answer, 503, "store_down", "no");
        g_usleep(10000);
        answer = print_label(fleet->entries[1], "order-4");
    }
    assert_printed(&answer, "order-4");
    g_assert_cmpint(fleet_print_count(fleet, "order-3"), ==, 1);
    g_assert_cmpint(fleet_print_count(fleet, "order-4"), ==, 1);
    desk_free(fleet);
}

/* The sidecar dies while the label is printed. Nobody will ever know how it
 * ended: the caller and all repeats hear "unknown", and it is not repeated. */
static void
test_sidecar_killed(void)
{
    struct fleet *fleet = desk_new(20000);
    struct harness_answer answer;
    struct fleet_print print;

    fleet_print_start(&print, fleet->entries[0], "order-5");
    wait_printing(fleet, "order-5");
    harness_process_stop(fleet->sidecars[0], SIGKILL);
    fleet_print_wait(&print);
    assert_refused(&print.answer, 502, "upstream_failed", "unknown");
    replace_sidecar(fleet);
    for (unsigned i = 0; i < 2; i++) {
        answer = print_label(fleet->entries[i], "order-5");
        assert_refused(&answer, 409, "duplicate", "unknown");
    }
    g_assert_cmpint(fleet_print_count(fleet, "order-5"), ==, 1);
    desk_free(fleet);
}

/* The entry dies while the label is printed; the caller sees its connection
 * break, asks the other entry and gets the first answer. Then the sidecar is
 * replaced as well: the answer stands in the store. */
static void
test_entry_killed(void)
{
    struct fleet *fleet = desk_new(20000);
    struct harness_answer answer;
    struct fleet_print print;

    fleet_print_start(&print, fleet->entries[0], "order-6");
    wait_printing(fleet, "order-6");
    harness_process_stop(fleet->entries[0], SIGKILL);
    g_assert_cmpint(fleet_print_wait(&print), ==, 0);
    harness_answer_dispose(&print.answer);
    answer = print_label(fleet->entries[1], "order-6");
    assert_printed(&answer, "order-6");
    harness_process_stop(fleet->sidecars[0], SIGTERM);
    replace_sidecar(fleet);
    answer = print_label(fleet->entries[1], "order-6");
    assert_printed(&answer, "order-6");
    g_assert_cmpint(fleet_print_count(fleet, "order-6"), ==, 1);
    desk_free(fleet);
}

/* The sidecar is paused past the caller's deadline and wakes. The first call
 * ends without an answer; its repeats get the one print or hear "unknown". */
static void
test_sidecar_paused(void)
{
    struct fleet *fleet = desk_new(1500);
    struct harness_answer answer;
    struct fleet_print print;

    harness_process_signal(fleet->sidecars[0], SIGSTOP);
    fleet_print_start(&print, fleet->entries[0], "order-7");
    fleet_print_wait(&print);
    g_assert_cmpint(print.answer.status, >=, 500);
    harness_answer_dispose(&print.answer);
    harness_process_signal(fleet->sidecars[0], SIGCONT);
    fleet_wait_usable(fleet->entries[1], 1);
    answer = print_label(fleet->entries[1], "order-7");
    g_assert_cmpint(answer.status, !=, 0);
    harness_answer_dispose(&answer);
    g_assert_cmpint(fleet_print_count(fleet, "order-7"), <=, 1);
    desk_free(fleet);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/claim/two-entries", test_two_entries);
    g_test_add_func("/claim/lost-store-answers", test_lost_store_answers);
    g_test_add_func("/claim/outage", test_outage);
    g_test_add_func("/claim/sidecar-killed", test_sidecar_killed);
    g_test_add_func("/claim/entry-killed", test_entry_killed);
    g_test_add_func("/claim/sidecar-paused", test_sidecar_paused);
    return g_test_run();
}
