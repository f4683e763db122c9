#include "sidecar/gate_internal.h"
#include "sidecar/suspicion.h"

/* Tokens of a running answer come many times a second. */
#define SILENT_US UINT64_C(2000000)
/* A dying engine's connections may break some time before it stops to answer;
 * so long does one that lives keep a broken run from being sent again. */
#define DYING_US UINT64_C(200000)

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
gate_run_broke(struct run *run, bool cut)
{
    run->state = RUN_BROKEN;
    run->doubt_us = pgw_now_us() + (cut ? DYING_US : 0);
    if (run->sidecar->engine.alive) {
        engine_suspect(&run->sidecar->engine, run->doubt_us);
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
    if (!engine->alive || engine->incarnation != run->engine) {
        run->settled = true;
        suspicion_crashed(run->sidecar->suspicion, run, run->engine);
        return;
    }
    if (run->ended) {
        run->settled = true;
        if (run->answered) {
            suspicion_succeeded(run->sidecar->suspicion, run);
        }
        gate_finish(run);
        return;
    }
    run_send_fail(run, PGW_REFUSAL_UPSTREAM_FAILED, PGW_RAN_UNKNOWN, 0,
                  "the upstream broke off its answer");
    /* The engine may still be about to end. */
    gate_abandon(run);
}

static void
settle_unsent(struct run *run)
{
    run->settled = true;
    if (!run->ended) {
        run_send_fail(run, PGW_REFUSAL_UPSTREAM_FAILED, PGW_RAN_NO, 0,
                      "the upstream took no connection");
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

/*
 * Failure: an engine breaks off its streams as it dies, and goes on telling
 * for a moment that all is well, or did so just before. Symptom: the run ends
 * as if its engine lived, nobody is suspected, and the request crashes a third
 * engine. Only what was asked well after the break says that it lives.
 */
static bool
knows_engine(const struct run *run)
{
    const struct engine *engine = &run->sidecar->engine;

#ifndef PGW_DISABLE_CRASH_ASKED
    return !engine->alive || engine->incarnation != run->engine ||
           engine->told_us > run->doubt_us;
#else
    (void)engine;
    return true;
#endif
}

static bool
is_unsettled(const struct run *run)
{
    return run->state == RUN_BROKEN && !run->settled && !run->unsent &&
           knows_engine(run);
}

static bool
is_unsent(const struct run *run)
{
    return run->state == RUN_BROKEN && !run->settled && run->unsent &&
           knows_engine(run);
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
    /* The crash is told before others are sent elsewhere: they may be copies
     * of what crashed the engine. */
    if (!sidecar->engine.alive) {
        gate_refuse_waiting(sidecar, PGW_REFUSAL_UPSTREAM_FAILED);
    }
    while ((run = find_first(sidecar, is_unsent)) != NULL) {
        settle_unsent(run);
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
