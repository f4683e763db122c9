#ifndef PGW_GATEWAY_SIDECAR_LINKS_INTERNAL_H
#define PGW_GATEWAY_SIDECAR_LINKS_INTERNAL_H

#include "gateway/rollout_window.h"
#include "gateway/sidecar_links.h"
#include "libparsleygw/link.h"

/**
 * DOC: Inside of an entry's connections to the processes beside the engines
 *
 * guard_links.c connects and hears what the engines hold and do,
 * guard_probe.c asks them and announces requests, guard_rollout.c tells them
 * when to load. Nobody else includes this.
 */

/* Links to sidecars that only answer probes: each takes a descriptor of some
 * thousand. Of a larger pool those are linked whose engines are homes of what
 * an entry is asked for. */
#define PGW_PROBE_LINKS_MAX 512

/**
 * struct sidecar_link - the connection to the process beside one engine
 * @engine: address of the engine
 * @refused_at_us: since when nobody listens there, 0: somebody may
 * @identified: its reports are of this engine
 * @on_request: in another zone of a large pool: it answers probes, and sends
 *   nothing else
 * @probed_at_us: when it was last asked, 0: never
 * @told: for each of the engine's models the last version that its turn was
 *   told of
 */
struct sidecar_link {
    struct pgw_sidecar_links *links;
    char *engine;
    struct pgw_address address;
    struct pgw_link *link;
    struct pgw_timer timer;
    uint64_t refused_at_us;
    bool identified;
    bool on_request;
    uint64_t probed_at_us;
    uint64_t told[PGW_UPSTREAM_MODELS_MAX];
    bool wanted;
};

/**
 * struct pgw_sidecar_links - all of them
 * @by_engine: address -> &struct sidecar_link
 * @entries: entries that there are, as sidecars count them
 * @entries_at_us: when that was last confirmed
 * @divided: sidecars of other zones answer probes, and send nothing else
 * @refresh: looks whether @divided still fits, once for a turn of the loop
 */
struct pgw_sidecar_links {
    struct pgw_loop *loop;
    struct pgw_gateway *gateway;
    GHashTable *by_engine;
    uint16_t port;
    uint32_t entries;
    uint64_t entries_at_us;
    bool divided;
    struct pgw_task refresh;
    bool refresh_posted;
    struct pgw_weights_load_times pace;
    struct pgw_timer window_timer;
    bool closing;
};

/** pgw_sidecar_link_upstream() - the engine's, as the list names it now; NULL
 */
struct pgw_upstream *
pgw_sidecar_link_upstream(const struct pgw_sidecar_links *links,
                          const char *engine);

/** pgw_sidecar_link_load() - the load in a sidecar's report */
struct pgw_upstream_load pgw_sidecar_link_load(const Pgw__EngineState *state);

/** pgw_sidecar_link_take_part() - a sidecar's word on a part; @word: its
 * tokens, times two, and one more when it is on its way there */
void pgw_sidecar_link_take_part(struct pgw_upstream *upstream, uint64_t key,
                                uint32_t word, uint64_t now_us);

/** pgw_sidecar_link_add() - begin to connect to the sidecar of an upstream */
struct sidecar_link *pgw_sidecar_link_add(struct pgw_sidecar_links *links,
                                          const struct pgw_upstream *upstream,
                                          bool on_request);

/* guard_probe.c */
/* Requests and probes of the gateway, on their way to sidecars. */
extern const struct pgw_sidecar_ops pgw_sidecar_links_ops;
/** pgw_sidecar_link_is_probed() - a link that answers probes was used lately
 */
bool pgw_sidecar_link_is_probed(const struct sidecar_link *guard,
                                uint64_t now_us);
/** pgw_sidecar_link_take_probe_answer() - an answer to a probe */
void pgw_sidecar_link_take_probe_answer(struct sidecar_link *guard,
                                        struct pgw_upstream *upstream,
                                        const Pgw__EngineState *state,
                                        uint64_t now_us);

/** pgw_sidecar_link_take_quota_answer() - the answer of a quota's owner */
void pgw_sidecar_link_take_quota_answer(const struct sidecar_link *guard,
                                        const Pgw__QuotaAnswer *message);

/* guard_rollout.c */
/** pgw_sidecar_links_rollout_init() - its part of the state */
void pgw_sidecar_links_rollout_init(struct pgw_sidecar_links *links);
/** pgw_sidecar_links_rollout_dispose() - free it */
void pgw_sidecar_links_rollout_dispose(struct pgw_sidecar_links *links);
/** pgw_sidecar_link_send_target_weights() - tell one engine of the weights
 * that are named; by itself it begins late */
void pgw_sidecar_link_send_target_weights(struct sidecar_link *guard);
/** pgw_sidecar_links_rollout_schedule() - look at who may load, once for all
 * that comes in a turn of the loop */
void pgw_sidecar_links_rollout_schedule(struct pgw_sidecar_links *links);
/** pgw_sidecar_links_rollout_take_state() - an engine's word on its weights,
 * and whether it is away for others */
void pgw_sidecar_links_rollout_take_state(struct pgw_sidecar_links *links,
                                          struct pgw_upstream *upstream,
                                          const Pgw__EngineState *state,
                                          uint64_t now_us);

#endif
