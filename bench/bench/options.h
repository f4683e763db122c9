#ifndef BENCH_OPTIONS_H
#define BENCH_OPTIONS_H

#include "workload.h"

/**
 * enum bench_mode - what is measured
 * @MODE_POLICIES: a scenario under each policy
 * @MODE_OVERHEAD: latency added by entry and sidecar
 * @MODE_STREAMS: memory of an entry with many open streams
 * @MODE_SATURATE: rate at which one entry uses one core
 */
enum bench_mode {
    MODE_POLICIES,
    MODE_OVERHEAD,
    MODE_STREAMS,
    MODE_SATURATE,
};

struct bench_options {
    enum bench_mode mode;
    const struct scenario *scenario;
    char **policies;
    double seconds;
    double warmup;
    uint64_t seed;
    double load;
    double skew;
    unsigned faults;
    double time_scale;
    unsigned threads;
    unsigned streams;
    double rate;
    const char *report;
    const char *from;
    const char *dump;
};

/** bench_options_parse() - read the command line; exits on a wrong one */
void bench_options_parse(struct bench_options *out, int argc, char **argv);

#endif
