#include "codec.h"
#include <string.h>

static void
ignore_event(struct pgw_http_reader *reader)
{
    (void)reader;
}

static void
ignore_body(struct pgw_http_reader *reader, const char *data, size_t size)
{
    (void)reader;
    (void)data;
    (void)size;
}

static const struct pgw_http_reader_ops ops = {
    .on_head = ignore_event,
    .on_body = ignore_body,
    .on_done = ignore_event,
};

static void
read_head(struct pgw_http_reader *reader, bool is_response, const char *text)
{
    size_t consumed;

    pgw_http_reader_init(reader, is_response, 16384, &ops);
    pgw_http_reader_feed(&consumed, reader, text, strlen(text));
    g_assert_true(reader->head_done);
}

static const char stream_request[] =
    "POST /r/1 HTTP/1.1\r\n"
    "Host: h.example\r\n"
    "Attempt-Id: abc\r\n"
    "Last-Event-Id: 12\r\n"
    "Model: m1\r\n"
    "Token-Count: 1460,80\r\n"
    "Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n"
    "Deadline-Ms: 10000\r\n"
    "Tenant: somebody-else\r\n"
    "Kv-Fetch: 10.0.0.1:1\r\n"
    "Kv-Backup: 10.0.0.1:1\r\n"
    "Kv-From: 10.0.0.1:1/stolen\r\n"
    "Hold: 9\r\n"
    "X-Own: kept\r\n"
    "Connection: X-Gone\r\n"
    "X-Gone: 1\r\n"
    "Authorization: Bearer secret\r\n"
    "Content-Length: 2\r\n\r\nhi";

static void
test_request(void)
{
    struct pgw_http_reader reader;
    struct pgw_request_facts facts = {0};

    read_head(&reader, false, stream_request);
    g_assert_true(platform_codec.read_request(&facts, &reader.head));
    g_assert_cmpstr(facts.id, ==, "abc");
    g_assert_cmpstr(facts.host, ==, "h.example");
    g_assert_cmpstr(facts.key, ==, "secret");
    g_assert_cmpuint(facts.deadline_ms, ==, 10000);
    g_assert_cmpstr(facts.model, ==, "m1");
    g_assert_cmpuint(facts.prompt.part_count, ==, 3);
    g_assert_cmpuint(facts.prompt.parts[1].tokens, ==, 410);
    g_assert_cmpuint(facts.prompt.parts[0].id, ==, pgw_part_id("5c1e07a2", 8));
    g_assert_cmpuint(facts.prompt.tokens, ==, 1460);
    g_assert_cmpuint(facts.prompt.output_tokens, ==, 80);
    g_assert_true(facts.has_resume);
    g_assert_cmpuint(facts.resume_after, ==, 12);
    pgw_http_reader_dispose(&reader);
}

static void
test_invalid_requests_are_rejected(void)
{
    static const char *const texts[] = {
        "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET / HTTP/1.1\r\nAttempt-Id: a\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\nAttempt-Id: a\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\nAttempt-Id: b\r\n\r\n",
        "GET http://h/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n"
        "Deadline-Ms: soon\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\nModel: m\r\n"
        "Prompt-Prefix: 5c1e07a2\r\n\r\n",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        struct pgw_http_reader reader;
        struct pgw_request_facts facts = {0};

        read_head(&reader, false, texts[i]);
        g_assert_false(platform_codec.read_request(&facts, &reader.head));
        pgw_http_reader_dispose(&reader);
    }
}

static unsigned
occurrences(const char *text, const char *part)
{
    unsigned count = 0;

    for (const char *at = text; (at = strstr(at, part)) != NULL; at++) {
        count++;
    }
    return count;
}

/* Guards against a caller that sets fields of the entry: another workspace, a
 * KV cache to fetch from and a reservation. These fields are not forwarded,
 * nor is the caller's key. */
