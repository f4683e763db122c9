#ifndef PGW_GATEWAY_QUOTA_UPSTREAM_LIMITS_H
#define PGW_GATEWAY_QUOTA_UPSTREAM_LIMITS_H

#include "gateway/quota/limit_ledger.h"
#include "gateway/request/gateway.h"

/**
 * DOC: Asks for requests to upstreams at their limits
 *
 * The choice of an upstream skips those whose limit does not allow a request
 * now. If one of them would have been chosen, the entry asks the owner of its
 * limit, and the grant is for the requests that follow, or for those that are
 * queued. No request waits for the answer if another upstream can take it.
 */

/** pgw_upstream_limits_register_metrics() - register the counters */
void pgw_upstream_limits_register_metrics(void);

/**
 * pgw_upstream_limits_want() - ask for grants, or fall back to an equal share
 * @gateway: the gateway
 * @upstream: upstream at its limit that a request would have gone to
 * @is_new: the request was not queued for it before
 */
void pgw_upstream_limits_want(struct pgw_gateway *gateway,
                              struct pgw_upstream *upstream, bool is_new);

/** pgw_upstream_limits_report_end() - tell the owner that a limit has ended,
 * so that other entries learn it with their next ask */
void pgw_upstream_limits_report_end(struct pgw_gateway *gateway,
                                    const struct pgw_upstream *upstream);

/** pgw_upstream_limits_handle_answer() - apply an answer of a limit's owner;
 * @upstream: id of the limited upstream */
void pgw_upstream_limits_handle_answer(struct pgw_gateway *gateway,
                                       const char *upstream,
                                       const struct pgw_limit_answer *answer);

/**
 * pgw_upstream_limits_wait_us() - estimated time until upstreams at their
 * limits have taken some requests of this entry
 * @gateway: the gateway
 * @per_s: sum of the upstreams' limits
 * @requests: number of requests
 */
uint64_t pgw_upstream_limits_wait_us(const struct pgw_gateway *gateway,
                                     double per_s, unsigned requests);

#endif
