#include "gateway/crash/crash_quarantine_internal.h"
#include "parsleygw/place.h"
#include "util/log.h"
#include "util/metric.h"

/* A crash is reported to other entries as that of the upstream, which runs
 * that they have had answered may have caused. More at once are a power loss.
 */
#define UPSTREAM_REPORTS_PER_S_MAX 16

static struct pgw_metric_counter crashes_counted = {
    .name = "pgw_gateway_poison_crashes_total",
    .help = "Runs that were interrupted by a crash of their upstream",
};

struct pgw_crash_quarantine *
pgw_crash_quarantine_new(const struct pgw_crash_quarantine_options *options)
{
    struct pgw_crash_quarantine *quarantine =
        g_new0(struct pgw_crash_quarantine, 1);
    struct pgw_crash_table_options table = {
        .match_us = options->crash_match_us,
        .lifetime_us = options->record_lifetime_us,
        .records_max = options->records_max,
    };

    g_assert(options->crashes <= PGW_CRASH_RECORD_MAX &&
             options->part_crashes <= PGW_CRASH_RECORD_MAX);
    quarantine->options = *options;
    quarantine->table = pgw_crash_table_new(&table);
    quarantine->crashed_upstreams =
        g_array_new(FALSE, FALSE, sizeof(struct pgw_crashed_upstream));
    quarantine->explained =
        g_array_new(FALSE, FALSE, sizeof(struct pgw_crashed_upstream));
    pgw_metric_register_counter(&crashes_counted);
    return quarantine;
}

void
pgw_crash_quarantine_free(struct pgw_crash_quarantine *quarantine)
{
    g_array_unref(quarantine->crashed_upstreams);
    g_array_unref(quarantine->explained);
    pgw_crash_table_free(quarantine->table);
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

void
pgw_crash_quarantine_subscribe_crashes(struct pgw_crash_quarantine *quarantine,
                                       void (*on_crash)(uint64_t crash,
                                                        uint64_t answered_us,
                                                        bool has_ended,
                                                        void *context),
                                       void *context)
{
    quarantine->on_crash = on_crash;
    quarantine->crash_context = context;
}

void
pgw_crash_quarantine__publish(const struct pgw_crash_quarantine *quarantine,
                              const struct pgw_crashed_run *crashed,
                              size_t count)
{
    if (count > 0 && quarantine->on_crashed != NULL) {
        quarantine->on_crashed(crashed, count, quarantine->context);
    }
}

static void
publish_array(const struct pgw_crash_quarantine *quarantine, GArray *reports)
{
    pgw_crash_quarantine__publish(
        quarantine, (const struct pgw_crashed_run *)(void *)reports->data,
        reports->len);
    g_array_unref(reports);
}

static struct pgw_crashed_upstream *
crashed_at(const GArray *list, guint index)
{
    return &g_array_index(list, struct pgw_crashed_upstream, index);
}

static void
drop_old(GArray *list, uint64_t age_max_us, uint64_t now_us)
{
    guint expired = 0;

    while (expired < list->len &&
           crashed_at(list, expired)->at_us + age_max_us <= now_us) {
        expired++;
    }
    g_array_remove_range(list, 0, expired);
}

void
pgw_crash_quarantine__drop_crashed(struct pgw_crash_quarantine *quarantine,
                                   uint64_t now_us)
{
    uint64_t match_us = quarantine->options.crash_match_us;

    drop_old(quarantine->crashed_upstreams, match_us, now_us);
    drop_old(quarantine->explained, match_us, now_us);
}

static struct pgw_crashed_upstream *
find_crash(const GArray *list, uint64_t crash)
{
    for (guint i = 0; i < list->len; i++) {
        if (crashed_at(list, i)->crash == crash) {
            return crashed_at(list, i);
        }
    }
    return NULL;
}

static bool
lists_crash(const GArray *list, uint64_t crash)
{
    return find_crash(list, crash) != NULL;
}

bool
pgw_crash_quarantine__has_crashed(
    const struct pgw_crash_quarantine *quarantine, uint64_t crash)
{
    return lists_crash(quarantine->crashed_upstreams, crash);
}

/* A key that has been tried and has not completed may be faulty, too. */
static bool
may_be_explained(const struct pgw_crash_record *record, uint64_t now_us)
{
    return now_us >= record->quarantined_until_us && record->trials == 0;
}

void
pgw_crash_quarantine__explain(struct pgw_crash_quarantine *quarantine,
                              const struct pgw_crash_record *faulty,
                              uint64_t now_us)
{
    GHashTableIter iter;
    gpointer value;

    for (uint32_t i = 0; i < faulty->count; i++) {
        struct pgw_crashed_upstream explained = {faulty->crashes[i].crash,
                                                 now_us};

        if (!faulty->crashes[i].cleared &&
            !lists_crash(quarantine->explained, explained.crash)) {
            g_array_append_val(quarantine->explained, explained);
        }
    }
    g_hash_table_iter_init(&iter, pgw_crash_table_records(quarantine->table));
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct pgw_crash_record *record = value;

        if (record != faulty && may_be_explained(record, now_us)) {
            pgw_crash_record_explain(record, faulty);
        }
    }
}

