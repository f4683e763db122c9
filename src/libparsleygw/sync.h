#ifndef PGW_SYNC_H
#define PGW_SYNC_H

#include "libparsleygw/link.h"
#include "parsleygw/config.h"

/**
 * DOC: Configuration between our processes
 *
 * Each process holds a configuration set. What is new to it goes at once to a
 * few random links (push); a periodic exchange of summaries with one random
 * link repairs whatever a push missed (anti-entropy). The set applies only
 * higher versions, so order, loss and repetition do not matter.
 */

struct pgw_sync;

/**
 * struct pgw_sync_options - one process's replica
 * @loop: loop of all its links
 * @set: the objects; owned by the caller, used on the loop's thread only
 * @on_change: some object changed; called once a loop turn at most
 * @context: handed to @on_change
 * @interval_us: mean time between two exchanges of summaries
 * @push_links: links that a change is pushed to
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

/** pgw_sync_add_link() - a peer said Hello: exchange with it from now on */
void pgw_sync_add_link(struct pgw_sync *sync, struct pgw_link *link);

/** pgw_sync_remove_link() - the link is closing; unknown links are ignored */
void pgw_sync_remove_link(struct pgw_sync *sync, struct pgw_link *link);

/**
 * pgw_sync_handle_frame() - handle a frame of a link
 * @sync: the replica
 * @link: where it came from
 * @type: the frame's type
 * @message: the message, not consumed
 *
 * Return: false when the type is none of its own.
 */
bool pgw_sync_handle_frame(struct pgw_sync *sync, struct pgw_link *link,
                           enum pgw_frame_type type,
                           const ProtobufCMessage *message);

/** pgw_sync_mark_listed() - each kind was read from the store as a whole */
void pgw_sync_mark_listed(struct pgw_sync *sync);

/** pgw_sync_mark_seeded() - the set holds a whole copy that an operator gave
 */
void pgw_sync_mark_seeded(struct pgw_sync *sync);

/**
 * pgw_sync_is_settled() - all was read from the store, or a peer that holds
 *                         all was found to hold nothing newer than we do
 * @sync: the replica
 *
 * Before that a process that starts has a part of the configuration at most:
 * it would refuse a profile that exists. Any thread; never false again.
 */
bool pgw_sync_is_settled(const struct pgw_sync *sync);

/**
 * pgw_sync_apply_object() - an object read from the store
 * @sync: the replica
 * @kind: kind of the object
 * @name: its name
 * @version: the store's version
 * @value: JSON text; NULL: deleted
 * @fresh: a change just made, to be pushed on; not one of a whole list
 * @error: as pgw_config_set_apply()
 */
bool pgw_sync_apply_object(struct pgw_sync *sync, const char *kind,
                           const char *name, uint64_t version,
                           const char *value, bool fresh, GError **error);

#endif
