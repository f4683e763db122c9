#ifndef PGW_CONFIG_FEED_H
#define PGW_CONFIG_FEED_H

#include "libparsleygw/suspects.h"
#include "libparsleygw/sync.h"
#include "parsleygw/watch.h"
#include "util/trace.h"

/**
 * DOC: Feeds changes of the store into a process's replica
 *
 * The watch has its own threads, and the replica belongs to an event loop.
 * Each batch of the watch is applied by a task of that loop.
 */

struct pgw_config_feed;

/**
 * struct pgw_config_feed_options - options of a feed
 * @store_url: URL of the object API
 * @instance: name of this instance
 * @zone: its availability zone
 * @loop: event loop that owns the replica
 * @sync: the replica; must outlive the feed
 * @set: objects of the replica
 * @suspects: replica of the quarantine records; must outlive the feed
 */
struct pgw_config_feed_options {
    const char *store_url;
    const char *instance;
    const char *zone;
    struct pgw_loop *loop;
    struct pgw_sync *sync;
    struct pgw_config_set *set;
    struct pgw_suspects *suspects;
};

/** pgw_config_feed_new() - start to watch the store; %PGW_ERROR_INVALID if the
 * URL is malformed */
struct pgw_config_feed *
pgw_config_feed_new(const struct pgw_config_feed_options *options,
                    GError **error);

/**
 * pgw_config_feed_stop() - stop the watch and apply the batches already read
 * @feed: the feed; the loop must have stopped
 *
 * Must be called before anything that handles changes is freed. The store
 * client remains valid until pgw_config_feed_free().
 */
void pgw_config_feed_stop(struct pgw_config_feed *feed);

/** pgw_config_feed_free() - stop and free; the loop must have stopped */
void pgw_config_feed_free(struct pgw_config_feed *feed);

/**
 * pgw_config_feed_update() - update the watch after the replica changed
 * @feed: the feed
 * @config: the new snapshot
 *
 * Passes the watch the instances of this zone that share the work of watching
 * and the versions in the replica. Must be called on the loop's thread.
 */
void pgw_config_feed_update(struct pgw_config_feed *feed,
                            const struct pgw_config *config);

/** pgw_config_feed_store() - the store client, which others may share */
struct pgw_store *pgw_config_feed_store(struct pgw_config_feed *feed);

/** pgw_config_feed_report_store_state() - log and trace when the
 * store becomes unreachable or reachable again */
void pgw_config_feed_report_store_state(struct pgw_config_feed *feed,
                                        struct pgw_trace *trace);

/** pgw_config_feed_get_watch_state() - state of the watch; may be called
 * by any thread */
void pgw_config_feed_get_watch_state(struct pgw_config_feed *feed,
                                     struct pgw_watch_state *out);

#endif
