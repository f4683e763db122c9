#include "gateway/sidecar/engine_sidecar_internal.h"
#include "util/log.h"
#include "util/metric.h"
#include <string.h>

/* An order without an answer after this time is lost: the engine's reports
 * show whether it was accepted. */
#define ORDER_TIMEOUT_US 400000
/* Only the status of the answer matters. */
#define ANSWER_BYTES_MAX ((size_t)64 * 1024)
/* Delay before an order that cannot be sent yet is checked again: equals the
 * interval of reports during a load. */
#define STEP_RETRY_US 40000

static struct pgw_metric_counter orders_given = {
    .name = "pgw_engine_orders_total",
    .help = "Orders sent to the engine",
};

static enum pgw_order_answer
answer_from_status(unsigned status)
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
order_call_sidecar(struct pgw_call *call)
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
handle_order_answer(struct pgw_engine_sidecar *sidecar,
                    enum pgw_order_answer answer)
{
    struct pgw_sidecar_model *model = sidecar->ordered_model;

    sidecar->ordered_model = NULL;
    if (model != NULL) {
        pgw_log_info("order_answer",
                     "engine=%s model=%s version=%" G_GUINT64_FORMAT
                     " wanted=%" G_GUINT64_FORMAT
                     " status=%u answer=%s token=%" G_GUINT64_FORMAT,
                     sidecar->engine, model->model, sidecar->ordered_version,
                     model->order.target_version, sidecar->order_status,
                     answer_names[answer], model->order.token);
        pgw_weights_order_handle_answer(&model->order, answer, pgw_now_us());
    }
    pgw_engine_sidecar_poll_now(sidecar);
    pgw_engine_sidecar_step_orders(sidecar);
}

static bool
order_head(struct pgw_call *call, const struct pgw_http_head *head)
{
    struct pgw_engine_sidecar *sidecar = order_call_sidecar(call);

    pgw_engine_sidecar_read_notice(sidecar, PGW_SIDECAR_CALL_ORDER, head);
    sidecar->order_status = head->status;
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
    struct pgw_engine_sidecar *sidecar = order_call_sidecar(call);

    handle_order_answer(sidecar, answer_from_status(sidecar->order_status));
}

