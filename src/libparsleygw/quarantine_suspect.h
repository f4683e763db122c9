#ifndef PGW_QUARANTINE_SUSPECT_H
#define PGW_QUARANTINE_SUSPECT_H

#include "parsleygw/quarantine.h"
#include "util/list.h"

/**
 * struct pgw_suspect_crash - a crash that may not be stored yet
 * @ticket: request whose end waits for the record, 0: none
 * @crash_id: incarnation of the engine that crashed
 * @answer_due_us: when to emit RECORDED; 0 until @is_recorded
 * @record_deadline_us: when to emit UNRECORDED if not @is_recorded
 * @is_recorded: the record in the store lists the crash, or is full
 */
struct pgw_suspect_crash {
    struct pgw_list link;
    uint64_t ticket;
    uint64_t crash_id;
    uint64_t answer_due_us;
    uint64_t record_deadline_us;
    bool is_recorded;
};

/**
 * struct pgw_suspect_waiter - a request that waits for a decision, or one that
 * runs without a permit
 * @deadline_us: when the wait ends with a refusal
 * @sync_was_stale: the records here were out of date when the request arrived
 */
struct pgw_suspect_waiter {
    struct pgw_list link;
    uint64_t ticket;
    uint64_t deadline_us;
    bool sync_was_stale;
};

/**
 * struct pgw_suspect - state of one fingerprint in this process
 * @version: version of @record in the store
 * @is_stored: the store has a record, as far as known
 * @needs_read: @record may be out of date
 * @permit_is_granted: the store has recorded the permit of @permit_ticket
 * @needs_delete: a run completed, so the record is to be deleted
 * @permit_ticket: ticket that holds or requests the permit here, 0: none
 * @retry_us: earliest time of the next store operation
 * @outstanding_io: operation in progress
 * @record: record as last read or written
 * @draft: record of the outstanding write
 * @unpermitted_runs: requests that run beside others because they were not
 *                    suspects when they were admitted
 */
struct pgw_suspect {
    struct pgw_fingerprint fingerprint;
    uint64_t version;
    bool is_stored;
    bool needs_read;
    bool permit_is_granted;
    bool needs_delete;
    uint64_t permit_ticket;
    uint64_t retry_us;
    uint64_t last_used_us;
    enum pgw_io_kind outstanding_io;
    struct pgw_quarantine_record record;
    struct pgw_quarantine_record draft;
    struct pgw_list crashes;
    struct pgw_list waiters;
    struct pgw_list unpermitted_runs;
};

/** struct pgw_quarantine_event - a queued decision */
struct pgw_quarantine_event {
    struct pgw_list link;
    struct pgw_quarantine_decision decision;
};

/**
 * struct pgw_quarantine - state machine of one process
 * @suspects: fingerprint to &struct pgw_suspect
 * @events: queue of &struct pgw_quarantine_event
 * @now_us: highest time passed in so far
 * @synced_us: all records up to this time were applied
 */
struct pgw_quarantine {
    struct pgw_quarantine_options options;
    GHashTable *suspects;
    struct pgw_list events;
    uint64_t now_us;
    uint64_t synced_us;
};

/** pgw_quarantine__advance_time() - set the time, which never goes back */
void pgw_quarantine__advance_time(struct pgw_quarantine *quarantine,
                                  uint64_t now_us);

struct pgw_suspect *
pgw_quarantine__find(const struct pgw_quarantine *quarantine,
                     const struct pgw_fingerprint *fingerprint);

/** pgw_quarantine__find_or_add() - NULL at the limit of records when every
 * suspect has something pending */
struct pgw_suspect *
pgw_quarantine__find_or_add(struct pgw_quarantine *quarantine,
                            const struct pgw_fingerprint *fingerprint);
void pgw_quarantine__drop_if_idle(struct pgw_quarantine *quarantine,
                                  struct pgw_suspect *suspect);

/** pgw_suspect__add_run() - add a request that runs without a permit */
void pgw_suspect__add_run(struct pgw_suspect *suspect, uint64_t ticket);

/** pgw_suspect__permit_number() - number of a ticket's permit, unique in the
 * fleet */
uint64_t pgw_suspect__permit_number(const struct pgw_quarantine *quarantine,
                                    uint64_t ticket);

/** pgw_suspect__resolve_pending() - decide pending crashes and waiters by a
 * record that was just read or written */
void pgw_suspect__resolve_pending(struct pgw_quarantine *quarantine,
                                  struct pgw_suspect *suspect);

/** pgw_suspect__handle_store_failure() - decide all waiters without the store
 */
void pgw_suspect__handle_store_failure(struct pgw_quarantine *quarantine,
                                       struct pgw_suspect *suspect);

/** pgw_suspect__queue_due_decisions() - queue the decisions on crashes and
 * waiters whose time has come */
void pgw_suspect__queue_due_decisions(struct pgw_quarantine *quarantine,
                                      struct pgw_suspect *suspect);

/** pgw_suspect__effective_record() - the stored record with local crashes and
 * expiries applied */
struct pgw_quarantine_record
pgw_suspect__effective_record(const struct pgw_quarantine *quarantine,
                              const struct pgw_suspect *suspect);

/** pgw_suspect__is_idle() - whether nothing is pending and no record exists */
bool pgw_suspect__is_idle(const struct pgw_suspect *suspect);

#endif
