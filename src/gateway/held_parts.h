#ifndef PGW_GATEWAY_HELD_PARTS_H
#define PGW_GATEWAY_HELD_PARTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Prompt parts that an engine holds, from its cache events
 *
 * Kept beside the engine. Events come late and some never come: what they say
 * is a guess that places requests and starts fetches, never a promise that an
 * answer rests on.
 */

/* Parts from this size on are long: entries of other zones hear of these
 * alone, since bytes between zones cost. */
#define PGW_LONG_PART_TOKENS 1024

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
 * struct pgw_held_parts - the parts
 * @epoch: of the engine's current start
 * @next: where the next call begins
 * @tokens: key -> tokens
 * @changed: keys to be told to entries of the zone
 * @long_held: keys of long parts that are held
 * @far_changed: keys of long parts to be told to the others
 * @reset: what was told before is void
 * @far_reset: the same for the others
 */
struct pgw_held_parts {
    uint64_t epoch;
    uint64_t next;
    GHashTable *tokens;
    GHashTable *changed;
    GHashTable *long_held;
    GHashTable *far_changed;
    bool reset;
    bool far_reset;
};

void pgw_held_parts_init(struct pgw_held_parts *parts);
void pgw_held_parts_dispose(struct pgw_held_parts *parts);

/** pgw_held_parts_take() - an answer of the engine */
void pgw_held_parts_take(struct pgw_held_parts *parts,
                         const struct pgw_cache_events *events);

/** pgw_held_parts_clear() - the engine dropped everything, or started anew */
void pgw_held_parts_clear(struct pgw_held_parts *parts);

/** pgw_held_parts_tokens() - tokens of a part that are held */
uint32_t pgw_held_parts_tokens(const struct pgw_held_parts *parts,
                               uint64_t key);

/** pgw_held_parts_told() - all changes have been told, to the far ones, too */
void pgw_held_parts_told(struct pgw_held_parts *parts, bool far);

#endif
