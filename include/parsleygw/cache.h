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
 * DOC: View of an engine's prefix cache
 *
 * The sidecar builds the view from its engine's events, which may arrive late
 * and with gaps. The view keeps two grades of knowledge. A *certain* block is
 * cached according to the engine's events up to the last one, without a gap. A
 * *hint* is likely, expires, and is used for placement only. Both end with the
 * engine's incarnation or weights version. Not thread-safe.
 */

struct pgw_cache;

/**
 * struct pgw_cache_options - limits of a view
 * @blocks: maximum number of blocks, the capacity of the engine
 * @levels: maximum number of levels
 * @requests: maximum number of requests whose events may still arrive
 * @block_tokens: tokens per block
 * @hint_us: lifetime of a hint
 * @sync_interval_us: minimum time between two reads of the block list
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
 * struct pgw_cache_source - origin of a response of the engine
 * @incarnation: the engine's incarnation in the response
 * @version: the engine's weights version in the response
 * @requested_us: when the request for it was sent, on the clock of all calls
 *
 * A response with another incarnation or version than the view's is newer if
 * it was requested after the view learned its own. Otherwise their order is
 * unknown, and the view is reset until the response to a later request.
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
 * @seq: sequence number, from 1 in each incarnation
 * @kind: kind of event
 * @request: request that stored or used the block
 * @block: the block; unused for %PGW_CACHE_CLEARED
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
 * struct pgw_cache_block - one item of the engine's block list
 * @block: the block
 * @parent: the block before it, 0 for a first block
 */
struct pgw_cache_block {
    uint64_t block;
    uint64_t parent;
};

/**
 * struct pgw_cache_stats - counters and sizes
 * @blocks: blocks in the view, including absent parents
 * @levels: levels in the view
 * @events: events applied
 * @late: late or duplicate events, and late responses that were dropped
 * @gaps: gaps detected in the sequence
 * @syncs: block lists applied
 * @resets: times that the view was emptied
 * @overestimated_tokens: tokens that were certain when a request was sent but
 *     that the engine had already evicted
 * @bytes: heap bytes of blocks, levels and requests, without the overhead of
 *     the allocator
 */
struct pgw_cache_stats {
    size_t blocks;
    size_t levels;
    uint64_t events;
    uint64_t late;
    uint64_t gaps;
    uint64_t syncs;
    uint64_t resets;
    uint64_t overestimated_tokens;
    size_t bytes;
};

/**
 * pgw_cache_new() - create an empty view without an engine
 * @options: limits, NULL for the defaults
 */
struct pgw_cache *pgw_cache_new(const struct pgw_cache_options *options);

void pgw_cache_free(struct pgw_cache *cache);

/**
 * pgw_cache_set_engine() - set the engine from the source of any response
 * @cache: the view
 * @source: the source
 * @now_us: current time
 *
 * Empties the view when the incarnation or the version changes.
 *
 * Return: false if the response is late and must not be used.
 */
bool pgw_cache_set_engine(struct pgw_cache *cache,
                          const struct pgw_cache_source *source,
                          uint64_t now_us);

/**
 * pgw_cache_clear_engine() - empty the view after the engine has died
 * @cache: the view
 * @now_us: current time; responses requested before it are dropped
 */
void pgw_cache_clear_engine(struct pgw_cache *cache, uint64_t now_us);

/**
 * pgw_cache_incarnation() - the engine's incarnation, 0 without an engine
 * @cache: the view
 */
uint64_t pgw_cache_incarnation(const struct pgw_cache *cache);

/**
 * pgw_cache_version() - the engine's weights version, "" without an engine
 * @cache: the view
 */
const char *pgw_cache_version(const struct pgw_cache *cache);

/**
 * pgw_cache_last_seq() - last applied event; request the events after it
 * @cache: the view
 */
uint64_t pgw_cache_last_seq(const struct pgw_cache *cache);

