#include "gateway/engine_guard.h"
#include "libparsleygw/link.h"
#include "util/log.h"
#include "util/metric.h"
#include <string.h>

/* Reports are asked for this often; while an order is on its way more often,
 * since requests wait for its end. */
#define REPORT_US 100000
#define REPORT_LOADING_US 40000
#define REPORT_TIMEOUT_US 400000
#define ORDER_TIMEOUT_US 400000
/* A load that has changed by a fifth of the memory or two requests is news. */
#define NEWS_REQUESTS 2
#define NEWS_MEMORY_PARTS 5
/* Entries hear something at least this often, so that a load they add up
 * themselves does not drift. */
#define PUSH_MAX_US 1000000
/* Entries of other zones hear of load and cache this often: bytes between
 * zones cost. */
#define FAR_PUSH_US 700000
/* Cache events are waited for so long; shorter waits count as probes. */
#define EVENTS_WAIT_MS 800
#define EVENTS_TIMEOUT_US 2000000
/* After an answer with events: what follows at once is told together. */
#define EVENTS_PAUSE_US 30000
#define EVENTS_AGAIN_US 300000
/* Failed reports in a row before the engine counts as gone. */
#define DEAD_AFTER 2

static struct pgw_metric_counter orders_given = {
    .name = "pgw_engine_orders_total",
    .help = "Orders given to the engine",
};
static struct pgw_metric_counter reports_failed = {
    .name = "pgw_engine_reports_failed_total",
    .help = "Reports that the engine did not give",
};

/** struct model_order - the weights of one model */
struct model_order {
    char *model;
    char *instance;
    struct pgw_weights_order order;
};

/**
 * struct entry_peer - one entry
 * @known: it has said who it is and been told everything
 * @far: it is in another zone: told less, and less often
 */
struct entry_peer {
    struct pgw_list in_guard;
    struct pgw_engine_guard *guard;
    struct pgw_link *link;
    bool known;
    bool far;
};

struct pgw_engine_guard {
    struct pgw_loop *loop;
    struct pgw_engine_guard_options options;
    char *instance;
    char *zone;
    char engine[PGW_ADDRESS_TEXT_SIZE];
    struct pgw_call_pool *pool;
    struct pgw_listener *listener;
    struct pgw_list entries;
    struct pgw_timer report_timer;
    struct pgw_timer step_timer;
    struct pgw_timer events_timer;
    struct pgw_call report_call;
    struct pgw_call order_call;
    struct pgw_call events_call;
    GString *report_body;
    GString *events_body;
    unsigned events_status;
    struct pgw_held_parts parts;
    unsigned report_status;
    unsigned order_status;
    struct pgw_engine_report report;
    struct pgw_engine_report told;
    uint64_t told_us;
    uint64_t told_far_us;
    struct model_order models[PGW_UPSTREAM_MODELS_MAX];
    size_t model_count;
    struct model_order *ordering;
    unsigned failures;
    bool alive;
    bool told_alive;
    bool told_loading;
};

static void step(struct pgw_engine_guard *guard);

static void
report_clear(struct pgw_engine_report *report)
{
    for (size_t i = 0; i < report->model_count; i++) {
        g_free(report->models[i].model);
    }
    memset(report, 0, sizeof(*report));
}

static void
report_copy(struct pgw_engine_report *out,
            const struct pgw_engine_report *from)
{
    report_clear(out);
    *out = *from;
    for (size_t i = 0; i < from->model_count; i++) {
        out->models[i].model = g_strdup(from->models[i].model);
    }
}

static bool
is_loading(const struct pgw_engine_guard *guard)
{
    for (size_t i = 0; i < guard->model_count; i++) {
        if (guard->models[i].order.announced) {
            return true;
        }
    }
    return guard->report.busy;
}

