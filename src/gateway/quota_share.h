#ifndef PGW_GATEWAY_QUOTA_SHARE_H
#define PGW_GATEWAY_QUOTA_SHARE_H

#include "gateway/quota_bucket.h"

/**
 * DOC: What an entry may admit of a workspace's quota without asking
 *
 * While the bucket at the owner is more than half full, an entry admits a
 * small part of it by itself and reports it afterwards. Everything else waits
 * for the owner's answer: long prompts, and all requests of a workspace that
 * is near its quota. What an entry keeps for itself so is small, and void
 * after a second, however long the process was suspended.
 *
 * An entry that gets no answer admits what the bounds leave beside all that
 * the owner may grant to the others meanwhile.
 */

/**
 * struct pgw_quota_share - one workspace at one entry; zeroed: nothing known
 * @level: of the bucket, as the owner last said
 * @level_at_us: when that was, 0: never
 * @unreported: units admitted and not reported to the owner yet
 * @unanswered: units reported since its last answer
 * @refused: units refused and not reported yet
 * @refuse_until_us: the owner refuses until then
 * @retry_at_us: when refused callers should come back
 * @alone: units that may be admitted without the owner's answer
 * @alone_at_us: when that was worked out, 0: never
 */
struct pgw_quota_share {
    double level;
    uint64_t level_at_us;
    double unreported;
    double unanswered;
    double refused;
    uint64_t refuse_until_us;
    uint64_t retry_at_us;
    double alone;
    uint64_t alone_at_us;
};

/**
 * enum pgw_quota_verdict - what to do with a request
 * @PGW_QUOTA_ADMIT: it is within the quota; call pgw_quota_share_spend()
 * @PGW_QUOTA_ASK: the owner decides
 * @PGW_QUOTA_REFUSE: it is beyond the quota
 */
enum pgw_quota_verdict {
    PGW_QUOTA_ADMIT,
    PGW_QUOTA_ASK,
    PGW_QUOTA_REFUSE,
};

/**
 * pgw_quota_share_decide() - on a request that has come
 * @share: of its workspace
 * @limits: its quota
 * @entries: entries that there are
 * @cost: its units
 * @now_us: time that also counts while the process is suspended
 */
enum pgw_quota_verdict
pgw_quota_share_decide(const struct pgw_quota_share *share,
                       const struct pgw_quota_limits *limits, uint32_t entries,
                       double cost, uint64_t now_us);

/**
 * pgw_quota_share_decide_locally() - on a request to which no owner answers
 *
 * @bounds: what may be spent beyond the quotas; the rest as above
 *
 * Return: never %PGW_QUOTA_ASK.
 */
enum pgw_quota_verdict
pgw_quota_share_decide_locally(struct pgw_quota_share *share,
                               const struct pgw_quota_limits *limits,
                               const struct pgw_quota_bounds *bounds,
                               uint32_t entries, double cost, uint64_t now_us);

/** pgw_quota_share_spend() - units were admitted, or given back if below 0 */
void pgw_quota_share_spend(struct pgw_quota_share *share, double units);

/** pgw_quota_share_report_is_due() - what was spent must be reported now */
bool pgw_quota_share_report_is_due(const struct pgw_quota_share *share,
                                   const struct pgw_quota_limits *limits,
                                   uint32_t entries);

/** pgw_quota_share_take_unreported() - fill in what is unreported, and count
 * it as reported */
void pgw_quota_share_take_unreported(struct pgw_quota_share *share,
                                     struct pgw_quota_request *out);

/** pgw_quota_share_apply_answer() - the owner's answer */
void pgw_quota_share_apply_answer(struct pgw_quota_share *share,
                                  const struct pgw_quota_answer *answer,
                                  uint64_t now_us);

#endif
