#ifndef PGW_GATEWAY_UNGUARDED_H
#define PGW_GATEWAY_UNGUARDED_H

#include "gateway/engine_guard.h"
#include "gateway/guard_links.h"
#include "gateway/lease.h"

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
 * struct pgw_unguarded_store - calls to the platform's store
 * @read: read the lease; ends with pgw_unguarded_take_read()
 * @write: write it, naming this process and the number of the write;
 *   @revision 0: create it. Ends with pgw_unguarded_take_write()
 * @get_token: write for a fencing token; ends with pgw_unguarded_take_token()
 */
struct pgw_unguarded_store {
    void (*read)(void *context);
    void (*write)(void *context, uint64_t revision, uint64_t number);
    void (*get_token)(void *context);
};

/**
 * struct pgw_unguarded_options - settings
 * @instance: name of this process, the holder of orders
 * @codec: how engines are spoken to
 * @lease: times of the lease
 * @refused_us: an engine counts as without a sidecar once its machine has
 *   refused connections for so long
 * @store: calls to the store
 * @context: handed to @store's functions
 */
struct pgw_unguarded_options {
    const char *instance;
    const struct pgw_engine_codec *codec;
    struct pgw_lease_options lease;
    uint64_t refused_us;
    const struct pgw_unguarded_store *store;
    void *context;
};

struct pgw_unguarded;

/** pgw_unguarded_new() - look for such engines from now on; @gateway and
 * @links must outlive it */
struct pgw_unguarded *
pgw_unguarded_new(struct pgw_loop *loop, struct pgw_gateway *gateway,
                  struct pgw_guard_links *links,
                  const struct pgw_unguarded_options *options);
void pgw_unguarded_free(struct pgw_unguarded *unguarded);

/** pgw_unguarded_take_read() - see pgw_lease_take_read() */
void pgw_unguarded_take_read(struct pgw_unguarded *unguarded,
                             enum pgw_lease_result result, bool mine,
                             uint64_t number, uint64_t revision);

/** pgw_unguarded_take_write() - see pgw_lease_take_write() */
void pgw_unguarded_take_write(struct pgw_unguarded *unguarded,
                              enum pgw_lease_result result, uint64_t revision);

/** pgw_unguarded_take_token() - a fencing token; 0: none can be had now */
void pgw_unguarded_take_token(struct pgw_unguarded *unguarded, uint64_t token);

#endif
