#ifndef PGW_GATEWAY_CONFIG_POLICY_H
#define PGW_GATEWAY_CONFIG_POLICY_H

#include <glib.h>
#include <stdbool.h>

/**
 * DOC: Mechanisms that can be switched off
 *
 * Each mechanism that improves performance and is not needed for correctness
 * has a name. A process can be started with a file that switches it off:
 * {"off": ["load_next"]}. So an operator can disable a mechanism that does
 * damage, and the benefit of each can be measured. Safeguards of correctness
 * have no switch here.
 */

/**
 * enum pgw_mechanism - mechanisms, and what happens while each is off
 * @PGW_MECHANISM_LOAD_WINDOW: all engines load a target version at once
 * @PGW_MECHANISM_LOAD_NEXT: engines that load next get long requests like any
 *   other engine
 * @PGW_MECHANISM_LOAD_DRAIN: engines load without draining their queue first
 * @PGW_MECHANISM_WEIGHTS_GRACE: older weights cost more as soon as a target
 *   version is announced
 * @PGW_MECHANISM_OLD_WEIGHTS_COST: older weights cost nothing
 * @PGW_MECHANISM_REMOTE_PARTS: cached parts are not reported to entries of
 *   other zones
 * @PGW_MECHANISM_EXPECTED_PARTS: entries do not announce the requests that
 *   they send
 * @PGW_MECHANISM_ENGINE_FETCH: nothing is fetched from another engine
 * @PGW_MECHANISM_STORE: the KV store is not used
 * @PGW_MECHANISM_STORE_REMAINDER: an engine that has only some of the parts
 *   cached is preferred to the KV store
 * @PGW_MECHANISM_PROMPT_RANK: cold prompts are not ranked by rendezvous
 *   hashing
 * @PGW_MECHANISM_LONG_PREFILLS: long prompts of other entries are not counted
 * @PGW_MECHANISM_PREFILL_INTERFERENCE: long prompts go to busy engines as
 *   short ones do
 * @PGW_MECHANISM_REFUSAL_BACKOFF: engines that refuse several requests in a
 *   row get no backoff
 * @PGW_MECHANISM_ROUTE_PRIORITY: engines get the same priority for all
 *   requests
 * @PGW_MECHANISM_HOME_PROBES: prompts stay in the entry's zone if the pool is
 *   large
 * @PGW_MECHANISM_LANES: long and short prompts share all engines of a pool
 * @PGW_MECHANISM_BACKLOG_WAIT: long prompts are sent to engines whatever their
 *   backlog is
 * @PGW_MECHANISM_RUN_COVER: runs have no copy at another engine, and end with
 *   their engine
 * @PGW_MECHANISM_FAIR_SHARE: requests for engines wait by rank and arrival,
 * and are refused only after a third of their time
 * @PGW_MECHANISM_COUNT: number of mechanisms
 */
enum pgw_mechanism {
    PGW_MECHANISM_LOAD_WINDOW,
    PGW_MECHANISM_LOAD_NEXT,
    PGW_MECHANISM_LOAD_DRAIN,
    PGW_MECHANISM_WEIGHTS_GRACE,
    PGW_MECHANISM_OLD_WEIGHTS_COST,
    PGW_MECHANISM_REMOTE_PARTS,
    PGW_MECHANISM_EXPECTED_PARTS,
    PGW_MECHANISM_ENGINE_FETCH,
    PGW_MECHANISM_STORE,
    PGW_MECHANISM_STORE_REMAINDER,
    PGW_MECHANISM_PROMPT_RANK,
    PGW_MECHANISM_LONG_PREFILLS,
    PGW_MECHANISM_PREFILL_INTERFERENCE,
    PGW_MECHANISM_REFUSAL_BACKOFF,
    PGW_MECHANISM_ROUTE_PRIORITY,
    PGW_MECHANISM_HOME_PROBES,
    PGW_MECHANISM_LANES,
    PGW_MECHANISM_BACKLOG_WAIT,
    PGW_MECHANISM_RUN_COVER,
    PGW_MECHANISM_FAIR_SHARE,
    PGW_MECHANISM_COUNT,
};

/**
 * struct pgw_policy - mechanisms that are switched off; zeroed: none
 * @off: by mechanism
 */
struct pgw_policy {
    bool off[PGW_MECHANISM_COUNT];
};

/** pgw_mechanism_name() - name in files and logs */
const char *pgw_mechanism_name(enum pgw_mechanism mechanism);

/** pgw_policy_is_on() - whether a mechanism is on */
static inline bool
pgw_policy_is_on(const struct pgw_policy *policy, enum pgw_mechanism mechanism)
{
    return !policy->off[mechanism];
}

/**
 * pgw_policy_load() - read a policy file
 * @out: receives the policy
 * @path: JSON file
 * @error: %PGW_ERROR_INVALID names the unknown mechanism and lists the known
 *   ones; others as from pgw_json_load()
 */
bool pgw_policy_load(struct pgw_policy *out, const char *path, GError **error);

/** pgw_policy_log() - log each mechanism that is off, and set the metric */
void pgw_policy_log(const struct pgw_policy *policy);

#endif
