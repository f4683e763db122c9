#ifndef BENCH_PLACEMENT_SIM_H
#define BENCH_PLACEMENT_SIM_H

#include "gateway/placement/choose.h"
#include "gateway/placement/lanes.h"
#include "gateway/sidecar/report_budget.h"
#include "gateway/upstream/announced_prompts.h"
#include "gateway/upstream/cached_parts.h"
#include <glib.h>

/**
 * DOC: Placement of prompts over hundreds of engines, without a network
 *
 * Entries decide with the gateway's own code on reports that are as old, and
 * as rare, as control traffic allows. Engines are stand-ins: they read one
 * prompt after the other, hold parts in a memory with eviction of the least
 * recently used, fetch parts from each other and refuse when their queue is
 * full. Time is simulated, so a run depends on its seed alone.
 */

#define SIM_MODEL "m"
#define SIM_KINDS 2

/**
 * struct sim_kind - one kind of request
 * @name: for tables
 * @per_s: requests a second, of all entries
 * @parts: shared parts in use
 * @skew: exponent of their popularity
 * @shared: mean tokens of a shared part
 * @shared_spread: standard deviation of its logarithm
 * @own: mean tokens of a request's own part
 * @own_spread: standard deviation of its logarithm
 * @output: tokens of an answer
 * @objective_ms: a first token within it is in time
 * @limit_ms: the caller leaves after it
 */
struct sim_kind {
    const char *name;
    double per_s;
    unsigned parts;
    double skew;
    double shared;
    double shared_spread;
    double own;
    double own_spread;
    unsigned output;
    double objective_ms;
    double limit_ms;
};

/**
 * struct sim_options - a deployment and a load
 * @seed: all that is drawn depends on it
 * @zones: availability zones
 * @entries: entries in each
 * @engines: engines in each
 * @slots: requests that an engine runs at once
 * @queue: requests that wait at an engine before it refuses
 * @read_rate: tokens that it reads in a millisecond
 * @slowest: rate of every third engine in multiples of @read_rate; as much is
 *   added to that of every other third. 0: all are alike
 * @pairs_ms: milliseconds for a million pairs of tokens
 * @step_ms: time for a token of the answer
 * @stride: tokens of an answer in one event
 * @pause_ms: longest pause between two events that is in time, 0: any is
 * @piece: tokens of a prompt that it reads between two tokens of answers
 * @kv_tokens: memory of an engine
 * @fetch_ms: time to begin a fetch
 * @link_tokens_ms: tokens that a fetch moves in a millisecond
 * @hop_us: way within a zone
 * @far_hop_us: way to another zone
 * @events_lag_us: age of an engine's cache events
 * @homes: homes whose sidecars are asked before a long prompt is sent; 0:
 *   sidecars report to the entries of all zones, as often as they may
 * @divided: the pool may be divided between long and short prompts
 * @waits: long prompts wait for engines' backlogs
 * @dead: share of the engines that are down, and known to be
 * @named_s: seconds between versions of the weights, each of which empties all
 *   memory; 0: none
 * @seconds: length of the run
 * @warm_s: seconds at its begin that do not count
 * @kinds: the load
 */
struct sim_options {
    uint64_t seed;
    unsigned zones;
    unsigned entries;
    unsigned engines;
    unsigned slots;
    unsigned queue;
    double read_rate;
    double slowest;
    double pairs_ms;
    double step_ms;
    unsigned stride;
    double pause_ms;
    double piece;
    uint64_t kv_tokens;
    double fetch_ms;
    double link_tokens_ms;
    uint64_t hop_us;
    uint64_t far_hop_us;
    uint64_t events_lag_us;
    unsigned homes;
    bool divided;
    bool waits;
    double dead;
    double named_s;
    double seconds;
    double warm_s;
    struct sim_kind kinds[SIM_KINDS];
};

/**
 * struct sim_result - what callers got
 * @asked: requests of each kind
 * @in_time: of these, first token within the objective
 * @paused: of @in_time, with a longer pause than is in time
 * @late: answered, but later
 * @refused: not served
 * @shared: shared tokens asked for
 * @reread: of these, read although some engine held them
 * @read: of these, read at all
 * @busiest: reading time of the busiest engine over the mean
 * @reading: share of the engines' time that they read
 * @report_bytes: control bytes a second that a sidecar sends, on average
 * @sent_away: requests that an engine refused
 * @preempted: prompts that were read twice since memory ran out
 */
struct sim_result {
    uint64_t asked[SIM_KINDS];
    uint64_t in_time[SIM_KINDS];
    uint64_t paused[SIM_KINDS];
    uint64_t late[SIM_KINDS];
    uint64_t refused[SIM_KINDS];
    uint64_t shared;
    uint64_t reread;
    uint64_t read;
    double busiest;
    double reading;
    double report_bytes;
    uint64_t sent_away;
    uint64_t preempted;
};

struct sim;

/** struct sim_part - a shared part of a prompt */
struct sim_part {
    uint64_t id;
    uint32_t tokens;
};

/** struct sim_answer - a sidecar's answer to a probe */
struct sim_answer {
    struct pgw_upstream_load load;
    struct pgw_part_update part;
};

/** struct sim_announcement - what an entry says of a request that it sends */
struct sim_announcement {
    struct sim_engine *engine;
    uint64_t key;
    uint32_t tokens;
    uint32_t pending_tokens;
    uint32_t kv_tokens;
    uint64_t request;
};

