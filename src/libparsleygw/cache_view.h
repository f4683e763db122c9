#ifndef PGW_LIBPARSLEYGW_CACHE_VIEW_H
#define PGW_LIBPARSLEYGW_CACHE_VIEW_H

#include "libparsleygw/cache_table.h"

/* The view that cache.c keeps up to date and cache_match.c reads. */
struct pgw_cache {
    struct pgw_cache__table table;
    bool known;           /* an engine has said who it is */
    uint64_t incarnation; /* its own word */
    char *version;
    uint64_t since;    /* when that became known, or was last lost */
    uint64_t last_seq; /* last event taken of this incarnation */
    uint64_t list_seq; /* event as of which the last full list was true */
    struct pgw_cache_event last_event; /* the one of last_seq, if taken */
    bool sync_needed;
    uint64_t next_sync;
    struct pgw_cache_stats stats;
};

#endif
