#include "gateway/guard_links.h"
#include "gateway/candidates.h"
#include "gateway/load_window.h"
#include "gateway/poison.h"
#include "libparsleygw/link.h"
#include "parsleygw/place.h"
#include "util/log.h"
#include "util/metric.h"
#include "util/random.h"
#include <netinet/in.h>
#include <string.h>

/* A process that does not answer is tried again after this time and up to
 * twice as long. */
#define RECONNECT_US 400000
/* Longest time for which "loading" is believed without another word: a load
 * takes well under a second, and the runs before it end. */
#define LOADING_MAX_US 4000000
/* Up to so many engines an entry hears of those of other zones, too: what is
 * cached where decides more than the way, and all of them are weighed for a
 * prompt. Beyond, its own zone has engines enough, and the control traffic of
 * all would not fit. */
#define FAR_MAX PGW_CANDIDATES_MAX
/* The highest count of entries holds for so long. */
#define ENTRIES_HOLD_US 5000000
/* A process that has been silent for so long may be cut off: its word on load
 * and weights is no longer fresh. It speaks once a second. */
#define FRESH_US 2500000

/* Longest wait between a version's naming and the first loads: half of the
 * 1.5 s in which answers with the weights of before count in full. */
#define LEAD_MAX_US 750000
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

/**
 * struct guard_link - the connection to the process beside one engine
 * @engine: address of the engine
 * @refused_at_us: since when nobody listens there, 0: somebody may
 * @told_version: the last one that its turn was told of
 */
struct guard_link {
    struct pgw_guard_links *links;
    char *engine;
    struct pgw_address address;
    struct pgw_link *link;
    struct pgw_timer timer;
    uint64_t refused_at_us;
    uint64_t told_version;
    bool wanted;
};

struct pgw_guard_links {
    struct pgw_loop *loop;
    struct pgw_gateway *gateway;
    GHashTable *by_engine;
    uint16_t port;
    uint32_t entries;
    uint64_t entries_at_us;
    struct pgw_load_pace pace;
    uint64_t rollout_version;
    uint64_t rollout_at_us;
    struct pgw_timer window_timer;
    unsigned window; /* of the last rollout, 0: none is under way */
    bool closing;
};

static struct pgw_upstream *
find_upstream(const struct pgw_guard_links *links, const char *engine)
{
    return pgw_upstream_table_at(pgw_gateway_upstreams(links->gateway),
                                 engine);
}

/* Place of an engine in the order in which a version is loaded: each rollout
 * draws anew, so that it is not always the same ones that serve the old
 * weights longest; all entries draw alike. */
static uint64_t
place_of(const struct pgw_upstream *upstream, uint64_t version)
{
    return upstream->id_hash * (2 * version + 1);
}

static bool
runs_model(const struct pgw_upstream *upstream, const char *model)
{
    for (size_t i = 0; i < upstream->model_count; i++) {
        if (strcmp(upstream->models[i].model, model) == 0) {
            return true;
        }
    }
    return false;
}

/* Tells an engine of a version, and when to begin at the latest. */
static void
tell_weights(struct guard_link *guard, const struct pgw_upstream *upstream,
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
    return upstream->loads_since_us == 0 ? upstream->models[model].version
                                         : wanted - 1;
}

/* By itself it begins late; it is told when its turn has come. */
static void
announce_to(struct guard_link *guard)
{
    const struct pgw_guard_links *links = guard->links;
    struct pgw_upstream *upstream = find_upstream(links, guard->engine);

    if (upstream == NULL || guard->link == NULL) {
        return;
    }
    for (size_t i = 0; i < upstream->model_count; i++) {
        const char *model = upstream->models[i].model;
        uint64_t version = pgw_gateway_weights(links->gateway, model);
        uint64_t left;

        if (version == 0) {
            continue;
        }
        left = pgw_gateway_weights_left(links->gateway, model,
                                        soon_running(upstream, i, version));
        tell_weights(
            guard, upstream, model, version,
            left == UINT64_MAX
                ? 0
                : pgw_load_window_latest((double)place_of(upstream, version) /
                                             (double)UINT64_MAX,
                                         left));
    }
}

