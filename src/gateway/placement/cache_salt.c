#include "gateway/placement/cache_salt.h"
#include <glib.h>
#include <string.h>

/* Hexadecimal digits of a digest: 128 bits keep names apart, more would only
 * lengthen every request. */
#define DIGITS 32

static char *
digest(const char *const *names, size_t count)
{
    GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
    char *text;

    for (size_t i = 0; i < count; i++) {
        size_t size = strlen(names[i]);
        uint64_t prefix = GUINT64_TO_LE(size);

        g_checksum_update(checksum, (const guchar *)&prefix, sizeof(prefix));
        g_checksum_update(checksum, (const guchar *)names[i], (gssize)size);
    }
    text = g_strndup(g_checksum_get_string(checksum), DIGITS);
    g_checksum_free(checksum);
    return text;
}

const char *
pgw_cache_scope(enum pgw_cache_scope_kind kind, const char *const *names,
                size_t count)
{
    static const char marks[] = {
        [PGW_CACHE_SCOPE_ALONE] = '-',
        [PGW_CACHE_SCOPE_OTHERS] = '.',
    };
    char *digits;
    char scope[DIGITS + 2];

    if (kind == PGW_CACHE_SCOPE_OTHERS && count == 0) {
        return "";
    }
    digits = digest(names, count);
    g_snprintf(scope, sizeof(scope), "%c%s", marks[kind], digits);
    g_free(digits);
    return g_intern_string(scope);
}

void
pgw_cache_salt(char out[PGW_CACHE_SALT_SIZE], uint64_t version,
               const char *scope)
{
    g_snprintf(out, PGW_CACHE_SALT_SIZE, "w%" G_GUINT64_FORMAT "%s", version,
               scope == NULL ? "" : scope);
}

void
pgw_cache_salt_once(char out[PGW_CACHE_SALT_SIZE], const char *workspace,
                    const char *id)
{
    const char *names[] = {workspace == NULL ? "" : workspace, id};
    char *digits = digest(names, G_N_ELEMENTS(names));

    g_snprintf(out, PGW_CACHE_SALT_SIZE, "once-%s", digits);
    g_free(digits);
}
