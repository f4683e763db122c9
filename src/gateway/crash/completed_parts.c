#include "gateway/crash/completed_parts.h"
#include <string.h>

/* The halves of a key are the part's id and the workspace it is isolated to.
 */
static uint64_t
word_of(const struct pgw_fingerprint *part)
{
    uint64_t words[2];

    memcpy(words, part->bytes, sizeof(words));
    return words[0] ^ words[1];
}

void
pgw_completed_parts_add_part(struct pgw_completed_parts *parts,
                             const struct pgw_fingerprint *part)
{
    uint64_t word = word_of(part);

    parts->slots[word % PGW_COMPLETED_PARTS_SIZE] = word;
}

void
pgw_completed_parts_add(struct pgw_completed_parts *parts,
                        const struct pgw_crash_keys *keys)
{
    for (size_t i = 1; i < keys->count; i++) {
        pgw_completed_parts_add_part(parts, &keys->items[i]);
    }
}

bool
pgw_completed_parts_has(const struct pgw_completed_parts *parts,
                        const struct pgw_fingerprint *part)
{
    uint64_t word = word_of(part);

    return word != 0 && parts->slots[word % PGW_COMPLETED_PARTS_SIZE] == word;
}
