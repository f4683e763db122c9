#include "quarantine_suspect.h"

#include <string.h>

static void
adopt(struct pgw_quarantine *quarantine, struct pgw_suspect *suspect,
      uint64_t version, const char *value, size_t length)
{
    struct pgw_quarantine_record record = {0};

    /* The store may answer with an older version than it gave before. */
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
        suspect->read_wanted = true;
        pgw_suspect__store_failed(quarantine, suspect);
        return;
    }
    suspect->version = version;
    suspect->present = value != NULL;
    suspect->read_wanted = false;
    suspect->record = record;
    pgw_suspect__settle(quarantine, suspect);
}

void
pgw_quarantine_apply(struct pgw_quarantine *quarantine,
                     const struct pgw_fingerprint *fingerprint,
                     uint64_t version, const char *value, size_t length,
                     uint64_t now_us)
{
    struct pgw_suspect *suspect;

    pgw_quarantine__advance(quarantine, now_us);
    suspect = value != NULL
                  ? pgw_quarantine__find_or_add(quarantine, fingerprint)
                  : pgw_quarantine__find(quarantine, fingerprint);
    if (suspect != NULL) {
        adopt(quarantine, suspect, version, value, length);
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
draft_run(const struct pgw_quarantine *quarantine, struct pgw_suspect *suspect,
          struct pgw_list *link)
{
    struct pgw_quarantine_record *draft = &suspect->draft;

    suspect->runner =
        pgw_container_of(link, struct pgw_suspect_waiter, link)->ticket;
    draft->run_owner = quarantine->options.owner;
    draft->run_permit = pgw_suspect__permit(quarantine, suspect->runner);
    draft->run_until_us = quarantine->now_us + quarantine->options.run_us;
}

static bool
must_renew(const struct pgw_quarantine *quarantine,
           const struct pgw_suspect *suspect)
{
    return suspect->running && suspect->present &&
           suspect->record.run_owner == quarantine->options.owner &&
           quarantine->now_us + quarantine->options.run_us / 2 >=
               suspect->record.run_until_us;
}

/* From when on a permit may be given to a request that waits. */
static uint64_t
permit_time(const struct pgw_quarantine *quarantine,
            const struct pgw_suspect *suspect)
{
#ifdef PGW_DISABLE_QUARANTINE_SPREAD
    return 0;
#else
    return suspect->record.changed_us + quarantine->options.propagation_us;
#endif
}

/* The value that the store should hold, and who is to get the permit. */
static void
make_draft(struct pgw_quarantine *quarantine, struct pgw_suspect *suspect)
{
    struct pgw_quarantine_record *draft = &suspect->draft;
    struct pgw_list *first = pgw_list_first(&suspect->waiters);
    struct pgw_list *run = pgw_list_first(&suspect->runs);

    *draft = pgw_suspect__effective(quarantine, suspect);
    if (must_renew(quarantine, suspect) && draft->run_owner != 0) {
        draft->run_until_us = quarantine->now_us + quarantine->options.run_us;
    }
    if (suspect->running || draft->run_owner != 0 ||
        draft->crash_count != PGW_QUARANTINE_CRASHES - 1) {
        return;
    }
    /*
     * Failure: two copies run when the first crashes its upstream. Symptom:
     * the first is sent again, crashes a second one, and the copy a third. A
     * copy that runs already takes the permit as soon as its process hears of
     * the record, and nobody else gets it before all had time to hear.
     */
    if (run != NULL) {
        draft_run(quarantine, suspect, run);
    }
    else if (first != NULL &&
             quarantine->now_us >= permit_time(quarantine, suspect)) {
        draft_run(quarantine, suspect, first);
    }
}

static bool
take_io(struct pgw_io *out, struct pgw_quarantine *quarantine,
        struct pgw_suspect *suspect)
{
    bool waits = !pgw_list_is_empty(&suspect->waiters);

    if (suspect->read_wanted) {
        out->kind = PGW_IO_READ;
        return true;
    }
    make_draft(quarantine, suspect);
    out->expected_version = suspect->present ? suspect->version : 0;
    if (suspect->cleared && suspect->present &&
        suspect->draft.crash_count < PGW_QUARANTINE_CRASHES) {
        out->kind = PGW_IO_DELETE;
        return true;
    }
    if (suspect->draft.crash_count > 0 &&
        (!suspect->present ||
         records_differ(&suspect->draft, &suspect->record))) {
        out->kind = PGW_IO_WRITE;
        out->value = pgw_quarantine_record_print(&suspect->draft);
        out->length = strlen(out->value);
        return true;
    }
    suspect->cleared = false;
    if (waits && quarantine->now_us < permit_time(quarantine, suspect)) {
        suspect->retry_us = permit_time(quarantine, suspect);
        return false;
    }
    if (waits) {
        /* Another process holds the permit: look again after a while. */
        out->kind = PGW_IO_READ;
        suspect->retry_us = quarantine->now_us + quarantine->options.poll_us;
    }
    return waits;
}

static bool
has_new_crash(const struct pgw_suspect *suspect)
{
    pgw_list_foreach (link, &suspect->crashes) {
        if (!pgw_container_of(link, struct pgw_suspect_crash, link)->stands) {
            return true;
        }
    }
    return false;
}

/* A run from before the suspicion that should hold the permit. */
static bool
has_bare_run(const struct pgw_suspect *suspect)
{
    return !pgw_list_is_empty(&suspect->runs) && suspect->present &&
           !suspect->running && suspect->record.run_owner == 0 &&
           suspect->record.crash_count == PGW_QUARANTINE_CRASHES - 1;
}

/* Only a process with something to do writes; the others just know. */
static bool
has_work(const struct pgw_quarantine *quarantine,
         const struct pgw_suspect *suspect)
{
    return suspect->read_wanted || suspect->cleared ||
           !pgw_list_is_empty(&suspect->waiters) || has_new_crash(suspect) ||
           has_bare_run(suspect) || must_renew(quarantine, suspect) ||
           (suspect->present && suspect->runner == 0 &&
            suspect->record.run_owner == quarantine->options.owner);
}

bool
pgw_quarantine_next_io(struct pgw_io *out, struct pgw_fingerprint *fingerprint,
                       struct pgw_quarantine *quarantine, uint64_t now_us)
{
    GHashTableIter iter;
    gpointer value;

    *out = (struct pgw_io){.kind = PGW_IO_NONE};
    pgw_quarantine__advance(quarantine, now_us);
    g_hash_table_iter_init(&iter, quarantine->suspects);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct pgw_suspect *suspect = value;

        pgw_suspect__tell(quarantine, suspect);
        if (pgw_suspect__is_idle(suspect)) {
            g_hash_table_iter_remove(&iter);
            continue;
        }
        if (suspect->outstanding == PGW_IO_NONE &&
            quarantine->now_us >= suspect->retry_us &&
            has_work(quarantine, suspect) &&
            take_io(out, quarantine, suspect)) {
            suspect->outstanding = out->kind;
            *fingerprint = suspect->fingerprint;
            return true;
        }
    }
    return false;
}

static void
store_failed(struct pgw_quarantine *quarantine, struct pgw_suspect *suspect)
{
    suspect->retry_us = quarantine->now_us + quarantine->options.backoff_us;
    pgw_suspect__store_failed(quarantine, suspect);
}

static void
written(struct pgw_quarantine *quarantine, struct pgw_suspect *suspect,
        enum pgw_io_kind kind, uint64_t version)
{
    suspect->present = kind == PGW_IO_WRITE;
    suspect->version = MAX(version, suspect->version);
    suspect->record =
        suspect->present ? suspect->draft : (struct pgw_quarantine_record){0};
    pgw_suspect__settle(quarantine, suspect);
}

static void
conflicted(struct pgw_quarantine *quarantine, struct pgw_suspect *suspect,
           const struct pgw_io_reply *reply)
{
    suspect->read_wanted = true;
    if (reply->value != NULL) {
        adopt(quarantine, suspect, reply->version, reply->value,
              reply->length);
    }
}

static void
missing(struct pgw_quarantine *quarantine, struct pgw_suspect *suspect)
{
    suspect->present = false;
    suspect->read_wanted = false;
    pgw_suspect__settle(quarantine, suspect);
}

void
pgw_quarantine_io_done(struct pgw_quarantine *quarantine,
                       const struct pgw_fingerprint *fingerprint,
                       const struct pgw_io_reply *reply, uint64_t now_us)
{
    struct pgw_suspect *suspect =
        pgw_quarantine__find(quarantine, fingerprint);
    enum pgw_io_kind kind;

    pgw_quarantine__advance(quarantine, now_us);
    if (suspect == NULL) {
        return;
    }
    kind = suspect->outstanding;
    suspect->outstanding = PGW_IO_NONE;
    switch (reply->result) {
    case PGW_IO_OK:
        if (kind == PGW_IO_READ) {
            adopt(quarantine, suspect, reply->version, reply->value,
                  reply->length);
        }
        else {
            written(quarantine, suspect, kind, reply->version);
        }
        break;
    case PGW_IO_MISSING:
        missing(quarantine, suspect);
        break;
    case PGW_IO_CONFLICT:
        conflicted(quarantine, suspect, reply);
        break;
    case PGW_IO_UNKNOWN:
        /* What stands is read back: it names the permit and the crashes. */
        suspect->read_wanted = true;
        if (kind == PGW_IO_READ) {
            store_failed(quarantine, suspect);
        }
        break;
    case PGW_IO_THROTTLED:
        suspect->retry_us =
            quarantine->now_us + quarantine->options.backoff_us;
        break;
    case PGW_IO_UNAVAILABLE:
        store_failed(quarantine, suspect);
        break;
    }
    pgw_quarantine__drop_if_idle(quarantine, suspect);
}

static uint64_t
next_tell(const struct pgw_suspect *suspect)
{
    uint64_t next = UINT64_MAX;

    pgw_list_foreach (link, &suspect->crashes) {
        const struct pgw_suspect_crash *crash =
            pgw_container_of(link, struct pgw_suspect_crash, link);

        if (crash->ticket != 0) {
            next =
                MIN(next, crash->stands ? crash->told_us : crash->patience_us);
        }
    }
    pgw_list_foreach (waiting, &suspect->waiters) {
        next = MIN(next,
                   pgw_container_of(waiting, struct pgw_suspect_waiter, link)
                       ->until_us);
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

        next = MIN(next, next_tell(suspect));
        if (suspect->outstanding == PGW_IO_NONE &&
            has_work(quarantine, suspect)) {
            next = MIN(next, suspect->retry_us);
        }
        else if (suspect->running && suspect->present) {
            next = MIN(next, suspect->record.run_until_us -
                                 quarantine->options.run_us / 2);
        }
    }
    return next;
}
