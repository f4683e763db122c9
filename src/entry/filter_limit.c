#include "entry/exchange.h"
#include "entry/workspace_count.h"

#define LIMIT_RETRY_MS 1000

/* Bounds this entry's own memory, in all and for each workspace; fairness
 * between workspaces is decided at the sidecars, where the capacity is. */
static bool
limit_workspace(struct exchange *exchange, const struct pgw_config *config,
                struct refusal *refusal)
{
    const char *name = exchange->request.workspace;
    uint32_t most = pgw_config_workspace(config, name)->max_inflight;

    if (!workspace_count_enter(exchange->entry->workspaces, name, most)) {
        refusal_set(refusal, PGW_REFUSAL_OVERLOADED, PGW_RAN_NO,
                    LIMIT_RETRY_MS,
                    "workspace '%s' has %u requests in progress here, which "
                    "is its max_inflight: wait for some to end",
                    name, most);
        return false;
    }
    exchange->workspace_counted = true;
    return true;
}

static bool
limit(struct exchange *exchange, const struct pgw_config *config,
      struct refusal *refusal)
{
    struct entry *entry = exchange->entry;
    unsigned inflight;

    inflight = atomic_fetch_add(&entry->inflight, 1);
    /*
     * Counted before the look at @leaving: a planned stop sets that first and
     * reads the count afterwards, so that one of the two sees the other. Else
     * a request could pass just before the stop and be handed to a loop that
     * has ended, and its caller would wait for ever.
     */
    if (atomic_load(&entry->leaving)) {
        atomic_fetch_sub(&entry->inflight, 1);
        refusal_set(refusal, PGW_REFUSAL_LEAVING, PGW_RAN_NO, LIMIT_RETRY_MS,
                    "this instance is leaving: send to another one");
        return false;
    }
    if (inflight >= entry->settings->max_inflight) {
        atomic_fetch_sub(&entry->inflight, 1);
        refusal_set(refusal, PGW_REFUSAL_OVERLOADED, PGW_RAN_NO,
                    LIMIT_RETRY_MS,
                    "too many requests in progress here: try again later");
        return false;
    }
    exchange->counted = true;
    return limit_workspace(exchange, config, refusal);
}

const struct filter filter_limit = {.name = "limit", .run = limit};
