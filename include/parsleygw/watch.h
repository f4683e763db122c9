#ifndef PARSLEYGW_WATCH_H
#define PARSLEYGW_WATCH_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "parsleygw/config.h"
#include "parsleygw/store.h"

G_BEGIN_DECLS

/**
 * DOC: Watching the store's configuration
 *
 * Two processes of each availability zone, chosen by a pure rule, watch the
 * store and pass on what they read; the others hear of changes from their
 * peers. As nobody watches the watchers, every process also looks into the
 * store by itself now and then, the more seldom the more processes the zone
 * has; one that finds a change which its peers should have told it watches
 * for a while as well. So a zone whose chosen watchers are dead, cut off or
 * stuck is served again within seconds, without a lock or an election.
 */

#define PGW_WATCHERS_PER_ZONE 2

/**
 * pgw_watch_is_selected() - does this process watch the store for its zone?
 * @self: instance id of this process
 * @peers: ids of the processes of the zone that may watch; one that is not
 *   among them does not, unless there are none at all
 * @n: number of @peers
 * @zone: availability zone
 * @k: watchers wanted
 *
 * Rendezvous hashing: with the same @peers all processes choose alike; with
 * different views somewhat more than @k watch.
 */
bool pgw_watch_is_selected(const char *self, const char *const *peers,
                           size_t n, const char *zone, unsigned k);

/**
 * pgw_watch_poll_pause_us() - pause between two own looks of a non-watcher
 * @n: processes in the zone
 * @interval_us: mean time between two looks of the whole zone
 * @random: 0 to 1
 *
 * Return: microseconds, uniform around @n times @interval_us.
 */
uint64_t pgw_watch_poll_pause_us(size_t n, uint64_t interval_us,
                                 double random);

/**
 * pgw_watch_backoff_us() - pause after failed calls
 * @failures: failures in a row, at least 1
 * @limit_us: longest pause
 * @random: 0 to 1
 *
 * Return: microseconds; doubles from 0.2 s up to @limit_us, jittered over
 * its whole upper half.
 */
uint64_t pgw_watch_backoff_us(unsigned failures, uint64_t limit_us,
                              double random);

/**
 * struct pgw_watch_batch - what one call to the store brought
 * @kind: kind of the objects
 * @is_full_list: a list: objects that are missing from it do not exist
 * @list: the objects, or changes, and the collection's version
 */
struct pgw_watch_batch {
    const char *kind;
    bool is_full_list;
    struct pgw_store_list list;
};

void pgw_watch_batch_free(struct pgw_watch_batch *batch);

/**
 * pgw_watch_batch_apply() - apply a batch to a set, through a function
 * @batch: the batch
 * @set: the set
 * @func: receives each object that is newer than the set's, deleted ones
 *   with a NULL value; applies it to @set, by pgw_config_set_apply() or what
 *   calls it
 * @data: handed to @func
 *
 * A whole list also says which objects of the set were deleted while nobody
 * watched: those it misses, unless they are newer than the list itself.
 */
void pgw_watch_batch_apply(const struct pgw_watch_batch *batch,
                           struct pgw_config_set *set,
                           pgw_config_object_func func, void *data);

struct pgw_watch;

/**
 * struct pgw_watch_options - how to watch
 * @store: the store; must outlive the watch
 * @self: instance id of this process
 * @zone: its availability zone
 * @kinds: NULL-terminated kinds; NULL: the four kinds of configuration
 * @on_batch: takes a batch over, on a thread of the watch: hand it to the
 *   thread that owns the set, release with pgw_watch_batch_free()
 * @data: handed to @on_batch
 * @wait_ms: longest wait of one watch call; also of pgw_watch_free()
 * @peer_grace_us: time for peers to bring a first copy before the store is
 * asked
 * @poll_interval_us: see pgw_watch_poll_pause_us()
 * @fallback_watch_us: how long a process that found missed changes goes on
 * watching
 * @relist_interval_us: time after which a watcher lists again to reconcile
 * @max_backoff_us: longest pause after failures
 * @call_timeout_us: time for one call beyond its wait
 */
struct pgw_watch_options {
    struct pgw_store *store;
    const char *self;
    const char *zone;
    const char *const *kinds;
    void (*on_batch)(void *data, struct pgw_watch_batch *batch);
    void *data;
    uint32_t wait_ms;
    uint64_t peer_grace_us;
    uint64_t poll_interval_us;
    uint64_t fallback_watch_us;
    uint64_t relist_interval_us;
    uint64_t max_backoff_us;
    uint64_t call_timeout_us;
};

#define PGW_WATCH_OPTIONS_INIT                                                \
    {                                                                         \
        .wait_ms = 2000, .peer_grace_us = 500000,                             \
        .poll_interval_us = 2000000, .fallback_watch_us = 30000000,           \
        .relist_interval_us = (uint64_t)3600 * 1000000,                       \
        .max_backoff_us = 10000000, .call_timeout_us = 10000000               \
    }

/** pgw_watch_new() - start the threads, one a kind */
struct pgw_watch *pgw_watch_new(const struct pgw_watch_options *options);

/** pgw_watch_free() - stop and wait for the threads */
void pgw_watch_free(struct pgw_watch *watch);

/**
 * pgw_watch_set_peers() - who may watch in this zone, from membership
 * @watch: the watch
 * @peers: ids; copied
 * @n: number of @peers
 *
 * Before the first call a process takes itself to be alone.
 */
void pgw_watch_set_peers(struct pgw_watch *watch, const char *const *peers,
                         size_t n);

/**
 * pgw_watch_set_local_version() - highest version of a kind that this process
 * holds
 *
 * Call after changes came from peers. While it is 0 for a kind, a process
 * that does not watch lists it from the store after the grace.
 */
void pgw_watch_set_local_version(struct pgw_watch *watch, const char *kind,
                                 uint64_t version);

/**
 * struct pgw_watch_state - for /readyz, metrics and logs
 * @reachable: the last call to the store was answered
 * @watching: chosen as a watcher, or watching for a while
 * @calls: calls made to the store
 * @failures: calls that failed
 * @last_error: why the last one failed; empty when @reachable
 */
struct pgw_watch_state {
    bool reachable;
    bool watching;
    uint64_t calls;
    uint64_t failures;
    char last_error[160];
};

void pgw_watch_get_state(struct pgw_watch *watch, struct pgw_watch_state *out);

G_END_DECLS

#endif
