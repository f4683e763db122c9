#include "gateway/quota/upstream_limits.h"
#include "gateway/request/exchange.h"
#include "gateway/request/old_weights.h"
#include "gateway/upstream/unresponsive.h"
#include "util/log.h"

/* Initial estimates, used until runs have been measured. */
/* Milliseconds for an output token: a decode step of a busy engine. */
#define INITIAL_MS_PER_OUTPUT_TOKEN 20
/* Prompt tokens that an engine prefills in a millisecond: engines of three
 * deployments prefill 50 to 92. */
#define INITIAL_PREFILL_RATE 60

static void
on_request(struct pgw_caller *caller, void *context)
{
    pgw_exchange_begin(context, caller);
}

static void
on_gone(struct pgw_caller *caller, void *context)
{
    (void)context;
    if (caller->owner != NULL) {
        pgw_exchange_handle_caller_gone(caller->owner);
    }
}

static char *
render_error(const struct pgw_caller *caller, unsigned status, void *context)
{
    const struct pgw_gateway *gateway = context;
    struct pgw_request_facts facts = {0};

    if (caller->head != NULL &&
        gateway->options.codec->read_request(&facts, caller->head)) {
        pgw_log_info("request_refused", "request=%s status=%u reason=%s",
                     facts.id, status,
                     gateway->refuses_all ? "stopping" : "incomplete");
    }
    return g_strdup_printf("{\"error\":{\"code\":\"http_%u\",\"ran\":\"no\"}}",
                           status);
}

static const struct pgw_caller_ops caller_ops = {
    .on_request = on_request,
    .on_gone = on_gone,
    .render_error = render_error,
};

void
pgw_gateway_handle_crash(struct pgw_gateway *gateway,
                         const struct pgw_upstream *upstream)
{
    pgw_crash_quarantine_add_end(gateway->crash_quarantine, upstream->process,
                                 upstream->answered_us, pgw_now_us());
    pgw_run_cover_add_loss(gateway, upstream);
}

/* The upstream left the list without announcing a drain, and may serve on. */
static void
on_upstream_delisted(struct pgw_upstream *upstream, void *context)
{
    struct pgw_gateway *gateway = context;

    pgw_crash_quarantine_add_crash(gateway->crash_quarantine,
                                   upstream->process, upstream->answered_us,
                                   pgw_now_us());
    pgw_run_cover_add_loss(gateway, upstream);
}

static void
on_start_pause_end(struct pgw_timer *timer)
{
    struct pgw_gateway *gateway =
        pgw_container_of(timer, struct pgw_gateway, start_timer);

    pgw_caller_server_pause(gateway->server, false);
}

struct pgw_gateway *
pgw_gateway_new(struct pgw_loop *loop,
                const struct pgw_gateway_options *options, GError **error)
{
    struct pgw_gateway *gateway = g_new0(struct pgw_gateway, 1);
    struct pgw_call_pool_options pool = PGW_CALL_POOL_OPTIONS_INIT;

    gateway->loop = loop;
    gateway->started_us = pgw_now_us();
    gateway->options = *options;
    pgw_choose_options_apply(&gateway->options.choose, &options->policy);
    gateway->isolation = pgw_isolation_new();
    pgw_list_init(&gateway->exchanges);
    pgw_wait_queue_init(&gateway->waiting);
    gateway->shares = pgw_share_table_new();
    gateway->server = pgw_caller_server_new(loop, &options->listen,
                                            &caller_ops, gateway, error);
    if (gateway->server == NULL) {
        pgw_isolation_free(gateway->isolation);
        pgw_share_table_free(gateway->shares);
        g_free(gateway);
        return NULL;
    }
    pgw_caller_server_set_pending_bound(gateway->server,
                                        options->pending_bound);
    /*
     * Failure: a process that has just started gets connections before its
     * first configuration. Symptom: it refuses requests that it could serve
     * some milliseconds later. Connections wait in the listen backlog until
     * the configuration has arrived, but only for a short time: while the
     * store is unreachable, callers must be refused at once so that they try
     * another entry.
     */
#ifndef PGW_DISABLE_GATEWAY_START
    pgw_caller_server_pause(gateway->server, true);
#endif
    gateway->start_timer.on_due = on_start_pause_end;
    pgw_timer_start(loop, &gateway->start_timer, options->start_pause_us);
    gateway->instance = g_strdup(options->instance);
    gateway->zone = g_strdup(options->zone);
    gateway->pool = pgw_call_pool_new(loop, &pool);
    gateway->upstreams = pgw_upstream_table_new(options->zone);
    pgw_moving_average_init(&gateway->ms_per_output_token,
                            INITIAL_MS_PER_OUTPUT_TOKEN);
    pgw_moving_average_init(&gateway->prefill_rate, INITIAL_PREFILL_RATE);
    gateway->budgets = pgw_retry_budgets_new(&options->budgets);
    gateway->crash_quarantine =
        pgw_crash_quarantine_new(&options->crash_quarantine);
    gateway->abandoned_trials =
        pgw_abandoned_trials_new(loop, gateway->crash_quarantine);
    gateway->answered_runs = pgw_answered_runs_new(gateway);
    gateway->quota = pgw_quota_new(gateway, &options->quota);
    gateway->software_records = pgw_software_records_new(gateway);
    gateway->stream_origins = pgw_stream_origins_new(gateway);
    gateway->stream_records = pgw_stream_records_new(gateway);
    pgw_upstream_table_on_lost(gateway->upstreams, on_upstream_delisted,
                               gateway);
    pgw_unresponsive_start(gateway);
    pgw_run_cover_register_metrics();
    pgw_upstream_limits_register_metrics();
    gateway->probes = g_hash_table_new(g_int64_hash, g_int64_equal);
    gateway->claims = g_hash_table_new(g_int64_hash, g_int64_equal);
    gateway->lanes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    gateway->run_times =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    gateway->target_weights =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return gateway;
}

