#ifndef PGW_GATEWAY_SIDECAR_ENGINE_SIDECAR_H
#define PGW_GATEWAY_SIDECAR_ENGINE_SIDECAR_H

#include "gateway/config/policy.h"
#include "gateway/http/call.h"
#include "gateway/quota/quota_bucket.h"
#include "gateway/sidecar/weights_order.h"
#include "gateway/upstream/announced_prompts.h"
#include "gateway/upstream/cached_parts.h"
#include "gateway/upstream/upstream_notice.h"
#include "gateway/upstream/upstream_table.h"

/**
 * DOC: The sidecar of a model engine
 *
 * The sidecar polls its engine for reports, which costs nothing from the
 * engine's own machine, and reports changes to the entries. No other process
 * sends orders to the engine: entries announce target versions and select the
 * engine when it may load. The sidecar's fencing token comes from the
 * platform's store with the right to give orders, which ends (order_lease.h).
 * It is requested when the engine has to load, and again when it has ended or
 * the engine has seen a higher one.
 */

/**
 * struct pgw_engine_report - a report of an engine
 * @load: its load
 * @models: models and versions that it runs; names are owned
 * @model_count: number of @models
 * @busy: it is executing an order
 * @leaving: it is draining
 * @sequence: number of orders that it has accepted
 * @started_ms: when its process started, by its own clock, in Unix
 *   milliseconds; 0: unknown
 * @runs: running requests that it lists; owned
 * @run_count: number of @runs
 * @unlisted_runs: running requests that it does not list, 0 where it lists
 *   none at all
 */
struct pgw_engine_report {
    struct pgw_upstream_load load;
    struct pgw_model_version models[PGW_UPSTREAM_MODELS_MAX];
    size_t model_count;
    bool busy;
    bool leaving;
    uint64_t sequence;
    uint64_t started_ms;
    struct pgw_engine_run *runs;
    size_t run_count;
    uint32_t unlisted_runs;
};

/**
 * struct pgw_engine_order - order to load weights
 * @model: name of the model
 * @version: version to load
 * @instance: incarnation of the engine that the order is for
 * @holder: name of this process, the holder of the token
 * @token: fencing token
 * @sequence: number of orders that the engine must have accepted before, or
 *   it refuses this one
 */
struct pgw_engine_order {
    const char *model;
    uint64_t version;
    const char *instance;
    const char *holder;
    uint64_t token;
    uint64_t sequence;
};

/**
 * struct pgw_engine_codec - HTTP messages of the deployment's engines
 * @write_report_request: append a complete request for a report
 * @read_report: decode the answer; false: it is invalid. The names and runs
 *   are owned by the caller
 * @write_order_request: append a complete request with an order
 * @write_events_request: append a complete long poll for cache events from
 *   number @since on
 * @read_notice: read what the engine states about itself in the head of any
 *   answer
 * @read_events: decode the answer; false: it is invalid. The array is owned
 *   by the caller
 */
struct pgw_engine_codec {
    void (*write_report_request)(GString *out);
    bool (*read_report)(struct pgw_engine_report *out, const char *body,
                        size_t size);
    void (*write_order_request)(GString *out,
                                const struct pgw_engine_order *order);
    void (*write_events_request)(GString *out, uint64_t since,
                                 uint32_t wait_ms);
    bool (*read_events)(struct pgw_cache_events *out, const char *body,
                        size_t size);
    void (*read_notice)(struct pgw_upstream_notice *out,
                        const struct pgw_http_head *head);
};

struct pgw_engine_sidecar;

/**
 * struct pgw_engine_sidecar_options - settings
 * @instance: name of this process
 * @zone: its availability zone
 * @engine: address of the engine
 * @listen: where entries connect; without an address (size 0) none can, and
 *   cache events are not polled, as no entry would get them
 * @codec: messages of the engine
 * @policy: mechanisms that are switched off
 * @get_token: request a new fencing token, higher than all previous ones; it
 *   is delivered through pgw_engine_sidecar_set_token()
 * @quotas: initial state of the workspaces' quota buckets
 * @report_lag_us: maximum age of the engine's reports, 0 on its own machine
 * @may_send_order: called right before each order; false: the token may not
 *   be used any more, and a new one is requested. NULL: orders are always sent
 * @context: argument of @get_token and @may_send_order
 */
struct pgw_engine_sidecar_options {
    const char *instance;
    const char *zone;
    struct pgw_address engine;
    struct pgw_address listen;
    const struct pgw_engine_codec *codec;
    struct pgw_policy policy;
    void (*get_token)(void *context);
    struct pgw_quota_buckets_options quotas;
    uint64_t report_lag_us;
    bool (*may_send_order)(void *context);
    void *context;
};

/** pgw_engine_sidecar_new() - listen and start polling the engine; NULL and
 * %PGW_ERROR_IO if it cannot listen */
struct pgw_engine_sidecar *
pgw_engine_sidecar_new(struct pgw_loop *loop,
                       const struct pgw_engine_sidecar_options *options,
                       GError **error);
void pgw_engine_sidecar_free(struct pgw_engine_sidecar *sidecar);

/** pgw_engine_sidecar_set_token() - set the fencing token, and how long orders
 * may carry it, in microseconds; 0: none is available now */
void pgw_engine_sidecar_set_token(struct pgw_engine_sidecar *sidecar,
                                  uint64_t token, uint64_t valid_us);

/** pgw_engine_sidecar_port() - port that entries connect to */
uint16_t pgw_engine_sidecar_port(const struct pgw_engine_sidecar *sidecar);

/** pgw_engine_sidecar_entry_count() - number of connected entries */
unsigned
pgw_engine_sidecar_entry_count(const struct pgw_engine_sidecar *sidecar);

/**
 * pgw_engine_sidecar_set_target_weights() - set the version to load
 * @sidecar: the sidecar
 * @name: name of the model
 * @version: version to load; older ones than the current target are ignored
 * @start_in_us: delay until the load starts
 * @instance: incarnation of the engine
 */
void pgw_engine_sidecar_set_target_weights(struct pgw_engine_sidecar *sidecar,
                                           const char *name, uint64_t version,
                                           uint64_t start_in_us,
                                           const char *instance);

#endif
