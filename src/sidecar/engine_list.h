#ifndef PGW_SIDECAR_ENGINE_LIST_H
#define PGW_SIDECAR_ENGINE_LIST_H

#include "parsleygw/cache.h"
#include <yajl/yajl_parse.h>

/**
 * DOC: What an engine answers to /events and /blocks, read without a tree
 *
 * A tree of thousands of objects costs ten allocations for each of them, on
 * the thread that everybody waits for. The answer is parsed piece by piece
 * into the arrays that the cache takes.
 */

/** enum engine_list_state - how far an answer is read
 * @ENGINE_LIST_MORE: not to its end
 * @ENGINE_LIST_WHOLE: to its end
 * @ENGINE_LIST_BROKEN: it is no JSON object; nothing of it counts
 */
enum engine_list_state {
    ENGINE_LIST_MORE,
    ENGINE_LIST_WHOLE,
    ENGINE_LIST_BROKEN,
};

/**
 * struct engine_list - what an engine answers to /events or /blocks
 * @incarnation: of the engine; 0 when it is missing
 * @version: of its weights; "" when it is missing
 * @last: number of the last event that the answer covers
 * @events: array of struct pgw_cache_event, by their numbers once it is whole;
 *     NULL without a list of that name
 * @blocks: array of struct pgw_cache_block, likewise
 * @text: what is still to be read
 * @left: its bytes
 * @parser: of the answer; NULL before its first piece
 * @depth: arrays and objects that are open
 * @key: the answer's member that is read
 * @array: one of both arrays while it is read, else NULL
 * @in_entry: an entry of @array is read
 * @entry_key: its member that is read
 * @event: the entry so far; of a block only the identities
 * @known: its kind is known
 */
struct engine_list {
    uint64_t incarnation;
    char *version;
    uint64_t last;
    GArray *events;
    GArray *blocks;
    const char *text;
    size_t left;
    yajl_handle parser;
    unsigned depth;
    unsigned key;
    GArray *array;
    bool in_entry;
    unsigned entry_key;
    struct pgw_cache_event event;
    bool known;
};

/**
 * engine_list_init() - begin to read an answer
 * @out: to be disposed of in any case
 * @text: JSON of thousands of events at times; must stay until it is read
 * @size: its bytes
 */
void engine_list_init(struct engine_list *out, const char *text, size_t size);

/**
 * engine_list_read() - read on
 * @list: the answer; from now on at this address
 * @most: bytes to read at most, so that others get their turn in between
 *
 * Events of an unknown kind and entries that are no objects are left out.
 */
enum engine_list_state engine_list_read(struct engine_list *list, size_t most);

/** engine_list_dispose() - free what was read */
void engine_list_dispose(struct engine_list *list);

#endif
