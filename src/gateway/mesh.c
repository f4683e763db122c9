#include "gateway/mesh.h"
#include "libparsleygw/link.h"
#include "util/list.h"
#include "util/log.h"
#include "util/random.h"
#include <string.h>

/* Seeds that do not answer are tried again after this time and up to twice as
 * long, so that a herd that starts together does not come in step. */
#define RECONNECT_US 500000
/* A peer that has not been heard of is asked by keep-alive probes of the
 * kernel; frames are sent only when there is news. */

/**
 * struct peer - one connection to another entry
 * @seed: index of the seed that it leads to, -1: it came to us
 */
struct peer {
    struct pgw_list in_mesh;
    struct pgw_mesh *mesh;
    struct pgw_link *link;
    int seed;
};

struct seed {
    struct pgw_mesh *mesh;
    struct pgw_address address;
    struct pgw_timer timer;
    int index;
};

struct pgw_mesh {
    struct pgw_loop *loop;
    struct pgw_mesh_options options;
    struct pgw_documents *documents;
    struct pgw_listener *listener;
    struct pgw_list peers;
    struct seed *seeds;
    size_t seed_count;
    char *instance;
    char *zone;
    bool closing;
};

static void
fill_document(Pgw__Document *out, const struct pgw_document *document)
{
    pgw__document__init(out);
    out->kind = document->kind;
    out->name = document->name;
    out->revision = document->revision;
    out->deleted = document->deleted;
    if (!document->deleted) {
        out->body.data = (uint8_t *)document->body;
        out->body.len = strlen(document->body);
    }
}

static void
send_documents(struct pgw_link *link, const struct pgw_document *const *list,
               size_t count)
{
    Pgw__Documents message = PGW__DOCUMENTS__INIT;
    Pgw__Document *copies = g_new0(Pgw__Document, count);
    Pgw__Document **pointers = g_new0(Pgw__Document *, count);

    for (size_t i = 0; i < count; i++) {
        fill_document(&copies[i], list[i]);
        pointers[i] = &copies[i];
    }
    message.n_documents = count;
    message.documents = pointers;
    pgw_link_send(link, PGW_FRAME_DOCUMENTS, &message.base);
    g_free(copies);
    g_free(pointers);
}

static void
pass_on(struct pgw_mesh *mesh, const struct pgw_document *document,
        const struct peer *from)
{
    pgw_list_foreach (link, &mesh->peers) {
        struct peer *peer = pgw_container_of(link, struct peer, in_mesh);

        if (peer != from) {
            send_documents(peer->link, &document, 1);
        }
    }
}

static void
take_document(struct pgw_mesh *mesh, const struct pgw_document *document,
              const struct peer *from)
{
    const struct pgw_document *stored =
        pgw_documents_put(mesh->documents, document);

    if (stored != NULL) {
        pass_on(mesh, stored, from);
        mesh->options.on_document(stored, mesh->options.context);
    }
}

void
pgw_mesh_put(struct pgw_mesh *mesh, const struct pgw_document *document)
{
    take_document(mesh, document, NULL);
}

static void
take_frame_document(struct peer *peer, const Pgw__Document *message)
{
    char *body =
        g_strndup((const char *)message->body.data, message->body.len);
    struct pgw_document document = {
        .kind = message->kind,
        .name = message->name,
        .revision = message->revision,
        .deleted = message->deleted,
        .body = body,
    };

    take_document(peer->mesh, &document, peer);
    g_free(body);
}

static bool
on_frame(struct pgw_link *link, enum pgw_frame_type type,
         ProtobufCMessage *message, void *context)
{
    (void)link;
    if (type == PGW_FRAME_DOCUMENTS) {
        const Pgw__Documents *documents = (const Pgw__Documents *)message;

        for (size_t i = 0; i < documents->n_documents; i++) {
            take_frame_document(context, documents->documents[i]);
        }
    }
    return false;
}

static void
start_reconnect(struct seed *seed)
{
    pgw_timer_start(seed->mesh->loop, &seed->timer,
                    RECONNECT_US + pgw_random_u64() % RECONNECT_US);
}

static void
on_closed(struct pgw_link *link, const GError *error, void *context)
{
    struct peer *peer = context;
    struct pgw_mesh *mesh = peer->mesh;

    (void)link;
    pgw_log_info("entry_link_lost", "seed=%d reason=%s", peer->seed,
                 error == NULL ? "closed" : error->message);
    if (peer->seed >= 0 && !mesh->closing) {
        start_reconnect(&mesh->seeds[peer->seed]);
    }
    pgw_list_remove(&peer->in_mesh);
    g_free(peer);
}

