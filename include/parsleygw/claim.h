#ifndef PARSLEYGW_CLAIM_H
#define PARSLEYGW_CLAIM_H

#include "parsleygw/io.h"
#include "parsleygw/types.h"

G_BEGIN_DECLS

/**
 * DOC: At most one run for each idempotency key
 *
 * A call that may not be repeated is claimed before it runs by a conditional
 * write in the object API. Keys are spread over objects of kind "claim"; one
 * &struct pgw_claim_shard is the pure state machine of one such object in one
 * process. It batches: at most one store operation is outstanding, everything
 * that arrives meanwhile goes into the next write. Which process runs a shard
 * matters for batching only; the version check of the write is the fence.
 *
 * All times are microseconds since 1970 and must not go backwards.
 * docs/design/at-most-once.md gives the reasons.
 */

/** Longest idempotency key in bytes; printable ASCII without space, " and \.
 */
#define PGW_CLAIM_KEY_MAX 128

/** Room for the name of an object of kind "claim". */
#define PGW_CLAIM_NAME_SIZE 128

/** Kind of the objects in the object API. */
#define PGW_CLAIM_KIND "claim"

/**
 * struct pgw_claim_layout - how the keys of one service are spread; all
 * processes must use the same
 * @service: name of the service's profile
 * @shards: objects that share the keys of one period
 * @period_us: span of birth times that one object holds
 * @retention_us: how long a key is remembered
 * @skew_us: how far a key's birth time may lie in the future
 */
struct pgw_claim_layout {
    const char *service;
    uint32_t shards;
    uint64_t period_us;
    uint64_t retention_us;
    uint64_t skew_us;
};

#define PGW_CLAIM_LAYOUT_INIT                                                 \
    {                                                                         \
        .shards = 4, .period_us = 10ull * G_USEC_PER_SEC,                     \
        .retention_us = 24ull * 3600 * G_USEC_PER_SEC,                        \
        .skew_us = 600ull * G_USEC_PER_SEC                                    \
    }

/**
 * struct pgw_claim_location - where a key is decided
 * @name: name of its object
 * @shard: number of its shard, to choose the service instance by
 * @created_us: birth time of a UUIDv7 key, 0 for any other
 * @expired: the key is older than the retention: its record may be gone
 */
struct pgw_claim_location {
    char name[PGW_CLAIM_NAME_SIZE];
    uint32_t shard;
    uint64_t created_us;
    bool expired;
};

/**
 * pgw_claim_locate() - find the object that decides a key
 * @out: receives the place
 * @layout: the service's layout
 * @workspace: the caller's workspace
 * @key: idempotency key
 * @now_us: the time
 * @error: %PGW_ERROR_INVALID: a malformed key, or one born in the future
 */
bool pgw_claim_locate(struct pgw_claim_location *out,
                      const struct pgw_claim_layout *layout,
                      const char *workspace, const char *key, uint64_t now_us,
                      GError **error);

/**
 * pgw_claim_key_created_us() - birth time in a UUIDv7
 * @key: idempotency key
 *
 * Return: microseconds since 1970, 0 when @key is not a UUIDv7.
 */
uint64_t pgw_claim_key_created_us(const char *key);

/**
 * pgw_claim_object_is_expired() - whether an object may be deleted
 * @layout: the service's layout
 * @name: an object's name
 * @slack_us: how far the clocks of two processes may differ
 * @now_us: the time
 *
 * Return: true when every key that the object can hold is refused as expired
 * by every process; never for the objects of keys without a birth time.
 */
bool pgw_claim_object_is_expired(const struct pgw_claim_layout *layout,
                                 const char *name, uint64_t slack_us,
                                 uint64_t now_us);

/**
 * struct pgw_claim_sweep - deletes objects whose keys are all expired
 *
 * A pure machine: for each object that comes into use it goes after the
 * periods of the same shard that have expired since the last one, so that as
 * many objects go as come and nobody has to list them.
 */
struct pgw_claim_sweep;

/**
 * pgw_claim_sweep_new() - make a machine with nothing to do
 * @layout: the layout of all its objects; @service is not used
 * @slack_us: how far the clocks of two processes may differ
 * @catch_up: expired periods to look at when a shard is first used
 */
struct pgw_claim_sweep *
pgw_claim_sweep_new(const struct pgw_claim_layout *layout, uint64_t slack_us,
                    uint32_t catch_up);

/** pgw_claim_sweep_free() - free a machine; NULL is allowed */
void pgw_claim_sweep_free(struct pgw_claim_sweep *sweep);

/**
 * pgw_claim_sweep_schedule() - an object came into use in this process
 * @sweep: machine
 * @name: the object's name
 * @now_us: the time
 */
void pgw_claim_sweep_schedule(struct pgw_claim_sweep *sweep, const char *name,
                              uint64_t now_us);

/**
 * pgw_claim_sweep_next_io() - take the next store operation
 * @out: receives it, to be disposed of
 * @name: receives the name of its object
 * @sweep: machine
 *
 * One at a time; the caller chooses the pace. After a failure the same object
 * comes again.
 *
 * Return: false when there is nothing to do or one is outstanding.
 */
