#ifndef PGW_GATEWAY_POLICY_H
#define PGW_GATEWAY_POLICY_H

#include <glib.h>
#include <stdbool.h>

/**
 * DOC: Mechanisms that can be switched off
 *
 * Each mechanism that decides for a gain, and not for a promise, has a name
 * and can be switched off alone, by a file that a process is started with:
 * {"off": ["load_next"]}. So an operator can take one out that does harm, and
 * what it is worth can be measured. Safeguards have no switch here.
 */

/**
 * enum pgw_mechanism - what can be switched off, and what happens then
 * @PGW_MECHANISM_LOAD_WINDOW: all engines load named weights at once
 * @PGW_MECHANISM_LOAD_NEXT: engines that load next get long runs like any
 * other
 * @PGW_MECHANISM_LOAD_DRAIN: engines load whatever waits in their queue
 * @PGW_MECHANISM_WEIGHTS_GRACE: older weights cost from the naming on
 * @PGW_MECHANISM_OLD_WEIGHTS_COST: older weights cost nothing
 * @PGW_MECHANISM_REMOTE_PARTS: entries of other zones do not hear what engines
 * hold
 * @PGW_MECHANISM_EXPECTED_PARTS: nor does any of what other entries have sent
 * @PGW_MECHANISM_ENGINE_FETCH: nothing is fetched from another engine
 * @PGW_MECHANISM_STORE: the store of kept memory is not used
 * @PGW_MECHANISM_STORE_REMAINDER: a holder of some parts is asked for all
 * @PGW_MECHANISM_PROMPT_RANK: cold prompts have no home
 * @PGW_MECHANISM_LONG_PREFILLS: long prompts that others read are not counted
 * @PGW_MECHANISM_PREFILL_INTERFERENCE: long prompts go beside running requests
 * as short ones do
 * @PGW_MECHANISM_REFUSAL_BACKOFF: engines that refuse several times in a row
 * do not rest
 * @PGW_MECHANISM_ROUTE_PRIORITY: engines are told one urgency for all
 * @PGW_MECHANISM_HOME_PROBES: prompts stay in the entry's zone if its pool is
 * large
 * @PGW_MECHANISM_COUNT: number of these
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
    PGW_MECHANISM_COUNT,
};

/**
 * struct pgw_policy - which are on; zeroed: all
 * @off: those that are not
 */
struct pgw_policy {
    bool off[PGW_MECHANISM_COUNT];
};

/** pgw_mechanism_name() - as in files and logs */
const char *pgw_mechanism_name(enum pgw_mechanism mechanism);

/** pgw_policy_is_on() - whether a mechanism works */
static inline bool
pgw_policy_is_on(const struct pgw_policy *policy, enum pgw_mechanism mechanism)
{
    return !policy->off[mechanism];
}

/**
 * pgw_policy_load() - read a file
 * @out: receives it
 * @path: JSON file
 * @error: %PGW_ERROR_INVALID names what is wrong and what may be written;
 *   others as from pgw_json_load()
 */
bool pgw_policy_load(struct pgw_policy *out, const char *path, GError **error);

/** pgw_policy_log() - one line for each that is off, and the count as metric
 */
void pgw_policy_log(const struct pgw_policy *policy);

#endif