/* All parts of @keys; those that are not held go as 0 tokens. */
static void
fill_parts(Pgw__EngineState *state, const struct pgw_engine_guard *guard,
           GHashTable *keys)
{
    unsigned count = g_hash_table_size(keys);
    Pgw__HeldPart *parts = g_new0(Pgw__HeldPart, count + 1);
    GHashTableIter iter;
    void *key;

    state->parts = g_new0(Pgw__HeldPart *, count + 1);
    g_hash_table_iter_init(&iter, keys);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        Pgw__HeldPart *part = &parts[state->n_parts];
        pgw__held_part__init(part);
        part->key = *(const uint64_t *)key;
        part->tokens = pgw_held_parts_tokens(&guard->parts, part->key);
        state->parts[state->n_parts++] = part;
    }
    if (state->n_parts == 0) {
        g_free(parts);
    }
}

static void
free_parts(Pgw__EngineState *state)
{
    if (state->n_parts > 0) {
        g_free(state->parts[0]);
    }
    g_free(state->parts);
}

static void
send_state(const struct pgw_engine_guard *guard, struct entry_peer *peer)
{
    Pgw__EngineState state = PGW__ENGINE_STATE__INIT;
    Pgw__EngineModel models[PGW_UPSTREAM_MODELS_MAX];
    Pgw__EngineModel *pointers[PGW_UPSTREAM_MODELS_MAX];
    const struct pgw_held_parts *parts = &guard->parts;
    bool reset = peer->far ? parts->far_reset : parts->reset;

    for (size_t i = 0; i < guard->report.model_count; i++) {
        pgw__engine_model__init(&models[i]);
        models[i].name = guard->report.models[i].model;
        models[i].version = guard->report.models[i].version;
        pointers[i] = &models[i];
    }
    state.address = (char *)guard->engine;
    state.alive = guard->alive;
    state.loading = is_loading(guard);
    state.n_models = guard->report.model_count;
    state.models = pointers;
    state.running = guard->report.load.running;
    state.waiting = guard->report.load.waiting;
    state.long_prefills = guard->report.load.long_prefills;
    state.entries = pgw_engine_guard_entries(guard);
    state.kv_used = guard->report.load.kv_used;
    state.kv_total = guard->report.load.kv_total;
    state.parts_reset = reset || !peer->known;
    if (state.parts_reset) {
        fill_parts(&state, guard,
                   peer->far ? parts->long_held : parts->tokens);
    }
    else {
        fill_parts(&state, guard,
                   peer->far ? parts->far_changed : parts->changed);
    }
    peer->known = true;
    pgw_link_send(peer->link, PGW_FRAME_ENGINE_STATE, &state.base);
    free_parts(&state);
}

static void
tell(struct pgw_engine_guard *guard, bool far)
{
    pgw_list_foreach (link, &guard->entries) {
        struct entry_peer *peer =
            pgw_container_of(link, struct entry_peer, in_guard);

        if (far || !peer->far) {
            send_state(guard, peer);
        }
    }
    pgw_held_parts_told(&guard->parts, far);
}

/* Changes of the engine's state go to all at once; those of its load and its
 * cache to the entries of the zone, and to the others now and then. */
static void
tell_all(struct pgw_engine_guard *guard, bool urgent)
{
    uint64_t now = pgw_now_us();
    bool far = urgent || now - guard->told_far_us >= FAR_PUSH_US;

    report_copy(&guard->told, &guard->report);
    guard->told_alive = guard->alive;
    guard->told_loading = is_loading(guard);
    guard->told_us = now;
    if (far) {
        guard->told_far_us = now;
    }
    tell(guard, far);
}

static uint32_t
distance(uint64_t a, uint64_t b)
{
    return (uint32_t)(a > b ? a - b : b - a);
}

