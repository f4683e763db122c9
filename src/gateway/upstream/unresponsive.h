#ifndef PGW_GATEWAY_UPSTREAM_UNRESPONSIVE_H
#define PGW_GATEWAY_UPSTREAM_UNRESPONSIVE_H

#include "gateway/request/gateway.h"

/**
 * DOC: Failover from upstreams that do not respond
 *
 * A periodic check, ten times a second, logs upstreams that have stopped
 * responding and moves their requests to other upstreams where a retry is
 * allowed.
 */

/** pgw_unresponsive_start() - start the periodic check */
void pgw_unresponsive_start(struct pgw_gateway *gateway);

/** pgw_unresponsive_stop() - stop the periodic check */
void pgw_unresponsive_stop(struct pgw_gateway *gateway);

/** pgw_unresponsive_check() - check now; on the gateway's thread */
void pgw_unresponsive_check(struct pgw_gateway *gateway);

#endif
