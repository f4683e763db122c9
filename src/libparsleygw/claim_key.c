#include "parsleygw/claim.h"
#include "parsleygw/errors.h"

#include <string.h>
#include <xxhash.h>

#define WORKSPACE_MAX 63
#define SERVICE_MAX 63
/** Characters of a UUIDv7 that hold its timestamp, including the dash. */
#define TIMESTAMP_LENGTH 13
/** Last part of the name of objects whose keys carry no timestamp. */
#define NO_TIMESTAMP "u"

/* Such text needs no JSON escape, and has no space that could be taken for the
 * separator between workspace and key. */
static bool
is_printable_token(const char *text, size_t max)
{
    size_t length = text != NULL ? strlen(text) : 0;

    if (length == 0 || length > max) {
        return false;
    }
    for (size_t i = 0; i < length; i++) {
        if (!g_ascii_isgraph(text[i]) || text[i] == '"' || text[i] == '\\') {
            return false;
        }
    }
    return true;
}

uint64_t
pgw_claim_key_created_us(const char *key)
{
    static const char uuid_pattern[] = "xxxxxxxx-xxxx-7xxx-xxxx-xxxxxxxxxxxx";
    uint64_t milliseconds = 0;

    if (strlen(key) != sizeof(uuid_pattern) - 1) {
        return 0;
    }
    for (size_t i = 0; i < sizeof(uuid_pattern) - 1; i++) {
        bool matches = uuid_pattern[i] == 'x' ? g_ascii_isxdigit(key[i])
                                              : key[i] == uuid_pattern[i];

        if (!matches) {
            return 0;
        }
        if (i < TIMESTAMP_LENGTH && uuid_pattern[i] == 'x') {
            milliseconds =
                milliseconds * 16 + (uint64_t)g_ascii_xdigit_value(key[i]);
        }
    }
    return milliseconds * 1000;
}

static uint32_t
choose_shard(const struct pgw_claim_layout *layout, const char *workspace,
             const char *key)
{
    XXH64_hash_t hash = XXH3_64bits(workspace, strlen(workspace) + 1);

    hash = XXH3_64bits_withSeed(key, strlen(key), hash);
    return (uint32_t)(hash % MAX(layout->shards, 1));
}

bool
pgw_claim_locate(struct pgw_claim_location *out,
                 const struct pgw_claim_layout *layout, const char *workspace,
                 const char *key, uint64_t now_us, GError **error)
{
    if (!is_printable_token(workspace, WORKSPACE_MAX) ||
        !is_printable_token(layout->service, SERVICE_MAX) ||
        !is_printable_token(key, PGW_CLAIM_KEY_MAX)) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                    "idempotency key must be 1 to %d printable ASCII "
                    "characters without space, quote or backslash; send a "
                    "UUID of version 7",
                    PGW_CLAIM_KEY_MAX);
        return false;
    }
    out->shard = choose_shard(layout, workspace, key);
    out->created_us = pgw_claim_key_created_us(key);
    out->expired = false;
    if (out->created_us == 0) {
        g_snprintf(out->name, sizeof(out->name), "%s.%u." NO_TIMESTAMP,
                   layout->service, out->shard);
        return true;
    }
    if (out->created_us > now_us + layout->skew_us) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                    "idempotency key was created %" G_GUINT64_FORMAT
                    " s in the future; set the caller's clock",
                    (out->created_us - now_us) / G_USEC_PER_SEC);
        return false;
    }
    g_snprintf(out->name, sizeof(out->name), "%s.%u.%" G_GUINT64_FORMAT,
               layout->service, out->shard,
               out->created_us / layout->period_us);
    out->expired = out->created_us + layout->retention_us < now_us;
    return true;
}

bool
pgw_claim_object_is_expired(const struct pgw_claim_layout *layout,
                            const char *name, uint64_t clock_skew_us,
                            uint64_t now_us)
{
    const char *last = strrchr(name, '.');
    guint64 period;

    if (last == NULL ||
        !g_ascii_string_to_unsigned(last + 1, 10, 0,
                                    G_MAXUINT64 / layout->period_us - 1,
                                    &period, NULL)) {
        return false;
    }
    return (period + 1) * layout->period_us + layout->retention_us +
               clock_skew_us <
           now_us;
}
