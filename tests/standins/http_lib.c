#include "http_lib.h"

#include <errno.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNECTION_LIMIT 16384
#define LISTEN_BACKLOG 4096
#define STREAM_BLOCK_SIZE 4096

enum answer_state {
    ANSWER_OPEN,
    ANSWER_READY,
    ANSWER_DROPPED,
};

struct standin_call {
    atomic_uint refs;
    atomic_bool closed;
    struct MHD_Connection *connection;
    char *method;
    char *path;
    GString *body;
    bool handled;

    pthread_mutex_t lock; /* guards all below */
    enum answer_state state;
    bool suspended;
    unsigned status;
    GString *answer;
    size_t answer_sent;
    bool streams;
    bool ended;
    bool cut;
    GPtrArray *headers; /* name, value, name, value .. */
};

static void
end_process(int signal_number)
{
    (void)signal_number;
    _exit(0);
}

void
standin_process_init(void)
{
    struct sigaction end = {.sa_handler = end_process};
    struct sigaction ignore = {.sa_handler = SIG_IGN};

    sigaction(SIGTERM, &end, NULL);
    sigaction(SIGINT, &end, NULL);
    sigaction(SIGPIPE, &ignore, NULL);
}

static struct standin_call *
call_new(struct MHD_Connection *connection, const char *method,
         const char *path)
{
    struct standin_call *call = g_new0(struct standin_call, 1);

    atomic_init(&call->refs, 1);
    atomic_init(&call->closed, false);
    call->connection = connection;
    call->method = g_strdup(method);
    call->path = g_strdup(path);
    call->body = g_string_new(NULL);
    call->answer = g_string_new(NULL);
    call->headers = g_ptr_array_new_with_free_func(g_free);
    pthread_mutex_init(&call->lock, NULL);
    return call;
}

struct standin_call *
standin_call_ref(struct standin_call *call)
{
    atomic_fetch_add(&call->refs, 1);
    return call;
}

void
standin_call_unref(struct standin_call *call)
{
    if (atomic_fetch_sub(&call->refs, 1) != 1) {
        return;
    }
    g_free(call->method);
    g_free(call->path);
    g_string_free(call->body, TRUE);
    if (call->answer != NULL) {
        g_string_free(call->answer, TRUE);
    }
    g_ptr_array_unref(call->headers);
    pthread_mutex_destroy(&call->lock);
    g_free(call);
}

const char *
standin_call_method(const struct standin_call *call)
{
    return call->method;
}

const char *
standin_call_path(const struct standin_call *call)
{
    return call->path;
}

const char *
standin_call_query(struct standin_call *call, const char *name)
{
    return MHD_lookup_connection_value(call->connection, MHD_GET_ARGUMENT_KIND,
                                       name);
}

uint64_t
standin_call_query_uint(struct standin_call *call, const char *name,
                        uint64_t fallback)
{
    const char *text = standin_call_query(call, name);

    return text == NULL ? fallback : g_ascii_strtoull(text, NULL, 10);
}

const char *
standin_call_header(struct standin_call *call, const char *name)
{
    return MHD_lookup_connection_value(call->connection, MHD_HEADER_KIND,
                                       name);
}

const char *
standin_call_body(const struct standin_call *call, size_t *length)
{
    if (length != NULL) {
        *length = call->body->len;
    }
    return call->body->str;
}

JsonObject *
standin_call_json(struct standin_call *call)
{
    JsonParser *parser = json_parser_new_immutable();
    JsonObject *object = NULL;
    JsonNode *root;

    if (!json_parser_load_from_data(parser, call->body->str,
                                    (gssize)call->body->len, NULL)) {
        goto done;
    }
    root = json_parser_get_root(parser);
    if (root != NULL && JSON_NODE_HOLDS_OBJECT(root)) {
        object = json_object_ref(json_node_get_object(root));
    }
done:
    g_object_unref(parser);
    if (object == NULL) {
        standin_call_error(call, MHD_HTTP_BAD_REQUEST, "bad_request",
                           "send a JSON object as the body");
    }
    return object;
}

