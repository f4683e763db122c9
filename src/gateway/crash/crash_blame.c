#include "gateway/crash/crash_quarantine_internal.h"

/* A part that is quarantined alone has caused its crashes. */
static void
explain_crashes(struct pgw_crash_quarantine *quarantine,
                const struct pgw_crash_record *record, uint64_t now_us)
{
    if (record->is_part && now_us < record->quarantined_until_us &&
        (record->partners == NULL || record->partners->count == 0)) {
        pgw_crash_quarantine__explain(quarantine, record, now_us);
    }
}

/* A trial was interrupted, or its entry has ended without a result. */
void
pgw_crash_blame__fail(struct pgw_crash_quarantine *quarantine,
                      struct pgw_crash_record *record, uint64_t token,
                      uint64_t now_us)
{
    struct pgw_crashed_run report;

    record->trials += !record->is_part;
    report = pgw_crash_suspects__make_report(
        record, PGW_CRASHED_RUN_TRIAL_FAILED, token, 0);
    pgw_crash_trial_end(&record->trial, token);
    pgw_crash_trial_ignore(&record->trial, token);
    record->failed_trial = token;
    if (now_us >= record->quarantined_until_us ||
        pgw_crash_suspects__has_used_trials(quarantine, record)) {
        pgw_crash_quarantine__start(quarantine, record, now_us);
    }
    pgw_crash_suspects__log(record, "failed", token);
    report.left_us = record->quarantined_until_us - now_us;
    report.quarantines = record->quarantine_count;
    pgw_crash_quarantine__publish(quarantine, &report, 1);
    explain_crashes(quarantine, record, now_us);
}

/* Returns the number of records of a part's partners. */
static size_t
find_partners(struct pgw_crash_record **out,
              const struct pgw_crash_quarantine *quarantine,
              const struct pgw_crash_record *record)
{
    size_t count = 0;

    for (size_t i = 0; record->partners != NULL && i < record->partners->count;
         i++) {
        out[count] = pgw_crash_table_find(quarantine->table,
                                          &record->partners->items[i]);
        count += out[count] != NULL;
    }
    return count;
}

/* Ends a quarantine that too few failed trials are left for. */
static void
lift_unproven(const struct pgw_crash_quarantine *quarantine,
              struct pgw_crash_record *record, uint64_t now_us)
{
    struct pgw_crash_record *partners[PGW_CRASH_KEYS_MAX];
    size_t count = find_partners(partners, quarantine, record);

    if (now_us < record->quarantined_until_us &&
        pgw_crash_record_failed_trials(record, partners, count) <
            quarantine->options.part_trials) {
        record->quarantined_until_us = now_us;
        record->quarantine_count--;
        pgw_crash_suspects__log(record, "lifted", record->failed_trial);
    }
}

/*
 * Two entries may send trials of different parts to one upstream at the same
 * moment. Its crash is held against the part that is in more crashes, and
 * against neither if both are in as many: one of them is sound. Returns
 * whether it is held against @record.
 */
static bool
blame_one(const struct pgw_crash_quarantine *quarantine,
          const struct pgw_crash_record *record, uint64_t upstream,
          uint64_t token, uint64_t now_us)
{
    uint32_t crashes =
        pgw_crash_quarantine__suspicions(quarantine, record, now_us);
    bool is_blamed = true;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, pgw_crash_table_records(quarantine->table));
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct pgw_crash_record *other = value;
        struct pgw_recorded_crash *crash =
            pgw_crash_record_find(other, upstream);
        bool has_failed =
            crash != NULL && crash->trial != 0 && crash->trial != token;
        bool runs = other->trial.started && other->trial.token != token &&
                    other->trial.upstream == upstream;
        uint32_t other_crashes;

        if (!other->is_part || (!has_failed && !runs)) {
            continue;
        }
        other_crashes =
            pgw_crash_quarantine__suspicions(quarantine, other, now_us);
        is_blamed = is_blamed && crashes > other_crashes;
        if (has_failed && crashes >= other_crashes) {
            crash->trial = 0;
            lift_unproven(quarantine, other, now_us);
        }
    }
    return is_blamed;
}

/* Holds a failed trial against a part. The report that its run was interrupted
 * may arrive later. */
static void
add_failed_trial(const struct pgw_crash_quarantine *quarantine,
                 struct pgw_crash_record *record, uint64_t upstream,
                 uint64_t token, size_t parts, uint64_t now_us)
{
    struct pgw_recorded_crash *crash = pgw_crash_record_find(record, upstream);

    if (upstream == 0) {
        return;
    }
    if (crash == NULL) {
        crash = pgw_crash_record_add(
            record, upstream, now_us,
            pgw_crash_table_expired_us(quarantine->table, now_us), true);
    }
    if (crash != NULL &&
        blame_one(quarantine, record, upstream, token, now_us)) {
        crash->trial = token;
        crash->trial_parts = (uint32_t)parts;
    }
}

/* A part's trial was interrupted, which proves nothing yet: the upstream may
 * have ended for another reason. */
static void
note_failed_trial(struct pgw_crash_quarantine *quarantine,
                  struct pgw_crash_record *record,
                  const struct pgw_crash_keys *parts, uint64_t token)
{
    struct pgw_crashed_run report = pgw_crash_suspects__make_report(
        record, PGW_CRASHED_RUN_TRIAL_FAILED, token, 0);

    report.partners = parts;
    pgw_crash_trial_end(&record->trial, token);
    pgw_crash_trial_ignore(&record->trial, token);
    pgw_crash_suspects__log(record, "interrupted", token);
    pgw_crash_quarantine__publish(quarantine, &report, 1);
}

