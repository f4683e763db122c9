#ifndef PGW_GATEWAY_CRASH_CRASH_RECORD_H
#define PGW_GATEWAY_CRASH_CRASH_RECORD_H

#include "gateway/crash/crash_keys.h"
#include "gateway/crash/crash_trial.h"

/**
 * DOC: Crashes in which one key was running
 *
 * A run whose connection broke may have crashed its upstream. It counts as a
 * suspicion until the crash is confirmed, or until it is too old to be matched
 * with one. A completed run clears the crashes counted so far; they are kept,
 * so that reports of them that arrive late do not look new.
 *
 * A run that its entry has abandoned goes on at the upstream for a moment, and
 * is most likely only slow. It counts from the confirmation of a crash on.
 */

/* Maximum number of crashes kept in a record, cleared ones included. */
#define PGW_CRASH_RECORD_MAX 8

/**
 * enum pgw_crash_reach - entries that a crash was reported to
 * @PGW_CRASH_REACH_NONE: this one only
 * @PGW_CRASH_REACH_SEEDS: the seeds
 * @PGW_CRASH_REACH_ALL: all
 */
enum pgw_crash_reach {
    PGW_CRASH_REACH_NONE,
    PGW_CRASH_REACH_SEEDS,
    PGW_CRASH_REACH_ALL,
};

/**
 * struct pgw_recorded_crash - an upstream that crashed, or may have crashed,
 * while it ran the key
 * @crash: hash of the upstream's incarnation
 * @at_us: when the run was interrupted or abandoned
 * @abandoned: its entry closed the connection, so that the time of the crash
 *   is known only roughly
 * @confirmed: the upstream's process has ended
 * @cleared: a run of the key has completed since, or the crash has another
 *   cause
 * @explained: it has another cause
 * @trial: token of the key's trial that it interrupted, 0: none
 * @trial_parts: number of parts that were suspects in that trial and have not
 *   been cleared since
 * @reach: entries that it was reported to
 */
struct pgw_recorded_crash {
    uint64_t crash;
    uint64_t at_us;
    bool abandoned;
    bool confirmed;
    bool cleared;
    bool explained;
    uint64_t trial;
    uint32_t trial_parts;
    enum pgw_crash_reach reach;
};

/**
 * struct pgw_crash_record - a key and the crashes in which it was running
 * @key: fingerprint of a request or a prompt part
 * @is_part: it is a prompt part
 * @crashes: the last crashes
 * @count: number of @crashes
 * @last_us: time of the last crash
 * @trials: number of trials since the last completed run that have ended
 *   otherwise; of a part, those that have not failed
 * @next_trial_us: no trial starts before
 * @unproven_trial: token of the trial after which others wait until then
 * @quarantine_count: how often the key was quarantined
 * @quarantined_until_us: end of the last quarantine
 * @failed_trial: token of the trial that started it, 0: none did
 * @partners: parts that were suspects in the same trial, and of which none is
 *   cleared yet; a request is refused if it has all of them; NULL: none
 * @trial: current trial
 */
struct pgw_crash_record {
    struct pgw_fingerprint key;
    bool is_part;
    struct pgw_recorded_crash crashes[PGW_CRASH_RECORD_MAX];
    uint32_t count;
    uint64_t last_us;
    uint32_t trials;
    uint64_t next_trial_us;
    uint64_t unproven_trial;
    uint32_t quarantine_count;
    uint64_t quarantined_until_us;
    uint64_t failed_trial;
    struct pgw_crash_keys *partners;
    struct pgw_crash_trial trial;
};

void pgw_crash_record_free(struct pgw_crash_record *record);

/** pgw_crash_record_find() - crash of an incarnation, NULL: none is kept */
struct pgw_recorded_crash *
pgw_crash_record_find(struct pgw_crash_record *record, uint64_t crash);

/** pgw_crash_record_find_interrupted() - the same for a run that was
 * interrupted there, which replaces one that was only abandoned */
struct pgw_recorded_crash *
pgw_crash_record_find_interrupted(struct pgw_crash_record *record,
                                  uint64_t crash);

/** pgw_crash_record_remove() - remove a crash that was found */
void pgw_crash_record_remove(struct pgw_crash_record *record,
                             struct pgw_recorded_crash *crash);

/**
 * pgw_crash_record_add() - add a crash that is not confirmed
 * @record: the record
 * @crash: hash of the incarnation
 * @at_us: when the run was interrupted
 * @expired_us: unconfirmed crashes up to this time count no longer
 * @replaces_oldest: if all that are kept count, the oldest one makes room
 *
 * Return: the crash, NULL if there is no room.
 */
struct pgw_recorded_crash *
pgw_crash_record_add(struct pgw_crash_record *record, uint64_t crash,
                     uint64_t at_us, uint64_t expired_us,
                     bool replaces_oldest);

/** pgw_crash_record_confirmed() - number of confirmed crashes that count */
uint32_t pgw_crash_record_confirmed(const struct pgw_crash_record *record);

/** pgw_crash_record_suspicions() - number of crashes that count, confirmed or
 * later than @expired_us */
uint32_t pgw_crash_record_suspicions(const struct pgw_crash_record *record,
                                     uint64_t expired_us);

/**
 * pgw_crash_record_failed_trials() - number of failed trials that speak
 * against a part
 * @record: the part's record
 * @partners: records of other parts that may be to blame instead
 * @partner_count: number of @partners
 *
 * Those of the part alone, and of the part together with all @partners.
 */
uint32_t
pgw_crash_record_failed_trials(const struct pgw_crash_record *record,
                               struct pgw_crash_record *const *partners,
                               size_t partner_count);

/** pgw_crash_record_trials() - number of trials since the last completed run
 * that have ended otherwise, failed or not */
uint32_t pgw_crash_record_trials(const struct pgw_crash_record *record);

/** pgw_crash_record_uncompleted() - number of crashes since the last completed
 * run, also those with another cause */
uint32_t pgw_crash_record_uncompleted(const struct pgw_crash_record *record);

/**
 * pgw_crash_record_explain() - clear crashes that another key has caused
 * @record: a record with the same crashes, and perhaps others
 * @faulty: record of the key that was found faulty
 *
 * Nothing is cleared if all crashes of @faulty are crashes of @record, too:
 * then the cause may be either.
 */
void pgw_crash_record_explain(struct pgw_crash_record *record,
                              const struct pgw_crash_record *faulty);

/** pgw_crash_record_moments() - number of moments, at least @gap_us apart, at
 * which the confirmed crashes happened; those after abandoned runs are left
 * out */
uint32_t pgw_crash_record_moments(const struct pgw_crash_record *record,
                                  uint64_t gap_us);

/** pgw_crash_record_is_near() - whether a confirmed crash that counts is less
 * than @gap_us apart from a time */
bool pgw_crash_record_is_near(const struct pgw_crash_record *record,
                              uint64_t at_us, uint64_t gap_us);

/** pgw_crash_record_reach() - entries that know of a crash that counts */
enum pgw_crash_reach
pgw_crash_record_reach(const struct pgw_crash_record *record);

/** pgw_crash_record_clear() - a run of the key has completed */
void pgw_crash_record_clear(struct pgw_crash_record *record);

/** pgw_crash_record_set_partners() - replace the parts that were suspects in
 * the same trial, NULL: none; the key itself is left out */
void pgw_crash_record_set_partners(struct pgw_crash_record *record,
                                   const struct pgw_crash_keys *partners);

#endif