static void
test_forward_drops_reserved_fields(void)
{
    struct pgw_http_reader reader;
    struct pgw_forward forward = {
        .head = &reader.head,
        .body = "hi",
        .body_size = 2,
        .instance = "i-1",
        .workspace = "w",
        .deadline_ms = 900,
        .priority = 2,
        .cache_salt = "w4",
        .weights = 4,
        .save_to = "10.9.9.9:9",
        .resume_after = 20,
        .has_resume = true,
    };
    GString *out = g_string_new(NULL);

    read_head(&reader, false, stream_request);
    platform_codec.write_request(out, &forward);
    g_assert_true(g_str_has_prefix(out->str, "POST /r/1 HTTP/1.1\r\n"));
    g_assert_true(g_str_has_suffix(out->str, "\r\n\r\nhi"));
    g_assert_nonnull(strstr(out->str, "\r\nAttempt-Id: abc\r\n"));
    g_assert_nonnull(strstr(out->str, "\r\nDeadline-Ms: 900\r\n"));
    g_assert_nonnull(strstr(out->str, "\r\nTenant: w\r\n"));
    g_assert_nonnull(strstr(out->str, "\r\nExpect-Instance: i-1\r\n"));
    g_assert_nonnull(strstr(out->str, "\r\nExpect-Version: 4\r\n"));
    g_assert_nonnull(strstr(out->str, "\r\nCache-Salt: w4\r\n"));
    g_assert_nonnull(strstr(out->str, "\r\nLast-Event-Id: 20\r\n"));
    g_assert_nonnull(strstr(out->str, "\r\nX-Own: kept\r\n"));
    g_assert_nonnull(strstr(out->str, "\r\nPrompt-Prefix: 5c1e07a2:800,"));
    g_assert_cmpuint(occurrences(out->str, "Tenant"), ==, 1);
    g_assert_cmpuint(occurrences(out->str, "Last-Event-Id"), ==, 1);
    g_assert_cmpuint(occurrences(out->str, "Content-Length"), ==, 1);
    g_assert_null(strstr(out->str, "Kv-Fetch"));
    g_assert_null(strstr(out->str, "Kv-Backup"));
    g_assert_null(strstr(out->str, "Kv-From"));
    g_assert_null(strstr(out->str, "Hold"));
    g_assert_null(strstr(out->str, "X-Gone"));
    g_assert_null(strstr(out->str, "secret"));
    g_string_free(out, TRUE);
    pgw_http_reader_dispose(&reader);
}

/* Guards against a run that goes on from another run's memory: the copy is
 * named by the attempt's own id, whatever the caller sent. */
static void
test_forward_names_copies(void)
{
    struct pgw_http_reader reader;
    struct pgw_forward forward = {
        .head = &reader.head,
        .body = "hi",
        .body_size = 2,
        .priority = -1,
        .backup_to = "10.0.0.7:80",
    };
    GString *out = g_string_new(NULL);

    read_head(&reader, false, stream_request);
    platform_codec.write_request(out, &forward);
    g_assert_nonnull(strstr(out->str, "\r\nKv-Backup: 10.0.0.7:80\r\n"));
    g_assert_null(strstr(out->str, "Kv-From"));
    g_string_truncate(out, 0);
    forward.backup_to = NULL;
    forward.backup_at = "10.0.0.7:80";
    platform_codec.write_request(out, &forward);
    g_assert_nonnull(strstr(out->str, "\r\nKv-From: 10.0.0.7:80/abc\r\n"));
    g_assert_null(strstr(out->str, "Kv-Backup"));
    g_string_free(out, TRUE);
    pgw_http_reader_dispose(&reader);
}

static void
test_responses(void)
{
    struct pgw_http_reader reader;
    struct pgw_answer_facts facts = {0};

    read_head(&reader, true,
              "HTTP/1.1 200 OK\r\nAttempt-Id: abc\r\nServer-Seal: s\r\n"
              "Server-Load: 3,1,8\r\nWeight-Versions: 5\r\n"
              "Content-Type: text/event-stream\r\n\r\n");
    platform_codec.read_answer(&facts, &reader.head);
    g_assert_cmpstr(facts.id, ==, "abc");
    g_assert_true(facts.genuine);
    g_assert_true(facts.is_stream);
    g_assert_false(facts.not_run);
    g_assert_true(facts.has_load);
    g_assert_cmpuint(facts.load.waiting, ==, 1);
    g_assert_cmpuint(facts.weights, ==, 5);
    pgw_http_reader_dispose(&reader);
    read_head(&reader, true,
              "HTTP/1.1 421 Misdirected\r\nInstance-Id: i\r\n"
              "Server-Leaving: 1\r\n\r\n");
    platform_codec.read_answer(&facts, &reader.head);
    g_assert_true(facts.not_run);
    g_assert_false(facts.genuine);
    g_assert_true(facts.notice.leaving);
    pgw_http_reader_dispose(&reader);
    facts = (struct pgw_answer_facts){0};
    read_head(&reader, true,
              "HTTP/1.1 421 Misdirected\r\nServer-Leaving: 1\r\n\r\n");
    platform_codec.read_answer(&facts, &reader.head);
    g_assert_true(facts.not_run);
    g_assert_false(facts.notice.leaving);
    g_assert_false(platform_codec.keep_answer_field("server-load"));
    g_assert_true(platform_codec.keep_answer_field("Server-Seal"));
    pgw_http_reader_dispose(&reader);
}