bool
pgw_crash_quarantine__is_explained(
    const struct pgw_crash_quarantine *quarantine,
    const struct pgw_crash_record *record, uint64_t crash, uint64_t now_us)
{
    return may_be_explained(record, now_us) &&
           lists_crash(quarantine->explained, crash);
}

uint32_t
pgw_crash_quarantine__suspicions(const struct pgw_crash_quarantine *quarantine,
                                 const struct pgw_crash_record *record,
                                 uint64_t now_us)
{
    return pgw_crash_record_suspicions(
        record, pgw_crash_table_expired_us(quarantine->table, now_us));
}

void
pgw_crash_quarantine__start(const struct pgw_crash_quarantine *quarantine,
                            struct pgw_crash_record *record, uint64_t now_us)
{
    uint64_t duration_us = quarantine->options.quarantine_us;

    for (uint32_t i = 0; i < record->quarantine_count &&
                         duration_us < quarantine->options.quarantine_max_us;
         i++) {
        duration_us *= 10;
    }
    if (pgw_crash_suspects__has_used_trials(quarantine, record)) {
        duration_us = MAX(
            duration_us,
            quarantine->options.unproven_wait_us[PGW_CRASH_TRIALS_MAX - 1]);
    }
    record->quarantine_count++;
    record->quarantined_until_us =
        now_us + MIN(duration_us, quarantine->options.quarantine_max_us);
}

/* Only suspects are logged. Nearly all requests that were running in a crash
 * are in no other one, and each entry knows of all of them, so there would be
 * thousands of lines. Which requests ran is in run_interrupted. */
static bool
is_logged(const struct pgw_crash_quarantine *quarantine,
          const struct pgw_crash_record *record)
{
    return pgw_crash_record_confirmed(record) >= quarantine->options.crashes ||
           record->quarantined_until_us != 0 || record->trial.token != 0;
}

static void
log_crash(const struct pgw_crash_quarantine *quarantine,
          const struct pgw_crash_record *record, uint64_t crash,
          const char *source, bool counted, uint64_t at_us, uint64_t now_us)
{
    char name[PGW_FINGERPRINT_HEX];

    if (!is_logged(quarantine, record)) {
        return;
    }
    pgw_fingerprint_print(name, &record->key);
    pgw_log_info("poison_crash",
                 "fingerprint=%s part=%d crash=%016" G_GINT64_MODIFIER
                 "x crashes=%u held=%d source=%s counted=%d "
                 "late_ms=%" G_GUINT64_FORMAT,
                 name, (int)record->is_part, crash,
                 pgw_crash_record_confirmed(record),
                 (int)(now_us < record->quarantined_until_us), source,
                 (int)counted, (now_us - at_us) / 1000);
}

