#ifndef PGW_CLAIM_SHARD_H
#define PGW_CLAIM_SHARD_H

#include "claim_record.h"
#include "util/list.h"

/**
 * enum pgw_claim_slot_state - state of a key in this process
 * @PGW_SLOT_CLAIMING: the claim awaits the store's result
 * @PGW_SLOT_RUNNING: one call runs
 * @PGW_SLOT_FINISHED: the answer is known, its record is not written yet
 * @PGW_SLOT_LOST: it may have run; this record is not written yet
 * @PGW_SLOT_RELEASED: it did not run, but the store may hold its claim
 */
enum pgw_claim_slot_state {
    PGW_SLOT_CLAIMING,
    PGW_SLOT_RUNNING,
    PGW_SLOT_FINISHED,
    PGW_SLOT_LOST,
    PGW_SLOT_RELEASED,
};

/**
 * struct pgw_claim_slot - a key that is undecided or not yet recorded
 * @name: workspace and key, separated by a space
 * @nonce: identifies this process's claim of the key
 * @running_ticket: ticket of the running call, 0: none
 * @record: for FINISHED and LOST
 * @dirty: the stored object does not have this state yet
 * @ended_us: when the run ended
 * @needs_recheck: a record or window of another process covers the key; read
 *                 the object again before deciding
 * @is_drafted: included in a write that is outstanding or whose result is
 *              unknown
 * @drafted_version: object version that this write expects
 */
struct pgw_claim_slot {
    char *name;
    enum pgw_claim_slot_state state;
    char nonce[PGW_CLAIM_NONCE_SIZE];
    uint64_t claimed_us;
    uint64_t ended_us;
    uint64_t created_us;
    uint64_t running_ticket;
    struct pgw_claim_record *record;
    struct pgw_list waiters;
    bool dirty;
    bool needs_recheck;
    bool is_drafted;
    uint64_t drafted_version;
};

/**
 * struct pgw_claim_waiter - a pending call
 * @refuse_at_us: when the call is refused if the key is not decided
 */
struct pgw_claim_waiter {
    struct pgw_list link;
    struct pgw_claim_slot *slot;
    uint64_t ticket;
    uint64_t deadline_us;
    uint64_t refuse_at_us;
};

/**
 * struct pgw_claim_shard - claims of one object
 * @slots: name to &struct pgw_claim_slot
 * @waiters: ticket to &struct pgw_claim_waiter
 * @running_slots: ticket to &struct pgw_claim_slot
 * @base: last known value, at @version
 * @draft: the value of the outstanding write
 * @read_required: the object must be read before the next write
 * @window_floor_us: latest start of a window in any write issued
 * @down: the last operation failed
 */
struct pgw_claim_shard {
    struct pgw_claim_options options;
    GHashTable *slots;
    GHashTable *waiters;
    GHashTable *running_slots;
    struct pgw_list decisions;
    struct pgw_claim_object *base;
    struct pgw_claim_object *draft;
    uint64_t version;
    enum pgw_io_kind outstanding;
    bool read_required;
    bool down;
    bool closing;
    uint32_t failures;
    uint64_t now_us;
    uint64_t next_write_us;
    uint64_t retry_us;
    uint64_t expire_us;
    uint64_t window_floor_us;
    struct pgw_claim_stats stats;
};

/** pgw_claim__refusal() - decision to refuse a call */
struct pgw_claim_decision
pgw_claim__refusal(uint64_t ticket, enum pgw_refusal reason, enum pgw_ran ran);

/** pgw_claim__record_decision() - decision for another call with the key of a
 * record */
struct pgw_claim_decision
pgw_claim__record_decision(uint64_t ticket,
                           const struct pgw_claim_record *record);

/** pgw_claim__queue_decision() - queue a decision for
 * pgw_claim_next_decision() */
void pgw_claim__queue_decision(struct pgw_claim_shard *shard,
                               struct pgw_claim_decision decision);

struct pgw_claim_waiter *pgw_claim__first_waiter(struct pgw_claim_slot *slot);
void pgw_claim__waiter_free(struct pgw_claim_shard *shard,
                            struct pgw_claim_waiter *waiter);
void pgw_claim__set_running(struct pgw_claim_shard *shard,
                            struct pgw_claim_slot *slot, uint64_t ticket);

/** pgw_claim__grant() - run the first waiting call; the slot's claim is valid
 */
void pgw_claim__grant(struct pgw_claim_shard *shard,
                      struct pgw_claim_slot *slot);

/** pgw_claim__answer_waiters() - answer all waiting calls from a record */
void pgw_claim__answer_waiters(struct pgw_claim_shard *shard,
                               struct pgw_claim_slot *slot,
                               const struct pgw_claim_record *record);

/** pgw_claim__is_own() - whether a record is a claim of this incarnation,
 * which did not run */
bool pgw_claim__is_own(const struct pgw_claim_shard *shard,
                       const struct pgw_claim_record *record);

/**
 * pgw_claim__release_abandoned() - release a claim without waiting calls
 *
 * Return: false when the slot can be freed.
 */
bool pgw_claim__release_abandoned(struct pgw_claim_slot *slot);

/** pgw_claim__reconcile() - update all slots from a new @base */
void pgw_claim__reconcile(struct pgw_claim_shard *shard);

/** pgw_claim__handle_store_failure() - decide the calls that wait for the
 * store, after it failed */
void pgw_claim__handle_store_failure(struct pgw_claim_shard *shard);

/** pgw_claim__expire() - refuse calls that have waited too long */
void pgw_claim__expire(struct pgw_claim_shard *shard);

/** pgw_claim__window_is_own() - whether this process may decide a key
 * without the store */
bool pgw_claim__window_is_own(const struct pgw_claim_shard *shard,
                              uint64_t created_us);

/** pgw_claim__window_is_foreign() - whether only another process may decide
 * a key */
bool pgw_claim__window_is_foreign(const struct pgw_claim_shard *shard,
                                  uint64_t created_us);

/** pgw_claim__window_is_due() - whether this process's window must be
 * extended or removed */
bool pgw_claim__window_is_due(const struct pgw_claim_shard *shard);

/** pgw_claim__window_draft() - update this process's window in a draft */
void pgw_claim__window_draft(struct pgw_claim_shard *shard,
                             struct pgw_claim_object *draft);

#endif
