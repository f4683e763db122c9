#ifndef STANDINS_ENGINE_CACHE_LIB_H
#define STANDINS_ENGINE_CACHE_LIB_H

#include <glib.h>
#include <stdint.h>

#include "engine_events_lib.h"

/**
 * DOC: The engine's prefix cache
 *
 * Blocks form trees: a block is cached only together with all blocks before
 * it. The least recently used leaf that no running request holds goes first;
 * holding the last block of a prompt holds the whole chain. Not thread-safe.
 */

struct engine_cache;
struct engine_block;

struct engine_cache *engine_cache_new(unsigned capacity,
                                      struct engine_journal *journal);

/** engine_chain_root() - value that the first block's identity builds on */
uint64_t engine_chain_root(const char *salt, const char *model,
                           const char *adapter, const char *version);

/**
 * engine_chain_blocks() - identities of the whole blocks of a prompt
 * @root: from engine_chain_root()
 * @text: the prompt
 * @length: its bytes
 * @block_bytes: bytes of one block
 *
 * Return: an array of uint64_t, one for each whole block.
 */
GArray *engine_chain_blocks(uint64_t root, const char *text, size_t length,
                            size_t block_bytes);

/**
 * engine_cache_match() - hold the longest cached prefix of a chain
 * @tail: receives the held block, NULL when nothing matched
 * @limit: match at most so many blocks
 *
 * Return: the number of blocks matched.
 */
unsigned engine_cache_match(struct engine_cache *cache,
                            struct engine_block **tail, const GArray *chain,
                            unsigned limit, const char *request, uint64_t now);

/**
 * engine_cache_store() - cache one more block and move the hold to it
 * @tail: the held block before it, NULL at the start of a prompt; replaced
 *
 * Return: false, with nothing changed, when every block is held or has
 * children and the cache is full.
 */
bool engine_cache_store(struct engine_cache *cache, struct engine_block **tail,
                        uint64_t id, unsigned end_token, const char *request,
                        uint64_t now);

/** engine_cache_release() - give up the hold; @tail may be NULL */
void engine_cache_release(struct engine_cache *cache,
                          struct engine_block *tail, uint64_t now);

/** engine_cache_clear() - forget every block; no request may hold one */
void engine_cache_clear(struct engine_cache *cache, uint64_t now);

/** engine_cache_write() - append all blocks as JSON, comma-separated */
void engine_cache_write(struct engine_cache *cache, GString *out);

/**
 * engine_cache_chain() - identities from the first block to @id
 *
 * Return: an array of uint64_t, empty when the block is not cached.
 */
GArray *engine_cache_chain(struct engine_cache *cache, uint64_t id);

unsigned engine_cache_size(struct engine_cache *cache);

#endif
