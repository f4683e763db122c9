#include "claim_shard.h"

#include <string.h>

static void
refuse_all(struct pgw_claim_shard *shard, struct pgw_claim_slot *slot,
           enum pgw_refusal reason, enum pgw_ran ran)
{
    struct pgw_claim_waiter *waiter;

    while ((waiter = pgw_claim__first_waiter(slot)) != NULL) {
        pgw_claim__queue(shard,
                         pgw_claim__refusal(waiter->ticket, reason, ran));
        pgw_claim__waiter_free(shard, waiter);
    }
}

/*
 * This process's own claim that is not in its memory was given up before it
 * ran: every slot that may have run stays in memory until its end stands in
 * the store. Records of any other incarnation, also of an earlier one of the
 * same process, are somebody else's.
 */
bool
pgw_claim__is_own(const struct pgw_claim_shard *shard,
                  const struct pgw_claim_record *record)
{
#ifdef PGW_DISABLE_CLAIM_OWNER
    return record->state == PGW_CLAIM_CLAIMED;
#else
    return record->state == PGW_CLAIM_CLAIMED &&
           record->owner == shard->options.owner;
#endif
}

static bool
is_this_claim(const struct pgw_claim_shard *shard,
              const struct pgw_claim_slot *slot,
              const struct pgw_claim_record *record)
{
    return record != NULL && record->owner == shard->options.owner &&
           strcmp(record->nonce, slot->nonce) == 0;
}

/* Each settle_* returns false when the slot is no longer needed. */
static bool
settle_asking(struct pgw_claim_shard *shard, struct pgw_claim_slot *slot,
              const struct pgw_claim_record *record)
{
    if (pgw_claim__first_waiter(slot) == NULL) {
        return false;
    }
    if (is_this_claim(shard, slot, record)) {
        slot->dirty = false;
        pgw_claim__grant(shard, slot);
        return true;
    }
    if (record != NULL && !pgw_claim__is_own(shard, record)) {
        pgw_claim__answer_all(shard, slot, record);
        return false;
    }
    if (record == NULL &&
        pgw_claim__window_is_foreign(shard, slot->created_us)) {
        refuse_all(shard, slot, PGW_REFUSAL_DUPLICATE, PGW_RAN_UNKNOWN);
        return false;
    }
    slot->inquiry = false;
    slot->dirty = true;
    return true;
}

static bool
settle_ended(struct pgw_claim_shard *shard, struct pgw_claim_slot *slot,
             const struct pgw_claim_record *record)
{
    if (is_this_claim(shard, slot, record) &&
        record->state != PGW_CLAIM_CLAIMED) {
        return false;
    }
    if (record != NULL && !pgw_claim__is_own(shard, record)) {
        shard->stats.faults++;
        return false;
    }
    slot->dirty = true;
    return true;
}

/*
 * Failure: a claim is given up after its write was lost on the way, and the
 * write reaches the store after the read that did not find it. Symptom: the
 * caller was told "not run, ask again", and is told "duplicate" for good by
 * another process, while this one has forgotten the key. No write that
 * expects a version lands once there is a newer one, so the key is kept until
 * then; the write that frees it makes the newer version.
 */
static bool
may_yet_land(const struct pgw_claim_shard *shard,
             const struct pgw_claim_slot *slot)
{
#ifdef PGW_DISABLE_CLAIM_LATE
    (void)shard;
    (void)slot;
    return false;
#else
    return slot->drafted && slot->drafted_at == shard->version;
#endif
}

static bool
settle_slot(struct pgw_claim_shard *shard, struct pgw_claim_slot *slot)
{
    const struct pgw_claim_record *record =
        pgw_claim__object_get(shard->base, slot->name);

    switch (slot->state) {
    case PGW_SLOT_ASKING:
        return settle_asking(shard, slot, record);
    case PGW_SLOT_RUNNING:
        slot->dirty = !is_this_claim(shard, slot, record);
        if (record != NULL && !pgw_claim__is_own(shard, record)) {
            shard->stats.faults++;
            slot->dirty = false;
        }
        return true;
    case PGW_SLOT_RELEASED:
        slot->dirty = may_yet_land(shard, slot) ||
                      (record != NULL && pgw_claim__is_own(shard, record) &&
                       record->owner == shard->options.owner);
        return slot->dirty;
    default:
        return settle_ended(shard, slot, record);
    }
}

/* Goes over all slots and drops those that are no longer needed. */
static void
filter_slots(struct pgw_claim_shard *shard,
             bool (*keep)(struct pgw_claim_shard *shard,
                          struct pgw_claim_slot *slot))
{
    GHashTableIter iter;
    gpointer slot;

