#ifndef PGW_GATEWAY_SHARE_SHARE_TABLE_H
#define PGW_GATEWAY_SHARE_SHARE_TABLE_H

#include "gateway/share/service_share.h"

/**
 * DOC: The shared services of an entry
 */

/**
 * struct pgw_share_table - state of all shared services
 * @services: name -> &struct pgw_service_share; kept for the life of the
 *   process, as many as the configurations name
 * @returned: callers that were refused, by this entry or with a promise by
 *   another one
 * @on_promise: tells other entries of a promise, NULL: they are not told
 * @context: passed to @on_promise
 */
struct pgw_share_table {
    GHashTable *services;
    struct pgw_returned_callers returned;
    void (*on_promise)(const struct pgw_returned_caller *caller,
                       void *context);
    void *context;
};

struct pgw_share_table *pgw_share_table_new(void);
void pgw_share_table_free(struct pgw_share_table *table);

/** pgw_share_table_get() - the state of a service, created if it has none */
struct pgw_service_share *pgw_share_table_get(struct pgw_share_table *table,
                                              const char *service);

/** pgw_share_table_refuse() - remember a refused caller, and tell other
 * entries if it was promised another time than before; true: it was */
bool pgw_share_table_refuse(struct pgw_share_table *table,
                            const struct pgw_returned_caller *caller);

#endif
