#ifndef PGW_GATEWAY_CRASH_QUARANTINE_H
#define PGW_GATEWAY_CRASH_QUARANTINE_H

#include "parsleygw/quarantine.h"
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Requests that crash the upstreams that run them
 *
 * Now and then a request crashes each upstream that begins to run it, and its
 * caller sends it again. An entry sees only connections that end; which of the
 * dozens of runs at an upstream brought it down, nobody can tell from one
 * crash. A fingerprint that was running in several crashes is held back; one
 * that ended well since is innocent.
 *
 * Pure state: nothing is sent here, time is passed in as monotonic
 * microseconds. Entries send each other what they count (&struct
 * pgw_crashed_run).
 */

/**
 * struct pgw_crashed_run - what entries exchange
 * @fingerprint: of the request
 * @crash: hash of the incarnation that crashed while running it; 0: it ended
 *   well, what was counted is void
 * @age_us: how long ago the run broke off
 */
struct pgw_crashed_run {
    struct pgw_fingerprint fingerprint;
    uint64_t crash;
    uint64_t age_us;
};

/**
 * struct pgw_crash_quarantine_options - thresholds
 * @crashes: distinct incarnations after which a fingerprint is held back
 * @min_crash_gap_us: crashes of one fingerprint that lie closer together count
 * as one
 * @crash_match_us: a run that broke off and the end of its upstream belong
 * together when at most this long lies between them
 * @hold_us: how long it is held back; then one more crash is enough, and it is
 *   held twice as long
 * @keep_us: how long a fingerprint is remembered after its last crash, and the
 *   longest time that it is held back
 * @records_max: most fingerprints remembered
 */
struct pgw_crash_quarantine_options {
    uint32_t crashes;
    uint64_t min_crash_gap_us;
    uint64_t crash_match_us;
    uint64_t hold_us;
    uint64_t keep_us;
    uint32_t records_max;
};

/* Crashes that a record remembers, those that are void included. */
#define PGW_CRASH_QUARANTINE_CRASHES_MAX 8

/*
 * Three: with one more than two innocents that are sent again beside the
 * request that does the harm are hardly ever in three crashes without ending
 * well once. Eight seconds: a service without a sidecar lapses from the
 * platform's list after three heartbeats of 1.2 s, and the list is believed
 * after two to four seconds more. Half a second apart: a zone that loses its
 * power takes all upstreams of a service at once, with a request that many ask
 * for alike running at each. A minute, doubled up to ten: who is held back by
 * mistake is let through soon, and who is not costs a crash then. 4,096
 * records of some 200 bytes are below a megabyte.
 */
#define PGW_CRASH_QUARANTINE_OPTIONS_INIT                                     \
    {                                                                         \
        .crashes = 3, .min_crash_gap_us = G_USEC_PER_SEC / 2,                 \
        .crash_match_us = 8 * (uint64_t)G_USEC_PER_SEC,                       \
        .hold_us = 60 * (uint64_t)G_USEC_PER_SEC,                             \
        .keep_us = 600 * (uint64_t)G_USEC_PER_SEC, .records_max = 4096        \
    }

struct pgw_crash_quarantine;

/** pgw_crash_quarantine_new() - nothing is known */
struct pgw_crash_quarantine *
pgw_crash_quarantine_new(const struct pgw_crash_quarantine_options *options);
void pgw_crash_quarantine_free(struct pgw_crash_quarantine *poison);

/**
 * pgw_crash_quarantine_subscribe() - get what other entries have to know
 * @poison: the state
 * @on_crashed: gets @count items; NULL: nobody does
 * @context: handed to @on_crashed
 */
void pgw_crash_quarantine_subscribe(
    struct pgw_crash_quarantine *poison,
    void (*on_crashed)(const struct pgw_crashed_run *crashed, size_t count,
                       void *context),
    void *context);

/**
 * pgw_crash_quarantine_add_interrupted() - a run ended with its connection
 * @poison: the state
 * @fingerprint: of the request
 * @upstream: incarnation that ran it
 * @now_us: monotonic time
 */
void
pgw_crash_quarantine_add_interrupted(struct pgw_crash_quarantine *poison,
                                     const struct pgw_fingerprint *fingerprint,
                                     const char *upstream, uint64_t now_us);

/** pgw_crash_quarantine_add_crash() - an incarnation is gone without having
 * left */
void pgw_crash_quarantine_add_crash(struct pgw_crash_quarantine *poison,
                                    const char *upstream, uint64_t now_us);

/** pgw_crash_quarantine_clear() - a run had its whole answer */
void pgw_crash_quarantine_clear(struct pgw_crash_quarantine *poison,
                                const struct pgw_fingerprint *fingerprint);

/** pgw_crash_quarantine_merge() - count what another entry sent; passed on if
 * it is new */
void pgw_crash_quarantine_merge(struct pgw_crash_quarantine *poison,
                                const struct pgw_crashed_run *crashed,
                                size_t count, uint64_t now_us);

/** pgw_crash_quarantine_is_active() - the request would crash the next
 * upstream, too */
bool pgw_crash_quarantine_is_active(const struct pgw_crash_quarantine *poison,
                                    const struct pgw_fingerprint *fingerprint,
                                    uint64_t now_us);

/** pgw_crash_quarantine_list() - all that counts, of &struct pgw_crashed_run
 */
GArray *pgw_crash_quarantine_list(const struct pgw_crash_quarantine *poison,
                                  uint64_t now_us);

#endif
