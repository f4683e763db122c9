#include "sidecar/gate_internal.h"
#include "sidecar/kv.h"
#include "sidecar/orders.h"
#include "sidecar/suspicion.h"
#include "util/log.h"
#include <xxhash.h>

/* Some answers' length. */
#define WAIT_ALONE_US UINT64_C(2000000)

#define QUEUE_RETRY_MS 1000

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

    if (!sidecar_takes_work(sidecar)) {
        *refusal = PGW_REFUSAL_LEAVING;
        *message = "the instance is leaving: send to another one";
        return true;
    }
    if (!engine->alive) {
        *refusal = PGW_REFUSAL_UPSTREAM_FAILED;
        *message = "the upstream does not answer";
        return true;
    }
    if (gate_backoff_ms(sidecar) > 0) {
        *refusal = PGW_REFUSAL_OVERLOADED;
        *message = GATE_BACKOFF_MESSAGE;
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
    run->deadline.on_due = run_deadline_due;
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

void
run_offer(struct run *run)
{
    struct sidecar *sidecar = run->sidecar;
    struct pgw_admit_answer answer;

    /* Imported before it is admitted: the gate counts what is then left to
     * compute. */
    if (!run->import_asked && sidecar->is_model) {
        run->import_asked = true;
        if (kv_ask(sidecar->kv, run)) {
            return;
        }
    }
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
gate_import_done(struct run *run, uint32_t tokens)
{
    uint32_t total = run->chain.prompt_tokens;
    enum pgw_refusal refusal;
    const char *message;

    run->item.uncached_tokens =
        MIN(run->item.uncached_tokens, total - MIN(total, tokens));
    if (must_refuse(run->sidecar, run->open->model, run->open->version,
                    &refusal, &message)) {
        run_send_fail(run, refusal, PGW_RAN_NO, gate_backoff_ms(run->sidecar),
                      message);
        gate_finish(run);
        return;
    }
    run_offer(run);
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
        run_send_fail(run, refusal, PGW_RAN_NO, gate_backoff_ms(run->sidecar),
                      message);
        run_free(run);
        return;
    }
    if (!sidecar->is_model || suspicion_ask(sidecar->suspicion, run)) {
        run_offer(run);
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
    gate_abandon(run);
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

    peer->has_heartbeat |= window->bytes == 0;
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

static struct run *
first_unanswered(struct sidecar *sidecar)
{
    pgw_list_foreach (link, &sidecar->all_runs) {
        struct run *run = pgw_container_of(link, struct run, link);

        if (!run->ended) {
            return run;
        }
    }
    return NULL;
}

static struct run *
first_late(struct sidecar *sidecar)
{
    pgw_list_foreach (link, &sidecar->all_runs) {
        struct run *run = pgw_container_of(link, struct run, link);

        if (run->state == RUN_WAITING && !run_fits_drain(run)) {
            return run;
        }
    }
    return NULL;
}

void
gate_refuse_late(struct sidecar *sidecar)
{
    uint64_t now = pgw_now_us();
    struct run *run;

    pgw_list_foreach (link, &sidecar->all_runs) {
        run = pgw_container_of(link, struct run, link);
        if (run->state == RUN_SENT || run->state == RUN_STARTED) {
            pgw_run_times_add(&sidecar->run_times, now - run->sent_us, now);
        }
    }
    /* The end of one may start others. */
    while ((run = first_late(sidecar)) != NULL) {
        run_refuse_late(run);
    }
}

void
gate_refuse_rest(struct sidecar *sidecar)
{
    struct run *run;

    /* Those that wait go first, or the end of others would start them. */
    gate_refuse_waiting(sidecar, PGW_REFUSAL_LEAVING);
    while ((run = first_unanswered(sidecar)) != NULL) {
        if (run->state == RUN_BROKEN) {
            run_send_fail(run, PGW_REFUSAL_UPSTREAM_FAILED, PGW_RAN_UNKNOWN, 0,
                          "the upstream crashed");
            continue;
        }
        run_give_up(run, PGW_REFUSAL_LEAVING,
                    "the instance stops: send to another one",
                    "the instance stops and its drain timeout has passed");
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

/*
 * Behind a suspect that runs alone everything waits, nobody knows how long.
 * Refusing it told callers of a small pool that no upstream could be reached
 * while suspects ran on all of them; so it counts as a long queue, which
 * others go round as long as there is a shorter one.
 */
static uint64_t
wait_alone_us(const struct sidecar *sidecar)
{
    return sidecar->exclusive == NULL ? 0 : WAIT_ALONE_US;
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
    reply.waiting = load.waiting + (sidecar->exclusive != NULL);
    reply.ttft_us =
        (uint32_t)MIN(ttft_us + wait_alone_us(sidecar), UINT32_MAX);
    reply.leaving = !sidecar_takes_work(sidecar);
    reply.refuses = must_refuse(sidecar, probe->model, probe->version,
                                &refusal, &message) ||
                    (probe->deadline_ms > 0 &&
                     ttft_us > (uint64_t)probe->deadline_ms * 1000);
    reply.gather = suspicion_gathers(sidecar->suspicion, probe);
    reply.version = sidecar->engine.version;
    reply.engine = sidecar->engine.incarnation;
    pgw_link_send(peer->connection, PGW_FRAME_PROBE_REPLY, &reply.base);
}