static void
read_notice(struct pgw_upstream_notice *out, const char *fields)
{
    struct pgw_http_reader reader;
    char *text = g_strdup_printf("HTTP/1.1 503 Unavailable\r\n%s\r\n", fields);

    read_head(&reader, true, text);
    platform_read_notice(out, &reader.head);
    pgw_http_reader_dispose(&reader);
    g_free(text);
}

/* Guards against limits taken from values that are no sensible numbers. */
static void
test_limit_values(void)
{
    static const char *const invalid[] = {
        "",    "0",    "0.0", "-3",    "x",       "7x",
        "inf", "0x10", "1e3", "1.2.3", "2000000", ".",
    };
    struct pgw_upstream_notice notice;

    read_notice(&notice, "");
    g_assert_cmpfloat(notice.limit, ==, 0);
    g_assert_null(notice.invalid_field);
    read_notice(&notice, "Server-Limit: 7.4\r\n");
    g_assert_cmpfloat_with_epsilon(notice.limit, 7.4, 1e-9);
    g_assert_null(notice.invalid_field);
    read_notice(&notice, "Server-Limit: 7.4\r\nserver-limit: 7.4\r\n");
    g_assert_cmpfloat(notice.limit, ==, 0);
    g_assert_cmpstr(notice.invalid_field, ==, "Server-Limit");
    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        char *field = g_strdup_printf("Server-Limit: %s\r\n", invalid[i]);

        read_notice(&notice, field);
        g_assert_cmpfloat(notice.limit, ==, 0);
        g_assert_cmpstr(notice.invalid_field, ==, "Server-Limit");
        g_free(field);
    }
    g_assert_true(platform_codec.keep_answer_field("server-limit"));
}

/* Guards against an upstream that leaves because of an invalid value. */
static void
test_leaving_values(void)
{
    struct pgw_upstream_notice notice;

    read_notice(&notice, "Server-Leaving: 1\r\nServer-Limit: x\r\n");
    g_assert_true(notice.leaving);
    g_assert_cmpstr(notice.invalid_field, ==, "Server-Limit");
    read_notice(&notice, "Server-Leaving: 1\r\nServer-Leaving: 1\r\n");
    g_assert_false(notice.leaving);
    g_assert_cmpstr(notice.invalid_field, ==, "Server-Leaving");
    read_notice(&notice, "Server-Leaving: 7\r\n");
    g_assert_false(notice.leaving);
    g_assert_cmpstr(notice.invalid_field, ==, "Server-Leaving");
    read_notice(&notice, "Server-Leaving: no\r\n");
    g_assert_false(notice.leaving);
}

/* Guards against a Retry-After of an answer that is no refusal, or invalid. */
static void
test_retry_after_values(void)
{
    static const char *const invalid[] = {"0", "-1", "4000", "soon",
                                          "Wed, 21 Oct 2026 07:28:00 GMT"};
    struct pgw_upstream_notice notice;
    struct pgw_http_reader reader;

    read_notice(&notice, "Retry-After: 3\r\n");
    g_assert_cmpuint(notice.retry_after_us, ==, 3000000);
    read_notice(&notice, "Retry-After: 0.25\r\n");
    g_assert_cmpuint(notice.retry_after_us, ==, 250000);
    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        char *field = g_strdup_printf("Retry-After: %s\r\n", invalid[i]);

        read_notice(&notice, field);
        g_assert_cmpuint(notice.retry_after_us, ==, 0);
        g_assert_cmpstr(notice.invalid_field, ==, "Retry-After");
        g_free(field);
    }
    read_head(&reader, true, "HTTP/1.1 200 OK\r\nRetry-After: 3\r\n\r\n");
    platform_read_notice(&notice, &reader.head);
    g_assert_cmpuint(notice.retry_after_us, ==, 0);
    pgw_http_reader_dispose(&reader);
}

