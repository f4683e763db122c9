#ifndef PARSLEYGW_VERSION_H
#define PARSLEYGW_VERSION_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "parsleygw/member.h"

G_BEGIN_DECLS

/**
 * DOC: Weights version of a request during a rollout
 *
 * Pure functions. The pool's object declares the target version; while engines
 * load it, others still run an earlier version. Each request is assigned one
 * version and sent only to engines that run it, so the answer comes from one
 * version.
 *
 * Requests are split in proportion to the engines that run each version, so
 * that all usable engines get requests. The split uses a hash of the request:
 * it is the same in all entries, and as engines load the target version, a
 * request that got it never gets an earlier version again.
 */

/* Versions that one pool serves at a time, including the target version. */
#define PGW_VERSIONS_MAX 3

/**
 * struct pgw_version_track - versions of a pool that requests may get
 * @target: the version that the pool's object declares
 * @earlier: previous target versions that engines may still run, latest first
 * @n_earlier: number of @earlier
 * @is_complete: @earlier is complete; false in a process that started during
 *   a rollout, which accepts any version that engines run as an earlier one
 *
 * A zeroed struct is valid and empty.
 */
struct pgw_version_track {
    char target[PGW_CONFIG_NAME_MAX + 1];
    char earlier[PGW_VERSIONS_MAX - 1][PGW_CONFIG_NAME_MAX + 1];
    size_t n_earlier;
    bool is_complete;
};

/**
 * pgw_version_track_set_target() - update the target version
 * @track: versions of the pool
 * @version: version in the pool's object; no effect if it is unchanged
 */
void pgw_version_track_set_target(struct pgw_version_track *track,
                                  const char *version);

/**
 * pgw_version_track_observe() - detect the end of a rollout
 * @track: versions of the pool
 * @members: the pool's upstreams
 * @n: their number
 *
 * Once every usable upstream runs the target version, earlier versions are no
 * longer served: an engine that later starts with old weights gets no requests
 * until it has loaded the target version.
 */
void pgw_version_track_observe(struct pgw_version_track *track,
                               const struct pgw_member *members, size_t n);

/**
 * struct pgw_version_part - engines of one version
 * @version: weights version
 * @engines: usable engines that run it
 */
struct pgw_version_part {
    char version[PGW_CONFIG_NAME_MAX + 1];
    size_t engines;
};

/**
 * struct pgw_version_split - how a pool's requests are split
 * @parts: the target version first, even without engines
 * @n: number of @parts, at least 1
 * @engines: sum over all parts
 */
struct pgw_version_split {
    struct pgw_version_part parts[PGW_VERSIONS_MAX];
    size_t n;
    size_t engines;
};

/**
 * pgw_version_split_init() - compute the split from the engines' versions
 * @out: receives the split
 * @track: versions of the pool
 * @members: the pool's upstreams
 * @n: their number
 */
void pgw_version_split_init(struct pgw_version_split *out,
                            const struct pgw_version_track *track,
                            const struct pgw_member *members, size_t n);

/**
 * pgw_version_split_choose() - choose the version for a request
 * @split: split of the pool
 * @hash: any uniform hash of the request that does not depend on the version
 *
 * Return: index of the part.
 */
size_t pgw_version_split_choose(const struct pgw_version_split *split,
                                uint64_t hash);

/**
 * struct pgw_version_tried - versions without capacity for a request
 * @names: names, without duplicates
 * @n: number of @names
 *
 * Stored by name: engines load other versions while the request searches for
 * one, so the index of a part in a split can mean another version in the next
 * split. A zeroed struct is valid and empty.
 */
struct pgw_version_tried {
    char names[PGW_VERSIONS_MAX][PGW_CONFIG_NAME_MAX + 1];
    size_t n;
};

/**
 * pgw_version_tried_add() - record that no engine of a version accepts the
 * request
 * @tried: versions tried for the request
 * @version: version assigned to the request
 *
 * Return: false when %PGW_VERSIONS_MAX versions were tried, so that the search
 * ends even if operators keep declaring versions.
 */
bool pgw_version_tried_add(struct pgw_version_tried *tried,
                           const char *version);

/**
 * pgw_version_split_next() - choose the next version to try
 * @split: current split of the pool
 * @hash: as for pgw_version_split_choose()
 * @tried: versions tried for the request
 *
 * The version of pgw_version_split_choose() unless it was tried, else one that
 * engines run, else any.
 *
 * Return: name, owned by @split, or NULL when all were tried.
 */
const char *pgw_version_split_next(const struct pgw_version_split *split,
                                   uint64_t hash,
                                   const struct pgw_version_tried *tried);

/**
 * pgw_version_can_run() - whether an upstream may get a request of a version
 * @member: the upstream
 * @version: version assigned to the request
 *
 * Also true if the upstream's version is not known yet, so that a restarted
 * entry ranks upstreams as before; the sidecar refuses the request if the
 * engine runs another version.
 */
bool pgw_version_can_run(const struct pgw_member *member, const char *version);

G_END_DECLS

#endif