    g_hash_table_iter_init(&iter, shard->slots);
    while (g_hash_table_iter_next(&iter, NULL, &slot)) {
        if (!keep(shard, slot)) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

void
pgw_claim__settle(struct pgw_claim_shard *shard)
{
    filter_slots(shard, settle_slot);
}

/* A pending call gives up: the claim may be on its way into the store. */
bool
pgw_claim__keep_abandoned(struct pgw_claim_slot *slot)
{
    if (pgw_claim__first_waiter(slot) != NULL ||
        slot->state != PGW_SLOT_ASKING) {
        return true;
    }
    slot->state = PGW_SLOT_RELEASED;
    slot->dirty = slot->drafted;
    return slot->drafted;
}

/*
 * What may be said of a key that the store has not answered for. The record
 * or window seen last may be old, but a key once taken is never free again.
 */
static enum pgw_ran
pending_ran(const struct pgw_claim_shard *shard,
            const struct pgw_claim_slot *slot)
{
    const struct pgw_claim_record *record =
        pgw_claim__object_get(shard->base, slot->name);

    return slot->inquiry ||
                   (record != NULL && !pgw_claim__is_own(shard, record))
               ? PGW_RAN_UNKNOWN
               : PGW_RAN_NO;
}

static void
refuse_pending(struct pgw_claim_shard *shard, struct pgw_claim_slot *slot,
               struct pgw_claim_waiter *waiter, enum pgw_refusal reason)
{
    enum pgw_ran ran = slot->state == PGW_SLOT_RUNNING
                           ? PGW_RAN_UNKNOWN
                           : pending_ran(shard, slot);
    struct pgw_claim_decision decision;

    if (ran != PGW_RAN_NO && reason == PGW_REFUSAL_STORE_DOWN) {
        reason = PGW_REFUSAL_DUPLICATE;
    }
    decision = pgw_claim__refusal(waiter->ticket, reason, ran);
    if (reason == PGW_REFUSAL_STORE_DOWN) {
        decision.retry_after_ms =
            (uint32_t)(shard->options.backoff_max_us / 1000);
    }
    pgw_claim__queue(shard, decision);
    pgw_claim__waiter_free(shard, waiter);
}

static bool
may_run_from_memory(const struct pgw_claim_shard *shard,
                    const struct pgw_claim_slot *slot)
{
    const struct pgw_claim_record *record =
        pgw_claim__object_get(shard->base, slot->name);

    return (record == NULL || pgw_claim__is_own(shard, record)) &&
           pgw_claim__window_is_mine(shard, slot->created_us);
}

static bool
fail_slot(struct pgw_claim_shard *shard, struct pgw_claim_slot *slot)
{
    if (slot->state != PGW_SLOT_ASKING) {
        return true;
    }
    if (pgw_claim__first_waiter(slot) != NULL &&
        may_run_from_memory(shard, slot)) {
        slot->dirty = true;
        pgw_claim__grant(shard, slot);
        return true;
    }
    while (pgw_claim__first_waiter(slot) != NULL) {
        refuse_pending(shard, slot, pgw_claim__first_waiter(slot),
                       PGW_REFUSAL_STORE_DOWN);
    }
    return pgw_claim__keep_abandoned(slot);
}

void
pgw_claim__store_failed(struct pgw_claim_shard *shard)
{
    filter_slots(shard, fail_slot);
}

/* Runs at most twice over one slot: once more after a grant. */
static bool
expire_slot(struct pgw_claim_shard *shard, struct pgw_claim_slot *slot)
{
    pgw_list_foreach_safe (link, &slot->waiters) {
        struct pgw_claim_waiter *waiter =
            pgw_container_of(link, struct pgw_claim_waiter, link);
        bool late = shard->now_us >= waiter->deadline_us;
        bool asking = slot->state == PGW_SLOT_ASKING;

        if (late) {
            refuse_pending(shard, slot, waiter, PGW_REFUSAL_DEADLINE);
        }
        else if (asking && shard->now_us >= waiter->patience_us) {
            if (may_run_from_memory(shard, slot)) {
                slot->dirty = true;
                pgw_claim__grant(shard, slot);
                return expire_slot(shard, slot);
            }
            refuse_pending(shard, slot, waiter, PGW_REFUSAL_STORE_DOWN);
        }
        else {
            shard->expire_us =
                MIN(shard->expire_us,
                    asking ? MIN(waiter->deadline_us, waiter->patience_us)
                           : waiter->deadline_us);
        }
    }
    return pgw_claim__keep_abandoned(slot);
}

void
pgw_claim__expire(struct pgw_claim_shard *shard)
{
    if (shard->now_us < shard->expire_us) {
        return;
    }
    shard->expire_us = UINT64_MAX;
    filter_slots(shard, expire_slot);
}