/* What no request may wait for: its engine's life, weights and orders. */
static bool
is_urgent(const struct pgw_engine_guard *guard)
{
    const struct pgw_engine_report *now = &guard->report;
    const struct pgw_engine_report *told = &guard->told;

    if (guard->alive != guard->told_alive ||
        is_loading(guard) != guard->told_loading ||
        now->model_count != told->model_count) {
        return true;
    }
    for (size_t i = 0; i < now->model_count; i++) {
        if (now->models[i].version != told->models[i].version) {
            return true;
        }
    }
    return false;
}

static bool
is_news(const struct pgw_engine_guard *guard)
{
    const struct pgw_upstream_load *now = &guard->report.load;
    const struct pgw_upstream_load *told = &guard->told.load;

    return pgw_now_us() - guard->told_us >= PUSH_MAX_US ||
           now->long_prefills != told->long_prefills ||
           distance(now->running + now->waiting,
                    told->running + told->waiting) >= NEWS_REQUESTS ||
           distance(now->kv_used, told->kv_used) >
               now->kv_total / NEWS_MEMORY_PARTS;
}

static void
start_report_timer(struct pgw_engine_guard *guard)
{
    pgw_timer_start(guard->loop, &guard->report_timer,
                    is_loading(guard) ? REPORT_LOADING_US : REPORT_US);
}

static void
report_failed(struct pgw_engine_guard *guard)
{
    pgw_metric_counter_add(&reports_failed, 1);
    guard->failures++;
    if (guard->failures == DEAD_AFTER) {
        guard->alive = false;
        pgw_log_warning("engine_lost", "engine=%s", guard->engine);
        tell_all(guard, true);
    }
    start_report_timer(guard);
}

static uint64_t
version_of(const struct pgw_engine_report *report, const char *model)
{
    for (size_t i = 0; i < report->model_count; i++) {
        if (strcmp(report->models[i].model, model) == 0) {
            return report->models[i].version;
        }
    }
    return 0;
}

static void
take_report(struct pgw_engine_guard *guard)
{
    uint64_t now = pgw_now_us();

    if (!guard->alive) {
        pgw_log_info("engine_found", "engine=%s", guard->engine);
    }
    guard->alive = true;
    guard->failures = 0;
    for (size_t i = 0; i < guard->model_count; i++) {
        struct model_order *model = &guard->models[i];
        uint64_t version = version_of(&guard->report, model->model);

        if (version != model->order.running) {
            pgw_log_info("weights_running",
                         "model=%s version=%" G_GUINT64_FORMAT
                         " before=%" G_GUINT64_FORMAT,
                         model->model, version, model->order.running);
        }
        pgw_weights_order_report(&model->order, version, guard->report.busy,
                                 now);
    }
    step(guard);
    if (is_urgent(guard)) {
        tell_all(guard, true);
    }
    else if (is_news(guard)) {
        tell_all(guard, false);
    }
    start_report_timer(guard);
}

static struct pgw_engine_guard *
of_report(struct pgw_call *call)
{
    return pgw_container_of(call, struct pgw_engine_guard, report_call);
}

static bool
report_head(struct pgw_call *call, const struct pgw_http_head *head)
{
    struct pgw_engine_guard *guard = of_report(call);

    guard->report_status = head->status;
    g_string_truncate(guard->report_body, 0);
    return true;
}

static void
report_body(struct pgw_call *call, const char *data, size_t size)
{
    g_string_append_len(of_report(call)->report_body, data, (gssize)size);
}

static void
report_done(struct pgw_call *call)
{
    struct pgw_engine_guard *guard = of_report(call);
    struct pgw_engine_report report = {0};

    if (guard->report_status != 200 ||
        !guard->options.codec->read_report(&report, guard->report_body->str,
                                           guard->report_body->len)) {
        report_failed(guard);
        return;
    }
    report_clear(&guard->report);
    guard->report = report;
    take_report(guard);
}

static void
report_lost(struct pgw_call *call, enum pgw_call_failure why)
{
    (void)why;
    report_failed(of_report(call));
}

static const struct pgw_call_ops report_ops = {
    .on_head = report_head,
    .on_body = report_body,
    .on_done = report_done,
    .on_failed = report_lost,
};

