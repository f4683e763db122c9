#ifndef PGW_GATEWAY_QUOTA_RETRY_BUDGETS_H
#define PGW_GATEWAY_QUOTA_RETRY_BUDGETS_H

#include "parsleygw/retry.h"
#include <stdint.h>

/**
 * DOC: Retry budgets of an entry, by service
 *
 * The deployment limits the retries of each service over all entries. An
 * entry's budget is a share of its own requests to the service, plus the slack
 * divided by the number of entries. Its bucket holds no more than that part of
 * the slack, so that retries are spread over time. What is counted besides, in
 * a sliding window, shows how much of the limit itself is left for the few
 * runs that are lost for good without a retry.
 */

struct pgw_retry_budgets;

/**
 * struct pgw_retry_budgets_options - limits over all entries
 * @share_permille: retries per 1000 requests of a service
 * @slack: additional retries of a service, within the window of the limit
 * @entries: assumed number of entries that share @slack, until
 *   pgw_retry_budgets_set_entries() sets the actual one
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

/** pgw_retry_budgets_set_entries() - set the number of entries */
void pgw_retry_budgets_set_entries(struct pgw_retry_budgets *budgets,
                                   uint32_t entries);

/** pgw_retry_budgets_deposit() - account a request to a service */
void pgw_retry_budgets_deposit(struct pgw_retry_budgets *budgets,
                               const char *service);

/** pgw_retry_budgets_count_request() - count a request to a service in the
 * sliding window */
void pgw_retry_budgets_count_request(struct pgw_retry_budgets *budgets,
                                     const char *service, uint64_t now_us);

/** pgw_retry_budgets_count_retry() - count a retry in the sliding window */
void pgw_retry_budgets_count_retry(struct pgw_retry_budgets *budgets,
                                   const char *service, uint64_t now_us);

/** pgw_retry_budgets_has_room() - whether one more retry keeps this entry's
 * share of the limit within the sliding window */
bool pgw_retry_budgets_has_room(struct pgw_retry_budgets *budgets,
                                const char *service, uint64_t now_us);

/** pgw_retry_budgets_withdraw() - take one retry; false: the budget is used up
 */
bool pgw_retry_budgets_withdraw(struct pgw_retry_budgets *budgets,
                                const char *service);

/**
 * pgw_retry_budgets_take() - take and count one retry
 * @budgets: the budgets
 * @service: the service that gets it
 * @reserved: the retry may use what others leave of the limit
 * @now_us: monotonic time
 *
 * As long as a retry that did so is in the sliding window, all others must
 * keep this entry's share of the limit as well.
 *
 * Return: false if none is left.
 */
bool pgw_retry_budgets_take(struct pgw_retry_budgets *budgets,
                            const char *service, bool reserved,
                            uint64_t now_us);

#endif
