#ifndef PGW_GATEWAY_CACHED_PARTS_H
#define PGW_GATEWAY_CACHED_PARTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Prompt parts that an engine holds, from its cache events
 *
 * Kept beside the engine. Events come late and some never come: what they say
 * is a guess that places requests and starts fetches, never a promise that an
 * answer rests on.
 *
 * Of what changes only parts that entries ask for are told: half of a prompt's
 * parts belong to it alone. Entries of the zone hear of all of these at once,
 * the others of as many as a budget of bytes allows, the largest first. An
 * entry that sends a request says which shared parts it has, so that the
 * others know where a part is being read before it is held.
 */

/**
 * struct pgw_cache_event - one change of an engine's cache
 * @number: grows by one with each event
 * @key: pgw_part_key() of the part
 * @tokens: tokens of it that are held now, 0: none
 */
struct pgw_cache_event {
    uint64_t number;
    uint64_t key;
    uint32_t tokens;
};

/**
 * struct pgw_cache_events - one answer of an engine
 * @epoch: changes when the engine starts anew
 * @started_ms: start of the process that answered, 0: not said
 * @next: where the next call begins
 * @gap: events before these are lost
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
 * struct pgw_part_update - word of one part, for entries
 * @key: pgw_part_key() of the part
 * @tokens: tokens of it that are held; 0: none
 * @expected: it is on its way there and counts as held for a moment
 */
struct pgw_part_update {
    uint64_t key;
    uint32_t tokens;
    bool expected;
};

/**
 * struct pgw_cached_parts - the parts
 * @epoch: of the engine's current start
 * @next: where the next call begins
 * @tokens: key -> tokens of all that is held
 * @asked: keys that entries asked for lately; nothing else is told
 * @asked_before: those asked for before @asked was begun
 * @expected: key -> tokens of parts on their way, until that has been told
 * @arriving: key -> when a request with the part was last announced, until the
 *   engine says what became of it
 * @near_changed: keys to be told to entries of the zone
 * @far_changed: keys to be told to the others
 * @far_known: key -> tokens, as the others were told
 * @reset: what was told before is void
 * @remote_reset: the same for the others
 */
struct pgw_cached_parts {
    uint64_t epoch;
    uint64_t next;
    GHashTable *tokens;
    GHashTable *asked;
    GHashTable *asked_before;
    GHashTable *expected;
    GHashTable *arriving;
    GHashTable *near_changed;
    GHashTable *far_changed;
    GHashTable *far_known;
    bool reset;
    bool remote_reset;
};

void pgw_cached_parts_init(struct pgw_cached_parts *parts);
void pgw_cached_parts_dispose(struct pgw_cached_parts *parts);

/** pgw_cached_parts_apply_events() - an answer of the engine */
void pgw_cached_parts_apply_events(struct pgw_cached_parts *parts,
                                   const struct pgw_cache_events *events);

/** pgw_cached_parts_clear() - the engine dropped everything, or started anew
 */
void pgw_cached_parts_clear(struct pgw_cached_parts *parts);

/**
 * pgw_cached_parts_expect() - an entry sends a request that shares a part
 * @parts: the parts
 * @key: pgw_part_key() of the part
 * @tokens: its size
 * @now_us: monotonic time
 */
void pgw_cached_parts_expect(struct pgw_cached_parts *parts, uint64_t key,
                             uint32_t tokens, uint64_t now_us);

/** pgw_cached_parts_tokens() - tokens of a part that are held */
uint32_t pgw_cached_parts_tokens(const struct pgw_cached_parts *parts,
                                 uint64_t key);

/** pgw_cached_parts_lookup() - what there is to say of a part to who asks; 0
 * tokens: it is neither held nor on its way */
struct pgw_part_update
pgw_cached_parts_lookup(const struct pgw_cached_parts *parts, uint64_t key,
                        uint64_t now_us);

/** pgw_cached_parts_has_changes() - something was not told yet */
bool pgw_cached_parts_has_changes(const struct pgw_cached_parts *parts,
                                  bool far);

/**
 * pgw_cached_parts_changes() - what is to be told now
 * @parts: the parts
 * @far: to entries of other zones
 * @most: so many at most, the largest first; the rest stays for the next time
 *
 * Return: array of &struct pgw_part_update, owned by the caller; counts as
 * told.
 */
GArray *pgw_cached_parts_changes(struct pgw_cached_parts *parts, bool far,
                                 size_t most);

/** pgw_cached_parts_snapshot() - all that an entry which is new has to know;
 * array of &struct pgw_part_update, owned by the caller */
GArray *pgw_cached_parts_snapshot(const struct pgw_cached_parts *parts,
                                  bool far);

#endif
