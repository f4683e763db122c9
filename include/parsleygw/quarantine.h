#ifndef PARSLEYGW_QUARANTINE_H
#define PARSLEYGW_QUARANTINE_H

#include "parsleygw/io.h"
#include "parsleygw/types.h"

G_BEGIN_DECLS

/**
 * DOC: Requests that crash their upstreams
 *
 * When an engine crashes, every request that it ran becomes a suspect. The
 * store keeps one object of kind "quarantine" per fingerprint. A suspect runs
 * only alone on its engine, and only under a permit in that object. The permit
 * is taken by a conditional write, so at most one copy of a suspect runs in
 * the whole fleet. A completed run clears the suspect; a second crash
 * quarantines it. &struct pgw_quarantine is the state machine of one process
 * and does no I/O; docs/design/outcomes.md gives the reasons.
 *
 * All times are microseconds since 1970.
 */

#define PGW_QUARANTINE_KIND "quarantine"
#define PGW_FINGERPRINT_SIZE 16
/** Size of a buffer for a fingerprint in hexadecimal digits and a zero. The
 * digits are the object's name. */
#define PGW_FINGERPRINT_HEX 33
/** Crashes after which a fingerprint is quarantined. */
#define PGW_QUARANTINE_CRASHES 2

/** struct pgw_fingerprint - digest of a request, equal for each resend */
struct pgw_fingerprint {
    uint8_t bytes[PGW_FINGERPRINT_SIZE];
};

/**
 * pgw_fingerprint_compute() - compute the fingerprint of a request
 * @out: receives the fingerprint
 * @workspace: workspace of the caller
 * @body: the request's body
 * @length: bytes of @body
 */
void pgw_fingerprint_compute(struct pgw_fingerprint *out,
                             const char *workspace, const void *body,
                             size_t length);

/** pgw_fingerprint_print() - format as 32 hexadecimal digits and a zero */
void pgw_fingerprint_print(char out[PGW_FINGERPRINT_HEX],
                           const struct pgw_fingerprint *fingerprint);

/** pgw_fingerprint_parse() - parse the text of pgw_fingerprint_print() */
bool pgw_fingerprint_parse(struct pgw_fingerprint *out, const char *text);

/** pgw_fingerprint_hash() - GHashFunc for tables keyed by fingerprint */
guint pgw_fingerprint_hash(gconstpointer key);

/** pgw_fingerprint_equal() - GEqualFunc for tables keyed by fingerprint */
gboolean pgw_fingerprint_equal(gconstpointer a, gconstpointer b);

/**
 * struct pgw_quarantine_record - value of an object of kind "quarantine"
 * @crash_count: number of @crashes, at most %PGW_QUARANTINE_CRASHES
 * @crashes: distinct crash identifiers: the incarnation of the engine that
 *           crashed, or the permit number of a run whose permit expired
 * @changed_us: time of the last crash added
 * @run_owner: incarnation of the process that holds the permit, 0: none
 * @run_permit: number of the permit
 * @run_until_us: expiry of the permit; an expired permit counts as a crash
 */
struct pgw_quarantine_record {
    uint32_t crash_count;
    uint64_t crashes[PGW_QUARANTINE_CRASHES];
    uint64_t changed_us;
    uint64_t run_owner;
    uint64_t run_permit;
    uint64_t run_until_us;
};

/**
 * pgw_quarantine_record_parse() - parse an object's value
 * @out: receives the record
 * @json: the value
 * @length: bytes of @json
 * @error: %PGW_ERROR_INVALID
 */
bool pgw_quarantine_record_parse(struct pgw_quarantine_record *out,
                                 const char *json, size_t length,
                                 GError **error);

/**
 * pgw_quarantine_record_print() - format an object's value
 * @record: the record
 *
 * Return: JSON, to be freed with g_free().
 */
char *pgw_quarantine_record_print(const struct pgw_quarantine_record *record);

/** pgw_quarantine_record_has_crash() - whether a record lists a crash */
bool
pgw_quarantine_record_has_crash(const struct pgw_quarantine_record *record,
                                uint64_t crash);

