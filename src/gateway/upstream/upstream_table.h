#ifndef PGW_GATEWAY_UPSTREAM_UPSTREAM_TABLE_H
#define PGW_GATEWAY_UPSTREAM_UPSTREAM_TABLE_H

#include "gateway/pace/engine_pace.h"
#include "gateway/pace/start_delay.h"
#include "gateway/quota/limit_share.h"
#include "gateway/upstream/named_refusals.h"
#include "gateway/upstream/recent_parts.h"
#include "util/address.h"
#include "util/list.h"
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: The upstreams known to an entry
 *
 * The platform's list says which upstreams exist and which are draining.
 * Sidecars and answers report load and weights. Health comes from the entry's
 * own attempts.
 */

#define PGW_UPSTREAM_MODELS_MAX 4
/* A prompt with more pending tokens than this is long: its prefill delays the
 * other requests of the engine beyond their latency objective. */
#define PGW_LONG_PREFILL_TOKENS 1500

/**
 * struct pgw_model_version - weights that an engine runs
 * @model: name of the model; owned
 * @version: version of the weights
 */
struct pgw_model_version {
    char *model;
    uint64_t version;
};

/**
 * struct pgw_upstream_facts - one record of the platform's list
 * @id: name in the list; usually a new one at each process start
 * @service: service that the upstream belongs to
 * @address: "IP:PORT"
 * @zone: availability zone
 * @slots: number of requests that the upstream runs concurrently
 * @revision: revision of this record in the list
 * @started_ms: start time of the process by its own clock, in Unix
 *   milliseconds; distinguishes processes with the same id. 0: unknown
 * @leaving: the upstream is draining and will stop
 * @software: version of its software, which has no order; "" or NULL: not
 *   stated
 * @warmup_ms: remaining time for which the upstream is slow after its start
 * @models: models and weights of an engine
 * @model_count: number of @models; 0 for a plain service
 */
struct pgw_upstream_facts {
    const char *id;
    const char *service;
    const char *address;
    const char *zone;
    uint32_t slots;
    uint64_t revision;
    uint64_t started_ms;
    bool leaving;
    const char *software;
    uint32_t warmup_ms;
    struct pgw_model_version models[PGW_UPSTREAM_MODELS_MAX];
    size_t model_count;
};

/**
 * struct pgw_upstream_load - reported load of an upstream
 * @running: number of running requests
 * @waiting: number of queued requests
 * @slots: number of requests that it runs concurrently, 0: unknown
 * @long_prefills: long prompts whose prefill is running or pending
 * @pending_tokens: pending tokens of these prompts, as far as they were
 *   announced
 * @kv_used: KV cache tokens that cannot be evicted
 * @kv_total: size of the KV cache in tokens, 0: unknown
 * @slowdown: how long work takes on its machine at the moment, in multiples of
 *   the usual time, 0: not stated
 * @slowdown_is_invalid: it was stated with an invalid value
 */
struct pgw_upstream_load {
    uint32_t running;
    uint32_t waiting;
    uint32_t slots;
    uint32_t long_prefills;
    uint64_t pending_tokens;
    uint64_t kv_used;
    uint64_t kv_total;
    double slowdown;
    bool slowdown_is_invalid;
};

/* Former processes with the same id whose late messages are recognized. */
#define PGW_UPSTREAM_STARTS_MAX 4

/**
 * struct pgw_upstream_statements - what an upstream has stated about itself in
 * its answers
 * @limit: this entry's share of the request rate that it accepts
 * @leaving: it is draining
 * @leaving_until_us: it may be draining until then: the process that stated it
 *   may be a former one
 * @backoff_until_us: it wants no requests from this entry before this time
 * @recovering: it has answered no request sent after that time
 * @next_trial_us: while @recovering, no request is sent before this time
 */
struct pgw_upstream_statements {
    struct pgw_limit_share limit;
    bool leaving;
    uint64_t leaving_until_us;
    uint64_t backoff_until_us;
    bool recovering;
    uint64_t next_trial_us;
};

/** pgw_upstream_statements_expire() - give statements that may be those of a
 * former process an end; limits and backoffs end by themselves */
void pgw_upstream_statements_expire(struct pgw_upstream_statements *stated,
                                    uint64_t now_us);

/**
 * enum pgw_lane - prompts that an engine gets first
 * @PGW_LANE_NONE: any
 * @PGW_LANE_SHORT: short ones
 * @PGW_LANE_LONG: long ones
 */
