#ifndef PGW_GATEWAY_REQUEST_ANSWERED_RUNS_H
#define PGW_GATEWAY_REQUEST_ANSWERED_RUNS_H

#include "gateway/crash/crash_quarantine.h"
#include "gateway/upstream/upstream_table.h"
#include "util/loop.h"

/**
 * DOC: Runs whose answers have arrived, and prove nothing yet
 *
 * An upstream may crash of a request that it has just answered. An answer with
 * neither a length nor chunks ends with its connection, and so does one whose
 * upstream has crashed between two events. A run is complete once its upstream
 * has answered something too late for the run to be the cause of a crash; the
 * upstream of a trial is asked. A run whose upstream crashes before counts
 * like an interrupted one.
 */

struct pgw_gateway;
struct pgw_answered_runs;

/**
 * struct pgw_answered_run - a run whose answer has arrived, or whose
 * connection broke
 * @request: id of the request, for logs
 * @keys: keys of the request
 * @upstream: where it ran; a reference is held
 * @process: its process, as &pgw_upstream.process named it
 * @sent_us: when it was sent
 * @status: status of the answer, 0: it is incomplete
 * @is_cut: its connection has ended, by which the answer ended, too
 * @trial: token of the trial that it was, 0: none; the trial ends with what
 *   the run proves
 */
struct pgw_answered_run {
    const char *request;
    const struct pgw_crash_keys *keys;
    struct pgw_upstream *upstream;
    const char *process;
    uint64_t sent_us;
    unsigned status;
    bool is_cut;
    uint64_t trial;
};

/** pgw_answered_runs_new() - keep the runs of a gateway; subscribes to the
 * crashes of its quarantine */
struct pgw_answered_runs *pgw_answered_runs_new(struct pgw_gateway *gateway);
void pgw_answered_runs_free(struct pgw_answered_runs *runs);

/** pgw_answered_runs_add() - add a run; @run is copied */
void pgw_answered_runs_add(struct pgw_answered_runs *runs,
                           const struct pgw_answered_run *run);

#endif
