#ifndef PGW_GATEWAY_REPORT_BUDGET_H
#define PGW_GATEWAY_REPORT_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: What a sidecar sends to entries
 *
 * A sidecar may send 16 KB/s for control, however many entries there are. The
 * more of them, the rarer its reports to each.
 */

/**
 * struct pgw_report_budget - what may be sent to the entries of the own zone
 * @bytes: that may be sent now; below 0 after what could not wait
 * @at_us: when that was worked out, 0: never
 */
struct pgw_report_budget {
    double bytes;
    uint64_t at_us;
};

/**
 * pgw_report_budget_allows_report() - whether a report that can wait may be
 * sent now
 * @budget: the budget
 * @far_entries: entries of other zones that get reports, too
 * @now_us: monotonic time
 */
bool pgw_report_budget_allows_report(struct pgw_report_budget *budget,
                                     unsigned far_entries, uint64_t now_us);

/** pgw_report_budget_spend() - so many bytes were sent; call
 * pgw_report_budget_allows_report() before */
void pgw_report_budget_spend(struct pgw_report_budget *budget, size_t bytes);

/* Size of a report, in bytes: with and without who the engine is, and of a
 * part in it. */
#define PGW_REPORT_FULL_BYTES 80
#define PGW_REPORT_LOAD_BYTES 40
#define PGW_REPORT_PART_BYTES 10

/** pgw_report_budget_remote_period_us() - microseconds between two reports to
 * @entries entries of other zones */
uint64_t pgw_report_budget_remote_period_us(unsigned entries);

/**
 * pgw_report_budget_reaches_remote() - whether sidecars report to entries of
 * other zones unasked
 * @entries: entries of other zones
 * @reached: whether they did so until now
 *
 * Where reports would be too rare, all entries of a zone send to the engine
 * that looked idle in the last one. These weigh their own zone then, and ask
 * others before a prompt is sent there.
 */
bool pgw_report_budget_reaches_remote(unsigned entries, bool reached);

/** pgw_report_budget_remote_parts_max() - parts that one such report may carry
 */
size_t pgw_report_budget_remote_parts_max(unsigned entries);

#endif
