#ifndef PGW_UTIL_SOCKET_H
#define PGW_UTIL_SOCKET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct pgw_socket_options - when the kernel breaks a connection
 * @user_timeout_ms: unacknowledged data older than this breaks it, also where
 *   the peer reads slowly; 0: the owner decides with pgw_socket_sample()
 * @probes: keep-alive probes, one each second after a second of silence; so
 *   many without an answer break it. Not used with @user_timeout_ms
 */
struct pgw_socket_options {
    unsigned user_timeout_ms;
    unsigned probes;
};

/**
 * pgw_socket_tune() - options of every TCP connection of ours
 * @fd: the socket
 * @options: when the kernel breaks it
 *
 * A peer whose machine vanished sends no reset: what was sent to it waits for
 * ever, and a connection on which only answers are awaited stays silent. The
 * user timeout ends the first, keep-alive probes the second.
 */
void pgw_socket_tune(int fd, const struct pgw_socket_options *options);

/**
 * struct pgw_socket_sample - what the peer has acknowledged
 * @unacked: bytes that the peer has not acknowledged; the end of the stream
 *   counts as one
 * @acked: bytes that it has acknowledged, 0: not known
 * @unanswered: window probes and retransmissions since it last acknowledged
 *   anything
 */
struct pgw_socket_sample {
    size_t unacked;
    uint64_t acked;
    unsigned unanswered;
};

/** pgw_socket_sample() - sample a TCP connection; zeroed if it is broken */
void pgw_socket_sample(struct pgw_socket_sample *out, int fd);

/**
 * pgw_socket_ignore_handshakes() - let a listening socket begin no further
 * handshake
 * @fd: the listening socket
 *
 * Handshakes that have begun are completed. Closing the socket, or a smaller
 * backlog, would instead reset connections that their peers take as open.
 *
 * Return: whether the kernel supports it
 */
bool pgw_socket_ignore_handshakes(int fd);

/**
 * pgw_socket_received_bytes() - bytes that have arrived on a TCP connection,
 * read or not; the peer's end of the stream counts as one
 * @fd: the socket
 */
uint64_t pgw_socket_received_bytes(int fd);

#endif
