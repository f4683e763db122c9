#ifndef PARSLEYGW_VERSION_H
#define PARSLEYGW_VERSION_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "parsleygw/member.h"

G_BEGIN_DECLS

/**
 * DOC: Which weights version a request gets while a pool changes over
 *
 * Pure. The pool's object declares one version; while engines load it, others
 * still run the version before. A request is stamped with one version, goes
 * only to engines that run it, and so gets an answer of one version.
 *
 * Requests are divided by the share of engines that run each version, so that
 * all engines that can serve do. The division is by a hash of the request: in
 * all entries the same, and as engines change over a request that got the
 * new version never gets the old one again.
 */

/* Versions that one pool serves at a time, the declared one included. */
#define PGW_VERSIONS_MAX 3

/**
 * struct pgw_version_track - versions of a pool that requests may get
 * @declared: the version that the pool's object names
 * @earlier: versions declared before it, while engines may still run them
 * @n_earlier: number of @earlier
 * @is_known: @earlier is complete; false in a process that began in the
 *   middle of a change and takes any version that engines run for an earlier
 *   one
 *
 * Zeroed is a new one.
 */
struct pgw_version_track {
    char declared[PGW_CONFIG_NAME_MAX + 1];
    char earlier[PGW_VERSIONS_MAX - 1][PGW_CONFIG_NAME_MAX + 1];
    size_t n_earlier;
    bool is_known;
};

/**
 * pgw_version_track_set_target() - the pool's object names a version
 * @track: the pool's
 * @version: what it names now; the same as before changes nothing
 */
void pgw_version_track_set_target(struct pgw_version_track *track,
                                  const char *version);

/**
 * pgw_version_track_observe() - look whether the change is over
 * @track: the pool's
 * @members: the pool's upstreams
 * @n: their number
 *
 * Once every upstream that works runs the declared version, no other one is
 * right any more: an engine that later starts with old weights gets no work
 * until it has loaded.
 */
void pgw_version_track_observe(struct pgw_version_track *track,
                               const struct pgw_member *members, size_t n);

/**
 * struct pgw_version_part - engines of one version
 * @version: weights version
 * @engines: usable ones that run it
 */
struct pgw_version_part {
    char version[PGW_CONFIG_NAME_MAX + 1];
    size_t engines;
};

/**
 * struct pgw_version_split - how a pool's requests are divided
 * @parts: the declared version first, perhaps without engines
 * @n: number of @parts, at least 1
 * @engines: sum over all
 */
struct pgw_version_split {
    struct pgw_version_part parts[PGW_VERSIONS_MAX];
    size_t n;
    size_t engines;
};

/**
 * pgw_version_split_init() - divide by what engines run
 * @out: receives the division
 * @track: the pool's
 * @members: the pool's upstreams
 * @n: their number
 */
void pgw_version_split_init(struct pgw_version_split *out,
                            const struct pgw_version_track *track,
                            const struct pgw_member *members, size_t n);

/**
 * pgw_version_split_choose() - the version for a request
 * @split: the pool's
 * @hash: any even hash of the request that does not depend on the version
 *
 * Return: index of the part.
 */
size_t pgw_version_split_choose(const struct pgw_version_split *split,
                                uint64_t hash);

/**
 * struct pgw_version_tried - versions that had no place for a request
 * @names: each once
 * @n: number of @names
 *
 * Kept by name: engines change over while the request looks for one, so the
 * place of a version among the parts of a split means another version a
 * moment later. Zeroed is a new one.
 */
struct pgw_version_tried {
    char names[PGW_VERSIONS_MAX][PGW_CONFIG_NAME_MAX + 1];
    size_t n;
};

/**
 * pgw_version_tried_add() - nobody of that version takes the request
 * @tried: the request's
 * @version: what it was stamped with
 *
 * Return: false when as many were tried as a pool has, so that the search
 * ends although operators go on naming versions.
 */
bool pgw_version_tried_add(struct pgw_version_tried *tried,
                           const char *version);

/**
 * pgw_version_split_next() - the version to try now
 * @split: the pool's, as it is now
 * @hash: as for pgw_version_split_choose()
 * @tried: versions that had no place for the request
 *
 * The request's own share if it was not tried, else one that engines run.
 *
 * Return: name within @split, or NULL when all were tried.
 */
const char *pgw_version_split_next(const struct pgw_version_split *split,
                                   uint64_t hash,
                                   const struct pgw_version_tried *tried);

/**
 * pgw_version_can_run() - may a request of that version go to the upstream?
 * @member: the upstream
 * @version: the request's
 *
 * True also where nothing is known yet, so that a restarted entry ranks as it
 * did before; the sidecar refuses if the engine runs another version.
 */
bool pgw_version_can_run(const struct pgw_member *member, const char *version);

G_END_DECLS

#endif
