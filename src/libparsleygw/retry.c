#include "parsleygw/retry.h"

#include <stdatomic.h>

/** Bucket units per token: a first attempt deposits share_permille units. */
#define UNITS_PER_TOKEN 1000

struct pgw_retry_budget {
    _Atomic int64_t balance;
    _Atomic int64_t capacity;
    int64_t deposit;
};

struct pgw_retry_budget *
pgw_retry_budget_new(const struct pgw_retry_options *options)
{
    struct pgw_retry_budget *budget = g_new0(struct pgw_retry_budget, 1);

    budget->deposit = options->share_permille;
    atomic_init(&budget->capacity, (int64_t)options->burst * UNITS_PER_TOKEN);
    atomic_init(&budget->balance, (int64_t)options->burst * UNITS_PER_TOKEN);
    return budget;
}

void
pgw_retry_budget_free(struct pgw_retry_budget *budget)
{
    g_free(budget);
}

void
pgw_retry_budget_set_burst(struct pgw_retry_budget *budget, uint32_t burst)
{
    int64_t capacity = (int64_t)burst * UNITS_PER_TOKEN;
    int64_t balance =
        atomic_load_explicit(&budget->balance, memory_order_relaxed);

    atomic_store_explicit(&budget->capacity, capacity, memory_order_relaxed);
    while (balance > capacity &&
           !atomic_compare_exchange_weak_explicit(
               &budget->balance, &balance, capacity, memory_order_relaxed,
               memory_order_relaxed)) {
    }
}

void
pgw_retry_budget_deposit(struct pgw_retry_budget *budget)
{
    int64_t balance =
        atomic_load_explicit(&budget->balance, memory_order_relaxed);
    int64_t capacity =
        atomic_load_explicit(&budget->capacity, memory_order_relaxed);

    while (balance < capacity) {
        int64_t next = MIN(balance + budget->deposit, capacity);

        if (atomic_compare_exchange_weak_explicit(&budget->balance, &balance,
                                                  next, memory_order_relaxed,
                                                  memory_order_relaxed)) {
            return;
        }
    }
}

bool
pgw_retry_budget_withdraw(struct pgw_retry_budget *budget)
{
#ifndef PGW_DISABLE_RETRY_BUDGET
    /*
     * Failure: a zone fails and with it all requests there. Symptom: each
     * request is retried several times and the multiplied load overloads the
     * remaining zones. The bucket is enough because only first attempts fill
     * it, never retries.
     */
    int64_t balance =
        atomic_load_explicit(&budget->balance, memory_order_relaxed);

    while (balance >= UNITS_PER_TOKEN) {
        if (atomic_compare_exchange_weak_explicit(
                &budget->balance, &balance, balance - UNITS_PER_TOKEN,
                memory_order_relaxed, memory_order_relaxed)) {
            return true;
        }
    }
    return false;
#else
    (void)budget;
    return true;
#endif
}

uint32_t
pgw_retry_budget_tokens(const struct pgw_retry_budget *budget)
{
    int64_t balance =
        atomic_load_explicit(&budget->balance, memory_order_relaxed);

    return (uint32_t)(balance / UNITS_PER_TOKEN);
}

uint64_t
pgw_retry_backoff_us(const struct pgw_retry_backoff *backoff,
                     uint32_t failures, uint64_t random)
{
    uint64_t bound = backoff->base_us;

    for (uint32_t i = 1; i < failures && bound < backoff->max_us; i++) {
        bound *= 2;
    }
    bound = MIN(bound, backoff->max_us);
    return bound == UINT64_MAX ? random : random % (bound + 1);
}
