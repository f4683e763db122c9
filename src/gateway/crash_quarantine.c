#include "gateway/crash_quarantine.h"
#include "gateway/crash_trial.h"
#include "gateway/interrupted_runs.h"
#include "parsleygw/place.h"
#include "util/log.h"
#include "util/metric.h"
#include <string.h>

/* An entry is connected to seeds alone, and these to each other: two more
 * entries lie between any two. */
#define HOPS_MAX 3

static struct pgw_metric_counter crashes_counted = {
    .name = "pgw_gateway_poison_crashes_total",
    .help = "Runs that were interrupted by a crash of their upstream",
};
static struct pgw_metric_gauge record_count = {
    .name = "pgw_gateway_poison_records",
    .help = "Fingerprints of requests that were running in a crash",
};

/*
 * struct record - a fingerprint and the crashes in which it was running
 * @fingerprint: fingerprint of the request
 * @crashes: hashes of the last incarnations that crashed, the oldest first
 * @at_us: for each of @crashes, when the run was interrupted
 * @count: number of @crashes
 * @counted: number of crashes, the last ones, that count towards the threshold
 * @last_us: time of the last crash
 * @quarantine_count: how often the fingerprint was quarantined
 * @quarantined_until_us: end of the last quarantine
 * @failed_trial: token of the trial that started it, 0: none did
 * @trial: current trial
 *
 * Crashes that a completed run has cleared are kept. Such a crash may arrive
 * again after the completed run; if it looked new, entries would pass both on
 * to each other forever.
 */
struct record {
    struct pgw_fingerprint fingerprint;
    uint64_t crashes[PGW_CRASH_QUARANTINE_CRASHES_MAX];
    uint64_t at_us[PGW_CRASH_QUARANTINE_CRASHES_MAX];
    uint32_t count;
    uint32_t counted;
    uint64_t last_us;
    uint32_t quarantine_count;
    uint64_t quarantined_until_us;
    uint64_t failed_trial;
    struct pgw_crash_trial trial;
};

/* struct crashed_upstream - an incarnation that crashed recently */
struct crashed_upstream {
    uint64_t crash;
    uint64_t at_us;
};

/*
 * @records: fingerprint -> &struct record
 * @interrupted: runs that no crash has been matched to
 * @crashed_upstreams: of &struct crashed_upstream, the oldest first
 */
struct pgw_crash_quarantine {
    struct pgw_crash_quarantine_options options;
    GHashTable *records;
    struct pgw_interrupted_runs interrupted;
    GArray *crashed_upstreams;
    void (*on_crashed)(const struct pgw_crashed_run *crashed, size_t count,
                       void *context);
    void *context;
};

struct pgw_crash_quarantine *
pgw_crash_quarantine_new(const struct pgw_crash_quarantine_options *options)
{
    struct pgw_crash_quarantine *quarantine =
        g_new0(struct pgw_crash_quarantine, 1);

    g_assert(options->crashes <= PGW_CRASH_QUARANTINE_CRASHES_MAX);
    quarantine->options = *options;
    quarantine->records = g_hash_table_new_full(
        pgw_fingerprint_hash, pgw_fingerprint_equal, NULL, g_free);
    pgw_interrupted_runs_init(&quarantine->interrupted,
                              options->crash_match_us);
    quarantine->crashed_upstreams =
        g_array_new(FALSE, FALSE, sizeof(struct crashed_upstream));
    pgw_metric_register_counter(&crashes_counted);
    pgw_metric_register_gauge(&record_count);
    return quarantine;
}

void
pgw_crash_quarantine_free(struct pgw_crash_quarantine *quarantine)
{
    pgw_interrupted_runs_dispose(&quarantine->interrupted);
    g_array_unref(quarantine->crashed_upstreams);
    g_hash_table_destroy(quarantine->records);
    g_free(quarantine);
}

