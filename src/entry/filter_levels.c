#include "entry/exchange.h"
#include "parsleygw/claim.h"
#include "util/hlc.h"

/* Plain calls have no prompt. One that may not be repeated is ranked by the
 * object that holds its key: all calls of that object meet at one sidecar,
 * which writes their claims together. */
static bool
key_levels(struct exchange_request *request, struct refusal *refusal)
{
    struct pgw_claim_layout layout = PGW_CLAIM_LAYOUT_INIT;
    struct pgw_claim_location place = {.name = "repeatable"};
    struct pgw_level_salt salt = {
        .workspace = "-",
        .model = request->profile,
        .adapter = "",
        .version = "service",
    };
    GError *error = NULL;

    layout.service = request->profile;
    if (!request->repeatable &&
        !pgw_claim_locate(&place, &layout, request->workspace,
                          request->idempotency_key, pgw_hlc_wall_us(),
                          &error)) {
        refusal_set(refusal, PGW_REFUSAL_BAD_REQUEST, PGW_RAN_NO, 0, "%s",
                    error->message);
        g_clear_error(&error);
        return false;
    }
    if (place.expired) {
        refusal_set(refusal, PGW_REFUSAL_EXPIRED, PGW_RAN_UNKNOWN, 0,
                    "the idempotency key is older than the retention: "
                    "whether it ran is no longer known");
        return false;
    }
    return pgw_level_chain_init(&request->chain, &salt, place.name,
                                strlen(place.name), NULL, 0, 1);
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

    if (exchange->format == FORMAT_SERVICE) {
        return key_levels(request, refusal);
    }
    pgw_fingerprint_compute(&request->fingerprint, request->workspace,
                            request->prompt->str, request->prompt->len);
    if (prompt_levels(request, profile->level_marker)) {
        return true;
    }
    refusal_set(refusal, PGW_REFUSAL_NOT_READY, PGW_RAN_NO, 1000,
                "pool '%s' declares no model or weights version: the "
                "operator must set them",
                request->pool);
    return false;
}

void
levels_stamp(struct exchange_request *request, const char *version)
{
    g_free(request->version);
    request->version = g_strdup(version);
    /* Its ends of levels are known by now; a prompt without any has no
     * marker either. */
    prompt_levels(request, NULL);
}

const struct filter filter_levels = {.name = "levels", .run = levels};
