#include "quarantine_suspect.h"

#include <xxhash.h>

uint64_t
pgw_suspect__permit(const struct pgw_quarantine *quarantine, uint64_t ticket)
{
    return XXH3_64bits_withSeed(&ticket, sizeof(ticket),
                                quarantine->options.owner);
}

static void
add_crash(struct pgw_quarantine_record *record, uint64_t crash,
          uint64_t now_us)
{
    if (record->crash_count < PGW_QUARANTINE_CRASHES &&
        !pgw_quarantine_record_has_crash(record, crash)) {
        record->crashes[record->crash_count++] = crash;
        record->changed_us = now_us;
    }
}

static void
end_run(struct pgw_quarantine_record *record)
{
    record->run_owner = 0;
    record->run_permit = 0;
    record->run_until_us = 0;
}

static bool
run_is_own(const struct pgw_quarantine *quarantine,
           const struct pgw_quarantine_record *record)
{
    return record->run_owner == quarantine->options.owner;
}

static bool
run_is_live(const struct pgw_quarantine *quarantine,
            const struct pgw_suspect *suspect,
            const struct pgw_quarantine_record *record)
{
    return run_is_own(quarantine, record) && suspect->runner != 0 &&
           record->run_permit ==
               pgw_suspect__permit(quarantine, suspect->runner);
}

struct pgw_quarantine_record
pgw_suspect__effective(const struct pgw_quarantine *quarantine,
                       const struct pgw_suspect *suspect)
{
    struct pgw_quarantine_record record = {0};
    uint64_t now_us = quarantine->now_us;

    if (suspect->present &&
        suspect->record.changed_us + quarantine->options.expiry_us > now_us) {
        record = suspect->record;
    }
    if (run_is_own(quarantine, &record)) {
        if (!run_is_live(quarantine, suspect, &record)) {
            end_run(&record);
        }
    }
    else if (record.run_owner != 0 && now_us >= record.run_until_us) {
#ifndef PGW_DISABLE_QUARANTINE_SILENT
        /*
         * Failure: a process dies together with its engine while it runs a
         * suspect, or is paused for long. Symptom of only freeing the permit:
         * the request crashes one upstream after the other and nobody counts.
         * A run that is not heard of in time counts as a crash.
         */
        add_crash(&record, record.run_permit, now_us);
#endif
        end_run(&record);
    }
    pgw_list_foreach (link, &suspect->crashes) {
        add_crash(
            &record,
            pgw_container_of(link, struct pgw_suspect_crash, link)->crash,
            now_us);
    }
    return record;
}

bool
pgw_suspect__is_idle(const struct pgw_suspect *suspect)
{
    return !suspect->present && !suspect->read_wanted &&
           suspect->runner == 0 && suspect->outstanding == PGW_IO_NONE &&
           pgw_list_is_empty(&suspect->crashes) &&
           pgw_list_is_empty(&suspect->waiters) &&
           pgw_list_is_empty(&suspect->runs);
}

void
pgw_suspect__add_run(struct pgw_suspect *suspect, uint64_t ticket)
{
    struct pgw_suspect_waiter *run = g_new0(struct pgw_suspect_waiter, 1);

    run->ticket = ticket;
    pgw_list_append(&suspect->runs, &run->link);
}

static void
tell(struct pgw_quarantine *quarantine, enum pgw_quarantine_action action,
     uint64_t ticket, enum pgw_refusal refusal)
{
    struct pgw_quarantine_event *event =
        g_new0(struct pgw_quarantine_event, 1);

    event->decision = (struct pgw_quarantine_decision){
        .action = action,
        .ticket = ticket,
        .refusal = refusal,
    };
    if (refusal == PGW_REFUSAL_STORE_DOWN ||
        refusal == PGW_REFUSAL_OVERLOADED) {
        event->decision.retry_after_ms =
            (uint32_t)(quarantine->options.backoff_us / 1000);
    }
    pgw_list_append(&quarantine->events, &event->link);
}

static void
answer_waiter(struct pgw_quarantine *quarantine, struct pgw_suspect *suspect,
              struct pgw_suspect_waiter *waiter,
              enum pgw_quarantine_action action, enum pgw_refusal refusal)
{
    tell(quarantine, action, waiter->ticket, refusal);
    if (action == PGW_QUARANTINE_RUN) {
        pgw_suspect__add_run(suspect, waiter->ticket);
    }
    pgw_list_remove(&waiter->link);
    g_free(waiter);
}

static void
answer_waiters(struct pgw_quarantine *quarantine, struct pgw_suspect *suspect,
               enum pgw_quarantine_action action, enum pgw_refusal refusal)
{
    if (!suspect->running) {
        suspect->runner = 0;
    }
    pgw_list_foreach_safe (link, &suspect->waiters) {
        answer_waiter(quarantine, suspect,
                      pgw_container_of(link, struct pgw_suspect_waiter, link),
                      action, refusal);
    }
}

static void
settle_crashes(struct pgw_quarantine *quarantine, struct pgw_suspect *suspect)
{
    uint64_t spread = quarantine->options.propagation_us;

#ifdef PGW_DISABLE_QUARANTINE_SPREAD
    spread = 0;
#endif
    pgw_list_foreach (link, &suspect->crashes) {
        struct pgw_suspect_crash *crash =
            pgw_container_of(link, struct pgw_suspect_crash, link);

        if (!crash->stands && suspect->present &&
            (pgw_quarantine_record_has_crash(&suspect->record, crash->crash) ||
             suspect->record.crash_count == PGW_QUARANTINE_CRASHES)) {
            crash->stands = true;
            crash->told_us = quarantine->now_us + spread;
        }
    }
}