bool pgw_claim_sweep_next_io(struct pgw_io *out,
                             char name[PGW_CLAIM_NAME_SIZE],
                             struct pgw_claim_sweep *sweep);

/** pgw_claim_sweep_io_done() - end of the outstanding operation */
void pgw_claim_sweep_io_done(struct pgw_claim_sweep *sweep,
                             const struct pgw_io_reply *reply);

/**
 * struct pgw_claim_options - settings of a shard's machine
 * @owner: incarnation of this process; never 0, random per process start
 * @retention_us: as in the layout
 * @write_interval_us: mean time from one write to the next: the share of the
 *                     store's write budget that this shard may use
 * @write_burst: writes that may follow on at once after a quiet time
 * @lazy_us: how long an outcome waits for a claim to share its write with;
 *           a crash in that time leaves the key "unknown"
 * @backoff_us: wait after the store failed, doubled up to @backoff_max_us
 * @backoff_max_us: longest such wait
 * @patience_us: a claim not decided after this time is refused as not run
 * @body_max: longest recorded answer body; a longer one is not replayed
 * @object_max: size limit of the object's value in bytes
 * @slots_max: most keys that are undecided or unrecorded in this process
 * @window_us: how far ahead this process takes the sole right to decide keys
 *             by their birth time, so that it can go on while the store is
 *             down; 0 (the default): never
 * @window_back_us: how far back that right reaches
 */
struct pgw_claim_options {
    uint64_t owner;
    uint64_t retention_us;
    uint64_t write_interval_us;
    uint32_t write_burst;
    uint64_t lazy_us;
    uint64_t backoff_us;
    uint64_t backoff_max_us;
    uint64_t patience_us;
    size_t body_max;
    size_t object_max;
    uint32_t slots_max;
    uint64_t window_us;
    uint64_t window_back_us;
};

#define PGW_CLAIM_OPTIONS_INIT                                                \
    {                                                                         \
        .retention_us = 24ull * 3600 * G_USEC_PER_SEC,                        \
        .write_interval_us = 10000, .write_burst = 4, .lazy_us = 50000,       \
        .backoff_us = 50000, .backoff_max_us = 2000000,                       \
        .patience_us = 1000000, .body_max = 16384, .object_max = 1000000,     \
        .slots_max = 4096, .window_back_us = 5000000                          \
    }

/** struct pgw_claim_shard - machine of one object; not thread-safe */
struct pgw_claim_shard;

/**
 * pgw_claim_shard_new() - make a machine that knows nothing yet
 * @options: copied
 *
 * Return: to be freed with pgw_claim_shard_free().
 */
struct pgw_claim_shard *
pgw_claim_shard_new(const struct pgw_claim_options *options);

/** pgw_claim_shard_free() - free a machine; NULL is allowed */
void pgw_claim_shard_free(struct pgw_claim_shard *shard);

/**
 * struct pgw_claim_request - one call that asks for its key
 * @workspace: the caller's workspace
 * @key: its idempotency key, as pgw_claim_locate() accepted it
 * @request: identity of the call
 * @attempt: its attempt
 * @ticket: number of the caller's choice, unique among the calls of this shard
 * @deadline_us: when the caller stops waiting
 */
struct pgw_claim_request {
    const char *workspace;
    const char *key;
    struct pgw_request_id request;
    uint32_t attempt;
    uint64_t ticket;
    uint64_t deadline_us;
};

/**
 * struct pgw_claim_answer - a plain service's whole answer
 * @status: HTTP status
 * @content_type: may be NULL
 * @body: the whole body; may be NULL for an empty one
 */
struct pgw_claim_answer {
    uint32_t status;
    const char *content_type;
    GBytes *body;
};

/**
 * enum pgw_claim_action - what to do with a call
 * @PGW_CLAIM_PENDING: wait; pgw_claim_next_decision() will name its ticket
 * @PGW_CLAIM_RUN: hand it to the upstream now, then report by
 *                 pgw_claim_finish(), pgw_claim_release() or
 * pgw_claim_mark_lost()
 * @PGW_CLAIM_REPLAY: give the recorded answer
 * @PGW_CLAIM_REFUSE: refuse it
 */
enum pgw_claim_action {
    PGW_CLAIM_PENDING,
    PGW_CLAIM_RUN,
    PGW_CLAIM_REPLAY,
    PGW_CLAIM_REFUSE,
};

/**
 * struct pgw_claim_decision - a decision about one call
 * @action: what to do
 * @ticket: whose call
 * @refusal: for REFUSE
 * @ran: for REFUSE: of this call and all earlier ones known under its key
 * @retry_after_ms: for REFUSE: 0 says nothing
 * @status: for REPLAY
 * @content_type: for REPLAY; owned by the decision
 * @body: for REPLAY; owned by the decision
 */
struct pgw_claim_decision {
    enum pgw_claim_action action;
    uint64_t ticket;
    enum pgw_refusal refusal;
    enum pgw_ran ran;
    uint32_t retry_after_ms;
    uint32_t status;
    char *content_type;
    GBytes *body;
};

