#ifndef PARSLEYGW_COPIES_H
#define PARSLEYGW_COPIES_H

#include "parsleygw/quarantine.h"

G_BEGIN_DECLS

/**
 * DOC: Copies of a request that has not yet come to a good end
 *
 * Equal requests rank the upstreams alike, so each entry asks the same sidecar
 * first. That one tells the first copy from the later ones: the first goes
 * wherever it is best, the later ones to this sidecar, until one has ended
 * well there. A request that crashes its upstreams is so on two of them at
 * most, however many copies start before the first crash; pgw_quarantine does
 * the rest. &struct pgw_copies is the pure state machine of one sidecar.
 */

/** struct pgw_copies - machine of one process; not thread-safe */
struct pgw_copies;

/**
 * pgw_copies_new() - make a machine that knows no requests
 * @count_max: most fingerprints kept; beyond it the one asked for longest ago
 *             is forgotten
 */
struct pgw_copies *pgw_copies_new(uint32_t count_max);

/** pgw_copies_free() - free a machine; NULL is allowed */
void pgw_copies_free(struct pgw_copies *copies);

/**
 * pgw_copies_register() - an entry is about to place a request
 * @copies: machine of the sidecar that ranks first
 * @fingerprint: of the request
 * @until_us: the request's deadline: it runs nowhere after it
 * @now_us: the time
 *
 * Return: true when it must come here: another copy may run elsewhere and none
 * has ended well here.
 */
bool pgw_copies_register(struct pgw_copies *copies,
                         const struct pgw_fingerprint *fingerprint,
                         uint64_t until_us, uint64_t now_us);

/** pgw_copies_mark_completed() - a copy ended well here: others may run
 * anywhere */
void pgw_copies_mark_completed(struct pgw_copies *copies,
                               const struct pgw_fingerprint *fingerprint);

/** pgw_copies_mark_crashed() - a copy crashed the upstream here, proven or not
 */
void pgw_copies_mark_crashed(struct pgw_copies *copies,
                             const struct pgw_fingerprint *fingerprint);

/** pgw_copies_size() - fingerprints kept */
uint32_t pgw_copies_size(const struct pgw_copies *copies);

G_END_DECLS

#endif
