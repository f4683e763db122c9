#ifndef PGW_GATEWAY_REQUEST_GATEWAY_H
#define PGW_GATEWAY_REQUEST_GATEWAY_H

#include "gateway/config/codec.h"
#include "gateway/config/isolation.h"
#include "gateway/config/policy.h"
#include "gateway/config/route_table.h"
#include "gateway/crash/crash_quarantine.h"
#include "gateway/http/call.h"
#include "gateway/http/caller.h"
#include "gateway/http/event_stream.h"
#include "gateway/placement/choose.h"
#include "gateway/placement/lanes.h"
#include "gateway/placement/wait_queue.h"
#include "gateway/quota/limit_ledger.h"
#include "gateway/quota/quota.h"
#include "gateway/quota/retry_budgets.h"
#include "gateway/request/software_records.h"
#include "gateway/request/stream_origins.h"
#include "gateway/request/stream_records.h"
#include "gateway/upstream/upstream_table.h"

/**
 * DOC: The entry: a reverse proxy between callers and upstreams
 *
 * Relays HTTP requests and answers unchanged. The gateway authorizes callers,
 * chooses the upstream that runs a request, and retries or resumes it after a
 * failure. It parses heads and the ends of events, never bodies.
 *
 *   read -> identify -> queue -> choose -> send -> relay -> account
 *
 * Everything runs on one loop's thread: an entry has a fraction of a core, so
 * a second thread would only compete with the first.
 */

/**
 * struct pgw_gateway_options - settings of a gateway
 * @instance: name of this process
 * @zone: its availability zone
 * @listen: address on which callers connect
 * @codec: header fields of the deployment
 * @policy: which mechanisms are switched off
 * @budgets: bounds of retries
 * @choose: thresholds of placement
 * @lanes: when pools are divided between long and short prompts
 * @quota: what may be spent beyond the quotas of workspaces
 * @crash_quarantine: thresholds for requests that crash upstreams
 * @old_weights_usable_us: how long after a newer target version was announced
 *   requests for older weights may be sent, if they begin by then
 * @old_weights_end_us: how long after such an announcement requests for older
 *   weights that have not begun stay at their engines, 0: for ever
 * @weights_grace_us: how long answers with the previous weights count in full
 *   after a newer target version was announced
 * @queue_time_share: part of the time until its deadline that a request may be
 *   queued
 * @pending_bound: most bytes of answers that are buffered for all callers, 0:
 *   no bound
 * @answers_bound: most bytes of incomplete answers that are held for all
 *   requests, 0: no bound
 * @response_timeout_share: part of the objective after which a plain service
 *   that has not answered is given up, if the request may be retried
 * @final_answer_grace_us: how long an upstream's process may still send an
 *   answer after its successor was first seen
 * @probe_wait_us: longest wait for answers of probed sidecars
 * @quota_wait_us: longest wait for the answer of a quota's owner
 * @quota_start_us: for this time after the start, requests wait for links to
 *   the owners of quotas
 * @is_first_start: the whole deployment starts for the first time
 * @start_pause_us: longest time that connections of callers wait for the first
 *   configuration
 * @on_incarnation_seen: another incarnation with this id has answered at an
 *   upstream's address; NULL: not called
 * @context: passed to @on_incarnation_seen
 */
struct pgw_gateway_options {
    const char *instance;
    const char *zone;
    struct pgw_address listen;
    const struct pgw_codec *codec;
    struct pgw_policy policy;
    struct pgw_retry_budgets_options budgets;
    struct pgw_choose_options choose;
    struct pgw_lanes_options lanes;
    struct pgw_quota_bounds quota;
    struct pgw_crash_quarantine_options crash_quarantine;
    uint64_t old_weights_usable_us;
    uint64_t old_weights_end_us;
    uint64_t weights_grace_us;
    double queue_time_share;
    size_t pending_bound;
    size_t answers_bound;
    double response_timeout_share;
    uint64_t final_answer_grace_us;
    uint64_t probe_wait_us;
    uint64_t quota_wait_us;
    uint64_t quota_start_us;
    uint64_t start_pause_us;
    bool is_first_start;
    void (*on_incarnation_seen)(const char *id, void *context);
    void *context;
};

