#ifndef PGW_SIDECAR_ENGINE_LIST_H
#define PGW_SIDECAR_ENGINE_LIST_H

#include "parsleygw/cache.h"

/**
 * struct engine_list - what an engine answers to /events or /blocks
 * @incarnation: of the engine; 0 when it is missing
 * @version: of its weights; "" when it is missing
 * @last: number of the last event that the answer covers
 * @events: array of struct pgw_cache_event, NULL without a list of that name
 * @blocks: array of struct pgw_cache_block, likewise
 */
struct engine_list {
    uint64_t incarnation;
    char *version;
    uint64_t last;
    GArray *events;
    GArray *blocks;
};

/**
 * engine_list_read() - read an answer
 * @out: receives it; dispose of it after true only
 * @text: JSON, which may be of thousands of events
 * @size: its bytes
 *
 * Events of an unknown kind and entries that are no objects are left out.
 *
 * Return: false when the text is no JSON object; then nothing of it counts.
 */
bool engine_list_read(struct engine_list *out, const char *text, size_t size);

/** engine_list_dispose() - free what engine_list_read() made */
void engine_list_dispose(struct engine_list *list);

#endif
