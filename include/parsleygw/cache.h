#ifndef PARSLEYGW_CACHE_H
#define PARSLEYGW_CACHE_H

#include <glib.h>
#include <parsleygw/level.h>
#include <parsleygw/types.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * DOC: What an engine's prefix cache holds
 *
 * Kept by the sidecar from its engine's events, which come late and with
 * gaps. Two grades are kept apart: *certain* means that the engine's own
 * events up to the last one say so without a gap; a *hint* is likely, bounded
 * in time, and only ever steers placement. Neither outlives the engine's
 * incarnation or its weights version. Not thread-safe.
 */

struct pgw_cache;

/**
 * struct pgw_cache_options - limits
 * @blocks: most blocks to know, the engine's own capacity
 * @levels: most levels to know
 * @requests: most requests whose events may still come
 * @block_tokens: tokens in a block
 * @hint_us: how long a hint counts
 * @sync_interval_us: least time between two wishes to read all blocks
 */
struct pgw_cache_options {
    size_t blocks;
    size_t levels;
    size_t requests;
    uint32_t block_tokens;
    uint64_t hint_us;
    uint64_t sync_interval_us;
};

#define PGW_CACHE_OPTIONS_INIT                                                \
    {                                                                         \
        .blocks = 4096, .levels = 4096, .requests = 1024,                     \
        .block_tokens = PGW_LEVEL_BLOCK_TOKENS, .hint_us = 2000000,           \
        .sync_interval_us = 1000000                                           \
    }

/**
 * struct pgw_cache_source - who said it, and when it was asked
 * @incarnation: the engine's, as it gave it in the answer
 * @version: the weights version that it gave
 * @requested_us: when the question was sent, microseconds of the clock of all
 * calls
 *
 * An answer that differs from what is known is news if it was asked for after
 * that became known. Otherwise either may be the later one: everything is
 * forgotten until an answer to a later question settles it.
 */
struct pgw_cache_source {
    uint64_t incarnation;
    const char *version;
    uint64_t requested_us;
};

enum pgw_cache_kind {
    PGW_CACHE_STORED,
    PGW_CACHE_USED,
    PGW_CACHE_EVICTED,
    PGW_CACHE_CLEARED,
};

/**
 * struct pgw_cache_event - one event of the engine
 * @seq: number, from 1 in each incarnation
 * @kind: what happened
 * @request: who stored or used the block
 * @block: the block, unless cleared
 * @parent: the block before it, 0 for a first block
 * @end_token: tokens from the prompt's start to the block's end
 */
struct pgw_cache_event {
    uint64_t seq;
    enum pgw_cache_kind kind;
    struct pgw_request_id request;
    uint64_t block;
    uint64_t parent;
    uint32_t end_token;
};

/**
 * struct pgw_cache_block - one line of the engine's list of all blocks
 * @block: the block
 * @parent: the block before it, 0 for a first block
 */
struct pgw_cache_block {
    uint64_t block;
    uint64_t parent;
};

/**
 * struct pgw_cache_stats - counters and sizes
 * @blocks: blocks held now, absent parents included
 * @levels: levels held now
 * @events: events taken
 * @late: events or answers dropped as late or doubled
 * @gaps: losses seen in the sequence
 * @syncs: lists of all blocks taken
 * @forgets: times that everything was dropped
 * @overcounted: tokens that were certain when a request was sent and that
 *     the engine then had evicted already
 * @bytes: heap bytes held by blocks, levels and requests, without the
 *     allocator's own overhead
 */
struct pgw_cache_stats {
    size_t blocks;
    size_t levels;
    uint64_t events;
    uint64_t late;
    uint64_t gaps;
    uint64_t syncs;
    uint64_t forgets;
    uint64_t overcounted;
    size_t bytes;
};

/**
 * pgw_cache_new() - make an empty view that knows no engine yet
 * @options: limits, NULL for the defaults
 */
struct pgw_cache *pgw_cache_new(const struct pgw_cache_options *options);

void pgw_cache_free(struct pgw_cache *cache);

/**
 * pgw_cache_set_engine() - an engine said who it is (any answer says so)
 * @cache: the view
 * @source: what it said
 * @now: microseconds
 *
 * Everything is forgotten when the incarnation or the version is a new one.
 *
 * Return: false if the answer is late and must not be used.
 */
bool pgw_cache_set_engine(struct pgw_cache *cache,
                          const struct pgw_cache_source *source, uint64_t now);

/**
 * pgw_cache_clear_engine() - the engine is known to be dead
 * @cache: the view
 * @now: microseconds; answers asked for before this are dropped
 *
 * Forgets everything at once.
 */
