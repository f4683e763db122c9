/*
 * The tests of failures rely on stand-ins that behave like the systems they
 * replace: a cached prefix is only hit under the same salt, a closed stream
 * frees its slot, a restarted engine is another incarnation with an empty
 * cache, and what did not run is refused. Were one of these wrong, a fault
 * of the router would go unseen.
 */
#include <signal.h>
#include <string.h>

#include "harness_http.h"
#include "harness_process.h"

#define PROMPT_BYTES 640 /* 160 tokens, 10 blocks */

static char *
compose(const char *id, const char *salt, const char *tail, const char *more)
{
    char *prefix = g_strnfill(PROMPT_BYTES, 'r');
    char *body = g_strdup_printf(
        "{\"model\":\"rulebook-7b\",\"prompt\":\"%s%s\",\"stream\":true,"
        "\"request_id\":\"%s\",\"cache_salt\":\"%s\"%s}",
        prefix, tail, id, salt, more);

    g_free(prefix);
    return body;
}

static void
complete(struct harness_stream *out, struct harness_process *engine,
         const char *id, const char *salt, const char *more)
{
    char *body = compose(id, salt, " what else?", more);
    struct harness_answer answer;

    g_assert_cmpint(
        harness_post(&answer, harness_process_url(engine, "/v1/completions"),
                     body),
        ==, 200);
    g_assert_true(answer.whole);
    harness_stream_parse(out, answer.body->str);
    g_assert_true(out->done);
    harness_answer_dispose(&answer);
    g_free(body);
}

static struct harness_process *
start_engine(struct harness *harness)
{
    return harness_spawn(harness, "standin-engine", "--time-scale", "10",
                         "--batch", "1", "--event-loss", "0", NULL);
}

static void
test_hits_need_the_same_salt(void)
{
    struct harness *harness = harness_new();
    struct harness_process *engine = start_engine(harness);
    struct harness_stream first, second, other;
    JsonNode *events;

    complete(&first, engine, "a1", "5a17", "");
    complete(&second, engine, "a2", "5a17", "");
    complete(&other, engine, "a3", "0ther", "");
    g_assert_cmpint(first.prompt_tokens, ==, 163);
    g_assert_cmpint(first.cached_tokens, ==, 0);
    g_assert_cmpint(second.cached_tokens, ==, 160);
    g_assert_cmpint(other.cached_tokens, ==, 0);
    g_assert_cmpstr(first.text->str, ==, other.text->str);
    g_assert_cmpint(harness_get_int(harness_process_url(engine, "/_stats"),
                                    "prefilled_tokens"),
                    ==, 163 + 3 + 163);
    events = harness_get_json(
        harness_process_url(engine, "/events?after=10&wait_ms=30000"));
    g_assert_cmpstr(harness_json_string(events, "events/0/kind"), ==, "used");
    g_assert_cmpstr(harness_json_string(events, "events/0/request_id"), ==,
                    "a2");
    g_assert_cmpint(harness_json_int(events, "events/1/end_token"), ==, 32);
    g_assert_cmpstr(harness_json_string(events, "events/1/parent"), ==,
                    harness_json_string(events, "events/0/block"));
    json_node_unref(events);
    harness_stream_dispose(&first);
    harness_stream_dispose(&second);
    harness_stream_dispose(&other);
    harness_free(harness);
}

static void
test_resume_and_restart(void)
{
    struct harness *harness = harness_new();
    struct harness_process *engine = start_engine(harness);
    struct harness_stream whole, begin, rest;
    char *more, *incarnation, *port;
    JsonNode *status;

    complete(&whole, engine, "b1", "5a17", ",\"max_tokens\":9");
    complete(&begin, engine, "b2", "5a17", ",\"max_tokens\":4");
    status = harness_get_json(harness_process_url(engine, "/status"));
    incarnation = g_strdup(harness_json_string(status, "incarnation"));
    json_node_unref(status);
    port = g_strdup_printf("%u", harness_process_port(engine));
    g_assert_cmpint(harness_process_stop(engine, SIGKILL), ==, -SIGKILL);

    engine = harness_spawn(harness, "standin-engine", "--port", port, NULL);
    more = g_strdup_printf(
        ",\"max_tokens\":9,\"resume_from\":4,\"resume_text\":\"%s\"",
        begin.text->str);
    complete(&rest, engine, "b1", "5a17", more);
    g_assert_cmpint(rest.cached_tokens, ==, 0);
    g_assert_cmpint(rest.tokens, ==, 5);
    g_string_append(begin.text, rest.text->str);
    g_assert_cmpstr(begin.text->str, ==, whole.text->str);
    status = harness_get_json(harness_process_url(engine, "/status"));
    g_assert_cmpstr(harness_json_string(status, "incarnation"), !=,
                    incarnation);
    json_node_unref(status);
    g_assert_cmpint(harness_process_stop(engine, SIGTERM), ==, 0);
    harness_stream_dispose(&whole);
    harness_stream_dispose(&begin);
    harness_stream_dispose(&rest);
    g_free(more);
    g_free(incarnation);
    g_free(port);
    harness_free(harness);
}

static bool
stop_at_once(const char *data, size_t length, void *user_data)
{
    (void)data;
    (void)length;
    (void)user_data;
    return false;
}

/* The engine runs one request at a time, so that the second answer only
 * comes when the closed stream has given up its slot: it would decode for
 * hours. */