/**
 * struct rollout - one model's engines that this entry can reach
 * @model: its name
 * @engines: each with its &struct guard_link
 * @count: number of @engines
 * @input: what is known of it
 */
struct rollout {
    const char *model;
    struct pgw_load_engine *engines;
    size_t count;
    struct pgw_load_window_input input;
};

/*
 * Failure: an engine stands still in the middle of its load, or its sidecar
 * gets no answer to the order. Symptom: it takes its place in the window for
 * good, and with a few of them no other engine loads. After four times the
 * usual time, and five seconds at least, it is no longer waited for.
 */
static bool
is_under_way(const struct pgw_guard_links *links,
             const struct pgw_upstream *upstream)
{
    uint64_t limit =
        MAX(4 * pgw_load_pace_expected(&links->pace), UNDER_WAY_LEAST_US);

    return upstream->loads_since_us > 0 &&
           pgw_now_us() - upstream->loads_since_us < limit;
}

/* Whether its engine can load now, if it is told to. */
static bool
is_reached(const struct guard_link *guard, const struct pgw_upstream *upstream)
{
    return guard->link != NULL && upstream != NULL && upstream->guarded &&
           !upstream->leaving && !upstream->removed && !upstream->displaced &&
           (!upstream->loading || upstream->loads_since_us > 0);
}

static void
add_engine(struct rollout *rollout, struct guard_link *guard,
           const struct pgw_upstream *upstream)
{
    const struct pgw_guard_links *links = guard->links;
    uint64_t version = pgw_upstream_version(upstream, rollout->model);
    uint64_t left =
        pgw_gateway_weights_left(links->gateway, rollout->model, version);

    rollout->input.left_us = MIN(rollout->input.left_us, left);
    rollout->engines[rollout->count++] = (struct pgw_load_engine){
        .place = place_of(upstream, rollout->input.wanted),
        .version = version,
        .loading = is_under_way(links, upstream),
        .context = guard,
    };
}

/* Time from a version's naming to the first loads: as long as a load itself,
 * as far as that is known. */
static uint64_t
lead_us(const struct pgw_guard_links *links)
{
    uint64_t load_us = pgw_load_pace_expected(&links->pace);

    if (!pgw_policy_is_on(pgw_gateway_policy(links->gateway), PGW_LOAD_LEAD)) {
        return 0;
    }

    return load_us == 0 ? LEAD_MAX_US / 2 : MIN(load_us, LEAD_MAX_US);
}

/* A rollout begins when nothing loads; one that follows on another has engines
 * that are about to load already. */
static void
note_rollout(struct pgw_guard_links *links, const struct rollout *rollout)
{
    bool under_way = false;

    if (links->window == 0 ||
        links->rollout_version == rollout->input.wanted) {
        return;
    }
    for (size_t i = 0; i < rollout->count; i++) {
        under_way |= rollout->engines[i].loading;
    }
    links->rollout_version = rollout->input.wanted;
    links->rollout_at_us = under_way ? 0 : pgw_now_us();
}

/*
 * A gain: engines that are about to load get no long runs, so that they are
 * away for the load alone. The first ones are known only once the version is
 * named; they wait a moment for their runs to end, while old weights are still
 * as good as new ones.
 */
static void
tell_window(const struct pgw_guard_links *links, const struct rollout *rollout)
{
    bool leads = pgw_now_us() < links->rollout_at_us + lead_us(links);

    for (size_t i = 0; i < rollout->count; i++) {
        struct guard_link *guard = rollout->engines[i].context;

        find_upstream(guard->links, guard->engine)->loads_next =
            rollout->engines[i].next || rollout->engines[i].go;
        if (rollout->engines[i].go && !leads &&
            guard->told_version != rollout->input.wanted) {
            guard->told_version = rollout->input.wanted;
            tell_weights(guard, find_upstream(guard->links, guard->engine),
                         rollout->model, rollout->input.wanted, 0);
        }
    }
}