/** pgw_claim_decision_dispose() - drop what a decision owns */
void pgw_claim_decision_dispose(struct pgw_claim_decision *decision);

/**
 * pgw_claim_begin() - ask for a key
 * @out: receives the decision, to be disposed of
 * @shard: machine of the key's object
 * @request: the call
 * @now_us: the time
 */
void pgw_claim_begin(struct pgw_claim_decision *out,
                     struct pgw_claim_shard *shard,
                     const struct pgw_claim_request *request, uint64_t now_us);

/**
 * pgw_claim_next_decision() - take a decision that became known
 * @out: receives the decision, to be disposed of
 * @shard: machine
 *
 * Return: false when there is none.
 */
bool pgw_claim_next_decision(struct pgw_claim_decision *out,
                             struct pgw_claim_shard *shard);

/**
 * pgw_claim_finish() - the call ran and gave its whole answer
 * @shard: machine
 * @ticket: of a call that was told to run
 * @answer: its answer; the body's reference is shared
 * @now_us: the time
 *
 * The caller gets the answer at once; the record is written with the next
 * batch and again until it stands.
 *
 * Return: false when the ticket does not run.
 */
bool pgw_claim_finish(struct pgw_claim_shard *shard, uint64_t ticket,
                      const struct pgw_claim_answer *answer, uint64_t now_us);

/**
 * pgw_claim_release() - the call was not run after all
 * @shard: machine
 * @ticket: of a call that was told to run
 * @now_us: the time
 *
 * Only for calls that certainly never reached the upstream. The first caller
 * that waits for the same key gets its turn.
 */
bool pgw_claim_release(struct pgw_claim_shard *shard, uint64_t ticket,
                       uint64_t now_us);

/**
 * pgw_claim_mark_lost() - the call may have run, its answer will never be
 * known
 * @shard: machine
 * @ticket: of a call that was told to run
 * @now_us: the time
 */
bool pgw_claim_mark_lost(struct pgw_claim_shard *shard, uint64_t ticket,
                         uint64_t now_us);

/**
 * pgw_claim_cancel() - a call that is still pending is given up
 * @shard: machine
 * @ticket: of a pending call
 * @now_us: the time
 *
 * Return: false when the ticket is not pending (it may already run).
 */
bool pgw_claim_cancel(struct pgw_claim_shard *shard, uint64_t ticket,
                      uint64_t now_us);

/**
 * pgw_claim_next_io() - take the store operation that is due
 * @out: receives it, to be disposed of
 * @shard: machine
 * @now_us: the time
 *
 * Also refuses calls that have waited too long, so it is to be called at
 * pgw_claim_next_time() and after each begin, report and result. Each
 * operation taken is answered by exactly one pgw_claim_io_done().
 *
 * Return: false when none is due or one is outstanding.
 */
bool pgw_claim_next_io(struct pgw_io *out, struct pgw_claim_shard *shard,
                       uint64_t now_us);

/**
 * pgw_claim_io_done() - end of the outstanding operation
 * @shard: machine
 * @reply: how it ended
 * @now_us: the time
 */
void pgw_claim_io_done(struct pgw_claim_shard *shard,
                       const struct pgw_io_reply *reply, uint64_t now_us);

/**
 * pgw_claim_next_time() - when to call pgw_claim_next_io() at the latest
 * @shard: machine
 *
 * Return: a time in microseconds, UINT64_MAX for never.
 */
uint64_t pgw_claim_next_time(const struct pgw_claim_shard *shard);

/**
 * pgw_claim_shard_close() - take no more calls; write what is left
 * @shard: machine
 *
 * For a planned stop: new calls are refused as LEAVING, not run. Go on with
 * the store operations until pgw_claim_shard_is_drained().
 */
void pgw_claim_shard_close(struct pgw_claim_shard *shard);

/**
 * pgw_claim_shard_is_drained() - whether nothing would be lost by freeing it
 * @shard: machine
 */
bool pgw_claim_shard_is_drained(const struct pgw_claim_shard *shard);

/**
 * struct pgw_claim_stats - counters since pgw_claim_shard_new()
 * @claims: calls told to run
 * @replays: calls answered from a record
 * @refused: calls refused
 * @writes: writes asked for
 * @reads: reads asked for
 * @conflicts: writes that lost against another version
 * @unknown: writes without an answer
 * @faults: records that contradict this process's memory; always 0 unless the
 *          store or another process breaks the rules
 * @slots: keys held in memory now
 * @bytes: size of the object's value as last known
 */
struct pgw_claim_stats {
    uint64_t claims;
    uint64_t replays;
    uint64_t refused;
    uint64_t writes;
    uint64_t reads;
    uint64_t conflicts;
    uint64_t unknown;
    uint64_t faults;
    uint64_t slots;
    uint64_t bytes;
};

/** pgw_claim_shard_stats() - read the counters */
void pgw_claim_shard_stats(struct pgw_claim_stats *out,
                           const struct pgw_claim_shard *shard);

G_END_DECLS

#endif
