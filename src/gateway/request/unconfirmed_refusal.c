#include "gateway/request/unconfirmed_refusal.h"

bool
pgw_status_means_not_run(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

bool
pgw_refusal_is_unconfirmed(const struct pgw_route *route, unsigned status)
{
    bool may_run_again = route->stream ? route->resumable : route->repeatable;

    return !may_run_again && pgw_status_means_not_run(status);
}
