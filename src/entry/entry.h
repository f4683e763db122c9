#ifndef PGW_ENTRY_ENTRY_H
#define PGW_ENTRY_ENTRY_H

#include "libparsleygw/config_feed.h"
#include "libparsleygw/drain_window.h"
#include "libparsleygw/link.h"
#include "libparsleygw/loss.h"
#include "libparsleygw/suspects.h"
#include "libparsleygw/sync.h"
#include "parsleygw/config.h"
#include "parsleygw/member.h"
#include "parsleygw/place.h"
#include "parsleygw/retry.h"
#include "parsleygw/settings.h"
#include "parsleygw/version.h"
#include "util/metric.h"
#include "util/rcu.h"
#include "util/trace.h"
#include <pthread.h>
#include <stdatomic.h>

/**
 * DOC: The entry: callers' HTTP on one side, sidecars' frames on the other
 *
 * The threads of the HTTP server run the filters that need nothing but the
 * request and a configuration snapshot (read-copy-update). The loop thread
 * owns links, placement, attempts and timers. An exchange is handed from the
 * first to the second once; afterwards they share only its output, under the
 * exchange's lock.
 */

struct exchange;
struct http;
struct upstream;

/**
 * struct pool - the upstreams of one configured pool as placement sees them
 * @name: the pool's name
 * @track: weights versions that its requests may get
 * @split: how requests are divided among them
 * @nodes: for ranking, one array for each part of @split, each parallel to
 *   @upstreams: an engine is usable only for what it runs
 * @upstreams: their sidecars
 * @count: number of upstreams
 */
struct pool {
    char *name;
    struct pgw_version_track track;
    struct pgw_version_split split;
    struct pgw_place_node *nodes[PGW_VERSIONS_MAX];
    struct upstream **upstreams;
    size_t count;
};

/**
 * struct lost_marks - suspects of one broken link, while they can be withdrawn
 * @engine: incarnation of the engine behind it
 * @crash: what they were given as crash
 * @marks: their fingerprints
 * @count: number of @marks
 * @asked: upstreams of its zone whose sign of life tells whether it was alone
 */
struct lost_marks {
    uint64_t engine;
    uint64_t crash;
    struct pgw_fingerprint marks[PGW_LOSS_SUSPECTS_MAX];
    uint32_t count;
    struct pgw_list asked;
};

/**
 * struct entry - the whole process
 * @settings: checked settings
 * @policy: how requests are placed
 * @loop: owner of everything below, but for @snapshot, @budget and atomics
 * @sync: configuration replica
 * @set: its objects
 * @feed: what the store says
 * @suspects: quarantine records, shared with all processes
 * @loss: judges broken links
 * @lost: suspects made by the last lone one
 * @config: snapshot of @set that the loop uses
 * @snapshot: the same for the HTTP threads (&struct pgw_config)
 * @upstreams: &struct upstream by id
 * @pools: &struct pool by name
 * @unreachable: upstreams whose last connection failed
 * @members: which upstreams may be given work
 * @view: what @pools was built from
 * @list_timer: next look at the platform's list
 * @worker: makes store calls
 * @exchanges: &struct exchange by request id
 * @budget: retry budget
 * @trace: the time line's ring
 * @incarnation: random number of this process
 * @turn: requests placed
 * @probe_serial: number of the last probe
 * @probes: &struct exchange by probe number
 * @watch_timer: next look for callers that went away
 * @drain_timer: checks whether a planned stop is over
 * @drain: the time that a planned stop leaves
 * @close_until_us: when it gives up closing @http; 0: not yet begun
 * @unfinished: requests that it cut off
 * @http: the HTTP server, once it is started
 * @workspaces: requests in progress of each workspace
 * @inflight: exchanges not yet ended, over all threads
 * @reading: requests whose body is still on its way
 * @unanswered: requests whose head has arrived and whose answer is not sent
 * @usable: upstreams that take new work, for readiness
 * @leaving: no new work
 */
struct entry {
    struct pgw_entry_settings *settings;
    const struct pgw_place_policy *policy;
    struct pgw_loop *loop;
    struct pgw_sync *sync;
    struct pgw_config_set *set;
    struct pgw_config_feed *feed;
    struct pgw_suspects *suspects;
    struct pgw_loss loss;
    struct lost_marks lost;
    struct pgw_config *config;
    struct pgw_rcu *snapshot;
    GHashTable *upstreams;
    uint64_t unreachable;
    GHashTable *pools;
    struct pgw_members *members;
    struct pgw_member_view *view;
    struct pgw_timer list_timer;
    struct pgw_store_worker *worker;
    GHashTable *exchanges;
    struct pgw_retry_budget *budget;
    struct pgw_trace *trace;
    uint64_t incarnation;
    uint64_t turn;
    uint64_t probe_serial;
    GHashTable *probes;
    struct pgw_timer watch_timer;
    struct pgw_timer drain_timer;
    struct pgw_drain_window drain;
    uint64_t close_until_us;
    unsigned unfinished;
    struct http *http;
    struct workspace_count *workspaces;
    atomic_uint inflight;
    atomic_uint reading;
    atomic_uint unanswered;
    atomic_uint usable;
    atomic_bool leaving;
};

/* entry.c */
struct entry *entry_new(struct pgw_entry_settings *settings, GError **error);
void entry_free(struct entry *entry);
/** entry_drain() - begin a planned stop; on the loop's thread */
void entry_drain(struct entry *entry);
/** entry_finish() - refuse what is left; after the loop has ended */
void entry_finish(struct entry *entry);
bool entry_is_ready(struct entry *entry, char **reason);
char *entry_status(struct entry *entry);

#endif
