#include "gateway/config/policy.h"
#include "parsleygw/errors.h"
#include "util/json_reader.h"
#include "util/log.h"
#include "util/metric.h"
#include <string.h>

static struct pgw_metric_gauge mechanisms_off = {
    .name = "pgw_mechanisms_off",
    .help = "Mechanisms that are switched off",
};

static const char *const names[PGW_MECHANISM_COUNT] = {
    [PGW_MECHANISM_LOAD_WINDOW] = "load_window",
    [PGW_MECHANISM_LOAD_NEXT] = "load_next",
    [PGW_MECHANISM_LOAD_DRAIN] = "load_drain",
    [PGW_MECHANISM_WEIGHTS_GRACE] = "weights_grace",
    [PGW_MECHANISM_OLD_WEIGHTS_COST] = "weights_price",
    [PGW_MECHANISM_REMOTE_PARTS] = "far_parts",
    [PGW_MECHANISM_EXPECTED_PARTS] = "expected_parts",
    [PGW_MECHANISM_ENGINE_FETCH] = "engine_fetch",
    [PGW_MECHANISM_STORE] = "store",
    [PGW_MECHANISM_STORE_REMAINDER] = "store_rest",
    [PGW_MECHANISM_PROMPT_RANK] = "prompt_rank",
    [PGW_MECHANISM_LONG_PREFILLS] = "long_prefills",
    [PGW_MECHANISM_PREFILL_INTERFERENCE] = "crowd_harm",
    [PGW_MECHANISM_REFUSAL_BACKOFF] = "refusal_rest",
    [PGW_MECHANISM_ROUTE_PRIORITY] = "route_priority",
    [PGW_MECHANISM_HOME_PROBES] = "home_probes",
    [PGW_MECHANISM_LANES] = "lanes",
    [PGW_MECHANISM_BACKLOG_WAIT] = "backlog_wait",
    [PGW_MECHANISM_RUN_COVER] = "run_cover",
    [PGW_MECHANISM_FAIR_SHARE] = "fair_share",
};

struct file {
    char **off;
};

static const struct pgw_json_field fields[] = {
    {
        .key = "off",
        .offset = offsetof(struct file, off),
        .type = PGW_JSON_STRING_LIST,
    },
};

const char *
pgw_mechanism_name(enum pgw_mechanism mechanism)
{
    return names[mechanism];
}

static bool
switch_off(struct pgw_policy *policy, const char *name, const char *path,
           GError **error)
{
    GString *known = g_string_new(NULL);

    for (size_t i = 0; i < PGW_MECHANISM_COUNT; i++) {
        if (strcmp(name, names[i]) == 0) {
            policy->off[i] = true;
            g_string_free(known, TRUE);
            return true;
        }
        g_string_append_printf(known, "%s%s", i == 0 ? "" : ", ", names[i]);
    }
    g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                "%s: off: no mechanism is called \"%s\"; write one of %s",
                path, name, known->str);
    g_string_free(known, TRUE);
    return false;
}

bool
pgw_policy_load(struct pgw_policy *out, const char *path, GError **error)
{
    struct file file = {0};
    JsonNode *root = NULL;
    bool valid = true;

    *out = (struct pgw_policy){0};
    if (!pgw_json_load(&root, path, error)) {
        return false;
    }
    if (!pgw_json_read(&file, fields, G_N_ELEMENTS(fields), root, path,
                       error)) {
        json_node_unref(root);
        return false;
    }
    for (size_t i = 0; valid && file.off != NULL && file.off[i] != NULL; i++) {
        valid = switch_off(out, file.off[i], path, error);
    }
    pgw_json_dispose(&file, fields, G_N_ELEMENTS(fields));
    json_node_unref(root);
    return valid;
}

void
pgw_policy_log(const struct pgw_policy *policy)
{
    unsigned count = 0;

    for (size_t i = 0; i < PGW_MECHANISM_COUNT; i++) {
        if (policy->off[i]) {
            pgw_log_warning("mechanism_off", "name=%s", names[i]);
            count++;
        }
    }
    pgw_metric_register_gauge(&mechanisms_off);
    pgw_metric_gauge_set(&mechanisms_off, count);
}
