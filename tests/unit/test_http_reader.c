#include "gateway/http/http_reader.h"
#include <string.h>

struct recorder {
    struct pgw_http_reader reader;
    GString *body;
    unsigned heads;
    unsigned done;
};

static void
on_head(struct pgw_http_reader *reader)
{
    ((struct recorder *)reader)->heads++;
}

static void
on_body(struct pgw_http_reader *reader, const char *data, size_t size)
{
    g_string_append_len(((struct recorder *)reader)->body, data, (gssize)size);
}

static void
on_done(struct pgw_http_reader *reader)
{
    ((struct recorder *)reader)->done++;
}

static const struct pgw_http_reader_ops ops = {
    .on_head = on_head,
    .on_body = on_body,
    .on_done = on_done,
};

static struct recorder *
recorder_new(bool answers, size_t limit)
{
    struct recorder *recorder = g_new0(struct recorder, 1);

    pgw_http_reader_init(&recorder->reader, answers, limit, &ops);
    recorder->body = g_string_new(NULL);
    return recorder;
}

static void
recorder_free(struct recorder *recorder)
{
    pgw_http_reader_dispose(&recorder->reader);
    g_string_free(recorder->body, TRUE);
    g_free(recorder);
}

/* Feeds @text in pieces of @step bytes; returns the last result, and in @total
 * the number of bytes consumed. */
static enum pgw_http_result
feed(size_t *total, struct recorder *recorder, const char *text, size_t step)
{
    size_t size = strlen(text);
    enum pgw_http_result result = PGW_HTTP_MORE;

    *total = 0;
    while (*total < size && result == PGW_HTTP_MORE) {
        size_t consumed;

        result = pgw_http_reader_feed(&consumed, &recorder->reader,
                                      text + *total, MIN(step, size - *total));
        *total += consumed;
    }
    return result;
}

static const char request[] = "POST /a%20b/?q=1 HTTP/1.1\r\n"
                              "Host: Example\r\n"
                              "X-One:  first \r\n"
                              "Content-Length: 5\r\n\r\n"
                              "helloGET /next HTTP/1.1\r\n\r\n";

/* For pieces of any size, the head is complete, the target is not decoded and
 * bytes after the message are not consumed. */
static void
test_pieces(void)
{
    for (size_t step = 1; step < sizeof(request); step++) {
        struct recorder *recorder = recorder_new(false, 4096);
        const struct pgw_http_head *head = &recorder->reader.head;
        size_t total;

        g_assert_cmpint(feed(&total, recorder, request, step), ==,
                        PGW_HTTP_DONE);
        g_assert_cmpstr(request + total, ==, "GET /next HTTP/1.1\r\n\r\n");
        g_assert_cmpstr(head->method, ==, "POST");
        g_assert_cmpstr(pgw_http_head_target(head), ==, "/a%20b/?q=1");
        g_assert_cmpstr(pgw_http_head_find(head, "x-one"), ==, "first");
        g_assert_cmpuint(head->length, ==, 5);
        g_assert_true(head->keep_alive);
        g_assert_cmpstr(recorder->body->str, ==, "hello");
        g_assert_cmpuint(recorder->heads, ==, 1);
        g_assert_cmpuint(recorder->done, ==, 1);
        recorder_free(recorder);
    }
}

static void
test_next_message(void)
{
    struct recorder *recorder = recorder_new(false, 4096);
    size_t total;

    feed(&total, recorder, request, sizeof(request));
    pgw_http_reader_next(&recorder->reader);
    g_assert_cmpint(feed(&total, recorder, request + strlen(request) - 22, 7),
                    ==, PGW_HTTP_DONE);
    g_assert_cmpstr(pgw_http_head_target(&recorder->reader.head), ==, "/next");
    g_assert_cmpuint(recorder->reader.head.count, ==, 0);
    recorder_free(recorder);
}

/* Guards against request smuggling: two lengths, or a length together with
 * chunks, hide a request within another one. */
