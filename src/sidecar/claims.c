#include "sidecar/claims.h"
#include "libparsleygw/store_worker.h"
#include "sidecar/claim_sweep.h"
#include "util/log.h"

#define STORE_TIMEOUT_US UINT64_C(1000000)
/* An object that nobody has asked for this long is forgotten; its truth
 * stands in the store. */
#define IDLE_US UINT64_C(20000000)

struct claims {
    struct sidecar *sidecar;
    GHashTable *objects; /* struct claim_object by name */
    GHashTable *runs;    /* struct run by ticket */
    struct claim_sweep *sweep;
    uint64_t last_ticket;
    uint64_t now_us;
    bool closing;
};

struct claim_object {
    struct claims *claims;
    char *name;
    struct pgw_claim_shard *shard;
    struct pgw_timer timer;
    uint64_t used_us;
};

static void object_drive(struct claim_object *object);

/* The wall clock, held still while it is set back. */
static uint64_t
claims_now(struct claims *claims)
{
    claims->now_us = MAX(claims->now_us, pgw_hlc_wall_us());
    return claims->now_us;
}

static void
object_free(gpointer data)
{
    struct claim_object *object = data;

    pgw_timer_stop(object->claims->sidecar->loop, &object->timer);
    pgw_claim_shard_free(object->shard);
    g_free(object->name);
    g_free(object);
}

static void
store_done(void *context, const struct pgw_io_reply *reply)
{
    struct claim_object *object = context;

    pgw_claim_io_done(object->shard, reply, claims_now(object->claims));
    object_drive(object);
}

static void
deliver(struct claims *claims, const struct pgw_claim_decision *decision)
{
    struct run *run = g_hash_table_lookup(claims->runs, &decision->ticket);

    if (run == NULL || decision->action == PGW_CLAIM_PENDING) {
        return;
    }
    if (decision->action != PGW_CLAIM_RUN) {
        g_hash_table_remove(claims->runs, &run->ticket);
    }
    pgw_trace_record(claims->sidecar->trace, PGW_TRACE_CLAIM_RESULT,
                     &run->key.request, run->key.attempt, decision->action,
                     decision->refusal, NULL);
    gate_claim_decided(run, decision);
}

static void
object_deliver(struct claim_object *object)
{
    struct pgw_claim_decision decision;

    while (pgw_claim_next_decision(&decision, object->shard)) {
        deliver(object->claims, &decision);
        pgw_claim_decision_dispose(&decision);
    }
}

static void
object_due(struct pgw_timer *timer)
{
    object_drive(pgw_container_of(timer, struct claim_object, timer));
}

/* Starts the store operation that is due, tells decided runs and sleeps until
 * the machine wants to be looked at again. */
static void
object_drive(struct claim_object *object)
{
    struct claims *claims = object->claims;
    uint64_t now = claims_now(claims);
    struct pgw_io io;
    uint64_t next;

    if (pgw_claim_next_io(&io, object->shard, now)) {
        pgw_store_worker_submit(claims->sidecar->worker, PGW_CLAIM_KIND,
                                object->name, &io, STORE_TIMEOUT_US,
                                store_done, object);
    }
    object_deliver(object);
    next = pgw_claim_next_time(object->shard);
    if (next != UINT64_MAX) {
        pgw_timer_start(claims->sidecar->loop, &object->timer,
                        next > now ? next - now : 0);
    }
    else if (pgw_claim_shard_is_drained(object->shard)) {
        pgw_timer_start(claims->sidecar->loop, &object->timer, IDLE_US);
        if (now - object->used_us >= IDLE_US) {
            g_hash_table_remove(claims->objects, object->name);
        }
    }
}

static struct claim_object *
object_find(struct claims *claims, const char *name)
{
    struct claim_object *object = g_hash_table_lookup(claims->objects, name);
    struct pgw_claim_options options = PGW_CLAIM_OPTIONS_INIT;

    if (object == NULL) {
        options.owner = claims->sidecar->incarnation;
        object = g_new0(struct claim_object, 1);
        object->claims = claims;
        object->name = g_strdup(name);
        object->shard = pgw_claim_shard_new(&options);
        object->timer.on_due = object_due;
        g_hash_table_insert(claims->objects, object->name, object);
        claim_sweep_used(claims->sweep, name);
    }
    object->used_us = claims_now(claims);
    return object;
}

