#ifndef PGW_CONFIG_FEED_H
#define PGW_CONFIG_FEED_H

#include "libparsleygw/suspects.h"
#include "libparsleygw/sync.h"
#include "parsleygw/watch.h"
#include "util/trace.h"

/**
 * DOC: From the store to a process's replica
 *
 * Binds the watch, which has threads of its own, to the loop that owns the
 * replica: batches become tasks of the loop.
 */

struct pgw_config_feed;

/**
 * struct pgw_config_feed_options - one process's feed
 * @store_url: object API
 * @instance: this process
 * @zone: its availability zone
 * @loop: owner of the replica
 * @sync: the replica; must outlive the feed
 * @set: its objects
 * @suspects: copy of the quarantine records; must outlive the feed
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

/** pgw_config_feed_new() - start to watch; %PGW_ERROR_INVALID for the URL */
struct pgw_config_feed *
pgw_config_feed_new(const struct pgw_config_feed_options *options,
                    GError **error);

/**
 * pgw_config_feed_stop() - deliver what was read and read nothing more
 * @feed: the feed; the loop must not be running any more
 *
 * To be called while all that hears of changes is still there. The store
 * client stays until pgw_config_feed_free().
 */
void pgw_config_feed_stop(struct pgw_config_feed *feed);

/** pgw_config_feed_free() - stop; the loop must not be running any more */
void pgw_config_feed_free(struct pgw_config_feed *feed);

/**
 * pgw_config_feed_update() - the replica changed; on the loop's thread
 * @feed: the feed
 * @config: the new snapshot
 *
 * Tells the watch who may share its work in this zone and what is held.
 */
void pgw_config_feed_update(struct pgw_config_feed *feed,
                            const struct pgw_config *config);

/** pgw_config_feed_store() - the store client, shared with other users */
struct pgw_store *pgw_config_feed_store(struct pgw_config_feed *feed);

/** pgw_config_feed_report_store_state() - note when the store went or came
 * back */
void pgw_config_feed_report_store_state(struct pgw_config_feed *feed,
                                        struct pgw_trace *trace);

/** pgw_config_feed_get_watch_state() - whether the store can be reached; any
 * thread */
void pgw_config_feed_get_watch_state(struct pgw_config_feed *feed,
                                     struct pgw_watch_state *out);

#endif
