#ifndef PGW_ENTRY_UPSTREAM_H
#define PGW_ENTRY_UPSTREAM_H

#include "entry/entry.h"

/**
 * struct upstream - the sidecar of one upstream as this entry knows it
 * @entry: owner
 * @id: instance id; for a seed its address
 * @zone: availability zone
 * @address: of the sidecar
 * @is_seed: only asked for configuration
 * @declared: configuration still names it
 * @link: connection, NULL while there is none
 * @greeted: it said Hello on this connection
 * @incarnation: of its process, as it said in Hello
 * @failures: connections that failed in a row
 * @retry: next connection, or next look at a silent one
 * @busy_us: when @attempts was last empty before an attempt
 * @asked_us: when it was last asked for a sign of life
 * @asked: in the entry's list of those that have not given it yet
 * @attempts: exchanges whose current attempt runs there
 * @charge: what this entry sent there of late
 * @engine: incarnation of its engine, as it last said
 */
struct upstream {
    struct entry *entry;
    char *id;
    char *zone;
    struct pgw_address address;
    bool is_seed;
    bool declared;
    struct pgw_link *link;
    bool greeted;
    uint64_t incarnation;
    unsigned failures;
    struct pgw_timer retry;
    uint64_t busy_us;
    uint64_t asked_us;
    struct pgw_list asked;
    struct pgw_list attempts;
    struct pgw_place_charge charge;
    uint64_t engine;
};

/** upstream_can_talk() - connected and greeted, also while leaving */
bool upstream_can_talk(const struct upstream *upstream);

/** upstream_begin() - an attempt is about to be listed there */
void upstream_begin(struct upstream *upstream);

/** upstream_ask() - close its link soon unless a word comes */
void upstream_ask(struct upstream *upstream);

/** upstreams_apply() - bring the table in line with the configuration */
void upstreams_apply(struct entry *entry);

/** upstreams_add_seeds() - connect to the settings' seeds */
bool upstreams_add_seeds(struct entry *entry, GError **error);

/** upstreams_free() - close everything; the loop must not be running */
void upstreams_free(struct entry *entry);

/** pools_refresh() - rebuild the pools if membership has changed */
void pools_refresh(struct entry *entry);

/** pool_free() - for the table of pools */
void pool_free(gpointer data);

/** pool_find() - the pool as membership stands now, or NULL */
struct pool *pool_find(struct entry *entry, const char *name);

/**
 * pool_nodes() - upstreams as a request of one weights version sees them
 * @pool: the pool
 * @version: the version
 *
 * Return: parallel to @pool's upstreams; NULL when none runs that version.
 */
const struct pgw_place_node *pool_nodes(const struct pool *pool,
                                        const char *version);

#endif
