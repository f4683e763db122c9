#include "gateway/crash_quarantine.h"
#include "parsleygw/place.h"
#include "util/log.h"
#include "util/metric.h"
#include <string.h>

/* Maximum number of interrupted runs kept that no crash has been matched to. A
 * rack failure of 40 engines with 64 runs each stays below it. */
#define INTERRUPTED_RUNS_MAX 4096

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
 * @quarantined_until_us: end of the current quarantine
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
};

/* struct interrupted_run - a run whose upstream may have crashed */
struct interrupted_run {
    struct pgw_fingerprint fingerprint;
    uint64_t crash;
    uint64_t at_us;
};

/* struct crashed_upstream - an incarnation that crashed recently */
struct crashed_upstream {
    uint64_t crash;
    uint64_t at_us;
};

/*
 * @records: fingerprint -> &struct record
 * @interrupted: of &struct interrupted_run, the oldest first
 * @crashed_upstreams: of &struct crashed_upstream, the oldest first
 */
struct pgw_crash_quarantine {
    struct pgw_crash_quarantine_options options;
    GHashTable *records;
    GArray *interrupted;
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
    quarantine->interrupted =
        g_array_new(FALSE, FALSE, sizeof(struct interrupted_run));
    quarantine->crashed_upstreams =
        g_array_new(FALSE, FALSE, sizeof(struct crashed_upstream));
    pgw_metric_register_counter(&crashes_counted);
    pgw_metric_register_gauge(&record_count);
    return quarantine;
}