bool
pgw_crash_quarantine__count(struct pgw_crash_quarantine *quarantine,
                            struct pgw_crash_record *record, uint64_t crash,
                            bool abandoned, const char *source, uint64_t at_us,
                            uint64_t now_us)
{
    const struct pgw_crash_quarantine_options *options = &quarantine->options;
    struct pgw_recorded_crash *known = pgw_crash_record_find(record, crash);
    bool is_of_trial =
        record->trial.started && record->trial.upstream == crash;

    if (known != NULL && known->confirmed) {
        return false;
    }
    /* Further crashes of one moment add nothing to a suspect, unless its trial
     * ran there. They are left out, since a popular request may be in more of
     * them than are kept. */
    if (pgw_crash_record_confirmed(record) >= options->crashes &&
        !is_of_trial &&
        pgw_crash_record_is_near(record, at_us, options->min_crash_gap_us)) {
        log_crash(quarantine, record, crash, source, false, at_us, now_us);
        if (known != NULL) {
            pgw_crash_record_remove(record, known);
        }
        return false;
    }
    if (known == NULL) {
        known = pgw_crash_record_add(
            record, crash, at_us,
            pgw_crash_table_expired_us(quarantine->table, now_us), true);
    }
    known->at_us = at_us;
    known->abandoned = abandoned;
    known->confirmed = true;
    known->cleared = false;
    record->last_us = MAX(record->last_us, at_us);
    if (now_us >= record->quarantined_until_us &&
        pgw_crash_record_moments(record, options->min_crash_gap_us) >=
            options->crashes) {
        pgw_crash_quarantine__start(quarantine, record, now_us);
    }
    pgw_metric_counter_add(&crashes_counted, 1);
    log_crash(quarantine, record, crash, source, true, at_us, now_us);
    return true;
}

/*
 * Failure: all upstreams lose power while they run a part that all requests
 * share, and the entry that judges it has not seen a run with it complete.
 * Symptom: it is quarantined after the trials that suffice for a part which
 * never completed. Reports of crashes tell what other entries have seen.
 */
struct pgw_crashed_run
pgw_crash_quarantine__make_report(
    const struct pgw_crash_quarantine *quarantine,
    const struct pgw_crash_record *record,
    const struct pgw_recorded_crash *crash, uint64_t now_us)
{
    return (struct pgw_crashed_run){
        .fingerprint = record->key,
        .is_part = record->is_part,
        .abandoned = crash->abandoned,
        .crash = crash->crash,
        .age_us = now_us - MIN(crash->at_us, now_us),
        .kind = crash->confirmed ? PGW_CRASHED_RUN_CRASHED
                                 : PGW_CRASHED_RUN_INTERRUPTED,
        .has_completed =
            record->is_part &&
            pgw_completed_parts_has(&quarantine->completed, &record->key),
    };
}

/* A single interrupted run is not worth a message to all: most are no crash,
 * and a part that ran in one crash is most likely sound. Of a part the seeds
 * learn, since each entry may get only one of the requests with it. */
