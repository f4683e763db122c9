#include "libparsleygw/sync.h"
#include "libparsleygw/object_batch.h"
#include "libparsleygw/sync_copy.h"
#include "libparsleygw/sync_turn.h"
#include "parsleygw/errors.h"
#include <stdatomic.h>
#include <string.h>

/* A frame with more objects is part of a copy, not of a change just made, and
 * is not forwarded to other peers. */
#define MAX_PUSHED_OBJECTS 16
/* A partner with this much pending on its link keeps its turn. */
#define TURN_MAX_PENDING_BYTES ((size_t)1 << 20)
#define COPY_CHECK_INTERVAL_US UINT64_C(20000)

struct pgw_sync {
    struct pgw_sync_options options;
    GPtrArray *links;
    GHashTable *peer_digests; /* link -> last struct peer_digest */
    struct pgw_sync_turn turn;
    struct pgw_sync_copy copies;
    struct pgw_timer copy_timer;
    uint64_t empty_summary; /* of an empty set */
    atomic_bool settled;    /* see pgw_sync_is_settled() */
    bool listed;            /* all kinds were listed from the store */
    bool seeded;            /* the set started from a bootstrap file */
    struct pgw_timer exchange_timer;
    struct pgw_task notify;
    bool notify_queued;
    bool freed;
};

/* A peer's last digest. */
struct peer_digest {
    uint64_t summary;
    bool complete;
};

/* Whether digests say that the replica is complete. A full copy from a
 * bootstrap file counts for peers, but does not settle this process. */
static bool
is_complete(const struct pgw_sync *sync)
{
    return atomic_load(&sync->settled) || sync->seeded;
}

static void
send_digest(struct pgw_sync *sync, struct pgw_link *link,
            const uint64_t *buckets)
{
    Pgw__Digest digest = PGW__DIGEST__INIT;

    digest.summary = pgw_config_set_summary(sync->options.set);
    digest.complete = is_complete(sync);
    if (buckets != NULL) {
        digest.n_buckets = PGW_CONFIG_BUCKETS;
        digest.buckets = (uint64_t *)buckets;
    }
    pgw_link_send(link, PGW_FRAME_DIGEST, &digest.base);
}

static void
on_exchange_timer(struct pgw_timer *timer)
{
    struct pgw_sync *sync =
        pgw_container_of(timer, struct pgw_sync, exchange_timer);
    uint64_t interval = sync->options.interval_us;

    if (sync->links->len > 0) {
        guint index = (guint)g_random_int_range(0, (gint32)sync->links->len);
        struct pgw_link *link = g_ptr_array_index(sync->links, index);

        if (!pgw_sync_turn_is_held_by_other(&sync->turn, link, pgw_now_us())) {
            send_digest(sync, link, NULL);
        }
    }
    /* Jitter desynchronizes processes that started together. */
    pgw_timer_start(sync->options.loop, timer,
                    interval / 2 +
                        (uint64_t)(g_random_double() * (double)interval));
}

static void
run_notify(struct pgw_task *task)
{
    struct pgw_sync *sync = pgw_container_of(task, struct pgw_sync, notify);

    sync->notify_queued = false;
    if (sync->freed) {
        g_free(sync);
        return;
    }
    sync->options.on_change(sync->options.context);
}

static uint64_t
compute_empty_summary(void)
{
    struct pgw_config_set *set = pgw_config_set_new();
    uint64_t summary = pgw_config_set_summary(set);

    pgw_config_set_free(set);
    return summary;
}

static void on_copy_timer(struct pgw_timer *timer);

struct pgw_sync *
pgw_sync_new(const struct pgw_sync_options *options)
{
    struct pgw_sync *sync = g_new0(struct pgw_sync, 1);

    sync->options = *options;
    sync->links = g_ptr_array_new();
    sync->peer_digests = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    sync->copies = (struct pgw_sync_copy)PGW_SYNC_COPY_INIT;
    sync->copy_timer.on_due = on_copy_timer;
    sync->empty_summary = compute_empty_summary();
    sync->exchange_timer.on_due = on_exchange_timer;
    sync->notify.run = run_notify;
    pgw_timer_start(options->loop, &sync->exchange_timer,
                    options->interval_us);
    return sync;
}

void
pgw_sync_free(struct pgw_sync *sync)
{
    if (sync == NULL) {
        return;
    }
    pgw_timer_stop(sync->options.loop, &sync->exchange_timer);
    pgw_timer_stop(sync->options.loop, &sync->copy_timer);
    g_queue_clear(&sync->copies.waiting);
    g_ptr_array_unref(sync->links);
    g_hash_table_unref(sync->peer_digests);
    sync->freed = true;
    if (!sync->notify_queued) {
        g_free(sync);
    }
}

