#include "claim_shard.h"

#include <string.h>

/** Size assumed for a new claim until its record exists. */
#define CLAIM_RESERVE_BYTES 256

/** struct queued_decision - a decision for pgw_claim_next_decision() */
struct queued_decision {
    struct pgw_list link;
    struct pgw_claim_decision decision;
};

static void
slot_free(gpointer data)
{
    struct pgw_claim_slot *slot = data;

    pgw_claim__record_unref(slot->record);
    g_free(slot->name);
    g_free(slot);
}

struct pgw_claim_shard *
pgw_claim_shard_new(const struct pgw_claim_options *options)
{
    struct pgw_claim_shard *shard = g_new0(struct pgw_claim_shard, 1);

    shard->options = *options;
    shard->slots =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, slot_free);
    shard->waiters =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    shard->running_slots =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    shard->base = pgw_claim__object_new();
    shard->expire_us = UINT64_MAX;
    pgw_list_init(&shard->decisions);
    return shard;
}

void
pgw_claim_shard_free(struct pgw_claim_shard *shard)
{
    if (shard == NULL) {
        return;
    }
    pgw_list_foreach_safe (link, &shard->decisions) {
        struct queued_decision *queued =
            pgw_container_of(link, struct queued_decision, link);

        pgw_claim_decision_dispose(&queued->decision);
        g_free(queued);
    }
    pgw_claim__object_free(shard->draft);
    pgw_claim__object_free(shard->base);
    g_hash_table_destroy(shard->running_slots);
    g_hash_table_destroy(shard->waiters);
    g_hash_table_destroy(shard->slots);
    g_free(shard);
}

void
pgw_claim_decision_dispose(struct pgw_claim_decision *decision)
{
    g_clear_pointer(&decision->content_type, g_free);
    g_clear_pointer(&decision->body, g_bytes_unref);
}

struct pgw_claim_decision
pgw_claim__refusal(uint64_t ticket, enum pgw_refusal reason, enum pgw_ran ran)
{
    return (struct pgw_claim_decision){
        .action = PGW_CLAIM_REFUSE,
        .ticket = ticket,
        .refusal = reason,
        .ran = ran,
    };
}

struct pgw_claim_decision
pgw_claim__record_decision(uint64_t ticket,
                           const struct pgw_claim_record *record)
{
    if (record->state != PGW_CLAIM_DONE) {
        return pgw_claim__refusal(ticket, PGW_REFUSAL_DUPLICATE,
                                  PGW_RAN_UNKNOWN);
    }
    if (record->body == NULL) {
        return pgw_claim__refusal(ticket, PGW_REFUSAL_DUPLICATE, PGW_RAN_YES);
    }
    return (struct pgw_claim_decision){
        .action = PGW_CLAIM_REPLAY,
        .ticket = ticket,
        .status = record->status,
        .content_type = g_strdup(record->content_type),
        .body = g_bytes_ref(record->body),
    };
}

static void
count_decision(struct pgw_claim_shard *shard,
               const struct pgw_claim_decision *decision)
{
    switch (decision->action) {
    case PGW_CLAIM_RUN:
        shard->stats.claims++;
        break;
    case PGW_CLAIM_REPLAY:
        shard->stats.replays++;
        break;
    case PGW_CLAIM_REFUSE:
        shard->stats.refused++;
        break;
    case PGW_CLAIM_PENDING:
        break;
    }
}

void
pgw_claim__queue_decision(struct pgw_claim_shard *shard,
                          struct pgw_claim_decision decision)
{
    struct queued_decision *queued = g_new0(struct queued_decision, 1);

    count_decision(shard, &decision);
    queued->decision = decision;
    pgw_list_append(&shard->decisions, &queued->link);
}

bool
pgw_claim_next_decision(struct pgw_claim_decision *out,
                        struct pgw_claim_shard *shard)
{
    struct pgw_list *link = pgw_list_first(&shard->decisions);
    struct queued_decision *queued;

    if (link == NULL) {
        return false;
    }
    queued = pgw_container_of(link, struct queued_decision, link);
    pgw_list_remove(link);
    *out = queued->decision;
    g_free(queued);
    return true;
}

