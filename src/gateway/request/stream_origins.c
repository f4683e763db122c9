#include "gateway/request/stream_origins.h"
#include "gateway/request/exchange.h"
#include "gateway/request/stream_ledger.h"
#include "util/log.h"
#include "util/metric.h"
#include <string.h>
#include <xxhash.h>

/* Attempts of an entry that are kept: 600 a second for a minute. */
#define OWN_RECORDS_MAX 65536
/* Sidecars that may own attempts, of those that are not leaving: those with
 * the lowest hashes. An entry is connected to as many for quotas. */
#define OWNERS_MAX PGW_QUOTA_OWNERS_MAX
/* Sidecars that are asked: the list changes between a send and an ask. */
#define ASKED 4
/* Longest wait for answers of sidecars: far above a round trip plus an event
 * loop turn of a busy process. */
#define ANSWER_WAIT_US 150000
/* Attempts are sent together after this time, and later if the bytes do not
 * suffice. A stream's first event comes later than this. */
#define FLUSH_US 20000
/* Half of the control traffic that a process may cause. */
#define BYTES_PER_S 8000
/* Bytes of a message, and of an attempt in it. */
#define MESSAGE_BYTES 24
#define ORIGIN_BYTES 5
/* An attempt is dropped after so many flushes without a reachable sidecar: an
 * entry that has just started connects to them within a second. */
#define FLUSHES_MAX 50
/* Attempts that wait to be sent; the oldest are dropped. */
#define PENDING_MAX 16384
/* When a caller may retry whose stream no sidecar knows: what the first entry
 * sent may still arrive. */
#define UNKNOWN_RETRY_MS 250
/* For this time after the start, a stream that nobody knows waits for links to
 * sidecars and for the record of its service. Links are open within a second.
 */
#define START_WAIT_US 1500000
/* Interval at which it is looked for again. */
#define LOOK_AGAIN_US 50000
/* Sidecars that connect within this time get what they own together. */
#define SEND_AGAIN_US 300000

static struct pgw_metric_counter resumed = {
    .name = "pgw_gateway_streams_resumed_total",
    .help = "Streams that callers took up again at a known software version",
};
static struct pgw_metric_counter unknown = {
    .name = "pgw_gateway_streams_unknown_total",
    .help = "Streams that callers took up again and whose software version is "
            "not known",
};
static struct pgw_metric_counter gone = {
    .name = "pgw_gateway_streams_version_gone_total",
    .help = "Streams that could not go on, since no upstream runs their "
            "software version",
};
static struct pgw_metric_counter dropped = {
    .name = "pgw_gateway_stream_origins_dropped_total",
    .help = "Attempts whose software version was not sent to sidecars in time",
};

/*
 * struct pending_origin - an attempt that is to be sent
 * @flushes: flushes at which no sidecar was reachable
 */
struct pending_origin {
    struct pgw_stream_origin origin;
    unsigned flushes;
};

/*
 * struct owner_list - sidecars that own attempts
 * @items: their upstreams; references are held
 */
struct owner_list {
    struct pgw_upstream *items[OWNERS_MAX];
    size_t count;
};

/*
 * @own: attempts of this entry
 * @owners: sidecars that attempts are sent to
 * @leaving: sidecars of leaving engines, which are asked only
 * @pending: of &struct pending_origin, the oldest first
 * @sent_pools: pools whose attempts were sent to sidecars at the last attempt
 * @available_bytes: bytes that may be sent now
 * @asks: number of an ask -> the &struct pgw_exchange that waits for answers
 */
struct pgw_stream_origins {
    struct pgw_gateway *gateway;
    struct pgw_stream_ledger *own;
    struct owner_list owners;
    struct owner_list leaving;
    GArray *pending;
    GHashTable *sent_pools;
    struct pgw_timer send_again_timer;
    struct pgw_timer flush_timer;
    double available_bytes;
    uint64_t refilled_at_us;
    GHashTable *asks;
    uint64_t last_ask;
};

static void
owners_clear(struct owner_list *owners)
{
    for (size_t i = 0; i < owners->count; i++) {
        pgw_upstream_unref(owners->items[i]);
    }
    owners->count = 0;
}

