#include "entry/http.h"
#include "entry/exchange.h"
#include "entry/guard.h"
#include "parsleygw/errors.h"
#include "util/address.h"
#include "util/hex.h"
#include "util/listener.h"
#include "util/log.h"
#include <sys/socket.h>
#include <unistd.h>

/* Holds a request's head and nothing else; it is the limit on a head's size
 * and the bulk of what an open stream costs. */
#define CONNECTION_MEMORY ((size_t)8 << 10)
#define RESPONSE_BLOCK ((size_t)2 << 10)
#define GRANT_BELOW ((size_t)16 << 10)
#define CONNECTION_SLACK 256u
/* Connections that a stop accepts beyond the limit, and those that the HTTP
 * server still counts although they are closed. */
#define CONNECTION_RESERVE 2048u
/* How soon a full server looks whether it may accept again. */
#define ACCEPT_RETRY_US UINT64_C(5000)

/**
 * struct http - the HTTP server and its listening socket
 * @listener: accepts on the entry's loop, so that a stop knows of every
 *   connection that the kernel has established
 * @accept_timer: continues to accept after the server was full
 * @max_connections: beyond it, connections wait in the listen backlog
 * @first_until_us: after the listener has closed: how long the first request
 *   of a connection is waited for
 */
struct http {
    struct MHD_Daemon *daemon;
    struct entry *entry;
    struct guard *guard;
    struct pgw_listener *listener;
    struct pgw_timer accept_timer;
    unsigned max_connections;
    uint64_t first_until_us;
};

static const struct filter *const filters[] = {
    &filter_identify, &filter_limit,  &filter_parse,
    &filter_profile,  &filter_levels,
};

static void
add_headers(struct MHD_Response *response, const struct exchange *exchange)
{
    const struct exchange_output *output = &exchange->output;
    char text[PGW_REQUEST_ID_TEXT_SIZE];

    pgw_request_id_format(text, &exchange->id);
    MHD_add_response_header(response, "X-Pgw-Request-Id", text);
    /* A caller that keeps the connection would send its next request to a
     * process that has gone by then. */
    if (atomic_load(&exchange->entry->leaving)) {
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
    }
    if (output->content_type != NULL && output->content_type[0] != '\0') {
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE,
                                output->content_type);
    }
    if (output->upstream != NULL) {
        MHD_add_response_header(response, "X-Pgw-Upstream", output->upstream);
        g_snprintf(text, sizeof(text), "%u", output->cached_tokens);
        MHD_add_response_header(response, "X-Pgw-Cached-Tokens", text);
    }
    if (output->retry_after_ms > 0) {
        g_snprintf(text, sizeof(text), "%u",
                   (output->retry_after_ms + 999) / 1000);
        MHD_add_response_header(response, MHD_HTTP_HEADER_RETRY_AFTER, text);
    }
}

/* With the output's lock held. */
static void
grant_if_caught_up(struct exchange *exchange)
{
    struct exchange_output *output = &exchange->output;

    if (!output->starved || output->grant_queued ||
        pgw_buffer_size(&output->bytes) > GRANT_BELOW) {
        return;
    }
    output->starved = false;
    output->grant_queued = true;
    exchange->grant.run = forward_grant;
    exchange_ref(exchange);
    pgw_loop_post(exchange->entry->loop, &exchange->grant);
}

static ssize_t
read_output(void *context, uint64_t position, char *buffer, size_t max)
{
    struct exchange *exchange = context;
    struct exchange_output *output = &exchange->output;
    size_t size;
    ssize_t result;

    (void)position;
    pthread_mutex_lock(&output->lock);
    size = MIN(max, pgw_buffer_size(&output->bytes));
    if (size > 0) {
        memcpy(buffer, pgw_buffer_head(&output->bytes), size);
        pgw_buffer_consume(&output->bytes, size);
        grant_if_caught_up(exchange);
        result = (ssize_t)size;
    }
    else if (output->finished) {
        result = output->broken ? MHD_CONTENT_READER_END_WITH_ERROR
                                : MHD_CONTENT_READER_END_OF_STREAM;
    }
    else {
        output->suspended = true;
        MHD_suspend_connection(exchange->connection);
        result = 0;
    }
    pthread_mutex_unlock(&output->lock);
    return result;
}

static void
release_output(void *context)
{
    exchange_unref(context);
}

static unsigned
idle_limit_s(const struct pgw_entry_settings *settings)
{
    return MAX(settings->header_timeout_ms, settings->body_timeout_ms) / 1000 +
           1;
}