void
pgw_crash_quarantine_subscribe(
    struct pgw_crash_quarantine *quarantine,
    void (*on_crashed)(const struct pgw_crashed_run *crashed, size_t count,
                       void *context),
    void *context)
{
    quarantine->on_crashed = on_crashed;
    quarantine->context = context;
}

static void
publish(const struct pgw_crash_quarantine *quarantine,
        const struct pgw_crashed_run *crashed, size_t count)
{
    if (count > 0 && quarantine->on_crashed != NULL) {
        quarantine->on_crashed(crashed, count, quarantine->context);
    }
}

static struct crashed_upstream *
crashed_at(const struct pgw_crash_quarantine *quarantine, guint index)
{
    return &g_array_index(quarantine->crashed_upstreams,
                          struct crashed_upstream, index);
}

/* Drops interrupted runs and crashes that are too old to be matched. */
static void
drop_expired(struct pgw_crash_quarantine *quarantine, uint64_t now_us)
{
    uint64_t crash_match_us = quarantine->options.crash_match_us;
    guint expired =
        pgw_interrupted_runs_expire(&quarantine->interrupted, now_us);

    if (expired > 0) {
        pgw_log_info("poison_unmatched", "runs=%u", expired);
    }
    expired = 0;
    while (expired < quarantine->crashed_upstreams->len &&
           crashed_at(quarantine, expired)->at_us + crash_match_us <= now_us) {
        expired++;
    }
    g_array_remove_range(quarantine->crashed_upstreams, 0, expired);
}

static bool
is_older(const struct record *record, uint64_t before_us)
{
    return MAX(record->last_us, record->quarantined_until_us) < before_us;
}

static gboolean
is_expired(gpointer key, gpointer value, gpointer before_us)
{
    (void)key;
    return is_older(value, *(uint64_t *)before_us);
}

/* Returns the record of a fingerprint, creating it if necessary; NULL if there
 * is no room for a new one. */
static struct record *
get_record(struct pgw_crash_quarantine *quarantine,
           const struct pgw_fingerprint *fingerprint, uint64_t now_us)
{
    struct record *record =
        g_hash_table_lookup(quarantine->records, fingerprint);
    uint64_t record_lifetime_us = quarantine->options.record_lifetime_us;
    uint64_t before_us =
        now_us > record_lifetime_us ? now_us - record_lifetime_us : 0;

    if (record != NULL) {
        if (is_older(record, before_us)) {
            record->counted = 0;
            record->quarantine_count = 0;
        }
        return record;
    }
    if (g_hash_table_size(quarantine->records) >=
        quarantine->options.records_max) {
        g_hash_table_foreach_remove(quarantine->records, is_expired,
                                    &before_us);
    }
    if (g_hash_table_size(quarantine->records) >=
        quarantine->options.records_max) {
        pgw_log_info("poison_full", "records=%u",
                     g_hash_table_size(quarantine->records));
        return NULL;
    }
    record = g_new0(struct record, 1);
    record->fingerprint = *fingerprint;
    record->last_us = now_us;
    g_hash_table_insert(quarantine->records, &record->fingerprint, record);
    pgw_metric_gauge_set(&record_count,
                         g_hash_table_size(quarantine->records));
    return record;
}

static bool
is_one_moment(const struct pgw_crash_quarantine *quarantine, uint64_t a_us,
              uint64_t b_us)
{
    return (a_us > b_us ? a_us - b_us : b_us - a_us) <
           quarantine->options.min_crash_gap_us;
}

/* Whether a crash is of the moment of one that is counted already. */
static bool
is_near_counted_crash(const struct pgw_crash_quarantine *quarantine,
                      const struct record *record, uint64_t at_us)
{
    for (uint32_t i = record->count - record->counted; i < record->count;
         i++) {
        if (is_one_moment(quarantine, record->at_us[i], at_us)) {
            return true;
        }
    }
    return false;
}

