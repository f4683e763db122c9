#ifndef PGW_GATEWAY_CRASH_CRASH_QUARANTINE_H
#define PGW_GATEWAY_CRASH_CRASH_QUARANTINE_H

#include "gateway/crash/crash_keys.h"
#include "gateway/crash/crash_trial.h"
#include <glib.h>

/**
 * DOC: Quarantine of requests and prompt parts that crash upstreams
 *
 * A faulty request may crash each upstream that starts to run it, and its
 * caller resends it. A faulty part of a prompt does the same in requests that
 * are otherwise different. An entry sees only interrupted connections. From
 * one crash it cannot tell which of the dozens of runs at the upstream caused
 * it, nor by which part. So a key (see crash_keys.h) that was running in
 * several crashes is a suspect: of all entries only one runs it at a time, as
 * a trial. A completed run of the key clears it.
 *
 * A request that fails its trial is quarantined, and so is one whose crashes
 * lie apart. A part is running beside faulty ones much more often than a whole
 * request is resent. It is quarantined only after two failed trials, and after
 * more crashes. If several parts were suspects in the last trial, requests
 * that have all of them are refused, until those that are sound were cleared.
 * The crashes of a quarantined part count no longer against other keys that
 * were running in some of them.
 *
 * A trial that ends without a crash and without a completed run proves
 * nothing: its upstream refused it, failed by itself, or was not waited for.
 * The next one waits longer each time. After three trials, whatever became of
 * them, there is none for ten minutes.
 *
 * An entry stops waiting for a run when its caller leaves, its time is over,
 * or it is sent to another upstream. The upstream works on it until it sees
 * the close, and may crash by it. Such a run counts like an interrupted one,
 * once its upstream is known to have crashed.
 *
 * Crashes of one moment alone start no quarantine, since a power loss ends all
 * upstreams that run a popular request or part, and its next run completes.
 *
 * Pure state without I/O; time is passed in as monotonic microseconds. Entries
 * send each other what they count (&struct pgw_crashed_run). Of a part that
 * was in one crash only the seeds are informed, which count for all.
 */

/**
 * enum pgw_crashed_run_kind - what entries tell each other of a key
 * @PGW_CRASHED_RUN_CRASHED: its run ended with a crash, or completed
 * @PGW_CRASHED_RUN_INTERRUPTED: its run's connection broke; no crash is
 *   confirmed yet
 * @PGW_CRASHED_RUN_TRIAL_CLAIMED: an entry is about to start a trial
 * @PGW_CRASHED_RUN_TRIAL_STARTED: an entry runs a trial
 * @PGW_CRASHED_RUN_TRIAL_ENDED: a trial ended without a result; the next one
 *   starts after @left_us
 * @PGW_CRASHED_RUN_TRIAL_FAILED: a trial was interrupted; of a part that is
 *   not quarantined for it, @left_us is 0
 * @PGW_CRASHED_RUN_UPSTREAM: an upstream has crashed, which confirms the
 *   interrupted runs of all parts there
 */
enum pgw_crashed_run_kind {
    PGW_CRASHED_RUN_CRASHED,
    PGW_CRASHED_RUN_INTERRUPTED,
    PGW_CRASHED_RUN_TRIAL_CLAIMED,
    PGW_CRASHED_RUN_TRIAL_STARTED,
    PGW_CRASHED_RUN_TRIAL_ENDED,
    PGW_CRASHED_RUN_TRIAL_FAILED,
    PGW_CRASHED_RUN_UPSTREAM,
};

/**
 * struct pgw_crashed_run - a run of a key, as entries exchange it
 * @fingerprint: the key; not used of kind %PGW_CRASHED_RUN_UPSTREAM
 * @is_part: the key is a part of a prompt
 * @crash: hash of the incarnation that ran it; 0 of a run of kind
 *   %PGW_CRASHED_RUN_CRASHED: the run completed and clears the crashes counted
 *   so far; of a trial: its token
 * @age_us: how long ago the run was interrupted, or, of one that its entry
 *   had abandoned, how long ago that entry learned of the crash; of kind
 *   %PGW_CRASHED_RUN_UPSTREAM: how long ago the upstream last answered, 0: not
 *   known
 * @kind: what happened
 * @left_us: how long the claim, the trial, the quarantine or the wait for the
 *   next trial lasts
 * @quarantines: how often the key was quarantined, of a failed trial
 * @upstream: hash of the incarnation that runs a trial, or has interrupted
 *   it, of a claim that of the service; 0: not known
 * @partners: other parts that were suspects in a failed trial, NULL: none;
 *   valid during the call that passes the report
 * @hops: number of entries that have passed the report on
 * @seeds_only: not sent to other entries than seeds
 * @abandoned: the entry had abandoned the run when its upstream crashed
 * @trials: of a trial: how many of the key have ended without a completed run
 * @has_completed: of the crash or interruption of a part: a run with it has
 *   completed, at whichever entry
 */
