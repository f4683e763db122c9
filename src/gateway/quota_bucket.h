#ifndef PGW_GATEWAY_QUOTA_BUCKET_H
#define PGW_GATEWAY_QUOTA_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Token buckets of workspaces, at their owner
 *
 * A workspace's quota holds over all entries together. One sidecar, its owner,
 * keeps the bucket; entries ask it or report to it. A request is granted where
 * the bucket holds what it costs. Beyond its quota a workspace so loses its
 * long prompts first, each of which would take the place of dozens of short
 * requests; of what entries report the bucket may be overdrawn.
 *
 * What was spent is in no store. An owner that starts, or takes over, knows
 * nothing of it, while another one may still be granting for some entries: its
 * buckets start with a part of what the bounds leave beyond the quota, and
 * fill slower at first. When entries have just started, too, there is no other
 * one.
 */

/**
 * struct pgw_quota_limits - a workspace's quota as the operator sets it
 * @rate: units a second, 0: no limit
 * @burst: units that may be spent at once
 * @version: of the configuration that says so
 */
struct pgw_quota_limits {
    double rate;
    double burst;
    uint64_t version;
};

/**
 * struct pgw_quota_bounds - what may be spent beyond the quotas
 * @window_s: in any so many seconds,
 * @overage: this share of what the quota allows in them,
 * @slack: and so many units
 */
struct pgw_quota_bounds {
    double window_s;
    double overage;
    double slack;
};

/** pgw_quota_overage() - units that the bounds leave beyond a quota */
double pgw_quota_overage(const struct pgw_quota_bounds *bounds,
                         const struct pgw_quota_limits *limits);

struct pgw_quota_buckets;

/**
 * struct pgw_quota_buckets_options - how buckets begin
 * @bounds: what may be spent beyond the quotas
 * @full_until_us: until then buckets start full: nobody can have spent
 *   anything; 0: they never do
 * @start_part: part of what the bounds leave that a bucket else starts with
 * @restart_part: the same where no other owner can be granting
 * @slow_us: for how long it fills slower where another one can
 * @slow_share: part of the rate at which it does
 */
struct pgw_quota_buckets_options {
    struct pgw_quota_bounds bounds;
    uint64_t full_until_us;
    double start_part;
    double restart_part;
    uint64_t slow_us;
    double slow_share;
};

/*
 * Two owners overlap while entries do not yet all have the list of upstreams
 * that names the new one, for a second at most. What both then grant, the
 * start of the second one and what entries without an owner admit stay
 * together below what the bounds leave.
 */
#define PGW_QUOTA_BUCKETS_OPTIONS_INIT                                        \
    {                                                                         \
        .start_part = 0.4, .restart_part = 0.8, .slow_us = 2000000,           \
        .slow_share = 0.6                                                     \
    }

/**
 * struct pgw_quota_request - what an entry asks or reports
 * @workspace: pgw_quota_key() of it
 * @limits: the quota as the entry knows it; those of the newest version hold
 * @spent: units spent since its last report; below 0: given back
 * @refused: units of requests that it refused since
 * @cost: units that a request needs now, 0: only a report
 * @share: part of the rate that this owner may grant; below 1 where it stands
 *   in for another one that only some entries cannot reach
 * @restarted: entries have just started as well
 */
struct pgw_quota_request {
    uint64_t workspace;
    struct pgw_quota_limits limits;
    double spent;
    double refused;
    double cost;
    double share;
    bool restarted;
};

/**
 * struct pgw_quota_answer - what the owner says
 * @granted: units that were taken: @cost, or 0
 * @level: units left; below 0: overdrawn
 * @wait_ms: time until the bucket is no longer overdrawn
 * @retry_ms: when a refused caller should come back: then all that was refused
 *   in the last second could have been granted
 */
struct pgw_quota_answer {
    double granted;
    double level;
    uint32_t wait_ms;
    uint32_t retry_ms;
};

/** pgw_quota_key() - number that stands for a workspace between processes */
uint64_t pgw_quota_key(const char *workspace);

/** pgw_quota_buckets_new() - none yet; @options are copied */
struct pgw_quota_buckets *
pgw_quota_buckets_new(const struct pgw_quota_buckets_options *options);
void pgw_quota_buckets_free(struct pgw_quota_buckets *buckets);

/** pgw_quota_buckets_handle_request() - account a report, and decide on a
 * request */
void pgw_quota_buckets_handle_request(struct pgw_quota_answer *out,
                                      struct pgw_quota_buckets *buckets,
                                      const struct pgw_quota_request *request,
                                      uint64_t now_us);

#endif
