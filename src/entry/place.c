#include "entry/exchange.h"
#include "entry/levels_frame.h"
#include "entry/lost.h"
#include "entry/upstream.h"
#include "util/log.h"
#include "util/random.h"

/* Sidecars answer within a fraction of a millisecond; one that is slower than
 * this is left out of the choice rather than waited for. */
#define PROBE_TIMEOUT_US UINT64_C(20000)
/* After a restart the first connections take a moment; a request that comes
 * earlier waits for them instead of being refused. */
#define NOBODY_RETRY_US UINT64_C(25000)
#define NOBODY_TRIES 12
#define NO_UPSTREAM_RETRY_MS 500

/**
 * struct placement - the choice of an upstream for one attempt
 * @probe: number of the probe round, 0 while none is out
 * @probed_us: when the first probe was sent
 * @ranks: indexes into the pool, best first
 * @n_ranks: number of @ranks
 * @next_rank: first rank not asked yet
 * @candidates: asked upstreams and their answers
 * @asked: the same; NULL for one that was dropped meanwhile
 * @n_candidates: number of both
 * @n_answered: answers that came
 * @spills: rounds that asked further ranks
 * @connecting: one of the first ranks is not connected yet, for the first
 *              time since this process began
 * @tries: times that no upstream was found
 */
struct placement {
    uint64_t probe;
    uint64_t probed_us;
    uint32_t ranks[PGW_PLACE_RANK_MAX];
    size_t n_ranks;
    size_t next_rank;
    struct pgw_place_candidate candidates[PGW_PLACE_RANK_MAX];
    struct upstream *asked[PGW_PLACE_RANK_MAX];
    size_t n_candidates;
    size_t n_answered;
    unsigned spills;
    bool connecting;
    unsigned tries;
};

static void decide(struct exchange *exchange);

static uint64_t
candidate_number(const struct upstream *upstream)
{
    return pgw_place_id_hash(upstream->id);
}

static void
stop_probing(struct exchange *exchange)
{
    struct placement *placement = exchange->placement;

    pgw_timer_stop(exchange->entry->loop, &exchange->place_timer);
    if (placement->probe != 0) {
        g_hash_table_remove(exchange->entry->probes, &placement->probe);
        placement->probe = 0;
    }
}

void
place_cancel(struct exchange *exchange)
{
    pgw_timer_stop(exchange->entry->loop, &exchange->place_timer);
    if (exchange->placement != NULL) {
        stop_probing(exchange);
        g_clear_pointer(&exchange->placement, g_free);
    }
}

/* Only the first in rank tells copies of one request apart. */
static void
send_probe(struct exchange *exchange, struct upstream *upstream, bool is_first)
{
    const struct exchange_request *request = &exchange->request;
    Pgw__Probe probe = PGW__PROBE__INIT;
    struct levels_frame levels;

    levels_frame_init(&levels, &request->chain);
    probe.probe = exchange->placement->probe;
    probe.workspace = request->workspace;
    probe.share = request->share;
    probe.priority = request->priority;
    probe.prompt_tokens = request->chain.prompt_tokens;
    probe.deadline_ms =
        pgw_attempt_deadline_ms(&exchange->attempt, pgw_now_us());
    probe.model = request->model;
    probe.version = request->version;
    probe.n_levels = request->chain.count;
    probe.levels = levels.pointers;
    if (is_first && exchange->format != FORMAT_SERVICE) {
        probe.fingerprint.data = exchange->request.fingerprint.bytes;
        probe.fingerprint.len = PGW_FINGERPRINT_SIZE;
    }
    pgw_link_send(upstream->link, PGW_FRAME_PROBE, &probe.base);
}

/* Asks up to @wanted more upstreams; returns how many. */
static size_t
ask_more(struct exchange *exchange, const struct pool *pool, size_t wanted)
{
    struct placement *placement = exchange->placement;
    size_t first = placement->n_candidates;

    while (placement->next_rank < placement->n_ranks &&
           placement->n_candidates - first < wanted) {
        uint32_t index = placement->ranks[placement->next_rank++];
        struct upstream *upstream;

        /* The pool may have shrunk since it was ranked. */
        if (index >= pool->count) {
            continue;
        }
        upstream = pool->upstreams[index];
        if (pgw_attempt_was_tried(&exchange->attempt,
                                  candidate_number(upstream))) {
            continue;
        }
        if (!upstream_can_talk(upstream)) {
            placement->connecting = true;
            continue;
        }
        placement->asked[placement->n_candidates] = upstream;
        placement->candidates[placement->n_candidates++] =
            (struct pgw_place_candidate){
                .index = index,
                .same_zone = strcmp(upstream->zone,
                                    exchange->entry->settings->zone) == 0,
            };
        send_probe(exchange, upstream, placement->n_candidates == 1);
    }
    return placement->n_candidates - first;
}

static void
start_probing(struct exchange *exchange)
{
    struct entry *entry = exchange->entry;
    struct placement *placement = exchange->placement;

    placement->probe = ++entry->probe_serial;
    g_hash_table_insert(entry->probes, &placement->probe, exchange);
    pgw_timer_start(entry->loop, &exchange->place_timer, PROBE_TIMEOUT_US);
}