static void
open_window(struct pgw_guard_links *links, const char *model, uint64_t wanted)
{
    struct pgw_load_window_options options = PGW_LOAD_WINDOW_OPTIONS_INIT;
    unsigned most = g_hash_table_size(links->by_engine);
    struct rollout rollout = {
        .model = model,
        .engines = g_new0(struct pgw_load_engine, most),
        .input = {.wanted = wanted,
                  .left_us = UINT64_MAX,
                  .load_us = pgw_load_pace_expected(&links->pace)},
    };
    GHashTableIter iter;
    void *value;

    if (!pgw_policy_is_on(pgw_gateway_policy(links->gateway),
                          PGW_LOAD_WINDOW)) {
        options.share = 1.0;
    }
    g_hash_table_iter_init(&iter, links->by_engine);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct guard_link *guard = value;
        const struct pgw_upstream *upstream =
            find_upstream(links, guard->engine);

        if (is_reached(guard, upstream) && runs_model(upstream, model)) {
            add_engine(&rollout, guard, upstream);
        }
    }
    links->window = pgw_load_window_open(rollout.engines, rollout.count,
                                         &rollout.input, &options);
    note_rollout(links, &rollout);
    pgw_metric_gauge_set(&window_size, links->window);
    pgw_metric_gauge_set(&load_expected_ms, rollout.input.load_us / 1000);
    tell_window(links, &rollout);
    g_free(rollout.engines);
}

static void
open_windows(struct pgw_guard_links *links)
{
    GHashTableIter iter;
    void *model;

    links->window = 0;
    g_hash_table_iter_init(&iter, pgw_gateway_models(links->gateway));
    while (g_hash_table_iter_next(&iter, &model, NULL)) {
        open_window(links, model, pgw_gateway_weights(links->gateway, model));
    }
    if (links->window > 0) {
        /* Time alone widens it, too. */
        pgw_timer_start(links->loop, &links->window_timer, WINDOW_US);
    }
}

static void
window_due(struct pgw_timer *timer)
{
    open_windows(
        pgw_container_of(timer, struct pgw_guard_links, window_timer));
}

/* Once for all that comes in a turn of the loop. */
static void
post_windows(struct pgw_guard_links *links)
{
    pgw_timer_start(links->loop, &links->window_timer, 0);
}

/* Sidecars count the entries that are connected to them. One that has just
 * started counts few, so a lower number holds only once no higher one has been
 * heard for some seconds: repeats beyond the bound are worse than a few less.
 */
static void
note_entries(struct pgw_guard_links *links, uint32_t entries, uint64_t now_us)
{
    if (entries >= links->entries ||
        now_us - links->entries_at_us > ENTRIES_HOLD_US) {
        links->entries = entries;
        links->entries_at_us = now_us;
        pgw_gateway_set_entries(links->gateway, entries);
    }
}

/* The weights that its engine runs, and whether it is away for others. */
static void
take_versions(struct pgw_guard_links *links, struct pgw_upstream *upstream,
              const Pgw__EngineState *state, uint64_t now_us)
{
    bool loads = state->alive && state->loading;
    bool newer = false;

    for (size_t i = 0; i < state->n_models; i++) {
        newer |= state->models[i]->version >
                 pgw_upstream_version(upstream, state->models[i]->name);
        pgw_upstream_set_version(upstream, state->models[i]->name,
                                 state->models[i]->version);
    }
    if (!loads && newer && upstream->loads_since_us > 0) {
        pgw_load_pace_note(&links->pace, now_us - upstream->loads_since_us);
    }
    if (newer || loads != (upstream->loads_since_us > 0)) {
        post_windows(links);
    }
    if (!loads) {
        upstream->loads_since_us = 0;
    }
    else if (upstream->loads_since_us == 0) {
        upstream->loads_since_us = now_us;
    }
}

