#ifndef PARSLEYGW_ATTEMPT_H
#define PARSLEYGW_ATTEMPT_H

#include "parsleygw/types.h"

G_BEGIN_DECLS

/**
 * DOC: Attempts of a request
 *
 * The entry's state of one request over all its attempts, as a pure state
 * machine: each event gives one decision. It decides which attempt an event
 * belongs to, whether each attempt may have run, and when the request may be
 * retried. It does no I/O and reads no clock. Times are microseconds of any
 * monotonic clock.
 */

/** Maximum attempts of one request, including resumptions. */
#define PGW_ATTEMPT_MAX 8

/** Upstreams that may crash under one request before it is refused. */
#define PGW_ATTEMPT_CRASHES_MAX 2

/** Size of the name of a weights version, including the terminating zero. */
#define PGW_ATTEMPT_VERSION_SIZE 64

/**
 * struct pgw_attempt_options - settings of one request
 * @id: ID of the request; events with another ID are dropped
 * @deadline_us: deadline of the complete answer
 * @grace_us: how long after the deadline the entry waits for the sidecar's
 *            Fail, so that a request that was only queued ends as "not run"
 * @repeatable: the request may run more than once
 * @tokens: Data carries model tokens, which another engine can continue
 * @buffered: the caller receives nothing before End, so that received data can
 *            be discarded and the request be run again from its start
 * @attempts_max: maximum attempts, at most %PGW_ATTEMPT_MAX
 */
struct pgw_attempt_options {
    struct pgw_request_id id;
    uint64_t deadline_us;
    uint64_t grace_us;
    bool repeatable;
    bool tokens;
    bool buffered;
    uint32_t attempts_max;
};

#define PGW_ATTEMPT_OPTIONS_INIT                                              \
    {                                                                         \
        .grace_us = 100000, .repeatable = true, .attempts_max = 4             \
    }

/**
 * enum pgw_attempt_event_kind - what happened
 * @PGW_ATTEMPT_NOT_SENT: no byte of Open was written
 * @PGW_ATTEMPT_STARTED: frame Started
 * @PGW_ATTEMPT_DATA: frame Data
 * @PGW_ATTEMPT_END: frame End
 * @PGW_ATTEMPT_FAIL: frame Fail
 * @PGW_ATTEMPT_LINK_LOST: the link broke after a byte of Open was written
 * @PGW_ATTEMPT_TIMER: the time of pgw_attempt_next_timer() was reached
 * @PGW_ATTEMPT_CALLER_GONE: the caller closed its connection
 * @PGW_ATTEMPT_EXHAUSTED: after a decision to retry or resume: no candidate
 *                         is left, or the retry budget is used up
 */
enum pgw_attempt_event_kind {
    PGW_ATTEMPT_NOT_SENT,
    PGW_ATTEMPT_STARTED,
    PGW_ATTEMPT_DATA,
    PGW_ATTEMPT_END,
    PGW_ATTEMPT_FAIL,
    PGW_ATTEMPT_LINK_LOST,
    PGW_ATTEMPT_TIMER,
    PGW_ATTEMPT_CALLER_GONE,
    PGW_ATTEMPT_EXHAUSTED,
};

/**
 * struct pgw_attempt_event - one event
 * @kind: what happened
 * @id: request ID in the frame; ignored for TIMER, CALLER_GONE, EXHAUSTED
 * @attempt: attempt number in the frame; ignored for the same events
 * @sequence: of Data and End
 * @token_index: of Data: index of its first token, counted over all attempts
 * @token_count: of Data
 * @refusal: of Fail: one of &enum pgw_refusal
 * @ran: of Fail: one of &enum pgw_ran
 * @retry_after_ms: of Fail; 0: none given
 * @version: of Started: weights version of the engine, or NULL
 */
