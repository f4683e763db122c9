#ifndef PGW_GATEWAY_CRASHED_RUNS_H
#define PGW_GATEWAY_CRASHED_RUNS_H

#include "gateway/crash_quarantine.h"
#include "libparsleygw/link.h"

/** pgw_crashed_runs_send() - send to a peer; nothing is sent for @count 0 */
void pgw_crashed_runs_send(struct pgw_link *link,
                           const struct pgw_crashed_run *crashed,
                           size_t count);

/**
 * pgw_crashed_runs_receive() - count what a peer sent
 * @poison: where it is counted
 * @message: what came; items that make no sense are logged and left out
 * @now_us: monotonic time
 */
void pgw_crashed_runs_receive(struct pgw_crash_quarantine *poison,
                              const Pgw__CrashedRuns *message,
                              uint64_t now_us);

#endif
