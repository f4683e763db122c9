#include "gateway/peer/gossip.h"
#include "gateway/crash/crashed_runs.h"
#include "gateway/peer/return_news.h"
#include "libparsleygw/link.h"
#include "util/list.h"
#include "util/listener.h"
#include "util/log.h"
#include "util/random.h"
#include <string.h>

/* Backoff before the next connection to a seed, plus up to as much again at
 * random, so that entries that start together do not reconnect together. */
#define RECONNECT_US 500000
/* Changes within this time are advertised together. */
#define ADVERTISE_DELAY_US 150000
/* Promises within this time are told together: they are of use 0.1 s after
 * they were made. */
#define PROMISE_DELAY_US 20000
/* Size of a promise in a message. */
#define PROMISE_BYTES 20
/* Bytes per second of promises that an entry sends to all peers together. The
 * control traffic of a process may be 16 KB/s; callers whose promise is not
 * told are new ones at other entries. */
#define PROMISE_BYTES_PER_S 4096.0
/* A frame of documents is sent once it has this size. With one more object of
 * the largest size that the store accepts (1 MiB), it stays below
 * PGW_FRAME_MAX_SIZE. */
#define FRAME_TARGET_BYTES ((size_t)1 << 20)
/* Maximum number of kinds of objects. */
#define KINDS_MAX 8

/**
 * struct revisions - newest revision of each kind of object
 * @kinds: names, owned
 * @reached: newest revision of each of @kinds
 * @count: number of @kinds
 */
struct revisions {
    char *kinds[KINDS_MAX];
    uint64_t reached[KINDS_MAX];
    size_t count;
};

/**
 * struct peer - connection to another entry
 * @seed: index of the seed that was connected to, -1: an accepted connection
 * @received: revisions that the peer has advertised
 * @advertised: revisions of this entry that were advertised to the peer
 */
struct peer {
    struct pgw_list in_gossip;
    struct pgw_gossip *gossip;
    struct pgw_link *link;
    int seed;
    struct revisions received;
    struct revisions advertised;
};

struct seed {
    struct pgw_gossip *gossip;
    struct pgw_address address;
    struct pgw_timer timer;
    int index;
};

struct pgw_gossip {
    struct pgw_loop *loop;
    struct pgw_gossip_options options;
    struct pgw_documents *documents;
    struct revisions own_revisions;
    struct pgw_timer advertise_timer;
    struct pgw_timer request_timer;
    struct pgw_timer promise_timer;
    double promise_bytes; /* may be sent now */
    uint64_t promise_bytes_at_us;
    struct pgw_returned_caller promises[PGW_RETURN_NEWS_MAX];
    size_t promise_count;
    struct pgw_listener *listener;
    struct pgw_list peers;
    struct seed *seeds;
    size_t seed_count;
    char *instance;
    char *zone;
    bool closing;
};

/* Peers do not share a clock, so that ages are sent. */
static uint32_t
age_ms(const struct pgw_document *document, uint64_t now_us)
{
    return document->changed_after_us == 0
               ? 0
               : (uint32_t)MIN((now_us - document->changed_after_us) / 1000 +
                                   1,
                               UINT32_MAX);
}

static void
encode_document(Pgw__Document *out, const struct pgw_document *document)
{
    pgw__document__init(out);
    out->kind = document->kind;
    out->name = document->name;
    out->revision = document->revision;
    out->deleted = document->deleted;
    out->age_ms = age_ms(document, pgw_now_us());
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
        encode_document(&copies[i], g_ptr_array_index(list, i));
        pointers[i] = &copies[i];
    }
    message.n_documents = list->len;
    message.documents = pointers;
    pgw_link_send(link, PGW_FRAME_DOCUMENTS, &message.base);
    g_free(copies);
    g_free(pointers);
}

static uint64_t
revision_of_kind(const struct revisions *revisions, const char *kind)
{
    for (size_t i = 0; i < revisions->count; i++) {
        if (strcmp(revisions->kinds[i], kind) == 0) {
            return revisions->reached[i];
        }
    }
    return 0;
}

static void
raise_revision(struct revisions *revisions, const char *kind,
               uint64_t revision)
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
send_revisions(struct pgw_link *link, const struct revisions *revisions,
               bool request)
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
    message.ask = request;
    pgw_link_send(link, PGW_FRAME_NEWS, &message.base);
}

/* Advertises this entry's revisions, if one of them is newer than the peer's
 * and was not advertised to the peer yet. */
