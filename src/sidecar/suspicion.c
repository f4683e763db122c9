#include "sidecar/suspicion.h"
#include "libparsleygw/store_worker.h"
#include "parsleygw/copies.h"
#include "util/log.h"

#define STORE_TIMEOUT_US UINT64_C(1000000)
/* Records reach every process of a region within milliseconds; the end of a
 * crashed run is told this much after the record stands, so that its caller
 * does not find a process that has not heard. */
#define SPREAD_US UINT64_C(50000)
#define PATIENCE_US UINT64_C(2000000)
/* All entries know of the crash at once, so that the end of its runs needs
 * to wait for the store only as long as a slow one takes. */
#define RECORD_US UINT64_C(500000)
/* About 150 KB; a sidecar ranks first for a few requests a second. */
#define COPIES_MAX 2048

struct suspicion {
    struct sidecar *sidecar;
    struct pgw_quarantine *machine;
    struct pgw_copies *copies;
    GHashTable *runs;           /* struct run by ticket */
    struct pgw_list operations; /* struct operation in flight */
    uint64_t last_ticket;
    struct pgw_timer timer;
};

struct operation {
    struct pgw_list link;
    struct suspicion *suspicion;
    struct pgw_fingerprint fingerprint;
    char name[PGW_FINGERPRINT_HEX];
    enum pgw_io_kind kind;
    char *value;
};

static void drive(struct suspicion *suspicion);

static void
timer_due(struct pgw_timer *timer)
{
    drive(pgw_container_of(timer, struct suspicion, timer));
}

struct suspicion *
suspicion_new(struct sidecar *sidecar)
{
    struct suspicion *suspicion = g_new0(struct suspicion, 1);
    struct pgw_quarantine_options options = PGW_QUARANTINE_OPTIONS_INIT;

    options.owner = sidecar->incarnation;
    options.propagation_us = SPREAD_US;
    options.permit_timeout_us = PATIENCE_US;
    options.record_timeout_us = RECORD_US;
    suspicion->sidecar = sidecar;
    suspicion->machine = pgw_quarantine_new(&options);
    suspicion->copies = pgw_copies_new(COPIES_MAX);
    suspicion->runs = g_hash_table_new(g_int64_hash, g_int64_equal);
    pgw_list_init(&suspicion->operations);
    suspicion->timer.on_due = timer_due;
    return suspicion;
}

static void
operation_free(struct operation *operation)
{
    pgw_list_remove(&operation->link);
    g_free(operation->value);
    g_free(operation);
}

void
suspicion_free(struct suspicion *suspicion)
{
    if (suspicion == NULL) {
        return;
    }
    pgw_timer_stop(suspicion->sidecar->loop, &suspicion->timer);
    /* The worker has dropped their results with their callbacks. */
    pgw_list_foreach_safe (link, &suspicion->operations) {
        operation_free(pgw_container_of(link, struct operation, link));
    }
    pgw_quarantine_free(suspicion->machine);
    pgw_copies_free(suspicion->copies);
    g_hash_table_unref(suspicion->runs);
    g_free(suspicion);
}

/* What stands in the store now is news for the peers. */
static void
tell_peers(struct operation *operation, const struct pgw_io_reply *reply)
{
    struct pgw_suspects *suspects = operation->suspicion->sidecar->suspects;
    const char *value = reply->value;
    size_t length = reply->length;

    if (operation->kind == PGW_IO_WRITE && reply->result == PGW_IO_OK) {
        value = operation->value;
        length = strlen(value);
    }
    if (value != NULL && reply->version != 0) {
        pgw_suspects_apply(suspects, operation->name, reply->version, value,
                           length);
    }
}

static void
store_done(void *context, const struct pgw_io_reply *reply)
{
    struct operation *operation = context;
    struct suspicion *suspicion = operation->suspicion;

    pgw_quarantine_io_done(suspicion->machine, &operation->fingerprint, reply,
                           pgw_hlc_wall_us());
    tell_peers(operation, reply);
    operation_free(operation);
    drive(suspicion);
}

static void
start_operations(struct suspicion *suspicion)
{
    struct pgw_fingerprint fingerprint;
    struct pgw_io io;

    while (pgw_quarantine_next_io(&io, &fingerprint, suspicion->machine,
                                  pgw_hlc_wall_us())) {
        struct operation *operation = g_new0(struct operation, 1);

        pgw_list_append(&suspicion->operations, &operation->link);
        operation->suspicion = suspicion;
        operation->fingerprint = fingerprint;
        operation->kind = io.kind;
        operation->value = g_strdup(io.value);
        pgw_fingerprint_print(operation->name, &fingerprint);
        pgw_store_worker_submit(suspicion->sidecar->worker,
                                PGW_QUARANTINE_KIND, operation->name, &io,
                                STORE_TIMEOUT_US, store_done, operation);
    }
}

