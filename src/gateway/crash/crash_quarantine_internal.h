#ifndef PGW_GATEWAY_CRASH_CRASH_QUARANTINE_INTERNAL_H
#define PGW_GATEWAY_CRASH_CRASH_QUARANTINE_INTERNAL_H

#include "gateway/crash/completed_parts.h"
#include "gateway/crash/crash_quarantine.h"
#include "gateway/crash/crash_table.h"

/* An entry is connected to seeds alone, and these to each other: two more
 * entries lie between any two. */
#define PGW_CRASH_HOPS_MAX 3

/**
 * struct pgw_crash_suspects - records of a request's keys, some of them
 * @items: the records
 * @count: number of @items
 */
struct pgw_crash_suspects {
    struct pgw_crash_record *items[PGW_CRASH_KEYS_MAX];
    size_t count;
};

/* struct pgw_crashed_upstream - an incarnation that crashed recently */
struct pgw_crashed_upstream {
    uint64_t crash;
    uint64_t at_us;
};

/*
 * @table: what is known of keys
 * @crashed_upstreams: of &struct pgw_crashed_upstream, the oldest first
 * @explained: the same of those whose cause is known
 * @completed: parts of runs that completed here
 * @reports_since_us: since when @reports are counted
 * @reports: crashes of upstreams that were reported since then
 */
struct pgw_crash_quarantine {
    struct pgw_crash_quarantine_options options;
    struct pgw_crash_table *table;
    GArray *crashed_upstreams;
    GArray *explained;
    struct pgw_completed_parts completed;
    uint64_t reports_since_us;
    uint32_t reports;
    void (*on_crashed)(const struct pgw_crashed_run *crashed, size_t count,
                       void *context);
    void *context;
    void (*on_crash)(uint64_t crash, uint64_t answered_us, bool has_ended,
                     void *context);
    void *crash_context;
};

/* crash_quarantine.c */
void
pgw_crash_quarantine__publish(const struct pgw_crash_quarantine *quarantine,
                              const struct pgw_crashed_run *crashed,
                              size_t count);

/** pgw_crash_quarantine__suspicions() - number of upstreams that crashed, or
 * may have crashed, while they ran a key */
uint32_t
pgw_crash_quarantine__suspicions(const struct pgw_crash_quarantine *quarantine,
                                 const struct pgw_crash_record *record,
                                 uint64_t now_us);

/** pgw_crash_quarantine__start() - start a quarantine, ten times as long as
 * the one before */
void pgw_crash_quarantine__start(const struct pgw_crash_quarantine *quarantine,
                                 struct pgw_crash_record *record,
                                 uint64_t now_us);

/** pgw_crash_quarantine__explain() - clear the crashes of a part that was
 * found faulty from the records of other keys that were running in some of
 * them */
void pgw_crash_quarantine__explain(struct pgw_crash_quarantine *quarantine,
                                   const struct pgw_crash_record *faulty,
                                   uint64_t now_us);

/** pgw_crash_quarantine__drop_crashed() - drop crashes that are too old to be
 * matched */
void
pgw_crash_quarantine__drop_crashed(struct pgw_crash_quarantine *quarantine,
                                   uint64_t now_us);

/** pgw_crash_quarantine__has_crashed() - whether a crash became known lately
 */
bool pgw_crash_quarantine__has_crashed(
    const struct pgw_crash_quarantine *quarantine, uint64_t crash);

/** pgw_crash_quarantine__is_explained() - whether a report of a crash comes
 * after its cause was found, which is another key */
bool pgw_crash_quarantine__is_explained(
    const struct pgw_crash_quarantine *quarantine,
    const struct pgw_crash_record *record, uint64_t crash, uint64_t now_us);

/** pgw_crash_quarantine__count() - add a confirmed crash to a whole request;
 * returns whether it is new and counts. @abandoned: its run had been
 * abandoned; @source: who saw it, for logs */
bool pgw_crash_quarantine__count(struct pgw_crash_quarantine *quarantine,
                                 struct pgw_crash_record *record,
                                 uint64_t crash, bool abandoned,
                                 const char *source, uint64_t at_us,
                                 uint64_t now_us);

/** pgw_crash_quarantine__confirm_part() - confirm a crash of a part; returns
 * whether it counts. @source: as above */
