#include "gateway/crash/crash_table.h"
#include "util/log.h"
#include "util/metric.h"

static struct pgw_metric_gauge record_count = {
    .name = "pgw_gateway_poison_records",
    .help = "Requests and prompt parts that were running in a crash",
};

struct pgw_crash_table {
    struct pgw_crash_table_options options;
    GHashTable *records;
};

static void
free_record(gpointer record)
{
    pgw_crash_record_free(record);
}

struct pgw_crash_table *
pgw_crash_table_new(const struct pgw_crash_table_options *options)
{
    struct pgw_crash_table *table = g_new0(struct pgw_crash_table, 1);

    table->options = *options;
    table->records = g_hash_table_new_full(
        pgw_fingerprint_hash, pgw_fingerprint_equal, NULL, free_record);
    pgw_metric_register_gauge(&record_count);
    return table;
}

void
pgw_crash_table_free(struct pgw_crash_table *table)
{
    g_hash_table_destroy(table->records);
    g_free(table);
}

GHashTable *
pgw_crash_table_records(const struct pgw_crash_table *table)
{
    return table->records;
}

struct pgw_crash_record *
pgw_crash_table_find(const struct pgw_crash_table *table,
                     const struct pgw_fingerprint *key)
{
    return g_hash_table_lookup(table->records, key);
}

static uint64_t
before(uint64_t now_us, uint64_t age_us)
{
    return now_us > age_us ? now_us - age_us : 0;
}

uint64_t
pgw_crash_table_expired_us(const struct pgw_crash_table *table,
                           uint64_t now_us)
{
    return before(now_us, table->options.match_us);
}

static bool
is_too_old(const struct pgw_crash_table *table,
           const struct pgw_crash_record *record, uint64_t now_us)
{
    uint64_t held_until_us =
        MAX(record->quarantined_until_us, record->next_trial_us);

    return MAX(record->last_us, held_until_us) <
           before(now_us, table->options.lifetime_us);
}

static bool
has_trial_or_quarantine(const struct pgw_crash_record *record, uint64_t now_us)
{
    return now_us < record->quarantined_until_us ||
           now_us < record->next_trial_us ||
           (record->trial.token != 0 && now_us < record->trial.until_us);
}

/* Reports of a part are passed on a limited number of times, so that a cleared
 * one may be forgotten. Those of a whole request must be known for good. */
static bool
is_obsolete(const struct pgw_crash_table *table,
            const struct pgw_crash_record *record, uint64_t now_us)
{
    uint64_t expired_us = pgw_crash_table_expired_us(table, now_us);

    if (is_too_old(table, record, now_us)) {
        return true;
    }
    return record->quarantine_count == 0 && record->last_us <= expired_us &&
           !has_trial_or_quarantine(record, now_us) &&
           (record->is_part
                ? pgw_crash_record_suspicions(record, expired_us) == 0
                : record->count == 0);
}

uint32_t
pgw_crash_table_expire(struct pgw_crash_table *table, uint64_t now_us)
{
    uint64_t expired_us = pgw_crash_table_expired_us(table, now_us);
    uint32_t unmatched = 0;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, table->records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct pgw_crash_record *record = value;

        for (uint32_t i = record->count; i > 0 && !record->is_part; i--) {
            struct pgw_recorded_crash *crash = &record->crashes[i - 1];

            if (!crash->confirmed && crash->at_us <= expired_us) {
                unmatched += !crash->abandoned;
                pgw_crash_record_remove(record, crash);
            }
        }
        if (is_obsolete(table, record, now_us)) {
            g_hash_table_iter_remove(&iter);
        }
    }
    pgw_metric_gauge_set(&record_count, g_hash_table_size(table->records));
    return unmatched;
}

static bool
may_make_room(const struct pgw_crash_record *record, uint64_t now_us)
{
    return record->quarantine_count == 0 &&
           !has_trial_or_quarantine(record, now_us) &&
           pgw_crash_record_suspicions(record, 0) <= 1;
}

static gint
compare_times(gconstpointer a, gconstpointer b)
{
    uint64_t a_us = *(const uint64_t *)a;
    uint64_t b_us = *(const uint64_t *)b;

    return (a_us > b_us) - (a_us < b_us);
}

static void
make_room(struct pgw_crash_table *table, uint64_t now_us)
{
    GArray *times_us = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    uint64_t median_us;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, table->records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct pgw_crash_record *record = value;

        if (may_make_room(record, now_us)) {
            g_array_append_val(times_us, record->last_us);
        }
    }
    if (times_us->len > 0) {
        g_array_sort(times_us, compare_times);
        median_us = g_array_index(times_us, uint64_t, times_us->len / 2);
        g_hash_table_iter_init(&iter, table->records);
        while (g_hash_table_iter_next(&iter, NULL, &value)) {
            const struct pgw_crash_record *record = value;

            if (may_make_room(record, now_us) &&
                record->last_us <= median_us) {
                g_hash_table_iter_remove(&iter);
            }
        }
    }
    g_array_unref(times_us);
}

static bool
is_full(const struct pgw_crash_table *table)
{
    return g_hash_table_size(table->records) >= table->options.records_max;
}

struct pgw_crash_record *
pgw_crash_table_get(struct pgw_crash_table *table,
                    const struct pgw_fingerprint *key, bool is_part,
                    uint64_t now_us)
{
    struct pgw_crash_record *record = pgw_crash_table_find(table, key);

    if (record != NULL) {
        if (is_too_old(table, record, now_us)) {
            pgw_crash_record_clear(record);
        }
        return record;
    }
    if (is_full(table)) {
        pgw_crash_table_expire(table, now_us);
    }
    if (is_full(table)) {
        make_room(table, now_us);
    }
    if (is_full(table)) {
        pgw_log_info("poison_full", "records=%u",
                     g_hash_table_size(table->records));
        return NULL;
    }
    record = g_new0(struct pgw_crash_record, 1);
    record->key = *key;
    record->is_part = is_part;
    record->last_us = now_us;
    g_hash_table_insert(table->records, &record->key, record);
    pgw_metric_gauge_set(&record_count, g_hash_table_size(table->records));
    return record;
}
