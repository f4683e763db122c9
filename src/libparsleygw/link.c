#include "libparsleygw/link.h"
#include "parsleygw/errors.h"
#include "util/metric.h"
#include "util/socket.h"
#include <errno.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define LINK_READ_SIZE 65536
#define LISTEN_BACKLOG 512
/* Unacknowledged data older than this breaks the connection: a peer whose
 * machine vanished sends no reset, and waiting writes would queue for ever. */
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
    struct pgw_loop_fd watch;
    struct pgw_task reap;
    struct pgw_loop *loop;
    const struct pgw_link_ops *ops;
    void *context;
    struct pgw_buffer in;
    struct pgw_buffer out;
    uint64_t heard_us;
    uint64_t sent_us;
    GError *error;
    bool connecting;
    bool refused; /* nobody listens at the address */
    bool ended;   /* by the peer's machine, which said so */
    bool closing;
    bool wants_write;
    bool deaf; /* the peer takes nothing more; what it sent is still read */
};

static void
link_reap(struct pgw_task *task)
{
    struct pgw_link *link = pgw_container_of(task, struct pgw_link, reap);

    link->ops->on_closed(link, link->error, link->context);
    g_clear_error(&link->error);
    pgw_buffer_dispose(&link->in);
    pgw_buffer_dispose(&link->out);
    g_free(link);
}

/* Takes @error. The owner hears of it from the loop, never from inside its
 * own call: a send from the middle of a table walk must not change it. */
static void
link_break(struct pgw_link *link, GError *error)
{
    if (link->closing) {
        g_clear_error(&error);
        return;
    }
    link->closing = true;
    /* The first sign of trouble says most. */
    if (link->error != NULL) {
        g_clear_error(&error);
    }
    else {
        link->error = error;
    }
    pgw_loop_fd_remove(link->loop, &link->watch);
    close(link->watch.fd);
    link->reap.run = link_reap;
    pgw_loop_post(link->loop, &link->reap);
}

static void
link_break_errno(struct pgw_link *link, const char *what)
{
    link->ended |=
        errno == ECONNRESET || errno == ECONNREFUSED || errno == EPIPE;
    link_break(link, g_error_new(PGW_ERROR, PGW_ERROR_UNAVAILABLE,
                                 "%s: %s: check that the peer runs and that "
                                 "its address is right",
                                 what, g_strerror(errno)));
}

static void
link_watch_write(struct pgw_link *link, bool wants_write)
{
    if (wants_write != link->wants_write) {
        link->wants_write = wants_write;
        pgw_loop_fd_modify(link->loop, &link->watch,
                           EPOLLIN | (wants_write ? EPOLLOUT : 0));
    }
}

/*
 * A peer that has sent its last frames and closed answers our next byte with
 * a reset. Breaking the link for that would throw away frames that have
 * arrived, among them the ends of answers, and callers would be told that the
 * outcome is unknown. So we only fall silent: reading on gives what is there
 * and then the end.
 */
static void
link_fall_silent(struct pgw_link *link)
{
    link->deaf = true;
    link->error =
        g_error_new(PGW_ERROR, PGW_ERROR_UNAVAILABLE,
                    "send: %s: check that the peer runs", g_strerror(errno));
    pgw_buffer_dispose(&link->out);
    link_watch_write(link, false);
}

static void
link_flush(struct pgw_link *link)
{
    while (pgw_buffer_size(&link->out) > 0) {
        ssize_t sent = send(link->watch.fd, pgw_buffer_head(&link->out),
                            pgw_buffer_size(&link->out), MSG_NOSIGNAL);

        if (sent < 0 && errno == EINTR) {
            continue;
        }
        if (sent < 0 && errno == EAGAIN) {
            break;
        }
        if (sent < 0) {
            link_fall_silent(link);
            return;
        }
        pgw_metric_counter_add(&sent_bytes, (uint64_t)sent);
        pgw_buffer_consume(&link->out, (size_t)sent);
    }
    link_watch_write(link, pgw_buffer_size(&link->out) > 0);
}

