#include "gateway/peer/sidecar_links_internal.h"
#include "util/metric.h"
#include <string.h>

/* Shortest time after which a load counts as stuck. */
#define LOAD_TIMEOUT_MIN_US 5000000
/* Longest interval between two updates of the windows during a rollout. */
#define WINDOW_INTERVAL_US 100000

static struct pgw_metric_gauge window_size = {
    .name = "pgw_weights_window",
    .help =
        "Maximum number of engines that load weights at once; 0: no rollout",
};
static struct pgw_metric_gauge load_expected_ms = {
    .name = "pgw_weights_load_expected_ms",
    .help = "Expected time for which an engine is unavailable while it loads",
};

/* Rank of an engine in the order in which a version is loaded. It depends on
 * the version, so that not always the same engines serve the old weights
 * longest, and is the same at all entries. */
static uint64_t
rollout_rank(const struct pgw_upstream *upstream, uint64_t version)
{
    return upstream->id_hash * (2 * version + 1);
}

/* Index of a model among those of an engine; model_count: it is not there. */
static size_t
index_of_model(const struct pgw_upstream *upstream, const char *model)
{
    size_t i = 0;

    while (i < upstream->model_count &&
           strcmp(upstream->models[i].model, model) != 0) {
        i++;
    }
    return i;
}

/* Sends a target version to an engine's sidecar, and when to start at the
 * latest. */
static void
send_target_version(struct sidecar_link *link,
                    const struct pgw_upstream *upstream, const char *model,
                    uint64_t version, uint64_t start_in_us)
{
    Pgw__LoadWeights message = PGW__LOAD_WEIGHTS__INIT;

    message.model = (char *)model;
    message.version = version;
    message.instance = upstream->id;
    message.start_in_ms = (uint32_t)MIN(start_in_us / 1000, UINT32_MAX);
    pgw_link_send(link->connection, PGW_FRAME_LOAD_WEIGHTS, &message.base);
}

/* The version that an engine serves with until it loads the target version. An
 * engine that is loading runs the version before the target afterwards, until
 * it is selected again. */
static uint64_t
version_before_load(const struct pgw_upstream *upstream, size_t model,
                    uint64_t target_version)
{
    return upstream->loading_since_us == 0 ? upstream->models[model].version
                                           : target_version - 1;
}

/* The engine starts late by itself; if it is selected before that, another
 * message makes it start at once. */
void
pgw_sidecar_link_send_target_weights(struct sidecar_link *link)
{
    const struct pgw_sidecar_links *links = link->links;
    struct pgw_upstream *upstream =
        pgw_sidecar_link_upstream(links, link->engine);

    if (upstream == NULL || link->connection == NULL || link->probe_only) {
        return;
    }
    for (size_t i = 0; i < upstream->model_count; i++) {
        const char *model = upstream->models[i].model;
        uint64_t version = pgw_gateway_target_version(links->gateway, model);
        uint64_t usable_us;

        if (version == 0) {
            continue;
        }
        usable_us = pgw_gateway_weights_usable_for_us(
            links->gateway, model, version_before_load(upstream, i, version));
        send_target_version(link, upstream, model, version,
                            usable_us == UINT64_MAX
                                ? 0
                                : pgw_rollout_window_latest_start_us(
                                      (double)rollout_rank(upstream, version) /
                                          (double)UINT64_MAX,
                                      usable_us));
    }
}

/**
 * struct rollout - one model's engines whose sidecars are connected
 * @model: name of the model
 * @engines: their candidates; the context is the &struct sidecar_link
 * @count: number of @engines
 * @target_version: newest version
 */
struct rollout {
    const char *model;
    struct pgw_rollout_candidate *engines;
    size_t count;
    uint64_t target_version;
};

/*
 * Failure: an engine hangs in the middle of its load, or its sidecar gets no
 * answer to the order. Symptom: it occupies the window forever, and with a few
 * such engines no other engine loads. After four times the expected time, and
 * at least five seconds, it no longer counts as loading.
 */
static bool
is_loading(const struct pgw_sidecar_links *links,
           const struct pgw_upstream *upstream)
{
    uint64_t limit =
        MAX(4 * pgw_weights_load_times_expected_us(&links->load_times),
            LOAD_TIMEOUT_MIN_US);

    return upstream->loading_since_us > 0 &&
           pgw_now_us() - upstream->loading_since_us < limit;
}

/* Whether the engine can start to load when it is selected, or is loading. */
static bool
can_load(const struct sidecar_link *link, const struct pgw_upstream *upstream)
{
    return link->connection != NULL && !link->probe_only && upstream != NULL &&
           upstream->sidecar_is_reporting &&
           !pgw_upstream_is_leaving(upstream, pgw_now_us()) &&
           !upstream->removed && !upstream->displaced &&
           (!upstream->loading || upstream->loading_since_us > 0);
}

static void
add_candidate(struct rollout *rollout, struct sidecar_link *link,
              const struct pgw_upstream *upstream)
{
    const struct pgw_sidecar_links *links = link->links;
    uint64_t version = pgw_upstream_version(upstream, rollout->model);

    rollout->engines[rollout->count++] = (struct pgw_rollout_candidate){
        .rank = rollout_rank(upstream, rollout->target_version),
        .version = version,
        .loading = is_loading(links, upstream),
        .context = link,
    };
}