static void
report_due(struct pgw_timer *timer)
{
    struct pgw_engine_guard *guard =
        pgw_container_of(timer, struct pgw_engine_guard, report_timer);
    GString *bytes = g_string_new(NULL);
    struct pgw_call_options options = {
        .address = &guard->options.engine,
        .timeout_us = REPORT_TIMEOUT_US,
    };

    guard->options.codec->write_report(bytes);
    options.bytes = bytes->str;
    options.size = bytes->len;
    guard->report_call.ops = &report_ops;
    if (!pgw_call_start(&guard->report_call, guard->pool, &options)) {
        report_failed(guard);
    }
    g_string_free(bytes, TRUE);
}

/* A report at once: something is about to have changed. */
static void
ask_report(struct pgw_engine_guard *guard)
{
    if (!pgw_call_is_running(&guard->report_call)) {
        pgw_timer_start(guard->loop, &guard->report_timer, 0);
    }
}

static struct pgw_engine_guard *
of_events(struct pgw_call *call)
{
    return pgw_container_of(call, struct pgw_engine_guard, events_call);
}

static bool
events_head(struct pgw_call *call, const struct pgw_http_head *head)
{
    struct pgw_engine_guard *guard = of_events(call);

    guard->events_status = head->status;
    g_string_truncate(guard->events_body, 0);
    return true;
}

static void
events_body(struct pgw_call *call, const char *data, size_t size)
{
    g_string_append_len(of_events(call)->events_body, data, (gssize)size);
}

static void
events_done(struct pgw_call *call)
{
    struct pgw_engine_guard *guard = of_events(call);
    struct pgw_cache_events events = {0};

    if (guard->events_status != 200 ||
        !guard->options.codec->read_events(&events, guard->events_body->str,
                                           guard->events_body->len)) {
        pgw_timer_start(guard->loop, &guard->events_timer, EVENTS_AGAIN_US);
        return;
    }
    pgw_held_parts_take(&guard->parts, &events);
    g_free(events.events);
    if (guard->parts.reset || g_hash_table_size(guard->parts.changed) > 0) {
        tell_all(guard, false);
    }
    pgw_timer_start(guard->loop, &guard->events_timer, EVENTS_PAUSE_US);
}

static void
events_lost(struct pgw_call *call, enum pgw_call_failure why)
{
    struct pgw_engine_guard *guard = of_events(call);

    (void)why;
    pgw_timer_start(guard->loop, &guard->events_timer, EVENTS_AGAIN_US);
}

static const struct pgw_call_ops events_ops = {
    .on_head = events_head,
    .on_body = events_body,
    .on_done = events_done,
    .on_failed = events_lost,
};

static void
events_due(struct pgw_timer *timer)
{
    struct pgw_engine_guard *guard =
        pgw_container_of(timer, struct pgw_engine_guard, events_timer);
    GString *bytes = g_string_new(NULL);
    struct pgw_call_options options = {
        .address = &guard->options.engine,
        .timeout_us = EVENTS_TIMEOUT_US,
    };

    guard->options.codec->write_events(bytes, guard->parts.next,
                                       EVENTS_WAIT_MS);
    options.bytes = bytes->str;
    options.size = bytes->len;
    guard->events_call.ops = &events_ops;
    if (!pgw_call_start(&guard->events_call, guard->pool, &options)) {
        pgw_timer_start(guard->loop, &guard->events_timer, EVENTS_AGAIN_US);
    }
    g_string_free(bytes, TRUE);
}

static enum pgw_order_answer
answer_of(unsigned status)
{
    switch (status) {
    case 200:
    case 202:
        return PGW_ORDER_ACCEPTED;
    case 409:
        return PGW_ORDER_BUSY;
    case 412:
        return PGW_ORDER_FENCED;
    case 421:
        return PGW_ORDER_OTHER;
    default:
        return PGW_ORDER_REFUSED;
    }
}

