#include "gateway/request/unconfirmed_refusal.h"

bool
pgw_status_means_not_run(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

bool
pgw_route_may_run_again(const struct pgw_route *route)
{
    return route->stream ? route->resumable : route->repeatable;
}

bool
pgw_refusal_is_unconfirmed(const struct pgw_route *route, unsigned status)
{
    return !pgw_route_may_run_again(route) && pgw_status_means_not_run(status);
}
