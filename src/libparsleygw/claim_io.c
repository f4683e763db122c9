#include "claim_shard.h"

/** Bytes of an object that are neither entries nor windows, and some room. */
#define OBJECT_MARGIN 4096

static void
draft_slot(struct pgw_claim_shard *shard, struct pgw_claim_slot *slot)
{
    struct pgw_claim_record *record = NULL;

    switch (slot->state) {
    case PGW_SLOT_ASKING:
    case PGW_SLOT_RUNNING:
        record = pgw_claim__record_new(PGW_CLAIM_CLAIMED, slot->name,
                                       shard->options.owner, slot->nonce,
                                       slot->claimed_us, NULL);
        break;
    case PGW_SLOT_FINISHED:
        if (shard->draft->bytes + slot->record->json_length + OBJECT_MARGIN >
            shard->options.object_max) {
            record = pgw_claim__record_without_body(slot->record);
            break;
        }
        record = pgw_claim__record_ref(slot->record);
        break;
    case PGW_SLOT_LOST:
        record = pgw_claim__record_ref(slot->record);
        break;
    case PGW_SLOT_RELEASED:
        pgw_claim__object_remove(shard->draft, slot->name);
        break;
    }
    if (record != NULL) {
        pgw_claim__object_put(shard->draft, record);
    }
    slot->drafted = true;
    slot->drafted_at = shard->version;
}

/* A token bucket: a quiet time saves up some writes, never more. */
static void
pace(struct pgw_claim_shard *shard)
{
    uint64_t interval = shard->options.write_interval_us;
    uint64_t saved = interval * shard->options.write_burst;

    shard->next_write_us =
        MAX(shard->next_write_us, shard->now_us - MIN(shard->now_us, saved)) +
        interval;
}

static void
take_write(struct pgw_io *out, struct pgw_claim_shard *shard)
{
    uint64_t retention = shard->options.retention_us;
    GHashTableIter iter;
    gpointer value;

    shard->draft = pgw_claim__object_copy(shard->base);
    pgw_claim__object_compact(shard->draft,
                              shard->now_us - MIN(shard->now_us, retention));
    g_hash_table_iter_init(&iter, shard->slots);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct pgw_claim_slot *slot = value;

        if (slot->dirty) {
            draft_slot(shard, slot);
        }
    }
    pgw_claim__window_draft(shard, shard->draft);
    out->kind = PGW_IO_WRITE;
    out->expected_version = shard->version;
    out->value = pgw_claim__object_print(shard->draft, &out->length);
    pace(shard);
    shard->stats.writes++;
}

/*
 * When a slot wants the store, UINT64_MAX: not. A caller waits for its claim;
 * nobody waits for the record of an outcome, so it shares a later write.
 */
static uint64_t
slot_due(const struct pgw_claim_shard *shard,
         const struct pgw_claim_slot *slot)
{
    if (!slot->dirty && !slot->inquiry) {
        return UINT64_MAX;
    }
    if (slot->state == PGW_SLOT_ASKING || shard->closing) {
        return 0;
    }
    return slot->ended_us + shard->options.lazy_us;
}

static uint64_t
work_due(const struct pgw_claim_shard *shard)
{
    uint64_t due = pgw_claim__window_is_due(shard) ? 0 : UINT64_MAX;
    GHashTableIter iter;
    gpointer slot;

    g_hash_table_iter_init(&iter, shard->slots);
    while (due > 0 && g_hash_table_iter_next(&iter, NULL, &slot)) {
        due = MIN(due, slot_due(shard, slot));
    }
    return due;
}

static uint64_t
due_time(const struct pgw_claim_shard *shard)
{
    uint64_t due;

    if (shard->outstanding != PGW_IO_NONE) {
        return UINT64_MAX;
    }
    due = MAX(work_due(shard), shard->retry_us);
    return shard->read_wanted ? due : MAX(due, shard->next_write_us);
}

bool
pgw_claim_next_io(struct pgw_io *out, struct pgw_claim_shard *shard,
                  uint64_t now_us)
{
    *out = (struct pgw_io){.kind = PGW_IO_NONE};
    shard->now_us = MAX(shard->now_us, now_us);
    pgw_claim__expire(shard);
    if (shard->now_us < due_time(shard)) {
        return false;
    }
    if (shard->read_wanted) {
        out->kind = PGW_IO_READ;
        shard->stats.reads++;
    }
    else {
        take_write(out, shard);
    }
    shard->outstanding = out->kind;
    return true;
}

uint64_t
pgw_claim_next_time(const struct pgw_claim_shard *shard)
{
    uint64_t due = due_time(shard);

    if (shard->options.window_us > 0 && due == UINT64_MAX &&
        shard->outstanding == PGW_IO_NONE && !shard->closing) {
        const struct pgw_claim_window *window =
            pgw_claim__object_window(shard->base, shard->options.owner);

        due = window != NULL ? window->to_us - shard->options.window_us / 2
                             : shard->now_us;
    }
    return MIN(due, shard->expire_us);
}

