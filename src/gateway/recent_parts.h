#ifndef PGW_GATEWAY_RECENT_PARTS_H
#define PGW_GATEWAY_RECENT_PARTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Shared prompt parts that were sent to an upstream lately
 *
 * A fixed table of the newest parts, by time. It is a guess: a wrong one costs
 * reading the part again, never a wrong answer, because the engine looks for
 * itself.
 */

/* An entry sends an engine some ten prompts a second, and an engine's memory
 * holds some ten long parts. */
#define PGW_RECENT_PARTS_SIZE 64

/**
 * struct pgw_recent_parts - the parts, in no order
 * @keys: hashes of part, salt and weights; 0 is an empty place
 * @used_us: last use
 */
struct pgw_recent_parts {
    uint64_t keys[PGW_RECENT_PARTS_SIZE];
    uint64_t used_us[PGW_RECENT_PARTS_SIZE];
};

/** pgw_recent_parts_add() - a part is used there now */
void pgw_recent_parts_add(struct pgw_recent_parts *memory, uint64_t key,
                          uint64_t now_us);

/** pgw_recent_parts_has() - whether a part was used there after a time */
bool pgw_recent_parts_has(const struct pgw_recent_parts *memory, uint64_t key,
                          uint64_t since_us);

/** pgw_recent_parts_remove() - it lost one part */
void pgw_recent_parts_remove(struct pgw_recent_parts *memory, uint64_t key);

/** pgw_recent_parts_clear() - it lost all */
void pgw_recent_parts_clear(struct pgw_recent_parts *memory);

#endif
