#ifndef PGW_GATEWAY_PLACEMENT_CACHE_SALT_H
#define PGW_GATEWAY_PLACEMENT_CACHE_SALT_H

#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Salts under which engines cache the parts of prompts
 *
 * Neither the engines nor their KV store check the version of the weights or
 * the workspace: they reuse any part that was saved under the same salt. Hence
 * the salt names the version and who may share the part. Names are digested,
 * so that names of any length and any bytes stay apart.
 */

#define PGW_CACHE_SALT_SIZE 64

/**
 * enum pgw_cache_scope_kind - who shares the parts of a scope
 * @PGW_CACHE_SCOPE_ALONE: the workspace that is named
 * @PGW_CACHE_SCOPE_OTHERS: all but the workspaces that are named
 */
enum pgw_cache_scope_kind {
    PGW_CACHE_SCOPE_ALONE,
    PGW_CACHE_SCOPE_OTHERS,
};

/**
 * pgw_cache_scope() - text that names a scope in salts
 * @kind: how @names are meant
 * @names: names of workspaces, sorted
 * @count: number of @names
 *
 * Return: an interned text.
 */
const char *pgw_cache_scope(enum pgw_cache_scope_kind kind,
                            const char *const *names, size_t count);

/**
 * pgw_cache_salt() - salt under which a prompt's parts are cached
 * @out: receives the salt
 * @version: version of the weights that compute the parts
 * @scope: who may use them, NULL: all
 */
void pgw_cache_salt(char out[PGW_CACHE_SALT_SIZE], uint64_t version,
                    const char *scope);

/** pgw_cache_salt_once() - salt of a request whose parts nobody may use:
 * another workspace may choose the same id */
void pgw_cache_salt_once(char out[PGW_CACHE_SALT_SIZE], const char *workspace,
                         const char *id);

#endif
