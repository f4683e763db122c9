#include "quarantine_suspect.h"

#include <string.h>

static void
apply_value(struct pgw_quarantine *quarantine, struct pgw_suspect *suspect,
            uint64_t version, const char *value, size_t length)
{
    struct pgw_quarantine_record record = {0};

    /* A read may return an older version than an earlier one. */
    if (version < suspect->version) {
        suspect->retry_us =
            quarantine->now_us + quarantine->options.backoff_us;
        return;
    }
    if (version > suspect->version) {
        suspect->retry_us = quarantine->now_us;
    }
    if (value != NULL &&
        !pgw_quarantine_record_parse(&record, value, length, NULL)) {
        suspect->needs_read = true;
        pgw_suspect__handle_store_failure(quarantine, suspect);
        return;
    }
    suspect->version = version;
    suspect->is_stored = value != NULL;
    suspect->needs_read = false;
    suspect->record = record;
    pgw_suspect__resolve_pending(quarantine, suspect);
}

void
pgw_quarantine_apply(struct pgw_quarantine *quarantine,
                     const struct pgw_fingerprint *fingerprint,
                     uint64_t version, const char *value, size_t length,
                     uint64_t now_us)
{
    struct pgw_suspect *suspect;

    pgw_quarantine__advance_time(quarantine, now_us);
    suspect = value != NULL
                  ? pgw_quarantine__find_or_add(quarantine, fingerprint)
                  : pgw_quarantine__find(quarantine, fingerprint);
    if (suspect != NULL) {
        apply_value(quarantine, suspect, version, value, length);
        pgw_quarantine__drop_if_idle(quarantine, suspect);
    }
}

static bool
records_differ(const struct pgw_quarantine_record *a,
               const struct pgw_quarantine_record *b)
{
    return a->crash_count != b->crash_count ||
           memcmp(a->crashes, b->crashes, sizeof(a->crashes)) != 0 ||
           a->run_owner != b->run_owner || a->run_permit != b->run_permit ||
           a->run_until_us != b->run_until_us;
}

static void
draft_permit(const struct pgw_quarantine *quarantine,
             struct pgw_suspect *suspect, struct pgw_list *link)
{
    struct pgw_quarantine_record *draft = &suspect->draft;

    suspect->permit_ticket =
        pgw_container_of(link, struct pgw_suspect_waiter, link)->ticket;
    draft->run_owner = quarantine->options.owner;
    draft->run_permit =
        pgw_suspect__permit_number(quarantine, suspect->permit_ticket);
    draft->run_until_us =
        quarantine->now_us + quarantine->options.permit_lease_us;
}

static bool
permit_needs_renewal(const struct pgw_quarantine *quarantine,
                     const struct pgw_suspect *suspect)
{
    return suspect->permit_is_granted && suspect->is_stored &&
           suspect->record.run_owner == quarantine->options.owner &&
           quarantine->now_us + quarantine->options.permit_lease_us / 2 >=
               suspect->record.run_until_us;
}

/* Earliest time at which a waiting request may get the permit. */
static uint64_t
earliest_grant_us(const struct pgw_quarantine *quarantine,
                  const struct pgw_suspect *suspect)
{
#ifdef PGW_DISABLE_QUARANTINE_SPREAD
    return 0;
#else
    return suspect->record.changed_us + quarantine->options.propagation_us;
#endif
}

/* Computes the record that the store should hold, with the permit's next
 * holder. */
static void
make_draft(struct pgw_quarantine *quarantine, struct pgw_suspect *suspect)
{
    struct pgw_quarantine_record *draft = &suspect->draft;
    struct pgw_list *first = pgw_list_first(&suspect->waiters);
    struct pgw_list *run = pgw_list_first(&suspect->unpermitted_runs);

    *draft = pgw_suspect__effective_record(quarantine, suspect);
    if (permit_needs_renewal(quarantine, suspect) && draft->run_owner != 0) {
        draft->run_until_us =
            quarantine->now_us + quarantine->options.permit_lease_us;
    }
    if (suspect->permit_is_granted || draft->run_owner != 0 ||
        draft->crash_count != PGW_QUARANTINE_CRASHES - 1) {
        return;
    }
    /*
     * Failure: two copies of a request run when the first crashes its
     * upstream. Symptom: the first is resent and crashes a second upstream,
     * and the other copy crashes a third. A copy that already runs takes the
     * permit as soon as its process receives the record, and no waiting
     * request gets the permit before the record had time to reach all
     * processes.
     */
    if (run != NULL) {
        draft_permit(quarantine, suspect, run);
    }
    else if (first != NULL &&
             quarantine->now_us >= earliest_grant_us(quarantine, suspect)) {
        draft_permit(quarantine, suspect, first);
    }
}

