#ifndef PARSLEYGW_PLACE_H
#define PARSLEYGW_PLACE_H

#include <glib.h>
#include <parsleygw/level.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * DOC: Placement
 *
 * Placement has two steps, both pure functions. Ranking orders the pool's
 * upstreams for a chain of levels. It depends on the pool and the chain alone,
 * so all entries compute the same order without shared state. Choosing picks
 * one of the first ranks from the probe replies of their sidecars.
 */

/* Maximum length of a ranking; a larger @k is clamped to it. */
#define PGW_PLACE_RANK_MAX 32

/**
 * struct pgw_place_node - ranking input for one upstream
 * @id_hash: pgw_place_id_hash() of its name
 * @zone: number of its availability zone
 * @usable: registered, connected and not draining
 */
struct pgw_place_node {
    uint64_t id_hash;
    uint32_t zone;
    bool usable;
};

/**
 * struct pgw_place_candidate - state of one ranked upstream
 * @index: its index among the nodes
 * @answered: the other fields come from a sidecar's reply, not from defaults
 * @matched_tokens: prompt tokens that its engine has cached
 * @queued_tokens: prompt tokens that wait for prefill or are being prefilled
 * @running: running requests
 * @waiting: queued requests
 * @ttft_us: time to first token that the sidecar estimates for this request,
 *     0: unknown
 * @refuses: the sidecar would refuse this request now
 * @leaving: the upstream is draining and accepts no new requests
 * @gather: the first-ranked sidecar wants all copies of this request
 *     (copies.h)
 * @same_zone: the upstream is in the entry's availability zone
 * @age_us: age of the reply
 * @charged_tokens: uncached tokens that this entry sent to the upstream since
 *     the reply (pgw_place_charge_since())
 */
struct pgw_place_candidate {
    uint32_t index;
    bool answered;
    uint32_t matched_tokens;
    uint32_t queued_tokens;
    uint32_t running;
    uint32_t waiting;
    uint32_t ttft_us;
    bool refuses;
    bool leaving;
    bool gather;
    bool same_zone;
    uint64_t age_us;
    uint32_t charged_tokens;
};

/**
 * struct pgw_place_weights - cost weights of a profile
 * @ttft_weight: 0 (least recomputation) to 1 (shortest time to first token)
 * @prefill_tokens_per_s: prefill rate of one upstream
 * @zone_cost_us: cost added for an upstream in a remote zone
 * @lag_us: age at which the load in a reply has half its weight
 * @load_factor: load bound as a multiple of the candidates' mean load
 * @rank_weight: cost per rank, as a fraction of the uncached prefill.
 *     Concurrent requests for a new prefix see it cached nowhere and no load;
 *     this cost sends them to the same upstream from every zone. It is small
 *     once the prefix is cached
 * @queue_weight: cost per queued request that the recomputation delays, as a
 *     fraction of the uncached prefill
 */
struct pgw_place_weights {
    double ttft_weight;
    double prefill_tokens_per_s;
    uint32_t zone_cost_us;
    uint32_t lag_us;
    double load_factor;
    double rank_weight;
    double queue_weight;
};

#define PGW_PLACE_WEIGHTS_INIT                                                \
    {                                                                         \
        .ttft_weight = 0.5, .prefill_tokens_per_s = 10000.0,                  \
        .zone_cost_us = 2000, .lag_us = 500000, .load_factor = 1.25,          \
        .rank_weight = 0.05, .queue_weight = 1.0                              \
    }

/**
 * struct pgw_place_choice - result of choosing
 * @found: a candidate can accept the request
 * @position: index of that candidate, if found
 * @cost_us: cost of that candidate in microseconds
 * @spill: even the best candidate exceeds its load bound: probe the next ranks
 *     too and choose again among all of them
 */
struct pgw_place_choice {
    bool found;
    size_t position;
    uint64_t cost_us;
    bool spill;
};

/**
 * pgw_place_id_hash() - hash an upstream's name for ranking
 * @id: the upstream's name
 */
uint64_t pgw_place_id_hash(const char *id);

/**
 * pgw_place_rank() - order upstreams by nested rendezvous hashing
 * @out: receives indexes into @nodes, best first
 * @k: capacity of @out
 * @nodes: the pool
 * @n: number of nodes
 * @chain: the prompt's levels; an empty chain ranks by node hash alone
 *
 * Return: the number of indexes written: min(@k, usable nodes,
 * %PGW_PLACE_RANK_MAX).
 */
size_t pgw_place_rank(uint32_t *out, size_t k,
                      const struct pgw_place_node *nodes, size_t n,
                      const struct pgw_level_chain *chain);