void
pgw_crash_quarantine__share(struct pgw_crash_quarantine *quarantine,
                            struct pgw_crash_record *record, uint32_t hops,
                            uint64_t now_us)
{
    uint64_t expired_us =
        pgw_crash_table_expired_us(quarantine->table, now_us);
    bool to_all = pgw_crash_record_suspicions(record, expired_us) >= 2;
    enum pgw_crash_reach reach =
        to_all ? PGW_CRASH_REACH_ALL : PGW_CRASH_REACH_SEEDS;
    GArray *reports;

    if ((!to_all && !record->is_part) || hops > PGW_CRASH_HOPS_MAX) {
        return;
    }
    reports = g_array_new(FALSE, FALSE, sizeof(struct pgw_crashed_run));
    for (uint32_t i = 0; i < record->count; i++) {
        struct pgw_recorded_crash *crash = &record->crashes[i];
        bool is_known = crash->confirmed && !record->is_part;

        if (!is_known && !crash->cleared && crash->reach < reach &&
            (crash->confirmed ||
             (!crash->abandoned && crash->at_us > expired_us))) {
            struct pgw_crashed_run report = pgw_crash_quarantine__make_report(
                quarantine, record, crash, now_us);

            report.hops = hops;
            report.seeds_only = !to_all;
            crash->reach = reach;
            g_array_append_val(reports, report);
        }
    }
    publish_array(quarantine, reports);
}

static void
add_interrupted_request(struct pgw_crash_quarantine *quarantine,
                        struct pgw_crash_record *record, uint64_t crash,
                        uint64_t at_us, uint64_t now_us)
{
    struct pgw_recorded_crash *known =
        pgw_crash_record_find_interrupted(record, crash);

    if (known != NULL && !known->confirmed && known->cleared) {
        pgw_crash_record_remove(record, known);
        known = NULL;
    }
    if (known == NULL) {
        pgw_crash_record_add(
            record, crash, at_us,
            pgw_crash_table_expired_us(quarantine->table, now_us), false);
        pgw_crash_quarantine__share(quarantine, record, 0, now_us);
    }
}

static void
add_interrupted_part(struct pgw_crash_quarantine *quarantine,
                     struct pgw_crash_record *record, uint64_t crash,
                     uint64_t at_us, uint64_t now_us)
{
    struct pgw_recorded_crash *added =
        pgw_crash_record_find_interrupted(record, crash);

    if (added != NULL || pgw_crash_quarantine__is_explained(quarantine, record,
                                                            crash, now_us)) {
        return;
    }
    added = pgw_crash_record_add(
        record, crash, at_us,
        pgw_crash_table_expired_us(quarantine->table, now_us), false);
    if (added != NULL) {
        added->confirmed =
            pgw_crash_quarantine__has_crashed(quarantine, crash);
        pgw_crash_quarantine__share(quarantine, record, 0, now_us);
    }
}

/* Counts a run of a whole request at an upstream that has crashed. */
static void
count_own(struct pgw_crash_quarantine *quarantine,
          struct pgw_crash_record *record, uint64_t crash, bool abandoned,
          uint64_t at_us, uint64_t now_us)
{
    struct pgw_crashed_run report = {
        .fingerprint = record->key,
        .abandoned = abandoned,
        .crash = crash,
        .age_us = now_us - at_us,
    };

    if (pgw_crash_quarantine__count(quarantine, record, crash, abandoned,
                                    "own", at_us, now_us)) {
        pgw_crash_quarantine__publish(quarantine, &report, 1);
    }
}

static void
add_interrupted_key(struct pgw_crash_quarantine *quarantine,
                    struct pgw_crash_record *record, uint64_t crash,
                    uint64_t at_us, uint64_t now_us)
{
    if (record->is_part) {
        add_interrupted_part(quarantine, record, crash, at_us, now_us);
    }
    else if (pgw_crash_quarantine__has_crashed(quarantine, crash)) {
        count_own(quarantine, record, crash, false, at_us, now_us);
    }
    else {
        add_interrupted_request(quarantine, record, crash, at_us, now_us);
    }
}

