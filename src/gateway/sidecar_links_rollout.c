#include "gateway/sidecar_links_internal.h"
#include "util/metric.h"
#include <string.h>

/* An engine that loads is waited for at least so long. */
#define UNDER_WAY_LEAST_US 5000000
/* While engines load, the window is looked at at least this often. */
#define WINDOW_US 100000

static struct pgw_metric_gauge window_size = {
    .name = "pgw_weights_window",
    .help = "Engines that load weights at once; 0: no rollout",
};
static struct pgw_metric_gauge load_expected_ms = {
    .name = "pgw_weights_load_expected_ms",
    .help = "Time that an engine is away for a load, as observed",
};

/* Place of an engine in the order in which a version is loaded: each rollout
 * draws anew, so that it is not always the same ones that serve the old
 * weights longest; all entries draw alike. */
static uint64_t
place_of(const struct pgw_upstream *upstream, uint64_t version)
{
    return upstream->id_hash * (2 * version + 1);
}

/* Where a model stands among those of an engine; their count: it is not one */
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

/* Tells an engine of a version, and when to begin at the latest. */
static void
tell_weights(struct sidecar_link *guard, const struct pgw_upstream *upstream,
             const char *model, uint64_t version, uint64_t start_in_us)
{
    Pgw__LoadWeights message = PGW__LOAD_WEIGHTS__INIT;

    message.model = (char *)model;
    message.version = version;
    message.instance = upstream->id;
    message.start_in_ms = (uint32_t)MIN(start_in_us / 1000, UINT32_MAX);
    pgw_link_send(guard->link, PGW_FRAME_LOAD_WEIGHTS, &message.base);
}

/* The weights that an engine runs when it hears of @wanted. One that is away
 * for a load gets those of before: it serves with them until its next turn. */
static uint64_t
soon_running(const struct pgw_upstream *upstream, size_t model,
             uint64_t wanted)
{
    return upstream->loading_since_us == 0 ? upstream->models[model].version
                                           : wanted - 1;
}

/* By itself it begins late; it is told when its turn has come. */
void
pgw_sidecar_link_send_target_weights(struct sidecar_link *guard)
{
    const struct pgw_sidecar_links *links = guard->links;
    struct pgw_upstream *upstream =
        pgw_sidecar_link_upstream(links, guard->engine);

    if (upstream == NULL || guard->link == NULL || guard->on_request) {
        return;
    }
    for (size_t i = 0; i < upstream->model_count; i++) {
        const char *model = upstream->models[i].model;
        uint64_t version = pgw_gateway_target_version(links->gateway, model);
        uint64_t left;

        if (version == 0) {
            continue;
        }
        left = pgw_gateway_weights_usable_for_us(
            links->gateway, model, soon_running(upstream, i, version));
        tell_weights(
            guard, upstream, model, version,
            left == UINT64_MAX
                ? 0
                : pgw_rollout_window_latest_start_us(
                      (double)place_of(upstream, version) / (double)UINT64_MAX,
                      left));
    }
}

/**
 * struct rollout - one model's engines that this entry can reach
 * @model: its name
 * @engines: each with its &struct sidecar_link
 * @count: number of @engines
 * @wanted: newest version
 */
struct rollout {
    const char *model;
    struct pgw_rollout_candidate *engines;
    size_t count;
    uint64_t wanted;
};

/*
 * Failure: an engine stands still in the middle of its load, or its sidecar
 * gets no answer to the order. Symptom: it takes its place in the window for
 * good, and with a few of them no other engine loads. After four times the
 * usual time, and five seconds at least, it is no longer waited for.
 */
static bool
is_under_way(const struct pgw_sidecar_links *links,
             const struct pgw_upstream *upstream)
{
    uint64_t limit = MAX(4 * pgw_weights_load_times_expected_us(&links->pace),
                         UNDER_WAY_LEAST_US);

    return upstream->loading_since_us > 0 &&
           pgw_now_us() - upstream->loading_since_us < limit;
}

/* Whether its engine can load now, if it is told to. */
static bool
is_reached(const struct sidecar_link *guard,
           const struct pgw_upstream *upstream)
{
    return guard->link != NULL && !guard->on_request && upstream != NULL &&
           upstream->sidecar_is_reporting && !upstream->leaving &&
           !upstream->removed && !upstream->displaced &&
           (!upstream->loading || upstream->loading_since_us > 0);
}

