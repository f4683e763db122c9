#ifndef PARSLEYGW_QUARANTINE_H
#define PARSLEYGW_QUARANTINE_H

#include "parsleygw/io.h"
#include "parsleygw/types.h"

G_BEGIN_DECLS

/**
 * DOC: Requests that crash their upstreams
 *
 * When an engine crashes, everything it ran becomes suspect: one object of
 * kind "quarantine" per fingerprint. A suspect runs only alone on its engine
 * and only under a permit in that object, taken by conditional write, so that
 * no two run at once in the whole fleet. A success clears it, the second
 * crash puts it under quarantine. &struct pgw_quarantine is the pure state
 * machine of one process; docs/design/outcomes.md gives the reasons.
 *
 * All times are microseconds since 1970.
 */

#define PGW_QUARANTINE_KIND "quarantine"
#define PGW_FINGERPRINT_SIZE 16
/** Room for a fingerprint in hexadecimal digits: the object's name. */
#define PGW_FINGERPRINT_HEX 33
/** Crashes after which a fingerprint is quarantined. */
#define PGW_QUARANTINE_CRASHES 2

/** struct pgw_fingerprint - what a request asks, whoever sends it again */
struct pgw_fingerprint {
    uint8_t bytes[PGW_FINGERPRINT_SIZE];
};

/**
 * pgw_fingerprint_compute() - fingerprint of a request
 * @out: receives it
 * @workspace: workspace of the caller
 * @body: the request's body
 * @length: bytes of @body
 */
void pgw_fingerprint_compute(struct pgw_fingerprint *out,
                             const char *workspace, const void *body,
                             size_t length);

/** pgw_fingerprint_print() - write 32 hexadecimal digits and a zero */
void pgw_fingerprint_print(char out[PGW_FINGERPRINT_HEX],
                           const struct pgw_fingerprint *fingerprint);

/** pgw_fingerprint_parse() - read what pgw_fingerprint_print() wrote */
bool pgw_fingerprint_parse(struct pgw_fingerprint *out, const char *text);

/** pgw_fingerprint_hash() - for tables whose keys are fingerprints */
guint pgw_fingerprint_hash(gconstpointer key);

/** pgw_fingerprint_equal() - the same fingerprint */
gboolean pgw_fingerprint_equal(gconstpointer a, gconstpointer b);

/**
 * struct pgw_quarantine_record - value of an object of kind "quarantine"
 * @crash_count: crashes known, at most %PGW_QUARANTINE_CRASHES
 * @crashes: what crashed, each named once: the engine's incarnation, or the
 *           permit of a run that was never heard of again
 * @changed_us: last change
 * @run_owner: incarnation of the process that holds the permit, 0: none
 * @run_permit: its number
 * @run_until_us: when a run that is not heard of counts as a crash
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
 * pgw_quarantine_record_parse() - read an object's value
 * @out: receives the record
 * @json: the value
 * @length: its bytes
 * @error: %PGW_ERROR_INVALID
 */
bool pgw_quarantine_record_parse(struct pgw_quarantine_record *out,
                                 const char *json, size_t length,
                                 GError **error);

/**
 * pgw_quarantine_record_print() - write an object's value
 * @record: the record
 *
 * Return: JSON, to be freed with g_free().
 */
char *pgw_quarantine_record_print(const struct pgw_quarantine_record *record);

/** pgw_quarantine_record_has_crash() - whether a record names a crash */
bool
pgw_quarantine_record_has_crash(const struct pgw_quarantine_record *record,
                                uint64_t crash);

