#ifndef PARSLEYGW_MEMBER_H
#define PARSLEYGW_MEMBER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "parsleygw/config.h"
#include "parsleygw/store.h"

G_BEGIN_DECLS

/**
 * DOC: Membership: which upstreams may receive requests
 *
 * Membership merges three sources. The operators' declarations assign
 * upstreams to pools. The platform's list names the instances that exist or
 * leave, with a lag. The state of the connections to the sidecars, the
 * sidecars' incarnations and the status that they send show what works. The
 * merge is pure: times are passed in.
 *
 * A tracker (&struct pgw_members) belongs to one thread. The views that it
 * builds are immutable, reference-counted and may be read by all threads.
 */

/**
 * enum pgw_member_state - merged state of an upstream
 * @PGW_MEMBER_USABLE: may receive new requests
 * @PGW_MEMBER_SUSPECT: no working connection, or the upstream is down;
 *   receives requests only if no usable upstream is left
 * @PGW_MEMBER_LEAVING: receives no new requests; running ones are completed
 * @PGW_MEMBER_GONE: no longer exists
 */
enum pgw_member_state {
    PGW_MEMBER_USABLE,
    PGW_MEMBER_SUSPECT,
    PGW_MEMBER_LEAVING,
    PGW_MEMBER_GONE,
};

/** pgw_member_state_name() - "usable", "suspect", "leaving" or "gone" */
const char *pgw_member_state_name(enum pgw_member_state state);

/**
 * enum pgw_member_connection - this process's connection to the sidecar
 * @PGW_MEMBER_UNTRIED: not tried yet; assumed to work, so that a restarted
 *   process ranks upstreams as it did before
 * @PGW_MEMBER_UP: the sidecar has sent Hello
 * @PGW_MEMBER_DOWN: refused, lost or unresponsive
 */
enum pgw_member_connection {
    PGW_MEMBER_UNTRIED,
    PGW_MEMBER_UP,
    PGW_MEMBER_DOWN,
};

/**
 * enum pgw_member_listing - state of an instance in the platform's list
 * @PGW_MEMBER_UNLISTED: no list was read yet
 * @PGW_MEMBER_LISTED: live
 * @PGW_MEMBER_LIST_LEAVING: the platform is about to remove it
 * @PGW_MEMBER_ABSENT: not in the list
 */
enum pgw_member_listing {
    PGW_MEMBER_UNLISTED,
    PGW_MEMBER_LISTED,
    PGW_MEMBER_LIST_LEAVING,
    PGW_MEMBER_ABSENT,
};

/**
 * struct pgw_member_facts - everything known about one upstream
 * @declared: an operator's declaration exists
 * @declared_leaving: the declaration says "leaving"
 * @listing: state in the platform's list
 * @list_us: when that list was read
 * @connection: this process's connection to the sidecar
 * @down_us: since when @connection is down
 * @incarnation: of the sidecar's process; 0: none seen
 * @announced_leaving: the sidecar or the list announced that this incarnation
 *   leaves
 * @upstream_alive: the sidecar reports that its upstream answers
 */
struct pgw_member_facts {
    bool declared;
    bool declared_leaving;
    enum pgw_member_listing listing;
    uint64_t list_us;
    enum pgw_member_connection connection;
    uint64_t down_us;
    uint64_t incarnation;
    bool announced_leaving;
    bool upstream_alive;
};

/**
 * pgw_member_evaluate_state() - state that follows from the facts
 * @facts: the facts
 * @lag_us: longest lag of the platform's list
 */
enum pgw_member_state
pgw_member_evaluate_state(const struct pgw_member_facts *facts,
                          uint64_t lag_us);

/**
 * struct pgw_member - one upstream in a view
 * @upstream: its declaration
 * @state: see &enum pgw_member_state
 * @incarnation: of its sidecar; 0: none seen
 * @engine: incarnation of its engine, as the sidecar reports it; 0: none
 * @weights: weights version that its engine runs; empty: not known
 * @loading: the engine is loading weights and accepts no requests meanwhile
 */
