#include "entry/exchange.h"

#define BEARER "Bearer "

/* Sets the workspace that the caller's key opens. */
static bool
identify(struct exchange *exchange, const struct pgw_config *config,
         struct refusal *refusal)
{
    const char *header = MHD_lookup_connection_value(
        exchange->connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_AUTHORIZATION);
    const struct pgw_workspace *workspace;
    uint8_t digest[PGW_KEY_DIGEST_SIZE];
    gsize size = sizeof(digest);
    GChecksum *checksum;

    if (header == NULL ||
        g_ascii_strncasecmp(header, BEARER, strlen(BEARER)) != 0) {
        refusal_set(refusal, PGW_REFUSAL_UNAUTHORIZED, PGW_RAN_NO, 0,
                    "no key: send the header 'Authorization: Bearer KEY'");
        return false;
    }
    checksum = g_checksum_new(G_CHECKSUM_SHA256);
    g_checksum_update(checksum, (const guchar *)header + strlen(BEARER), -1);
    g_checksum_get_digest(checksum, digest, &size);
    g_checksum_free(checksum);
    workspace = pgw_config_workspace_by_key(config, digest);
    if (workspace == NULL) {
        refusal_set(refusal, PGW_REFUSAL_UNAUTHORIZED, PGW_RAN_NO, 0,
                    "the key opens no workspace: use a valid key or ask the "
                    "operator for a new one");
        return false;
    }
    exchange->request.workspace = g_strdup(workspace->name);
    exchange->request.share = workspace->share;
    return true;
}

const struct filter filter_identify = {.name = "identify", .run = identify};
