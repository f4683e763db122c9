/*
 * A phone on a bad line opens answers and hardly reads them. What the engine
 * makes would pile up in the entry or the sidecar; instead the window of each
 * stream closes, the sidecar stops reading from the engine, and both stay
 * small. Others are served as ever, and the slow one still gets its whole
 * answer when it reads on.
 */
#include <arpa/inet.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "harness_fleet.h"

#define SLOW 40
#define TOKENS 4000
#define LIMIT_S 60
/* Each answer is about 800 KB of events: 32 MB if they were kept. */
#define GROWTH_MAX_KIB (14 * 1024)

static int
open_slow(struct harness_process *entry, unsigned number)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
        .sin_port = htons(harness_process_port(entry)),
    };
    struct timeval limit = {.tv_sec = LIMIT_S};
    int small = 4096;
    char *prompt = g_strdup_printf("slow %u", number);
    char *body = fleet_body(prompt, TOKENS);
    char *text = g_strdup_printf(
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        "Authorization: Bearer " FLEET_KEY "\r\nContent-Length: %zu\r\n\r\n%s",
        strlen(body), body);
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    /* A small buffer at this end, so that the system holds little, too. */
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    g_assert_cmpint(connect(fd, (struct sockaddr *)&address, sizeof(address)),
                    ==, 0);
    g_assert_cmpint(send(fd, text, strlen(text), 0), ==,
                    (ssize_t)strlen(text));
    g_free(text);
    g_free(body);
    g_free(prompt);
    return fd;
}

/* Reads all connections to their ends, side by side. */
static void
read_all(GString **answers, const int *fds)
{
    struct pollfd polls[SLOW];
    unsigned left = SLOW;
    int large = 1 << 20;

    for (unsigned i = 0; i < SLOW; i++) {
        polls[i] = (struct pollfd){.fd = fds[i], .events = POLLIN};
        answers[i] = g_string_new(NULL);
        setsockopt(fds[i], SOL_SOCKET, SO_RCVBUF, &large, sizeof(large));
    }
    while (left > 0) {
        g_assert_cmpint(poll(polls, SLOW, LIMIT_S * 1000), >, 0);
        for (unsigned i = 0; i < SLOW; i++) {
            char piece[16384];
            ssize_t got;

            if (polls[i].revents == 0) {
                continue;
            }
            got = recv(fds[i], piece, sizeof(piece), 0);
            g_assert_cmpint(got, >=, 0);
            g_string_append_len(answers[i], piece, got);
            if (got == 0) {
                polls[i].fd = -1;
                left--;
            }
        }
    }
}

struct progress {
    struct fleet *fleet;
    gint64 seen;
    unsigned same;
};

/* The sum of tokens is not told by the engine; the frames' bytes are: all
 * windows are shut when nothing moves between sidecar and entry any more. */
static bool
has_stopped(void *data)
{
    struct progress *progress = data;
    gint64 now = harness_get_int(
        fleet_admin_url(progress->fleet->links[0], "/stats"), "to_client");

    /* State frames trickle on; tokens of 40 streams would be thousands. */
    progress->same =
        now - progress->seen < 2000 && now > 1000000 ? progress->same + 1 : 0;
    progress->seen = now;
    g_usleep(50000);
    return progress->same >= 10;
}

static void
assert_others_are_served(struct fleet *fleet)
{
    for (unsigned i = 0; i < 10; i++) {
        struct harness_stream stream;

        fleet_ask(&stream, fleet->entries[0], "quick", 20);
        g_assert_true(stream.done);
        harness_stream_dispose(&stream);
    }
}

static void
test_memory_is_bounded(void)
{
    static const char *const args[] = {"--time-scale", "20", "--batch", "64",
                                       NULL};
    struct fleet_options options = FLEET_OPTIONS_INIT;
    struct progress progress = {0};
    struct fleet *fleet;
    unsigned long before[2], after[2];
    GString *answers[SLOW];
    int fds[SLOW];

    options.engines = 1;
    options.deadline_ms = 240000;
    options.engine_args = args;
    options.proxy_links = true;
    options.sidecar_settings = ",\"max_running\":64";
    fleet = fleet_new(&options);
    progress.fleet = fleet;
    assert_others_are_served(fleet);
    before[0] = fleet_resident_kib(fleet->entries[0]);
    before[1] = fleet_resident_kib(fleet->sidecars[0]);
    for (unsigned i = 0; i < SLOW; i++) {
        fds[i] = open_slow(fleet->entries[0], i);
    }
    g_assert_true(harness_wait_until(has_stopped, &progress, LIMIT_S));
    after[0] = fleet_resident_kib(fleet->entries[0]);
    after[1] = fleet_resident_kib(fleet->sidecars[0]);
    g_test_message("entry %lu -> %lu KiB, sidecar %lu -> %lu KiB", before[0],
                   after[0], before[1], after[1]);
#ifndef PGW_SANITIZED
    g_assert_cmpuint(after[0], <, before[0] + GROWTH_MAX_KIB);
    g_assert_cmpuint(after[1], <, before[1] + GROWTH_MAX_KIB);
#endif
    g_assert_cmpint(fleet_status_int(fleet->sidecars[0], "running"), ==, SLOW);
    assert_others_are_served(fleet);
    read_all(answers, fds);
    for (unsigned i = 0; i < SLOW; i++) {
        g_assert_nonnull(strstr(answers[i]->str, "data: [DONE]"));
        g_string_free(answers[i], TRUE);
        close(fds[i]);
    }
    fleet_free(fleet);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/slow-caller/memory-is-bounded", test_memory_is_bounded);
    return g_test_run();
}