/**
 * struct pgw_quarantine_options - settings
 * @owner: incarnation of this process, never 0
 * @run_us: how long a permit holds; a live process renews it, a run that
 *          is not heard of in time counts as a crash
 * @expiry_us: how long a record counts after its last crash
 * @propagation_us: time in which a record reaches all processes; the end of a
 *             crashed run is told that much after the record stands, so that
 *             no caller can send it again to a process that does not know
 * @permit_timeout_us: longest wait for a permit
 * @record_timeout_us: longest wait for a crash to be recorded; a store that
 * fails ends it after @propagation_us, since peers hear of it at once
 * @stale_after_us: longest time since pgw_quarantine_mark_synced() in which
 * this process trusts that it knows all records; after it each request is
 *            checked in the store. 0 (the default): always trusted
 * @poll_us: wait between two looks at a permit that another holds
 * @backoff_us: wait after the store failed
 * @records_max: most fingerprints kept in this process
 */
struct pgw_quarantine_options {
    uint64_t owner;
    uint64_t run_us;
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
        .run_us = 60ull * G_USEC_PER_SEC,                                     \
        .expiry_us = 24ull * 3600 * G_USEC_PER_SEC,                           \
        .propagation_us = G_USEC_PER_SEC,                                     \
        .permit_timeout_us = 10ull * G_USEC_PER_SEC,                          \
        .record_timeout_us = 10ull * G_USEC_PER_SEC, .poll_us = 100000,       \
        .backoff_us = 200000, .records_max = 4096                             \
    }

/** struct pgw_quarantine - machine of one process; not thread-safe */
struct pgw_quarantine;

/** pgw_quarantine_new() - make a machine that knows no suspects */
struct pgw_quarantine *
pgw_quarantine_new(const struct pgw_quarantine_options *options);

/** pgw_quarantine_free() - free a machine; NULL is allowed */
void pgw_quarantine_free(struct pgw_quarantine *quarantine);

/**
 * enum pgw_quarantine_action - what to do with a request
 * @PGW_QUARANTINE_PENDING: wait; pgw_quarantine_next_event() names its ticket
 * @PGW_QUARANTINE_RUN: run it beside others
 * @PGW_QUARANTINE_RUN_ALONE: run it on an engine that runs nothing else, then
 *                            report the end
 * @PGW_QUARANTINE_REFUSE: refuse it, not run
 * @PGW_QUARANTINE_RECORDED: the crash reported with @ticket stands in the
 *                           store and had time to spread: its Fail may be sent
 * @PGW_QUARANTINE_UNRECORDED: the store did not take the crash in time; its
 *                             Fail may be sent, the record is tried again
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
 * struct pgw_quarantine_decision - a decision
 * @action: what to do
 * @ticket: whose
 * @refusal: for REFUSE
 * @retry_after_ms: for REFUSE; 0 says nothing, or never when quarantined
 */
struct pgw_quarantine_decision {
    enum pgw_quarantine_action action;
    uint64_t ticket;
    enum pgw_refusal refusal;
    uint32_t retry_after_ms;
};

/**
 * pgw_quarantine_admit() - ask whether a request may run
 * @out: receives the decision
 * @quarantine: machine
 * @fingerprint: of the request
 * @ticket: number unique in this process, never 0
 * @check: an earlier attempt of this request ended unknown: look into the
 *         store even if nothing is known here
 * @now_us: the time
 *
 * A request that is not suspect is answered at once, without I/O. Each
 * request told to run must be ended by pgw_quarantine_report_success(),
 * _crash() or _release(), so that a process knows what runs when a record
 * appears.
 */
void pgw_quarantine_admit(struct pgw_quarantine_decision *out,
                          struct pgw_quarantine *quarantine,
                          const struct pgw_fingerprint *fingerprint,
                          uint64_t ticket, bool check, uint64_t now_us);

/**
 * pgw_quarantine_report_crash() - an upstream crashed while it ran a request
 * @quarantine: machine
 * @fingerprint: of the request
 * @ticket: as given to pgw_quarantine_admit(); RECORDED or UNRECORDED will
 *          name it; 0: nobody waits for that
 * @crash: the engine's incarnation: one crash counts once, whoever reports it
 * @now_us: the time
 */