/* Keeps the upstreams with the lowest hashes, in their order. */
static void
owners_insert(struct owner_list *owners, struct pgw_upstream *upstream)
{
    size_t position;

    if (owners->count == OWNERS_MAX) {
        if (upstream->id_hash >= owners->items[OWNERS_MAX - 1]->id_hash) {
            return;
        }
        pgw_upstream_unref(owners->items[--owners->count]);
    }
    position = owners->count++;
    while (position > 0 &&
           upstream->id_hash < owners->items[position - 1]->id_hash) {
        owners->items[position] = owners->items[position - 1];
        position--;
    }
    owners->items[position] = pgw_upstream_ref(upstream);
}

void
pgw_stream_origins_upstreams_changed(struct pgw_stream_origins *origins)
{
    uint64_t now_us = pgw_now_us();

    owners_clear(&origins->owners);
    owners_clear(&origins->leaving);
    pgw_list_foreach (link,
                      pgw_upstream_table_all(origins->gateway->upstreams)) {
        struct pgw_upstream *upstream =
            pgw_container_of(link, struct pgw_upstream, in_table);

        if (upstream->model_count > 0) {
            owners_insert(pgw_upstream_is_leaving(upstream, now_us)
                              ? &origins->leaving
                              : &origins->owners,
                          upstream);
            pgw_software_records_add(origins->gateway->software_records,
                                     upstream->service);
        }
    }
    pgw_software_records_check(origins->gateway->software_records);
}

/* Finds the reachable sidecars with the highest scores for an attempt. */
static size_t
rank_owners(struct pgw_upstream **out, size_t max_count,
            const struct pgw_gateway *gateway, const struct owner_list *owners,
            uint32_t id)
{
    uint64_t scores[ASKED];
    size_t count = 0;

    g_assert(max_count <= ASKED);
    for (size_t i = 0; i < owners->count; i++) {
        struct pgw_upstream *upstream = owners->items[i];
        uint64_t score = XXH3_64bits_withSeed(&upstream->id_hash,
                                              sizeof(upstream->id_hash), id);
        size_t position = count;

        while (position > 0 && score > scores[position - 1]) {
            position--;
        }
        if (position == max_count ||
            !gateway->sidecars->reaches(gateway->sidecars_context, upstream)) {
            continue;
        }
        count = MIN(count + 1, max_count);
        for (size_t j = count - 1; j > position; j--) {
            scores[j] = scores[j - 1];
            out[j] = out[j - 1];
        }
        scores[position] = score;
        out[position] = upstream;
    }
    return count;
}

static void
refill(struct pgw_stream_origins *origins, uint64_t now_us)
{
    origins->available_bytes +=
        (double)(now_us - origins->refilled_at_us) * BYTES_PER_S / 1e6;
    origins->available_bytes = MIN(origins->available_bytes, BYTES_PER_S);
    origins->refilled_at_us = now_us;
}

/* Moves all pending attempts to the messages of their owners. */
static GHashTable *
group_by_owner(struct pgw_stream_origins *origins)
{
    GArray *unreachable =
        g_array_new(FALSE, FALSE, sizeof(struct pending_origin));
    GHashTable *groups =
        g_hash_table_new_full(NULL, NULL, NULL, (GDestroyNotify)g_array_unref);

    for (guint i = 0; i < origins->pending->len; i++) {
        struct pending_origin *item =
            &g_array_index(origins->pending, struct pending_origin, i);
        const struct pgw_stream_origin *origin = &item->origin;
        struct pgw_upstream *owners[PGW_STREAM_OWNERS];
        size_t count = rank_owners(owners, PGW_STREAM_OWNERS, origins->gateway,
                                   &origins->owners, origin->id);

        for (size_t j = 0; j < count; j++) {
            GArray *group = g_hash_table_lookup(groups, owners[j]);

            if (group == NULL) {
                group = g_array_new(FALSE, FALSE, sizeof(*origin));
                g_hash_table_insert(groups, owners[j], group);
            }
            g_array_append_vals(group, origin, 1);
        }
        if (count == 0 && ++item->flushes < FLUSHES_MAX) {
            g_array_append_vals(unreachable, item, 1);
        }
        else if (count == 0) {
            pgw_metric_counter_add(&dropped, 1);
        }
    }
    g_array_unref(origins->pending);
    origins->pending = unreachable;
    return groups;
}