static void
drive(struct suspicion *suspicion)
{
    struct pgw_quarantine_decision decision;
    uint64_t next;
    uint64_t now;

    start_operations(suspicion);
    while (pgw_quarantine_next_event(&decision, suspicion->machine)) {
        struct run *run =
            g_hash_table_lookup(suspicion->runs, &decision.ticket);

        if (run != NULL) {
            gate_suspicion_decided(run, &decision);
        }
    }
    start_operations(suspicion);
    next = pgw_quarantine_next_time(suspicion->machine);
    now = pgw_hlc_wall_us();
    if (next != UINT64_MAX) {
        pgw_timer_start(suspicion->sidecar->loop, &suspicion->timer,
                        next > now ? next - now : 0);
    }
}

bool
suspicion_ask(struct suspicion *suspicion, struct run *run)
{
    struct pgw_quarantine_decision decision;

    run->suspicion_ticket = ++suspicion->last_ticket;
    pgw_quarantine_admit(&decision, suspicion->machine, &run->fingerprint,
                         run->suspicion_ticket, run->open->suspect,
                         pgw_hlc_wall_us());
    if (decision.action == PGW_QUARANTINE_RUN) {
        return true;
    }
    g_hash_table_insert(suspicion->runs, &run->suspicion_ticket, run);
    if (decision.action != PGW_QUARANTINE_PENDING) {
        gate_suspicion_decided(run, &decision);
    }
    drive(suspicion);
    return false;
}

void
suspicion_crashed(struct suspicion *suspicion, struct run *run,
                  uint64_t incarnation)
{
    g_hash_table_insert(suspicion->runs, &run->suspicion_ticket, run);
    pgw_trace_record(suspicion->sidecar->trace, PGW_TRACE_QUARANTINE_ADD,
                     &run->key.request, run->key.attempt, incarnation, 0,
                     NULL);
    pgw_copies_mark_crashed(suspicion->copies, &run->fingerprint);
    pgw_quarantine_report_crash(suspicion->machine, &run->fingerprint,
                                run->suspicion_ticket, incarnation,
                                pgw_hlc_wall_us());
#ifndef PGW_DISABLE_QUARANTINE_ANNOUNCE
    /*
     * Failure: the store is down, so that no other process learns of the
     * crash. Symptom: the request, sent again after its answer, crashes one
     * engine of each sidecar. All entries hear of it before its end is told
     * and hand it to whichever sidecar they ask next, which then refuses it
     * until the store gives a permit.
     */
    pgw_suspects_announce_crash(suspicion->sidecar->suspects,
                                &run->fingerprint, incarnation,
                                pgw_hlc_wall_us());
#endif
    drive(suspicion);
}

static void
forget(struct suspicion *suspicion, struct run *run)
{
    g_hash_table_remove(suspicion->runs, &run->suspicion_ticket);
    run->suspicion_ticket = 0;
}

void
suspicion_succeeded(struct suspicion *suspicion, struct run *run)
{
    if (run->suspicion_ticket == 0) {
        return;
    }
    pgw_copies_mark_completed(suspicion->copies, &run->fingerprint);
    pgw_quarantine_report_success(suspicion->machine, &run->fingerprint,
                                  run->suspicion_ticket, pgw_hlc_wall_us());
    forget(suspicion, run);
    drive(suspicion);
}

void
suspicion_released(struct suspicion *suspicion, struct run *run)
{
    if (run->suspicion_ticket == 0) {
        return;
    }
    pgw_quarantine_release(suspicion->machine, &run->fingerprint,
                           run->suspicion_ticket, pgw_hlc_wall_us());
    forget(suspicion, run);
    drive(suspicion);
}

bool
suspicion_gathers(struct suspicion *suspicion, const Pgw__Probe *probe)
{
    struct pgw_fingerprint fingerprint;
    uint64_t now = pgw_now_us();

    if (probe->fingerprint.len != PGW_FINGERPRINT_SIZE) {
        return false;
    }
    memcpy(fingerprint.bytes, probe->fingerprint.data, PGW_FINGERPRINT_SIZE);
    return pgw_copies_register(suspicion->copies, &fingerprint,
                               now + (uint64_t)probe->deadline_ms * 1000, now);
}

void
suspicion_record(void *context, const struct pgw_fingerprint *fingerprint,
                 uint64_t version, const char *value, size_t length)
{
    struct suspicion *suspicion = context;

    if (version == 0) {
        pgw_quarantine_apply_unrecorded(suspicion->machine, fingerprint, value,
                                        length, pgw_hlc_wall_us());
        drive(suspicion);
        return;
    }
    if (value == NULL) {
        pgw_trace_record(suspicion->sidecar->trace, PGW_TRACE_QUARANTINE_LIFT,
                         NULL, 0, version, 0, NULL);
    }
    pgw_quarantine_apply(suspicion->machine, fingerprint, version, value,
                         length, pgw_hlc_wall_us());
    drive(suspicion);
}
