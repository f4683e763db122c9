#ifndef PGW_GATEWAY_MESH_H
#define PGW_GATEWAY_MESH_H

#include "gateway/documents.h"
#include "gateway/poison.h"
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
 * go the crashes that each entry has seen (&struct pgw_poison): a request that
 * brings engines down comes to another entry each time.
 */

struct pgw_mesh;

/**
 * struct pgw_mesh_options - settings
 * @listen: where other entries connect
 * @seeds: addresses to connect to; its own is left out
 * @seed_count: number of @seeds
 * @instance: name of this process
 * @zone: its availability zone
 * @ask_after_us: who knows less than a peer waits so long for the platform's
 *   store before it asks that peer
 * @on_document: a newer copy came, from whichever side
 * @context: handed to @on_document
 * @poison: what is known of requests that crash upstreams, kept alike on all
 *   entries; NULL: none
 */
struct pgw_mesh_options {
    struct pgw_address listen;
    const struct pgw_address *seeds;
    size_t seed_count;
    const char *instance;
    const char *zone;
    uint64_t ask_after_us;
    void (*on_document)(const struct pgw_document *document, void *context);
    void *context;
    struct pgw_poison *poison;
};

/** pgw_mesh_new() - listen and start connecting; %PGW_ERROR_IO */
struct pgw_mesh *pgw_mesh_new(struct pgw_loop *loop,
                              const struct pgw_mesh_options *options,
                              GError **error);
void pgw_mesh_free(struct pgw_mesh *mesh);

/** pgw_mesh_put() - news from the platform's store */
void pgw_mesh_put(struct pgw_mesh *mesh, const struct pgw_document *document);

/** pgw_mesh_documents() - what is known */
const struct pgw_documents *pgw_mesh_documents(const struct pgw_mesh *mesh);

/** pgw_mesh_port() - the port that it listens on */
uint16_t pgw_mesh_port(const struct pgw_mesh *mesh);

#endif
