#ifndef BENCH_CONTROL_H
#define BENCH_CONTROL_H

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "failure/harness_fleet.h"

/**
 * struct control_options - what is measured
 * @seconds: length of an idle period
 * @workspaces: workspaces in the configuration
 * @upstreams: declared upstreams that nobody listens for (part "table")
 * @entries: entries (part "fleet")
 * @sidecars: sidecars (part "fleet")
 * @links: peers of the one real process (parts "entry" and "sidecar")
 * @peer_links: links that each stand-in peer is taken to have in all; its
 *   exchanges fall on each of them in turn
 * @changes: changes of configuration in each phase (part "fleet")
 * @pause_ms: between two of them
 */
struct control_options {
    double seconds;
    unsigned workspaces;
    unsigned upstreams;
    unsigned entries;
    unsigned sidecars;
    unsigned links;
    unsigned peer_links;
    unsigned changes;
    unsigned pause_ms;
};

/**
 * struct sample - what a process has used so far
 * @at_us: monotonic time of the sample
 * @cpu_us: processor time
 * @sent: bytes sent over links
 * @received: bytes received over links
 * @resident_kb: memory now
 * @peak_kb: most memory so far
 */
struct sample {
    uint64_t at_us;
    uint64_t cpu_us;
    double sent;
    double received;
    uint64_t resident_kb;
    uint64_t peak_kb;
};

/** sample_take() - read /proc and the daemon's metrics */
void sample_take(struct sample *out, struct harness_process *process);

/** sample_write() - members for the time between two samples */
void sample_write(JsonBuilder *out, const struct sample *from,
                  const struct sample *to);

/** sample_member() - one number by name */
void sample_member(JsonBuilder *out, const char *name, double value);

/** sample_median() - of @n values, which it sorts; 0 for none */
double sample_median(double *values, size_t n);

/**
 * objects_text() - a whole configuration in the form of a bootstrap file
 * @workspaces: how many, one key each
 * @ports: of the upstreams on 127.0.0.1; 0: an address without a listener
 * @n_ports: how many
 *
 * Return: text to free.
 */
char *objects_text(unsigned workspaces, const uint16_t *ports, size_t n_ports);

/** objects_workspace() - value of one workspace; free it */
char *objects_workspace(unsigned number, unsigned share);

/** objects_put() - create an object in the store. Return: its version */
uint64_t objects_put(struct harness_process *store, const char *kind,
                     const char *name, const char *value);

/** objects_upstream_name() - name of upstream @number */
void objects_upstream_name(char out[32], unsigned number);

/* One part each; they print members into an open JSON object. */
void part_table(JsonBuilder *out, const struct control_options *options);
void part_entry(JsonBuilder *out, const struct control_options *options);
void part_sidecar(JsonBuilder *out, const struct control_options *options);
void part_fleet(JsonBuilder *out, const struct control_options *options);
void part_requests(JsonBuilder *out, const struct control_options *options);

#endif
