#include "gateway/http/caller.h"
#include "parsleygw/errors.h"
#include "util/listener.h"
#include "util/log.h"
#include "util/metric.h"
#include "util/socket.h"
#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_SIZE 65536
/* Most bytes of pipelined requests that are buffered. */
#define PIPELINE_LIMIT ((size_t)64 * 1024)
/* A caller of a stream with more buffered output than this has stopped
 * reading; its connection is closed, which bounds the memory for it. */
#define OUT_LIMIT ((size_t)1024 * 1024)
/* Most bytes that are reserved for an announced body before it arrives. */
#define BODY_RESERVE ((size_t)256 * 1024)
/* Time for a caller to close the connection after the half-close, once it has
 * received the last answer; until then, interval of the samples of that. */
#define LINGER_US 500000
/* Checks per idle timeout of what a caller has received of its answer. An idle
 * connection is closed up to one interval late; more checks cost more calls.
 */
#define IDLE_CHECKS 4
/* Interval of the samples of an answer in progress. Callers that are gone are
 * noticed up to one interval late. */
#define ANSWER_CHECK_US 1000000
/* A caller that has acknowledged nothing for so long is gone: four
 * retransmissions are lost by then. */
#define SILENCE_US 5000000
/* Lost keep-alive probes that end an idle connection after the same time. */
#define IDLE_PROBES 4

static struct pgw_metric_counter accepted_connections = {
    .name = "pgw_caller_connections_total",
    .help = "Connections accepted from callers",
};
static struct pgw_metric_gauge open_connections = {
    .name = "pgw_caller_connections",
    .help = "Connections of callers that are open",
};

static struct pgw_metric_counter unanswered_requests = {
    .name = "pgw_caller_unanswered_total",
    .help = "Requests whose connection was closed here without an answer",
};
static struct pgw_metric_counter unreceived_answers = {
    .name = "pgw_caller_unreceived_total",
    .help = "Answers whose connection ended before the caller had received "
            "them",
};
static struct pgw_metric_histogram gone_unnoticed = {
    .name = "pgw_caller_gone_late_seconds",
    .help =
        "How long the disconnect of a caller whose answer was not complete "
        "may have gone unnoticed",
};

struct pgw_caller_server {
    struct pgw_listener *listener;
    struct pgw_loop *loop;
    const struct pgw_caller_ops *ops;
    void *context;
    struct pgw_caller_limits limits;
    struct pgw_list callers;
    struct pgw_slow_callers slow;
    char *buffer;
    unsigned request_count;
    bool draining;
    bool closing;
};

static void
caller_reap(struct pgw_task *task)
{
    struct pgw_caller *caller =
        pgw_container_of(task, struct pgw_caller, reap);

    pgw_list_remove(&caller->in_server);
    pgw_http_reader_dispose(&caller->reader);
    pgw_buffer_dispose(&caller->in);
    pgw_buffer_dispose(&caller->out);
    pgw_buffer_dispose(&caller->body);
    g_free(caller);
}

static void
set_request_active(struct pgw_caller *caller, bool request_is_active)
{
    if (caller->request_is_active != request_is_active) {
        caller->request_is_active = request_is_active;
        caller->server->request_count += request_is_active ? 1 : -1;
    }
}

static void
caller_close(struct pgw_caller *caller)
{
    struct pgw_caller_server *server = caller->server;

    if (caller->closed) {
        return;
    }
    caller->closed = true;
    pgw_slow_callers_update(&server->slow, &caller->slow, 0);
    caller->reader.stop = true;
    set_request_active(caller, false);
    pgw_metric_gauge_add(&open_connections, -1);
    pgw_timer_stop(server->loop, &caller->timer);
    pgw_loop_fd_remove(server->loop, &caller->watch);
    close(caller->watch.fd);
    /* A @next task that is already posted runs before this one and does
     * nothing, since @closed is set. */
    caller->reap.run = caller_reap;
    pgw_loop_post(server->loop, &caller->reap);
}

static void
note_unanswered(const struct pgw_caller *caller, const char *reason)
{
    pgw_metric_counter_add(&unanswered_requests, 1);
    pgw_log_info("caller_unanswered", "request=%s reason=%s complete=%d",
                 caller->name[0] == '\0' ? "-" : caller->name, reason,
                 (int)caller->request_is_complete);
}

