#include "libparsleygw/link.h"
#include "parsleygw/errors.h"
#include "util/metric.h"
#include "util/socket.h"
#include <errno.h>
#include <linux/sockios.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define LINK_READ_SIZE 65536
/* Data that stays unacknowledged longer than this closes the connection. A
 * peer whose host failed sends no reset, and writes would queue forever. */
#define LINK_USER_TIMEOUT_MS 3000

static struct pgw_metric_counter sent_bytes = {
    .name = "pgw_link_sent_bytes_total",
    .help = "Bytes sent to other processes of the system",
};
static struct pgw_metric_counter received_bytes = {
    .name = "pgw_link_received_bytes_total",
    .help = "Bytes received from other processes of the system",
};

struct pgw_link {
    struct pgw_loop_fd loop_fd;
    struct pgw_task close_task;
    struct pgw_loop *loop;
    const struct pgw_link_ops *ops;
    void *context;
    struct pgw_buffer in;
    struct pgw_buffer out;
    uint64_t last_received_us;
    uint64_t last_queued_us;
    GError *error;
    bool connecting;
    bool was_refused;       /* no process listens at the address */
    bool was_ended_by_peer; /* closed, reset or refused by the peer's host */
    bool closing;
    bool wants_write;
    bool send_failed; /* received frames are still read */
};

static void
link_finish_close(struct pgw_task *task)
{
    struct pgw_link *link =
        pgw_container_of(task, struct pgw_link, close_task);

    link->ops->on_closed(link, link->error, link->context);
    g_clear_error(&link->error);
    pgw_buffer_dispose(&link->in);
    pgw_buffer_dispose(&link->out);
    g_free(link);
}

/* Closes the socket and takes ownership of @error. The owner is notified from
 * the loop, never from inside its own call: it may be sending while it
 * iterates over a table that @on_closed changes. */
static void
link_start_close(struct pgw_link *link, GError *error)
{
    if (link->closing) {
        g_clear_error(&error);
        return;
    }
    link->closing = true;
    /* The first error is the most informative one. */
    if (link->error != NULL) {
        g_clear_error(&error);
    }
    else {
        link->error = error;
    }
    pgw_loop_fd_remove(link->loop, &link->loop_fd);
    close(link->loop_fd.fd);
    link->close_task.run = link_finish_close;
    pgw_loop_post(link->loop, &link->close_task);
}

static void
link_close_with_errno(struct pgw_link *link, const char *operation)
{
    link->was_ended_by_peer |=
        errno == ECONNRESET || errno == ECONNREFUSED || errno == EPIPE;
    link_start_close(link,
                     g_error_new(PGW_ERROR, PGW_ERROR_UNAVAILABLE,
                                 "%s: %s: check that the peer is running and "
                                 "that its address is correct",
                                 operation, g_strerror(errno)));
}

static void
link_set_wants_write(struct pgw_link *link, bool wants_write)
{
    if (wants_write != link->wants_write) {
        link->wants_write = wants_write;
        pgw_loop_fd_modify(link->loop, &link->loop_fd,
                           EPOLLIN | (wants_write ? EPOLLOUT : 0));
    }
}

/*
 * Stops sending after a send error but keeps reading. A peer that has sent its
 * last frames and closed resets the connection on the next byte from this
 * side. Closing the link at once would drop received frames, among them final
 * frames of answers, and their callers would get an unknown outcome. Reading
 * returns the remaining frames and then the end of the stream.
 */
static void
link_stop_sending(struct pgw_link *link)
{
    link->send_failed = true;
    link->error = g_error_new(PGW_ERROR, PGW_ERROR_UNAVAILABLE,
                              "send: %s: check that the peer is running",
                              g_strerror(errno));
    pgw_buffer_dispose(&link->out);
    link_set_wants_write(link, false);
}

static void
link_flush(struct pgw_link *link)
{
    while (pgw_buffer_size(&link->out) > 0) {
        ssize_t sent = send(link->loop_fd.fd, pgw_buffer_head(&link->out),
                            pgw_buffer_size(&link->out), MSG_NOSIGNAL);

        if (sent < 0 && errno == EINTR) {
            continue;
        }
        if (sent < 0 && errno == EAGAIN) {
            break;
        }
        if (sent < 0) {
            link_stop_sending(link);
            return;
        }
        pgw_metric_counter_add(&sent_bytes, (uint64_t)sent);
        pgw_buffer_consume(&link->out, (size_t)sent);
    }
    link_set_wants_write(link, pgw_buffer_size(&link->out) > 0);
}

static void
link_dispatch_frames(struct pgw_link *link)
{
    while (!link->closing) {
        enum pgw_frame_type type;
        ProtobufCMessage *message = NULL;
        GError *error = NULL;

        switch (pgw_frame_decode(&type, &message, &link->in, &error)) {
        case PGW_FRAME_INCOMPLETE:
            return;
        case PGW_FRAME_INVALID:
            link_start_close(link, error);
            return;
        case PGW_FRAME_DECODED:
            if (!link->ops->on_frame(link, type, message, link->context)) {
                pgw_frame_free(message);
            }
            break;
        }
    }
}