static const struct pgw_link_ops link_ops = {
    .on_frame = on_frame,
    .on_closed = on_closed,
};

static void
add_peer(struct peer *peer)
{
    GPtrArray *all = pgw_documents_list(peer->mesh->documents, NULL);

    pgw_list_append(&peer->mesh->peers, &peer->in_mesh);
    send_documents(peer->link, (const struct pgw_document *const *)all->pdata,
                   all->len);
    g_ptr_array_unref(all);
}

static void
on_accept(int fd, void *context)
{
    struct pgw_mesh *mesh = context;
    struct peer *peer = g_new0(struct peer, 1);
    GError *error = NULL;

    peer->mesh = mesh;
    peer->seed = -1;
    peer->link = pgw_link_accept(mesh->loop, fd, &link_ops, peer, &error);
    if (peer->link == NULL) {
        pgw_log_warning("entry_link", "reason=%s", error->message);
        g_error_free(error);
        g_free(peer);
        return;
    }
    add_peer(peer);
}

static void
connect_seed(struct pgw_timer *timer)
{
    struct seed *seed = pgw_container_of(timer, struct seed, timer);
    struct peer *peer = g_new0(struct peer, 1);
    GError *error = NULL;

    peer->mesh = seed->mesh;
    peer->seed = seed->index;
    peer->link = pgw_link_connect(seed->mesh->loop, &seed->address, &link_ops,
                                  peer, &error);
    if (peer->link == NULL) {
        pgw_log_warning("entry_link", "seed=%d reason=%s", seed->index,
                        error->message);
        g_error_free(error);
        g_free(peer);
        start_reconnect(seed);
        return;
    }
    add_peer(peer);
}

static void
add_seeds(struct pgw_mesh *mesh)
{
    char own[PGW_ADDRESS_TEXT_SIZE];
    char name[PGW_ADDRESS_TEXT_SIZE];

    pgw_address_format(own, &mesh->options.listen);
    mesh->seeds = g_new0(struct seed, mesh->options.seed_count + 1);
    for (size_t i = 0; i < mesh->options.seed_count; i++) {
        struct seed *seed = &mesh->seeds[mesh->seed_count];

        pgw_address_format(name, &mesh->options.seeds[i]);
        if (strcmp(name, own) == 0) {
            continue;
        }
        seed->mesh = mesh;
        seed->address = mesh->options.seeds[i];
        seed->index = (int)mesh->seed_count++;
        seed->timer.on_due = connect_seed;
        pgw_timer_start(mesh->loop, &seed->timer, 0);
    }
}

struct pgw_mesh *
pgw_mesh_new(struct pgw_loop *loop, const struct pgw_mesh_options *options,
             GError **error)
{
    struct pgw_mesh *mesh = g_new0(struct pgw_mesh, 1);

    mesh->loop = loop;
    mesh->options = *options;
    pgw_list_init(&mesh->peers);
    mesh->documents = pgw_documents_new();
    mesh->listener =
        pgw_listener_new(loop, &options->listen, on_accept, mesh, error);
    if (mesh->listener == NULL) {
        pgw_documents_free(mesh->documents);
        g_free(mesh);
        return NULL;
    }
    mesh->instance = g_strdup(options->instance);
    mesh->zone = g_strdup(options->zone);
    add_seeds(mesh);
    return mesh;
}

void
pgw_mesh_free(struct pgw_mesh *mesh)
{
    mesh->closing = true;
    pgw_list_foreach_safe (link, &mesh->peers) {
        pgw_link_close(pgw_container_of(link, struct peer, in_mesh)->link);
    }
    pgw_loop_run_tasks(mesh->loop);
    for (size_t i = 0; i < mesh->seed_count; i++) {
        pgw_timer_stop(mesh->loop, &mesh->seeds[i].timer);
    }
    pgw_listener_free(mesh->listener);
    pgw_documents_free(mesh->documents);
    g_free(mesh->seeds);
    g_free(mesh->instance);
    g_free(mesh->zone);
    g_free(mesh);
}

const struct pgw_documents *
pgw_mesh_documents(const struct pgw_mesh *mesh)
{
    return mesh->documents;
}

unsigned
pgw_mesh_peers(const struct pgw_mesh *mesh)
{
    unsigned count = 0;

    pgw_list_foreach (link, &mesh->peers) {
        count += pgw_link_is_open(
            pgw_container_of(link, struct peer, in_mesh)->link);
    }
    return count;
}
