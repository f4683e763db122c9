#include "gateway/sidecar/report_budget.h"
#include <glib.h>

/* Bytes per second for the entries of the local zone; fewer where entries of
 * other zones get reports, too. */
#define LOCAL_BYTES_PER_S 15360.0
#define LOCAL_BYTES_PER_S_WITH_REMOTE 8000.0
/* Bytes per second for all entries of other zones together. */
#define REMOTE_BYTES_PER_S 8192ULL
/* Of these, the bytes for the load in each report; the rest is for cached
 * parts. */
#define REMOTE_LOAD_BYTES_PER_S 2048ULL
/* Shortest interval of reports, however few entries there are. */
#define REMOTE_INTERVAL_MIN_US 100000

/* Longest interval at which reports to other zones are useful: in this time an
 * engine prefills half of a long prompt, and all entries decide on the same
 * report. Reports resume only at a clearly shorter interval, so that restarts
 * of a few entries do not switch them on and off. */
#define REMOTE_INTERVAL_MAX_US 150000
#define REMOTE_INTERVAL_RESUME_US 110000

bool
pgw_report_budget_allows_report(struct pgw_report_budget *budget,
                                unsigned remote_entries, uint64_t now_us)
{
    double rate =
        remote_entries > 0 ? LOCAL_BYTES_PER_S_WITH_REMOTE : LOCAL_BYTES_PER_S;
    double filled =
        budget->refilled_at_us == 0
            ? rate
            : budget->available_bytes +
                  (double)(now_us - budget->refilled_at_us) * rate / 1e6;

    /* Unused bytes accumulate for at most one second. */
    budget->available_bytes = MIN(filled, rate);
    budget->refilled_at_us = now_us;
    return budget->available_bytes > 0;
}

void
pgw_report_budget_spend(struct pgw_report_budget *budget, size_t bytes)
{
    budget->available_bytes -= (double)bytes;
}

uint64_t
pgw_report_budget_remote_period_us(unsigned entries)
{
    uint64_t us = (uint64_t)MAX(entries, 1) * PGW_REPORT_LOAD_BYTES *
                  1000000ULL / REMOTE_LOAD_BYTES_PER_S;

    return MAX(us, REMOTE_INTERVAL_MIN_US);
}

bool
pgw_report_budget_reaches_remote(unsigned entries, bool reached)
{
    return pgw_report_budget_remote_period_us(entries) <=
           (reached ? REMOTE_INTERVAL_MAX_US : REMOTE_INTERVAL_RESUME_US);
}

size_t
pgw_report_budget_remote_parts_max(unsigned entries)
{
    uint64_t bytes = (REMOTE_BYTES_PER_S - REMOTE_LOAD_BYTES_PER_S) *
                     pgw_report_budget_remote_period_us(entries) / 1000000ULL;
    uint64_t part_bytes = (uint64_t)MAX(entries, 1) * PGW_REPORT_PART_BYTES;

    return MAX(bytes / part_bytes, 1);
}