/* Bytes that the caller has not acknowledged, here and in the kernel. */
static size_t
unacked_bytes(const struct pgw_caller *caller)
{
    struct pgw_socket_sample sample;

    pgw_socket_sample(&sample, caller->watch.fd);
    return pgw_buffer_size(&caller->out) + sample.unacked;
}

/* An answer whose connection ends before it was received has been logged as
 * answered; without this line nothing shows that its caller lacks it. */
static void
note_unreceived(const struct pgw_caller *caller, const char *reason)
{
    size_t unacked = unacked_bytes(caller);
    socklen_t size = sizeof(int);
    int error = 0;

    getsockopt(caller->watch.fd, SOL_SOCKET, SO_ERROR, &error, &size);
    /* The end of a half-closed connection counts as one byte. */
    if (error != ETIMEDOUT && unacked <= (caller->is_half_closed ? 1 : 0)) {
        return;
    }
    pgw_metric_counter_add(&unreceived_answers, 1);
    pgw_log_info("answer_unreceived",
                 "request=%s reason=%s error=%s unacked=%zu unwritten=%zu "
                 "complete=%d",
                 caller->name[0] == '\0' ? "-" : caller->name, reason,
                 error == 0 ? "none" : g_strerror(error), unacked,
                 pgw_buffer_size(&caller->out),
                 (int)!caller->request_is_active);
}

static void
handle_disconnect(struct pgw_caller *caller, const char *reason)
{
    bool is_waiting = caller->request_is_complete;

    note_unreceived(caller, reason);
    caller->request_is_complete = false;
    caller_close(caller);
    if (is_waiting) {
        caller->gone_unnoticed_us = pgw_loop_late_us(caller->server->loop);
        pgw_metric_histogram_record_us(&gone_unnoticed,
                                       caller->gone_unnoticed_us);
        caller->server->ops->on_gone(caller, caller->server->context);
    }
}

static void
watch_events(struct pgw_caller *caller)
{
    uint32_t events = EPOLLRDHUP;

    if (pgw_buffer_size(&caller->in) < PIPELINE_LIMIT) {
        events |= EPOLLIN;
    }
    if (pgw_buffer_size(&caller->out) > 0) {
        events |= EPOLLOUT;
    }
    if (!caller->closed) {
        pgw_slow_callers_update(&caller->server->slow, &caller->slow,
                                pgw_buffer_size(&caller->out));
    }
    if (!caller->closed && events != caller->events) {
        caller->events = events;
        pgw_loop_fd_modify(caller->server->loop, &caller->watch, events);
    }
}

static void
start_timer(struct pgw_caller *caller, uint32_t ms)
{
    pgw_timer_start(caller->server->loop, &caller->timer, (uint64_t)ms * 1000);
}

/* Interval of the samples of a complete answer. */
static uint64_t
receipt_interval_us(const struct pgw_caller *caller)
{
    uint64_t idle_us = caller->server->limits.idle_timeout_ms * UINT64_C(1000);

    return caller->close_after_answer ? MIN(LINGER_US, idle_us / IDLE_CHECKS)
                                      : idle_us / IDLE_CHECKS;
}

static enum pgw_peer_state
sample_caller(struct pgw_caller *caller, uint64_t stall_us)
{
    const struct pgw_peer_bounds bounds = {
        .stall_us = stall_us,
        .silence_us = SILENCE_US,
    };
    struct pgw_socket_sample sample;

    pgw_socket_sample(&sample, caller->watch.fd);
    sample.unacked += pgw_buffer_size(&caller->out);
    return pgw_peer_progress_update(&caller->progress, &sample, &bounds,
                                    pgw_now_us());
}

static void
start_idle_timer(struct pgw_caller *caller)
{
    caller->progress.unacked = 0;
    start_timer(caller, caller->server->limits.idle_timeout_ms);
}

/* The last answer is complete. Idle time begins once the caller has received
 * it, what the kernel holds included: until then the timer looks at what is
 * left in shorter intervals. */
static void
await_receipt(struct pgw_caller *caller)
{
    pgw_peer_progress_begin(&caller->progress, pgw_now_us());
    if (sample_caller(caller, 0) == PGW_PEER_DONE &&
        !caller->close_after_answer) {
        start_idle_timer(caller);
        return;
    }
    pgw_timer_start(caller->server->loop, &caller->timer,
                    receipt_interval_us(caller));
}

/* Return: whether the caller receives its complete answer, and the timer was
 * started again */