static void
on_flush(struct pgw_timer *timer)
{
    struct pgw_stream_origins *origins =
        pgw_container_of(timer, struct pgw_stream_origins, flush_timer);
    struct pgw_gateway *gateway = origins->gateway;
    GHashTable *groups;
    GHashTableIter iter;
    void *owner;
    void *value;

    refill(origins, pgw_now_us());
    if (gateway->sidecars != NULL && origins->available_bytes > 0) {
        groups = group_by_owner(origins);
        g_hash_table_iter_init(&iter, groups);
        while (g_hash_table_iter_next(&iter, &owner, &value)) {
            GArray *group = value;

            gateway->sidecars->send_origins(
                gateway->sidecars_context, owner,
                (const struct pgw_stream_origin *)(void *)group->data,
                group->len);
            origins->available_bytes -=
                MESSAGE_BYTES + ORIGIN_BYTES * group->len;
        }
        g_hash_table_destroy(groups);
    }
    if (origins->pending->len > 0) {
        pgw_timer_start(gateway->loop, timer, FLUSH_US);
    }
}

static void
enqueue(uint64_t id, const char *software, void *context)
{
    struct pgw_stream_origins *origins = context;
    struct pending_origin item = {
        .origin = {.id = (uint32_t)id, .software = software},
    };

    if (origins->pending->len >= PENDING_MAX) {
        pgw_metric_counter_add(&dropped, 1);
        g_array_remove_index(origins->pending, 0);
    }
    g_array_append_val(origins->pending, item);
    if (origins->flush_timer.position == 0) {
        pgw_timer_start(origins->gateway->loop, &origins->flush_timer,
                        FLUSH_US);
    }
}

static struct pgw_upstream_pool *
pool_of(const struct pgw_exchange *exchange)
{
    return (struct pgw_upstream_pool *)pgw_upstream_table_pool(
        exchange->gateway->upstreams, exchange->service);
}

static bool
is_mixed(const struct pgw_exchange *exchange)
{
    const struct pgw_upstream_pool *pool = pool_of(exchange);

    return pool != NULL && pgw_upstream_pool_is_mixed(pool, pgw_now_us());
}

static bool
is_single(const struct pgw_exchange *exchange)
{
    return pgw_software_records_is_single(exchange->gateway->software_records,
                                          exchange->service);
}

/* Keeps the version of an attempt. When a second version appears, sidecars get
 * those of all earlier attempts, too. */
static void
record_origin(struct pgw_stream_origins *origins,
              const struct pgw_exchange *exchange, uint64_t id,
              const char *software)
{
    struct pgw_upstream_pool *pool = pool_of(exchange);

    pgw_stream_ledger_put(origins->own, id, software, pgw_now_us());
    if (is_single(exchange)) {
        g_hash_table_remove(origins->sent_pools, pool);
        return;
    }
    if (g_hash_table_add(origins->sent_pools, pool)) {
        pgw_stream_ledger_foreach(origins->own, pgw_now_us(), enqueue,
                                  origins);
    }
    else {
        enqueue(id, software, origins);
    }
}

static void
on_send_again(struct pgw_timer *timer)
{
    struct pgw_stream_origins *origins =
        pgw_container_of(timer, struct pgw_stream_origins, send_again_timer);

    if (g_hash_table_size(origins->sent_pools) > 0) {
        pgw_stream_ledger_foreach(origins->own, pgw_now_us(), enqueue,
                                  origins);
    }
}

void
pgw_stream_origins_sidecar_connected(struct pgw_stream_origins *origins)
{
    if (origins->send_again_timer.position == 0) {
        pgw_timer_start(origins->gateway->loop, &origins->send_again_timer,
                        SEND_AGAIN_US);
    }
}