static void
order_lost(struct pgw_call *call, enum pgw_call_failure why)
{
    struct pgw_engine_sidecar *sidecar = order_call_sidecar(call);

    sidecar->order_status = 0;
    /* An order that was never sent cannot be carried out, so it is not lost.
     */
    handle_order_answer(sidecar, why == PGW_CALL_NO_CONNECTION && !call->sent
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
send_order(struct pgw_engine_sidecar *sidecar, struct pgw_sidecar_model *model)
{
    struct pgw_engine_order order = {
        .model = model->model,
        .version = model->order.target_version,
        .instance = model->instance,
        .holder = sidecar->instance,
        .token = model->order.token,
        .sequence = sidecar->report.sequence,
    };
    struct pgw_call_options options = {
        .address = &sidecar->options.engine,
        .timeout_us = ORDER_TIMEOUT_US,
        .body_max = ANSWER_BYTES_MAX,
        .alone = true,
    };
    GString *bytes = g_string_new(NULL);

    sidecar->options.codec->write_order_request(bytes, &order);
    options.bytes = bytes->str;
    options.size = bytes->len;
    sidecar->order_call.ops = &order_ops;
    sidecar->ordered_model = model;
    sidecar->ordered_version = order.version;
    pgw_metric_counter_add(&orders_given, 1);
    pgw_log_info("order",
                 "engine=%s upstream=%s model=%s version=%" G_GUINT64_FORMAT
                 " token=%" G_GUINT64_FORMAT " sequence=%" G_GUINT64_FORMAT
                 " queued=%u running=%u kv_used=%" G_GUINT64_FORMAT,
                 sidecar->engine, order.instance, order.model, order.version,
                 order.token, order.sequence, model->order.queued_requests,
                 sidecar->report.load.running, sidecar->report.load.kv_used);
    pgw_weights_order_mark_sent(&model->order, pgw_now_us());
    if (!pgw_call_start(&sidecar->order_call, sidecar->pool, &options)) {
        sidecar->ordered_model = NULL;
        pgw_weights_order_handle_answer(&model->order, PGW_ORDER_REFUSED,
                                        pgw_now_us());
    }
    g_string_free(bytes, TRUE);
}

static bool
may_send_order(const struct pgw_engine_sidecar *sidecar)
{
    return sidecar->options.may_send_order == NULL ||
           sidecar->options.may_send_order(sidecar->options.context);
}

/* Returns when the next step is due, 0: after the next event. */
static uint64_t
step_model(struct pgw_engine_sidecar *sidecar, struct pgw_sidecar_model *model)
{
    uint64_t backoff_us =
        pgw_engine_sidecar_backoff_us(sidecar, PGW_SIDECAR_CALL_ORDER);

    /* An order carries values of a current report of the engine. */
    if (!sidecar->alive) {
        return 0;
    }
    for (;;) {
        switch (pgw_weights_order_next_step(&model->order, pgw_now_us())) {
        case PGW_WEIGHTS_WAIT:
            return model->order.next_step_us;
        case PGW_WEIGHTS_REQUEST_TOKEN:
            sidecar->options.get_token(sidecar->options.context);
            break;
        case PGW_WEIGHTS_ANNOUNCE_LOADING:
        case PGW_WEIGHTS_ANNOUNCE_AVAILABLE:
            pgw_engine_sidecar_report_to_entries(sidecar, true);
            break;
        case PGW_WEIGHTS_SEND_ORDER:
            /* One order at a time. */
            if (sidecar->ordered_model != NULL || backoff_us > 0) {
                return pgw_now_us() + MAX(STEP_RETRY_US, backoff_us);
            }
            if (!may_send_order(sidecar)) {
                pgw_weights_order_drop_token(&model->order);
                break;
            }
            send_order(sidecar, model);
            break;
        }
    }
}

void
pgw_engine_sidecar_step_orders(struct pgw_engine_sidecar *sidecar)
{
    uint64_t now = pgw_now_us();
    uint64_t next = 0;

    for (size_t i = 0; i < sidecar->model_count; i++) {
        uint64_t at = step_model(sidecar, &sidecar->models[i]);

        if (at > 0 && (next == 0 || at < next)) {
            next = at;
        }
    }
    if (next > 0) {
        pgw_timer_start(sidecar->loop, &sidecar->step_timer,
                        next > now ? next - now : 0);
    }
}

void
pgw_engine_sidecar_on_step_timer(struct pgw_timer *timer)
{
    pgw_engine_sidecar_step_orders(
        pgw_container_of(timer, struct pgw_engine_sidecar, step_timer));
}

static struct pgw_sidecar_model *
find_or_add_model(struct pgw_engine_sidecar *sidecar, const char *name)
{
    struct pgw_weights_order_options options = PGW_WEIGHTS_ORDER_OPTIONS_INIT;
    struct pgw_sidecar_model *model;

    for (size_t i = 0; i < sidecar->model_count; i++) {
        if (strcmp(sidecar->models[i].model, name) == 0) {
            return &sidecar->models[i];
        }
    }
    if (sidecar->model_count == PGW_UPSTREAM_MODELS_MAX) {
        pgw_log_warning("too_many_models", "model=%s", name);
        return NULL;
    }
    model = &sidecar->models[sidecar->model_count++];
    model->model = g_strdup(name);
    options.report_lag_us = sidecar->options.report_lag_us;
    if (!pgw_policy_is_on(&sidecar->options.policy,
                          PGW_MECHANISM_LOAD_DRAIN)) {
        options.drain_timeout_us = 0;
    }
    pgw_weights_order_init(&model->order, &options);
    model->order.running_version =
        pgw_engine_report_version(&sidecar->report, name);
    return model;
}

static void
log_target(const struct pgw_engine_sidecar *sidecar,
           const struct pgw_sidecar_model *model)
{
    uint64_t now = pgw_now_us();
    uint64_t due = model->order.start_at_us;

    pgw_log_info("weights_wanted",
                 "engine=%s model=%s version=%" G_GUINT64_FORMAT
                 " running=%" G_GUINT64_FORMAT " due_ms=%" G_GUINT64_FORMAT,
                 sidecar->engine, model->model, model->order.target_version,
                 model->order.running_version,
                 due > now ? (due - now) / 1000 : 0);
}

void
pgw_engine_sidecar_set_target_weights(struct pgw_engine_sidecar *sidecar,
                                      const char *name, uint64_t version,
                                      uint64_t start_in_us,
                                      const char *instance)
{
    struct pgw_sidecar_model *model = find_or_add_model(sidecar, name);
    bool is_new;

    if (model == NULL) {
        return;
    }
    if (g_strcmp0(model->instance, instance) != 0) {
        g_free(model->instance);
        model->instance = g_strdup(instance);
    }
    is_new = version > model->order.target_version;
    pgw_weights_order_set_target(&model->order, version, start_in_us,
                                 pgw_now_us());
    if (is_new) {
        log_target(sidecar, model);
    }
    pgw_engine_sidecar_step_orders(sidecar);
}

void
pgw_engine_sidecar_set_token(struct pgw_engine_sidecar *sidecar,
                             uint64_t token, uint64_t valid_us)
{
    for (size_t i = 0; i < sidecar->model_count; i++) {
        pgw_weights_order_set_token(&sidecar->models[i].order, token, valid_us,
                                    pgw_now_us());
    }
    pgw_engine_sidecar_step_orders(sidecar);
}

void
pgw_engine_sidecar_register_order_metrics(void)
{
    pgw_metric_register_counter(&orders_given);
}
