/*
 * Operators race each other and the store's answers get lost. What must hold:
 * the loser of a race is told so, sees the difference and nothing of the
 * winner's edit is lost; a change whose answer was lost is reported as the
 * change that it is; an edit that would lock callers out or take a pool from
 * under its profiles needs --force; a key's text is nowhere in the store.
 * Two edits made at once that do harm only together: one operator or both are
 * refused after the write and nothing of theirs stands.
 */
#include <string.h>

#include "harness_http.h"
#include "harness_process.h"
#include "util/program.h"

#define MAX_ARGS 16

struct fixture {
    struct harness *harness;
    struct harness_process *store;
    const char *url;
    char *output;
    char *log;
};

/* Runs the program; its output and messages are kept in the fixture. */
static int
run(struct fixture *f, ...)
{
    const char *args[MAX_ARGS] = {"--store", f->url};
    struct harness_process *process;
    size_t count = 2;
    va_list list;
    int code;

    va_start(list, f);
    do {
        g_assert_cmpuint(count, <, MAX_ARGS);
        args[count] = va_arg(list, const char *);
    } while (args[count++] != NULL);
    va_end(list);
    process = harness_spawnv(f->harness, "parsleygw", args);
    code = harness_process_wait(process);
    g_free(f->output);
    g_free(f->log);
    f->output = harness_process_output(process);
    f->log = harness_process_log(process);
    return code;
}

static void
assert_contains(const char *text, const char *part)
{
    if (strstr(text, part) == NULL) {
        g_error("\"%s\" lacks \"%s\"", text, part);
    }
}

static void
set_up(struct fixture *f)
{
    const char *pool;
    const char *profile;

    memset(f, 0, sizeof(*f));
    f->harness = harness_new();
    f->store = harness_spawn(f->harness, "standin-objects", NULL);
    f->url = harness_process_url(f->store, "");
    pool = harness_write_file(
        f->harness, "pool.json",
        "{\"type\":\"model\",\"model\":\"guide-7b\",\"version\":\"w1\"}");
    profile = harness_write_file(
        f->harness, "profile.json",
        "{\"pool\":\"assistants\",\"priority\":\"urgent\",\"deadline_ms\":"
        "2000,\"ttft_weight\":0.9}");
    g_assert_cmpint(run(f, "pool", "put", "assistants", pool, NULL), ==, 0);
    g_assert_cmpint(run(f, "profile", "put", "stamp-check", profile, NULL), ==,
                    0);
}

static void
tear_down(struct fixture *f)
{
    g_free(f->output);
    g_free(f->log);
    harness_free(f->harness);
}

static gint64
stored_deadline(struct fixture *f)
{
    JsonNode *node = harness_get_json(
        harness_process_url(f->store, "/objects/profile/stamp-check"));
    gint64 deadline = harness_json_int(node, "value/deadline_ms");

    json_node_unref(node);
    return deadline;
}

static void
test_loser_of_a_race_is_told(void)
{
    struct fixture f;
    const char *copy;
    char *edited;

    set_up(&f);
    g_assert_cmpint(run(&f, "profile", "get", "stamp-check", NULL), ==, 0);
    assert_contains(f.output, "\"ttft_weight\": 0.9\n");
    edited = g_strdup(f.output);
    copy = harness_write_file(f.harness, "copy.json", "%s", edited);
    /* Another operator is faster. */
    g_assert_cmpint(
        run(&f, "profile", "edit", "stamp-check", "deadline_ms=900", NULL), ==,
        0);
    g_assert_cmpint(run(&f, "profile", "put", "stamp-check", copy, NULL), ==,
                    PGW_EXIT_CONFLICT);
    assert_contains(f.log, "somebody else changed it first");
    assert_contains(f.log, "- deadline_ms: 900");
    assert_contains(f.log, "+ deadline_ms: 2000");
    assert_contains(f.log, "get it again");
    g_assert_cmpint(stored_deadline(&f), ==, 900);
    /* A bare value would replace the winner's unseen. */
    g_assert_cmpint(run(&f, "profile", "put", "stamp-check",
                        harness_write_file(f.harness, "bare.json",
                                           "{\"pool\":\"assistants\"}"),
                        NULL),
                    ==, PGW_EXIT_CONFLICT);
    g_assert_cmpint(stored_deadline(&f), ==, 900);
    g_assert_cmpint(run(&f, "profile", "history", "stamp-check", NULL), ==, 0);
    assert_contains(f.output, "+ deadline_ms: 900");
    g_free(edited);
    tear_down(&f);
}