void
pgw_sync_add_link(struct pgw_sync *sync, struct pgw_link *link)
{
    g_ptr_array_add(sync->links, link);
    if (!pgw_sync_turn_is_held_by_other(&sync->turn, link, pgw_now_us())) {
        send_digest(sync, link, NULL);
    }
}

void
pgw_sync_remove_link(struct pgw_sync *sync, struct pgw_link *link)
{
    g_ptr_array_remove_fast(sync->links, link);
    g_hash_table_remove(sync->peer_digests, link);
    pgw_sync_turn_release(&sync->turn, link);
    pgw_sync_copy_remove(&sync->copies, link);
}

bool
pgw_sync_is_settled(const struct pgw_sync *sync)
{
    return atomic_load(&sync->settled);
}

static bool
is_empty(const struct pgw_sync *sync)
{
    return pgw_config_set_summary(sync->options.set) == sync->empty_summary;
}

static void
settle_if_listed(struct pgw_sync *sync)
{
    if (sync->listed && !is_empty(sync)) {
        atomic_store(&sync->settled, true);
    }
}

void
pgw_sync_mark_listed(struct pgw_sync *sync)
{
    sync->listed = true;
    settle_if_listed(sync);
}

void
pgw_sync_mark_seeded(struct pgw_sync *sync)
{
    sync->seeded = true;
}

/*
 * Failure: all processes start together, and this one has the same summary as
 * a peer that has listed only some kinds so far. Symptom: it reports that it
 * is ready and refuses a valid key as "unauthorized". The peer's flag is
 * enough: a peer sets it only when its replica is known to be complete from
 * the store, from another complete peer or from its bootstrap file.
 */
static bool
proves_completeness(bool complete)
{
#ifndef PGW_DISABLE_SYNC_COMPLETE
    return complete;
#else
    (void)complete;
    return true;
#endif
}

/* Equal summaries of two empty replicas prove nothing. */
static void
settle_if_equal(struct pgw_sync *sync, const struct pgw_link *link)
{
    const struct peer_digest *theirs =
        g_hash_table_lookup(sync->peer_digests, link);

    if (theirs == NULL ||
        theirs->summary != pgw_config_set_summary(sync->options.set)) {
        return;
    }
    pgw_sync_turn_release(&sync->turn, link);
    if (proves_completeness(theirs->complete) && !is_empty(sync)) {
        atomic_store(&sync->settled, true);
    }
}

static void
record_peer_digest(struct pgw_sync *sync, struct pgw_link *link,
                   const Pgw__Digest *digest)
{
    struct peer_digest *last = g_new(struct peer_digest, 1);

    last->summary = digest->summary;
    last->complete = digest->complete;
    g_hash_table_insert(sync->peer_digests, link, last);
    settle_if_equal(sync, link);
}

static void
push_to_link(struct pgw_link *link, const char *kind, const char *name,
             uint64_t version, const char *value)
{
    struct pgw_object_batch batch;

    pgw_object_batch_init(&batch, link);
    pgw_object_batch_add(kind, name, version, value, &batch);
    pgw_object_batch_dispose(&batch);
}

/* A few random links suffice: a change reaches all processes in a logarithmic
 * number of rounds, and its cost does not grow with the number of links. */
static void
push(struct pgw_sync *sync, const struct pgw_link *origin, const char *kind,
     const char *name, uint64_t version, const char *value)
{
    guint count = sync->links->len;
    guint start;
    unsigned sent = 0;

    if (count == 0) {
        return;
    }
    start = (guint)g_random_int_range(0, (gint32)count);
    for (guint i = 0; i < count && sent < sync->options.push_links; i++) {
        struct pgw_link *link =
            g_ptr_array_index(sync->links, (start + i) % count);

        if (link != origin) {
            push_to_link(link, kind, name, version, value);
            sent++;
        }
    }
}

static bool
apply_object(struct pgw_sync *sync, const struct pgw_link *origin,
             const char *kind, const char *name, uint64_t version,
             const char *value, bool push_change, GError **error)
{
    bool changed = false;

    if (!pgw_config_set_apply(sync->options.set, kind, name, version, value,
                              &changed, error)) {
        return false;
    }
    if (!changed) {
        return true;
    }
    if (push_change) {
        push(sync, origin, kind, name, version, value);
    }
    if (!sync->notify_queued) {
        sync->notify_queued = true;
        pgw_loop_post(sync->options.loop, &sync->notify);
    }
    return true;
}

