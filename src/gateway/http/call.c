#include "gateway/http/call.h"
#include "gateway/http/peer_progress.h"
#include "util/log.h"
#include "util/metric.h"
#include "util/socket.h"
#include <errno.h>
#include <linux/sockios.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_SIZE 65536
/* With more peers than this, those without a connection are removed. */
#define PEERS_KEPT 1024
/* Interim answers and late ones to earlier requests may come before the answer
 * to a call, and are a few kilobytes. */
#define UNANSWERED_MAX ((size_t)1024 * 1024)
/* A connection is closed this long before the end of the keep-alive time that
 * the peer announced: a request that is sent while the peer closes is lost. */
#define KEEP_ALIVE_MARGIN_US 700000
/* Interval of the samples of a connection whose call is in progress. */
#define PEER_CHECK_US 500000
/* Lost keep-alive probes that end a connection, 3 s after the last byte. */
#define IDLE_PROBES 2

static struct pgw_metric_counter opened_connections = {
    .name = "pgw_call_connections_total",
    .help = "Connections opened to upstreams and the platform",
};

/**
 * struct peer - connections to one address
 * @idle: idle connections (&struct pgw_connection), least recently used first
 * @connections: number of connections, including idle ones
 */
struct peer {
    struct pgw_address address;
    char name[PGW_ADDRESS_TEXT_SIZE];
    struct pgw_list idle;
    unsigned idle_count;
    unsigned connections;
};

struct pgw_call_pool {
    struct pgw_loop *loop;
    struct pgw_call_pool_options options;
    GHashTable *peers;
    struct pgw_list all;
    char *buffer;
    bool is_freed; /* its memory is freed with its last connection */
};

/**
 * struct pgw_connection - one socket
 * @reap: frees the connection after it was closed
 * @call: the current call, NULL while idle
 * @out: bytes of the request that were not yet handed to the kernel
 * @idle_timer: while connecting: the connect timeout; while idle: the end of
 *   the idle time; else the next sample of @progress
 * @progress: what the peer has acknowledged of the request
 * @keep_us: how long the connection may stay idle
 * @events: epoll events that are watched
 * @is_broken: a write has failed, so that part of the request is missing
 * @is_reset: a write has found the connection reset. The kernel reports that
 *   once: what was received before can still be read, and then looks ended
 * @skipping: the current answer belongs to another request and is dropped
 * @calls: calls that it has carried, including the current one
 * @unanswered: bytes that came for the current call before its answer
 * @body_size: bytes of the answer's body so far
 * @body_max: most bytes of the answer's body, 0: no bound
 */
struct pgw_connection {
    struct pgw_loop_fd watch;
    struct pgw_list in_pool;
    struct pgw_list in_idle;
    struct pgw_task reap;
    struct pgw_call_pool *pool;
    struct peer *peer;
    struct pgw_call *call;
    struct pgw_http_reader reader;
    struct pgw_buffer out;
    struct pgw_timer idle_timer;
    struct pgw_peer_progress progress;
    uint64_t idle_since_us;
    uint64_t keep_us;
    uint32_t events;
    bool in_callback; /* its events are being handled */
    bool reap_is_due; /* it is freed when they have been */
    bool connecting;
    bool paused;
    bool is_broken;
    bool is_reset;
    bool skipping;
    bool closed;
    unsigned calls;
    size_t unanswered;
    size_t body_size;
    size_t body_max;
};

/* Upstreams come and go, so an address without a connection is removed once
 * there are many. */
static void
release_peer(struct pgw_call_pool *pool, struct peer *peer)
{
    peer->connections--;
    if (peer->connections == 0 &&
        g_hash_table_size(pool->peers) > PEERS_KEPT) {
        g_hash_table_remove(pool->peers, peer->name);
    }
}

static void
pool_dispose(struct pgw_call_pool *pool)
{
    g_hash_table_destroy(pool->peers);
    g_free(pool->buffer);
    g_free(pool);
}