static struct pgw_engine_guard *
of_order(struct pgw_call *call)
{
    return pgw_container_of(call, struct pgw_engine_guard, order_call);
}

static void
order_settled(struct pgw_engine_guard *guard, enum pgw_order_answer answer)
{
    struct model_order *model = guard->ordering;

    guard->ordering = NULL;
    if (model != NULL) {
        pgw_log_info("order_answer",
                     "model=%s version=%" G_GUINT64_FORMAT
                     " status=%u answer=%d token=%" G_GUINT64_FORMAT,
                     model->model, model->order.wanted, guard->order_status,
                     (int)answer, model->order.token);
        pgw_weights_order_answer(&model->order, answer, pgw_now_us());
    }
    ask_report(guard);
    step(guard);
}

static bool
order_head(struct pgw_call *call, const struct pgw_http_head *head)
{
    of_order(call)->order_status = head->status;
    return true;
}

static void
order_body(struct pgw_call *call, const char *data, size_t size)
{
    (void)call;
    (void)data;
    (void)size;
}

static void
order_done(struct pgw_call *call)
{
    struct pgw_engine_guard *guard = of_order(call);

    order_settled(guard, answer_of(guard->order_status));
}

static void
order_lost(struct pgw_call *call, enum pgw_call_failure why)
{
    struct pgw_engine_guard *guard = of_order(call);

    guard->order_status = 0;
    /* What was never sent is refused, not lost. */
    order_settled(guard, why == PGW_CALL_NO_CONNECTION && !call->sent
                             ? PGW_ORDER_REFUSED
                             : PGW_ORDER_LOST);
}

static const struct pgw_call_ops order_ops = {
    .on_head = order_head,
    .on_body = order_body,
    .on_done = order_done,
    .on_failed = order_lost,
};

static void
give_order(struct pgw_engine_guard *guard, struct model_order *model)
{
    struct pgw_engine_order order = {
        .model = model->model,
        .version = model->order.wanted,
        .instance = model->instance,
        .holder = guard->instance,
        .token = model->order.token,
        .sequence = guard->report.sequence,
    };
    struct pgw_call_options options = {
        .address = &guard->options.engine,
        .timeout_us = ORDER_TIMEOUT_US,
        .fresh = true,
    };
    GString *bytes = g_string_new(NULL);

    guard->options.codec->write_order(bytes, &order);
    options.bytes = bytes->str;
    options.size = bytes->len;
    guard->order_call.ops = &order_ops;
    guard->ordering = model;
    pgw_metric_counter_add(&orders_given, 1);
    pgw_log_info("order",
                 "model=%s version=%" G_GUINT64_FORMAT
                 " instance=%s token=%" G_GUINT64_FORMAT
                 " sequence=%" G_GUINT64_FORMAT,
                 order.model, order.version, order.instance, order.token,
                 order.sequence);
    pgw_weights_order_sent(&model->order, pgw_now_us());
    if (!pgw_call_start(&guard->order_call, guard->pool, &options)) {
        guard->ordering = NULL;
        pgw_weights_order_answer(&model->order, PGW_ORDER_REFUSED,
                                 pgw_now_us());
    }
    g_string_free(bytes, TRUE);
}

/* Returns when to look again, 0: on news only. */
static uint64_t
step_model(struct pgw_engine_guard *guard, struct model_order *model)
{
    for (;;) {
        switch (pgw_weights_order_step(&model->order, pgw_now_us())) {
        case PGW_WEIGHTS_REST:
            return model->order.next_us;
        case PGW_WEIGHTS_GET_TOKEN:
            guard->options.get_token(guard->options.context);
            break;
        case PGW_WEIGHTS_ANNOUNCE:
        case PGW_WEIGHTS_OPEN:
            tell_all(guard, true);
            break;
        case PGW_WEIGHTS_ORDER:
            /* One order at a time; nothing is known of an engine that does
             * not answer, so no order is made for it either. */
            if (guard->ordering != NULL || !guard->alive) {
                return pgw_now_us() + REPORT_LOADING_US;
            }
            give_order(guard, model);
            break;
        }
    }
}

