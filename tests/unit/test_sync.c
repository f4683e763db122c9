/* Replication of the configuration over links of one event loop. */
#include <string.h>

#include "libparsleygw/sync.h"
#include "util/listener.h"

#define REPLICAS 3
#define MANY_LINKS 40
#define POOL "{\"type\":\"model\",\"model\":\"m\",\"version\":\"w%u\"}"

/**
 * struct replica - replica of one process with its listener and links
 */
struct replica {
    struct pgw_loop *loop;
    struct pgw_config_set *set;
    struct pgw_sync *sync;
    struct pgw_listener *listener;
    GPtrArray *links;
    unsigned changes;
    unsigned frames;
    size_t objects; /* received */
    bool watches_settled;
    bool settled_by_empty_list; /* by an empty list of versions */
};

struct fleet {
    struct pgw_loop *loop;
    struct replica replicas[REPLICAS];
    struct pgw_timer check;
    bool (*is_done)(struct fleet *fleet);
    unsigned checks;
};

static bool
on_frame(struct pgw_link *link, enum pgw_frame_type type,
         ProtobufCMessage *message, void *context)
{
    struct replica *replica = context;

    replica->frames++;
    if (type == PGW_FRAME_OBJECTS) {
        replica->objects += ((const Pgw__Objects *)message)->n_objects;
    }
    g_assert_true(pgw_sync_handle_frame(replica->sync, link, type, message));
    if (replica->watches_settled && type == PGW_FRAME_DIGEST &&
        ((const Pgw__Digest *)message)->n_covered > 0 &&
        ((const Pgw__Digest *)message)->n_objects == 0) {
        replica->settled_by_empty_list |= pgw_sync_is_settled(replica->sync);
    }
    return false;
}

static void
on_closed(struct pgw_link *link, const GError *error, void *context)
{
    struct replica *replica = context;

    (void)error;
    pgw_sync_remove_link(replica->sync, link);
    g_ptr_array_remove(replica->links, link);
}

static const struct pgw_link_ops ops = {
    .on_frame = on_frame,
    .on_closed = on_closed,
};

static void
add_link(struct replica *replica, struct pgw_link *link)
{
    g_assert_nonnull(link);
    g_ptr_array_add(replica->links, link);
    pgw_sync_add_link(replica->sync, link);
}

static void
on_accept(int fd, void *context)
{
    struct replica *replica = context;

    add_link(replica, pgw_link_accept(replica->loop, fd, &ops, replica, NULL));
}

static void
connect_to(struct replica *from, struct replica *to)
{
    struct pgw_address address;
    char *text =
        g_strdup_printf("127.0.0.1:%u", pgw_listener_port(to->listener));

    g_assert_true(pgw_address_parse(&address, text, NULL));
    add_link(from, pgw_link_connect(from->loop, &address, &ops, from, NULL));
    g_free(text);
}

static void
on_change(void *context)
{
    ((struct replica *)context)->changes++;
}

static void
on_check_timer(struct pgw_timer *timer)
{
    struct fleet *fleet = pgw_container_of(timer, struct fleet, check);

    if (fleet->is_done(fleet)) {
        pgw_loop_stop(fleet->loop);
        return;
    }
    g_assert_cmpuint(++fleet->checks, <, 60000);
    pgw_timer_start(fleet->loop, timer, 1000);
}

static struct fleet *
fleet_new(bool (*is_done)(struct fleet *fleet))
{
    struct fleet *fleet = g_new0(struct fleet, 1);
    struct pgw_sync_options options = PGW_SYNC_OPTIONS_INIT;
    struct pgw_address any;

    g_assert_true(pgw_address_parse(&any, "127.0.0.1:0", NULL));
    fleet->loop = pgw_loop_new(NULL);
    fleet->is_done = is_done;
    fleet->check.on_due = on_check_timer;
    pgw_timer_start(fleet->loop, &fleet->check, 1000);
    options.loop = fleet->loop;
    options.on_change = on_change;
    options.interval_us = 5000;
    for (unsigned i = 0; i < REPLICAS; i++) {
        struct replica *replica = &fleet->replicas[i];

        replica->loop = fleet->loop;
        replica->set = pgw_config_set_new();
        replica->links = g_ptr_array_new();
        options.set = replica->set;
        options.context = replica;
        replica->sync = pgw_sync_new(&options);
        replica->listener =
            pgw_listener_new(fleet->loop, &any, on_accept, replica, NULL);
        g_assert_nonnull(replica->listener);
    }
    return fleet;
}