/* Number of moments at which the counted crashes happened. */
static uint32_t
count_moments(const struct pgw_crash_quarantine *quarantine,
              const struct record *record)
{
    uint64_t moments_us[PGW_CRASH_QUARANTINE_CRASHES_MAX];
    uint32_t count = 0;

    for (uint32_t i = record->count - record->counted; i < record->count;
         i++) {
        uint32_t known = 0;

        while (known < count && !is_one_moment(quarantine, moments_us[known],
                                               record->at_us[i])) {
            known++;
        }
        if (known == count) {
            moments_us[count++] = record->at_us[i];
        }
    }
    return count;
}

static bool
has_crash(const struct record *record, uint64_t crash)
{
    for (uint32_t i = 0; i < record->count; i++) {
        if (record->crashes[i] == crash) {
            return true;
        }
    }
    return false;
}

static void
append_crash(struct record *record, uint64_t crash, uint64_t at_us)
{
    if (record->count == PGW_CRASH_QUARANTINE_CRASHES_MAX) {
        record->count--;
        memmove(record->crashes, record->crashes + 1,
                record->count * sizeof(record->crashes[0]));
        memmove(record->at_us, record->at_us + 1,
                record->count * sizeof(record->at_us[0]));
    }
    record->crashes[record->count] = crash;
    record->at_us[record->count] = at_us;
    record->count++;
    record->counted = MIN(record->counted + 1, record->count);
    record->last_us = MAX(record->last_us, at_us);
}

/* Each quarantine lasts ten times as long as the one before. */
static void
start_quarantine(const struct pgw_crash_quarantine *quarantine,
                 struct record *record, uint64_t now_us)
{
    uint64_t duration_us = quarantine->options.quarantine_us;

    for (uint32_t i = 0; i < record->quarantine_count &&
                         duration_us < quarantine->options.quarantine_max_us;
         i++) {
        duration_us *= 10;
    }
    record->quarantine_count++;
    record->quarantined_until_us =
        now_us + MIN(duration_us, quarantine->options.quarantine_max_us);
}

static void
log_crash(const struct record *record, uint64_t crash, const char *source,
          bool counted, uint64_t at_us, uint64_t now_us)
{
    char name[PGW_FINGERPRINT_HEX];

    pgw_fingerprint_print(name, &record->fingerprint);
    pgw_log_info("poison_crash",
                 "fingerprint=%s crash=%016" G_GINT64_MODIFIER
                 "x crashes=%u held=%d source=%s counted=%d "
                 "late_ms=%" G_GUINT64_FORMAT,
                 name, crash, record->counted,
                 (int)(now_us < record->quarantined_until_us), source,
                 (int)counted, (now_us - at_us) / 1000);
}

/* Adds a crash to a fingerprint. Returns whether it is new and counts.
 * @source: who saw it, for logs */
static bool
count_crash(struct pgw_crash_quarantine *quarantine,
            const struct pgw_fingerprint *fingerprint, uint64_t crash,
            const char *source, uint64_t at_us, uint64_t now_us)
{
    struct record *record = get_record(quarantine, fingerprint, now_us);

    if (record == NULL || has_crash(record, crash)) {
        return false;
    }
    /* Further crashes of one moment add nothing to a suspect. They are left
     * out, since a popular request may be in more of them than are kept. */
    if (record->counted >= quarantine->options.crashes &&
        is_near_counted_crash(quarantine, record, at_us)) {
        log_crash(record, crash, source, false, at_us, now_us);
        return false;
    }
    append_crash(record, crash, at_us);
    if (now_us >= record->quarantined_until_us &&
        count_moments(quarantine, record) >= quarantine->options.crashes) {
        start_quarantine(quarantine, record, now_us);
    }
    pgw_metric_counter_add(&crashes_counted, 1);
    log_crash(record, crash, source, true, at_us, now_us);
    return true;
}

static bool
has_crashed(const struct pgw_crash_quarantine *quarantine, uint64_t crash)
{
    for (guint i = 0; i < quarantine->crashed_upstreams->len; i++) {
        if (crashed_at(quarantine, i)->crash == crash) {
            return true;
        }
    }
    return false;
}