/* Queues the response whose status the loop has settled. */
static enum MHD_Result
respond(struct exchange *exchange)
{
    struct exchange_output *output = &exchange->output;
    struct MHD_Response *response;
    enum MHD_Result result;
    unsigned status;

    pthread_mutex_lock(&output->lock);
    if (output->finished) {
        response = MHD_create_response_from_buffer(
            pgw_buffer_size(&output->bytes), pgw_buffer_head(&output->bytes),
            MHD_RESPMEM_MUST_COPY);
    }
    else {
        response = MHD_create_response_from_callback(
            MHD_SIZE_UNKNOWN, RESPONSE_BLOCK, read_output,
            exchange_ref(exchange), release_output);
    }
    add_headers(response, exchange);
    status = output->status;
    output->responding = true;
    pthread_mutex_unlock(&output->lock);
    exchange->phase = PHASE_RESPONDED;
    /* The server's own limit is on idle time and would cut a caller who takes
     * a pause in reading; it may take one as long as the profile's deadline.
     */
    MHD_set_connection_option(exchange->connection,
                              MHD_CONNECTION_OPTION_TIMEOUT,
                              exchange->request.deadline_ms / 1000 +
                                  idle_limit_s(exchange->entry->settings));
    result = MHD_queue_response(exchange->connection, status, response);
    MHD_destroy_response(response);
    return result;
}

static enum MHD_Result
respond_refusal(struct exchange *exchange, const struct refusal *refusal)
{
    char *body = refusal_render(refusal);

    account_refusal(&exchange->id, refusal);
    exchange_answer(exchange, pgw_refusal_status(refusal->code),
                    "application/json", refusal->retry_after_ms, body,
                    strlen(body));
    g_free(body);
    return respond(exchange);
}

static bool
run_filters(struct exchange *exchange, struct refusal *refusal)
{
    struct pgw_config *config = pgw_rcu_read_lock(exchange->entry->snapshot);
    bool good = config != NULL && !pgw_config_is_empty(config) &&
                pgw_sync_is_settled(exchange->entry->sync);

    if (!good) {
        refusal_set(refusal, PGW_REFUSAL_NOT_READY, PGW_RAN_NO, 500,
                    "no whole configuration yet: see /readyz");
    }
    for (size_t i = 0; good && i < G_N_ELEMENTS(filters); i++) {
        good = filters[i]->run(exchange, config, refusal);
    }
    pgw_rcu_read_unlock(exchange->entry->snapshot);
    return good;
}

static enum MHD_Result
hand_over(struct exchange *exchange)
{
    struct refusal refusal = {0};
    enum MHD_Result result = MHD_YES;

    if (exchange->too_large) {
        refusal_set(&refusal, PGW_REFUSAL_TOO_LARGE, PGW_RAN_NO, 0,
                    "the body is larger than %" G_GUINT64_FORMAT
                    " bytes: shorten it or raise max_body_bytes",
                    exchange->entry->settings->max_body_bytes);
    }
    if (exchange->too_large || !run_filters(exchange, &refusal)) {
        result = respond_refusal(exchange, &refusal);
        refusal_dispose(&refusal);
        return result;
    }
    exchange->phase = PHASE_WAITING;
    exchange->begin.run = forward_begin;
    pthread_mutex_lock(&exchange->output.lock);
    exchange->output.suspended = true;
    MHD_suspend_connection(exchange->connection);
    pthread_mutex_unlock(&exchange->output.lock);
    exchange_ref(exchange);
    pgw_loop_post(exchange->entry->loop, &exchange->begin);
    return result;
}

static bool
format_from_path(enum exchange_format *out, const char *method,
                 const char *path)
{
    if (g_str_has_prefix(path, "/svc/")) {
        *out = FORMAT_SERVICE;
        return true;
    }
    if (strcmp(method, MHD_HTTP_METHOD_POST) != 0) {
        return false;
    }
    if (strcmp(path, "/v1/completions") == 0) {
        *out = FORMAT_COMPLETION;
        return true;
    }
    if (strcmp(path, "/v1/chat/completions") == 0) {
        *out = FORMAT_CHAT;
        return true;
    }
    return false;
}

static enum MHD_Result
append_argument(void *context, enum MHD_ValueKind kind, const char *key,
                const char *value)
{
    GString *path = context;
    char *name = g_uri_escape_string(key, NULL, FALSE);

    (void)kind;
    g_string_append_c(path, strchr(path->str, '?') == NULL ? '?' : '&');
    g_string_append(path, name);
    if (value != NULL) {
        char *text = g_uri_escape_string(value, NULL, FALSE);

        g_string_append_printf(path, "=%s", text);
        g_free(text);
    }
    g_free(name);
    return MHD_YES;
}

