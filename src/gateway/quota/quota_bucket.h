#ifndef PGW_GATEWAY_QUOTA_QUOTA_BUCKET_H
#define PGW_GATEWAY_QUOTA_QUOTA_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Token buckets of workspaces, at the quota's owner
 *
 * A workspace's quota applies to all entries together. One sidecar, the owner,
 * keeps the bucket; entries ask it or report to it. A request is granted if
 * the bucket holds its cost. A workspace that exceeds its quota therefore
 * loses long prompts first, each of which costs as much as dozens of short
 * requests. Reports of spent units may overdraw the bucket.
 *
 * Buckets are not stored. An owner that starts or takes over does not know
 * what was spent, while another owner may still be granting for some entries:
 * its buckets start with part of what the bounds allow beyond the quota, and
 * fill more slowly at first. If entries have just started as well, no other
 * owner exists.
 */

/**
 * struct pgw_quota_limits - a workspace's quota as configured
 * @rate: units per second, 0: no limit
 * @burst: units that may be spent at once
 * @version: version of the configuration
 */
struct pgw_quota_limits {
    double rate;
    double burst;
    uint64_t version;
};

/**
 * struct pgw_quota_bounds - how far spending may exceed the quotas
 * @window_s: length of the window that the bounds apply to
 * @overage: share of a window's quota that may be spent beyond it
 * @slack: units that may be spent in addition
 */
struct pgw_quota_bounds {
    double window_s;
    double overage;
    double slack;
};

/** pgw_quota_overage() - units that the bounds allow beyond a quota */
double pgw_quota_overage(const struct pgw_quota_bounds *bounds,
                         const struct pgw_quota_limits *limits);

struct pgw_quota_buckets;

/**
 * struct pgw_quota_buckets_options - initial state of buckets
 * @bounds: how far spending may exceed the quotas
 * @full_until_us: buckets created before this time start full, because nothing
 *   can have been spent yet; 0: no bucket does
 * @start_share: share of what the bounds allow beyond the quota that other
 *   buckets start with
 * @restart_share: the same if no other owner can be granting
 * @slow_refill_us: how long a bucket fills more slowly if another owner may be
 *   granting
 * @slow_refill_share: share of the rate at which it fills then
 */
struct pgw_quota_buckets_options {
    struct pgw_quota_bounds bounds;
    uint64_t full_until_us;
    double start_share;
    double restart_share;
    uint64_t slow_refill_us;
    double slow_refill_share;
};

/*
 * Two owners overlap until all entries have the list of upstreams that names
 * the new owner, for a second at most. What both grant in this time, the
 * initial units of the second owner and what entries admit without an owner
 * add up to less than the bounds allow.
 */
#define PGW_QUOTA_BUCKETS_OPTIONS_INIT                                        \
    {                                                                         \
        .start_share = 0.4, .restart_share = 0.8, .slow_refill_us = 2000000,  \
        .slow_refill_share = 0.6                                              \
    }

/**
 * struct pgw_quota_request - what an entry asks or reports
 * @workspace: pgw_quota_key() of the workspace
 * @limits: quota that the entry knows; the newest version applies
 * @spent: units spent since its last report; below 0: given back
 * @refused: units of requests that the entry refused since
 * @cost: units that a request needs now, 0: only a report
 * @share: share of the rate that this owner may grant; below 1 if it is a
 *   fallback for an owner that only some entries cannot reach
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
 * struct pgw_quota_answer - answer of the owner
 * @granted: units taken from the bucket: @cost, or 0
 * @level: units left; below 0: overdrawn
 * @wait_ms: time until the bucket is no longer overdrawn
 * @retry_ms: time after which a refused caller should retry: long enough to
 *   grant all that was refused in the last second
 */
struct pgw_quota_answer {
    double granted;
    double level;
    uint32_t wait_ms;
    uint32_t retry_ms;
};

/** pgw_quota_key() - identifies a workspace between processes */
uint64_t pgw_quota_key(const char *workspace);

/** pgw_quota_buckets_new() - create an empty set of buckets; @options are
 * copied */
struct pgw_quota_buckets *
pgw_quota_buckets_new(const struct pgw_quota_buckets_options *options);
void pgw_quota_buckets_free(struct pgw_quota_buckets *buckets);

/** pgw_quota_buckets_handle_request() - account a report and decide on a
 * request */
void pgw_quota_buckets_handle_request(struct pgw_quota_answer *out,
                                      struct pgw_quota_buckets *buckets,
                                      const struct pgw_quota_request *request,
                                      uint64_t now_us);

#endif
