#include "gateway/crash/crash_record.h"
#include <glib.h>
#include <string.h>

/* Reports between entries arrive within this time. */
#define LATE_US 1000000

void
pgw_crash_record_free(struct pgw_crash_record *record)
{
    g_free(record->partners);
    g_free(record);
}

static bool
counts(const struct pgw_recorded_crash *crash, uint64_t expired_us)
{
    return !crash->cleared &&
           (crash->confirmed ||
            (!crash->abandoned && crash->at_us > expired_us));
}

struct pgw_recorded_crash *
pgw_crash_record_find(struct pgw_crash_record *record, uint64_t crash)
{
    for (uint32_t i = 0; i < record->count; i++) {
        if (record->crashes[i].crash == crash) {
            return &record->crashes[i];
        }
    }
    return NULL;
}

struct pgw_recorded_crash *
pgw_crash_record_find_interrupted(struct pgw_crash_record *record,
                                  uint64_t crash)
{
    struct pgw_recorded_crash *known = pgw_crash_record_find(record, crash);

    if (known == NULL || !known->abandoned || known->confirmed ||
        known->cleared) {
        return known;
    }
    pgw_crash_record_remove(record, known);
    return NULL;
}

void
pgw_crash_record_remove(struct pgw_crash_record *record,
                        struct pgw_recorded_crash *crash)
{
    size_t index = (size_t)(crash - record->crashes);

    record->count--;
    memmove(crash, crash + 1, (record->count - index) * sizeof(*crash));
}

/* Returns the crash to be replaced: the oldest run that was abandoned and is
 * not known to have crashed its upstream; or the oldest crash that does not
 * count and of which no report is on its way, as that would look new; or the
 * oldest one that interrupted no trial, or the oldest one. */
static struct pgw_recorded_crash *
find_replaceable(struct pgw_crash_record *record, uint64_t at_us,
                 uint64_t expired_us, bool replaces_oldest)
{
    for (uint32_t i = 0; i < record->count; i++) {
        if (record->crashes[i].abandoned && !record->crashes[i].confirmed) {
            return &record->crashes[i];
        }
    }
    for (uint32_t i = 0; i < record->count; i++) {
        if (!counts(&record->crashes[i], expired_us) &&
            record->crashes[i].at_us + LATE_US <= at_us) {
            return &record->crashes[i];
        }
    }
    for (uint32_t i = 0; i < record->count && replaces_oldest; i++) {
        if (record->crashes[i].trial == 0) {
            return &record->crashes[i];
        }
    }
    return replaces_oldest ? &record->crashes[0] : NULL;
}

struct pgw_recorded_crash *
pgw_crash_record_add(struct pgw_crash_record *record, uint64_t crash,
                     uint64_t at_us, uint64_t expired_us, bool replaces_oldest)
{
    struct pgw_recorded_crash *added;

    if (record->count == PGW_CRASH_RECORD_MAX) {
        added = find_replaceable(record, at_us, expired_us, replaces_oldest);
        if (added == NULL) {
            return NULL;
        }
        pgw_crash_record_remove(record, added);
    }
    added = &record->crashes[record->count++];
    *added = (struct pgw_recorded_crash){.crash = crash, .at_us = at_us};
    record->last_us = MAX(record->last_us, at_us);
    return added;
}

uint32_t
pgw_crash_record_confirmed(const struct pgw_crash_record *record)
{
    return pgw_crash_record_suspicions(record, UINT64_MAX);
}

uint32_t
pgw_crash_record_suspicions(const struct pgw_crash_record *record,
                            uint64_t expired_us)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < record->count; i++) {
        count += counts(&record->crashes[i], expired_us);
    }
    return count;
}

static bool
has_trial(const struct pgw_crash_record *record, uint64_t trial)
{
    for (uint32_t i = 0; i < record->count; i++) {
        if (record->crashes[i].trial == trial && !record->crashes[i].cleared) {
            return true;
        }
    }
    return false;
}

uint32_t
pgw_crash_record_failed_trials(const struct pgw_crash_record *record,
                               struct pgw_crash_record *const *partners,
                               size_t partner_count)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < record->count; i++) {
        const struct pgw_recorded_crash *crash = &record->crashes[i];
        bool is_of_all = partner_count > 0 || crash->trial_parts == 1;

        for (size_t j = 0; j < partner_count && crash->trial_parts > 1; j++) {
            is_of_all = is_of_all && has_trial(partners[j], crash->trial);
        }
        count += crash->trial != 0 && !crash->cleared && is_of_all;
    }
    return count;
}

