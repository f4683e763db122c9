#ifndef PARSLEYGW_LEVEL_H
#define PARSLEYGW_LEVEL_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * DOC: Levels of a prompt
 *
 * Long prompts are nested, for example rulebook, tenant, menu and question. A
 * level is a prefix of the prompt that ends at one of these boundaries. Its
 * hash covers the salt and every byte from the start of the prompt, so two
 * prompts have a level in common exactly when they share that prefix and all
 * four fields of the salt.
 */

#define PGW_LEVEL_MAX 8
#define PGW_LEVEL_BLOCK_TOKENS 16
#define PGW_LEVEL_CACHE_SALT_SIZE 33

/**
 * struct pgw_level - one prefix of a prompt
 * @hash_high: upper half of the prefix's 128-bit hash
 * @hash_low: lower half
 * @end_bytes: length of the prefix in bytes
 * @end_tokens: length in whole tokens, rounded down
 */
struct pgw_level {
    uint64_t hash_high;
    uint64_t hash_low;
    uint32_t end_bytes;
    uint32_t end_tokens;
};

/**
 * struct pgw_level_chain - the levels of one prompt, outermost first
 * @count: number of levels, 0 only for an empty prompt
 * @levels: prefixes of strictly increasing length; the last one is the whole
 *     prompt
 * @prompt_tokens: length of the prompt in tokens, rounded up
 */
struct pgw_level_chain {
    size_t count;
    struct pgw_level levels[PGW_LEVEL_MAX];
    uint32_t prompt_tokens;
};

/**
 * struct pgw_level_salt - scope within which cached prompts may be shared
 * @workspace: the workspace's name, never empty
 * @model: the model's name, never empty
 * @adapter: the adapter's name, empty for none
 * @version: the weights version, never empty
 */
struct pgw_level_salt {
    const char *workspace;
    const char *model;
    const char *adapter;
    const char *version;
};

/**
 * pgw_level_chain_init() - split a prompt into levels and hash them
 * @out: receives the chain
 * @salt: all four fields set; part of every hash
 * @prompt: the prompt's bytes
 * @len: its length in bytes
 * @boundaries: ends of levels in bytes, ascending; values that are 0, beyond
 *     the prompt or not ascending are ignored
 * @n: number of @boundaries; 0 splits an unmarked prompt at doubling sizes
 * @bytes_per_token: the pool's average, at least 1
 *
 * Return: false, with an empty @out, if a field of the salt is missing or the
 * prompt is longer than 4 GiB - 1.
 */
bool pgw_level_chain_init(struct pgw_level_chain *out,
                          const struct pgw_level_salt *salt,
                          const void *prompt, size_t len,
                          const uint32_t *boundaries, size_t n,
                          uint32_t bytes_per_token);

/**
 * pgw_level_boundaries() - find the ends of levels by a marker
 * @out: receives ascending ends in bytes, each directly after a marker
 * @max: capacity of @out, at least 1
 * @prompt: the prompt's bytes
 * @len: its length in bytes
 * @marker: the profile's level marker; NULL or empty finds nothing
 *
 * If there are more than @max markers, half of @max from either end are kept
 * and the levels between them are merged (see pgw_level_boundaries_merge()).
 *
 * Return: the number of ends written.
 */
size_t pgw_level_boundaries(uint32_t *out, size_t max, const void *prompt,
                            size_t len, const char *marker);

/**
 * pgw_level_boundaries_merge() - reduce the number of boundaries in place
 * @boundaries: ascending ends in bytes, such as the ends of chat messages
 * @n: number of boundaries
 * @max: maximum number to keep, at least 1
 *
 * Keeps the outermost boundaries, which most requests share, and the innermost
 * ones, which the next turn of the same conversation shares.
 *
 * Return: the number of boundaries kept.
 */
size_t pgw_level_boundaries_merge(uint32_t *boundaries, size_t n, size_t max);

/**
 * pgw_level_cache_salt() - salt that the engine mixes into its block hashes
 * @out: receives 32 hexadecimal digits and a NUL
 * @salt: all four fields set
 *
 * Return: false, with an empty string in @out, if a field of the salt is
 * missing.
 */
bool pgw_level_cache_salt(char out[PGW_LEVEL_CACHE_SALT_SIZE],
                          const struct pgw_level_salt *salt);

/**
 * pgw_level_workspace_hash() - 64-bit hash of a workspace's name
 * @workspace: the workspace's name
 */
uint64_t pgw_level_workspace_hash(const char *workspace);

G_END_DECLS

#endif