static void
advertise_revisions(struct peer *peer)
{
    const struct revisions *own_revisions = &peer->gossip->own_revisions;
    bool peer_is_behind = false;

    for (size_t i = 0; i < own_revisions->count; i++) {
        const char *kind = own_revisions->kinds[i];

        if (own_revisions->reached[i] >
                revision_of_kind(&peer->received, kind) &&
            own_revisions->reached[i] >
                revision_of_kind(&peer->advertised, kind)) {
            peer_is_behind = true;
        }
    }
    if (!peer_is_behind) {
        return;
    }
    send_revisions(peer->link, own_revisions, false);
    for (size_t i = 0; i < own_revisions->count; i++) {
        raise_revision(&peer->advertised, own_revisions->kinds[i],
                       own_revisions->reached[i]);
    }
}

static void
advertise_due(struct pgw_timer *timer)
{
    struct pgw_gossip *gossip =
        pgw_container_of(timer, struct pgw_gossip, advertise_timer);

    pgw_list_foreach (link, &gossip->peers) {
        advertise_revisions(pgw_container_of(link, struct peer, in_gossip));
    }
}

static bool
is_ahead(const struct peer *peer)
{
    for (size_t i = 0; i < peer->received.count; i++) {
        if (peer->received.reached[i] >
            revision_of_kind(&peer->gossip->own_revisions,
                             peer->received.kinds[i])) {
            return true;
        }
    }
    return false;
}

/* Requests documents from one peer that is ahead. Unless these arrive in time,
 * the next peer is asked. */
static void
request_due(struct pgw_timer *timer)
{
    struct pgw_gossip *gossip =
        pgw_container_of(timer, struct pgw_gossip, request_timer);

    pgw_list_foreach (link, &gossip->peers) {
        struct peer *peer = pgw_container_of(link, struct peer, in_gossip);

        if (!is_ahead(peer) || !pgw_link_is_open(peer->link)) {
            continue;
        }
        pgw_log_info("ask_peer", "seed=%d", peer->seed);
        send_revisions(peer->link, &gossip->own_revisions, true);
        /* Moves the peer to the end, so that another one is asked next. */
        pgw_list_remove(&peer->in_gossip);
        pgw_list_append(&gossip->peers, &peer->in_gossip);
        pgw_timer_start(gossip->loop, &gossip->request_timer,
                        gossip->options.request_delay_us);
        return;
    }
}

static bool
is_pushed(const struct pgw_gossip *gossip, const struct pgw_document *document)
{
    return g_strcmp0(gossip->options.pushed_kind, document->kind) == 0;
}

/* Returns the stored document if @document is newer, else NULL. */
static const struct pgw_document *
store_document(struct pgw_gossip *gossip, const struct pgw_document *document)
{
    const struct pgw_document *stored =
        pgw_documents_put(gossip->documents, document);

    if (stored == NULL) {
        stored = is_pushed(gossip, document)
                     ? pgw_documents_refine(gossip->documents, document)
                     : NULL;
        if (stored != NULL) {
            gossip->options.on_document(stored, gossip->options.context);
        }
        return NULL;
    }
    raise_revision(&gossip->own_revisions, stored->kind, stored->revision);
    if (gossip->advertise_timer.position == 0) {
        pgw_timer_start(gossip->loop, &gossip->advertise_timer,
                        ADVERTISE_DELAY_US);
    }
    gossip->options.on_document(stored, gossip->options.context);
    return stored;
}

static void
push_document(struct pgw_gossip *gossip, const struct pgw_document *document)
{
    GPtrArray *list = g_ptr_array_new();

    g_ptr_array_add(list, (void *)document);
    pgw_list_foreach (link, &gossip->peers) {
        struct peer *peer = pgw_container_of(link, struct peer, in_gossip);

        if (pgw_link_is_open(peer->link)) {
            send_documents(peer->link, list);
        }
    }
    g_ptr_array_unref(list);
}

bool
pgw_gossip_is_seed(const struct pgw_gossip *gossip)
{
    return gossip->seed_count < gossip->options.seed_count;
}

void
pgw_gossip_put(struct pgw_gossip *gossip, const struct pgw_document *document)
{
    const struct pgw_document *stored = store_document(gossip, document);

    if (stored != NULL && pgw_gossip_is_seed(gossip) &&
        is_pushed(gossip, stored)) {
        push_document(gossip, stored);
    }
}