static void
link_deliver(struct pgw_link *link)
{
    while (!link->closing) {
        enum pgw_frame_type type;
        ProtobufCMessage *message = NULL;
        GError *error = NULL;

        switch (pgw_frame_decode(&type, &message, &link->in, &error)) {
        case PGW_FRAME_INCOMPLETE:
            return;
        case PGW_FRAME_INVALID:
            link_break(link, error);
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
    ssize_t got;

    do {
        uint8_t *room = pgw_buffer_reserve(&link->in, LINK_READ_SIZE);

        got = recv(link->watch.fd, room, LINK_READ_SIZE, 0);
    } while (got < 0 && errno == EINTR);
    if (got < 0 && errno == EAGAIN) {
        return;
    }
    if (got < 0) {
        link_break_errno(link, "receive");
        return;
    }
    if (got == 0) {
        link->ended = true;
        link_break(link, g_error_new(PGW_ERROR, PGW_ERROR_UNAVAILABLE,
                                     "the peer closed the connection"));
        return;
    }
    pgw_metric_counter_add(&received_bytes, (uint64_t)got);
    link->in.end += (size_t)got;
    link->heard_us = pgw_now_us();
    link_deliver(link);
    /* An idle link keeps no read buffer: thousands of them stay small. */
    if (!link->closing && pgw_buffer_size(&link->in) == 0) {
        pgw_buffer_dispose(&link->in);
    }
}

static void
link_connected(struct pgw_link *link)
{
    int code = 0;
    socklen_t size = sizeof(code);

    getsockopt(link->watch.fd, SOL_SOCKET, SO_ERROR, &code, &size);
    if (code != 0) {
        errno = code;
        link->refused = code == ECONNREFUSED;
        link_break_errno(link, "connect");
        return;
    }
    link->connecting = false;
    link->heard_us = pgw_now_us();
    link->wants_write = true;
    if (link->ops->on_open != NULL) {
        link->ops->on_open(link, link->context);
    }
    if (!link->closing) {
        link_flush(link);
    }
}

static void
link_ready(struct pgw_loop_fd *watch, uint32_t events)
{
    struct pgw_link *link = pgw_container_of(watch, struct pgw_link, watch);

    if (link->connecting) {
        link_connected(link);
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

    pgw_socket_tune(fd, LINK_USER_TIMEOUT_MS);
    link->watch = (struct pgw_loop_fd){.fd = fd, .on_ready = link_ready};
    link->loop = loop;
    link->ops = ops;
    link->context = context;
    link->connecting = connecting;
    link->heard_us = pgw_now_us();
    if (!pgw_loop_fd_add(loop, &link->watch, connecting ? EPOLLOUT : EPOLLIN,
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

    if (link->closing || link->deaf) {
        return;
    }
    was_empty = pgw_buffer_size(&link->out) == 0;
    link->sent_us = pgw_now_us();
    pgw_frame_append(&link->out, type, message);
    if (was_empty && !link->connecting) {
        link_flush(link);
    }
}

size_t
pgw_link_pending_bytes(const struct pgw_link *link)
{
    int unsent = 0;

    if (link->closing || link->deaf) {
        return 0;
    }
    /* Closing with unread bytes from the peer resets the connection, which
     * takes along what the system has not delivered yet. */
    if (ioctl(link->watch.fd, SIOCOUTQ, &unsent) != 0) {
        unsent = 0;
    }
    return pgw_buffer_size(&link->out) + (size_t)unsent;
}

bool
pgw_link_was_refused(const struct pgw_link *link)
{
    return link->refused;
}

bool
pgw_link_was_ended_by_peer(const struct pgw_link *link)
{
    return link->ended;
}

bool
pgw_link_is_open(const struct pgw_link *link)
{
    return !link->connecting && !link->closing && !link->deaf;
}

uint64_t
pgw_link_last_received_us(const struct pgw_link *link)
{
    return link->heard_us;
}

uint64_t
pgw_link_last_queued_us(const struct pgw_link *link)
{
    return link->sent_us;
}

void
pgw_link_close(struct pgw_link *link)
{
    link_break(link, NULL);
}

struct pgw_listener {
    struct pgw_loop_fd watch;
    struct pgw_loop *loop;
    void (*on_accept)(int fd, void *context);
    void *context;
    uint16_t port;
};

static void
listener_ready(struct pgw_loop_fd *watch, uint32_t events)
{
    struct pgw_listener *listener =
        pgw_container_of(watch, struct pgw_listener, watch);
    int fd;

    (void)events;
    while ((fd = accept4(watch->fd, NULL, NULL,
                         SOCK_CLOEXEC | SOCK_NONBLOCK)) >= 0) {
        listener->on_accept(fd, listener->context);
    }
}

static int
open_listening(const struct pgw_address *address)
{
    int one = 1;
    int fd = socket(address->storage.ss_family,
                    SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

    if (fd < 0) {
        return -1;
    }
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(fd, (const struct sockaddr *)&address->storage, address->size) !=
            0 ||
        listen(fd, LISTEN_BACKLOG) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

struct pgw_listener *
pgw_listener_new(struct pgw_loop *loop, const struct pgw_address *address,
                 void (*on_accept)(int fd, void *context), void *context,
                 GError **error)
{
    struct pgw_listener *listener;
    struct pgw_address bound = *address;
    char text[PGW_ADDRESS_TEXT_SIZE];
    int fd = open_listening(address);

    if (fd < 0) {
        pgw_address_format(text, address);
        g_set_error(error, PGW_ERROR, PGW_ERROR_IO,
                    "cannot listen on %s (%s): free the port or change the "
                    "setting",
                    text, g_strerror(errno));
        return NULL;
    }
    getsockname(fd, (struct sockaddr *)&bound.storage, &bound.size);
    listener = g_new0(struct pgw_listener, 1);
    listener->watch =
        (struct pgw_loop_fd){.fd = fd, .on_ready = listener_ready};
    listener->loop = loop;
    listener->on_accept = on_accept;
    listener->context = context;
    listener->port = (uint16_t)pgw_address_port(&bound);
    if (!pgw_loop_fd_add(loop, &listener->watch, EPOLLIN, error)) {
        close(fd);
        g_free(listener);
        return NULL;
    }
    return listener;
}

uint16_t
pgw_listener_port(const struct pgw_listener *listener)
{
    return listener->port;
}

void
pgw_listener_free(struct pgw_listener *listener)
{
    if (listener == NULL) {
        return;
    }
    pgw_loop_fd_remove(listener->loop, &listener->watch);
    close(listener->watch.fd);
    g_free(listener);
}