/**
 * struct pgw_quarantine_options - settings
 * @owner: incarnation of this process, never 0
 * @permit_lease_us: validity of a permit; its holder renews it, and a permit
 *                   that expires counts as a crash
 * @expiry_us: validity of a record after its last crash
 * @propagation_us: time in which a record reaches all processes. The end of a
 *                  crashed run is reported this long after the record is
 *                  stored, so that no caller can resend the request to a
 *                  process without the record
 * @permit_timeout_us: longest wait of a request for a permit
 * @record_timeout_us: longest wait for a crash to be recorded. When the store
 *                     fails, the wait ends after @propagation_us, because
 *                     peers receive the unrecorded crash directly
 * @stale_after_us: age of the last pgw_quarantine_mark_synced() above which
 *                  the records here count as out of date and each request is
 *                  checked in the store. 0 (the default): never
 * @poll_us: interval of reads of a record whose permit another process holds
 * @backoff_us: backoff after a failure of the store
 * @records_max: maximum number of fingerprints kept in this process
 */
struct pgw_quarantine_options {
    uint64_t owner;
    uint64_t permit_lease_us;
    uint64_t expiry_us;
    uint64_t propagation_us;
    uint64_t permit_timeout_us;
    uint64_t record_timeout_us;
    uint64_t stale_after_us;
    uint64_t poll_us;
    uint64_t backoff_us;
    uint32_t records_max;
};

#define PGW_QUARANTINE_OPTIONS_INIT                                           \
    {                                                                         \
        .permit_lease_us = 60ull * G_USEC_PER_SEC,                            \
        .expiry_us = 24ull * 3600 * G_USEC_PER_SEC,                           \
        .propagation_us = G_USEC_PER_SEC,                                     \
        .permit_timeout_us = 10ull * G_USEC_PER_SEC,                          \
        .record_timeout_us = 10ull * G_USEC_PER_SEC, .poll_us = 100000,       \
        .backoff_us = 200000, .records_max = 4096                             \
    }

/** struct pgw_quarantine - state machine of one process; not thread-safe */
struct pgw_quarantine;

/** pgw_quarantine_new() - make a state machine without suspects */
struct pgw_quarantine *
pgw_quarantine_new(const struct pgw_quarantine_options *options);

/** pgw_quarantine_free() - free a state machine; NULL is allowed */
void pgw_quarantine_free(struct pgw_quarantine *quarantine);

/**
 * enum pgw_quarantine_action - what to do with a request
 * @PGW_QUARANTINE_PENDING: wait; a later pgw_quarantine_next_event() returns
 *                          the decision for the ticket
 * @PGW_QUARANTINE_RUN: run the request beside others
 * @PGW_QUARANTINE_RUN_ALONE: run the request on an engine that runs nothing
 *                            else, then report the end
 * @PGW_QUARANTINE_REFUSE: refuse the request as not run
 * @PGW_QUARANTINE_RECORDED: the crash reported with @ticket is stored and had
 *                           time to propagate: its Fail may be sent
 * @PGW_QUARANTINE_UNRECORDED: the store did not accept the crash in time; its
 *                             Fail may be sent, the write is retried
 */
enum pgw_quarantine_action {
    PGW_QUARANTINE_PENDING,
    PGW_QUARANTINE_RUN,
    PGW_QUARANTINE_RUN_ALONE,
    PGW_QUARANTINE_REFUSE,
    PGW_QUARANTINE_RECORDED,
    PGW_QUARANTINE_UNRECORDED,
};

/**
 * struct pgw_quarantine_decision - a decision on one request
 * @action: what to do
 * @ticket: ticket of the request
 * @refusal: reason, for REFUSE
 * @retry_after_ms: for REFUSE; 0: unspecified, or never when quarantined
 */
struct pgw_quarantine_decision {
    enum pgw_quarantine_action action;
    uint64_t ticket;
    enum pgw_refusal refusal;
    uint32_t retry_after_ms;
};

/**
 * pgw_quarantine_admit() - decide whether a request may run
 * @out: receives the decision
 * @quarantine: the state machine
 * @fingerprint: of the request
 * @ticket: number unique in this process, never 0
 * @check: read the store even if there is no record here; set when an earlier
 *         attempt of this request ended with an unknown outcome
 * @now_us: the time
 *
 * A request that is not a suspect is decided at once, without I/O. Each
 * request with the decision RUN or RUN_ALONE must be ended by
 * pgw_quarantine_report_success(), pgw_quarantine_report_crash() or
 * pgw_quarantine_release(), so that the requests already running are known
 * when a record for them appears.
 */
void pgw_quarantine_admit(struct pgw_quarantine_decision *out,
                          struct pgw_quarantine *quarantine,
                          const struct pgw_fingerprint *fingerprint,
                          uint64_t ticket, bool check, uint64_t now_us);

