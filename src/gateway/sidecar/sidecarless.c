#include "gateway/sidecar/sidecarless.h"
#include "util/log.h"
#include <string.h>

/* Interval of the checks of all engines; short enough to renew the lease in
 * time. */
#define CHECK_INTERVAL_US 250000
/* Reports from another machine are some hundred milliseconds old. */
#define REPORT_LAG_US 1000000

/**
 * struct managed_engine - an engine that this process gives orders to
 * @id: incarnation of the engine
 * @orders: lease on its orders
 * @sidecar: sidecar for the engine that runs within this process
 */
struct managed_engine {
    struct pgw_sidecarless *sidecarless;
    char *id;
    struct pgw_order_lease *orders;
    struct pgw_engine_sidecar *sidecar;
};

/*
 * @managed_engines: id -> &struct managed_engine
 * @logged_holds: whether the process holds the lease, as last logged
 */
struct pgw_sidecarless {
    struct pgw_loop *loop;
    struct pgw_gateway *gateway;
    struct pgw_sidecar_links *links;
    struct pgw_sidecarless_options options;
    char *instance;
    struct pgw_lease lease;
    GHashTable *managed_engines;
    struct pgw_timer timer;
    bool logged_holds;
};

static void
managed_engine_free(void *data)
{
    struct managed_engine *engine = data;

    pgw_engine_sidecar_free(engine->sidecar);
    pgw_order_lease_free(engine->orders);
    g_free(engine->id);
    g_free(engine);
}

static void
get_token(void *context)
{
    const struct managed_engine *engine = context;

    if (pgw_lease_holds(&engine->sidecarless->lease, pgw_boot_now_us())) {
        pgw_order_lease_request(engine->orders);
    }
    else {
        pgw_engine_sidecar_set_token(engine->sidecar, 0, 0);
    }
}

static void
on_token(void *context, uint64_t token, uint64_t valid_us)
{
    const struct managed_engine *engine = context;

    pgw_engine_sidecar_set_token(engine->sidecar, token, valid_us);
}

static bool
may_send_order(void *context)
{
    const struct managed_engine *engine = context;

    return pgw_lease_holds(&engine->sidecarless->lease, pgw_boot_now_us()) &&
           pgw_order_lease_holds(engine->orders);
}

static uint64_t
target_version(const struct pgw_sidecarless *self,
               const struct pgw_upstream *upstream, size_t model)
{
    return pgw_gateway_target_version(self->gateway,
                                      upstream->models[model].model);
}

/* Whether the version of a model is known and older than the target version.
 */
static bool
has_old_weights(const struct pgw_sidecarless *self,
                const struct pgw_upstream *upstream)
{
    for (size_t i = 0; i < upstream->model_count; i++) {
        uint64_t version = upstream->models[i].version;

        if (version > 0 && version < target_version(self, upstream, i)) {
            return true;
        }
    }
    return false;
}

static bool
needs_orders(const struct pgw_sidecarless *self,
             const struct pgw_upstream *upstream)
{
    return upstream->same_zone && !upstream->sidecar_is_reporting &&
           !pgw_upstream_is_leaving(upstream, pgw_now_us()) &&
           !upstream->removed && upstream->delisted_until_us == 0 &&
           has_old_weights(self, upstream) &&
           pgw_sidecar_links_is_refused(self->links, upstream,
                                        self->options.refused_us);
}

static struct managed_engine *
managed_engine_new(struct pgw_sidecarless *self,
                   const struct pgw_upstream *upstream)
{
    struct pgw_engine_sidecar_options options = {
        .instance = self->instance,
        .zone = upstream->zone,
        .engine = upstream->address,
        .codec = self->options.codec,
        .report_lag_us = REPORT_LAG_US,
        .get_token = get_token,
        .may_send_order = may_send_order,
    };
    struct managed_engine *engine = g_new0(struct managed_engine, 1);
    struct pgw_order_lease_options orders = {
        .engine = upstream->address,
        .lease = self->options.orders,
        .store = self->options.order_store,
        .store_context = self->options.order_context,
        .on_token = on_token,
        .context = engine,
    };

    options.context = engine;
    engine->sidecarless = self;
    engine->id = g_strdup(upstream->id);
    engine->orders = pgw_order_lease_new(self->loop, &orders);
    /* Only listening can fail, and this sidecar has no listen address. */
    engine->sidecar = pgw_engine_sidecar_new(self->loop, &options, NULL);
    g_hash_table_insert(self->managed_engines, engine->id, engine);
    pgw_log_info("unguarded", "upstream=%s engine=%s", upstream->id,
                 upstream->address_text);
    return engine;
}

