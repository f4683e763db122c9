#include "gateway/quota/limit_share.h"
#include <glib.h>

/* A share that was not used for this long starts anew, so that requests do not
 * add up while an entry has none for the upstream. */
#define FALLBACK_IDLE_US 1000000
/* What all entries send without the owner varies around this share of the
 * limit, and must not exceed the limit by half within a few seconds. */
#define FALLBACK_SHARE 0.75

void
pgw_limit_share_set(struct pgw_limit_share *share, double per_s,
                    uint64_t now_us)
{
    if (per_s <= 0) {
        *share = (struct pgw_limit_share){
            .stated_at_us = now_us,
            .logged_us = share->logged_us,
        };
        return;
    }
    share->stated_at_us = now_us;
    if (per_s < share->per_s) {
        share->grants = (uint32_t)(share->grants * per_s / share->per_s);
    }
    share->fallback_per_s *= share->per_s > 0 ? per_s / share->per_s : 0;
    share->per_s = per_s;
}

static double
fallback_level(const struct pgw_limit_share *share, uint64_t now_us)
{
    return MIN(share->fallback_level +
                   share->fallback_per_s *
                       (double)(now_us - share->fallback_at_us) / 1e6,
               1);
}

bool
pgw_limit_share_allows(const struct pgw_limit_share *share, uint64_t now_us)
{
    return share->per_s <= 0 ||
           (share->grants > 0 && now_us < share->grants_until_us) ||
           (share->fallback_per_s > 0 && fallback_level(share, now_us) >= 1);
}

uint64_t
pgw_limit_share_next_us(const struct pgw_limit_share *share, uint64_t now_us)
{
    if (share->per_s <= 0) {
        return 0;
    }
    if (share->fallback_per_s > 0) {
        double missing = 1 - fallback_level(share, now_us);

        return now_us + (uint64_t)(missing / share->fallback_per_s * 1e6) + 1;
    }
    return share->ask_at_us > now_us ? share->ask_at_us : 0;
}

void
pgw_limit_share_take(struct pgw_limit_share *share, uint64_t now_us)
{
    if (share->per_s <= 0) {
        return;
    }
    if (share->grants > 0 && now_us < share->grants_until_us) {
        share->grants--;
    }
    else if (share->fallback_per_s > 0) {
        share->fallback_level = MAX(fallback_level(share, now_us) - 1, 0);
        share->fallback_at_us = now_us;
    }
}

void
pgw_limit_share_grant(struct pgw_limit_share *share, uint32_t count,
                      uint64_t now_us)
{
    if (now_us >= share->grants_until_us) {
        share->grants = 0;
    }
    if (count > 0) {
        share->grants += count;
        share->grants_until_us = now_us + PGW_LIMIT_GRANT_VALID_US;
    }
    share->fallback_per_s = 0;
}

void
pgw_limit_share_fall_back(struct pgw_limit_share *share, uint32_t entries,
                          double start_level, uint64_t now_us)
{
    if (share->fallback_per_s <= 0 ||
        now_us - share->fallback_at_us > FALLBACK_IDLE_US) {
        share->fallback_level = start_level;
    }
    else {
        share->fallback_level = fallback_level(share, now_us);
    }
    share->fallback_at_us = now_us;
    share->fallback_per_s = share->per_s * FALLBACK_SHARE / MAX(entries, 1);
}
