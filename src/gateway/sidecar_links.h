#ifndef PGW_GATEWAY_SIDECAR_LINKS_H
#define PGW_GATEWAY_SIDECAR_LINKS_H

#include "gateway/gateway.h"

/**
 * DOC: An entry's connections to the processes beside the engines
 *
 * To those of its own availability zone only: their reports say where a prompt
 * is served soonest, and prompts leave their zone rarely. An entry tells them
 * which weights are named and when it is their turn; they say what their
 * engines run and how full they are.
 */

struct pgw_sidecar_links;

/**
 * pgw_sidecar_links_new() - none yet
 * @loop: serves the links
 * @gateway: whose upstreams they report on
 * @port: port on which the processes beside the engines listen
 */
struct pgw_sidecar_links *pgw_sidecar_links_new(struct pgw_loop *loop,
                                                struct pgw_gateway *gateway,
                                                uint16_t port);
void pgw_sidecar_links_free(struct pgw_sidecar_links *links);

/** pgw_sidecar_links_refresh() - the list of upstreams has changed */
void pgw_sidecar_links_refresh(struct pgw_sidecar_links *links);

/** pgw_sidecar_links_is_refused() - for so long an engine's machine has
 * answered that no process of ours listens there */
bool pgw_sidecar_links_is_refused(const struct pgw_sidecar_links *links,
                                  const struct pgw_upstream *upstream,
                                  uint64_t for_us);

/** pgw_sidecar_links_send_target_weights() - weights were named: tell all
 * whose they are */
void pgw_sidecar_links_send_target_weights(struct pgw_sidecar_links *links);

#endif
