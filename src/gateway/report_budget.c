#include "gateway/report_budget.h"
#include <glib.h>

/* Bytes a second for the entries of the own zone; fewer where entries of other
 * zones get reports, too. */
#define NEAR_BYTES_S 15360.0
#define NEAR_BYTES_BESIDE_FAR_S 8000.0
/* Bytes a second for all entries of other zones together. */
#define FAR_BYTES_S 8192ULL
/* Of these, what goes into the frames that carry the parts. */
#define FAR_FRAME_BYTES_S 2048ULL
/* Reports are no more frequent than this, however few the entries. */
#define FAR_PUSH_MIN_US 100000

/* Longest period of reports on which many entries may decide alike: an engine
 * reads half of a long prompt in it. Back again only where it is clearly
 * shorter, so that entries that restart change little. */
#define FAR_PERIOD_MAX_US 150000
#define FAR_PERIOD_BACK_US 110000

bool
pgw_report_budget_allows_report(struct pgw_report_budget *budget,
                                unsigned far_entries, uint64_t now_us)
{
    double rate = far_entries > 0 ? NEAR_BYTES_BESIDE_FAR_S : NEAR_BYTES_S;
    double filled =
        budget->at_us == 0
            ? rate
            : budget->bytes + (double)(now_us - budget->at_us) * rate / 1e6;

    /* What was not sent for a second comes at once at the most. */
    budget->bytes = MIN(filled, rate);
    budget->at_us = now_us;
    return budget->bytes > 0;
}

void
pgw_report_budget_spend(struct pgw_report_budget *budget, size_t bytes)
{
    budget->bytes -= (double)bytes;
}

uint64_t
pgw_report_budget_remote_period_us(unsigned entries)
{
    uint64_t us = (uint64_t)MAX(entries, 1) * PGW_REPORT_LOAD_BYTES *
                  1000000ULL / FAR_FRAME_BYTES_S;

    return MAX(us, FAR_PUSH_MIN_US);
}

bool
pgw_report_budget_reaches_remote(unsigned entries, bool reached)
{
    return pgw_report_budget_remote_period_us(entries) <=
           (reached ? FAR_PERIOD_MAX_US : FAR_PERIOD_BACK_US);
}

size_t
pgw_report_budget_remote_parts_max(unsigned entries)
{
    uint64_t bytes = (FAR_BYTES_S - FAR_FRAME_BYTES_S) *
                     pgw_report_budget_remote_period_us(entries) / 1000000ULL;
    uint64_t part_bytes = (uint64_t)MAX(entries, 1) * PGW_REPORT_PART_BYTES;

    return MAX(bytes / part_bytes, 1);
}
