#ifndef PGW_GATEWAY_UPSTREAM_RECENT_PARTS_H
#define PGW_GATEWAY_UPSTREAM_RECENT_PARTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Shared prompt parts that were recently sent to an upstream
 *
 * A table of fixed size with the most recently used parts. It is approximate:
 * a wrong item costs another prefill but never a wrong answer, because the
 * engine checks its own cache.
 */

/* An entry sends an engine about ten prompts a second, and an engine's KV
 * cache holds about ten long parts. */
#define PGW_RECENT_PARTS_SIZE 64

/**
 * struct pgw_recent_parts - recently used parts, unordered
 * @keys: pgw_part_key() of each part; 0: unused
 * @used_us: when each was last used
 */
struct pgw_recent_parts {
    uint64_t keys[PGW_RECENT_PARTS_SIZE];
    uint64_t used_us[PGW_RECENT_PARTS_SIZE];
};

/** pgw_recent_parts_add() - record that the upstream uses a part now */
void pgw_recent_parts_add(struct pgw_recent_parts *recent, uint64_t key,
                          uint64_t now_us);

/** pgw_recent_parts_has() - whether a part was used after a time */
bool pgw_recent_parts_has(const struct pgw_recent_parts *recent, uint64_t key,
                          uint64_t since_us);

/** pgw_recent_parts_remove() - the upstream lost a part */
void pgw_recent_parts_remove(struct pgw_recent_parts *recent, uint64_t key);

/** pgw_recent_parts_clear() - the upstream lost all parts */
void pgw_recent_parts_clear(struct pgw_recent_parts *recent);

#endif