void
pgw_gateway_free(struct pgw_gateway *gateway)
{
    pgw_list_foreach_safe (link, &gateway->exchanges) {
        pgw_exchange_free(
            pgw_container_of(link, struct pgw_exchange, in_gateway));
    }
    pgw_timer_stop(gateway->loop, &gateway->dispatch_timer);
    pgw_timer_stop(gateway->loop, &gateway->start_timer);
    pgw_unresponsive_stop(gateway);
    pgw_old_weights_stop(gateway);
    pgw_answered_runs_free(gateway->answered_runs);
    pgw_caller_server_free(gateway->server);
    pgw_call_pool_free(gateway->pool);
    pgw_quota_free(gateway->quota);
    pgw_share_table_free(gateway->shares);
    pgw_stream_origins_free(gateway->stream_origins);
    pgw_stream_records_free(gateway->stream_records);
    pgw_software_records_free(gateway->software_records);
    pgw_upstream_table_free(gateway->upstreams);
    pgw_retry_budgets_free(gateway->budgets);
    pgw_abandoned_trials_free(gateway->abandoned_trials);
    pgw_crash_quarantine_free(gateway->crash_quarantine);
    pgw_route_table_unref(gateway->routes);
    pgw_isolation_free(gateway->isolation);
    g_hash_table_destroy(gateway->target_weights);
    g_hash_table_destroy(gateway->run_times);
    g_hash_table_destroy(gateway->probes);
    g_hash_table_destroy(gateway->claims);
    g_hash_table_destroy(gateway->lanes);
    g_free(gateway->instance);
    g_free(gateway->zone);
    g_free(gateway);
}

struct pgw_share_table *
pgw_gateway_shares(struct pgw_gateway *gateway)
{
    return gateway->shares;
}

struct pgw_crash_quarantine *
pgw_gateway_crash_quarantine(struct pgw_gateway *gateway)
{
    return gateway->crash_quarantine;
}

struct pgw_software_records *
pgw_gateway_software_records(struct pgw_gateway *gateway)
{
    return gateway->software_records;
}

struct pgw_stream_origins *
pgw_gateway_stream_origins(struct pgw_gateway *gateway)
{
    return gateway->stream_origins;
}

struct pgw_stream_records *
pgw_gateway_stream_records(struct pgw_gateway *gateway)
{
    return gateway->stream_records;
}

struct pgw_isolation *
pgw_gateway_isolation(struct pgw_gateway *gateway)
{
    return gateway->isolation;
}

struct pgw_quota *
pgw_gateway_quota(struct pgw_gateway *gateway)
{
    return gateway->quota;
}

const char *
pgw_gateway_instance(const struct pgw_gateway *gateway)
{
    return gateway->instance;
}

uint32_t
pgw_gateway_age_ms(const struct pgw_gateway *gateway)
{
    uint64_t ms = (pgw_now_us() - gateway->started_us) / 1000;

    return (uint32_t)MIN(ms, UINT32_MAX);
}

