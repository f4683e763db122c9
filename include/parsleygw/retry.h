#ifndef PARSLEYGW_RETRY_H
#define PARSLEYGW_RETRY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * DOC: Retry budget and backoff
 *
 * Retries are a share of traffic: each first attempt pays a part of a token
 * into a bucket and each retry takes a whole one out. When a zone dies every
 * caller's request fails at once; with a count per request the survivors would
 * get a multiple of the load, with a share they get at most that share more.
 */

/**
 * struct pgw_retry_options - limits of one bucket
 * @share_permille: retries allowed for 1000 first attempts
 * @burst: most tokens kept, also the tokens at the start
 */
struct pgw_retry_options {
    uint32_t share_permille;
    uint32_t burst;
};

#define PGW_RETRY_OPTIONS_INIT                                                \
    {                                                                         \
        .share_permille = 200, .burst = 100                                   \
    }

/** struct pgw_retry_budget - a bucket; safe for any number of threads */
struct pgw_retry_budget;

/**
 * pgw_retry_budget_new() - make a full bucket
 * @options: copied
 *
 * Return: to be freed with pgw_retry_budget_free().
 */
struct pgw_retry_budget *
pgw_retry_budget_new(const struct pgw_retry_options *options);

/** pgw_retry_budget_free() - free a bucket; NULL is allowed */
void pgw_retry_budget_free(struct pgw_retry_budget *budget);

/** pgw_retry_budget_set_burst() - another size; what is beyond it is lost */
void pgw_retry_budget_set_burst(struct pgw_retry_budget *budget,
                                uint32_t burst);

/** pgw_retry_budget_deposit() - account one first attempt */
void pgw_retry_budget_deposit(struct pgw_retry_budget *budget);

/**
 * pgw_retry_budget_withdraw() - ask for one retry
 *
 * Return: false when the share is used up; the request is then refused.
 */
bool pgw_retry_budget_withdraw(struct pgw_retry_budget *budget);

/** pgw_retry_budget_tokens() - whole tokens left, for metrics */
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
 * @backoff: bounds
 * @failures: failures so far; 1 after the first
 * @random: 64 random bits
 *
 * Return: a wait in microseconds, evenly spread from 0 to the bound, so that
 * clients that failed together do not come back together.
 */
uint64_t pgw_retry_backoff_us(const struct pgw_retry_backoff *backoff,
                              uint32_t failures, uint64_t random);

G_END_DECLS

#endif
