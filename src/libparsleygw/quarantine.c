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
    pgw_list_foreach_safe (running, &suspect->runs) {
        g_free(pgw_container_of(running, struct pgw_suspect_waiter, link));
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
pgw_quarantine__advance(struct pgw_quarantine *quarantine, uint64_t now_us)
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

/* The longest untouched entry that only repeats what the store holds. */
static void
evict(struct pgw_quarantine *quarantine)
{
    struct pgw_suspect *oldest = NULL;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, quarantine->suspects);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct pgw_suspect *suspect = value;
        bool pending = suspect->runner != 0 ||
                       suspect->outstanding != PGW_IO_NONE ||
                       !pgw_list_is_empty(&suspect->crashes) ||
                       !pgw_list_is_empty(&suspect->waiters) ||
                       !pgw_list_is_empty(&suspect->runs);

        if (!pending &&
            (oldest == NULL || suspect->touched_us < oldest->touched_us)) {
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
        suspect->touched_us = quarantine->now_us;
        return suspect;
    }
    if (g_hash_table_size(quarantine->suspects) >=
        quarantine->options.records_max) {
        evict(quarantine);
    }
    if (g_hash_table_size(quarantine->suspects) >=
        quarantine->options.records_max) {
        return NULL;
    }
    suspect = g_new0(struct pgw_suspect, 1);
    suspect->fingerprint = *fingerprint;
    suspect->touched_us = quarantine->now_us;
    pgw_list_init(&suspect->crashes);
    pgw_list_init(&suspect->waiters);
    pgw_list_init(&suspect->runs);
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
refuse(struct pgw_quarantine_decision *out, enum pgw_refusal refusal)
{
    out->action = PGW_QUARANTINE_REFUSE;
    out->refusal = refusal;
}

static bool
is_stale(const struct pgw_quarantine *quarantine)
{
    return quarantine->options.stale_after_us > 0 &&
           quarantine->now_us >
               quarantine->synced_us + quarantine->options.stale_after_us;
}

static void
wait_for_store(struct pgw_quarantine_decision *out,
               struct pgw_quarantine *quarantine, struct pgw_suspect *suspect)
{
    struct pgw_suspect_waiter *waiter = g_new0(struct pgw_suspect_waiter, 1);

    waiter->ticket = out->ticket;
    waiter->stale = is_stale(quarantine);
    waiter->until_us =
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
    pgw_quarantine__advance(quarantine, now_us);
    /*
     * Failure: a process wakes from a long pause and takes a request before
     * it hears of the records made meanwhile. Symptom: a third upstream
     * crashes. A copy that may be old is not trusted, the store is asked.
     */
    check = check || is_stale(quarantine);
#ifdef PGW_DISABLE_QUARANTINE_CHECK
    check = false;
#endif
    if (suspect != NULL) {
        crashes = pgw_suspect__effective(quarantine, suspect).crash_count;
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
        refuse(out, PGW_REFUSAL_QUARANTINED);
        return;
    }
#endif
    suspect = pgw_quarantine__find_or_add(quarantine, fingerprint);
    if (suspect == NULL) {
        refuse(out, PGW_REFUSAL_OVERLOADED);
        return;
    }
    /*
     * Failure: an earlier attempt ended unknown, perhaps by a crash that this
     * process has not heard of. Symptom: a third upstream crashes. The store
     * has the crash before the attempt's end was told, so asking it is enough.
     */
    suspect->read_wanted = suspect->read_wanted || !suspect->present;
    wait_for_store(out, quarantine, suspect);
}

static void
remove_ticket(struct pgw_list *head, uint64_t ticket)
{
    pgw_list_foreach_safe (link, head) {
        struct pgw_suspect_waiter *entry =
            pgw_container_of(link, struct pgw_suspect_waiter, link);

        if (entry->ticket == ticket) {
            pgw_list_remove(link);
            g_free(entry);
        }
    }
}

/* The ticket neither waits nor runs any more; true: it held the permit. */
static bool
end_ticket(struct pgw_suspect *suspect, uint64_t ticket)
{
    bool held = ticket != 0 && suspect->runner == ticket;

    if (held) {
        suspect->runner = 0;
        suspect->running = false;
    }
    remove_ticket(&suspect->waiters, ticket);
    remove_ticket(&suspect->runs, ticket);
    return held;
}

void
pgw_quarantine_report_crash(struct pgw_quarantine *quarantine,
                            const struct pgw_fingerprint *fingerprint,
                            uint64_t ticket, uint64_t crash, uint64_t now_us)
{
    struct pgw_suspect *suspect;
    struct pgw_suspect_crash *entry;

    pgw_quarantine__advance(quarantine, now_us);
    suspect = pgw_quarantine__find_or_add(quarantine, fingerprint);
    if (suspect == NULL) {
        return;
    }
    end_ticket(suspect, ticket);
    suspect->cleared = false;
    entry = g_new0(struct pgw_suspect_crash, 1);
    entry->ticket = ticket;
    entry->crash = crash;
    entry->permit_timeout_us =
        quarantine->now_us + quarantine->options.record_timeout_us;
    pgw_list_append(&suspect->crashes, &entry->link);
}

static bool
is_pending_crash(const struct pgw_suspect *suspect, uint64_t crash)
{
    pgw_list_foreach (link, &suspect->crashes) {
        if (pgw_container_of(link, struct pgw_suspect_crash, link)->crash ==
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

    pgw_quarantine__advance(quarantine, now_us);
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
        pgw_suspect__settle(quarantine, suspect);
    }
}

void
pgw_quarantine_report_success(struct pgw_quarantine *quarantine,
                              const struct pgw_fingerprint *fingerprint,
                              uint64_t ticket, uint64_t now_us)
{
    struct pgw_suspect *suspect =
        pgw_quarantine__find(quarantine, fingerprint);

    pgw_quarantine__advance(quarantine, now_us);
    if (suspect == NULL) {
        return;
    }
    if (end_ticket(suspect, ticket) || suspect->record.run_owner == 0) {
        suspect->cleared =
            suspect->present && pgw_list_is_empty(&suspect->crashes);
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

    pgw_quarantine__advance(quarantine, now_us);
    if (suspect == NULL) {
        return;
    }
    end_ticket(suspect, ticket);
    pgw_quarantine__drop_if_idle(quarantine, suspect);
}

uint32_t
pgw_quarantine_size(const struct pgw_quarantine *quarantine)
{
    return g_hash_table_size(quarantine->suspects);
}