static bool
prepare_io(struct pgw_io *out, struct pgw_quarantine *quarantine,
           struct pgw_suspect *suspect)
{
    bool waits = !pgw_list_is_empty(&suspect->waiters);

    if (suspect->needs_read) {
        out->kind = PGW_IO_READ;
        return true;
    }
    make_draft(quarantine, suspect);
    out->expected_version = suspect->is_stored ? suspect->version : 0;
    if (suspect->needs_delete && suspect->is_stored &&
        suspect->draft.crash_count < PGW_QUARANTINE_CRASHES) {
        out->kind = PGW_IO_DELETE;
        return true;
    }
    if (suspect->draft.crash_count > 0 &&
        (!suspect->is_stored ||
         records_differ(&suspect->draft, &suspect->record))) {
        out->kind = PGW_IO_WRITE;
        out->value = pgw_quarantine_record_print(&suspect->draft);
        out->length = strlen(out->value);
        return true;
    }
    suspect->needs_delete = false;
    if (waits && quarantine->now_us < earliest_grant_us(quarantine, suspect)) {
        suspect->retry_us = earliest_grant_us(quarantine, suspect);
        return false;
    }
    if (waits) {
        /* Another process holds the permit: poll the record. */
        out->kind = PGW_IO_READ;
        suspect->retry_us = quarantine->now_us + quarantine->options.poll_us;
    }
    return waits;
}

static bool
has_unrecorded_crash(const struct pgw_suspect *suspect)
{
    pgw_list_foreach (link, &suspect->crashes) {
        if (!pgw_container_of(link, struct pgw_suspect_crash, link)
                 ->is_recorded) {
            return true;
        }
    }
    return false;
}

/* Whether a run that began before the request became a suspect should take the
 * permit. */
static bool
has_run_without_permit(const struct pgw_suspect *suspect)
{
    return !pgw_list_is_empty(&suspect->unpermitted_runs) &&
           suspect->is_stored && !suspect->permit_is_granted &&
           suspect->record.run_owner == 0 &&
           suspect->record.crash_count == PGW_QUARANTINE_CRASHES - 1;
}

/* Whether this process needs a store operation; all other processes only keep
 * a copy of the record. */
static bool
has_work(const struct pgw_quarantine *quarantine,
         const struct pgw_suspect *suspect)
{
    return suspect->needs_read || suspect->needs_delete ||
           !pgw_list_is_empty(&suspect->waiters) ||
           has_unrecorded_crash(suspect) || has_run_without_permit(suspect) ||
           permit_needs_renewal(quarantine, suspect) ||
           (suspect->is_stored && suspect->permit_ticket == 0 &&
            suspect->record.run_owner == quarantine->options.owner);
}

bool
pgw_quarantine_next_io(struct pgw_io *out, struct pgw_fingerprint *fingerprint,
                       struct pgw_quarantine *quarantine, uint64_t now_us)
{
    GHashTableIter iter;
    gpointer value;

    *out = (struct pgw_io){.kind = PGW_IO_NONE};
    pgw_quarantine__advance_time(quarantine, now_us);
    g_hash_table_iter_init(&iter, quarantine->suspects);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct pgw_suspect *suspect = value;

        pgw_suspect__queue_due_decisions(quarantine, suspect);
        if (pgw_suspect__is_idle(suspect)) {
            g_hash_table_iter_remove(&iter);
            continue;
        }
        if (suspect->outstanding_io == PGW_IO_NONE &&
            quarantine->now_us >= suspect->retry_us &&
            has_work(quarantine, suspect) &&
            prepare_io(out, quarantine, suspect)) {
            suspect->outstanding_io = out->kind;
            *fingerprint = suspect->fingerprint;
            return true;
        }
    }
    return false;
}

