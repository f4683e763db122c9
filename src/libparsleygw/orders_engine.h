#ifndef PGW_ORDERS_ENGINE_H
#define PGW_ORDERS_ENGINE_H

#include "parsleygw/rollout.h"

/* Blocking HTTP calls to an engine. */

/* GET /status. The caller disposes of @out when true is returned. */
bool pgw_orders__engine_status_get(struct pgw_rollout_engine *out,
                                   const char *url, GError **error);
void pgw_orders__engine_status_dispose(struct pgw_rollout_engine *engine);

/* POST /orders. %PGW_ERROR_STALE: the engine has accepted a higher fencing
 * number. */
bool pgw_orders__send_order(const char *url,
                            const struct pgw_permit_order *order,
                            uint64_t fence, GError **error);

#endif
