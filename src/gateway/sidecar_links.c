#include "gateway/candidates.h"
#include "gateway/crash_quarantine.h"
#include "gateway/report_budget.h"
#include "gateway/sidecar_links_internal.h"
#include "parsleygw/place.h"
#include "util/log.h"
#include "util/random.h"
#include <netinet/in.h>
#include <string.h>

/* A process that does not answer is tried again after this time and up to
 * twice as long. */
#define RECONNECT_US 400000
/* Longest time for which "loading" is believed without another word: one that
 * loads says so once a second. */
#define LOADING_MAX_US 4000000
/* Up to so many engines an entry can get reports of those of other zones, too,
 * and weigh all of them for a prompt. */
#define REPORT_LINKS_MAX PGW_CANDIDATES_MAX
/* The highest count of entries holds for so long. */
#define ENTRIES_HOLD_US 5000000
/* A process that has been silent for so long may be cut off: its word on load
 * and weights is no longer fresh. It speaks once a second. */
#define FRESH_US 2500000

struct pgw_upstream *
pgw_sidecar_link_upstream(const struct pgw_sidecar_links *links,
                          const char *engine)
{
    return pgw_upstream_table_at(pgw_gateway_upstreams(links->gateway),
                                 engine);
}

/* Sidecars count the entries that are connected to them. One that has just
 * started counts few, so a lower number holds only once no higher one has been
 * heard for some seconds: repeats beyond the bound are worse than a few less.
 */
static void
note_entries(struct pgw_sidecar_links *links, uint32_t entries,
             uint64_t now_us)
{
    if (entries >= links->entries ||
        now_us - links->entries_at_us > ENTRIES_HOLD_US) {
        bool changed = links->entries != entries;

        links->entries = entries;
        links->entries_at_us = now_us;
        pgw_gateway_set_entries(links->gateway, entries);
        if (changed && !links->refresh_posted) {
            links->refresh_posted = true;
            pgw_loop_post(links->loop, &links->refresh);
        }
    }
}

void
pgw_sidecar_link_take_part(struct pgw_upstream *upstream, uint64_t key,
                           uint32_t word, uint64_t now_us)
{
    if (word % 2 == 1) {
        pgw_recent_parts_add(&upstream->expected, key, now_us);
    }
    else {
        pgw_upstream_hold(upstream, key, word / 2);
    }
}

struct pgw_upstream_load
pgw_sidecar_link_load(const Pgw__EngineState *state)
{
    return (struct pgw_upstream_load){
        .running = state->running,
        .waiting = state->waiting,
        .long_prefills = state->long_prefills,
        .unread = state->unread,
        .kv_used = state->kv_used,
        .kv_total = state->kv_total,
    };
}

/*
 * Failure: the sidecar that is connected to is that of another engine.
 * Symptom: the upstream counts as reported on, so that the list no longer says
 * which weights it runs, and nobody else does: it is not used any more.
 * Reports that name no engine are of the one that was named before.
 */
static bool
is_for_this_engine(struct sidecar_link *guard, const Pgw__EngineState *state)
{
    if (*state->address != '\0') {
        guard->identified = strcmp(state->address, guard->engine) == 0;
    }
    return guard->identified;
}

static void
take_state(struct sidecar_link *guard, const Pgw__EngineState *state)
{
    struct pgw_upstream *upstream =
        pgw_sidecar_link_upstream(guard->links, guard->engine);
    struct pgw_upstream_load load = pgw_sidecar_link_load(state);
    uint64_t now = pgw_now_us();

    if (upstream == NULL || !is_for_this_engine(guard, state)) {
        return;
    }
    note_entries(guard->links, state->entries, now);
    if (guard->on_request) {
        pgw_sidecar_link_take_probe_answer(guard, upstream, state, now);
        return;
    }
    upstream->guarded = true;
    pgw_upstream_note_seen(upstream, now);
    pgw_upstream_table_started(pgw_gateway_upstreams(guard->links->gateway),
                               upstream, state->started_ms);
    pgw_sidecar_links_rollout_take_state(guard->links, upstream, state, now);
    if (state->parts_reset) {
        pgw_upstream_forget_parts(upstream);
    }
    for (size_t i = 0; i < state->n_part_keys && i < state->n_part_words;
         i++) {
        pgw_sidecar_link_take_part(upstream, state->part_keys[i],
                                   state->part_words[i], now);
    }
    pgw_upstream_set_loading(upstream, state->loading || !state->alive,
                             now + (state->alive ? LOADING_MAX_US : FRESH_US));
    if (state->alive) {
        pgw_upstream_take_load(upstream, &load, now);
    }
    else {
        pgw_crash_quarantine_add_crash(
            pgw_gateway_crash_quarantine(guard->links->gateway), upstream->id,
            now);
    }
    pgw_gateway_pump(guard->links->gateway);
}

