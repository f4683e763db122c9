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
 * Two pure steps. Ranking orders the pool's upstreams for a chain of levels
 * from the pool and the chain alone, so all entries rank alike and none needs
 * state. Choosing picks one of the first ranks from what their sidecars
 * answered.
 */

/* No ranking is longer than this; a longer @k is cut down to it. */
#define PGW_PLACE_RANK_MAX 32

/**
 * struct pgw_place_node - one upstream as ranking sees it
 * @id_hash: pgw_place_id_hash() of its name
 * @zone: number of its availability zone
 * @usable: joined, not leaving, connected
 */
struct pgw_place_node {
    uint64_t id_hash;
    uint32_t zone;
    bool usable;
};

/**
 * struct pgw_place_candidate - what is known of one ranked upstream
 * @index: its index among the nodes
 * @answered: the other fields are a sidecar's word, not defaults
 * @matched_tokens: prompt tokens that its engine holds
 * @queued_tokens: prompt tokens waiting for or in prefill there
 * @running: requests running
 * @waiting: requests waiting
 * @ttft_us: sidecar's estimate for this request, 0: not known
 * @refuses: it would refuse this request now
 * @leaving: it takes no new work
 * @gather: first in rank and asked to have the request (copies.h)
 * @same_zone: it is in the entry's availability zone
 * @age_us: age of the answer
 * @charged_tokens: uncached tokens that this entry sent there since the
 *     answer was given (pgw_place_charge_since())
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
 * struct pgw_place_weights - how a profile weighs its costs
 * @ttft_weight: 0 (save recomputation) to 1 (shortest time to first token)
 * @prefill_tokens_per_s: prefill rate of one upstream
 * @zone_cost_us: added for an upstream in another availability zone
 * @lag_us: age at which an answer's load counts half
 * @load_factor: bounded load, times the candidates' mean
 * @rank_weight: cost of each rank further down, as a part of the prefill that
 *     is missing there. Requests for a new prefix that arrive together see it
 *     cached nowhere and no load: this sends them to one upstream, whatever
 *     zones they come from, and is little once the prefix is cached
 * @queue_weight: cost of recomputation for each request that waits there and
 *     is delayed by it, as a part of the prefill that is missing
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
 * struct pgw_place_choice - the outcome of choosing
 * @found: some candidate can take the request
 * @position: its position among the candidates, if found
 * @cost_us: its cost in microseconds
 * @spill: even the best one is over its load bound: ask the next ranks too
 *     and choose again among all of them
 */
struct pgw_place_choice {
    bool found;
    size_t position;
    uint64_t cost_us;
    bool spill;
};

/**
 * pgw_place_id_hash() - hash of an upstream's name for ranking
 * @id: the upstream's name
 */
uint64_t pgw_place_id_hash(const char *id);

/**
 * pgw_place_rank() - order upstreams by nested rendezvous hashing
 * @out: receives indexes into @nodes, best first
 * @k: room in @out
 * @nodes: the pool
 * @n: its size
 * @chain: the prompt's levels; an empty chain ranks by node alone
 *
 * Return: the number of indexes written: min(@k, usable nodes,
 * %PGW_PLACE_RANK_MAX).
 */
size_t pgw_place_rank(uint32_t *out, size_t k,
                      const struct pgw_place_node *nodes, size_t n,
                      const struct pgw_level_chain *chain);

/**
 * pgw_place_choose() - take the candidate of lowest cost
 * @out: receives the choice
 * @candidates: in order of rank
 * @n: their number
 * @weights: the profile's
 * @prompt_tokens: length of the prompt
 * @random: any random number; settles ties of stale answers
 *
 * Candidates without an answer are taken, in order of rank, only when no
 * answered one can take the request.
 */
void pgw_place_choose(struct pgw_place_choice *out,
                      const struct pgw_place_candidate *candidates, size_t n,
                      const struct pgw_place_weights *weights,
                      uint32_t prompt_tokens, uint64_t random);