static void
copy_head(struct exchange *exchange, const char *path, const char *method)
{
    struct exchange_request *request = &exchange->request;
    char *escaped = g_uri_escape_string(path, "/:@!$&'()*+,;=", FALSE);
    GString *whole = g_string_new(escaped);
    const char *type = MHD_lookup_connection_value(
        exchange->connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_TYPE);

    if (exchange->format == FORMAT_SERVICE) {
        MHD_get_connection_values(exchange->connection, MHD_GET_ARGUMENT_KIND,
                                  append_argument, whole);
    }
    request->path = g_string_free(whole, FALSE);
    request->method = g_strdup(method);
    request->content_type = g_strdup(type == NULL ? "" : type);
    g_free(escaped);
}

static enum MHD_Result
respond_plain(struct MHD_Connection *connection, unsigned status,
              const char *text)
{
    struct MHD_Response *response = MHD_create_response_from_buffer(
        strlen(text), (void *)text, MHD_RESPMEM_MUST_COPY);
    enum MHD_Result result = MHD_queue_response(connection, status, response);

    MHD_destroy_response(response);
    return result;
}

/* The balancer asks the port that callers use. */
static enum MHD_Result
respond_probe(struct http *http, struct MHD_Connection *connection,
              const char *path)
{
    char *reason = NULL;
    enum MHD_Result result;

    if (strcmp(path, "/healthz") == 0) {
        return respond_plain(connection, MHD_HTTP_OK, "ok\n");
    }
    if (strcmp(path, "/metrics") == 0) {
        reason = pgw_metric_render();
        result = respond_plain(connection, MHD_HTTP_OK, reason);
    }
    else if (entry_is_ready(http->entry, &reason)) {
        result = respond_plain(connection, MHD_HTTP_OK, "ready\n");
    }
    else {
        result =
            respond_plain(connection, MHD_HTTP_SERVICE_UNAVAILABLE, reason);
    }
    g_free(reason);
    return result;
}

static bool
is_probe(const char *method, const char *path)
{
    return strcmp(method, MHD_HTTP_METHOD_GET) == 0 &&
           (strcmp(path, "/healthz") == 0 || strcmp(path, "/readyz") == 0 ||
            strcmp(path, "/metrics") == 0);
}

static enum MHD_Result
begin_exchange(struct http *http, struct MHD_Connection *connection,
               const char *path, const char *method, void **slot)
{
    struct exchange *exchange = exchange_new(http->entry, connection);

    *slot = exchange;
    atomic_fetch_add(&http->entry->unanswered, 1);
    account_accept();
    if (!format_from_path(&exchange->format, method, path)) {
        struct refusal refusal = {0};
        enum MHD_Result result;

        guard_body_done(connection);
        refusal_set(&refusal, PGW_REFUSAL_UNKNOWN_PROFILE, PGW_RAN_NO, 0,
                    "no such path: POST /v1/chat/completions, POST "
                    "/v1/completions or call /svc/PROFILE/PATH");
        result = respond_refusal(exchange, &refusal);
        refusal_dispose(&refusal);
        return result;
    }
    atomic_fetch_add(&http->entry->reading, 1);
    copy_head(exchange, path, method);
    pgw_trace_record(http->entry->trace, PGW_TRACE_REQUEST_ACCEPT,
                     &exchange->id, 0, 0, 0, method);
    return MHD_YES;
}

static void
take_body(struct exchange *exchange, const char *data, size_t size)
{
    struct exchange_request *request = &exchange->request;

    if (exchange->too_large || pgw_buffer_size(&request->body) + size >
                                   exchange->entry->settings->max_body_bytes) {
        exchange->too_large = true;
        pgw_buffer_dispose(&request->body);
        return;
    }
    pgw_buffer_append(&request->body, data, size);
}

static enum MHD_Result
handle(void *context, struct MHD_Connection *connection, const char *path,
       const char *method, const char *version, const char *data, size_t *size,
       void **slot)
{
    struct http *http = context;
    struct exchange *exchange = *slot;

    (void)version;
    if (exchange == NULL) {
        guard_head_done(connection);
        if (is_probe(method, path)) {
            guard_body_done(connection);
            return respond_probe(http, connection, path);
        }
        return begin_exchange(http, connection, path, method, slot);
    }
    switch (exchange->phase) {
    case PHASE_BODY:
        if (*size > 0) {
            take_body(exchange, data, *size);
            *size = 0;
            return MHD_YES;
        }
        guard_body_done(connection);
        atomic_fetch_sub(&http->entry->reading, 1);
        return hand_over(exchange);
    case PHASE_WAITING:
        return respond(exchange);
    default:
        *size = 0;
        return MHD_YES;
    }
}

static void
gone_run(struct pgw_task *task)
{
    struct exchange *exchange = pgw_container_of(task, struct exchange, gone);

    if (!exchange->ended && exchange->text != NULL) {
        forward_caller_gone(exchange);
    }
    exchange_unref(exchange);
}

static void
completed(void *context, struct MHD_Connection *connection, void **slot,
          enum MHD_RequestTerminationCode code)
{
    struct exchange *exchange = *slot;