static bool
on_frame(struct pgw_link *link, enum pgw_frame_type type,
         ProtobufCMessage *message, void *context)
{
    (void)link;
    if (type == PGW_FRAME_ENGINE_STATE) {
        take_state(context, (const Pgw__EngineState *)message);
    }
    else if (type == PGW_FRAME_QUOTA_ANSWER) {
        pgw_sidecar_link_take_quota_answer(context,
                                           (const Pgw__QuotaAnswer *)message);
    }
    return false;
}

static void
guard_free(void *data)
{
    struct sidecar_link *guard = data;

    pgw_timer_stop(guard->links->loop, &guard->timer);
    g_free(guard->engine);
    g_free(guard);
}

/* The last report may be old: the list speaks again, and a load that was
 * announced is not waited for. */
static void
forget_reports(struct pgw_upstream *upstream)
{
    upstream->guarded = false;
    upstream->loading = false;
    upstream->loads_since_us = 0;
    upstream->loads_next = false;
    pgw_upstream_forget_parts(upstream);
}

/* Only a machine that answers can say that nobody listens: one that is cut off
 * or down says nothing, and its sidecar may be giving orders. */
static void
note_refusal(struct sidecar_link *guard, bool refused)
{
    if (!refused) {
        guard->refused_at_us = 0;
    }
    else if (guard->refused_at_us == 0) {
        guard->refused_at_us = pgw_now_us();
    }
}

static void
on_closed(struct pgw_link *link, const GError *error, void *context)
{
    struct sidecar_link *guard = context;
    struct pgw_sidecar_links *links = guard->links;
    struct pgw_upstream *upstream;

    note_refusal(guard, pgw_link_was_refused(link));
    guard->link = NULL;
    upstream = pgw_sidecar_link_upstream(links, guard->engine);
    if (upstream != NULL) {
        forget_reports(upstream);
        /* Its machine answers, so that its silence would say nothing. */
        if (pgw_link_was_ended_by_peer(link)) {
            upstream->last_seen_us = 0;
        }
    }
    if (links->closing) {
        return;
    }
    pgw_sidecar_links_rollout_schedule(links);
    pgw_log_info("guard_link_lost", "engine=%s reason=%s", guard->engine,
                 error == NULL ? "closed" : error->message);
    if (!guard->wanted) {
        g_hash_table_remove(links->by_engine, guard->engine);
        return;
    }
    pgw_timer_start(links->loop, &guard->timer,
                    RECONNECT_US + pgw_random_u64() % RECONNECT_US);
}

static void
say_hello(const struct sidecar_link *guard)
{
    const struct pgw_gateway *gateway = guard->links->gateway;
    Pgw__Hello hello = PGW__HELLO__INIT;

    hello.protocol = PGW_PROTOCOL_VERSION;
    hello.instance = (char *)pgw_gateway_instance(gateway);
    hello.role = (char *)"entry";
    hello.zone = (char *)pgw_gateway_zone(gateway);
    hello.on_request = guard->on_request;
    hello.age_ms = pgw_gateway_age_ms(gateway);
    pgw_link_send(guard->link, PGW_FRAME_HELLO, &hello.base);
}

static void
on_open(struct pgw_link *link, void *context)
{
    struct sidecar_link *guard = context;

    /*
     * Failure: an entry that started before the sidecars was refused once, and
     * counts from then. Symptom: it gives orders to an engine whose sidecar
     * does so, too. Who is connected to is there.
     */
    (void)link;
    note_refusal(guard, false);
    guard->identified = false;
    say_hello(guard);
    memset(guard->told, 0, sizeof(guard->told));
    pgw_sidecar_link_send_target_weights(guard);
    pgw_sidecar_links_rollout_schedule(guard->links);
}