/*
 * The claims of one object are written by one sidecar, the first in rank
 * whatever the policy, so a call that may not be repeated asks only that one;
 * it still asks, because a call sent into a dead connection would end as
 * "unknown", which nobody may repeat.
 */
static size_t
rank(struct exchange *exchange, const struct pool *pool)
{
    struct entry *entry = exchange->entry;
    struct placement *placement = exchange->placement;
    const struct exchange_request *request = &exchange->request;
    const struct pgw_place_node *nodes = pool_nodes(pool, request->version);

    if (nodes == NULL) {
        return 0;
    }
    if (!request->repeatable) {
        return pgw_place_rank(placement->ranks, PGW_PLACE_RANK_MAX, nodes,
                              pool->count, &request->chain);
    }
    return entry->policy->rank(placement->ranks, PGW_PLACE_RANK_MAX, nodes,
                               pool->count, &request->chain, entry->turn++);
}

static size_t
fanout(const struct exchange *exchange)
{
    const struct entry *entry = exchange->entry;

    if (!exchange->request.repeatable) {
        return 1;
    }
    if (entry->policy->fixed_probes) {
        return entry->policy->probes;
    }
    return entry->policy->probes == 0 ? PGW_PLACE_RANK_MAX
                                      : entry->settings->probe_fanout;
}

static bool
probe_first_ranks(struct exchange *exchange)
{
    struct entry *entry = exchange->entry;
    struct placement *placement = exchange->placement;
    struct pool *pool = pool_find(entry, exchange->request.pool);

    placement->n_ranks = 0;
    if (pool == NULL) {
        return false;
    }
    version_stamp(exchange, pool);
    placement->n_ranks = rank(exchange, pool);
    if (placement->n_ranks == 0) {
        return false;
    }
    placement->probed_us = pgw_now_us();
    start_probing(exchange);
    ask_more(exchange, pool, fanout(exchange));
    /*
     * Right after a start the best ranks may still be connecting. Passing
     * them over would place the first requests elsewhere than before the
     * restart and compute their prefixes anew, for the sake of milliseconds.
     */
    if (placement->n_candidates == 0 ||
        (placement->connecting && placement->tries + 1 < NOBODY_TRIES)) {
        stop_probing(exchange);
        return false;
    }
    return true;
}

static void
refuse_no_upstream(struct exchange *exchange)
{
    struct pgw_attempt_event event = {.kind = PGW_ATTEMPT_EXHAUSTED};
    struct refusal refusal = {0};

    place_cancel(exchange);
    if (version_shift(exchange)) {
        place_begin(exchange);
        return;
    }
    /* A first attempt that finds nobody was never sent anywhere. */
    if (exchange->attempt.count == 0) {
        refusal_set(&refusal, PGW_REFUSAL_NO_UPSTREAM, PGW_RAN_NO,
                    NO_UPSTREAM_RETRY_MS,
                    "no upstream of pool '%s' can be reached and runs "
                    "weights '%s': see 'parsleygw status'",
                    exchange->request.pool, exchange->request.version);
        forward_refuse(exchange, &refusal);
        refusal_dispose(&refusal);
        return;
    }
    forward_step(exchange, &event, NULL);
}

static void
place_try(struct exchange *exchange)
{
    struct placement *placement = exchange->placement;

    if (probe_first_ranks(exchange)) {
        return;
    }
    if ((placement->n_ranks > 0 && !placement->connecting) ||
        ++placement->tries >= NOBODY_TRIES) {
        refuse_no_upstream(exchange);
        return;
    }
    placement->connecting = false;
    placement->next_rank = 0;
    placement->n_candidates = 0;
    placement->n_answered = 0;
    pgw_timer_start(exchange->entry->loop, &exchange->place_timer,
                    NOBODY_RETRY_US);
}

void
place_begin(struct exchange *exchange)
{
    place_cancel(exchange);
    exchange->placement = g_new0(struct placement, 1);
    place_try(exchange);
}

static void
send_to(struct exchange *exchange, size_t position, uint64_t cost_us)
{
    struct placement *placement = exchange->placement;
    const struct pgw_place_candidate *candidate =
        &placement->candidates[position];
    struct upstream *upstream = placement->asked[position];
    uint32_t total = exchange->request.chain.prompt_tokens;
    uint32_t missing = total - MIN(total, candidate->matched_tokens);

    pgw_trace_record(exchange->entry->trace, PGW_TRACE_PLACE, &exchange->id, 0,
                     candidate->matched_tokens, cost_us, upstream->id);
    place_cancel(exchange);
    exchange->versions_tried.n = 0;
    forward_send(exchange, upstream,
                 exchange->format == FORMAT_SERVICE ? 0 : missing);
}

