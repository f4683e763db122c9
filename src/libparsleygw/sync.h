#ifndef PGW_SYNC_H
#define PGW_SYNC_H

#include "libparsleygw/link.h"
#include "parsleygw/config.h"

/**
 * DOC: Replication of the configuration between processes
 *
 * Each process holds a replica of the configuration set. A changed object is
 * pushed at once to a few random links; a periodic exchange of summaries with
 * one random link repairs what a push missed (anti-entropy). The set applies
 * only higher versions, so objects may be reordered, lost or duplicated.
 */

struct pgw_sync;

/**
 * struct pgw_sync_options - options of a replica
 * @loop: event loop of all its links
 * @set: the objects; owned by the caller, used on the loop's thread only
 * @on_change: called after objects changed, at most once per loop iteration
 * @context: passed to @on_change
 * @interval_us: mean time between two exchanges of summaries
 * @push_links: number of links that a change is pushed to
 */
struct pgw_sync_options {
    struct pgw_loop *loop;
    struct pgw_config_set *set;
    void (*on_change)(void *context);
    void *context;
    uint64_t interval_us;
    unsigned push_links;
};

#define PGW_SYNC_OPTIONS_INIT                                                 \
    {                                                                         \
        .interval_us = 500000, .push_links = 4                                \
    }

struct pgw_sync *pgw_sync_new(const struct pgw_sync_options *options);
void pgw_sync_free(struct pgw_sync *sync);

/** pgw_sync_add_link() - start to exchange with a peer that sent Hello */
void pgw_sync_add_link(struct pgw_sync *sync, struct pgw_link *link);

/** pgw_sync_remove_link() - remove a closing link; unknown links are ignored
 */
void pgw_sync_remove_link(struct pgw_sync *sync, struct pgw_link *link);

/**
 * pgw_sync_handle_frame() - handle a frame received on a link
 * @sync: the replica
 * @link: the link that received it
 * @type: the frame's type
 * @message: the message, not consumed
 *
 * Return: false if frames of this type are not part of replication.
 */
bool pgw_sync_handle_frame(struct pgw_sync *sync, struct pgw_link *link,
                           enum pgw_frame_type type,
                           const ProtobufCMessage *message);

/** pgw_sync_mark_listed() - all kinds were listed from the store */
void pgw_sync_mark_listed(struct pgw_sync *sync);

/** pgw_sync_mark_seeded() - the set holds a full copy from a bootstrap file
 */
void pgw_sync_mark_seeded(struct pgw_sync *sync);

/**
 * pgw_sync_is_settled() - whether the replica is known to be complete
 * @sync: the replica
 *
 * True once all kinds were listed from the store, or a peer with a complete
 * replica turned out to hold nothing newer. Before that, a starting process
 * may hold only part of the configuration and would refuse a profile that
 * exists. May be called by any thread; once true, stays true.
 */
bool pgw_sync_is_settled(const struct pgw_sync *sync);

/**
 * pgw_sync_apply_object() - apply an object read from the store
 * @sync: the replica
 * @kind: kind of the object
 * @name: its name
 * @version: the store's version
 * @value: JSON text; NULL: deleted
 * @is_new_change: a change just made, which is pushed to peers; false for an
 *   object of a full list
 * @error: as pgw_config_set_apply()
 */
bool pgw_sync_apply_object(struct pgw_sync *sync, const char *kind,
                           const char *name, uint64_t version,
                           const char *value, bool is_new_change,
                           GError **error);

#endif