enum pgw_lane {
    PGW_LANE_NONE,
    PGW_LANE_SHORT,
    PGW_LANE_LONG,
};

/**
 * struct pgw_upstream - one upstream
 * @in_table: link in the table's list
 * @references: held by the table and by each request in flight
 * @id: name in the platform's list
 * @process: names the process: @id, and its start if that is known
 * @service: service that the upstream belongs to
 * @zone: availability zone
 * @address_text: @address as in the list
 * @address: address that requests are sent to
 * @id_hash: hash of @address_text, for rendezvous hashing
 * @same_zone: it is in the entry's own availability zone
 * @slots: number of requests that it runs concurrently
 * @revision: revision of its record in the list
 * @started_ms: start time of the process that the state below belongs to, 0:
 *   unknown
 * @earlier_starts_ms: start times of former processes, whose messages may
 *   still arrive
 * @earlier_start_count: number of @earlier_starts_ms
 * @software: version of its software, interned; "": not stated; NULL: its
 *   process has restarted, and the list does not name the new one's yet
 * @leaving: the upstream is draining
 * @sidecar_leaving_until_us: when its sidecar's report that it is draining
 *   expires, 0: the sidecar does not report so
 * @displaced: another incarnation answered at its address
 * @replaced_at_us: when the entry learned that a new process replaced the one
 *   running here; requests sent before get no answer. 0: never
 * @removed: no longer in the table
 * @added_us: when it was first listed, set by who reads the list
 * @delisted_at_us: when its record vanished from the list
 * @delisted_until_us: end of the grace period in which a delisted upstream
 *   stays usable, 0: it is listed
 * @delisting_was_missed: its record vanished while the list was not received
 * @warmup_until_us: end of the time for which it is slow after its start
 * @models: models and weights of an engine
 * @model_count: number of @models
 * @loading: its sidecar reports that the engine is loading weights or is not
 *   alive
 * @loading_since_us: when the weight load began, 0: none is running
 * @is_next_to_load: the engine loads new weights next; a long request there
 *   would delay the load
 * @loading_until_us: when the report behind @loading expires
 * @sidecar_is_reporting: reports of its sidecar are current, and so are
 *   @models
 * @last_seen_us: when the last byte came from it or its sidecar, 0: no sidecar
 *   reports on it
 * @answered_us: when the last byte of one of its own answers came, 0: none did
 * @probe_at_us: while the upstream is unresponsive, no request is sent before
 * @suspect_logged: the log says that it does not respond
 * @inflight: requests of this entry in flight
 * @inflight_tokens: upper bound of the KV cache tokens that they use
 * @prefill_tokens: prompt tokens of those that wait for their first event
 * @long_prefills: number of long prompts among these
 * @load: last report
 * @load_reported_at_us: when it came, 0: never
 * @kv_reported_at_us: when KV cache usage was last reported, 0: never
 * @own_inflight_at_report: @inflight at @load_reported_at_us
 * @pending_reported_at_us: when pending tokens were last reported, 0: never
 * @own_tokens_at_report: @inflight_tokens at @kv_reported_at_us
 * @own_long_prefills_at_report: @long_prefills at @kv_reported_at_us
 * @own_prefill_tokens_at_report: @prefill_tokens at @pending_reported_at_us
 * @failures: consecutive failures
 * @failure_rate: exponential moving average of failed attempts, 0..1
 * @avoid_until_us: chosen before this time only if no other upstream can be
 * @refusals: consecutive requests that the upstream refused to run
 * @full_until_us: never chosen before this time
 * @stated: what it has stated about itself
 * @named_refusals: refusals in which it named the attempt
 * @claim_at_us: its sidecar refused a long prompt or is being asked for one,
 *   and is asked for no other before this time
 * @lane: which prompts it gets first
 * @pace: what is known of its speed
 * @start_delay: how long short prompts of this entry wait for their first
 * event
 * @cached_parts: parts in the engine's KV cache as its sidecar reports them:
 *   key to tokens; only while @sidecar_is_reporting
 * @expected: parts of requests that this entry sent there recently
 */
