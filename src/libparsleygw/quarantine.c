#include "quarantine_suspect.h"

#include <string.h>

static void
suspect_free(gpointer data)
{
    struct pgw_suspect *suspect = data;

    pgw_list_foreach_safe (link, &suspect->crashes) {
        g_free(pgw_container_of(link, struct pgw_suspect_crash, link));
    }
    pgw_list_foreach_safe (waiting, &suspect->waiters) {
        g_free(pgw_container_of(waiting, struct pgw_suspect_waiter, link));
    }
    pgw_list_foreach_safe (run, &suspect->unpermitted_runs) {
        g_free(pgw_container_of(run, struct pgw_suspect_waiter, link));
    }
    g_free(suspect);
}

struct pgw_quarantine *
pgw_quarantine_new(const struct pgw_quarantine_options *options)
{
    struct pgw_quarantine *quarantine = g_new0(struct pgw_quarantine, 1);

    quarantine->options = *options;
    quarantine->suspects = g_hash_table_new_full(
        pgw_fingerprint_hash, pgw_fingerprint_equal, NULL, suspect_free);
    pgw_list_init(&quarantine->events);
    return quarantine;
}

void
pgw_quarantine_free(struct pgw_quarantine *quarantine)
{
    if (quarantine == NULL) {
        return;
    }
    pgw_list_foreach_safe (link, &quarantine->events) {
        g_free(pgw_container_of(link, struct pgw_quarantine_event, link));
    }
    g_hash_table_destroy(quarantine->suspects);
    g_free(quarantine);
}

bool
pgw_quarantine_next_event(struct pgw_quarantine_decision *out,
                          struct pgw_quarantine *quarantine)
{
    struct pgw_list *link = pgw_list_first(&quarantine->events);
    struct pgw_quarantine_event *event;

    if (link == NULL) {
        return false;
    }
    event = pgw_container_of(link, struct pgw_quarantine_event, link);
    *out = event->decision;
    pgw_list_remove(link);
    g_free(event);
    return true;
}

void
pgw_quarantine__advance_time(struct pgw_quarantine *quarantine,
                             uint64_t now_us)
{
    quarantine->now_us = MAX(quarantine->now_us, now_us);
}

struct pgw_suspect *
pgw_quarantine__find(const struct pgw_quarantine *quarantine,
                     const struct pgw_fingerprint *fingerprint)
{
    return g_hash_table_lookup(quarantine->suspects, fingerprint);
}

void
pgw_quarantine_mark_synced(struct pgw_quarantine *quarantine, uint64_t now_us)
{
    quarantine->synced_us = MAX(quarantine->synced_us, now_us);
}

/* Removes the least recently used suspect that has nothing pending: its state
 * is only a copy of the record in the store. */
static void
evict_oldest(struct pgw_quarantine *quarantine)
{
    struct pgw_suspect *oldest = NULL;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, quarantine->suspects);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct pgw_suspect *suspect = value;
        bool pending = suspect->permit_ticket != 0 ||
                       suspect->outstanding_io != PGW_IO_NONE ||
                       !pgw_list_is_empty(&suspect->crashes) ||
                       !pgw_list_is_empty(&suspect->waiters) ||
                       !pgw_list_is_empty(&suspect->unpermitted_runs);

        if (!pending &&
            (oldest == NULL || suspect->last_used_us < oldest->last_used_us)) {
            oldest = suspect;
        }
    }
    if (oldest != NULL) {
        g_hash_table_remove(quarantine->suspects, &oldest->fingerprint);
    }
}

struct pgw_suspect *
pgw_quarantine__find_or_add(struct pgw_quarantine *quarantine,
                            const struct pgw_fingerprint *fingerprint)
{
    struct pgw_suspect *suspect =
        pgw_quarantine__find(quarantine, fingerprint);

    if (suspect != NULL) {
        suspect->last_used_us = quarantine->now_us;
        return suspect;
    }
    if (g_hash_table_size(quarantine->suspects) >=
        quarantine->options.records_max) {
        evict_oldest(quarantine);
    }
    if (g_hash_table_size(quarantine->suspects) >=
        quarantine->options.records_max) {
        return NULL;
    }
    suspect = g_new0(struct pgw_suspect, 1);
    suspect->fingerprint = *fingerprint;
    suspect->last_used_us = quarantine->now_us;
    pgw_list_init(&suspect->crashes);
    pgw_list_init(&suspect->waiters);
    pgw_list_init(&suspect->unpermitted_runs);
    g_hash_table_insert(quarantine->suspects, &suspect->fingerprint, suspect);
    return suspect;
}