struct pgw_crashed_run {
    struct pgw_fingerprint fingerprint;
    bool is_part;
    uint64_t crash;
    uint64_t age_us;
    enum pgw_crashed_run_kind kind;
    uint64_t left_us;
    uint32_t quarantines;
    uint64_t upstream;
    const struct pgw_crash_keys *partners;
    uint32_t hops;
    bool seeds_only;
    bool abandoned;
    uint32_t trials;
    bool has_completed;
};

/**
 * enum pgw_trial_result - how a trial ended that did not complete
 * @PGW_TRIAL_WITHDRAWN: it reached no upstream
 * @PGW_TRIAL_UNPROVEN: it reached an upstream, which neither crashed nor
 *   completed it: the upstream refused it, answered with an error of its own,
 *   or was not waited for
 * @PGW_TRIAL_FAILED: the connection to its upstream broke during the run
 */
enum pgw_trial_result {
    PGW_TRIAL_WITHDRAWN,
    PGW_TRIAL_UNPROVEN,
    PGW_TRIAL_FAILED,
};

/**
 * enum pgw_crash_verdict - what may be done with a request
 * @PGW_CRASH_ALLOW: it may run
 * @PGW_CRASH_TRIAL: it may run as the only trial of its suspects
 * @PGW_CRASH_WAIT: a trial of one of its suspects is claimed or in progress;
 *   the request is admitted or refused when that has a result
 * @PGW_CRASH_REFUSE: it is quarantined
 */
enum pgw_crash_verdict {
    PGW_CRASH_ALLOW,
    PGW_CRASH_TRIAL,
    PGW_CRASH_WAIT,
    PGW_CRASH_REFUSE,
};

/**
 * struct pgw_crash_quarantine_options - thresholds
 * @crashes: number of crashed incarnations after which a key is a suspect; at
 *   as many moments, a whole request is quarantined without a trial
 * @part_crashes: number of crashed incarnations from which on failed trials
 *   quarantine a part
 * @abandoned_trial_crashes: number of crashed incarnations from which on the
 *   crash after an abandoned trial quarantines a request
 * @abandoned_trial_us: how long an abandoned trial is unsettled at most
 * @unproven_wait_us: how long the next trial waits after the first, second and
 *   third one; after the third also if it has failed
 * @part_trials: number of failed trials that quarantine a part
 * @completed_part_trials: the same of a part of which a run has completed here
 * @min_crash_gap_us: crashes of one key that are less than this apart are of
 *   one moment
 * @crash_match_us: an interrupted run is attributed to the crash of its
 *   upstream if they are less than this apart
 * @abandoned_run_us: how long an upstream may go on with an abandoned run; a
 *   crash that it has survived by this time has another cause
 * @quarantine_us: length of the first quarantine; after it one more crash
 *   starts the next one, ten times as long
 * @quarantine_max_us: longest quarantine
 * @record_lifetime_us: how long a record is kept after its last crash and its
 *   last quarantine
 * @trial_settle_us: time between the claim of a trial and its start, in which
 *   claims of other entries arrive; less if the request cannot wait so long
 * @trial_claim_us: how long a claim lasts that is not renewed
 * @part_trial_us: longest time for which a trial holds others with its part
 *   back
 * @records_max: maximum number of keys with a record
 */
struct pgw_crash_quarantine_options {
    uint32_t crashes;
    uint32_t part_crashes;
    uint32_t abandoned_trial_crashes;
    uint64_t abandoned_trial_us;
    uint64_t unproven_wait_us[PGW_CRASH_TRIALS_MAX];
    uint32_t part_trials;
    uint32_t completed_part_trials;
    uint64_t min_crash_gap_us;
    uint64_t crash_match_us;
    uint64_t abandoned_run_us;
    uint64_t quarantine_us;
    uint64_t quarantine_max_us;
    uint64_t record_lifetime_us;
    uint64_t trial_settle_us;
    uint64_t trial_claim_us;
    uint64_t part_trial_us;
    uint32_t records_max;
};