static bool
wait_for_receipt(struct pgw_caller *caller)
{
    size_t before = caller->progress.unacked;
    enum pgw_peer_state state = sample_caller(
        caller, caller->server->limits.idle_timeout_ms * UINT64_C(1000));

    if (state == PGW_PEER_DONE && before > 0 && !caller->is_half_closed) {
        start_idle_timer(caller);
        return true;
    }
    if (state != PGW_PEER_RECEIVES) {
        return false;
    }
    pgw_timer_start(caller->server->loop, &caller->timer,
                    receipt_interval_us(caller));
    return true;
}

/*
 * Failure: the caller of a stream has vanished without a reset. Symptom: its
 * run goes on until its deadline, and what it is sent is buffered. The stream
 * may pause for any time, so only silence ends it.
 */
static void
check_answer(struct pgw_caller *caller)
{
    if (sample_caller(caller, 0) == PGW_PEER_GONE) {
        handle_disconnect(caller, "silent");
        return;
    }
    pgw_timer_start(caller->server->loop, &caller->timer, ANSWER_CHECK_US);
}

static void
caller_flush(struct pgw_caller *caller)
{
    while (!caller->closed && pgw_buffer_size(&caller->out) > 0) {
        ssize_t sent = send(caller->watch.fd, pgw_buffer_head(&caller->out),
                            pgw_buffer_size(&caller->out), MSG_NOSIGNAL);

        if (sent < 0) {
            if (errno == EAGAIN || errno == EINTR) {
                break;
            }
            /* The loop reports the disconnect, since the owner may be within
             * a write now. */
            shutdown(caller->watch.fd, SHUT_RDWR);
            pgw_buffer_consume(&caller->out, pgw_buffer_size(&caller->out));
            return;
        }
        pgw_buffer_consume(&caller->out, (size_t)sent);
    }
}

/* Half-closes the connection after its last answer, so that the caller can
 * read the answer before the connection is closed. A close with bytes that the
 * caller has not acknowledged would leave them to the kernel. */
static void
half_close(struct pgw_caller *caller)
{
    caller->is_half_closed = true;
    shutdown(caller->watch.fd, SHUT_WR);
    pgw_peer_progress_begin(&caller->progress, pgw_now_us());
    pgw_timer_start(caller->server->loop, &caller->timer, LINGER_US);
}

static void
answer_error(struct pgw_caller *caller, unsigned status)
{
    struct pgw_caller_server *server = caller->server;
    char *body = server->ops->render_error(caller, status, server->context);

    pgw_log_info("caller_error", "status=%u head_bytes=%zu", status,
                 caller->reader.head_size);
    caller->discards_input = true;
    caller->is_rejected = true;
    caller->close_after_answer = true;
    set_request_active(caller, true);
    pgw_caller_begin(caller, status, "Content-Type: application/json\r\n",
                     (int64_t)strlen(body));
    pgw_caller_write(caller, body, strlen(body));
    pgw_caller_end(caller);
    g_free(body);
}

static void
on_head(struct pgw_http_reader *reader)
{
    struct pgw_caller *caller =
        pgw_container_of(reader, struct pgw_caller, reader);
    struct pgw_caller_server *server = caller->server;
    const char *expect = pgw_http_head_find(&reader->head, "Expect");

    caller->head = &reader->head;
    caller->body_limit = server->limits.body_bytes;
    if (reader->head.has_length && reader->head.length > caller->body_limit) {
        reader->stop = true;
        answer_error(caller, 413);
        return;
    }
    if (expect != NULL && g_ascii_strcasecmp(expect, "100-continue") == 0) {
        static const char interim_answer[] = "HTTP/1.1 100 Continue\r\n\r\n";

        pgw_buffer_append(&caller->out, interim_answer,
                          sizeof(interim_answer) - 1);
        caller_flush(caller);
    }
    if (reader->head.has_length) {
        pgw_buffer_reserve(&caller->body,
                           MIN((size_t)reader->head.length, BODY_RESERVE));
    }
    start_timer(caller, server->limits.body_timeout_ms);
}

static void
on_body(struct pgw_http_reader *reader, const char *data, size_t size)
{
    struct pgw_caller *caller =
        pgw_container_of(reader, struct pgw_caller, reader);

    if (pgw_buffer_size(&caller->body) + size > caller->body_limit) {
        reader->stop = true;
        answer_error(caller, 413);
        return;
    }
    pgw_buffer_append(&caller->body, data, size);
}