void
standin_call_add_header(struct standin_call *call, const char *name,
                        const char *value)
{
    pthread_mutex_lock(&call->lock);
    g_ptr_array_add(call->headers, g_strdup(name));
    g_ptr_array_add(call->headers, g_strdup(value));
    pthread_mutex_unlock(&call->lock);
}

/* Caller holds the lock. */
static void
wake(struct standin_call *call)
{
    if (call->suspended) {
        call->suspended = false;
        MHD_resume_connection(call->connection);
    }
}

static void
settle(struct standin_call *call, enum answer_state state, unsigned status,
       GString *body)
{
    pthread_mutex_lock(&call->lock);
    if (call->state == ANSWER_OPEN) {
        call->state = state;
        call->status = status;
        if (body != NULL) {
            g_string_free(call->answer, TRUE);
            call->answer = body;
            body = NULL;
        }
        wake(call);
    }
    pthread_mutex_unlock(&call->lock);
    if (body != NULL) {
        g_string_free(body, TRUE);
    }
}

void
standin_call_reply(struct standin_call *call, unsigned status, GString *body)
{
    settle(call, ANSWER_READY, status, body);
}

void
standin_call_replyf(struct standin_call *call, unsigned status,
                    const char *format, ...)
{
    GString *body = g_string_new(NULL);
    va_list args;

    va_start(args, format);
    g_string_append_vprintf(body, format, args);
    va_end(args);
    settle(call, ANSWER_READY, status, body);
}

void
standin_call_error(struct standin_call *call, unsigned status,
                   const char *code, const char *message)
{
    standin_call_replyf(call, status,
                        "{\"error\":{\"code\":\"%s\",\"message\":\"%s\"}}",
                        code, message);
}

void
standin_call_drop(struct standin_call *call)
{
    settle(call, ANSWER_DROPPED, 0, NULL);
}

void
standin_call_begin_stream(struct standin_call *call)
{
    pthread_mutex_lock(&call->lock);
    call->streams = true;
    pthread_mutex_unlock(&call->lock);
    settle(call, ANSWER_READY, MHD_HTTP_OK, NULL);
}

void
standin_call_write(struct standin_call *call, const char *data, size_t length)
{
    pthread_mutex_lock(&call->lock);
    g_string_append_len(call->answer, data, (gssize)length);
    wake(call);
    pthread_mutex_unlock(&call->lock);
}

void
standin_call_end_stream(struct standin_call *call, bool whole)
{
    pthread_mutex_lock(&call->lock);
    call->ended = true;
    call->cut = !whole;
    wake(call);
    pthread_mutex_unlock(&call->lock);
}

bool
standin_call_is_closed(struct standin_call *call)
{
    return atomic_load(&call->closed);
}

bool
standin_call_peer_gone(struct standin_call *call)
{
    const union MHD_ConnectionInfo *info;
    ssize_t count = 1;
    char byte;

    /* The server looks at no suspended connection; only while it is
     * suspended is the descriptor sure to be still this connection's. */
    pthread_mutex_lock(&call->lock);
    if (call->suspended) {
        info = MHD_get_connection_info(call->connection,
                                       MHD_CONNECTION_INFO_CONNECTION_FD);
        count = recv(info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
            count = 1;
        }
    }
    pthread_mutex_unlock(&call->lock);
    return count <= 0;
}

static ssize_t
read_stream(void *data, uint64_t position, char *buffer, size_t size)
{
    struct standin_call *call = data;
    size_t left;
    ssize_t result = 0;

    (void)position;
    pthread_mutex_lock(&call->lock);
    left = call->answer->len - call->answer_sent;
    if (left > 0) {
        result = (ssize_t)MIN(left, size);
        memcpy(buffer, call->answer->str + call->answer_sent, (size_t)result);
        call->answer_sent += (size_t)result;
        if (call->answer_sent == call->answer->len) {
            g_string_truncate(call->answer, 0);
            call->answer_sent = 0;
        }
    }
    else if (call->ended) {
        result = call->cut ? MHD_CONTENT_READER_END_WITH_ERROR
                           : MHD_CONTENT_READER_END_OF_STREAM;
    }
    else {
        call->suspended = true;
        MHD_suspend_connection(call->connection);
    }
    pthread_mutex_unlock(&call->lock);
    return result;
}

