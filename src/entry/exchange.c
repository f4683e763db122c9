#include "entry/exchange.h"
#include "entry/workspace_count.h"
#include "util/random.h"
#include <poll.h>

struct exchange *
exchange_new(struct entry *entry, struct MHD_Connection *connection)
{
    struct exchange *exchange = g_new0(struct exchange, 1);

    exchange->entry = entry;
    atomic_init(&exchange->references, 1);
    pgw_random_bytes(&exchange->id, sizeof(exchange->id));
    exchange->connection = connection;
    exchange->began_us = pgw_now_us();
    exchange->wall = g_get_real_time() / G_USEC_PER_SEC;
    pthread_mutex_init(&exchange->output.lock, NULL);
    return exchange;
}

struct exchange *
exchange_ref(struct exchange *exchange)
{
    atomic_fetch_add(&exchange->references, 1);
    return exchange;
}

static void
request_dispose(struct exchange_request *request)
{
    g_free(request->method);
    g_free(request->path);
    g_free(request->content_type);
    pgw_buffer_dispose(&request->body);
    g_free(request->workspace);
    g_free(request->profile);
    g_free(request->pool);
    g_free(request->model);
    g_free(request->adapter);
    g_free(request->version);
    if (request->prompt != NULL) {
        g_string_free(request->prompt, TRUE);
    }
    g_free(request->idempotency_key);
}

void
exchange_unref(struct exchange *exchange)
{
    if (atomic_fetch_sub(&exchange->references, 1) != 1) {
        return;
    }
    if (exchange->workspace_counted) {
        workspace_count_leave(exchange->entry->workspaces,
                              exchange->request.workspace);
    }
    if (exchange->counted) {
        atomic_fetch_sub(&exchange->entry->inflight, 1);
    }
    request_dispose(&exchange->request);
    pgw_buffer_dispose(&exchange->output.bytes);
    g_free(exchange->output.content_type);
    g_free(exchange->output.upstream);
    pthread_mutex_destroy(&exchange->output.lock);
    if (exchange->text != NULL) {
        g_string_free(exchange->text, TRUE);
    }
    g_free(exchange->service_type);
    g_free(exchange);
}

/* With the lock held. */
static void
output_wake(struct exchange *exchange)
{
    if (exchange->output.suspended) {
        exchange->output.suspended = false;
        MHD_resume_connection(exchange->connection);
    }
}

void
exchange_begin_output(struct exchange *exchange, unsigned status,
                      const char *content_type)
{
    struct exchange_output *output = &exchange->output;

    pthread_mutex_lock(&output->lock);
    output->status = status;
    output->content_type = g_strdup(content_type);
    output->cached_tokens = exchange->cached_tokens;
    output_wake(exchange);
    pthread_mutex_unlock(&output->lock);
}

void
exchange_set_upstream(struct exchange *exchange, const char *id)
{
    struct exchange_output *output = &exchange->output;

    pthread_mutex_lock(&output->lock);
    g_free(output->upstream);
    output->upstream = g_strdup(id);
    pthread_mutex_unlock(&output->lock);
}

void
exchange_append(struct exchange *exchange, const void *data, size_t size)
{
    struct exchange_output *output = &exchange->output;

    pthread_mutex_lock(&output->lock);
    pgw_buffer_append(&output->bytes, data, size);
    output_wake(exchange);
    pthread_mutex_unlock(&output->lock);
}

bool
exchange_is_behind(struct exchange *exchange, size_t limit)
{
    struct exchange_output *output = &exchange->output;

    bool behind;

    pthread_mutex_lock(&output->lock);
    behind = pgw_buffer_size(&output->bytes) > limit;
    output->starved = behind;
    pthread_mutex_unlock(&output->lock);
    return behind;
}

void
exchange_answer(struct exchange *exchange, unsigned status,
                const char *content_type, uint32_t retry_after_ms,
                const void *data, size_t size)
{
    struct exchange_output *output = &exchange->output;

    pthread_mutex_lock(&output->lock);
    output->status = status;
    output->content_type = g_strdup(content_type);
    output->cached_tokens = exchange->cached_tokens;
    output->retry_after_ms = retry_after_ms;
    pgw_buffer_append(&output->bytes, data, size);
    output->finished = true;
    output_wake(exchange);
    pthread_mutex_unlock(&output->lock);
}

void
exchange_finish_output(struct exchange *exchange, bool broken)
{
    struct exchange_output *output = &exchange->output;

    pthread_mutex_lock(&output->lock);
    output->finished = true;
    output->broken = broken;
    output_wake(exchange);
    pthread_mutex_unlock(&output->lock);
}

bool
exchange_caller_is_gone(struct exchange *exchange)
{
    struct exchange_output *output = &exchange->output;
    const union MHD_ConnectionInfo *info;
    struct pollfd look = {.events = POLLRDHUP};
    bool gone = false;

    pthread_mutex_lock(&output->lock);
    /*
     * The HTTP server does not watch a suspended connection: a caller who
     * hangs up while waiting would go unnoticed and its request would be
     * computed for nobody. Looking at the socket is safe here because the
     * server closes no connection while it is suspended. Reading instead would
     * miss the end behind bytes that were sent ahead.
     */
    if (output->suspended) {
        info = MHD_get_connection_info(exchange->connection,
                                       MHD_CONNECTION_INFO_CONNECTION_FD);
        look.fd = info == NULL ? -1 : info->connect_fd;
        gone = poll(&look, 1, 0) > 0 &&
               (look.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }
    pthread_mutex_unlock(&output->lock);
    return gone;
}
