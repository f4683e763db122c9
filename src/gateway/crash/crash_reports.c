#include "gateway/crash/crash_quarantine_internal.h"

/* Returns whether the report is new. */
static bool
merge_interrupted_request(struct pgw_crash_quarantine *quarantine,
                          const struct pgw_crashed_run *report, uint64_t at_us,
                          uint64_t now_us)
{
    uint64_t expired_us =
        pgw_crash_table_expired_us(quarantine->table, now_us);
    struct pgw_crash_record *record;
    struct pgw_recorded_crash *known;

    if (at_us <= expired_us) {
        return false;
    }
    record = pgw_crash_table_get(quarantine->table, &report->fingerprint,
                                 false, now_us);
    known = record == NULL
                ? NULL
                : pgw_crash_record_find_interrupted(record, report->crash);
    if (record == NULL || known != NULL) {
        if (known != NULL) {
            known->reach = PGW_CRASH_REACH_ALL;
        }
        return false;
    }
    known =
        pgw_crash_record_add(record, report->crash, at_us, expired_us, false);
    if (known == NULL) {
        return false;
    }
    known->reach = PGW_CRASH_REACH_ALL;
    return true;
}

/* Adds another entry's report of a part, and passes it on if it is new. */
static void
merge_part(struct pgw_crash_quarantine *quarantine,
           const struct pgw_crashed_run *report, uint64_t at_us,
           uint64_t now_us)
{
    uint64_t expired_us =
        pgw_crash_table_expired_us(quarantine->table, now_us);
    bool is_confirmed =
        report->kind == PGW_CRASHED_RUN_CRASHED ||
        pgw_crash_quarantine__has_crashed(quarantine, report->crash);
    struct pgw_crash_record *record;
    struct pgw_recorded_crash *known;

    if (!is_confirmed && at_us <= expired_us) {
        return;
    }
    record = pgw_crash_table_get(quarantine->table, &report->fingerprint, true,
                                 now_us);
    if (record == NULL) {
        return;
    }
    if (report->has_completed) {
        pgw_completed_parts_add_part(&quarantine->completed,
                                     &report->fingerprint);
    }
    known = pgw_crash_record_find_interrupted(record, report->crash);
    if (known == NULL && !pgw_crash_quarantine__is_explained(
                             quarantine, record, report->crash, now_us)) {
        known = pgw_crash_record_add(record, report->crash, at_us, expired_us,
                                     false);
    }
    if (known == NULL || known->cleared) {
        return;
    }
    if (is_confirmed && !known->confirmed) {
        pgw_crash_quarantine__confirm_part(quarantine, record, known, "entry",
                                           now_us);
    }
    if (report->seeds_only) {
        pgw_crash_quarantine__share(quarantine, record, report->hops + 1,
                                    now_us);
    }
    else if (known->reach != PGW_CRASH_REACH_ALL) {
        struct pgw_crashed_run copy = *report;

        copy.hops++;
        copy.has_completed = pgw_completed_parts_has(&quarantine->completed,
                                                     &report->fingerprint);
        known->reach = PGW_CRASH_REACH_ALL;
        if (copy.hops <= PGW_CRASH_HOPS_MAX) {
            pgw_crash_quarantine__publish(quarantine, &copy, 1);
        }
    }
}

static bool
merge_crash(struct pgw_crash_quarantine *quarantine,
            const struct pgw_crashed_run *report, uint64_t at_us,
            uint64_t now_us)
{
    struct pgw_crash_record *record = pgw_crash_table_get(
        quarantine->table, &report->fingerprint, false, now_us);
    bool is_new =
        record != NULL &&
        pgw_crash_quarantine__count(quarantine, record, report->crash,
                                    report->abandoned, "entry", at_us, now_us);

    /* Confirms this entry's own unfinished runs at that upstream. An entry
     * that connects receives reports of older crashes, too. An upstream ran
     * until it interrupted a run; how long it ran after one was abandoned is
     * not known. */
    if (at_us > pgw_crash_table_expired_us(quarantine->table, now_us)) {
        pgw_crash_quarantine__add_crash(quarantine, report->crash, NULL,
                                        report->abandoned ? 0 : at_us, false,
                                        PGW_CRASH_HOPS_MAX + 1, now_us);
    }
    return is_new;
}

