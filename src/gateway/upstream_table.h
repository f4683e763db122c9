#ifndef PGW_GATEWAY_UPSTREAM_TABLE_H
#define PGW_GATEWAY_UPSTREAM_TABLE_H

#include "gateway/recent_parts.h"
#include "util/address.h"
#include "util/list.h"
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: What an entry knows of the upstreams
 *
 * Who exists and who leaves comes from the platform's list, load and weights
 * from the sidecars and from answers, health from the entry's own attempts.
 */

#define PGW_UPSTREAM_MODELS_MAX 4
/* A prompt of which more tokens than this must be read is long: it holds up
 * the others of its engine for more than an answer's objective leaves. */
#define PGW_LONG_PREFILL_TOKENS 1500

/**
 * struct pgw_model_version - weights that an engine runs
 * @model: name of the model; owned
 * @version: number of its weights
 */
struct pgw_model_version {
    char *model;
    uint64_t version;
};

/**
 * struct pgw_upstream_facts - one line of the platform's list
 * @id: its name in the list; mostly new at each of its starts
 * @service: what it serves
 * @address: "IP:PORT"
 * @zone: its availability zone
 * @slots: requests that it runs at once
 * @revision: of this line in the list
 * @started_ms: when its process started, by its own clock, in Unix
 *   milliseconds; tells apart starts under one id. 0: not said
 * @leaving: it finishes what it has and goes
 * @warmup_ms: how much longer it stays slow after its start
 * @models: weights, for engines
 * @model_count: number of @models
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
    uint32_t warmup_ms;
    struct pgw_model_version models[PGW_UPSTREAM_MODELS_MAX];
    size_t model_count;
};

/**
 * struct pgw_upstream_load - a report of an upstream's load
 * @running: requests that it runs
 * @waiting: requests in its queue
 * @slots: requests that it runs at once, 0: not said
 * @long_prefills: long prompts that it is reading, or has still to read
 * @unread: tokens of these that it has not read, where they were announced
 * @kv_used: tokens of memory that cannot be freed
 * @kv_total: tokens of memory, 0: not said
 */
struct pgw_upstream_load {
    uint32_t running;
    uint32_t waiting;
    uint32_t slots;
    uint32_t long_prefills;
    uint64_t unread;
    uint64_t kv_used;
    uint64_t kv_total;
};

/* Starts under one id that are told apart from the present one. */
#define PGW_UPSTREAM_STARTS_MAX 4

/**
 * struct pgw_upstream - one upstream
 * @references: held by the table and by each request on its way
 * @revision: of its line in the list
 * @started_ms: start of the process that all below is known of, 0: not said
 * @earlier_starts_ms: starts before it, of which late words may come
 * @earlier_start_count: number of @earlier_starts_ms
 * @displaced: another incarnation answered at its address
 * @replaced_at_us: when another process was first known to have taken the
 * place of one that ran here; what was sent before has nobody to answer it, 0:
 * never
 * @removed: no longer in the list
 * @delisted_at_us: when it was dropped from the list
 * @delisted_until_us: dropped from the list while the platform's store was
 * away; counts as there until then, 0: is in the list
 * @loading: its sidecar says that it changes its weights, or is not alive
 * @loading_since_us: since when it is away for a load, 0: it is not
 * @is_next_to_load: it is among the next ones: what runs long there delays it
 * @sidecar_is_reporting: its sidecar's word is fresh, so @models is
 * @last_seen_us: when a byte last came from it or its sidecar, 0: no sidecar
 *   reports on it
 * @probe_at_us: while it is silent, no request is sent there before
 * @suspect_logged: that it does not respond stands in the log
 * @inflight: requests that this entry has there
 * @inflight_tokens: memory that they take at most
 * @prefill_tokens: prompt tokens of those without a first event
 * @long_prefills: how many of these are long
 * @load: last report
 * @load_reported_at_us: when it came, 0: never
 * @kv_reported_at_us: when it last said what memory is in use, 0: never
 * @own_inflight_at_report: @inflight at that time
 * @own_tokens_at_report: @inflight_tokens at that time
 * @own_long_prefills_at_report: @long_prefills at that time
 * @own_prefill_tokens_at_report: @prefill_tokens at that time
 * @failures: in a row
 * @failure_rate: moving share of failed attempts, 0..1
 * @avoid_until_us: not to be chosen before, while others can be
 * @refusals: in a row, of requests that it did not run
 * @full_until_us: not to be chosen before, whatever the others do
 * @held: prompt parts that its engine holds, by its sidecar's word: key to
 *   tokens; only while @sidecar_is_reporting
 * @expected: prompt parts of requests that this entry sent there lately
 */
