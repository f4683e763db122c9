#include "sidecar/gate.h"
#include "sidecar/orders.h"
#include "util/log.h"

/* Three heartbeats of an entry. */
#define PEER_SILENCE_US UINT64_C(6000000)

void
peer_send_state(struct peer *peer)
{
    const struct sidecar *sidecar = peer->sidecar;
    Pgw__State state = PGW__STATE__INIT;
    struct pgw_admit_load load;

    pgw_admit_load_get(&load, sidecar->admit);
    state.leaving = sidecar->leaving;
    state.ended = sidecar->ended;
    state.engine = sidecar->engine.incarnation;
    state.version = sidecar->engine.version;
    state.loading = orders_is_closed(sidecar->orders);
    state.upstream_alive = sidecar->engine.alive;
    state.clock = pgw_hlc_now(pgw_hlc_process(), pgw_hlc_wall_us());
    state.queued_tokens = load.queued_tokens;
    state.running = load.running;
    state.waiting = load.waiting;
    pgw_link_send(peer->connection, PGW_FRAME_STATE, &state.base);
}

static void
peer_send_hello(struct peer *peer)
{
    const struct sidecar *sidecar = peer->sidecar;
    Pgw__Hello hello = PGW__HELLO__INIT;

    hello.protocol = PGW_PROTOCOL_VERSION;
    hello.instance = sidecar->settings->instance;
    hello.role = "sidecar";
    hello.zone = sidecar->settings->zone;
    hello.incarnation = sidecar->incarnation;
    hello.clock = pgw_hlc_now(pgw_hlc_process(), pgw_hlc_wall_us());
    pgw_link_send(peer->connection, PGW_FRAME_HELLO, &hello.base);
}

static void
peer_take_hello(struct peer *peer, const Pgw__Hello *hello)
{
    if (peer->instance != NULL || hello->protocol != PGW_PROTOCOL_VERSION) {
        pgw_log_warning("hello_refused", "protocol=%u", hello->protocol);
        pgw_link_close(peer->connection);
        return;
    }
    peer->instance = g_strdup(hello->instance);
    pgw_hlc_receive(pgw_hlc_process(), hello->clock, pgw_hlc_wall_us());
    pgw_trace_record(peer->sidecar->trace, PGW_TRACE_PEER_UP, NULL, 0, 0, 0,
                     peer->instance);
    peer_send_hello(peer);
    peer_send_state(peer);
    pgw_suspects_add_link(peer->sidecar->suspects, peer->connection);
    pgw_sync_add_link(peer->sidecar->sync, peer->connection);
}

static bool
on_frame(struct pgw_link *link, enum pgw_frame_type type,
         ProtobufCMessage *message, void *context)
{
    struct peer *peer = context;

    if (type == PGW_FRAME_HELLO) {
        peer_take_hello(peer, (const Pgw__Hello *)message);
        return false;
    }
    /* A stranger's frame before Hello: not one of our processes. */
    if (peer->instance == NULL) {
        pgw_link_close(link);
        return false;
    }
    switch (type) {
    case PGW_FRAME_OPEN:
        gate_open(peer, (Pgw__Open *)message);
        return true;
    case PGW_FRAME_PROBE:
        gate_probe(peer, (const Pgw__Probe *)message);
        break;
    case PGW_FRAME_CANCEL:
        gate_cancel(peer, (const Pgw__Cancel *)message);
        break;
    case PGW_FRAME_WINDOW:
        gate_grant(peer, (const Pgw__Window *)message);
        break;
    case PGW_FRAME_SUSPECTS:
        pgw_suspects_handle_frame(peer->sidecar->suspects,
                                  (const Pgw__Objects *)message);
        break;
    default:
        if (!pgw_sync_handle_frame(peer->sidecar->sync, link, type, message)) {
            pgw_log_warning("frame_unexpected", "type=%d entry=%s", type,
                            peer->instance);
            pgw_link_close(link);
        }
        break;
    }
    return false;
}

static void
on_closed(struct pgw_link *link, const GError *error, void *context)
{
    struct peer *peer = context;

    pgw_log_info("entry_gone", "entry=%s error=%s", peer->instance,
                 error == NULL ? "none" : error->message);
    pgw_trace_record(peer->sidecar->trace, PGW_TRACE_PEER_DOWN, NULL, 0, 0, 0,
                     peer->instance);
    pgw_sync_remove_link(peer->sidecar->sync, link);
    pgw_suspects_remove_link(peer->sidecar->suspects, link);
    gate_forget_peer(peer);
    pgw_list_remove(&peer->link);
    g_hash_table_unref(peer->runs);
    g_free(peer->instance);
    g_free(peer);
}

/*
 * Failure: the path from an entry falls silent without an end of the
 * connection, and the callers of its attempts leave. Symptom: the word that
 * they left is lost, and the engine computes for nobody until the deadline of
 * each, while others wait behind them. An entry speaks every other second
 * while it has attempts; one that missed three words is taken as gone.
 */
bool
peer_is_silent(struct peer *peer, uint64_t now_us)
{
    if (g_hash_table_size(peer->runs) == 0) {
        peer->busy_us = 0;
        return false;
    }
    if (peer->busy_us == 0) {
        peer->busy_us = now_us;
    }
#ifdef PGW_DISABLE_PEER_SILENT
    return false;
#endif
    /* One that never sends heartbeats is an older version. */
    return peer->has_heartbeat &&
           now_us - MAX(pgw_link_last_received_us(peer->connection),
                        peer->busy_us) >
               PEER_SILENCE_US;
}

static const struct pgw_link_ops peer_ops = {
    .on_frame = on_frame,
    .on_closed = on_closed,
};

void
peer_accept(int fd, void *context)
{
    struct sidecar *sidecar = context;
    struct peer *peer = g_new0(struct peer, 1);
    GError *error = NULL;

    peer->sidecar = sidecar;
    peer->runs = g_hash_table_new(run_key_hash, run_key_equal);
    peer->connection =
        pgw_link_accept(sidecar->loop, fd, &peer_ops, peer, &error);
    if (peer->connection == NULL) {
        pgw_log_warning("accept_failed", "error=%s", error->message);
        g_clear_error(&error);
        g_hash_table_unref(peer->runs);
        g_free(peer);
        return;
    }
    pgw_list_append(&sidecar->peers, &peer->link);
}
