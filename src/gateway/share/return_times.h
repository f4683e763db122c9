#ifndef PGW_GATEWAY_SHARE_RETURN_TIMES_H
#define PGW_GATEWAY_SHARE_RETURN_TIMES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * DOC: When refused callers come back
 *
 * A refusal names a time at which there will be room that nobody else was
 * promised: a ledger of promised tokens by the time of return. The sum of the
 * promises for a time never exceeds the room for it. Where no room is left
 * before the latest time that the caller would heed, it gets a random time
 * near that and no promise.
 *
 * A caller that comes back at a promised time goes before the new ones of its
 * workspace. One without a promise does not: there are more of them than there
 * is room, and they would make all others of their workspace late. One that
 * comes earlier keeps its promise as it is, and gains nothing. Callers are
 * recognised by what they send.
 *
 * Load answered: callers that are refused together come back together and are
 * refused again; callers that repeat at once.
 */

/* Width of a slot of the ledger, and the number of slots: more than a third of
 * the longest time that a caller may have left is never named. */
#define PGW_RETURN_SLOT_US 50000
#define PGW_RETURN_SLOTS 200

/**
 * struct pgw_return_times - promised tokens; zeroed: none
 * @slot: number of the earliest slot that is kept
 * @promised: tokens, by slot
 */
struct pgw_return_times {
    uint64_t slot;
    double promised[PGW_RETURN_SLOTS];
};

/**
 * struct pgw_return_input - a caller that is refused
 * @tokens: what its request needs
 * @room_per_s: tokens per second that may be promised, 0: not known
 * @earliest_us: from when on the room is not needed for those who wait
 * @latest_us: latest time that the caller heeds
 * @promised_by_us: latest time that is promised, if it is before @latest_us
 * @now_us: monotonic time
 * @random: spreads the callers
 */
struct pgw_return_input {
    double tokens;
    double room_per_s;
    uint64_t earliest_us;
    uint64_t latest_us;
    uint64_t promised_by_us;
    uint64_t now_us;
    uint64_t random;
};

/**
 * struct pgw_return - when a caller comes back
 * @at_us: time that the refusal names
 * @is_promised: the ledger has room for it at that time
 */
struct pgw_return {
    uint64_t at_us;
    bool is_promised;
};

/** pgw_return_times_add() - choose a time and promise its room */
void pgw_return_times_add(struct pgw_return *out,
                          struct pgw_return_times *times,
                          const struct pgw_return_input *input);

/* Callers that are remembered. More than all entries promise a time in the
 * time for which one is. */
#define PGW_RETURNED_CALLERS_MAX 4096
/* A caller that comes back at a promised time may wait for so many times the
 * usual time: others with promises come to the same entry. More would leave no
 * time to run. */
#define PGW_RETURNED_PATIENCE 2
/* A caller that comes later than this after its time is a new one. */
#define PGW_RETURNED_LATE_US 2000000

/**
 * struct pgw_returned_caller - a caller that was refused
 * @key: hash of what it sends, 0: empty
 * @at: its time to return
 * @in_time_start_us: latest start for an answer within the objective, counted
 *   from its first attempt here, 0: none
 */
struct pgw_returned_caller {
    uint64_t key;
    struct pgw_return at;
    uint64_t in_time_start_us;
};

/**
 * struct pgw_returned_callers - refused callers, by hash; zeroed: none
 */
struct pgw_returned_callers {
    struct pgw_returned_caller items[PGW_RETURNED_CALLERS_MAX];
};

/** pgw_returned_callers_add() - remember a caller whose key is not 0; false:
 * it was known with this time */
bool pgw_returned_callers_add(struct pgw_returned_callers *callers,
                              const struct pgw_returned_caller *caller);

/** enum pgw_returned - how a caller's request relates to its last refusal */
enum pgw_returned {
    PGW_RETURNED_UNKNOWN,  /* it was not refused lately */
    PGW_RETURNED_EARLY,    /* before its time */
    PGW_RETURNED_PROMISED, /* at a promised time */
    PGW_RETURNED_LATE,     /* at a time without a promise, or after it */
};

/**
 * pgw_returned_callers_take() - a caller has sent a request
 * @callers: the callers
 * @key: hash of what it sends
 * @now_us: monotonic time
 * @out: receives what is known of it, unless it is unknown
 *
 * It is forgotten unless it comes early: then it keeps its promise.
 */
enum pgw_returned
pgw_returned_callers_take(struct pgw_returned_callers *callers, uint64_t key,
                          uint64_t now_us, struct pgw_returned_caller *out);

G_END_DECLS

#endif
