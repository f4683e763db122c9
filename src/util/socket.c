#include "util/socket.h"
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

/* First probe after a second of silence, then one each second; two without an
 * answer break the connection. */
#define PROBE_IDLE_S 1
#define PROBE_INTERVAL_S 1
#define PROBE_COUNT 2

void
pgw_socket_tune(int fd, unsigned user_timeout_ms)
{
    int one = 1;
    int idle = PROBE_IDLE_S;
    int interval = PROBE_INTERVAL_S;
    int count = PROBE_COUNT;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof(count));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
               sizeof(user_timeout_ms));
}