/**
 * pgw_place_choose() - choose the candidate of lowest cost
 * @out: receives the choice
 * @candidates: in order of rank
 * @n: number of candidates
 * @weights: the profile's weights
 * @prompt_tokens: length of the prompt
 * @random: a random number; varies the expected wait behind stale replies
 *
 * A candidate without a reply is chosen, in order of rank, only when no
 * candidate with a reply can accept the request.
 */
void pgw_place_choose(struct pgw_place_choice *out,
                      const struct pgw_place_candidate *candidates, size_t n,
                      const struct pgw_place_weights *weights,
                      uint32_t prompt_tokens, uint64_t random);

/**
 * pgw_place_choose_first_available() - place a copy of a request of which none
 * has completed yet (copies.h)
 * @out: receives the choice
 * @candidates: in order of rank
 * @n: number of candidates
 *
 * Return: false when the first candidate does not set @gather; else @out has
 * the first candidate that accepts requests, the same one for all entries.
 */
bool
pgw_place_choose_first_available(struct pgw_place_choice *out,
                                 const struct pgw_place_candidate *candidates,
                                 size_t n);

/**
 * pgw_place_is_settled() - whether choosing need not wait for more replies
 * @candidates: in order of rank, some of them with a reply
 * @n: number of candidates
 * @weights: the profile's weights
 * @chain: the prompt's levels
 *
 * Return: true if a candidate with a reply has cached all of the prompt that
 * is shared with other requests, and its queue is almost empty.
 */
bool pgw_place_is_settled(const struct pgw_place_candidate *candidates,
                          size_t n, const struct pgw_place_weights *weights,
                          const struct pgw_level_chain *chain);

/**
 * struct pgw_place_policy - a placement policy
 * @name: name in settings and in the bench
 * @probes: candidates to probe before choosing, 0: all (up to
 *     %PGW_PLACE_RANK_MAX)
 * @fixed_probes: the setting probe_fanout does not replace @probes
 * @rounds: maximum number of probe rounds; each doubles the number of probes
 * @rank: as pgw_place_rank(); @request_number counts the entry's requests
 * @choose: as pgw_place_choose()
 * @settled: as pgw_place_is_settled(), NULL to wait for all replies
 */
struct pgw_place_policy {
    const char *name;
    size_t probes;
    bool fixed_probes;
    unsigned rounds;
    size_t (*rank)(uint32_t *out, size_t k, const struct pgw_place_node *nodes,
                   size_t n, const struct pgw_level_chain *chain,
                   uint64_t request_number);
    void (*choose)(struct pgw_place_choice *out,
                   const struct pgw_place_candidate *candidates, size_t n,
                   const struct pgw_place_weights *weights,
                   uint32_t prompt_tokens, uint64_t random);
    bool (*settled)(const struct pgw_place_candidate *candidates, size_t n,
                    const struct pgw_place_weights *weights,
                    const struct pgw_level_chain *chain);
};

/**
 * pgw_place_policy_find() - look up a policy
 * @name: "parsleygw", an earlier version of it ("parsleygw-v1" to
 *     "parsleygw-v4"), "hash", "least-loaded" or "round-robin"
 *
 * Return: the policy, NULL for any other name.
 */
const struct pgw_place_policy *pgw_place_policy_find(const char *name);

#define PGW_PLACE_CHARGE_SLOTS 32
#define PGW_PLACE_CHARGE_SLOT_US 62500

/**
 * struct pgw_place_charge - tokens that one entry recently sent to one
 * upstream
 * @slot: number of the time slot that each sum belongs to
 * @tokens: uncached tokens sent in that slot
 *
 * A zeroed struct is empty. Covers the last two seconds. The caller serialises
 * access.
 */
struct pgw_place_charge {
    uint32_t slot[PGW_PLACE_CHARGE_SLOTS];
    uint32_t tokens[PGW_PLACE_CHARGE_SLOTS];
};

/**
 * pgw_place_charge_add() - add tokens sent to the upstream
 * @charge: charge of the upstream
 * @tokens: uncached prompt tokens expected there
 * @now_us: microseconds, any fixed origin
 */
void pgw_place_charge_add(struct pgw_place_charge *charge, uint32_t tokens,
                          uint64_t now_us);

/**
 * pgw_place_charge_remove() - subtract the tokens of a request that has ended
 * @charge: charge of the upstream
 * @tokens: number that was added
 * @sent_us: the time given to pgw_place_charge_add()
 */
void pgw_place_charge_remove(struct pgw_place_charge *charge, uint32_t tokens,
                             uint64_t sent_us);

/**
 * pgw_place_charge_since() - tokens sent at or after a time
 * @charge: charge of the upstream
 * @since_us: the time, on the clock of pgw_place_charge_add()
 */
uint32_t pgw_place_charge_since(const struct pgw_place_charge *charge,
                                uint64_t since_us);

G_END_DECLS

#endif