static void
on_done(struct pgw_http_reader *reader)
{
    struct pgw_caller *caller =
        pgw_container_of(reader, struct pgw_caller, reader);

    pgw_timer_stop(caller->server->loop, &caller->timer);
    caller->request_is_complete = true;
    caller->close_after_answer = !reader->head.keep_alive;
}

static const struct pgw_http_reader_ops reader_ops = {
    .on_head = on_head,
    .on_body = on_body,
    .on_done = on_done,
};

/* Parses received bytes until a request is complete. */
static void
parse_requests(struct pgw_caller *caller)
{
    struct pgw_caller_server *server = caller->server;

    while (!caller->closed && !caller->request_is_complete &&
           !caller->discards_input && pgw_buffer_size(&caller->in) > 0) {
        enum pgw_http_result result;
        size_t consumed;

        if (!caller->request_is_active) {
            caller->received_at_us = pgw_now_us();
            caller->head = NULL;
            caller->name[0] = '\0';
            caller->is_used = true;
            caller->reader.head_limit = server->limits.head_bytes;
            set_request_active(caller, true);
            start_timer(caller, server->limits.head_timeout_ms);
        }
        result =
            pgw_http_reader_feed(&consumed, &caller->reader,
                                 (const char *)pgw_buffer_head(&caller->in),
                                 pgw_buffer_size(&caller->in));
        if (caller->closed || caller->discards_input) {
            return;
        }
        pgw_buffer_consume(&caller->in, consumed);
        if (result == PGW_HTTP_DONE) {
            server->ops->on_request(caller, server->context);
        }
        else if (result == PGW_HTTP_TOO_LARGE) {
            answer_error(caller, 431);
        }
        else if (result == PGW_HTTP_BAD) {
            answer_error(caller, 400);
        }
    }
}

/* Return: whether bytes were read */
static bool
caller_read(struct pgw_caller *caller)
{
    char *buffer = caller->server->buffer;
    ssize_t received = recv(caller->watch.fd, buffer, READ_SIZE, 0);

    if (received < 0 && (errno == EAGAIN || errno == EINTR)) {
        return false;
    }
    if (received <= 0) {
        handle_disconnect(caller, "closed");
        return false;
    }
    if (caller->closed_idle) {
        caller->closed_idle = false;
        note_unanswered(caller, "crossed_close");
    }
    if (!caller->discards_input) { /* or the rest of a rejected request */
        pgw_buffer_append(&caller->in, buffer, (size_t)received);
        parse_requests(caller);
    }
    return true;
}

/*
 * Closes a connection on which no request has arrived. What the kernel holds
 * is read first: closing it unread would reset a request that the caller has
 * sent. A request that is still on the network cannot be known; the half-close
 * tells its caller that it was not read.
 */
static void
close_if_idle(struct pgw_caller *caller)
{
    while (!caller->closed && !caller->request_is_active &&
           !caller->next_is_posted && !caller->discards_input &&
           caller_read(caller)) {
    }
    if (caller->closed || caller->request_is_active ||
        caller->next_is_posted || caller->discards_input) {
        return;
    }
    caller->discards_input = true;
    caller->closed_idle = true;
    half_close(caller);
}

/* The last answer has been sent: closes the connection, or waits for the next
 * request. */
static void
handle_sent(struct pgw_caller *caller)
{
    if (caller->closed || caller->request_is_complete ||
        pgw_buffer_size(&caller->out) > 0) {
        return;
    }
    if (caller->close_after_answer) {
        half_close(caller);
    }
    else if (caller->server->closing) {
        close_if_idle(caller);
    }
    else if (!caller->request_is_active) {
        await_receipt(caller);
    }
}

static void
caller_ready(struct pgw_loop_fd *watch, uint32_t events)
{
    struct pgw_caller *caller =
        pgw_container_of(watch, struct pgw_caller, watch);

    if ((events & (EPOLLERR | EPOLLHUP)) != 0) {
        handle_disconnect(caller, "ended");
        return;
    }
    /* A caller that half-closes counts as disconnected: nobody would receive
     * the answer. */
    if ((events & EPOLLRDHUP) != 0 && caller->request_is_complete) {
        handle_disconnect(caller, "closed");
        return;
    }
    if ((events & (EPOLLIN | EPOLLRDHUP)) != 0) {
        caller_read(caller);
    }
    if (!caller->closed && (events & EPOLLOUT) != 0) {
        caller_flush(caller);
        handle_sent(caller);
    }
    watch_events(caller);
}

