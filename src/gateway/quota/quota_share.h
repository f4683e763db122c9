#ifndef PGW_GATEWAY_QUOTA_QUOTA_SHARE_H
#define PGW_GATEWAY_QUOTA_QUOTA_SHARE_H

#include "gateway/quota/quota_bucket.h"

/**
 * DOC: Units of a workspace's quota that an entry admits without asking
 *
 * While the owner's bucket is more than half full, an entry admits a small
 * share of it without asking and reports it afterwards. All other requests
 * wait for the owner's answer: long prompts, and all requests of a workspace
 * that is close to its quota. The share that an entry keeps is small and
 * expires after a second, even if the process was suspended.
 *
 * An entry that gets no answer admits what the bounds allow beyond all that
 * the owner may grant to other entries in the meantime.
 */

/**
 * struct pgw_quota_share - a workspace's quota at one entry; zeroed: unknown
 * @level: level of the bucket in the owner's last answer
 * @level_at_us: when that answer arrived, 0: never
 * @unreported: units admitted and not reported to the owner yet
 * @unanswered: units reported since the owner's last answer
 * @refused: units refused and not reported yet
 * @refuse_until_us: requests are refused without asking until then
 * @retry_at_us: when refused callers should retry
 * @local_allowance: units that may be admitted without the owner's answer
 * @local_allowance_at_us: when @local_allowance was computed, 0: never
 */
struct pgw_quota_share {
    double level;
    uint64_t level_at_us;
    double unreported;
    double unanswered;
    double refused;
    uint64_t refuse_until_us;
    uint64_t retry_at_us;
    double local_allowance;
    uint64_t local_allowance_at_us;
};

/**
 * enum pgw_quota_verdict - decision on a request
 * @PGW_QUOTA_ADMIT: within the quota; call pgw_quota_share_spend()
 * @PGW_QUOTA_ASK: the owner has to decide
 * @PGW_QUOTA_REFUSE: beyond the quota
 */
enum pgw_quota_verdict {
    PGW_QUOTA_ADMIT,
    PGW_QUOTA_ASK,
    PGW_QUOTA_REFUSE,
};

/**
 * pgw_quota_share_decide() - decide on a new request
 * @share: of the request's workspace
 * @limits: quota of the workspace
 * @entries: number of entries
 * @cost: units that the request costs
 * @now_us: clock that advances while the process is suspended
 */
enum pgw_quota_verdict
pgw_quota_share_decide(const struct pgw_quota_share *share,
                       const struct pgw_quota_limits *limits, uint32_t entries,
                       double cost, uint64_t now_us);

/**
 * pgw_quota_share_decide_locally() - decide on a request if no owner answers
 * @share: of the request's workspace
 * @limits: quota of the workspace
 * @bounds: how far spending may exceed the quotas
 * @entries: number of entries
 * @cost: units that the request costs
 * @now_us: clock that advances while the process is suspended
 *
 * Return: never %PGW_QUOTA_ASK.
 */
enum pgw_quota_verdict
pgw_quota_share_decide_locally(struct pgw_quota_share *share,
                               const struct pgw_quota_limits *limits,
                               const struct pgw_quota_bounds *bounds,
                               uint32_t entries, double cost, uint64_t now_us);

/** pgw_quota_share_spend() - account admitted units; below 0: given back */
void pgw_quota_share_spend(struct pgw_quota_share *share, double units);

/** pgw_quota_share_report_is_due() - whether spent units must be reported now
 */
bool pgw_quota_share_report_is_due(const struct pgw_quota_share *share,
                                   const struct pgw_quota_limits *limits,
                                   uint32_t entries);

/** pgw_quota_share_take_unreported() - move unreported units into a request;
 * they count as reported */
void pgw_quota_share_take_unreported(struct pgw_quota_share *share,
                                     struct pgw_quota_request *out);

/** pgw_quota_share_apply_answer() - apply an answer of the owner */
void pgw_quota_share_apply_answer(struct pgw_quota_share *share,
                                  const struct pgw_quota_answer *answer,
                                  uint64_t now_us);

#endif
