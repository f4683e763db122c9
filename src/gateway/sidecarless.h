#ifndef PGW_GATEWAY_SIDECARLESS_H
#define PGW_GATEWAY_SIDECARLESS_H

#include "gateway/engine_sidecar.h"
#include "gateway/lease.h"
#include "gateway/sidecar_links.h"

/**
 * DOC: Weights of engines that have no sidecar
 *
 * An engine may start at an address whose machine runs no process of ours: a
 * plain service had it before. Somebody has to tell it which weights to load,
 * and only one process may. Where the entries of its availability zone find
 * that nobody listens there and that its weights are old, one of them takes a
 * lease in the store and does for it what a sidecar does, until it has loaded.
 */

/**
 * struct pgw_sidecarless_store - calls to the platform's store
 * @read: read the lease; ends with pgw_sidecarless_finish_read()
 * @write: write it, naming this process and the number of the write;
 *   @revision 0: create it. Ends with pgw_sidecarless_finish_write()
 * @get_token: write for a fencing token; ends with
 * pgw_sidecarless_finish_token()
 */
struct pgw_sidecarless_store {
    void (*read)(void *context);
    void (*write)(void *context, uint64_t revision, uint64_t number);
    void (*get_token)(void *context);
};

/**
 * struct pgw_sidecarless_options - settings
 * @instance: name of this process, the holder of orders
 * @codec: how engines are spoken to
 * @lease: times of the lease
 * @refused_us: an engine counts as without a sidecar once its machine has
 *   refused connections for so long
 * @store: calls to the store
 * @context: handed to @store's functions
 */
struct pgw_sidecarless_options {
    const char *instance;
    const struct pgw_engine_codec *codec;
    struct pgw_lease_options lease;
    uint64_t refused_us;
    const struct pgw_sidecarless_store *store;
    void *context;
};

struct pgw_sidecarless;

/** pgw_sidecarless_new() - look for such engines from now on; @gateway and
 * @links must outlive it */
struct pgw_sidecarless *
pgw_sidecarless_new(struct pgw_loop *loop, struct pgw_gateway *gateway,
                    struct pgw_sidecar_links *links,
                    const struct pgw_sidecarless_options *options);
void pgw_sidecarless_free(struct pgw_sidecarless *unguarded);

/** pgw_sidecarless_finish_read() - see pgw_lease_finish_read() */
void pgw_sidecarless_finish_read(struct pgw_sidecarless *unguarded,
                                 enum pgw_lease_result result, bool mine,
                                 uint64_t number, uint64_t revision);

/** pgw_sidecarless_finish_write() - see pgw_lease_finish_write() */
void pgw_sidecarless_finish_write(struct pgw_sidecarless *unguarded,
                                  enum pgw_lease_result result,
                                  uint64_t revision);

/** pgw_sidecarless_finish_token() - a fencing token; 0: none can be had now */
void pgw_sidecarless_finish_token(struct pgw_sidecarless *unguarded,
                                  uint64_t token);

#endif
