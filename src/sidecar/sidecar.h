#ifndef PGW_SIDECAR_SIDECAR_H
#define PGW_SIDECAR_SIDECAR_H

#include "libparsleygw/config_feed.h"
#include "libparsleygw/drain_window.h"
#include "libparsleygw/link.h"
#include "libparsleygw/orders.h"
#include "libparsleygw/sync.h"
#include "parsleygw/admit.h"
#include "parsleygw/cache.h"
#include "parsleygw/config.h"
#include "parsleygw/settings.h"
#include "sidecar/engine_list.h"
#include "util/listener.h"
#include "util/metric.h"
#include "util/trace.h"
#include "util/transfer.h"
#include <pthread.h>

/**
 * DOC: The process beside one upstream
 *
 * One loop thread owns all state here; the admin server and the store's
 * watcher run on threads of their own and hand work over by posting tasks.
 */

struct sidecar;
struct kv;
struct orders;
struct peer;
struct run;

/**
 * struct engine_answer - a long answer that is taken in slices
 * @timer: its next slice
 * @text: the answer, NULL while there is none
 * @asked_us: when it was asked for
 * @list: what was read of it
 * @whole: all of it was read
 * @taken: events that the cache has
 */
struct engine_answer {
    struct pgw_timer timer;
    char *text;
    uint64_t asked_us;
    struct engine_list list;
    bool whole;
    size_t taken;
};

/**
 * struct engine - what is known about the model engine
 * @sidecar: owner
 * @alive: it answered lately; a plain service always counts as alive
 * @incarnation: of its present process
 * @model: model that it runs
 * @version: weights version that it runs
 * @loading: it carries out an order
 * @told_us: when the question was asked whose answer is known best
 * @last_seq: last cache event taken
 * @status_failures: status requests that failed in a row
 * @doubt_us: until then it is asked again and again: a request failed as if
 *   it had died
 * @status_timer: next status request
 * @events_timer: next poll for cache events, after a failure
 * @status: request in progress, or NULL
 * @events: poll in progress, or NULL
 * @events_after: number of the event that it asked to go on from
 * @blocks: list of all blocks in progress, or NULL
 * @events_answer: answer to a poll
 * @blocks_answer: list of all blocks
 */
struct engine {
    struct sidecar *sidecar;
    bool alive;
    uint64_t incarnation;
    char *model;
    char *version;
    bool loading;
    uint64_t told_us;
    unsigned status_failures;
    uint64_t doubt_us;
    struct pgw_timer status_timer;
    struct pgw_timer events_timer;
    struct fetch *status;
    struct fetch *events;
    uint64_t events_after;
    struct fetch *blocks;
    struct engine_answer events_answer;
    struct engine_answer blocks_answer;
};

/**
 * struct sidecar_view - what other threads may read, under @lock
 * @lock: held briefly
 * @leaving: as in &struct sidecar
 * @takes_work: neither stopped nor declared leaving
 * @alive: the upstream answers
 * @engine: its incarnation
 * @version: its weights version
 * @loading: the gate is closed while the engine changes its weights
 * @order: progress of orders to the engine
 * @load: the gate's load
 * @cache: the cache's counters
 * @config_version: highest version of configuration in force
 */
struct sidecar_view {
    pthread_mutex_t lock;
    bool leaving;
    bool takes_work;
    bool alive;
    uint64_t engine;
    char version[PGW_CONFIG_NAME_MAX + 1];
    bool loading;
    struct pgw_orders_state order;
    struct pgw_admit_load load;
    struct pgw_cache_stats cache;
    uint64_t config_version;
};

/**
 * struct sidecar - the whole process
 * @settings: checked settings
 * @loop: the loop of everything below
 * @transfers: HTTP requests to the upstream
 * @listener: entries connect here
 * @peers: connected entries (&struct peer)
 * @sync: configuration replica
 * @set: its objects
 * @feed: what the store says
 * @config: snapshot of @set
 * @worker: makes store operations
 * @suspects: quarantine records, shared with all processes
 * @suspicion: decides on suspects
 * @exclusive: suspect that runs, or waits to run, alone; NULL without one
 * @held: runs that wait for it
 * @handed: runs at the upstream
 * @claims: keys of calls that may not be repeated
 * @admit: the gate before the upstream
 * @gate_timer: looks at the gate's waiting requests
 * @cache: what the engine's prefix cache holds
 * @engine: the engine's own state
 * @orders: keeps the engine at what its pool declares; NULL beside a service
 * @kv: use of the kept KV cache store; NULL beside a service
 * @trace: the time line's ring
 * @incarnation: random number of this process
 * @is_model: model engine, not a plain service
 * @state_timer: next regular word to the entries
 * @all_runs: every attempt (&struct run)
 * @leaving: no new work; set by a planned stop
 * @declared_leaving: no new work; an operator declared it in the upstream's
 *   object
 * @runs: attempts that wait or run
 * @view: copy for other threads
 * @drain_timer: checks whether a planned stop is over
 * @drain: the time that a planned stop leaves
 * @run_times: how long runs took lately
 * @close_until_us: when it gives up waiting for entries to close their links;
 *   0: the port is open
 * @ended: no attempt is left, and none that comes is run
 */
struct sidecar {
    struct pgw_sidecar_settings *settings;
    struct pgw_loop *loop;
    struct pgw_transfer_pool *transfers;
    struct pgw_listener *listener;
    struct pgw_list peers;
    struct pgw_sync *sync;
    struct pgw_config_set *set;
    struct pgw_config_feed *feed;
    struct pgw_config *config;
    struct pgw_store_worker *worker;
    struct pgw_suspects *suspects;
    struct suspicion *suspicion;
    struct run *exclusive;
    struct pgw_list held;
    unsigned handed;
    struct claims *claims;
    struct pgw_admit *admit;
    struct pgw_timer gate_timer;
    struct pgw_cache *cache;
    struct engine engine;
    struct orders *orders;
    struct kv *kv;
    struct pgw_trace *trace;
    uint64_t incarnation;
    bool is_model;
    struct pgw_timer state_timer;
    struct pgw_list all_runs;
    bool leaving;
    bool declared_leaving;
    unsigned runs;
    struct sidecar_view view;
    struct pgw_timer drain_timer;
    struct pgw_drain_window drain;
    struct pgw_run_times run_times;
    uint64_t close_until_us;
    bool ended;
    uint64_t backoff_until_us;
};

/* sidecar.c */
struct sidecar *sidecar_new(struct pgw_sidecar_settings *settings,
                            GError **error);
void sidecar_free(struct sidecar *sidecar);
/** sidecar_drain() - begin a planned stop; on the loop's thread */
void sidecar_drain(struct sidecar *sidecar);
/** sidecar_push_state() - tell all entries about a change of state */
void sidecar_push_state(struct sidecar *sidecar);

/** sidecar_is_ready() - may be called from any thread; see pgw_admin_options
 */
bool sidecar_is_ready(struct sidecar *sidecar, char **reason);
/** sidecar_status() - JSON for operators; any thread; g_free() it */
char *sidecar_status(struct sidecar *sidecar);

/* engine.c */
void engine_init(struct engine *engine, struct sidecar *sidecar);
void engine_dispose(struct engine *engine);
/** sidecar_takes_work() - neither stopped nor declared leaving */
bool sidecar_takes_work(const struct sidecar *sidecar);
/** engine_suspect() - a request failed as if the engine had died; ask it until
 * it has told that it lives after @doubt_us */
void engine_suspect(struct engine *engine, uint64_t doubt_us);

#endif
