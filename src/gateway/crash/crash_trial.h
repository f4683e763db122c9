#ifndef PGW_GATEWAY_CRASH_CRASH_TRIAL_H
#define PGW_GATEWAY_CRASH_CRASH_TRIAL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Trials of requests that may crash upstreams
 *
 * Of all entries one runs a suspect at a time. An entry claims the trial, and
 * waits for the claims of others before it starts. Of several claims that with
 * the lowest token stands; a trial that has started stands before all claims.
 * Entries apply the same reports in any order.
 */

/* Trials that ended lately and whose late reports are ignored. */
#define PGW_CRASH_TRIAL_ENDED_MAX 8

/* Trials of one key, whatever became of them, before the longest wait. */
#define PGW_CRASH_TRIALS_MAX 3

/**
 * struct pgw_crash_trial - the trial of one fingerprint
 * @token: token of its claim, 0: there is no trial
 * @ended: tokens of trials that stood and have ended, or have failed, the
 *   oldest first; a late report with one of them is ignored
 * @ended_count: number of @ended
 * @settled_us: the claim stands from this time on, if no other one does
 * @until_us: when the claim, or the started trial, is over
 * @pool: hash of the service that runs it, 0: not known
 * @started: the request was sent to an upstream
 * @upstream: hash of that upstream's incarnation, 0: not known
 * @is_answered: its run is over, and awaits what becomes of that upstream
 * @is_own: a request of this entry has claimed it
 */
struct pgw_crash_trial {
    uint64_t token;
    uint64_t ended[PGW_CRASH_TRIAL_ENDED_MAX];
    size_t ended_count;
    uint64_t settled_us;
    uint64_t until_us;
    uint64_t pool;
    bool started;
    uint64_t upstream;
    bool is_answered;
    bool is_own;
};

/**
 * pgw_crash_trial_claim() - apply a claim
 * @trial: the trial
 * @token: token of the claim
 * @until_us: when it is over
 * @now_us: monotonic time
 *
 * Return: whether it stands, and was not known yet.
 */
bool pgw_crash_trial_claim(struct pgw_crash_trial *trial, uint64_t token,
                           uint64_t until_us, uint64_t now_us);

/** pgw_crash_trial_start() - apply the start of a trial, or that it lasts
 * longer; returns whether that is new */
bool pgw_crash_trial_start(struct pgw_crash_trial *trial, uint64_t token,
                           uint64_t until_us);

/** pgw_crash_trial_has_ended() - whether the trial with a token ended lately
 */
bool pgw_crash_trial_has_ended(const struct pgw_crash_trial *trial,
                               uint64_t token);

/** pgw_crash_trial_ignore() - ignore late reports of a trial */
void pgw_crash_trial_ignore(struct pgw_crash_trial *trial, uint64_t token);

/** pgw_crash_trial_end() - apply the end of a trial; returns whether it stood.
 * The end of another one changes nothing, and is not passed on: entries would
 * send two such ends to each other for ever. */
bool pgw_crash_trial_end(struct pgw_crash_trial *trial, uint64_t token);

#endif