void
pgw_quarantine__drop_if_idle(struct pgw_quarantine *quarantine,
                             struct pgw_suspect *suspect)
{
    if (pgw_suspect__is_idle(suspect)) {
        g_hash_table_remove(quarantine->suspects, &suspect->fingerprint);
    }
}

static void
set_refusal(struct pgw_quarantine_decision *out, enum pgw_refusal refusal)
{
    out->action = PGW_QUARANTINE_REFUSE;
    out->refusal = refusal;
}

static bool
sync_is_stale(const struct pgw_quarantine *quarantine)
{
    return quarantine->options.stale_after_us > 0 &&
           quarantine->now_us >
               quarantine->synced_us + quarantine->options.stale_after_us;
}

static void
add_waiter(struct pgw_quarantine_decision *out,
           struct pgw_quarantine *quarantine, struct pgw_suspect *suspect)
{
    struct pgw_suspect_waiter *waiter = g_new0(struct pgw_suspect_waiter, 1);

    waiter->ticket = out->ticket;
    waiter->sync_was_stale = sync_is_stale(quarantine);
    waiter->deadline_us =
        quarantine->now_us + quarantine->options.permit_timeout_us;
    pgw_list_append(&suspect->waiters, &waiter->link);
    out->action = PGW_QUARANTINE_PENDING;
}

void
pgw_quarantine_admit(struct pgw_quarantine_decision *out,
                     struct pgw_quarantine *quarantine,
                     const struct pgw_fingerprint *fingerprint,
                     uint64_t ticket, bool check, uint64_t now_us)
{
    struct pgw_suspect *suspect =
        pgw_quarantine__find(quarantine, fingerprint);
    uint32_t crashes = 0;

    *out = (struct pgw_quarantine_decision){.ticket = ticket};
    pgw_quarantine__advance_time(quarantine, now_us);
    /*
     * Failure: a process resumes after a long pause and admits a request
     * before it receives the records written meanwhile. Symptom: a third
     * upstream crashes. When the local copy may be out of date, the request
     * waits for a read of the store.
     */
    check = check || sync_is_stale(quarantine);
#ifdef PGW_DISABLE_QUARANTINE_CHECK
    check = false;
#endif
    if (suspect != NULL) {
        crashes =
            pgw_suspect__effective_record(quarantine, suspect).crash_count;
    }
    if (crashes == 0 && !check) {
        out->action = PGW_QUARANTINE_RUN;
        suspect = pgw_quarantine__find_or_add(quarantine, fingerprint);
        if (suspect != NULL) {
            pgw_suspect__add_run(suspect, ticket);
        }
        return;
    }
#ifndef PGW_DISABLE_QUARANTINE_LIMIT
    if (crashes >= PGW_QUARANTINE_CRASHES) {
        set_refusal(out, PGW_REFUSAL_QUARANTINED);
        return;
    }
#endif
    suspect = pgw_quarantine__find_or_add(quarantine, fingerprint);
    if (suspect == NULL) {
        set_refusal(out, PGW_REFUSAL_OVERLOADED);
        return;
    }
    /*
     * Failure: an earlier attempt ended with an unknown outcome, perhaps by a
     * crash whose record has not reached this process. Symptom: a third
     * upstream crashes. The crash is stored before the attempt's end is
     * reported, so reading the store is enough.
     */
    suspect->needs_read = suspect->needs_read || !suspect->is_stored;
    add_waiter(out, quarantine, suspect);
}

static void
remove_from_list(struct pgw_list *head, uint64_t ticket)
{
    pgw_list_foreach_safe (link, head) {
        struct pgw_suspect_waiter *waiter =
            pgw_container_of(link, struct pgw_suspect_waiter, link);

        if (waiter->ticket == ticket) {
            pgw_list_remove(link);
            g_free(waiter);
        }
    }
}