struct pgw_claim_waiter *
pgw_claim__first_waiter(struct pgw_claim_slot *slot)
{
    struct pgw_list *link = pgw_list_first(&slot->waiters);

    return link != NULL ? pgw_container_of(link, struct pgw_claim_waiter, link)
                        : NULL;
}

void
pgw_claim__waiter_free(struct pgw_claim_shard *shard,
                       struct pgw_claim_waiter *waiter)
{
    pgw_list_remove(&waiter->link);
    g_hash_table_remove(shard->waiters, &waiter->ticket);
}

static void
waiter_add(struct pgw_claim_shard *shard, struct pgw_claim_slot *slot,
           const struct pgw_claim_request *request)
{
    struct pgw_claim_waiter *waiter = g_new0(struct pgw_claim_waiter, 1);

    waiter->slot = slot;
    waiter->ticket = request->ticket;
    waiter->deadline_us = request->deadline_us;
    waiter->refuse_at_us = shard->now_us + shard->options.decision_timeout_us;
    pgw_list_append(&slot->waiters, &waiter->link);
    g_hash_table_insert(shard->waiters, &waiter->ticket, waiter);
    shard->expire_us =
        MIN(shard->expire_us, MIN(waiter->deadline_us, waiter->refuse_at_us));
}

void
pgw_claim__set_running(struct pgw_claim_shard *shard,
                       struct pgw_claim_slot *slot, uint64_t ticket)
{
    uint64_t *key = g_memdup2(&ticket, sizeof(ticket));

    slot->state = PGW_SLOT_RUNNING;
    slot->running_ticket = ticket;
    g_hash_table_replace(shard->running_slots, key, slot);
}

void
pgw_claim__grant(struct pgw_claim_shard *shard, struct pgw_claim_slot *slot)
{
    struct pgw_claim_waiter *waiter = pgw_claim__first_waiter(slot);
    struct pgw_claim_decision decision = {
        .action = PGW_CLAIM_RUN,
        .ticket = waiter->ticket,
    };

    pgw_claim__set_running(shard, slot, waiter->ticket);
    pgw_claim__waiter_free(shard, waiter);
    pgw_claim__queue_decision(shard, decision);
}

void
pgw_claim__answer_waiters(struct pgw_claim_shard *shard,
                          struct pgw_claim_slot *slot,
                          const struct pgw_claim_record *record)
{
    struct pgw_claim_waiter *waiter;

    while ((waiter = pgw_claim__first_waiter(slot)) != NULL) {
        pgw_claim__queue_decision(
            shard, pgw_claim__record_decision(waiter->ticket, record));
        pgw_claim__waiter_free(shard, waiter);
    }
}

static struct pgw_claim_slot *
slot_add(struct pgw_claim_shard *shard, const char *name,
         const struct pgw_claim_request *request)
{
    struct pgw_claim_slot *slot = g_new0(struct pgw_claim_slot, 1);

    slot->name = g_strdup(name);
    slot->created_us = pgw_claim_key_created_us(request->key);
    pgw_list_init(&slot->waiters);
    g_hash_table_insert(shard->slots, slot->name, slot);
    return slot;
}

/* Each claim needs a new nonce: a write that removes an earlier claim of the
 * key may still be in flight. */
static void
slot_start_claim(struct pgw_claim_shard *shard, struct pgw_claim_slot *slot,
                 const struct pgw_claim_request *request)
{
    char *end = slot->nonce;

    for (size_t i = 0; i < PGW_REQUEST_ID_SIZE; i++) {
        end += g_snprintf(end, 3, "%02x", request->request.bytes[i]);
    }
    g_snprintf(end, 12, ".%u", request->attempt);
    slot->state = PGW_SLOT_CLAIMING;
    slot->claimed_us = shard->now_us;
    slot->dirty = true;
    waiter_add(shard, slot, request);
}

static bool
is_full(const struct pgw_claim_shard *shard)
{
    size_t slots = g_hash_table_size(shard->slots);

    /* A quarter of the object is reserved for the answers of running calls. */
    return slots >= shard->options.slots_max ||
           shard->base->bytes + slots * CLAIM_RESERVE_BYTES >
               shard->options.object_max / 4 * 3;
}

/**
 * request_claim() - claim a key that this process has no outcome of
 * @slot: the key's slot, NULL: none yet
 * @needs_recheck: the last known value has a record or window of another
 *                 process for the key
 */