static void
handle_document(struct peer *peer, const Pgw__Document *message)
{
    char *body =
        g_strndup((const char *)message->body.data, message->body.len);
    uint64_t now = pgw_now_us();
    struct pgw_document document = {
        .kind = message->kind,
        .name = message->name,
        .revision = message->revision,
        .deleted = message->deleted,
        .body = body,
        .changed_after_us = message->age_ms == 0
                                ? 0
                                : now - MIN(message->age_ms * 1000ULL, now),
    };

    store_document(peer->gossip, &document);
    g_free(body);
}

/*
 * Sends all documents newer than the peer's revisions, the oldest first. If
 * the connection breaks half-way, the peer's newest revision matches the
 * documents that it got, so that it requests the rest.
 */
static void
send_newer_documents(struct peer *peer, const struct revisions *since)
{
    GPtrArray *all = pgw_documents_list(peer->gossip->documents, NULL);
    GPtrArray *newer = g_ptr_array_new();
    size_t bytes = 0;

    pgw_documents_sort(all);
    for (unsigned i = 0; i < all->len; i++) {
        struct pgw_document *document = g_ptr_array_index(all, i);

        if (document->revision <= revision_of_kind(since, document->kind)) {
            continue;
        }
        g_ptr_array_add(newer, document);
        bytes += document->deleted ? 0 : strlen(document->body);
        if (bytes >= FRAME_TARGET_BYTES) {
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
handle_revisions(struct peer *peer, const Pgw__News *message)
{
    struct pgw_gossip *gossip = peer->gossip;
    struct revisions since = {0};

    for (size_t i = 0; i < message->n_kinds; i++) {
        raise_revision(&peer->received, message->kinds[i]->kind,
                       message->kinds[i]->revision);
        raise_revision(&since, message->kinds[i]->kind,
                       message->kinds[i]->revision);
    }
    if (message->ask) {
        send_newer_documents(peer, &since);
    }
    else if (is_ahead(peer) && gossip->request_timer.position == 0) {
        pgw_timer_start(gossip->loop, &gossip->request_timer,
                        gossip->own_revisions.count == 0
                            ? 0
                            : gossip->options.request_delay_us);
    }
    revisions_clear(&since);
}

static void
handle_crashed_runs(struct peer *peer, const Pgw__CrashedRuns *message)
{
    if (peer->gossip->options.quarantine != NULL) {
        pgw_crashed_runs_receive(peer->gossip->options.quarantine, message,
                                 pgw_now_us());
    }
}

/* Sends runs to all peers, including the one that they came from, which has
 * counted them already and does not pass them on. */
static void
on_crashed_runs(const struct pgw_crashed_run *runs, size_t count,
                void *context)
{
    struct pgw_gossip *gossip = context;

    struct pgw_crashed_run *to_all = g_new(struct pgw_crashed_run, count);
    size_t to_all_count = 0;

    for (size_t i = 0; i < count; i++) {
        if (!runs[i].seeds_only) {
            to_all[to_all_count++] = runs[i];
        }
    }
    pgw_list_foreach (link, &gossip->peers) {
        struct peer *peer = pgw_container_of(link, struct peer, in_gossip);

        if (peer->seed >= 0) {
            pgw_crashed_runs_send(peer->link, runs, count);
        }
        else {
            pgw_crashed_runs_send(peer->link, to_all, to_all_count);
        }
    }
    g_free(to_all);
}

static bool
is_seed(const struct pgw_gossip *gossip)
{
    pgw_list_foreach (link, &gossip->peers) {
        if (pgw_container_of(link, struct peer, in_gossip)->seed < 0) {
            return true;
        }
    }
    return false;
}

/* A seed tells all its peers, any other entry one seed, which passes it on. An
 * entry that is not connected to that seed does not hear of these promises. */
static unsigned
count_peers(const struct pgw_gossip *gossip)
{
    unsigned count = 0;

    pgw_list_foreach (link, &gossip->peers) {
        count++;
    }
    return count;
}

/* Of @count promises, as many as may be sent to @peers peers now. */
static size_t
take_promises(struct pgw_gossip *gossip, size_t count, unsigned peers,
              uint64_t now_us)
{
    double each = (double)PROMISE_BYTES * MAX(peers, 1);
    double filled = gossip->promise_bytes_at_us == 0
                        ? PROMISE_BYTES_PER_S
                        : gossip->promise_bytes +
                              (double)(now_us - gossip->promise_bytes_at_us) *
                                  PROMISE_BYTES_PER_S / 1e6;

    gossip->promise_bytes = MIN(filled, PROMISE_BYTES_PER_S);
    gossip->promise_bytes_at_us = now_us;
    count = MIN(count, (size_t)(MAX(gossip->promise_bytes, 0) / each));
    gossip->promise_bytes -= (double)count * each;
    return count;
}

static void
send_promises(struct pgw_timer *timer)
{
    struct pgw_gossip *gossip =
        pgw_container_of(timer, struct pgw_gossip, promise_timer);
    bool to_all = is_seed(gossip);

    gossip->promise_count =
        take_promises(gossip, gossip->promise_count,
                      to_all ? count_peers(gossip) : 1, pgw_now_us());
    if (gossip->promise_count == 0) {
        return;
    }
    pgw_list_foreach (link, &gossip->peers) {
        pgw_return_news_send(
            pgw_container_of(link, struct peer, in_gossip)->link,
            gossip->promises, gossip->promise_count, !to_all, pgw_now_us());
        if (!to_all) {
            break;
        }
    }
    gossip->promise_count = 0;
}

/* What is beyond the room of a message is not told: its callers are new ones
 * to other entries. */
static void
on_promise(const struct pgw_returned_caller *caller, void *context)
{
    struct pgw_gossip *gossip = context;

    if (gossip->promise_count == 0) {
        pgw_timer_start(gossip->loop, &gossip->promise_timer,
                        PROMISE_DELAY_US);
    }
    if (gossip->promise_count < PGW_RETURN_NEWS_MAX) {
        gossip->promises[gossip->promise_count++] = *caller;
    }
}

static void
handle_promises(struct peer *peer, Pgw__News *message)
{
    struct pgw_gossip *gossip = peer->gossip;

    if (gossip->options.shares != NULL) {
        pgw_return_news_receive(gossip->options.shares, message, pgw_now_us());
    }
    if (!message->pass_on) {
        return;
    }
    message->pass_on = false;
    message->n_promises = take_promises(gossip, message->n_promises,
                                        count_peers(gossip), pgw_now_us());
    if (message->n_promises == 0) {
        return;
    }
    pgw_list_foreach (link, &gossip->peers) {
        struct peer *other = pgw_container_of(link, struct peer, in_gossip);

        if (other != peer) {
            pgw_link_send(other->link, PGW_FRAME_NEWS, &message->base);
        }
    }
}

/* Sends all counted crashes to a peer that has connected or reconnected. */
static void
send_all_crashes(struct peer *peer)
{
    GArray *runs;

    if (peer->gossip->options.quarantine == NULL) {
        return;
    }
    runs = pgw_crash_quarantine_list(peer->gossip->options.quarantine,
                                     pgw_now_us());
    pgw_crashed_runs_send(peer->link,
                          (const struct pgw_crashed_run *)(void *)runs->data,
                          runs->len);
    g_array_unref(runs);
}

static bool
on_frame(struct pgw_link *link, enum pgw_frame_type type,
         ProtobufCMessage *message, void *context)
{
    (void)link;
    if (type == PGW_FRAME_DOCUMENTS) {
        const Pgw__Documents *documents = (const Pgw__Documents *)message;

        for (size_t i = 0; i < documents->n_documents; i++) {
            handle_document(context, documents->documents[i]);
        }
    }
    else if (type == PGW_FRAME_NEWS) {
        Pgw__News *news = (Pgw__News *)message;

        if (news->n_promises > 0) {
            handle_promises(context, news);
        }
        else {
            handle_revisions(context, news);
        }
    }
    else if (type == PGW_FRAME_CRASHED_RUNS) {
        handle_crashed_runs(context, (const Pgw__CrashedRuns *)message);
    }
    return false;
}

static void
start_reconnect(struct seed *seed)
{
    pgw_timer_start(seed->gossip->loop, &seed->timer,
                    RECONNECT_US + pgw_random_u64() % RECONNECT_US);
}

static void
on_closed(struct pgw_link *link, const GError *error, void *context)
{
    struct peer *peer = context;
    struct pgw_gossip *gossip = peer->gossip;

    (void)link;
    pgw_log_info("entry_link_lost", "seed=%d reason=%s", peer->seed,
                 error == NULL ? "closed" : error->message);
    if (peer->seed >= 0 && !gossip->closing) {
        start_reconnect(&gossip->seeds[peer->seed]);
    }
    pgw_list_remove(&peer->in_gossip);
    revisions_clear(&peer->received);
    revisions_clear(&peer->advertised);
    g_free(peer);
}

static const struct pgw_link_ops link_ops = {
    .on_frame = on_frame,
    .on_closed = on_closed,
};

static void
add_peer(struct peer *peer)
{
    pgw_list_append(&peer->gossip->peers, &peer->in_gossip);
    advertise_revisions(peer);
    send_all_crashes(peer);
}

static void
on_accept(int fd, void *context)
{
    struct pgw_gossip *gossip = context;
    struct peer *peer = g_new0(struct peer, 1);
    GError *error = NULL;

    peer->gossip = gossip;
    peer->seed = -1;
    peer->link = pgw_link_accept(gossip->loop, fd, &link_ops, peer, &error);
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

    peer->gossip = seed->gossip;
    peer->seed = seed->index;
    peer->link = pgw_link_connect(seed->gossip->loop, &seed->address,
                                  &link_ops, peer, &error);
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
add_seeds(struct pgw_gossip *gossip)
{
    char own_address[PGW_ADDRESS_TEXT_SIZE];
    char name[PGW_ADDRESS_TEXT_SIZE];

    pgw_address_format(own_address, &gossip->options.listen);
    gossip->seeds = g_new0(struct seed, gossip->options.seed_count + 1);
    for (size_t i = 0; i < gossip->options.seed_count; i++) {
        struct seed *seed = &gossip->seeds[gossip->seed_count];

        pgw_address_format(name, &gossip->options.seeds[i]);
        if (strcmp(name, own_address) == 0) {
            continue;
        }
        seed->gossip = gossip;
        seed->address = gossip->options.seeds[i];
        seed->index = (int)gossip->seed_count++;
        seed->timer.on_due = connect_seed;
        pgw_timer_start(gossip->loop, &seed->timer, 0);
    }
}

struct pgw_gossip *
pgw_gossip_new(struct pgw_loop *loop, const struct pgw_gossip_options *options,
               GError **error)
{
    struct pgw_gossip *gossip = g_new0(struct pgw_gossip, 1);

    gossip->loop = loop;
    gossip->options = *options;
    pgw_list_init(&gossip->peers);
    gossip->documents = pgw_documents_new();
    gossip->advertise_timer.on_due = advertise_due;
    gossip->request_timer.on_due = request_due;
    gossip->promise_timer.on_due = send_promises;
    gossip->listener =
        pgw_listener_new(loop, &options->listen, on_accept, gossip, error);
    if (gossip->listener == NULL) {
        pgw_documents_free(gossip->documents);
        g_free(gossip);
        return NULL;
    }
    if (options->quarantine != NULL) {
        pgw_crash_quarantine_subscribe(options->quarantine, on_crashed_runs,
                                       gossip);
    }
    if (options->shares != NULL) {
        options->shares->on_promise = on_promise;
        options->shares->context = gossip;
    }
    gossip->instance = g_strdup(options->instance);
    gossip->zone = g_strdup(options->zone);
    add_seeds(gossip);
    return gossip;
}

void
pgw_gossip_free(struct pgw_gossip *gossip)
{
    gossip->closing = true;
    if (gossip->options.quarantine != NULL) {
        pgw_crash_quarantine_subscribe(gossip->options.quarantine, NULL, NULL);
    }
    if (gossip->options.shares != NULL) {
        gossip->options.shares->on_promise = NULL;
    }
    pgw_list_foreach_safe (link, &gossip->peers) {
        pgw_link_close(pgw_container_of(link, struct peer, in_gossip)->link);
    }
    pgw_loop_run_tasks(gossip->loop);
    for (size_t i = 0; i < gossip->seed_count; i++) {
        pgw_timer_stop(gossip->loop, &gossip->seeds[i].timer);
    }
    pgw_timer_stop(gossip->loop, &gossip->advertise_timer);
    pgw_timer_stop(gossip->loop, &gossip->request_timer);
    pgw_timer_stop(gossip->loop, &gossip->promise_timer);
    pgw_listener_free(gossip->listener);
    pgw_documents_free(gossip->documents);
    revisions_clear(&gossip->own_revisions);
    g_free(gossip->seeds);
    g_free(gossip->instance);
    g_free(gossip->zone);
    g_free(gossip);
}

const struct pgw_documents *
pgw_gossip_documents(const struct pgw_gossip *gossip)
{
    return gossip->documents;
}

uint16_t
pgw_gossip_port(const struct pgw_gossip *gossip)
{
    return pgw_listener_port(gossip->listener);
}