struct pgw_member {
    const struct pgw_upstream *upstream;
    enum pgw_member_state state;
    uint64_t incarnation;
    uint64_t engine;
    char weights[PGW_CONFIG_NAME_MAX + 1];
    bool loading;
};

struct pgw_member_view;
struct pgw_members;

/**
 * struct pgw_member_options - options of the merge
 * @list_lag_us: longest lag of the platform's list
 */
struct pgw_member_options {
    uint64_t list_lag_us;
};

#define PGW_MEMBER_OPTIONS_INIT                                               \
    {                                                                         \
        .list_lag_us = 60000000                                               \
    }

struct pgw_members *pgw_members_new(const struct pgw_member_options *options);
void pgw_members_free(struct pgw_members *members);

/** pgw_members_set_config() - use the declarations of @config; takes a
 * reference */
void pgw_members_set_config(struct pgw_members *members,
                            struct pgw_config *config);

/** pgw_members_set_list() - apply the platform's list, read at @now_us */
void pgw_members_set_list(struct pgw_members *members,
                          const struct pgw_store_instances *list,
                          uint64_t now_us);

/**
 * pgw_members_connected() - a sidecar sent Hello
 * @members: the tracker
 * @id: its instance
 * @incarnation: of its process, not 0
 *
 * A different incarnation than before is a new process; the status of the old
 * one is discarded.
 */
void pgw_members_connected(struct pgw_members *members, const char *id,
                           uint64_t incarnation);

/**
 * pgw_members_disconnected() - a connection was lost or failed
 * @members: the tracker
 * @id: the instance
 * @incarnation: whose connection was lost; 0: none could be established
 * @now_us: current time
 *
 * The loss of an older incarnation's connection is ignored.
 */
void pgw_members_disconnected(struct pgw_members *members, const char *id,
                              uint64_t incarnation, uint64_t now_us);

/**
 * struct pgw_member_status - status that a sidecar sends (message State)
 * @leaving: it accepts no new requests; final for this incarnation
 * @upstream_alive: its upstream answers
 * @engine: incarnation of its engine
 * @weights: weights version of its engine
 * @loading: the engine is loading weights
 */
struct pgw_member_status {
    bool leaving;
    bool upstream_alive;
    uint64_t engine;
    const char *weights;
    bool loading;
};

/**
 * pgw_members_apply_status() - apply a sidecar's status
 * @members: the tracker
 * @id: the instance
 * @incarnation: of the sender; the status of an older process is ignored
 * @status: the status
 */
void pgw_members_apply_status(struct pgw_members *members, const char *id,
                              uint64_t incarnation,
                              const struct pgw_member_status *status);

/**
 * pgw_members_build() - view of the current facts
 *
 * Return: a reference to the last view if nothing changed, else to a new one
 * whose version is one higher; NULL before the first configuration.
 */
struct pgw_member_view *pgw_members_build(struct pgw_members *members);

struct pgw_member_view *pgw_member_view_ref(struct pgw_member_view *view);
void pgw_member_view_unref(struct pgw_member_view *view);

/** pgw_member_view_version() - grows by one with each change */
uint64_t pgw_member_view_version(const struct pgw_member_view *view);

/** pgw_member_view_config() - configuration snapshot of the view */
const struct pgw_config *
pgw_member_view_config(const struct pgw_member_view *view);

/**
 * pgw_member_view_pool() - upstreams of a pool, sorted by id
 * @view: the view
 * @pool: name of the pool
 * @n: receives the number
 *
 * Return: array owned by the view, in the order of pgw_config_upstreams();
 * NULL when @n is 0. Contains leaving and gone upstreams too.
 */
const struct pgw_member *
pgw_member_view_pool(const struct pgw_member_view *view, const char *pool,
                     size_t *n);

/** pgw_member_view_find() - by id; NULL when it is not declared */
const struct pgw_member *
pgw_member_view_find(const struct pgw_member_view *view, const char *id);

G_END_DECLS

#endif
