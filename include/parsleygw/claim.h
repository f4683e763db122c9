#ifndef PARSLEYGW_CLAIM_H
#define PARSLEYGW_CLAIM_H

#include "parsleygw/io.h"
#include "parsleygw/types.h"

G_BEGIN_DECLS

/**
 * DOC: At most one run for each idempotency key
 *
 * A call that must not be repeated is claimed before it runs by a conditional
 * write in the object API. Keys are spread over objects of kind "claim"; one
 * &struct pgw_claim_shard is the pure state machine of one such object in one
 * process. It batches: at most one store operation is outstanding, and all
 * calls that arrive meanwhile share the next write. Which process handles a
 * shard matters for batching only; the version check of the write provides
 * the fencing.
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
 * struct pgw_claim_layout - how the keys of one service map to objects; all
 * processes must use the same layout
 * @service: name of the service's profile
 * @shards: number of objects that share the keys of one period
 * @period_us: range of key creation times that one object holds
 * @retention_us: how long a key's record is kept
 * @skew_us: how far a key's creation time may lie in the future
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
 * struct pgw_claim_location - object that decides a key
 * @name: name of its object
 * @shard: number of its shard, which selects the service instance
 * @created_us: creation time of a UUIDv7 key, 0 for any other key
 * @expired: the key is older than the retention, so its record may be
 *           deleted
 */
struct pgw_claim_location {
    char name[PGW_CLAIM_NAME_SIZE];
    uint32_t shard;
    uint64_t created_us;
    bool expired;
};

/**
 * pgw_claim_locate() - find the object that decides a key
 * @out: receives the location
 * @layout: the service's layout
 * @workspace: the caller's workspace
 * @key: idempotency key
 * @now_us: the time
 * @error: %PGW_ERROR_INVALID: a malformed key, or a creation time in the
 *         future
 */
bool pgw_claim_locate(struct pgw_claim_location *out,
                      const struct pgw_claim_layout *layout,
                      const char *workspace, const char *key, uint64_t now_us,
                      GError **error);

/**
 * pgw_claim_key_created_us() - creation time in a UUIDv7
 * @key: idempotency key
 *
 * Return: microseconds since 1970, 0 when @key is not a UUIDv7.
 */
uint64_t pgw_claim_key_created_us(const char *key);

/**
 * pgw_claim_object_is_expired() - whether an object may be deleted
 * @layout: the service's layout
 * @name: an object's name
 * @clock_skew_us: how far the clocks of two processes may differ
 * @now_us: the time
 *
 * Return: true when every process refuses every key that the object can hold
 * as expired; never for the objects of keys without a creation time.
 */
bool pgw_claim_object_is_expired(const struct pgw_claim_layout *layout,
                                 const char *name, uint64_t clock_skew_us,
                                 uint64_t now_us);

/**
 * struct pgw_claim_sweep - deletes objects whose keys are all expired
 *
 * A pure state machine. Each object that comes into use schedules the deletion
 * of the objects of the same shard whose periods have expired since. Objects
 * are so deleted as fast as they are created, without listing them.
 */
struct pgw_claim_sweep;

/**
 * pgw_claim_sweep_new() - create a sweep with nothing to do
 * @layout: layout of all its objects; @service is not used
 * @clock_skew_us: how far the clocks of two processes may differ
 * @initial_periods: expired periods to check when a shard is first used
 */
struct pgw_claim_sweep *
pgw_claim_sweep_new(const struct pgw_claim_layout *layout,
                    uint64_t clock_skew_us, uint32_t initial_periods);

/** pgw_claim_sweep_free() - free a sweep; NULL is allowed */
void pgw_claim_sweep_free(struct pgw_claim_sweep *sweep);

/**
 * pgw_claim_sweep_schedule() - schedule deletions for an object in use
 * @sweep: the sweep
 * @name: name of the object that came into use in this process
 * @now_us: the time
 */
void pgw_claim_sweep_schedule(struct pgw_claim_sweep *sweep, const char *name,
                              uint64_t now_us);

/**
 * pgw_claim_sweep_next_io() - take the next store operation
 * @out: receives it, to be disposed of
 * @name: receives the name of its object
 * @sweep: the sweep
 *
 * One operation is outstanding at a time; the caller chooses the rate. After a
 * failure the same object is tried again.
 *
 * Return: false when there is nothing to do or one is outstanding.
 */
