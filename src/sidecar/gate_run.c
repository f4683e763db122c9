#include "sidecar/claims.h"
#include "sidecar/gate_internal.h"
#include "sidecar/kv.h"
#include "sidecar/suspicion.h"

#define GATE_TICK_US UINT64_C(20000)
/* An engine stops a run within half a second of the close of its connection;
 * a crash after more than this has another cause. */
#define ABANDONED_US UINT64_C(1000000)
/* The same of an engine that has answered. */
#define ANSWERED_US UINT64_C(500000)

void
run_free(struct run *run)
{
    struct sidecar *sidecar = run->sidecar;

    kv_forget(sidecar->kv, run);
    pgw_list_remove(&run->link);
    pgw_list_remove(&run->held);
    pgw_timer_stop(sidecar->loop, &run->deadline);
    suspicion_released(sidecar->suspicion, run);
    if (run->transfer != NULL) {
        pgw_transfer_cancel(run->transfer);
    }
    if (run->peer != NULL) {
        g_hash_table_remove(run->peer->runs, &run->key);
    }
    pgw_frame_free(&run->open->base);
    pgw_buffer_dispose(&run->line);
    g_free(run->finish_reason);
    g_free(run->content_type);
    if (run->answer != NULL) {
        g_byte_array_unref(run->answer);
    }
    sidecar->runs -= !run->abandoned;
    g_free(run);
}

static void run_hand_over(struct run *run);

/* A suspect starts once it is alone; the others once no suspect is left. */
static void
release_held(struct sidecar *sidecar)
{
    struct pgw_list *link;

    if (sidecar->exclusive != NULL) {
        if (sidecar->handed == 0 && sidecar->exclusive->state == RUN_WAITING) {
            run_hand_over(sidecar->exclusive);
        }
        return;
    }
    while (sidecar->exclusive == NULL &&
           (link = pgw_list_first(&sidecar->held)) != NULL) {
        struct run *run = pgw_container_of(link, struct run, held);

        pgw_list_remove(link);
        run_start(run);
    }
}

/* Gives its place at the engine to others. */
static void
release_place(struct run *run)
{
    struct sidecar *sidecar = run->sidecar;

    if (run->item.state == PGW_ADMIT_WAITING) {
        pgw_admit_remove(sidecar->admit, &run->item, pgw_now_us());
    }
    else if (run->item.state != PGW_ADMIT_IDLE) {
        pgw_admit_done(sidecar->admit, &run->item, run->completion_tokens,
                       pgw_now_us());
    }
    if (run->state >= RUN_SENT && !run->abandoned) {
        uint64_t now = pgw_now_us();

        sidecar->handed--;
        pgw_run_times_add(&sidecar->run_times, now - run->sent_us, now);
    }
    if (sidecar->exclusive == run) {
        sidecar->exclusive = NULL;
    }
}

void
gate_finish(struct run *run)
{
    struct sidecar *sidecar = run->sidecar;

    release_place(run);
    run_free(run);
    release_held(sidecar);
    gate_pump(sidecar);
}

/* Keeps a run whose entry waits no longer until its engine is asked after a
 * time. */
static void
keep_until(struct run *run, uint64_t doubt_us)
{
    struct sidecar *sidecar = run->sidecar;

    run->state = RUN_BROKEN;
    run->doubt_us = doubt_us;
    pgw_timer_stop(sidecar->loop, &run->deadline);
    kv_forget(sidecar->kv, run);
    if (run->transfer != NULL) {
        pgw_transfer_cancel(run->transfer);
        run->transfer = NULL;
    }
    if (run->peer != NULL) {
        g_hash_table_remove(run->peer->runs, &run->key);
        run->peer = NULL;
    }
    release_held(sidecar);
    gate_pump(sidecar);
}

static void
leave_place(struct run *run)
{
    release_place(run);
    run->abandoned = true;
    run->sidecar->runs--;
}

