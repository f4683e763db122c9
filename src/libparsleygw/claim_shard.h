#ifndef PGW_CLAIM_SHARD_H
#define PGW_CLAIM_SHARD_H

#include "claim_record.h"
#include "util/list.h"

/**
 * enum pgw_claim_slot_state - what this process does with a key
 * @PGW_SLOT_ASKING: nobody may run it before the store has answered
 * @PGW_SLOT_RUNNING: one call was told to run
 * @PGW_SLOT_FINISHED: the answer is known, its record is not written yet
 * @PGW_SLOT_LOST: it may have run; that is not written yet
 * @PGW_SLOT_RELEASED: it was not run, but the store may hold its claim
 */
enum pgw_claim_slot_state {
    PGW_SLOT_ASKING,
    PGW_SLOT_RUNNING,
    PGW_SLOT_FINISHED,
    PGW_SLOT_LOST,
    PGW_SLOT_RELEASED,
};

/**
 * struct pgw_claim_slot - a key that is undecided or not fully recorded
 * @nonce: names this process's claim of the key
 * @runner: ticket that was told to run, 0: none
 * @record: for FINISHED and LOST
 * @dirty: the store does not hold the state as known here
 * @ended_us: when the run ended
 * @inquiry: another process's record or window was seen: ask the store again
 * @drafted: part of a write that is outstanding or whose answer was lost
 * @drafted_at: the object's version that this write expects
 */
struct pgw_claim_slot {
    char *name;
    enum pgw_claim_slot_state state;
    char nonce[PGW_CLAIM_NONCE_SIZE];
    uint64_t claimed_us;
    uint64_t ended_us;
    uint64_t created_us;
    uint64_t runner;
    struct pgw_claim_record *record;
    struct pgw_list waiters;
    bool dirty;
    bool inquiry;
    bool drafted;
    uint64_t drafted_at;
};

/** struct pgw_claim_waiter - a pending call */
struct pgw_claim_waiter {
    struct pgw_list link;
    struct pgw_claim_slot *slot;
    uint64_t ticket;
    uint64_t deadline_us;
    uint64_t patience_us;
};

/**
 * struct pgw_claim_shard - machine of one object
 * @slots: name to &struct pgw_claim_slot
 * @waiters: ticket to &struct pgw_claim_waiter
 * @runners: ticket to &struct pgw_claim_slot
 * @base: the value at @version, as last known
 * @draft: the value of the outstanding write
 * @read_wanted: the store's value must be read before the next write
 * @window_floor_us: start of the newest window that any write asked for
 * @down: the last operation failed
 */
struct pgw_claim_shard {
    struct pgw_claim_options options;
    GHashTable *slots;
    GHashTable *waiters;
    GHashTable *runners;
    struct pgw_list decisions;
    struct pgw_claim_object *base;
    struct pgw_claim_object *draft;
    uint64_t version;
    enum pgw_io_kind outstanding;
    bool read_wanted;
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

/** pgw_claim__refusal() - a decision to refuse */
struct pgw_claim_decision
pgw_claim__refusal(uint64_t ticket, enum pgw_refusal reason, enum pgw_ran ran);

/** pgw_claim__record_decision() - what a record says to a repeat of its key */
struct pgw_claim_decision
pgw_claim__record_decision(uint64_t ticket,
                           const struct pgw_claim_record *record);

/** pgw_claim__queue() - let pgw_claim_next_decision() give a decision */
void pgw_claim__queue(struct pgw_claim_shard *shard,
                      struct pgw_claim_decision decision);

struct pgw_claim_waiter *pgw_claim__first_waiter(struct pgw_claim_slot *slot);
void pgw_claim__waiter_free(struct pgw_claim_shard *shard,
                            struct pgw_claim_waiter *waiter);
void pgw_claim__set_runner(struct pgw_claim_shard *shard,
                           struct pgw_claim_slot *slot, uint64_t ticket);

/** pgw_claim__grant() - the claim stands: the first that still waits runs */
void pgw_claim__grant(struct pgw_claim_shard *shard,
                      struct pgw_claim_slot *slot);

/** pgw_claim__answer_all() - tell all that wait what the record says */
void pgw_claim__answer_all(struct pgw_claim_shard *shard,
                           struct pgw_claim_slot *slot,
                           const struct pgw_claim_record *record);

/** pgw_claim__is_own() - a claim of this very process, so it did not run */
bool pgw_claim__is_own(const struct pgw_claim_shard *shard,
                       const struct pgw_claim_record *record);

/** pgw_claim__keep_abandoned() - false: nobody needs the slot any more */
bool pgw_claim__keep_abandoned(struct pgw_claim_slot *slot);

/** pgw_claim__settle() - compare all slots with a new @base */
void pgw_claim__settle(struct pgw_claim_shard *shard);

/** pgw_claim__store_failed() - decide what cannot wait for the store */
void pgw_claim__store_failed(struct pgw_claim_shard *shard);

/** pgw_claim__expire() - refuse calls that waited too long */
void pgw_claim__expire(struct pgw_claim_shard *shard);

/** pgw_claim__window_is_mine() - may decide a key from memory alone */
bool pgw_claim__window_is_mine(const struct pgw_claim_shard *shard,
                               uint64_t created_us);

/** pgw_claim__window_is_foreign() - only another process may decide a key */
bool pgw_claim__window_is_foreign(const struct pgw_claim_shard *shard,
                                  uint64_t created_us);

/** pgw_claim__window_is_due() - the own window must be extended or removed */
bool pgw_claim__window_is_due(const struct pgw_claim_shard *shard);

/** pgw_claim__window_draft() - put the own window into a draft */
void pgw_claim__window_draft(struct pgw_claim_shard *shard,
                             struct pgw_claim_object *draft);

#endif