struct pgw_gateway;
struct pgw_share_table;
struct pgw_exchange;

/** pgw_gateway_new() - listen for callers; %PGW_ERROR_IO */
struct pgw_gateway *pgw_gateway_new(struct pgw_loop *loop,
                                    const struct pgw_gateway_options *options,
                                    GError **error);
void pgw_gateway_free(struct pgw_gateway *gateway);

/** pgw_gateway_instance() - name of this process */
const char *pgw_gateway_instance(const struct pgw_gateway *gateway);

/** pgw_gateway_age_ms() - time since the gateway was created */
uint32_t pgw_gateway_age_ms(const struct pgw_gateway *gateway);

/** pgw_gateway_zone() - its availability zone */
const char *pgw_gateway_zone(const struct pgw_gateway *gateway);

/** pgw_gateway_policy() - which mechanisms are switched off */
const struct pgw_policy *pgw_gateway_policy(const struct pgw_gateway *gateway);

/** pgw_gateway_port() - port on which it listens */
uint16_t pgw_gateway_port(const struct pgw_gateway *gateway);

/**
 * pgw_gateway_set_routes() - put a newer configuration into force
 *
 * Takes a reference to @table.
 *
 * Return: false when @table is not newer than the configuration in force; no
 * reference is taken then.
 */
bool pgw_gateway_set_routes(struct pgw_gateway *gateway,
                            struct pgw_route_table *table);

/** pgw_gateway_routes() - the configuration in force, or NULL */
const struct pgw_route_table *
pgw_gateway_routes(const struct pgw_gateway *gateway);

/** pgw_gateway_upstreams() - the table of upstreams, to be filled by the owner
 * of the gateway */
struct pgw_upstream_table *pgw_gateway_upstreams(struct pgw_gateway *gateway);

/**
 * pgw_gateway_set_target_weights() - set the target version of a model
 * @gateway: the gateway
 * @model: name of the model
 * @version: the target version; ignored if it is not newer than the last one
 * @age_us: longest time for which it may have been announced
 * @received_ago_us: how long ago entries have received it
 */
void pgw_gateway_set_target_weights(struct pgw_gateway *gateway,
                                    const char *model, uint64_t version,
                                    uint64_t age_us, uint64_t received_ago_us);

/**
 * struct pgw_shared_part - a shared part of a prompt that is sent to an engine
 * @key: pgw_part_key() of the part
 * @tokens: its size
 */
struct pgw_shared_part {
    uint64_t key;
    uint32_t tokens;
};

/**
 * struct pgw_announcement - a request in flight to an engine
 * @parts: shared parts of its prompt that the engine is not known to have
 *   cached
 * @count: number of @parts
 * @pending_tokens: tokens of the prompt that the engine has to prefill
 * @kv_tokens: most tokens that the request occupies in the engine's KV cache
 * @request: pgw_announced_prompts_id() of the request
 * @prefilled_tokens: @pending_tokens without those that the engine fetches; at
 *   the end of the prefill, those that it has prefilled; 0: unknown
 */
struct pgw_announcement {
    const struct pgw_shared_part *parts;
    size_t count;
    uint32_t pending_tokens;
    uint32_t kv_tokens;
    uint64_t request;
    uint32_t prefilled_tokens;
};

/**
 * struct pgw_prefill_claim - a long prompt that an engine is asked to take
 * @claim: number of the claim at this entry
 * @request: pgw_announced_prompts_id() of the request
 * @pending_tokens: tokens of the prompt that the engine has to prefill
 * @limit_tokens: most tokens that may be pending there with it; a prompt is
 *   always granted while no other is pending
 */