static void
connection_reap(struct pgw_task *task)
{
    struct pgw_connection *connection =
        pgw_container_of(task, struct pgw_connection, reap);
    struct pgw_call_pool *pool = connection->pool;

    if (connection->in_callback) {
        connection->reap_is_due = true;
        return;
    }
    pgw_list_remove(&connection->in_pool);
    release_peer(pool, connection->peer);
    pgw_http_reader_dispose(&connection->reader);
    pgw_buffer_dispose(&connection->out);
    g_free(connection);
    if (pool->is_freed && pgw_list_is_empty(&pool->all)) {
        pool_dispose(pool);
    }
}

static void
remove_from_idle(struct pgw_connection *connection)
{
    if (pgw_list_is_linked(&connection->in_idle)) {
        pgw_list_remove(&connection->in_idle);
        connection->peer->idle_count--;
    }
    pgw_timer_stop(connection->pool->loop, &connection->idle_timer);
}

/*
 * Failure: a request is cancelled while its upstream's machine is suspended or
 * unreachable, or before all of it was written. Symptom: after an ordinary
 * close the kernel continues to send it, so it arrives seconds later and runs
 * for a caller that has disconnected or was answered by another upstream. A
 * reset drops unacknowledged bytes. If there are none, an ordinary close is
 * better: the kernel resends a FIN until the peer acknowledges it.
 */
static void
reset_if_unacked(const struct pgw_connection *connection)
{
#ifndef PGW_DISABLE_GATEWAY_UNACKED
    struct linger reset = {.l_onoff = 1, .l_linger = 0};
    int fd = connection->watch.fd;
    int unacked = 0;

    if (pgw_buffer_size(&connection->out) == 0 &&
        (ioctl(fd, SIOCOUTQ, &unacked) != 0 || unacked == 0)) {
        return;
    }
    if (setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset)) != 0) {
        pgw_log_warning("no_reset", "errno=%d unacked=%d unwritten=%zu", errno,
                        unacked, pgw_buffer_size(&connection->out));
    }
#else
    (void)connection;
#endif
}

/* Closes the socket at once. The memory is freed from the loop, since the
 * connection's own callbacks may be on the stack. */
static void
connection_close(struct pgw_connection *connection)
{
    if (connection->closed) {
        return;
    }
    connection->closed = true;
    connection->reader.stop = true;
    remove_from_idle(connection);
    pgw_loop_fd_remove(connection->pool->loop, &connection->watch);
    reset_if_unacked(connection);
    close(connection->watch.fd);
    connection->reap.run = connection_reap;
    pgw_loop_post(connection->pool->loop, &connection->reap);
}

static struct pgw_call *
detach(struct pgw_connection *connection)
{
    struct pgw_call *call = connection->call;

    connection->call = NULL;
    if (call != NULL) {
        pgw_timer_stop(connection->pool->loop, &call->timer);
        call->connection = NULL;
    }
    return call;
}

static void
connection_fail(struct pgw_connection *connection, enum pgw_call_failure why)
{
    struct pgw_call *call = detach(connection);

    if (connection->connecting) {
        why = PGW_CALL_NO_CONNECTION;
    }
    connection_close(connection);
    if (call != NULL) {
        call->ops->on_failed(call, why);
    }
}

static void
watch_events(struct pgw_connection *connection)
{
    uint32_t events = connection->paused ? 0 : EPOLLIN;

    if (connection->connecting || pgw_buffer_size(&connection->out) > 0) {
        events |= EPOLLOUT;
    }
    if (events != connection->events && !connection->closed) {
        connection->events = events;
        pgw_loop_fd_modify(connection->pool->loop, &connection->watch, events);
    }
}

/*
 * Failure: an upstream answers a request before it has read all of it, without
 * a length, and resets the connection within the answer. Symptom: the write
 * takes the error, the part that was received ends as an answer without a
 * length does, and the caller gets it as a whole one. After a reset the end of
 * the connection is not the end of an answer. EPIPE is none: the peer has
 * closed in order, and only the rest of the request was in vain.
 */
static void
handle_write_error(struct pgw_connection *connection, int error)
{
    connection->is_broken = true;
    connection->is_reset |= error != EPIPE;
    pgw_buffer_consume(&connection->out, pgw_buffer_size(&connection->out));
    /* The loop sees the end of a connection that the kernel has closed. */
    if (error != EPIPE && error != ECONNRESET) {
        shutdown(connection->watch.fd, SHUT_RDWR);
    }
}

