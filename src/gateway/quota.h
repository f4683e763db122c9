#ifndef PGW_GATEWAY_QUOTA_H
#define PGW_GATEWAY_QUOTA_H

#include "gateway/quota_share.h"
#include "gateway/upstream_table.h"
#include <glib.h>

/**
 * DOC: Quotas of workspaces at an entry
 *
 * Every request of a workspace with a quota passes here before it is placed. A
 * quota protects the other workspaces first: what is beyond it is refused at
 * once, takes no place in a queue and reaches no upstream.
 *
 * The owner of a workspace's quota is one of the sidecars, by rendezvous
 * hashing over the list of upstreams, so that all entries name the same one.
 */

/* Sidecars among which quotas are divided: those with the lowest hashes. Each
 * entry is connected to all of them, which takes a descriptor each of some
 * thousand. */
#define PGW_QUOTA_OWNERS_MAX 512

/**
 * struct pgw_quota_ask - what is sent to an owner
 * @ask: number of the ask at this entry, 0: only a report
 * @request: what it says
 * @stands_in: the one asked stands in for the owner, which does not answer
 */
struct pgw_quota_ask {
    uint64_t ask;
    struct pgw_quota_request request;
    bool stands_in;
};

/**
 * struct pgw_quota_units - in what a workspace's quota is counted
 * @tokens: in tokens; else in requests
 * @plain: tokens that a request without a count of its own counts as
 */
struct pgw_quota_units {
    bool tokens;
    double plain;
};

/** pgw_quota_cost() - units of a request; @tokens: of its prompt and its
 * answer, @has_tokens: it says so */
double pgw_quota_cost(const struct pgw_quota_units *units, bool has_tokens,
                      double tokens);

/**
 * struct pgw_quota_owners - sidecars among which quotas are divided
 * @items: of these upstreams; held
 * @count: number of @items
 * @asked_at_us: of each, since when an ask is unanswered, 0: none is
 * @passed_over_until_us: of each, until when others stand in for it
 */
struct pgw_quota_owners {
    struct pgw_upstream *items[PGW_QUOTA_OWNERS_MAX];
    size_t count;
    uint64_t asked_at_us[PGW_QUOTA_OWNERS_MAX];
    uint64_t passed_over_until_us[PGW_QUOTA_OWNERS_MAX];
};

/** pgw_quota_owners_set() - those of a list of upstreams */
void pgw_quota_owners_set(struct pgw_quota_owners *owners,
                          const struct pgw_list *upstreams);
void pgw_quota_owners_clear(struct pgw_quota_owners *owners);

/**
 * pgw_quota_owners_rank() - who is asked on a workspace, the owner first
 * @out: receives positions among the owners
 * @most: room in @out
 * @owners: the owners
 * @workspace: pgw_quota_key() of it
 *
 * Return: the number of positions.
 */
size_t pgw_quota_owners_rank(size_t *out, size_t most,
                             const struct pgw_quota_owners *owners,
                             uint64_t workspace);

/** pgw_quota_owners_is_available() - the one at a position answers, as far as
 * is known */
bool pgw_quota_owners_is_available(struct pgw_quota_owners *owners,
                                   size_t position, uint64_t now_us);

/** pgw_quota_owners_record_answer() - an upstream's sidecar has answered */
void pgw_quota_owners_record_answer(struct pgw_quota_owners *owners,
                                    const struct pgw_upstream *upstream);

struct pgw_exchange;
struct pgw_gateway;
struct pgw_quota;

/** pgw_quota_new() - of a gateway; @bounds are copied */
struct pgw_quota *pgw_quota_new(struct pgw_gateway *gateway,
                                const struct pgw_quota_bounds *bounds);
void pgw_quota_free(struct pgw_quota *quota);

/** pgw_quota_set_entries() - how many entries there are */
void pgw_quota_set_entries(struct pgw_quota *quota, uint32_t entries);

/** pgw_quota_upstreams_changed() - owners may be others now */
void pgw_quota_upstreams_changed(struct pgw_quota *quota);

/**
 * pgw_quota_admit() - whether a request may be placed now
 * @quota: the quotas
 * @exchange: a request that has just begun
 *
 * Return: false when it was refused, and is freed, or when its owner is asked:
 * pgw_exchange_dispatch() or pgw_exchange_refuse() follow then.
 */
bool pgw_quota_admit(struct pgw_quota *quota, struct pgw_exchange *exchange);

/** pgw_quota_charge_retry() - a request runs once more */
void pgw_quota_charge_retry(struct pgw_quota *quota,
                            struct pgw_exchange *exchange);

/** pgw_quota_end() - a request ends: what no upstream ran is given back */
void pgw_quota_end(struct pgw_quota *quota, struct pgw_exchange *exchange);

/** pgw_quota_handle_answer() - the sidecar of an upstream has answered */
void pgw_quota_handle_answer(struct pgw_quota *quota,
                             const struct pgw_upstream *upstream,
                             uint64_t workspace, uint64_t ask,
                             const struct pgw_quota_answer *answer);

#endif
