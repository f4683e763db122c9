#ifndef PGW_ENTRY_GUARD_H
#define PGW_ENTRY_GUARD_H

#include "util/loop.h"
#include <microhttpd.h>

/**
 * DOC: Limits on the time that a caller takes to send its request
 *
 * The HTTP server bounds idle time only. A sender that drips a byte now and
 * then would hold a connection, and with enough of them all connections, for
 * as long as it likes; the guard bounds the time for the whole head and for
 * the whole body.
 */

struct guard;
struct refusal;

/**
 * guard_new() - make a guard
 * @loop: looks at the connections
 * @head_us: time from connecting, or the last answer, to a whole head
 * @body_us: time from a whole head to a whole body
 */
struct guard *guard_new(struct pgw_loop *loop, uint64_t head_us,
                        uint64_t body_us);

/** guard_free() - after the HTTP server has closed all connections */
void guard_free(struct guard *guard);

/** guard_notify() - for MHD_OPTION_NOTIFY_CONNECTION, with the guard */
void guard_notify(void *context, struct MHD_Connection *connection,
                  void **socket_context,
                  enum MHD_ConnectionNotificationCode code);

/** guard_head_done() - the head is whole; the body's time begins */
void guard_head_done(struct MHD_Connection *connection);

/** guard_body_done() - nothing more of the request is waited for; no limit
 * until the next head */
void guard_body_done(struct MHD_Connection *connection);

/** guard_answered() - the next head's time begins */
void guard_answered(struct MHD_Connection *connection);

/** guard_accepted() - a connection is about to be given to the HTTP server */
void guard_accepted(struct guard *guard);

/** guard_not_added() - the HTTP server did not take it */
void guard_not_added(struct guard *guard);

/** guard_connections() - connections that were accepted and are not closed */
unsigned guard_connections(const struct guard *guard);

/**
 * guard_is_idle() - no caller waits for an answer
 * @guard: the guard
 * @first_until_us: until then a connection without a byte counts as one whose
 *   first request is on its way
 *
 * A caller waits if bytes have arrived since its last answer, whether the HTTP
 * server has read them or not.
 */
bool guard_is_idle(struct guard *guard, uint64_t first_until_us);

/** guard_refuse_incomplete() - refuse the requests of which only a part has
 * arrived, and close their connections */
void guard_refuse_incomplete(struct guard *guard,
                             const struct refusal *refusal);

#endif
