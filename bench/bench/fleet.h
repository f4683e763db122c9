#ifndef BENCH_FLEET_H
#define BENCH_FLEET_H

#include "failure/harness_process.h"
#include "workload.h"

/**
 * DOC: The processes of one run
 *
 * Object API, engines and plain services with a sidecar each, one entry a
 * zone; all on loopback, on free ports, ended by their process ids.
 */

#define FLEET_ENTRIES 3
#define FLEET_ENGINES_MAX 32
#define FLEET_SERVICES_MAX 8

/**
 * struct fleet_options - what is started
 * @entries: one a zone, at most %FLEET_ENTRIES; 0 for that many
 * @instant: engines need no time for a prompt
 * @decode_ms: of an instant engine, for each token
 * @max_running: calls that one engine runs at once, 0 for the default
 */
struct fleet_options {
    const struct scenario *scenario;
    const char *policy;
    double time_scale;
    unsigned entries;
    bool instant;
    unsigned decode_ms;
    unsigned max_running;
};

struct fleet {
    struct fleet_options options;
    struct harness *harness;
    struct harness_process *objects;
    struct harness_process *engines[FLEET_ENGINES_MAX];
    struct harness_process *services[FLEET_SERVICES_MAX];
    struct harness_process *sidecars[FLEET_ENGINES_MAX + FLEET_SERVICES_MAX];
    struct harness_process *entries[FLEET_ENTRIES];
    uint16_t engine_ports[FLEET_ENGINES_MAX];
    uint16_t service_ports[FLEET_SERVICES_MAX];
    uint16_t sidecar_ports[FLEET_ENGINES_MAX + FLEET_SERVICES_MAX];
    uint16_t entry_ports[FLEET_ENTRIES];
    uint64_t prefilled_before_crash;
};

/** fleet_start() - start all and wait until every entry reaches every sidecar.
 * Call from the main thread: the processes die with the thread. */
struct fleet *fleet_start(const struct fleet_options *options);
void fleet_stop(struct fleet *fleet);

/** fleet_key() - API key of a workspace */
void fleet_key(char *out, size_t size, unsigned workspace);

void fleet_kill_engine(struct fleet *fleet, unsigned engine);
void fleet_start_engine(struct fleet *fleet, unsigned engine);
/** fleet_herd() - kill all entries, then start them on the same ports */
void fleet_herd(struct fleet *fleet);

/**
 * struct fleet_sample - sums of what engines tell about their load
 * @asked: engines that answered
 * @busy: of these, engines that ran something
 */
struct fleet_sample {
    uint64_t asked;
    uint64_t busy;
    uint64_t running;
    uint64_t waiting;
};

void fleet_sample(struct fleet *fleet, struct fleet_sample *sum);

/** fleet_entry_status() - a number of an entry's /status, 0 without answer */
uint64_t fleet_entry_status(struct fleet *fleet, unsigned entry,
                            const char *name);

/** fleet_admin_url() - a path of a daemon's admin port, with g_free() to
 * release; the process has told its port in its log */
char *fleet_admin_url(const struct harness_process *process, const char *path);

/** fleet_prefilled() - prompt tokens that all engines computed so far */
uint64_t fleet_prefilled(struct fleet *fleet);

/** fleet_counts() - executions by idempotency key over all services; keys
 * are strings, values GUINT_TO_POINTER() */
GHashTable *fleet_counts(struct fleet *fleet);

/** fleet_cpu_us() - processor time of a process so far */
uint64_t fleet_cpu_us(const struct harness_process *process);

/** fleet_rss_kb() - resident memory of a process */
uint64_t fleet_rss_kb(const struct harness_process *process);

#endif
