#ifndef BENCH_HOPS_H
#define BENCH_HOPS_H

#include <json-glib/json-glib.h>

#include "fleet.h"

/**
 * hops_write() - where calls through the entry spent their time
 * @out: receives the members "hops_ms" (percentiles of each hop),
 *       "slow_hops_ms" (means over the slowest twentieth) and "loop_turns"
 * @fleet: processes that still run; their time lines and metrics are read
 *
 * A ring of events holds the last few seconds only; calls whose events are
 * not all there are left out.
 */
void hops_write(JsonBuilder *out, struct fleet *fleet);

#endif
