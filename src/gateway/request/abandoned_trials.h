#ifndef PGW_GATEWAY_REQUEST_ABANDONED_TRIALS_H
#define PGW_GATEWAY_REQUEST_ABANDONED_TRIALS_H

#include "gateway/crash/crash_quarantine.h"
#include "gateway/upstream/upstream_table.h"
#include "util/loop.h"

/**
 * DOC: Trials whose runs were abandoned
 *
 * The caller of a trial leaves, or its time is over. The upstream works on the
 * run until it sees the close, so the trial has no result yet. It fails with a
 * crash of its upstream; it ends without a result once the upstream has
 * answered another request too late for the run to be the cause of a crash, or
 * after a fixed time. Until then no other trial of the same suspects starts.
 */

struct pgw_abandoned_trials;

struct pgw_abandoned_trials *
pgw_abandoned_trials_new(struct pgw_loop *loop,
                         struct pgw_crash_quarantine *quarantine);
void pgw_abandoned_trials_free(struct pgw_abandoned_trials *trials);

/**
 * pgw_abandoned_trials_add() - add a trial whose run was just abandoned
 * @trials: the trials
 * @keys: keys of the request
 * @trial: token of the trial
 * @upstream: where it ran; a reference is held
 * @process: its process, as &pgw_upstream.process named it
 */
void pgw_abandoned_trials_add(struct pgw_abandoned_trials *trials,
                              const struct pgw_crash_keys *keys,
                              uint64_t trial, struct pgw_upstream *upstream,
                              const char *process);

#endif
