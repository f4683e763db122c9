#ifndef PGW_GATEWAY_SIDECAR_ENGINE_SIDECAR_INTERNAL_H
#define PGW_GATEWAY_SIDECAR_ENGINE_SIDECAR_INTERNAL_H

#include "gateway/pace/prefill_meter.h"
#include "gateway/quota/limit_ledger.h"
#include "gateway/quota/quota_bucket.h"
#include "gateway/request/stream_ledger.h"
#include "gateway/sidecar/engine_sidecar.h"
#include "gateway/sidecar/report_budget.h"
#include "libparsleygw/link.h"
#include "util/listener.h"

/**
 * DOC: Internals of an engine's sidecar
 *
 * engine_sidecar_poll.c polls the engine for reports and cache events,
 * engine_sidecar_orders.c orders it to load weights, engine_sidecar_quota.c
 * answers quota requests, engine_sidecar_streams.c keeps the software versions
 * of streams, engine_sidecar_reports.c sends reports to the
 * entries, and engine_sidecar.c owns the state and the connections. No other
 * file includes this header.
 */

/**
 * struct pgw_sidecar_model - the target weights of one model
 * @model: its name
 * @instance: incarnation of the engine that the target was set for
 * @order: state of the order to load them
 */
struct pgw_sidecar_model {
    char *model;
    char *instance;
    struct pgw_weights_order order;
};

/**
 * struct pgw_connected_entry - connection of one entry
 * @has_full_state: it has got a full report, so that changes suffice
 * @is_remote: it is in another zone and gets fewer and smaller reports
 * @probe_only: it gets answers to its probes, and no other reports
 * @started_us: when it started, in monotonic time, from the age in its hello;
 *   0: unknown
 * @last_fallback_us: when it last asked for a quota that another sidecar owns,
 *   0: never
 */
struct pgw_connected_entry {
    struct pgw_list in_entries;
    struct pgw_engine_sidecar *sidecar;
    struct pgw_link *link;
    bool has_full_state;
    bool is_remote;
    bool probe_only;
    uint64_t started_us;
    uint64_t last_fallback_us;
};

/**
 * struct pgw_announced_arrivals - requests that entries have announced
 * @requests: their number
 * @kv_tokens: tokens of KV cache that they use at most
 */
struct pgw_announced_arrivals {
    uint32_t requests;
    uint64_t kv_tokens;
};

/**
 * enum pgw_sidecar_call - kinds of calls to the engine
 * @PGW_SIDECAR_CALL_REPORT: poll for a report
 * @PGW_SIDECAR_CALL_EVENTS: long poll for cache events
 * @PGW_SIDECAR_CALL_ORDER: order to load weights
 */
enum pgw_sidecar_call {
    PGW_SIDECAR_CALL_REPORT,
    PGW_SIDECAR_CALL_EVENTS,
    PGW_SIDECAR_CALL_ORDER,
    PGW_SIDECAR_CALL_COUNT,
};

/**
 * struct pgw_engine_sidecar - the sidecar of one engine
 * @engine: address of the engine
 * @cached_parts: parts in the engine's KV cache
 * @report: the engine's last report
 * @quotas: quota buckets of the workspaces that this sidecar owns
 * @limits: limits of upstreams that this sidecar owns
 * @streams: attempts that this sidecar owns, with their software versions
 * @notices: what the engine stated in its last answer to each kind of call
 * @events_started_ms: start of the process that answered the last long poll
 *   for cache events, 0: unknown
 * @backoff_until_us: by kind of call, until when the engine wants none
 * @announced_prompts: long prompts that may not be prefilled yet
 * @prefill_meter: measures the engine's prefill rate with these
 * @logged_prefill_per_s: rate in the last log line, 0: none was written
 * @pace_logged_us: when it was written
 * @arrivals_since_poll: requests announced since the last poll started; its
 *   answer may not include them
 * @arrivals_before_poll: requests announced between the last two polls;
 *   @report does not include them until the answer arrives
 * @budget: bytes that reports may use
 * @reported: the state in the last report to the entries
 * @reported_us: when it was sent
 * @reported_remote_us: when the last one to entries of other zones was sent
 * @reported_alive: @alive in the last report to the entries
 * @reported_limit: limit of the engine in the last report to the entries
 * @reported_leaving: whether that report said that the engine leaves
 * @reported_loading: whether that report said that the engine is loading
 * @ordered_model: the model whose order is in flight, NULL: none
 * @ordered_version: version that this order loads
 * @failed_polls: failed polls in a row
 * @alive: the engine answers polls
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
    struct pgw_cached_parts cached_parts;
    unsigned report_status;
    unsigned order_status;
    struct pgw_engine_report report;
    struct pgw_quota_buckets *quotas;
    struct pgw_limit_ledger *limits;
    struct pgw_stream_ledger *streams;
    struct pgw_upstream_notice notices[PGW_SIDECAR_CALL_COUNT];
    uint64_t events_started_ms;
    uint64_t backoff_until_us[PGW_SIDECAR_CALL_COUNT];
    struct pgw_announced_prompts announced_prompts;
    struct pgw_prefill_meter prefill_meter;
    double logged_prefill_per_s;
    uint64_t pace_logged_us;
    struct pgw_announced_arrivals arrivals_since_poll;
    struct pgw_announced_arrivals arrivals_before_poll;
    struct pgw_report_budget budget;
    struct pgw_engine_report reported;
    uint64_t reported_us;
    uint64_t reported_remote_us;
    struct pgw_sidecar_model models[PGW_UPSTREAM_MODELS_MAX];
    size_t model_count;
    struct pgw_sidecar_model *ordered_model;
    uint64_t ordered_version;
    unsigned failed_polls;
    bool alive;
    double reported_limit;
    bool reported_leaving;
    bool reported_alive;
    bool reported_loading;
};

/* engine_sidecar_poll.c */
/** pgw_engine_sidecar_poll_now() - poll the engine now, as its state may have
 * changed; does nothing while a poll is running */
