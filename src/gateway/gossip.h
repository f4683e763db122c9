#ifndef PGW_GATEWAY_GOSSIP_H
#define PGW_GATEWAY_GOSSIP_H

#include "gateway/crash_quarantine.h"
#include "gateway/documents.h"
#include "util/address.h"
#include "util/loop.h"

/**
 * DOC: Entries that tell each other the platform's news
 *
 * Each entry connects to the few seeds that its settings name. Entries say
 * which revision of each kind they have reached, and who stays behind asks for
 * what it lacks. An entry that the platform's store turns away, or that starts
 * while the store is down, so learns of configurations, revoked keys and
 * leaving upstreams from the others; one that hears from the store itself asks
 * for nothing, so that copies are not sent twice. Nothing is decided here:
 * copies are compared by the platform's own revisions. On the same connections
 * go the crashes that each entry has seen (&struct pgw_crash_quarantine): a
 * request that brings engines down comes to another entry each time.
 */

struct pgw_gossip;

/**
 * struct pgw_gossip_options - settings
 * @listen: where other entries connect
 * @seeds: addresses to connect to; its own is left out
 * @seed_count: number of @seeds
 * @instance: name of this process
 * @zone: its availability zone
 * @request_delay_us: who knows less than a peer waits so long for the
 * platform's store before it asks that peer
 * @on_document: a newer copy came, from whichever side
 * @context: handed to @on_document
 * @poison: what is known of requests that crash upstreams, kept alike on all
 *   entries; NULL: none
 */
struct pgw_gossip_options {
    struct pgw_address listen;
    const struct pgw_address *seeds;
    size_t seed_count;
    const char *instance;
    const char *zone;
    uint64_t request_delay_us;
    void (*on_document)(const struct pgw_document *document, void *context);
    void *context;
    struct pgw_crash_quarantine *poison;
};

/** pgw_gossip_new() - listen and start connecting; %PGW_ERROR_IO */
struct pgw_gossip *pgw_gossip_new(struct pgw_loop *loop,
                                  const struct pgw_gossip_options *options,
                                  GError **error);
void pgw_gossip_free(struct pgw_gossip *mesh);

/** pgw_gossip_put() - news from the platform's store */
void pgw_gossip_put(struct pgw_gossip *mesh,
                    const struct pgw_document *document);

/** pgw_gossip_documents() - what is known */
const struct pgw_documents *
pgw_gossip_documents(const struct pgw_gossip *mesh);

/** pgw_gossip_port() - the port that it listens on */
uint16_t pgw_gossip_port(const struct pgw_gossip *mesh);

#endif
