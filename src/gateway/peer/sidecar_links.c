#include "gateway/crash/crash_quarantine.h"
#include "gateway/peer/sidecar_links_internal.h"
#include "gateway/placement/candidates.h"
#include "gateway/sidecar/report_budget.h"
#include "gateway/upstream/upstream_notice.h"
#include "parsleygw/place.h"
#include "util/log.h"
#include "util/random.h"
#include <netinet/in.h>
#include <string.h>

/* Delay before a lost or refused connection is retried: from this time to
 * twice as long, at random. */
#define RECONNECT_US 400000
/* How long a report that an engine is loading stays valid. A sidecar repeats
 * it once per second. */
#define LOADING_VALID_US 4000000
/* How long a report that an engine is leaving stays valid. A sidecar repeats
 * it once per second. */
#define LEAVING_VALID_US 4000000
/* Largest pool in which an entry gets reports from sidecars of other zones,
 * too, and considers all engines for a prompt. */
#define REPORT_LINKS_MAX PGW_CANDIDATES_MAX
/* How long the highest reported number of entries stays valid. */
#define ENTRY_COUNT_HOLD_US 5000000
/* How long a report that an engine is unreachable stays valid. A sidecar
 * reports at least once per second, so one last seen longer ago may be cut
 * off. */
#define UNREACHABLE_VALID_US 2500000

struct pgw_upstream *
pgw_sidecar_link_upstream(const struct pgw_sidecar_links *links,
                          const char *engine)
{
    return pgw_upstream_table_find_address(
        pgw_gateway_upstreams(links->gateway), engine);
}

/* Sidecars report how many entries are connected to them. A sidecar that has
 * just started counts too few, so a lower number is accepted only after no
 * higher one was reported for some seconds: retries beyond the limit are worse
 * than a few less. */
static void
update_entry_count(struct pgw_sidecar_links *links, uint32_t entries,
                   uint64_t now_us)
{
    if (entries >= links->entry_count ||
        now_us - links->entry_count_us > ENTRY_COUNT_HOLD_US) {
        bool changed = links->entry_count != entries;

        links->entry_count = entries;
        links->entry_count_us = now_us;
        pgw_gateway_set_entries(links->gateway, entries);
        if (changed && !links->refresh_posted) {
            links->refresh_posted = true;
            pgw_loop_post(links->loop, &links->refresh_task);
        }
    }
}

void
pgw_sidecar_link_apply_part(struct pgw_upstream *upstream, uint64_t key,
                            uint32_t update, uint64_t now_us)
{
    if (update % 2 == 1) {
        pgw_recent_parts_add(&upstream->expected, key, now_us);
    }
    else {
        pgw_upstream_set_cached_part(upstream, key, update / 2);
    }
}

struct pgw_upstream_load
pgw_sidecar_link_load(const Pgw__EngineState *state)
{
    return (struct pgw_upstream_load){
        .running = state->running,
        .waiting = state->waiting,
        .long_prefills = state->long_prefills,
        .pending_tokens = state->unread,
        .kv_used = state->kv_used,
        .kv_total = state->kv_total,
    };
}

void
pgw_sidecar_link_apply_pace(struct pgw_upstream *upstream,
                            const Pgw__EngineState *state, uint64_t now_us)
{
    pgw_upstream_set_prefill_rate(upstream, state->prefill_per_s / 1000.0,
                                  now_us);
}

/* The report may be of a former process at the engine's address, so a process
 * counts as leaving only as long as reports say so. */
static void
apply_leaving(struct pgw_upstream *upstream, bool leaving, uint64_t now_us)
{
    if (leaving && upstream->sidecar_leaving_until_us == 0) {
        pgw_log_info("upstream_leaving", "upstream=%s source=sidecar",
                     upstream->id);
    }
    upstream->sidecar_leaving_until_us =
        leaving ? now_us + LEAVING_VALID_US : 0;
}

/* An engine may name a limit to entries and not to its sidecar, so only
 * a limit that the sidecar has reported ends with its reports. */
void
pgw_sidecar_link_apply_notices(struct pgw_upstream *upstream,
                               const Pgw__EngineState *state, uint64_t now_us)
{
    apply_leaving(upstream, state->leaving, now_us);
    if (state->limit > 0) {
        pgw_upstream_notice_set_limit(upstream, state->limit, "sidecar",
                                      now_us);
        upstream->stated.limit.from_sidecar = true;
    }
    else if (upstream->stated.limit.from_sidecar) {
        pgw_upstream_notice_set_limit(upstream, 0, "sidecar", now_us);
    }
}

/*
 * Failure: the connection leads to another engine's sidecar. Symptom: reports
 * replace the list of upstreams as the source of the upstream's versions, but
 * none of them is for its engine, so its versions become stale and it is no
 * longer used. A report without an address is for the engine of the last
 * report with one.
 */