uint32_t
pgw_crash_record_trials(const struct pgw_crash_record *record)
{
    uint32_t trials = record->trials;

    for (uint32_t i = 0; i < record->count && record->is_part; i++) {
        trials += record->crashes[i].trial != 0 && !record->crashes[i].cleared;
    }
    return trials;
}

uint32_t
pgw_crash_record_uncompleted(const struct pgw_crash_record *record)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < record->count; i++) {
        const struct pgw_recorded_crash *crash = &record->crashes[i];

        count += crash->confirmed && (!crash->cleared || crash->explained);
    }
    return count;
}

void
pgw_crash_record_explain(struct pgw_crash_record *record,
                         const struct pgw_crash_record *faulty)
{
    struct pgw_recorded_crash *shared[PGW_CRASH_RECORD_MAX];
    uint32_t shared_count = 0;
    uint32_t faulty_count = 0;

    for (uint32_t i = 0; i < faulty->count; i++) {
        struct pgw_recorded_crash *known;

        if (faulty->crashes[i].cleared) {
            continue;
        }
        faulty_count++;
        known = pgw_crash_record_find(record, faulty->crashes[i].crash);
        if (known != NULL && !known->cleared) {
            shared[shared_count++] = known;
        }
    }
    for (uint32_t i = 0; i < shared_count && shared_count < faulty_count;
         i++) {
        shared[i]->cleared = true;
        shared[i]->explained = true;
    }
}

static bool
is_one_moment(uint64_t a_us, uint64_t b_us, uint64_t gap_us)
{
    return (a_us > b_us ? a_us - b_us : b_us - a_us) < gap_us;
}

bool
pgw_crash_record_is_near(const struct pgw_crash_record *record, uint64_t at_us,
                         uint64_t gap_us)
{
    for (uint32_t i = 0; i < record->count; i++) {
        if (counts(&record->crashes[i], UINT64_MAX) &&
            is_one_moment(record->crashes[i].at_us, at_us, gap_us)) {
            return true;
        }
    }
    return false;
}

uint32_t
pgw_crash_record_moments(const struct pgw_crash_record *record,
                         uint64_t gap_us)
{
    uint64_t moments_us[PGW_CRASH_RECORD_MAX];
    uint32_t count = 0;

    for (uint32_t i = 0; i < record->count; i++) {
        uint64_t at_us = record->crashes[i].at_us;
        uint32_t known = 0;

        if (!counts(&record->crashes[i], UINT64_MAX) ||
            record->crashes[i].abandoned) {
            continue;
        }
        while (known < count &&
               !is_one_moment(moments_us[known], at_us, gap_us)) {
            known++;
        }
        if (known == count) {
            moments_us[count++] = at_us;
        }
    }
    return count;
}

enum pgw_crash_reach
pgw_crash_record_reach(const struct pgw_crash_record *record)
{
    enum pgw_crash_reach reach = PGW_CRASH_REACH_NONE;

    for (uint32_t i = 0; i < record->count; i++) {
        if (!record->crashes[i].cleared) {
            reach = MAX(reach, record->crashes[i].reach);
        }
    }
    return reach;
}

void
pgw_crash_record_clear(struct pgw_crash_record *record)
{
    for (uint32_t i = 0; i < record->count; i++) {
        record->crashes[i].cleared = true;
        record->crashes[i].explained = false;
    }
    record->trials = 0;
    record->next_trial_us = 0;
    record->unproven_trial = 0;
    record->quarantine_count = 0;
    record->quarantined_until_us = 0;
    record->failed_trial = 0;
    if (record->trial.token != 0) {
        pgw_crash_trial_end(&record->trial, record->trial.token);
    }
    g_clear_pointer(&record->partners, g_free);
}

void
pgw_crash_record_set_partners(struct pgw_crash_record *record,
                              const struct pgw_crash_keys *partners)
{
    struct pgw_crash_keys *copy = NULL;

    if (partners != NULL) {
        copy = g_new(struct pgw_crash_keys, 1);
        *copy = *partners;
        pgw_crash_keys_remove(copy, &record->key);
    }
    g_free(record->partners);
    record->partners = copy;
}
