#include "gateway/crash_quarantine.h"
#include "parsleygw/place.h"
#include "util/log.h"
#include "util/metric.h"
#include <string.h>

/* Runs that broke off and are not linked to a crash yet; a lost rack of 40
 * engines with 64 runs each is below it. */
#define BROKEN_MAX 4096

static struct pgw_metric_counter crashes_counted = {
    .name = "pgw_gateway_poison_crashes_total",
    .help = "Runs that were under way at an upstream that crashed",
};
static struct pgw_metric_gauge remembered = {
    .name = "pgw_gateway_poison_records",
    .help = "Fingerprints of requests that ran while an upstream crashed",
};

/*
 * struct record - one fingerprint and the crashes that it was in
 * @crashes: the latest ones, the oldest first
 * @at_us: when the run broke off, of each
 * @count: of @crashes
 * @valid: how many of these, the last ones, count against it
 * @last_us: time of the last one
 * @holds: how often it was held back
 * @held_until_us: it is held back until then
 *
 * Void crashes stay: a crash that arrives behind the good end that made it
 * void must not look new, or entries would pass both on for ever.
 */
struct record {
    struct pgw_fingerprint fingerprint;
    uint64_t crashes[PGW_CRASH_QUARANTINE_CRASHES_MAX];
    uint64_t at_us[PGW_CRASH_QUARANTINE_CRASHES_MAX];
    uint32_t count;
    uint32_t valid;
    uint64_t last_us;
    uint32_t holds;
    uint64_t held_until_us;
};

/* struct broken_run - a run that broke off; its upstream may have crashed */
struct broken_run {
    struct pgw_fingerprint fingerprint;
    uint64_t crash;
    uint64_t at_us;
};

/* struct dead_upstream - an incarnation that crashed of late */
struct dead_upstream {
    uint64_t crash;
    uint64_t at_us;
};

/*
 * @records: fingerprint -> &struct record
 * @broken: of &struct broken_run, the oldest first
 * @dead: of &struct dead_upstream, the oldest first
 */
struct pgw_crash_quarantine {
    struct pgw_crash_quarantine_options options;
    GHashTable *records;
    GArray *broken;
    GArray *dead;
    void (*on_crashed)(const struct pgw_crashed_run *crashed, size_t count,
                       void *context);
    void *context;
};

struct pgw_crash_quarantine *
pgw_crash_quarantine_new(const struct pgw_crash_quarantine_options *options)
{
    struct pgw_crash_quarantine *poison =
        g_new0(struct pgw_crash_quarantine, 1);

    g_assert(options->crashes <= PGW_CRASH_QUARANTINE_CRASHES_MAX);
    poison->options = *options;
    poison->records = g_hash_table_new_full(
        pgw_fingerprint_hash, pgw_fingerprint_equal, NULL, g_free);
    poison->broken = g_array_new(FALSE, FALSE, sizeof(struct broken_run));
    poison->dead = g_array_new(FALSE, FALSE, sizeof(struct dead_upstream));
    pgw_metric_register_counter(&crashes_counted);
    pgw_metric_register_gauge(&remembered);
    return poison;
}

void
pgw_crash_quarantine_free(struct pgw_crash_quarantine *poison)
{
    g_array_unref(poison->broken);
    g_array_unref(poison->dead);
    g_hash_table_destroy(poison->records);
    g_free(poison);
}

void
pgw_crash_quarantine_subscribe(
    struct pgw_crash_quarantine *poison,
    void (*on_crashed)(const struct pgw_crashed_run *crashed, size_t count,
                       void *context),
    void *context)
{
    poison->on_crashed = on_crashed;
    poison->context = context;
}

static void
publish(const struct pgw_crash_quarantine *poison,
        const struct pgw_crashed_run *crashed, size_t count)
{
    if (count > 0 && poison->on_crashed != NULL) {
        poison->on_crashed(crashed, count, poison->context);
    }
}

static struct broken_run *
broken_at(const struct pgw_crash_quarantine *poison, guint index)
{
    return &g_array_index(poison->broken, struct broken_run, index);
}

static struct dead_upstream *
dead_at(const struct pgw_crash_quarantine *poison, guint index)
{
    return &g_array_index(poison->dead, struct dead_upstream, index);
}