/*
 * crashes: other requests that are resent beside the faulty one are hardly
 * ever in three crashes without completing once. Two crashes are too few for
 * that.
 * part_crashes: a sound part whose requests are few may be in three crashes of
 * a faulty one, and its trial may run beside a fourth.
 * abandoned_trial_crashes: the upstream of a slow trial whose caller has left
 * may lose power soon afterwards; that it does so twice is hardly chance.
 * unproven_wait_us: upstreams that come back after a crash are full for some
 * seconds, and refuse the first two trials alike. Three runs more are what a
 * faulty request may cost in the minutes after its crashes. part_trials: a
 * second power loss may interrupt the trial of a part that all requests share,
 * which no other request would run then. completed_part_trials: so may a
 * faulty part that is not a suspect yet, and more often so when few upstreams
 * are up; a part that was sound before is most likely still so.
 * min_crash_gap_us: a zone that loses power takes all upstreams of a service
 * down at once, and a popular request may be running at each of them.
 * crash_match_us: the list's record of a service without a sidecar expires
 * after three heartbeats of 1.2 s, and the list is acted on two to four
 * seconds later. abandoned_run_us: an upstream stops within half a second of
 * the close of its connection, and a lost packet delays that close. With more,
 * a request that is only slow would be held responsible for crashes after it.
 * quarantine_us, quarantine_max_us: what is quarantined by mistake runs again
 * after a minute; what is faulty costs a crash then, so that three further
 * crashes take an hour and eleven minutes. trial_settle_us: an entry that has
 * used up its share of a processor receives nothing for a tenth of a second.
 * Two entries start at once if a message takes longer than half of this.
 * trial_claim_us: the claim of an entry that has ended delays others so long,
 * and part_trial_us its trial; all requests may share the part. records_max:
 * an engine that crashes with 64 runs adds some 200; 8,192 records of some 500
 * bytes take 4 MB.
 */
#define PGW_CRASH_QUARANTINE_OPTIONS_INIT                                     \
    {                                                                         \
        .crashes = 3, .part_crashes = 5, .abandoned_trial_crashes = 5,        \
        .abandoned_trial_us = 8 * (uint64_t)G_USEC_PER_SEC,                   \
        .unproven_wait_us = {(uint64_t)G_USEC_PER_SEC,                        \
                             20 * (uint64_t)G_USEC_PER_SEC,                   \
                             600 * (uint64_t)G_USEC_PER_SEC},                 \
        .part_trials = 2, .completed_part_trials = 4,                         \
        .min_crash_gap_us = G_USEC_PER_SEC / 2,                               \
        .crash_match_us = 8 * (uint64_t)G_USEC_PER_SEC,                       \
        .abandoned_run_us = G_USEC_PER_SEC,                                   \
        .quarantine_us = 60 * (uint64_t)G_USEC_PER_SEC,                       \
        .quarantine_max_us = 3600 * (uint64_t)G_USEC_PER_SEC,                 \
        .record_lifetime_us = 600 * (uint64_t)G_USEC_PER_SEC,                 \
        .trial_settle_us = G_USEC_PER_SEC / 4,                                \
        .trial_claim_us = 2 * (uint64_t)G_USEC_PER_SEC,                       \
        .part_trial_us = 3 * (uint64_t)G_USEC_PER_SEC, .records_max = 8192    \
    }

struct pgw_crash_quarantine;

/** pgw_crash_quarantine_new() - create an empty quarantine */
struct pgw_crash_quarantine *
pgw_crash_quarantine_new(const struct pgw_crash_quarantine_options *options);
void pgw_crash_quarantine_free(struct pgw_crash_quarantine *quarantine);

/**
 * pgw_crash_quarantine_subscribe() - set the callback for runs that other
 * entries have to learn of
 * @quarantine: the state
 * @on_crashed: called with @count runs; NULL: no callback
 * @context: passed to @on_crashed
 */
void pgw_crash_quarantine_subscribe(
    struct pgw_crash_quarantine *quarantine,
    void (*on_crashed)(const struct pgw_crashed_run *crashed, size_t count,
                       void *context),
    void *context);

