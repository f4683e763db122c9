#ifndef PGW_GATEWAY_GATEWAY_H
#define PGW_GATEWAY_GATEWAY_H

#include "gateway/call.h"
#include "gateway/caller.h"
#include "gateway/choose.h"
#include "gateway/codec.h"
#include "gateway/crash_quarantine.h"
#include "gateway/event_stream.h"
#include "gateway/policy.h"
#include "gateway/quota.h"
#include "gateway/retry_budgets.h"
#include "gateway/route_table.h"
#include "gateway/upstream_table.h"
#include "gateway/wait_queue.h"

/**
 * DOC: The entry that passes requests on as they are
 *
 * Callers and upstreams speak HTTP to each other; the gateway decides who may
 * ask, where a request runs and what happens when that fails. It reads heads
 * and the borders of events, never bodies.
 *
 *   read -> identify -> wait -> choose -> send -> relay -> account
 *
 * Everything is on one loop's thread: an entry has a fraction of a core, and a
 * second thread would only take turns with the first.
 */

/**
 * struct pgw_gateway_options - settings of a gateway
 * @instance: name of this process
 * @zone: its availability zone
 * @listen: where callers connect
 * @codec: how the deployment spells requests
 * @policy: mechanisms that are switched off
 * @budgets: bounds of repeats
 * @choose: thresholds of placement
 * @quota: what may be spent beyond the quotas of workspaces
 * @poison: thresholds for requests that crash upstreams
 * @old_weights_usable_us: for how long older weights are used after newer were
 * named
 * @weights_grace_us: answers with the weights of before count in full until so
 *   long after newer were named
 * @queue_time_share: part of a request's time that it may wait for a place
 * @response_timeout_share: part of the objective after which a silent upstream
 * is given up for a request that may run again
 * @final_answer_grace_us: what a process sent may come so long after another
 * one was first known to have taken its place
 * @probe_wait_us: for how long the answers of sidecars are waited for
 * @quota_wait_us: for how long the answer of a quota's owner is waited for
 * @quota_start_us: until so long after the start requests wait for the links
 * to owners of quotas
 * @start_pause_us: for how long connections of callers wait for the first
 *   configuration
 * @on_incarnation_seen: an upstream's address was answered by this one; NULL:
 * nobody is told
 * @context: handed to @on_incarnation_seen
 */
struct pgw_gateway_options {
    const char *instance;
    const char *zone;
    struct pgw_address listen;
    const struct pgw_codec *codec;
    struct pgw_policy policy;
    struct pgw_retry_budgets_options budgets;
    struct pgw_choose_options choose;
    struct pgw_quota_bounds quota;
    struct pgw_crash_quarantine_options poison;
    uint64_t old_weights_usable_us;
    uint64_t weights_grace_us;
    double queue_time_share;
    double response_timeout_share;
    uint64_t final_answer_grace_us;
    uint64_t probe_wait_us;
    uint64_t quota_wait_us;
    uint64_t quota_start_us;
    uint64_t start_pause_us;
    void (*on_incarnation_seen)(const char *id, void *context);
    void *context;
};

struct pgw_gateway;
struct pgw_exchange;

/** pgw_gateway_new() - listen for callers; %PGW_ERROR_IO */
struct pgw_gateway *pgw_gateway_new(struct pgw_loop *loop,
                                    const struct pgw_gateway_options *options,
                                    GError **error);
void pgw_gateway_free(struct pgw_gateway *gateway);

/** pgw_gateway_instance() - name of this process */
const char *pgw_gateway_instance(const struct pgw_gateway *gateway);

/** pgw_gateway_age_ms() - for how long it has been running */
uint32_t pgw_gateway_age_ms(const struct pgw_gateway *gateway);

/** pgw_gateway_zone() - its availability zone */
const char *pgw_gateway_zone(const struct pgw_gateway *gateway);

/** pgw_gateway_policy() - mechanisms that are switched off */
const struct pgw_policy *pgw_gateway_policy(const struct pgw_gateway *gateway);

/** pgw_gateway_port() - where it listens */
uint16_t pgw_gateway_port(const struct pgw_gateway *gateway);

/**
 * pgw_gateway_set_routes() - take a newer configuration
 *
 * Return: false when the one in force is as new; @table is not kept then.
 */
bool pgw_gateway_set_routes(struct pgw_gateway *gateway,
                            struct pgw_route_table *table);

/** pgw_gateway_routes() - the configuration in force, or NULL */
const struct pgw_route_table *
pgw_gateway_routes(const struct pgw_gateway *gateway);

/** pgw_gateway_upstreams() - the table to fill */
struct pgw_upstream_table *pgw_gateway_upstreams(struct pgw_gateway *gateway);

