#ifndef PGW_SIDECAR_GATE_H
#define PGW_SIDECAR_GATE_H

#include "parsleygw/quarantine.h"
#include "sidecar/sidecar.h"

/**
 * DOC: The gate: attempts from Open to End or Fail
 */

/**
 * struct peer - one connected entry
 * @link: in the sidecar's list
 * @sidecar: owner
 * @connection: its connection
 * @instance: its name, NULL before Hello
 * @runs: its attempts (&struct run) by request and attempt
 * @busy_us: since when it has attempts, 0: it has none
 * @has_heartbeat: it says that it is there while it has attempts
 */
struct peer {
    struct pgw_list link;
    struct sidecar *sidecar;
    struct pgw_link *connection;
    char *instance;
    GHashTable *runs;
    uint64_t busy_us;
    bool has_heartbeat;
};

/**
 * struct run_key - what an attempt is known by on one connection
 */
struct run_key {
    struct pgw_request_id request;
    uint32_t attempt;
};

/**
 * enum run_state - progress of an attempt
 * @RUN_WAITING: at the gate: certainly not run
 * @RUN_CLAIMING: asks for the claim of its idempotency key: not run here
 * @RUN_SENT: handed to the upstream, nothing heard yet
 * @RUN_STARTED: the upstream answers
 * @RUN_BROKEN: the answer broke off; whether the engine died is being asked
 */
enum run_state {
    RUN_WAITING,
    RUN_CLAIMING,
    RUN_SENT,
    RUN_STARTED,
    RUN_BROKEN,
};

/**
 * struct run - one attempt at this sidecar
 * @link: in the sidecar's list of all
 * @key: identity, also its key in the peer's table
 * @sidecar: owner
 * @peer: who sent it; NULL once the connection is gone
 * @open: the request as received
 * @chain: levels of the prompt
 * @item: its place at the gate
 * @state: progress
 * @transfer: the call to the upstream, NULL while waiting
 * @sent_us: when it was handed over
 * @heard_us: when the upstream last sent something, or @sent_us
 * @call: table of the call's kind
 * @deadline: timer of the request's deadline
 * @window: bytes that the entry still takes
 * @paused: the upstream's answer is held back until the window opens
 * @sequence: Data frames sent
 * @tokens: tokens sent, counted over all attempts
 * @line: event stream: bytes of an unfinished line
 * @finish_reason: event stream: the last token's, NULL before it
 * @ended: End or Fail was sent
 * @refused: the upstream said that it did not run it
 * @broken: the upstream's answer made no sense
 * @failed: the transfer is over and the answer is not whole
 * @status: plain call: HTTP status
 * @content_type: plain call: of the answer
 * @answer: plain call that may not be repeated: its answer, to be recorded
 * @ticket: its number among the claims
 * @claim: object that holds its key, NULL without one
 * @replayed: the answer is a record of an earlier run
 * @fingerprint: what it asks, whoever sends it again
 * @suspicion_ticket: its number at the suspicion, 0 without one
 * @alone: a suspect: nothing else may run at the engine beside it
 * @held: link in the sidecar's list of those that wait for such a one
 * @doubt_us: broken: only what the engine is asked after it counts
 * @settled: broken, and its crash, if it was one, is reported
 * @abandoned: broken by this sidecar, which waits no longer for its end, and
 *   has given its place to others
 * @answered: its answer is whole; the engine may still crash of it
 * @unsent: broken, and the upstream took no connection for it
 * @import: its wait for the KV store, NULL without one
 * @import_asked: the KV store was asked, or is left out
 * @engine: incarnation of the engine that it was handed to
 * @prompt_tokens: as the engine counts
 * @cached_tokens: as the engine counts
 * @completion_tokens: as the engine counts
 */
struct run {
    struct pgw_list link;
    struct run_key key;
    struct sidecar *sidecar;
    struct peer *peer;
    Pgw__Open *open;
    struct pgw_level_chain chain;
    struct pgw_admit_item item;
    enum run_state state;
    struct pgw_transfer *transfer;
    uint64_t sent_us;
    uint64_t heard_us;
    const struct run_call *call;
    struct pgw_timer deadline;
    int64_t window;
    bool paused;
    uint64_t sequence;
    uint32_t tokens;
    struct pgw_buffer line;
    char *finish_reason;
    bool ended;
    bool refused;
    bool broken;
    bool failed;
    long status;
    char *content_type;
    GByteArray *answer;
    uint64_t ticket;
    struct claim_object *claim;
    bool replayed;
    struct pgw_fingerprint fingerprint;
    uint64_t suspicion_ticket;
    bool alone;
    struct pgw_list held;
    uint64_t doubt_us;
    bool settled;
    bool abandoned;
    bool answered;
    bool unsent;
    struct kv_wait *import;
    bool import_asked;
    uint64_t engine;
    uint32_t prompt_tokens;
    uint32_t cached_tokens;
    uint32_t completion_tokens;
};