/* What is older than the time in which both belong together. */
static void
forget_old(struct pgw_crash_quarantine *poison, uint64_t now_us)
{
    uint64_t crash_match_us = poison->options.crash_match_us;
    guint old = 0;

    while (old < poison->broken->len &&
           (broken_at(poison, old)->at_us + crash_match_us <= now_us ||
            poison->broken->len - old >= BROKEN_MAX)) {
        old++;
    }
    g_array_remove_range(poison->broken, 0, old);
    old = 0;
    while (old < poison->dead->len &&
           dead_at(poison, old)->at_us + crash_match_us <= now_us) {
        old++;
    }
    g_array_remove_range(poison->dead, 0, old);
}

static gboolean
is_stale(gpointer key, gpointer value, gpointer before_us)
{
    (void)key;
    return ((struct record *)value)->last_us < *(uint64_t *)before_us;
}

/* The record of a fingerprint, a new one where there is room. */
static struct record *
record_get(struct pgw_crash_quarantine *poison,
           const struct pgw_fingerprint *fingerprint, uint64_t now_us)
{
    struct record *record = g_hash_table_lookup(poison->records, fingerprint);
    uint64_t keep_us = poison->options.keep_us;
    uint64_t before_us = now_us > keep_us ? now_us - keep_us : 0;

    if (record != NULL) {
        if (record->last_us < before_us) {
            record->valid = 0;
            record->holds = 0;
        }
        return record;
    }
    if (g_hash_table_size(poison->records) >= poison->options.records_max) {
        g_hash_table_foreach_remove(poison->records, is_stale, &before_us);
    }
    if (g_hash_table_size(poison->records) >= poison->options.records_max) {
        pgw_log_info("poison_full", "records=%u",
                     g_hash_table_size(poison->records));
        return NULL;
    }
    record = g_new0(struct record, 1);
    record->fingerprint = *fingerprint;
    g_hash_table_insert(poison->records, &record->fingerprint, record);
    pgw_metric_gauge_set(&remembered, g_hash_table_size(poison->records));
    return record;
}

/* Whether one of the crashes that count was at about the same time. */
static bool
is_same_event(const struct pgw_crash_quarantine *poison,
              const struct record *record, uint64_t at_us)
{
    for (uint32_t i = record->count - record->valid; i < record->count; i++) {
        uint64_t other = record->at_us[i];
        uint64_t apart = other > at_us ? other - at_us : at_us - other;

        if (apart < poison->options.min_crash_gap_us) {
            return true;
        }
    }
    return false;
}

static bool
is_known(const struct record *record, uint64_t crash)
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
    record->valid = MIN(record->valid + 1, record->count);
    record->last_us = MAX(record->last_us, at_us);
}

/* Holds a record back whose crashes are enough, for longer each time. */
static void
hold(struct pgw_crash_quarantine *poison, struct record *record,
     uint64_t now_us)
{
    uint64_t us = poison->options.hold_us;

    if (record->valid < poison->options.crashes) {
        return;
    }
    for (uint32_t i = 0; i < record->holds && us < poison->options.keep_us;
         i++) {
        us *= 2;
    }
    record->holds++;
    record->held_until_us = now_us + MIN(us, poison->options.keep_us);
}

/* Return: whether this was not known and counts. */
static bool
count_crash(struct pgw_crash_quarantine *poison,
            const struct pgw_fingerprint *fingerprint, uint64_t crash,
            uint64_t at_us, uint64_t now_us)
{
    struct record *record = record_get(poison, fingerprint, now_us);
    char name[PGW_FINGERPRINT_HEX];

    if (record == NULL || is_known(record, crash) ||
        is_same_event(poison, record, at_us)) {
        return false;
    }
    append_crash(record, crash, at_us);
    if (now_us >= record->held_until_us) {
        hold(poison, record, now_us);
    }
    pgw_metric_counter_add(&crashes_counted, 1);
    pgw_fingerprint_print(name, fingerprint);
    pgw_log_info(
        "poison_crash",
        "fingerprint=%s crash=%016" G_GINT64_MODIFIER "x crashes=%u held=%d",
        name, crash, record->valid, (int)(now_us < record->held_until_us));
    return true;
}

static bool
is_dead(const struct pgw_crash_quarantine *poison, uint64_t crash)
{
    for (guint i = 0; i < poison->dead->len; i++) {
        if (dead_at(poison, i)->crash == crash) {
            return true;
        }
    }
    return false;
}