struct pgw_attempt_event {
    enum pgw_attempt_event_kind kind;
    struct pgw_request_id id;
    uint32_t attempt;
    uint64_t sequence;
    uint32_t token_index;
    uint32_t token_count;
    uint32_t refusal;
    uint32_t ran;
    uint32_t retry_after_ms;
    const char *version;
};

/**
 * enum pgw_attempt_action - what the entry does next
 * @PGW_ATTEMPT_NOTHING: nothing; see @drop of the decision
 * @PGW_ATTEMPT_DELIVER: pass the data to the caller or its buffer
 * @PGW_ATTEMPT_FINISH: the answer is complete: end it for the caller
 * @PGW_ATTEMPT_RETRY: start another attempt from the first token on a
 *                     candidate not tried yet; clear the caller's buffer
 * @PGW_ATTEMPT_RESUME: start another attempt that continues after
 *                      @resume_from tokens, on an engine that runs
 *                      pgw_attempt_version()
 * @PGW_ATTEMPT_REFUSE: end with the refusal; if data was delivered, by an
 *                      error event or by closing the connection
 */
enum pgw_attempt_action {
    PGW_ATTEMPT_NOTHING,
    PGW_ATTEMPT_DELIVER,
    PGW_ATTEMPT_FINISH,
    PGW_ATTEMPT_RETRY,
    PGW_ATTEMPT_RESUME,
    PGW_ATTEMPT_REFUSE,
};

/**
 * enum pgw_attempt_drop - why an event had no effect
 * @PGW_ATTEMPT_NOT_DROPPED: the event was not dropped
 * @PGW_ATTEMPT_DROP_REQUEST: it belongs to another request
 * @PGW_ATTEMPT_DROP_ATTEMPT: it does not belong to the current attempt
 * @PGW_ATTEMPT_DROP_FINISHED: the request has ended
 * @PGW_ATTEMPT_DROP_IDLE: no attempt is in flight
 * @PGW_ATTEMPT_DROP_DUPLICATE: this Data or Started was received before
 * @PGW_ATTEMPT_DROP_COUNT: number of reasons
 */
enum pgw_attempt_drop {
    PGW_ATTEMPT_NOT_DROPPED,
    PGW_ATTEMPT_DROP_REQUEST,
    PGW_ATTEMPT_DROP_ATTEMPT,
    PGW_ATTEMPT_DROP_FINISHED,
    PGW_ATTEMPT_DROP_IDLE,
    PGW_ATTEMPT_DROP_DUPLICATE,
    PGW_ATTEMPT_DROP_COUNT,
};

/**
 * enum pgw_attempt_verdict - what is known about one attempt
 * @PGW_ATTEMPT_OPEN: not ended yet
 * @PGW_ATTEMPT_DONE: it returned the complete answer
 * @PGW_ATTEMPT_NOT_RUN: it did not run
 * @PGW_ATTEMPT_UNKNOWN: it may have run, completely or in part
 */
enum pgw_attempt_verdict {
    PGW_ATTEMPT_OPEN,
    PGW_ATTEMPT_DONE,
    PGW_ATTEMPT_NOT_RUN,
    PGW_ATTEMPT_UNKNOWN,
};

/**
 * struct pgw_attempt_decision - decision on one event
 * @action: what to do
 * @cancel: also send Cancel for attempt @cancel_attempt, whatever @action is
 * @cancel_attempt: number of the attempt to cancel
 * @charged: the retry or resumption uses the retry budget; it does not if the
 *           failed attempt was never sent
 * @resume_from: tokens already delivered, for RESUME
 * @refusal: for REFUSE: the reason
 * @ran: for REFUSE: whether any attempt ran
 * @retry_after_ms: for REFUSE: 0: none given
 * @protocol_fault: the sidecar violated the protocol; to be counted
 * @drop: why the event was dropped
 */
