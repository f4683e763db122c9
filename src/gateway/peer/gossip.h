#ifndef PGW_GATEWAY_PEER_GOSSIP_H
#define PGW_GATEWAY_PEER_GOSSIP_H

#include "gateway/config/documents.h"
#include "gateway/crash/crash_quarantine.h"
#include "gateway/share/share_table.h"
#include "util/address.h"
#include "util/loop.h"

/**
 * DOC: Gossip between entries about the platform's objects
 *
 * Each entry connects to the few seeds in its settings. Entries advertise the
 * newest revision that they have of each kind, and an entry with an older one
 * requests the documents that it lacks. So an entry that the platform's store
 * refuses, or that starts while the store is down, still learns of
 * configurations, revoked keys and leaving upstreams. An entry that gets them
 * from the store in time requests nothing, so documents are not sent twice.
 * Gossip makes no decisions: the platform's own revisions order the documents.
 *
 * The same connections carry the crashes that each entry counts (&struct
 * pgw_crash_quarantine), since a request that crashes engines may reach
 * another entry with each retry, and the times that refused callers were
 * promised, since they return to any entry.
 */

struct pgw_gossip;

/**
 * struct pgw_gossip_options - settings
 * @listen: address on which other entries connect
 * @seeds: addresses to connect to; the entry's own address is skipped
 * @seed_count: number of @seeds
 * @instance: name of this process
 * @zone: availability zone of this process
 * @request_delay_us: how long an entry with older revisions than a peer waits
 *   for the platform's store before it requests documents from the peer
 * @pushed_kind: kind of small objects whose age matters, NULL: none. Seeds
 * send a change of them to all peers as soon as the store reports it, as they
 * know best how old it is
 * @on_document: called with each newer document, from the store or a peer, and
 *   again when a peer knows better how old one of @pushed_kind is
 * @context: passed to @on_document
 * @quarantine: crash quarantine whose crashes all entries share; NULL: none
 * @shares: shared services whose promises all entries share; NULL: none
 */
struct pgw_gossip_options {
    struct pgw_address listen;
    const struct pgw_address *seeds;
    size_t seed_count;
    const char *instance;
    const char *zone;
    uint64_t request_delay_us;
    const char *pushed_kind;
    void (*on_document)(const struct pgw_document *document, void *context);
    void *context;
    struct pgw_crash_quarantine *quarantine;
    struct pgw_share_table *shares;
};

/** pgw_gossip_new() - listen and start to connect to seeds; fails with
 * %PGW_ERROR_IO */
struct pgw_gossip *pgw_gossip_new(struct pgw_loop *loop,
                                  const struct pgw_gossip_options *options,
                                  GError **error);
void pgw_gossip_free(struct pgw_gossip *gossip);

/** pgw_gossip_is_seed() - whether other entries connect to this one, as its
 * address is among the seeds */
bool pgw_gossip_is_seed(const struct pgw_gossip *gossip);

/** pgw_gossip_put() - add a document from the platform's store */
void pgw_gossip_put(struct pgw_gossip *gossip,
                    const struct pgw_document *document);

/** pgw_gossip_documents() - all known documents */
const struct pgw_documents *
pgw_gossip_documents(const struct pgw_gossip *gossip);

/** pgw_gossip_port() - the port on which other entries connect */
uint16_t pgw_gossip_port(const struct pgw_gossip *gossip);

#endif