static struct pgw_claim_decision
request_claim(struct pgw_claim_shard *shard, struct pgw_claim_slot *slot,
              const char *name, const struct pgw_claim_request *request,
              bool needs_recheck)
{
    struct pgw_claim_decision decision = {
        .action = PGW_CLAIM_PENDING,
        .ticket = request->ticket,
    };
    bool store_is_down = shard->down && shard->now_us < shard->retry_us;
    bool window_is_own =
        !needs_recheck && pgw_claim__window_is_own(
                              shard, pgw_claim_key_created_us(request->key));

    if (store_is_down && !window_is_own) {
        decision = pgw_claim__refusal(
            request->ticket,
            needs_recheck ? PGW_REFUSAL_DUPLICATE : PGW_REFUSAL_STORE_DOWN,
            needs_recheck ? PGW_RAN_UNKNOWN : PGW_RAN_NO);
        decision.retry_after_ms =
            (uint32_t)((shard->retry_us - shard->now_us) / 1000 + 1);
        return decision;
    }
    if (slot == NULL) {
        slot = slot_add(shard, name, request);
    }
    slot_start_claim(shard, slot, request);
    slot->needs_recheck = needs_recheck;
    slot->dirty = !needs_recheck;
    shard->read_required = shard->read_required || needs_recheck;
    if (store_is_down) {
        pgw_claim__waiter_free(shard, pgw_claim__first_waiter(slot));
        pgw_claim__set_running(shard, slot, request->ticket);
        decision.action = PGW_CLAIM_RUN;
    }
    return decision;
}

static struct pgw_claim_decision
begin_in_slot(struct pgw_claim_shard *shard, struct pgw_claim_slot *slot,
              const struct pgw_claim_request *request)
{
    struct pgw_claim_decision pending = {
        .action = PGW_CLAIM_PENDING,
        .ticket = request->ticket,
    };

    switch (slot->state) {
    case PGW_SLOT_FINISHED:
    case PGW_SLOT_LOST:
        return pgw_claim__record_decision(request->ticket, slot->record);
    case PGW_SLOT_RELEASED:
        if (shard->closing) {
            return pgw_claim__refusal(request->ticket, PGW_REFUSAL_LEAVING,
                                      PGW_RAN_NO);
        }
        return request_claim(shard, slot, NULL, request, false);
    default:
        waiter_add(shard, slot, request);
        return pending;
    }
}

static struct pgw_claim_decision
begin(struct pgw_claim_shard *shard, const struct pgw_claim_request *request)
{
    uint64_t created_us = pgw_claim_key_created_us(request->key);
    uint64_t ticket = request->ticket;
    struct pgw_claim_record *record;
    struct pgw_claim_decision decision;
    struct pgw_claim_slot *slot;
    char name[2 * PGW_CLAIM_KEY_MAX];

#ifndef PGW_DISABLE_CLAIM_EXPIRED
    /*
     * Failure: a key is sent again after its record was deleted. Symptom: the
     * missing record looks like an unused key, and the call runs again. The
     * key contains its creation time, so it is refused without a record.
     */
    if (created_us != 0 &&
        created_us + shard->options.retention_us < shard->now_us) {
        return pgw_claim__refusal(ticket, PGW_REFUSAL_EXPIRED,
                                  PGW_RAN_UNKNOWN);
    }
#endif
    g_snprintf(name, sizeof(name), "%s %s", request->workspace, request->key);
    slot = g_hash_table_lookup(shard->slots, name);
    if (slot != NULL) {
        return begin_in_slot(shard, slot, request);
    }
    record = pgw_claim__object_get(shard->base, name);
    if (record != NULL && record->state != PGW_CLAIM_CLAIMED) {
        return pgw_claim__record_decision(ticket, record);
    }
    if (shard->closing || is_full(shard)) {
        decision = pgw_claim__refusal(
            ticket,
            shard->closing ? PGW_REFUSAL_LEAVING : PGW_REFUSAL_OVERLOADED,
            record != NULL && !pgw_claim__is_own(shard, record)
                ? PGW_RAN_UNKNOWN
                : PGW_RAN_NO);
        return decision;
    }
    return request_claim(
        shard, NULL, name, request,
        (record != NULL && !pgw_claim__is_own(shard, record)) ||
            (record == NULL &&
             pgw_claim__window_is_foreign(shard, created_us)));
}

