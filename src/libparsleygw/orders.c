#include "libparsleygw/orders.h"

#include <pthread.h>
#include <string.h>

#include "libparsleygw/orders_engine.h"
#include "parsleygw/errors.h"

#define STORE_TIMEOUT_US UINT64_C(5000000)
#define IDLE_POLL_US UINT64_C(20000)

struct pgw_orders {
    struct pgw_orders_options options;
    char *engine_url;
    char *scope;
    char *target;
    char *holder;
    pthread_t thread;

    /* Used on the thread only. */
    struct pgw_permit_observer observer;
    struct pgw_permit_fencing fencing;
    struct pgw_permit_slot slot;
    /* Start of the last permit step that succeeded. */
    uint64_t permit_written_us;
    /* Generation that the order was computed from; 0: order of an earlier
     * process. */
    uint64_t order_generation;
    bool leftover_is_checked; /* no order of an earlier process is left */

    pthread_mutex_t lock; /* protects all members below */
    pthread_cond_t wake;
    bool stopping;
    bool has_desired;    /* @model, @version, @adapters and @limit are set */
    uint64_t generation; /* incremented by each change of the desired state */
    char *model;
    char *version;
    char **adapters;
    unsigned limit;
    struct pgw_orders_state state;
};

static const char *const phase_names[] = {
    [PGW_ORDERS_IDLE] = "idle",         [PGW_ORDERS_WAITING] = "waiting",
    [PGW_ORDERS_DRAINING] = "draining", [PGW_ORDERS_SENDING] = "sending",
    [PGW_ORDERS_LOADING] = "loading",
};

const char *
pgw_orders_phase_name(enum pgw_orders_phase phase)
{
    return (unsigned)phase < G_N_ELEMENTS(phase_names) ? phase_names[phase]
                                                       : "idle";
}

static uint64_t
now_us(void)
{
    return (uint64_t)g_get_monotonic_time();
}

/* Sleeps. Return: false when the thread must stop. */
static bool
sleep_unless_stopping(struct pgw_orders *orders, uint64_t us)
{
    uint64_t until = now_us() + us;
    struct timespec limit = {.tv_sec = (time_t)(until / G_USEC_PER_SEC),
                             .tv_nsec = (long)(until % G_USEC_PER_SEC) * 1000};
    bool stopping;

    pthread_mutex_lock(&orders->lock);
    if (!orders->stopping) {
        pthread_cond_timedwait(&orders->wake, &orders->lock, &limit);
    }
    stopping = orders->stopping;
    pthread_mutex_unlock(&orders->lock);
    return !stopping;
}

static void
set_phase(struct pgw_orders *orders, enum pgw_orders_phase phase,
          const GError *problem)
{
    pthread_mutex_lock(&orders->lock);
    orders->state.phase = phase;
    orders->state.fence = phase <= PGW_ORDERS_WAITING ? 0 : orders->slot.fence;
    orders->state.order = orders->slot.order;
    g_strlcpy(orders->state.problem, problem == NULL ? "" : problem->message,
              sizeof(orders->state.problem));
    pthread_mutex_unlock(&orders->lock);
}

static bool
run_permit_step(struct pgw_orders *orders, enum pgw_permit_step step,
                const struct pgw_permit_order *order, GError **error)
{
    struct pgw_permit_request request = {.step = step,
                                         .holder = orders->holder,
                                         .target = orders->target,
                                         .fence = orders->slot.fence,
                                         .order = order};
    uint64_t began_us = now_us();
    bool ok;

    pthread_mutex_lock(&orders->lock);
    request.limit = orders->limit;
    pthread_mutex_unlock(&orders->lock);
    ok = pgw_permit_run_step(&orders->slot, orders->options.store,
                             orders->scope, &request, &orders->observer,
                             orders->options.term_us,
                             began_us + STORE_TIMEOUT_US, error);
    if (ok) {
        orders->permit_written_us = began_us;
    }
    return ok;
}

/* Renews the permit when a third of its term has passed. An unavailable store
 * does not end the order: no other process can take the permit either. */
static bool
renew_permit_if_due(struct pgw_orders *orders, GError **error)
{
    GError *cause = NULL;

    if (now_us() - orders->permit_written_us < orders->options.term_us / 3 ||
        run_permit_step(orders, PGW_PERMIT_RENEW, NULL, &cause)) {
        return true;
    }
    if (!g_error_matches(cause, PGW_ERROR, PGW_ERROR_STALE)) {
        g_error_free(cause);
        return true;
    }
    g_propagate_error(error, cause);
    return false;
}