static void
link_read(struct pgw_link *link)
{
    ssize_t received;

    do {
        uint8_t *buffer = pgw_buffer_reserve(&link->in, LINK_READ_SIZE);

        received = recv(link->loop_fd.fd, buffer, LINK_READ_SIZE, 0);
    } while (received < 0 && errno == EINTR);
    if (received < 0 && errno == EAGAIN) {
        return;
    }
    if (received < 0) {
        link_close_with_errno(link, "receive");
        return;
    }
    if (received == 0) {
        link->was_ended_by_peer = true;
        link_start_close(link, g_error_new(PGW_ERROR, PGW_ERROR_UNAVAILABLE,
                                           "the peer closed the connection"));
        return;
    }
    pgw_metric_counter_add(&received_bytes, (uint64_t)received);
    link->in.end += (size_t)received;
    link->last_received_us = pgw_now_us();
    link_dispatch_frames(link);
    /* An idle link keeps no read buffer, which saves memory with thousands of
     * links. */
    if (!link->closing && pgw_buffer_size(&link->in) == 0) {
        pgw_buffer_dispose(&link->in);
    }
}

static void
link_handle_connected(struct pgw_link *link)
{
    int code = 0;
    socklen_t size = sizeof(code);

    getsockopt(link->loop_fd.fd, SOL_SOCKET, SO_ERROR, &code, &size);
    if (code != 0) {
        errno = code;
        link->was_refused = code == ECONNREFUSED;
        link_close_with_errno(link, "connect");
        return;
    }
    link->connecting = false;
    link->last_received_us = pgw_now_us();
    link->wants_write = true;
    if (link->ops->on_open != NULL) {
        link->ops->on_open(link, link->context);
    }
    if (!link->closing) {
        link_flush(link);
    }
}

static void
link_handle_events(struct pgw_loop_fd *loop_fd, uint32_t events)
{
    struct pgw_link *link =
        pgw_container_of(loop_fd, struct pgw_link, loop_fd);

    if (link->connecting) {
        link_handle_connected(link);
        return;
    }
    if (events & EPOLLOUT) {
        link_flush(link);
    }
    if (!link->closing && (events & (EPOLLIN | EPOLLHUP | EPOLLERR))) {
        link_read(link);
    }
}

static struct pgw_link *
link_new(struct pgw_loop *loop, int fd, const struct pgw_link_ops *ops,
         void *context, bool connecting, GError **error)
{
    struct pgw_link *link = g_new0(struct pgw_link, 1);

    pgw_socket_tune(fd, &(struct pgw_socket_options){
                            .user_timeout_ms = LINK_USER_TIMEOUT_MS});
    link->loop_fd =
        (struct pgw_loop_fd){.fd = fd, .on_ready = link_handle_events};
    link->loop = loop;
    link->ops = ops;
    link->context = context;
    link->connecting = connecting;
    link->last_received_us = pgw_now_us();
    if (!pgw_loop_fd_add(loop, &link->loop_fd, connecting ? EPOLLOUT : EPOLLIN,
                         error)) {
        close(fd);
        g_free(link);
        return NULL;
    }
    return link;
}

struct pgw_link *
pgw_link_connect(struct pgw_loop *loop, const struct pgw_address *address,
                 const struct pgw_link_ops *ops, void *context, GError **error)
{
    char text[PGW_ADDRESS_TEXT_SIZE];
    int fd = socket(address->storage.ss_family,
                    SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

    if (fd < 0 || (connect(fd, (const struct sockaddr *)&address->storage,
                           address->size) != 0 &&
                   errno != EINPROGRESS)) {
        pgw_address_format(text, address);
        g_set_error(error, PGW_ERROR, PGW_ERROR_IO,
                    "cannot connect to %s (%s): check the address and the "
                    "limit of open files",
                    text, g_strerror(errno));
        if (fd >= 0) {
            close(fd);
        }
        return NULL;
    }
    return link_new(loop, fd, ops, context, true, error);
}

struct pgw_link *
pgw_link_accept(struct pgw_loop *loop, int fd, const struct pgw_link_ops *ops,
                void *context, GError **error)
{
    return link_new(loop, fd, ops, context, false, error);
}

void
pgw_link_register_metrics(void)
{
    pgw_metric_register_counter(&sent_bytes);
    pgw_metric_register_counter(&received_bytes);
}

void
pgw_link_send(struct pgw_link *link, enum pgw_frame_type type,
              const ProtobufCMessage *message)
{
    bool was_empty;

    if (link->closing || link->send_failed) {
        return;
    }
    was_empty = pgw_buffer_size(&link->out) == 0;
    link->last_queued_us = pgw_now_us();
    pgw_frame_append(&link->out, type, message);
    if (was_empty && !link->connecting) {
        link_flush(link);
    }
}

size_t
pgw_link_pending_bytes(const struct pgw_link *link)
{
    int unacked = 0;

    if (link->closing || link->send_failed) {
        return 0;
    }
    /* Counts bytes in the socket's send buffer too: closing a socket with
     * unread received bytes resets the connection and discards them. */
    if (ioctl(link->loop_fd.fd, SIOCOUTQ, &unacked) != 0) {
        unacked = 0;
    }
    return pgw_buffer_size(&link->out) + (size_t)unacked;
}

bool
pgw_link_was_refused(const struct pgw_link *link)
{
    return link->was_refused;
}

bool
pgw_link_was_ended_by_peer(const struct pgw_link *link)
{
    return link->was_ended_by_peer;
}

bool
pgw_link_is_open(const struct pgw_link *link)
{
    return !link->connecting && !link->closing && !link->send_failed;
}

uint64_t
pgw_link_last_received_us(const struct pgw_link *link)
{
    return link->last_received_us;
}

uint64_t
pgw_link_last_queued_us(const struct pgw_link *link)
{
    return link->last_queued_us;
}

void
pgw_link_close(struct pgw_link *link)
{
    link_start_close(link, NULL);
}