struct pgw_upstream {
    struct pgw_list in_table;
    int references;
    char *id;
    char *process;
    char *service;
    char *zone;
    char *address_text;
    struct pgw_address address;
    uint64_t id_hash;
    bool same_zone;
    uint32_t slots;
    uint64_t revision;
    uint64_t started_ms;
    uint64_t earlier_starts_ms[PGW_UPSTREAM_STARTS_MAX];
    size_t earlier_start_count;
    const char *software;
    bool leaving;
    uint64_t sidecar_leaving_until_us;
    bool displaced;
    uint64_t replaced_at_us;
    bool removed;
    uint64_t added_us;
    uint64_t delisted_at_us;
    uint64_t delisted_until_us;
    bool delisting_was_missed;
    uint64_t warmup_until_us;
    struct pgw_model_version models[PGW_UPSTREAM_MODELS_MAX];
    size_t model_count;
    bool loading;
    uint64_t loading_since_us;
    bool is_next_to_load;
    uint64_t loading_until_us;
    bool sidecar_is_reporting;
    uint64_t last_seen_us;
    uint64_t answered_us;
    uint64_t probe_at_us;
    bool suspect_logged;
    uint32_t inflight;
    uint64_t inflight_tokens;
    uint64_t prefill_tokens;
    uint32_t long_prefills;
    struct pgw_upstream_load load;
    uint64_t load_reported_at_us;
    uint64_t kv_reported_at_us;
    uint64_t pending_reported_at_us;
    uint32_t own_inflight_at_report;
    uint64_t own_tokens_at_report;
    uint32_t own_long_prefills_at_report;
    uint64_t own_prefill_tokens_at_report;
    uint32_t failures;
    double failure_rate;
    uint64_t avoid_until_us;
    uint32_t refusals;
    uint64_t full_until_us;
    struct pgw_upstream_statements stated;
    struct pgw_named_refusals named_refusals;
    uint64_t claim_at_us;
    enum pgw_lane lane;
    struct pgw_engine_pace pace;
    struct pgw_start_delay start_delay;
    GHashTable *cached_parts;
    struct pgw_recent_parts expected;
};

/**
 * enum pgw_attempt_result - outcome of an attempt, for the upstream's health
 * @PGW_RESULT_COMPLETED: the answer is complete
 * @PGW_RESULT_REFUSED: the upstream said that it did not run the request
 * @PGW_RESULT_ERROR: the upstream answered with an error of its own
 * @PGW_RESULT_BROKEN: the connection broke or the answer is malformed
 * @PGW_RESULT_UNREACHABLE: no connection was established
 * @PGW_RESULT_TIMEOUT: the upstream sent nothing until the timeout
 */
enum pgw_attempt_result {
    PGW_RESULT_COMPLETED,
    PGW_RESULT_REFUSED,
    PGW_RESULT_ERROR,
    PGW_RESULT_BROKEN,
    PGW_RESULT_UNREACHABLE,
    PGW_RESULT_TIMEOUT,
};

/**
 * struct pgw_upstream_pool - the upstreams of one service
 * @all: all of them, &struct pgw_upstream
 * @local: those in the local zone
 * @engines: the upstreams are engines, which have sidecars that report on them
 * @remote_on_request: sidecars in remote zones report only in answer to a
 *   probe
 * @software: version of the software -> number of upstreams that run it
 * @last_software: version of the last upstream that was added
 * @since_us: when the pool was created
 * @mixed_until_us: two versions were listed within %PGW_SOFTWARE_MIXED_US
 *   before this time
 */
struct pgw_upstream_pool {
    GPtrArray *all;
    GPtrArray *local;
    bool engines;
    bool remote_on_request;
    GHashTable *software;
    const char *last_software;
    uint64_t since_us;
    uint64_t mixed_until_us;
};

/* How long a stream that began at another version may still be resumed:
 * callers wait for a whole answer for no longer. */
#define PGW_SOFTWARE_MIXED_US 60000000ULL

/** pgw_upstream_pool_software() - the version that its upstreams run, or that
 * the last one ran; NULL: none was listed, or they run several */
const char *pgw_upstream_pool_software(const struct pgw_upstream_pool *pool);

/** pgw_upstream_pool_is_mixed() - upstreams of several software versions are
 * listed, or were lately */
bool pgw_upstream_pool_is_mixed(const struct pgw_upstream_pool *pool,
                                uint64_t now_us);

/**
 * pgw_upstream_pool_has_software() - whether an upstream of a version can be
 * chosen, now or when it is less busy
 * @pool: the upstreams
 * @software: interned version
 * @tried: upstreams that are left out
 * @tried_count: number of @tried
 * @now_us: monotonic time
 */
bool pgw_upstream_pool_has_software(const struct pgw_upstream_pool *pool,
                                    const char *software,
                                    struct pgw_upstream *const *tried,
                                    size_t tried_count, uint64_t now_us);

struct pgw_upstream_table;

