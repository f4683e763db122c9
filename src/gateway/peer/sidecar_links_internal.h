#ifndef PGW_GATEWAY_PEER_SIDECAR_LINKS_INTERNAL_H
#define PGW_GATEWAY_PEER_SIDECAR_LINKS_INTERNAL_H

#include "gateway/peer/sidecar_links.h"
#include "gateway/sidecar/rollout_window.h"
#include "libparsleygw/link.h"

/**
 * DOC: Internals of an entry's connections to sidecars
 *
 * sidecar_links.c connects and applies the sidecars' reports,
 * sidecar_links_probe.c sends probes and announces requests,
 * sidecar_links_rollout.c selects the engines that load weights. No other file
 * includes this header.
 */

/* Maximum number of links to sidecars that only answer probes: each uses one
 * of some thousand file descriptors. In a larger pool, links are opened on
 * demand to the engines that an entry probes. */
#define PGW_PROBE_LINKS_MAX 512

/**
 * struct sidecar_link - the connection to one engine's sidecar
 * @engine: address of the engine
 * @connection: NULL while not connected or connecting
 * @connect_timer: next attempt to connect
 * @refused_at_us: since when connections are refused, 0: they are not
 * @identified: reports on this connection are for this engine
 * @probe_only: the sidecar is in another zone of a large pool: it answers
 *   probes, and sends no other reports
 * @probed_at_us: time of the last probe, 0: never
 * @start_sent: for each of the engine's models, the last version that the
 *   engine was selected to load
 * @needed: the engine is listed, and its sidecar is to be connected to
 */
struct sidecar_link {
    struct pgw_sidecar_links *links;
    char *engine;
    struct pgw_address address;
    struct pgw_link *connection;
    struct pgw_timer connect_timer;
    uint64_t refused_at_us;
    bool identified;
    bool probe_only;
    uint64_t probed_at_us;
    uint64_t start_sent[PGW_UPSTREAM_MODELS_MAX];
    bool needed;
};

/**
 * struct pgw_sidecar_links - an entry's connections to sidecars
 * @by_engine: address -> &struct sidecar_link
 * @entry_count: number of entries, as reported by the sidecars
 * @entry_count_us: when that number was last confirmed
 * @remote_probe_only: sidecars of other zones answer probes, and send no other
 *   reports
 * @links_all: every entry is to be connected to every sidecar
 * @refresh_task: checks whether @remote_probe_only still fits, once per
 *   iteration of the loop
 * @refresh_posted: @refresh_task is posted
 * @load_times: recent loading times
 * @window_timer: next update of the rollout windows
 * @closing: all connections are being closed
 */
struct pgw_sidecar_links {
    struct pgw_loop *loop;
    struct pgw_gateway *gateway;
    GHashTable *by_engine;
    uint16_t port;
    uint32_t entry_count;
    uint64_t entry_count_us;
    bool remote_probe_only;
    bool links_all;
    struct pgw_task refresh_task;
    bool refresh_posted;
    struct pgw_weights_load_times load_times;
    struct pgw_timer window_timer;
    bool closing;
};

/** pgw_sidecar_link_upstream() - the listed upstream of an engine's address,
 * NULL: none */
struct pgw_upstream *
pgw_sidecar_link_upstream(const struct pgw_sidecar_links *links,
                          const char *engine);

/** pgw_sidecar_link_load() - the load in a sidecar's report */
struct pgw_upstream_load pgw_sidecar_link_load(const Pgw__EngineState *state);

/**
 * pgw_sidecar_link_apply_part() - apply the update of a part in a report
 * @upstream: the engine
 * @key: pgw_part_key() of the part
 * @update: number of cached tokens times two, plus one if the part is only
 *   expected
 * @now_us: monotonic time
 */
void pgw_sidecar_link_apply_part(struct pgw_upstream *upstream, uint64_t key,
                                 uint32_t update, uint64_t now_us);

/** pgw_sidecar_link_apply_notices() - apply what the engine states about
 * itself by its sidecar's report */
void pgw_sidecar_link_apply_notices(struct pgw_upstream *upstream,
                                    const Pgw__EngineState *state,
                                    uint64_t now_us);

/** pgw_sidecar_link_apply_pace() - apply what its sidecar reports of the
 * engine's speed */
void pgw_sidecar_link_apply_pace(struct pgw_upstream *upstream,
                                 const Pgw__EngineState *state,
                                 uint64_t now_us);

/** pgw_sidecar_link_add() - add a link to an upstream's sidecar, and start to
 * connect */
struct sidecar_link *pgw_sidecar_link_add(struct pgw_sidecar_links *links,
                                          const struct pgw_upstream *upstream,
                                          bool probe_only);

/* sidecar_links_probe.c */
/* Sends the gateway's announcements, probes and quota requests to sidecars. */
extern const struct pgw_sidecar_ops pgw_sidecar_links_ops;
/** pgw_sidecar_link_was_probed_recently() - whether a probe-only link is in
 * use
 */
bool pgw_sidecar_link_was_probed_recently(const struct sidecar_link *link,
                                          uint64_t now_us);
/** pgw_sidecar_link_handle_probe_answer() - apply an answer to a probe */
void pgw_sidecar_link_handle_probe_answer(struct sidecar_link *link,
                                          struct pgw_upstream *upstream,
                                          const Pgw__EngineState *state,
                                          uint64_t now_us);

/** pgw_sidecar_link_handle_quota_answer() - pass on the answer of a quota's
 * owner */
void pgw_sidecar_link_handle_quota_answer(const struct sidecar_link *link,
                                          const Pgw__QuotaAnswer *message);

/** pgw_sidecar_link_handle_limit_answer() - pass on the answer of a limit's
 * owner */
void pgw_sidecar_link_handle_limit_answer(const struct sidecar_link *link,
                                          const Pgw__LimitAnswer *message);

/** pgw_sidecar_link_handle_origin_answer() - pass on the version of an attempt
 */
void
pgw_sidecar_link_handle_origin_answer(const struct sidecar_link *link,
                                      const Pgw__StreamOriginAnswer *message);

/* sidecar_links_rollout.c */
/** pgw_sidecar_links_rollout_init() - initialize the state of rollouts */
void pgw_sidecar_links_rollout_init(struct pgw_sidecar_links *links);
/** pgw_sidecar_links_rollout_dispose() - release the state of rollouts */
void pgw_sidecar_links_rollout_dispose(struct pgw_sidecar_links *links);
/** pgw_sidecar_link_send_target_weights() - send the target versions to one
 * sidecar, with the late start that holds unless the engine is selected */
void pgw_sidecar_link_send_target_weights(struct sidecar_link *link);
/** pgw_sidecar_links_rollout_schedule() - update the rollout windows, once per
 * iteration of the loop */
void pgw_sidecar_links_rollout_schedule(struct pgw_sidecar_links *links);
/** pgw_sidecar_links_rollout_apply_report() - apply a report's versions, and
 * whether the engine is loading */
void pgw_sidecar_links_rollout_apply_report(struct pgw_sidecar_links *links,
                                            struct pgw_upstream *upstream,
                                            const Pgw__EngineState *state,
                                            uint64_t now_us);

#endif
