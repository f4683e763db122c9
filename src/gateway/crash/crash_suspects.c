#include "gateway/crash/crash_quarantine_internal.h"
#include "parsleygw/place.h"
#include "util/log.h"

/* Bits of a claim's token that are random; the rest is the number of suspects,
 * so that of several requests the one with the fewest runs first. */
#define TOKEN_RANDOM_BITS 56
/* A trial whose result is later than this has failed with its entry. */
#define RESULT_LATE_US 2000000

/* Adds the records that a trial holds. */
static void
find_held(struct pgw_crash_suspects *out,
          const struct pgw_crash_quarantine *quarantine,
          const struct pgw_crash_keys *keys, uint64_t trial)
{
    out->count = 0;
    for (size_t i = 0; i < keys->count && trial != 0; i++) {
        struct pgw_crash_record *record =
            pgw_crash_table_find(quarantine->table, &keys->items[i]);

        if (record != NULL && record->trial.token == trial) {
            out->items[out->count++] = record;
        }
    }
}

void
pgw_crash_suspects__log(const struct pgw_crash_record *record,
                        const char *state, uint64_t token)
{
    char name[PGW_FINGERPRINT_HEX];

    pgw_fingerprint_print(name, &record->key);
    pgw_log_info("poison_trial",
                 "fingerprint=%s part=%d trial=%016" G_GINT64_MODIFIER
                 "x state=%s crashes=%u with=%zu",
                 name, (int)record->is_part, token, state,
                 pgw_crash_record_confirmed(record),
                 record->partners == NULL ? 0 : record->partners->count);
}

struct pgw_crashed_run
pgw_crash_suspects__make_report(const struct pgw_crash_record *record,
                                enum pgw_crashed_run_kind kind, uint64_t token,
                                uint64_t left_us)
{
    struct pgw_crashed_run report = {
        .fingerprint = record->key,
        .is_part = record->is_part,
        .crash = token,
        .kind = kind,
        .left_us = left_us,
        .quarantines = record->quarantine_count,
        .trials = record->trials,
        .upstream = kind == PGW_CRASHED_RUN_TRIAL_CLAIMED
                        ? record->trial.pool
                        : record->trial.upstream,
    };

    if (kind == PGW_CRASHED_RUN_TRIAL_FAILED) {
        report.partners = record->partners;
    }
    return report;
}

static void
publish_trial(const struct pgw_crash_quarantine *quarantine,
              const struct pgw_crash_record *record,
              enum pgw_crashed_run_kind kind, uint64_t token, uint64_t left_us)
{
    struct pgw_crashed_run report =
        pgw_crash_suspects__make_report(record, kind, token, left_us);

    pgw_crash_quarantine__publish(quarantine, &report, 1);
}

static void
withdraw(struct pgw_crash_quarantine *quarantine,
         struct pgw_crash_record *record, uint64_t token)
{
    if (pgw_crash_trial_end(&record->trial, token)) {
        pgw_crash_suspects__log(record, "ended", token);
        publish_trial(quarantine, record, PGW_CRASHED_RUN_TRIAL_ENDED, token,
                      0);
    }
}

/* All requests may share a part, and engines refuse trials of it for reasons
 * of their own. So the trials of a part are bounded only where the part is
 * most likely faulty. */
static bool
is_bounded(const struct pgw_crash_quarantine *quarantine,
           const struct pgw_crash_record *record)
{
    return !record->is_part ||
           (!pgw_completed_parts_has(&quarantine->completed, &record->key) &&
            pgw_crash_record_uncompleted(record) >=
                quarantine->options.part_crashes);
}

bool
pgw_crash_suspects__has_used_trials(
    const struct pgw_crash_quarantine *quarantine,
    const struct pgw_crash_record *record)
{
    return record->trials > 0 && is_bounded(quarantine, record) &&
           pgw_crash_record_trials(record) >= PGW_CRASH_TRIALS_MAX;
}

