#include "util/socket.h"
#include <linux/filter.h>
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

/* First probe after a second of silence, then one each second. */
#define PROBE_IDLE_S 1
#define PROBE_INTERVAL_S 1

/* Offset of the flags in a TCP header, and the bit that begins a handshake. */
#define TCP_FLAGS_OFFSET 13
#define TCP_FLAG_BIT_SYN 0x02

void
pgw_socket_tune(int fd, const struct pgw_socket_options *options)
{
    int one = 1;
    int idle = PROBE_IDLE_S;
    int interval = PROBE_INTERVAL_S;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &options->probes,
               sizeof(options->probes));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &options->user_timeout_ms,
               sizeof(options->user_timeout_ms));
}

void
pgw_socket_sample(struct pgw_socket_sample *out, int fd)
{
    struct tcp_info info = {0};
    socklen_t size = sizeof(info);
    int unacked = 0;

    *out = (struct pgw_socket_sample){0};
    if (ioctl(fd, SIOCOUTQ, &unacked) != 0 ||
        getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return;
    }
    out->unacked = (size_t)unacked;
    out->acked = info.tcpi_bytes_acked;
    out->unanswered = info.tcpi_probes + info.tcpi_retransmits;
}

bool
pgw_socket_ignore_handshakes(int fd)
{
    struct sock_filter code[] = {
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, TCP_FLAGS_OFFSET),
        BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, TCP_FLAG_BIT_SYN, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, 0),
        BPF_STMT(BPF_RET | BPF_K, UINT32_MAX),
    };
    struct sock_fprog program = {
        .len = sizeof(code) / sizeof(code[0]),
        .filter = code,
    };

    return setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                      sizeof(program)) == 0;
}

uint64_t
pgw_socket_received_bytes(int fd)
{
    struct tcp_info info = {0};
    socklen_t size = sizeof(info);

    if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return 0;
    }
    return info.tcpi_bytes_received;
}