bool pgw_crash_quarantine__confirm_part(
    const struct pgw_crash_quarantine *quarantine,
    struct pgw_crash_record *record, struct pgw_recorded_crash *crash,
    const char *source, uint64_t now_us);

/** pgw_crash_quarantine__add_crash() - add the crash of an incarnation;
 * returns whether it was not known. @upstream: its id, NULL: another entry has
 * reported the crash; @answered_us: when it was last known to run, 0: not
 * known; @has_ended: its process is known to have ended; @hops: number of
 * entries that have passed it on */
bool pgw_crash_quarantine__add_crash(struct pgw_crash_quarantine *quarantine,
                                     uint64_t crash, const char *upstream,
                                     uint64_t answered_us, bool has_ended,
                                     uint32_t hops, uint64_t now_us);

/** pgw_crash_quarantine__clear_record() - clear what is known of a key;
 * returns which other entries may know of it */
enum pgw_crash_reach
pgw_crash_quarantine__clear_record(struct pgw_crash_quarantine *quarantine,
                                   const struct pgw_fingerprint *key);

/** pgw_crash_quarantine__make_report() - report on a crash of a key */
struct pgw_crashed_run pgw_crash_quarantine__make_report(
    const struct pgw_crash_quarantine *quarantine,
    const struct pgw_crash_record *record,
    const struct pgw_recorded_crash *crash, uint64_t now_us);

/** pgw_crash_quarantine__share() - report the crashes of a key that other
 * entries have to learn of. @hops: number of entries that have passed on what
 * led to this */
void pgw_crash_quarantine__share(struct pgw_crash_quarantine *quarantine,
                                 struct pgw_crash_record *record,
                                 uint32_t hops, uint64_t now_us);

/* crash_suspects.c */
/** pgw_crash_suspects__has_used_trials() - whether the next trial has to wait
 * for the longest time. That of a part has not if all have failed: it is
 * quarantined by what they prove. */
bool pgw_crash_suspects__has_used_trials(
    const struct pgw_crash_quarantine *quarantine,
    const struct pgw_crash_record *record);

/** pgw_crash_suspects__merge() - apply another entry's report of a trial;
 * returns whether it is new */
bool pgw_crash_suspects__merge(struct pgw_crash_quarantine *quarantine,
                               const struct pgw_crashed_run *report,
                               uint64_t now_us);

/** pgw_crash_suspects__list() - append the current trial of a key, and the
 * quarantine that a trial has started */
void pgw_crash_suspects__list(GArray *crashed,
                              const struct pgw_crash_record *record,
                              uint64_t now_us);

/** pgw_crash_suspects__make_report() - report on a key's trial */
struct pgw_crashed_run
pgw_crash_suspects__make_report(const struct pgw_crash_record *record,
                                enum pgw_crashed_run_kind kind, uint64_t token,
                                uint64_t left_us);

/** pgw_crash_suspects__log() - log the state of a key's trial */
void pgw_crash_suspects__log(const struct pgw_crash_record *record,
                             const char *state, uint64_t token);

/* crash_blame.c */
/** pgw_crash_blame__fail() - quarantine a key whose trial was interrupted, or
 * whose entry has ended without a result */
void pgw_crash_blame__fail(struct pgw_crash_quarantine *quarantine,
                           struct pgw_crash_record *record, uint64_t token,
                           uint64_t now_us);

/** pgw_crash_blame__fail_parts() - the trial of these parts was interrupted;
 * quarantines them together if that proves enough */
void pgw_crash_blame__fail_parts(struct pgw_crash_quarantine *quarantine,
                                 const struct pgw_crash_suspects *parts,
                                 uint64_t token, uint64_t now_us);

/** pgw_crash_blame__merge() - the trial of another entry has failed; returns
 * whether the report is new */
bool pgw_crash_blame__merge(struct pgw_crash_quarantine *quarantine,
                            struct pgw_crash_record *record,
                            const struct pgw_crashed_run *report,
                            uint64_t now_us);

/** pgw_crash_blame__release() - a key was cleared: the parts that were
 * suspects together with it are so without it */
void pgw_crash_blame__release(struct pgw_crash_quarantine *quarantine,
                              const struct pgw_crash_record *record);

#endif
