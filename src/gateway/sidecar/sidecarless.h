#ifndef PGW_GATEWAY_SIDECAR_SIDECARLESS_H
#define PGW_GATEWAY_SIDECAR_SIDECARLESS_H

#include "gateway/peer/sidecar_links.h"
#include "gateway/sidecar/engine_sidecar.h"
#include "gateway/sidecar/order_lease.h"

/**
 * DOC: Weights of engines that have no sidecar
 *
 * An engine may start on a machine without a sidecar, because a plain service
 * had its address before. A process must give it the order to load the target
 * weights, and only one process at a time may do so. If the entries of its
 * availability zone find that no sidecar listens there and that its weights
 * are old, one of them takes a lease in the store and acts as the engine's
 * sidecar until the weights are loaded. A cut that refuses connections looks
 * alike, so it also needs the lease on the engine's orders, which a sidecar
 * that lives behind the cut may hold.
 */

/**
 * struct pgw_sidecarless_store - calls to the platform's store
 * @read: read the lease object; the result goes to
 *   pgw_sidecarless_finish_read()
 * @write: write the lease object with this process as the holder and the
 *   number of the write, if it still has @revision; @revision 0: create it.
 *   The result goes to pgw_sidecarless_finish_write()
 */
struct pgw_sidecarless_store {
    void (*read)(void *context);
    void (*write)(void *context, uint64_t revision, uint64_t write_number);
};

/**
 * struct pgw_sidecarless_options - settings
 * @instance: name of this process, which orders carry as their holder
 * @codec: encodes and decodes messages of the deployment's engines
 * @lease: times of the lease
 * @refused_us: an engine counts as sidecarless once its machine has refused
 *   connections to the sidecar's port for this time
 * @store: calls to the store
 * @context: passed to the functions of @store
 * @orders: times of the leases on engines' orders
 * @order_store: calls to the store for these leases
 * @order_context: passed to the functions of @order_store
 */
struct pgw_sidecarless_options {
    const char *instance;
    const struct pgw_engine_codec *codec;
    struct pgw_lease_options lease;
    uint64_t refused_us;
    const struct pgw_sidecarless_store *store;
    void *context;
    struct pgw_lease_options orders;
    const struct pgw_order_lease_store *order_store;
    void *order_context;
};

struct pgw_sidecarless;

/** pgw_sidecarless_new() - start to check for engines without a sidecar;
 * @gateway and @links must outlive it */
struct pgw_sidecarless *
pgw_sidecarless_new(struct pgw_loop *loop, struct pgw_gateway *gateway,
                    struct pgw_sidecar_links *links,
                    const struct pgw_sidecarless_options *options);
void pgw_sidecarless_free(struct pgw_sidecarless *sidecarless);

/** pgw_sidecarless_finish_read() - see pgw_lease_finish_read() */
void pgw_sidecarless_finish_read(struct pgw_sidecarless *sidecarless,
                                 const struct pgw_lease_answer *answer);

/** pgw_sidecarless_finish_write() - see pgw_lease_finish_write() */
void pgw_sidecarless_finish_write(struct pgw_sidecarless *sidecarless,
                                  const struct pgw_lease_answer *answer);

#endif
