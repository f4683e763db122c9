#include "gateway/crashed_runs.h"
#include "util/log.h"
#include <string.h>

/* Maximum number of runs in one frame: with some 32 bytes for each, the frame
 * stays far below PGW_FRAME_MAX_SIZE. */
#define RUNS_PER_FRAME_MAX 1024

static void
send_frame(struct pgw_link *link, const struct pgw_crashed_run *crashed,
           size_t count)
{
    Pgw__CrashedRuns message = PGW__CRASHED_RUNS__INIT;
    Pgw__CrashedRun *items = g_new(Pgw__CrashedRun, count);
    Pgw__CrashedRun **pointers = g_new(Pgw__CrashedRun *, count);

    for (size_t i = 0; i < count; i++) {
        pgw__crashed_run__init(&items[i]);
        items[i].fingerprint.data = (uint8_t *)crashed[i].fingerprint.bytes;
        items[i].fingerprint.len = sizeof(crashed[i].fingerprint.bytes);
        items[i].crash = crashed[i].crash;
        items[i].age_us = crashed[i].age_us;
        pointers[i] = &items[i];
    }
    message.n_runs = count;
    message.runs = pointers;
    pgw_link_send(link, PGW_FRAME_CRASHED_RUNS, &message.base);
    g_free(pointers);
    g_free(items);
}

void
pgw_crashed_runs_send(struct pgw_link *link,
                      const struct pgw_crashed_run *crashed, size_t count)
{
    for (size_t i = 0; i < count; i += RUNS_PER_FRAME_MAX) {
        send_frame(link, crashed + i, MIN(count - i, RUNS_PER_FRAME_MAX));
    }
}

void
pgw_crashed_runs_receive(struct pgw_crash_quarantine *quarantine,
                         const Pgw__CrashedRuns *message, uint64_t now_us)
{
    for (size_t i = 0; i < message->n_runs; i++) {
        const Pgw__CrashedRun *run = message->runs[i];
        struct pgw_crashed_run crashed = {
            .crash = run->crash,
            .age_us = run->age_us,
        };

        if (run->fingerprint.len != sizeof(crashed.fingerprint.bytes)) {
            pgw_log_warning("crashed_run", "outcome=ignored bytes=%zu",
                            run->fingerprint.len);
            continue;
        }
        memcpy(crashed.fingerprint.bytes, run->fingerprint.data,
               sizeof(crashed.fingerprint.bytes));
        pgw_crash_quarantine_merge(quarantine, &crashed, 1, now_us);
    }
}