/* Number of upstreams that crashed, or may have crashed, while they ran the
 * fingerprint; @record: its record or NULL. */
static uint32_t
count_suspicions(const struct pgw_crash_quarantine *quarantine,
                 const struct pgw_fingerprint *fingerprint,
                 const struct record *record, uint64_t now_us)
{
    uint32_t count = record == NULL ? 0 : record->counted;

    for (guint i = 0; i < quarantine->interrupted.items->len &&
                      count < quarantine->options.crashes;
         i++) {
        const struct pgw_interrupted_run *run =
            pgw_interrupted_runs_at(&quarantine->interrupted, i);

        count += !run->cleared &&
                 run->at_us + quarantine->options.crash_match_us > now_us &&
                 pgw_fingerprint_equal(&run->fingerprint, fingerprint) &&
                 (record == NULL || !has_crash(record, run->crash));
    }
    return count;
}

static struct pgw_crashed_run
make_interrupted_report(const struct pgw_interrupted_run *run, uint64_t now_us)
{
    return (struct pgw_crashed_run){
        .fingerprint = run->fingerprint,
        .crash = run->crash,
        .age_us = now_us - run->at_us,
        .kind = PGW_CRASHED_RUN_INTERRUPTED,
    };
}

/* A single interrupted run is not worth a message: most are no crash, and one
 * that is will be confirmed. */
static void
publish_interrupted(struct pgw_crash_quarantine *quarantine,
                    const struct pgw_fingerprint *fingerprint, uint64_t now_us)
{
    const struct record *record =
        g_hash_table_lookup(quarantine->records, fingerprint);

    if (count_suspicions(quarantine, fingerprint, record, now_us) < 2) {
        return;
    }
    for (guint i = 0; i < quarantine->interrupted.items->len; i++) {
        struct pgw_interrupted_run *run =
            pgw_interrupted_runs_at(&quarantine->interrupted, i);

        if (!run->published && !run->cleared &&
            pgw_fingerprint_equal(&run->fingerprint, fingerprint)) {
            struct pgw_crashed_run report =
                make_interrupted_report(run, now_us);

            run->published = true;
            publish(quarantine, &report, 1);
        }
    }
}

void
pgw_crash_quarantine_add_interrupted(struct pgw_crash_quarantine *quarantine,
                                     const struct pgw_fingerprint *fingerprint,
                                     const char *upstream, uint64_t now_us)
{
    struct pgw_interrupted_run run = {.fingerprint = *fingerprint,
                                      .crash = pgw_place_id_hash(upstream),
                                      .at_us = now_us};
    struct pgw_crashed_run crashed = {.fingerprint = *fingerprint,
                                      .crash = run.crash};
    const struct pgw_interrupted_run *known;

    drop_expired(quarantine, now_us);
    if (has_crashed(quarantine, run.crash)) {
        if (count_crash(quarantine, fingerprint, run.crash, "own", now_us,
                        now_us)) {
            publish(quarantine, &crashed, 1);
        }
        return;
    }
    known = pgw_interrupted_runs_find(&quarantine->interrupted, fingerprint,
                                      run.crash);
    if (known == NULL || known->cleared) {
        pgw_interrupted_runs_add(&quarantine->interrupted, &run);
        publish_interrupted(quarantine, fingerprint, now_us);
    }
}

/* Counts the interrupted runs of an upstream that has crashed. */
static void
count_interrupted_runs(struct pgw_crash_quarantine *quarantine, uint64_t crash,
                       GArray *crashed, uint64_t now_us)
{
    for (guint i = quarantine->interrupted.items->len; i > 0; i--) {
        const struct pgw_interrupted_run *run =
            pgw_interrupted_runs_at(&quarantine->interrupted, i - 1);
        struct pgw_crashed_run item = {.fingerprint = run->fingerprint,
                                       .crash = crash,
                                       .age_us = now_us - run->at_us};

        if (run->crash != crash) {
            continue;
        }
        if (!run->cleared && count_crash(quarantine, &run->fingerprint, crash,
                                         "own", run->at_us, now_us)) {
            g_array_append_val(crashed, item);
        }
        g_array_remove_index(quarantine->interrupted.items, i - 1);
    }
}

