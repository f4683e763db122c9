/*
 * A walker's phone loses the network in the middle of an answer, or while the
 * request still waits. The caller sees nothing any more; the entry sees a
 * closed or reset connection, tells the sidecar, and that closes its call to
 * the engine. Without this the engine computes tokens for nobody and others
 * wait behind them.
 */
#include <arpa/inet.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "harness_fleet.h"

#define LIMIT_S 30

struct expected {
    struct harness_process *engine;
    gint64 cancelled;
};

static bool
is_cancelled_and_idle(void *data)
{
    const struct expected *expected = data;
    const char *url = harness_process_url(expected->engine, "/_stats");

    return harness_get_int(url, "cancelled") == expected->cancelled &&
           harness_get_int(url, "running") == 0 &&
           harness_get_int(url, "waiting") == 0;
}

static void
wait_cancelled(struct fleet *fleet, gint64 count)
{
    struct expected expected = {.engine = fleet->engines[0],
                                .cancelled = count};

    if (!harness_wait_until(is_cancelled_and_idle, &expected, LIMIT_S)) {
        struct harness_answer answer;

        harness_get(&answer,
                    harness_process_url(fleet->engines[0], "/_stats"));
        g_error("not cancelled: %s", answer.body->str);
    }
}

static bool
entry_is_idle(void *data)
{
    return fleet_status_int(data, "inflight") == 0;
}

static void
test_while_streaming(void)
{
    struct fleet_options options = FLEET_OPTIONS_INIT;
    struct fleet *fleet;
    struct fleet_caller *caller;
    struct harness_stream stream;

    options.engines = 1;
    fleet = fleet_new(&options);
    caller = fleet_caller_start(fleet->entries[0], "is the ford open?", 3000);
    fleet_caller_wait_begun(caller, 1000);
    fleet_caller_hang_up(caller);
    g_assert_cmpint(fleet_caller_finish(caller, &stream), ==, 200);
    g_assert_false(stream.done);
    harness_stream_dispose(&stream);
    wait_cancelled(fleet, 1);
    g_assert_true(
        harness_wait_until(entry_is_idle, fleet->entries[0], LIMIT_S));
    fleet_free(fleet);
}

static int
send_request(struct harness_process *entry, const char *prompt)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
        .sin_port = htons(harness_process_port(entry)),
    };
    char *body = fleet_body(prompt, 3000);
    char *text = g_strdup_printf("POST /v1/completions HTTP/1.1\r\n"
                                 "Host: x\r\nAuthorization: Bearer " FLEET_KEY
                                 "\r\nContent-Length: %zu\r\n\r\n%s",
                                 strlen(body), body);
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    g_assert_cmpint(connect(fd, (struct sockaddr *)&address, sizeof(address)),
                    ==, 0);
    g_assert_cmpint(send(fd, text, strlen(text), 0), ==,
                    (ssize_t)strlen(text));
    g_free(text);
    g_free(body);
    return fd;
}

static bool
waits_at_sidecar(void *data)
{
    return fleet_status_int(data, "waiting") > 0;
}

static bool
none_waits(void *data)
{
    return fleet_status_int(data, "waiting") == 0;
}

/* How a connection of a waiting caller ends. */
enum ending {
    END_CLOSE,
    END_RESET,
    END_CLOSE_AFTER_MORE, /* bytes of a next request were sent before */
    ENDINGS,
};

static void
end_connection(int fd, enum ending ending)
{
    struct linger linger = {.l_onoff = 1, .l_linger = 0};

    if (ending == END_RESET) {
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
    }
    if (ending == END_CLOSE_AFTER_MORE) {
        g_assert_cmpint(send(fd, "POST /v1", 8, 0), ==, 8);
    }
    close(fd);
}

/* One request runs, the next waits at the sidecar; its caller leaves. It must
 * never reach the engine, and the running one goes on. */
