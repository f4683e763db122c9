#ifndef PGW_LINK_H
#define PGW_LINK_H

#include "libparsleygw/frame.h"
#include "util/address.h"
#include "util/loop.h"

/**
 * DOC: Framed TCP connection between two processes of the system
 *
 * All calls for a link are made on the thread of its loop. Sending never
 * blocks: frames are queued in memory, and a sender of large amounts limits
 * itself by pgw_link_pending_bytes(). When the connection ends, the loop calls
 * @on_closed once, never from inside another call, and then frees the link.
 */

struct pgw_link;

/**
 * struct pgw_link_ops - callbacks of the owner of a link
 * @on_open: called when an outgoing connection is established; may be NULL
 * @on_frame: called for each received frame; returns true to take ownership of
 *            the message (release with pgw_frame_free()), false to let the
 *            link free it
 * @on_closed: called when the link is closed, before it is freed; @error is
 *             the cause, NULL after pgw_link_close()
 */
struct pgw_link_ops {
    void (*on_open)(struct pgw_link *link, void *context);
    bool (*on_frame)(struct pgw_link *link, enum pgw_frame_type type,
                     ProtobufCMessage *message, void *context);
    void (*on_closed)(struct pgw_link *link, const GError *error,
                      void *context);
};

/**
 * pgw_link_connect() - start an outgoing connection
 * @loop: event loop of the link
 * @address: address of the peer
 * @ops: callbacks
 * @context: passed to @ops
 * @error: %PGW_ERROR_IO
 *
 * Return: the link, or NULL. Frames sent before the connection is established
 * are queued.
 */
struct pgw_link *pgw_link_connect(struct pgw_loop *loop,
                                  const struct pgw_address *address,
                                  const struct pgw_link_ops *ops,
                                  void *context, GError **error);

/** pgw_link_accept() - create a link that owns an accepted socket */
struct pgw_link *pgw_link_accept(struct pgw_loop *loop, int fd,
                                 const struct pgw_link_ops *ops, void *context,
                                 GError **error);

/** pgw_link_send() - queue one message; ignored while the link is closing or
 * after a send error */
void pgw_link_send(struct pgw_link *link, enum pgw_frame_type type,
                   const ProtobufCMessage *message);

/** pgw_link_pending_bytes() - bytes queued or not yet acknowledged by the peer
 */
size_t pgw_link_pending_bytes(const struct pgw_link *link);

/** pgw_link_was_refused() - the peer's host refused the connection; valid in
 * @on_closed */
bool pgw_link_was_refused(const struct pgw_link *link);

/** pgw_link_was_ended_by_peer() - the peer's host closed, reset or refused the
 * connection, so that host is reachable; valid in @on_closed */
bool pgw_link_was_ended_by_peer(const struct pgw_link *link);

/** pgw_link_is_open() - connected, without send error and not closing */
bool pgw_link_is_open(const struct pgw_link *link);

/** pgw_link_last_received_us() - monotonic time of the last received byte */
uint64_t pgw_link_last_received_us(const struct pgw_link *link);

/** pgw_link_last_queued_us() - monotonic time of the last queued message */
uint64_t pgw_link_last_queued_us(const struct pgw_link *link);

/** pgw_link_close() - close the link; @on_closed is called later, from the
 * loop */
void pgw_link_close(struct pgw_link *link);

/** pgw_link_register_metrics() - export the bytes of all links in /metrics */
void pgw_link_register_metrics(void);

#endif
