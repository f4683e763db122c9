#ifndef PGW_GATEWAY_ROUTE_TABLE_H
#define PGW_GATEWAY_ROUTE_TABLE_H

#include "gateway/caller.h"
#include "gateway/quota.h"
#include "util/address.h"
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Which service a request goes to, and under which terms
 *
 * An immutable table made from one version of the operator's configuration,
 * reference-counted: a request keeps the table it was accepted under.
 */

/**
 * struct pgw_route_target - one service of a route
 * @service: its name
 * @weight: its part of the route's requests
 */
struct pgw_route_target {
    char *service;
    uint32_t weight;
};

/**
 * struct pgw_route - terms of one route
 * @name: the operator's name for it
 * @host: whom requests must name as host, lower case
 * @path_prefix: what their paths begin with
 * @targets: services, with weights
 * @target_count: number of @targets
 * @stream: the answer is a series of events
 * @repeatable: a request may run more than once
 * @resumable: a stream may go on at another upstream behind an event
 * @open: no key is asked for
 * @max_attempts: upstreams that may run one request
 * @priority: 0 is first
 * @timeout_ms: longest time to the end of the answer
 * @objective_ms: time in which the answer is worth most
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
};

/**
 * struct pgw_service - one service
 * @name: its name
 * @max_connections: connections that one upstream takes from all callers
 * @is_engine: its upstreams are model engines
 * @slots: requests that one engine runs at once
 * @kv_tokens: tokens that fit into one engine's memory
 * @is_kv_store: it keeps KV cache and takes no requests
 * @store_address: where, if so
 * @zone: availability zone of the store
 */
struct pgw_service {
    char *name;
    uint32_t max_connections;
    bool is_engine;
    uint32_t slots;
    uint64_t kv_tokens;
    bool is_kv_store;
    char *store_address;
    char *zone;
};

/**
 * struct pgw_workspace - who asks
 * @name: its name
 * @priority: goes before the route's; 0 is first
 * @isolated: shares no cached prompt with any other
 * @quota_rate: units a second that it may spend, 0: no limit
 * @quota_burst: units that it may spend at once
 * @quota_units: what these are
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

/** pgw_route_table_new() - an empty table of a version, with one reference */
struct pgw_route_table *pgw_route_table_new(uint64_t version);

struct pgw_route_table *pgw_route_table_ref(struct pgw_route_table *table);
void pgw_route_table_unref(struct pgw_route_table *table);

/** Filling a table; it takes over the strings of what it is given. */
void pgw_route_table_add_route(struct pgw_route_table *table,
                               const struct pgw_route *route);
void pgw_route_table_add_service(struct pgw_route_table *table,
                                 const struct pgw_service *service);
void pgw_route_table_add_workspace(struct pgw_route_table *table,
                                   const struct pgw_workspace *workspace,
                                   const char *const *keys);
void pgw_route_table_set_limits(struct pgw_route_table *table,
                                const struct pgw_caller_limits *limits);

/** pgw_route_table_version() - version of the configuration */
uint64_t pgw_route_table_version(const struct pgw_route_table *table);

/** pgw_route_table_limits() - what callers may send */
const struct pgw_caller_limits *
pgw_route_table_limits(const struct pgw_route_table *table);

/** pgw_route_table_has_keys() - requests must carry a key */
bool pgw_route_table_has_keys(const struct pgw_route_table *table);

/**
 * pgw_route_table_match() - the host's route with the longest fitting prefix
 * @table: the table
 * @host: as the caller sent it; a port is ignored
 * @target: request target; what follows '?' is ignored
 *
 * Return: the route, or NULL.
 */
const struct pgw_route *
pgw_route_table_match(const struct pgw_route_table *table, const char *host,
                      const char *target);

/** pgw_route_table_workspace() - whose key it is, or NULL */
const struct pgw_workspace *
pgw_route_table_workspace(const struct pgw_route_table *table,
                          const char *key);

/** pgw_route_table_service() - a service by name, or NULL */
const struct pgw_service *
pgw_route_table_service(const struct pgw_route_table *table, const char *name);

/**
 * pgw_route_table_kv_store() - the store that keeps a prompt's KV cache
 * @table: the table
 * @part: pgw_part_id() of the prompt's first part
 *
 * By rendezvous hashing, so that all entries save and look in the same one and
 * their links carry alike.
 *
 * Return: the store, or NULL where there is none.
 */
const struct pgw_service *
pgw_route_table_kv_store(const struct pgw_route_table *table, uint64_t part);

/** pgw_route_pick() - a service by weight; @random is any number */
const char *pgw_route_pick(const struct pgw_route *route, uint64_t random);

#endif
