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

    /* The thread's own. */
    struct pgw_permit_observer observer;
    struct pgw_permit_fencing gate;
    struct pgw_permit_slot slot;
    uint64_t confirmed_us; /* the permit was last written by us */
    uint64_t taken;        /* serial that the order in progress is from */
    bool looked;           /* for an order that an earlier process left */

    pthread_mutex_t lock; /* guards all below */
    pthread_cond_t wake;
    bool stopping;
    bool wanted;
    uint64_t serial; /* of what is wanted */
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

/* False when the process stops. */
static bool
pause_for(struct pgw_orders *orders, uint64_t us)
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
permit_step(struct pgw_orders *orders, enum pgw_permit_step step,
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
        orders->confirmed_us = began_us;
    }
    return ok;
}

/* Renews the permit when a third of its term has passed. A store that is down
 * is no reason to stop: nobody else can take the permit either. */
static bool
keep_permit(struct pgw_orders *orders, GError **error)
{
    GError *cause = NULL;

    if (now_us() - orders->confirmed_us < orders->options.term_us / 3 ||
        permit_step(orders, PGW_PERMIT_RENEW, NULL, &cause)) {
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
        if (!keep_permit(orders, error)) {
            return false;
        }
        if (!pause_for(orders, IDLE_POLL_US)) {
            g_set_error(error, PGW_ERROR, PGW_ERROR_UNAVAILABLE,
                        "the process stops: its successor goes on");
            return false;
        }
    }
    return true;
}

/* A process that was stopped for long between its start's write and here may
 * have been replaced. An engine that ignores numbers would take its order, so
 * it asks once more whether the permit is still its own. */
static bool
send_order(struct pgw_orders *orders, GError **error)
{
    set_phase(orders, PGW_ORDERS_SENDING, NULL);
#ifndef PGW_DISABLE_ORDERS_CONFIRM
    if (now_us() - orders->confirmed_us >= orders->options.term_us / 3 &&
        !permit_step(orders, PGW_PERMIT_RENEW, NULL, error)) {
        return false;
    }
#endif
    return pgw_permit_fencing_admit(&orders->gate, orders->slot.fence,
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
    needed = orders->wanted &&
             pgw_rollout_next_order(
                 out,
                 &(struct pgw_rollout_desired){
                     .model = orders->model,
                     .version = orders->version,
                     .adapters = (const char *const *)orders->adapters},
                 engine);
    orders->taken = orders->serial;
    pthread_mutex_unlock(&orders->lock);
    return needed;
}

static bool
has_changed(struct pgw_orders *orders)
{
    bool changed;

    pthread_mutex_lock(&orders->lock);
    changed = orders->serial != orders->taken;
    pthread_mutex_unlock(&orders->lock);
    return changed;
}

/*
 * A process that was paused, or that started from an old copy of the
 * configuration, would take a permit under a fresh number and order the
 * weights of yesterday, which no engine refuses: so the store is asked first.
 * An order that an earlier process left is only ended, not begun.
 */
static bool
is_current(struct pgw_orders *orders, GError **error)
{
    if (orders->taken == 0) {
        return true;
    }
    if (orders->options.confirm != NULL &&
        !orders->options.confirm(orders->options.context, error)) {
        return false;
    }
    if (orders->taken != 0 && has_changed(orders)) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_CONFLICT,
                    "order for %s: something else is wanted meanwhile: start "
                    "again",
                    orders->target);
        return false;
    }
    return true;
}

/* What is wanted has changed and the engine would carry the order out to its
 * end, perhaps to one that never comes: weights that are not in the store.
 * The changed order goes out under the same permit and number. */
static bool
replace_order(struct pgw_orders *orders, bool *replaced, GError **error)
{
    const struct pgw_permit_order *order = &orders->slot.order;
    struct pgw_rollout_engine as_ordered = {
        .model = (char *)order->model,
        .version = (char *)order->version,
    };
    struct pgw_permit_order next;
    uint64_t taken = orders->taken;

    *replaced = false;
    if (!pgw_rollout_needs_idle(order) || !has_changed(orders) ||
        !next_order(orders, &next, &as_ordered) ||
        !pgw_rollout_needs_idle(&next)) {
        return true;
    }
    *replaced = (orders->options.confirm == NULL ||
                 orders->options.confirm(orders->options.context, error)) &&
                permit_step(orders, PGW_PERMIT_RENEW, &next, error);
    if (!*replaced) {
        orders->taken = taken;
    }
    return *replaced;
}

/* An engine that crashes meanwhile comes back without the order: then it is
 * sent again, under the same number. */
static bool
send_and_watch(struct pgw_orders *orders, GError **error)
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
        if (!keep_permit(orders, error)) {
            return false;
        }
        if (!pause_for(orders, orders->options.poll_us)) {
            g_set_error(error, PGW_ERROR, PGW_ERROR_UNAVAILABLE,
                        "the process stops: its successor goes on");
            return false;
        }
    }
}

/* Until it succeeds: a permit that is not given back stops the rollout. */
static void
release(struct pgw_orders *orders)
{
    GError *error = NULL;

    while (!permit_step(orders, PGW_PERMIT_RELEASE, NULL, &error)) {
        set_phase(orders, PGW_ORDERS_LOADING, error);
        g_clear_error(&error);
        if (!pause_for(orders, orders->options.poll_us)) {
            return;
        }
    }
}

