#ifndef PGW_GATEWAY_INTERRUPTED_RUNS_H
#define PGW_GATEWAY_INTERRUPTED_RUNS_H

#include "parsleygw/quarantine.h"
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Runs whose connections broke
 *
 * The upstream of such a run may have crashed. A run is kept until a crash is
 * confirmed, or until it is too old to be matched with one.
 */

/**
 * struct pgw_interrupted_run - a run whose upstream may have crashed
 * @fingerprint: fingerprint of the request
 * @crash: hash of the upstream's incarnation
 * @at_us: when its connection broke
 * @published: other entries know of it
 * @cleared: a run of the fingerprint has completed since; it is kept so that
 *   reports of it that arrive late do not look new
 */
struct pgw_interrupted_run {
    struct pgw_fingerprint fingerprint;
    uint64_t crash;
    uint64_t at_us;
    bool published;
    bool cleared;
};

/**
 * struct pgw_interrupted_runs - the runs, the oldest first
 * @items: of &struct pgw_interrupted_run
 * @lifetime_us: how long a run is kept
 */
struct pgw_interrupted_runs {
    GArray *items;
    uint64_t lifetime_us;
};

void pgw_interrupted_runs_init(struct pgw_interrupted_runs *runs,
                               uint64_t lifetime_us);
void pgw_interrupted_runs_dispose(struct pgw_interrupted_runs *runs);

/** pgw_interrupted_runs_at() - run at a position below items->len */
struct pgw_interrupted_run *
pgw_interrupted_runs_at(const struct pgw_interrupted_runs *runs, guint index);

/** pgw_interrupted_runs_expire() - remove runs that are too old; returns their
 * number */
guint pgw_interrupted_runs_expire(struct pgw_interrupted_runs *runs,
                                  uint64_t now_us);

/** pgw_interrupted_runs_add() - add a run; the oldest one makes room */
void pgw_interrupted_runs_add(struct pgw_interrupted_runs *runs,
                              const struct pgw_interrupted_run *run);

/** pgw_interrupted_runs_find() - run of a fingerprint at an incarnation, NULL:
 * none is kept */
struct pgw_interrupted_run *
pgw_interrupted_runs_find(const struct pgw_interrupted_runs *runs,
                          const struct pgw_fingerprint *fingerprint,
                          uint64_t crash);

/** pgw_interrupted_runs_clear() - mark all runs of a fingerprint as cleared;
 * returns whether other entries know of one */
bool pgw_interrupted_runs_clear(struct pgw_interrupted_runs *runs,
                                const struct pgw_fingerprint *fingerprint);

#endif
