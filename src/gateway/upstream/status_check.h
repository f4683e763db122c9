#ifndef PGW_GATEWAY_UPSTREAM_STATUS_CHECK_H
#define PGW_GATEWAY_UPSTREAM_STATUS_CHECK_H

#include "gateway/config/codec.h"
#include "gateway/http/call.h"
#include "gateway/upstream/upstream_table.h"

/**
 * DOC: Asking an upstream whether it is well
 *
 * An upstream serves its status check like any other request: it waits for a
 * slot, or is refused.
 */

/**
 * enum pgw_upstream_status - what a check has shown
 * @PGW_UPSTREAM_WELL: it was served
 * @PGW_UPSTREAM_BUSY: it was refused, or not answered in time
 * @PGW_UPSTREAM_ENDED: no process listens there, or another incarnation
 */
enum pgw_upstream_status {
    PGW_UPSTREAM_WELL,
    PGW_UPSTREAM_BUSY,
    PGW_UPSTREAM_ENDED,
};

/**
 * struct pgw_status_check - one check, embedded in its owner; zeroed: none
 * runs
 * @on_result: called once, from the loop
 * @upstream: where it runs; a reference is held
 */
struct pgw_status_check {
    void (*on_result)(struct pgw_status_check *check,
                      enum pgw_upstream_status status);
    struct pgw_upstream *upstream;
    struct pgw_call call;
    const struct pgw_codec *codec;
    enum pgw_upstream_status status;
};

/**
 * pgw_status_check_start() - ask an upstream
 * @check: on_result set, otherwise zeroed or ended
 * @pool: pool of connections
 * @codec: encodes the check
 * @upstream: the upstream
 * @path: path of its service's status check
 *
 * Return: false if no connection can be opened; nothing is called then.
 */
bool pgw_status_check_start(struct pgw_status_check *check,
                            struct pgw_call_pool *pool,
                            const struct pgw_codec *codec,
                            struct pgw_upstream *upstream, const char *path);

/** pgw_status_check_cancel() - end a check without a result */
void pgw_status_check_cancel(struct pgw_status_check *check);

/** pgw_status_check_is_running() - whether its result is awaited */
static inline bool
pgw_status_check_is_running(const struct pgw_status_check *check)
{
    return check->upstream != NULL;
}

#endif
