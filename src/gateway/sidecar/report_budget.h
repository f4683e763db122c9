#ifndef PGW_GATEWAY_SIDECAR_REPORT_BUDGET_H
#define PGW_GATEWAY_SIDECAR_REPORT_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Bandwidth limit of a sidecar's reports to entries
 *
 * A sidecar may send 16 KB/s of control traffic, however many entries there
 * are. With more entries it reports to each less often.
 */

/**
 * struct pgw_report_budget - bytes for reports to entries of the local zone
 * @available_bytes: bytes that may be sent now; below 0 after reports that
 *   could not wait
 * @refilled_at_us: when @available_bytes was last computed, 0: never
 */
struct pgw_report_budget {
    double available_bytes;
    uint64_t refilled_at_us;
};

/**
 * pgw_report_budget_allows_report() - refill the budget, and check whether a
 * report that can wait may be sent now
 * @budget: the budget
 * @remote_entries: entries of other zones that get reports, too
 * @now_us: monotonic time
 */
bool pgw_report_budget_allows_report(struct pgw_report_budget *budget,
                                     unsigned remote_entries, uint64_t now_us);

/** pgw_report_budget_spend() - subtract bytes that were sent; call
 * pgw_report_budget_allows_report() before */
void pgw_report_budget_spend(struct pgw_report_budget *budget, size_t bytes);

/* Size in bytes of a report with the engine's identity and weights, of a
 * report without them, and of each part in a report. */
#define PGW_REPORT_FULL_BYTES 80
#define PGW_REPORT_LOAD_BYTES 40
#define PGW_REPORT_PART_BYTES 10

/** pgw_report_budget_remote_period_us() - microseconds between two reports to
 * the entries of other zones
 * @entries: number of these */
uint64_t pgw_report_budget_remote_period_us(unsigned entries);

/**
 * pgw_report_budget_reaches_remote() - whether sidecars send reports to the
 * entries of other zones without a probe
 * @entries: number of entries of other zones
 * @reached: whether they did so until now
 *
 * If reports are too infrequent, all entries of a zone send their prompts to
 * the engine that was idle in the last report. Entries then consider only
 * their own zone, and probe an engine of another zone before they send a
 * prompt there.
 */
bool pgw_report_budget_reaches_remote(unsigned entries, bool reached);

/** pgw_report_budget_remote_parts_max() - maximum number of parts in one
 * report to entries of other zones
 * @entries: number of these */
size_t pgw_report_budget_remote_parts_max(unsigned entries);

#endif
