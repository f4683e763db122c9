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
 * @leaving: its own word, of this connection
 * @declared_leaving: the operators' word
 * @alive: its upstream answers
 * @engine: incarnation of its engine
 * @failures: connections that failed in a row
 * @retry: next connection, or next look at a silent one
 * @attempts: exchanges whose current attempt runs there
 * @charge: what this entry sent there of late
 * @running: as last told
 * @waiting: as last told
 * @queued_tokens: as last told
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
    bool leaving;
    bool declared_leaving;
    bool alive;
    uint64_t engine;
    unsigned failures;
    struct pgw_timer retry;
    struct pgw_list attempts;
    struct pgw_place_charge charge;
    uint32_t running;
    uint32_t waiting;
    uint32_t queued_tokens;
};

/** upstream_is_usable() - new work may go there */
bool upstream_is_usable(const struct upstream *upstream);

/** upstream_can_talk() - connected and greeted, also while leaving */
bool upstream_can_talk(const struct upstream *upstream);

/** upstreams_apply() - bring the table in line with the configuration */
void upstreams_apply(struct entry *entry);

/** upstreams_add_seeds() - connect to the settings' seeds */
bool upstreams_add_seeds(struct entry *entry, GError **error);

/** upstreams_free() - close everything; the loop must not be running */
void upstreams_free(struct entry *entry);

/** pool_find() - the pool's view with @usable up to date, or NULL */
struct pool *pool_find(struct entry *entry, const char *name);

#endif