/**
 * pgw_gateway_set_target_weights() - a newer version of a model was named
 * @gateway: the gateway
 * @model: whose weights
 * @version: their version; not newer than the last one: nothing happens
 * @age_us: how long ago, as far as is known
 */
void pgw_gateway_set_target_weights(struct pgw_gateway *gateway,
                                    const char *model, uint64_t version,
                                    uint64_t age_us);

/**
 * struct pgw_shared_part - a shared part of a request on its way to an engine
 * @key: pgw_part_key() of the part
 * @tokens: its size
 */
struct pgw_shared_part {
    uint64_t key;
    uint32_t tokens;
};

/**
 * struct pgw_announcement - a request on its way to an engine
 * @parts: shared parts of its prompt that the engine is not known to hold
 * @count: number of @parts
 * @to_read: tokens of the prompt that the engine has to read
 * @memory: tokens of the engine's memory that it takes at most
 * @request: pgw_announced_prompts_id() of the request
 */
struct pgw_announcement {
    const struct pgw_shared_part *parts;
    size_t count;
    uint32_t to_read;
    uint32_t memory;
    uint64_t request;
};

/**
 * struct pgw_sidecar_ops - how the sidecars of engines are reached
 * @announce: a request is sent to an engine; without parts and anything to
 *   read: the long prompt that was announced before has been read or given up
 * @probe: ask for an engine's load and which parts it holds; the answer comes
 *   through pgw_gateway_probe_answered(). false: it cannot be asked now
 * @ask_quota: ask the owner of a quota, or report to it; the answer comes
 *   through pgw_quota_handle_answer(). false: it cannot be asked now
 */
struct pgw_sidecar_ops {
    void (*announce)(void *context, const struct pgw_upstream *upstream,
                     const struct pgw_announcement *announcement);
    bool (*probe)(void *context, const struct pgw_upstream *upstream,
                  uint64_t probe, const uint64_t *keys, size_t count);
    bool (*ask_quota)(void *context, const struct pgw_upstream *upstream,
                      const struct pgw_quota_ask *ask);
};

/** pgw_gateway_set_sidecars() - reach sidecars by @ops, which is not copied;
 * NULL: they are not reached */
void pgw_gateway_set_sidecars(struct pgw_gateway *gateway,
                              const struct pgw_sidecar_ops *ops,
                              void *context);

/** pgw_gateway_probe_answered() - what a sidecar said stands in the table of
 * upstreams */
void pgw_gateway_probe_answered(struct pgw_gateway *gateway, uint64_t probe,
                                const struct pgw_upstream *upstream);

/** pgw_gateway_set_weights_loading_time() - time that an engine is away for a
 * load, in microseconds; 0: not known */
void pgw_gateway_set_weights_loading_time(struct pgw_gateway *gateway,
                                          uint64_t load_us);

/** pgw_gateway_target_models() - those of which a version was named: its keys
 */
GHashTable *pgw_gateway_target_models(const struct pgw_gateway *gateway);

/** pgw_gateway_weights_usable_for_us() - how long an engine with these weights
 * may still be used, in microseconds; %UINT64_MAX: they are the newest */
uint64_t pgw_gateway_weights_usable_for_us(const struct pgw_gateway *gateway,
                                           const char *model,
                                           uint64_t version);

/** pgw_gateway_target_version() - newest version named of a model, 0: none */
uint64_t pgw_gateway_target_version(const struct pgw_gateway *gateway,
                                    const char *model);

/** pgw_gateway_quota() - quotas of workspaces, which take owners' answers */
struct pgw_quota *pgw_gateway_quota(struct pgw_gateway *gateway);

/** pgw_gateway_set_entries() - how many entries share quotas and the bounds of
 * repeats */
void pgw_gateway_set_entries(struct pgw_gateway *gateway, uint32_t entries);

/** pgw_gateway_crash_quarantine() - what is known of requests that crash
 * upstreams, to be told to other entries */
struct pgw_crash_quarantine *
pgw_gateway_crash_quarantine(struct pgw_gateway *gateway);

/** pgw_gateway_dispatch_queued() - upstreams have changed: look at what waits
 */
void pgw_gateway_dispatch_queued(struct pgw_gateway *gateway);

/** pgw_gateway_pool() - connections, shared with other callers of upstreams */
struct pgw_call_pool *pgw_gateway_pool(struct pgw_gateway *gateway);

/** pgw_gateway_drain() - answers end their connections from now on */
void pgw_gateway_drain(struct pgw_gateway *gateway);

/** pgw_gateway_close_idle() - accept no more, close what is idle */
void pgw_gateway_close_idle(struct pgw_gateway *gateway);

/** pgw_gateway_request_count() - requests being read or answered */
unsigned pgw_gateway_request_count(const struct pgw_gateway *gateway);

#endif
