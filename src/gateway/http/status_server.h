#ifndef PGW_GATEWAY_HTTP_STATUS_SERVER_H
#define PGW_GATEWAY_HTTP_STATUS_SERVER_H

#include "util/address.h"
#include "util/loop.h"

/**
 * DOC: HTTP server for readiness and metrics of a process
 *
 * One path answers 200 or 503 for the load balancer, /metrics answers with the
 * metrics. The server runs on the process's loop without a thread of its own,
 * since a process has a fraction of one core.
 */

struct pgw_status_server;

/**
 * struct pgw_status_options - options of a status server
 * @listen: address on which it listens
 * @ready_path: path of the readiness check, NULL: none
 * @is_ready: whether the process is ready; if not, *reason receives a static
 *   string
 * @context: passed to @is_ready
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
