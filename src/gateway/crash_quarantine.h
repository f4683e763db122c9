#ifndef PGW_GATEWAY_CRASH_QUARANTINE_H
#define PGW_GATEWAY_CRASH_QUARANTINE_H

#include "parsleygw/quarantine.h"
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Quarantine of requests that crash upstreams
 *
 * A faulty request may crash each upstream that starts to run it, and its
 * caller resends it. An entry sees only interrupted connections. From one
 * crash it cannot tell which of the dozens of runs at the upstream caused it.
 * So a fingerprint that was running in several crashes is quarantined, and a
 * completed run of the fingerprint clears its crashes.
 *
 * Pure state without I/O; time is passed in as monotonic microseconds. Entries
 * send each other the crashes that they count (&struct pgw_crashed_run).
 */

/**
 * struct pgw_crashed_run - a crashed or completed run, as entries exchange it
 * @fingerprint: fingerprint of the request
 * @crash: hash of the incarnation that crashed while running it; 0: the run
 *   completed and clears the crashes counted so far
 * @age_us: how long ago the run was interrupted
 */
struct pgw_crashed_run {
    struct pgw_fingerprint fingerprint;
    uint64_t crash;
    uint64_t age_us;
};

/**
 * struct pgw_crash_quarantine_options - thresholds
 * @crashes: number of crashed incarnations after which a fingerprint is
 *   quarantined
 * @min_crash_gap_us: crashes of one fingerprint that are less than this apart
 *   count as one
 * @crash_match_us: an interrupted run is attributed to the crash of its
 *   upstream if they are less than this apart
 * @quarantine_us: length of the first quarantine; after it one more crash
 *   starts the next one, twice as long
 * @record_lifetime_us: how long a record is kept after its last crash; also
 *   the longest quarantine
 * @records_max: maximum number of fingerprints with a record
 */
struct pgw_crash_quarantine_options {
    uint32_t crashes;
    uint64_t min_crash_gap_us;
    uint64_t crash_match_us;
    uint64_t quarantine_us;
    uint64_t record_lifetime_us;
    uint32_t records_max;
};

/* Maximum number of crashes kept in a record, cleared ones included. */
#define PGW_CRASH_QUARANTINE_CRASHES_MAX 8

/*
 * crashes: other requests that are resent beside the faulty one are hardly
 * ever in three crashes without completing once. Two crashes are too few for
 * that.
 * min_crash_gap_us: a zone that loses power takes all upstreams of a service
 * down at once, and a popular request may be running at each of them.
 * crash_match_us: the list's record of a service without a sidecar expires
 * after three heartbeats of 1.2 s, and the list is acted on two to four
 * seconds later.
 * quarantine_us, record_lifetime_us: a request quarantined by mistake runs
 * again after a minute; a faulty one costs a crash then, so the time doubles,
 * up to ten minutes.
 * records_max: 4,096 records of some 200 bytes take less than a megabyte.
 */
#define PGW_CRASH_QUARANTINE_OPTIONS_INIT                                     \
    {                                                                         \
        .crashes = 3, .min_crash_gap_us = G_USEC_PER_SEC / 2,                 \
        .crash_match_us = 8 * (uint64_t)G_USEC_PER_SEC,                       \
        .quarantine_us = 60 * (uint64_t)G_USEC_PER_SEC,                       \
        .record_lifetime_us = 600 * (uint64_t)G_USEC_PER_SEC,                 \
        .records_max = 4096                                                   \
    }

struct pgw_crash_quarantine;

/** pgw_crash_quarantine_new() - create an empty quarantine */
struct pgw_crash_quarantine *
pgw_crash_quarantine_new(const struct pgw_crash_quarantine_options *options);
void pgw_crash_quarantine_free(struct pgw_crash_quarantine *quarantine);

/**
 * pgw_crash_quarantine_subscribe() - set the callback for runs that other
 * entries have to learn of
 * @quarantine: the state
 * @on_crashed: called with @count runs; NULL: no callback
 * @context: passed to @on_crashed
 */
void pgw_crash_quarantine_subscribe(
    struct pgw_crash_quarantine *quarantine,
    void (*on_crashed)(const struct pgw_crashed_run *crashed, size_t count,
                       void *context),
    void *context);

/**
 * pgw_crash_quarantine_add_interrupted() - add a run whose connection broke
 * @quarantine: the state
 * @fingerprint: fingerprint of the request
 * @upstream: incarnation that ran it
 * @now_us: monotonic time
 */
void
pgw_crash_quarantine_add_interrupted(struct pgw_crash_quarantine *quarantine,
                                     const struct pgw_fingerprint *fingerprint,
                                     const char *upstream, uint64_t now_us);

/** pgw_crash_quarantine_add_crash() - add an incarnation that ended without a
 * drain */
void pgw_crash_quarantine_add_crash(struct pgw_crash_quarantine *quarantine,
                                    const char *upstream, uint64_t now_us);

/** pgw_crash_quarantine_clear() - clear the crashes of a fingerprint after a
 * completed run */
void pgw_crash_quarantine_clear(struct pgw_crash_quarantine *quarantine,
                                const struct pgw_fingerprint *fingerprint);

/** pgw_crash_quarantine_merge() - count runs that another entry sent; new ones
 * are passed on to the subscriber */
void pgw_crash_quarantine_merge(struct pgw_crash_quarantine *quarantine,
                                const struct pgw_crashed_run *crashed,
                                size_t count, uint64_t now_us);

/** pgw_crash_quarantine_is_active() - whether a fingerprint is quarantined */
bool
pgw_crash_quarantine_is_active(const struct pgw_crash_quarantine *quarantine,
                               const struct pgw_fingerprint *fingerprint,
                               uint64_t now_us);

/** pgw_crash_quarantine_list() - all counted crashes, as &struct
 * pgw_crashed_run; free with g_array_unref() */
GArray *
pgw_crash_quarantine_list(const struct pgw_crash_quarantine *quarantine,
                          uint64_t now_us);

#endif