void
pgw_crash_quarantine_add_crash(struct pgw_crash_quarantine *quarantine,
                               const char *upstream, uint64_t now_us)
{
    struct crashed_upstream crashed_upstream = {pgw_place_id_hash(upstream),
                                                now_us};
    GArray *crashed;

    drop_expired(quarantine, now_us);
    if (has_crashed(quarantine, crashed_upstream.crash)) {
        return;
    }
    g_array_append_val(quarantine->crashed_upstreams, crashed_upstream);
    crashed = g_array_new(FALSE, FALSE, sizeof(struct pgw_crashed_run));
    count_interrupted_runs(quarantine, crashed_upstream.crash, crashed,
                           now_us);
    publish(quarantine, (const struct pgw_crashed_run *)(void *)crashed->data,
            crashed->len);
    g_array_unref(crashed);
}

/* Clears what is known of a fingerprint. Returns whether other entries may
 * know of it. */
static bool
clear_record(struct pgw_crash_quarantine *quarantine,
             const struct pgw_fingerprint *fingerprint)
{
    struct record *record =
        g_hash_table_lookup(quarantine->records, fingerprint);
    bool was_published =
        pgw_interrupted_runs_clear(&quarantine->interrupted, fingerprint);
    char name[PGW_FINGERPRINT_HEX];

    if (record == NULL ||
        (record->counted == 0 && record->quarantined_until_us == 0 &&
         record->trial.token == 0)) {
        return was_published;
    }
    record->counted = 0;
    record->quarantine_count = 0;
    record->quarantined_until_us = 0;
    record->failed_trial = 0;
    if (record->trial.token != 0) {
        pgw_crash_trial_end(&record->trial, record->trial.token);
    }
    pgw_fingerprint_print(name, fingerprint);
    pgw_log_info("poison_cleared", "fingerprint=%s", name);
    return true;
}

void
pgw_crash_quarantine_clear(struct pgw_crash_quarantine *quarantine,
                           const struct pgw_fingerprint *fingerprint)
{
    struct pgw_crashed_run crashed = {.fingerprint = *fingerprint};

    if ((g_hash_table_size(quarantine->records) > 0 ||
         quarantine->interrupted.items->len > 0) &&
        clear_record(quarantine, fingerprint)) {
        publish(quarantine, &crashed, 1);
    }
}

static void
log_trial(const struct record *record, const char *state, uint64_t token)
{
    char name[PGW_FINGERPRINT_HEX];

    pgw_fingerprint_print(name, &record->fingerprint);
    pgw_log_info("poison_trial",
                 "fingerprint=%s trial=%016" G_GINT64_MODIFIER
                 "x state=%s crashes=%u",
                 name, token, state, record->counted);
}

static void
publish_trial(const struct pgw_crash_quarantine *quarantine,
              const struct record *record, enum pgw_crashed_run_kind kind,
              uint64_t token, uint64_t left_us)
{
    struct pgw_crashed_run report = {
        .fingerprint = record->fingerprint,
        .crash = token,
        .kind = kind,
        .left_us = left_us,
        .quarantines = record->quarantine_count,
    };

    publish(quarantine, &report, 1);
}

/* A trial was interrupted, or its entry has ended without a result. */
static void
fail_trial(struct pgw_crash_quarantine *quarantine, struct record *record,
           uint64_t token, uint64_t now_us)
{
    pgw_crash_trial_end(&record->trial, token);
    pgw_crash_trial_ignore(&record->trial, token);
    record->failed_trial = token;
    if (now_us >= record->quarantined_until_us) {
        start_quarantine(quarantine, record, now_us);
    }
    log_trial(record, "failed", token);
    publish_trial(quarantine, record, PGW_CRASHED_RUN_TRIAL_FAILED, token,
                  record->quarantined_until_us - now_us);
}

