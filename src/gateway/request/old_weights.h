#ifndef PGW_GATEWAY_REQUEST_OLD_WEIGHTS_H
#define PGW_GATEWAY_REQUEST_OLD_WEIGHTS_H

#include "gateway/request/gateway.h"

/**
 * DOC: Withdrawal of requests that would begin on weights that are too old
 *
 * A request that is sent in time may begin late: it waits in its engine's
 * queue, which only an accepted order to load empties. Requests that have not
 * begun when runs on their weights may no longer begin are withdrawn from the
 * engine. Whether they had begun is then unknown: those that may run again are
 * sent to another engine, the others fail.
 */

/** pgw_old_weights_schedule() - withdraw requests when the time of the weights
 * that they were sent for ends; call after a version was announced */
void pgw_old_weights_schedule(struct pgw_gateway *gateway);

/** pgw_old_weights_stop() - stop the timer of pgw_old_weights_schedule() */
void pgw_old_weights_stop(struct pgw_gateway *gateway);

#endif