static bool
is_proven(const struct pgw_crash_quarantine *quarantine,
          const struct pgw_crash_suspects *parts, size_t index,
          uint64_t now_us)
{
    const struct pgw_crash_quarantine_options *options = &quarantine->options;
    const struct pgw_crash_record *record = parts->items[index];
    struct pgw_crash_record *partners[PGW_CRASH_KEYS_MAX];
    uint32_t trials =
        pgw_completed_parts_has(&quarantine->completed, &record->key)
            ? options->completed_part_trials
            : options->part_trials;
    size_t count = 0;

    for (size_t i = 0; i < parts->count; i++) {
        if (i != index) {
            partners[count++] = parts->items[i];
        }
    }
    return pgw_crash_record_failed_trials(record, partners, count) >= trials &&
           pgw_crash_quarantine__suspicions(quarantine, record, now_us) >=
               options->part_crashes;
}

/*
 * The trial of several parts has failed. Which of them is faulty is not known.
 * So they are quarantined together: a request is refused if it has all of
 * them. One that has only some is a trial of these alone.
 */
void
pgw_crash_blame__fail_parts(struct pgw_crash_quarantine *quarantine,
                            const struct pgw_crash_suspects *parts,
                            uint64_t token, uint64_t now_us)
{
    struct pgw_crash_keys keys = {.count = 0};
    bool any_proven = false;

    for (size_t i = 0; i < parts->count; i++) {
        struct pgw_crash_record *record = parts->items[i];

        keys.items[keys.count++] = record->key;
        add_failed_trial(quarantine, record, record->trial.upstream, token,
                         parts->count, now_us);
    }
    for (size_t i = 0; i < parts->count; i++) {
        any_proven =
            any_proven || is_proven(quarantine, parts, i, now_us) ||
            pgw_crash_suspects__has_used_trials(quarantine, parts->items[i]);
    }
    for (size_t i = 0; i < parts->count; i++) {
        struct pgw_crash_record *record = parts->items[i];

        if (any_proven) {
            pgw_crash_record_set_partners(record, &keys);
            pgw_crash_blame__fail(quarantine, record, token, now_us);
        }
        else {
            note_failed_trial(quarantine, record, &keys, token);
        }
    }
}

/* Number of suspects in the trial; a report may list the part itself. */
static size_t
count_parts(const struct pgw_crash_record *record,
            const struct pgw_crashed_run *report)
{
    if (report->partners == NULL) {
        return 1;
    }
    return report->partners->count +
           !pgw_crash_keys_contain(report->partners, &record->key);
}

/* The run of another entry's trial has failed. */
bool
pgw_crash_blame__merge(struct pgw_crash_quarantine *quarantine,
                       struct pgw_crash_record *record,
                       const struct pgw_crashed_run *report, uint64_t now_us)
{
    uint64_t left_us =
        MIN(report->left_us, quarantine->options.quarantine_max_us);

    if (pgw_crash_trial_has_ended(&record->trial, report->crash)) {
        return false;
    }
    pgw_crash_trial_end(&record->trial, report->crash);
    pgw_crash_trial_ignore(&record->trial, report->crash);
    if (record->is_part) {
        add_failed_trial(quarantine, record, report->upstream, report->crash,
                         count_parts(record, report), now_us);
    }
    if (left_us == 0) {
        return true;
    }
    record->failed_trial = report->crash;
    record->quarantine_count =
        MAX(record->quarantine_count, report->quarantines);
    record->quarantined_until_us =
        MAX(record->quarantined_until_us, now_us + left_us);
    if (record->is_part) {
        pgw_crash_record_set_partners(record, report->partners);
        explain_crashes(quarantine, record, now_us);
    }
    return true;
}

/* A part was cleared: the others of its failed trials are more likely faulty.
 */
static void
leave_trials(const struct pgw_crash_quarantine *quarantine,
             const struct pgw_crash_record *record)
{
    GHashTableIter iter;
    gpointer value;

    for (uint32_t i = 0; i < record->count; i++) {
        const struct pgw_recorded_crash *left = &record->crashes[i];

        if (left->trial == 0 || left->cleared || left->trial_parts < 2) {
            continue;
        }
        g_hash_table_iter_init(&iter,
                               pgw_crash_table_records(quarantine->table));
        while (g_hash_table_iter_next(&iter, NULL, &value)) {
            struct pgw_recorded_crash *crash =
                pgw_crash_record_find(value, left->crash);

            if (crash != NULL && crash != left &&
                crash->trial == left->trial && crash->trial_parts > 1) {
                crash->trial_parts--;
            }
        }
    }
}

void
pgw_crash_blame__release(struct pgw_crash_quarantine *quarantine,
                         const struct pgw_crash_record *record)
{
    leave_trials(quarantine, record);
    for (size_t i = 0; record->partners != NULL && i < record->partners->count;
         i++) {
        struct pgw_crash_record *partner = pgw_crash_table_find(
            quarantine->table, &record->partners->items[i]);

        if (partner != NULL && partner->partners != NULL) {
            pgw_crash_keys_remove(partner->partners, &record->key);
        }
    }
}