static bool
merge_interrupted(struct pgw_crash_quarantine *quarantine,
                  const struct pgw_crashed_run *report, uint64_t at_us,
                  uint64_t now_us)
{
    const struct record *record =
        g_hash_table_lookup(quarantine->records, &report->fingerprint);
    struct pgw_interrupted_run run = {.fingerprint = report->fingerprint,
                                      .crash = report->crash,
                                      .at_us = at_us,
                                      .published = true};
    struct pgw_interrupted_run *known;

    drop_expired(quarantine, now_us);
    if (at_us + quarantine->options.crash_match_us <= now_us ||
        (record != NULL && has_crash(record, report->crash))) {
        return false;
    }
    known = pgw_interrupted_runs_find(&quarantine->interrupted,
                                      &report->fingerprint, report->crash);
    if (known != NULL) {
        known->published = true;
        return false;
    }
    pgw_interrupted_runs_add(&quarantine->interrupted, &run);
    return true;
}

/* The run of another entry's trial has failed. */
static bool
merge_failed_trial(struct pgw_crash_quarantine *quarantine,
                   struct record *record, const struct pgw_crashed_run *report,
                   uint64_t now_us)
{
    uint64_t left_us =
        MIN(report->left_us, quarantine->options.quarantine_max_us);

    if (pgw_crash_trial_has_ended(&record->trial, report->crash)) {
        return false;
    }
    pgw_crash_trial_end(&record->trial, report->crash);
    pgw_crash_trial_ignore(&record->trial, report->crash);
    record->failed_trial = report->crash;
    record->quarantine_count =
        MAX(record->quarantine_count, report->quarantines);
    record->quarantined_until_us =
        MAX(record->quarantined_until_us, now_us + left_us);
    return true;
}

/* A claim of another entry. An entry that loses against this one's trial may
 * not know of it yet. */
static bool
merge_claim(struct pgw_crash_quarantine *quarantine, struct record *record,
            const struct pgw_crashed_run *report, uint64_t now_us)
{
    struct pgw_crash_trial *trial = &record->trial;
    uint64_t left_us =
        MIN(report->left_us, quarantine->options.trial_claim_us);
    bool stands =
        pgw_crash_trial_claim(trial, report->crash, now_us + left_us, now_us);

    if (!stands && trial->is_own && trial->token != report->crash &&
        trial->token != 0 && now_us < trial->until_us) {
        publish_trial(quarantine, record,
                      trial->started ? PGW_CRASHED_RUN_TRIAL_STARTED
                                     : PGW_CRASHED_RUN_TRIAL_CLAIMED,
                      trial->token, trial->until_us - now_us);
    }
    return stands;
}

static bool
merge_trial(struct pgw_crash_quarantine *quarantine,
            const struct pgw_crashed_run *report, uint64_t now_us)
{
    struct record *record =
        get_record(quarantine, &report->fingerprint, now_us);

    if (record == NULL) {
        return false;
    }
    switch (report->kind) {
    case PGW_CRASHED_RUN_TRIAL_CLAIMED:
        return merge_claim(quarantine, record, report, now_us);
    case PGW_CRASHED_RUN_TRIAL_STARTED:
        return pgw_crash_trial_start(
            &record->trial, report->crash,
            now_us +
                MIN(report->left_us, quarantine->options.record_lifetime_us));
    case PGW_CRASHED_RUN_TRIAL_ENDED:
        return pgw_crash_trial_end(&record->trial, report->crash);
    case PGW_CRASHED_RUN_TRIAL_FAILED:
        return merge_failed_trial(quarantine, record, report, now_us);
    default:
        return false;
    }
}