/* Other runs of the key at the upstream may have left evidence already. */
static void
add_abandoned_key(struct pgw_crash_quarantine *quarantine,
                  struct pgw_crash_record *record, uint64_t crash,
                  uint64_t at_us, uint64_t now_us)
{
    struct pgw_recorded_crash *known;

    if (pgw_crash_quarantine__has_crashed(quarantine, crash)) {
        if (record->is_part) {
            add_interrupted_part(quarantine, record, crash, at_us, now_us);
        }
        else {
            count_own(quarantine, record, crash, true, at_us, now_us);
        }
        return;
    }
    known = pgw_crash_record_find(record, crash);
    if (known != NULL &&
        (known->confirmed || (!known->cleared && !known->abandoned))) {
        return;
    }
    if (known != NULL) {
        pgw_crash_record_remove(record, known);
    }
    known = pgw_crash_record_add(
        record, crash, at_us,
        pgw_crash_table_expired_us(quarantine->table, now_us), false);
    if (known != NULL) {
        known->abandoned = true;
    }
}

static void
add_unfinished(struct pgw_crash_quarantine *quarantine,
               const struct pgw_crash_keys *keys, const char *upstream,
               void (*add_key)(struct pgw_crash_quarantine *quarantine,
                               struct pgw_crash_record *record, uint64_t crash,
                               uint64_t at_us, uint64_t now_us),
               uint64_t at_us, uint64_t now_us)
{
    uint64_t crash = pgw_place_id_hash(upstream);

    pgw_crash_quarantine__drop_crashed(quarantine, now_us);
    for (size_t i = 0; i < keys->count; i++) {
        struct pgw_crash_record *record = pgw_crash_table_get(
            quarantine->table, &keys->items[i], i > 0, now_us);

        if (record != NULL) {
            add_key(quarantine, record, crash, at_us, now_us);
        }
    }
}

void
pgw_crash_quarantine_add_interrupted(struct pgw_crash_quarantine *quarantine,
                                     const struct pgw_crash_keys *keys,
                                     const char *upstream, uint64_t now_us)
{
    add_unfinished(quarantine, keys, upstream, add_interrupted_key, now_us,
                   now_us);
}

void
pgw_crash_quarantine_add_cut(struct pgw_crash_quarantine *quarantine,
                             const struct pgw_crash_keys *keys,
                             const char *upstream, uint64_t cut_us,
                             uint64_t now_us)
{
    add_unfinished(quarantine, keys, upstream, add_interrupted_key, cut_us,
                   now_us);
}

void
pgw_crash_quarantine_add_abandoned(struct pgw_crash_quarantine *quarantine,
                                   const struct pgw_crash_keys *keys,
                                   const char *upstream, uint64_t now_us)
{
    add_unfinished(quarantine, keys, upstream, add_abandoned_key, now_us,
                   now_us);
}

bool
pgw_crash_quarantine__confirm_part(
    const struct pgw_crash_quarantine *quarantine,
    struct pgw_crash_record *record, struct pgw_recorded_crash *crash,
    const char *source, uint64_t now_us)
{
    if (crash->cleared) {
        return false;
    }
    crash->confirmed = true;
    log_crash(quarantine, record, crash->crash, source, true, crash->at_us,
              now_us);
    pgw_metric_counter_add(&crashes_counted, 1);
    return true;
}

/* Whether an upstream that answered at @answered_us had ended an abandoned run
 * by then. */
static bool
was_over(const struct pgw_crash_quarantine *quarantine,
         const struct pgw_recorded_crash *run, uint64_t answered_us)
{
    return run->abandoned &&
           run->at_us + quarantine->options.abandoned_run_us < answered_us;
}

/* Counts the unfinished runs of an upstream that has crashed. Returns whether
 * parts are among them. */