/**
 * pgw_cache_certain_seq() - event up to which the certain blocks are current
 * @cache: the view
 *
 * Greater than pgw_cache_last_seq() after a block list that was newer than the
 * events. The missing events still arrive and link the listed blocks to
 * levels.
 */
uint64_t pgw_cache_certain_seq(const struct pgw_cache *cache);

/**
 * pgw_cache_record_request() - record that a request is sent to the engine
 * @cache: the view
 * @request: its identity in the engine's events
 * @chain: its levels
 * @salt: the salt of @chain
 * @now_us: current time
 *
 * Ignored when @salt names another version than the engine's.
 */
void pgw_cache_record_request(struct pgw_cache *cache,
                              const struct pgw_request_id *request,
                              const struct pgw_level_chain *chain,
                              const struct pgw_level_salt *salt,
                              uint64_t now_us);

/**
 * pgw_cache_record_first_token() - record the first token of a response
 * @cache: the view
 * @request: the request's identity
 * @source: from the response's headers; @requested_us is when the request was
 *     sent
 * @cached_tokens: usage.cached_tokens of the response
 * @now_us: current time
 *
 * The prompt has been prefilled, so its levels become hints until events
 * confirm them.
 */
void pgw_cache_record_first_token(struct pgw_cache *cache,
                                  const struct pgw_request_id *request,
                                  const struct pgw_cache_source *source,
                                  uint32_t cached_tokens, uint64_t now_us);

/**
 * pgw_cache_apply() - apply a batch of events
 * @cache: the view
 * @source: source of the batch
 * @events: in any order; sorted in place
 * @n: number of events
 * @last: the engine's last sequence number, 0 if unknown; a value beyond the
 *     batch and the view is a gap too
 * @now_us: current time
 */
void pgw_cache_apply(struct pgw_cache *cache,
                     const struct pgw_cache_source *source,
                     struct pgw_cache_event *events, size_t n, uint64_t last,
                     uint64_t now_us);

/**
 * pgw_cache_sync() - apply the engine's list of all blocks
 * @cache: the view
 * @source: source of the list
 * @seq: last event that the list includes
 * @blocks: the list, in any order
 * @n: number of blocks
 * @now_us: current time
 *
 * Return: false if the list is older than the view, so that another one must
 * be requested.
 */
bool pgw_cache_sync(struct pgw_cache *cache,
                    const struct pgw_cache_source *source, uint64_t seq,
                    const struct pgw_cache_block *blocks, size_t n,
                    uint64_t now_us);

/**
 * pgw_cache_sync_is_due() - whether to request the block list now
 * @cache: the view
 * @now_us: current time
 *
 * True after a gap, at most once per sync interval of the options; the call
 * that returns true starts a new interval.
 */
bool pgw_cache_sync_is_due(struct pgw_cache *cache, uint64_t now_us);

/**
 * pgw_cache_match() - prompt tokens that the engine has cached for a chain
 * @cache: the view
 * @workspace: the requesting workspace; levels of other workspaces never match
 * @chain: the levels
 * @now_us: current time
 * @hint_tokens: receives the longest likely prefix in tokens, at least the
 *     returned one; may be NULL
 *
 * Return: the longest certain prefix in tokens.
 */
uint32_t pgw_cache_match(const struct pgw_cache *cache, const char *workspace,
                         const struct pgw_level_chain *chain, uint64_t now_us,
                         uint32_t *hint_tokens);

/**
 * pgw_cache_last_block() - deepest certain block of a chain, for KV export
 * @cache: the view
 * @workspace: the requesting workspace
 * @chain: the levels
 *
 * Return: the block that ends the certain prefix, 0 if there is none.
 */
uint64_t pgw_cache_last_block(const struct pgw_cache *cache,
                              const char *workspace,
                              const struct pgw_level_chain *chain);

/**
 * pgw_cache_stats_get() - read the counters and sizes
 * @out: receives the counters and sizes
 * @cache: the view
 */
void pgw_cache_stats_get(struct pgw_cache_stats *out,
                         const struct pgw_cache *cache);

G_END_DECLS

#endif
