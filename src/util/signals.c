#include "util/signals.h"
#include "parsleygw/errors.h"
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/epoll.h>
#include <unistd.h>

static struct {
    struct pgw_loop_fd watch;
    int write_fd;
    void (*on_signal)(int signal_number, void *context);
    void *context;
} signals;

static void
handle(int signal_number)
{
    unsigned char byte = (unsigned char)signal_number;
    int saved = errno;

    /* A full pipe already holds a signal that has not been served. */
    if (write(signals.write_fd, &byte, 1) < 0) {
        errno = saved;
    }
    errno = saved;
}

static void
pipe_ready(struct pgw_loop_fd *watch, uint32_t events)
{
    unsigned char byte;

    (void)events;
    while (read(watch->fd, &byte, 1) == 1) {
        signals.on_signal(byte, signals.context);
    }
}

bool
pgw_signals_watch(struct pgw_loop *loop,
                  void (*on_signal)(int signal_number, void *context),
                  void *context, GError **error)
{
    struct sigaction action = {.sa_handler = handle, .sa_flags = SA_RESTART};
    int fds[2];

    if (pipe2(fds, O_CLOEXEC | O_NONBLOCK) != 0) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_IO,
                    "no pipe for signals (%s): raise the limit of open files",
                    g_strerror(errno));
        return false;
    }
    signals.watch.fd = fds[0];
    signals.watch.on_ready = pipe_ready;
    signals.write_fd = fds[1];
    signals.on_signal = on_signal;
    signals.context = context;
    signal(SIGPIPE, SIG_IGN);
    sigemptyset(&action.sa_mask);
    sigaction(SIGTERM, &action, NULL);
    sigaction(SIGINT, &action, NULL);
    sigaction(SIGHUP, &action, NULL);
    return pgw_loop_fd_add(loop, &signals.watch, EPOLLIN, error);
}
