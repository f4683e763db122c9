#ifndef PGW_GATEWAY_UPSTREAM_CACHED_PARTS_H
#define PGW_GATEWAY_UPSTREAM_CACHED_PARTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Prompt parts in an engine's KV cache, from its cache events
 *
 * Kept by the engine's sidecar. Events arrive late and some are lost, so the
 * state is approximate: it decides where requests are sent and what is
 * fetched, but no answer depends on it.
 *
 * Only changes of parts that entries have requested are reported: half of a
 * prompt's parts are used by that prompt alone. Entries of the local zone get
 * all of these changes at once. Entries of remote zones get as many as a
 * budget of bytes allows, the largest first. An entry that sends a request
 * announces its shared parts, so that other entries know where a part is being
 * prefilled before it is cached.
 */

/**
 * struct pgw_cache_event - a change of an engine's KV cache
 * @number: sequence number
 * @key: pgw_part_key() of the part
 * @tokens: number of its tokens that are cached now, 0: none
 */
struct pgw_cache_event {
    uint64_t number;
    uint64_t key;
    uint32_t tokens;
};

/**
 * struct pgw_cache_events - an engine's answer to a request for events
 * @epoch: changes when the engine restarts
 * @started_ms: start time of the process that answered, 0: unknown
 * @next: event number that the next request starts from
 * @gap: some events before @events were lost
 * @events: array of @count events, owned
 * @count: number of @events
 */
struct pgw_cache_events {
    uint64_t epoch;
    uint64_t started_ms;
    uint64_t next;
    bool gap;
    struct pgw_cache_event *events;
    size_t count;
};

/**
 * struct pgw_part_update - state of one part, as reported to entries
 * @key: pgw_part_key() of the part
 * @tokens: number of its tokens that are cached, or expected to be; 0: none
 * @expected: a request with the part is in flight to the engine; the part
 *   counts as cached for a short time
 */
struct pgw_part_update {
    uint64_t key;
    uint32_t tokens;
    bool expected;
};

/**
 * struct pgw_cached_parts - an engine's cached parts, and what was reported
 * @epoch: epoch of the engine's current start
 * @next: event number that the next request starts from
 * @tokens: key -> tokens of all cached parts
 * @requested: keys in recent requests of entries; only these are reported
 * @previously_requested: keys of the generation before @requested
 * @expected: key -> tokens of parts in flight that remote zones have not been
 *   sent yet
 * @announced_us: key -> time when a request with the part was last announced,
 *   until a cache event for the part arrives
 * @local_changed: keys to report to entries of the local zone
 * @remote_changed: keys to report to entries of remote zones
 * @remote_reported: key -> tokens as reported to remote zones
 * @local_reset: the next report to the local zone replaces all earlier ones
 * @remote_reset: the same for remote zones
 */
struct pgw_cached_parts {
    uint64_t epoch;
    uint64_t next;
    GHashTable *tokens;
    GHashTable *requested;
    GHashTable *previously_requested;
    GHashTable *expected;
    GHashTable *announced_us;
    GHashTable *local_changed;
    GHashTable *remote_changed;
    GHashTable *remote_reported;
    bool local_reset;
    bool remote_reset;
};

void pgw_cached_parts_init(struct pgw_cached_parts *parts);
void pgw_cached_parts_dispose(struct pgw_cached_parts *parts);

/** pgw_cached_parts_apply_events() - apply an engine's answer */
void pgw_cached_parts_apply_events(struct pgw_cached_parts *parts,
                                   const struct pgw_cache_events *events);

/** pgw_cached_parts_clear() - the engine dropped its cache, or restarted */
void pgw_cached_parts_clear(struct pgw_cached_parts *parts);

/**
 * pgw_cached_parts_expect() - handle the announcement of a shared part in a
 * request
 * @parts: the parts
 * @key: pgw_part_key() of the part
 * @tokens: size of the part
 * @now_us: monotonic time
 */
void pgw_cached_parts_expect(struct pgw_cached_parts *parts, uint64_t key,
                             uint32_t tokens, uint64_t now_us);

/** pgw_cached_parts_tokens() - number of cached tokens of a part */
uint32_t pgw_cached_parts_tokens(const struct pgw_cached_parts *parts,
                                 uint64_t key);

/** pgw_cached_parts_lookup() - state of a part for the answer to a probe; 0
 * tokens: not cached */
struct pgw_part_update
pgw_cached_parts_lookup(const struct pgw_cached_parts *parts, uint64_t key,
                        uint64_t now_us);

/** pgw_cached_parts_has_changes() - whether there is anything to report */
bool pgw_cached_parts_has_changes(const struct pgw_cached_parts *parts,
                                  bool remote);

/**
 * pgw_cached_parts_changes() - take the changes to report now
 * @parts: the parts
 * @remote: to entries of remote zones
 * @max_count: maximum number of changes; if there are more, the largest are
 *   taken and the others kept for the next report
 *
 * Return: array of &struct pgw_part_update, owned by the caller. The changes
 * count as reported.
 */
GArray *pgw_cached_parts_changes(struct pgw_cached_parts *parts, bool remote,
                                 size_t max_count);

/** pgw_cached_parts_snapshot() - state to report to an entry that has just
 * connected; array of &struct pgw_part_update, owned by the caller */
GArray *pgw_cached_parts_snapshot(const struct pgw_cached_parts *parts,
                                  bool remote);

#endif
