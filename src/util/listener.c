#include "util/listener.h"
#include "parsleygw/errors.h"
#include "util/log.h"
#include "util/socket.h"
#include <errno.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define LISTEN_BACKLOG 1024
/* Most accepts in one turn of the loop, so that a burst of connections does
 * not delay other work. */
#define ACCEPT_BATCH 32
/* Time for handshakes to end that began before new ones were ignored; a round
 * trip within a region. Peers that connect meanwhile lose a second. */
#define HANDSHAKE_US 50000

struct pgw_listener {
    struct pgw_loop_fd watch;
    struct pgw_timer close_timer;
    struct pgw_loop *loop;
    void (*on_accept)(int fd, void *context);
    void (*on_closed)(void *context);
    void *context;
    uint16_t port;
    unsigned accepted_last; /* since it began to close */
    bool ignores_handshakes;
    bool is_open;
    bool is_closing;
};

/* Return: whether a connection was accepted. */
static bool
accept_one(struct pgw_listener *listener)
{
    int fd;

    do {
        fd = accept4(listener->watch.fd, NULL, NULL,
                     SOCK_CLOEXEC | SOCK_NONBLOCK);
    } while (fd < 0 && (errno == EINTR || errno == ECONNABORTED));
    if (fd < 0) {
        if (errno != EAGAIN) {
            pgw_log_warning("accept_failed", "errno=%d", errno);
        }
        return false;
    }
    listener->accepted_last += listener->is_closing;
    listener->on_accept(fd, listener->context);
    return true;
}

static void
listener_ready(struct pgw_loop_fd *watch, uint32_t events)
{
    struct pgw_listener *listener =
        pgw_container_of(watch, struct pgw_listener, watch);

    (void)events;
    for (unsigned i = 0; i < ACCEPT_BATCH && accept_one(listener); i++) {
    }
}

static int
open_socket(const struct pgw_address *address)
{
    int enable = 1;
    int fd = socket(address->storage.ss_family,
                    SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

    if (fd < 0) {
        return -1;
    }
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
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
    struct pgw_address bound = {.size = sizeof(bound.storage)};
    char text[PGW_ADDRESS_TEXT_SIZE];
    int fd = open_socket(address);

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
    listener->is_open = true;
    return listener;
}

uint16_t
pgw_listener_port(const struct pgw_listener *listener)
{
    return listener->port;
}

void
pgw_listener_pause(struct pgw_listener *listener, bool paused)
{
    if (listener->is_open && !listener->is_closing) {
        pgw_loop_fd_modify(listener->loop, &listener->watch,
                           paused ? 0 : EPOLLIN);
    }
}

static void
close_socket(struct pgw_listener *listener)
{
    if (listener->is_open) {
        listener->is_open = false;
        pgw_loop_fd_remove(listener->loop, &listener->watch);
        close(listener->watch.fd);
    }
}

static void
close_due(struct pgw_timer *timer)
{
    struct pgw_listener *listener =
        pgw_container_of(timer, struct pgw_listener, close_timer);

    /* Bounded: without the filter more may arrive all the while. */
    for (unsigned i = 0; i <= LISTEN_BACKLOG && accept_one(listener); i++) {
    }
    close_socket(listener);
    pgw_log_info("listener_closed", "port=%u accepted_last=%u filtered=%d",
                 listener->port, listener->accepted_last,
                 (int)listener->ignores_handshakes);
    listener->on_closed(listener->context);
}

void
pgw_listener_close(struct pgw_listener *listener,
                   void (*on_closed)(void *context))
{
    if (listener->is_closing || !listener->is_open) {
        return;
    }
    pgw_listener_pause(listener, false);
    listener->is_closing = true;
    listener->on_closed = on_closed;
    listener->close_timer.on_due = close_due;
    listener->ignores_handshakes =
        pgw_socket_ignore_handshakes(listener->watch.fd);
    pgw_timer_start(listener->loop, &listener->close_timer,
                    listener->ignores_handshakes ? HANDSHAKE_US : 0);
}

bool
pgw_listener_is_open(const struct pgw_listener *listener)
{
    return listener->is_open;
}

void
pgw_listener_free(struct pgw_listener *listener)
{
    if (listener == NULL) {
        return;
    }
    pgw_timer_stop(listener->loop, &listener->close_timer);
    close_socket(listener);
    g_free(listener);
}
