#include "claim_shard.h"

#include <string.h>

static void
refuse_waiters(struct pgw_claim_shard *shard, struct pgw_claim_slot *slot,
               enum pgw_refusal reason, enum pgw_ran ran)
{
    struct pgw_claim_waiter *waiter;

    while ((waiter = pgw_claim__first_waiter(slot)) != NULL) {
        pgw_claim__queue_decision(
            shard, pgw_claim__refusal(waiter->ticket, reason, ran));
        pgw_claim__waiter_free(shard, waiter);
    }
}

/*
 * A claim of this incarnation that has no slot was abandoned before it ran: a
 * slot whose call may have run is kept until the store holds its outcome.
 * Records of any other incarnation, also of an earlier incarnation of the same
 * process, belong to another owner.
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
is_slot_claim(const struct pgw_claim_shard *shard,
              const struct pgw_claim_slot *slot,
              const struct pgw_claim_record *record)
{
    return record != NULL && record->owner == shard->options.owner &&
           strcmp(record->nonce, slot->nonce) == 0;
}

/* Each reconcile_* returns false when the slot is no longer needed. */
static bool
reconcile_claiming(struct pgw_claim_shard *shard, struct pgw_claim_slot *slot,
                   const struct pgw_claim_record *record)
{
    if (pgw_claim__first_waiter(slot) == NULL) {
        return false;
    }
    if (is_slot_claim(shard, slot, record)) {
        slot->dirty = false;
        pgw_claim__grant(shard, slot);
        return true;
    }
    if (record != NULL && !pgw_claim__is_own(shard, record)) {
        pgw_claim__answer_waiters(shard, slot, record);
        return false;
    }
    if (record == NULL &&
        pgw_claim__window_is_foreign(shard, slot->created_us)) {
        refuse_waiters(shard, slot, PGW_REFUSAL_DUPLICATE, PGW_RAN_UNKNOWN);
        return false;
    }
    slot->needs_recheck = false;
    slot->dirty = true;
    return true;
}

static bool
reconcile_ended(struct pgw_claim_shard *shard, struct pgw_claim_slot *slot,
                const struct pgw_claim_record *record)
{
    if (is_slot_claim(shard, slot, record) &&
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
 * Failure: a claim is abandoned because its write seemed lost, and the write
 * reaches the store after the read that did not find it. Symptom: the caller
 * was refused as not run and retries, but another process refuses the key as a
 * duplicate permanently, while this process has no slot for it. The store
 * rejects a write that expects an older version, so the slot is kept until
 * there is a newer version; the write that releases the key creates it.
 */
static bool
may_still_be_applied(const struct pgw_claim_shard *shard,
                     const struct pgw_claim_slot *slot)
{
#ifdef PGW_DISABLE_CLAIM_LATE
    (void)shard;
    (void)slot;
    return false;
#else
    return slot->is_drafted && slot->drafted_version == shard->version;
#endif
}

static bool
reconcile_slot(struct pgw_claim_shard *shard, struct pgw_claim_slot *slot)
{
    const struct pgw_claim_record *record =
        pgw_claim__object_get(shard->base, slot->name);

    switch (slot->state) {
    case PGW_SLOT_CLAIMING:
        return reconcile_claiming(shard, slot, record);
    case PGW_SLOT_RUNNING:
        slot->dirty = !is_slot_claim(shard, slot, record);
        if (record != NULL && !pgw_claim__is_own(shard, record)) {
            shard->stats.faults++;
            slot->dirty = false;
        }
        return true;
    case PGW_SLOT_RELEASED:
        slot->dirty = may_still_be_applied(shard, slot) ||
                      (record != NULL && pgw_claim__is_own(shard, record) &&
                       record->owner == shard->options.owner);
        return slot->dirty;
    default:
        return reconcile_ended(shard, slot, record);
    }
}

/* Frees the slots for which @keep returns false. */
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
pgw_claim__reconcile(struct pgw_claim_shard *shard)
{
    filter_slots(shard, reconcile_slot);
}

/* The write of the abandoned claim may be in flight. */
bool
pgw_claim__release_abandoned(struct pgw_claim_slot *slot)
{
    if (pgw_claim__first_waiter(slot) != NULL ||
        slot->state != PGW_SLOT_CLAIMING) {
        return true;
    }
    slot->state = PGW_SLOT_RELEASED;
    slot->dirty = slot->is_drafted;
    return slot->is_drafted;
}

/*
 * Whether the call of an undecided key may have run. The last known record or
 * window may be outdated, but a claimed key never becomes free again.
 */
static enum pgw_ran
pending_ran(const struct pgw_claim_shard *shard,
            const struct pgw_claim_slot *slot)
{
    const struct pgw_claim_record *record =
        pgw_claim__object_get(shard->base, slot->name);

    return slot->needs_recheck ||
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
    pgw_claim__queue_decision(shard, decision);
    pgw_claim__waiter_free(shard, waiter);
}

static bool
may_run_without_store(const struct pgw_claim_shard *shard,
                      const struct pgw_claim_slot *slot)
{
    const struct pgw_claim_record *record =
        pgw_claim__object_get(shard->base, slot->name);

    return (record == NULL || pgw_claim__is_own(shard, record)) &&
           pgw_claim__window_is_own(shard, slot->created_us);
}

static bool
fail_slot(struct pgw_claim_shard *shard, struct pgw_claim_slot *slot)
{
    if (slot->state != PGW_SLOT_CLAIMING) {
        return true;
    }
    if (pgw_claim__first_waiter(slot) != NULL &&
        may_run_without_store(shard, slot)) {
        slot->dirty = true;
        pgw_claim__grant(shard, slot);
        return true;
    }
    while (pgw_claim__first_waiter(slot) != NULL) {
        refuse_pending(shard, slot, pgw_claim__first_waiter(slot),
                       PGW_REFUSAL_STORE_DOWN);
    }
    return pgw_claim__release_abandoned(slot);
}

void
pgw_claim__handle_store_failure(struct pgw_claim_shard *shard)
{
    filter_slots(shard, fail_slot);
}

/* Recurses at most once for a slot, after a grant. */
static bool
expire_slot(struct pgw_claim_shard *shard, struct pgw_claim_slot *slot)
{
    pgw_list_foreach_safe (link, &slot->waiters) {
        struct pgw_claim_waiter *waiter =
            pgw_container_of(link, struct pgw_claim_waiter, link);
        bool is_late = shard->now_us >= waiter->deadline_us;
        bool is_claiming = slot->state == PGW_SLOT_CLAIMING;

        if (is_late) {
            refuse_pending(shard, slot, waiter, PGW_REFUSAL_DEADLINE);
        }
        else if (is_claiming && shard->now_us >= waiter->refuse_at_us) {
            if (may_run_without_store(shard, slot)) {
                slot->dirty = true;
                pgw_claim__grant(shard, slot);
                return expire_slot(shard, slot);
            }
            refuse_pending(shard, slot, waiter, PGW_REFUSAL_STORE_DOWN);
        }
        else {
            shard->expire_us =
                MIN(shard->expire_us, is_claiming ? MIN(waiter->deadline_us,
                                                        waiter->refuse_at_us)
                                                  : waiter->deadline_us);
        }
    }
    return pgw_claim__release_abandoned(slot);
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
