#ifndef PGW_GATEWAY_RETRY_BUDGETS_H
#define PGW_GATEWAY_RETRY_BUDGETS_H

#include "parsleygw/retry.h"
#include <stdint.h>

/**
 * DOC: Repeats that an entry may make, service by service
 *
 * The deployment bounds the repeats of each service over all entries. An entry
 * takes its part: a share of its own requests to the service, and the slack
 * divided by the number of entries.
 */

struct pgw_retry_budgets;

/**
 * struct pgw_retry_budgets_options - bounds over all entries
 * @share_permille: repeats for 1000 requests of a service
 * @slack: repeats of a service beyond that, in the bound's window
 * @entries: entries that divide @slack until more is known
 */
struct pgw_retry_budgets_options {
    uint32_t share_permille;
    uint32_t slack;
    uint32_t entries;
};

#define PGW_RETRY_BUDGETS_OPTIONS_INIT                                        \
    {                                                                         \
        .share_permille = 200, .slack = 100, .entries = 1                     \
    }

struct pgw_retry_budgets *
pgw_retry_budgets_new(const struct pgw_retry_budgets_options *options);
void pgw_retry_budgets_free(struct pgw_retry_budgets *budgets);

/** pgw_retry_budgets_set_entries() - how many entries there are */
void pgw_retry_budgets_set_entries(struct pgw_retry_budgets *budgets,
                                   uint32_t entries);

/** pgw_retry_budgets_deposit() - account a request to a service */
void pgw_retry_budgets_deposit(struct pgw_retry_budgets *budgets,
                               const char *service);

/** pgw_retry_budgets_withdraw() - ask for a repeat; false: used up */
bool pgw_retry_budgets_withdraw(struct pgw_retry_budgets *budgets,
                                const char *service);

#endif