bool pgw_claim_sweep_next_io(struct pgw_io *out,
                             char name[PGW_CLAIM_NAME_SIZE],
                             struct pgw_claim_sweep *sweep);

/** pgw_claim_sweep_io_done() - complete the outstanding operation */
void pgw_claim_sweep_io_done(struct pgw_claim_sweep *sweep,
                             const struct pgw_io_reply *reply);

/**
 * struct pgw_claim_options - settings of a shard
 * @owner: incarnation of this process; random per process start, never 0
 * @retention_us: as in the layout
 * @write_interval_us: mean time from one write to the next: the share of the
 *                     store's write budget that this shard may use
 * @write_burst: writes allowed at once after an idle period
 * @outcome_delay_us: how long an outcome waits for a claim to share its write
 *                    with; a crash in that time leaves the outcome unknown
 * @backoff_us: wait after the store failed, doubled up to @backoff_max_us
 * @backoff_max_us: longest such wait
 * @decision_timeout_us: a claim not decided within this time is refused
 *             as not run
 * @body_max: longest recorded answer body in bytes; a longer one is not
 *            replayed
 * @object_max: size limit of the object's value in bytes
 * @slots_max: most undecided or unrecorded keys in this process
 * @window_us: how far ahead, by creation time, this process reserves the sole
 *             right to decide keys, so that it can continue while the store
 *             is down; 0 (the default): never
 * @window_lookback_us: how far back that reservation reaches
 */
struct pgw_claim_options {
    uint64_t owner;
    uint64_t retention_us;
    uint64_t write_interval_us;
    uint32_t write_burst;
    uint64_t outcome_delay_us;
    uint64_t backoff_us;
    uint64_t backoff_max_us;
    uint64_t decision_timeout_us;
    size_t body_max;
    size_t object_max;
    uint32_t slots_max;
    uint64_t window_us;
    uint64_t window_lookback_us;
};

#define PGW_CLAIM_OPTIONS_INIT                                                \
    {                                                                         \
        .retention_us = 24ull * 3600 * G_USEC_PER_SEC,                        \
        .write_interval_us = 10000, .write_burst = 4,                         \
        .outcome_delay_us = 50000, .backoff_us = 50000,                       \
        .backoff_max_us = 2000000, .decision_timeout_us = 1000000,            \
        .body_max = 16384, .object_max = 1000000, .slots_max = 4096,          \
        .window_lookback_us = 5000000                                         \
    }

/** struct pgw_claim_shard - claims of one object; not thread-safe */
struct pgw_claim_shard;

/**
 * pgw_claim_shard_new() - create a shard without any state
 * @options: copied
 *
 * Return: to be freed with pgw_claim_shard_free().
 */
struct pgw_claim_shard *
pgw_claim_shard_new(const struct pgw_claim_options *options);

/** pgw_claim_shard_free() - free a shard; NULL is allowed */
void pgw_claim_shard_free(struct pgw_claim_shard *shard);

/**
 * struct pgw_claim_request - one call that claims its key
 * @workspace: the caller's workspace
 * @key: its idempotency key, as pgw_claim_locate() accepted it
 * @request: request ID of the call
 * @attempt: attempt number of the call
 * @ticket: chosen by the caller, unique among the calls of this shard
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
 * struct pgw_claim_answer - a plain service's complete answer
 * @status: HTTP status
 * @content_type: may be NULL
 * @body: the complete body; may be NULL for an empty one
 */
struct pgw_claim_answer {
    uint32_t status;
    const char *content_type;
    GBytes *body;
};

/**
 * enum pgw_claim_action - what to do with a call
 * @PGW_CLAIM_PENDING: wait; pgw_claim_next_decision() returns the decision
 * @PGW_CLAIM_RUN: send it to the upstream now, then call
 *                 pgw_claim_finish(), pgw_claim_release() or
 *                 pgw_claim_mark_lost()
 * @PGW_CLAIM_REPLAY: return the recorded answer
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
 * @ticket: ticket of the call
 * @refusal: for REFUSE
 * @ran: for REFUSE: whether this call or an earlier one with its key ran
 * @retry_after_ms: for REFUSE: 0: none given
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

/** pgw_claim_decision_dispose() - free what a decision owns */
void pgw_claim_decision_dispose(struct pgw_claim_decision *decision);