static const struct pgw_link_ops link_ops = {
    .on_open = on_open,
    .on_frame = on_frame,
    .on_closed = on_closed,
};

static void
connect_due(struct pgw_timer *timer)
{
    struct sidecar_link *guard =
        pgw_container_of(timer, struct sidecar_link, timer);
    GError *error = NULL;

    if (!guard->wanted) {
        g_hash_table_remove(guard->links->by_engine, guard->engine);
        return;
    }
    guard->link = pgw_link_connect(guard->links->loop, &guard->address,
                                   &link_ops, guard, &error);
    if (guard->link == NULL) {
        pgw_log_warning("guard_link", "engine=%s reason=%s", guard->engine,
                        error->message);
        g_error_free(error);
        pgw_timer_start(guard->links->loop, &guard->timer, RECONNECT_US);
    }
}

struct sidecar_link *
pgw_sidecar_link_add(struct pgw_sidecar_links *links,
                     const struct pgw_upstream *upstream, bool on_request)
{
    struct sidecar_link *guard = g_new0(struct sidecar_link, 1);

    guard->links = links;
    guard->engine = g_strdup(upstream->address_text);
    guard->address = upstream->address;
    if (guard->address.storage.ss_family == AF_INET6) {
        ((struct sockaddr_in6 *)&guard->address.storage)->sin6_port =
            htons(links->port);
    }
    else {
        ((struct sockaddr_in *)&guard->address.storage)->sin_port =
            htons(links->port);
    }
    guard->wanted = true;
    guard->on_request = on_request;
    guard->timer.on_due = connect_due;
    g_hash_table_insert(links->by_engine, guard->engine, guard);
    pgw_timer_start(links->loop, &guard->timer, 0);
    return guard;
}

/** struct engine_count - engines in the list, and those of the own zone */
struct engine_count {
    unsigned all;
    unsigned near;
};

static struct engine_count
count_engines(const struct pgw_sidecar_links *links)
{
    struct engine_count count = {0};

    pgw_list_foreach (
        item, pgw_upstream_table_all(pgw_gateway_upstreams(links->gateway))) {
        const struct pgw_upstream *upstream =
            pgw_container_of(item, struct pgw_upstream, in_table);

        if (upstream->model_count > 0) {
            count.all++;
            count.near += upstream->same_zone;
        }
    }
    return count;
}

/* Entries are spread over the zones as engines are, as far as can be known. */
static bool
reports_reach(const struct pgw_sidecar_links *links,
              const struct engine_count *engines)
{
    unsigned far =
        engines->all == 0
            ? 0
            : links->entries * (engines->all - engines->near) / engines->all;

    return engines->all <= REPORT_LINKS_MAX &&
           pgw_report_budget_reaches_remote(far, !links->divided);
}

/* The number of entries has changed. */
static void
refresh_run(struct pgw_task *task)
{
    struct pgw_sidecar_links *links =
        pgw_container_of(task, struct pgw_sidecar_links, refresh);
    struct engine_count engines;

    links->refresh_posted = false;
    if (links->closing) {
        return;
    }
    engines = count_engines(links);
    if (reports_reach(links, &engines) == links->divided) {
        pgw_sidecar_links_refresh(links);
    }
}

struct pgw_sidecar_links *
pgw_sidecar_links_new(struct pgw_loop *loop, struct pgw_gateway *gateway,
                      uint16_t port)
{
    struct pgw_sidecar_links *links = g_new0(struct pgw_sidecar_links, 1);

    links->loop = loop;
    links->gateway = gateway;
    links->port = port;
    links->refresh.run = refresh_run;
    pgw_sidecar_links_rollout_init(links);
    pgw_gateway_set_sidecars(gateway, &pgw_sidecar_links_ops, links);
    links->by_engine =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, guard_free);
    return links;
}

void
pgw_sidecar_links_free(struct pgw_sidecar_links *links)
{
    GHashTableIter iter;
    void *value;

    links->closing = true;
    pgw_gateway_set_sidecars(links->gateway, NULL, NULL);
    g_hash_table_iter_init(&iter, links->by_engine);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sidecar_link *guard = value;

        if (guard->link != NULL) {
            pgw_link_close(guard->link);
        }
    }
    pgw_loop_run_tasks(links->loop);
    g_hash_table_destroy(links->by_engine);
    pgw_sidecar_links_rollout_dispose(links);
    g_free(links);
}

