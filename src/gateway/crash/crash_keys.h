#ifndef PGW_GATEWAY_CRASH_CRASH_KEYS_H
#define PGW_GATEWAY_CRASH_CRASH_KEYS_H

#include "parsleygw/quarantine.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: What of a request may crash the upstream that runs it
 *
 * The request as a whole, or one part of its prompt, whatever else the request
 * has. Each has a key by which crashes are counted.
 */

/* The whole request and the shared parts of its prompt. */
#define PGW_CRASH_KEYS_MAX 16

/**
 * struct pgw_crash_keys - keys of one request
 * @items: the whole request first, then the parts of its prompt that other
 *   requests may share
 * @count: number of @items
 * @pool: hash of the service that runs it, 0: not known
 */
struct pgw_crash_keys {
    struct pgw_fingerprint items[PGW_CRASH_KEYS_MAX];
    size_t count;
    uint64_t pool;
};

/** pgw_crash_keys_init() - keys of a request without a prompt */
void pgw_crash_keys_init(struct pgw_crash_keys *out,
                         const struct pgw_fingerprint *request);

/**
 * pgw_crash_keys_add_part() - add a shared part of the prompt
 * @keys: the keys
 * @id: hash of the part's id
 * @isolated_to: the only workspace that may share it, NULL: all may. Parts of
 *   isolated workspaces have keys of their own, so that no workspace learns
 *   which parts another one sends, or gets them refused.
 */
void pgw_crash_keys_add_part(struct pgw_crash_keys *keys, uint64_t id,
                             const char *isolated_to);

/** pgw_crash_keys_contain() - whether a key is among those of a request */
bool pgw_crash_keys_contain(const struct pgw_crash_keys *keys,
                            const struct pgw_fingerprint *key);

/** pgw_crash_keys_remove() - remove a key, if it is there */
void pgw_crash_keys_remove(struct pgw_crash_keys *keys,
                           const struct pgw_fingerprint *key);

#endif
