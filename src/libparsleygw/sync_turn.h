#ifndef PGW_SYNC_TURN_H
#define PGW_SYNC_TURN_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * DOC: Versions and objects are exchanged with one peer at a time
 *
 * A starting process receives a Hello from all its peers within milliseconds.
 * If it requested a copy from each before the first one arrived, all would
 * send their full copy: hundreds of megabytes here, and as much again in the
 * send queues of the peers. A peer that does not get its turn is compared
 * again after the next periodic summary. The functions are pure: the time is
 * passed in.
 */

/* A partner that sends nothing for this time loses its turn. */
#define PGW_SYNC_TURN_IDLE_TIMEOUT_US UINT64_C(1000000)
/* Longest turn. A partner that always differs, because one side refuses a
 * value, must not block the others. */
#define PGW_SYNC_TURN_MAX_US UINT64_C(5000000)

/**
 * struct pgw_sync_turn - the link that versions and objects are exchanged
 * with
 * @partner: the link; NULL: none
 * @started_us: when its turn started
 * @last_active_us: when it last sent something
 * @requested_us: when its full copy was last requested; 0: not yet
 */
struct pgw_sync_turn {
    const void *partner;
    uint64_t started_us;
    uint64_t last_active_us;
    uint64_t requested_us;
};

/** pgw_sync_turn_is_held_by_other() - whether @link must wait for another */
bool pgw_sync_turn_is_held_by_other(const struct pgw_sync_turn *turn,
                                    const void *link, uint64_t now_us);

/** pgw_sync_turn_acquire() - start or extend the turn of @link; false if it
 * must wait */
bool pgw_sync_turn_acquire(struct pgw_sync_turn *turn, const void *link,
                           uint64_t now_us);

/** pgw_sync_turn_refresh() - @link sent something; ignored unless it has the
 * turn
 */
void pgw_sync_turn_refresh(struct pgw_sync_turn *turn, const void *link,
                           uint64_t now_us);

/**
 * pgw_sync_turn_try_request_copy() - whether to request the full copy now
 * @turn: the partner's turn; records the request
 * @now_us: current time
 *
 * Two requests in a row would make the partner send two copies. Without a
 * later second request, a partner that did not answer would leave this process
 * empty for as long as it is the partner.
 *
 * Return: whether to send the request.
 */
bool pgw_sync_turn_try_request_copy(struct pgw_sync_turn *turn,
                                    uint64_t now_us);

/** pgw_sync_turn_release() - end the turn of @link if it has it */
void pgw_sync_turn_release(struct pgw_sync_turn *turn, const void *link);

G_END_DECLS

#endif
