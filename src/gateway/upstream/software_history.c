#include "gateway/upstream/software_history.h"
#include <string.h>

/* A record is read and written by one entry after the other: the first does it
 * for all. The times grow with the number of entries. */
#define CHANGE_DELAY_US 100000
#define CHANGE_DELAY_ENTRY_US 2000
/* Nobody waits for a record to be settled that others have written. */
#define SETTLE_DELAY_US 5000000

static bool
has_version(const struct pgw_software_record *record, const char *version)
{
    for (size_t i = 0; i < record->count; i++) {
        if (record->versions[i] == version) {
            return true;
        }
    }
    return false;
}

/* Whether the record was changed by adding @version. */
static bool
add_version(struct pgw_software_record *record, const char *version)
{
    if (has_version(record, version) ||
        record->count == PGW_SOFTWARE_RECORD_MAX) {
        return false;
    }
    record->versions[record->count++] = version;
    return true;
}

static bool
is_equal(const struct pgw_software_record *a,
         const struct pgw_software_record *b)
{
    if (a->count != b->count || a->settled != b->settled ||
        a->listed_alone != b->listed_alone ||
        a->alone_since_us != b->alone_since_us) {
        return false;
    }
    for (size_t i = 0; i < a->count; i++) {
        if (!has_version(b, a->versions[i])) {
            return false;
        }
    }
    return true;
}

void
pgw_software_history_set_record(struct pgw_software_history *history,
                                const struct pgw_software_record *record,
                                uint64_t now_us)
{
    static const struct pgw_software_record none;
    enum pgw_software_record_state state = record == NULL
                                               ? PGW_SOFTWARE_RECORD_ABSENT
                                               : PGW_SOFTWARE_RECORD_PRESENT;

    if (record == NULL) {
        record = &none;
    }
    if (history->state != state || !is_equal(&history->record, record)) {
        history->changed_us = now_us;
    }
    history->state = state;
    history->record = *record;
}

/* Whether this entry has seen only the version that is listed now for as long
 * as streams may be taken up. */
static bool
has_seen_one(const struct pgw_software_history *history,
             const struct pgw_upstream_pool *pool, uint64_t now_us)
{
    return !pgw_upstream_pool_is_mixed(pool, now_us) &&
           pgw_upstream_pool_software(pool) != NULL &&
           (history->is_first_start ||
            now_us >= pool->since_us + PGW_SOFTWARE_MIXED_US);
}

/* Whether the service's upstreams have no versions at all: they are alike. */
static bool
has_no_versions(const struct pgw_software_history *history,
                const struct pgw_upstream_pool *pool, uint64_t now_us)
{
    const struct pgw_software_record *record = &history->record;
    const char *software = pgw_upstream_pool_software(pool);

    return !pgw_upstream_pool_is_mixed(pool, now_us) && software != NULL &&
           software[0] == '\0' &&
           (record->count == 0 ||
            (record->count == 1 && record->versions[0] == software));
}

/*
 * Failure: entries that are killed again and again never see one version for
 * long enough, and neither does a sidecar that is killed with them. Symptom:
 * long after a release they refuse streams whose version is there.
 */
static bool
record_shows_one(const struct pgw_software_history *history,
                 const struct pgw_upstream_pool *pool,
                 struct pgw_software_time time)
{
    const struct pgw_software_record *record = &history->record;
    const char *software = pgw_upstream_pool_software(pool);

    if (pgw_upstream_pool_is_mixed(pool, time.now_us) || software == NULL ||
        history->state != PGW_SOFTWARE_RECORD_PRESENT) {
        return false;
    }
    return (record->settled && record->count == 1 &&
            record->versions[0] == software) ||
           (record->listed_alone == software &&
            time.wall_us >= record->alone_since_us + PGW_SOFTWARE_MIXED_US +
                                PGW_SOFTWARE_CLOCKS_US);
}

bool
pgw_software_history_is_single(const struct pgw_software_history *history,
                               const struct pgw_upstream_pool *pool,
                               struct pgw_software_time time)
{
    return has_no_versions(history, pool, time.now_us) ||
           has_seen_one(history, pool, time.now_us) ||
           record_shows_one(history, pool, time);
}

/*
 * Failure: an entry that restarts soon after the first start of the deployment
 * has not seen enough, and writes a record that is not settled. Symptom: after
 * a restart of all entries streams are refused whose version is there. An
 * entry that runs since then knows that there was no other version.
 */
static bool
confirms_first_version(const struct pgw_software_history *history,
                       const struct pgw_upstream_pool *pool)
{
    const struct pgw_software_record *record = &history->record;

    return history->is_first_start && record->count == 1 &&
           record->versions[0] == pgw_upstream_pool_software(pool);
}

/*
 * Failure: an entry whose list is late settles a record that another one has
 * just changed. Symptom: after a restart of all entries streams go on at
 * another version. The record must have stood for as long as streams may be
 * taken up, too.
 */
static bool
may_settle(const struct pgw_software_history *history,
           const struct pgw_upstream_pool *pool, struct pgw_software_time time)
{
    return record_shows_one(history, pool, time) ||
           (has_seen_one(history, pool, time.now_us) &&
            (history->state == PGW_SOFTWARE_RECORD_ABSENT ||
             confirms_first_version(history, pool) ||
             time.now_us >= history->changed_us + PGW_SOFTWARE_MIXED_US));
}

/* Whether the record was changed by what is listed now. */
static bool
set_listed_alone(struct pgw_software_record *record,
                 const struct pgw_upstream_pool *pool,
                 struct pgw_software_time time)
{
    const char *software = pgw_upstream_pool_software(pool);

    if (g_hash_table_size(pool->software) == 0 ||
        record->listed_alone == software) {
        return false;
    }
    record->listed_alone = software;
    record->alone_since_us = software == NULL ? 0 : time.wall_us;
    return true;
}

bool
pgw_software_history_next_record(struct pgw_software_record *out,
                                 const struct pgw_software_history *history,
                                 const struct pgw_upstream_pool *pool,
                                 struct pgw_software_time time)
{
    bool is_new = history->state == PGW_SOFTWARE_RECORD_ABSENT;
    GHashTableIter iter;
    gpointer version;

    if (history->state == PGW_SOFTWARE_RECORD_UNREAD) {
        return false;
    }
    *out = history->record;
    g_hash_table_iter_init(&iter, pool->software);
    while (g_hash_table_iter_next(&iter, &version, NULL)) {
        is_new = add_version(out, version) || is_new;
    }
    if (out->count == 0) {
        return false;
    }
    if (may_settle(history, pool, time) &&
        (is_new || !history->record.settled)) {
        *out = (struct pgw_software_record){
            .versions = {pgw_upstream_pool_software(pool)},
            .count = 1,
            .settled = true,
        };
        return true;
    }
    if (is_new) {
        out->settled = false;
    }
    return (!out->settled && set_listed_alone(out, pool, time)) || is_new;
}

uint64_t
pgw_software_history_write_delay_us(const struct pgw_software_history *history,
                                    const struct pgw_software_record *next,
                                    size_t entries)
{
    bool is_settling =
        next->settled && history->state == PGW_SOFTWARE_RECORD_PRESENT;

    return is_settling
               ? SETTLE_DELAY_US
               : CHANGE_DELAY_US + entries * (uint64_t)CHANGE_DELAY_ENTRY_US;
}
