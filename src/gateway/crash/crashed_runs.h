#ifndef PGW_GATEWAY_CRASH_CRASHED_RUNS_H
#define PGW_GATEWAY_CRASH_CRASHED_RUNS_H

#include "gateway/crash/crash_quarantine.h"
#include "libparsleygw/link.h"

/** pgw_crashed_runs_send() - send runs to a peer; nothing is sent if @count is
 * 0 */
void pgw_crashed_runs_send(struct pgw_link *link,
                           const struct pgw_crashed_run *crashed,
                           size_t count);

/**
 * pgw_crashed_runs_receive() - add the runs in a peer's message to the
 * quarantine
 * @quarantine: the quarantine
 * @message: the message; runs with a malformed fingerprint are logged and
 *   ignored
 * @now_us: monotonic time
 */
void pgw_crashed_runs_receive(struct pgw_crash_quarantine *quarantine,
                              const Pgw__CrashedRuns *message,
                              uint64_t now_us);

#endif