static void
drop_unwanted(struct pgw_sidecar_links *links)
{
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, links->by_engine);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sidecar_link *guard = value;

        if (guard->wanted) {
            continue;
        }
        if (guard->link != NULL) {
            pgw_link_close(guard->link);
        }
        else {
            g_hash_table_iter_remove(&iter);
        }
    }
}

/**
 * struct reach - whose sidecars an entry connects to
 * @reports: all of them, for reports
 * @probes: all of them, so that any home can be asked
 */
struct reach {
    bool reports;
    bool probes;
};

/*
 * Failure: engines come into the list one by one, so that at first they are
 * few, and their sidecars are asked for reports; then there are more, and the
 * reports end. Symptom: all of them count as suspended, since nothing has come
 * from them for seconds. Of one that only answers probes silence says nothing.
 */
static void
set_on_request(struct sidecar_link *guard, struct pgw_upstream *upstream,
               bool on_request)
{
    if (guard->on_request == on_request) {
        return;
    }
    guard->on_request = on_request;
    forget_reports(upstream);
    upstream->last_seen_us = 0;
    if (guard->link != NULL && pgw_link_is_open(guard->link)) {
        say_hello(guard);
    }
}

static void
refresh_link(struct pgw_sidecar_links *links, struct pgw_upstream *upstream,
             const struct reach *reach, uint64_t now_us)
{
    struct sidecar_link *guard =
        g_hash_table_lookup(links->by_engine, upstream->address_text);
    bool reports = upstream->same_zone || reach->reports;

    if (guard == NULL) {
        if (reports || reach->probes) {
            pgw_sidecar_link_add(links, upstream, !reports);
        }
        return;
    }
    guard->wanted =
        reports || reach->probes || pgw_sidecar_link_is_probed(guard, now_us);
    set_on_request(guard, upstream, !reports);
    pgw_sidecar_link_send_target_weights(guard);
}

static void
set_divided(struct pgw_sidecar_links *links, bool divided)
{
    if (links->divided == divided) {
        return;
    }
    links->divided = divided;
    pgw_log_info("far_reports", "asked_for=%d entries=%u", (int)divided,
                 links->entries);
    pgw_upstream_table_set_divided(pgw_gateway_upstreams(links->gateway),
                                   divided);
}

void
pgw_sidecar_links_refresh(struct pgw_sidecar_links *links)
{
    struct engine_count engines = count_engines(links);
    struct reach reach = {
        .reports = reports_reach(links, &engines),
        .probes = engines.all <= PGW_PROBE_LINKS_MAX &&
                  pgw_policy_is_on(pgw_gateway_policy(links->gateway),
                                   PGW_HOME_PROBES),
    };
    uint64_t now = pgw_now_us();
    GHashTableIter iter;
    void *value;

    set_divided(links, !reach.reports);
    g_hash_table_iter_init(&iter, links->by_engine);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((struct sidecar_link *)value)->wanted = false;
    }
    pgw_list_foreach (
        item, pgw_upstream_table_all(pgw_gateway_upstreams(links->gateway))) {
        struct pgw_upstream *upstream =
            pgw_container_of(item, struct pgw_upstream, in_table);

        if (upstream->model_count > 0) {
            refresh_link(links, upstream, &reach, now);
        }
    }
    drop_unwanted(links);
    pgw_quota_upstreams_changed(pgw_gateway_quota(links->gateway));
    pgw_sidecar_links_rollout_schedule(links);
}

void
pgw_sidecar_links_send_target_weights(struct pgw_sidecar_links *links)
{
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, links->by_engine);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        pgw_sidecar_link_send_target_weights(value);
    }
    pgw_sidecar_links_rollout_schedule(links);
}

bool
pgw_sidecar_links_is_refused(const struct pgw_sidecar_links *links,
                             const struct pgw_upstream *upstream,
                             uint64_t for_us)
{
    const struct sidecar_link *guard =
        g_hash_table_lookup(links->by_engine, upstream->address_text);

    return guard != NULL && guard->refused_at_us > 0 &&
           pgw_now_us() - guard->refused_at_us >= for_us;
}