static void
fleet_free(struct fleet *fleet)
{
    for (unsigned i = 0; i < REPLICAS; i++) {
        struct replica *replica = &fleet->replicas[i];

        for (guint k = 0; k < replica->links->len; k++) {
            pgw_link_close(g_ptr_array_index(replica->links, k));
        }
    }
    pgw_loop_run_tasks(fleet->loop);
    for (unsigned i = 0; i < REPLICAS; i++) {
        struct replica *replica = &fleet->replicas[i];

        pgw_sync_free(replica->sync);
        pgw_listener_free(replica->listener);
        g_ptr_array_unref(replica->links);
    }
    pgw_loop_run_tasks(fleet->loop);
    for (unsigned i = 0; i < REPLICAS; i++) {
        pgw_config_set_free(fleet->replicas[i].set);
    }
    pgw_loop_free(fleet->loop);
    g_free(fleet);
}

static void
apply_pool(struct replica *replica, const char *name, uint64_t version)
{
    char *value = g_strdup_printf(POOL, (unsigned)version);
    GError *error = NULL;

    pgw_sync_apply_object(replica->sync, "pool", name, version, value, true,
                          &error);
    g_assert_no_error(error);
    g_free(value);
}

static void
apply_pools(struct replica *replica, unsigned count)
{
    for (unsigned i = 0; i < count; i++) {
        char *name = g_strdup_printf("pool-%u", i);

        apply_pool(replica, name, i + 1);
        g_free(name);
    }
}

static bool
all_agree(struct fleet *fleet)
{
    uint64_t first = pgw_config_set_summary(fleet->replicas[0].set);

    for (unsigned i = 1; i < REPLICAS; i++) {
        if (pgw_config_set_summary(fleet->replicas[i].set) != first) {
            return false;
        }
    }
    return true;
}

/* Three replicas in a chain, each with newer and older objects than the
 * others, converge to the highest version of every object. */
static void
test_replicas_converge(void)
{
    struct fleet *fleet = fleet_new(all_agree);
    struct replica *all = fleet->replicas;

    for (unsigned i = 0; i < REPLICAS; i++) {
        char *own = g_strdup_printf("own-%u", i);

        apply_pool(&all[i], "shared", 10 + i);
        apply_pool(&all[i], own, 100 + i);
        g_free(own);
    }
    apply_pool(&all[0], "gone", 5);
    g_assert_true(pgw_sync_apply_object(all[2].sync, "pool", "gone", 6, NULL,
                                        true, NULL));
    connect_to(&all[0], &all[1]);
    connect_to(&all[1], &all[2]);
    pgw_loop_run(fleet->loop);
    for (unsigned i = 0; i < REPLICAS; i++) {
        g_assert_cmpuint(pgw_config_set_count(all[i].set), ==, 4);
        g_assert_cmpuint(pgw_config_set_version(all[i].set, "pool", "shared"),
                         ==, 12);
        g_assert_null(pgw_config_set_value(all[i].set, "pool", "gone"));
        g_assert_cmpuint(all[i].changes, >, 0);
    }
    fleet_free(fleet);
}

/* A settled replica holds all objects of its peer. */
static bool
all_agree_and_settle(struct fleet *fleet)
{
    const struct replica *late = &fleet->replicas[1];
    bool settled = pgw_sync_is_settled(late->sync);

    if (settled) {
        g_assert_cmpuint(pgw_config_set_count(late->set), ==, 2000);
    }
    return settled && all_agree(fleet);
}