struct pgw_stream_origins *
pgw_stream_origins_new(struct pgw_gateway *gateway)
{
    struct pgw_stream_origins *origins = g_new0(struct pgw_stream_origins, 1);

    pgw_metric_register_counter(&resumed);
    pgw_metric_register_counter(&unknown);
    pgw_metric_register_counter(&gone);
    pgw_metric_register_counter(&dropped);
    origins->gateway = gateway;
    origins->own =
        pgw_stream_ledger_new(PGW_SOFTWARE_MIXED_US, OWN_RECORDS_MAX);
    origins->pending =
        g_array_new(FALSE, FALSE, sizeof(struct pending_origin));
    origins->sent_pools = g_hash_table_new(NULL, NULL);
    origins->asks = g_hash_table_new(g_int64_hash, g_int64_equal);
    origins->send_again_timer.on_due = on_send_again;
    origins->flush_timer.on_due = on_flush;
    origins->available_bytes = BYTES_PER_S;
    origins->refilled_at_us = pgw_now_us();
    return origins;
}

void
pgw_stream_origins_free(struct pgw_stream_origins *origins)
{
    pgw_timer_stop(origins->gateway->loop, &origins->flush_timer);
    pgw_timer_stop(origins->gateway->loop, &origins->send_again_timer);
    owners_clear(&origins->owners);
    owners_clear(&origins->leaving);
    g_hash_table_destroy(origins->asks);
    g_hash_table_destroy(origins->sent_pools);
    g_array_unref(origins->pending);
    pgw_stream_ledger_free(origins->own);
    g_free(origins);
}

static uint64_t
hash_attempt(const char *id)
{
    return XXH3_64bits(id, strlen(id));
}

static bool
is_resumable(const struct pgw_exchange *exchange)
{
    return exchange->route->stream && exchange->route->resumable;
}

bool
pgw_stream_origin_is_resumed(const struct pgw_exchange *exchange)
{
    const struct pgw_request_facts *facts = &exchange->facts;

    return is_resumable(exchange) && facts->has_resume &&
           (facts->resumes != NULL || facts->resume_after > 0);
}

/* A stream that has begun is cut off: its caller may take it up again. */
static void
refuse(struct pgw_exchange *exchange, const char *reason,
       uint32_t retry_after_ms)
{
    pgw_log_info(
        "stream_refused", "request=%s resumes=%s reason=%s software=%s",
        exchange->facts.id,
        exchange->facts.resumes == NULL ? "-" : exchange->facts.resumes,
        reason, exchange->software == NULL ? "-" : exchange->software);
    if (pgw_exchange_may_have_run(exchange)) {
        pgw_exchange_refuse(exchange, 502, reason, 0);
    }
    else {
        pgw_exchange_refuse(exchange, 503, reason, retry_after_ms);
    }
}

/* @source: who knew the version, for logs */
static void
fix_version(struct pgw_exchange *exchange, const char *software,
            const char *source)
{
    struct pgw_stream_origins *origins = exchange->gateway->stream_origins;

    exchange->software = software;
    exchange->software_is_fixed = true;
    pgw_metric_counter_add(&resumed, 1);
    pgw_log_info(
        "stream_origin", "request=%s resumes=%s software=%s source=%s",
        exchange->facts.id,
        exchange->facts.resumes == NULL ? "-" : exchange->facts.resumes,
        software == NULL ? "-" : software, source);
    if (exchange->facts.resumes != NULL && software != NULL) {
        exchange->origin_id = hash_attempt(exchange->facts.resumes);
        record_origin(origins, exchange, exchange->origin_id, software);
        pgw_stream_records_begin(exchange->gateway->stream_records,
                                 exchange->origin_id, software);
    }
}

/* Nobody knows the attempt. Returns whether the request was refused. */
static bool
decide_unknown(struct pgw_exchange *exchange)
{
    if (!is_single(exchange)) {
        pgw_metric_counter_add(&unknown, 1);
        refuse(exchange, "stream_origin_unknown", UNKNOWN_RETRY_MS);
        return true;
    }
    fix_version(exchange, pgw_upstream_pool_software(pool_of(exchange)),
                "single");
    return false;
}

static void
on_look_again(struct pgw_timer *timer)
{
    pgw_exchange_dispatch(
        pgw_container_of(timer, struct pgw_exchange, origin_timer));
}