void
gate_abandon(struct run *run)
{
    if (!run->sidecar->is_model || run->state < RUN_SENT) {
        gate_finish(run);
        return;
    }
    /* Nothing runs beside a suspect until it is known what became of it. */
    if (!run->alone) {
        leave_place(run);
    }
    keep_until(run, pgw_now_us() + ABANDONED_US);
}

/* Others run beside it meanwhile, also beside a suspect: it is over for its
 * engine unless that crashes of it. */
void
gate_keep_answered(struct run *run)
{
    if (!run->sidecar->is_model) {
        suspicion_succeeded(run->sidecar->suspicion, run);
        gate_finish(run);
        return;
    }
    leave_place(run);
    run->answered = true;
    keep_until(run, pgw_now_us() + ANSWERED_US);
}

static const char *
claim_advice(enum pgw_refusal refusal)
{
    switch (refusal) {
    case PGW_REFUSAL_STORE_DOWN:
        return "the store does not take the claim now: send again with the "
               "same key";
    case PGW_REFUSAL_DUPLICATE:
        return "the key was used before and its outcome is not known: look "
               "at the service before you use a new key";
    case PGW_REFUSAL_EXPIRED:
        return "the key is older than the retention: whether it ran is no "
               "longer known";
    case PGW_REFUSAL_BAD_REQUEST:
        return "the idempotency key is malformed: send up to 128 printable "
               "characters, best a UUIDv7";
    default:
        return pgw_refusal_name(refusal);
    }
}

uint32_t
gate_backoff_ms(const struct sidecar *sidecar)
{
    uint64_t now = pgw_now_us();

    return sidecar->backoff_until_us > now
               ? (uint32_t)((sidecar->backoff_until_us - now) / 1000) + 1
               : 0;
}

/* A run with a claim is handed over in any case: its key is taken, and an
 * engine refuses one such request sooner than many. */
static void
run_hand_over(struct run *run)
{
    uint32_t backoff_ms = gate_backoff_ms(run->sidecar);

    if (backoff_ms > 0 && run->claim == NULL) {
        run_send_fail(run, PGW_REFUSAL_OVERLOADED, PGW_RAN_NO, backoff_ms,
                      GATE_BACKOFF_MESSAGE);
        gate_finish(run);
        return;
    }
    run->state = RUN_SENT;
    run->sent_us = pgw_now_us();
    run->heard_us = run->sent_us;
    run->engine = run->sidecar->engine.incarnation;
    run->sidecar->handed++;
    pgw_trace_record(run->sidecar->trace, PGW_TRACE_UPSTREAM_START,
                     &run->key.request, run->key.attempt,
                     run->item.uncached_tokens, run->open->prompt_tokens,
                     NULL);
    run->call->start(run);
}

bool
run_fits_drain(const struct run *run)
{
    const struct sidecar *sidecar = run->sidecar;
    const struct pgw_drain_request request = {
        .deadline_us = run->item.deadline,
        .longest_run_us = pgw_run_times_longest_us(&sidecar->run_times),
        .may_run_again = run->open->repeatable,
    };

    return pgw_drain_window_fits(&sidecar->drain, &request, pgw_now_us());
}

void
run_refuse_late(struct run *run)
{
    run_send_fail(run, PGW_REFUSAL_LEAVING, PGW_RAN_NO, 0,
                  "the instance stops: send to another one");
    gate_finish(run);
}

/* The gate has a place free at the upstream. */
void
run_start(struct run *run)
{
    struct sidecar *sidecar = run->sidecar;

    if (!run_fits_drain(run)) {
        run_refuse_late(run);
        return;
    }
    if (sidecar->exclusive != NULL) {
        pgw_list_append(&sidecar->held, &run->held);
        return;
    }
    /* An engine that a suspect crashes takes everything beside it along, and
     * nobody could say which of them it was. */
    if (run->alone) {
        sidecar->exclusive = run;
        if (sidecar->handed > 0) {
            return;
        }
    }
    if (run->open->repeatable) {
        run_hand_over(run);
        return;
    }
    run->state = RUN_CLAIMING;
    run->answer = g_byte_array_new();
    claims_ask(run->sidecar->claims, run);
}