static uint64_t
unproven_wait_us(const struct pgw_crash_quarantine *quarantine,
                 const struct pgw_crash_record *record)
{
    uint32_t trials =
        MIN(pgw_crash_record_trials(record), PGW_CRASH_TRIALS_MAX);

    return quarantine->options.unproven_wait_us[trials - 1];
}

/*
 * Failure: a request that crashes upstreams is refused by a full one, or gets
 * an error of the upstream's own. Symptom: trials without a result follow each
 * other as fast as callers send the request. The next one waits, at all
 * entries, and the number of trials is bounded.
 */
static void
end_unproven(struct pgw_crash_quarantine *quarantine,
             struct pgw_crash_record *record, uint64_t token, uint64_t now_us)
{
    uint64_t wait_us = 0;

    if (!pgw_crash_trial_end(&record->trial, token)) {
        return;
    }
    if (is_bounded(quarantine, record)) {
        record->trials++;
        wait_us = unproven_wait_us(quarantine, record);
        record->next_trial_us = now_us + wait_us;
        record->unproven_trial = token;
    }
    pgw_crash_suspects__log(record, "unproven", token);
    publish_trial(quarantine, record, PGW_CRASHED_RUN_TRIAL_ENDED, token,
                  wait_us);
}

void
pgw_crash_quarantine_end_abandoned_trial(
    struct pgw_crash_quarantine *quarantine, const struct pgw_crash_keys *keys,
    uint64_t trial, uint64_t now_us)
{
    struct pgw_crash_suspects held;
    struct pgw_crash_suspects parts = {.count = 0};

    find_held(&held, quarantine, keys, trial);
    for (size_t i = 0; i < held.count; i++) {
        struct pgw_crash_record *record = held.items[i];

        if (record->is_part) {
            parts.items[parts.count++] = record;
        }
        else if (pgw_crash_record_confirmed(record) >=
                 quarantine->options.abandoned_trial_crashes) {
            pgw_crash_blame__fail(quarantine, record, trial, now_us);
        }
        else {
            end_unproven(quarantine, record, trial, now_us);
        }
    }
    pgw_crash_blame__fail_parts(quarantine, &parts, trial, now_us);
}

void
pgw_crash_quarantine_end_trial(struct pgw_crash_quarantine *quarantine,
                               const struct pgw_crash_keys *keys,
                               uint64_t trial, enum pgw_trial_result result,
                               uint64_t now_us)
{
    struct pgw_crash_suspects held;
    struct pgw_crash_suspects parts = {.count = 0};

    find_held(&held, quarantine, keys, trial);
    for (size_t i = 0; i < held.count; i++) {
        struct pgw_crash_record *record = held.items[i];

        if (result == PGW_TRIAL_WITHDRAWN) {
            withdraw(quarantine, record, trial);
        }
        else if (result == PGW_TRIAL_UNPROVEN) {
            end_unproven(quarantine, record, trial, now_us);
        }
        else if (record->is_part) {
            parts.items[parts.count++] = record;
        }
        else {
            pgw_crash_blame__fail(quarantine, record, trial, now_us);
        }
    }
    pgw_crash_blame__fail_parts(quarantine, &parts, trial, now_us);
}

/* A claim of another entry. An entry that loses against this one's trial may
 * not know of it yet. */
static bool
merge_claim(struct pgw_crash_quarantine *quarantine,
            struct pgw_crash_record *record,
            const struct pgw_crashed_run *report, uint64_t now_us)
{
    struct pgw_crash_trial *trial = &record->trial;
    uint64_t left_us =
        MIN(report->left_us, quarantine->options.trial_claim_us);
    bool stands =
        pgw_crash_trial_claim(trial, report->crash, now_us + left_us, now_us);

    if (trial->token == report->crash) {
        trial->pool = report->upstream;
    }

    if (!stands && trial->is_own && trial->token != report->crash &&
        trial->token != 0 && now_us < trial->until_us) {
        publish_trial(quarantine, record,
                      trial->started ? PGW_CRASHED_RUN_TRIAL_STARTED
                                     : PGW_CRASHED_RUN_TRIAL_CLAIMED,
                      trial->token, trial->until_us - now_us);
    }
    return stands;
}