/**
 * pgw_crash_quarantine_subscribe_crashes() - set the callback for crashes
 * @quarantine: the state
 * @on_crash: called when the crash of an incarnation becomes known, with the
 *   hash of its id, the time at which it was last known to run, 0: not known,
 *   and whether its process is known to have ended; NULL: no callback
 * @context: passed to @on_crash
 */
void pgw_crash_quarantine_subscribe_crashes(
    struct pgw_crash_quarantine *quarantine,
    void (*on_crash)(uint64_t crash, uint64_t answered_us, bool has_ended,
                     void *context),
    void *context);

/**
 * pgw_crash_quarantine_add_interrupted() - add a run whose connection broke
 * @quarantine: the state
 * @keys: keys of the request
 * @upstream: incarnation that ran it
 * @now_us: monotonic time
 */
void
pgw_crash_quarantine_add_interrupted(struct pgw_crash_quarantine *quarantine,
                                     const struct pgw_crash_keys *keys,
                                     const char *upstream, uint64_t now_us);

/** pgw_crash_quarantine_add_cut() - the same for a run whose connection broke
 * at @cut_us, when nobody knew yet that a crash cut its answer */
void pgw_crash_quarantine_add_cut(struct pgw_crash_quarantine *quarantine,
                                  const struct pgw_crash_keys *keys,
                                  const char *upstream, uint64_t cut_us,
                                  uint64_t now_us);

/** pgw_crash_quarantine_add_abandoned() - add a run that the entry has stopped
 * waiting for, before it ended */
void
pgw_crash_quarantine_add_abandoned(struct pgw_crash_quarantine *quarantine,
                                   const struct pgw_crash_keys *keys,
                                   const char *upstream, uint64_t now_us);

/**
 * pgw_crash_quarantine_add_crash() - add an incarnation that ended without a
 * drain
 * @quarantine: the state
 * @upstream: its id
 * @answered_us: when it last answered this entry, 0: never
 * @now_us: monotonic time
 */
void pgw_crash_quarantine_add_crash(struct pgw_crash_quarantine *quarantine,
                                    const char *upstream, uint64_t answered_us,
                                    uint64_t now_us);

/** pgw_crash_quarantine_add_end() - the same for one whose process is known to
 * have ended; other entries are told, whose runs it may have ended */
void pgw_crash_quarantine_add_end(struct pgw_crash_quarantine *quarantine,
                                  const char *upstream, uint64_t answered_us,
                                  uint64_t now_us);

/** pgw_crash_quarantine_has_crashed() - whether a crash of an incarnation
 * became known lately */
bool
pgw_crash_quarantine_has_crashed(const struct pgw_crash_quarantine *quarantine,
                                 const char *upstream);

/** pgw_crash_quarantine_has_crashed_since() - the same, since a time */
bool pgw_crash_quarantine_has_crashed_since(
    const struct pgw_crash_quarantine *quarantine, const char *upstream,
    uint64_t since_us);

/** pgw_crash_quarantine_crashes() - number of crashes that count against a
 * request: the most of any of its keys */
uint32_t
pgw_crash_quarantine_crashes(const struct pgw_crash_quarantine *quarantine,
                             const struct pgw_crash_keys *keys,
                             uint64_t now_us);

/** pgw_crash_quarantine_clear() - clear the crashes of a request's keys after
 * a completed run */
void pgw_crash_quarantine_clear(struct pgw_crash_quarantine *quarantine,
                                const struct pgw_crash_keys *keys);

/** pgw_crash_quarantine_merge() - count runs that another entry sent; new ones
 * are passed on to the subscriber */
void pgw_crash_quarantine_merge(struct pgw_crash_quarantine *quarantine,
                                const struct pgw_crashed_run *crashed,
                                size_t count, uint64_t now_us);

/**
 * pgw_crash_quarantine_admit() - whether a request may run now
 * @quarantine: the state
 * @keys: keys of the request
 * @trial: token of the trial that the request has claimed, 0: none; updated
 * @claim_us: how long it can wait until its claim stands, 0: it cannot
 * @random: random number for the token of a new claim
 * @now_us: monotonic time
 *
 * Return: what may be done with it. A request with a claim is asked for again
 * until it starts its trial with pgw_crash_quarantine_start_trial(), or gives
 * it up with pgw_crash_quarantine_end_trial().
 */
