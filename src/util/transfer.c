#include "util/transfer.h"
#include "util/curl_head.h"
#include <sys/epoll.h>

#define TRANSFER_CONNECT_TIMEOUT_MS 1000L

struct pgw_transfer_pool {
    struct pgw_loop *loop;
    CURLM *multi;
    struct pgw_timer timer;
};

struct pgw_transfer {
    struct pgw_transfer_pool *pool;
    CURL *easy;
    struct curl_slist *headers;
    struct pgw_curl_head head;
    const struct pgw_transfer_ops *ops;
    void *context;
    bool head_done;
    bool in_callback;
    bool cancelled;
};

/* A socket that libcurl asked to watch. */
struct transfer_socket {
    struct pgw_loop_fd watch;
    struct pgw_transfer_pool *pool;
};

static void
transfer_free(struct pgw_transfer *transfer)
{
    curl_multi_remove_handle(transfer->pool->multi, transfer->easy);
    curl_easy_cleanup(transfer->easy);
    curl_slist_free_all(transfer->headers);
    g_free(transfer);
}

static void
transfer_head(struct pgw_transfer *transfer)
{
    long status = 0;

    if (transfer->head_done) {
        return;
    }
    transfer->head_done = true;
    curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
    if (transfer->ops->on_head != NULL) {
        transfer->ops->on_head(transfer, status, transfer->context);
    }
}

static void
pool_collect(struct pgw_transfer_pool *pool)
{
    CURLMsg *message;
    int left;

    while ((message = curl_multi_info_read(pool->multi, &left)) != NULL) {
        struct pgw_transfer *transfer = NULL;
        CURLcode code;
        long status = 0;

        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
        code = pgw_curl_head_check(&transfer->head, message->data.result);
        curl_easy_getinfo(message->easy_handle, CURLINFO_RESPONSE_CODE,
                          &status);
        /* An answer without a body has a head all the same. */
        if (!transfer->cancelled && code == CURLE_OK) {
            transfer_head(transfer);
        }
        if (!transfer->cancelled) {
            transfer->ops->on_done(transfer, code, status, transfer->context);
        }
        transfer_free(transfer);
    }
}

static void
pool_act(struct pgw_transfer_pool *pool, curl_socket_t fd, int what)
{
    int running;

    curl_multi_socket_action(pool->multi, fd, what, &running);
    pool_collect(pool);
}

static void
socket_ready(struct pgw_loop_fd *watch, uint32_t events)
{
    struct transfer_socket *self =
        pgw_container_of(watch, struct transfer_socket, watch);
    int what = 0;

    if (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) {
        what |= CURL_CSELECT_IN;
    }
    if (events & EPOLLOUT) {
        what |= CURL_CSELECT_OUT;
    }
    pool_act(self->pool, watch->fd, what);
}

static int
on_socket(CURL *easy, curl_socket_t fd, int what, void *context,
          void *socket_context)
{
    struct pgw_transfer_pool *pool = context;
    struct transfer_socket *self = socket_context;
    uint32_t events = 0;

    (void)easy;
    if (what == CURL_POLL_REMOVE) {
        if (self != NULL) {
            pgw_loop_fd_remove(pool->loop, &self->watch);
            curl_multi_assign(pool->multi, fd, NULL);
            g_free(self);
        }
        return 0;
    }
    if (what & CURL_POLL_IN) {
        events |= EPOLLIN;
    }
    if (what & CURL_POLL_OUT) {
        events |= EPOLLOUT;
    }
    if (self != NULL) {
        pgw_loop_fd_modify(pool->loop, &self->watch, events);
        return 0;
    }
    self = g_new0(struct transfer_socket, 1);
    self->pool = pool;
    self->watch = (struct pgw_loop_fd){.fd = fd, .on_ready = socket_ready};
    if (!pgw_loop_fd_add(pool->loop, &self->watch, events, NULL)) {
        g_free(self);
        return -1;
    }
    curl_multi_assign(pool->multi, fd, self);
    return 0;
}

static void
timer_due(struct pgw_timer *timer)
{
    pool_act(pgw_container_of(timer, struct pgw_transfer_pool, timer),
             CURL_SOCKET_TIMEOUT, 0);
}

static int
on_timer(CURLM *multi, long timeout_ms, void *context)
{
    struct pgw_transfer_pool *pool = context;

    (void)multi;
    if (timeout_ms < 0) {
        pgw_timer_stop(pool->loop, &pool->timer);
    }
    else {
        pgw_timer_start(pool->loop, &pool->timer, (uint64_t)timeout_ms * 1000);
    }
    return 0;
}