struct pgw_upstream {
    struct pgw_list in_table;
    int references;
    char *id;
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
    bool leaving;
    bool displaced;
    uint64_t replaced_at_us;
    bool removed;
    uint64_t delisted_at_us;
    uint64_t delisted_until_us;
    uint64_t warmup_until_us;
    struct pgw_model_version models[PGW_UPSTREAM_MODELS_MAX];
    size_t model_count;
    bool loading;
    uint64_t loading_since_us;
    bool is_next_to_load;
    uint64_t loading_until_us;
    bool sidecar_is_reporting;
    uint64_t last_seen_us;
    uint64_t probe_at_us;
    bool suspect_logged;
    uint32_t inflight;
    uint64_t inflight_tokens;
    uint64_t prefill_tokens;
    uint32_t long_prefills;
    struct pgw_upstream_load load;
    uint64_t load_reported_at_us;
    uint64_t kv_reported_at_us;
    uint32_t own_inflight_at_report;
    uint64_t own_tokens_at_report;
    uint32_t own_long_prefills_at_report;
    uint64_t own_prefill_tokens_at_report;
    uint32_t failures;
    double failure_rate;
    uint64_t avoid_until_us;
    uint32_t refusals;
    uint64_t full_until_us;
    GHashTable *held;
    struct pgw_recent_parts expected;
};

/**
 * enum pgw_attempt_result - how an attempt at an upstream went, for its health
 * @PGW_RESULT_COMPLETED: a whole answer
 * @PGW_RESULT_REFUSED: it said that it did not run the request
 * @PGW_RESULT_ERROR: it answered with a failure of its own
 * @PGW_RESULT_BROKEN: the connection broke or what came is no answer
 * @PGW_RESULT_UNREACHABLE: no connection was established
 * @PGW_RESULT_TIMEOUT: nothing came for so long that it was given up
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
 * @all: of &struct pgw_upstream
 * @local: those of the entry's own availability zone
 * @engines: they are engines, whose sidecars report on them
 * @remote_on_request: reports of those in other zones are not sent unasked
 */
struct pgw_upstream_pool {
    GPtrArray *all;
    GPtrArray *local;
    bool engines;
    bool remote_on_request;
};

struct pgw_upstream_table;

/**
 * pgw_upstream_table_new() - an empty table
 * @zone: the entry's own availability zone
 */
struct pgw_upstream_table *pgw_upstream_table_new(const char *zone);
void pgw_upstream_table_free(struct pgw_upstream_table *table);

/**
 * pgw_upstream_table_on_lost() - be told of upstreams that are gone without
 * having said that they leave
 * @table: the table
 * @on_lost: called before the upstream is removed
 * @context: handed to @on_lost
 */
void pgw_upstream_table_on_lost(struct pgw_upstream_table *table,
                                void (*on_lost)(struct pgw_upstream *upstream,
                                                void *context),
                                void *context);

/**
 * pgw_upstream_table_put() - take a line of the platform's list
 * @table: the table
 * @facts: copied
 *
 * Return: the upstream, or NULL when the address makes no sense or belongs to
 * a newer line.
 */
struct pgw_upstream *
pgw_upstream_table_put(struct pgw_upstream_table *table,
                       const struct pgw_upstream_facts *facts);

/**
 * pgw_upstream_table_set_start() - the word of the process beside an upstream
 * on when that one started
 * @table: the table
 * @upstream: one of its upstreams
 * @started_ms: as in &struct pgw_upstream_facts; 0: not said
 *
 * That process asks its upstream itself, one question after the other, so its
 * word holds whatever the list or a clock that was set back says.
 */
void pgw_upstream_table_set_start(struct pgw_upstream_table *table,
                                  struct pgw_upstream *upstream,
                                  uint64_t started_ms);

/** pgw_upstream_table_remove() - it is no longer in the list */
void pgw_upstream_table_remove(struct pgw_upstream_table *table,
                               struct pgw_upstream *upstream);

struct pgw_upstream *
pgw_upstream_table_find(const struct pgw_upstream_table *table,
                        const char *id);

/** pgw_upstream_table_pool() - upstreams of a service; NULL when there never
 * was one */
const struct pgw_upstream_pool *
pgw_upstream_table_pool(const struct pgw_upstream_table *table,
                        const char *service);

/** pgw_upstream_table_set_remote_on_request() - whether engines of other zones
 * report only when they are asked */
void pgw_upstream_table_set_remote_on_request(struct pgw_upstream_table *table,
                                              bool remote_on_request);

/** pgw_upstream_table_find_address() - the newest upstream of an address;
 * NULL: none */
struct pgw_upstream *
pgw_upstream_table_find_address(const struct pgw_upstream_table *table,
                                const char *address);

/** pgw_upstream_table_all() - head of the list of all */
struct pgw_list *pgw_upstream_table_all(struct pgw_upstream_table *table);