/**
 * pgw_upstream_table_new() - create an empty table
 * @zone: the entry's own availability zone
 */
struct pgw_upstream_table *pgw_upstream_table_new(const char *zone);
void pgw_upstream_table_free(struct pgw_upstream_table *table);

/**
 * pgw_upstream_table_on_lost() - set the callback for upstreams that end
 * without having announced a drain
 * @table: the table
 * @on_lost: called before the upstream is removed or its state is reset
 * @context: passed to @on_lost
 */
void pgw_upstream_table_on_lost(struct pgw_upstream_table *table,
                                void (*on_lost)(struct pgw_upstream *upstream,
                                                void *context),
                                void *context);

/**
 * pgw_upstream_table_put() - add or update an upstream from the platform's
 * list
 * @table: the table
 * @facts: record of the list; copied
 *
 * Return: the upstream, or NULL if the address is malformed or belongs to a
 * newer record.
 */
struct pgw_upstream *
pgw_upstream_table_put(struct pgw_upstream_table *table,
                       const struct pgw_upstream_facts *facts);

/**
 * pgw_upstream_table_set_start() - set when an upstream's process started, as
 * its sidecar reports it
 * @table: the table
 * @upstream: one of its upstreams
 * @started_ms: as in &struct pgw_upstream_facts; 0: unknown, nothing changes
 *
 * A new start time resets what is known of the upstream. The sidecar queries
 * its upstream itself, one query at a time. So its report overrides the list,
 * and also holds if the upstream's clock was set back.
 */
void pgw_upstream_table_set_start(struct pgw_upstream_table *table,
                                  struct pgw_upstream *upstream,
                                  uint64_t started_ms);

/** pgw_upstream_table_remove() - remove an upstream that is no longer listed
 */
void pgw_upstream_table_remove(struct pgw_upstream_table *table,
                               struct pgw_upstream *upstream);

struct pgw_upstream *
pgw_upstream_table_find(const struct pgw_upstream_table *table,
                        const char *id);

/** pgw_upstream_table_pool() - upstreams of a service; NULL if there never was
 * one */
const struct pgw_upstream_pool *
pgw_upstream_table_pool(const struct pgw_upstream_table *table,
                        const char *service);

/** pgw_upstream_table_set_remote_on_request() - set whether sidecars in remote
 * zones report only in answer to a probe */
void pgw_upstream_table_set_remote_on_request(struct pgw_upstream_table *table,
                                              bool remote_on_request);

/** pgw_upstream_table_find_address() - the upstream that an address belongs
 * to; NULL: none */
struct pgw_upstream *
pgw_upstream_table_find_address(const struct pgw_upstream_table *table,
                                const char *address);

/** pgw_upstream_table_all() - head of the list of all upstreams */
struct pgw_list *pgw_upstream_table_all(struct pgw_upstream_table *table);

struct pgw_upstream *pgw_upstream_ref(struct pgw_upstream *upstream);
void pgw_upstream_unref(struct pgw_upstream *upstream);

/**
 * pgw_upstream_table_keep_statements() - keep the statements of an upstream
 * that made them after it was removed; they hold if it is listed again
 */
void pgw_upstream_table_keep_statements(struct pgw_upstream_table *table,
                                        const struct pgw_upstream *upstream);

/** pgw_upstream_is_leaving() - it is draining, as the list, one of its answers
 * or its sidecar says */
bool pgw_upstream_is_leaving(const struct pgw_upstream *upstream,
                             uint64_t now_us);

/** pgw_upstream_is_usable() - listed, or delisted within its grace period, and
 * neither leaving, displaced nor loading weights */
bool pgw_upstream_is_usable(const struct pgw_upstream *upstream,
                            uint64_t now_us);

/**
 * pgw_upstream_set_loading() - set whether the engine takes requests, as its
 * sidecar reports it
 * @upstream: the upstream
 * @loading: the engine is loading weights, or does not answer its sidecar
 * @until_us: when the report expires
 */
void pgw_upstream_set_loading(struct pgw_upstream *upstream, bool loading,
                              uint64_t until_us);

/**
 * enum pgw_liveness - whether an upstream's machine responds
 * @PGW_RESPONSIVE: seen recently, or no sidecar reports on it
 * @PGW_SUSPECT: not seen for long enough that the machine or the network may
 *   have failed; used only if no other upstream can be
 * @PGW_UNRESPONSIVE: considered down; probed by one request a second
 */
enum pgw_liveness {
    PGW_RESPONSIVE,
    PGW_SUSPECT,
    PGW_UNRESPONSIVE,
};