/* Another entry's trial has ended; returns whether that is new. */
static bool
merge_end(const struct pgw_crash_quarantine *quarantine,
          struct pgw_crash_record *record,
          const struct pgw_crashed_run *report, uint64_t now_us)
{
    uint64_t left_us =
        MIN(report->left_us,
            quarantine->options.unproven_wait_us[PGW_CRASH_TRIALS_MAX - 1]);

    if (pgw_crash_trial_has_ended(&record->trial, report->crash)) {
        return false;
    }
    if (left_us == 0) {
        return pgw_crash_trial_end(&record->trial, report->crash);
    }
    pgw_crash_trial_end(&record->trial, report->crash);
    pgw_crash_trial_ignore(&record->trial, report->crash);
    if (now_us + left_us > record->next_trial_us) {
        record->next_trial_us = now_us + left_us;
        record->unproven_trial = report->crash;
    }
    return true;
}

bool
pgw_crash_suspects__merge(struct pgw_crash_quarantine *quarantine,
                          const struct pgw_crashed_run *report,
                          uint64_t now_us)
{
    struct pgw_crash_record *record = pgw_crash_table_get(
        quarantine->table, &report->fingerprint, report->is_part, now_us);
    uint64_t trial_max_us = quarantine->options.record_lifetime_us;

    if (record == NULL) {
        return false;
    }
    if (record->is_part) {
        trial_max_us = quarantine->options.part_trial_us;
    }
    record->trials = MAX(record->trials, report->trials);
    switch (report->kind) {
    case PGW_CRASHED_RUN_TRIAL_CLAIMED:
        return merge_claim(quarantine, record, report, now_us);
    case PGW_CRASHED_RUN_TRIAL_STARTED:
        if (!pgw_crash_trial_start(&record->trial, report->crash,
                                   now_us +
                                       MIN(report->left_us, trial_max_us))) {
            return false;
        }
        record->trial.upstream = report->upstream;
        return true;
    case PGW_CRASHED_RUN_TRIAL_ENDED:
        return merge_end(quarantine, record, report, now_us);
    case PGW_CRASHED_RUN_TRIAL_FAILED:
        return pgw_crash_blame__merge(quarantine, record, report, now_us);
    default:
        return false;
    }
}

static void
claim(struct pgw_crash_quarantine *quarantine, struct pgw_crash_record *record,
      uint64_t token, uint64_t pool, uint64_t settled_us, uint64_t now_us)
{
    const struct pgw_crash_quarantine_options *options = &quarantine->options;
    struct pgw_crash_trial *trial = &record->trial;

    pgw_crash_trial_claim(trial, token, now_us + options->trial_claim_us,
                          now_us);
    trial->settled_us = settled_us;
    trial->pool = pool;
    trial->is_own = true;
    pgw_crash_suspects__log(record, "claimed", token);
    publish_trial(quarantine, record, PGW_CRASHED_RUN_TRIAL_CLAIMED, token,
                  options->trial_claim_us);
}

static void
renew_claim(struct pgw_crash_quarantine *quarantine,
            struct pgw_crash_record *record, uint64_t now_us)
{
    uint64_t claim_us = quarantine->options.trial_claim_us;
    struct pgw_crash_trial *trial = &record->trial;

    if (!trial->started && trial->until_us - now_us < claim_us / 2) {
        trial->until_us = now_us + claim_us;
        publish_trial(quarantine, record, PGW_CRASHED_RUN_TRIAL_CLAIMED,
                      trial->token, claim_us);
    }
}

/* Ends a trial whose entry has ended, perhaps together with the upstream.
 * Returns whether that starts a quarantine. */
static bool
end_overdue_trial(struct pgw_crash_quarantine *quarantine,
                  struct pgw_crash_record *record, uint64_t now_us)
{
    uint64_t token = record->trial.token;

