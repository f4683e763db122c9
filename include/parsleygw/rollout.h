#ifndef PARSLEYGW_ROLLOUT_H
#define PARSLEYGW_ROLLOUT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "parsleygw/permit.h"

G_BEGIN_DECLS

/**
 * DOC: Orders that bring an engine to the state declared for its pool
 *
 * These functions do no I/O.
 */

/**
 * struct pgw_rollout_desired - desired state of an engine by configuration
 * @model: model of its pool
 * @version: weights version of its pool
 * @adapters: NULL-terminated list of adapters that profiles use; NULL: none
 */
struct pgw_rollout_desired {
    const char *model;
    const char *version;
    const char *const *adapters;
};

/**
 * struct pgw_rollout_engine - state that an engine reports (GET /status)
 * @model: model that the engine runs
 * @version: weights version that the engine runs
 * @role: "serve" when the engine accepts requests
 * @adapters: NULL-terminated list of loaded adapters
 * @loading: an order is in progress
 * @fence: highest fencing number accepted
 */
struct pgw_rollout_engine {
    char *model;
    char *version;
    char *role;
    char **adapters;
    bool loading;
    uint64_t fence;
};

/**
 * pgw_rollout_next_order() - compute the next order that an engine needs
 * @out: receives the order
 * @desired: desired state
 * @engine: actual state
 *
 * Return: false when the engine is in the desired state.
 */
bool pgw_rollout_next_order(struct pgw_permit_order *out,
                            const struct pgw_rollout_desired *desired,
                            const struct pgw_rollout_engine *engine);

/** pgw_rollout_is_done() - whether the engine's state shows that an order is
 * complete */
bool pgw_rollout_is_done(const struct pgw_permit_order *order,
                         const struct pgw_rollout_engine *engine);

/**
 * pgw_rollout_needs_idle() - whether requests must end before an order is sent
 *
 * New weights replace the old ones in place: the answer of a request that
 * continued would mix two versions. Adapters and roles do not affect running
 * requests.
 */
bool pgw_rollout_needs_idle(const struct pgw_permit_order *order);

G_END_DECLS

#endif
