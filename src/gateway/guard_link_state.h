#ifndef PGW_GATEWAY_GUARD_LINK_STATE_H
#define PGW_GATEWAY_GUARD_LINK_STATE_H

#include "gateway/guard_links.h"
#include "gateway/load_window.h"
#include "libparsleygw/link.h"

/**
 * DOC: Inside of an entry's connections to the processes beside the engines
 *
 * guard_links.c connects and hears what the engines hold and do,
 * guard_rollout.c tells them when to load. Nobody else includes this.
 */

/**
 * struct guard_link - the connection to the process beside one engine
 * @engine: address of the engine
 * @refused_at_us: since when nobody listens there, 0: somebody may
 * @told: for each of the engine's models the last version that its turn was
 *   told of
 */
struct guard_link {
    struct pgw_guard_links *links;
    char *engine;
    struct pgw_address address;
    struct pgw_link *link;
    struct pgw_timer timer;
    uint64_t refused_at_us;
    uint64_t told[PGW_UPSTREAM_MODELS_MAX];
    bool wanted;
};

struct pgw_guard_links {
    struct pgw_loop *loop;
    struct pgw_gateway *gateway;
    GHashTable *by_engine;
    uint16_t port;
    uint32_t entries;
    uint64_t entries_at_us;
    struct pgw_load_pace pace;
    struct pgw_timer window_timer;
    bool closing;
};

/** pgw_guard_link_upstream() - the engine's, as the list names it now; NULL */
struct pgw_upstream *
pgw_guard_link_upstream(const struct pgw_guard_links *links,
                        const char *engine);

/* guard_rollout.c */
/** pgw_guard_rollout_init() - its part of the state */
void pgw_guard_rollout_init(struct pgw_guard_links *links);
/** pgw_guard_rollout_dispose() - free it */
void pgw_guard_rollout_dispose(struct pgw_guard_links *links);
/** pgw_guard_rollout_announce() - tell one engine of the weights that are
 * named; by itself it begins late */
void pgw_guard_rollout_announce(struct guard_link *guard);
/** pgw_guard_rollout_post() - look at who may load, once for all that comes in
 * a turn of the loop */
void pgw_guard_rollout_post(struct pgw_guard_links *links);
/** pgw_guard_rollout_take() - an engine's word on its weights, and whether it
 * is away for others */
void pgw_guard_rollout_take(struct pgw_guard_links *links,
                            struct pgw_upstream *upstream,
                            const Pgw__EngineState *state, uint64_t now_us);

#endif
