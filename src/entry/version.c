#include "entry/exchange.h"
#include "entry/upstream.h"

/* Tokens that the caller has can only be continued by the weights that gave
 * them; a plain service has no weights. */
static bool
is_free(const struct exchange *exchange)
{
    if (exchange->format == FORMAT_SERVICE) {
        return false;
    }
    return exchange->resume_from == 0;
}

static const char *
next_version(const struct exchange *exchange, const struct pool *pool)
{
    uint64_t hash;

#ifdef PGW_DISABLE_VERSION_SPLIT
    return NULL;
#endif
    memcpy(&hash, exchange->request.fingerprint.bytes, sizeof(hash));
    return pgw_version_split_next(&pool->split, hash,
                                  &exchange->versions_tried);
}

void
version_stamp(struct exchange *exchange, const struct pool *pool)
{
    struct exchange_request *request = &exchange->request;
    const char *version;

    if (!is_free(exchange)) {
        return;
    }
    version = next_version(exchange, pool);
    if (version != NULL && strcmp(request->version, version) != 0) {
        levels_stamp(request, version);
    }
}

/*
 * The last engine of a version may close its gate between the stamp and the
 * answers to the probes. Counting the versions that were tried, in place of
 * naming them, then tried that version twice or ended with one version left:
 * the caller got a refusal in the middle of a rollout while engines on the
 * new weights stood ready.
 */
bool
version_shift(struct exchange *exchange)
{
    const struct pool *pool =
        pool_find(exchange->entry, exchange->request.pool);

    if (!is_free(exchange) || pool == NULL) {
        return false;
    }
    return pgw_version_tried_add(&exchange->versions_tried,
                                 exchange->request.version) &&
           next_version(exchange, pool) != NULL;
}
