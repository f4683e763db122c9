#ifndef PGW_LINK_H
#define PGW_LINK_H

#include "libparsleygw/frame.h"
#include "util/address.h"
#include "util/loop.h"

/**
 * DOC: One framed TCP connection between two of our processes
 *
 * A link lives on one loop's thread. Sending never blocks: frames queue in
 * memory, and who sends much watches pgw_link_pending_bytes(). A link that
 * breaks reports it once through @on_closed, from the loop and never from
 * inside a send, and is freed by the loop afterwards.
 */

struct pgw_link;

/**
 * struct pgw_link_ops - what the owner of a link does
 * @on_open: an outgoing connection is established; may be NULL
 * @on_frame: one frame arrived; return true to keep the message (and free it
 *            with pgw_frame_free()), false to let the link free it
 * @on_closed: the link is gone; @error says why, NULL after pgw_link_close()
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
 * @loop: loop that serves the link
 * @address: the peer's
 * @ops: the owner's callbacks
 * @context: handed to them
 * @error: %PGW_ERROR_IO
 *
 * Return: the link, or NULL. Frames may be sent at once and queue.
 */
struct pgw_link *pgw_link_connect(struct pgw_loop *loop,
                                  const struct pgw_address *address,
                                  const struct pgw_link_ops *ops,
                                  void *context, GError **error);

/** pgw_link_accept() - take over an accepted, connected socket */
struct pgw_link *pgw_link_accept(struct pgw_loop *loop, int fd,
                                 const struct pgw_link_ops *ops, void *context,
                                 GError **error);

/** pgw_link_send() - queue one message; dropped when the link is closing */
void pgw_link_send(struct pgw_link *link, enum pgw_frame_type type,
                   const ProtobufCMessage *message);

/** pgw_link_pending_bytes() - bytes queued and not yet received by the peer */
size_t pgw_link_pending_bytes(const struct pgw_link *link);

/** pgw_link_was_refused() - the peer's machine answered that nobody listens
 * there; to be asked while the link's end is told */
bool pgw_link_was_refused(const struct pgw_link *link);

/** pgw_link_was_ended_by_peer() - the peer's machine closed, reset or refused
 * it, so that machine answers; to be asked while the link's end is told */
bool pgw_link_was_ended_by_peer(const struct pgw_link *link);

/** pgw_link_is_open() - connected and not closing */
bool pgw_link_is_open(const struct pgw_link *link);

/** pgw_link_last_received_us() - monotonic time of the last received byte */
uint64_t pgw_link_last_received_us(const struct pgw_link *link);

/** pgw_link_last_queued_us() - monotonic time of the last queued message */
uint64_t pgw_link_last_queued_us(const struct pgw_link *link);

/** pgw_link_close() - close after @on_closed was called from the loop */
void pgw_link_close(struct pgw_link *link);

/** pgw_link_register_metrics() - show the bytes of all links in /metrics */
void pgw_link_register_metrics(void);

/**
 * struct pgw_listener - accepts framed connections
 */
struct pgw_listener;

/**
 * pgw_listener_new() - listen on a numeric address
 * @loop: loop that accepts
 * @address: the address; port 0 picks a free one
 * @on_accept: receives each accepted socket and owns it
 * @context: handed to it
 * @error: %PGW_ERROR_IO
 */
struct pgw_listener *pgw_listener_new(struct pgw_loop *loop,
                                      const struct pgw_address *address,
                                      void (*on_accept)(int fd, void *context),
                                      void *context, GError **error);

/** pgw_listener_port() - the port that it listens on */
uint16_t pgw_listener_port(const struct pgw_listener *listener);

/** pgw_listener_free() - stop listening */
void pgw_listener_free(struct pgw_listener *listener);

#endif
