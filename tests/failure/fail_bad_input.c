/*
 * Callers send what no entry can use: broken JSON, wrong keys, unknown names,
 * too much, too slowly. Each gets one typed refusal which says that nothing
 * ran, and the next caller is served as if nothing had been: no crash, no
 * leak (the daemons' sanitizers and exit codes tell), no thread or connection
 * held.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "harness_fleet.h"

#define LIMIT_S 30

static struct fleet *fleet;

struct bad_call {
    const char *path;
    const char *body;
    long status;
    const char *code;
};

static const struct bad_call bad_calls[] = {
    {"/v1/completions", "", 400, "bad_request"},
    {"/v1/completions", "{", 400, "bad_request"},
    {"/v1/completions", "[1]", 400, "bad_request"},
    {"/v1/completions", "{\"model\":\"ask\"}", 400, "bad_request"},
    {"/v1/completions", "{\"model\":\"ask\",\"prompt\":7}", 400,
     "bad_request"},
    {"/v1/completions", "{\"model\":\"ask\",\"prompt\":\"a\\u0000b\"}", 400,
     "bad_request"},
    {"/v1/chat/completions", "{\"model\":\"ask\",\"messages\":[]}", 400,
     "bad_request"},
    {"/v1/completions", "{\"prompt\":\"no profile named\"}", 404,
     "unknown_profile"},
    {"/v1/completions", "{\"model\":\"nobody\",\"prompt\":\"a\"}", 404,
     "unknown_profile"},
    {"/v1/completions", "{\"model\":\"look\",\"prompt\":\"a\"}", 404,
     "unknown_profile"},
    {"/svc/nobody/x", "x", 404, "unknown_profile"},
    {"/svc/ask/x", "x", 404, "unknown_profile"},
    {"/svc/look", "x", 400, "bad_request"},
    {"/svc/print/x", "a call without its key", 400, "bad_request"},
    {"/v1/embeddings", "{}", 404, "unknown_profile"},
};

static void
test_refusals(void)
{
    struct harness_answer answer;

    for (size_t i = 0; i < G_N_ELEMENTS(bad_calls); i++) {
        const struct bad_call *bad = &bad_calls[i];

        fleet_call(
            &answer, fleet->entries[0], bad->path,
            &(struct harness_call){.method = "POST", .body = bad->body});
        fleet_assert_refusal(&answer, bad->status, bad->code, "no");
        harness_answer_dispose(&answer);
    }
}

static void
test_wrong_key(void)
{
    static const char *const lines[] = {
        "X-None: 1", "Authorization: Basic dGVzdA==", "Authorization: Bearer ",
        "Authorization: Bearer " FLEET_KEY "x"};
    struct harness_answer answer;

    for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
        const char *headers[] = {lines[i], NULL};
        const struct harness_call call = {
            .url = harness_process_url(fleet->entries[0], "/v1/completions"),
            .headers = headers,
            .body = "{\"model\":\"ask\",\"prompt\":\"a\"}",
        };

        harness_send(&answer, &call);
        fleet_assert_refusal(&answer, 401, "unauthorized", "no");
        harness_answer_dispose(&answer);
    }
}

/* The limit is 64 KiB in this test. A body just below it is taken. */
static void
test_too_large(void)
{
    char *prompt = g_strnfill((64 << 10) - 200, 'x');
    char *large = g_strnfill(1 << 20, 'x');
    char *brackets = g_strnfill(60000, '[');
    struct harness_stream stream;
    struct harness_answer answer;

    fleet_call(&answer, fleet->entries[0], "/v1/completions",
               &(struct harness_call){.body = large});
    fleet_assert_refusal(&answer, 413, "too_large", "no");
    harness_answer_dispose(&answer);
    fleet_call(&answer, fleet->entries[0], "/v1/completions",
               &(struct harness_call){.body = brackets});
    fleet_assert_refusal(&answer, 400, "bad_request", "no");
    harness_answer_dispose(&answer);
    fleet_ask(&stream, fleet->entries[0], prompt, 2);
    g_assert_true(stream.done);
    harness_stream_dispose(&stream);
    g_free(brackets);
    g_free(large);
    g_free(prompt);
}

static int
connect_entry(void)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
        .sin_port = htons(harness_process_port(fleet->entries[0])),
    };
    struct timeval limit = {.tv_sec = LIMIT_S};
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    g_assert_cmpint(connect(fd, (struct sockaddr *)&address, sizeof(address)),
                    ==, 0);
    return fd;
}

/* Sends the text, the last part over and over, a byte each 20 ms, until the
 * entry ends the connection; returns what it answered. */
