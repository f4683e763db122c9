#include "entry/exchange.h"

/* Plain calls have no prompt: what ranks their upstreams is the key, so that
 * repeats of one call meet at the same sidecar. */
static bool
key_levels(struct exchange_request *request)
{
    struct pgw_level_salt salt = {
        .workspace = request->workspace,
        .model = request->profile,
        .adapter = "",
        .version = "service",
    };

    return pgw_level_chain_init(&request->chain, &salt,
                                request->idempotency_key,
                                strlen(request->idempotency_key), NULL, 0, 1);
}

static bool
prompt_levels(struct exchange_request *request, const char *marker)
{
    struct pgw_level_salt salt = {
        .workspace = request->workspace,
        .model = request->model,
        .adapter = request->adapter,
        .version = request->version,
    };

    if (request->n_boundaries == 0) {
        request->n_boundaries = pgw_level_boundaries(
            request->boundaries, PGW_LEVEL_MAX, request->prompt->str,
            request->prompt->len, marker);
    }
    return pgw_level_chain_init(
        &request->chain, &salt, request->prompt->str, request->prompt->len,
        request->boundaries, request->n_boundaries, request->bytes_per_token);
}

static bool
levels(struct exchange *exchange, const struct pgw_config *config,
       struct refusal *refusal)
{
    struct exchange_request *request = &exchange->request;
    const struct pgw_profile *profile =
        pgw_config_profile(config, request->profile);
    bool good = exchange->format == FORMAT_SERVICE
                    ? key_levels(request)
                    : prompt_levels(request, profile->level_marker);

    if (!good) {
        refusal_set(refusal, PGW_REFUSAL_NOT_READY, PGW_RAN_NO, 1000,
                    "pool '%s' declares no model or weights version: the "
                    "operator must set them",
                    request->pool);
    }
    return good;
}

const struct filter filter_levels = {.name = "levels", .run = levels};