struct claims *
claims_new(struct sidecar *sidecar)
{
    struct claims *claims = g_new0(struct claims, 1);

    claims->sidecar = sidecar;
    claims->objects =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, object_free);
    claims->runs = g_hash_table_new(g_int64_hash, g_int64_equal);
    claims->sweep = claim_sweep_new(sidecar);
    return claims;
}

void
claims_free(struct claims *claims)
{
    if (claims == NULL) {
        return;
    }
    g_hash_table_unref(claims->runs);
    g_hash_table_unref(claims->objects);
    claim_sweep_free(claims->sweep);
    g_free(claims);
}

static void
refuse(struct run *run, enum pgw_refusal refusal, enum pgw_ran ran)
{
    struct pgw_claim_decision decision = {
        .action = PGW_CLAIM_REFUSE,
        .refusal = refusal,
        .ran = ran,
    };

    gate_claim_decided(run, &decision);
}

void
claims_ask(struct claims *claims, struct run *run)
{
    struct pgw_claim_layout layout = PGW_CLAIM_LAYOUT_INIT;
    struct pgw_claim_location place;
    struct pgw_claim_request request = {
        .workspace = run->open->workspace,
        .key = run->open->idempotency_key,
        .request = run->key.request,
        .attempt = run->key.attempt,
    };
    struct pgw_claim_decision decision;
    struct claim_object *object;
    uint64_t now = claims_now(claims);
    GError *error = NULL;

    layout.service = run->open->profile;
    if (!pgw_claim_locate(&place, &layout, request.workspace, request.key, now,
                          &error)) {
        pgw_log_info("claim_key_refused", "error=%s", error->message);
        g_clear_error(&error);
        refuse(run, PGW_REFUSAL_BAD_REQUEST, PGW_RAN_NO);
        return;
    }
    if (place.expired) {
        refuse(run, PGW_REFUSAL_EXPIRED, PGW_RAN_UNKNOWN);
        return;
    }
    object = object_find(claims, place.name);
    run->ticket = ++claims->last_ticket;
    run->claim = object;
    g_hash_table_insert(claims->runs, &run->ticket, run);
    request.ticket = run->ticket;
    request.deadline_us = now + (uint64_t)run->open->deadline_ms * 1000;
    pgw_trace_record(claims->sidecar->trace, PGW_TRACE_CLAIM,
                     &run->key.request, run->key.attempt, place.shard, 0,
                     place.name);
    pgw_claim_begin(&decision, object->shard, &request, now);
    deliver(claims, &decision);
    pgw_claim_decision_dispose(&decision);
    object_drive(object);
}

bool
claims_cancel(struct claims *claims, struct run *run)
{
    struct claim_object *object = run->claim;

    if (object == NULL ||
        !pgw_claim_cancel(object->shard, run->ticket, claims_now(claims))) {
        return false;
    }
    g_hash_table_remove(claims->runs, &run->ticket);
    run->claim = NULL;
    object_drive(object);
    return true;
}

void
claims_finish(struct claims *claims, struct run *run)
{
    struct claim_object *object = run->claim;
    struct pgw_claim_answer answer = {
        .status = (uint32_t)run->status,
        .content_type = run->content_type,
    };

    if (object == NULL) {
        return;
    }
    answer.body = g_bytes_new(run->answer->data, run->answer->len);
    pgw_claim_finish(object->shard, run->ticket, &answer, claims_now(claims));
    g_bytes_unref(answer.body);
    g_hash_table_remove(claims->runs, &run->ticket);
    run->claim = NULL;
    object_drive(object);
}

void
claims_fail(struct claims *claims, struct run *run, bool was_sent)
{
    struct claim_object *object = run->claim;

    if (object == NULL) {
        return;
    }
    if (was_sent) {
        pgw_claim_mark_lost(object->shard, run->ticket, claims_now(claims));
    }
    else {
        pgw_claim_release(object->shard, run->ticket, claims_now(claims));
    }
    g_hash_table_remove(claims->runs, &run->ticket);
    run->claim = NULL;
    object_drive(object);
}

void
claims_close(struct claims *claims)
{
    GHashTableIter iter;
    gpointer value;

    claims->closing = true;
    g_hash_table_iter_init(&iter, claims->objects);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct claim_object *object = value;

        pgw_claim_shard_close(object->shard);
    }
}

bool
claims_are_settled(const struct claims *claims)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, claims->objects);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (!pgw_claim_shard_is_drained(
                ((struct claim_object *)value)->shard)) {
            return false;
        }
    }
    return true;
}
