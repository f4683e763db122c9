#include "claim_shard.h"

/** Bytes of an object that are neither records nor windows, with a margin. */
#define OBJECT_OVERHEAD_BYTES 4096

static void
add_slot_to_draft(struct pgw_claim_shard *shard, struct pgw_claim_slot *slot)
{
    struct pgw_claim_record *record = NULL;

    switch (slot->state) {
    case PGW_SLOT_CLAIMING:
    case PGW_SLOT_RUNNING:
        record = pgw_claim__record_new(PGW_CLAIM_CLAIMED, slot->name,
                                       shard->options.owner, slot->nonce,
                                       slot->claimed_us, NULL);
        break;
    case PGW_SLOT_FINISHED:
        if (shard->draft->bytes + slot->record->json_length +
                OBJECT_OVERHEAD_BYTES >
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
    slot->is_drafted = true;
    slot->drafted_version = shard->version;
}

/* Token bucket: an idle period allows up to write_burst writes at once. */
static void
schedule_next_write(struct pgw_claim_shard *shard)
{
    uint64_t interval_us = shard->options.write_interval_us;
    uint64_t burst_us = interval_us * shard->options.write_burst;

    shard->next_write_us = MAX(shard->next_write_us,
                               shard->now_us - MIN(shard->now_us, burst_us)) +
                           interval_us;
}

static void
build_write(struct pgw_io *out, struct pgw_claim_shard *shard)
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
            add_slot_to_draft(shard, slot);
        }
    }
    pgw_claim__window_draft(shard, shard->draft);
    out->kind = PGW_IO_WRITE;
    out->expected_version = shard->version;
    out->value = pgw_claim__object_print(shard->draft, &out->length);
    schedule_next_write(shard);
    shard->stats.writes++;
}

/*
 * When a slot needs a store operation, UINT64_MAX: never. A caller waits for
 * its claim. No caller waits for the record of an outcome, so the record is
 * delayed to share a later write.
 */
static uint64_t
slot_due_us(const struct pgw_claim_shard *shard,
            const struct pgw_claim_slot *slot)
{
    if (!slot->dirty && !slot->needs_recheck) {
        return UINT64_MAX;
    }
    if (slot->state == PGW_SLOT_CLAIMING || shard->closing) {
        return 0;
    }
    return slot->ended_us + shard->options.outcome_delay_us;
}

static uint64_t
work_due_us(const struct pgw_claim_shard *shard)
{
    uint64_t due_us = pgw_claim__window_is_due(shard) ? 0 : UINT64_MAX;
    GHashTableIter iter;
    gpointer slot;

    g_hash_table_iter_init(&iter, shard->slots);
    while (due_us > 0 && g_hash_table_iter_next(&iter, NULL, &slot)) {
        due_us = MIN(due_us, slot_due_us(shard, slot));
    }
    return due_us;
}

static uint64_t
io_due_us(const struct pgw_claim_shard *shard)
{
    uint64_t due_us;

    if (shard->outstanding != PGW_IO_NONE) {
        return UINT64_MAX;
    }
    due_us = MAX(work_due_us(shard), shard->retry_us);
    return shard->read_required ? due_us : MAX(due_us, shard->next_write_us);
}

bool
pgw_claim_next_io(struct pgw_io *out, struct pgw_claim_shard *shard,
                  uint64_t now_us)
{
    *out = (struct pgw_io){.kind = PGW_IO_NONE};
    shard->now_us = MAX(shard->now_us, now_us);
    pgw_claim__expire(shard);
    if (shard->now_us < io_due_us(shard)) {
        return false;
    }
    if (shard->read_required) {
        out->kind = PGW_IO_READ;
        shard->stats.reads++;
    }
    else {
        build_write(out, shard);
    }
    shard->outstanding = out->kind;
    return true;
}

uint64_t
pgw_claim_next_time(const struct pgw_claim_shard *shard)
{
    uint64_t due_us = io_due_us(shard);

    if (shard->options.window_us > 0 && due_us == UINT64_MAX &&
        shard->outstanding == PGW_IO_NONE && !shard->closing) {
        const struct pgw_claim_window *window =
            pgw_claim__object_window(shard->base, shard->options.owner);

        due_us = window != NULL ? window->to_us - shard->options.window_us / 2
                                : shard->now_us;
    }
    return MIN(due_us, shard->expire_us);
}

static void
delay_retry(struct pgw_claim_shard *shard)
{
    uint64_t wait_us = shard->options.backoff_us << MIN(shard->failures, 16);

    shard->failures++;
    shard->retry_us =
        shard->now_us + MIN(wait_us, shard->options.backoff_max_us);
}

static void
mark_store_down(struct pgw_claim_shard *shard)
{
    shard->down = true;
    delay_retry(shard);
    pgw_claim__handle_store_failure(shard);
}

static void
mark_store_up(struct pgw_claim_shard *shard)
{
    shard->down = false;
    shard->failures = 0;
    shard->retry_us = shard->now_us;
}

static void
replace_base(struct pgw_claim_shard *shard, struct pgw_claim_object *object,
             uint64_t version)
{
    mark_store_up(shard);
    pgw_claim__object_free(shard->base);
    shard->base = object;
    shard->version = version;
    pgw_claim__reconcile(shard);
}

static void
adopt_value(struct pgw_claim_shard *shard, const struct pgw_io_reply *reply)
{
    struct pgw_claim_object *object = NULL;

    /* The store may return an older version than in an earlier reply. */
    if (reply->version >= shard->version) {
        object = pgw_claim__object_parse(reply->value, reply->length, NULL);
    }
    if (object == NULL) {
        shard->read_required = true;
        mark_store_down(shard);
        return;
    }
    shard->read_required = false;
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
         * Failure: two processes write the same shard, one of them resumed
         * after a long pause. Symptom without the version check: both run the
         * same key. The process whose write is rejected adopts the stored
         * value and decides all its keys again.
         */
        if (reply->value != NULL) {
            adopt_value(shard, reply);
            break;
        }
        mark_store_up(shard);
        shard->read_required = true;
        break;
    case PGW_IO_THROTTLED:
        delay_retry(shard);
        break;
    case PGW_IO_UNKNOWN:
        shard->stats.unknown++;
#ifdef PGW_DISABLE_CLAIM_READ_BACK
        accept_draft(shard, shard->version);
        break;
#endif
        /*
         * Failure: the store's reply is lost. Symptom of a guess: assuming
         * success runs a key that another process claimed, assuming failure
         * refuses a key that is claimed here. The value is read back; the
         * nonces in it identify the claims that succeeded.
         */
        shard->read_required = true;
        if (shard->failures > 0) {
            delay_retry(shard);
        }
        shard->failures++;
        break;
    case PGW_IO_MISSING:
    case PGW_IO_UNAVAILABLE:
        mark_store_down(shard);
        break;
    }
}

static void
read_done(struct pgw_claim_shard *shard, const struct pgw_io_reply *reply)
{
    if (reply->result == PGW_IO_OK) {
        adopt_value(shard, reply);
    }
    else if (reply->result == PGW_IO_MISSING && shard->version == 0) {
        mark_store_up(shard);
        shard->read_required = false;
        pgw_claim__reconcile(shard);
    }
    else if (reply->result == PGW_IO_THROTTLED) {
        delay_retry(shard);
    }
    else {
        mark_store_down(shard);
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