static void
run_replay(struct run *run, const struct pgw_claim_decision *decision)
{
    gsize size = 0;
    const void *body = decision->body == NULL
                           ? NULL
                           : g_bytes_get_data(decision->body, &size);

    run->replayed = true;
    run->status = decision->status;
    run_send_started(run, decision->content_type, "", 0);
    run_send_data(run, body, size, 0, 0);
    run_send_end(run);
    gate_finish(run);
}

void
gate_claim_decided(struct run *run, const struct pgw_claim_decision *decision)
{
    switch (decision->action) {
    case PGW_CLAIM_RUN:
        /* The claim stands in the store before the first byte leaves for the
         * service: whatever dies from here on, nobody else runs the key. */
        run_hand_over(run);
        break;
    case PGW_CLAIM_REPLAY:
        run->claim = NULL;
        run_replay(run, decision);
        break;
    default:
        run->claim = NULL;
        run_send_fail(run, decision->refusal, decision->ran,
                      decision->retry_after_ms,
                      claim_advice(decision->refusal));
        gate_finish(run);
        break;
    }
}

/* Whether the attempt certainly has not run and now never will. */
bool
run_withdraw(struct run *run)
{
    if (run->state == RUN_CLAIMING) {
        return claims_cancel(run->sidecar->claims, run);
    }
    return run->state == RUN_WAITING;
}

void
run_resume(struct run *run)
{
    if (run->paused) {
        run->paused = false;
        pgw_transfer_resume(run->transfer);
    }
}

void
run_give_up(struct run *run, enum pgw_refusal refusal, const char *waited,
            const char *ran)
{
    bool withdrawn = run_withdraw(run);

    run_send_fail(run, refusal, withdrawn ? PGW_RAN_NO : PGW_RAN_UNKNOWN, 0,
                  withdrawn ? waited : ran);
    /* A call that may not be repeated runs on: cutting it off would leave
     * even its service unsure whether it ran. */
    if (withdrawn) {
        gate_finish(run);
    }
    else if (run->open->repeatable) {
        gate_abandon(run);
    }
    else {
        run_resume(run);
    }
}

void
run_deadline_due(struct pgw_timer *timer)
{
    struct run *run = pgw_container_of(timer, struct run, deadline);

    /* Its crash is still to be told. */
    if (run->state != RUN_BROKEN) {
        run_give_up(run, PGW_REFUSAL_DEADLINE,
                    "the deadline passed while the request waited",
                    "the deadline passed while the request ran");
    }
}

static void
gate_tick(struct pgw_timer *timer)
{
    gate_pump(pgw_container_of(timer, struct sidecar, gate_timer));
}

void
gate_pump(struct sidecar *sidecar)
{
    struct pgw_admit_item *item;
    struct pgw_admit_load load;
    uint64_t now = pgw_now_us();

    while ((item = pgw_admit_expire(sidecar->admit, now)) != NULL) {
        struct run *run = pgw_container_of(item, struct run, item);

        run_send_fail(run, PGW_REFUSAL_DEADLINE, PGW_RAN_NO, 0,
                      "the deadline passed while the request waited");
        run_free(run);
    }
    while (gate_backoff_ms(sidecar) == 0 &&
           (item = pgw_admit_next(sidecar->admit, now)) != NULL) {
        run_start(pgw_container_of(item, struct run, item));
    }
    pgw_admit_load_get(&load, sidecar->admit);
    if (load.waiting > 0 && sidecar->gate_timer.position == 0) {
        sidecar->gate_timer.on_due = gate_tick;
        pgw_timer_start(sidecar->loop, &sidecar->gate_timer, GATE_TICK_US);
    }
}

void
gate_pump_soon(struct sidecar *sidecar)
{
    struct pgw_admit_load load;

    pgw_admit_load_get(&load, sidecar->admit);
    if (load.waiting > 0) {
        sidecar->gate_timer.on_due = gate_tick;
        pgw_timer_start(sidecar->loop, &sidecar->gate_timer, 0);
    }
}