static bool
drain(struct pgw_orders *orders, GError **error)
{
    set_phase(orders, PGW_ORDERS_DRAINING, NULL);
    orders->options.hold(orders->options.context, true);
    while (!orders->options.is_idle(orders->options.context)) {
        if (!renew_permit_if_due(orders, error)) {
            return false;
        }
        if (!sleep_unless_stopping(orders, IDLE_POLL_US)) {
            g_set_error(
                error, PGW_ERROR, PGW_ERROR_UNAVAILABLE,
                "process is stopping: its successor resumes the order");
            return false;
        }
    }
    return true;
}

/* A process that was paused for long after it wrote the start may have been
 * replaced. An engine that ignores fencing numbers would accept its order, so
 * the permit is renewed before the order is sent. */
static bool
send_order(struct pgw_orders *orders, GError **error)
{
    set_phase(orders, PGW_ORDERS_SENDING, NULL);
#ifndef PGW_DISABLE_ORDERS_CONFIRM
    if (now_us() - orders->permit_written_us >= orders->options.term_us / 3 &&
        !run_permit_step(orders, PGW_PERMIT_RENEW, NULL, error)) {
        return false;
    }
#endif
    return pgw_permit_fencing_admit(&orders->fencing, orders->slot.fence,
                                    error) &&
           pgw_orders__send_order(orders->engine_url, &orders->slot.order,
                                  orders->slot.fence, error);
}

static bool
is_engine_done(struct pgw_orders *orders, bool *loading)
{
    struct pgw_rollout_engine engine;
    bool done;

    *loading = true;
    if (!pgw_orders__engine_status_get(&engine, orders->engine_url, NULL)) {
        return false;
    }
    done = pgw_rollout_is_done(&orders->slot.order, &engine);
    *loading = engine.loading;
    pgw_orders__engine_status_dispose(&engine);
    return done;
}

static bool
next_order(struct pgw_orders *orders, struct pgw_permit_order *out,
           const struct pgw_rollout_engine *engine)
{
    bool needed;

    pthread_mutex_lock(&orders->lock);
    needed = orders->has_desired &&
             pgw_rollout_next_order(
                 out,
                 &(struct pgw_rollout_desired){
                     .model = orders->model,
                     .version = orders->version,
                     .adapters = (const char *const *)orders->adapters},
                 engine);
    orders->order_generation = orders->generation;
    pthread_mutex_unlock(&orders->lock);
    return needed;
}

static bool
desired_has_changed(struct pgw_orders *orders)
{
    bool changed;

    pthread_mutex_lock(&orders->lock);
    changed = orders->generation != orders->order_generation;
    pthread_mutex_unlock(&orders->lock);
    return changed;
}

/*
 * A process that was paused, or that started from an old copy of the
 * configuration, would acquire a permit with a new fencing number and order
 * outdated weights, which no engine refuses. The store is therefore read
 * first. An order of an earlier process is not checked: it has already begun
 * and only needs to be ended.
 */
static bool
order_is_current(struct pgw_orders *orders, GError **error)
{
    if (orders->order_generation == 0) {
        return true;
    }
    if (orders->options.confirm != NULL &&
        !orders->options.confirm(orders->options.context, error)) {
        return false;
    }
    if (orders->order_generation != 0 && desired_has_changed(orders)) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_CONFLICT,
                    "order for %s: the desired state has changed: retry with "
                    "the new state",
                    orders->target);
        return false;
    }
    return true;
}

/* Replaces the order in progress when the desired state has changed. The
 * engine would otherwise run the old order to its end, which may never come:
 * its weights may be missing in the store. The new order is sent under the
 * same permit and fencing number. */
static bool
replace_order(struct pgw_orders *orders, bool *replaced, GError **error)
{
    const struct pgw_permit_order *order = &orders->slot.order;
    struct pgw_rollout_engine as_ordered = {
        .model = (char *)order->model,
        .version = (char *)order->version,
    };
    struct pgw_permit_order next;
    uint64_t order_generation = orders->order_generation;

    *replaced = false;
    if (!pgw_rollout_needs_idle(order) || !desired_has_changed(orders) ||
        !next_order(orders, &next, &as_ordered) ||
        !pgw_rollout_needs_idle(&next)) {
        return true;
    }
    *replaced = (orders->options.confirm == NULL ||
                 orders->options.confirm(orders->options.context, error)) &&
                run_permit_step(orders, PGW_PERMIT_RENEW, &next, error);
    if (!*replaced) {
        orders->order_generation = order_generation;
    }
    return *replaced;
}

