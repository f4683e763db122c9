#include "libparsleygw/sync_turn.h"

bool
pgw_sync_turn_is_held_by_other(const struct pgw_sync_turn *turn,
                               const void *link, uint64_t now_us)
{
#ifndef PGW_DISABLE_SYNC_TURN
    return turn->partner != NULL && turn->partner != link &&
           now_us - turn->last_active_us < PGW_SYNC_TURN_IDLE_TIMEOUT_US &&
           now_us - turn->started_us < PGW_SYNC_TURN_MAX_US;
#else
    (void)turn;
    (void)link;
    (void)now_us;
    return false;
#endif
}

bool
pgw_sync_turn_acquire(struct pgw_sync_turn *turn, const void *link,
                      uint64_t now_us)
{
    if (pgw_sync_turn_is_held_by_other(turn, link, now_us)) {
        return false;
    }
    if (turn->partner != link) {
        *turn = (struct pgw_sync_turn){.partner = link, .started_us = now_us};
    }
    turn->last_active_us = now_us;
    return true;
}

void
pgw_sync_turn_refresh(struct pgw_sync_turn *turn, const void *link,
                      uint64_t now_us)
{
    if (turn->partner == link) {
        turn->last_active_us = now_us;
    }
}

bool
pgw_sync_turn_try_request_copy(struct pgw_sync_turn *turn, uint64_t now_us)
{
    uint64_t retry_us = PGW_SYNC_TURN_IDLE_TIMEOUT_US;

#ifdef PGW_DISABLE_SYNC_ASK_AGAIN
    retry_us = UINT64_MAX;
#endif
    if (turn->requested_us != 0 && now_us - turn->requested_us < retry_us) {
        return false;
    }
    turn->requested_us = now_us;
    return true;
}

void
pgw_sync_turn_release(struct pgw_sync_turn *turn, const void *link)
{
    if (turn->partner == link) {
        turn->partner = NULL;
    }
}
