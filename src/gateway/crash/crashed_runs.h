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

/** pgw_crashed_runs_pack() - encode runs, to be kept outside the process; free
 * with g_byte_array_unref() */
GByteArray *pgw_crashed_runs_pack(const struct pgw_crashed_run *crashed,
                                  size_t count);

/**
 * pgw_crashed_runs_unpack() - add encoded runs to the quarantine
 * @quarantine: the quarantine
 * @data: bytes of pgw_crashed_runs_pack()
 * @size: number of @data
 * @elapsed_us: time since they were encoded
 * @now_us: monotonic time
 *
 * Return: false: the bytes are malformed, and nothing was added.
 */
bool pgw_crashed_runs_unpack(struct pgw_crash_quarantine *quarantine,
                             const uint8_t *data, size_t size,
                             uint64_t elapsed_us, uint64_t now_us);

#endif
