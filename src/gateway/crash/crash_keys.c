#include "gateway/crash/crash_keys.h"
#include <string.h>
#include <xxhash.h>

void
pgw_crash_keys_init(struct pgw_crash_keys *out,
                    const struct pgw_fingerprint *request)
{
    out->items[0] = *request;
    out->count = 1;
    out->pool = 0;
}

void
pgw_crash_keys_add_part(struct pgw_crash_keys *keys, uint64_t id,
                        const char *isolated_to)
{
    uint64_t words[2] = {id, 0};
    struct pgw_fingerprint *key = &keys->items[keys->count];

    if (keys->count == PGW_CRASH_KEYS_MAX) {
        return;
    }
    if (isolated_to != NULL) {
        words[1] = XXH64(isolated_to, strlen(isolated_to), 0);
    }
    G_STATIC_ASSERT(sizeof(words) == sizeof(key->bytes));
    memcpy(key->bytes, words, sizeof(words));
    keys->count++;
}

bool
pgw_crash_keys_contain(const struct pgw_crash_keys *keys,
                       const struct pgw_fingerprint *key)
{
    for (size_t i = 0; i < keys->count; i++) {
        if (pgw_fingerprint_equal(&keys->items[i], key)) {
            return true;
        }
    }
    return false;
}

void
pgw_crash_keys_remove(struct pgw_crash_keys *keys,
                      const struct pgw_fingerprint *key)
{
    size_t kept = 0;

    for (size_t i = 0; i < keys->count; i++) {
        if (!pgw_fingerprint_equal(&keys->items[i], key)) {
            keys->items[kept++] = keys->items[i];
        }
    }
    keys->count = kept;
}