void pgw_cache_clear_engine(struct pgw_cache *cache, uint64_t now);

/**
 * pgw_cache_incarnation() - the engine's incarnation, 0 while none is known
 * @cache: the view
 */
uint64_t pgw_cache_incarnation(const struct pgw_cache *cache);

/**
 * pgw_cache_version() - the engine's weights version, "" while none is known
 * @cache: the view
 */
const char *pgw_cache_version(const struct pgw_cache *cache);

/**
 * pgw_cache_last_seq() - last event taken: ask for those after it
 * @cache: the view
 */
uint64_t pgw_cache_last_seq(const struct pgw_cache *cache);

/**
 * pgw_cache_certain_seq() - event as of which the certain blocks are true
 * @cache: the view
 *
 * Beyond pgw_cache_last_seq() after a list of all blocks that was newer than
 * the events: those still come, and tell what the listed blocks are.
 */
uint64_t pgw_cache_certain_seq(const struct pgw_cache *cache);

/**
 * pgw_cache_record_request() - a request goes to the engine now
 * @cache: the view
 * @request: its identity, as the engine's events will name it
 * @chain: its levels
 * @salt: what @chain was salted with
 * @now: microseconds
 *
 * Ignored when @salt names another version than the engine's.
 */
void pgw_cache_record_request(struct pgw_cache *cache,
                              const struct pgw_request_id *request,
                              const struct pgw_level_chain *chain,
                              const struct pgw_level_salt *salt, uint64_t now);

/**
 * pgw_cache_record_first_token() - a request's first token came
 * @cache: the view
 * @request: its identity
 * @source: the answer's headers; @requested_us is when the request was sent
 * @cached_tokens: usage.cached_tokens of the answer
 * @now: microseconds
 *
 * The prompt has been computed, so its levels are hints from now on until the
 * events confirm them.
 */
void pgw_cache_record_first_token(struct pgw_cache *cache,
                                  const struct pgw_request_id *request,
                                  const struct pgw_cache_source *source,
                                  uint32_t cached_tokens, uint64_t now);

/**
 * pgw_cache_apply() - take a batch of events
 * @cache: the view
 * @source: who sent it
 * @events: in any order; sorted here
 * @n: their number
 * @last: the engine's last sequence number, 0 if not said; a value beyond
 *     the batch and what is known is a loss, too
 * @now: microseconds
 */
void pgw_cache_apply(struct pgw_cache *cache,
                     const struct pgw_cache_source *source,
                     struct pgw_cache_event *events, size_t n, uint64_t last,
                     uint64_t now);

/**
 * pgw_cache_sync() - take the engine's list of all blocks
 * @cache: the view
 * @source: who sent it
 * @seq: the event as of which the list is true
 * @blocks: the list, in any order
 * @n: its length
 * @now: microseconds
 *
 * Return: false if it is late (older than events taken since) and another one
 * must be asked for.
 */
bool pgw_cache_sync(struct pgw_cache *cache,
                    const struct pgw_cache_source *source, uint64_t seq,
                    const struct pgw_cache_block *blocks, size_t n,
                    uint64_t now);

/**
 * pgw_cache_sync_is_due() - whether to read the list of all blocks now
 * @cache: the view
 * @now: microseconds
 *
 * True after a loss, at most once in the options' sync interval; the call
 * that returns true starts a new interval.
 */
bool pgw_cache_sync_is_due(struct pgw_cache *cache, uint64_t now);

/**
 * pgw_cache_match() - prompt tokens that the engine holds for a chain
 * @cache: the view
 * @workspace: who asks; levels that others stored never count
 * @chain: the levels
 * @now: microseconds
 * @hint_tokens: receives the longest likely prefix, at least the returned
 *     one; may be NULL
 *
 * Return: the longest certain prefix in tokens.
 */
uint32_t pgw_cache_match(const struct pgw_cache *cache, const char *workspace,
                         const struct pgw_level_chain *chain, uint64_t now,
                         uint32_t *hint_tokens);

/**
 * pgw_cache_last_block() - deepest block held for a chain, for KV export
 * @cache: the view
 * @workspace: who asks
 * @chain: the levels
 *
 * Return: the block that ends the certain prefix, 0 if there is none.
 */
uint64_t pgw_cache_last_block(const struct pgw_cache *cache,
                              const char *workspace,
                              const struct pgw_level_chain *chain);

/**
 * pgw_cache_stats_get() - read the counters
 * @out: receives them
 * @cache: the view
 */
void pgw_cache_stats_get(struct pgw_cache_stats *out,
                         const struct pgw_cache *cache);

G_END_DECLS

#endif
