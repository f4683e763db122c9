#ifndef PGW_GATEWAY_PREFIX_MEMORY_H
#define PGW_GATEWAY_PREFIX_MEMORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Which shared prompt parts an upstream probably holds
 *
 * A fixed table of the newest parts, by age. It is a guess made from what was
 * sent there: a wrong one costs a prefill, never a wrong answer, because the
 * engine looks for itself.
 */

/* An engine's memory holds some ten long shared parts; 64 also leave room for
 * the short ones. */
#define PGW_PREFIX_MEMORY_SIZE 64

/**
 * struct pgw_prefix_memory - the parts, in no order
 * @keys: hashes of part, salt and weights; 0 is an empty place
 * @tokens: their sizes
 * @used_us: last use
 */
struct pgw_prefix_memory {
    uint64_t keys[PGW_PREFIX_MEMORY_SIZE];
    uint32_t tokens[PGW_PREFIX_MEMORY_SIZE];
    uint64_t used_us[PGW_PREFIX_MEMORY_SIZE];
};

/** pgw_prefix_memory_note() - a part was read there or used there */
void pgw_prefix_memory_note(struct pgw_prefix_memory *memory, uint64_t key,
                            uint32_t tokens, uint64_t now_us);

/**
 * pgw_prefix_memory_has() - whether a part should be there
 * @memory: the parts
 * @key: the part
 * @capacity: tokens of the upstream's memory that may hold parts: the least
 *   recently used ones beyond it are taken for evicted
 */
bool pgw_prefix_memory_has(const struct pgw_prefix_memory *memory,
                           uint64_t key, uint64_t capacity);

/** pgw_prefix_memory_forget() - it lost one part */
void pgw_prefix_memory_forget(struct pgw_prefix_memory *memory, uint64_t key);

/** pgw_prefix_memory_clear() - it lost all */
void pgw_prefix_memory_clear(struct pgw_prefix_memory *memory);

#endif