static void
take_part(struct pgw_upstream *upstream, uint64_t key, uint32_t word,
          uint64_t now_us)
{
    if (word % 2 == 1) {
        pgw_prefix_memory_note(&upstream->expected, key, now_us);
    }
    else {
        pgw_upstream_hold(upstream, key, word / 2);
    }
}

static void
take_state(struct guard_link *guard, const Pgw__EngineState *state)
{
    struct pgw_upstream *upstream = find_upstream(guard->links, guard->engine);
    struct pgw_upstream_load load = {
        .running = state->running,
        .waiting = state->waiting,
        .long_prefills = state->long_prefills,
        .kv_used = state->kv_used,
        .kv_total = state->kv_total,
    };
    uint64_t now = pgw_now_us();

    if (upstream == NULL || strcmp(state->address, guard->engine) != 0) {
        return;
    }
    note_entries(guard->links, state->entries, now);
    upstream->guarded = true;
    pgw_upstream_table_started(pgw_gateway_upstreams(guard->links->gateway),
                               upstream, state->started_ms);
    take_versions(guard->links, upstream, state, now);
    if (state->parts_reset) {
        pgw_upstream_forget_parts(upstream);
    }
    for (size_t i = 0; i < state->n_part_keys && i < state->n_part_words;
         i++) {
        take_part(upstream, state->part_keys[i], state->part_words[i], now);
    }
    pgw_upstream_set_loading(upstream, state->loading || !state->alive,
                             now + (state->alive ? LOADING_MAX_US : FRESH_US));
    if (state->alive) {
        pgw_upstream_take_load(upstream, &load, now);
    }
    else {
        pgw_poison_crashed(pgw_gateway_poison(guard->links->gateway),
                           upstream->id, now);
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
    return false;
}

static void
guard_free(void *data)
{
    struct guard_link *guard = data;

    pgw_timer_stop(guard->links->loop, &guard->timer);
    g_free(guard->engine);
    g_free(guard);
}

/* Only a machine that answers can say that nobody listens: one that is cut off
 * or down says nothing, and its sidecar may be giving orders. */
static void
note_refusal(struct guard_link *guard, bool refused)
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
    struct guard_link *guard = context;
    struct pgw_guard_links *links = guard->links;
    struct pgw_upstream *upstream;

    note_refusal(guard, pgw_link_was_refused(link));
    guard->link = NULL;
    upstream = find_upstream(links, guard->engine);
    if (upstream != NULL) {
        /* Its last word may be old: the list speaks again, and a load that
         * was announced is not waited for. */
        upstream->guarded = false;
        upstream->loading = false;
        upstream->loads_since_us = 0;
        pgw_upstream_forget_parts(upstream);
    }
    if (links->closing) {
        return;
    }
    post_windows(links);
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
on_open(struct pgw_link *link, void *context)
{
    struct guard_link *guard = context;
    Pgw__Hello hello = PGW__HELLO__INIT;

    hello.protocol = PGW_PROTOCOL;
    hello.instance = (char *)pgw_gateway_instance(guard->links->gateway);
    hello.role = (char *)"entry";
    hello.zone = (char *)pgw_gateway_zone(guard->links->gateway);
    pgw_link_send(link, PGW_FRAME_HELLO, &hello.base);
    guard->told_version = 0;
    announce_to(guard);
    post_windows(guard->links);
}

static const struct pgw_link_ops link_ops = {
    .on_open = on_open,
    .on_frame = on_frame,
    .on_closed = on_closed,
};

static void
connect_due(struct pgw_timer *timer)
{
    struct guard_link *guard =
        pgw_container_of(timer, struct guard_link, timer);
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

static void
add(struct pgw_guard_links *links, const struct pgw_upstream *upstream)
{
    struct guard_link *guard = g_new0(struct guard_link, 1);

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
    guard->timer.on_due = connect_due;
    g_hash_table_insert(links->by_engine, guard->engine, guard);
    pgw_timer_start(links->loop, &guard->timer, 0);
}

static void
on_expected(const struct pgw_upstream *upstream,
            const struct pgw_shared_part *parts, size_t count, void *context)
{
    const struct pgw_guard_links *links = context;
    const struct guard_link *guard =
        g_hash_table_lookup(links->by_engine, upstream->address_text);
    Pgw__ExpectedParts message = PGW__EXPECTED_PARTS__INIT;
    Pgw__HeldPart items[PGW_PROMPT_PARTS_MAX];
    Pgw__HeldPart *pointers[PGW_PROMPT_PARTS_MAX];

    if (guard == NULL || guard->link == NULL ||
        !pgw_link_is_open(guard->link)) {
        return;
    }
    for (size_t i = 0; i < count; i++) {
        pgw__held_part__init(&items[i]);
        items[i].key = parts[i].key;
        items[i].tokens = parts[i].tokens;
        pointers[i] = &items[i];
    }
    message.n_parts = count;
    message.parts = pointers;
    pgw_link_send(guard->link, PGW_FRAME_EXPECTED_PARTS, &message.base);
}

struct pgw_guard_links *
pgw_guard_links_new(struct pgw_loop *loop, struct pgw_gateway *gateway,
                    uint16_t port)
{
    struct pgw_guard_links *links = g_new0(struct pgw_guard_links, 1);

    links->loop = loop;
    links->gateway = gateway;
    links->port = port;
    links->window_timer.on_due = window_due;
    pgw_gateway_on_expected(gateway, on_expected, links);
    pgw_metric_register_gauge(&window_size);
    pgw_metric_register_gauge(&load_expected_ms);
    links->by_engine =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, guard_free);
    return links;
}

void
pgw_guard_links_free(struct pgw_guard_links *links)
{
    GHashTableIter iter;
    void *value;

    links->closing = true;
    pgw_gateway_on_expected(links->gateway, NULL, NULL);
    pgw_timer_stop(links->loop, &links->window_timer);
    g_hash_table_iter_init(&iter, links->by_engine);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct guard_link *guard = value;

        if (guard->link != NULL) {
            pgw_link_close(guard->link);
        }
    }
    pgw_loop_run_tasks(links->loop);
    g_hash_table_destroy(links->by_engine);
    g_free(links);
}