/* Sends the order and waits until it is done. An engine that crashes meanwhile
 * restarts without the order, which is then resent under the same number. */
static bool
send_until_done(struct pgw_orders *orders, GError **error)
{
    bool loading = false;
    bool replaced = false;
    bool sent = false;
    GError *cause = NULL;

    for (;;) {
        if (replace_order(orders, &replaced, &cause) &&
            (!sent || !loading || replaced)) {
            sent = send_order(orders, &cause);
        }
        if (g_error_matches(cause, PGW_ERROR, PGW_ERROR_STALE)) {
            g_propagate_error(error, cause);
            return false;
        }
        set_phase(orders, sent ? PGW_ORDERS_LOADING : PGW_ORDERS_SENDING,
                  cause);
        g_clear_error(&cause);
        if (sent && is_engine_done(orders, &loading)) {
            return true;
        }
        if (!renew_permit_if_due(orders, error)) {
            return false;
        }
        if (!sleep_unless_stopping(orders, orders->options.poll_us)) {
            g_set_error(
                error, PGW_ERROR, PGW_ERROR_UNAVAILABLE,
                "process is stopping: its successor resumes the order");
            return false;
        }
    }
}

/* Retries until it succeeds: a permit that is not released blocks the
 * rollout. */
static void
release(struct pgw_orders *orders)
{
    GError *error = NULL;

    while (!run_permit_step(orders, PGW_PERMIT_RELEASE, NULL, &error)) {
        set_phase(orders, PGW_ORDERS_LOADING, error);
        g_clear_error(&error);
        if (!sleep_unless_stopping(orders, orders->options.poll_us)) {
            return;
        }
    }
}

static void
count_result(struct pgw_orders *orders, bool done, const GError *error)
{
    pthread_mutex_lock(&orders->lock);
    orders->state.done += done;
    orders->state.refused +=
        g_error_matches(error, PGW_ERROR, PGW_ERROR_STALE);
    pthread_mutex_unlock(&orders->lock);
}

static bool
acquire_and_start(struct pgw_orders *orders,
                  const struct pgw_permit_order *order, GError **error)
{
    if (!order_is_current(orders, error) ||
        !run_permit_step(orders, PGW_PERMIT_ACQUIRE, order, error)) {
        return false;
    }
    if ((pgw_rollout_needs_idle(&orders->slot.order) &&
         !drain(orders, error)) ||
        !order_is_current(orders, error) ||
        !run_permit_step(orders, PGW_PERMIT_START, NULL, error)) {
        /* The order was not sent: other processes need not wait for a lapse.
         */
        if (orders->slot.phase == PGW_PERMIT_GRANTED) {
            run_permit_step(orders, PGW_PERMIT_RELEASE, NULL, NULL);
        }
        return false;
    }
    return true;
}

/* Runs one order, from acquiring its permit to releasing it. */
static void
run_order(struct pgw_orders *orders, const struct pgw_permit_order *order)
{
    GError *error = NULL;
    bool done;

    done = acquire_and_start(orders, order, &error) &&
           send_until_done(orders, &error);
    if (done) {
        release(orders);
    }
    orders->options.hold(orders->options.context, false);
    count_result(orders, done, error);
    set_phase(orders, done ? PGW_ORDERS_IDLE : PGW_ORDERS_WAITING, error);
    g_clear_error(&error);
}

/* Finds an unfinished order of an earlier process. The engine may already show
 * its effect, but its permit stays in use until a successor releases it. */
static bool
find_leftover_order(struct pgw_orders *orders, struct pgw_permit_order *out)
{
    struct pgw_permit_table *table;
    const struct pgw_permit_slot *slot = NULL;
    struct pgw_store_object object;
    GError *error = NULL;
    bool found;

    found = pgw_store_get(orders->options.store, &object, PGW_PERMIT_KIND,
                          orders->scope, now_us() + STORE_TIMEOUT_US, &error);
    orders->leftover_is_checked =
        found || g_error_matches(error, PGW_ERROR, PGW_ERROR_NOT_FOUND);
    g_clear_error(&error);
    if (!found) {
        return false;
    }
    table = g_new0(struct pgw_permit_table, 1);
    if (pgw_permit_table_parse(table, object.version, object.value, NULL)) {
        slot = pgw_permit_table_find(table, orders->target);
    }
    if (slot != NULL) {
        *out = slot->order;
        orders->fencing.high_water =
            MAX(orders->fencing.high_water, slot->fence);
        orders->leftover_is_checked = false;
    }
    pgw_store_object_dispose(&object);
    g_free(table);
    return slot != NULL;
}

