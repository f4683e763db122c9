#ifndef PGW_GATEWAY_REQUEST_UNCONFIRMED_REFUSAL_H
#define PGW_GATEWAY_REQUEST_UNCONFIRMED_REFUSAL_H

#include "gateway/config/route_table.h"

/**
 * DOC: Refusals that an upstream does not confirm
 *
 * Callers take some statuses as the statement that a request has not run and
 * never will, and send it again. An upstream that has not run a request says
 * so beside the status. Load: an upstream that fails or is overloaded answers
 * with such a status and without that statement.
 */

/**
 * pgw_status_means_not_run() - whether callers take a status as the statement
 * that the request was not run and will not be
 * @status: HTTP status
 */
bool pgw_status_means_not_run(unsigned status);

/** pgw_route_may_run_again() - whether a request of a route may be sent again
 * after an attempt whose outcome is unknown */
bool pgw_route_may_run_again(const struct pgw_route *route);

/**
 * pgw_refusal_is_unconfirmed() - whether an answer must not be relayed, since
 * its status would make the caller send a request again that may have run
 * @route: the request's route
 * @status: status of an answer whose upstream does not state that it did not
 *   run the request
 */
bool pgw_refusal_is_unconfirmed(const struct pgw_route *route,
                                unsigned status);

#endif