/* Removes a ticket from the waiters and the runs. Return: whether it held the
 * permit. */
static bool
remove_ticket(struct pgw_suspect *suspect, uint64_t ticket)
{
    bool had_permit = ticket != 0 && suspect->permit_ticket == ticket;

    if (had_permit) {
        suspect->permit_ticket = 0;
        suspect->permit_is_granted = false;
    }
    remove_from_list(&suspect->waiters, ticket);
    remove_from_list(&suspect->unpermitted_runs, ticket);
    return had_permit;
}

void
pgw_quarantine_report_crash(struct pgw_quarantine *quarantine,
                            const struct pgw_fingerprint *fingerprint,
                            uint64_t ticket, uint64_t crash, uint64_t now_us)
{
    struct pgw_suspect *suspect;
    struct pgw_suspect_crash *pending_crash;

    pgw_quarantine__advance_time(quarantine, now_us);
    suspect = pgw_quarantine__find_or_add(quarantine, fingerprint);
    if (suspect == NULL) {
        return;
    }
    remove_ticket(suspect, ticket);
    suspect->needs_delete = false;
    pending_crash = g_new0(struct pgw_suspect_crash, 1);
    pending_crash->ticket = ticket;
    pending_crash->crash_id = crash;
    pending_crash->record_deadline_us =
        quarantine->now_us + quarantine->options.record_timeout_us;
    pgw_list_append(&suspect->crashes, &pending_crash->link);
}

static bool
is_pending_crash(const struct pgw_suspect *suspect, uint64_t crash)
{
    pgw_list_foreach (link, &suspect->crashes) {
        if (pgw_container_of(link, struct pgw_suspect_crash, link)->crash_id ==
            crash) {
            return true;
        }
    }
    return false;
}

void
pgw_quarantine_apply_unrecorded(struct pgw_quarantine *quarantine,
                                const struct pgw_fingerprint *fingerprint,
                                const char *value, size_t length,
                                uint64_t now_us)
{
    struct pgw_quarantine_record record;
    struct pgw_suspect *suspect;

    pgw_quarantine__advance_time(quarantine, now_us);
    if (!pgw_quarantine_record_parse(&record, value, length, NULL)) {
        return;
    }
    for (uint32_t i = 0; i < record.crash_count; i++) {
        suspect = pgw_quarantine__find(quarantine, fingerprint);
        if (suspect == NULL || !is_pending_crash(suspect, record.crashes[i])) {
            pgw_quarantine_report_crash(quarantine, fingerprint, 0,
                                        record.crashes[i], now_us);
        }
    }
    suspect = pgw_quarantine__find(quarantine, fingerprint);
    if (suspect != NULL) {
        pgw_suspect__resolve_pending(quarantine, suspect);
    }
}

void
pgw_quarantine_report_success(struct pgw_quarantine *quarantine,
                              const struct pgw_fingerprint *fingerprint,
                              uint64_t ticket, uint64_t now_us)
{
    struct pgw_suspect *suspect =
        pgw_quarantine__find(quarantine, fingerprint);

    pgw_quarantine__advance_time(quarantine, now_us);
    if (suspect == NULL) {
        return;
    }
    if (remove_ticket(suspect, ticket) || suspect->record.run_owner == 0) {
        suspect->needs_delete =
            suspect->is_stored && pgw_list_is_empty(&suspect->crashes);
    }
    pgw_quarantine__drop_if_idle(quarantine, suspect);
}

void
pgw_quarantine_release(struct pgw_quarantine *quarantine,
                       const struct pgw_fingerprint *fingerprint,
                       uint64_t ticket, uint64_t now_us)
{
    struct pgw_suspect *suspect =
        pgw_quarantine__find(quarantine, fingerprint);

    pgw_quarantine__advance_time(quarantine, now_us);
    if (suspect == NULL) {
        return;
    }
    remove_ticket(suspect, ticket);
    pgw_quarantine__drop_if_idle(quarantine, suspect);
}

uint32_t
pgw_quarantine_size(const struct pgw_quarantine *quarantine)
{
    return g_hash_table_size(quarantine->suspects);
}
