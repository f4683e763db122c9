#include "util/admin.h"

#include "parsleygw/errors.h"
#include "util/address.h"
#include "util/hex.h"
#include "util/metric.h"

#include <errno.h>
#include <microhttpd.h>
#include <string.h>

#define MAX_BODY_BYTES (2u << 20)
#define MAX_CONNECTIONS 64
#define CONNECTION_TIMEOUT_S 15

struct pgw_admin {
    struct pgw_admin_options options;
    struct MHD_Daemon *daemon;
    unsigned port;
};

/* A request while its body arrives. */
struct exchange {
    GString *body;
    bool too_large;
};

const char *
pgw_admin_query(const struct pgw_admin_request *request, const char *key)
{
    return MHD_lookup_connection_value(request->connection,
                                       MHD_GET_ARGUMENT_KIND, key);
}

static void
fail(struct pgw_admin_reply *reply, unsigned status, const char *message)
{
    reply->status = status;
    reply->content_type = "text/plain";
    reply->body = g_strdup_printf("%s\n", message);
}

static void
handle_healthz(void *context G_GNUC_UNUSED,
               const struct pgw_admin_request *request G_GNUC_UNUSED,
               struct pgw_admin_reply *reply)
{
    reply->content_type = "text/plain";
    reply->body = g_strdup("ok\n");
}

static void
handle_readyz(void *context,
              const struct pgw_admin_request *request G_GNUC_UNUSED,
              struct pgw_admin_reply *reply)
{
    const struct pgw_admin *admin = context;
    char *reason = NULL;

    if (admin->options.ready == NULL ||
        admin->options.ready(admin->options.context, &reason)) {
        reply->content_type = "text/plain";
        reply->body = g_strdup("ready\n");
    }
    else {
        fail(reply, MHD_HTTP_SERVICE_UNAVAILABLE,
             reason != NULL ? reason : "not ready");
    }
    g_free(reason);
}

static void
handle_metrics(void *context G_GNUC_UNUSED,
               const struct pgw_admin_request *request G_GNUC_UNUSED,
               struct pgw_admin_reply *reply)
{
    reply->content_type = "text/plain; version=0.0.4";
    reply->body = pgw_metric_render();
}

static void
handle_status(void *context,
              const struct pgw_admin_request *request G_GNUC_UNUSED,
              struct pgw_admin_reply *reply)
{
    const struct pgw_admin *admin = context;

    reply->body = admin->options.status == NULL
                      ? g_strdup("{}")
                      : admin->options.status(admin->options.context);
}

static bool
parse_timeline_query(struct pgw_trace_query *out, struct pgw_request_id *id,
                     const struct pgw_admin_request *request)
{
    const char *since = pgw_admin_query(request, "since");
    const char *request_id = pgw_admin_query(request, "request");
    const char *limit = pgw_admin_query(request, "limit");
    guint64 value;

    if (since != NULL) {
        if (!g_ascii_string_to_unsigned(since, 16, 0, G_MAXUINT64, &value,
                                        NULL)) {
            return false;
        }
        out->since = value;
    }
    if (limit != NULL) {
        if (!g_ascii_string_to_unsigned(limit, 10, 0, G_MAXUINT32, &value,
                                        NULL)) {
            return false;
        }
        out->limit = (uint32_t)value;
    }
    if (request_id != NULL) {
        if (!pgw_request_id_parse(id, request_id)) {
            return false;
        }
        out->request = id;
    }
    return true;
}

static void
handle_timeline(void *context, const struct pgw_admin_request *request,
                struct pgw_admin_reply *reply)
{
    const struct pgw_admin *admin = context;
    struct pgw_trace_query query = {0};
    struct pgw_request_id id;

    if (admin->options.trace == NULL) {
        fail(reply, MHD_HTTP_NOT_FOUND, "this process keeps no time line");
    }
    else if (!parse_timeline_query(&query, &id, request)) {
        fail(reply, MHD_HTTP_BAD_REQUEST,
             "write since as 16 hex digits, request as 32, limit as a number");
    }
    else {
        reply->body =
            pgw_trace_to_json(admin->options.trace, &query,
                              admin->options.instance, admin->options.zone);
    }
}

static const struct pgw_admin_route own_routes[] = {
    {"GET", "/healthz", handle_healthz},   {"GET", "/readyz", handle_readyz},
    {"GET", "/metrics", handle_metrics},   {"GET", "/status", handle_status},
    {"GET", "/timeline", handle_timeline},
};

static bool
path_matches(const char *pattern, const char *path)
{
    if (g_str_has_suffix(pattern, "/")) {
        return g_str_has_prefix(path, pattern);
    }
    return strcmp(pattern, path) == 0;
}

/* Handles the request if a route of the table matches. @path_known says
 * whether one would with another method. */
