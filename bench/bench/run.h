#ifndef BENCH_RUN_H
#define BENCH_RUN_H

#include <json-glib/json-glib.h>

#include "options.h"

/** run_policies() - measure each policy on a fresh fleet, one after another */
void run_policies(JsonBuilder *out, const struct bench_options *options);

/** run_overhead() - see %MODE_OVERHEAD and the following modes */
void run_overhead(JsonBuilder *out, const struct bench_options *options);
void run_streams(JsonBuilder *out, const struct bench_options *options);
void run_saturate(JsonBuilder *out, const struct bench_options *options);

#endif