static void
reconcile(struct pgw_orders *orders)
{
    struct pgw_rollout_engine engine;
    struct pgw_permit_order order;
    GError *error = NULL;
    bool needed;

    if (!pgw_orders__engine_status_get(&engine, orders->engine_url, &error)) {
        set_phase(orders, PGW_ORDERS_IDLE, error);
        g_clear_error(&error);
        return;
    }
    orders->fencing.high_water = MAX(orders->fencing.high_water, engine.fence);
    orders->order_generation = 0;
    needed = (!orders->leftover_is_checked &&
              find_leftover_order(orders, &order)) ||
             next_order(orders, &order, &engine);
    pgw_orders__engine_status_dispose(&engine);
    if (needed) {
        run_order(orders, &order);
    }
    else {
        set_phase(orders, PGW_ORDERS_IDLE, NULL);
    }
}

static void *
reconcile_loop(void *data)
{
    struct pgw_orders *orders = data;
    uint64_t poll_us = orders->options.poll_us;

    while (sleep_unless_stopping(
        orders,
        poll_us / 2 + (uint64_t)(g_random_double() * (double)poll_us))) {
        reconcile(orders);
    }
    return NULL;
}

struct pgw_orders *
pgw_orders_new(const struct pgw_orders_options *options)
{
    struct pgw_orders *orders = g_new0(struct pgw_orders, 1);
    pthread_condattr_t attributes;

    orders->options = *options;
    orders->engine_url = g_strdup(options->engine_url);
    orders->scope = g_strdup(options->scope);
    orders->target = g_strdup(options->target);
    orders->holder = g_strdup(options->holder);
    pthread_mutex_init(&orders->lock, NULL);
    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(&orders->wake, &attributes);
    pthread_condattr_destroy(&attributes);
    pthread_create(&orders->thread, NULL, reconcile_loop, orders);
    return orders;
}

void
pgw_orders_free(struct pgw_orders *orders)
{
    if (orders == NULL) {
        return;
    }
    pthread_mutex_lock(&orders->lock);
    orders->stopping = true;
    pthread_cond_broadcast(&orders->wake);
    pthread_mutex_unlock(&orders->lock);
    pthread_join(orders->thread, NULL);
    pthread_cond_destroy(&orders->wake);
    pthread_mutex_destroy(&orders->lock);
    g_free(orders->engine_url);
    g_free(orders->scope);
    g_free(orders->target);
    g_free(orders->holder);
    g_free(orders->model);
    g_free(orders->version);
    g_strfreev(orders->adapters);
    g_free(orders);
}

static bool
desired_differs(const struct pgw_orders *orders,
                const struct pgw_rollout_desired *desired)
{
    const char *const none[] = {NULL};
    const char *const *before = orders->adapters == NULL
                                    ? none
                                    : (const char *const *)orders->adapters;
    const char *const *now =
        desired->adapters == NULL ? none : desired->adapters;

    return !orders->has_desired ||
           strcmp(orders->model, desired->model) != 0 ||
           strcmp(orders->version, desired->version) != 0 ||
           !g_strv_equal(before, now);
}

void
pgw_orders_set_desired(struct pgw_orders *orders,
                       const struct pgw_rollout_desired *desired,
                       unsigned limit)
{
    pthread_mutex_lock(&orders->lock);
    orders->generation += desired_differs(orders, desired);
    g_free(orders->model);
    g_free(orders->version);
    g_strfreev(orders->adapters);
    orders->model = g_strdup(desired->model);
    orders->version = g_strdup(desired->version);
    orders->adapters = g_strdupv((char **)desired->adapters);
    orders->limit = limit;
    orders->has_desired = true;
    pthread_mutex_unlock(&orders->lock);
}

void
pgw_orders_get_state(struct pgw_orders *orders, struct pgw_orders_state *out)
{
    pthread_mutex_lock(&orders->lock);
    *out = orders->state;
    pthread_mutex_unlock(&orders->lock);
}