    (void)context;
    guard_answered(connection);
    if (exchange == NULL) {
        return;
    }
    *slot = NULL;
    atomic_fetch_sub(&exchange->entry->unanswered, 1);
    pthread_mutex_lock(&exchange->output.lock);
    exchange->output.suspended = false;
    pthread_mutex_unlock(&exchange->output.lock);
    if (exchange->phase == PHASE_BODY) {
        atomic_fetch_sub(&exchange->entry->reading, 1);
    }
    else if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK) {
        exchange->gone.run = gone_run;
        exchange_ref(exchange);
        pgw_loop_post(exchange->entry->loop, &exchange->gone);
    }
    exchange_unref(exchange);
}

static void
accept_again(struct pgw_timer *timer)
{
    struct http *http = pgw_container_of(timer, struct http, accept_timer);

    if (guard_connections(http->guard) < http->max_connections) {
        pgw_listener_pause(http->listener, false);
        return;
    }
    pgw_timer_start(http->entry->loop, timer, ACCEPT_RETRY_US);
}

static void
add_connection(int fd, void *context)
{
    struct http *http = context;
    struct pgw_address peer = {.size = sizeof(peer.storage)};

    if (getpeername(fd, (struct sockaddr *)&peer.storage, &peer.size) != 0) {
        close(fd); /* reset by the caller */
        return;
    }
    guard_accepted(http->guard);
    if (MHD_add_connection(http->daemon, fd, (struct sockaddr *)&peer.storage,
                           peer.size) != MHD_YES) {
        guard_not_added(http->guard); /* the HTTP server has closed it */
        pgw_log_warning("accept_failed", "connections=%u",
                        guard_connections(http->guard));
    }
    if (guard_connections(http->guard) >= http->max_connections &&
        http->accept_timer.position == 0) {
        pgw_listener_pause(http->listener, true);
        pgw_timer_start(http->entry->loop, &http->accept_timer,
                        ACCEPT_RETRY_US);
    }
}

static void
listener_closed(void *context)
{
    struct http *http = context;

    http->first_until_us = pgw_now_us() + PGW_FIRST_REQUEST_US;
}

struct http *
http_start(struct entry *entry, GError **error)
{
    const struct pgw_entry_settings *settings = entry->settings;
    struct http *http = g_new0(struct http, 1);
    struct pgw_address address;
    unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME |
                     MHD_USE_NO_LISTEN_SOCKET;

    http->entry = entry;
    http->accept_timer.on_due = accept_again;
    http->max_connections = settings->max_inflight + CONNECTION_SLACK;
    http->guard =
        guard_new(entry->loop, (uint64_t)settings->header_timeout_ms * 1000,
                  (uint64_t)settings->body_timeout_ms * 1000);
    if (!pgw_address_parse(&address, settings->listen, error)) {
        goto fail;
    }
    http->daemon = MHD_start_daemon(
        flags, 0, NULL, NULL, handle, http, MHD_OPTION_THREAD_POOL_SIZE,
        settings->threads, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        CONNECTION_MEMORY, MHD_OPTION_CONNECTION_LIMIT,
        http->max_connections + CONNECTION_RESERVE,
        MHD_OPTION_CONNECTION_TIMEOUT, idle_limit_s(settings),
        MHD_OPTION_NOTIFY_CONNECTION, guard_notify, http->guard,
        MHD_OPTION_NOTIFY_COMPLETED, completed, http, MHD_OPTION_END);
    if (http->daemon == NULL) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_IO,
                    "cannot start the HTTP server: raise the limits of "
                    "threads and open files");
        goto fail;
    }
    http->listener =
        pgw_listener_new(entry->loop, &address, add_connection, http, error);
    if (http->listener == NULL) {
        goto fail;
    }
    entry->http = http;
    return http;
fail:
    http_stop(http);
    return NULL;
}

uint16_t
http_port(const struct http *http)
{
    return pgw_listener_port(http->listener);
}

void
http_close(struct http *http)
{
    pgw_timer_stop(http->entry->loop, &http->accept_timer);
    pgw_listener_close(http->listener, listener_closed);
}

bool
http_is_closed(struct http *http)
{
    return !pgw_listener_is_open(http->listener) &&
           guard_is_idle(http->guard, http->first_until_us);
}

void
http_refuse_incomplete(struct http *http, const struct refusal *refusal)
{
    guard_refuse_incomplete(http->guard, refusal);
}

void
http_stop(struct http *http)
{
    if (http != NULL) {
        http->entry->http = NULL;
        pgw_timer_stop(http->entry->loop, &http->accept_timer);
        pgw_listener_free(http->listener);
        if (http->daemon != NULL) {
            MHD_stop_daemon(http->daemon);
        }
        guard_free(http->guard);
        g_free(http);
    }
}
