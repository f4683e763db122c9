#include "gateway/sidecarless.h"
#include "util/log.h"
#include <string.h>

/* How often engines are looked at, and the lease is renewed in time. */
#define LOOK_US 250000
/* Reports to other machines are some hundred milliseconds old. */
#define REPORT_LAG_US 1000000

/**
 * struct ward - an engine that this process gives orders to
 * @id: its incarnation
 * @guard: what a sidecar would run
 */
struct ward {
    char *id;
    struct pgw_engine_sidecar *guard;
};

/*
 * @wards: id -> &struct ward
 * @token_asked: a fencing token is on its way, for all of them
 */
struct pgw_sidecarless {
    struct pgw_loop *loop;
    struct pgw_gateway *gateway;
    struct pgw_sidecar_links *links;
    struct pgw_sidecarless_options options;
    char *instance;
    struct pgw_lease lease;
    GHashTable *wards;
    struct pgw_timer timer;
    bool token_asked;
    bool held;
};

static void
ward_free(void *data)
{
    struct ward *ward = data;

    pgw_engine_sidecar_free(ward->guard);
    g_free(ward->id);
    g_free(ward);
}

static void
get_token(void *context)
{
    struct pgw_sidecarless *self = context;

    if (!self->token_asked) {
        self->token_asked = true;
        self->options.store->get_token(self->options.context);
    }
}

static bool
may_send_order(void *context)
{
    const struct pgw_sidecarless *self = context;

    return pgw_lease_holds(&self->lease, pgw_boot_now_us());
}

static uint64_t
wanted_version(const struct pgw_sidecarless *self,
               const struct pgw_upstream *upstream, size_t model)
{
    return pgw_gateway_target_version(self->gateway,
                                      upstream->models[model].model);
}

/* Whether some of its weights are known to be older than the named ones. */
static bool
is_behind(const struct pgw_sidecarless *self,
          const struct pgw_upstream *upstream)
{
    for (size_t i = 0; i < upstream->model_count; i++) {
        uint64_t version = upstream->models[i].version;

        if (version > 0 && version < wanted_version(self, upstream, i)) {
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
           !upstream->leaving && !upstream->removed &&
           upstream->delisted_until_us == 0 && is_behind(self, upstream) &&
           pgw_sidecar_links_is_refused(self->links, upstream,
                                        self->options.refused_us);
}

static struct ward *
ward_new(struct pgw_sidecarless *self, const struct pgw_upstream *upstream)
{
    struct pgw_engine_sidecar_options options = {
        .instance = self->instance,
        .zone = upstream->zone,
        .engine = upstream->address,
        .codec = self->options.codec,
        .report_lag_us = REPORT_LAG_US,
        .get_token = get_token,
        .may_send_order = may_send_order,
        .context = self,
    };
    struct ward *ward = g_new0(struct ward, 1);

    ward->id = g_strdup(upstream->id);
    /* Without a listener nothing can fail. */
    ward->guard = pgw_engine_sidecar_new(self->loop, &options, NULL);
    g_hash_table_insert(self->wards, ward->id, ward);
    pgw_log_info("unguarded", "upstream=%s engine=%s", upstream->id,
                 upstream->address_text);
    return ward;
}

static void
name_weights(struct pgw_sidecarless *self, struct ward *ward,
             const struct pgw_upstream *upstream)
{
    for (size_t i = 0; i < upstream->model_count; i++) {
        uint64_t version = wanted_version(self, upstream, i);

        if (version > 0) {
            /* It has waited for seconds by now: it begins at once. */
            pgw_engine_sidecar_set_target_weights(ward->guard,
                                                  upstream->models[i].model,
                                                  version, 0, upstream->id);
        }
    }
}

/* Those that have loaded, left or got a sidecar need nobody any more. */
static void
drop_wards(struct pgw_sidecarless *self, bool all)
{
    const struct pgw_upstream_table *table =
        pgw_gateway_upstreams(self->gateway);
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, self->wards);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct ward *ward = value;
        const struct pgw_upstream *upstream =
            pgw_upstream_table_find(table, ward->id);

        if (all || upstream == NULL || !needs_orders(self, upstream)) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

/* Returns whether an engine needs orders. */
static bool
look(struct pgw_sidecarless *self, bool holds)
{
    bool any = false;

    pgw_list_foreach (
        item, pgw_upstream_table_all(pgw_gateway_upstreams(self->gateway))) {
        const struct pgw_upstream *upstream =
            pgw_container_of(item, struct pgw_upstream, in_table);
        struct ward *ward;

        if (!needs_orders(self, upstream)) {
            continue;
        }
        any = true;
        if (!holds) {
            continue;
        }
        ward = g_hash_table_lookup(self->wards, upstream->id);
        if (ward == NULL) {
            ward = ward_new(self, upstream);
        }
        name_weights(self, ward, upstream);
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
        store->write(context, 0, self->lease.writes);
        break;
    case PGW_LEASE_REPLACE:
        store->write(context, self->lease.revision, self->lease.writes);
        break;
    }
}

static void
tick(struct pgw_sidecarless *self)
{
    bool holds = pgw_lease_holds(&self->lease, pgw_boot_now_us());

    if (holds != self->held) {
        pgw_log_info("lease", "holds=%d revision=%" G_GUINT64_FORMAT,
                     (int)holds, self->lease.revision);
        self->held = holds;
    }
    drop_wards(self, !holds);
    pgw_lease_set_wanted(&self->lease, look(self, holds));
    step_lease(self);
}

static void
look_due(struct pgw_timer *timer)
{
    struct pgw_sidecarless *self =
        pgw_container_of(timer, struct pgw_sidecarless, timer);

    tick(self);
    pgw_timer_start(self->loop, &self->timer, LOOK_US);
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
    self->wards =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, ward_free);
    pgw_lease_init(&self->lease, &options->lease);
    self->timer.on_due = look_due;
    pgw_timer_start(loop, &self->timer, LOOK_US);
    return self;
}

void
pgw_sidecarless_free(struct pgw_sidecarless *unguarded)
{
    pgw_timer_stop(unguarded->loop, &unguarded->timer);
    g_hash_table_destroy(unguarded->wards);
    g_free(unguarded->instance);
    g_free(unguarded);
}

void
pgw_sidecarless_finish_read(struct pgw_sidecarless *unguarded,
                            enum pgw_lease_result result, bool mine,
                            uint64_t number, uint64_t revision)
{
    pgw_lease_finish_read(&unguarded->lease, result, mine, number, revision,
                          pgw_boot_now_us());
    step_lease(unguarded);
}

void
pgw_sidecarless_finish_write(struct pgw_sidecarless *unguarded,
                             enum pgw_lease_result result, uint64_t revision)
{
    pgw_lease_finish_write(&unguarded->lease, result, revision,
                           pgw_boot_now_us());
    tick(unguarded);
}

void
pgw_sidecarless_finish_token(struct pgw_sidecarless *unguarded, uint64_t token)
{
    GHashTableIter iter;
    gpointer value;

    unguarded->token_asked = false;
    g_hash_table_iter_init(&iter, unguarded->wards);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        pgw_engine_sidecar_set_token(((struct ward *)value)->guard, token);
    }
}
