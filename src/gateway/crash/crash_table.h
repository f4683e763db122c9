#ifndef PGW_GATEWAY_CRASH_CRASH_TABLE_H
#define PGW_GATEWAY_CRASH_CRASH_TABLE_H

#include "gateway/crash/crash_record.h"
#include <glib.h>

/**
 * DOC: The records of all keys that were running in crashes
 *
 * Their number is bounded. If there is no room, records with one crash make
 * room, the oldest half of them at once. Records with more crashes, with a
 * trial or with a quarantine never do: callers who send new parts cannot push
 * a suspect out.
 */

/**
 * struct pgw_crash_table_options - bounds
 * @match_us: how long an unconfirmed crash counts
 * @lifetime_us: how long a record is kept after its last crash and its last
 *   quarantine
 * @records_max: maximum number of records
 */
struct pgw_crash_table_options {
    uint64_t match_us;
    uint64_t lifetime_us;
    uint32_t records_max;
};

struct pgw_crash_table;

struct pgw_crash_table *
pgw_crash_table_new(const struct pgw_crash_table_options *options);
void pgw_crash_table_free(struct pgw_crash_table *table);

/** pgw_crash_table_records() - key -> &struct pgw_crash_record */
GHashTable *pgw_crash_table_records(const struct pgw_crash_table *table);

/** pgw_crash_table_find() - record of a key, or NULL */
struct pgw_crash_record *
pgw_crash_table_find(const struct pgw_crash_table *table,
                     const struct pgw_fingerprint *key);

/** pgw_crash_table_get() - the same, created if necessary; NULL if there is no
 * room. Crashes and quarantines of a record that is too old are cleared. */
struct pgw_crash_record *pgw_crash_table_get(struct pgw_crash_table *table,
                                             const struct pgw_fingerprint *key,
                                             bool is_part, uint64_t now_us);

/** pgw_crash_table_expired_us() - crashes up to this time that are not
 * confirmed count no longer */
uint64_t pgw_crash_table_expired_us(const struct pgw_crash_table *table,
                                    uint64_t now_us);

/** pgw_crash_table_expire() - remove records without anything that counts or
 * may arrive again, and unconfirmed crashes of whole requests that are too
 * old; returns the number of the latter, without abandoned runs */
uint32_t pgw_crash_table_expire(struct pgw_crash_table *table,
                                uint64_t now_us);

#endif