static bool
is_incomplete(const struct pgw_caller *caller)
{
    return !caller->closed && caller->request_is_active &&
           !caller->request_is_complete && !caller->answer_is_begun &&
           !caller->discards_input;
}

static void
reject_incomplete(struct pgw_caller *caller, unsigned status)
{
    caller->reader.stop = true;
    answer_error(caller, status);
}

static void
on_timeout(struct pgw_timer *timer)
{
    struct pgw_caller *caller =
        pgw_container_of(timer, struct pgw_caller, timer);

    if (is_incomplete(caller)) {
        reject_incomplete(caller, 408);
        return;
    }
    if (caller->is_answer_checked) {
        check_answer(caller);
        return;
    }
    if (caller->request_is_active) {
        handle_disconnect(caller, "timeout");
        return;
    }
    if (wait_for_receipt(caller)) {
        return;
    }
    if (caller->discards_input) {
        handle_disconnect(caller, "timeout");
        return;
    }
    if (pgw_buffer_size(&caller->out) > 0) {
        pgw_log_info("caller_stopped_reading", "pending=%zu",
                     pgw_buffer_size(&caller->out));
        handle_disconnect(caller, "timeout");
        return;
    }
    close_if_idle(caller);
}

static void
run_next(struct pgw_task *task)
{
    struct pgw_caller *caller =
        pgw_container_of(task, struct pgw_caller, next);

    caller->next_is_posted = false;
    if (!caller->closed && !caller->request_is_complete) {
        parse_requests(caller);
        if (caller->server->closing) {
            handle_sent(caller);
        }
        watch_events(caller);
    }
}

void
pgw_caller_begin(struct pgw_caller *caller, unsigned status,
                 const char *fields, int64_t length)
{
    struct pgw_caller_server *server = caller->server;
    char head[256];
    int size;

    if (caller->closed) {
        return;
    }
    caller->answer_is_begun = true;
    caller->is_stream = length < 0;
    /* HTTP/1.0 has no chunks: the end of the connection ends the stream. */
    caller->chunked = caller->is_stream && !caller->reader.head.is_http_1_0;
    if (server->draining || caller->is_stream != caller->chunked) {
        caller->close_after_answer = true;
    }
    size = g_snprintf(head, sizeof(head), "HTTP/1.1 %u %s\r\n", status,
                      http_status_str((enum http_status)status));
    pgw_buffer_append(&caller->out, head, (size_t)size);
    pgw_buffer_append(&caller->out, fields, strlen(fields));
    if (caller->chunked) {
        size =
            g_snprintf(head, sizeof(head), "Transfer-Encoding: chunked\r\n");
    }
    else if (caller->is_stream) {
        size = 0;
    }
    else {
        size = g_snprintf(head, sizeof(head),
                          "Content-Length: %" G_GINT64_FORMAT "\r\n", length);
    }
    pgw_buffer_append(&caller->out, head, (size_t)size);
    if (caller->close_after_answer) {
        size = g_snprintf(head, sizeof(head), "Connection: close\r\n\r\n");
    }
    else {
        size = g_snprintf(head, sizeof(head), "Keep-Alive: timeout=%u\r\n\r\n",
                          server->limits.idle_timeout_ms / 1000);
    }
    pgw_buffer_append(&caller->out, head, (size_t)size);
    if (caller->is_stream) {
        caller->is_answer_checked = true;
        pgw_peer_progress_begin(&caller->progress, pgw_now_us());
        pgw_timer_start(server->loop, &caller->timer, ANSWER_CHECK_US);
    }
}

/* The loop reports the disconnect, since the owner of either caller may be
 * within a write now. */
static void
give_up(struct pgw_caller *caller)
{
    pgw_log_warning("caller_slow", "pending=%zu total=%zu",
                    pgw_buffer_size(&caller->out),
                    caller->server->slow.pending);
    shutdown(caller->watch.fd, SHUT_RDWR);
    pgw_buffer_dispose(&caller->out);
    watch_events(caller);
}

static void
give_up_slowest(struct pgw_caller_server *server)
{
    struct pgw_slow_caller *slow;

    while ((slow = pgw_slow_callers_excess(&server->slow)) != NULL) {
        give_up(pgw_container_of(slow, struct pgw_caller, slow));
    }
}