    if (!record->trial.started || now_us < record->trial.until_us) {
        return false;
    }
    if (record->is_part) {
        withdraw(quarantine, record, token);
        return false;
    }
    pgw_crash_blame__fail(quarantine, record, token, now_us);
    return true;
}

/*
 * Failure: all upstreams of a service are down, and trials of several parts
 * wait for one. Symptom: all start at the first that is back, and a sound part
 * is blamed for the crash by a faulty one. Of the trials that wait, that with
 * the lowest token starts first; the next one then knows where it runs.
 */
static bool
starts_next(const struct pgw_crash_quarantine *quarantine, uint64_t pool,
            uint64_t token, uint64_t now_us)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, pgw_crash_table_records(quarantine->table));
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct pgw_crash_trial *other =
            &((const struct pgw_crash_record *)value)->trial;

        if (other->token != 0 && other->token < token && !other->started &&
            other->pool == pool && now_us < other->until_us) {
            return false;
        }
    }
    return true;
}

/* Whether a part with which this one is quarantined is being tried. If that
 * one is sound, this one is to blame. */
static bool
has_trial_of_partner(const struct pgw_crash_quarantine *quarantine,
                     const struct pgw_crash_record *record, uint64_t now_us)
{
    if (record->partners == NULL || now_us >= record->quarantined_until_us) {
        return false;
    }
    for (size_t i = 0; i < record->partners->count; i++) {
        const struct pgw_crash_record *partner = pgw_crash_table_find(
            quarantine->table, &record->partners->items[i]);

        if (partner != NULL && partner->trial.started &&
            now_us < partner->trial.until_us) {
            return true;
        }
    }
    return false;
}

static bool
must_wait(const struct pgw_crash_quarantine *quarantine,
          const struct pgw_crash_suspects *suspects, uint64_t now_us)
{
    for (size_t i = 0; i < suspects->count; i++) {
        if (now_us < suspects->items[i]->next_trial_us ||
            has_trial_of_partner(quarantine, suspects->items[i], now_us)) {
            return true;
        }
    }
    return false;
}

/* Returns the verdict on a request with suspects. */
static enum pgw_crash_verdict
admit_suspects(struct pgw_crash_quarantine *quarantine,
               const struct pgw_crash_keys *keys,
               const struct pgw_crash_suspects *suspects, uint64_t *trial,
               uint64_t claim_us, uint64_t random, uint64_t now_us)
{
    /* Trials that end with one crash do not start together again. */
    uint64_t settle_us =
        MIN(quarantine->options.trial_settle_us, claim_us / 2);
    bool is_settled = true;

    settle_us += settle_us == 0 ? 0 : random % settle_us;
    for (size_t i = 0; i < suspects->count; i++) {
        if (end_overdue_trial(quarantine, suspects->items[i], now_us)) {
            return PGW_CRASH_REFUSE;
        }
    }
    if (must_wait(quarantine, suspects, now_us)) {
        pgw_crash_quarantine_end_trial(quarantine, keys, *trial,
                                       PGW_TRIAL_WITHDRAWN, now_us);
        *trial = 0;
        return PGW_CRASH_WAIT;
    }
    /* A request that waits for another one's trial holds no trial back. */
    for (size_t i = 0; i < suspects->count; i++) {
        const struct pgw_crash_trial *current = &suspects->items[i]->trial;

        if (current->token != 0 && current->token != *trial &&
            now_us < current->until_us) {
            pgw_crash_quarantine_end_trial(quarantine, keys, *trial,
                                           PGW_TRIAL_WITHDRAWN, now_us);
            *trial = 0;
            return PGW_CRASH_WAIT;
        }
    }
    /* Others could not claim it until this request is given up. */
    if (*trial == 0 && claim_us == 0) {
        return PGW_CRASH_WAIT;
    }
    if (*trial == 0) {
        random &= (UINT64_C(1) << TOKEN_RANDOM_BITS) - 1;
        *trial =
            (uint64_t)suspects->count << TOKEN_RANDOM_BITS | MAX(random, 1);
    }
    for (size_t i = 0; i < suspects->count; i++) {
        struct pgw_crash_record *record = suspects->items[i];

        if (record->trial.token != *trial ||
            now_us >= record->trial.until_us) {
            claim(quarantine, record, *trial, keys->pool, now_us + settle_us,
                  now_us);
        }
        else {
            renew_claim(quarantine, record, now_us);
        }
        is_settled = is_settled && now_us >= record->trial.settled_us;
    }
    return is_settled && starts_next(quarantine, keys->pool, *trial, now_us)
               ? PGW_CRASH_TRIAL
               : PGW_CRASH_WAIT;
}