static void
back_off(struct pgw_claim_shard *shard)
{
    uint64_t wait = shard->options.backoff_us << MIN(shard->failures, 16);

    shard->failures++;
    shard->retry_us = shard->now_us + MIN(wait, shard->options.backoff_max_us);
}

static void
store_failed(struct pgw_claim_shard *shard)
{
    shard->down = true;
    back_off(shard);
    pgw_claim__store_failed(shard);
}

static void
store_answered(struct pgw_claim_shard *shard)
{
    shard->down = false;
    shard->failures = 0;
    shard->retry_us = shard->now_us;
}

static void
replace_base(struct pgw_claim_shard *shard, struct pgw_claim_object *object,
             uint64_t version)
{
    store_answered(shard);
    pgw_claim__object_free(shard->base);
    shard->base = object;
    shard->version = version;
    pgw_claim__settle(shard);
}

static void
adopt(struct pgw_claim_shard *shard, const struct pgw_io_reply *reply)
{
    struct pgw_claim_object *object = NULL;

    /* The store may answer with an older version than it gave before. */
    if (reply->version >= shard->version) {
        object = pgw_claim__object_parse(reply->value, reply->length, NULL);
    }
    if (object == NULL) {
        shard->read_wanted = true;
        store_failed(shard);
        return;
    }
    shard->read_wanted = false;
    replace_base(shard, object, reply->version);
}

static void
accept_draft(struct pgw_claim_shard *shard, uint64_t version)
{
    replace_base(shard, g_steal_pointer(&shard->draft), version);
}

static void
write_done(struct pgw_claim_shard *shard, const struct pgw_io_reply *reply)
{
    switch (reply->result) {
    case PGW_IO_OK:
        accept_draft(shard, reply->version);
        break;
    case PGW_IO_CONFLICT:
        shard->stats.conflicts++;
#ifdef PGW_DISABLE_CLAIM_FENCE
        accept_draft(shard, reply->version);
        break;
#endif
        /*
         * Failure: two processes write the same shard, one of them paused
         * long ago. Symptom without the version check: both run the same key.
         * The loser takes over the winner's value and decides all anew.
         */
        if (reply->value != NULL) {
            adopt(shard, reply);
            break;
        }
        store_answered(shard);
        shard->read_wanted = true;
        break;
    case PGW_IO_THROTTLED:
        back_off(shard);
        break;
    case PGW_IO_UNKNOWN:
        shard->stats.unknown++;
#ifdef PGW_DISABLE_CLAIM_READ_BACK
        accept_draft(shard, shard->version);
        break;
#endif
        /*
         * Failure: the store's answer is lost. Symptom of guessing: "done"
         * runs a key that another process won, "not done" refuses one that is
         * claimed. The value read back names the attempts that stand in it.
         */
        shard->read_wanted = true;
        if (shard->failures > 0) {
            back_off(shard);
        }
        shard->failures++;
        break;
    case PGW_IO_MISSING:
    case PGW_IO_UNAVAILABLE:
        store_failed(shard);
        break;
    }
}

static void
read_done(struct pgw_claim_shard *shard, const struct pgw_io_reply *reply)
{
    if (reply->result == PGW_IO_OK) {
        adopt(shard, reply);
    }
    else if (reply->result == PGW_IO_MISSING && shard->version == 0) {
        store_answered(shard);
        shard->read_wanted = false;
        pgw_claim__settle(shard);
    }
    else if (reply->result == PGW_IO_THROTTLED) {
        back_off(shard);
    }
    else {
        store_failed(shard);
    }
}

void
pgw_claim_io_done(struct pgw_claim_shard *shard,
                  const struct pgw_io_reply *reply, uint64_t now_us)
{
    enum pgw_io_kind kind = shard->outstanding;

    shard->now_us = MAX(shard->now_us, now_us);
    shard->outstanding = PGW_IO_NONE;
    if (kind == PGW_IO_READ) {
        read_done(shard, reply);
    }
    else if (kind == PGW_IO_WRITE) {
        write_done(shard, reply);
        g_clear_pointer(&shard->draft, pgw_claim__object_free);
    }
}

void
pgw_claim_shard_close(struct pgw_claim_shard *shard)
{
    shard->closing = true;
}

bool
pgw_claim_shard_is_drained(const struct pgw_claim_shard *shard)
{
    return g_hash_table_size(shard->slots) == 0 &&
           shard->outstanding == PGW_IO_NONE &&
           !pgw_claim__window_is_due(shard);
}

void
pgw_claim_shard_stats(struct pgw_claim_stats *out,
                      const struct pgw_claim_shard *shard)
{
    *out = shard->stats;
    out->slots = g_hash_table_size(shard->slots);
    out->bytes = shard->base->bytes;
}