static bool
is_from_linked_engine(struct sidecar_link *link, const Pgw__EngineState *state)
{
    if (*state->address != '\0') {
        link->identified = strcmp(state->address, link->engine) == 0;
    }
    return link->identified;
}

static void
handle_report(struct sidecar_link *link, const Pgw__EngineState *state)
{
    struct pgw_upstream *upstream =
        pgw_sidecar_link_upstream(link->links, link->engine);
    struct pgw_upstream_load load = pgw_sidecar_link_load(state);
    uint64_t now = pgw_now_us();

    if (upstream == NULL || !is_from_linked_engine(link, state)) {
        return;
    }
    update_entry_count(link->links, state->entries, now);
    if (link->probe_only) {
        pgw_sidecar_link_handle_probe_answer(link, upstream, state, now);
        return;
    }
    upstream->sidecar_is_reporting = true;
    pgw_upstream_mark_seen(upstream, now);
    pgw_upstream_table_set_start(pgw_gateway_upstreams(link->links->gateway),
                                 upstream, state->started_ms);
    pgw_sidecar_links_rollout_apply_report(link->links, upstream, state, now);
    pgw_sidecar_link_apply_notices(upstream, state, now);
    if (state->parts_reset) {
        pgw_upstream_clear_parts(upstream);
    }
    for (size_t i = 0; i < state->n_part_keys && i < state->n_part_words;
         i++) {
        pgw_sidecar_link_apply_part(upstream, state->part_keys[i],
                                    state->part_words[i], now);
    }
    pgw_upstream_set_loading(
        upstream, state->loading || !state->alive,
        now + (state->alive ? LOADING_VALID_US : UNREACHABLE_VALID_US));
    if (state->alive) {
        pgw_upstream_update_load(upstream, &load, now);
        pgw_sidecar_link_apply_pace(upstream, state, now);
    }
    else {
        pgw_crash_quarantine_add_crash(
            pgw_gateway_crash_quarantine(link->links->gateway), upstream->id,
            upstream->answered_us, now);
    }
    pgw_gateway_dispatch_queued(link->links->gateway);
}

static bool
on_frame(struct pgw_link *connection, enum pgw_frame_type type,
         ProtobufCMessage *message, void *context)
{
    (void)connection;
    if (type == PGW_FRAME_ENGINE_STATE) {
        handle_report(context, (const Pgw__EngineState *)message);
    }
    else if (type == PGW_FRAME_QUOTA_ANSWER) {
        pgw_sidecar_link_handle_quota_answer(
            context, (const Pgw__QuotaAnswer *)message);
    }
    else if (type == PGW_FRAME_LIMIT_ANSWER) {
        pgw_sidecar_link_handle_limit_answer(
            context, (const Pgw__LimitAnswer *)message);
    }
    else if (type == PGW_FRAME_PREFILL_ANSWER) {
        const Pgw__PrefillAnswer *answer = (const Pgw__PrefillAnswer *)message;

        pgw_gateway_prefill_answered(
            ((struct sidecar_link *)context)->links->gateway, answer->claim,
            answer->granted, answer->unread);
    }
    else if (type == PGW_FRAME_STREAM_ORIGIN_ANSWER) {
        pgw_sidecar_link_handle_origin_answer(
            context, (const Pgw__StreamOriginAnswer *)message);
    }
    return false;
}

static void
free_link(void *data)
{
    struct sidecar_link *link = data;

    pgw_timer_stop(link->links->loop, &link->connect_timer);
    g_free(link->engine);
    g_free(link);
}

/* The last report may be stale: the list of upstreams provides the versions
 * again, and an announced load is no longer waited for. */
static void
discard_reports(struct pgw_upstream *upstream)
{
    upstream->sidecar_is_reporting = false;
    upstream->loading = false;
    upstream->loading_since_us = 0;
    upstream->sidecar_leaving_until_us = 0;
    upstream->is_next_to_load = false;
    pgw_upstream_clear_parts(upstream);
}

/* A refused connection shows that no sidecar runs on the machine. A timeout
 * does not: the machine may be cut off while its sidecar sends orders. */
static void
record_refusal(struct sidecar_link *link, bool refused)
{
    if (!refused) {
        link->refused_at_us = 0;
    }
    else if (link->refused_at_us == 0) {
        link->refused_at_us = pgw_now_us();
    }
}