/* Brings the candidates up to date for the choice. */
static void
refresh(struct exchange *exchange)
{
    struct placement *placement = exchange->placement;
    uint64_t now = pgw_now_us();

    for (size_t i = 0; i < placement->n_candidates; i++) {
        struct pgw_place_candidate *candidate = &placement->candidates[i];
        struct upstream *upstream = placement->asked[i];

        /* A sidecar may have gone since it was asked. */
        if (upstream == NULL || !upstream_can_talk(upstream)) {
            candidate->answered = true;
            candidate->refuses = true;
            continue;
        }
        candidate->age_us = now - placement->probed_us;
        candidate->charged_tokens =
            pgw_place_charge_since(&upstream->charge, placement->probed_us);
    }
}

/*
 * A prefix that became hot without warning is cached on its first ranks only,
 * and all of them are overloaded together: seen as a queue of seconds there
 * beside idle upstreams. Asking ever more ranks while the best one is over its
 * bound spreads it over the pool as far as its load needs.
 */
static bool
ask_further(struct exchange *exchange)
{
    struct placement *placement = exchange->placement;
    struct pool *pool = pool_find(exchange->entry, exchange->request.pool);
    unsigned most =
        exchange->request.repeatable ? exchange->entry->policy->rounds : 1;

    if (pool == NULL || placement->spills >= most) {
        return false;
    }
    start_probing(exchange);
    if (ask_more(exchange, pool, fanout(exchange) << placement->spills++) ==
        0) {
        stop_probing(exchange);
        return false;
    }
    return true;
}

static void
decide(struct exchange *exchange)
{
    struct entry *entry = exchange->entry;
    struct placement *placement = exchange->placement;
    struct pgw_place_weights weights = PGW_PLACE_WEIGHTS_INIT;
    struct pgw_place_choice choice;

    stop_probing(exchange);
    refresh(exchange);
    weights.ttft_weight = exchange->request.ttft_weight;
    if (!pgw_place_choose_first_available(&choice, placement->candidates,
                                          placement->n_candidates)) {
        entry->policy->choose(
            &choice, placement->candidates, placement->n_candidates, &weights,
            exchange->request.chain.prompt_tokens, pgw_random_u64());
    }
    if ((!choice.found || choice.spill) && ask_further(exchange)) {
        return;
    }
    if (!choice.found) {
        refuse_no_upstream(exchange);
        return;
    }
    send_to(exchange, choice.position, choice.cost_us);
}

/*
 * One sidecar that is slow to answer would hold up every request that asks it
 * among others. Most requests need no further answer once one is good.
 */
static bool
is_settled(struct exchange *exchange)
{
    const struct placement *placement = exchange->placement;
    struct pgw_place_weights weights = PGW_PLACE_WEIGHTS_INIT;

    if (exchange->entry->policy->settled == NULL ||
        exchange->format == FORMAT_SERVICE ||
        !placement->candidates[0].answered) {
        return false;
    }
    refresh(exchange);
    weights.ttft_weight = exchange->request.ttft_weight;
    return exchange->entry->policy->settled(placement->candidates,
                                            placement->n_candidates, &weights,
                                            &exchange->request.chain);
}

void
place_take_reply(struct entry *entry, struct upstream *upstream,
                 const Pgw__ProbeReply *reply)
{
    struct exchange *exchange =
        g_hash_table_lookup(entry->probes, &reply->probe);
    struct placement *placement;

    if (exchange == NULL) {
        return;
    }
    placement = exchange->placement;
    for (size_t i = 0; i < placement->n_candidates; i++) {
        struct pgw_place_candidate *candidate = &placement->candidates[i];

        if (placement->asked[i] != upstream || candidate->answered) {
            continue;
        }
        candidate->answered = true;
        candidate->matched_tokens = reply->matched_tokens;
        candidate->queued_tokens = reply->queued_tokens;
        candidate->running = reply->running;
        candidate->waiting = reply->waiting;
        candidate->ttft_us = reply->ttft_us;
        candidate->refuses = reply->refuses;
        candidate->leaving = reply->leaving;
        candidate->gather = reply->gather;
        placement->n_answered++;
        break;
    }
    if (placement->n_answered == placement->n_candidates ||
        is_settled(exchange)) {
        decide(exchange);
    }
}

void
place_forget(struct entry *entry, const struct upstream *upstream)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, entry->probes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct placement *placement = ((struct exchange *)value)->placement;

        for (size_t i = 0; i < placement->n_candidates; i++) {
            if (placement->asked[i] == upstream) {
                placement->asked[i] = NULL;
            }
        }
    }
}

void
place_timer_due(struct pgw_timer *timer)
{
    struct exchange *exchange =
        pgw_container_of(timer, struct exchange, place_timer);

    if (exchange->placement == NULL && exchange->suspect &&
        lost_is_open(exchange->entry)) {
        pgw_timer_start(exchange->entry->loop, &exchange->place_timer,
                        NOBODY_RETRY_US);
    }
    else if (exchange->placement == NULL) {
        place_begin(exchange);
    }
    else if (exchange->placement->probe != 0) {
        decide(exchange);
    }
    else {
        place_try(exchange);
    }
}