void pgw_quarantine_report_crash(struct pgw_quarantine *quarantine,
                                 const struct pgw_fingerprint *fingerprint,
                                 uint64_t ticket, uint64_t crash,
                                 uint64_t now_us);

/**
 * pgw_quarantine_apply_unrecorded() - a peer passes on a record that may not
 * stand in the store yet
 * @quarantine: machine
 * @fingerprint: of the request
 * @value: the record as JSON
 * @length: bytes of @value
 * @now_us: the time
 *
 * Its crashes count here at once and are written to the store when it answers.
 */
void pgw_quarantine_apply_unrecorded(struct pgw_quarantine *quarantine,
                                     const struct pgw_fingerprint *fingerprint,
                                     const char *value, size_t length,
                                     uint64_t now_us);

/**
 * pgw_quarantine_report_success() - a request ran to its end without a crash
 * @quarantine: machine
 * @fingerprint: of the request
 * @ticket: as given to pgw_quarantine_admit()
 * @now_us: the time
 */
void pgw_quarantine_report_success(struct pgw_quarantine *quarantine,
                                   const struct pgw_fingerprint *fingerprint,
                                   uint64_t ticket, uint64_t now_us);

/**
 * pgw_quarantine_release() - a request is given up: pending, or told to run
 * but certainly not handed to the upstream
 */
void pgw_quarantine_release(struct pgw_quarantine *quarantine,
                            const struct pgw_fingerprint *fingerprint,
                            uint64_t ticket, uint64_t now_us);

/**
 * pgw_quarantine_apply() - take an object as a watch or a peer tells it
 * @quarantine: machine
 * @fingerprint: the object's name
 * @version: its version; an older one than known is ignored
 * @value: its value, NULL: deleted (cleared, or lifted by an operator)
 * @length: bytes of @value
 * @now_us: the time
 */
void pgw_quarantine_apply(struct pgw_quarantine *quarantine,
                          const struct pgw_fingerprint *fingerprint,
                          uint64_t version, const char *value, size_t length,
                          uint64_t now_us);

/**
 * pgw_quarantine_mark_synced() - all records up to this moment were applied
 * @quarantine: machine
 * @now_us: when the watch, or a peer that is up to date, last said so
 */
void pgw_quarantine_mark_synced(struct pgw_quarantine *quarantine,
                                uint64_t now_us);

/**
 * pgw_quarantine_next_io() - take a store operation that is due
 * @out: receives it, to be disposed of
 * @fingerprint: receives the object it is for
 * @quarantine: machine
 * @now_us: the time
 *
 * At most one is outstanding for each fingerprint; several fingerprints may
 * have one each.
 *
 * Return: false when none is due.
 */
bool pgw_quarantine_next_io(struct pgw_io *out,
                            struct pgw_fingerprint *fingerprint,
                            struct pgw_quarantine *quarantine,
                            uint64_t now_us);

/**
 * pgw_quarantine_io_done() - end of an operation
 * @quarantine: machine
 * @fingerprint: the object it was for
 * @reply: how it ended
 * @now_us: the time
 */
void pgw_quarantine_io_done(struct pgw_quarantine *quarantine,
                            const struct pgw_fingerprint *fingerprint,
                            const struct pgw_io_reply *reply, uint64_t now_us);

/**
 * pgw_quarantine_next_event() - take a decision that became known
 *
 * Return: false when there is none.
 */
bool pgw_quarantine_next_event(struct pgw_quarantine_decision *out,
                               struct pgw_quarantine *quarantine);

/** pgw_quarantine_next_time() - when to call next_io again at the latest */
uint64_t pgw_quarantine_next_time(const struct pgw_quarantine *quarantine);

/** pgw_quarantine_size() - fingerprints known to this process, for metrics */
uint32_t pgw_quarantine_size(const struct pgw_quarantine *quarantine);

G_END_DECLS

#endif
