#include "peers.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>

#include "control.h"
#include "libparsleygw/sync.h"
#include "util/hlc.h"
#include "util/listener.h"
#include "util/random.h"

#define STATE_IDLE_US UINT64_C(30000000)
#define RETRY_US UINT64_C(200000)

struct peer {
    struct peers *peers;
    unsigned number;
    struct pgw_listener *listener;
    struct pgw_link *link;
    struct pgw_sync *sync;
    struct pgw_timer timer; /* next State, or next connection */
    bool greeted;
};

struct peers {
    struct peers_options options;
    bool are_sidecars;
    struct pgw_address address; /* of the sidecar that entries connect to */
    struct pgw_loop *loop;
    struct pgw_config_set *set;
    uint64_t version;
    struct peer *all;
    atomic_uint greeted;
    pthread_t thread;
    struct pgw_task begin_changes;
    struct pgw_timer change;
    uint64_t change_us;
    unsigned changes;
};

static void
send_hello(struct peer *peer)
{
    Pgw__Hello hello = PGW__HELLO__INIT;
    char name[32];

    if (peer->peers->are_sidecars) {
        objects_upstream_name(name, peer->number);
    }
    else {
        snprintf(name, sizeof(name), "entry-%04u", peer->number);
    }
    hello.protocol = PGW_PROTOCOL_VERSION;
    hello.instance = name;
    hello.role = peer->peers->are_sidecars ? "sidecar" : "entry";
    hello.zone = "zone-0";
    hello.incarnation = peer->number + 1;
    hello.clock = pgw_hlc_now(pgw_hlc_process(), pgw_hlc_wall_us());
    pgw_link_send(peer->link, PGW_FRAME_HELLO, &hello.base);
}

static void
send_state(struct peer *peer)
{
    Pgw__State state = PGW__STATE__INIT;

    state.engine = peer->number + 1;
    state.version = "w1";
    state.upstream_alive = true;
    state.clock = pgw_hlc_now(pgw_hlc_process(), pgw_hlc_wall_us());
    pgw_link_send(peer->link, PGW_FRAME_STATE, &state.base);
}

static void
take_hello(struct peer *peer)
{
    if (peer->peers->are_sidecars) {
        send_hello(peer);
        send_state(peer);
        pgw_timer_start(peer->peers->loop, &peer->timer,
                        pgw_random_u64() % STATE_IDLE_US);
    }
    peer->greeted = true;
    atomic_fetch_add(&peer->peers->greeted, 1);
    pgw_sync_add_link(peer->sync, peer->link);
}

static bool
on_frame(struct pgw_link *link, enum pgw_frame_type type,
         ProtobufCMessage *message, void *context)
{
    struct peer *peer = context;

    if (type == PGW_FRAME_HELLO && !peer->greeted) {
        take_hello(peer);
    }
    else {
        pgw_sync_handle_frame(peer->sync, link, type, message);
    }
    return false;
}

static void
on_open(struct pgw_link *link, void *context)
{
    struct peer *peer = context;

    peer->link = link;
    send_hello(peer);
}

static void
on_closed(struct pgw_link *link, const GError *error, void *context)
{
    struct peer *peer = context;

    (void)error;
    pgw_sync_remove_link(peer->sync, link);
    if (peer->greeted) {
        atomic_fetch_sub(&peer->peers->greeted, 1);
    }
    peer->greeted = false;
    peer->link = NULL;
    pgw_timer_start(peer->peers->loop, &peer->timer, RETRY_US);
}

static const struct pgw_link_ops peer_ops = {
    .on_open = on_open,
    .on_frame = on_frame,
    .on_closed = on_closed,
};

static void
on_accept(int fd, void *context)
{
    struct peer *peer = context;

    peer->link = pgw_link_accept(peer->peers->loop, fd, &peer_ops, peer, NULL);
}

static void
timer_due(struct pgw_timer *timer)
{
    struct peer *peer = pgw_container_of(timer, struct peer, timer);
    struct peers *peers = peer->peers;

    if (!peers->are_sidecars) {
        if (peer->link == NULL) {
            peer->link = pgw_link_connect(peers->loop, &peers->address,
                                          &peer_ops, peer, NULL);
        }
        return;
    }
    if (peer->greeted) {
        send_state(peer);
        pgw_timer_start(peers->loop, timer, STATE_IDLE_US);
    }
}

static void
ignore_change(void *context)
{
    (void)context;
}