struct pgw_prefill_claim {
    uint64_t claim;
    uint64_t request;
    uint32_t pending_tokens;
    uint32_t limit_tokens;
};

/**
 * struct pgw_sidecar_ops - messages to the sidecars of engines
 * @reaches: whether messages can be sent to a sidecar; if not, the entry
 *   starts to connect to it
 * @send_origins: send the software versions of attempts to a sidecar that
 *   keeps them
 * @ask_origin: ask for the version of an attempt; the answer arrives through
 *   pgw_stream_origins_handle_answer(). false: the sidecar is not reachable
 * @announce: announce a request in flight; with no @parts and @pending_tokens
 *   0, the long prompt announced before has been prefilled or cancelled
 * @probe: ask for an engine's load and its cached parts; the answer arrives
 *   through pgw_gateway_probe_answered(). false: the sidecar is not reachable
 * @claim_prefill: ask an engine's sidecar whether the engine takes a long
 *   prompt now; the answer arrives through pgw_gateway_prefill_answered().
 *   false: the sidecar is not reachable
 * @ask_limit: ask the owner of an upstream's limit, @owner, for requests that
 *   may be sent there; the answer arrives through
 *   pgw_upstream_limits_handle_answer(). false: the owner is not reachable
 * @ask_quota: ask the owner of a quota for units, or report units to it; the
 *   answer arrives through pgw_quota_handle_answer(). false: the owner is not
 *   reachable
 */
struct pgw_sidecar_ops {
    bool (*reaches)(void *context, const struct pgw_upstream *upstream);
    void (*send_origins)(void *context, const struct pgw_upstream *owner,
                         const struct pgw_stream_origin *origins,
                         size_t count);
    bool (*ask_origin)(void *context, const struct pgw_upstream *owner,
                       uint64_t ask, uint32_t id);
    void (*announce)(void *context, const struct pgw_upstream *upstream,
                     const struct pgw_announcement *announcement);
    bool (*probe)(void *context, const struct pgw_upstream *upstream,
                  uint64_t probe, const uint64_t *keys, size_t count);
    bool (*ask_quota)(void *context, const struct pgw_upstream *upstream,
                      const struct pgw_quota_ask *ask);
    bool (*ask_limit)(void *context, const struct pgw_upstream *owner,
                      const struct pgw_limit_ask *ask);
    bool (*claim_prefill)(void *context, const struct pgw_upstream *upstream,
                          const struct pgw_prefill_claim *claim);
};

/** pgw_gateway_set_sidecars() - reach sidecars through @ops, which is not
 * copied; NULL: sidecars are not used */
void pgw_gateway_set_sidecars(struct pgw_gateway *gateway,
                              const struct pgw_sidecar_ops *ops,
                              void *context);

/** pgw_gateway_probe_answered() - a sidecar has answered a probe, and its
 * answer has been stored in the table of upstreams */
void pgw_gateway_probe_answered(struct pgw_gateway *gateway, uint64_t probe,
                                const struct pgw_upstream *upstream);

/**
 * pgw_gateway_prefill_answered() - a sidecar has answered a claim
 * @gateway: the gateway
 * @claim: number of the claim
 * @granted: the prompt counts as pending at the engine
 * @pending_tokens: pending tokens of other requests there
 */
void pgw_gateway_prefill_answered(struct pgw_gateway *gateway, uint64_t claim,
                                  bool granted, uint64_t pending_tokens);

/** pgw_gateway_set_weights_loading_time() - how long an engine is unavailable
 * while it loads weights, in microseconds; 0: not known */
void pgw_gateway_set_weights_loading_time(struct pgw_gateway *gateway,
                                          uint64_t loading_us);

/** pgw_gateway_target_models() - models that have a target version: the keys
 * of the table */
GHashTable *pgw_gateway_target_models(const struct pgw_gateway *gateway);

/** pgw_gateway_old_weights_usable_us() - how long older weights may be used
 * after a newer version was announced, in microseconds */