struct pgw_attempt_decision {
    enum pgw_attempt_action action;
    bool cancel;
    uint32_t cancel_attempt;
    bool charged;
    uint32_t resume_from;
    enum pgw_refusal refusal;
    enum pgw_ran ran;
    uint32_t retry_after_ms;
    bool protocol_fault;
    enum pgw_attempt_drop drop;
};

/**
 * struct pgw_attempt - state of one request; fields are private
 *
 * Plain data without pointers: it may be copied and needs no cleanup.
 */
struct pgw_attempt {
    struct pgw_attempt_options options;
    uint64_t tried[PGW_ATTEMPT_MAX];
    uint32_t count;
    uint32_t crashes;
    enum pgw_attempt_verdict verdict;
    enum pgw_ran ran;
    bool finished;
    bool in_flight;
    bool started;
    bool closing;
    bool has_version;
    uint64_t next_sequence;
    uint32_t tokens;
    uint64_t delivered;
    enum pgw_refusal last_refusal;
    uint32_t last_retry_after_ms;
    char version[PGW_ATTEMPT_VERSION_SIZE];
};

/**
 * pgw_attempt_init() - initialize the state of a request
 * @out: state to initialize
 * @options: copied
 */
void pgw_attempt_init(struct pgw_attempt *out,
                      const struct pgw_attempt_options *options);

/**
 * pgw_attempt_start() - begin the next attempt
 * @attempt: state of the request
 * @candidate: number of the chosen upstream, assigned by the calling code
 *
 * To be called before the first byte of Open is written. If the write fails,
 * the event is NOT_SENT if no byte was written, else LINK_LOST.
 *
 * Return: the attempt's number for Open, from 1; 0 when an attempt is in
 * flight, the request has ended or no attempts are left.
 */
uint32_t pgw_attempt_start(struct pgw_attempt *attempt, uint64_t candidate);

/**
 * pgw_attempt_step() - handle one event
 * @out: receives the decision; all members are set
 * @attempt: state of the request
 * @event: what happened
 * @now_us: the time
 */
void pgw_attempt_step(struct pgw_attempt_decision *out,
                      struct pgw_attempt *attempt,
                      const struct pgw_attempt_event *event, uint64_t now_us);

/**
 * pgw_attempt_was_tried() - whether an attempt used a candidate
 * @attempt: state of the request
 * @candidate: as given to pgw_attempt_start()
 */
bool pgw_attempt_was_tried(const struct pgw_attempt *attempt,
                           uint64_t candidate);

/**
 * pgw_attempt_ran() - whether any ended attempt ran
 * @attempt: state of the request
 *
 * Return: the worst over all ended attempts. Unless it is %PGW_RAN_NO, the
 * request may have crashed an upstream, and the sidecar of the next attempt
 * must check it.
 */
enum pgw_ran pgw_attempt_ran(const struct pgw_attempt *attempt);

/**
 * pgw_attempt_next_timer() - when to send the event TIMER
 * @attempt: state of the request
 *
 * Return: a time in microseconds, UINT64_MAX once the request has ended.
 */
uint64_t pgw_attempt_next_timer(const struct pgw_attempt *attempt);

/**
 * pgw_attempt_deadline_ms() - time left for the Open of an attempt
 * @attempt: state of the request
 * @now_us: the time
 *
 * Return: milliseconds, rounded down; 0 once the deadline has passed.
 */
uint32_t pgw_attempt_deadline_ms(const struct pgw_attempt *attempt,
                                 uint64_t now_us);

/**
 * pgw_attempt_version() - weights version that a resumption needs
 * @attempt: state of the request
 *
 * Return: the version that generated the delivered tokens, "" before any.
 */
const char *pgw_attempt_version(const struct pgw_attempt *attempt);

/**
 * pgw_attempt_verdict_name() - "open", "done", "not_run" or "unknown"
 * @verdict: one of &enum pgw_attempt_verdict
 */
const char *pgw_attempt_verdict_name(int verdict);

G_END_DECLS

#endif