static void
test_closed_stream_frees_its_slot(void)
{
    struct harness *harness = harness_new();
    struct harness_process *engine = start_engine(harness);
    char *body = compose("c1", "s", "", ",\"max_tokens\":9999999");
    struct harness_stream next;
    struct harness_answer answer;

    harness_send(&answer,
                 &(struct harness_call){
                     .url = harness_process_url(engine, "/v1/completions"),
                     .body = body,
                     .on_data = stop_at_once});
    g_assert_cmpint(answer.status, ==, 200);
    g_assert_false(answer.whole);
    harness_answer_dispose(&answer);
    complete(&next, engine, "c2", "s", "");
    g_assert_cmpint(
        harness_get_int(harness_process_url(engine, "/_stats"), "cancelled"),
        ==, 1);
    harness_stream_dispose(&next);
    g_free(body);
    harness_free(harness);
}

static void
expect_refusal(struct harness_process *process, const char *path,
               const char *body, long status, const char *code)
{
    struct harness_answer answer;
    JsonNode *root;

    g_assert_cmpint(
        harness_post(&answer, harness_process_url(process, path), body), ==,
        status);
    root = harness_parse(answer.body->str);
    g_assert_cmpstr(harness_json_string(root, "error/code"), ==, code);
    json_node_unref(root);
    harness_answer_dispose(&answer);
}

static bool
runs_w2(void *engine)
{
    JsonNode *status =
        harness_get_json(harness_process_url(engine, "/status"));
    bool runs = strcmp(harness_json_string(status, "version"), "w2") == 0;

    json_node_unref(status);
    return runs;
}

static void
test_versions_and_fences(void)
{
    struct harness *harness = harness_new();
    struct harness_process *engine = start_engine(harness);
    struct harness_answer answer;

    expect_refusal(engine, "/v1/completions",
                   "{\"prompt\":\"p\",\"version\":\"w2\"}", 409,
                   "wrong_version");
    g_assert_cmpint(harness_post(&answer,
                                 harness_process_url(engine, "/orders"),
                                 "{\"fence\":7,\"kind\":\"load_version\","
                                 "\"version\":\"w2\"}"),
                    ==, 202);
    harness_answer_dispose(&answer);
    expect_refusal(engine, "/orders",
                   "{\"fence\":6,\"kind\":\"load_version\","
                   "\"version\":\"w1\"}",
                   409, "stale_fence");
    g_assert_true(harness_wait_until(runs_w2, engine, 60));
    expect_refusal(engine, "/v1/completions",
                   "{\"prompt\":\"p\",\"version\":\"w1\"}", 409,
                   "wrong_version");
    g_assert_cmpint(
        harness_get_int(harness_process_url(engine, "/_stats"), "requests"),
        ==, 0);
    harness_free(harness);
}

static void
test_kv_store_moves_a_prefix(void)
{
    struct harness *harness = harness_new();
    struct harness_process *from = start_engine(harness);
    struct harness_process *to = start_engine(harness);
    struct harness_process *other =
        harness_spawn(harness, "standin-engine", "--version", "w2", NULL);
    struct harness_process *store =
        harness_spawn(harness, "standin-kvstore", NULL);
    struct harness_stream stream;
    struct harness_answer answer;
    JsonNode *events;
    char *body;

    complete(&stream, from, "d1", "5a17", "");
    harness_stream_dispose(&stream);
    events = harness_get_json(
        harness_process_url(from, "/events?after=9&wait_ms=30000"));
    body = g_strdup_printf("{\"block\":\"%s\",\"store\":\"%s\"}",
                           harness_json_string(events, "events/0/block"),
                           harness_process_url(store, ""));
    json_node_unref(events);
    g_assert_cmpint(
        harness_post(&answer, harness_process_url(from, "/kv/export"), body),
        ==, 200);
    harness_answer_dispose(&answer);
    expect_refusal(other, "/kv/import", body, 409, "wrong_version");
    g_assert_cmpint(
        harness_post(&answer, harness_process_url(to, "/kv/import"), body), ==,
        200);
    harness_answer_dispose(&answer);
    complete(&stream, to, "d2", "5a17", "");
    g_assert_cmpint(stream.cached_tokens, ==, 160);
    harness_stream_dispose(&stream);
    g_free(body);
    harness_free(harness);
}

static void
test_service_counts_over_a_crash(void)
{
    static const char *const headers[] = {"Idempotency-Key: k1", NULL};
    struct harness *harness = harness_new();
    char *log = g_build_filename(harness_dir(harness), "log", NULL);
    struct harness_process *service =
        harness_spawn(harness, "standin-service", "--log-file", log,
                      "--crash-on", "boom", NULL);
    struct harness_call call = {.headers = headers, .body = "boom"};
    struct harness_answer answer;

    call.url = harness_process_url(service, "/print");
    g_assert_cmpint(harness_send(&answer, &call), ==, 0);
    harness_answer_dispose(&answer);
    g_assert_cmpint(harness_process_wait(service), ==, 3);
    service =
        harness_spawn(harness, "standin-service", "--log-file", log, NULL);
    call.url = harness_process_url(service, "/print");
    g_assert_cmpint(harness_send(&answer, &call), ==, 200);
    harness_answer_dispose(&answer);
    g_assert_cmpint(
        harness_get_int(harness_process_url(service, "/_counts"), "k1"), ==,
        2);
    g_free(log);
    harness_free(harness);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/standins/hits", test_hits_need_the_same_salt);
    g_test_add_func("/standins/resume", test_resume_and_restart);
    g_test_add_func("/standins/cancel", test_closed_stream_frees_its_slot);
    g_test_add_func("/standins/versions", test_versions_and_fences);
    g_test_add_func("/standins/kv", test_kv_store_moves_a_prefix);
    g_test_add_func("/standins/service", test_service_counts_over_a_crash);
    return g_test_run();
}
