#ifndef PGW_GATEWAY_HTTP_SLOW_CALLERS_H
#define PGW_GATEWAY_HTTP_SLOW_CALLERS_H

#include "util/list.h"
#include <stddef.h>

/**
 * DOC: Bound of the answers that callers have not read, over all connections
 *
 * A connection is slow while a part of its answer is buffered. When the sum of
 * the buffers exceeds the bound, the one that has been slow for longest is
 * given up.
 *
 * Load answered: many callers that stop reading, each within the bound of one
 * connection.
 */

/**
 * struct pgw_slow_caller - embedded in a connection; zeroed: it is not slow
 * @link: position among the slow ones, the first one is slow for longest
 * @pending: buffered bytes
 */
struct pgw_slow_caller {
    struct pgw_list link;
    size_t pending;
};

/**
 * struct pgw_slow_callers - all slow connections
 * @callers: by the time when they became slow
 * @pending: sum of their buffered bytes
 * @bound: most bytes in all, 0: none
 */
struct pgw_slow_callers {
    struct pgw_list callers;
    size_t pending;
    size_t bound;
};

void pgw_slow_callers_init(struct pgw_slow_callers *callers);

/** pgw_slow_callers_update() - set the buffered bytes of a connection, 0: all
 * was sent, or it is closed */
void pgw_slow_callers_update(struct pgw_slow_callers *callers,
                             struct pgw_slow_caller *caller, size_t pending);

/** pgw_slow_callers_excess() - the connection to give up, or NULL while the
 * bound is kept */
struct pgw_slow_caller *
pgw_slow_callers_excess(const struct pgw_slow_callers *callers);

#endif
