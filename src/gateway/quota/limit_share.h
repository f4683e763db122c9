#ifndef PGW_GATEWAY_QUOTA_LIMIT_SHARE_H
#define PGW_GATEWAY_QUOTA_LIMIT_SHARE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: An entry's share of the request rate that an upstream accepts
 *
 * An upstream that names a limit accepts so many requests a second from all
 * entries together. The owner of the limit, a sidecar, grants requests to the
 * entries that have any for the upstream (&struct pgw_limit_ledger). Grants
 * expire, so that a suspended entry does not use them later.
 *
 * An entry that the owner does not answer falls back to an equal share of most
 * of the limit. The owner grants only the shares of the entries that are
 * connected to it, so the sum stays within the limit.
 */

/* Grants that are older add up to less than the burst that the limit allows
 * within a few seconds. */
#define PGW_LIMIT_GRANT_VALID_US 1000000

/**
 * struct pgw_limit_share - one entry's share at one upstream; zeroed: the
 * upstream names no limit
 * @per_s: the limit, requests a second from all entries; 0: none
 * @stated_at_us: when it was last named or ended
 * @logged_us: when a change was last logged
 * @from_sidecar: the upstream's sidecar reports the limit
 * @grants: requests that may be sent
 * @grants_until_us: when @grants expire
 * @fallback_per_s: equal share used without the owner; 0: the owner answers
 * @fallback_level: requests that may be sent of that share
 * @fallback_at_us: when @fallback_level was computed
 * @wanted: requests that would have been sent since the last ask
 * @asked_us: when the unanswered ask was sent, 0: none is unanswered
 * @ask_at_us: the owner is not asked before this time
 */
struct pgw_limit_share {
    double per_s;
    uint64_t stated_at_us;
    uint64_t logged_us;
    bool from_sidecar;
    uint32_t grants;
    uint64_t grants_until_us;
    double fallback_per_s;
    double fallback_level;
    uint64_t fallback_at_us;
    uint32_t wanted;
    uint64_t asked_us;
    uint64_t ask_at_us;
};

/** pgw_limit_share_set() - set the limit; 0 ends it. Nothing may be sent under
 * a new limit until it is granted */
void pgw_limit_share_set(struct pgw_limit_share *share, double per_s,
                         uint64_t now_us);

/** pgw_limit_share_allows() - whether a request may be sent now */
bool pgw_limit_share_allows(const struct pgw_limit_share *share,
                            uint64_t now_us);

/** pgw_limit_share_next_us() - when the next request may be sent or the owner
 * may be asked again, 0: not known */
uint64_t pgw_limit_share_next_us(const struct pgw_limit_share *share,
                                 uint64_t now_us);

/** pgw_limit_share_take() - account a request that is sent */
void pgw_limit_share_take(struct pgw_limit_share *share, uint64_t now_us);

/** pgw_limit_share_grant() - add grants of the owner, which answers again */
void pgw_limit_share_grant(struct pgw_limit_share *share, uint32_t count,
                           uint64_t now_us);

/**
 * pgw_limit_share_fall_back() - use an equal share, as the owner does not
 * answer
 * @share: the share
 * @entries: number of entries
 * @start_level: level at which an unused share starts, at random in [0, 1)
 * @now_us: monotonic time
 *
 * With a random start, many entries with few requests each send as many
 * together as the limit allows.
 */
void pgw_limit_share_fall_back(struct pgw_limit_share *share, uint32_t entries,
                               double start_level, uint64_t now_us);

#endif