/* An empty replica receives a large configuration, in several frames, from its
 * only peer. */
static void
test_late_starter_catches_up(void)
{
    struct fleet *fleet = fleet_new(all_agree_and_settle);
    struct replica *all = fleet->replicas;

    apply_pools(&all[0], 2000);
    pgw_sync_mark_listed(all[0].sync);
    g_assert_false(pgw_sync_is_settled(all[1].sync));
    connect_to(&all[1], &all[0]);
    connect_to(&all[2], &all[1]);
    pgw_loop_run(fleet->loop);
    g_assert_cmpuint(pgw_config_set_count(all[2].set), ==, 2000);
    fleet_free(fleet);
}

static bool
third_is_settled(struct fleet *fleet)
{
    struct replica *all = fleet->replicas;
    bool whole = pgw_config_set_count(all[0].set) == 7;

    if (pgw_sync_is_settled(all[2].sync)) {
        g_assert_true(whole);
        return true;
    }
    /* The replicas hold equal partial sets for a while before the rest of the
     * list arrives from the store. */
    if (!whole && all_agree(fleet) && fleet->checks > 100) {
        apply_pools(&all[0], 7);
        pgw_sync_mark_listed(all[0].sync);
    }
    return false;
}

/* All replicas start together, and the one that reads the store is still
 * partial. A peer with an equal set does not count as complete either. */
static void
test_partial_replica_settles_no_peer(void)
{
    struct fleet *fleet = fleet_new(third_is_settled);
    struct replica *all = fleet->replicas;

    apply_pools(&all[0], 5);
    connect_to(&all[1], &all[0]);
    connect_to(&all[2], &all[1]);
    pgw_loop_run(fleet->loop);
    g_assert_cmpuint(pgw_config_set_count(all[2].set), ==, 7);
    fleet_free(fleet);
}

/* An empty replica with many links requests the full copy from one peer: the
 * number of received objects stays below three copies. */
static void
test_starter_requests_one_copy(void)
{
    struct fleet *fleet = fleet_new(all_agree);
    struct replica *all = fleet->replicas;

    apply_pools(&all[0], 500);
    for (unsigned i = 0; i < MANY_LINKS; i++) {
        connect_to(&all[1], &all[0]);
    }
    connect_to(&all[2], &all[1]);
    pgw_loop_run(fleet->loop);
    g_assert_cmpuint(all[1].objects, >=, 500);
    g_assert_cmpuint(all[1].objects, <, 3 * 500);
    fleet_free(fleet);
}

static bool
third_has_all(struct fleet *fleet)
{
    return pgw_config_set_count(fleet->replicas[2].set) == 5;
}

/* A partial replica does not become settled by the empty list of a peer that
 * starts empty. */
static void
test_empty_peer_settles_no_peer(void)
{
    struct fleet *fleet = fleet_new(third_has_all);
    struct replica *all = fleet->replicas;

    apply_pools(&all[1], 5);
    all[1].watches_settled = true;
    /* Not even if the empty peer claims to be complete. */
    pgw_sync_mark_seeded(all[2].sync);
    connect_to(&all[2], &all[1]);
    pgw_loop_run(fleet->loop);
    g_assert_false(all[1].settled_by_empty_list);
    fleet_free(fleet);
}

/* A peer of another program version. It follows the protocol, but its only
 * object is refused by the replicas. */
static void
refused_peer_send_versions(struct pgw_link *link)
{
    uint32_t bucket = pgw_config_bucket("pool", "bad");
    Pgw__ObjectVersion version = PGW__OBJECT_VERSION__INIT;
    Pgw__ObjectVersion *list[] = {&version};
    Pgw__Digest digest = PGW__DIGEST__INIT;

    version.kind = "pool";
    version.name = "bad";
    version.version = 9;
    digest.summary = 1;
    digest.covered = &bucket;
    digest.n_covered = 1;
    digest.objects = list;
    digest.n_objects = 1;
    pgw_link_send(link, PGW_FRAME_DIGEST, &digest.base);
}