enum pgw_crash_verdict
pgw_crash_quarantine_admit(struct pgw_crash_quarantine *quarantine,
                           const struct pgw_crash_keys *keys, uint64_t *trial,
                           uint64_t claim_us, uint64_t random, uint64_t now_us)
{
    struct pgw_crash_suspects suspects = {.count = 0};

#ifdef PGW_DISABLE_POISON_TRIAL
    *trial = 0;
    return PGW_CRASH_ALLOW;
#endif
    if (pgw_crash_quarantine_is_active(quarantine, keys, now_us)) {
        return PGW_CRASH_REFUSE;
    }
    for (size_t i = 0; i < keys->count; i++) {
        struct pgw_crash_record *record =
            pgw_crash_table_find(quarantine->table, &keys->items[i]);

        if (record != NULL &&
            pgw_crash_quarantine__suspicions(quarantine, record, now_us) >=
                quarantine->options.crashes) {
            suspects.items[suspects.count++] = record;
        }
    }
    if (suspects.count == 0) {
        pgw_crash_quarantine_end_trial(quarantine, keys, *trial,
                                       PGW_TRIAL_WITHDRAWN, now_us);
        *trial = 0;
        return PGW_CRASH_ALLOW;
    }
    return admit_suspects(quarantine, keys, &suspects, trial, claim_us, random,
                          now_us);
}

void
pgw_crash_quarantine_start_trial(struct pgw_crash_quarantine *quarantine,
                                 const struct pgw_crash_keys *keys,
                                 uint64_t trial, const char *upstream,
                                 uint64_t until_us, uint64_t now_us)
{
    struct pgw_crash_suspects suspects;

    find_held(&suspects, quarantine, keys, trial);
    for (size_t i = 0; i < suspects.count; i++) {
        struct pgw_crash_record *record = suspects.items[i];
        uint64_t end_us = until_us;

        if (record->is_part) {
            end_us = MIN(end_us, now_us + quarantine->options.part_trial_us);
        }
        if (pgw_crash_trial_start(&record->trial, trial, end_us) ||
            record->trial.upstream != pgw_place_id_hash(upstream)) {
            record->trial.upstream = pgw_place_id_hash(upstream);
            pgw_crash_suspects__log(record, "started", trial);
            publish_trial(quarantine, record, PGW_CRASHED_RUN_TRIAL_STARTED,
                          trial, end_us - now_us);
        }
    }
}

void
pgw_crash_quarantine_answer_trial(struct pgw_crash_quarantine *quarantine,
                                  const struct pgw_crash_keys *keys,
                                  uint64_t trial, const char *upstream,
                                  uint64_t until_us, uint64_t now_us)
{
    struct pgw_crash_suspects held;

    pgw_crash_quarantine_start_trial(quarantine, keys, trial, upstream,
                                     until_us, now_us);
    find_held(&held, quarantine, keys, trial);
    for (size_t i = 0; i < held.count; i++) {
        held.items[i]->trial.is_answered = true;
    }
}

uint64_t
pgw_crash_quarantine_abandon_trial(struct pgw_crash_quarantine *quarantine,
                                   const struct pgw_crash_keys *keys,
                                   uint64_t trial, const char *upstream,
                                   uint64_t now_us)
{
    uint64_t end_us = now_us + quarantine->options.abandoned_trial_us;

    pgw_crash_quarantine_start_trial(quarantine, keys, trial, upstream,
                                     end_us + RESULT_LATE_US, now_us);
    return end_us;
}

