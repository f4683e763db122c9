#include "parsleygw/rollout.h"

#include <string.h>

#define ROLE_SERVE "serve"

static void
set_text(char *out, size_t size, const char *text)
{
    g_strlcpy(out, text == NULL ? "" : text, size);
}

static bool
is_same(const char *a, const char *b)
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
missing_adapter(const struct pgw_rollout_desired *wanted,
                const struct pgw_rollout_engine *engine)
{
    for (size_t i = 0; wanted->adapters != NULL && wanted->adapters[i] != NULL;
         i++) {
        if (!has_adapter(engine, wanted->adapters[i])) {
            return wanted->adapters[i];
        }
    }
    return NULL;
}

bool
pgw_rollout_next_order(struct pgw_permit_order *out,
                       const struct pgw_rollout_desired *wanted,
                       const struct pgw_rollout_engine *engine)
{
    const char *adapter = missing_adapter(wanted, engine);
    const char *kind = NULL;

    *out = (struct pgw_permit_order){0};
    if (!is_same(wanted->model, engine->model)) {
        kind = "load_model";
    }
    else if (!is_same(wanted->version, engine->version)) {
        kind = "load_version";
    }
    else if (adapter != NULL) {
        kind = "load_adapter";
        set_text(out->adapter, sizeof(out->adapter), adapter);
    }
    else if (!is_same(engine->role, ROLE_SERVE)) {
        kind = "set_role";
        set_text(out->role, sizeof(out->role), ROLE_SERVE);
    }
    else {
        return false;
    }
    set_text(out->kind, sizeof(out->kind), kind);
    set_text(out->model, sizeof(out->model), wanted->model);
    set_text(out->version, sizeof(out->version), wanted->version);
    return true;
}

bool
pgw_rollout_is_done(const struct pgw_permit_order *order,
                    const struct pgw_rollout_engine *engine)
{
    if (engine->loading) {
        return false;
    }
    if (is_same(order->kind, "load_adapter")) {
        return has_adapter(engine, order->adapter);
    }
    if (is_same(order->kind, "set_role")) {
        return is_same(order->role, engine->role);
    }
    /* A member that is empty means what the engine has. */
    return (order->model[0] == '\0' || is_same(order->model, engine->model)) &&
           (order->version[0] == '\0' ||
            is_same(order->version, engine->version));
}

bool
pgw_rollout_needs_idle(const struct pgw_permit_order *order)
{
    return is_same(order->kind, "load_model") ||
           is_same(order->kind, "load_version");
}
