#ifndef STANDINS_ENGINE_EVENTS_LIB_H
#define STANDINS_ENGINE_EVENTS_LIB_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define ENGINE_ID_SIZE 40

/**
 * DOC: The engine's cache events, published late and with gaps
 *
 * Not thread-safe: the engine's lock guards it. Times are microseconds of the
 * monotonic clock.
 */

enum engine_event_kind {
    ENGINE_EVENT_STORED,
    ENGINE_EVENT_USED,
    ENGINE_EVENT_EVICTED,
    ENGINE_EVENT_CLEARED,
};

/**
 * struct engine_event - one change of the cache
 * @kind: what happened
 * @block: identity of the block, 0 for a cleared cache
 * @parent: identity of the block before it, 0 for the first of a prompt
 * @end_token: tokens from the start of the prompt to the block's end
 * @request: identity of the request that stored or used it, or ""
 */
struct engine_event {
    enum engine_event_kind kind;
    uint64_t block;
    uint64_t parent;
    unsigned end_token;
    char request[ENGINE_ID_SIZE];
};

/**
 * struct engine_journal_options - how late and how lossy
 * @delay_min_us: least delay of an event
 * @delay_max_us: greatest delay of an event
 * @loss: share of events that are never published, 0 to 1
 * @repeat: share of events that are published twice, 0 to 1
 * @seed: seed of delays and losses
 */
struct engine_journal_options {
    uint64_t delay_min_us;
    uint64_t delay_max_us;
    double loss;
    double repeat;
    uint32_t seed;
};

struct engine_journal;

struct engine_journal *
engine_journal_new(const struct engine_journal_options *options);

/** engine_journal_append() - record an event; numbers start from 1 */
void engine_journal_append(struct engine_journal *journal,
                           const struct engine_event *event, uint64_t now);

/** engine_journal_last() - number of the last event, published or not */
uint64_t engine_journal_last(const struct engine_journal *journal);

/** engine_journal_has() - whether an event after @after is published */
bool engine_journal_has(struct engine_journal *journal, uint64_t after,
                        uint64_t now);

/** engine_journal_due() - when the next event is published, or UINT64_MAX */
uint64_t engine_journal_due(const struct engine_journal *journal);

/**
 * engine_journal_write() - append published events as JSON, comma-separated
 *
 * Return: the number of the last one written, @after when there is none.
 */
uint64_t engine_journal_write(struct engine_journal *journal, uint64_t after,
                              uint64_t now, GString *out);

#endif
