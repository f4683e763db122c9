#include "quarantine_suspect.h"

#include <xxhash.h>

uint64_t
pgw_suspect__permit_number(const struct pgw_quarantine *quarantine,
                           uint64_t ticket)
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
clear_run(struct pgw_quarantine_record *record)
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
run_is_current(const struct pgw_quarantine *quarantine,
               const struct pgw_suspect *suspect,
               const struct pgw_quarantine_record *record)
{
    return run_is_own(quarantine, record) && suspect->permit_ticket != 0 &&
           record->run_permit ==
               pgw_suspect__permit_number(quarantine, suspect->permit_ticket);
}

struct pgw_quarantine_record
pgw_suspect__effective_record(const struct pgw_quarantine *quarantine,
                              const struct pgw_suspect *suspect)
{
    struct pgw_quarantine_record record = {0};
    uint64_t now_us = quarantine->now_us;

    if (suspect->is_stored &&
        suspect->record.changed_us + quarantine->options.expiry_us > now_us) {
        record = suspect->record;
    }
    if (run_is_own(quarantine, &record)) {
        if (!run_is_current(quarantine, suspect, &record)) {
            clear_run(&record);
        }
    }
    else if (record.run_owner != 0 && now_us >= record.run_until_us) {
#ifndef PGW_DISABLE_QUARANTINE_SILENT
        /*
         * Failure: a process dies together with its engine while it runs a
         * suspect, or is paused for long. Symptom if only the permit were
         * freed: the request crashes one upstream after the other and no
         * crash is counted. Counting an expired permit as a crash is enough.
         */
        add_crash(&record, record.run_permit, now_us);
#endif
        clear_run(&record);
    }
    pgw_list_foreach (link, &suspect->crashes) {
        add_crash(
            &record,
            pgw_container_of(link, struct pgw_suspect_crash, link)->crash_id,
            now_us);
    }
    return record;
}

bool
pgw_suspect__is_idle(const struct pgw_suspect *suspect)
{
    return !suspect->is_stored && !suspect->needs_read &&
           suspect->permit_ticket == 0 &&
           suspect->outstanding_io == PGW_IO_NONE &&
           pgw_list_is_empty(&suspect->crashes) &&
           pgw_list_is_empty(&suspect->waiters) &&
           pgw_list_is_empty(&suspect->unpermitted_runs);
}

void
pgw_suspect__add_run(struct pgw_suspect *suspect, uint64_t ticket)
{
    struct pgw_suspect_waiter *run = g_new0(struct pgw_suspect_waiter, 1);

    run->ticket = ticket;
    pgw_list_append(&suspect->unpermitted_runs, &run->link);
}

static void
queue_decision(struct pgw_quarantine *quarantine,
               enum pgw_quarantine_action action, uint64_t ticket,
               enum pgw_refusal refusal)
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
    queue_decision(quarantine, action, waiter->ticket, refusal);
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
    if (!suspect->permit_is_granted) {
        suspect->permit_ticket = 0;
    }
    pgw_list_foreach_safe (link, &suspect->waiters) {
        answer_waiter(quarantine, suspect,
                      pgw_container_of(link, struct pgw_suspect_waiter, link),
                      action, refusal);
    }
}

static void
mark_recorded_crashes(struct pgw_quarantine *quarantine,
                      struct pgw_suspect *suspect)
{
    uint64_t propagation_us = quarantine->options.propagation_us;

#ifdef PGW_DISABLE_QUARANTINE_SPREAD
    propagation_us = 0;
#endif
    pgw_list_foreach (link, &suspect->crashes) {
        struct pgw_suspect_crash *crash =
            pgw_container_of(link, struct pgw_suspect_crash, link);

        if (!crash->is_recorded && suspect->is_stored &&
            (pgw_quarantine_record_has_crash(&suspect->record,
                                             crash->crash_id) ||
             suspect->record.crash_count == PGW_QUARANTINE_CRASHES)) {
            crash->is_recorded = true;
            crash->answer_due_us = quarantine->now_us + propagation_us;
        }
    }
}

/* The store has recorded the permit: a waiting request may run. A run that
 * began before the request became a suspect continues without a decision. */
static void
grant_permit(struct pgw_quarantine *quarantine, struct pgw_suspect *suspect)
{
    suspect->permit_is_granted = true;
    pgw_list_foreach_safe (link, &suspect->waiters) {
        struct pgw_suspect_waiter *waiter =
            pgw_container_of(link, struct pgw_suspect_waiter, link);

        if (waiter->ticket == suspect->permit_ticket) {
            answer_waiter(quarantine, suspect, waiter,
                          PGW_QUARANTINE_RUN_ALONE, 0);
        }
    }
}