static void
refused_peer_send_object(struct pgw_link *link)
{
    char bad[] = "{\"type\":\"model\",\"model\":7}";
    Pgw__Object object = PGW__OBJECT__INIT;
    Pgw__Object *list[] = {&object};
    Pgw__Objects objects = PGW__OBJECTS__INIT;

    object.kind = "pool";
    object.name = "bad";
    object.version = 9;
    object.value.data = (uint8_t *)bad;
    object.value.len = strlen(bad);
    objects.n_objects = 1;
    objects.objects = list;
    pgw_link_send(link, PGW_FRAME_OBJECTS, &objects.base);
}

struct refused_peer {
    unsigned summaries;
    unsigned requests;
};

static bool
refused_peer_on_frame(struct pgw_link *link, enum pgw_frame_type type,
                      ProtobufCMessage *message, void *context)
{
    struct refused_peer *peer = context;

    if (type != PGW_FRAME_DIGEST) {
        return false;
    }
    if (((const Pgw__Digest *)message)->n_covered > 0) {
        peer->requests++;
        refused_peer_send_object(link);
    }
    else {
        peer->summaries++;
        refused_peer_send_versions(link);
    }
    return false;
}

static void
peer_on_closed(struct pgw_link *link, const GError *error, void *context)
{
    (void)link;
    (void)error;
    (void)context;
}

static const struct pgw_link_ops refused_peer_ops = {
    .on_frame = refused_peer_on_frame,
    .on_closed = peer_on_closed,
};

static bool
many_checks_passed(struct fleet *fleet)
{
    return fleet->checks > 200;
}

/* A refused object is requested at most once per periodic exchange; requesting
 * it again at once would loop and fill the link. Other objects are still
 * replicated. */
static void
test_refused_value_does_not_loop(void)
{
    struct fleet *fleet = fleet_new(many_checks_passed);
    struct replica *all = fleet->replicas;
    struct refused_peer peer = {0};
    struct pgw_address address;
    struct pgw_link *link;
    char *text =
        g_strdup_printf("127.0.0.1:%u", pgw_listener_port(all[1].listener));

    g_assert_true(pgw_address_parse(&address, text, NULL));
    link = pgw_link_connect(fleet->loop, &address, &refused_peer_ops, &peer,
                            NULL);
    apply_pool(&all[0], "good", 1);
    connect_to(&all[0], &all[1]);
    pgw_loop_run(fleet->loop);
    g_assert_cmpuint(pgw_config_set_version(all[1].set, "pool", "good"), ==,
                     1);
    g_assert_cmpuint(pgw_config_set_version(all[1].set, "pool", "bad"), ==, 0);
    g_assert_cmpuint(peer.requests, >, 0);
    g_assert_cmpuint(peer.requests, <=, peer.summaries);
    pgw_link_close(link);
    fleet_free(fleet);
    g_free(text);
}

/* A peer that sends only the digests that the test chooses. */
struct scripted_peer {
    size_t objects;         /* received */
    unsigned details;       /* bucket hashes received */
    unsigned copy_requests; /* requests for a full copy */
};

static void
scripted_send_digest(struct pgw_link *link, uint64_t summary,
                     bool requests_copy)
{
    Pgw__Digest digest = PGW__DIGEST__INIT;
    uint32_t covered[PGW_CONFIG_BUCKETS];

    for (uint32_t i = 0; requests_copy && i < PGW_CONFIG_BUCKETS; i++) {
        covered[digest.n_covered++] = i;
    }
    digest.covered = covered;
    digest.summary = summary;
    pgw_link_send(link, PGW_FRAME_DIGEST, &digest.base);
}