static void
release_stream(void *data)
{
    standin_call_unref(data);
}

static struct MHD_Response *
compose_response(struct standin_call *call)
{
    struct MHD_Response *response;
    size_t length = call->answer->len;

    if (call->streams) {
        response = MHD_create_response_from_callback(
            MHD_SIZE_UNKNOWN, STREAM_BLOCK_SIZE, read_stream,
            standin_call_ref(call), release_stream);
    }
    else {
        response = MHD_create_response_from_buffer(
            length, g_string_free(call->answer, FALSE), MHD_RESPMEM_MUST_FREE);
        call->answer = NULL;
    }
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE,
                            call->streams ? "text/event-stream"
                                          : "application/json");
    for (guint i = 0; i + 1 < call->headers->len; i += 2) {
        MHD_add_response_header(response, call->headers->pdata[i],
                                call->headers->pdata[i + 1]);
    }
    return response;
}

static enum MHD_Result
serve_answer(struct standin_call *call)
{
    struct MHD_Response *response = NULL;
    enum MHD_Result result = MHD_YES;
    unsigned status;

    pthread_mutex_lock(&call->lock);
    status = call->status;
    if (call->state == ANSWER_READY) {
        response = compose_response(call);
    }
    else if (call->state == ANSWER_DROPPED) {
        result = MHD_NO;
    }
    else {
        call->suspended = true;
        MHD_suspend_connection(call->connection);
    }
    pthread_mutex_unlock(&call->lock);
    /* Without the lock: the server takes the response's own lock here, and
     * holds that one whenever it calls read_stream(). */
    if (response != NULL) {
        result = MHD_queue_response(call->connection, status, response);
        MHD_destroy_response(response);
    }
    return result;
}

static enum MHD_Result
serve(void *data, struct MHD_Connection *connection, const char *path,
      const char *method, const char *version, const char *upload,
      size_t *upload_size, void **context)
{
    const struct standin_server_options *options = data;
    struct standin_call *call = *context;

    (void)version;
    if (call == NULL) {
        *context = call_new(connection, method, path);
        return MHD_YES;
    }
    if (*upload_size > 0) {
        g_string_append_len(call->body, upload, (gssize)*upload_size);
        *upload_size = 0;
        return MHD_YES;
    }
    if (!call->handled) {
        call->handled = true;
        options->handle(call, options->data);
    }
    return serve_answer(call);
}

static void
completed(void *data, struct MHD_Connection *connection, void **context,
          enum MHD_RequestTerminationCode code)
{
    struct standin_call *call = *context;

    (void)data;
    (void)connection;
    (void)code;
    if (call == NULL) {
        return;
    }
    atomic_store(&call->closed, true);
    *context = NULL;
    standin_call_unref(call);
}

void
standin_server_run(const struct standin_server_options *options)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_port = htons(options->port),
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    struct MHD_Daemon *server = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME,
        options->port, NULL, NULL, serve, (void *)options,
        MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address,
        MHD_OPTION_THREAD_POOL_SIZE,
        options->threads > 1 ? options->threads : 0,
        MHD_OPTION_CONNECTION_LIMIT, (unsigned)CONNECTION_LIMIT,
        MHD_OPTION_LISTEN_BACKLOG_SIZE, (unsigned)LISTEN_BACKLOG,
        MHD_OPTION_NOTIFY_COMPLETED, completed, NULL, MHD_OPTION_END);

    if (server == NULL) {
        fprintf(stderr, "cannot listen on 127.0.0.1:%u: choose a free port\n",
                options->port);
        exit(1);
    }
    printf("port=%u\n",
           MHD_get_daemon_info(server, MHD_DAEMON_INFO_BIND_PORT)->port);
    fflush(stdout);
    for (;;) {
        pause();
    }
}