static bool
merge_one(struct pgw_crash_quarantine *quarantine,
          const struct pgw_crashed_run *report, uint64_t now_us)
{
    uint64_t at_us = now_us - MIN(report->age_us, now_us);

    switch (report->kind) {
    case PGW_CRASHED_RUN_CRASHED:
        return report->crash == 0
                   ? clear_record(quarantine, &report->fingerprint)
                   : count_crash(quarantine, &report->fingerprint,
                                 report->crash, "entry", at_us, now_us);
    case PGW_CRASHED_RUN_INTERRUPTED:
        return merge_interrupted(quarantine, report, at_us, now_us);
    default:
        return merge_trial(quarantine, report, now_us);
    }
}

void
pgw_crash_quarantine_merge(struct pgw_crash_quarantine *quarantine,
                           const struct pgw_crashed_run *crashed, size_t count,
                           uint64_t now_us)
{
    for (size_t i = 0; i < count; i++) {
        struct pgw_crashed_run report = crashed[i];

        report.hops++;
        /*
         * Failure: reports of several trials cross each other, and each makes
         * the others look new. Symptom: entries send them to each other for
         * ever, until they are out of memory. A report is passed on a limited
         * number of times; only crashes and completed runs are known for good.
         */
        if (merge_one(quarantine, &crashed[i], now_us) &&
            (report.kind == PGW_CRASHED_RUN_CRASHED ||
             report.hops <= HOPS_MAX)) {
            publish(quarantine, &report, 1);
        }
    }
}

/* Returns the verdict on a suspect that is not quarantined. */
static enum pgw_crash_verdict
admit_suspect(struct pgw_crash_quarantine *quarantine, struct record *record,
              uint64_t *trial, uint64_t random, uint64_t now_us)
{
    const struct pgw_crash_quarantine_options *options = &quarantine->options;
    struct pgw_crash_trial *current = &record->trial;

    /* Its entry has ended, perhaps together with the upstream. */
    if (current->started && now_us >= current->until_us) {
        fail_trial(quarantine, record, current->token, now_us);
        return PGW_CRASH_REFUSE;
    }
    if (current->token == 0 || now_us >= current->until_us) {
        *trial = MAX(random, 1);
        pgw_crash_trial_claim(current, *trial,
                              now_us + options->trial_claim_us, now_us);
        current->settled_us = now_us + options->trial_settle_us;
        current->is_own = true;
        log_trial(record, "claimed", *trial);
        publish_trial(quarantine, record, PGW_CRASHED_RUN_TRIAL_CLAIMED,
                      *trial, options->trial_claim_us);
        return PGW_CRASH_WAIT;
    }
    if (current->token != *trial) {
        *trial = 0;
        return PGW_CRASH_WAIT;
    }
    if (!current->started &&
        current->until_us - now_us < options->trial_claim_us / 2) {
        current->until_us = now_us + options->trial_claim_us;
        publish_trial(quarantine, record, PGW_CRASHED_RUN_TRIAL_CLAIMED,
                      *trial, options->trial_claim_us);
    }
    return now_us < current->settled_us ? PGW_CRASH_WAIT : PGW_CRASH_TRIAL;
}

enum pgw_crash_verdict
pgw_crash_quarantine_admit(struct pgw_crash_quarantine *quarantine,
                           const struct pgw_fingerprint *fingerprint,
                           uint64_t *trial, uint64_t random, uint64_t now_us)
{
    struct record *record =
        g_hash_table_lookup(quarantine->records, fingerprint);

#ifdef PGW_DISABLE_POISON_TRIAL
    *trial = 0;
    return PGW_CRASH_ALLOW;
#endif
    if (pgw_crash_quarantine_is_active(quarantine, fingerprint, now_us)) {
        return PGW_CRASH_REFUSE;
    }
    if (count_suspicions(quarantine, fingerprint, record, now_us) <
        quarantine->options.crashes) {
        *trial = 0;
        return PGW_CRASH_ALLOW;
    }
    record = get_record(quarantine, fingerprint, now_us);
    return record == NULL
               ? PGW_CRASH_ALLOW
               : admit_suspect(quarantine, record, trial, random, now_us);
}

