#ifndef PGW_GATEWAY_UPSTREAM_SOFTWARE_HISTORY_H
#define PGW_GATEWAY_UPSTREAM_SOFTWARE_HISTORY_H

#include "gateway/upstream/upstream_table.h"

/**
 * DOC: The software versions at which streams of a service may have begun
 *
 * A stream whose version nobody knows can go on only if all streams that may
 * still be taken up began at one version. The list of upstreams does not show
 * that: a version whose last upstream has just left is not in it. An entry
 * knows it if it has seen one version for as long as streams may be taken up.
 * An entry that has just started has the service's record in the platform's
 * store: the versions that were listed lately, which of them is the only one
 * that is listed now and since when, and whether an entry has seen only this
 * one for so long. The record changes three times a release.
 *
 * Pure functions: what is seen and the time go in, what may be concluded and
 * what is to be written come out.
 */

/* Added to a time that was set by another machine's clock: clocks differ by
 * less. More would refuse streams for longer after a release. */
#define PGW_SOFTWARE_CLOCKS_US 10000000ULL

/* Versions of one service within a minute; a record with more is not settled.
 */
#define PGW_SOFTWARE_RECORD_MAX 8

/**
 * struct pgw_software_record - a service's record in the platform's store
 * @versions: interned versions
 * @count: number of @versions
 * @settled: all streams that may be taken up began at the only version
 * @listed_alone: the only version that is listed, NULL: several are, or it is
 *   not known; interned
 * @alone_since_us: since when, wall clock in microseconds since 1970
 */
struct pgw_software_record {
    const char *versions[PGW_SOFTWARE_RECORD_MAX];
    size_t count;
    bool settled;
    const char *listed_alone;
    uint64_t alone_since_us;
};

/**
 * struct pgw_software_time - the time at which something is decided
 * @now_us: monotonic time
 * @wall_us: wall clock in microseconds since 1970
 */
struct pgw_software_time {
    uint64_t now_us;
    uint64_t wall_us;
};

/**
 * enum pgw_software_record_state - what is known of a record
 * @PGW_SOFTWARE_RECORD_UNREAD: it was not read yet
 * @PGW_SOFTWARE_RECORD_ABSENT: there was none
 * @PGW_SOFTWARE_RECORD_PRESENT: it was read, or written
 */
enum pgw_software_record_state {
    PGW_SOFTWARE_RECORD_UNREAD,
    PGW_SOFTWARE_RECORD_ABSENT,
    PGW_SOFTWARE_RECORD_PRESENT,
};

/**
 * struct pgw_software_history - what an entry knows of a service
 * @state: what it knows of the record
 * @record: the record, if it is present
 * @changed_us: when @record was first seen as it is
 * @is_first_start: the entry runs since the first start of the deployment
 */
struct pgw_software_history {
    enum pgw_software_record_state state;
    struct pgw_software_record record;
    uint64_t changed_us;
    bool is_first_start;
};

/** pgw_software_history_set_record() - the record was read or written; NULL:
 * there is none */
void pgw_software_history_set_record(struct pgw_software_history *history,
                                     const struct pgw_software_record *record,
                                     uint64_t now_us);

/** pgw_software_history_is_single() - whether all streams of the pool that may
 * be taken up began at the version that its upstreams run, or no versions are
 * listed */
bool pgw_software_history_is_single(const struct pgw_software_history *history,
                                    const struct pgw_upstream_pool *pool,
                                    struct pgw_software_time time);

/**
 * pgw_software_history_next_record() - the record that is to be written
 * @out: receives it
 * @history: what the entry knows
 * @pool: the upstreams
 * @time: the time
 *
 * Return: false if the store has it already.
 */
bool
pgw_software_history_next_record(struct pgw_software_record *out,
                                 const struct pgw_software_history *history,
                                 const struct pgw_upstream_pool *pool,
                                 struct pgw_software_time time);

/** pgw_software_history_write_delay_us() - the longest delay before a record
 * is written; each of the @entries waits for a random part of it */
uint64_t
pgw_software_history_write_delay_us(const struct pgw_software_history *history,
                                    const struct pgw_software_record *next,
                                    size_t entries);

#endif
