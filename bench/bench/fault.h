#ifndef BENCH_FAULT_H
#define BENCH_FAULT_H

#include <stdbool.h>
#include <stdint.h>

/**
 * enum fault - what goes wrong in a run, each at a fixed part of it
 * @FAULT_CRASH: one engine is killed, and back two seconds later
 * @FAULT_SHIFT: the hottest prefixes change places with cold ones
 * @FAULT_HERD: all entries are killed and restarted at once
 * @FAULT_BURST: five times the arrivals for a tenth of the time
 */
enum fault {
    FAULT_CRASH,
    FAULT_SHIFT,
    FAULT_HERD,
    FAULT_BURST,
    FAULT_COUNT,
};

struct fault_kind {
    const char *name;
    double at; /* part of the measured time */
};

extern const struct fault_kind fault_kinds[FAULT_COUNT];

/** fault_parse() - read "crash,herd,.." into a bit set; false if unknown */
bool fault_parse(unsigned *out, const char *text);

#endif