bool
pgw_sync_apply_object(struct pgw_sync *sync, const char *kind,
                      const char *name, uint64_t version, const char *value,
                      bool is_new_change, GError **error)
{
    bool ok = apply_object(sync, NULL, kind, name, version, value,
                           is_new_change, error);

    settle_if_listed(sync);
    return ok;
}

static void
handle_objects(struct pgw_sync *sync, struct pgw_link *link,
               const Pgw__Objects *message)
{
    pgw_sync_turn_refresh(&sync->turn, link, pgw_now_us());
    for (size_t i = 0; i < message->n_objects; i++) {
        const Pgw__Object *object = message->objects[i];
        char *value = object->deleted
                          ? NULL
                          : g_strndup((const char *)object->value.data,
                                      object->value.len);
        GError *error = NULL;

        /* A value that this program version refuses is not applied; the
         * object's earlier version stays in force. */
        if (!apply_object(sync, link, object->kind, object->name,
                          object->version, value,
                          message->n_objects <= MAX_PUSHED_OBJECTS, &error)) {
            g_message("event=config_refused kind=%s name=%s error=%s",
                      object->kind, object->name, error->message);
            g_clear_error(&error);
        }
        g_free(value);
    }
    settle_if_equal(sync, link);
}

/* Sends the versions of the objects in the buckets of @wanted. */
static void
send_versions(struct pgw_sync *sync, struct pgw_link *link, const bool *wanted,
              bool answer)
{
    Pgw__Digest digest = PGW__DIGEST__INIT;
    GArray *versions = pgw_config_set_versions(sync->options.set, wanted);
    Pgw__ObjectVersion *items = g_new(Pgw__ObjectVersion, versions->len + 1);
    Pgw__ObjectVersion **pointers =
        g_new(Pgw__ObjectVersion *, versions->len + 1);
    uint32_t covered[PGW_CONFIG_BUCKETS];

    for (uint32_t i = 0; i < PGW_CONFIG_BUCKETS; i++) {
        if (wanted[i]) {
            covered[digest.n_covered++] = i;
        }
    }
    for (guint i = 0; i < versions->len; i++) {
        const struct pgw_config_version *version =
            &g_array_index(versions, struct pgw_config_version, i);

        items[i] = (Pgw__ObjectVersion)PGW__OBJECT_VERSION__INIT;
        items[i].kind = (char *)version->kind;
        items[i].name = (char *)version->name;
        items[i].version = version->version;
        pointers[i] = &items[i];
    }
    digest.summary = pgw_config_set_summary(sync->options.set);
    digest.complete = is_complete(sync);
    digest.answer = answer;
    digest.covered = covered;
    digest.n_objects = versions->len;
    digest.objects = pointers;
    pgw_link_send(link, PGW_FRAME_DIGEST, &digest.base);
    g_free(pointers);
    g_free(items);
    g_array_unref(versions);
}

static void
compare_buckets(struct pgw_sync *sync, struct pgw_link *link,
                const Pgw__Digest *digest)
{
    uint64_t own[PGW_CONFIG_BUCKETS];
    bool wanted[PGW_CONFIG_BUCKETS];

    pgw_config_set_digest(sync->options.set, own);
    for (size_t i = 0; i < PGW_CONFIG_BUCKETS; i++) {
        wanted[i] = own[i] != digest->buckets[i];
    }
    send_versions(sync, link, wanted, false);
}

static void
compare_versions(struct pgw_sync *sync, struct pgw_link *link,
                 const Pgw__Digest *digest)
{
    bool covered[PGW_CONFIG_BUCKETS] = {false};
    GArray *peer =
        g_array_sized_new(FALSE, FALSE, sizeof(struct pgw_config_version),
                          (guint)digest->n_objects);
    struct pgw_object_batch batch;
    size_t newer_at_peer;

    for (size_t i = 0; i < digest->n_covered; i++) {
        if (digest->covered[i] < PGW_CONFIG_BUCKETS) {
            covered[digest->covered[i]] = true;
        }
    }
    for (size_t i = 0; i < digest->n_objects; i++) {
        struct pgw_config_version item = {
            .kind = digest->objects[i]->kind,
            .name = digest->objects[i]->name,
            .version = digest->objects[i]->version,
        };

        g_array_append_val(peer, item);
    }
    pgw_object_batch_init(&batch, link);
    newer_at_peer = pgw_config_set_diff(
        sync->options.set, (const struct pgw_config_version *)peer->data,
        peer->len, covered, pgw_object_batch_add, &batch);
    pgw_object_batch_dispose(&batch);
    g_array_unref(peer);
    if (newer_at_peer == 0) {
        /* An empty list may come from an empty peer. If it counted as proof,
         * a process with part of the configuration would refuse profiles that
         * exist. Once the peer holds the objects sent above, its summary is
         * equal. */
        if (digest->n_objects > 0 && proves_completeness(digest->complete)) {
            atomic_store(&sync->settled, true);
        }
        if (pgw_link_pending_bytes(link) < TURN_MAX_PENDING_BYTES) {
            pgw_sync_turn_release(&sync->turn, link);
        }
    }
    /*
     * The peer compares this list and sends its newer objects. An answer is
     * not answered again: a value that one side refuses would be requested in
     * an endless loop and fill the link. The next periodic summary tries
     * again.
     */
    if (newer_at_peer > 0 && !digest->answer) {
        send_versions(sync, link, covered, true);
    }
}