void
pgw_caller_write(struct pgw_caller *caller, const void *data, size_t size)
{
    if (caller->closed || size == 0) {
        return;
    }
    if (caller->chunked) {
        char head[24];
        int length = g_snprintf(head, sizeof(head), "%zx\r\n", size);

        pgw_buffer_append(&caller->out, head, (size_t)length);
        pgw_buffer_append(&caller->out, data, size);
        pgw_buffer_append(&caller->out, "\r\n", 2);
        caller_flush(caller);
    }
    else {
        pgw_buffer_append(&caller->out, data, size);
        if (caller->is_stream) {
            caller_flush(caller);
        }
    }
    /* An answer that is not a stream is complete and bounded by its reader. */
    watch_events(caller);
    if (caller->is_stream && pgw_buffer_size(&caller->out) > OUT_LIMIT) {
        give_up(caller);
    }
    give_up_slowest(caller->server);
}

void
pgw_caller_end(struct pgw_caller *caller)
{
    if (caller->closed) {
        return;
    }
    if (caller->chunked) {
        pgw_buffer_append(&caller->out, "0\r\n\r\n", 5);
    }
    caller_flush(caller);
    caller->request_is_complete = false;
    caller->answer_is_begun = false;
    caller->is_answer_checked = false;
    caller->owner = NULL;
    set_request_active(caller, false);
    pgw_buffer_dispose(&caller->body);
    if (caller->close_after_answer) {
        caller->discards_input = true;
        if (pgw_buffer_size(&caller->out) == 0) {
            half_close(caller);
        }
        else {
            await_receipt(caller);
        }
        watch_events(caller);
        return;
    }
    pgw_http_reader_next(&caller->reader);
    await_receipt(caller);
    /* A drain that began after the head of this answer did not announce the
     * end of the connection: it is closed as soon as it is idle. */
    if ((pgw_buffer_size(&caller->in) > 0 || caller->server->closing) &&
        !caller->next_is_posted) {
        caller->next_is_posted = true;
        caller->next.run = run_next;
        pgw_loop_post(caller->server->loop, &caller->next);
    }
    watch_events(caller);
}

void
pgw_caller_abort(struct pgw_caller *caller)
{
    struct linger reset = {.l_onoff = 1, .l_linger = 0};

    if (caller->closed) {
        return;
    }
    caller->request_is_complete = false;
    caller->owner = NULL;
    /* An ordinary close delivers the bytes relayed so far, and the missing
     * last chunk shows that the answer is incomplete. A body without chunks
     * needs a reset for this. */
    if (!caller->chunked) {
        setsockopt(caller->watch.fd, SOL_SOCKET, SO_LINGER, &reset,
                   sizeof(reset));
    }
    caller_close(caller);
}

static void
accept_caller(int fd, void *context)
{
    struct pgw_caller_server *server = context;
    struct pgw_caller *caller = g_new0(struct pgw_caller, 1);

    pgw_socket_tune(fd, &(struct pgw_socket_options){.probes = IDLE_PROBES});
    caller->server = server;
    caller->watch.fd = fd;
    caller->watch.on_ready = caller_ready;
    caller->events = EPOLLIN | EPOLLRDHUP;
    caller->timer.on_due = on_timeout;
    pgw_http_reader_init(&caller->reader, false, server->limits.head_bytes,
                         &reader_ops);
    pgw_list_append(&server->callers, &caller->in_server);
    pgw_metric_counter_add(&accepted_connections, 1);
    pgw_metric_gauge_add(&open_connections, 1);
    if (!pgw_loop_fd_add(server->loop, &caller->watch, caller->events, NULL)) {
        caller_close(caller);
        return;
    }
    start_timer(caller, server->limits.idle_timeout_ms);
}

struct pgw_caller_server *
pgw_caller_server_new(struct pgw_loop *loop, const struct pgw_address *address,
                      const struct pgw_caller_ops *ops, void *context,
                      GError **error)
{
    struct pgw_caller_server *server = g_new0(struct pgw_caller_server, 1);

    pgw_metric_register_counter(&accepted_connections);
    pgw_metric_register_counter(&unanswered_requests);
    pgw_metric_register_counter(&unreceived_answers);
    pgw_metric_register_gauge(&open_connections);
    pgw_metric_register_histogram(&gone_unnoticed);
    server->loop = loop;
    server->ops = ops;
    server->context = context;
    server->limits = (struct pgw_caller_limits)PGW_CALLER_LIMITS_INIT;
    server->buffer = g_malloc(READ_SIZE);
    pgw_list_init(&server->callers);
    pgw_slow_callers_init(&server->slow);
    server->listener =
        pgw_listener_new(loop, address, accept_caller, server, error);
    if (server->listener == NULL) {
        g_free(server->buffer);
        g_free(server);
        return NULL;
    }
    return server;
}