static void
handle_store_failure(struct pgw_quarantine *quarantine,
                     struct pgw_suspect *suspect)
{
    suspect->retry_us = quarantine->now_us + quarantine->options.backoff_us;
    pgw_suspect__handle_store_failure(quarantine, suspect);
}

static void
handle_written(struct pgw_quarantine *quarantine, struct pgw_suspect *suspect,
               enum pgw_io_kind kind, uint64_t version)
{
    suspect->is_stored = kind == PGW_IO_WRITE;
    suspect->version = MAX(version, suspect->version);
    suspect->record = suspect->is_stored ? suspect->draft
                                         : (struct pgw_quarantine_record){0};
    pgw_suspect__resolve_pending(quarantine, suspect);
}

static void
handle_conflict(struct pgw_quarantine *quarantine, struct pgw_suspect *suspect,
                const struct pgw_io_reply *reply)
{
    suspect->needs_read = true;
    if (reply->value != NULL) {
        apply_value(quarantine, suspect, reply->version, reply->value,
                    reply->length);
    }
}

static void
handle_missing(struct pgw_quarantine *quarantine, struct pgw_suspect *suspect)
{
    suspect->is_stored = false;
    suspect->needs_read = false;
    pgw_suspect__resolve_pending(quarantine, suspect);
}

void
pgw_quarantine_io_done(struct pgw_quarantine *quarantine,
                       const struct pgw_fingerprint *fingerprint,
                       const struct pgw_io_reply *reply, uint64_t now_us)
{
    struct pgw_suspect *suspect =
        pgw_quarantine__find(quarantine, fingerprint);
    enum pgw_io_kind kind;

    pgw_quarantine__advance_time(quarantine, now_us);
    if (suspect == NULL) {
        return;
    }
    kind = suspect->outstanding_io;
    suspect->outstanding_io = PGW_IO_NONE;
    switch (reply->result) {
    case PGW_IO_OK:
        if (kind == PGW_IO_READ) {
            apply_value(quarantine, suspect, reply->version, reply->value,
                        reply->length);
        }
        else {
            handle_written(quarantine, suspect, kind, reply->version);
        }
        break;
    case PGW_IO_MISSING:
        handle_missing(quarantine, suspect);
        break;
    case PGW_IO_CONFLICT:
        handle_conflict(quarantine, suspect, reply);
        break;
    case PGW_IO_UNKNOWN:
        /* The write may have taken effect. Reading the record back shows
         * whether it has, by the permit and the crashes. */
        suspect->needs_read = true;
        if (kind == PGW_IO_READ) {
            handle_store_failure(quarantine, suspect);
        }
        break;
    case PGW_IO_THROTTLED:
        suspect->retry_us =
            quarantine->now_us + quarantine->options.backoff_us;
        break;
    case PGW_IO_UNAVAILABLE:
        handle_store_failure(quarantine, suspect);
        break;
    }
    pgw_quarantine__drop_if_idle(quarantine, suspect);
}

static uint64_t
next_deadline_us(const struct pgw_suspect *suspect)
{
    uint64_t next = UINT64_MAX;

    pgw_list_foreach (link, &suspect->crashes) {
        const struct pgw_suspect_crash *crash =
            pgw_container_of(link, struct pgw_suspect_crash, link);

        if (crash->ticket != 0) {
            next = MIN(next, crash->is_recorded ? crash->answer_due_us
                                                : crash->record_deadline_us);
        }
    }
    pgw_list_foreach (waiting, &suspect->waiters) {
        next = MIN(next,
                   pgw_container_of(waiting, struct pgw_suspect_waiter, link)
                       ->deadline_us);
    }
    return next;
}

uint64_t
pgw_quarantine_next_time(const struct pgw_quarantine *quarantine)
{
    uint64_t next = UINT64_MAX;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, quarantine->suspects);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct pgw_suspect *suspect = value;

        next = MIN(next, next_deadline_us(suspect));
        if (suspect->outstanding_io == PGW_IO_NONE &&
            has_work(quarantine, suspect)) {
            next = MIN(next, suspect->retry_us);
        }
        else if (suspect->permit_is_granted && suspect->is_stored) {
            next = MIN(next, suspect->record.run_until_us -
                                 quarantine->options.permit_lease_us / 2);
        }
    }
    return next;
}
