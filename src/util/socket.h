#ifndef PGW_UTIL_SOCKET_H
#define PGW_UTIL_SOCKET_H

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

#endif