static void
add_engine(struct rollout *rollout, struct sidecar_link *guard,
           const struct pgw_upstream *upstream)
{
    const struct pgw_sidecar_links *links = guard->links;
    uint64_t version = pgw_upstream_version(upstream, rollout->model);

    rollout->engines[rollout->count++] = (struct pgw_rollout_candidate){
        .place = place_of(upstream, rollout->wanted),
        .version = version,
        .loading = is_under_way(links, upstream),
        .context = guard,
    };
}

/*
 * A gain: engines that are about to load get no long runs, so that they are
 * away for the load alone: an engine ends its runs before it loads.
 */
static void
tell_window(struct pgw_sidecar_links *links, const struct rollout *rollout)
{
    for (size_t i = 0; i < rollout->count; i++) {
        const struct pgw_rollout_candidate *engine = &rollout->engines[i];
        struct sidecar_link *guard = engine->context;
        struct pgw_upstream *upstream =
            pgw_sidecar_link_upstream(links, guard->engine);
        size_t model = index_of_model(upstream, rollout->model);

        upstream->is_next_to_load = engine->next;
        if (engine->go && guard->told[model] != rollout->wanted) {
            guard->told[model] = rollout->wanted;
            tell_weights(guard, upstream, rollout->model, rollout->wanted, 0);
        }
    }
}

/* Returns how many engines load at once, 0: all have loaded. */
static unsigned
open_window(struct pgw_sidecar_links *links, const char *model,
            uint64_t wanted)
{
    struct pgw_rollout_window_options options =
        PGW_ROLLOUT_WINDOW_OPTIONS_INIT;
    struct rollout rollout = {
        .model = model,
        .engines = g_new0(struct pgw_rollout_candidate,
                          g_hash_table_size(links->by_engine)),
        .wanted = wanted,
    };
    GHashTableIter iter;
    void *value;
    unsigned size;

    if (!pgw_policy_is_on(pgw_gateway_policy(links->gateway),
                          PGW_MECHANISM_LOAD_WINDOW)) {
        options.share = 1.0;
    }
    g_hash_table_iter_init(&iter, links->by_engine);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sidecar_link *guard = value;
        const struct pgw_upstream *upstream =
            pgw_sidecar_link_upstream(links, guard->engine);

        if (is_reached(guard, upstream) &&
            index_of_model(upstream, model) < upstream->model_count) {
            add_engine(&rollout, guard, upstream);
        }
    }
    size = pgw_rollout_window_select(rollout.engines, rollout.count, wanted,
                                     &options);
    tell_window(links, &rollout);
    g_free(rollout.engines);
    return size;
}

static void
open_windows(struct pgw_sidecar_links *links)
{
    unsigned widest = 0;
    GHashTableIter iter;
    void *model;

    g_hash_table_iter_init(&iter, pgw_gateway_target_models(links->gateway));
    while (g_hash_table_iter_next(&iter, &model, NULL)) {
        unsigned size = open_window(
            links, model, pgw_gateway_target_version(links->gateway, model));

        widest = MAX(widest, size);
    }
    pgw_metric_gauge_set(&window_size, widest);
    pgw_metric_gauge_set(&load_expected_ms,
                         pgw_weights_load_times_expected_us(&links->pace) /
                             1000);
    if (widest > 0) {
        /* An engine that stands still is not waited for without end. */
        pgw_timer_start(links->loop, &links->window_timer, WINDOW_US);
    }
}

static void
window_due(struct pgw_timer *timer)
{
    open_windows(
        pgw_container_of(timer, struct pgw_sidecar_links, window_timer));
}

/* Once for all that comes in a turn of the loop. */
void
pgw_sidecar_links_rollout_schedule(struct pgw_sidecar_links *links)
{
    pgw_timer_start(links->loop, &links->window_timer, 0);
}

/* The weights that its engine runs, and whether it is away for others. */
void
pgw_sidecar_links_rollout_take_state(struct pgw_sidecar_links *links,
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
        pgw_weights_load_times_add(&links->pace,
                                   now_us - upstream->loading_since_us);
        pgw_gateway_set_weights_loading_time(
            links->gateway, pgw_weights_load_times_expected_us(&links->pace));
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
    links->window_timer.on_due = window_due;
    pgw_metric_register_gauge(&window_size);
    pgw_metric_register_gauge(&load_expected_ms);
}

void
pgw_sidecar_links_rollout_dispose(struct pgw_sidecar_links *links)
{
    pgw_timer_stop(links->loop, &links->window_timer);
}