/* Whether an entry that has just started may soon know more. */
static bool
may_learn(const struct pgw_exchange *exchange)
{
    const struct pgw_gateway *gateway = exchange->gateway;

    return gateway->sidecars != NULL &&
           pgw_now_us() - gateway->started_us < START_WAIT_US &&
           (!exchange->origin_is_complete ||
            !pgw_software_records_is_read(gateway->software_records,
                                          exchange->service));
}

/* Whether the record of an entry that has ended may tell. */
static bool
may_read(const struct pgw_exchange *exchange)
{
    return exchange->facts.resumes != NULL &&
           pgw_stream_records_may_tell(exchange->gateway->stream_records,
                                       exchange->origin_sought_us);
}

/*
 * Failure: an entry that has just started reaches no sidecar yet, or has not
 * read the record of the service. Symptom: it refuses streams that could go
 * on. Returns whether the request waits or was refused.
 */
static bool
wait_or_decide(struct pgw_exchange *exchange)
{
    if (exchange->origin_sought_us == 0) {
        exchange->origin_sought_us = pgw_now_us();
    }
    if (is_single(exchange) || (!may_learn(exchange) && !may_read(exchange))) {
        return decide_unknown(exchange);
    }
    if (exchange->phase != PGW_PHASE_RELAYING) {
        exchange->phase = PGW_PHASE_QUEUED;
    }
    exchange->origin_timer.on_due = on_look_again;
    pgw_timer_start(exchange->gateway->loop, &exchange->origin_timer,
                    LOOK_AGAIN_US);
    return true;
}

static void
stop_waiting(struct pgw_exchange *exchange)
{
    struct pgw_gateway *gateway = exchange->gateway;

    g_hash_table_remove(gateway->stream_origins->asks, &exchange->origin_ask);
    exchange->origin_ask = 0;
    pgw_timer_stop(gateway->loop, &exchange->origin_timer);
}

static void
on_answer_timeout(struct pgw_timer *timer)
{
    struct pgw_exchange *exchange =
        pgw_container_of(timer, struct pgw_exchange, origin_timer);

    stop_waiting(exchange);
    if (!wait_or_decide(exchange)) {
        pgw_exchange_dispatch(exchange);
    }
}

/* Asks the sidecars that may know the attempt; returns their number. */
static unsigned
ask_owners(struct pgw_stream_origins *origins, struct pgw_exchange *exchange,
           uint32_t id)
{
    const struct pgw_gateway *gateway = origins->gateway;
    const struct owner_list *lists[] = {&origins->owners, &origins->leaving};
    unsigned asked = 0;
    size_t known = 0;

    if (gateway->sidecars == NULL) {
        return 0;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(lists); i++) {
        struct pgw_upstream *owners[ASKED];
        size_t count = rank_owners(owners, ASKED, gateway, lists[i], id);

        known += MIN(lists[i]->count, ASKED);
        for (size_t j = 0; j < count; j++) {
            asked += gateway->sidecars->ask_origin(gateway->sidecars_context,
                                                   owners[j],
                                                   exchange->origin_ask, id);
        }
    }
    exchange->origin_is_complete = asked == known;
    return asked;
}

/* Returns whether answers are awaited. */
static bool
start_asking(struct pgw_exchange *exchange, uint64_t id)
{
    struct pgw_gateway *gateway = exchange->gateway;
    struct pgw_stream_origins *origins = gateway->stream_origins;

    exchange->origin_ask = ++origins->last_ask;
    exchange->origin_answers = ask_owners(origins, exchange, (uint32_t)id);
    if (exchange->origin_answers == 0) {
        exchange->origin_ask = 0;
        return false;
    }
    g_hash_table_insert(origins->asks, &exchange->origin_ask, exchange);
    exchange->origin_timer.on_due = on_answer_timeout;
    pgw_timer_start(gateway->loop, &exchange->origin_timer, ANSWER_WAIT_US);
    return true;
}

/* Returns whether the request waits for answers or was refused. */
static bool
find_origin(struct pgw_exchange *exchange)
{
    struct pgw_stream_origins *origins = exchange->gateway->stream_origins;
    const char *software;
    uint64_t id;

    if (exchange->facts.resumes == NULL) {
        return wait_or_decide(exchange);
    }
    id = hash_attempt(exchange->facts.resumes);
    if (pgw_stream_ledger_find(&software, origins->own, id, pgw_now_us())) {
        fix_version(exchange, software, "own");
        return false;
    }
    if (pgw_stream_records_find(&software, exchange->gateway->stream_records,
                                id)) {
        fix_version(exchange, software, "store");
        return false;
    }
    /* Also with a single version here: another entry's list may be newer. */
    return start_asking(exchange, id) || wait_or_decide(exchange);
}

