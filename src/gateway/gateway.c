#include "gateway/exchange.h"
#include "gateway/unresponsive.h"
#include "util/log.h"

/* Time for each token of an answer before any was seen: a step of a busy
 * engine, in milliseconds. */
#define TOKEN_MS_PRIOR 20
/* Tokens that an engine reads in a millisecond before any was seen: engines of
 * three deployments read 50 to 92. */
#define READ_RATE_PRIOR 60

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
render_error(unsigned status, void *context)
{
    (void)context;
    return g_strdup_printf("{\"error\":{\"code\":\"http_%u\",\"ran\":\"no\"}}",
                           status);
}

static const struct pgw_caller_ops caller_ops = {
    .on_request = on_request,
    .on_gone = on_gone,
    .render_error = render_error,
};

/* It vanished from the list without having left. */
static void
on_upstream_lost(struct pgw_upstream *upstream, void *context)
{
    struct pgw_gateway *gateway = context;

    pgw_crash_quarantine_add_crash(gateway->poison, upstream->id,
                                   pgw_now_us());
}

static void
start_due(struct pgw_timer *timer)
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
    pgw_list_init(&gateway->exchanges);
    pgw_wait_queue_init(&gateway->waiting);
    gateway->server = pgw_caller_server_new(loop, &options->listen,
                                            &caller_ops, gateway, error);
    if (gateway->server == NULL) {
        g_free(gateway);
        return NULL;
    }
    /*
     * Failure: a process that has just started is sent connections before its
     * first configuration has come. Symptom: callers are told to come back for
     * a configuration that is there some milliseconds later. Connections wait
     * in the kernel until it is there, but not for long: without the store
     * callers must hear at once that they have to go elsewhere.
     */
#ifndef PGW_DISABLE_GATEWAY_START
    pgw_caller_server_pause(gateway->server, true);
#endif
    gateway->start_timer.on_due = start_due;
    pgw_timer_start(loop, &gateway->start_timer, options->start_pause_us);
    gateway->instance = g_strdup(options->instance);
    gateway->zone = g_strdup(options->zone);
    gateway->pool = pgw_call_pool_new(loop, &pool);
    gateway->upstreams = pgw_upstream_table_new(options->zone);
    pgw_moving_average_init(&gateway->token_ms, TOKEN_MS_PRIOR);
    pgw_moving_average_init(&gateway->read_rate, READ_RATE_PRIOR);
    gateway->budgets = pgw_retry_budgets_new(&options->budgets);
    gateway->poison = pgw_crash_quarantine_new(&options->poison);
    gateway->quota = pgw_quota_new(gateway, &options->quota);
    pgw_upstream_table_on_lost(gateway->upstreams, on_upstream_lost, gateway);
    pgw_unresponsive_start(gateway);
    gateway->probes = g_hash_table_new(g_int64_hash, g_int64_equal);
    gateway->weights =
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
    pgw_caller_server_free(gateway->server);
    pgw_call_pool_free(gateway->pool);
    pgw_quota_free(gateway->quota);
    pgw_upstream_table_free(gateway->upstreams);
    pgw_retry_budgets_free(gateway->budgets);
    pgw_crash_quarantine_free(gateway->poison);
    pgw_route_table_unref(gateway->routes);
    g_hash_table_destroy(gateway->weights);
    g_hash_table_destroy(gateway->probes);
    g_free(gateway->instance);
    g_free(gateway->zone);
    g_free(gateway);
}

struct pgw_crash_quarantine *
pgw_gateway_crash_quarantine(struct pgw_gateway *gateway)
{
    return gateway->poison;
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
     * Symptom: a revoked key works again, a request goes to a service that
     * its route left. Versions only grow, so a lower one is always old.
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
    start_due(&gateway->start_timer);
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
                               uint64_t version, uint64_t age_us)
{
    struct pgw_target_weights *named =
        g_hash_table_lookup(gateway->weights, model);
    uint64_t now = pgw_now_us();

    if (named == NULL) {
        named = g_new0(struct pgw_target_weights, 1);
        g_hash_table_insert(gateway->weights, g_strdup(model), named);
    }
    if (pgw_target_weights_add(named, version, now - MIN(age_us, now))) {
        pgw_log_info("weights_named",
                     "model=%s version=%" G_GUINT64_FORMAT
                     " age_ms=%" G_GUINT64_FORMAT,
                     model, version, age_us / 1000);
    }
}

uint64_t
pgw_gateway_target_version(const struct pgw_gateway *gateway,
                           const char *model)
{
    const struct pgw_target_weights *named =
        g_hash_table_lookup(gateway->weights, model);

    return named == NULL ? 0 : pgw_target_weights_newest(named);
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
                                     uint64_t load_us)
{
    /* The next ones wait for one of those that load, which may have just begun
     * or be about to end. */
    gateway->turn_ms = (double)load_us / 1000 / 2;
}

GHashTable *
pgw_gateway_target_models(const struct pgw_gateway *gateway)
{
    return gateway->weights;
}

uint64_t
pgw_gateway_weights_usable_for_us(const struct pgw_gateway *gateway,
                                  const char *model, uint64_t version)
{
    const struct pgw_target_weights *named =
        g_hash_table_lookup(gateway->weights, model);

    return named == NULL
               ? UINT64_MAX
               : pgw_target_weights_usable_for_us(
                     named, version, gateway->options.old_weights_usable_us,
                     pgw_now_us());
}

/* All that waits is looked at, since what blocks the first may not block the
 * next: another service, a smaller prompt. */
static void
pump_run(struct pgw_task *task)
{
    struct pgw_gateway *gateway =
        pgw_container_of(task, struct pgw_gateway, pump);

    gateway->dispatch_is_posted = false;
    for (unsigned rank = 0; rank < PGW_WAIT_QUEUE_RANKS; rank++) {
        pgw_list_foreach_safe (link, &gateway->waiting.queues[rank]) {
            pgw_exchange_dispatch(
                pgw_container_of(link, struct pgw_exchange, waiting.link));
        }
    }
}

void
pgw_gateway_dispatch_queued(struct pgw_gateway *gateway)
{
    if (gateway->waiting.count > 0 && !gateway->dispatch_is_posted) {
        gateway->dispatch_is_posted = true;
        gateway->pump.run = pump_run;
        pgw_loop_post(gateway->loop, &gateway->pump);
    }
}

static void
pump_due(struct pgw_timer *timer)
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
    gateway->dispatch_timer.on_due = pump_due;
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
    pgw_retry_budgets_set_entries(gateway->budgets, entries);
    pgw_quota_set_entries(gateway->quota, entries);
}

void
pgw_gateway_drain(struct pgw_gateway *gateway)
{
    pgw_caller_server_drain(gateway->server);
}

void
pgw_gateway_close_idle(struct pgw_gateway *gateway)
{
    pgw_caller_server_close_idle(gateway->server);
}

unsigned
pgw_gateway_request_count(const struct pgw_gateway *gateway)
{
    return pgw_caller_server_request_count(gateway->server);
}