static void
test_smuggling_is_refused(void)
{
    static const char *const texts[] = {
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
        "Content-Length: 4\r\n\r\nabcd",
        "POST / HTTP/1.1\r\nHost : a\r\n\r\n",
        "\x16\x03\x01 nonsense\r\n\r\n",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        struct recorder *recorder = recorder_new(false, 4096);
        size_t total;

        g_test_message("text %zu", i);
        g_assert_cmpint(feed(&total, recorder, texts[i], strlen(texts[i])), ==,
                        PGW_HTTP_BAD);
        g_assert_cmpuint(recorder->done, ==, 0);
        recorder_free(recorder);
    }
}

static void
test_head_limit(void)
{
    struct recorder *recorder = recorder_new(false, 64);
    GString *text = g_string_new("GET / HTTP/1.1\r\nX-Long: ");
    size_t total;

    for (unsigned i = 0; i < 100; i++) {
        g_string_append_c(text, 'x');
    }
    g_string_append(text, "\r\n\r\n");
    g_assert_cmpint(feed(&total, recorder, text->str, 9), ==,
                    PGW_HTTP_TOO_LARGE);
    g_string_free(text, TRUE);
    recorder_free(recorder);
}

static void
test_chunks_and_hops(void)
{
    static const char text[] =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
        "Connection: close, X-Private\r\nX-Private: 1\r\nX-Kept: 2\r\n\r\n"
        "3\r\nabc\r\n2\r\nde\r\n0\r\nTrailer-Field: 1\r\n\r\n";
    struct recorder *recorder = recorder_new(true, 4096);
    const struct pgw_http_head *head = &recorder->reader.head;
    size_t total;

    g_assert_cmpint(feed(&total, recorder, text, 4), ==, PGW_HTTP_DONE);
    g_assert_cmpstr(recorder->body->str, ==, "abcde");
    g_assert_false(head->keep_alive);
    g_assert_cmpuint(head->count, ==, 4);
    g_assert_true(pgw_http_head_is_hop_by_hop(head, 0));
    g_assert_true(pgw_http_head_is_hop_by_hop(head, 1));
    g_assert_true(pgw_http_head_is_hop_by_hop(head, 2));
    g_assert_false(pgw_http_head_is_hop_by_hop(head, 3));
    recorder_free(recorder);
}

/* An answer without a length ends with its connection; one with a length is
 * incomplete if the connection ends early. */
static void
test_end_of_connection(void)
{
    struct recorder *recorder = recorder_new(true, 4096);
    size_t total;

    g_assert_cmpint(feed(&total, recorder, "HTTP/1.1 200 OK\r\n\r\nabc", 99),
                    ==, PGW_HTTP_MORE);
    g_assert_cmpint(pgw_http_reader_feed(&total, &recorder->reader, NULL, 0),
                    ==, PGW_HTTP_DONE);
    g_assert_cmpstr(recorder->body->str, ==, "abc");
    recorder_free(recorder);
    recorder = recorder_new(true, 4096);
    feed(&total, recorder, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
         99);
    g_assert_cmpint(pgw_http_reader_feed(&total, &recorder->reader, NULL, 0),
                    !=, PGW_HTTP_DONE);
    g_assert_cmpuint(recorder->done, ==, 0);
    recorder_free(recorder);
}

static void
test_interim_answers(void)
{
    struct recorder *recorder = recorder_new(true, 4096);
    size_t total;

    g_assert_cmpint(feed(&total, recorder,
                         "HTTP/1.1 100 Continue\r\n\r\n"
                         "HTTP/1.1 204 No Content\r\n\r\n",
                         13),
                    ==, PGW_HTTP_DONE);
    g_assert_cmpuint(recorder->reader.head.status, ==, 204);
    g_assert_cmpuint(recorder->heads, ==, 1);
    recorder_free(recorder);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/http_reader/pieces", test_pieces);
    g_test_add_func("/http_reader/next", test_next_message);
    g_test_add_func("/http_reader/smuggling", test_smuggling_is_refused);
    g_test_add_func("/http_reader/head_limit", test_head_limit);
    g_test_add_func("/http_reader/chunks_and_hops", test_chunks_and_hops);
    g_test_add_func("/http_reader/end_of_connection", test_end_of_connection);
    g_test_add_func("/http_reader/interim", test_interim_answers);
    return g_test_run();
}
