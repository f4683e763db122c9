#ifndef PGW_GATEWAY_CRASH_QUARANTINE_INTERNAL_H
#define PGW_GATEWAY_CRASH_QUARANTINE_INTERNAL_H

#include "gateway/completed_parts.h"
#include "gateway/crash_quarantine.h"
#include "gateway/crash_table.h"

/* An entry is connected to seeds alone, and these to each other: two more
 * entries lie between any two. */
#define PGW_CRASH_HOPS_MAX 3

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
 */
struct pgw_crash_quarantine {
    struct pgw_crash_quarantine_options options;
    struct pgw_crash_table *table;
    GArray *crashed_upstreams;
    GArray *explained;
    struct pgw_completed_parts completed;
    void (*on_crashed)(const struct pgw_crashed_run *crashed, size_t count,
                       void *context);
    void *context;
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

/* crash_suspects.c */
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

/** pgw_crash_suspects__release() - a key was cleared: the parts that were
 * suspects together with it are so without it */
void pgw_crash_suspects__release(struct pgw_crash_quarantine *quarantine,
                                 const struct pgw_crash_record *record);

#endif