uint16_t
pgw_caller_server_port(const struct pgw_caller_server *server)
{
    return pgw_listener_port(server->listener);
}

void
pgw_caller_server_set_limits(struct pgw_caller_server *server,
                             const struct pgw_caller_limits *limits)
{
    server->limits = *limits;
}

void
pgw_caller_server_set_pending_bound(struct pgw_caller_server *server,
                                    size_t bytes)
{
    server->slow.bound = bytes;
}

void
pgw_caller_server_pause(struct pgw_caller_server *server, bool paused)
{
    pgw_listener_pause(server->listener, paused);
}

void
pgw_caller_server_drain(struct pgw_caller_server *server)
{
    server->draining = true;
}

static void
on_listener_closed(void *context)
{
    struct pgw_caller_server *server = context;

    pgw_list_foreach_safe (link, &server->callers) {
        struct pgw_caller *caller =
            pgw_container_of(link, struct pgw_caller, in_server);

        if (caller->closed || pgw_buffer_size(&caller->out) > 0) {
            continue;
        }
        if (caller->is_used) {
            close_if_idle(caller);
        }
        else if (!caller->request_is_active && !caller->discards_input) {
            start_timer(caller, PGW_FIRST_REQUEST_US / 1000);
        }
    }
}

void
pgw_caller_server_close(struct pgw_caller_server *server)
{
    server->draining = true;
    server->closing = true;
    pgw_listener_close(server->listener, on_listener_closed);
}

void
pgw_caller_server_refuse_rest(struct pgw_caller_server *server)
{
    pgw_list_foreach (link, &server->callers) {
        struct pgw_caller *caller =
            pgw_container_of(link, struct pgw_caller, in_server);

        if (is_incomplete(caller)) {
            reject_incomplete(caller, 503);
        }
    }
}

/*
 * Failure: the process ends while a caller has not received all of its answer.
 * Symptom: what is left to the kernel is lost if the instance ends with the
 * process, or if the kernel gives up a caller that reads slowly. A rejected
 * request may still be sent, and would reset the connection.
 */
static bool
can_be_left(const struct pgw_caller *caller)
{
    return caller->closed || (caller->is_half_closed && !caller->is_rejected &&
                              unacked_bytes(caller) == 0);
}

bool
pgw_caller_server_is_closed(const struct pgw_caller_server *server)
{
    pgw_list_foreach (link, &server->callers) {
        if (!can_be_left(
                pgw_container_of(link, struct pgw_caller, in_server))) {
            return false;
        }
    }
    return !pgw_listener_is_open(server->listener);
}

unsigned
pgw_caller_server_request_count(const struct pgw_caller_server *server)
{
    unsigned count = server->request_count;

    /* A connection whose answer is complete may still have to send it. */
    pgw_list_foreach (link, &server->callers) {
        const struct pgw_caller *caller =
            pgw_container_of(link, struct pgw_caller, in_server);

        count += !caller->closed && !caller->request_is_active &&
                 pgw_buffer_size(&caller->out) > 0;
    }
    return count;
}

unsigned
pgw_caller_server_connection_count(const struct pgw_caller_server *server)
{
    unsigned count = 0;

    pgw_list_foreach (link, &server->callers) {
        count += !pgw_container_of(link, struct pgw_caller, in_server)->closed;
    }
    return count;
}

void
pgw_caller_server_free(struct pgw_caller_server *server)
{
    pgw_listener_free(server->listener);
    pgw_list_foreach_safe (link, &server->callers) {
        struct pgw_caller *caller =
            pgw_container_of(link, struct pgw_caller, in_server);

        if (caller->request_is_active) {
            note_unanswered(caller, "stop");
        }
        if (!caller->closed) {
            note_unreceived(caller, "stop");
        }
        caller_close(caller);
    }
    pgw_loop_run_tasks(server->loop);
    g_free(server->buffer);
    g_free(server);
}