static void
on_closed(struct pgw_link *connection, const GError *error, void *context)
{
    struct sidecar_link *link = context;
    struct pgw_sidecar_links *links = link->links;
    struct pgw_upstream *upstream;

    record_refusal(link, pgw_link_was_refused(connection));
    link->connection = NULL;
    upstream = pgw_sidecar_link_upstream(links, link->engine);
    if (upstream != NULL) {
        discard_reports(upstream);
        /* The machine closed the connection itself, so it is reachable, and
         * the end of the reports does not make the engine suspect. */
        if (pgw_link_was_ended_by_peer(connection)) {
            upstream->last_seen_us = 0;
        }
    }
    if (links->closing) {
        return;
    }
    pgw_sidecar_links_rollout_schedule(links);
    pgw_log_info("guard_link_lost", "engine=%s reason=%s", link->engine,
                 error == NULL ? "closed" : error->message);
    if (!link->needed) {
        g_hash_table_remove(links->by_engine, link->engine);
        return;
    }
    pgw_timer_start(links->loop, &link->connect_timer,
                    RECONNECT_US + pgw_random_u64() % RECONNECT_US);
}

static void
send_hello(const struct sidecar_link *link)
{
    const struct pgw_gateway *gateway = link->links->gateway;
    Pgw__Hello hello = PGW__HELLO__INIT;

    hello.protocol = PGW_PROTOCOL_VERSION;
    hello.instance = (char *)pgw_gateway_instance(gateway);
    hello.role = (char *)"entry";
    hello.zone = (char *)pgw_gateway_zone(gateway);
    hello.on_request = link->probe_only;
    hello.age_ms = pgw_gateway_age_ms(gateway);
    pgw_link_send(link->connection, PGW_FRAME_HELLO, &hello.base);
}

static void
on_open(struct pgw_link *connection, void *context)
{
    struct sidecar_link *link = context;

    /*
     * Failure: an entry that started before the sidecars was refused once, and
     * the time since then counts as without a sidecar. Symptom: the entry
     * sends orders to an engine whose sidecar does so, too. An open connection
     * shows that the sidecar runs.
     */
    (void)connection;
    record_refusal(link, false);
    link->identified = false;
    send_hello(link);
    memset(link->start_sent, 0, sizeof(link->start_sent));
    pgw_sidecar_link_send_target_weights(link);
    pgw_sidecar_links_rollout_schedule(link->links);
    pgw_stream_origins_sidecar_connected(
        pgw_gateway_stream_origins(link->links->gateway));
}

static const struct pgw_link_ops link_ops = {
    .on_open = on_open,
    .on_frame = on_frame,
    .on_closed = on_closed,
};

static void
on_connect_timer(struct pgw_timer *timer)
{
    struct sidecar_link *link =
        pgw_container_of(timer, struct sidecar_link, connect_timer);
    GError *error = NULL;

    if (!link->needed) {
        g_hash_table_remove(link->links->by_engine, link->engine);
        return;
    }
    link->connection = pgw_link_connect(link->links->loop, &link->address,
                                        &link_ops, link, &error);
    if (link->connection == NULL) {
        pgw_log_warning("guard_link", "engine=%s reason=%s", link->engine,
                        error->message);
        g_error_free(error);
        pgw_timer_start(link->links->loop, &link->connect_timer, RECONNECT_US);
    }
}

struct sidecar_link *
pgw_sidecar_link_add(struct pgw_sidecar_links *links,
                     const struct pgw_upstream *upstream, bool probe_only)
{
    struct sidecar_link *link = g_new0(struct sidecar_link, 1);

    link->links = links;
    link->engine = g_strdup(upstream->address_text);
    link->address = upstream->address;
    if (link->address.storage.ss_family == AF_INET6) {
        ((struct sockaddr_in6 *)&link->address.storage)->sin6_port =
            htons(links->port);
    }
    else {
        ((struct sockaddr_in *)&link->address.storage)->sin_port =
            htons(links->port);
    }
    link->needed = true;
    link->probe_only = probe_only;
    link->connect_timer.on_due = on_connect_timer;
    g_hash_table_insert(links->by_engine, link->engine, link);
    pgw_timer_start(links->loop, &link->connect_timer, 0);
    return link;
}

/** struct engine_count - number of listed engines, and of those in the local
 * zone */
struct engine_count {
    unsigned all;
    unsigned local;
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
            count.local += upstream->same_zone;
        }
    }
    return count;
}

/* Whether sidecars of other zones can report to this entry often enough.
 * Assumes that entries are spread over the zones as engines are. */
static bool
can_get_remote_reports(const struct pgw_sidecar_links *links,
                       const struct engine_count *engines)
{
    unsigned remote_entries =
        engines->all == 0 ? 0
                          : links->entry_count *
                                (engines->all - engines->local) / engines->all;

    return engines->all <= REPORT_LINKS_MAX &&
           pgw_report_budget_reaches_remote(remote_entries,
                                            !links->remote_probe_only);
}

/* Checks after a change of the number of entries whether reports of other
 * zones start or stop. */
