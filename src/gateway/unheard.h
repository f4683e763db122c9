#ifndef PGW_GATEWAY_UNHEARD_H
#define PGW_GATEWAY_UNHEARD_H

#include "gateway/gateway.h"

/**
 * DOC: Requests at an upstream that has fallen silent
 *
 * Looks a few times a second for upstreams of which nothing is heard any more,
 * says so in the log, and sends on what may run elsewhere.
 */

/** pgw_unheard_start() - begin to look */
void pgw_unheard_start(struct pgw_gateway *gateway);

/** pgw_unheard_stop() - look no more */
void pgw_unheard_stop(struct pgw_gateway *gateway);

/** pgw_unheard_look() - look now; on the gateway's thread */
void pgw_unheard_look(struct pgw_gateway *gateway);

#endif