static void
test_while_waiting(void)
{
    struct fleet_options options = FLEET_OPTIONS_INIT;
    struct fleet *fleet;
    struct fleet_caller *caller;
    struct harness_stream stream;

    options.engines = 1;
    options.sidecar_settings = ",\"max_running\":1";
    fleet = fleet_new(&options);
    caller = fleet_caller_start(fleet->entries[0], "runs", 3000);
    fleet_caller_wait_begun(caller, 1000);
    for (enum ending ending = 0; ending < ENDINGS; ending++) {
        int fd = send_request(fleet->entries[0], "waits");

        g_assert_true(
            harness_wait_until(waits_at_sidecar, fleet->sidecars[0], LIMIT_S));
        end_connection(fd, ending);
        if (!harness_wait_until(none_waits, fleet->sidecars[0], LIMIT_S)) {
            g_error("ending %d goes unnoticed", (int)ending);
        }
    }
    fleet_caller_hang_up(caller);
    fleet_caller_finish(caller, &stream);
    harness_stream_dispose(&stream);
    wait_cancelled(fleet, 1);
    g_assert_cmpint(
        harness_get_int(harness_process_url(fleet->engines[0], "/_stats"),
                        "requests"),
        ==, 1);
    fleet_free(fleet);
}

/* So many callers stream at once, and all hang up together. */
#define CALLERS 12

struct herd {
    struct fleet *fleet;
    struct fleet_caller *callers[CALLERS];
};

static void
herd_start(struct herd *herd, bool proxied)
{
    struct fleet_options options = FLEET_OPTIONS_INIT;

    options.engines = 1;
    options.proxy_links = proxied;
    herd->fleet = fleet_new(&options);
    for (unsigned i = 0; i < CALLERS; i++) {
        char prompt[32];

        g_snprintf(prompt, sizeof(prompt), "is ford %u open?", i);
        herd->callers[i] =
            fleet_caller_start(herd->fleet->entries[0], prompt, 3000);
    }
    for (unsigned i = 0; i < CALLERS; i++) {
        fleet_caller_wait_begun(herd->callers[i], 1000);
    }
}

static void
herd_hang_up(struct herd *herd)
{
    for (unsigned i = 0; i < CALLERS; i++) {
        struct harness_stream stream;

        fleet_caller_hang_up(herd->callers[i]);
        fleet_caller_finish(herd->callers[i], &stream);
        g_assert_false(stream.done);
        harness_stream_dispose(&stream);
    }
}

static void
herd_end(struct herd *herd)
{
    wait_cancelled(herd->fleet, CALLERS);
    g_assert_true(
        harness_wait_until(entry_is_idle, herd->fleet->entries[0], LIMIT_S));
    fleet_free(herd->fleet);
}

/*
 * The machine of a sidecar stands still while twelve callers stream through
 * it, and all of them hang up. The entry's word that they left lies in the
 * sidecar's socket until the machine goes on; then each of the runs must end,
 * since nobody is left who would say it again.
 */
static void
test_while_sidecar_stands_still(void)
{
    struct herd herd;

    herd_start(&herd, false);
    harness_process_signal(herd.fleet->sidecars[0], SIGSTOP);
    herd_hang_up(&herd);
    harness_process_signal(herd.fleet->sidecars[0], SIGCONT);
    herd_end(&herd);
}

/*
 * Twelve callers stream, the path from the entry to the sidecar swallows
 * everything, and all of them hang up. The word that they left never arrives.
 * The sidecar hears nothing more from the entry and must end the runs by
 * itself, without being told: otherwise the engine's "running" stays at twelve
 * until the deadline of each, while the entry has "inflight" at none.
 */
static void
test_while_cut_off(void)
{
    struct herd herd;

    herd_start(&herd, true);
    fleet_set_mode(herd.fleet->links[0], "{\"mode\":\"stall\"}");
    herd_hang_up(&herd);
    herd_end(&herd);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/caller-gone/while-streaming", test_while_streaming);
    g_test_add_func("/caller-gone/while-waiting", test_while_waiting);
    g_test_add_func("/caller-gone/sidecar-stands-still",
                    test_while_sidecar_stands_still);
    g_test_add_func("/caller-gone/cut-off", test_while_cut_off);
    return g_test_run();
}
