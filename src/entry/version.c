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

void
version_stamp(struct exchange *exchange, const struct pool *pool)
{
    struct exchange_request *request = &exchange->request;
    const struct pgw_version_split *split = &pool->split;
    const char *version;
    uint64_t hash;
    size_t part;

#ifdef PGW_DISABLE_VERSION_SPLIT
    return;
#endif
    if (!is_free(exchange)) {
        return;
    }
    memcpy(&hash, request->fingerprint.bytes, sizeof(hash));
    part = pgw_version_split_choose(split, hash) + exchange->version_shift;
    version = split->parts[part % split->n].version;
    if (strcmp(request->version, version) != 0) {
        levels_stamp(request, version);
    }
}

bool
version_shift(struct exchange *exchange)
{
    const struct pool *pool =
        pool_find(exchange->entry, exchange->request.pool);

    if (!is_free(exchange) || pool == NULL ||
        exchange->version_shift + 1 >= pool->split.n) {
        return false;
    }
    exchange->version_shift++;
    return true;
}