enum pgw_crash_verdict pgw_crash_quarantine_admit(
    struct pgw_crash_quarantine *quarantine, const struct pgw_crash_keys *keys,
    uint64_t *trial, uint64_t claim_us, uint64_t random, uint64_t now_us);

/** pgw_crash_quarantine_start_trial() - the request with this claim is sent to
 * the incarnation @upstream; its run ends before @until_us */
void pgw_crash_quarantine_start_trial(struct pgw_crash_quarantine *quarantine,
                                      const struct pgw_crash_keys *keys,
                                      uint64_t trial, const char *upstream,
                                      uint64_t until_us, uint64_t now_us);

/** pgw_crash_quarantine_answer_trial() - the run of the trial is over; its
 * result is known before @until_us. Other trials may run at @upstream. */
void pgw_crash_quarantine_answer_trial(struct pgw_crash_quarantine *quarantine,
                                       const struct pgw_crash_keys *keys,
                                       uint64_t trial, const char *upstream,
                                       uint64_t until_us, uint64_t now_us);

/**
 * pgw_crash_quarantine_abandon_trial() - the run of a trial was abandoned
 * @quarantine: the state
 * @keys: keys of the request
 * @trial: token of the trial
 * @upstream: where it ran
 * @now_us: monotonic time
 *
 * Return: when the trial ends without a result at the latest. Other entries
 * take it for failed two seconds later.
 */
uint64_t pgw_crash_quarantine_abandon_trial(
    struct pgw_crash_quarantine *quarantine, const struct pgw_crash_keys *keys,
    uint64_t trial, const char *upstream, uint64_t now_us);

/** pgw_crash_quarantine_end_abandoned_trial() - the upstream of a trial whose
 * run was abandoned has crashed */
void pgw_crash_quarantine_end_abandoned_trial(
    struct pgw_crash_quarantine *quarantine, const struct pgw_crash_keys *keys,
    uint64_t trial, uint64_t now_us);

/** pgw_crash_quarantine_has_trial_at() - whether an incarnation runs another
 * trial than @trial, of any entry */
bool pgw_crash_quarantine_has_trial_at(
    const struct pgw_crash_quarantine *quarantine, uint64_t trial,
    const char *upstream, uint64_t now_us);

/**
 * pgw_crash_quarantine_end_trial() - end a claim or a trial
 * @quarantine: the state
 * @keys: keys of the request
 * @trial: its token
 * @result: how it ended
 * @now_us: monotonic time
 *
 * A run that completed is reported with pgw_crash_quarantine_clear() before.
 */
void pgw_crash_quarantine_end_trial(struct pgw_crash_quarantine *quarantine,
                                    const struct pgw_crash_keys *keys,
                                    uint64_t trial,
                                    enum pgw_trial_result result,
                                    uint64_t now_us);

/** pgw_crash_quarantine_trials() - number of trials of a request's suspects
 * that have ended without a completed run: the most of any of them */
uint32_t
pgw_crash_quarantine_trials(const struct pgw_crash_quarantine *quarantine,
                            const struct pgw_crash_keys *keys);

/** pgw_crash_quarantine_trial_wait_us() - how long it takes until a trial of
 * the request's suspects may start; 0: one may now, or is in progress */
uint64_t pgw_crash_quarantine_trial_wait_us(
    const struct pgw_crash_quarantine *quarantine,
    const struct pgw_crash_keys *keys, uint64_t now_us);

/** pgw_crash_quarantine_is_active() - whether a request is quarantined, as a
 * whole or for parts of its prompt */
bool
pgw_crash_quarantine_is_active(const struct pgw_crash_quarantine *quarantine,
                               const struct pgw_crash_keys *keys,
                               uint64_t now_us);

/** pgw_crash_quarantine_list() - what another entry has to know, as &struct
 * pgw_crashed_run; free with g_array_unref() */
GArray *
pgw_crash_quarantine_list(const struct pgw_crash_quarantine *quarantine,
                          uint64_t now_us);

/** pgw_crash_quarantine_list_suspects() - the same of the keys that so many
 * crashes speak against that they are only run as trials; free the array with
 * g_array_unref() */
GArray *pgw_crash_quarantine_list_suspects(
    const struct pgw_crash_quarantine *quarantine, uint64_t now_us);

#endif