/* The permit stands: a run from before the suspicion just goes on. */
static void
grant(struct pgw_quarantine *quarantine, struct pgw_suspect *suspect)
{
    suspect->running = true;
    pgw_list_foreach_safe (link, &suspect->waiters) {
        struct pgw_suspect_waiter *waiter =
            pgw_container_of(link, struct pgw_suspect_waiter, link);

        if (waiter->ticket == suspect->runner) {
            answer_waiter(quarantine, suspect, waiter,
                          PGW_QUARANTINE_RUN_ALONE, 0);
        }
    }
}

void
pgw_suspect__settle(struct pgw_quarantine *quarantine,
                    struct pgw_suspect *suspect)
{
    struct pgw_quarantine_record record;

    if (!suspect->present) {
        suspect->cleared = false;
    }
    settle_crashes(quarantine, suspect);
    record = pgw_suspect__effective(quarantine, suspect);
#ifndef PGW_DISABLE_QUARANTINE_LIMIT
    /*
     * Failure: a request crashes each upstream that runs it and its caller
     * sends it again under new ids. Symptom: the fleet goes down one upstream
     * after the other. Two crashes that share the fingerprint are proof
     * enough, since the second run was alone on its engine.
     */
    if (record.crash_count >= PGW_QUARANTINE_CRASHES) {
        answer_waiters(quarantine, suspect, PGW_QUARANTINE_REFUSE,
                       PGW_REFUSAL_QUARANTINED);
        return;
    }
#endif
    if (record.crash_count == 0) {
        answer_waiters(quarantine, suspect, PGW_QUARANTINE_RUN, 0);
        return;
    }
#ifndef PGW_DISABLE_QUARANTINE_PERMIT
    /*
     * Failure: a suspect is sent three times at once. Symptom: three more
     * upstreams crash before the first crash is known. Only the holder of the
     * permit, which the conditional write gives to one process, may run it.
     */
    if (!suspect->running && run_is_live(quarantine, suspect, &record)) {
        grant(quarantine, suspect);
    }
#else
    answer_waiters(quarantine, suspect, PGW_QUARANTINE_RUN_ALONE, 0);
#endif
}

/* Peers have been told: the end of a run is not held back for a store that
 * does not answer, only until they have heard. */
static void
hasten_crashes(struct pgw_quarantine *quarantine, struct pgw_suspect *suspect)
{
    uint64_t until_us =
        quarantine->now_us + quarantine->options.propagation_us;

    pgw_list_foreach (link, &suspect->crashes) {
        struct pgw_suspect_crash *crash =
            pgw_container_of(link, struct pgw_suspect_crash, link);

        crash->patience_us = MIN(crash->patience_us, until_us);
    }
}

void
pgw_suspect__store_failed(struct pgw_quarantine *quarantine,
                          struct pgw_suspect *suspect)
{
    bool known = pgw_suspect__effective(quarantine, suspect).crash_count > 0;

    if (!suspect->running) {
        suspect->runner = 0;
    }
    hasten_crashes(quarantine, suspect);
    /*
     * A retry that nobody here knows to be suspect goes on: an outage must not
     * refuse all that an unrelated crash sent to another upstream. One that is
     * suspect, or may be, cannot get its permit and is refused.
     */
    pgw_list_foreach_safe (link, &suspect->waiters) {
        struct pgw_suspect_waiter *waiter =
            pgw_container_of(link, struct pgw_suspect_waiter, link);

        if (known || waiter->stale) {
            answer_waiter(quarantine, suspect, waiter, PGW_QUARANTINE_REFUSE,
                          PGW_REFUSAL_STORE_DOWN);
        }
        else {
            answer_waiter(quarantine, suspect, waiter, PGW_QUARANTINE_RUN, 0);
        }
    }
}

static void
tell_crash(struct pgw_quarantine *quarantine, struct pgw_suspect_crash *crash)
{
    uint64_t now_us = quarantine->now_us;
    bool told = crash->ticket == 0;

    if (!told && crash->stands && now_us >= crash->told_us) {
        tell(quarantine, PGW_QUARANTINE_RECORDED, crash->ticket, 0);
        told = true;
    }
    else if (!told && !crash->stands && now_us >= crash->patience_us) {
        tell(quarantine, PGW_QUARANTINE_UNRECORDED, crash->ticket, 0);
        told = true;
    }
    if (told) {
        crash->ticket = 0;
    }
    if (told && crash->stands) {
        pgw_list_remove(&crash->link);
        g_free(crash);
    }
}

void
pgw_suspect__tell(struct pgw_quarantine *quarantine,
                  struct pgw_suspect *suspect)
{
    pgw_list_foreach_safe (link, &suspect->crashes) {
        tell_crash(quarantine,
                   pgw_container_of(link, struct pgw_suspect_crash, link));
    }
    pgw_list_foreach_safe (link, &suspect->waiters) {
        struct pgw_suspect_waiter *waiter =
            pgw_container_of(link, struct pgw_suspect_waiter, link);

        if (quarantine->now_us >= waiter->until_us) {
            if (waiter->ticket == suspect->runner) {
                suspect->runner = 0;
            }
            answer_waiter(quarantine, suspect, waiter, PGW_QUARANTINE_REFUSE,
                          PGW_REFUSAL_OVERLOADED);
        }
    }
}