/**
 * struct run_call - how one kind of upstream is called
 * @start: hand the request to the upstream; sets @transfer
 * @head: the status line and headers arrived; false refuses the answer
 * @body: a piece of the answer; the window is open; false: it is malformed
 * @complete: the transfer was whole; returns false when the answer is not,
 *            after which the run fails as broken
 */
struct run_call {
    void (*start)(struct run *run);
    void (*head)(struct run *run, long status);
    bool (*body)(struct run *run, const uint8_t *data, size_t size);
    bool (*complete)(struct run *run);
};

extern const struct run_call run_call_model;
extern const struct run_call run_call_service;

/* peer.c */
void peer_accept(int fd, void *context);
void peer_send_state(struct peer *peer);
/** peer_is_silent() - it has attempts and has not been heard for too long */
bool peer_is_silent(struct peer *peer, uint64_t now_us);

/* gate.c */
void gate_open(struct peer *peer, Pgw__Open *open);
void gate_cancel(struct peer *peer, const Pgw__Cancel *cancel);
void gate_grant(struct peer *peer, const Pgw__Window *window);
void gate_probe(struct peer *peer, const Pgw__Probe *probe);
/** gate_forget_peer() - the connection is gone: end what nobody waits for */
void gate_forget_peer(struct peer *peer);
/** gate_refuse_waiting() - tell all waiting attempts that they did not run */
void gate_refuse_waiting(struct sidecar *sidecar, enum pgw_refusal refusal);
/** gate_refuse_late() - refuse waiting attempts, as not run, that would not
 * end within the drain time of a planned stop */
void gate_refuse_late(struct sidecar *sidecar);
/** gate_refuse_rest() - tell the entries of all attempts that they end now */
void gate_refuse_rest(struct sidecar *sidecar);
/** gate_abandon_all() - drop all attempts without a word, at the very end */
void gate_abandon_all(struct sidecar *sidecar);
/** gate_pump() - start what may start now */
void gate_pump(struct sidecar *sidecar);

/** gate_pump_soon() - the same from the loop, for callers inside a transfer's
 * callback, where no other transfer may be started */
void gate_pump_soon(struct sidecar *sidecar);
guint run_key_hash(gconstpointer key);
gboolean run_key_equal(gconstpointer a, gconstpointer b);

/* run.c: what the calls report */
/** run_send_started() - the upstream answers; once */
void run_send_started(struct run *run, const char *content_type,
                      const char *version, uint64_t engine);
/** run_send_data() - a piece of the answer, in order */
void run_send_data(struct run *run, const void *data, size_t size,
                   uint32_t token_index, uint32_t token_count);
/** run_send_end() - the answer is whole */
void run_send_end(struct run *run);
/** run_send_fail() - no whole answer will come */
void run_send_fail(struct run *run, enum pgw_refusal refusal, enum pgw_ran ran,
                   uint32_t retry_after_ms, const char *message);
/** run_transfer_ops - callbacks that all calls start their transfer with */
extern const struct pgw_transfer_ops run_transfer_ops;
/* gate_crash.c: a run's answer broke off, @cut: in the middle of the
 * connection; it ends once the engine was asked */
void gate_run_broke(struct run *run, bool cut);
/** gate_engine_told() - the engine's state is known: settle broken runs, and
 * send elsewhere what waits if it is dead */
void gate_engine_told(struct sidecar *sidecar);

/* gate.c: end of a run, reported by run.c */
void gate_finish(struct run *run);
/** gate_keep_answered() - its caller has the whole answer: give its place to
 * others, and keep it until its engine is known to have survived it, or ended
 */
void gate_keep_answered(struct run *run);

/** gate_abandon() - nobody waits for the run any more: close its connection,
 * and finish it once the engine can no longer crash by it */
void gate_abandon(struct run *run);

#endif
