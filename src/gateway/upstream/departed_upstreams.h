#ifndef PGW_GATEWAY_UPSTREAM_DEPARTED_UPSTREAMS_H
#define PGW_GATEWAY_UPSTREAM_DEPARTED_UPSTREAMS_H

#include "gateway/upstream/upstream_table.h"

/**
 * DOC: Statements of upstreams that are no longer listed
 *
 * The store may lose an upstream's record, or an old copy of the list may lack
 * it, while its process goes on. What the process has stated about itself is
 * kept for some time, and holds again if the record returns.
 */

struct pgw_departed_upstreams;

struct pgw_departed_upstreams *pgw_departed_upstreams_new(void);
void pgw_departed_upstreams_free(struct pgw_departed_upstreams *departed);

/** pgw_departed_upstreams_add() - keep the statements of an upstream that is
 * not in the table, instead of those kept before */
void pgw_departed_upstreams_add(struct pgw_departed_upstreams *departed,
                                const struct pgw_upstream *upstream,
                                uint64_t now_us);

/** pgw_departed_upstreams_restore() - apply kept statements to an upstream
 * that is listed again; @started_ms: start time of its process, 0: unknown. If
 * it is another one than before, statements that have no end get one */
void pgw_departed_upstreams_restore(struct pgw_departed_upstreams *departed,
                                    struct pgw_upstream *upstream,
                                    uint64_t started_ms);

#endif
