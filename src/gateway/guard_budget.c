#include "gateway/guard_budget.h"
#include <glib.h>

/* Bytes a second for all entries of other zones together. */
#define FAR_BYTES_S 8192ULL
/* Of these, what goes into the frames that carry the parts. */
#define FAR_FRAME_BYTES_S 2048ULL
/* Reports are no more frequent than this, however few the entries. */
#define FAR_PUSH_MIN_US 100000

uint64_t
pgw_guard_far_period_us(unsigned entries)
{
    uint64_t us = (uint64_t)MAX(entries, 1) * PGW_GUARD_LOAD_BYTES *
                  1000000ULL / FAR_FRAME_BYTES_S;

    return MAX(us, FAR_PUSH_MIN_US);
}

size_t
pgw_guard_far_parts_most(unsigned entries)
{
    uint64_t bytes = (FAR_BYTES_S - FAR_FRAME_BYTES_S) *
                     pgw_guard_far_period_us(entries) / 1000000ULL;
    uint64_t part_bytes = (uint64_t)MAX(entries, 1) * PGW_GUARD_PART_BYTES;

    return MAX(bytes / part_bytes, 1);
}
