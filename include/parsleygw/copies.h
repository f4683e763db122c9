#ifndef PARSLEYGW_COPIES_H
#define PARSLEYGW_COPIES_H

#include "parsleygw/quarantine.h"

G_BEGIN_DECLS

/**
 * DOC: Concurrent copies of a request
 *
 * Guards against a request that crashes its upstreams. Equal requests rank the
 * upstreams alike, so each entry probes the same sidecar first. That sidecar
 * distinguishes the first copy of a request from later ones: the first is
 * placed wherever it is best, and later ones run at this sidecar until a copy
 * has completed here. So a request crashes at most two upstreams, however many
 * copies start before the first crash; &struct pgw_quarantine blocks later
 * copies. &struct pgw_copies is the state machine of one sidecar and does no
 * I/O.
 */

/** struct pgw_copies - fingerprints seen by one sidecar; not thread-safe */
struct pgw_copies;

/**
 * pgw_copies_new() - create a state machine without fingerprints
 * @count_max: maximum number of fingerprints; beyond it the least recently
 *             registered one is removed
 */
struct pgw_copies *pgw_copies_new(uint32_t count_max);

/** pgw_copies_free() - free the state machine; NULL is allowed */
void pgw_copies_free(struct pgw_copies *copies);

/**
 * pgw_copies_register() - register a copy that an entry is about to place
 * @copies: state machine of the first-ranked sidecar
 * @fingerprint: fingerprint of the request
 * @deadline_us: the request's deadline; no copy of it runs after that
 * @now_us: current time
 *
 * Return: true if the copy must run here, since another copy may be running
 * elsewhere and none has completed here.
 */
bool pgw_copies_register(struct pgw_copies *copies,
                         const struct pgw_fingerprint *fingerprint,
                         uint64_t deadline_us, uint64_t now_us);

/**
 * pgw_copies_mark_completed() - a copy completed here: others may run anywhere
 */
void pgw_copies_mark_completed(struct pgw_copies *copies,
                               const struct pgw_fingerprint *fingerprint);

/**
 * pgw_copies_mark_crashed() - a copy crashed the upstream here; overrides an
 * earlier completion
 */
void pgw_copies_mark_crashed(struct pgw_copies *copies,
                             const struct pgw_fingerprint *fingerprint);

/** pgw_copies_size() - number of fingerprints */
uint32_t pgw_copies_size(const struct pgw_copies *copies);

G_END_DECLS

#endif