static void
test_engine(void)
{
    static const char report[] =
        "{\"stage\":\"colocated\",\"models\":[{\"name\":\"m\",\"version\":3}],"
        "\"busy\":true,\"sequence\":2,\"queued\":1,\"active\":12,"
        "\"kv_used\":41000,\"kv_total\":90000,"
        "\"runs\":[[\"a\",5000,0,2],[\"b\",9000,4,2],[\"c\",20,0,0]]}";
    static const char events[] =
        "{\"boot_epoch\":77,\"next\":120,\"lost_count\":false,\"events\":"
        "[[119,\"+\",\"s1\",\"5c1e07a2\",800,\"m\"],"
        "[120,\"-\",\"s1\",\"91bd3f06\",0,\"m\"]]}";
    struct pgw_engine_report decoded = {0};
    struct pgw_cache_events cache_events = {0};

    g_assert_true(
        platform_engine_codec.read_report(&decoded, report, strlen(report)));
    g_assert_true(decoded.busy);
    g_assert_cmpuint(decoded.models[0].version, ==, 3);
    g_assert_cmpuint(decoded.load.running, ==, 12);
    g_assert_cmpuint(decoded.load.long_prefills, ==, 1);
    g_assert_cmpuint(decoded.run_count, ==, 3);
    g_assert_cmpuint(decoded.unlisted_runs, ==, 9);
    g_assert_cmpuint(decoded.runs[1].id, ==, pgw_announced_prompts_id("b"));
    g_assert_cmpuint(decoded.runs[1].tokens, ==, 9000);
    g_assert_cmpuint(decoded.runs[1].events, ==, 4);
    g_free(decoded.runs);
    g_free(decoded.models[0].model);
    g_assert_true(platform_engine_codec.read_events(&cache_events, events,
                                                    strlen(events)));
    g_assert_cmpuint(cache_events.count, ==, 2);
    g_assert_cmpuint(cache_events.events[0].key, ==,
                     pgw_part_key("m", "s1", pgw_part_id("5c1e07a2", 8)));
    g_assert_cmpuint(cache_events.events[0].tokens, ==, 800);
    g_assert_cmpuint(cache_events.events[1].tokens, ==, 0);
    g_assert_false(cache_events.gap);
    g_free(cache_events.events);
}

/* Guards against a fourth figure that moves prompts to another engine although
 * it makes no sense, or that takes the other three with it. */
static void
test_load_figures(void)
{
    static const struct {
        const char *load;
        double slowdown;
        bool invalid;
    } cases[] = {
        {"3,1,8", 0, false},           {"3,1,8,100", 1, false},
        {"3,1,8,250.5", 2.505, false}, {"3,1,8,", 0, true},
        {"3,1,8,-100", 0, true},       {"3,1,8,nan", 0, true},
        {"3,1,8,inf", 0, true},        {"3,1,8,1e3", 0, true},
        {"3,1,8,0", 0, true},          {"3,1,8,99999999999999999999", 0, true},
        {"3,1,8,100,7", 0, true},      {"3,1,8;100", 0, true},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *text = g_strdup_printf("HTTP/1.1 200 OK\r\nServer-Load: %s\r\n"
                                     "\r\n",
                                     cases[i].load);
        struct pgw_answer_facts facts = {0};
        struct pgw_http_reader reader;

        read_head(&reader, true, text);
        platform_codec.read_answer(&facts, &reader.head);
        g_assert_true(facts.has_load);
        g_assert_cmpuint(facts.load.running, ==, 3);
        g_assert_cmpuint(facts.load.waiting, ==, 1);
        g_assert_cmpuint(facts.load.slots, ==, 8);
        g_assert_cmpfloat(ABS(facts.load.slowdown - cases[i].slowdown), <,
                          1e-9);
        g_assert_cmpint(facts.load.slowdown_is_invalid, ==, cases[i].invalid);
        pgw_http_reader_dispose(&reader);
        g_free(text);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/platform_codec/request", test_request);
    g_test_add_func("/platform_codec/invalid_requests_are_rejected",
                    test_invalid_requests_are_rejected);
    g_test_add_func("/platform_codec/forward_drops_reserved_fields",
                    test_forward_drops_reserved_fields);
    g_test_add_func("/platform_codec/forward_names_copies",
                    test_forward_names_copies);
    g_test_add_func("/platform_codec/responses", test_responses);
    g_test_add_func("/platform_codec/limit_values", test_limit_values);
    g_test_add_func("/platform_codec/leaving_values", test_leaving_values);
    g_test_add_func("/platform_codec/retry_after_values",
                    test_retry_after_values);
    g_test_add_func("/platform_codec/engine", test_engine);
    g_test_add_func("/platform_codec/load_figures", test_load_figures);
    return g_test_run();
}