void
pgw_suspect__resolve_pending(struct pgw_quarantine *quarantine,
                             struct pgw_suspect *suspect)
{
    struct pgw_quarantine_record record;

    if (!suspect->is_stored) {
        suspect->needs_delete = false;
    }
    mark_recorded_crashes(quarantine, suspect);
    record = pgw_suspect__effective_record(quarantine, suspect);
#ifndef PGW_DISABLE_QUARANTINE_LIMIT
    /*
     * Failure: a request crashes each upstream that runs it, and its caller
     * resends it under new ids. Symptom: the fleet goes down one upstream
     * after the other. Two crashes with the same fingerprint are enough
     * evidence, since the second run was alone on its engine.
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
     * Failure: three copies of a suspect are sent at once. Symptom: three
     * more upstreams crash before the first crash is known. Only the holder of
     * the permit may run the suspect, and the conditional write gives the
     * permit to one process.
     */
    if (!suspect->permit_is_granted &&
        run_is_current(quarantine, suspect, &record)) {
        grant_permit(quarantine, suspect);
    }
#else
    answer_waiters(quarantine, suspect, PGW_QUARANTINE_RUN_ALONE, 0);
#endif
}

/* Peers receive crashes directly. When the store fails, the end of a run is
 * delayed only until they had time to receive its crash. */
static void
shorten_record_deadlines(struct pgw_quarantine *quarantine,
                         struct pgw_suspect *suspect)
{
    uint64_t deadline_us =
        quarantine->now_us + quarantine->options.propagation_us;

    pgw_list_foreach (link, &suspect->crashes) {
        struct pgw_suspect_crash *crash =
            pgw_container_of(link, struct pgw_suspect_crash, link);

        crash->record_deadline_us =
            MIN(crash->record_deadline_us, deadline_us);
    }
}

void
pgw_suspect__handle_store_failure(struct pgw_quarantine *quarantine,
                                  struct pgw_suspect *suspect)
{
    bool is_suspect =
        pgw_suspect__effective_record(quarantine, suspect).crash_count > 0;

    if (!suspect->permit_is_granted) {
        suspect->permit_ticket = 0;
    }
    shorten_record_deadlines(quarantine, suspect);
    /*
     * A retry without a record here runs: an outage of the store must not
     * refuse every request that a crash has sent to another upstream. A
     * suspect, and a request that may be one because the records here are out
     * of date, cannot get a permit and is refused.
     */
    pgw_list_foreach_safe (link, &suspect->waiters) {
        struct pgw_suspect_waiter *waiter =
            pgw_container_of(link, struct pgw_suspect_waiter, link);

        if (is_suspect || waiter->sync_was_stale) {
            answer_waiter(quarantine, suspect, waiter, PGW_QUARANTINE_REFUSE,
                          PGW_REFUSAL_STORE_DOWN);
        }
        else {
            answer_waiter(quarantine, suspect, waiter, PGW_QUARANTINE_RUN, 0);
        }
    }
}

static void
answer_crash(struct pgw_quarantine *quarantine,
             struct pgw_suspect_crash *crash)
{
    uint64_t now_us = quarantine->now_us;
    bool is_answered = crash->ticket == 0;

    if (!is_answered && crash->is_recorded && now_us >= crash->answer_due_us) {
        queue_decision(quarantine, PGW_QUARANTINE_RECORDED, crash->ticket, 0);
        is_answered = true;
    }
    else if (!is_answered && !crash->is_recorded &&
             now_us >= crash->record_deadline_us) {
        queue_decision(quarantine, PGW_QUARANTINE_UNRECORDED, crash->ticket,
                       0);
        is_answered = true;
    }
    if (is_answered) {
        crash->ticket = 0;
    }
    if (is_answered && crash->is_recorded) {
        pgw_list_remove(&crash->link);
        g_free(crash);
    }
}

void
pgw_suspect__queue_due_decisions(struct pgw_quarantine *quarantine,
                                 struct pgw_suspect *suspect)
{
    pgw_list_foreach_safe (link, &suspect->crashes) {
        answer_crash(quarantine,
                     pgw_container_of(link, struct pgw_suspect_crash, link));
    }
    pgw_list_foreach_safe (link, &suspect->waiters) {
        struct pgw_suspect_waiter *waiter =
            pgw_container_of(link, struct pgw_suspect_waiter, link);

        if (quarantine->now_us >= waiter->deadline_us) {
            if (waiter->ticket == suspect->permit_ticket) {
                suspect->permit_ticket = 0;
            }
            answer_waiter(quarantine, suspect, waiter, PGW_QUARANTINE_REFUSE,
                          PGW_REFUSAL_OVERLOADED);
        }
    }
}
