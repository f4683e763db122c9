#ifndef PGW_SYNC_TURN_H
#define PGW_SYNC_TURN_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * DOC: Details are exchanged with one peer at a time
 *
 * A process that starts is greeted by all its peers within milliseconds. Were
 * each asked before the first copy is there, all would send their whole copy:
 * hundreds of megabytes, and at the peers as many that wait in the queues of
 * links. Whoever does not get its turn is heard at the next periodic summary.
 * Pure: the clock is passed in.
 */

/* A partner that is silent for so long has lost its turn. */
#define PGW_SYNC_TURN_IDLE_TIMEOUT_US UINT64_C(1000000)
/* After so long others may take the turn: one that differs for ever, because
 * one side refuses a value, must not keep the others out. */
#define PGW_SYNC_TURN_MAX_US UINT64_C(5000000)

/**
 * struct pgw_sync_turn - whose turn it is
 * @partner: a link; NULL: anybody's
 * @began_us: when its turn began
 * @heard_us: when it last took part
 * @asked_us: when it was asked for its whole copy; 0: not yet
 */
struct pgw_sync_turn {
    const void *partner;
    uint64_t began_us;
    uint64_t heard_us;
    uint64_t asked_us;
};

/** pgw_sync_turn_is_held_by_other() - somebody else's, so that @link must wait
 */
bool pgw_sync_turn_is_held_by_other(const struct pgw_sync_turn *turn,
                                    const void *link, uint64_t now_us);

/** pgw_sync_turn_acquire() - begin or go on. Return: false if @link must wait
 */
bool pgw_sync_turn_acquire(struct pgw_sync_turn *turn, const void *link,
                           uint64_t now_us);

/** pgw_sync_turn_refresh() - @link sent something; counts if it has the turn
 */
void pgw_sync_turn_refresh(struct pgw_sync_turn *turn, const void *link,
                           uint64_t now_us);

/**
 * pgw_sync_turn_try_request_copy() - may the partner be asked for its whole
 * copy now?
 * @turn: the turn, which the partner has; notes that it is asked
 * @now_us: present time
 *
 * Asked twice at once it would send two copies. Never asked again, one that
 * did not answer would leave this process empty for as long as it is the
 * partner.
 */
bool pgw_sync_turn_try_request_copy(struct pgw_sync_turn *turn,
                                    uint64_t now_us);

/** pgw_sync_turn_release() - @link needs its turn no longer, if it has it */
void pgw_sync_turn_release(struct pgw_sync_turn *turn, const void *link);

G_END_DECLS

#endif