const char *
pgw_gateway_zone(const struct pgw_gateway *gateway)
{
    return gateway->zone;
}

const struct pgw_policy *
pgw_gateway_policy(const struct pgw_gateway *gateway)
{
    return &gateway->options.policy;
}

uint16_t
pgw_gateway_port(const struct pgw_gateway *gateway)
{
    return pgw_caller_server_port(gateway->server);
}

bool
pgw_gateway_set_routes(struct pgw_gateway *gateway,
                       struct pgw_route_table *table)
{
    uint64_t version = pgw_route_table_version(table);

    /*
     * Failure: the platform's store or a peer answers with an older copy.
     * Symptom: a revoked key works again, or a request goes to a service that
     * its route no longer names. Versions only grow, so a lower one is stale.
     */
#ifndef PGW_DISABLE_GATEWAY_ROUTES
    if (gateway->routes != NULL &&
        version <= pgw_route_table_version(gateway->routes)) {
        return false;
    }
#endif
    pgw_route_table_unref(gateway->routes);
    gateway->routes = pgw_route_table_ref(table);
    gateway->routes_set_at_us = pgw_now_us();
    pgw_isolation_set_routes(gateway->isolation, table);
    on_start_pause_end(&gateway->start_timer);
    pgw_caller_server_set_limits(gateway->server,
                                 pgw_route_table_limits(table));
    pgw_log_info("configuration", "version=%" G_GUINT64_FORMAT, version);
    return true;
}

const struct pgw_route_table *
pgw_gateway_routes(const struct pgw_gateway *gateway)
{
    return gateway->routes;
}

struct pgw_upstream_table *
pgw_gateway_upstreams(struct pgw_gateway *gateway)
{
    return gateway->upstreams;
}

void
pgw_gateway_set_target_weights(struct pgw_gateway *gateway, const char *model,
                               uint64_t version, uint64_t age_us,
                               uint64_t received_ago_us)
{
    struct pgw_target_weights *target =
        g_hash_table_lookup(gateway->target_weights, model);
    uint64_t now = pgw_now_us();

    if (target == NULL) {
        target = g_new0(struct pgw_target_weights, 1);
        g_hash_table_insert(gateway->target_weights, g_strdup(model), target);
    }
    if (pgw_target_weights_add(target, version, now - MIN(age_us, now),
                               now - MIN(received_ago_us, now))) {
        pgw_log_info("weights_named",
                     "model=%s version=%" G_GUINT64_FORMAT
                     " age_ms=%" G_GUINT64_FORMAT,
                     model, version, age_us / 1000);
        pgw_old_weights_schedule(gateway);
    }
}

uint64_t
pgw_gateway_target_version(const struct pgw_gateway *gateway,
                           const char *model)
{
    const struct pgw_target_weights *target =
        g_hash_table_lookup(gateway->target_weights, model);

    return target == NULL ? 0 : pgw_target_weights_newest(target);
}

void
pgw_gateway_set_sidecars(struct pgw_gateway *gateway,
                         const struct pgw_sidecar_ops *ops, void *context)
{
    gateway->sidecars = ops;
    gateway->sidecars_context = context;
}

void
pgw_gateway_set_weights_loading_time(struct pgw_gateway *gateway,
                                     uint64_t loading_us)
{
    /* The next engine waits for one that is loading, which may be anywhere
     * between its start and its end: half the loading time on average. */
    gateway->load_wait_ms = (double)loading_us / 1000 / 2;
}

GHashTable *
pgw_gateway_target_models(const struct pgw_gateway *gateway)
{
    return gateway->target_weights;
}

uint64_t
pgw_gateway_old_weights_usable_us(const struct pgw_gateway *gateway)
{
    return gateway->options.old_weights_usable_us;
}

uint64_t
pgw_gateway_weights_usable_for_us(const struct pgw_gateway *gateway,
                                  const char *model, uint64_t version)
{
    const struct pgw_target_weights *target =
        g_hash_table_lookup(gateway->target_weights, model);

    return target == NULL
               ? UINT64_MAX
               : pgw_target_weights_usable_for_us(
                     target, version, gateway->options.old_weights_usable_us,
                     pgw_now_us());
}

/* Tries all queued requests, since what blocks the first one may not block the
 * next: it may be for another service or have a smaller prompt. */