static void
run_refresh_task(struct pgw_task *task)
{
    struct pgw_sidecar_links *links =
        pgw_container_of(task, struct pgw_sidecar_links, refresh_task);
    struct engine_count engines;

    links->refresh_posted = false;
    if (links->closing) {
        return;
    }
    engines = count_engines(links);
    if (can_get_remote_reports(links, &engines) == links->remote_probe_only) {
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
    links->refresh_task.run = run_refresh_task;
    pgw_sidecar_links_rollout_init(links);
    pgw_gateway_set_sidecars(gateway, &pgw_sidecar_links_ops, links);
    links->by_engine =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_link);
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
        struct sidecar_link *link = value;

        if (link->connection != NULL) {
            pgw_link_close(link->connection);
        }
    }
    pgw_loop_run_tasks(links->loop);
    g_hash_table_destroy(links->by_engine);
    pgw_sidecar_links_rollout_dispose(links);
    g_free(links);
}

static void
close_unneeded(struct pgw_sidecar_links *links)
{
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, links->by_engine);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sidecar_link *link = value;

        if (link->needed) {
            continue;
        }
        if (link->connection != NULL) {
            pgw_link_close(link->connection);
        }
        else {
            g_hash_table_iter_remove(&iter);
        }
    }
}

/**
 * struct link_scope - which sidecars of other zones an entry connects to
 * @reports: all of them, for their reports
 * @probes: all of them, so that any engine can be probed
 */
struct link_scope {
    bool reports;
    bool probes;
};

/*
 * Failure: engines are added to the list one by one. While they are few, their
 * sidecars send reports; once there are more, the reports stop. Symptom: all
 * of these engines count as unresponsive, as no report arrived for seconds.
 * The time of the last report is therefore cleared: an engine whose sidecar
 * only answers probes has none.
 */
static void
set_probe_only(struct sidecar_link *link, struct pgw_upstream *upstream,
               bool probe_only)
{
    if (link->probe_only == probe_only) {
        return;
    }
    link->probe_only = probe_only;
    discard_reports(upstream);
    upstream->last_seen_us = 0;
    if (link->connection != NULL && pgw_link_is_open(link->connection)) {
        send_hello(link);
    }
}

static void
refresh_link(struct pgw_sidecar_links *links, struct pgw_upstream *upstream,
             const struct link_scope *scope, uint64_t now_us)
{
    struct sidecar_link *link =
        g_hash_table_lookup(links->by_engine, upstream->address_text);
    bool reports = upstream->same_zone || scope->reports;

    if (link == NULL) {
        if (reports || scope->probes) {
            pgw_sidecar_link_add(links, upstream, !reports);
        }
        return;
    }
    link->needed = reports || scope->probes ||
                   pgw_sidecar_link_was_probed_recently(link, now_us);
    set_probe_only(link, upstream, !reports);
    pgw_sidecar_link_send_target_weights(link);
}

static void
set_remote_probe_only(struct pgw_sidecar_links *links, bool probe_only)
{
    if (links->remote_probe_only == probe_only) {
        return;
    }
    links->remote_probe_only = probe_only;
    pgw_log_info("far_reports", "asked_for=%d entries=%u", (int)probe_only,
                 links->entry_count);
    pgw_upstream_table_set_remote_on_request(
        pgw_gateway_upstreams(links->gateway), probe_only);
}

void
pgw_sidecar_links_refresh(struct pgw_sidecar_links *links)
{
    struct engine_count engines = count_engines(links);
    struct link_scope scope = {
        .reports = can_get_remote_reports(links, &engines),
        .probes = engines.all <= PGW_PROBE_LINKS_MAX &&
                  pgw_policy_is_on(pgw_gateway_policy(links->gateway),
                                   PGW_MECHANISM_HOME_PROBES),
    };
    uint64_t now = pgw_now_us();
    GHashTableIter iter;
    void *value;

    links->links_all = scope.reports || scope.probes;
    set_remote_probe_only(links, !scope.reports);
    g_hash_table_iter_init(&iter, links->by_engine);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((struct sidecar_link *)value)->needed = false;
    }
    pgw_list_foreach (
        item, pgw_upstream_table_all(pgw_gateway_upstreams(links->gateway))) {
        struct pgw_upstream *upstream =
            pgw_container_of(item, struct pgw_upstream, in_table);

        if (upstream->model_count > 0) {
            refresh_link(links, upstream, &scope, now);
        }
    }
    close_unneeded(links);
    pgw_quota_upstreams_changed(pgw_gateway_quota(links->gateway));
    pgw_stream_origins_upstreams_changed(
        pgw_gateway_stream_origins(links->gateway));
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
    const struct sidecar_link *link =
        g_hash_table_lookup(links->by_engine, upstream->address_text);

    return link != NULL && link->refused_at_us > 0 &&
           pgw_now_us() - link->refused_at_us >= for_us;
}
