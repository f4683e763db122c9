#include "gateway/quota/quota_share.h"
#include <glib.h>

/* How long the level in the owner's answer is used. */
#define LEVEL_VALID_US 1000000
/* Share of a bucket that all entries together may admit without asking. */
#define UNASKED_SHARE 0.25
/* Number of reports in which an entry reports its part of that share. */
#define REPORT_STEPS 4
/* Share of what the bounds allow beyond the quotas for entries that reach no
 * owner; the rest is for changes of owners. */
#define LOCAL_ALLOWANCE_SHARE 0.2

static bool
has_ample_level(const struct pgw_quota_share *share,
                const struct pgw_quota_limits *limits, uint64_t now_us)
{
    return share->level_at_us > 0 &&
           now_us - share->level_at_us < LEVEL_VALID_US &&
           share->level >= limits->burst / 2;
}

/* This entry's share of the last known level, less what it has spent since. */
static double
unspent_share(const struct pgw_quota_share *share, uint32_t entries)
{
    return share->level / MAX(entries, 1) - share->unreported -
           share->unanswered;
}

enum pgw_quota_verdict
pgw_quota_share_decide(const struct pgw_quota_share *share,
                       const struct pgw_quota_limits *limits, uint32_t entries,
                       double cost, uint64_t now_us)
{
    if (now_us < share->refuse_until_us) {
        return PGW_QUOTA_REFUSE;
    }
    if (has_ample_level(share, limits, now_us) &&
        share->unreported + share->unanswered + cost <=
            share->level * UNASKED_SHARE / MAX(entries, 1)) {
        return PGW_QUOTA_ADMIT;
    }
    return PGW_QUOTA_ASK;
}

enum pgw_quota_verdict
pgw_quota_share_decide_locally(struct pgw_quota_share *share,
                               const struct pgw_quota_limits *limits,
                               const struct pgw_quota_bounds *bounds,
                               uint32_t entries, double cost, uint64_t now_us)
{
    /* Half of the share accrues during a window, and half may have accrued
     * before it. */
    double max_allowance = pgw_quota_overage(bounds, limits) *
                           LOCAL_ALLOWANCE_SHARE / 2 / MAX(entries, 1);

    if (has_ample_level(share, limits, now_us) &&
        unspent_share(share, entries) > 0) {
        return PGW_QUOTA_ADMIT;
    }
    if (share->local_allowance_at_us > 0 && bounds->window_s > 0) {
        share->local_allowance +=
            max_allowance * (double)(now_us - share->local_allowance_at_us) /
            1e6 / bounds->window_s;
    }
    share->local_allowance = MIN(share->local_allowance, max_allowance);
    share->local_allowance_at_us = now_us;
    if (share->local_allowance < cost) {
        return PGW_QUOTA_REFUSE;
    }
    share->local_allowance -= cost;
    return PGW_QUOTA_ADMIT;
}

void
pgw_quota_share_spend(struct pgw_quota_share *share, double units)
{
    share->unreported += units;
}

bool
pgw_quota_share_report_is_due(const struct pgw_quota_share *share,
                              const struct pgw_quota_limits *limits,
                              uint32_t entries)
{
    return share->unreported * MAX(entries, 1) * REPORT_STEPS >
           limits->burst * UNASKED_SHARE;
}

void
pgw_quota_share_take_unreported(struct pgw_quota_share *share,
                                struct pgw_quota_request *out)
{
    out->spent = share->unreported;
    out->refused = share->refused;
    share->unanswered += share->unreported;
    share->unreported = 0;
    share->refused = 0;
}

void
pgw_quota_share_apply_answer(struct pgw_quota_share *share,
                             const struct pgw_quota_answer *answer,
                             uint64_t now_us)
{
    share->level = answer->level;
    share->level_at_us = now_us;
    share->unanswered = 0;
    if (answer->level < 0) {
        share->refuse_until_us = now_us + answer->wait_ms * 1000ULL;
        share->retry_at_us = now_us + answer->retry_ms * 1000ULL;
    }
    else {
        share->refuse_until_us = 0;
    }
}