struct pgw_transfer_pool *
pgw_transfer_pool_new(struct pgw_loop *loop)
{
    struct pgw_transfer_pool *pool = g_new0(struct pgw_transfer_pool, 1);

    pool->loop = loop;
    pool->timer.on_due = timer_due;
    pool->multi = curl_multi_init();
    curl_multi_setopt(pool->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
    curl_multi_setopt(pool->multi, CURLMOPT_SOCKETDATA, pool);
    curl_multi_setopt(pool->multi, CURLMOPT_TIMERFUNCTION, on_timer);
    curl_multi_setopt(pool->multi, CURLMOPT_TIMERDATA, pool);
    return pool;
}

void
pgw_transfer_pool_free(struct pgw_transfer_pool *pool)
{
    if (pool == NULL) {
        return;
    }
    curl_multi_cleanup(pool->multi);
    pgw_timer_stop(pool->loop, &pool->timer);
    g_free(pool);
}

static size_t
on_write(char *data, size_t size, size_t count, void *context)
{
    struct pgw_transfer *transfer = context;
    size_t total = size * count;
    bool taken;

    if (transfer->cancelled) {
        return 0;
    }
    transfer->in_callback = true;
    transfer_head(transfer);
    taken = transfer->cancelled ||
            transfer->ops->on_body(transfer, (const uint8_t *)data, total,
                                   transfer->context);
    transfer->in_callback = false;
    if (transfer->cancelled) {
        return 0;
    }
    return taken ? total : CURL_WRITEFUNC_PAUSE;
}

static void
set_method(CURL *easy, const struct pgw_transfer_options *options)
{
    bool sends = options->body_size > 0 ||
                 strcmp(options->method, "POST") == 0 ||
                 strcmp(options->method, "PUT") == 0;

    /* Without a body libcurl would leave out "Content-Length: 0", which
     * servers want of these methods. */
    if (sends) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         (curl_off_t)options->body_size);
        curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS,
                         options->body_size > 0 ? options->body : "");
    }
    /* Told otherwise libcurl waits for the body that HEAD never brings. */
    if (strcmp(options->method, "HEAD") == 0) {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
        return;
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, options->method);
}

struct pgw_transfer *
pgw_transfer_start(struct pgw_transfer_pool *pool,
                   const struct pgw_transfer_options *options,
                   const struct pgw_transfer_ops *ops, void *context)
{
    struct pgw_transfer *transfer = g_new0(struct pgw_transfer, 1);
    CURL *easy = curl_easy_init();

    transfer->pool = pool;
    transfer->easy = easy;
    transfer->ops = ops;
    transfer->context = context;
    if (options->content_type != NULL) {
        char *line =
            g_strconcat("Content-Type: ", options->content_type, NULL);

        transfer->headers = curl_slist_append(transfer->headers, line);
        g_free(line);
    }
    for (const char *const *line = options->headers;
         line != NULL && *line != NULL; line++) {
        transfer->headers = curl_slist_append(transfer->headers, *line);
    }
    /* Without this libcurl waits a second for "100 Continue". */
    transfer->headers = curl_slist_append(transfer->headers, "Expect:");
    curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
    curl_easy_setopt(easy, CURLOPT_URL, options->url);
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    /*
     * When the peer closes a reused connection before it answers, libcurl
     * sends the request once more on its own: a stamp would run twice, and a
     * request that crashed its engine would crash the restarted one. A fresh
     * connection is never retried, so each transfer sends at most once.
     */
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     TRANSFER_CONNECT_TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, options->timeout_ms);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_write);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
    pgw_curl_head_watch(easy, &transfer->head);
    set_method(easy, options);
    curl_multi_add_handle(pool->multi, easy);
    return transfer;
}

const char *
pgw_transfer_header(struct pgw_transfer *transfer, const char *name)
{
    struct curl_header *header = NULL;

    if (curl_easy_header(transfer->easy, name, 0, CURLH_HEADER, -1, &header) !=
        CURLHE_OK) {
        return NULL;
    }
    return header->value;
}

bool
pgw_transfer_was_sent(struct pgw_transfer *transfer)
{
    long request_size = 0;

    curl_easy_getinfo(transfer->easy, CURLINFO_REQUEST_SIZE, &request_size);
    return request_size > 0;
}

void
pgw_transfer_resume(struct pgw_transfer *transfer)
{
    if (!transfer->in_callback && !transfer->cancelled) {
        curl_easy_pause(transfer->easy, CURLPAUSE_CONT);
    }
}

void
pgw_transfer_cancel(struct pgw_transfer *transfer)
{
    /* libcurl forbids removing a handle from inside its own callback; the
     * write callback then reports an error and the pool collects it. */
    transfer->cancelled = true;
    if (!transfer->in_callback) {
        transfer_free(transfer);
    }
}
