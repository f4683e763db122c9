#ifndef PGW_GATEWAY_STATUS_SERVER_H
#define PGW_GATEWAY_STATUS_SERVER_H

#include "util/address.h"
#include "util/loop.h"

/**
 * DOC: Readiness and metrics of a process, on its own loop
 *
 * One path answers 200 or 503 for the balancer, /metrics answers the counters
 * and histograms. No thread of its own: a process has a part of one core.
 */

struct pgw_status_server;

/**
 * struct pgw_status_options - settings
 * @listen: the address
 * @ready_path: path that answers whether the process is ready; may be NULL
 * @is_ready: whether it is; *reason receives a static word if not
 * @context: handed to @is_ready
 */
struct pgw_status_options {
    struct pgw_address listen;
    const char *ready_path;
    bool (*is_ready)(void *context, const char **reason);
    void *context;
};

/** pgw_status_server_new() - listen and serve; %PGW_ERROR_IO */
struct pgw_status_server *
pgw_status_server_new(struct pgw_loop *loop,
                      const struct pgw_status_options *options,
                      GError **error);
void pgw_status_server_free(struct pgw_status_server *server);

#endif