/** struct sim_job - one request on its way */
struct sim_job {
    uint64_t id;
    unsigned kind;
    struct sim_entry *entry;
    struct sim_engine *engine;
    struct sim_part part;
    struct pgw_prompt prompt;
    uint64_t version;
    uint64_t key;
    uint64_t asked_us;
    struct sim_engine *source;
    uint32_t missing;
    uint32_t counted;
    uint32_t prefill;
    unsigned sends;
    bool is_read;
    bool announced;
    bool in_time;
    uint64_t read_at_us;
    double pause_ms;
    struct pgw_homes homes;
    struct sim_answer answers[PGW_HOMES_MAX];
};

/** struct sim_engine - an engine and the sidecar beside it */
struct sim_engine {
    struct sim *sim;
    unsigned index;
    unsigned zone;
    bool dead;
    GQueue waiting;
    GHashTable *runs; /* of struct sim_job, whose answer has not ended */
    unsigned running;
    unsigned long_reads;
    uint64_t kv_pinned;
    double rate;
    uint64_t reader_free_us;
    uint64_t reading_since_us;
    uint64_t reading_us;
    GHashTable *memory; /* key -> link in @order */
    GQueue order;       /* of struct sim_held, least recently used first */
    uint64_t held_tokens;
    struct pgw_cached_parts parts;
    struct pgw_upstream_load report;
    struct pgw_announced_prompts announced;
    unsigned arrivals;
    uint64_t arriving_tokens;
    struct pgw_report_budget budget;
    struct pgw_upstream_load reported;
    uint64_t reported_us;
    uint64_t reported_remote_us;
};

/** struct sim_entry - an entry and what it knows */
struct sim_entry {
    struct sim *sim;
    unsigned zone;
    unsigned turn;
    struct pgw_upstream_table *table;
    struct pgw_upstream **upstreams; /* by the engine's index */
    struct pgw_lanes lanes;
};

/**
 * struct sim_policy - a way to place prompts
 * @name: for tables
 * @choose: fills in what is sent where; false: nothing can take it now
 */
struct sim_policy {
    const char *name;
    bool (*choose)(struct sim_entry *entry, struct sim_job *job);
};

struct sim {
    struct sim_options options;
    struct pgw_choose_options choose;
    const struct sim_policy *policy;
    uint64_t random;
    uint64_t now_us;
    uint64_t end_us; /* nothing is asked from then on */
    GArray *events;  /* a heap */
    uint64_t event_count;
    struct sim_entry *entries;
    unsigned entry_count;
    struct sim_engine *engines;
    unsigned engine_count;
    double *weights[SIM_KINDS]; /* cumulated popularity of the parts */
    uint32_t *sizes[SIM_KINDS];
    uint64_t version;
    uint64_t own_parts;
    uint64_t jobs;
    uint64_t bytes;
    struct sim_result result;
};

typedef void sim_step(struct sim *sim, void *what);

/* run.c */
extern const struct sim_options sim_defaults;
/** sim_run() - play one run */
void sim_run(struct sim_result *out, const struct sim_options *options,
             const struct pgw_choose_options *choose,
             const struct sim_policy *policy);
/** sim_at() - do a step later */
void sim_at(struct sim *sim, uint64_t at_us, sim_step *step, void *what);
/** sim_random() - the next draw */
uint64_t sim_random(struct sim *sim);
/** sim_uniform() - a draw from 0 to 1 */
double sim_uniform(struct sim *sim);

/* engine.c */
void sim_engine_init(struct sim_engine *engine, struct sim *sim,
                     unsigned index);
void sim_engine_dispose(struct sim_engine *engine);
/** sim_engine_arrive() - a request gets there */
void sim_engine_arrive(struct sim *sim, void *job);
/** sim_engine_holds() - a part is in its memory; counts as a use */
bool sim_engine_holds(struct sim_engine *engine, uint64_t key);
/** sim_engine_empty() - it has loaded new weights */
void sim_engine_empty(struct sim_engine *engine);

/* sidecar.c */
/** sim_sidecar_report() - take the engine's report; does so every 100 ms */
void sim_sidecar_report(struct sim *sim, void *engine);
/** sim_sidecar_expect() - an entry has announced a request to it */
void sim_sidecar_expect(struct sim_engine *engine,
                        const struct sim_announcement *announcement);
/** sim_sidecar_answer() - it is asked for the load and a part */
void sim_sidecar_answer(struct sim_answer *out, struct sim_engine *engine,
                        uint64_t key);

/* entry.c */
void sim_entry_init(struct sim_entry *entry, struct sim *sim, unsigned zone);
void sim_entry_dispose(struct sim_entry *entry);
/** sim_entry_place() - choose and send */
void sim_entry_place(struct sim *sim, void *job);
/** sim_entry_take_part() - a sidecar's word on a part */
void sim_entry_take_part(struct pgw_upstream *upstream,
                         const struct pgw_part_update *part, uint64_t now_us);
/** sim_entry_first() - the first token has come */
void sim_entry_first(struct sim *sim, void *job);
/** sim_entry_end() - the whole answer has come */
void sim_entry_end(struct sim *sim, void *job);
/** sim_entry_refused() - an engine had no room */
void sim_entry_refused(struct sim *sim, void *job);

/* policy.c */
extern const struct sim_policy sim_policies[];
extern const size_t sim_policy_count;
/** sim_policy_find() - NULL: there is none of that name */
const struct sim_policy *sim_policy_find(const char *name);

#endif