uint32_t
pgw_crash_quarantine_trials(const struct pgw_crash_quarantine *quarantine,
                            const struct pgw_crash_keys *keys)
{
    uint32_t trials = 0;

    for (size_t i = 0; i < keys->count; i++) {
        const struct pgw_crash_record *record =
            pgw_crash_table_find(quarantine->table, &keys->items[i]);

        if (record != NULL) {
            trials = MAX(trials, pgw_crash_record_trials(record));
        }
    }
    return trials;
}

uint64_t
pgw_crash_quarantine_trial_wait_us(
    const struct pgw_crash_quarantine *quarantine,
    const struct pgw_crash_keys *keys, uint64_t now_us)
{
    uint64_t wait_us = 0;

    for (size_t i = 0; i < keys->count; i++) {
        const struct pgw_crash_record *record =
            pgw_crash_table_find(quarantine->table, &keys->items[i]);

        if (record != NULL && now_us < record->next_trial_us) {
            wait_us = MAX(wait_us, record->next_trial_us - now_us);
        }
    }
    return wait_us;
}

bool
pgw_crash_quarantine_has_trial_at(
    const struct pgw_crash_quarantine *quarantine, uint64_t trial,
    const char *upstream, uint64_t now_us)
{
    uint64_t incarnation = pgw_place_id_hash(upstream);
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, pgw_crash_table_records(quarantine->table));
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct pgw_crash_trial *other =
            &((const struct pgw_crash_record *)value)->trial;

        if (other->started && !other->is_answered && other->token != trial &&
            other->upstream == incarnation && now_us < other->until_us) {
            return true;
        }
    }
    return false;
}

bool
pgw_crash_quarantine_is_active(const struct pgw_crash_quarantine *quarantine,
                               const struct pgw_crash_keys *keys,
                               uint64_t now_us)
{
#ifdef PGW_DISABLE_POISON_HOLD
    return false;
#endif
    if (g_hash_table_size(pgw_crash_table_records(quarantine->table)) == 0) {
        return false;
    }
    for (size_t i = 0; i < keys->count; i++) {
        const struct pgw_crash_record *record =
            pgw_crash_table_find(quarantine->table, &keys->items[i]);
        bool has_partners = true;

        if (record == NULL || now_us >= record->quarantined_until_us) {
            continue;
        }
        for (size_t j = 0;
             record->partners != NULL && j < record->partners->count; j++) {
            has_partners =
                has_partners &&
                pgw_crash_keys_contain(keys, &record->partners->items[j]);
        }
        if (has_partners) {
            return true;
        }
    }
    return false;
}

void
pgw_crash_suspects__list(GArray *crashed,
                         const struct pgw_crash_record *record,
                         uint64_t now_us)
{
    const struct pgw_crash_trial *trial = &record->trial;

    if (record->failed_trial != 0 && now_us < record->quarantined_until_us) {
        struct pgw_crashed_run item = pgw_crash_suspects__make_report(
            record, PGW_CRASHED_RUN_TRIAL_FAILED, record->failed_trial,
            record->quarantined_until_us - now_us);

        g_array_append_val(crashed, item);
    }
    if (now_us < record->next_trial_us) {
        struct pgw_crashed_run item = pgw_crash_suspects__make_report(
            record, PGW_CRASHED_RUN_TRIAL_ENDED, record->unproven_trial,
            record->next_trial_us - now_us);

        g_array_append_val(crashed, item);
    }
    if (trial->token != 0 && now_us < trial->until_us) {
        struct pgw_crashed_run item = pgw_crash_suspects__make_report(
            record,
            trial->started ? PGW_CRASHED_RUN_TRIAL_STARTED
                           : PGW_CRASHED_RUN_TRIAL_CLAIMED,
            trial->token, trial->until_us - now_us);

        g_array_append_val(crashed, item);
    }
}