/* An empty replica has nothing to compare, so it requests all buckets. */
static void
request_copy(struct pgw_sync *sync, struct pgw_link *link)
{
    bool all[PGW_CONFIG_BUCKETS];

    if (pgw_sync_turn_try_request_copy(&sync->turn, pgw_now_us())) {
        memset(all, true, sizeof(all));
        send_versions(sync, link, all, false);
    }
}

static void
send_copy(struct pgw_sync *sync, struct pgw_link *link)
{
    struct pgw_object_batch batch;

    pgw_object_batch_init(&batch, link);
    pgw_config_set_foreach(sync->options.set, pgw_object_batch_add, &batch);
    pgw_object_batch_dispose(&batch);
}

static void
send_queued_copies(struct pgw_sync *sync)
{
    struct pgw_sync_copy *copies = &sync->copies;
    struct pgw_link *link;

    do {
        size_t pending = copies->current == NULL
                             ? 0
                             : pgw_link_pending_bytes(copies->current);

        link = pgw_sync_copy_next(copies, pending, pgw_now_us());
        if (link != NULL) {
            send_copy(sync, link);
        }
    } while (link != NULL);
    if (!g_queue_is_empty(&copies->waiting)) {
        pgw_timer_start(sync->options.loop, &sync->copy_timer,
                        COPY_CHECK_INTERVAL_US);
    }
}

static void
on_copy_timer(struct pgw_timer *timer)
{
    send_queued_copies(pgw_container_of(timer, struct pgw_sync, copy_timer));
}

/*
 * An empty peer has nothing to compare and needs no turn. If it had to wait
 * for one, only the first of many peers that restart together would get a
 * copy, and the others would read the store. The digest sent here makes the
 * peer request the copy.
 */
static void
handle_empty_peer(struct pgw_sync *sync, struct pgw_link *link,
                  const Pgw__Digest *digest)
{
    if (digest->n_covered == 0) {
        send_digest(sync, link, NULL);
        return;
    }
    pgw_sync_copy_enqueue(&sync->copies, link);
    send_queued_copies(sync);
}

static void
handle_digest(struct pgw_sync *sync, struct pgw_link *link,
              const Pgw__Digest *digest)
{
    uint64_t own[PGW_CONFIG_BUCKETS];

    record_peer_digest(sync, link, digest);
    if (digest->summary == pgw_config_set_summary(sync->options.set)) {
        return;
    }
#ifndef PGW_DISABLE_SYNC_COPY
    if (digest->summary == sync->empty_summary) {
        handle_empty_peer(sync, link, digest);
        return;
    }
#endif
    pgw_sync_copy_remove(&sync->copies, link);
    if (!pgw_sync_turn_acquire(&sync->turn, link, pgw_now_us())) {
        return;
    }
    if (digest->n_covered > 0) {
        compare_versions(sync, link, digest);
    }
    else if (is_empty(sync)) {
        request_copy(sync, link);
    }
    else if (digest->n_buckets == PGW_CONFIG_BUCKETS) {
        compare_buckets(sync, link, digest);
    }
    else {
        pgw_config_set_digest(sync->options.set, own);
        send_digest(sync, link, own);
    }
}

bool
pgw_sync_handle_frame(struct pgw_sync *sync, struct pgw_link *link,
                      enum pgw_frame_type type,
                      const ProtobufCMessage *message)
{
    switch (type) {
    case PGW_FRAME_DIGEST:
        handle_digest(sync, link, (const Pgw__Digest *)message);
        return true;
    case PGW_FRAME_OBJECTS:
        handle_objects(sync, link, (const Pgw__Objects *)message);
        return true;
    default:
        return false;
    }
}