static void
count(struct pgw_orders *orders, bool done, const GError *error)
{
    pthread_mutex_lock(&orders->lock);
    orders->state.done += done;
    orders->state.refused +=
        g_error_matches(error, PGW_ERROR, PGW_ERROR_STALE);
    pthread_mutex_unlock(&orders->lock);
}

static bool
prepare(struct pgw_orders *orders, const struct pgw_permit_order *order,
        GError **error)
{
    if (!is_current(orders, error) ||
        !permit_step(orders, PGW_PERMIT_ACQUIRE, order, error)) {
        return false;
    }
    if ((pgw_rollout_needs_idle(&orders->slot.order) &&
         !drain(orders, error)) ||
        !is_current(orders, error) ||
        !permit_step(orders, PGW_PERMIT_START, NULL, error)) {
        /* Not sent: others need not wait until it lapses. */
        if (orders->slot.phase == PGW_PERMIT_GRANTED) {
            permit_step(orders, PGW_PERMIT_RELEASE, NULL, NULL);
        }
        return false;
    }
    return true;
}

/* One order from its permit to its end. */
static void
carry_out(struct pgw_orders *orders, const struct pgw_permit_order *order)
{
    GError *error = NULL;
    bool done;

    done = prepare(orders, order, &error) && send_and_watch(orders, &error);
    if (done) {
        release(orders);
    }
    orders->options.hold(orders->options.context, false);
    count(orders, done, error);
    set_phase(orders, done ? PGW_ORDERS_IDLE : PGW_ORDERS_WAITING, error);
    g_clear_error(&error);
}

/* An order of an earlier process: the engine may already show its effect, yet
 * its permit stands until somebody ends it. */
static bool
left_order(struct pgw_orders *orders, struct pgw_permit_order *out)
{
    struct pgw_permit_table *table;
    const struct pgw_permit_slot *slot = NULL;
    struct pgw_store_object object;
    GError *error = NULL;
    bool found;

    found = pgw_store_get(orders->options.store, &object, PGW_PERMIT_KIND,
                          orders->scope, now_us() + STORE_TIMEOUT_US, &error);
    orders->looked =
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
        orders->gate.high_water = MAX(orders->gate.high_water, slot->fence);
        orders->looked = false;
    }
    pgw_store_object_dispose(&object);
    g_free(table);
    return slot != NULL;
}

static void
look(struct pgw_orders *orders)
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
    orders->gate.high_water = MAX(orders->gate.high_water, engine.fence);
    orders->taken = 0;
    needed = (!orders->looked && left_order(orders, &order)) ||
             next_order(orders, &order, &engine);
    pgw_orders__engine_status_dispose(&engine);
    if (needed) {
        carry_out(orders, &order);
    }
    else {
        set_phase(orders, PGW_ORDERS_IDLE, NULL);
    }
}

static void *
run(void *data)
{
    struct pgw_orders *orders = data;
    uint64_t poll_us = orders->options.poll_us;

    while (pause_for(orders, poll_us / 2 + (uint64_t)(g_random_double() *
                                                      (double)poll_us))) {
        look(orders);
    }
    return NULL;
}

struct pgw_orders *
pgw_orders_new(const struct pgw_orders_options *options)
{
    struct pgw_orders *orders = g_new0(struct pgw_orders, 1);
    pthread_condattr_t clock;

    orders->options = *options;
    orders->engine_url = g_strdup(options->engine_url);
    orders->scope = g_strdup(options->scope);
    orders->target = g_strdup(options->target);
    orders->holder = g_strdup(options->holder);
    pthread_mutex_init(&orders->lock, NULL);
    pthread_condattr_init(&clock);
    pthread_condattr_setclock(&clock, CLOCK_MONOTONIC);
    pthread_cond_init(&orders->wake, &clock);
    pthread_condattr_destroy(&clock);
    pthread_create(&orders->thread, NULL, run, orders);
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
is_other(const struct pgw_orders *orders,
         const struct pgw_rollout_desired *wanted)
{
    const char *const none[] = {NULL};
    const char *const *before = orders->adapters == NULL
                                    ? none
                                    : (const char *const *)orders->adapters;
    const char *const *now =
        wanted->adapters == NULL ? none : wanted->adapters;

    return !orders->wanted || strcmp(orders->model, wanted->model) != 0 ||
           strcmp(orders->version, wanted->version) != 0 ||
           !g_strv_equal(before, now);
}

void
pgw_orders_set_desired(struct pgw_orders *orders,
                       const struct pgw_rollout_desired *wanted,
                       unsigned limit)
{
    pthread_mutex_lock(&orders->lock);
    orders->serial += is_other(orders, wanted);
    g_free(orders->model);
    g_free(orders->version);
    g_strfreev(orders->adapters);
    orders->model = g_strdup(wanted->model);
    orders->version = g_strdup(wanted->version);
    orders->adapters = g_strdupv((char **)wanted->adapters);
    orders->limit = limit;
    orders->wanted = true;
    pthread_mutex_unlock(&orders->lock);
}

void
pgw_orders_get_state(struct pgw_orders *orders, struct pgw_orders_state *out)
{
    pthread_mutex_lock(&orders->lock);
    *out = orders->state;
    pthread_mutex_unlock(&orders->lock);
}
