#ifndef PGW_GATEWAY_ENGINE_SIDECAR_INTERNAL_H
#define PGW_GATEWAY_ENGINE_SIDECAR_INTERNAL_H

#include "gateway/engine_sidecar.h"
#include "gateway/quota_bucket.h"
#include "gateway/report_budget.h"
#include "libparsleygw/link.h"

/**
 * DOC: Inside of the process beside an engine
 *
 * guard_ask.c asks the engine for reports and cache events, guard_order.c
 * orders new weights, guard_tell.c tells the entries, engine_guard.c holds
 * them together. Nobody else includes this.
 */

/** struct pgw_sidecar_model - the weights of one model */
struct pgw_sidecar_model {
    char *model;
    char *instance;
    struct pgw_weights_order order;
};

/**
 * struct pgw_connected_entry - one entry
 * @known: it has said who it is and been told everything
 * @far: it is in another zone: told less, and less often
 * @on_request: it is told nothing but answers to its probes
 * @started_us: when it started, as it said; 0: it did not
 * @stood_in_at_us: when it last asked for a quota that another sidecar owns,
 *   0: never
 */
struct pgw_connected_entry {
    struct pgw_list in_guard;
    struct pgw_engine_sidecar *guard;
    struct pgw_link *link;
    bool known;
    bool far;
    bool on_request;
    uint64_t started_us;
    uint64_t stood_in_at_us;
};

/**
 * struct pgw_announced_arrivals - requests that entries have announced
 * @requests: their number
 * @memory: tokens of memory that they take at most
 */
struct pgw_announced_arrivals {
    uint32_t requests;
    uint64_t memory;
};

/**
 * struct pgw_engine_sidecar - the process beside one engine
 * @quotas: buckets of workspaces that this sidecar owns
 * @announced: long prompts that may not have been read yet
 * @arrivals: announced since the last report was asked for, so that it may
 *   lack them
 * @arrivals_before: announced before that, after the report before: lacking
 *   in what is known until the answer is there
 */
struct pgw_engine_sidecar {
    struct pgw_loop *loop;
    struct pgw_engine_sidecar_options options;
    char *instance;
    char *zone;
    char engine[PGW_ADDRESS_TEXT_SIZE];
    struct pgw_call_pool *pool;
    struct pgw_listener *listener;
    struct pgw_list entries;
    struct pgw_timer report_timer;
    struct pgw_timer step_timer;
    struct pgw_timer events_timer;
    struct pgw_call report_call;
    struct pgw_call order_call;
    struct pgw_call events_call;
    GString *report_body;
    GString *events_body;
    unsigned events_status;
    struct pgw_cached_parts parts;
    unsigned report_status;
    unsigned order_status;
    struct pgw_engine_report report;
    struct pgw_quota_buckets *quotas;
    struct pgw_announced_prompts announced;
    struct pgw_announced_arrivals arrivals;
    struct pgw_announced_arrivals arrivals_before;
    struct pgw_report_budget budget;
    struct pgw_engine_report told;
    uint64_t told_us;
    uint64_t told_far_us;
    struct pgw_sidecar_model models[PGW_UPSTREAM_MODELS_MAX];
    size_t model_count;
    struct pgw_sidecar_model *ordering;
    unsigned failures;
    bool alive;
    bool told_alive;
    bool told_loading;
};

/* guard_ask.c */
/** pgw_engine_sidecar_poll_now() - ask the engine now */
void pgw_engine_sidecar_poll_now(struct pgw_engine_sidecar *guard);
/** pgw_engine_sidecar_report_due() - for the timer of reports */
void pgw_engine_sidecar_report_due(struct pgw_timer *timer);
/** pgw_engine_sidecar_events_due() - for the timer of cache events */
void pgw_engine_sidecar_events_due(struct pgw_timer *timer);
/** pgw_engine_report_version() - weights of a model in a report, 0: not there
 */
uint64_t pgw_engine_report_version(const struct pgw_engine_report *report,
                                   const char *model);
/** pgw_engine_sidecar_register_poll_metrics() - counters of this part */
void pgw_engine_sidecar_register_poll_metrics(void);

/* guard_order.c */
/** pgw_engine_sidecar_step_orders() - do what the weights need next */
void pgw_engine_sidecar_step_orders(struct pgw_engine_sidecar *guard);
/** pgw_engine_sidecar_step_due() - for the timer of steps */
void pgw_engine_sidecar_step_due(struct pgw_timer *timer);
/** pgw_engine_sidecar_register_order_metrics() - counters of this part */
void pgw_engine_sidecar_register_order_metrics(void);

/* guard_quota.c */
/** pgw_engine_sidecar_take_quota_ask() - answer an entry on a workspace's
 * quota */
void pgw_engine_sidecar_take_quota_ask(struct pgw_connected_entry *peer,
                                       const Pgw__QuotaAsk *ask);
/** pgw_engine_sidecar_register_quota_metrics() - counters of this part */
void pgw_engine_sidecar_register_quota_metrics(void);

/* guard_tell.c */
/** pgw_engine_sidecar_send_full_state() - everything that is known, to one
 * entry that is new
 */
void pgw_engine_sidecar_send_full_state(const struct pgw_engine_sidecar *guard,
                                        struct pgw_connected_entry *peer);
/** pgw_engine_sidecar_answer_probe() - the engine's load and which of the
 * parts it holds, to one entry */
void pgw_engine_sidecar_answer_probe(const struct pgw_engine_sidecar *guard,
                                     struct pgw_connected_entry *peer,
                                     const Pgw__EngineProbe *probe);
/** pgw_engine_sidecar_report_to_all() - to all entries; those far away when it
 * is urgent or their time has come */
void pgw_engine_sidecar_report_to_all(struct pgw_engine_sidecar *guard,
                                      bool urgent);
/** pgw_engine_sidecar_is_loading() - the engine takes no requests for its
 * weights */
bool pgw_engine_sidecar_is_loading(const struct pgw_engine_sidecar *guard);
/** pgw_engine_sidecar_has_urgent_change() - entries must hear of a change at
 * once */
bool
pgw_engine_sidecar_has_urgent_change(const struct pgw_engine_sidecar *guard);
/** pgw_engine_sidecar_has_reportable_change() - enough has changed to tell
 * them, and there are bytes left for it */
bool
pgw_engine_sidecar_has_reportable_change(struct pgw_engine_sidecar *guard);
/** pgw_engine_report_clear() - give back what a report owns */
void pgw_engine_report_clear(struct pgw_engine_report *report);

#endif
