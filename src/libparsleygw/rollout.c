#include "parsleygw/rollout.h"

#include <string.h>

#define ROLE_SERVE "serve"

static void
copy_text(char *out, size_t size, const char *text)
{
    g_strlcpy(out, text == NULL ? "" : text, size);
}

static bool
is_equal(const char *a, const char *b)
{
    return g_strcmp0(a, b) == 0;
}

static bool
has_adapter(const struct pgw_rollout_engine *engine, const char *adapter)
{
    return engine->adapters != NULL &&
           g_strv_contains((const gchar *const *)engine->adapters, adapter);
}

static const char *
find_missing_adapter(const struct pgw_rollout_desired *desired,
                     const struct pgw_rollout_engine *engine)
{
    for (size_t i = 0;
         desired->adapters != NULL && desired->adapters[i] != NULL; i++) {
        if (!has_adapter(engine, desired->adapters[i])) {
            return desired->adapters[i];
        }
    }
    return NULL;
}

bool
pgw_rollout_next_order(struct pgw_permit_order *out,
                       const struct pgw_rollout_desired *desired,
                       const struct pgw_rollout_engine *engine)
{
    const char *adapter = find_missing_adapter(desired, engine);
    const char *kind = NULL;

    *out = (struct pgw_permit_order){0};
    if (!is_equal(desired->model, engine->model)) {
        kind = "load_model";
    }
    else if (!is_equal(desired->version, engine->version)) {
        kind = "load_version";
    }
    else if (adapter != NULL) {
        kind = "load_adapter";
        copy_text(out->adapter, sizeof(out->adapter), adapter);
    }
    else if (!is_equal(engine->role, ROLE_SERVE)) {
        kind = "set_role";
        copy_text(out->role, sizeof(out->role), ROLE_SERVE);
    }
    else {
        return false;
    }
    copy_text(out->kind, sizeof(out->kind), kind);
    copy_text(out->model, sizeof(out->model), desired->model);
    copy_text(out->version, sizeof(out->version), desired->version);
    return true;
}

bool
pgw_rollout_is_done(const struct pgw_permit_order *order,
                    const struct pgw_rollout_engine *engine)
{
    if (engine->loading) {
        return false;
    }
    if (is_equal(order->kind, "load_adapter")) {
        return has_adapter(engine, order->adapter);
    }
    if (is_equal(order->kind, "set_role")) {
        return is_equal(order->role, engine->role);
    }
    /* An empty model or version in an order leaves the engine's unchanged. */
    return (order->model[0] == '\0' ||
            is_equal(order->model, engine->model)) &&
           (order->version[0] == '\0' ||
            is_equal(order->version, engine->version));
}

bool
pgw_rollout_needs_idle(const struct pgw_permit_order *order)
{
    return is_equal(order->kind, "load_model") ||
           is_equal(order->kind, "load_version");
}