static void
run_dispatch(struct pgw_task *task)
{
    struct pgw_gateway *gateway =
        pgw_container_of(task, struct pgw_gateway, dispatch_task);

    gateway->dispatch_is_posted = false;
    for (unsigned rank = 0; rank < PGW_WAIT_QUEUE_RANKS; rank++) {
        pgw_list_foreach_safe (link, &gateway->waiting.queues[rank]) {
            pgw_exchange_dispatch(
                pgw_container_of(link, struct pgw_exchange, waiting.link));
        }
    }
    pgw_room_wait_dispatch(gateway);
}

void
pgw_gateway_dispatch_queued(struct pgw_gateway *gateway)
{
    if (gateway->waiting.count > 0 && !gateway->dispatch_is_posted) {
        gateway->dispatch_is_posted = true;
        gateway->dispatch_task.run = run_dispatch;
        pgw_loop_post(gateway->loop, &gateway->dispatch_task);
    }
}

static void
on_dispatch_due(struct pgw_timer *timer)
{
    struct pgw_gateway *gateway =
        pgw_container_of(timer, struct pgw_gateway, dispatch_timer);

    gateway->dispatch_due_us = 0;
    pgw_gateway_dispatch_queued(gateway);
}

void
pgw_gateway_dispatch_queued_at(struct pgw_gateway *gateway, uint64_t at_us)
{
    uint64_t now = pgw_now_us();

    if (at_us == 0 ||
        (gateway->dispatch_due_us > 0 && gateway->dispatch_due_us <= at_us)) {
        return;
    }
    gateway->dispatch_due_us = at_us;
    gateway->dispatch_timer.on_due = on_dispatch_due;
    pgw_timer_start(gateway->loop, &gateway->dispatch_timer,
                    at_us > now ? at_us - now : 0);
}

struct pgw_call_pool *
pgw_gateway_pool(struct pgw_gateway *gateway)
{
    return gateway->pool;
}

void
pgw_gateway_set_entries(struct pgw_gateway *gateway, uint32_t entries)
{
    gateway->entries = entries;
    pgw_retry_budgets_set_entries(gateway->budgets, entries);
    pgw_quota_set_entries(gateway->quota, entries);
}

uint32_t
pgw_gateway_entries(const struct pgw_gateway *gateway)
{
    return gateway->entries;
}

void
pgw_gateway_drain(struct pgw_gateway *gateway, uint64_t cut_us)
{
    gateway->is_draining = true;
    gateway->drain = (struct pgw_drain_window){
        .begun_us = pgw_now_us(),
        .cut_us = cut_us,
    };
    pgw_log_info("drain_begin", "requests=%u queued=%u connections=%u",
                 pgw_gateway_request_count(gateway), gateway->waiting.count,
                 pgw_caller_server_connection_count(gateway->server));
    pgw_caller_server_drain(gateway->server);
}

void
pgw_gateway_refuse_late(struct pgw_gateway *gateway)
{
    pgw_list_foreach_safe (link, &gateway->exchanges) {
        struct pgw_exchange *exchange =
            pgw_container_of(link, struct pgw_exchange, in_gateway);

        if (exchange->upstream != NULL) {
            /* Long runs would be missing among those that have ended. */
            pgw_exchange_record_run(exchange);
            if (exchange->caller != NULL &&
                pgw_drain_hold_is_hopeless(exchange)) {
                pgw_drain_hold_give_up(exchange);
            }
        }
        else if (exchange->caller != NULL &&
                 !pgw_exchange_fits_drain(exchange)) {
            pgw_exchange_refuse_stopping(exchange);
        }
    }
}

void
pgw_gateway_close(struct pgw_gateway *gateway)
{
    pgw_caller_server_close(gateway->server);
}

void
pgw_gateway_refuse_rest(struct pgw_gateway *gateway)
{
    gateway->refuses_all = true;
    pgw_list_foreach_safe (link, &gateway->exchanges) {
        struct pgw_exchange *exchange =
            pgw_container_of(link, struct pgw_exchange, in_gateway);

        if (exchange->caller != NULL) {
            pgw_exchange_refuse_stopping(exchange);
        }
    }
    pgw_caller_server_refuse_rest(gateway->server);
}

bool
pgw_gateway_is_closed(const struct pgw_gateway *gateway)
{
    return pgw_caller_server_is_closed(gateway->server);
}

unsigned
pgw_gateway_request_count(const struct pgw_gateway *gateway)
{
    return pgw_caller_server_request_count(gateway->server);
}