static void
test_lost_answer_is_settled(void)
{
    struct harness_answer answer;
    struct fixture f;

    set_up(&f);
    g_assert_cmpint(harness_post(&answer,
                                 harness_process_url(f.store, "/_control"),
                                 "{\"lose_answers\":1}"),
                    ==, 200);
    harness_answer_dispose(&answer);
    g_assert_cmpint(
        run(&f, "profile", "edit", "stamp-check", "deadline_ms=700", NULL), ==,
        0);
    assert_contains(f.output, "written as version");
    g_assert_cmpint(stored_deadline(&f), ==, 700);
    tear_down(&f);
}

static void
test_outage_is_reported(void)
{
    struct harness_answer answer;
    struct fixture f;

    set_up(&f);
    g_assert_cmpint(harness_post(&answer,
                                 harness_process_url(f.store, "/_control"),
                                 "{\"outage\":true}"),
                    ==, 200);
    harness_answer_dispose(&answer);
    g_assert_cmpint(run(&f, "--timeout", "300", "profile", "edit",
                        "stamp-check", "deadline_ms=700", NULL),
                    ==, PGW_EXIT_UNAVAILABLE);
    tear_down(&f);
}

static void
test_harm_needs_force(void)
{
    struct fixture f;

    set_up(&f);
    g_assert_cmpint(run(&f, "pool", "delete", "assistants", NULL), ==,
                    PGW_EXIT_REFUSED);
    assert_contains(f.log, "in use by profile/stamp-check");
    g_assert_cmpint(run(&f, "workspace", "create", "hostels", NULL), ==, 0);
    g_assert_cmpint(run(&f, "workspace", "revoke", "hostels", "k1", NULL), ==,
                    PGW_EXIT_REFUSED);
    g_assert_cmpint(run(&f, "workspace", "revoke", "hostels", "k9", NULL), ==,
                    PGW_EXIT_NOT_FOUND);
    g_assert_cmpint(
        run(&f, "profile", "edit", "stamp-check", "deadlin=1", NULL), ==,
        PGW_EXIT_INVALID);
    assert_contains(f.log, "deadlin");
    g_assert_cmpint(
        run(&f, "workspace", "revoke", "hostels", "k1", "--force", NULL), ==,
        0);
    tear_down(&f);
}

static void
test_key_is_shown_once_and_not_stored(void)
{
    struct harness_answer answer;
    struct fixture f;
    char *digest;
    char *key;

    set_up(&f);
    g_assert_cmpint(run(&f, "--json", "workspace", "create", "hostels", NULL),
                    ==, 0);
    {
        JsonNode *node = harness_parse(f.output);

        key = g_strdup(harness_json_string(node, "key"));
        json_node_unref(node);
    }
    digest = g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);
    g_assert_cmpint(
        harness_get(&answer, harness_process_url(
                                 f.store, "/objects/workspace/hostels")),
        ==, 200);
    assert_contains(answer.body->str, digest);
    g_assert_null(strstr(answer.body->str, key));
    harness_answer_dispose(&answer);
    g_assert_cmpint(run(&f, "workspace", "rotate", "hostels", NULL), ==, 0);
    g_assert_null(strstr(f.output, key));
    g_assert_cmpint(run(&f, "workspace", "list", NULL), ==, 0);
    assert_contains(f.output, "k1 k2");
    g_free(digest);
    g_free(key);
    tear_down(&f);
}

