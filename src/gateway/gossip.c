#include "gateway/gossip.h"
#include "gateway/crashed_runs.h"
#include "libparsleygw/link.h"
#include "util/list.h"
#include "util/log.h"
#include "util/random.h"
#include <string.h>

/* Seeds that do not answer are tried again after this time and up to twice as
 * long, so that a herd that starts together does not come in step. */
#define RECONNECT_US 500000
/* What changes within this time is announced together. */
#define NEWS_US 150000
/* A frame of copies is sent when it has so many bytes; with one more object of
 * the most that the store takes (1 MiB) it stays below PGW_FRAME_MAX_SIZE. */
#define FRAME_BYTES ((size_t)1 << 20)
/* Kinds of objects that are passed on. */
#define KINDS_MAX 8

/**
 * struct revisions - how far each kind has come
 * @kinds: names, owned
 * @reached: newest revision of each
 * @count: number of @kinds
 */
struct revisions {
    char *kinds[KINDS_MAX];
    uint64_t reached[KINDS_MAX];
    size_t count;
};

/**
 * struct peer - one connection to another entry
 * @seed: index of the seed that it leads to, -1: it came to us
 * @has: what it says that it has reached
 * @told: what it was told that we have reached
 */
struct peer {
    struct pgw_list in_mesh;
    struct pgw_gossip *mesh;
    struct pgw_link *link;
    int seed;
    struct revisions has;
    struct revisions told;
};

struct seed {
    struct pgw_gossip *mesh;
    struct pgw_address address;
    struct pgw_timer timer;
    int index;
};

