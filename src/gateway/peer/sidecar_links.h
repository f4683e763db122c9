#ifndef PGW_GATEWAY_PEER_SIDECAR_LINKS_H
#define PGW_GATEWAY_PEER_SIDECAR_LINKS_H

#include "gateway/request/gateway.h"

/**
 * DOC: An entry's connections to the sidecars of engines
 *
 * Sidecars of the local zone report their engine's weights, load and cached
 * parts, from which the entry chooses an engine for a prompt. Those of other
 * zones report, too, while the deployment is small, and answer only probes
 * otherwise: prompts rarely leave their zone. The entry sends target versions
 * to the sidecars and selects the engines that may load them.
 */

struct pgw_sidecar_links;

/**
 * pgw_sidecar_links_new() - create the links; connects to no sidecar yet
 * @loop: loop that serves the links
 * @gateway: gateway whose upstreams the sidecars report on
 * @port: port on which the sidecars listen
 */
struct pgw_sidecar_links *pgw_sidecar_links_new(struct pgw_loop *loop,
                                                struct pgw_gateway *gateway,
                                                uint16_t port);
void pgw_sidecar_links_free(struct pgw_sidecar_links *links);

/** pgw_sidecar_links_refresh() - add and close links after the list of
 * upstreams has changed */
void pgw_sidecar_links_refresh(struct pgw_sidecar_links *links);

/** pgw_sidecar_links_is_refused() - whether an engine's machine has refused
 * connections to the sidecar's port for at least @for_us microseconds */
bool pgw_sidecar_links_is_refused(const struct pgw_sidecar_links *links,
                                  const struct pgw_upstream *upstream,
                                  uint64_t for_us);

/** pgw_sidecar_links_send_target_weights() - send the target versions to all
 * sidecars */
void pgw_sidecar_links_send_target_weights(struct pgw_sidecar_links *links);

#endif
