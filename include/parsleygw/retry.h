#ifndef PARSLEYGW_RETRY_H
#define PARSLEYGW_RETRY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * DOC: Retry budget and backoff
 *
 * The budget limits retries to a share of the traffic. Each first attempt
 * deposits a fraction of a token into a bucket and each retry withdraws a
 * whole token. When a zone fails, all its requests fail at once. With a retry
 * limit per request the other zones would get a multiple of their load; with
 * the budget they get at most the share in addition.
 */

/**
 * struct pgw_retry_options - options of a budget
 * @share_permille: retries allowed for 1000 first attempts
 * @burst: capacity in tokens; the bucket starts full
 */
struct pgw_retry_options {
    uint32_t share_permille;
    uint32_t burst;
};

#define PGW_RETRY_OPTIONS_INIT                                                \
    {                                                                         \
        .share_permille = 200, .burst = 100                                   \
    }

/** struct pgw_retry_budget - a token bucket; thread-safe */
struct pgw_retry_budget;

/**
 * pgw_retry_budget_new() - create a full bucket
 * @options: copied
 *
 * Return: the bucket; free it with pgw_retry_budget_free().
 */
struct pgw_retry_budget *
pgw_retry_budget_new(const struct pgw_retry_options *options);

/** pgw_retry_budget_free() - free a bucket; NULL is allowed */
void pgw_retry_budget_free(struct pgw_retry_budget *budget);

/** pgw_retry_budget_set_burst() - set the capacity; drops tokens beyond it */
void pgw_retry_budget_set_burst(struct pgw_retry_budget *budget,
                                uint32_t burst);

/** pgw_retry_budget_deposit() - deposit the share of one first attempt */
void pgw_retry_budget_deposit(struct pgw_retry_budget *budget);

/**
 * pgw_retry_budget_withdraw() - withdraw the token for one retry
 *
 * Return: false when no token is left; the caller must not retry then.
 */
bool pgw_retry_budget_withdraw(struct pgw_retry_budget *budget);

/** pgw_retry_budget_tokens() - number of whole tokens left, for metrics */
uint32_t pgw_retry_budget_tokens(const struct pgw_retry_budget *budget);

/**
 * struct pgw_retry_backoff - bounds of the wait before a retry
 * @base_us: bound of the first wait
 * @max_us: bound of any wait
 */
struct pgw_retry_backoff {
    uint64_t base_us;
    uint64_t max_us;
};

#define PGW_RETRY_BACKOFF_INIT                                                \
    {                                                                         \
        .base_us = 5000, .max_us = 1000000                                    \
    }

/**
 * pgw_retry_backoff_us() - exponential backoff with full jitter
 * @backoff: bounds of the wait
 * @failures: failures so far; 1 after the first
 * @random: 64 random bits
 *
 * Return: a wait in microseconds, uniformly distributed from 0 to the bound,
 * so that clients that failed together do not retry together.
 */
uint64_t pgw_retry_backoff_us(const struct pgw_retry_backoff *backoff,
                              uint32_t failures, uint64_t random);

G_END_DECLS

#endif
