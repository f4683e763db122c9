#ifndef BENCH_PEERS_H
#define BENCH_PEERS_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Stand-in peers: the control side of many processes on one thread
 *
 * They speak the real frames and keep the real replica (sync.c), over one
 * shared configuration set. Stand-in sidecars listen on a port each and send
 * their State as an idle sidecar does; stand-in entries connect.
 */

struct peers;

/**
 * struct peers_options - what they are
 * @count: how many
 * @peer_links: links that each is taken to have; 1 of so many exchanges that
 *   it starts falls on the real process
 * @workspaces: in their configuration
 */
struct peers_options {
    unsigned count;
    unsigned peer_links;
    unsigned workspaces;
};

/** peers_listen() - stand-in sidecars, which are the declared upstreams */
struct peers *peers_listen(const struct peers_options *options);

/** peers_connect() - stand-in entries that connect to a sidecar's port */
struct peers *peers_connect(const struct peers_options *options,
                            uint16_t port);

/** peers_port() - port of stand-in sidecar @number */
uint16_t peers_port(const struct peers *peers, unsigned number);

/** peers_greeted() - how many have a connection that said Hello; any thread */
unsigned peers_greeted(struct peers *peers);

/**
 * peers_change() - change a workspace again and again, from now on
 * @interval_us: between two changes
 */
void peers_change(struct peers *peers, uint64_t interval_us);

/** peers_version() - highest version of their configuration */
uint64_t peers_version(const struct peers *peers);

void peers_free(struct peers *peers);

#endif
