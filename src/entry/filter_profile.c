#include "entry/exchange.h"

#define IDEMPOTENCY_HEADER "Idempotency-Key"

static bool
copy_key(struct exchange *exchange, const struct pgw_profile *profile,
         struct refusal *refusal)
{
    const char *key = MHD_lookup_connection_value(
        exchange->connection, MHD_HEADER_KIND, IDEMPOTENCY_HEADER);

    if (key == NULL && !profile->repeatable) {
        refusal_set(refusal, PGW_REFUSAL_BAD_REQUEST, PGW_RAN_NO, 0,
                    "profile '%s' is not repeatable: send the header "
                    "'Idempotency-Key: KEY', the same key with each repeat",
                    profile->name);
        return false;
    }
    exchange->request.idempotency_key = g_strdup(key == NULL ? "" : key);
    return true;
}

static void
copy_profile(struct exchange_request *request,
             const struct pgw_profile *profile, const struct pgw_pool *pool)
{
    request->pool = g_strdup(profile->pool);
    request->model =
        g_strdup(profile->model[0] != '\0' ? profile->model : pool->model);
    request->adapter = g_strdup(profile->adapter);
    request->version = g_strdup(pool->version);
    request->priority = profile->priority;
    request->deadline_ms = profile->deadline_ms;
    request->repeatable = profile->repeatable;
    request->ttft_weight = profile->ttft_weight;
    request->bytes_per_token = pool->bytes_per_token;
    if (request->max_tokens == 0 ||
        request->max_tokens > profile->max_tokens) {
        request->max_tokens = profile->max_tokens;
    }
}

static bool
pick_profile(struct exchange *exchange, const struct pgw_config *config,
             struct refusal *refusal)
{
    struct exchange_request *request = &exchange->request;
    bool service = exchange->format == FORMAT_SERVICE;
    const struct pgw_profile *profile =
        pgw_config_profile(config, request->profile);
    const struct pgw_pool *pool;

    if (profile == NULL || profile->is_service != service) {
        refusal_set(refusal, PGW_REFUSAL_UNKNOWN_PROFILE, PGW_RAN_NO, 0,
                    "no %s profile '%s': name one in %s",
                    service ? "service" : "model", request->profile,
                    service ? "the path" : "'model' or X-Pgw-Profile");
        return false;
    }
    if (!pgw_profile_allows(profile, request->workspace)) {
        refusal_set(refusal, PGW_REFUSAL_FORBIDDEN, PGW_RAN_NO, 0,
                    "workspace '%s' may not use profile '%s': ask the "
                    "operator to add it",
                    request->workspace, profile->name);
        return false;
    }
    pool = pgw_config_pool(config, profile->pool);
    if (pool == NULL) {
        refusal_set(refusal, PGW_REFUSAL_NO_UPSTREAM, PGW_RAN_NO, 1000,
                    "profile '%s' names pool '%s', which does not exist",
                    profile->name, profile->pool);
        return false;
    }
    if (!copy_key(exchange, profile, refusal)) {
        return false;
    }
    copy_profile(request, profile, pool);
    return true;
}

const struct filter filter_profile = {.name = "profile", .run = pick_profile};
