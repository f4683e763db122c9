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
 * @PGW_LOAD_WINDOW: all engines load named weights at once
 * @PGW_LOAD_NEXT: engines that load next get long runs like any other
 * @PGW_LOAD_DRAIN: engines load whatever waits in their queue
 * @PGW_WEIGHTS_GRACE: older weights cost from the naming on
 * @PGW_WEIGHTS_PRICE: older weights cost nothing
 * @PGW_FAR_PARTS: entries of other zones do not hear what engines hold
 * @PGW_EXPECTED_PARTS: nor does any of what other entries have sent
 * @PGW_ENGINE_FETCH: nothing is fetched from another engine
 * @PGW_STORE: the store of kept memory is not used
 * @PGW_STORE_REST: a holder of some parts is asked for all
 * @PGW_PROMPT_RANK: cold prompts have no home
 * @PGW_LONG_PREFILLS: long prompts that others read are not counted
 * @PGW_CROWD_HARM: long prompts go beside running requests as short ones do
 * @PGW_REFUSAL_REST: engines that refuse several times in a row do not rest
 * @PGW_ROUTE_PRIORITY: engines are told one urgency for all
 * @PGW_HOME_PROBES: prompts stay in the entry's zone if its pool is large
 * @PGW_MECHANISMS: number of these
 */
enum pgw_mechanism {
    PGW_LOAD_WINDOW,
    PGW_LOAD_NEXT,
    PGW_LOAD_DRAIN,
    PGW_WEIGHTS_GRACE,
    PGW_WEIGHTS_PRICE,
    PGW_FAR_PARTS,
    PGW_EXPECTED_PARTS,
    PGW_ENGINE_FETCH,
    PGW_STORE,
    PGW_STORE_REST,
    PGW_PROMPT_RANK,
    PGW_LONG_PREFILLS,
    PGW_CROWD_HARM,
    PGW_REFUSAL_REST,
    PGW_ROUTE_PRIORITY,
    PGW_HOME_PROBES,
    PGW_MECHANISMS,
};

/**
 * struct pgw_policy - which are on; zeroed: all
 * @off: those that are not
 */
struct pgw_policy {
    bool off[PGW_MECHANISMS];
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