static void
step(struct pgw_engine_guard *guard)
{
    uint64_t now = pgw_now_us();
    uint64_t next = 0;

    for (size_t i = 0; i < guard->model_count; i++) {
        uint64_t at = step_model(guard, &guard->models[i]);

        if (at > 0 && (next == 0 || at < next)) {
            next = at;
        }
    }
    if (next > 0) {
        pgw_timer_start(guard->loop, &guard->step_timer,
                        next > now ? next - now : 0);
    }
}

static void
step_due(struct pgw_timer *timer)
{
    step(pgw_container_of(timer, struct pgw_engine_guard, step_timer));
}

static struct model_order *
model_get(struct pgw_engine_guard *guard, const char *name)
{
    static const struct pgw_weights_order_options options =
        PGW_WEIGHTS_ORDER_OPTIONS_INIT;
    struct model_order *model;

    for (size_t i = 0; i < guard->model_count; i++) {
        if (strcmp(guard->models[i].model, name) == 0) {
            return &guard->models[i];
        }
    }
    if (guard->model_count == PGW_UPSTREAM_MODELS_MAX) {
        pgw_log_warning("too_many_models", "model=%s", name);
        return NULL;
    }
    model = &guard->models[guard->model_count++];
    model->model = g_strdup(name);
    pgw_weights_order_init(&model->order, &options);
    model->order.running = version_of(&guard->report, name);
    return model;
}

static void
log_wanted(const struct model_order *model, uint32_t turn)
{
    uint64_t now = pgw_now_us();
    uint64_t due = model->order.due_us;

    pgw_log_info("weights_wanted",
                 "model=%s version=%" G_GUINT64_FORMAT
                 " running=%" G_GUINT64_FORMAT
                 " turn=%u due_ms=%" G_GUINT64_FORMAT,
                 model->model, model->order.wanted, model->order.running, turn,
                 due > now ? (due - now) / 1000 : 0);
}

void
pgw_engine_guard_name_weights(struct pgw_engine_guard *guard, const char *name,
                              uint64_t version, uint32_t turn,
                              const char *instance)
{
    struct model_order *model = model_get(guard, name);

    if (model == NULL) {
        return;
    }
    if (g_strcmp0(model->instance, instance) != 0) {
        g_free(model->instance);
        model->instance = g_strdup(instance);
    }
    if (version > model->order.wanted) {
        pgw_weights_order_want(&model->order, version, turn, pgw_now_us());
        log_wanted(model, turn);
    }
    step(guard);
}

void
pgw_engine_guard_take_token(struct pgw_engine_guard *guard, uint64_t token)
{
    for (size_t i = 0; i < guard->model_count; i++) {
        pgw_weights_order_token(&guard->models[i].order, token, pgw_now_us());
    }
    step(guard);
}

static bool
on_frame(struct pgw_link *link, enum pgw_frame_type type,
         ProtobufCMessage *message, void *context)
{
    struct entry_peer *peer = context;

    (void)link;
    if (type == PGW_FRAME_HELLO) {
        const Pgw__Hello *hello = (const Pgw__Hello *)message;

        peer->far = strcmp(hello->zone, peer->guard->zone) != 0;
        if (peer->guard->alive) {
            send_state(peer->guard, peer);
        }
    }
    else if (type == PGW_FRAME_LOAD_WEIGHTS) {
        const Pgw__LoadWeights *load = (const Pgw__LoadWeights *)message;

        pgw_engine_guard_name_weights(peer->guard, load->model, load->version,
                                      load->turn, load->instance);
    }
    return false;
}