static void
set_target_weights(struct pgw_sidecarless *self, struct managed_engine *engine,
                   const struct pgw_upstream *upstream)
{
    for (size_t i = 0; i < upstream->model_count; i++) {
        uint64_t version = target_version(self, upstream, i);

        if (version > 0) {
            /* The engine has been without orders for seconds, so it loads at
             * once instead of waiting for its turn. */
            pgw_engine_sidecar_set_target_weights(engine->sidecar,
                                                  upstream->models[i].model,
                                                  version, 0, upstream->id);
        }
    }
}

/* Drops engines that have loaded their weights, left or got a sidecar; with
 * @all, every engine. */
static void
drop_managed_engines(struct pgw_sidecarless *self, bool all)
{
    const struct pgw_upstream_table *table =
        pgw_gateway_upstreams(self->gateway);
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, self->managed_engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct managed_engine *engine = value;
        const struct pgw_upstream *upstream =
            pgw_upstream_table_find(table, engine->id);

        if (all || upstream == NULL || !needs_orders(self, upstream)) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

/* Sets the target weights of engines that need orders, if the lease is held.
 * Returns whether there is such an engine. */
static bool
check_engines(struct pgw_sidecarless *self, bool holds)
{
    bool any = false;

    pgw_list_foreach (
        item, pgw_upstream_table_all(pgw_gateway_upstreams(self->gateway))) {
        const struct pgw_upstream *upstream =
            pgw_container_of(item, struct pgw_upstream, in_table);
        struct managed_engine *engine;

        if (!needs_orders(self, upstream)) {
            continue;
        }
        any = true;
        if (!holds) {
            continue;
        }
        engine = g_hash_table_lookup(self->managed_engines, upstream->id);
        if (engine == NULL) {
            engine = managed_engine_new(self, upstream);
        }
        set_target_weights(self, engine, upstream);
    }
    return any;
}

static void
step_lease(struct pgw_sidecarless *self)
{
    const struct pgw_sidecarless_store *store = self->options.store;
    void *context = self->options.context;

    switch (pgw_lease_step(&self->lease, pgw_boot_now_us())) {
    case PGW_LEASE_IDLE:
        break;
    case PGW_LEASE_READ:
        store->read(context);
        break;
    case PGW_LEASE_CREATE:
        store->write(context, 0, self->lease.write_count);
        break;
    case PGW_LEASE_REPLACE:
        store->write(context, self->lease.revision, self->lease.write_count);
        break;
    }
}

static void
tick(struct pgw_sidecarless *self)
{
    bool holds = pgw_lease_holds(&self->lease, pgw_boot_now_us());

    if (holds != self->logged_holds) {
        pgw_log_info("lease", "holds=%d revision=%" G_GUINT64_FORMAT,
                     (int)holds, self->lease.revision);
        self->logged_holds = holds;
    }
    drop_managed_engines(self, !holds);
    pgw_lease_set_wanted(&self->lease, check_engines(self, holds));
    step_lease(self);
}

static void
check_due(struct pgw_timer *timer)
{
    struct pgw_sidecarless *self =
        pgw_container_of(timer, struct pgw_sidecarless, timer);

    tick(self);
    pgw_timer_start(self->loop, &self->timer, CHECK_INTERVAL_US);
}

struct pgw_sidecarless *
pgw_sidecarless_new(struct pgw_loop *loop, struct pgw_gateway *gateway,
                    struct pgw_sidecar_links *links,
                    const struct pgw_sidecarless_options *options)
{
    struct pgw_sidecarless *self = g_new0(struct pgw_sidecarless, 1);

    self->loop = loop;
    self->gateway = gateway;
    self->links = links;
    self->options = *options;
    self->instance = g_strdup(options->instance);
    self->managed_engines = g_hash_table_new_full(g_str_hash, g_str_equal,
                                                  NULL, managed_engine_free);
    pgw_lease_init(&self->lease, &options->lease);
    self->timer.on_due = check_due;
    pgw_timer_start(loop, &self->timer, CHECK_INTERVAL_US);
    return self;
}

void
pgw_sidecarless_free(struct pgw_sidecarless *sidecarless)
{
    pgw_timer_stop(sidecarless->loop, &sidecarless->timer);
    g_hash_table_destroy(sidecarless->managed_engines);
    g_free(sidecarless->instance);
    g_free(sidecarless);
}

void
pgw_sidecarless_finish_read(struct pgw_sidecarless *sidecarless,
                            const struct pgw_lease_answer *answer)
{
    pgw_lease_finish_read(&sidecarless->lease, answer, pgw_boot_now_us());
    step_lease(sidecarless);
}

void
pgw_sidecarless_finish_write(struct pgw_sidecarless *sidecarless,
                             const struct pgw_lease_answer *answer)
{
    pgw_lease_finish_write(&sidecarless->lease, answer, pgw_boot_now_us());
    tick(sidecarless);
}
