#include "gateway/http/peer_progress.h"
#include <glib.h>

#define SECOND UINT64_C(1000000)

static const struct pgw_peer_bounds bounds = {
    .stall_us = 15 * SECOND,
    .silence_us = 5 * SECOND,
};

static enum pgw_peer_state
update(struct pgw_peer_progress *progress, uint64_t acked, size_t unacked,
       unsigned unanswered, uint64_t now_us)
{
    const struct pgw_socket_sample sample = {
        .unacked = unacked, .acked = acked, .unanswered = unanswered};

    return pgw_peer_progress_update(progress, &sample, &bounds, now_us);
}

/* A caller that reads slowly must not be cut while it reads. */
static void
test_slow_reader_is_kept(void)
{
    struct pgw_peer_progress progress;

    pgw_peer_progress_begin(&progress, SECOND);
    for (unsigned i = 1; i < 100; i++) {
        g_assert_cmpint(update(&progress, i, 1000, i % 2, (1 + i) * SECOND),
                        ==, PGW_PEER_RECEIVES);
    }
    g_assert_cmpint(update(&progress, 1100, 0, 0, 101 * SECOND), ==,
                    PGW_PEER_DONE);
}

/* A closed window whose probes are answered must not look like silence. */
static void
test_answered_probes_are_no_silence(void)
{
    struct pgw_peer_progress progress;

    pgw_peer_progress_begin(&progress, SECOND);
    for (unsigned i = 0; i < 14; i++) {
        g_assert_cmpint(
            update(&progress, 5, 1000, i % 4 == 3 ? 0 : 1, (1 + i) * SECOND),
            ==, PGW_PEER_RECEIVES);
    }
    g_assert_cmpint(update(&progress, 5, 1000, 0, 17 * SECOND), ==,
                    PGW_PEER_STALLED);
}

/* A caller whose machine has vanished must not keep its run for long. */
static void
test_silent_peer_is_gone(void)
{
    struct pgw_peer_progress progress;

    pgw_peer_progress_begin(&progress, SECOND);
    g_assert_cmpint(update(&progress, 5, 1000, 1, 2 * SECOND), ==,
                    PGW_PEER_RECEIVES);
    g_assert_cmpint(update(&progress, 5, 3000, 3, 6 * SECOND - 1), ==,
                    PGW_PEER_RECEIVES);
    g_assert_cmpint(update(&progress, 5, 3000, 4, 6 * SECOND), ==,
                    PGW_PEER_GONE);
}

/* A stream that pauses has nothing to acknowledge. */
static void
test_pause_is_no_stall(void)
{
    struct pgw_peer_progress progress;

    pgw_peer_progress_begin(&progress, SECOND);
    g_assert_cmpint(update(&progress, 5, 0, 0, 2 * SECOND), ==, PGW_PEER_DONE);
    g_assert_cmpint(update(&progress, 5, 10, 0, 60 * SECOND), ==,
                    PGW_PEER_RECEIVES);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/peer_progress/slow_reader_is_kept",
                    test_slow_reader_is_kept);
    g_test_add_func("/peer_progress/answered_probes_are_no_silence",
                    test_answered_probes_are_no_silence);
    g_test_add_func("/peer_progress/silent_peer_is_gone",
                    test_silent_peer_is_gone);
    g_test_add_func("/peer_progress/pause_is_no_stall",
                    test_pause_is_no_stall);
    return g_test_run();
}
