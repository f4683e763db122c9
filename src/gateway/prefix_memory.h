#ifndef PGW_GATEWAY_PREFIX_MEMORY_H
#define PGW_GATEWAY_PREFIX_MEMORY_H

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
#define PGW_PREFIX_MEMORY_SIZE 64

/**
 * struct pgw_prefix_memory - the parts, in no order
 * @keys: hashes of part, salt and weights; 0 is an empty place
 * @used_us: last use
 */
struct pgw_prefix_memory {
    uint64_t keys[PGW_PREFIX_MEMORY_SIZE];
    uint64_t used_us[PGW_PREFIX_MEMORY_SIZE];
};

/** pgw_prefix_memory_note() - a part is used there now */
void pgw_prefix_memory_note(struct pgw_prefix_memory *memory, uint64_t key,
                            uint64_t now_us);

/** pgw_prefix_memory_has() - whether a part was used there after a time */
bool pgw_prefix_memory_has(const struct pgw_prefix_memory *memory,
                           uint64_t key, uint64_t since_us);

/** pgw_prefix_memory_forget() - it lost one part */
void pgw_prefix_memory_forget(struct pgw_prefix_memory *memory, uint64_t key);

/** pgw_prefix_memory_clear() - it lost all */
void pgw_prefix_memory_clear(struct pgw_prefix_memory *memory);

#endif