static bool
dispatch(const struct pgw_admin_route *routes, size_t count, void *context,
         const struct pgw_admin_request *request,
         struct pgw_admin_reply *reply, bool *path_known)
{
    for (size_t i = 0; i < count; i++) {
        if (!path_matches(routes[i].path, request->path)) {
            continue;
        }
        *path_known = true;
        if (strcmp(routes[i].method, request->method) == 0) {
            routes[i].handle(context, request, reply);
            return true;
        }
    }
    return false;
}

static void
answer(struct pgw_admin *admin, const struct pgw_admin_request *request,
       struct pgw_admin_reply *reply)
{
    bool path_known = false;

    if (dispatch(own_routes, G_N_ELEMENTS(own_routes), admin, request, reply,
                 &path_known) ||
        dispatch(admin->options.routes, admin->options.route_count,
                 admin->options.context, request, reply, &path_known)) {
        return;
    }
    if (path_known) {
        fail(reply, MHD_HTTP_METHOD_NOT_ALLOWED,
             "this path takes another method");
    }
    else {
        fail(reply, MHD_HTTP_NOT_FOUND, "no such path");
    }
}

static enum MHD_Result
send_reply(struct MHD_Connection *connection, struct pgw_admin_reply *reply)
{
    char *body = reply->body != NULL ? reply->body : g_strdup("");
    struct MHD_Response *response = MHD_create_response_from_buffer(
        strlen(body), body, MHD_RESPMEM_MUST_COPY);
    enum MHD_Result result;

    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE,
                            reply->content_type);
    result = MHD_queue_response(connection, reply->status, response);
    MHD_destroy_response(response);
    g_free(body);
    return result;
}

static void
take_body(struct exchange *exchange, const char *data, size_t size)
{
    if (exchange->body->len + size > MAX_BODY_BYTES) {
        exchange->too_large = true;
    }
    else {
        g_string_append_len(exchange->body, data, (gssize)size);
    }
}

static enum MHD_Result
on_request(void *context, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version G_GNUC_UNUSED,
           const char *data, size_t *data_size, void **state)
{
    struct exchange *exchange = *state;
    struct pgw_admin_reply reply = {.status = MHD_HTTP_OK,
                                    .content_type = "application/json"};
    struct pgw_admin_request request;

    if (exchange == NULL) {
        exchange = g_new0(struct exchange, 1);
        exchange->body = g_string_new(NULL);
        *state = exchange;
        return MHD_YES;
    }
    if (*data_size > 0) {
        take_body(exchange, data, *data_size);
        *data_size = 0;
        return MHD_YES;
    }
    request = (struct pgw_admin_request){.method = method,
                                         .path = url,
                                         .body = exchange->body->str,
                                         .body_size = exchange->body->len,
                                         .connection = connection};
    if (exchange->too_large) {
        fail(&reply, MHD_HTTP_CONTENT_TOO_LARGE, "body over 2 MB");
    }
    else {
        answer(context, &request, &reply);
    }
    return send_reply(connection, &reply);
}

static void
on_completed(void *context G_GNUC_UNUSED,
             struct MHD_Connection *connection G_GNUC_UNUSED, void **state,
             enum MHD_RequestTerminationCode code G_GNUC_UNUSED)
{
    struct exchange *exchange = *state;

    if (exchange != NULL) {
        g_string_free(exchange->body, TRUE);
        g_free(exchange);
        *state = NULL;
    }
}

bool
pgw_admin_start(struct pgw_admin **out,
                const struct pgw_admin_options *options, GError **error)
{
    struct pgw_admin *admin;
    struct pgw_address address;
    unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD;

    if (!pgw_address_parse(&address, options->listen, error)) {
        return false;
    }
    if (address.storage.ss_family == AF_INET6) {
        flags |= MHD_USE_IPv6;
    }
    admin = g_new0(struct pgw_admin, 1);
    admin->options = *options;
    admin->daemon = MHD_start_daemon(
        flags, 0, NULL, NULL, on_request, admin, MHD_OPTION_SOCK_ADDR,
        (struct sockaddr *)&address.storage, MHD_OPTION_NOTIFY_COMPLETED,
        on_completed, NULL, MHD_OPTION_CONNECTION_LIMIT, MAX_CONNECTIONS,
        MHD_OPTION_CONNECTION_TIMEOUT, CONNECTION_TIMEOUT_S, MHD_OPTION_END);
    if (admin->daemon == NULL) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_IO,
                    "cannot listen on %s: %s; choose a free address of this "
                    "instance",
                    options->listen, g_strerror(errno));
        g_free(admin);
        return false;
    }
    admin->port =
        MHD_get_daemon_info(admin->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
    *out = admin;
    return true;
}

unsigned
pgw_admin_port(const struct pgw_admin *admin)
{
    return admin->port;
}

void
pgw_admin_stop(struct pgw_admin *admin)
{
    if (admin == NULL) {
        return;
    }
    MHD_stop_daemon(admin->daemon);
    g_free(admin);
}