/**
 * pgw_quarantine_report_crash() - report that an upstream crashed while it ran
 * a request
 * @quarantine: the state machine
 * @fingerprint: of the request
 * @ticket: as given to pgw_quarantine_admit(); the RECORDED or UNRECORDED
 *          decision carries it; 0: no such decision is needed
 * @crash: the engine's incarnation; a crash reported several times counts once
 * @now_us: the time
 */
void pgw_quarantine_report_crash(struct pgw_quarantine *quarantine,
                                 const struct pgw_fingerprint *fingerprint,
                                 uint64_t ticket, uint64_t crash,
                                 uint64_t now_us);

/**
 * pgw_quarantine_apply_unrecorded() - apply a record from a peer that may not
 * be stored yet
 * @quarantine: the state machine
 * @fingerprint: of the request
 * @value: the record as JSON
 * @length: bytes of @value
 * @now_us: the time
 *
 * The record's crashes count here at once and are written to the store as soon
 * as the store is available.
 */
void pgw_quarantine_apply_unrecorded(struct pgw_quarantine *quarantine,
                                     const struct pgw_fingerprint *fingerprint,
                                     const char *value, size_t length,
                                     uint64_t now_us);

/**
 * pgw_quarantine_report_success() - report that a request completed without a
 * crash
 * @quarantine: the state machine
 * @fingerprint: of the request
 * @ticket: as given to pgw_quarantine_admit()
 * @now_us: the time
 */
void pgw_quarantine_report_success(struct pgw_quarantine *quarantine,
                                   const struct pgw_fingerprint *fingerprint,
                                   uint64_t ticket, uint64_t now_us);

/**
 * pgw_quarantine_release() - abandon a request that is pending, or that may
 * run but was certainly not sent to the upstream
 */
void pgw_quarantine_release(struct pgw_quarantine *quarantine,
                            const struct pgw_fingerprint *fingerprint,
                            uint64_t ticket, uint64_t now_us);

/**
 * pgw_quarantine_apply() - apply an object received from a watch or a peer
 * @quarantine: the state machine
 * @fingerprint: the object's name
 * @version: the object's version; a version older than the known one is
 * ignored
 * @value: the object's value, NULL: deleted (cleared, or lifted by an
 * operator)
 * @length: bytes of @value
 * @now_us: the time
 */
void pgw_quarantine_apply(struct pgw_quarantine *quarantine,
                          const struct pgw_fingerprint *fingerprint,
                          uint64_t version, const char *value, size_t length,
                          uint64_t now_us);

/**
 * pgw_quarantine_mark_synced() - mark all records up to a time as applied
 * @quarantine: the state machine
 * @now_us: time of the last confirmation by the watch or by a peer that is up
 *          to date
 */
void pgw_quarantine_mark_synced(struct pgw_quarantine *quarantine,
                                uint64_t now_us);

/**
 * pgw_quarantine_next_io() - return a store operation that is due
 * @out: receives the operation; release it with pgw_io_dispose()
 * @fingerprint: receives the fingerprint that names the operation's object
 * @quarantine: the state machine
 * @now_us: the time
 *
 * At most one operation is outstanding for each fingerprint. Operations for
 * different fingerprints may be outstanding at the same time.
 *
 * Return: false when none is due.
 */
bool pgw_quarantine_next_io(struct pgw_io *out,
                            struct pgw_fingerprint *fingerprint,
                            struct pgw_quarantine *quarantine,
                            uint64_t now_us);

/**
 * pgw_quarantine_io_done() - apply the result of a store operation
 * @quarantine: the state machine
 * @fingerprint: as given by pgw_quarantine_next_io()
 * @reply: the result
 * @now_us: the time
 */
void pgw_quarantine_io_done(struct pgw_quarantine *quarantine,
                            const struct pgw_fingerprint *fingerprint,
                            const struct pgw_io_reply *reply, uint64_t now_us);

/**
 * pgw_quarantine_next_event() - return a decision on a pending ticket
 *
 * Return: false when there is none.
 */
bool pgw_quarantine_next_event(struct pgw_quarantine_decision *out,
                               struct pgw_quarantine *quarantine);

/** pgw_quarantine_next_time() - latest time for the next call of
 * pgw_quarantine_next_io(), UINT64_MAX: none */
uint64_t pgw_quarantine_next_time(const struct pgw_quarantine *quarantine);

/** pgw_quarantine_size() - fingerprints kept in this process, for metrics */
uint32_t pgw_quarantine_size(const struct pgw_quarantine *quarantine);

G_END_DECLS

#endif