/**
 * pgw_place_choose_first_available() - where a copy of an unproven request
 * goes (copies.h)
 * @out: receives the choice
 * @candidates: in order of rank
 * @n: their number
 *
 * Return: false when the first candidate does not ask for it; else @out names
 * the first in rank that takes work, the same one for all entries.
 */
bool
pgw_place_choose_first_available(struct pgw_place_choice *out,
                                 const struct pgw_place_candidate *candidates,
                                 size_t n);

/**
 * pgw_place_is_settled() - no missing answer could change much
 * @candidates: in order of rank, some of them answered
 * @n: their number
 * @weights: the profile's
 * @chain: the prompt's levels
 *
 * Return: true if an answered candidate holds all that requests share of the
 * prompt and has next to no queue.
 */
bool pgw_place_is_settled(const struct pgw_place_candidate *candidates,
                          size_t n, const struct pgw_place_weights *weights,
                          const struct pgw_level_chain *chain);

/**
 * struct pgw_place_policy - a way to place requests
 * @name: as settings and the bench name it
 * @probes: candidates to ask before choosing, 0: all (up to
 *     %PGW_PLACE_RANK_MAX)
 * @fixed_probes: the setting probe_fanout does not replace @probes
 * @rounds: times that further ranks are asked, twice as many each time
 * @rank: as pgw_place_rank(), with @turn counting the entry's requests
 * @choose: as pgw_place_choose()
 * @settled: as pgw_place_is_settled(), NULL to wait for all answers
 */
struct pgw_place_policy {
    const char *name;
    size_t probes;
    bool fixed_probes;
    unsigned rounds;
    size_t (*rank)(uint32_t *out, size_t k, const struct pgw_place_node *nodes,
                   size_t n, const struct pgw_level_chain *chain,
                   uint64_t turn);
    void (*choose)(struct pgw_place_choice *out,
                   const struct pgw_place_candidate *candidates, size_t n,
                   const struct pgw_place_weights *weights,
                   uint32_t prompt_tokens, uint64_t random);
    bool (*settled)(const struct pgw_place_candidate *candidates, size_t n,
                    const struct pgw_place_weights *weights,
                    const struct pgw_level_chain *chain);
};

/**
 * pgw_place_policy_find() - look a policy up
 * @name: "parsleygw", an earlier version of it ("parsleygw-v1" to
 *     "parsleygw-v4"), "hash", "least-loaded" or "round-robin"
 *
 * Return: the policy, NULL for any other name.
 */
const struct pgw_place_policy *pgw_place_policy_find(const char *name);

#define PGW_PLACE_CHARGE_SLOTS 32
#define PGW_PLACE_CHARGE_SLOT_US 62500

/**
 * struct pgw_place_charge - what one entry sent to one upstream of late
 * @slot: number of the time slot that each sum belongs to
 * @tokens: uncached tokens sent in that slot
 *
 * Zeroed is empty. Covers the last two seconds. The caller serialises access.
 */
struct pgw_place_charge {
    uint32_t slot[PGW_PLACE_CHARGE_SLOTS];
    uint32_t tokens[PGW_PLACE_CHARGE_SLOTS];
};

/**
 * pgw_place_charge_add() - note tokens sent to the upstream
 * @charge: the upstream's
 * @tokens: uncached prompt tokens expected there
 * @now: microseconds, any fixed origin
 */
void pgw_place_charge_add(struct pgw_place_charge *charge, uint32_t tokens,
                          uint64_t now);

/**
 * pgw_place_charge_remove() - take back tokens whose request has ended
 * @charge: the upstream's
 * @tokens: as added
 * @sent: the time given to pgw_place_charge_add()
 */
void pgw_place_charge_remove(struct pgw_place_charge *charge, uint32_t tokens,
                             uint64_t sent);

/**
 * pgw_place_charge_since() - tokens sent at or after a report's time
 * @charge: the upstream's
 * @reported: when the report was true, in the time of pgw_place_charge_add()
 */
uint32_t pgw_place_charge_since(const struct pgw_place_charge *charge,
                                uint64_t reported);

G_END_DECLS

#endif
