#ifndef PGW_GATEWAY_CONFIG_ROUTE_TABLE_H
#define PGW_GATEWAY_CONFIG_ROUTE_TABLE_H

#include "gateway/http/caller.h"
#include "gateway/quota/quota.h"
#include "util/address.h"
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Routes, services and workspaces of one configuration
 *
 * The table is built from one version of the operator's configuration, is
 * immutable afterwards and has a reference count: a request keeps the table
 * under which it was accepted.
 */

/**
 * struct pgw_route_target - one service of a route
 * @service: its name
 * @weight: its share of the route's requests, relative to the other weights
 */
struct pgw_route_target {
    char *service;
    uint32_t weight;
};

/**
 * struct pgw_route - one route
 * @name: name in the configuration
 * @host: host that requests must name, in lower case
 * @path_prefix: prefix of the paths of requests; ends with a slash
 * @targets: services with weights
 * @target_count: number of @targets
 * @stream: the answer is a stream of events
 * @repeatable: a request may run more than once
 * @resumable: another upstream may resume a stream after any event
 * @open: no API key is required
 * @max_attempts: most upstreams that may run one request
 * @priority: 0 is the most urgent
 * @timeout_ms: longest time until the end of the answer
 * @objective_ms: latency objective, 0: none
 * @pause_objective_ms: longest pause between two events of a stream for which
 *   the answer is in time, 0: none
 * @patience_ms: callers leave a stream that brings no event for this long, 0:
 *   not known
 */
struct pgw_route {
    char *name;
    char *host;
    char *path_prefix;
    struct pgw_route_target *targets;
    size_t target_count;
    bool stream;
    bool repeatable;
    bool resumable;
    bool open;
    uint32_t max_attempts;
    uint32_t priority;
    uint32_t timeout_ms;
    uint32_t objective_ms;
    uint32_t pause_objective_ms;
    uint32_t patience_ms;
};

/**
 * struct pgw_service - one service
 * @name: its name
 * @max_connections: most connections of one upstream from all clients
 * @is_engine: its upstreams are model engines
 * @slots: requests that one engine runs at once
 * @kv_tokens: size of one engine's KV cache in tokens
 * @backups: its engines send the KV cache of a run to another engine as it
 *   grows
 * @kv_token_bytes: bytes of KV cache of one token, 0: not stated
 * @link_mbps: speed of an engine's link, in Mbit/s, 0: not stated
 * @is_kv_store: the service stores KV cache and takes no requests
 * @store_address: address of the KV store, NULL for any other service
 * @zone: availability zone of the store
 * @status_path: path of its upstreams' status check, NULL: not stated
 */
struct pgw_service {
    char *name;
    uint32_t max_connections;
    bool is_engine;
    uint32_t slots;
    uint64_t kv_tokens;
    bool backups;
    double kv_token_bytes;
    double link_mbps;
    bool is_kv_store;
    char *store_address;
    char *zone;
    char *status_path;
};

/**
 * struct pgw_workspace - one workspace
 * @name: its name
 * @priority: takes precedence over the route's; 0 is the most urgent
 * @isolated: shares no cached parts of prompts with other workspaces
 * @quota_rate: units per second that it may spend, 0: no limit
 * @quota_burst: most units that it may spend at once
 * @quota_units: how units are counted
 */
struct pgw_workspace {
    char *name;
    uint32_t priority;
    bool isolated;
    double quota_rate;
    double quota_burst;
    struct pgw_quota_units quota_units;
};

struct pgw_route_table;

/** pgw_route_table_new() - create an empty table with one reference */
struct pgw_route_table *pgw_route_table_new(uint64_t version);

struct pgw_route_table *pgw_route_table_ref(struct pgw_route_table *table);
void pgw_route_table_unref(struct pgw_route_table *table);

/** Functions that fill a table. Structs are copied; the table takes ownership
 * of their strings and arrays. Keys are copied. */
void pgw_route_table_add_route(struct pgw_route_table *table,
                               const struct pgw_route *route);
void pgw_route_table_add_service(struct pgw_route_table *table,
                                 const struct pgw_service *service);
void pgw_route_table_add_workspace(struct pgw_route_table *table,
                                   const struct pgw_workspace *workspace,
                                   const char *const *keys);
void pgw_route_table_set_limits(struct pgw_route_table *table,
                                const struct pgw_caller_limits *limits);

/** pgw_route_table_workspaces() - all workspaces, of &struct pgw_workspace */
const GPtrArray *
pgw_route_table_workspaces(const struct pgw_route_table *table);

/** pgw_route_table_version() - version of the configuration */
uint64_t pgw_route_table_version(const struct pgw_route_table *table);

/** pgw_route_table_limits() - limits for callers */
const struct pgw_caller_limits *
pgw_route_table_limits(const struct pgw_route_table *table);

/** pgw_route_table_require_keys() - requests need an API key, also if no
 * workspace is added: then there is no valid one */
void pgw_route_table_require_keys(struct pgw_route_table *table);

/** pgw_route_table_requires_keys() - whether requests need an API key: it was
 * required, or a workspace was added */
bool pgw_route_table_requires_keys(const struct pgw_route_table *table);

/**
 * pgw_route_table_match() - find the host's route with the longest prefix
 * @table: the table
 * @host: as the caller sent it; a port is ignored
 * @target: request target; a query is ignored
 *
 * Return: the route, or NULL.
 */
const struct pgw_route *
pgw_route_table_match(const struct pgw_route_table *table, const char *host,
                      const char *target);

/** pgw_route_table_workspace() - the workspace that owns an API key, or NULL
 */
const struct pgw_workspace *
pgw_route_table_workspace(const struct pgw_route_table *table,
                          const char *key);

/** pgw_route_table_service() - find a service by name, or NULL */
const struct pgw_service *
pgw_route_table_service(const struct pgw_route_table *table, const char *name);

/**
 * pgw_route_table_kv_store() - the KV store for a prompt
 * @table: the table
 * @part: pgw_part_id() of the prompt's first part
 *
 * Chosen by rendezvous hashing, so that all entries use the same store for a
 * prompt and the load is balanced over the stores.
 *
 * Return: the store, or NULL if there is none.
 */
const struct pgw_service *
pgw_route_table_kv_store(const struct pgw_route_table *table, uint64_t part);

/** pgw_route_pick() - choose a service by weight; @random is any number */
const char *pgw_route_pick(const struct pgw_route *route, uint64_t random);

#endif