/* Returns whether the report is new, and is passed on as it is. */
static bool
merge_one(struct pgw_crash_quarantine *quarantine,
          struct pgw_crashed_run *report, uint64_t now_us)
{
    uint64_t at_us = now_us - MIN(report->age_us, now_us);
    enum pgw_crash_reach reach;

    switch (report->kind) {
    case PGW_CRASHED_RUN_CRASHED:
        if (report->crash == 0) {
            reach = pgw_crash_quarantine__clear_record(quarantine,
                                                       &report->fingerprint);
            report->seeds_only = reach == PGW_CRASH_REACH_SEEDS;
            return reach != PGW_CRASH_REACH_NONE;
        }
        if (!report->is_part) {
            return merge_crash(quarantine, report, at_us, now_us);
        }
        merge_part(quarantine, report, at_us, now_us);
        return false;
    case PGW_CRASHED_RUN_INTERRUPTED:
        if (!report->is_part) {
            return merge_interrupted_request(quarantine, report, at_us,
                                             now_us);
        }
        merge_part(quarantine, report, at_us, now_us);
        return false;
    case PGW_CRASHED_RUN_UPSTREAM:
        pgw_crash_quarantine__add_crash(quarantine, report->crash, NULL,
                                        report->age_us == 0 ? 0 : at_us, false,
                                        report->hops + 1, now_us);
        return false;
    default:
        return pgw_crash_suspects__merge(quarantine, report, now_us);
    }
}

void
pgw_crash_quarantine_merge(struct pgw_crash_quarantine *quarantine,
                           const struct pgw_crashed_run *crashed, size_t count,
                           uint64_t now_us)
{
    pgw_crash_quarantine__drop_crashed(quarantine, now_us);
    for (size_t i = 0; i < count; i++) {
        struct pgw_crashed_run report = crashed[i];
        bool is_new = merge_one(quarantine, &report, now_us);

        report.hops++;
        /*
         * Failure: reports of several trials cross each other, and each makes
         * the others look new. Symptom: entries send them to each other for
         * ever, until they are out of memory. A report is passed on a limited
         * number of times; only crashes and completed runs of whole requests
         * are known for good.
         */
        if (is_new &&
            (report.hops <= PGW_CRASH_HOPS_MAX ||
             (report.kind == PGW_CRASHED_RUN_CRASHED && !report.is_part))) {
            pgw_crash_quarantine__publish(quarantine, &report, 1);
        }
    }
}

/* Whether a crash is to be sent to an entry that connects. */
static bool
is_listed(const struct pgw_crash_record *record,
          const struct pgw_recorded_crash *crash, uint64_t expired_us)
{
    if (crash->cleared || (!crash->confirmed &&
                           (crash->abandoned || crash->at_us <= expired_us))) {
        return false;
    }
    return record->is_part
               ? crash->reach == PGW_CRASH_REACH_ALL
               : crash->confirmed || crash->reach == PGW_CRASH_REACH_ALL;
}

/* @confirmed_min: records with fewer confirmed crashes are left out */
static GArray *
list_crashes(const struct pgw_crash_quarantine *quarantine,
             uint32_t confirmed_min, uint64_t now_us)
{
    uint64_t expired_us =
        pgw_crash_table_expired_us(quarantine->table, now_us);
    GArray *crashed =
        g_array_new(FALSE, FALSE, sizeof(struct pgw_crashed_run));
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, pgw_crash_table_records(quarantine->table));
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct pgw_crash_record *record = value;

        if (pgw_crash_record_confirmed(record) < confirmed_min) {
            continue;
        }
        for (uint32_t i = 0; i < record->count; i++) {
            struct pgw_crashed_run item = pgw_crash_quarantine__make_report(
                quarantine, record, &record->crashes[i], now_us);

            if (is_listed(record, &record->crashes[i], expired_us)) {
                g_array_append_val(crashed, item);
            }
        }
        pgw_crash_suspects__list(crashed, record, now_us);
    }
    return crashed;
}

GArray *
pgw_crash_quarantine_list(const struct pgw_crash_quarantine *quarantine,
                          uint64_t now_us)
{
    return list_crashes(quarantine, 0, now_us);
}

GArray *
pgw_crash_quarantine_list_suspects(
    const struct pgw_crash_quarantine *quarantine, uint64_t now_us)
{
    return list_crashes(quarantine, quarantine->options.crashes, now_us);
}
