#ifndef PARSLEYGW_ROLLOUT_H
#define PARSLEYGW_ROLLOUT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "parsleygw/permit.h"

G_BEGIN_DECLS

/**
 * DOC: From what an engine runs to what its pool declares: pure
 */

/**
 * struct pgw_rollout_desired - what the configuration asks of an engine
 * @model: model of its pool
 * @version: weights version of its pool
 * @adapters: NULL-terminated adapters that profiles name; NULL: none
 */
struct pgw_rollout_desired {
    const char *model;
    const char *version;
    const char *const *adapters;
};

/**
 * struct pgw_rollout_engine - what an engine says of itself (GET /status)
 * @model: model that it runs
 * @version: weights version that it runs
 * @role: "serve" when it takes requests
 * @adapters: NULL-terminated adapters that it has loaded
 * @loading: an order is being carried out
 * @fence: highest number that it took
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
 * pgw_rollout_next_order() - the next order that an engine needs
 * @out: receives it
 * @wanted: what is asked
 * @engine: what it is
 *
 * Return: false when the engine is as it should be.
 */
bool pgw_rollout_next_order(struct pgw_permit_order *out,
                            const struct pgw_rollout_desired *wanted,
                            const struct pgw_rollout_engine *engine);

/** pgw_rollout_is_done() - does the engine show what was ordered? */
bool pgw_rollout_is_done(const struct pgw_permit_order *order,
                         const struct pgw_rollout_engine *engine);

/**
 * pgw_rollout_needs_idle() - must requests stop before the order is sent?
 *
 * New weights replace the old ones in place; a request that ran on would mix
 * two versions in one answer. Adapters and roles do not touch what runs.
 */
bool pgw_rollout_needs_idle(const struct pgw_permit_order *order);

G_END_DECLS

#endif