struct pgw_gossip {
    struct pgw_loop *loop;
    struct pgw_gossip_options options;
    struct pgw_documents *documents;
    struct revisions reached;
    struct pgw_timer news_timer;
    struct pgw_timer ask_timer;
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
send_documents(struct pgw_link *link, const GPtrArray *list)
{
    Pgw__Documents message = PGW__DOCUMENTS__INIT;
    Pgw__Document *copies = g_new0(Pgw__Document, list->len);
    Pgw__Document **pointers = g_new0(Pgw__Document *, list->len);

    for (unsigned i = 0; i < list->len; i++) {
        fill_document(&copies[i], g_ptr_array_index(list, i));
        pointers[i] = &copies[i];
    }
    message.n_documents = list->len;
    message.documents = pointers;
    pgw_link_send(link, PGW_FRAME_DOCUMENTS, &message.base);
    g_free(copies);
    g_free(pointers);
}

static uint64_t
reached(const struct revisions *revisions, const char *kind)
{
    for (size_t i = 0; i < revisions->count; i++) {
        if (strcmp(revisions->kinds[i], kind) == 0) {
            return revisions->reached[i];
        }
    }
    return 0;
}

static void
raise_to(struct revisions *revisions, const char *kind, uint64_t revision)
{
    size_t i = 0;

    while (i < revisions->count && strcmp(revisions->kinds[i], kind) != 0) {
        i++;
    }
    if (i == KINDS_MAX) {
        pgw_log_warning("too_many_kinds", "kind=%s", kind);
        return;
    }
    if (i == revisions->count) {
        revisions->kinds[i] = g_strdup(kind);
        revisions->count++;
    }
    revisions->reached[i] = MAX(revisions->reached[i], revision);
}

static void
revisions_clear(struct revisions *revisions)
{
    for (size_t i = 0; i < revisions->count; i++) {
        g_free(revisions->kinds[i]);
    }
    revisions->count = 0;
}

static void
send_news(struct pgw_link *link, const struct revisions *revisions, bool ask)
{
    Pgw__News message = PGW__NEWS__INIT;
    Pgw__KindRevision kinds[KINDS_MAX];
    Pgw__KindRevision *pointers[KINDS_MAX];

    for (size_t i = 0; i < revisions->count; i++) {
        pgw__kind_revision__init(&kinds[i]);
        kinds[i].kind = revisions->kinds[i];
        kinds[i].revision = revisions->reached[i];
        pointers[i] = &kinds[i];
    }
    message.n_kinds = revisions->count;
    message.kinds = pointers;
    message.ask = ask;
    pgw_link_send(link, PGW_FRAME_NEWS, &message.base);
}

/* Tells a peer how far we are, unless it is as far or was told. */
static void
tell_peer(struct peer *peer)
{
    const struct revisions *own = &peer->mesh->reached;
    bool news = false;

    for (size_t i = 0; i < own->count; i++) {
        const char *kind = own->kinds[i];

        if (own->reached[i] > reached(&peer->has, kind) &&
            own->reached[i] > reached(&peer->told, kind)) {
            news = true;
        }
    }
    if (!news) {
        return;
    }
    send_news(peer->link, own, false);
    for (size_t i = 0; i < own->count; i++) {
        raise_to(&peer->told, own->kinds[i], own->reached[i]);
    }
}

static void
news_due(struct pgw_timer *timer)
{
    struct pgw_gossip *mesh =
        pgw_container_of(timer, struct pgw_gossip, news_timer);

    pgw_list_foreach (link, &mesh->peers) {
        tell_peer(pgw_container_of(link, struct peer, in_mesh));
    }
}

static bool
is_ahead(const struct peer *peer)
{
    for (size_t i = 0; i < peer->has.count; i++) {
        if (peer->has.reached[i] >
            reached(&peer->mesh->reached, peer->has.kinds[i])) {
            return true;
        }
    }
    return false;
}

/* Asks one peer that is ahead; if it does not answer, another one follows. */
static void
ask_due(struct pgw_timer *timer)
{
    struct pgw_gossip *mesh =
        pgw_container_of(timer, struct pgw_gossip, ask_timer);

    pgw_list_foreach (link, &mesh->peers) {
        struct peer *peer = pgw_container_of(link, struct peer, in_mesh);

        if (!is_ahead(peer) || !pgw_link_is_open(peer->link)) {
            continue;
        }
        pgw_log_info("ask_peer", "seed=%d", peer->seed);
        send_news(peer->link, &mesh->reached, true);
        /* The one that was asked goes behind the others. */
        pgw_list_remove(&peer->in_mesh);
        pgw_list_append(&mesh->peers, &peer->in_mesh);
        pgw_timer_start(mesh->loop, &mesh->ask_timer,
                        mesh->options.ask_after_us);
        return;
    }
}

static void
take_document(struct pgw_gossip *mesh, const struct pgw_document *document)
{
    const struct pgw_document *stored =
        pgw_documents_put(mesh->documents, document);

    if (stored == NULL) {
        return;
    }
    raise_to(&mesh->reached, stored->kind, stored->revision);
    if (mesh->news_timer.position == 0) {
        pgw_timer_start(mesh->loop, &mesh->news_timer, NEWS_US);
    }
    mesh->options.on_document(stored, mesh->options.context);
}

void
pgw_gossip_put(struct pgw_gossip *mesh, const struct pgw_document *document)
{
    take_document(mesh, document);
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

    take_document(peer->mesh, &document);
    g_free(body);
}

/*
 * Everything that is newer than what a peer has reached, the oldest first: a
 * peer that loses the connection half-way has reached just what it got, and
 * asks for the rest.
 */
static void
answer_peer(struct peer *peer, const struct revisions *since)
{
    GPtrArray *all = pgw_documents_list(peer->mesh->documents, NULL);
    GPtrArray *newer = g_ptr_array_new();
    size_t bytes = 0;

    pgw_documents_sort(all);
    for (unsigned i = 0; i < all->len; i++) {
        struct pgw_document *document = g_ptr_array_index(all, i);

        if (document->revision <= reached(since, document->kind)) {
            continue;
        }
        g_ptr_array_add(newer, document);
        bytes += document->deleted ? 0 : strlen(document->body);
        if (bytes >= FRAME_BYTES) {
            send_documents(peer->link, newer);
            g_ptr_array_set_size(newer, 0);
            bytes = 0;
        }
    }
    if (newer->len > 0) {
        send_documents(peer->link, newer);
    }
    g_ptr_array_unref(newer);
    g_ptr_array_unref(all);
}

static void
take_news(struct peer *peer, const Pgw__News *news)
{
    struct pgw_gossip *mesh = peer->mesh;
    struct revisions since = {0};

    for (size_t i = 0; i < news->n_kinds; i++) {
        raise_to(&peer->has, news->kinds[i]->kind, news->kinds[i]->revision);
        raise_to(&since, news->kinds[i]->kind, news->kinds[i]->revision);
    }
    if (news->ask) {
        answer_peer(peer, &since);
    }
    else if (is_ahead(peer) && mesh->ask_timer.position == 0) {
        pgw_timer_start(mesh->loop, &mesh->ask_timer,
                        mesh->reached.count == 0 ? 0
                                                 : mesh->options.ask_after_us);
    }
    revisions_clear(&since);
}

static void
take_crashed_runs(struct peer *peer, const Pgw__CrashedRuns *message)
{
    if (peer->mesh->options.poison != NULL) {
        pgw_crashed_runs_take(peer->mesh->options.poison, message,
                              pgw_now_us());
    }
}

/* To all peers, also to the one that it came from: that one knows it already
 * and does not pass it on. */
static void
on_crashed_runs(const struct pgw_crashed_run *runs, size_t count,
                void *context)
{
    struct pgw_gossip *mesh = context;

    pgw_list_foreach (link, &mesh->peers) {
        struct peer *peer = pgw_container_of(link, struct peer, in_mesh);

        pgw_crashed_runs_send(peer->link, runs, count);
    }
}

/* A peer that is new, or was cut off, gets everything that is known. */
static void
send_known_crashes(struct peer *peer)
{
    GArray *known;

    if (peer->mesh->options.poison == NULL) {
        return;
    }
    known =
        pgw_crash_quarantine_list(peer->mesh->options.poison, pgw_now_us());
    pgw_crashed_runs_send(peer->link,
                          (const struct pgw_crashed_run *)(void *)known->data,
                          known->len);
    g_array_unref(known);
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
    else if (type == PGW_FRAME_NEWS) {
        take_news(context, (const Pgw__News *)message);
    }
    else if (type == PGW_FRAME_CRASHED_RUNS) {
        take_crashed_runs(context, (const Pgw__CrashedRuns *)message);
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
    struct pgw_gossip *mesh = peer->mesh;

    (void)link;
    pgw_log_info("entry_link_lost", "seed=%d reason=%s", peer->seed,
                 error == NULL ? "closed" : error->message);
    if (peer->seed >= 0 && !mesh->closing) {
        start_reconnect(&mesh->seeds[peer->seed]);
    }
    pgw_list_remove(&peer->in_mesh);
    revisions_clear(&peer->has);
    revisions_clear(&peer->told);
    g_free(peer);
}

static const struct pgw_link_ops link_ops = {
    .on_frame = on_frame,
    .on_closed = on_closed,
};

static void
add_peer(struct peer *peer)
{
    pgw_list_append(&peer->mesh->peers, &peer->in_mesh);
    tell_peer(peer);
    send_known_crashes(peer);
}

static void
on_accept(int fd, void *context)
{
    struct pgw_gossip *mesh = context;
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
add_seeds(struct pgw_gossip *mesh)
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

struct pgw_gossip *
pgw_gossip_new(struct pgw_loop *loop, const struct pgw_gossip_options *options,
               GError **error)
{
    struct pgw_gossip *mesh = g_new0(struct pgw_gossip, 1);

    mesh->loop = loop;
    mesh->options = *options;
    pgw_list_init(&mesh->peers);
    mesh->documents = pgw_documents_new();
    mesh->news_timer.on_due = news_due;
    mesh->ask_timer.on_due = ask_due;
    mesh->listener =
        pgw_listener_new(loop, &options->listen, on_accept, mesh, error);
    if (mesh->listener == NULL) {
        pgw_documents_free(mesh->documents);
        g_free(mesh);
        return NULL;
    }
    if (options->poison != NULL) {
        pgw_crash_quarantine_subscribe(options->poison, on_crashed_runs, mesh);
    }
    mesh->instance = g_strdup(options->instance);
    mesh->zone = g_strdup(options->zone);
    add_seeds(mesh);
    return mesh;
}

void
pgw_gossip_free(struct pgw_gossip *mesh)
{
    mesh->closing = true;
    if (mesh->options.poison != NULL) {
        pgw_crash_quarantine_subscribe(mesh->options.poison, NULL, NULL);
    }
    pgw_list_foreach_safe (link, &mesh->peers) {
        pgw_link_close(pgw_container_of(link, struct peer, in_mesh)->link);
    }
    pgw_loop_run_tasks(mesh->loop);
    for (size_t i = 0; i < mesh->seed_count; i++) {
        pgw_timer_stop(mesh->loop, &mesh->seeds[i].timer);
    }
    pgw_timer_stop(mesh->loop, &mesh->news_timer);
    pgw_timer_stop(mesh->loop, &mesh->ask_timer);
    pgw_listener_free(mesh->listener);
    pgw_documents_free(mesh->documents);
    revisions_clear(&mesh->reached);
    g_free(mesh->seeds);
    g_free(mesh->instance);
    g_free(mesh->zone);
    g_free(mesh);
}

const struct pgw_documents *
pgw_gossip_documents(const struct pgw_gossip *mesh)
{
    return mesh->documents;
}

uint16_t
pgw_gossip_port(const struct pgw_gossip *mesh)
{
    return pgw_listener_port(mesh->listener);
}