static void
drop_unwanted(struct pgw_guard_links *links)
{
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, links->by_engine);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct guard_link *guard = value;

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

/* Whether the engines are few enough to hear of all of them. */
static bool
are_few(const struct pgw_guard_links *links)
{
    unsigned engines = 0;

    pgw_list_foreach (
        item, pgw_upstream_table_all(pgw_gateway_upstreams(links->gateway))) {
        engines += pgw_container_of(item, struct pgw_upstream, in_table)
                       ->model_count > 0;
    }
    return engines <= FAR_MAX;
}

void
pgw_guard_links_refresh(struct pgw_guard_links *links)
{
    bool all = are_few(links);
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, links->by_engine);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((struct guard_link *)value)->wanted = false;
    }
    pgw_list_foreach (
        item, pgw_upstream_table_all(pgw_gateway_upstreams(links->gateway))) {
        const struct pgw_upstream *upstream =
            pgw_container_of(item, struct pgw_upstream, in_table);
        struct guard_link *guard;

        if (upstream->model_count == 0 || (!upstream->same_zone && !all)) {
            continue;
        }
        guard = g_hash_table_lookup(links->by_engine, upstream->address_text);
        if (guard == NULL) {
            add(links, upstream);
        }
        else {
            guard->wanted = true;
            announce_to(guard);
        }
    }
    drop_unwanted(links);
    post_windows(links);
}

void
pgw_guard_links_announce(struct pgw_guard_links *links)
{
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, links->by_engine);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        announce_to(value);
    }
    post_windows(links);
}

bool
pgw_guard_links_is_refused(const struct pgw_guard_links *links,
                           const struct pgw_upstream *upstream,
                           uint64_t for_us)
{
    const struct guard_link *guard =
        g_hash_table_lookup(links->by_engine, upstream->address_text);

    return guard != NULL && guard->refused_at_us > 0 &&
           pgw_now_us() - guard->refused_at_us >= for_us;
}
