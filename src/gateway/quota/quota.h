#ifndef PGW_GATEWAY_QUOTA_QUOTA_H
#define PGW_GATEWAY_QUOTA_QUOTA_H

#include "gateway/quota/quota_share.h"
#include "gateway/upstream/upstream_table.h"
#include <glib.h>

/**
 * DOC: Quotas of workspaces at an entry
 *
 * Every request of a workspace with a quota is checked before an upstream is
 * chosen for it. Quotas protect the other workspaces: a request beyond the
 * quota is refused at once, without queueing and without reaching an upstream.
 *
 * One sidecar owns the quota of a workspace. It is found by rendezvous hashing
 * over the list of upstreams, so that all entries use the same one. Entries
 * send the owner asks (QuotaAsk), which it answers, and reports of spent
 * units.
 */

/* Maximum number of sidecars that own quotas: those with the lowest hashes.
 * Each entry is connected to all of them and needs a file descriptor for each,
 * of a few thousand that it may open. */
#define PGW_QUOTA_OWNERS_MAX 512

/**
 * struct pgw_quota_ask - message to an owner
 * @ask: number of the ask at this entry, 0: a report that needs no answer
 * @request: contents of the message
 * @is_fallback: the receiver is asked in place of the owner, which does not
 *   answer
 */
struct pgw_quota_ask {
    uint64_t ask;
    struct pgw_quota_request request;
    bool is_fallback;
};

/**
 * struct pgw_quota_units - units of a workspace's quota
 * @counts_tokens: the units are tokens; else requests
 * @default_tokens: tokens assumed for a request that does not state any
 */
struct pgw_quota_units {
    bool counts_tokens;
    double default_tokens;
};

/** pgw_quota_cost() - units that a request costs; @tokens: of its prompt and
 * its answer, if @has_tokens */
double pgw_quota_cost(const struct pgw_quota_units *units, bool has_tokens,
                      double tokens);

/**
 * struct pgw_quota_owners - sidecars that own quotas
 * @items: their upstreams; the list holds references
 * @count: number of @items
 * @unanswered_since_us: by item, when the oldest unanswered ask was sent, 0:
 *   none is unanswered
 * @unavailable_until_us: by item, until when others are asked in its place
 */
struct pgw_quota_owners {
    struct pgw_upstream *items[PGW_QUOTA_OWNERS_MAX];
    size_t count;
    uint64_t unanswered_since_us[PGW_QUOTA_OWNERS_MAX];
    uint64_t unavailable_until_us[PGW_QUOTA_OWNERS_MAX];
};

/** pgw_quota_owners_set() - select the owners from a list of upstreams */
void pgw_quota_owners_set(struct pgw_quota_owners *owners,
                          const struct pgw_list *upstreams);
void pgw_quota_owners_clear(struct pgw_quota_owners *owners);

/**
 * pgw_quota_owners_rank() - rank owners for a workspace, its owner first
 * @out: receives positions among the owners
 * @max_count: room in @out
 * @owners: the owners
 * @workspace: pgw_quota_key() of the workspace
 *
 * Return: the number of positions.
 */
size_t pgw_quota_owners_rank(size_t *out, size_t max_count,
                             const struct pgw_quota_owners *owners,
                             uint64_t workspace);

/** pgw_quota_owners_is_available() - whether the owner at a position can be
 * asked; an owner with an ask that timed out cannot for a while */
bool pgw_quota_owners_is_available(struct pgw_quota_owners *owners,
                                   size_t position, uint64_t now_us);

/** pgw_quota_owners_record_answer() - an upstream's sidecar has answered */
void pgw_quota_owners_record_answer(struct pgw_quota_owners *owners,
                                    const struct pgw_upstream *upstream);

struct pgw_exchange;
struct pgw_gateway;
struct pgw_quota;

/** pgw_quota_new() - create the quotas of a gateway; @bounds are copied */
struct pgw_quota *pgw_quota_new(struct pgw_gateway *gateway,
                                const struct pgw_quota_bounds *bounds);
void pgw_quota_free(struct pgw_quota *quota);

/** pgw_quota_set_entries() - set the number of entries in the deployment */
void pgw_quota_set_entries(struct pgw_quota *quota, uint32_t entries);

/** pgw_quota_owner() - upstream whose sidecar owns the quota with this key;
 * NULL: there is none */
const struct pgw_upstream *pgw_quota_owner(const struct pgw_quota *quota,
                                           uint64_t key);

/** pgw_quota_upstreams_changed() - select the owners again */
void pgw_quota_upstreams_changed(struct pgw_quota *quota);

/**
 * pgw_quota_admit() - whether a request may be dispatched now
 * @quota: the quotas
 * @exchange: a request that has just begun
 *
 * Return: false if the request was refused, and is freed, or if it waits for
 * its owner's answer. In the second case pgw_exchange_dispatch() or
 * pgw_exchange_refuse() follows.
 */
bool pgw_quota_admit(struct pgw_quota *quota, struct pgw_exchange *exchange);

/** pgw_quota_charge_retry() - charge a request again that is sent once more */
void pgw_quota_charge_retry(struct pgw_quota *quota,
                            struct pgw_exchange *exchange);

/** pgw_quota_end() - end of a request; its units are given back if no upstream
 * ran it */
void pgw_quota_end(struct pgw_quota *quota, struct pgw_exchange *exchange);

/** pgw_quota_handle_answer() - apply an answer of an upstream's sidecar */
void pgw_quota_handle_answer(struct pgw_quota *quota,
                             const struct pgw_upstream *upstream,
                             uint64_t workspace_key, uint64_t ask,
                             const struct pgw_quota_answer *answer);

#endif