static void
on_closed(struct pgw_link *link, const GError *error, void *context)
{
    struct entry_peer *peer = context;

    (void)link;
    pgw_log_info("entry_lost", "reason=%s",
                 error == NULL ? "closed" : error->message);
    pgw_list_remove(&peer->in_guard);
    g_free(peer);
}

static const struct pgw_link_ops link_ops = {
    .on_frame = on_frame,
    .on_closed = on_closed,
};

static void
on_accept(int fd, void *context)
{
    struct pgw_engine_guard *guard = context;
    struct entry_peer *peer = g_new0(struct entry_peer, 1);
    GError *error = NULL;

    peer->guard = guard;
    peer->link = pgw_link_accept(guard->loop, fd, &link_ops, peer, &error);
    if (peer->link == NULL) {
        pgw_log_warning("entry_link", "reason=%s", error->message);
        g_error_free(error);
        g_free(peer);
        return;
    }
    pgw_list_append(&guard->entries, &peer->in_guard);
}

struct pgw_engine_guard *
pgw_engine_guard_new(struct pgw_loop *loop,
                     const struct pgw_engine_guard_options *options,
                     GError **error)
{
    struct pgw_engine_guard *guard = g_new0(struct pgw_engine_guard, 1);
    struct pgw_call_pool_options pool = PGW_CALL_POOL_OPTIONS_INIT;

    pgw_metric_register_counter(&orders_given);
    pgw_metric_register_counter(&reports_failed);
    guard->loop = loop;
    guard->options = *options;
    pgw_list_init(&guard->entries);
    guard->listener =
        pgw_listener_new(loop, &options->listen, on_accept, guard, error);
    if (guard->listener == NULL) {
        g_free(guard);
        return NULL;
    }
    guard->instance = g_strdup(options->instance);
    guard->zone = g_strdup(options->zone);
    pgw_address_format(guard->engine, &options->engine);
    guard->pool = pgw_call_pool_new(loop, &pool);
    guard->report_body = g_string_new(NULL);
    guard->events_body = g_string_new(NULL);
    pgw_held_parts_init(&guard->parts);
    guard->events_timer.on_due = events_due;
    pgw_timer_start(loop, &guard->events_timer, 0);
    guard->report_timer.on_due = report_due;
    guard->step_timer.on_due = step_due;
    pgw_timer_start(loop, &guard->report_timer, 0);
    return guard;
}

uint16_t
pgw_engine_guard_port(const struct pgw_engine_guard *guard)
{
    return pgw_listener_port(guard->listener);
}

unsigned
pgw_engine_guard_entries(const struct pgw_engine_guard *guard)
{
    unsigned count = 0;

    pgw_list_foreach (link, &guard->entries) {
        count++;
    }
    return count;
}

void
pgw_engine_guard_free(struct pgw_engine_guard *guard)
{
    pgw_call_cancel(&guard->report_call);
    pgw_call_cancel(&guard->order_call);
    pgw_call_cancel(&guard->events_call);
    pgw_timer_stop(guard->loop, &guard->events_timer);
    pgw_held_parts_dispose(&guard->parts);
    g_string_free(guard->events_body, TRUE);
    pgw_list_foreach_safe (link, &guard->entries) {
        pgw_link_close(
            pgw_container_of(link, struct entry_peer, in_guard)->link);
    }
    pgw_loop_run_tasks(guard->loop);
    pgw_timer_stop(guard->loop, &guard->report_timer);
    pgw_timer_stop(guard->loop, &guard->step_timer);
    pgw_listener_free(guard->listener);
    pgw_call_pool_free(guard->pool);
    for (size_t i = 0; i < guard->model_count; i++) {
        g_free(guard->models[i].model);
        g_free(guard->models[i].instance);
    }
    report_clear(&guard->report);
    report_clear(&guard->told);
    g_string_free(guard->report_body, TRUE);
    g_free(guard->instance);
    g_free(guard->zone);
    g_free(guard);
}