static bool
count_unfinished_runs(struct pgw_crash_quarantine *quarantine, uint64_t crash,
                      uint64_t answered_us, const char *source,
                      GArray *reports, uint64_t now_us)
{
    uint64_t expired_us =
        pgw_crash_table_expired_us(quarantine->table, now_us);
    bool has_parts = false;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, pgw_crash_table_records(quarantine->table));
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct pgw_crash_record *record = value;
        struct pgw_recorded_crash *known =
            pgw_crash_record_find(record, crash);

        if (known == NULL || known->confirmed || known->at_us <= expired_us) {
            continue;
        }
        if (was_over(quarantine, known, answered_us) ||
            (known->cleared && !record->is_part)) {
            pgw_crash_record_remove(record, known);
        }
        else if (record->is_part) {
            has_parts |= pgw_crash_quarantine__confirm_part(
                quarantine, record, known, source, now_us);
        }
        else {
            uint64_t at_us = known->at_us;
            bool abandoned = known->abandoned;

            if (pgw_crash_quarantine__count(quarantine, record, crash,
                                            abandoned, source, at_us,
                                            now_us)) {
                struct pgw_crashed_run report = {.fingerprint = record->key,
                                                 .abandoned = abandoned,
                                                 .crash = crash,
                                                 .age_us = now_us - at_us};

                g_array_append_val(reports, report);
            }
        }
    }
    return has_parts;
}

/* Adds a crash; false if it was known. An id may be that of a process which
 * has started since the last crash under it. */
static bool
add_crashed_upstream(struct pgw_crash_quarantine *quarantine, uint64_t crash,
                     uint64_t answered_us, uint64_t now_us)
{
    struct pgw_crashed_upstream added = {crash, now_us};
    GArray *list = quarantine->crashed_upstreams;
    struct pgw_crashed_upstream *known = find_crash(list, crash);

    if (known != NULL && answered_us <= known->at_us) {
        return false;
    }
    if (known != NULL) {
        g_array_remove_index(list, (guint)(known - crashed_at(list, 0)));
    }
    g_array_append_val(list, added);
    return true;
}

/* Of many upstreams that end together, by a power loss, only some are
 * reported: no single request is the cause. */
static bool
may_report_upstream(struct pgw_crash_quarantine *quarantine, uint64_t now_us)
{
    if (now_us >= quarantine->reports_since_us + G_USEC_PER_SEC) {
        quarantine->reports_since_us = now_us;
        quarantine->reports = 0;
    }
    return quarantine->reports++ < UPSTREAM_REPORTS_PER_S_MAX;
}

bool
pgw_crash_quarantine__add_crash(struct pgw_crash_quarantine *quarantine,
                                uint64_t crash, const char *upstream,
                                uint64_t answered_us, bool has_ended,
                                uint32_t hops, uint64_t now_us)
{
    const char *source = upstream == NULL ? "entry" : "own";
    struct pgw_crashed_run confirmation = {
        .crash = crash,
        .age_us = answered_us == 0 ? 0 : now_us - MIN(answered_us, now_us),
        .kind = PGW_CRASHED_RUN_UPSTREAM,
        .hops = hops,
    };
    GArray *reports;
    uint32_t unmatched;
    bool has_parts;

    pgw_crash_quarantine__drop_crashed(quarantine, now_us);
    if (!add_crashed_upstream(quarantine, crash, answered_us, now_us)) {
        return false;
    }
    pgw_log_info("upstream_crash",
                 "upstream=%s crash=%016" G_GINT64_MODIFIER "x source=%s",
                 upstream == NULL ? "-" : upstream, crash, source);
    if (quarantine->on_crash != NULL) {
        quarantine->on_crash(crash, answered_us, has_ended,
                             quarantine->crash_context);
    }
    reports = g_array_new(FALSE, FALSE, sizeof(struct pgw_crashed_run));
    has_parts = count_unfinished_runs(quarantine, crash, answered_us, source,
                                      reports, now_us);
    if (hops <= PGW_CRASH_HOPS_MAX &&
        (has_parts ||
         (has_ended && may_report_upstream(quarantine, now_us)))) {
        g_array_append_val(reports, confirmation);
    }
    publish_array(quarantine, reports);
    unmatched = pgw_crash_table_expire(quarantine->table, now_us);
    if (unmatched > 0) {
        pgw_log_info("poison_unmatched", "runs=%u", unmatched);
    }
    return true;
}

