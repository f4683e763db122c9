#ifndef PGW_GATEWAY_UNRESPONSIVE_H
#define PGW_GATEWAY_UNRESPONSIVE_H

#include "gateway/gateway.h"

/**
 * DOC: Failover from upstreams that do not respond
 *
 * Looks a few times a second for upstreams from which nothing comes any more,
 * says so in the log, and sends elsewhere what may run there.
 */

/** pgw_unresponsive_start() - begin to look */
void pgw_unresponsive_start(struct pgw_gateway *gateway);

/** pgw_unresponsive_stop() - look no more */
void pgw_unresponsive_stop(struct pgw_gateway *gateway);

/** pgw_unresponsive_check() - look now; on the gateway's thread */
void pgw_unresponsive_check(struct pgw_gateway *gateway);

#endif
