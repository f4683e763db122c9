#include "gateway/engine_sidecar_internal.h"
#include "util/log.h"
#include "util/metric.h"
#include <string.h>

/* An order that got no answer for so long is settled by the reports. */
#define ORDER_TIMEOUT_US 400000
/* An order that has to wait for another one or for the engine is looked at
 * again after this time, which is that between two reports meanwhile. */
#define STEP_AGAIN_US 40000

static struct pgw_metric_counter orders_given = {
    .name = "pgw_engine_orders_total",
    .help = "Orders given to the engine",
};

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
        return PGW_ORDER_WRONG_INSTANCE;
    default:
        return PGW_ORDER_REFUSED;
    }
}

static struct pgw_engine_sidecar *
of_order(struct pgw_call *call)
{
    return pgw_container_of(call, struct pgw_engine_sidecar, order_call);
}

static const char *const answer_names[] = {
    [PGW_ORDER_ACCEPTED] = "accepted",
    [PGW_ORDER_BUSY] = "busy",
    [PGW_ORDER_FENCED] = "fenced",
    [PGW_ORDER_WRONG_INSTANCE] = "other_instance",
    [PGW_ORDER_REFUSED] = "refused",
    [PGW_ORDER_LOST] = "lost",
};

static void
order_settled(struct pgw_engine_sidecar *guard, enum pgw_order_answer answer)
{
    struct pgw_sidecar_model *model = guard->ordering;

    guard->ordering = NULL;
    if (model != NULL) {
        pgw_log_info("order_answer",
                     "engine=%s model=%s version=%" G_GUINT64_FORMAT
                     " status=%u answer=%s token=%" G_GUINT64_FORMAT,
                     guard->engine, model->model, model->order.wanted,
                     guard->order_status, answer_names[answer],
                     model->order.token);
        pgw_weights_order_handle_answer(&model->order, answer, pgw_now_us());
    }
    pgw_engine_sidecar_poll_now(guard);
    pgw_engine_sidecar_step_orders(guard);
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
    struct pgw_engine_sidecar *guard = of_order(call);

    order_settled(guard, answer_of(guard->order_status));
}

static void
order_lost(struct pgw_call *call, enum pgw_call_failure why)
{
    struct pgw_engine_sidecar *guard = of_order(call);

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
give_order(struct pgw_engine_sidecar *guard, struct pgw_sidecar_model *model)
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

    guard->options.codec->write_order_request(bytes, &order);
    options.bytes = bytes->str;
    options.size = bytes->len;
    guard->order_call.ops = &order_ops;
    guard->ordering = model;
    pgw_metric_counter_add(&orders_given, 1);
    pgw_log_info("order",
                 "engine=%s upstream=%s model=%s version=%" G_GUINT64_FORMAT
                 " token=%" G_GUINT64_FORMAT " sequence=%" G_GUINT64_FORMAT
                 " queued=%u running=%u kv_used=%" G_GUINT64_FORMAT,
                 guard->engine, order.instance, order.model, order.version,
                 order.token, order.sequence, model->order.queued,
                 guard->report.load.running, guard->report.load.kv_used);
    pgw_weights_order_mark_sent(&model->order, pgw_now_us());
    if (!pgw_call_start(&guard->order_call, guard->pool, &options)) {
        guard->ordering = NULL;
        pgw_weights_order_handle_answer(&model->order, PGW_ORDER_REFUSED,
                                        pgw_now_us());
    }
    g_string_free(bytes, TRUE);
}

static bool
may_send_order(const struct pgw_engine_sidecar *guard)
{
    return guard->options.may_send_order == NULL ||
           guard->options.may_send_order(guard->options.context);
}

/* Returns when to look again, 0: on news only. */
static uint64_t
step_model(struct pgw_engine_sidecar *guard, struct pgw_sidecar_model *model)
{
    for (;;) {
        switch (pgw_weights_order_step(&model->order, pgw_now_us())) {
        case PGW_WEIGHTS_WAIT:
            return model->order.next_us;
        case PGW_WEIGHTS_REQUEST_TOKEN:
            guard->options.get_token(guard->options.context);
            break;
        case PGW_WEIGHTS_ANNOUNCE_LOADING:
        case PGW_WEIGHTS_ANNOUNCE_AVAILABLE:
            pgw_engine_sidecar_report_to_all(guard, true);
            break;
        case PGW_WEIGHTS_SEND_ORDER:
            /* One order at a time; nothing is known of an engine that does
             * not answer, so no order is made for it either. */
            if (guard->ordering != NULL || !guard->alive ||
                !may_send_order(guard)) {
                return pgw_now_us() + STEP_AGAIN_US;
            }
            give_order(guard, model);
            break;
        }
    }
}

void
pgw_engine_sidecar_step_orders(struct pgw_engine_sidecar *guard)
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

void
pgw_engine_sidecar_step_due(struct pgw_timer *timer)
{
    pgw_engine_sidecar_step_orders(
        pgw_container_of(timer, struct pgw_engine_sidecar, step_timer));
}

static struct pgw_sidecar_model *
model_get(struct pgw_engine_sidecar *guard, const char *name)
{
    struct pgw_weights_order_options options = PGW_WEIGHTS_ORDER_OPTIONS_INIT;
    struct pgw_sidecar_model *model;

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
    options.report_lag_us = guard->options.report_lag_us;
    if (!pgw_policy_is_on(&guard->options.policy, PGW_MECHANISM_LOAD_DRAIN)) {
        options.drain_us = 0;
    }
    pgw_weights_order_init(&model->order, &options);
    model->order.running = pgw_engine_report_version(&guard->report, name);
    return model;
}

static void
log_wanted(const struct pgw_engine_sidecar *guard,
           const struct pgw_sidecar_model *model)
{
    uint64_t now = pgw_now_us();
    uint64_t due = model->order.due_us;

    pgw_log_info("weights_wanted",
                 "engine=%s model=%s version=%" G_GUINT64_FORMAT
                 " running=%" G_GUINT64_FORMAT " due_ms=%" G_GUINT64_FORMAT,
                 guard->engine, model->model, model->order.wanted,
                 model->order.running, due > now ? (due - now) / 1000 : 0);
}

void
pgw_engine_sidecar_set_target_weights(struct pgw_engine_sidecar *guard,
                                      const char *name, uint64_t version,
                                      uint64_t start_in_us,
                                      const char *instance)
{
    struct pgw_sidecar_model *model = model_get(guard, name);
    bool is_new;

    if (model == NULL) {
        return;
    }
    if (g_strcmp0(model->instance, instance) != 0) {
        g_free(model->instance);
        model->instance = g_strdup(instance);
    }
    is_new = version > model->order.wanted;
    pgw_weights_order_set_target(&model->order, version, start_in_us,
                                 pgw_now_us());
    if (is_new) {
        log_wanted(guard, model);
    }
    pgw_engine_sidecar_step_orders(guard);
}

void
pgw_engine_sidecar_set_token(struct pgw_engine_sidecar *guard, uint64_t token)
{
    for (size_t i = 0; i < guard->model_count; i++) {
        pgw_weights_order_set_token(&guard->models[i].order, token,
                                    pgw_now_us());
    }
    pgw_engine_sidecar_step_orders(guard);
}

void
pgw_engine_sidecar_register_order_metrics(void)
{
    pgw_metric_register_counter(&orders_given);
}