void
pgw_crash_quarantine_free(struct pgw_crash_quarantine *quarantine)
{
    g_array_unref(quarantine->interrupted);
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

static struct interrupted_run *
interrupted_at(const struct pgw_crash_quarantine *quarantine, guint index)
{
    return &g_array_index(quarantine->interrupted, struct interrupted_run,
                          index);
}

static struct crashed_upstream *
crashed_at(const struct pgw_crash_quarantine *quarantine, guint index)
{
    return &g_array_index(quarantine->crashed_upstreams,
                          struct crashed_upstream, index);
}

/* Drops interrupted runs and crashes that are too old to be matched, and the
 * oldest runs beyond the limit. */
static void
drop_expired(struct pgw_crash_quarantine *quarantine, uint64_t now_us)
{
    uint64_t crash_match_us = quarantine->options.crash_match_us;
    guint expired = 0;

    while (expired < quarantine->interrupted->len &&
           (interrupted_at(quarantine, expired)->at_us + crash_match_us <=
                now_us ||
            quarantine->interrupted->len - expired >= INTERRUPTED_RUNS_MAX)) {
        expired++;
    }
    g_array_remove_range(quarantine->interrupted, 0, expired);
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

static gboolean
is_expired(gpointer key, gpointer value, gpointer before_us)
{
    (void)key;
    return ((struct record *)value)->last_us < *(uint64_t *)before_us;
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
        if (record->last_us < before_us) {
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
    g_hash_table_insert(quarantine->records, &record->fingerprint, record);
    pgw_metric_gauge_set(&record_count,
                         g_hash_table_size(quarantine->records));
    return record;
}

/* Whether a counted crash happened at about the same time, so that both are
 * taken for one event. */
static bool
is_near_counted_crash(const struct pgw_crash_quarantine *quarantine,
                      const struct record *record, uint64_t at_us)
{
    for (uint32_t i = record->count - record->counted; i < record->count;
         i++) {
        uint64_t counted_us = record->at_us[i];
        uint64_t gap_us =
            counted_us > at_us ? counted_us - at_us : at_us - counted_us;

        if (gap_us < quarantine->options.min_crash_gap_us) {
            return true;
        }
    }
    return false;
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

/* Quarantines a record that has reached the threshold of crashes, for twice as
 * long each time. */
static void
quarantine_record(struct pgw_crash_quarantine *quarantine,
                  struct record *record, uint64_t now_us)
{
    uint64_t duration_us = quarantine->options.quarantine_us;

    if (record->counted < quarantine->options.crashes) {
        return;
    }
    for (uint32_t i = 0; i < record->quarantine_count &&
                         duration_us < quarantine->options.record_lifetime_us;
         i++) {
        duration_us *= 2;
    }
    record->quarantine_count++;
    record->quarantined_until_us =
        now_us + MIN(duration_us, quarantine->options.record_lifetime_us);
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
    if (is_near_counted_crash(quarantine, record, at_us)) {
        log_crash(record, crash, source, false, at_us, now_us);
        return false;
    }
    append_crash(record, crash, at_us);
    if (now_us >= record->quarantined_until_us) {
        quarantine_record(quarantine, record, now_us);
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

void
pgw_crash_quarantine_add_interrupted(struct pgw_crash_quarantine *quarantine,
                                     const struct pgw_fingerprint *fingerprint,
                                     const char *upstream, uint64_t now_us)
{
    struct interrupted_run run = {*fingerprint, pgw_place_id_hash(upstream),
                                  now_us};
    struct pgw_crashed_run crashed = {*fingerprint, run.crash, 0};

    drop_expired(quarantine, now_us);
    if (!has_crashed(quarantine, run.crash)) {
        g_array_append_val(quarantine->interrupted, run);
    }
    else if (count_crash(quarantine, fingerprint, run.crash, "own", now_us,
                         now_us)) {
        publish(quarantine, &crashed, 1);
    }
}

/* Counts the interrupted runs of an upstream that has crashed. */
static void
count_interrupted_runs(struct pgw_crash_quarantine *quarantine, uint64_t crash,
                       GArray *crashed, uint64_t now_us)
{
    for (guint i = quarantine->interrupted->len; i > 0; i--) {
        const struct interrupted_run *run = interrupted_at(quarantine, i - 1);
        struct pgw_crashed_run item = {run->fingerprint, crash,
                                       now_us - run->at_us};

        if (run->crash != crash) {
            continue;
        }
        if (count_crash(quarantine, &run->fingerprint, crash, "own",
                        run->at_us, now_us)) {
            g_array_append_val(crashed, item);
        }
        g_array_remove_index(quarantine->interrupted, i - 1);
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

/* Clears the counted crashes of a fingerprint. Returns whether there were any.
 */
static bool
clear_record(struct pgw_crash_quarantine *quarantine,
             const struct pgw_fingerprint *fingerprint)
{
    struct record *record =
        g_hash_table_lookup(quarantine->records, fingerprint);
    char name[PGW_FINGERPRINT_HEX];

    if (record == NULL || record->counted == 0) {
        return false;
    }
    record->counted = 0;
    record->quarantine_count = 0;
    record->quarantined_until_us = 0;
    pgw_fingerprint_print(name, fingerprint);
    pgw_log_info("poison_cleared", "fingerprint=%s", name);
    return true;
}

void
pgw_crash_quarantine_clear(struct pgw_crash_quarantine *quarantine,
                           const struct pgw_fingerprint *fingerprint)
{
    struct pgw_crashed_run crashed = {*fingerprint, 0, 0};

    if (g_hash_table_size(quarantine->records) > 0 &&
        clear_record(quarantine, fingerprint)) {
        publish(quarantine, &crashed, 1);
    }
}

void
pgw_crash_quarantine_merge(struct pgw_crash_quarantine *quarantine,
                           const struct pgw_crashed_run *crashed, size_t count,
                           uint64_t now_us)
{
    for (size_t i = 0; i < count; i++) {
        const struct pgw_fingerprint *fingerprint = &crashed[i].fingerprint;
        uint64_t age_us = MIN(crashed[i].age_us, now_us);
        bool is_new =
            crashed[i].crash == 0
                ? clear_record(quarantine, fingerprint)
                : count_crash(quarantine, fingerprint, crashed[i].crash,
                              "entry", now_us - age_us, now_us);

        if (is_new) {
            publish(quarantine, &crashed[i], 1);
        }
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
            struct pgw_crashed_run item = {record->fingerprint,
                                           record->crashes[i],
                                           now_us - record->at_us[i]};

            g_array_append_val(crashed, item);
        }
    }
    return crashed;
}
