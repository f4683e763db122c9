#ifndef PGW_UTIL_ADMIN_H
#define PGW_UTIL_ADMIN_H

#include "util/trace.h"

G_BEGIN_DECLS

/**
 * DOC: Admin HTTP server of a daemon
 *
 * GET /healthz (200 while the process serves), /readyz (200, or 503 with the
 * reason), /metrics (Prometheus' text format), /status (JSON object),
 * /timeline?since=HLC&request=ID&limit=N (JSON, see trace.h), and the routes
 * that the daemon adds. It runs on a thread of its own and must listen on an
 * address that only operators reach: it asks for no key.
 */

/** struct pgw_admin_request - what a handler sees */
struct pgw_admin_request {
    const char *method;
    const char *path;
    const char *body; /* ends in a NUL that is not counted */
    size_t body_size;
    struct MHD_Connection *connection;
};

/**
 * pgw_admin_query() - value of a query argument
 * @request: the request
 * @key: the argument's name
 *
 * Return: text valid during the handler, or NULL.
 */
const char *pgw_admin_query(const struct pgw_admin_request *request,
                            const char *key);

/**
 * struct pgw_admin_reply - what a handler fills in
 * @status: HTTP status; 200 before the handler runs
 * @content_type: "application/json" before the handler runs
 * @body: text that the server releases with g_free(); NULL is empty
 */
struct pgw_admin_reply {
    unsigned status;
    const char *content_type;
    char *body;
};

/**
 * struct pgw_admin_route - one more path
 * @method: "GET", "POST", ...
 * @path: whole path, or a prefix if it ends in '/'
 * @handle: runs on the admin thread
 */
struct pgw_admin_route {
    const char *method;
    const char *path;
    void (*handle)(void *context, const struct pgw_admin_request *request,
                   struct pgw_admin_reply *reply);
};

/**
 * struct pgw_admin_options - how to start the server
 * @listen: ip:port; port 0 takes a free one
 * @instance: name of this process
 * @zone: its availability zone
 * @trace: ring that /timeline reads; may be NULL
 * @ready: whether the daemon can serve; if not it may set *reason to text
 *   that the server releases with g_free(). NULL: always ready
 * @status: JSON object for /status, released with g_free(); may be NULL
 * @routes: further routes, which must outlive the server
 * @route_count: their number
 * @context: first argument of the callbacks
 */
struct pgw_admin_options {
    const char *listen;
    const char *instance;
    const char *zone;
    struct pgw_trace *trace;
    bool (*ready)(void *context, char **reason);
    char *(*status)(void *context);
    const struct pgw_admin_route *routes;
    size_t route_count;
    void *context;
};

struct pgw_admin;

/**
 * pgw_admin_start() - listen and serve
 * @out: receives the server; release with pgw_admin_stop()
 * @options: copied, but for what they point to
 * @error: %PGW_ERROR_INVALID for the address, %PGW_ERROR_IO
 */
bool pgw_admin_start(struct pgw_admin **out,
                     const struct pgw_admin_options *options, GError **error);

/** pgw_admin_port() - the port it listens on */
unsigned pgw_admin_port(const struct pgw_admin *admin);

/** pgw_admin_stop() - end the server's thread; NULL does nothing */
void pgw_admin_stop(struct pgw_admin *admin);

G_END_DECLS

#endif
