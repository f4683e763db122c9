#ifndef PGW_GATEWAY_GUARD_BUDGET_H
#define PGW_GATEWAY_GUARD_BUDGET_H

#include <stddef.h>
#include <stdint.h>

/**
 * DOC: What a sidecar sends to entries of other zones
 *
 * A sidecar may send 16 KB/s for control, however many entries there are. Half
 * of that goes to those of other zones: the more of them, the rarer its
 * reports to each.
 */

/* Size of a report, in bytes: with and without who the engine is, and of a
 * part in it. */
#define PGW_GUARD_STATE_BYTES 80
#define PGW_GUARD_LOAD_BYTES 40
#define PGW_GUARD_PART_BYTES 10

/** pgw_guard_far_period_us() - microseconds between two reports to @entries
 * entries of other zones */
uint64_t pgw_guard_far_period_us(unsigned entries);

/** pgw_guard_far_parts_most() - parts that one such report may carry */
size_t pgw_guard_far_parts_most(unsigned entries);

#endif
