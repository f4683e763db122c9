#ifndef PGW_GATEWAY_SIDECAR_ORDER_LEASE_H
#define PGW_GATEWAY_SIDECAR_ORDER_LEASE_H

#include "gateway/sidecar/lease.h"
#include "util/address.h"
#include "util/loop.h"

/**
 * DOC: The right to give orders to one engine
 *
 * An engine's sidecar gives it orders; an entry does so where it finds no
 * sidecar. Behind a cut neither can tell whether the other one lives. So each
 * of them holds a lease in the platform's store while it gives orders, and the
 * revision of its last write is the fencing token. The lease lasts longer than
 * a rollout usually takes, so that an outage of the store that begins after
 * new weights were named does not delay the loads.
 */

struct pgw_order_lease;

/**
 * struct pgw_order_lease_store - calls to the platform's store
 * @open: prepare the lease object of an engine; returns what the other
 *   functions get
 * @close: cancel calls, and release it
 * @read: read the object; the answer goes to pgw_order_lease_finish_read()
 * @write: write the object with this process as the holder and the number of
 *   the write, if it still has @revision; @revision 0: create it. The answer
 *   goes to pgw_order_lease_finish_write()
 */
struct pgw_order_lease_store {
    void *(*open)(void *context, struct pgw_order_lease *lease,
                  const char *engine_host);
    void (*close)(void *object);
    void (*read)(void *object);
    void (*write)(void *object, uint64_t revision, uint64_t write_number);
};

/**
 * struct pgw_order_lease_options - settings
 * @engine: address of the engine; the lease is on its host, as the sidecar is
 *   found there
 * @lease: times of the lease
 * @store: calls to the store
 * @store_context: passed to @store's open()
 * @on_token: called with a fencing token and how long orders may carry it, in
 *   microseconds; token 0: the store did not answer, request it again later
 * @context: passed to @on_token
 */
struct pgw_order_lease_options {
    struct pgw_address engine;
    struct pgw_lease_options lease;
    const struct pgw_order_lease_store *store;
    void *store_context;
    void (*on_token)(void *context, uint64_t token, uint64_t valid_us);
    void *context;
};

/* The term covers a rollout: the first engines load two seconds after the
 * weights were named, and weights may be used for six seconds or more. A
 * longer term delays orders to engines whose sidecar is lost for good. */
#define PGW_ORDER_LEASE_TIMES_INIT                                            \
    {                                                                         \
        .term_us = 8000000, .pause_us = 3500000, .renew_us = 0,               \
        .poll_us = 1000000, .retry_us = 300000                                \
    }

/** pgw_order_lease_new() - prepare the lease; it is read within seconds */
struct pgw_order_lease *
pgw_order_lease_new(struct pgw_loop *loop,
                    const struct pgw_order_lease_options *options);
void pgw_order_lease_free(struct pgw_order_lease *lease);

/** pgw_order_lease_request() - acquire the lease, or renew it, for a new
 * fencing token; while another process holds it, this waits for its end */
void pgw_order_lease_request(struct pgw_order_lease *lease);

/** pgw_order_lease_holds() - whether this process may give orders now */
bool pgw_order_lease_holds(const struct pgw_order_lease *lease);

/** pgw_order_lease_finish_read() - see pgw_lease_finish_read() */
void pgw_order_lease_finish_read(struct pgw_order_lease *lease,
                                 const struct pgw_lease_answer *answer);

/** pgw_order_lease_finish_write() - see pgw_lease_finish_write() */
void pgw_order_lease_finish_write(struct pgw_order_lease *lease,
                                  const struct pgw_lease_answer *answer);

#endif