void
pgw_crash_quarantine_start_trial(struct pgw_crash_quarantine *quarantine,
                                 const struct pgw_fingerprint *fingerprint,
                                 uint64_t trial, uint64_t until_us,
                                 uint64_t now_us)
{
    struct record *record =
        g_hash_table_lookup(quarantine->records, fingerprint);

    if (record != NULL &&
        pgw_crash_trial_start(&record->trial, trial, until_us)) {
        log_trial(record, "started", trial);
        publish_trial(quarantine, record, PGW_CRASHED_RUN_TRIAL_STARTED, trial,
                      until_us - now_us);
    }
}

void
pgw_crash_quarantine_end_trial(struct pgw_crash_quarantine *quarantine,
                               const struct pgw_fingerprint *fingerprint,
                               uint64_t trial, bool interrupted,
                               uint64_t now_us)
{
    struct record *record =
        g_hash_table_lookup(quarantine->records, fingerprint);

    if (record == NULL) {
        return;
    }
    if (interrupted) {
        fail_trial(quarantine, record, trial, now_us);
    }
    else if (pgw_crash_trial_end(&record->trial, trial)) {
        log_trial(record, "ended", trial);
        publish_trial(quarantine, record, PGW_CRASHED_RUN_TRIAL_ENDED, trial,
                      0);
    }
}

bool
pgw_crash_quarantine_is_active(const struct pgw_crash_quarantine *quarantine,
                               const struct pgw_fingerprint *fingerprint,
                               uint64_t now_us)
{
    const struct record *record =
        g_hash_table_lookup(quarantine->records, fingerprint);

#ifdef PGW_DISABLE_POISON_HOLD
    return false;
#endif
    return record != NULL && now_us < record->quarantined_until_us;
}

/* Adds a quarantine that a trial has started, and the current trial. */
static void
list_trial(GArray *crashed, const struct record *record, uint64_t now_us)
{
    const struct pgw_crash_trial *trial = &record->trial;
    struct pgw_crashed_run item = {
        .fingerprint = record->fingerprint,
        .quarantines = record->quarantine_count,
    };

    if (record->failed_trial != 0 && now_us < record->quarantined_until_us) {
        item.kind = PGW_CRASHED_RUN_TRIAL_FAILED;
        item.crash = record->failed_trial;
        item.left_us = record->quarantined_until_us - now_us;
        g_array_append_val(crashed, item);
    }
    if (trial->token != 0 && now_us < trial->until_us) {
        item.kind = trial->started ? PGW_CRASHED_RUN_TRIAL_STARTED
                                   : PGW_CRASHED_RUN_TRIAL_CLAIMED;
        item.crash = trial->token;
        item.left_us = trial->until_us - now_us;
        g_array_append_val(crashed, item);
    }
}

GArray *
pgw_crash_quarantine_list(const struct pgw_crash_quarantine *quarantine,
                          uint64_t now_us)
{
    GArray *crashed =
        g_array_new(FALSE, FALSE, sizeof(struct pgw_crashed_run));
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, quarantine->records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct record *record = value;

        for (uint32_t i = record->count - record->counted; i < record->count;
             i++) {
            struct pgw_crashed_run item = {
                .fingerprint = record->fingerprint,
                .crash = record->crashes[i],
                .age_us = now_us - record->at_us[i],
            };

            g_array_append_val(crashed, item);
        }
        list_trial(crashed, record, now_us);
    }
    for (guint i = 0; i < quarantine->interrupted.items->len; i++) {
        const struct pgw_interrupted_run *run =
            pgw_interrupted_runs_at(&quarantine->interrupted, i);

        if (run->published && !run->cleared) {
            struct pgw_crashed_run item = make_interrupted_report(run, now_us);

            g_array_append_val(crashed, item);
        }
    }
    return crashed;
}
