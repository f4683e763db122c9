#ifndef PGW_GATEWAY_CONFIG_ISOLATION_H
#define PGW_GATEWAY_CONFIG_ISOLATION_H

#include "gateway/config/route_table.h"
#include <glib.h>

/**
 * DOC: Which workspaces share no cached parts of prompts
 *
 * Engines keep parts for longer than a configuration is in force. If the
 * workspaces that share parts always had the same scope, they would find what
 * a workspace has cached before it became isolated. So the scope of those that
 * share names the workspaces that do not: it changes with this set, and only
 * with it. A configuration that leaves the set as it is keeps all cached
 * parts.
 *
 * A workspace that is removed while it is isolated stays in the set, otherwise
 * the others would return to an earlier scope. A configuration does not show
 * that, so the set is kept in the platform's store. All entries derive the
 * same set from the record and the configuration, in whatever order they get
 * them.
 *
 * Pure state: configurations and records go in, scopes and the record that is
 * to be written come out.
 */

struct pgw_isolation;

struct pgw_isolation *pgw_isolation_new(void);
void pgw_isolation_free(struct pgw_isolation *isolation);

/** pgw_isolation_set_routes() - a configuration is in force */
void pgw_isolation_set_routes(struct pgw_isolation *isolation,
                              const struct pgw_route_table *table);

/**
 * pgw_isolation_set_record() - the record as the store has it
 * @isolation: the state
 * @version: configuration that the record was derived from, 0: there is no
 *   record
 * @names: isolated workspaces, terminated by NULL
 */
void pgw_isolation_set_record(struct pgw_isolation *isolation,
                              uint64_t version, const char *const *names);

/**
 * pgw_isolation_next_record() - the record that is to be written
 * @out_version: receives the configuration that it is derived from
 * @isolation: the state
 *
 * Return: names, sorted and terminated by NULL, to be freed with g_free() as
 * @isolation owns the texts. NULL: the store has the record already, was not
 * read, or knows a newer configuration.
 */
const char **pgw_isolation_next_record(uint64_t *out_version,
                                       const struct pgw_isolation *isolation);

/** pgw_isolation_scope() - scope of a workspace's cached parts, NULL: of
 * requests without one; interned */
const char *pgw_isolation_scope(const struct pgw_isolation *isolation,
                                const char *workspace);

#endif