static void
test_instances_join_and_leave(void)
{
    struct fixture f;

    set_up(&f);
    for (int i = 1; i <= 2; i++) {
        char *id = g_strdup_printf("guide-%d", i);

        g_assert_cmpint(run(&f, "instance", "join", id, "--pool", "assistants",
                            "--zone", "a", "--address", "127.0.0.1:9", NULL),
                        ==, 0);
        g_free(id);
    }
    g_assert_cmpint(run(&f, "instance", "leave", "guide-1", NULL), ==, 0);
    g_assert_cmpint(run(&f, "instance", "leave", "guide-2", NULL), ==,
                    PGW_EXIT_REFUSED);
    assert_contains(f.log, "last joined upstream");
    g_assert_cmpint(run(&f, "--json", "instance", "list", NULL), ==, 0);
    {
        JsonNode *node = harness_parse(f.output);

        g_assert_cmpstr(harness_json_string(node, "0/declared"), ==,
                        "leaving");
        g_assert_cmpstr(harness_json_string(node, "1/declared"), ==, "joined");
        json_node_unref(node);
    }
    tear_down(&f);
}

static struct harness_process *
start_leave(struct fixture *f, const char *id)
{
    return harness_spawn(f->harness, "parsleygw", "--store", f->url,
                         "instance", "leave", id, NULL);
}

/* The store is so slow that both look before either writes. */
static void
test_two_edits_together(void)
{
    static const char *const ids[] = {"guide-1", "guide-2"};
    struct harness_process *leaving[2];
    struct harness_answer answer;
    struct fixture f;
    unsigned refused = 0;
    unsigned joined = 0;

    set_up(&f);
    for (unsigned i = 0; i < 2; i++) {
        g_assert_cmpint(run(&f, "instance", "join", ids[i], "--pool",
                            "assistants", "--zone", "a", "--address",
                            "127.0.0.1:9", NULL),
                        ==, 0);
    }
    harness_post(&answer, harness_process_url(f.store, "/_control"),
                 "{\"latency_ms\":200}");
    harness_answer_dispose(&answer);
    for (unsigned i = 0; i < 2; i++) {
        leaving[i] = start_leave(&f, ids[i]);
    }
    for (unsigned i = 0; i < 2; i++) {
        int code = harness_process_wait(leaving[i]);
        char *log = harness_process_log(leaving[i]);

        g_test_message("exit code %d: %s", code, log);
        g_assert_true(code == 0 || code == PGW_EXIT_REFUSED);
        refused += code == PGW_EXIT_REFUSED;
        if (code == PGW_EXIT_REFUSED) {
            assert_contains(log, "last joined upstream");
        }
        g_free(log);
    }
    for (unsigned i = 0; i < 2; i++) {
        char *path = g_strconcat("/objects/upstream/", ids[i], NULL);
        JsonNode *node = harness_get_json(harness_process_url(f.store, path));

        joined +=
            strcmp(harness_json_string(node, "value/state"), "joined") == 0;
        json_node_unref(node);
        g_free(path);
    }
    g_assert_cmpuint(refused, >=, 1);
    g_assert_cmpuint(joined, ==, refused);
    tear_down(&f);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/cli/race", test_loser_of_a_race_is_told);
    g_test_add_func("/cli/lost_answer", test_lost_answer_is_settled);
    g_test_add_func("/cli/outage", test_outage_is_reported);
    g_test_add_func("/cli/harm", test_harm_needs_force);
    g_test_add_func("/cli/key", test_key_is_shown_once_and_not_stored);
    g_test_add_func("/cli/instances", test_instances_join_and_leave);
    g_test_add_func("/cli/two-edits-together", test_two_edits_together);
    return g_test_run();
}
