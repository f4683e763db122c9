#ifndef PGW_GATEWAY_REQUEST_STREAM_LEDGER_H
#define PGW_GATEWAY_REQUEST_STREAM_LEDGER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Software versions at which streams began
 *
 * Pure state: attempts by their ids, with the version of the upstream that
 * they were sent to. Records expire, and their number is limited: the oldest
 * make room. Entries keep those of their own attempts, sidecars those that
 * entries send them.
 */

struct pgw_stream_ledger;

/**
 * pgw_stream_ledger_new() - create an empty ledger
 * @lifetime_us: how long a record is kept
 * @records_max: maximum number of records
 */
struct pgw_stream_ledger *pgw_stream_ledger_new(uint64_t lifetime_us,
                                                size_t records_max);
void pgw_stream_ledger_free(struct pgw_stream_ledger *ledger);

/** pgw_stream_ledger_put() - add an attempt, or replace its version; @software
 * is interned */
void pgw_stream_ledger_put(struct pgw_stream_ledger *ledger, uint64_t id,
                           const char *software, uint64_t now_us);

/** pgw_stream_ledger_find() - version of an attempt; false: it is not known */
bool pgw_stream_ledger_find(const char **software,
                            const struct pgw_stream_ledger *ledger,
                            uint64_t id, uint64_t now_us);

/** pgw_stream_ledger_is_empty() - no record is current */
bool pgw_stream_ledger_is_empty(const struct pgw_stream_ledger *ledger,
                                uint64_t now_us);

/** pgw_stream_ledger_remove() - remove an attempt, if it is there */
void pgw_stream_ledger_remove(struct pgw_stream_ledger *ledger, uint64_t id);

/** pgw_stream_ledger_foreach() - call a function with each current record */
void pgw_stream_ledger_foreach(
    const struct pgw_stream_ledger *ledger, uint64_t now_us,
    void (*on_record)(uint64_t id, const char *software, void *context),
    void *context);

#endif
