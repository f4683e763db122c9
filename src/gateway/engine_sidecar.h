#ifndef PGW_GATEWAY_ENGINE_SIDECAR_H
#define PGW_GATEWAY_ENGINE_SIDECAR_H

#include "gateway/announced_prompts.h"
#include "gateway/cached_parts.h"
#include "gateway/call.h"
#include "gateway/policy.h"
#include "gateway/quota_bucket.h"
#include "gateway/upstream_table.h"
#include "gateway/weights_order.h"

/**
 * DOC: The process beside a model engine
 *
 * It asks its engine for reports, which cost nothing from its own machine,
 * and tells the entries of its zone what changes. It is the only one that
 * gives the engine orders: entries say which weights are named and when it is
 * this engine's turn. Its fencing token comes from the platform's store, once
 * a lifetime and only when an order is due.
 */

/**
 * struct pgw_engine_report - an engine's own word
 * @load: its load
 * @models: weights that it runs
 * @model_count: number of @models
 * @busy: it carries out an order
 * @sequence: orders that it accepted
 * @started_ms: when its process started, by its own clock, in Unix
 *   milliseconds; 0: not said
 * @runs: requests that it runs; owned
 * @run_count: number of @runs
 * @reading: requests that it runs and does not list, 0 where it lists none
 */
struct pgw_engine_report {
    struct pgw_upstream_load load;
    struct pgw_model_version models[PGW_UPSTREAM_MODELS_MAX];
    size_t model_count;
    bool busy;
    uint64_t sequence;
    uint64_t started_ms;
    struct pgw_engine_run *runs;
    size_t run_count;
    uint32_t reading;
};

/**
 * struct pgw_engine_order - weights that the engine is to load
 * @model: name of the model
 * @version: its number
 * @instance: incarnation that the order is for
 * @holder: name of this process
 * @token: fencing token
 * @sequence: orders that the engine must have accepted before
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
 * struct pgw_engine_codec - how the deployment's engines are spoken to
 * @write_report_request: append a whole request for a report
 * @read_report: decode its answer; false: it makes no sense. Names are owned
 *   by the caller
 * @write_order_request: append a whole order
 * @write_events_request: append a whole request for cache events that waits
 * for some
 * @read_events: decode its answer; false: it makes no sense. The array is
 *   owned by the caller
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
};

struct pgw_engine_sidecar;

/**
 * struct pgw_engine_sidecar_options - settings
 * @instance: name of this process
 * @zone: its availability zone
 * @engine: address of the engine
 * @listen: where entries connect; without an address (size 0) none do, and
 *   cache events are not followed, as nobody would hear of them
 * @codec: how the engine is spoken to
 * @policy: mechanisms that are switched off
 * @get_token: ask for a new fencing token above all before; the answer comes
 *   through pgw_engine_sidecar_set_token()
 * @quotas: how buckets of workspaces start
 * @report_lag_us: how old the engine's reports may be, 0 on its own machine
 * @may_send_order: asked right before each order; NULL: always
 * @context: handed to @get_token and @may_send_order
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

/** pgw_engine_sidecar_new() - listen and begin; %PGW_ERROR_IO */
struct pgw_engine_sidecar *
pgw_engine_sidecar_new(struct pgw_loop *loop,
                       const struct pgw_engine_sidecar_options *options,
                       GError **error);
void pgw_engine_sidecar_free(struct pgw_engine_sidecar *guard);

/** pgw_engine_sidecar_set_token() - a fencing token; 0: none can be had now
 */
void pgw_engine_sidecar_set_token(struct pgw_engine_sidecar *guard,
                                  uint64_t token);

/** pgw_engine_sidecar_port() - where entries connect */
uint16_t pgw_engine_sidecar_port(const struct pgw_engine_sidecar *guard);

/** pgw_engine_sidecar_entry_count() - entries that are connected */
unsigned
pgw_engine_sidecar_entry_count(const struct pgw_engine_sidecar *guard);

/** pgw_engine_sidecar_set_target_weights() - weights that the engine is to
 * run, and in how many microseconds to begin at the latest */
void pgw_engine_sidecar_set_target_weights(struct pgw_engine_sidecar *guard,
                                           const char *name, uint64_t version,
                                           uint64_t start_in_us,
                                           const char *instance);

#endif
