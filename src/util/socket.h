#ifndef PGW_UTIL_SOCKET_H
#define PGW_UTIL_SOCKET_H

#include <stdbool.h>
#include <stdint.h>

/**
 * pgw_socket_tune() - options of every TCP connection of ours
 * @fd: the socket
 * @user_timeout_ms: unacknowledged data older than this breaks it
 *
 * A peer whose machine vanished sends no reset: what was sent to it waits for
 * ever, and a connection on which only answers are awaited stays silent. The
 * user timeout ends the first, keep-alive probes the second after 3 s.
 */
void pgw_socket_tune(int fd, unsigned user_timeout_ms);

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