/**
 * pgw_claim_begin() - claim a key
 * @out: receives the decision, to be disposed of
 * @shard: shard of the key's object
 * @request: the call
 * @now_us: the time
 */
void pgw_claim_begin(struct pgw_claim_decision *out,
                     struct pgw_claim_shard *shard,
                     const struct pgw_claim_request *request, uint64_t now_us);

/**
 * pgw_claim_next_decision() - take the next decision of a pending call
 * @out: receives the decision, to be disposed of
 * @shard: the shard
 *
 * Return: false when there is none.
 */
bool pgw_claim_next_decision(struct pgw_claim_decision *out,
                             struct pgw_claim_shard *shard);

/**
 * pgw_claim_finish() - the call ran and returned its complete answer
 * @shard: the shard
 * @ticket: of a running call
 * @answer: its answer; the body's reference is shared
 * @now_us: the time
 *
 * Calls that wait for the key get the answer at once. The record is written
 * with the next batch, and again until the store holds it.
 *
 * Return: false when no call with this ticket is running.
 */
bool pgw_claim_finish(struct pgw_claim_shard *shard, uint64_t ticket,
                      const struct pgw_claim_answer *answer, uint64_t now_us);

/**
 * pgw_claim_release() - the call was not run after all
 * @shard: the shard
 * @ticket: of a running call
 * @now_us: the time
 *
 * Only for calls that certainly never reached the upstream. The first call
 * that waits for the same key runs next.
 */
bool pgw_claim_release(struct pgw_claim_shard *shard, uint64_t ticket,
                       uint64_t now_us);

/**
 * pgw_claim_mark_lost() - the call may have run, its answer is lost
 * @shard: the shard
 * @ticket: of a running call
 * @now_us: the time
 */
bool pgw_claim_mark_lost(struct pgw_claim_shard *shard, uint64_t ticket,
                         uint64_t now_us);

/**
 * pgw_claim_cancel() - abandon a pending call
 * @shard: the shard
 * @ticket: of a pending call
 * @now_us: the time
 *
 * Return: false when the ticket is not pending (the call may be running).
 */
bool pgw_claim_cancel(struct pgw_claim_shard *shard, uint64_t ticket,
                      uint64_t now_us);

/**
 * pgw_claim_next_io() - take the store operation that is due
 * @out: receives it, to be disposed of
 * @shard: the shard
 * @now_us: the time
 *
 * Also refuses calls that have waited too long. To be called at
 * pgw_claim_next_time() and after pgw_claim_begin(), pgw_claim_io_done() and
 * each call that ends or cancels a ticket. Each operation taken needs exactly
 * one pgw_claim_io_done().
 *
 * Return: false when none is due or one is outstanding.
 */
bool pgw_claim_next_io(struct pgw_io *out, struct pgw_claim_shard *shard,
                       uint64_t now_us);

/**
 * pgw_claim_io_done() - complete the outstanding operation
 * @shard: the shard
 * @reply: result of the operation
 * @now_us: the time
 */
void pgw_claim_io_done(struct pgw_claim_shard *shard,
                       const struct pgw_io_reply *reply, uint64_t now_us);

/**
 * pgw_claim_next_time() - when to call pgw_claim_next_io() at the latest
 * @shard: the shard
 *
 * Return: a time in microseconds, UINT64_MAX for never.
 */
uint64_t pgw_claim_next_time(const struct pgw_claim_shard *shard);

/**
 * pgw_claim_shard_close() - accept no more calls, write what is left
 * @shard: the shard
 *
 * For a graceful drain: new calls are refused as LEAVING, not run. Continue
 * the store operations until pgw_claim_shard_is_drained().
 */
void pgw_claim_shard_close(struct pgw_claim_shard *shard);

/**
 * pgw_claim_shard_is_drained() - whether freeing the shard loses nothing
 * @shard: the shard
 */
bool pgw_claim_shard_is_drained(const struct pgw_claim_shard *shard);

/**
 * struct pgw_claim_stats - counters since pgw_claim_shard_new()
 * @claims: calls decided as RUN
 * @replays: calls answered from a record
 * @refused: calls refused
 * @writes: writes issued
 * @reads: reads issued
 * @conflicts: writes rejected because the object has another version
 * @unknown: writes whose response was lost
 * @faults: records that contradict this process's state; always 0 unless the
 *          store or another process violates the protocol
 * @slots: keys in memory now
 * @bytes: last known size of the object's value
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
