#ifndef PGW_LIBPARSLEYGW_CACHE_VIEW_H
#define PGW_LIBPARSLEYGW_CACHE_VIEW_H

#include "libparsleygw/cache_table.h"

/* The view that cache.c updates and cache_match.c reads. */
struct pgw_cache {
    struct pgw_cache__table table;
    bool engine_known; /* a response has named incarnation and version */
    uint64_t incarnation;
    char *version;
    uint64_t engine_set_us; /* when the engine was last set or cleared */
    uint64_t last_seq;      /* last applied event of this incarnation */
    uint64_t list_seq;      /* last event that the last block list includes */
    struct pgw_cache_event last_event; /* event of last_seq, if applied */
    bool sync_needed;
    uint64_t next_sync_us;
    struct pgw_cache_stats stats;
};

#endif