void pgw_engine_sidecar_poll_now(struct pgw_engine_sidecar *sidecar);
/** pgw_engine_sidecar_on_report_timer() - start a poll for a report */
void pgw_engine_sidecar_on_report_timer(struct pgw_timer *timer);
/** pgw_engine_sidecar_on_events_timer() - start a long poll for cache events
 */
void pgw_engine_sidecar_on_events_timer(struct pgw_timer *timer);
/** pgw_engine_report_version() - version of a model in a report, 0: the engine
 * does not run the model */
uint64_t pgw_engine_report_version(const struct pgw_engine_report *report,
                                   const char *model);
/** pgw_engine_sidecar_register_poll_metrics() - register the counters of polls
 */
void pgw_engine_sidecar_register_poll_metrics(void);

/* engine_sidecar_orders.c */
/** pgw_engine_sidecar_step_orders() - run the due steps of all orders */
void pgw_engine_sidecar_step_orders(struct pgw_engine_sidecar *sidecar);
/** pgw_engine_sidecar_on_step_timer() - run the due steps of all orders */
void pgw_engine_sidecar_on_step_timer(struct pgw_timer *timer);
/** pgw_engine_sidecar_register_order_metrics() - register the counters of
 * orders */
void pgw_engine_sidecar_register_order_metrics(void);

/* engine_sidecar_quota.c */
/** pgw_engine_sidecar_handle_quota_ask() - answer an entry's request for a
 * workspace's quota */
void pgw_engine_sidecar_handle_quota_ask(struct pgw_connected_entry *entry,
                                         const Pgw__QuotaAsk *ask);
/** pgw_engine_sidecar_register_quota_metrics() - register the counters of
 * quotas */
void pgw_engine_sidecar_register_quota_metrics(void);

/* engine_sidecar_streams.c */
/* Attempts that a sidecar keeps: twice those of a minute, if 512 sidecars own
 * 120,000 a second. They take 3 MB. */
#define PGW_SIDECAR_STREAMS_MAX 32768
/** pgw_engine_sidecar_handle_stream_origins() - keep the software versions of
 * an entry's attempts */
void
pgw_engine_sidecar_handle_stream_origins(struct pgw_engine_sidecar *sidecar,
                                         const Pgw__StreamOrigins *message);
/** pgw_engine_sidecar_handle_stream_ask() - answer an entry's ask for the
 * version of an attempt */
void pgw_engine_sidecar_handle_stream_ask(struct pgw_connected_entry *entry,
                                          const Pgw__StreamOriginAsk *ask);

/* engine_sidecar_notice.c */
/** pgw_engine_sidecar_handle_limit_ask() - answer an entry's ask for requests
 * to an upstream at its limit */
void pgw_engine_sidecar_handle_limit_ask(struct pgw_connected_entry *entry,
                                         const Pgw__LimitAsk *ask);
/** pgw_engine_sidecar_read_notice() - read what the engine states about itself
 * in the head of its answer to a call */
void pgw_engine_sidecar_read_notice(struct pgw_engine_sidecar *sidecar,
                                    enum pgw_sidecar_call call,
                                    const struct pgw_http_head *head);
/** pgw_engine_sidecar_backoff_us() - time for which the engine wants no calls
 * of a kind, in microseconds */
uint64_t
pgw_engine_sidecar_backoff_us(const struct pgw_engine_sidecar *sidecar,
                              enum pgw_sidecar_call call);
/** pgw_engine_sidecar_limit() - limit that the engine names to this sidecar,
 * 0: none */
double pgw_engine_sidecar_limit(const struct pgw_engine_sidecar *sidecar);
/** pgw_engine_sidecar_is_leaving() - the engine says that it is draining */
bool pgw_engine_sidecar_is_leaving(const struct pgw_engine_sidecar *sidecar);

/* engine_sidecar_reports.c */
/** pgw_engine_sidecar_send_full_state() - send a full report to an entry that
 * has just connected */
void
pgw_engine_sidecar_send_full_state(const struct pgw_engine_sidecar *sidecar,
                                   struct pgw_connected_entry *entry);
/** pgw_engine_sidecar_answer_probe() - send the engine's load, and which of
 * the probed parts it has cached, to one entry */
void pgw_engine_sidecar_answer_probe(const struct pgw_engine_sidecar *sidecar,
                                     struct pgw_connected_entry *entry,
                                     const Pgw__EngineProbe *probe);
/** pgw_engine_sidecar_report_to_entries() - report to the entries of the local
 * zone, and to those of other zones if it is @urgent or their next report is
 * due */
void pgw_engine_sidecar_report_to_entries(struct pgw_engine_sidecar *sidecar,
                                          bool urgent);
/** pgw_engine_sidecar_is_loading() - the engine takes no requests because it
 * loads weights or is about to */
bool pgw_engine_sidecar_is_loading(const struct pgw_engine_sidecar *sidecar);
/** pgw_engine_sidecar_has_urgent_change() - a change must be reported at
 * once, whatever the budget */
bool
pgw_engine_sidecar_has_urgent_change(const struct pgw_engine_sidecar *sidecar);
/** pgw_engine_sidecar_has_reportable_change() - enough has changed for a
 * report, and the budget allows one */
bool
pgw_engine_sidecar_has_reportable_change(struct pgw_engine_sidecar *sidecar);
/** pgw_engine_report_clear() - free what a report owns, and empty it */
void pgw_engine_report_clear(struct pgw_engine_report *report);

#endif
