#include "sidecar/gate.h"
#include "sidecar/claims.h"
#include "sidecar/orders.h"
#include "sidecar/suspicion.h"
#include "util/log.h"
#include <xxhash.h>

#define GATE_TICK_US UINT64_C(20000)
#define QUEUE_RETRY_MS 1000
/* Tokens of a running answer come many times a second. */
#define SILENT_US UINT64_C(2000000)

guint
run_key_hash(gconstpointer key)
{
    return (guint)XXH3_64bits(key, sizeof(struct run_key));
}

gboolean
run_key_equal(gconstpointer a, gconstpointer b)
{
    return memcmp(a, b, sizeof(struct run_key)) == 0;
}

static bool
key_from(struct run_key *out, const ProtobufCBinaryData *request,
         uint32_t attempt)
{
    *out = (struct run_key){.attempt = attempt};
    if (request->len != PGW_REQUEST_ID_SIZE) {
        return false;
    }
    memcpy(out->request.bytes, request->data, PGW_REQUEST_ID_SIZE);
    return true;
}

static void
run_free(struct run *run)
{
    struct sidecar *sidecar = run->sidecar;

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
    g_free(run);
    sidecar->runs--;
}

static void run_hand_over(struct run *run);
static void run_start(struct run *run);

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

void
gate_finish(struct run *run)
{
    struct sidecar *sidecar = run->sidecar;

    if (run->item.state == PGW_ADMIT_WAITING) {
        pgw_admit_remove(sidecar->admit, &run->item, pgw_now_us());
    }
    else if (run->item.state != PGW_ADMIT_IDLE) {
        pgw_admit_done(sidecar->admit, &run->item, run->completion_tokens,
                       pgw_now_us());
    }
    if (run->state >= RUN_SENT) {
        sidecar->handed--;
    }
    if (sidecar->exclusive == run) {
        sidecar->exclusive = NULL;
    }
    run_free(run);
    release_held(sidecar);
    gate_pump(sidecar);
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

static void
run_hand_over(struct run *run)
{
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

/* The gate has a place free at the upstream. */
static void
run_start(struct run *run)
{
    struct sidecar *sidecar = run->sidecar;

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
static bool
run_withdraw(struct run *run)
{
    if (run->state == RUN_CLAIMING) {
        return claims_cancel(run->sidecar->claims, run);
    }
    return run->state == RUN_WAITING;
}

static void
run_resume(struct run *run)
{
    if (run->paused) {
        run->paused = false;
        pgw_transfer_resume(run->transfer);
    }
}

static void
run_expire(struct run *run)
{
    bool withdrawn;

    if (run->state == RUN_BROKEN) {
        return;
    }
    withdrawn = run_withdraw(run);
    run_send_fail(run, PGW_REFUSAL_DEADLINE,
                  withdrawn ? PGW_RAN_NO : PGW_RAN_UNKNOWN, 0,
                  withdrawn ? "the deadline passed while the request waited"
                            : "the deadline passed while the request ran");
    /* A call that may not be repeated runs on: cutting it off would leave
     * even its service unsure whether it ran. */
    if (withdrawn || run->open->repeatable) {
        gate_finish(run);
    }
    else {
        run_resume(run);
    }
}

static void
deadline_due(struct pgw_timer *timer)
{
    run_expire(pgw_container_of(timer, struct run, deadline));
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
    while ((item = pgw_admit_next(sidecar->admit, now)) != NULL) {
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

static void
chain_from(struct pgw_level_chain *out, size_t count, Pgw__Level **levels,
           uint32_t prompt_tokens)
{
    *out = (struct pgw_level_chain){
        .count = MIN(count, PGW_LEVEL_MAX),
        .prompt_tokens = prompt_tokens,
    };
    for (size_t i = 0; i < out->count; i++) {
        out->levels[i] = (struct pgw_level){
            .hash_high = levels[i]->hash_high,
            .hash_low = levels[i]->hash_low,
            .end_tokens = levels[i]->end_tokens,
        };
    }
}

static uint32_t
uncached(const struct sidecar *sidecar, const char *workspace,
         const struct pgw_level_chain *chain, uint64_t now, uint32_t *matched)
{
    uint32_t hint = 0;

    if (!sidecar->is_model) {
        *matched = 0;
        return 0;
    }
    *matched = pgw_cache_match(sidecar->cache, workspace, chain, now, &hint);
    *matched = MAX(*matched, hint);
    return chain->prompt_tokens - MIN(chain->prompt_tokens, *matched);
}

/* Why an attempt cannot even wait here; false when it can. */
static bool
must_refuse(const struct sidecar *sidecar, const char *model,
            const char *version, enum pgw_refusal *refusal,
            const char **message)
{
    const struct engine *engine = &sidecar->engine;

    if (sidecar->leaving) {
        *refusal = PGW_REFUSAL_LEAVING;
        *message = "the instance is leaving: send to another one";
        return true;
    }
    if (!engine->alive) {
        *refusal = PGW_REFUSAL_UPSTREAM_FAILED;
        *message = "the upstream does not answer";
        return true;
    }
    if (orders_is_closed(sidecar->orders)) {
        *refusal = PGW_REFUSAL_STALE;
        *message = "the engine changes its weights: send to another one";
        return true;
    }
    if (sidecar->is_model && (strcmp(engine->model, model) != 0 ||
                              strcmp(engine->version, version) != 0)) {
        *refusal = PGW_REFUSAL_STALE;
        *message = "the engine runs another model or weights version";
        return true;
    }
    return false;
}

static struct run *
run_new(struct peer *peer, const struct run_key *key, Pgw__Open *open)
{
    struct sidecar *sidecar = peer->sidecar;
    struct run *run = g_new0(struct run, 1);
    uint64_t now = pgw_now_us();
    uint32_t matched;

    run->key = *key;
    run->sidecar = sidecar;
    run->peer = peer;
    run->open = open;
    run->call = open->service ? &run_call_service : &run_call_model;
    run->window = open->window;
    run->deadline.on_due = deadline_due;
    chain_from(&run->chain, open->n_levels, open->levels, open->prompt_tokens);
    run->item = (struct pgw_admit_item){
        .workspace = pgw_level_workspace_hash(open->workspace),
        .share = open->share,
        .priority =
            (enum pgw_priority)MIN(open->priority, PGW_PRIORITY_COUNT - 1),
        .deadline = now + (uint64_t)open->deadline_ms * 1000,
        .uncached_tokens =
            uncached(sidecar, open->workspace, &run->chain, now, &matched),
        .max_tokens = open->max_tokens,
        .is_batch = open->priority == PGW_PRIORITY_BATCH,
    };
    sidecar->runs++;
    pgw_list_append(&sidecar->all_runs, &run->link);
    g_hash_table_insert(peer->runs, &run->key, run);
    if (open->fingerprint.len == PGW_FINGERPRINT_SIZE) {
        memcpy(run->fingerprint.bytes, open->fingerprint.data,
               PGW_FINGERPRINT_SIZE);
    }
    pgw_timer_start(sidecar->loop, &run->deadline,
                    (uint64_t)open->deadline_ms * 1000);
    return run;
}

/* Bodies of waiting requests are the bulk of this process's memory; their
 * number alone does not bound it. One may always wait. */
static bool
queue_is_too_large(struct sidecar *sidecar)
{
    uint64_t bytes = 0;
    unsigned count = 0;

    pgw_list_foreach (link, &sidecar->all_runs) {
        const struct run *run = pgw_container_of(link, struct run, link);

        if (run->state == RUN_WAITING) {
            bytes += run->open->body.len + run->open->resume_text.len;
            count++;
        }
    }
    return count > 1 && bytes > sidecar->settings->queue_bytes;
}

static void
run_offer(struct run *run)
{
    struct sidecar *sidecar = run->sidecar;
    struct pgw_admit_answer answer;

    pgw_admit_offer(&answer, sidecar->admit, &run->item, pgw_now_us());
    switch (answer.verdict) {
    case PGW_ADMIT_RUN:
        run_start(run);
        break;
    case PGW_ADMIT_QUEUE:
        if (queue_is_too_large(sidecar)) {
            run_send_fail(run, PGW_REFUSAL_OVERLOADED, PGW_RAN_NO,
                          QUEUE_RETRY_MS,
                          "the bodies of waiting requests fill queue_bytes");
            gate_finish(run);
            break;
        }
        pgw_trace_record(sidecar->trace, PGW_TRACE_QUEUE, &run->key.request,
                         run->key.attempt, answer.ttft_us, 0, NULL);
        gate_pump(sidecar);
        break;
    case PGW_ADMIT_REFUSE:
        run_send_fail(run, answer.refusal, PGW_RAN_NO, answer.retry_after_ms,
                      answer.refusal == PGW_REFUSAL_DEADLINE
                          ? "the deadline cannot be met"
                          : "the upstream's queue is full");
        run_free(run);
        break;
    }
}

void
gate_open(struct peer *peer, Pgw__Open *open)
{
    struct sidecar *sidecar = peer->sidecar;
    struct run_key key;
    struct run *run;
    enum pgw_refusal refusal;
    const char *message;

    if (!key_from(&key, &open->request, open->attempt) ||
        g_hash_table_contains(peer->runs, &key)) {
        pgw_log_warning("open_dropped", "entry=%s", peer->instance);
        pgw_frame_free(&open->base);
        return;
    }
    pgw_hlc_receive(pgw_hlc_process(), open->clock, pgw_hlc_wall_us());
    run = run_new(peer, &key, open);
    if (open->service == sidecar->is_model) {
        run_send_fail(run, PGW_REFUSAL_INTERNAL, PGW_RAN_NO, 0,
                      "the upstream's type is not the pool's: correct "
                      "upstream_type or the pool object");
        run_free(run);
        return;
    }
    if (must_refuse(sidecar, open->model, open->version, &refusal, &message)) {
        run_send_fail(run, refusal, PGW_RAN_NO, 0, message);
        run_free(run);
        return;
    }
    if (!sidecar->is_model || suspicion_ask(sidecar->suspicion, run)) {
        run_offer(run);
    }
}

void
gate_suspicion_decided(struct run *run,
                       const struct pgw_quarantine_decision *decision)
{
    switch (decision->action) {
    case PGW_QUARANTINE_RUN_ALONE:
        run->alone = true;
        run_offer(run);
        break;
    case PGW_QUARANTINE_RUN:
        run_offer(run);
        break;
    case PGW_QUARANTINE_REFUSE:
        run_send_fail(run, decision->refusal, PGW_RAN_NO,
                      decision->retry_after_ms,
                      "the request crashed upstreams before: an operator can "
                      "lift the quarantine");
        gate_finish(run);
        break;
    case PGW_QUARANTINE_RECORDED:
    case PGW_QUARANTINE_UNRECORDED:
        if (!run->ended) {
            run_send_fail(run, PGW_REFUSAL_UPSTREAM_FAILED, PGW_RAN_UNKNOWN, 0,
                          "the engine died while it ran the request");
        }
        gate_finish(run);
        break;
    case PGW_QUARANTINE_PENDING:
        break;
    }
}

void
gate_run_broke(struct run *run)
{
    run->state = RUN_BROKEN;
    if (run->sidecar->engine.alive) {
        engine_suspect(&run->sidecar->engine);
    }
    else {
        gate_engine_told(run->sidecar);
    }
}

static void
settle_broken(struct run *run)
{
    const struct engine *engine = &run->sidecar->engine;

    if (run->settled) {
        return;
    }
    run->settled = true;
    if (!engine->alive || engine->incarnation != run->engine) {
        suspicion_crashed(run->sidecar->suspicion, run, run->engine);
        return;
    }
    if (!run->ended) {
        run_send_fail(run, PGW_REFUSAL_UPSTREAM_FAILED, PGW_RAN_UNKNOWN, 0,
                      "the upstream broke off its answer");
    }
    gate_finish(run);
}

/* The first run for which @wanted holds. Ending one run may free others, so
 * that every search begins anew. */
static struct run *
find_first(struct sidecar *sidecar, bool (*wanted)(const struct run *run))
{
    pgw_list_foreach (link, &sidecar->all_runs) {
        struct run *run = pgw_container_of(link, struct run, link);

        if (wanted(run)) {
            return run;
        }
    }
    return NULL;
}

static bool
is_unsettled(const struct run *run)
{
    return run->state == RUN_BROKEN && !run->settled;
}

static bool
is_silent(const struct run *run)
{
    return run->transfer != NULL && !run->paused && !run->ended &&
           pgw_now_us() - run->heard_us > SILENT_US;
}

void
gate_engine_told(struct sidecar *sidecar)
{
    struct run *run;

    while ((run = find_first(sidecar, is_unsettled)) != NULL) {
        settle_broken(run);
    }
    /*
     * A crash closes its connections and is heard at once. An engine whose
     * machine or network is gone says nothing: without this its streams would
     * stand still until their deadline. Whether it crashed, or on which
     * request, is not known, so nobody is suspected.
     */
    while (!sidecar->engine.alive &&
           (run = find_first(sidecar, is_silent)) != NULL) {
        run_send_fail(run, PGW_REFUSAL_UPSTREAM_FAILED, PGW_RAN_UNKNOWN, 0,
                      "the upstream fell silent");
        gate_finish(run);
    }
}

/* The entry no longer wants the attempt. */
static void
run_abandon(struct run *run)
{
    bool withdrawn;

    /* Its crash is still to be told, whoever waits for the answer. */
    if (run->state == RUN_BROKEN) {
        return;
    }
    withdrawn = run_withdraw(run);
    if (!withdrawn && !run->open->repeatable) {
        return;
    }
    if (!run->ended) {
        run_send_fail(run, PGW_REFUSAL_CANCELLED,
                      withdrawn ? PGW_RAN_NO : PGW_RAN_UNKNOWN, 0,
                      "cancelled");
    }
    pgw_trace_record(run->sidecar->trace, PGW_TRACE_CANCEL, &run->key.request,
                     run->key.attempt, withdrawn, 0, NULL);
    gate_finish(run);
}

static struct run *
find_run(struct peer *peer, const ProtobufCBinaryData *request,
         uint32_t attempt)
{
    struct run_key key;

    if (!key_from(&key, request, attempt)) {
        return NULL;
    }
    return g_hash_table_lookup(peer->runs, &key);
}

void
gate_cancel(struct peer *peer, const Pgw__Cancel *cancel)
{
    struct run *run = find_run(peer, &cancel->request, cancel->attempt);

    if (run != NULL) {
        run_abandon(run);
    }
}

void
gate_grant(struct peer *peer, const Pgw__Window *window)
{
    struct run *run = find_run(peer, &window->request, window->attempt);

    if (run == NULL) {
        return;
    }
    run->window += window->bytes;
    if (run->window > 0) {
        run_resume(run);
    }
}

static void
run_forget_peer(struct run *run)
{
    g_hash_table_remove(run->peer->runs, &run->key);
    run->peer = NULL;
    run_resume(run);
    run_abandon(run);
}

void
gate_forget_peer(struct peer *peer)
{
    GHashTableIter iter;
    gpointer value;

    /*
     * Ending one run starts or ends others: a list made beforehand would name
     * freed ones, so the table is asked anew each time. Those that still wait
     * go first, or they would be started for nobody.
     */
    g_hash_table_iter_init(&iter, peer->runs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct run *run = value;

        if (run->state == RUN_WAITING) {
            run_forget_peer(run);
            g_hash_table_iter_init(&iter, peer->runs);
        }
    }
    g_hash_table_iter_init(&iter, peer->runs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        run_forget_peer(value);
        g_hash_table_iter_init(&iter, peer->runs);
    }
}

void
gate_refuse_waiting(struct sidecar *sidecar, enum pgw_refusal refusal)
{
    struct pgw_admit_item *item;

    while ((item = pgw_admit_drain(sidecar->admit)) != NULL) {
        struct run *run = pgw_container_of(item, struct run, item);

        run_send_fail(run, refusal, PGW_RAN_NO, 0,
                      "the upstream takes no work now");
        run_free(run);
    }
}

void
gate_abandon_all(struct sidecar *sidecar)
{
    pgw_timer_stop(sidecar->loop, &sidecar->gate_timer);
    pgw_list_foreach_safe (link, &sidecar->all_runs) {
        run_free(pgw_container_of(link, struct run, link));
    }
}

void
gate_probe(struct peer *peer, const Pgw__Probe *probe)
{
    struct sidecar *sidecar = peer->sidecar;
    Pgw__ProbeReply reply = PGW__PROBE_REPLY__INIT;
    struct pgw_level_chain chain;
    struct pgw_admit_load load;
    enum pgw_refusal refusal;
    const char *message;
    uint32_t matched;
    uint32_t missing;
    uint64_t ttft_us;

    chain_from(&chain, probe->n_levels, probe->levels, probe->prompt_tokens);
    missing =
        uncached(sidecar, probe->workspace, &chain, pgw_now_us(), &matched);
    pgw_admit_load_get(&load, sidecar->admit);
    ttft_us = pgw_admit_estimate_us(
        sidecar->admit, pgw_level_workspace_hash(probe->workspace),
        probe->share,
        (enum pgw_priority)MIN(probe->priority, PGW_PRIORITY_COUNT - 1),
        missing);
    reply.probe = probe->probe;
    reply.matched_tokens = matched;
    reply.queued_tokens = load.queued_tokens;
    reply.running = load.running;
    reply.waiting = load.waiting;
    reply.ttft_us = (uint32_t)MIN(ttft_us, UINT32_MAX);
    reply.leaving = sidecar->leaving;
    /* Behind a suspect that runs alone everything waits. */
    reply.refuses = sidecar->exclusive != NULL ||
                    must_refuse(sidecar, probe->model, probe->version,
                                &refusal, &message) ||
                    (probe->deadline_ms > 0 &&
                     ttft_us > (uint64_t)probe->deadline_ms * 1000);
    reply.version = sidecar->engine.version;
    reply.engine = sidecar->engine.incarnation;
    pgw_link_send(peer->connection, PGW_FRAME_PROBE_REPLY, &reply.base);
}
