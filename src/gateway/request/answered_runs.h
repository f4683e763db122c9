#ifndef PGW_GATEWAY_REQUEST_ANSWERED_RUNS_H
#define PGW_GATEWAY_REQUEST_ANSWERED_RUNS_H

#include "gateway/crash/crash_quarantine.h"
#include "gateway/upstream/upstream_table.h"
#include "util/loop.h"

/**
 * DOC: Runs whose answers have just arrived
 *
 * An upstream may crash of a request that it has answered already. A run is
 * kept until its upstream has answered another request too late for the run to
 * be the cause of a crash.
 */

struct pgw_answered_runs;

/**
 * struct pgw_answered_run - a run whose answer has arrived
 * @request: id of the request, for logs
 * @keys: keys of the request
 * @upstream: where it ran; a reference is held
 * @status: status of the answer
 */
struct pgw_answered_run {
    const char *request;
    const struct pgw_crash_keys *keys;
    struct pgw_upstream *upstream;
    unsigned status;
};

/** pgw_answered_runs_new() - keep runs until crashes that @quarantine learns
 * of, which becomes the subscriber of its crashes */
struct pgw_answered_runs *
pgw_answered_runs_new(struct pgw_loop *loop,
                      struct pgw_crash_quarantine *quarantine);
void pgw_answered_runs_free(struct pgw_answered_runs *runs);

/** pgw_answered_runs_add() - add a run; @run is copied */
void pgw_answered_runs_add(struct pgw_answered_runs *runs,
                           const struct pgw_answered_run *run);

#endif