uint64_t pgw_gateway_old_weights_usable_us(const struct pgw_gateway *gateway);

/** pgw_gateway_weights_usable_for_us() - how long an engine with this version
 * of the weights may still be used, in microseconds; %UINT64_MAX: no newer
 * version is announced */
uint64_t pgw_gateway_weights_usable_for_us(const struct pgw_gateway *gateway,
                                           const char *model,
                                           uint64_t version);

/** pgw_gateway_target_version() - target version of a model, 0: none */
uint64_t pgw_gateway_target_version(const struct pgw_gateway *gateway,
                                    const char *model);

/** pgw_gateway_software_records() - software versions of services */
struct pgw_software_records *
pgw_gateway_software_records(struct pgw_gateway *gateway);

/** pgw_gateway_stream_origins() - software versions of streams */
struct pgw_stream_origins *
pgw_gateway_stream_origins(struct pgw_gateway *gateway);

/** pgw_gateway_stream_records() - unfinished streams in the platform's store
 */
struct pgw_stream_records *
pgw_gateway_stream_records(struct pgw_gateway *gateway);

/** pgw_gateway_isolation() - which workspaces share no cached parts */
struct pgw_isolation *pgw_gateway_isolation(struct pgw_gateway *gateway);

/** pgw_gateway_quota() - quotas of workspaces; answers of their owners are
 * handed to it */
struct pgw_quota *pgw_gateway_quota(struct pgw_gateway *gateway);

/** pgw_gateway_set_entries() - number of entries that share quotas and retry
 * budgets */
void pgw_gateway_set_entries(struct pgw_gateway *gateway, uint32_t entries);

/** pgw_gateway_entries() - that number, 0: not known */
uint32_t pgw_gateway_entries(const struct pgw_gateway *gateway);

/** pgw_gateway_shares() - shared services, whose promises entries tell each
 * other */
struct pgw_share_table *pgw_gateway_shares(struct pgw_gateway *gateway);

/** pgw_gateway_crash_quarantine() - requests that crash upstreams, to be
 * exchanged with other entries by gossip */
struct pgw_crash_quarantine *
pgw_gateway_crash_quarantine(struct pgw_gateway *gateway);

/** pgw_gateway_dispatch_queued() - upstreams have changed: try to dispatch the
 * queued requests, from the loop */
void pgw_gateway_dispatch_queued(struct pgw_gateway *gateway);

/** pgw_gateway_pool() - connections to upstreams, which other modules share */
struct pgw_call_pool *pgw_gateway_pool(struct pgw_gateway *gateway);

/**
 * pgw_gateway_drain() - begin a planned stop
 * @gateway: the gateway
 * @cut_us: when pgw_gateway_refuse_rest() will be called, 0: not at all
 *
 * From now on each connection is closed after its answer, and a request is
 * passed on only if it will have ended at @cut_us. Any other is refused.
 */
void pgw_gateway_drain(struct pgw_gateway *gateway, uint64_t cut_us);

/** pgw_gateway_refuse_late() - refuse the queued requests and give up the
 * provisional streams that would not end before the cut; to be called now and
 * then during a planned stop */
void pgw_gateway_refuse_late(struct pgw_gateway *gateway);

/** pgw_gateway_close() - stop accepting, answer every request that was sent
 * and close all connections */
void pgw_gateway_close(struct pgw_gateway *gateway);

/**
 * pgw_gateway_refuse_rest() - answer all callers now, since no time is left
 * @gateway: a gateway that is being closed
 *
 * A request that was not sent to an upstream is refused as not run, the
 * outcome of any other is reported as unknown.
 */
void pgw_gateway_refuse_rest(struct pgw_gateway *gateway);

/** pgw_gateway_is_closed() - pgw_gateway_close() is complete */
bool pgw_gateway_is_closed(const struct pgw_gateway *gateway);

/** pgw_gateway_request_count() - number of requests being read or answered */
unsigned pgw_gateway_request_count(const struct pgw_gateway *gateway);

#endif
