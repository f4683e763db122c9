#include "gateway/crashed_runs.h"
#include "util/log.h"
#include <string.h>

/* Maximum number of runs in one frame: with some 32 bytes for each, the frame
 * stays far below PGW_FRAME_MAX_SIZE. */
#define RUNS_PER_FRAME_MAX 1024

static void
fill_crashed(Pgw__CrashedRun *out, const struct pgw_crashed_run *run)
{
    pgw__crashed_run__init(out);
    out->fingerprint.data = (uint8_t *)run->fingerprint.bytes;
    out->fingerprint.len = sizeof(run->fingerprint.bytes);
    out->crash = run->crash;
    out->age_us = run->age_us;
}

static void
fill_suspect(Pgw__SuspectRun *out, const struct pgw_crashed_run *run)
{
    pgw__suspect_run__init(out);
    out->fingerprint.data = (uint8_t *)run->fingerprint.bytes;
    out->fingerprint.len = sizeof(run->fingerprint.bytes);
    out->kind = run->kind;
    out->id = run->crash;
    out->age_us = run->age_us;
    out->left_us = run->left_us;
    out->quarantines = run->quarantines;
    out->hops = run->hops;
}

static void
send_frame(struct pgw_link *link, const struct pgw_crashed_run *crashed,
           size_t count)
{
    Pgw__CrashedRuns message = PGW__CRASHED_RUNS__INIT;
    Pgw__CrashedRun *runs = g_new(Pgw__CrashedRun, count);
    Pgw__SuspectRun *suspects = g_new(Pgw__SuspectRun, count);

    message.runs = g_new(Pgw__CrashedRun *, count);
    message.suspects = g_new(Pgw__SuspectRun *, count);
    for (size_t i = 0; i < count; i++) {
        if (crashed[i].kind == PGW_CRASHED_RUN_CRASHED) {
            fill_crashed(&runs[i], &crashed[i]);
            message.runs[message.n_runs++] = &runs[i];
        }
        else {
            fill_suspect(&suspects[i], &crashed[i]);
            message.suspects[message.n_suspects++] = &suspects[i];
        }
    }
    pgw_link_send(link, PGW_FRAME_CRASHED_RUNS, &message.base);
    g_free(message.suspects);
    g_free(message.runs);
    g_free(suspects);
    g_free(runs);
}

void
pgw_crashed_runs_send(struct pgw_link *link,
                      const struct pgw_crashed_run *crashed, size_t count)
{
    for (size_t i = 0; i < count; i += RUNS_PER_FRAME_MAX) {
        send_frame(link, crashed + i, MIN(count - i, RUNS_PER_FRAME_MAX));
    }
}

static bool
read_fingerprint(struct pgw_fingerprint *out, const ProtobufCBinaryData *data)
{
    if (data->len != sizeof(out->bytes)) {
        pgw_log_warning("crashed_run", "outcome=ignored bytes=%zu", data->len);
        return false;
    }
    memcpy(out->bytes, data->data, sizeof(out->bytes));
    return true;
}

static bool
read_suspect(struct pgw_crashed_run *out, const Pgw__SuspectRun *run)
{
    if (run->kind < PGW_CRASHED_RUN_INTERRUPTED ||
        run->kind > PGW_CRASHED_RUN_TRIAL_FAILED || run->id == 0) {
        pgw_log_warning("crashed_run", "outcome=ignored kind=%u", run->kind);
        return false;
    }
    out->kind = (enum pgw_crashed_run_kind)run->kind;
    out->crash = run->id;
    out->age_us = run->age_us;
    out->left_us = run->left_us;
    out->quarantines = run->quarantines;
    out->hops = run->hops;
    return read_fingerprint(&out->fingerprint, &run->fingerprint);
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

        if (read_fingerprint(&crashed.fingerprint, &run->fingerprint)) {
            pgw_crash_quarantine_merge(quarantine, &crashed, 1, now_us);
        }
    }
    for (size_t i = 0; i < message->n_suspects; i++) {
        struct pgw_crashed_run suspect = {0};

        if (read_suspect(&suspect, message->suspects[i])) {
            pgw_crash_quarantine_merge(quarantine, &suspect, 1, now_us);
        }
    }
}
