#ifndef PGW_UTIL_LISTENER_H
#define PGW_UTIL_LISTENER_H

#include "util/address.h"
#include "util/loop.h"

/**
 * DOC: Listening TCP sockets
 *
 * A connection exists for the peer as soon as the kernel has completed the
 * handshake, and the peer may send at once. Closing the listening socket
 * resets such connections until they are accepted, so an orderly stop first
 * refuses handshakes, then accepts what is left, and only then closes the
 * socket.
 */

struct pgw_listener;

/**
 * PGW_FIRST_REQUEST_US - time for the first bytes on a connection that was
 * accepted just before its listener closed
 *
 * A lost packet is sent again three times within it. Each connection that its
 * peer opened in advance holds a stop for so long.
 */
#define PGW_FIRST_REQUEST_US UINT64_C(1000000)

/**
 * pgw_listener_new() - listen on a numeric address
 * @loop: event loop of the listener
 * @address: the address; port 0 selects a free port
 * @on_accept: called for each accepted socket, which it owns
 * @context: passed to @on_accept
 * @error: %PGW_ERROR_IO
 */
struct pgw_listener *pgw_listener_new(struct pgw_loop *loop,
                                      const struct pgw_address *address,
                                      void (*on_accept)(int fd, void *context),
                                      void *context, GError **error);

/** pgw_listener_port() - port of the listening socket */
uint16_t pgw_listener_port(const struct pgw_listener *listener);

/** pgw_listener_pause() - stop or continue accepting; meanwhile connections
 * wait in the listen backlog */
void pgw_listener_pause(struct pgw_listener *listener, bool paused);

/**
 * pgw_listener_close() - accept every established connection, then stop
 * listening
 * @listener: the listener; it may be paused
 * @on_closed: called from the loop when the socket is closed; no @on_accept
 *   follows
 *
 * From now on the kernel ignores new handshakes. A caller repeats its own a
 * second later and is then refused. Uses the @context of pgw_listener_new().
 */
void pgw_listener_close(struct pgw_listener *listener,
                        void (*on_closed)(void *context));

/** pgw_listener_is_open() - the socket still listens */
bool pgw_listener_is_open(const struct pgw_listener *listener);

/** pgw_listener_free() - stop listening at once and free the listener */
void pgw_listener_free(struct pgw_listener *listener);

#endif