/*
 * Engines that start next get no long runs: an engine finishes its runs before
 * it loads, so without them it is unavailable only for the load itself.
 */
static void
apply_window(struct pgw_sidecar_links *links, const struct rollout *rollout)
{
    for (size_t i = 0; i < rollout->count; i++) {
        const struct pgw_rollout_candidate *engine = &rollout->engines[i];
        struct sidecar_link *link = engine->context;
        struct pgw_upstream *upstream =
            pgw_sidecar_link_upstream(links, link->engine);
        size_t model = index_of_model(upstream, rollout->model);

        upstream->is_next_to_load = engine->starts_next;
        if (engine->may_start &&
            link->start_sent[model] != rollout->target_version) {
            link->start_sent[model] = rollout->target_version;
            send_target_version(link, upstream, rollout->model,
                                rollout->target_version, 0);
        }
    }
}

/* Selects the engines of a model that may load. Returns the size of the
 * window, 0: all run the target version. */
static unsigned
update_window(struct pgw_sidecar_links *links, const char *model,
              uint64_t target_version)
{
    struct pgw_rollout_window_options options =
        PGW_ROLLOUT_WINDOW_OPTIONS_INIT;
    struct rollout rollout = {
        .model = model,
        .engines = g_new0(struct pgw_rollout_candidate,
                          g_hash_table_size(links->by_engine)),
        .target_version = target_version,
    };
    GHashTableIter iter;
    void *value;
    unsigned size;

    options.load_us = pgw_weights_load_times_expected_us(&links->load_times);
    options.usable_us = pgw_gateway_old_weights_usable_us(links->gateway);
    if (!pgw_policy_is_on(pgw_gateway_policy(links->gateway),
                          PGW_MECHANISM_LOAD_WINDOW)) {
        options.loading_share = 1.0;
    }
    g_hash_table_iter_init(&iter, links->by_engine);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sidecar_link *link = value;
        const struct pgw_upstream *upstream =
            pgw_sidecar_link_upstream(links, link->engine);

        if (can_load(link, upstream) &&
            index_of_model(upstream, model) < upstream->model_count) {
            add_candidate(&rollout, link, upstream);
        }
    }
    size = pgw_rollout_window_select(rollout.engines, rollout.count,
                                     target_version, &options);
    apply_window(links, &rollout);
    g_free(rollout.engines);
    return size;
}

static void
update_windows(struct pgw_sidecar_links *links)
{
    unsigned size_max = 0;
    GHashTableIter iter;
    void *model;

    g_hash_table_iter_init(&iter, pgw_gateway_target_models(links->gateway));
    while (g_hash_table_iter_next(&iter, &model, NULL)) {
        unsigned size = update_window(
            links, model, pgw_gateway_target_version(links->gateway, model));

        size_max = MAX(size_max, size);
    }
    pgw_metric_gauge_set(&window_size, size_max);
    pgw_metric_gauge_set(
        &load_expected_ms,
        pgw_weights_load_times_expected_us(&links->load_times) / 1000);
    if (size_max > 0) {
        /* Engines whose load hangs leave the window without any event. */
        pgw_timer_start(links->loop, &links->window_timer, WINDOW_INTERVAL_US);
    }
}

static void
on_window_timer(struct pgw_timer *timer)
{
    update_windows(
        pgw_container_of(timer, struct pgw_sidecar_links, window_timer));
}

void
pgw_sidecar_links_rollout_schedule(struct pgw_sidecar_links *links)
{
    pgw_timer_start(links->loop, &links->window_timer, 0);
}

void
pgw_sidecar_links_rollout_apply_report(struct pgw_sidecar_links *links,
                                       struct pgw_upstream *upstream,
                                       const Pgw__EngineState *state,
                                       uint64_t now_us)
{
    bool loads = state->alive && state->loading;
    bool newer = false;

    for (size_t i = 0; i < state->n_models; i++) {
        newer |= state->models[i]->version >
                 pgw_upstream_version(upstream, state->models[i]->name);
        pgw_upstream_set_version(upstream, state->models[i]->name,
                                 state->models[i]->version);
    }
    if (!loads && newer && upstream->loading_since_us > 0) {
        pgw_weights_load_times_add(&links->load_times,
                                   now_us - upstream->loading_since_us);
        pgw_gateway_set_weights_loading_time(
            links->gateway,
            pgw_weights_load_times_expected_us(&links->load_times));
    }
    if (newer || loads != (upstream->loading_since_us > 0)) {
        pgw_sidecar_links_rollout_schedule(links);
    }
    if (!loads) {
        upstream->loading_since_us = 0;
    }
    else if (upstream->loading_since_us == 0) {
        upstream->loading_since_us = now_us;
    }
}

void
pgw_sidecar_links_rollout_init(struct pgw_sidecar_links *links)
{
    links->window_timer.on_due = on_window_timer;
    pgw_metric_register_gauge(&window_size);
    pgw_metric_register_gauge(&load_expected_ms);
}

void
pgw_sidecar_links_rollout_dispose(struct pgw_sidecar_links *links)
{
    pgw_timer_stop(links->loop, &links->window_timer);
}