void
pgw_crash_quarantine_add_crash(struct pgw_crash_quarantine *quarantine,
                               const char *upstream, uint64_t answered_us,
                               uint64_t now_us)
{
    pgw_crash_quarantine__add_crash(quarantine, pgw_place_id_hash(upstream),
                                    upstream, answered_us, false, 0, now_us);
}

void
pgw_crash_quarantine_add_end(struct pgw_crash_quarantine *quarantine,
                             const char *upstream, uint64_t answered_us,
                             uint64_t now_us)
{
    pgw_crash_quarantine__add_crash(quarantine, pgw_place_id_hash(upstream),
                                    upstream, answered_us, true, 0, now_us);
}

bool
pgw_crash_quarantine_has_crashed(const struct pgw_crash_quarantine *quarantine,
                                 const char *upstream)
{
    return pgw_crash_quarantine__has_crashed(quarantine,
                                             pgw_place_id_hash(upstream));
}

bool
pgw_crash_quarantine_has_crashed_since(
    const struct pgw_crash_quarantine *quarantine, const char *upstream,
    uint64_t since_us)
{
    const struct pgw_crashed_upstream *crashed =
        find_crash(quarantine->crashed_upstreams, pgw_place_id_hash(upstream));

    return crashed != NULL && crashed->at_us >= since_us;
}

uint32_t
pgw_crash_quarantine_crashes(const struct pgw_crash_quarantine *quarantine,
                             const struct pgw_crash_keys *keys,
                             uint64_t now_us)
{
    uint32_t crashes = 0;

    for (size_t i = 0; i < keys->count; i++) {
        const struct pgw_crash_record *record =
            pgw_crash_table_find(quarantine->table, &keys->items[i]);

        if (record != NULL) {
            crashes = MAX(crashes, pgw_crash_quarantine__suspicions(
                                       quarantine, record, now_us));
        }
    }
    return crashes;
}

enum pgw_crash_reach
pgw_crash_quarantine__clear_record(struct pgw_crash_quarantine *quarantine,
                                   const struct pgw_fingerprint *key)
{
    struct pgw_crash_record *record =
        pgw_crash_table_find(quarantine->table, key);
    enum pgw_crash_reach reach;
    char name[PGW_FINGERPRINT_HEX];

    if (record == NULL) {
        return PGW_CRASH_REACH_NONE;
    }
    reach = pgw_crash_record_reach(record);
    if (record->quarantined_until_us != 0 || record->trial.token != 0 ||
        (!record->is_part && pgw_crash_record_confirmed(record) > 0)) {
        reach = PGW_CRASH_REACH_ALL;
        if (is_logged(quarantine, record)) {
            pgw_fingerprint_print(name, key);
            pgw_log_info("poison_cleared", "fingerprint=%s part=%d", name,
                         (int)record->is_part);
        }
    }
    pgw_crash_blame__release(quarantine, record);
    pgw_crash_record_clear(record);
    return reach;
}

void
pgw_crash_quarantine_clear(struct pgw_crash_quarantine *quarantine,
                           const struct pgw_crash_keys *keys)
{
    struct pgw_crashed_run reports[PGW_CRASH_KEYS_MAX];
    size_t count = 0;

    pgw_completed_parts_add(&quarantine->completed, keys);
    if (g_hash_table_size(pgw_crash_table_records(quarantine->table)) == 0) {
        return;
    }
    for (size_t i = 0; i < keys->count; i++) {
        enum pgw_crash_reach reach =
            pgw_crash_quarantine__clear_record(quarantine, &keys->items[i]);

        if (reach != PGW_CRASH_REACH_NONE) {
            reports[count++] = (struct pgw_crashed_run){
                .fingerprint = keys->items[i],
                .is_part = i > 0,
                .seeds_only = reach == PGW_CRASH_REACH_SEEDS,
            };
        }
    }
    pgw_crash_quarantine__publish(quarantine, reports, count);
}
