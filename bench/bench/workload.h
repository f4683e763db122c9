#ifndef BENCH_WORKLOAD_H
#define BENCH_WORKLOAD_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Seeded workloads
 *
 * A schedule holds every call of a run with its intended send time, the same
 * for every policy: open-loop, so that a slow router does not slow it down.
 * Prompts nest (guide, hostel, walker, question); each level's text is a
 * whole number of the engine's blocks and ends in %WORKLOAD_MARKER.
 */

#define WORKLOAD_MARKER "\n---\n"
#define WORKLOAD_LEVELS 3
#define WORKLOAD_WORKSPACES 8
#define WORKLOAD_TOKEN_BYTES 4
#define WORKLOAD_KEY_SIZE 37

/**
 * struct call_class - one kind of call
 * @profile: profile that it picks
 * @priority: of the profile
 * @service: a plain call that may not be repeated, no model call
 * @deadline_ms: of the profile
 * @ttft_weight: of the profile
 * @level_tokens: size of each shared level, 0 for none
 * @question_tokens: size of the part that no other call has
 * @max_tokens: length of the answer
 * @share: part of the scenario's calls
 * @run: calls that come together with a third level of their own, 0 or 1 for
 *     single calls
 * @within: part of the measured time, from its start, in which all of them
 *     come as fast as they can be sent; 0: spread over all of it
 */
struct call_class {
    const char *profile;
    const char *priority;
    bool service;
    unsigned deadline_ms;
    double ttft_weight;
    unsigned level_tokens[WORKLOAD_LEVELS];
    unsigned question_tokens;
    unsigned max_tokens;
    double share;
    unsigned run;
    double within;
};

/**
 * struct scenario - one deployment
 * @pool: pool of its model engines
 * @service_pool: pool of its plain services
 * @zones: names of its availability zones
 * @rate: calls a second at load 1
 * @guides: first-level prefixes of a workspace
 * @hostels: second-level prefixes of a guide
 * @walkers: third-level prefixes of a hostel
 * @launch: class that the burst multiplies
 */
struct scenario {
    const char *name;
    const char *pool;
    const char *model;
    const char *service_pool;
    const char *zones[3];
    unsigned engines;
    unsigned services;
    double rate;
    unsigned guides;
    unsigned hostels;
    unsigned walkers;
    unsigned n_classes;
    unsigned launch;
    struct call_class classes[4];
};

/** scenario_find() - by name, NULL when there is none */
const struct scenario *scenario_find(const char *name);

/** workload_share() - part of the calls that a workspace sends; sum is 1 */
double workload_share(unsigned workspace);

/**
 * struct workload_options - what a schedule depends on
 * @warmup_s: calls before 0 of the measured time, at a growing rate
 * @seconds: measured time
 * @load: multiplies the arrival rate
 * @skew: exponent of the Zipf-like heat of prefixes
 * @shift_s: when the hottest prefixes change places with cold ones, or < 0
 * @burst_s: when the launch begins, or < 0
 * @time_scale: all times of the workload are divided by it
 */
struct workload_options {
    const struct scenario *scenario;
    uint64_t seed;
    double warmup_s;
    double seconds;
    double load;
    double skew;
    double shift_s;
    double burst_s;
    double time_scale;
};

/**
 * struct arrival - one call
 * @at_us: intended send time since the start of the warm-up
 * @levels: identity of each shared level's text
 * @number: position in the schedule
 */
struct arrival {
    uint64_t at_us;
    unsigned class;
    unsigned workspace;
    uint64_t levels[WORKLOAD_LEVELS];
    size_t number;
};

/**
 * workload_schedule() - all calls of a run in order of time
 *
 * Return: an array of struct arrival; g_array_unref() it.
 */
GArray *workload_schedule(const struct workload_options *options);

/** workload_prompt() - the prompt of a model call */
void workload_prompt(GString *out, const struct scenario *scenario,
                     const struct arrival *arrival, uint64_t seed);

/** workload_key() - UUIDv7 of a plain call, born at @wall_ms */
void workload_key(char out[WORKLOAD_KEY_SIZE], const struct arrival *arrival,
                  uint64_t seed, uint64_t wall_ms);

/** workload_answer() - what the stand-in's model answers to a prompt */
void workload_answer(GString *out, const GString *prompt, unsigned tokens);

#endif
