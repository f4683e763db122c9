#include "gateway/quota_share.h"
#include <glib.h>

/* The owner's answer holds for so long. */
#define FRESH_US 1000000
/* Part of a bucket that all entries together may admit without asking. */
#define FREE_PART 0.25
/* What is admitted so is reported in so many steps. */
#define REPORT_STEPS 4
/* Part of what the bounds leave beside the quotas that entries without an
 * owner use; the rest is for changes of owners. */
#define ALONE_PART 0.2

static bool
is_plenty(const struct pgw_quota_share *share,
          const struct pgw_quota_limits *limits, uint64_t now_us)
{
    return share->level_at_us > 0 && now_us - share->level_at_us < FRESH_US &&
           share->level >= limits->burst / 2;
}

/* Units that this entry may admit of the bucket as it was last known. */
static double
own_part(const struct pgw_quota_share *share, uint32_t entries)
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
    if (is_plenty(share, limits, now_us) &&
        share->unreported + share->unanswered + cost <=
            share->level * FREE_PART / MAX(entries, 1)) {
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
    /* In a window at most what has gathered before it, and what comes in it.
     */
    double most =
        pgw_quota_overage(bounds, limits) * ALONE_PART / 2 / MAX(entries, 1);

    if (is_plenty(share, limits, now_us) && own_part(share, entries) > 0) {
        return PGW_QUOTA_ADMIT;
    }
    if (share->alone_at_us > 0 && bounds->window_s > 0) {
        share->alone += most * (double)(now_us - share->alone_at_us) / 1e6 /
                        bounds->window_s;
    }
    share->alone = MIN(share->alone, most);
    share->alone_at_us = now_us;
    if (share->alone < cost) {
        return PGW_QUOTA_REFUSE;
    }
    share->alone -= cost;
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
           limits->burst * FREE_PART;
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
