#ifndef PGW_GATEWAY_CRASH_COMPLETED_PARTS_H
#define PGW_GATEWAY_CRASH_COMPLETED_PARTS_H

#include "gateway/crash/crash_keys.h"

/**
 * DOC: Prompt parts of runs that completed
 *
 * A table of fixed size in which each part has one slot; a part with the same
 * slot replaces it. A part that is missing only loses the benefit of the
 * doubt.
 */

#define PGW_COMPLETED_PARTS_SIZE 4096

/**
 * struct pgw_completed_parts - parts of completed runs
 * @slots: first bytes of their keys, 0: none
 */
struct pgw_completed_parts {
    uint64_t slots[PGW_COMPLETED_PARTS_SIZE];
};

/** pgw_completed_parts_add() - a run of a request with these keys completed */
void pgw_completed_parts_add(struct pgw_completed_parts *parts,
                             const struct pgw_crash_keys *keys);

/** pgw_completed_parts_add_part() - a run with a part completed */
void pgw_completed_parts_add_part(struct pgw_completed_parts *parts,
                                  const struct pgw_fingerprint *part);

/** pgw_completed_parts_has() - whether a run with a part completed */
bool pgw_completed_parts_has(const struct pgw_completed_parts *parts,
                             const struct pgw_fingerprint *part);

#endif