static char *
drip(const char *text, char byte)
{
    GString *answer = g_string_new(NULL);
    int fd = connect_entry();
    char piece[512];
    ssize_t got;

    g_assert_cmpint(send(fd, text, strlen(text), MSG_NOSIGNAL), ==,
                    (ssize_t)strlen(text));
    for (unsigned i = 0; i < LIMIT_S * 50; i++) {
        got = recv(fd, piece, sizeof(piece), MSG_DONTWAIT);
        if (got == 0 || (got < 0 && errno == ECONNRESET)) {
            break;
        }
        if (got > 0) {
            g_string_append_len(answer, piece, got);
        }
        g_usleep(20000);
        send(fd, &byte, 1, MSG_NOSIGNAL);
    }
    g_assert_true(got == 0 || (got < 0 && errno == ECONNRESET));
    close(fd);
    return g_string_free(answer, FALSE);
}

/* The time for the head is 400 ms and for the body 600 ms in this test; idle
 * time never reaches either. */
static void
test_slow_sender(void)
{
    static const char *const beginnings[] = {
        "",
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\nX-Slow: ",
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 9999\r\n"
        "Authorization: Bearer " FLEET_KEY "\r\n\r\n",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(beginnings); i++) {
        char *answer = drip(beginnings[i], 'x');

        if (strstr(answer, "HTTP/1.1 408") == NULL ||
            strstr(answer, "\"ran\":\"no\"") == NULL) {
            g_error("beginning %zu: answer '%s'", i, answer);
        }
        g_free(answer);
    }
}

/* What is no HTTP, or a head beyond the server's memory, is refused by the
 * HTTP library itself with a 4xx of its own. */
static void
test_broken_http(void)
{
    char *head = g_strnfill(20000, 'h');
    char *large = g_strdup_printf("GET /svc/look/x HTTP/1.1\r\nX-Large: %s"
                                  "\r\n\r\n",
                                  head);
    const char *const texts[] = {"\r\n\r\n\r\n", "HELLO\r\n\r\n", large,
                                 "GET /x HTTP/9.9\r\n\r\n"};

    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        char *answer = drip(texts[i], '\n');

        if (answer[0] != '\0' && strstr(answer, "HTTP/1.1 4") == NULL &&
            strstr(answer, "HTTP/1.1 5") == NULL &&
            strstr(answer, "HTTP/1.0 4") == NULL) {
            g_error("text %zu: answer '%s'", i, answer);
        }
        g_free(answer);
    }
    g_free(large);
    g_free(head);
}

/* Methods whose answers or bodies libraries treat in a way of their own. */
static void
test_unusual_methods(void)
{
    static const char *const methods[] = {"HEAD", "DELETE", "OPTIONS", "PUT"};
    int fd;
    char text[256];
    char answer[4096];
    ssize_t got;

    for (size_t i = 0; i < G_N_ELEMENTS(methods); i++) {
        g_snprintf(text, sizeof(text),
                   "%s /svc/look/x HTTP/1.1\r\nHost: x\r\nConnection: close"
                   "\r\nAuthorization: Bearer " FLEET_KEY "\r\n\r\n",
                   methods[i]);
        fd = connect_entry();
        g_assert_cmpint(send(fd, text, strlen(text), 0), ==,
                        (ssize_t)strlen(text));
        got = recv(fd, answer, sizeof(answer) - 1, 0);
        g_assert_cmpint(got, >, 0);
        answer[got] = '\0';
        if (!g_str_has_prefix(answer, "HTTP/1.1 200")) {
            g_error("%s: %s", methods[i], answer);
        }
        close(fd);
    }
}

static bool
is_idle(void *data)
{
    return fleet_status_int(data, "inflight") == 0;
}

static void
test_nothing_stays(void)
{
    struct harness_stream stream;

    g_assert_true(harness_wait_until(is_idle, fleet->entries[0], LIMIT_S));
    fleet_ask(&stream, fleet->entries[0], "served as ever", 5);
    g_assert_true(stream.done);
    harness_stream_dispose(&stream);
    g_assert_cmpint(
        harness_get_int(harness_process_url(fleet->engines[0], "/_stats"),
                        "requests"),
        ==, 2);
    fleet_free(fleet);
}

int
main(int argc, char **argv)
{
    struct fleet_options options = FLEET_OPTIONS_INIT;

    g_test_init(&argc, &argv, NULL);
    options.engines = 1;
    options.service = true;
    options.entry_settings = ",\"max_body_bytes\":65536,"
                             "\"header_timeout_ms\":400,"
                             "\"body_timeout_ms\":600";
    fleet = fleet_new(&options);
    g_test_add_func("/bad-input/refusals", test_refusals);
    g_test_add_func("/bad-input/wrong-key", test_wrong_key);
    g_test_add_func("/bad-input/too-large", test_too_large);
    g_test_add_func("/bad-input/slow-sender", test_slow_sender);
    g_test_add_func("/bad-input/broken-http", test_broken_http);
    g_test_add_func("/bad-input/unusual-methods", test_unusual_methods);
    g_test_add_func("/bad-input/nothing-stays", test_nothing_stays);
    return g_test_run();
}