/* Whether no upstream can take the stream, now or later. With a single version
 * it waits for an upstream, as any other request. */
static bool
is_version_gone(const struct pgw_exchange *exchange)
{
    const struct pgw_upstream_pool *pool = pool_of(exchange);

    if (pool == NULL || (exchange->software != NULL &&
                         pgw_upstream_pool_has_software(
                             pool, exchange->software, exchange->tried,
                             exchange->tried_count, pgw_now_us()))) {
        return false;
    }
    return is_mixed(exchange) ||
           (exchange->software != NULL &&
            exchange->software != pgw_upstream_pool_software(pool));
}

/*
 * Failure: a stream goes on at a server of another software version than the
 * one that began it. Symptom: its caller holds events that do not fit
 * together. Every way to an upstream leads through the dispatch, so the
 * version is fixed here for a stream that a caller takes up, and with the
 * first event for any other.
 */
bool
pgw_stream_origin_begin(struct pgw_exchange *exchange)
{
#ifdef PGW_DISABLE_GATEWAY_STREAM_VERSION
    return false;
#endif
    if (!is_resumable(exchange)) {
        return false;
    }
    if (exchange->origin_timer.position != 0 ||
        (!exchange->software_is_fixed &&
         pgw_stream_origin_is_resumed(exchange) && find_origin(exchange))) {
        return true;
    }
    if (!exchange->software_is_fixed || !is_version_gone(exchange)) {
        return false;
    }
    pgw_metric_counter_add(&gone, 1);
    refuse(exchange, "stream_version_gone", 0);
    return true;
}

void
pgw_stream_origin_set_sent(struct pgw_exchange *exchange,
                           const struct pgw_upstream *upstream)
{
    if (!is_resumable(exchange)) {
        return;
    }
    exchange->sent_software = upstream->software;
    if (!exchange->software_is_fixed && upstream->software != NULL) {
        exchange->origin_id = hash_attempt(exchange->facts.id);
        record_origin(exchange->gateway->stream_origins, exchange,
                      exchange->origin_id, upstream->software);
        pgw_stream_records_begin(exchange->gateway->stream_records,
                                 exchange->origin_id, upstream->software);
    }
}

void
pgw_stream_origin_set_begun(struct pgw_exchange *exchange)
{
#ifndef PGW_DISABLE_GATEWAY_STREAM_VERSION
    if (is_resumable(exchange) && !exchange->software_is_fixed) {
        exchange->software = exchange->sent_software;
        exchange->software_is_fixed = true;
    }
#else
    (void)exchange;
#endif
}

void
pgw_stream_origin_set_complete(struct pgw_exchange *exchange)
{
    if (exchange->origin_id != 0) {
        pgw_stream_records_end(exchange->gateway->stream_records,
                               exchange->origin_id);
    }
}

void
pgw_stream_origin_drop(struct pgw_exchange *exchange)
{
    stop_waiting(exchange);
    /* Its caller has none of the stream, and takes up nothing. */
    if (exchange->phase != PGW_PHASE_RELAYING &&
        !exchange->software_is_fixed) {
        pgw_stream_origin_set_complete(exchange);
    }
}

void
pgw_stream_origins_handle_answer(struct pgw_stream_origins *origins,
                                 uint64_t ask,
                                 const struct pgw_stream_origin_answer *answer)
{
    struct pgw_exchange *exchange = g_hash_table_lookup(origins->asks, &ask);

    if (exchange == NULL) {
        return;
    }
    exchange->origin_answers--;
    if (answer->software == NULL && exchange->origin_answers > 0) {
        return;
    }
    stop_waiting(exchange);
    if (answer->software != NULL) {
        fix_version(exchange, answer->software, "sidecar");
    }
    else if (wait_or_decide(exchange)) {
        return;
    }
    pgw_exchange_dispatch(exchange);
}