struct pgw_upstream *pgw_upstream_ref(struct pgw_upstream *upstream);
void pgw_upstream_unref(struct pgw_upstream *upstream);

/** pgw_upstream_is_usable() - listed and neither leaving nor loading */
bool pgw_upstream_is_usable(const struct pgw_upstream *upstream,
                            uint64_t now_us);

/**
 * pgw_upstream_set_loading() - its sidecar's word on whether it takes requests
 * @upstream: the upstream
 * @loading: it loads weights, or does not answer
 * @until_us: when that word is no longer believed
 */
void pgw_upstream_set_loading(struct pgw_upstream *upstream, bool loading,
                              uint64_t until_us);

/**
 * enum pgw_liveness - whether an upstream's machine responds
 * @PGW_RESPONSIVE: it was seen lately, or no sidecar reports on it
 * @PGW_SUSPECT: nothing came from it for long enough that it, or the network,
 *   may have stopped: used only if nothing else can be
 * @PGW_UNRESPONSIVE: it has stopped: one request a second probes it
 */
enum pgw_liveness {
    PGW_RESPONSIVE,
    PGW_SUSPECT,
    PGW_UNRESPONSIVE,
};

/** pgw_upstream_mark_seen() - a report of its sidecar came */
void pgw_upstream_mark_seen(struct pgw_upstream *upstream, uint64_t now_us);

/** pgw_upstream_mark_answering() - some byte of an answer came from it */
void pgw_upstream_mark_answering(struct pgw_upstream *upstream,
                                 uint64_t now_us);

/** pgw_upstream_since_seen_us() - for how long nothing came from its machine,
 * in microseconds; 0: no sidecar reports on it */
uint64_t pgw_upstream_since_seen_us(const struct pgw_upstream *upstream,
                                    uint64_t now_us);

/** pgw_upstream_liveness() - whether its machine responds */
enum pgw_liveness pgw_upstream_liveness(const struct pgw_upstream *upstream,
                                        uint64_t now_us);

/** pgw_upstream_schedule_probe() - a request is sent there: while it is
 * silent, the next one has to wait */
void pgw_upstream_schedule_probe(struct pgw_upstream *upstream,
                                 uint64_t now_us);

/** pgw_upstream_set_version() - newest word on the weights of a model */
void pgw_upstream_set_version(struct pgw_upstream *upstream, const char *model,
                              uint64_t version);

/** pgw_upstream_version() - weights of a model, 0: not known */
uint64_t pgw_upstream_version(const struct pgw_upstream *upstream,
                              const char *model);

/** pgw_upstream_set_cached_part() - its sidecar's word on a part; 0 tokens:
 * gone */
void pgw_upstream_set_cached_part(struct pgw_upstream *upstream, uint64_t key,
                                  uint32_t tokens);

/** pgw_upstream_clear_parts() - nothing is known of what it holds */
void pgw_upstream_clear_parts(struct pgw_upstream *upstream);

/**
 * pgw_upstream_has_part() - whether a part is in its engine's memory
 * @upstream: the upstream
 * @key: pgw_part_key()
 * @tokens: size of the part
 * @expected: also count what is being read for a request on its way
 * @now_us: monotonic time
 */
bool pgw_upstream_has_part(const struct pgw_upstream *upstream, uint64_t key,
                           uint32_t tokens, bool expected, uint64_t now_us);

/** pgw_upstream_update_load() - a report of its load, received at @now_us */
void pgw_upstream_update_load(struct pgw_upstream *upstream,
                              const struct pgw_upstream_load *load,
                              uint64_t now_us);

/** pgw_upstream_load_estimate() - requests there now, of all entries */
uint32_t pgw_upstream_load_estimate(const struct pgw_upstream *upstream,
                                    uint64_t now_us);

/** pgw_upstream_kv_estimate() - tokens of memory in use now */
uint64_t pgw_upstream_kv_estimate(const struct pgw_upstream *upstream,
                                  uint64_t now_us);

/** pgw_upstream_others_long_prefills() - long prompts that it reads for others
 */
double pgw_upstream_others_long_prefills(const struct pgw_upstream *upstream,
                                         uint64_t now_us);

/**
 * pgw_upstream_others_pending_tokens() - prompt tokens that it has to read for
 * others, as far as they were announced
 * @upstream: the engine
 * @read_rate: tokens that an engine reads in a millisecond
 * @now_us: monotonic time
 */
double pgw_upstream_others_pending_tokens(const struct pgw_upstream *upstream,
                                          double read_rate, uint64_t now_us);

/** pgw_upstream_record_attempt()  - account the end of an attempt */
void pgw_upstream_record_attempt(struct pgw_upstream *upstream,
                                 enum pgw_attempt_result result,
                                 uint64_t now_us);

#endif