/** pgw_upstream_mark_seen() - record that a report of its sidecar came */
void pgw_upstream_mark_seen(struct pgw_upstream *upstream, uint64_t now_us);

/** pgw_upstream_mark_answering() - record that a byte of an answer came; no
 * effect if no sidecar reports on the upstream */
void pgw_upstream_mark_answering(struct pgw_upstream *upstream,
                                 uint64_t now_us);

/** pgw_upstream_since_seen_us() - microseconds since the upstream or its
 * sidecar was last seen; 0: no sidecar reports on it */
uint64_t pgw_upstream_since_seen_us(const struct pgw_upstream *upstream,
                                    uint64_t now_us);

/** pgw_upstream_liveness() - whether its machine responds */
enum pgw_liveness pgw_upstream_liveness(const struct pgw_upstream *upstream,
                                        uint64_t now_us);

/** pgw_upstream_schedule_probe() - record that a request is sent; if the
 * upstream is unresponsive, the next one has to wait for the probe interval */
void pgw_upstream_schedule_probe(struct pgw_upstream *upstream,
                                 uint64_t now_us);

/** pgw_upstream_set_version() - set the weights of a model; lower versions
 * than the known one are ignored */
void pgw_upstream_set_version(struct pgw_upstream *upstream, const char *model,
                              uint64_t version);

/** pgw_upstream_version() - version of a model's weights, 0: unknown */
uint64_t pgw_upstream_version(const struct pgw_upstream *upstream,
                              const char *model);

/** pgw_upstream_set_cached_part() - set how many tokens of a part are cached,
 * as its sidecar reports it; 0: evicted */
void pgw_upstream_set_cached_part(struct pgw_upstream *upstream, uint64_t key,
                                  uint32_t tokens);

/** pgw_upstream_clear_parts() - drop all cached and expected parts */
void pgw_upstream_clear_parts(struct pgw_upstream *upstream);

/**
 * pgw_upstream_has_part() - whether a part is in the engine's KV cache
 * @upstream: the upstream
 * @key: pgw_part_key()
 * @tokens: size of the part
 * @expected: also count expected parts, of requests in flight to the engine
 * @now_us: monotonic time
 */
bool pgw_upstream_has_part(const struct pgw_upstream *upstream, uint64_t key,
                           uint32_t tokens, bool expected, uint64_t now_us);

/** pgw_upstream_set_prefill_rate() - set the rate that the upstream's sidecar
 * has observed, in tokens a millisecond; an invalid one is counted and ignored
 */
void pgw_upstream_set_prefill_rate(struct pgw_upstream *upstream,
                                   double tokens_per_ms, uint64_t now_us);

/** pgw_upstream_update_load() - store a load report received at @now_us */
void pgw_upstream_update_load(struct pgw_upstream *upstream,
                              const struct pgw_upstream_load *load,
                              uint64_t now_us);

/** pgw_upstream_set_pending_tokens() - set the pending prompt tokens of other
 * requests than the entry's own, as the sidecar has just counted them */
void pgw_upstream_set_pending_tokens(struct pgw_upstream *upstream,
                                     uint64_t tokens, uint64_t now_us);

/** pgw_upstream_load_estimate() - estimated number of requests there now, of
 * all entries */
uint32_t pgw_upstream_load_estimate(const struct pgw_upstream *upstream,
                                    uint64_t now_us);

/** pgw_upstream_kv_estimate() - estimated KV cache tokens in use now */
uint64_t pgw_upstream_kv_estimate(const struct pgw_upstream *upstream,
                                  uint64_t now_us);

/** pgw_upstream_others_long_prefills() - estimated number of long prompts of
 * other entries that are not prefilled yet */
double pgw_upstream_others_long_prefills(const struct pgw_upstream *upstream,
                                         uint64_t now_us);

/**
 * pgw_upstream_others_pending_tokens() - estimated pending prompt tokens of
 * other entries, as far as they were announced
 * @upstream: the engine
 * @prefill_tokens_per_ms: prefill rate of an engine
 * @now_us: monotonic time
 */
double pgw_upstream_others_pending_tokens(const struct pgw_upstream *upstream,
                                          double prefill_tokens_per_ms,
                                          uint64_t now_us);

/** pgw_upstream_record_attempt() - update the upstream's health with the
 * result of an attempt */
void pgw_upstream_record_attempt(struct pgw_upstream *upstream,
                                 enum pgw_attempt_result result,
                                 uint64_t now_us);

#endif
