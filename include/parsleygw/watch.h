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
 * Rendezvous hashing selects two processes of each availability zone as
 * watchers. They watch the store and send changes to their peers by gossip.
 * Every other process polls the store at intervals that grow with the number
 * of processes in the zone. A process whose poll finds a change that gossip
 * did not bring becomes a fallback watcher for a limited time. A zone whose
 * selected watchers have crashed, are partitioned or hang thus receives
 * changes again within seconds, without a lock or an election.
 */

#define PGW_WATCHERS_PER_ZONE 2

/**
 * pgw_watch_is_selected() - whether a process is a watcher of its zone
 * @self: instance id of the process
 * @peers: instance ids of the candidates in the zone; a process that is not
 *   among them is not selected, unless @n is 0
 * @n: number of @peers
 * @zone: availability zone
 * @k: number of watchers to select
 *
 * Uses rendezvous hashing: processes with the same @peers select the same
 * watchers. While views of membership differ, slightly more than @k processes
 * may watch.
 */
bool pgw_watch_is_selected(const char *self, const char *const *peers,
                           size_t n, const char *zone, unsigned k);

/**
 * pgw_watch_poll_pause_us() - pause between two polls by a process that is no
 * watcher
 * @n: processes in the zone
 * @interval_us: mean time between two polls by any process of the zone
 * @random: random number from 0 to 1
 *
 * Return: microseconds, uniformly distributed from 0.5 to 1.5 times @n times
 * @interval_us.
 */
uint64_t pgw_watch_poll_pause_us(size_t n, uint64_t interval_us,
                                 double random);

/**
 * pgw_watch_backoff_us() - pause after failed calls
 * @failures: consecutive failures, at least 1
 * @limit_us: longest pause
 * @random: random number from 0 to 1
 *
 * Return: microseconds; the bound doubles from 0.2 s up to @limit_us, and the
 * jitter covers the upper half of the bound.
 */
uint64_t pgw_watch_backoff_us(unsigned failures, uint64_t limit_us,
                              double random);

/**
 * struct pgw_watch_batch - result of one call to the store
 * @kind: kind of the objects
 * @is_full_list: @list contains all objects of @kind, not only changes
 * @list: the objects or changes, and the collection's version
 */
struct pgw_watch_batch {
    const char *kind;
    bool is_full_list;
    struct pgw_store_list list;
};

void pgw_watch_batch_free(struct pgw_watch_batch *batch);

/**
 * pgw_watch_batch_apply() - pass the changes in a batch to a function
 * @batch: the batch
 * @set: the local set
 * @func: called for each object that is newer than the one in @set, with a
 *   NULL value for a deleted object; applies it to @set, directly or
 *   indirectly by pgw_config_set_apply()
 * @data: passed to @func
 *
 * For a full list, objects of @set that the list lacks are passed to @func as
 * deleted, unless they are newer than the list.
 */
void pgw_watch_batch_apply(const struct pgw_watch_batch *batch,
                           struct pgw_config_set *set,
                           pgw_config_object_func func, void *data);

struct pgw_watch;

/**
 * struct pgw_watch_options - settings of a watch
 * @store: the store; must outlive the watch
 * @self: instance id of this process
 * @zone: availability zone of this process
 * @kinds: NULL-terminated kinds; NULL: the four kinds of configuration
 * @on_batch: receives ownership of a batch, on a thread of the watch; passes
 *   it to the thread that owns the set; release with pgw_watch_batch_free()
 * @data: passed to @on_batch
 * @wait_ms: longest long poll of one watch call; pgw_watch_free() may block
 *   as long
 * @peer_grace_us: time for peers to send a first copy before the store is
 *   called
 * @poll_interval_us: mean time between two polls by any process of the zone
 * @fallback_watch_us: time for which a process watches after its poll found a
 *   change that peers did not send
 * @relist_interval_us: time after which a watcher lists all objects again
 * @max_backoff_us: longest pause after failed calls
 * @call_timeout_us: timeout of one call, in addition to its long poll
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

/** pgw_watch_new() - start one thread per kind */
struct pgw_watch *pgw_watch_new(const struct pgw_watch_options *options);

/** pgw_watch_free() - stop and join the threads */
void pgw_watch_free(struct pgw_watch *watch);

/**
 * pgw_watch_set_peers() - set the candidates for watcher in this zone
 * @watch: the watch
 * @peers: instance ids from membership; not retained
 * @n: number of @peers
 *
 * Before the first call the process acts as a watcher.
 */
void pgw_watch_set_peers(struct pgw_watch *watch, const char *const *peers,
                         size_t n);

/**
 * pgw_watch_set_local_version() - set the highest local version of a kind
 *
 * Call after applying changes from peers. A process that is no watcher lists
 * a kind from the store if its local version is still 0 after the grace
 * period.
 */
void pgw_watch_set_local_version(struct pgw_watch *watch, const char *kind,
                                 uint64_t version);

/**
 * struct pgw_watch_state - state for /readyz, metrics and logs
 * @reachable: the last call to the store succeeded
 * @watching: the process is a selected or fallback watcher
 * @calls: number of calls to the store
 * @failures: number of failed calls
 * @last_error: error of the last call; empty when @reachable
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
