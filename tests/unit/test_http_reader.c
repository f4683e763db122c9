#include "gateway/http_reader.h"
#include <string.h>

struct seen {
    struct pgw_http_reader reader;
    GString *body;
    unsigned heads;
    unsigned done;
};

static void
on_head(struct pgw_http_reader *reader)
{
    ((struct seen *)reader)->heads++;
}

static void
on_body(struct pgw_http_reader *reader, const char *data, size_t size)
{
    g_string_append_len(((struct seen *)reader)->body, data, (gssize)size);
}

static void
on_done(struct pgw_http_reader *reader)
{
    ((struct seen *)reader)->done++;
}

static const struct pgw_http_reader_ops ops = {
    .on_head = on_head,
    .on_body = on_body,
    .on_done = on_done,
};

static struct seen *
seen_new(bool answers, size_t limit)
{
    struct seen *seen = g_new0(struct seen, 1);

    pgw_http_reader_init(&seen->reader, answers, limit, &ops);
    seen->body = g_string_new(NULL);
    return seen;
}

static void
seen_free(struct seen *seen)
{
    pgw_http_reader_dispose(&seen->reader);
    g_string_free(seen->body, TRUE);
    g_free(seen);
}

/* Feeds @text in pieces of @step bytes; returns the last result and how many
 * bytes were taken in all. */
static enum pgw_http_result
feed(size_t *total, struct seen *seen, const char *text, size_t step)
{
    size_t size = strlen(text);
    enum pgw_http_result result = PGW_HTTP_MORE;

    *total = 0;
    while (*total < size && result == PGW_HTTP_MORE) {
        size_t taken;

        result = pgw_http_reader_feed(&taken, &seen->reader, text + *total,
                                      MIN(step, size - *total));
        *total += taken;
    }
    return result;
}

static const char request[] = "POST /a%20b/?q=1 HTTP/1.1\r\n"
                              "Host: Example\r\n"
                              "X-One:  first \r\n"
                              "Content-Length: 5\r\n\r\n"
                              "helloGET /next HTTP/1.1\r\n\r\n";

/* Whatever the pieces, the head is whole, the target is not decoded and what
 * follows the message stays untaken. */
static void
test_pieces(void)
{
    for (size_t step = 1; step < sizeof(request); step++) {
        struct seen *seen = seen_new(false, 4096);
        const struct pgw_http_head *head = &seen->reader.head;
        size_t total;

        g_assert_cmpint(feed(&total, seen, request, step), ==, PGW_HTTP_DONE);
        g_assert_cmpstr(request + total, ==, "GET /next HTTP/1.1\r\n\r\n");
        g_assert_cmpstr(head->method, ==, "POST");
        g_assert_cmpstr(pgw_http_head_target(head), ==, "/a%20b/?q=1");
        g_assert_cmpstr(pgw_http_head_find(head, "x-one"), ==, "first");
        g_assert_cmpuint(head->length, ==, 5);
        g_assert_true(head->keep_alive);
        g_assert_cmpstr(seen->body->str, ==, "hello");
        g_assert_cmpuint(seen->heads, ==, 1);
        g_assert_cmpuint(seen->done, ==, 1);
        seen_free(seen);
    }
}

static void
test_next_message(void)
{
    struct seen *seen = seen_new(false, 4096);
    size_t total;

    feed(&total, seen, request, sizeof(request));
    pgw_http_reader_next(&seen->reader);
    g_assert_cmpint(feed(&total, seen, request + strlen(request) - 22, 7), ==,
                    PGW_HTTP_DONE);
    g_assert_cmpstr(pgw_http_head_target(&seen->reader.head), ==, "/next");
    g_assert_cmpuint(seen->reader.head.count, ==, 0);
    seen_free(seen);
}

/* Two lengths, or a length beside chunks, are how one request is hidden in
 * another. */
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
        struct seen *seen = seen_new(false, 4096);
        size_t total;

        g_test_message("text %zu", i);
        g_assert_cmpint(feed(&total, seen, texts[i], strlen(texts[i])), ==,
                        PGW_HTTP_BAD);
        g_assert_cmpuint(seen->done, ==, 0);
        seen_free(seen);
    }
}

static void
test_head_limit(void)
{
    struct seen *seen = seen_new(false, 64);
    GString *text = g_string_new("GET / HTTP/1.1\r\nX-Long: ");
    size_t total;

    for (unsigned i = 0; i < 100; i++) {
        g_string_append_c(text, 'x');
    }
    g_string_append(text, "\r\n\r\n");
    g_assert_cmpint(feed(&total, seen, text->str, 9), ==, PGW_HTTP_TOO_LARGE);
    g_string_free(text, TRUE);
    seen_free(seen);
}

static void
test_chunks_and_hops(void)
{
    static const char text[] =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
        "Connection: close, X-Private\r\nX-Private: 1\r\nX-Kept: 2\r\n\r\n"
        "3\r\nabc\r\n2\r\nde\r\n0\r\nTrailer-Field: 1\r\n\r\n";
    struct seen *seen = seen_new(true, 4096);
    const struct pgw_http_head *head = &seen->reader.head;
    size_t total;

    g_assert_cmpint(feed(&total, seen, text, 4), ==, PGW_HTTP_DONE);
    g_assert_cmpstr(seen->body->str, ==, "abcde");
    g_assert_false(head->keep_alive);
    g_assert_cmpuint(head->count, ==, 4);
    g_assert_true(pgw_http_head_is_hop_by_hop(head, 0));
    g_assert_true(pgw_http_head_is_hop_by_hop(head, 1));
    g_assert_true(pgw_http_head_is_hop_by_hop(head, 2));
    g_assert_false(pgw_http_head_is_hop_by_hop(head, 3));
    seen_free(seen);
}

/* An answer without a length ends with its connection; one with a length that
 * ends early is none. */
static void
test_end_of_connection(void)
{
    struct seen *seen = seen_new(true, 4096);
    size_t total;

    g_assert_cmpint(feed(&total, seen, "HTTP/1.1 200 OK\r\n\r\nabc", 99), ==,
                    PGW_HTTP_MORE);
    g_assert_cmpint(pgw_http_reader_feed(&total, &seen->reader, NULL, 0), ==,
                    PGW_HTTP_DONE);
    g_assert_cmpstr(seen->body->str, ==, "abc");
    seen_free(seen);
    seen = seen_new(true, 4096);
    feed(&total, seen, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", 99);
    g_assert_cmpint(pgw_http_reader_feed(&total, &seen->reader, NULL, 0), !=,
                    PGW_HTTP_DONE);
    g_assert_cmpuint(seen->done, ==, 0);
    seen_free(seen);
}

static void
test_interim_answers(void)
{
    struct seen *seen = seen_new(true, 4096);
    size_t total;

    g_assert_cmpint(feed(&total, seen,
                         "HTTP/1.1 100 Continue\r\n\r\n"
                         "HTTP/1.1 204 No Content\r\n\r\n",
                         13),
                    ==, PGW_HTTP_DONE);
    g_assert_cmpuint(seen->reader.head.status, ==, 204);
    g_assert_cmpuint(seen->heads, ==, 1);
    seen_free(seen);
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