static void
peer_init(struct peer *peer, struct peers *peers, unsigned number)
{
    struct pgw_sync_options sync = PGW_SYNC_OPTIONS_INIT;
    struct pgw_address any;

    peer->peers = peers;
    peer->number = number;
    peer->timer.on_due = timer_due;
    sync.loop = peers->loop;
    sync.set = peers->set;
    sync.on_change = ignore_change;
    sync.interval_us *= MAX(peers->options.peer_links, 1);
    peer->sync = pgw_sync_new(&sync);
    pgw_sync_mark_listed(peer->sync);
    if (!peers->are_sidecars) {
        pgw_timer_start(peers->loop, &peer->timer,
                        pgw_random_u64() % RETRY_US);
        return;
    }
    pgw_address_parse(&any, "127.0.0.1:0", NULL);
    peer->listener =
        pgw_listener_new(peers->loop, &any, on_accept, peer, NULL);
    if (peer->listener == NULL) {
        g_error("no port for stand-in %u: raise the limit of open files",
                number);
    }
}

static void *
run(void *data)
{
    struct peers *peers = data;

    pgw_loop_run(peers->loop);
    return NULL;
}

static void
load_set(struct peers *peers)
{
    uint16_t *ports = g_new0(uint16_t, peers->options.count);
    struct pgw_config *config;
    char *text;

    for (unsigned i = 0; i < peers->options.count; i++) {
        ports[i] = peers->are_sidecars ? peers_port(peers, i) : 0;
    }
    text =
        objects_text(peers->options.workspaces, ports, peers->options.count);
    if (!pgw_config_set_load_text(peers->set, text, -1, NULL)) {
        g_error("the bench's own configuration is refused");
    }
    config = pgw_config_build(peers->set);
    peers->version = pgw_config_version(config);
    pgw_config_unref(config);
    g_free(text);
    g_free(ports);
}

static struct peers *
peers_start(const struct peers_options *options, uint16_t port)
{
    struct peers *peers = g_new0(struct peers, 1);
    char text[PGW_ADDRESS_TEXT_SIZE];

    peers->options = *options;
    peers->are_sidecars = port == 0;
    snprintf(text, sizeof(text), "127.0.0.1:%u", port);
    pgw_address_parse(&peers->address, text, NULL);
    peers->loop = pgw_loop_new(NULL);
    peers->set = pgw_config_set_new();
    peers->all = g_new0(struct peer, options->count);
    for (unsigned i = 0; i < options->count; i++) {
        peer_init(&peers->all[i], peers, i);
    }
    load_set(peers);
    pthread_create(&peers->thread, NULL, run, peers);
    return peers;
}

struct peers *
peers_listen(const struct peers_options *options)
{
    return peers_start(options, 0);
}

struct peers *
peers_connect(const struct peers_options *options, uint16_t port)
{
    return peers_start(options, port);
}

uint16_t
peers_port(const struct peers *peers, unsigned number)
{
    return pgw_listener_port(peers->all[number].listener);
}

unsigned
peers_greeted(struct peers *peers)
{
    return atomic_load(&peers->greeted);
}

uint64_t
peers_version(const struct peers *peers)
{
    return peers->version;
}

/* The first peer hears of each change from the store, as a watcher does. */
static void
change_due(struct pgw_timer *timer)
{
    struct peers *peers = pgw_container_of(timer, struct peers, change);
    char *value = objects_workspace(0, 2 + peers->changes++ % 8);

    pgw_sync_apply_object(peers->all[0].sync, "workspace", "workspace-00000",
                          peers->version + peers->changes, value, true, NULL);
    g_free(value);
    pgw_timer_start(peers->loop, timer, peers->change_us);
}

static void
begin_changes(struct pgw_task *task)
{
    struct peers *peers = pgw_container_of(task, struct peers, begin_changes);

    change_due(&peers->change);
}

void
peers_change(struct peers *peers, uint64_t interval_us)
{
    peers->change_us = interval_us;
    peers->change.on_due = change_due;
    peers->begin_changes.run = begin_changes;
    pgw_loop_post(peers->loop, &peers->begin_changes);
}

void
peers_free(struct peers *peers)
{
    pgw_loop_stop(peers->loop);
    pthread_join(peers->thread, NULL);
    for (unsigned i = 0; i < peers->options.count; i++) {
        struct peer *peer = &peers->all[i];

        if (peer->link != NULL) {
            pgw_link_close(peer->link);
        }
        pgw_listener_free(peer->listener);
    }
    pgw_loop_run_tasks(peers->loop);
    pgw_timer_stop(peers->loop, &peers->change);
    for (unsigned i = 0; i < peers->options.count; i++) {
        pgw_timer_stop(peers->loop, &peers->all[i].timer);
        pgw_sync_free(peers->all[i].sync);
    }
    pgw_loop_run_tasks(peers->loop);
    pgw_loop_free(peers->loop);
    pgw_config_set_free(peers->set);
    g_free(peers->all);
    g_free(peers);
}