void
pgw_crash_quarantine_add_interrupted(struct pgw_crash_quarantine *poison,
                                     const struct pgw_fingerprint *fingerprint,
                                     const char *upstream, uint64_t now_us)
{
    struct broken_run run = {*fingerprint, pgw_place_id_hash(upstream),
                             now_us};
    struct pgw_crashed_run crashed = {*fingerprint, run.crash, 0};

    forget_old(poison, now_us);
    if (!is_dead(poison, run.crash)) {
        g_array_append_val(poison->broken, run);
    }
    else if (count_crash(poison, fingerprint, run.crash, now_us, now_us)) {
        publish(poison, &crashed, 1);
    }
}

/* Counts what broke off at an upstream that has crashed. */
static void
link_runs(struct pgw_crash_quarantine *poison, uint64_t crash, GArray *crashed,
          uint64_t now_us)
{
    for (guint i = poison->broken->len; i > 0; i--) {
        const struct broken_run *run = broken_at(poison, i - 1);
        struct pgw_crashed_run item = {run->fingerprint, crash,
                                       now_us - run->at_us};

        if (run->crash != crash) {
            continue;
        }
        if (count_crash(poison, &run->fingerprint, crash, run->at_us,
                        now_us)) {
            g_array_append_val(crashed, item);
        }
        g_array_remove_index(poison->broken, i - 1);
    }
}

void
pgw_crash_quarantine_add_crash(struct pgw_crash_quarantine *poison,
                               const char *upstream, uint64_t now_us)
{
    struct dead_upstream dead = {pgw_place_id_hash(upstream), now_us};
    GArray *crashed;

    forget_old(poison, now_us);
    if (is_dead(poison, dead.crash)) {
        return;
    }
    g_array_append_val(poison->dead, dead);
    crashed = g_array_new(FALSE, FALSE, sizeof(struct pgw_crashed_run));
    link_runs(poison, dead.crash, crashed, now_us);
    publish(poison, (const struct pgw_crashed_run *)(void *)crashed->data,
            crashed->len);
    g_array_unref(crashed);
}

/* Return: whether anything counted against it. */
static bool
clear(struct pgw_crash_quarantine *poison,
      const struct pgw_fingerprint *fingerprint)
{
    struct record *record = g_hash_table_lookup(poison->records, fingerprint);
    char name[PGW_FINGERPRINT_HEX];

    if (record == NULL || record->valid == 0) {
        return false;
    }
    record->valid = 0;
    record->holds = 0;
    record->held_until_us = 0;
    pgw_fingerprint_print(name, fingerprint);
    pgw_log_info("poison_cleared", "fingerprint=%s", name);
    return true;
}

void
pgw_crash_quarantine_clear(struct pgw_crash_quarantine *poison,
                           const struct pgw_fingerprint *fingerprint)
{
    struct pgw_crashed_run crashed = {*fingerprint, 0, 0};

    if (g_hash_table_size(poison->records) > 0 && clear(poison, fingerprint)) {
        publish(poison, &crashed, 1);
    }
}

void
pgw_crash_quarantine_merge(struct pgw_crash_quarantine *poison,
                           const struct pgw_crashed_run *crashed, size_t count,
                           uint64_t now_us)
{
    for (size_t i = 0; i < count; i++) {
        const struct pgw_fingerprint *fingerprint = &crashed[i].fingerprint;
        uint64_t age = MIN(crashed[i].age_us, now_us);
        bool is_new = crashed[i].crash == 0
                          ? clear(poison, fingerprint)
                          : count_crash(poison, fingerprint, crashed[i].crash,
                                        now_us - age, now_us);

        if (is_new) {
            publish(poison, &crashed[i], 1);
        }
    }
}

bool
pgw_crash_quarantine_is_active(const struct pgw_crash_quarantine *poison,
                               const struct pgw_fingerprint *fingerprint,
                               uint64_t now_us)
{
    const struct record *record =
        g_hash_table_lookup(poison->records, fingerprint);

#ifdef PGW_DISABLE_POISON_HOLD
    return false;
#endif
    return record != NULL && now_us < record->held_until_us;
}

GArray *
pgw_crash_quarantine_list(const struct pgw_crash_quarantine *poison,
                          uint64_t now_us)
{
    GArray *crashed =
        g_array_new(FALSE, FALSE, sizeof(struct pgw_crashed_run));
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, poison->records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct record *record = value;

        for (uint32_t i = record->count - record->valid; i < record->count;
             i++) {
            struct pgw_crashed_run item = {record->fingerprint,
                                           record->crashes[i],
                                           now_us - record->at_us[i]};

            g_array_append_val(crashed, item);
        }
    }
    return crashed;
}
