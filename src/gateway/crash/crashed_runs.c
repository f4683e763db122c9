#include "gateway/crash/crashed_runs.h"
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
    out->part = run->is_part;
    out->abandoned = run->abandoned;
    out->seeds_only = run->seeds_only;
    out->hops = run->is_part ? run->hops : 0;
    out->has_completed = run->has_completed;
}

/* @partners: room for PGW_CRASH_KEYS_MAX of them */
static void
fill_partners(Pgw__SuspectRun *out, ProtobufCBinaryData *partners,
              const struct pgw_crash_keys *keys)
{
    for (size_t i = 0; keys != NULL && i < keys->count; i++) {
        partners[i].data = (uint8_t *)keys->items[i].bytes;
        partners[i].len = sizeof(keys->items[i].bytes);
    }
    out->n_partners = keys == NULL ? 0 : keys->count;
    out->partners = partners;
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
    out->trials = run->trials;
    out->hops = run->hops;
    out->part = run->is_part;
    out->seeds_only = run->seeds_only;
    out->upstream = run->upstream;
    out->has_completed = run->has_completed;
}

/* Passes a message with the runs, which is valid during the call. */
static void
with_message(const struct pgw_crashed_run *crashed, size_t count,
             void (*use)(const Pgw__CrashedRuns *message, void *context),
             void *context)
{
    Pgw__CrashedRuns message = PGW__CRASHED_RUNS__INIT;
    Pgw__CrashedRun *runs = g_new(Pgw__CrashedRun, count);
    Pgw__SuspectRun *suspects = g_new(Pgw__SuspectRun, count);
    ProtobufCBinaryData *partners =
        g_new(ProtobufCBinaryData, count * PGW_CRASH_KEYS_MAX);

    message.runs = g_new(Pgw__CrashedRun *, count);
    message.suspects = g_new(Pgw__SuspectRun *, count);
    for (size_t i = 0; i < count; i++) {
        if (crashed[i].kind == PGW_CRASHED_RUN_CRASHED) {
            fill_crashed(&runs[i], &crashed[i]);
            message.runs[message.n_runs++] = &runs[i];
        }
        else {
            fill_suspect(&suspects[i], &crashed[i]);
            fill_partners(&suspects[i], partners + i * PGW_CRASH_KEYS_MAX,
                          crashed[i].partners);
            message.suspects[message.n_suspects++] = &suspects[i];
        }
    }
    use(&message, context);
    g_free(message.suspects);
    g_free(message.runs);
    g_free(partners);
    g_free(suspects);
    g_free(runs);
}

static void
send_message(const Pgw__CrashedRuns *message, void *context)
{
    pgw_link_send(context, PGW_FRAME_CRASHED_RUNS, &message->base);
}

static void
pack_message(const Pgw__CrashedRuns *message, void *context)
{
    GByteArray *out = context;

    g_byte_array_set_size(out,
                          (guint)pgw__crashed_runs__get_packed_size(message));
    pgw__crashed_runs__pack(message, out->data);
}

GByteArray *
pgw_crashed_runs_pack(const struct pgw_crashed_run *crashed, size_t count)
{
    GByteArray *out = g_byte_array_new();

    with_message(crashed, MIN(count, RUNS_PER_FRAME_MAX), pack_message, out);
    return out;
}

void
pgw_crashed_runs_send(struct pgw_link *link,
                      const struct pgw_crashed_run *crashed, size_t count)
{
    for (size_t i = 0; i < count; i += RUNS_PER_FRAME_MAX) {
        with_message(crashed + i, MIN(count - i, RUNS_PER_FRAME_MAX),
                     send_message, link);
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

/* @out: receives the partners, to which the report points */
static bool
read_partners(struct pgw_crash_keys *out, const Pgw__SuspectRun *run)
{
    if (run->n_partners > PGW_CRASH_KEYS_MAX) {
        pgw_log_warning("crashed_run", "outcome=ignored partners=%zu",
                        run->n_partners);
        return false;
    }
    out->count = run->n_partners;
    for (size_t i = 0; i < run->n_partners; i++) {
        if (!read_fingerprint(&out->items[i], &run->partners[i])) {
            return false;
        }
    }
    return true;
}

static bool
read_suspect(struct pgw_crashed_run *out, struct pgw_crash_keys *partners,
             const Pgw__SuspectRun *run)
{
    if (run->kind < PGW_CRASHED_RUN_INTERRUPTED ||
        run->kind > PGW_CRASHED_RUN_UPSTREAM || run->id == 0) {
        pgw_log_warning("crashed_run", "outcome=ignored kind=%u", run->kind);
        return false;
    }
    out->kind = (enum pgw_crashed_run_kind)run->kind;
    out->crash = run->id;
    out->age_us = run->age_us;
    out->left_us = run->left_us;
    out->quarantines = run->quarantines;
    out->trials = run->trials;
    out->hops = run->hops;
    out->is_part = run->part;
    out->seeds_only = run->seeds_only;
    out->upstream = run->upstream;
    out->has_completed = run->has_completed;
    out->partners = partners;
    return read_fingerprint(&out->fingerprint, &run->fingerprint) &&
           read_partners(partners, run);
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
            .is_part = run->part,
            .abandoned = run->abandoned,
            .seeds_only = run->seeds_only,
            .hops = run->hops,
            .has_completed = run->has_completed,
        };

        if (read_fingerprint(&crashed.fingerprint, &run->fingerprint)) {
            pgw_crash_quarantine_merge(quarantine, &crashed, 1, now_us);
        }
    }
    for (size_t i = 0; i < message->n_suspects; i++) {
        struct pgw_crashed_run suspect = {0};
        struct pgw_crash_keys partners;

        if (read_suspect(&suspect, &partners, message->suspects[i])) {
            pgw_crash_quarantine_merge(quarantine, &suspect, 1, now_us);
        }
    }
}

/* Claims and trials that are over are dropped. */
static bool
is_over(const Pgw__SuspectRun *run, uint64_t elapsed_us)
{
    return run->kind != PGW_CRASHED_RUN_TRIAL_FAILED &&
           run->left_us <= elapsed_us;
}

bool
pgw_crashed_runs_unpack(struct pgw_crash_quarantine *quarantine,
                        const uint8_t *data, size_t size, uint64_t elapsed_us,
                        uint64_t now_us)
{
    Pgw__CrashedRuns *message = pgw__crashed_runs__unpack(NULL, size, data);
    size_t kept = 0;

    if (message == NULL) {
        return false;
    }
    for (size_t i = 0; i < message->n_runs; i++) {
        message->runs[i]->age_us += elapsed_us;
    }
    for (size_t i = 0; i < message->n_suspects; i++) {
        Pgw__SuspectRun *run = message->suspects[i];

        if (is_over(run, elapsed_us)) {
            pgw__suspect_run__free_unpacked(run, NULL);
            continue;
        }
        run->age_us += elapsed_us;
        run->left_us -= MIN(run->left_us, elapsed_us);
        message->suspects[kept++] = run;
    }
    message->n_suspects = kept;
    pgw_crashed_runs_receive(quarantine, message, now_us);
    pgw__crashed_runs__free_unpacked(message, NULL);
    return true;
}