/* It answers a summary with a summary and ignores all requests. */
static bool
scripted_on_frame(struct pgw_link *link, enum pgw_frame_type type,
                  ProtobufCMessage *message, void *context)
{
    struct scripted_peer *peer = context;

    if (type == PGW_FRAME_OBJECTS) {
        peer->objects += ((const Pgw__Objects *)message)->n_objects;
    }
    else if (((const Pgw__Digest *)message)->n_covered > 0) {
        peer->copy_requests++;
    }
    else if (((const Pgw__Digest *)message)->n_buckets > 0) {
        peer->details++;
    }
    else {
        scripted_send_digest(link, 1, false);
    }
    return false;
}

static const struct pgw_link_ops scripted_ops = {
    .on_frame = scripted_on_frame,
    .on_closed = peer_on_closed,
};

static struct pgw_link *
scripted_connect(struct replica *to, struct scripted_peer *peer)
{
    struct pgw_address address;
    char *text =
        g_strdup_printf("127.0.0.1:%u", pgw_listener_port(to->listener));
    struct pgw_link *link;

    g_assert_true(pgw_address_parse(&address, text, NULL));
    link = pgw_link_connect(to->loop, &address, &scripted_ops, peer, NULL);
    g_assert_nonnull(link);
    g_free(text);
    return link;
}

static struct scripted_peer slow_peer;
static struct scripted_peer requesters[2];
static struct pgw_link *requester_links[2];

/* The requesters connect as soon as the slow peer has its turn. */
static bool
requesters_have_copies(struct fleet *fleet)
{
    struct replica *hub = &fleet->replicas[0];
    bool served = true;

    for (unsigned i = 0; slow_peer.details > 0 && i < 2; i++) {
        if (requester_links[i] == NULL) {
            requester_links[i] = scripted_connect(hub, &requesters[i]);
            scripted_send_digest(
                requester_links[i],
                pgw_config_set_summary(fleet->replicas[1].set), true);
        }
    }
    for (unsigned i = 0; i < 2; i++) {
        served &= requesters[i].objects > 0;
    }
    return served;
}

/* Two empty peers each send one request to the same replica while a slow third
 * peer has its turn there: both get their copy. */
static void
test_no_request_is_dropped(void)
{
    struct fleet *fleet = fleet_new(requesters_have_copies);
    struct pgw_link *slow;

    apply_pools(&fleet->replicas[0], 5);
    slow = scripted_connect(&fleet->replicas[0], &slow_peer);
    pgw_loop_run(fleet->loop);
    for (unsigned i = 0; i < 2; i++) {
        g_assert_cmpuint(requesters[i].objects, ==, 5);
        pgw_link_close(requester_links[i]);
    }
    pgw_link_close(slow);
    fleet_free(fleet);
}

static bool
is_requested_again(struct fleet *fleet)
{
    (void)fleet;
    return slow_peer.copy_requests >= 2;
}

/* A full copy is requested again from an only peer that did not answer. */
static void
test_request_is_repeated(void)
{
    struct fleet *fleet = fleet_new(is_requested_again);
    struct pgw_link *link;

    slow_peer = (struct scripted_peer){0};
    link = scripted_connect(&fleet->replicas[0], &slow_peer);
    pgw_loop_run(fleet->loop);
    pgw_link_close(link);
    fleet_free(fleet);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/sync/replicas-converge", test_replicas_converge);
    g_test_add_func("/sync/late-starter-catches-up",
                    test_late_starter_catches_up);
    g_test_add_func("/sync/partial-replica-settles-no-peer",
                    test_partial_replica_settles_no_peer);
    g_test_add_func("/sync/starter-requests-one-copy",
                    test_starter_requests_one_copy);
    g_test_add_func("/sync/empty-peer-settles-no-peer",
                    test_empty_peer_settles_no_peer);
    g_test_add_func("/sync/refused-value-does-not-loop",
                    test_refused_value_does_not_loop);
    g_test_add_func("/sync/no-request-is-dropped", test_no_request_is_dropped);
    g_test_add_func("/sync/request-is-repeated", test_request_is_repeated);
    return g_test_run();
}