static void
connection_flush(struct pgw_connection *connection)
{
    while (pgw_buffer_size(&connection->out) > 0) {
        ssize_t sent =
            send(connection->watch.fd, pgw_buffer_head(&connection->out),
                 pgw_buffer_size(&connection->out), MSG_NOSIGNAL);

        if (sent < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        if (sent < 0) {
            handle_write_error(connection, errno);
            return;
        }
        if (connection->call != NULL) {
            connection->call->sent = true;
        }
        pgw_buffer_consume(&connection->out, (size_t)sent);
    }
}

static void
on_head(struct pgw_http_reader *reader)
{
    struct pgw_connection *connection =
        pgw_container_of(reader, struct pgw_connection, reader);
    struct pgw_call *call = connection->call;
    const char *keep_alive = pgw_http_head_find(&reader->head, "Keep-Alive");

    connection->skipping = false;
    if (call == NULL) {
        return;
    }
    connection->keep_us = connection->pool->options.idle_us;
    if (keep_alive != NULL &&
        (keep_alive = strstr(keep_alive, "timeout=")) != NULL) {
        uint64_t limit_us =
            g_ascii_strtoull(keep_alive + 8, NULL, 10) * 1000000;

        limit_us = limit_us > KEEP_ALIVE_MARGIN_US
                       ? limit_us - KEEP_ALIVE_MARGIN_US
                       : limit_us / 4;
        connection->keep_us = MIN(connection->keep_us, limit_us);
    }
    call->answered = true;
    if (!call->ops->on_head(call, &reader->head)) {
        connection->skipping = true;
        call->answered = false;
        call->foreign_answers++;
        call->last_use = true;
    }
}

static bool
exceeds_body_max(const struct pgw_connection *connection)
{
    return connection->body_max > 0 &&
           connection->body_size > connection->body_max;
}

static void
on_body(struct pgw_http_reader *reader, const char *data, size_t size)
{
    struct pgw_connection *connection =
        pgw_container_of(reader, struct pgw_connection, reader);

    if (connection->call == NULL || connection->skipping) {
        return;
    }
    connection->body_size += size;
    if (!exceeds_body_max(connection)) {
        connection->call->ops->on_body(connection->call, data, size);
    }
}

static void
on_done(struct pgw_http_reader *reader)
{
    (void)reader;
}

static const struct pgw_http_reader_ops reader_ops = {
    .on_head = on_head,
    .on_body = on_body,
    .on_done = on_done,
};

static void
on_idle_timeout(struct pgw_timer *timer)
{
    connection_close(
        pgw_container_of(timer, struct pgw_connection, idle_timer));
}

/* The answer is complete. @clean: no bytes followed it. The connection is kept
 * only in a consistent state: bytes after the answer belong to no request, and
 * unsent bytes of the request would be read as part of the next one. */
static void
finish_call(struct pgw_connection *connection, bool clean)
{
    struct pgw_call_pool *pool = connection->pool;
    struct pgw_call *call = detach(connection);
    bool keep = clean && call != NULL && !call->last_use &&
                !connection->is_broken && connection->reader.head.keep_alive &&
                pgw_buffer_size(&connection->out) == 0 &&
                connection->peer->idle_count < pool->options.max_idle &&
                connection->keep_us > 0;

    if (keep) {
        pgw_http_reader_next(&connection->reader);
        connection->idle_since_us = pgw_now_us();
        pgw_list_append(&connection->peer->idle, &connection->in_idle);
        connection->peer->idle_count++;
        connection->idle_timer.on_due = on_idle_timeout;
        pgw_timer_start(pool->loop, &connection->idle_timer,
                        connection->keep_us);
    }
    else {
        connection_close(connection);
    }
    if (call != NULL) {
        call->ops->on_done(call);
    }
}

/*
 * Failure: a faulty upstream sends without end: interim answers, answers of
 * other requests, or a body. Symptom: the process reads until the call's
 * deadline and has no time for others, or runs out of memory.
 */
static bool
takes_too_much(struct pgw_connection *connection, size_t consumed)
{
    if (!connection->call->answered) {
        connection->unanswered += consumed;
    }
    return connection->unanswered > UNANSWERED_MAX ||
           exceeds_body_max(connection);
}

/* Parses received bytes; @data is NULL when the peer has closed. Returns false
 * when the connection must not be read any further. */
static bool
parse_received(struct pgw_connection *connection, const char *data,
               size_t size)
{
    size_t consumed;

    while (size > 0 || data == NULL) {
        enum pgw_http_result result = pgw_http_reader_feed(
            &consumed, &connection->reader, data, data == NULL ? 0 : size);

        if (connection->closed || connection->call == NULL) {
            connection_close(connection);
            return false;
        }
        if (takes_too_much(connection, consumed)) {
            connection_fail(connection, PGW_CALL_MALFORMED);
            return false;
        }
        if (result == PGW_HTTP_MORE) {
            return data != NULL;
        }
        if (result != PGW_HTTP_DONE) {
            connection_fail(connection, data == NULL ? PGW_CALL_CLOSED
                                                     : PGW_CALL_MALFORMED);
            return false;
        }
        if (!connection->skipping) {
            finish_call(connection, data != NULL && consumed == size);
            return false;
        }
        if (data == NULL) {
            return false;
        }
        connection->skipping = false;
        pgw_http_reader_next(&connection->reader);
        data += consumed;
        size -= consumed;
    }
    return true;
}

static void
connection_read(struct pgw_connection *connection)
{
    char *buffer = connection->pool->buffer;
    ssize_t received = recv(connection->watch.fd, buffer, READ_SIZE, 0);

    if (received < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (connection->call == NULL) {
        /* Closed while idle, or bytes that belong to no request. */
        connection_close(connection);
        return;
    }
    if (received < 0) {
        connection_fail(connection, PGW_CALL_CLOSED);
        return;
    }
    if (received > 0) {
        parse_received(connection, buffer, (size_t)received);
        return;
    }
    /* An answer without a length ends here; any other is incomplete. */
    if (connection->is_reset || parse_received(connection, NULL, 0) ||
        connection->call != NULL) {
        connection_fail(connection, PGW_CALL_CLOSED);
    }
}

/*
 * Failure: an upstream reads a large request slowly, and the kernel bounds the
 * time of unacknowledged bytes. Symptom: it resets the connection in
 * the middle of the request, which counts as a broken run. Only a peer that
 * acknowledges nothing is gone.
 */
static void
on_peer_check(struct pgw_timer *timer)
{
    struct pgw_connection *connection =
        pgw_container_of(timer, struct pgw_connection, idle_timer);
    const struct pgw_peer_bounds bounds = {
        .silence_us = connection->pool->options.silence_us,
    };
    struct pgw_socket_sample sample;

    pgw_socket_sample(&sample, connection->watch.fd);
    sample.unacked += pgw_buffer_size(&connection->out);
    if (pgw_peer_progress_update(&connection->progress, &sample, &bounds,
                                 pgw_now_us()) == PGW_PEER_GONE) {
        pgw_log_info("peer_silent", "peer=%s unacked=%zu unanswered=%u",
                     connection->peer->name, sample.unacked,
                     sample.unanswered);
        connection_fail(connection, PGW_CALL_CLOSED);
        return;
    }
    pgw_timer_start(connection->pool->loop, timer, PEER_CHECK_US);
}

static void
start_peer_checks(struct pgw_connection *connection)
{
    pgw_peer_progress_begin(&connection->progress, pgw_now_us());
    connection->idle_timer.on_due = on_peer_check;
    pgw_timer_start(connection->pool->loop, &connection->idle_timer,
                    PEER_CHECK_US);
}

static void
finish_connect(struct pgw_connection *connection)
{
    int error = 0;
    socklen_t size = sizeof(error);

    getsockopt(connection->watch.fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
        if (connection->call != NULL) {
            connection->call->refused = error == ECONNREFUSED;
        }
        connection_fail(connection, PGW_CALL_NO_CONNECTION);
        return;
    }
    connection->connecting = false;
    start_peer_checks(connection);
}

static void
handle_events(struct pgw_connection *connection, uint32_t events)
{
    if (connection->connecting) {
        finish_connect(connection);
        if (connection->closed) {
            return;
        }
    }
    /* A peer that rejects a request early answers before it closes. What it
     * has sent is read to its end, also after a write has failed. */
    if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
        connection_read(connection);
        if (connection->closed) {
            return;
        }
    }
    if ((events & EPOLLOUT) != 0) {
        connection_flush(connection);
    }
    watch_events(connection);
}

/*
 * Failure: a callback frees this pool or another one, which runs the tasks
 * that are posted. Symptom: this connection, which is closed after its call,
 * is freed while its events are handled.
 */
static void
connection_ready(struct pgw_loop_fd *watch, uint32_t events)
{
    struct pgw_connection *connection =
        pgw_container_of(watch, struct pgw_connection, watch);

    connection->in_callback = true;
    handle_events(connection, events);
    connection->in_callback = false;
    if (connection->reap_is_due) {
        connection_reap(&connection->reap);
    }
}

static void
on_connect_timeout(struct pgw_timer *timer)
{
    connection_fail(pgw_container_of(timer, struct pgw_connection, idle_timer),
                    PGW_CALL_NO_CONNECTION);
}

static struct pgw_connection *
connection_open(struct pgw_call_pool *pool, struct peer *peer)
{
    const struct pgw_address *address = &peer->address;
    int fd = socket(address->storage.ss_family,
                    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    struct pgw_connection *connection;

    if (fd < 0) {
        pgw_log_warning("no_socket", "errno=%d", errno);
        return NULL;
    }
    pgw_socket_tune(fd, &(struct pgw_socket_options){.probes = IDLE_PROBES});
    if (connect(fd, (const struct sockaddr *)&address->storage,
                address->size) != 0 &&
        errno != EINPROGRESS) {
        close(fd);
        return NULL;
    }
    pgw_metric_counter_add(&opened_connections, 1);
    connection = g_new0(struct pgw_connection, 1);
    connection->watch.fd = fd;
    connection->watch.on_ready = connection_ready;
    connection->pool = pool;
    connection->peer = peer;
    peer->connections++;
    connection->connecting = true;
    connection->events = EPOLLIN | EPOLLOUT;
    pgw_http_reader_init(&connection->reader, true, pool->options.head_limit,
                         &reader_ops);
    pgw_list_append(&pool->all, &connection->in_pool);
    if (!pgw_loop_fd_add(pool->loop, &connection->watch, connection->events,
                         NULL)) {
        connection_close(connection);
        return NULL;
    }
    connection->idle_timer.on_due = on_connect_timeout;
    pgw_timer_start(pool->loop, &connection->idle_timer,
                    pool->options.connect_timeout_us);
    return connection;
}

static struct peer *
get_peer(struct pgw_call_pool *pool, const struct pgw_address *address)
{
    char name[PGW_ADDRESS_TEXT_SIZE];
    struct peer *peer;

    pgw_address_format(name, address);
    peer = g_hash_table_lookup(pool->peers, name);
    if (peer == NULL) {
        peer = g_new0(struct peer, 1);
        peer->address = *address;
        g_strlcpy(peer->name, name, sizeof(peer->name));
        pgw_list_init(&peer->idle);
        g_hash_table_insert(pool->peers, peer->name, peer);
    }
    return peer;
}

/* Bytes that came while no call was waiting belong to none, and would be read
 * as the answer to the next one. */
static bool
is_readable(const struct pgw_connection *connection)
{
    char byte;

    return recv(connection->watch.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >=
               0 ||
           errno != EAGAIN;
}

/* Takes the most recently used connection, so that the others reach their idle
 * timeout and are closed. */
static struct pgw_connection *
find_idle_connection(struct peer *peer,
                     const struct pgw_call_pool_options *options, bool fresh)
{
    struct pgw_connection *connection;
    uint64_t idle_us;

    if (pgw_list_is_empty(&peer->idle)) {
        return NULL;
    }
    connection =
        pgw_container_of(peer->idle.prev, struct pgw_connection, in_idle);
    idle_us = pgw_now_us() - connection->idle_since_us;
    if (idle_us >= connection->keep_us ||
        (fresh && idle_us >= options->fresh_after_us)) {
        return NULL;
    }
    return connection;
}

static struct pgw_connection *
take_idle_connection(struct peer *peer,
                     const struct pgw_call_pool_options *options, bool fresh)
{
    struct pgw_connection *connection;

    while ((connection = find_idle_connection(peer, options, fresh)) != NULL &&
           is_readable(connection)) {
        connection_close(connection);
    }
    if (connection != NULL) {
        remove_from_idle(connection);
    }
    return connection;
}

static void
on_call_timeout(struct pgw_timer *timer)
{
    struct pgw_call *call = pgw_container_of(timer, struct pgw_call, timer);

    connection_fail(call->connection, PGW_CALL_TIMEOUT);
}

bool
pgw_call_start(struct pgw_call *call, struct pgw_call_pool *pool,
               const struct pgw_call_options *options)
{
    struct peer *peer = get_peer(pool, options->address);
    struct pgw_connection *connection =
        options->alone
            ? NULL
            : take_idle_connection(peer, &pool->options, options->fresh);

    call->last_use = options->alone;
    call->foreign_answers = 0;
    call->sent = false;
    call->answered = false;
    call->refused = false;
    if (connection == NULL) {
        connection = connection_open(pool, peer);
    }
    if (connection == NULL) {
        return false;
    }
    call->earlier_calls = connection->calls++;
    connection->call = call;
    connection->paused = false;
    connection->unanswered = 0;
    connection->body_size = 0;
    connection->body_max = options->body_max;
    connection->reader.no_body = options->no_body;
    call->connection = connection;
    pgw_buffer_append(&connection->out, options->bytes, options->size);
    if (!connection->connecting) {
        start_peer_checks(connection);
    }
    if (!connection->connecting) {
        connection_flush(connection);
    }
    watch_events(connection);
    if (options->timeout_us > 0) {
        call->timer.on_due = on_call_timeout;
        pgw_timer_start(pool->loop, &call->timer, options->timeout_us);
    }
    return true;
}

void
pgw_call_cancel(struct pgw_call *call)
{
    struct pgw_connection *connection = call->connection;

    if (connection != NULL) {
        detach(connection);
        connection_close(connection);
    }
}

void
pgw_call_socket_state(struct pgw_call_socket_state *out,
                      const struct pgw_call *call)
{
    int fd = call->connection->watch.fd;
    struct pgw_address own = {.size = sizeof(own.storage)};

    *out = (struct pgw_call_socket_state){.unacked = -1};
    if (getsockname(fd, (struct sockaddr *)&own.storage, &own.size) == 0) {
        out->port = pgw_address_port(&own);
    }
    if (ioctl(fd, SIOCOUTQ, &out->unacked) != 0) {
        out->unacked = -1;
    }
}

void
pgw_call_pause(struct pgw_call *call, bool pause)
{
    if (call->connection != NULL && call->connection->paused != pause) {
        call->connection->paused = pause;
        watch_events(call->connection);
    }
}

static void
peer_free(void *data)
{
    g_free(data);
}

struct pgw_call_pool *
pgw_call_pool_new(struct pgw_loop *loop,
                  const struct pgw_call_pool_options *options)
{
    struct pgw_call_pool *pool = g_new0(struct pgw_call_pool, 1);

    pgw_metric_register_counter(&opened_connections);
    pool->loop = loop;
    pool->options = *options;
    pool->peers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
    pool->buffer = g_malloc(READ_SIZE);
    pgw_list_init(&pool->all);
    return pool;
}

void
pgw_call_pool_free(struct pgw_call_pool *pool)
{
    pgw_list_foreach_safe (link, &pool->all) {
        struct pgw_connection *connection =
            pgw_container_of(link, struct pgw_connection, in_pool);

        detach(connection);
        connection_close(connection);
    }
    pgw_loop_run_tasks(pool->loop);
    if (pgw_list_is_empty(&pool->all)) {
        pool_dispose(pool);
        return;
    }
    pool->is_freed = true;
}
