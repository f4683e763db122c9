#ifndef PGW_GATEWAY_CRASH_UNFRAMED_RUNS_H
#define PGW_GATEWAY_CRASH_UNFRAMED_RUNS_H

#include "gateway/crash/crash_quarantine.h"
#include "util/loop.h"

/**
 * DOC: Runs whose answers ended with their connections
 *
 * An answer with neither a length nor chunks ends with its connection, and so
 * does one whose upstream has crashed between two events. Such a run counts as
 * completed only if no crash of its upstream becomes known meanwhile; else as
 * interrupted.
 */

struct pgw_unframed_runs;

struct pgw_unframed_runs *
pgw_unframed_runs_new(struct pgw_loop *loop,
                      struct pgw_crash_quarantine *quarantine);
void pgw_unframed_runs_free(struct pgw_unframed_runs *runs);

/** pgw_unframed_runs_add() - add a run of a request with @keys that has ended
 * at the incarnation @upstream */
void pgw_unframed_runs_add(struct pgw_unframed_runs *runs,
                           const struct pgw_crash_keys *keys,
                           const char *upstream);

#endif
