#ifndef PGW_QUARANTINE_SUSPECT_H
#define PGW_QUARANTINE_SUSPECT_H

#include "parsleygw/quarantine.h"
#include "util/list.h"

/**
 * struct pgw_suspect_crash - a crash that the store may not hold yet
 * @ticket: whose end waits for the record, 0: nobody's
 * @told_us: when to tell it, 0: not before the record stands
 * @stands: the store holds it
 */
struct pgw_suspect_crash {
    struct pgw_list link;
    uint64_t ticket;
    uint64_t crash;
    uint64_t told_us;
    uint64_t patience_us;
    bool stands;
};

/**
 * struct pgw_suspect_waiter - a request that waits for the store's word, or
 * one that runs without a permit
 * @stale: this process may not have heard of all records when it came
 */
struct pgw_suspect_waiter {
    struct pgw_list link;
    uint64_t ticket;
    uint64_t until_us;
    bool stale;
};

/**
 * struct pgw_suspect - one fingerprint as this process knows it
 * @version: of @record in the store
 * @present: there is a record
 * @read_wanted: the value may be old
 * @runner: ticket that holds the permit here, 0: none
 * @running: @runner was told to run
 * @cleared: a run came to a good end, so the record is to be deleted
 * @draft: value of the outstanding write
 * @runs: requests that run beside others since before they were suspect
 */
struct pgw_suspect {
    struct pgw_fingerprint fingerprint;
    uint64_t version;
    bool present;
    bool read_wanted;
    bool running;
    bool cleared;
    uint64_t runner;
    uint64_t retry_us;
    uint64_t touched_us;
    enum pgw_io_kind outstanding;
    struct pgw_quarantine_record record;
    struct pgw_quarantine_record draft;
    struct pgw_list crashes;
    struct pgw_list waiters;
    struct pgw_list runs;
};

/** struct pgw_quarantine_event - a decision that waits to be taken */
struct pgw_quarantine_event {
    struct pgw_list link;
    struct pgw_quarantine_decision decision;
};

/**
 * struct pgw_quarantine - machine of one process
 * @suspects: fingerprint to &struct pgw_suspect
 */
struct pgw_quarantine {
    struct pgw_quarantine_options options;
    GHashTable *suspects;
    struct pgw_list events;
    uint64_t now_us;
    uint64_t synced_us;
};

/** pgw_quarantine__advance() - take the time, which never goes back */
void pgw_quarantine__advance(struct pgw_quarantine *quarantine,
                             uint64_t now_us);

struct pgw_suspect *
pgw_quarantine__find(const struct pgw_quarantine *quarantine,
                     const struct pgw_fingerprint *fingerprint);

/** pgw_quarantine__find_or_add() - NULL when all entries are in use */
struct pgw_suspect *
pgw_quarantine__find_or_add(struct pgw_quarantine *quarantine,
                            const struct pgw_fingerprint *fingerprint);
void pgw_quarantine__drop_if_idle(struct pgw_quarantine *quarantine,
                                  struct pgw_suspect *suspect);

/** pgw_suspect__add_run() - remember a request that runs without a permit */
void pgw_suspect__add_run(struct pgw_suspect *suspect, uint64_t ticket);

/** pgw_suspect__permit() - number of a ticket's permit, unique in the fleet */
uint64_t pgw_suspect__permit(const struct pgw_quarantine *quarantine,
                             uint64_t ticket);

/** pgw_suspect__settle() - compare what is pending with a newly seen record */
void pgw_suspect__settle(struct pgw_quarantine *quarantine,
                         struct pgw_suspect *suspect);

/** pgw_suspect__store_failed() - refuse what may not go on without the store
 */
void pgw_suspect__store_failed(struct pgw_quarantine *quarantine,
                               struct pgw_suspect *suspect);

/** pgw_suspect__tell() - tell crashes and waits whose time has come */
void pgw_suspect__tell(struct pgw_quarantine *quarantine,
                       struct pgw_suspect *suspect);

/** pgw_suspect__effective() - the record with what this process knows more */
struct pgw_quarantine_record
pgw_suspect__effective(const struct pgw_quarantine *quarantine,
                       const struct pgw_suspect *suspect);

/** pgw_suspect__is_idle() - nothing is pending and no record is known */
bool pgw_suspect__is_idle(const struct pgw_suspect *suspect);

#endif