void
pgw_claim_begin(struct pgw_claim_decision *out, struct pgw_claim_shard *shard,
                const struct pgw_claim_request *request, uint64_t now_us)
{
    shard->now_us = MAX(shard->now_us, now_us);
    *out = begin(shard, request);
    count_decision(shard, out);
}

static struct pgw_claim_slot *
take_running_slot(struct pgw_claim_shard *shard, uint64_t ticket,
                  uint64_t now_us)
{
    struct pgw_claim_slot *slot =
        g_hash_table_lookup(shard->running_slots, &ticket);

    shard->now_us = MAX(shard->now_us, now_us);
    if (slot != NULL) {
        g_hash_table_remove(shard->running_slots, &ticket);
        slot->running_ticket = 0;
        slot->ended_us = shard->now_us;
    }
    return slot;
}

static void
end_run(struct pgw_claim_shard *shard, struct pgw_claim_slot *slot,
        enum pgw_claim_slot_state state, enum pgw_claim_state recorded,
        const struct pgw_claim_answer *answer)
{
    slot->state = state;
    slot->record =
        pgw_claim__record_new(recorded, slot->name, shard->options.owner,
                              slot->nonce, slot->claimed_us, answer);
    slot->dirty = true;
    pgw_claim__answer_waiters(shard, slot, slot->record);
}

bool
pgw_claim_finish(struct pgw_claim_shard *shard, uint64_t ticket,
                 const struct pgw_claim_answer *answer, uint64_t now_us)
{
    struct pgw_claim_slot *slot = take_running_slot(shard, ticket, now_us);
    struct pgw_claim_answer recorded = *answer;
    GBytes *empty = NULL;

    if (slot == NULL) {
        return false;
    }
    if (recorded.body == NULL) {
        empty = g_bytes_new_static("", 0);
        recorded.body = empty;
    }
    if (g_bytes_get_size(recorded.body) > shard->options.body_max) {
        recorded.body = NULL;
    }
    end_run(shard, slot, PGW_SLOT_FINISHED, PGW_CLAIM_DONE, &recorded);
    g_clear_pointer(&empty, g_bytes_unref);
    return true;
}

bool
pgw_claim_release(struct pgw_claim_shard *shard, uint64_t ticket,
                  uint64_t now_us)
{
    struct pgw_claim_slot *slot = take_running_slot(shard, ticket, now_us);

    if (slot == NULL) {
        return false;
    }
    if (pgw_claim__first_waiter(slot) != NULL) {
        pgw_claim__grant(shard, slot);
        return true;
    }
    slot->state = PGW_SLOT_RELEASED;
    slot->dirty = true;
    return true;
}

bool
pgw_claim_mark_lost(struct pgw_claim_shard *shard, uint64_t ticket,
                    uint64_t now_us)
{
    struct pgw_claim_slot *slot;

#ifdef PGW_DISABLE_CLAIM_LOST
    return pgw_claim_release(shard, ticket, now_us);
#endif
    /*
     * Failure: the upstream crashes while it runs the call. Symptom if the
     * key is released: a retry runs a second time. The key is recorded as
     * lost, and no process ever changes that record.
     */
    slot = take_running_slot(shard, ticket, now_us);
    if (slot == NULL) {
        return false;
    }
    end_run(shard, slot, PGW_SLOT_LOST, PGW_CLAIM_LOST, NULL);
    return true;
}

bool
pgw_claim_cancel(struct pgw_claim_shard *shard, uint64_t ticket,
                 uint64_t now_us)
{
    struct pgw_claim_waiter *waiter =
        g_hash_table_lookup(shard->waiters, &ticket);
    struct pgw_claim_slot *slot;

    shard->now_us = MAX(shard->now_us, now_us);
    if (waiter == NULL) {
        return false;
    }
    slot = waiter->slot;
    pgw_claim__waiter_free(shard, waiter);
    if (!pgw_claim__release_abandoned(slot)) {
        g_hash_table_remove(shard->slots, slot->name);
    }
    return true;
}
