#include "parsleygw/retry.h"

#include <stdatomic.h>

/** One token in the unit of the bucket: a first attempt pays share_permille.
 */
#define TOKEN 1000

struct pgw_retry_budget {
    _Atomic int64_t level;
    _Atomic int64_t limit;
    int64_t deposit;
};

struct pgw_retry_budget *
pgw_retry_budget_new(const struct pgw_retry_options *options)
{
    struct pgw_retry_budget *budget = g_new0(struct pgw_retry_budget, 1);

    budget->deposit = options->share_permille;
    atomic_init(&budget->limit, (int64_t)options->burst * TOKEN);
    atomic_init(&budget->level, (int64_t)options->burst * TOKEN);
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
    int64_t limit = (int64_t)burst * TOKEN;
    int64_t level = atomic_load_explicit(&budget->level, memory_order_relaxed);

    atomic_store_explicit(&budget->limit, limit, memory_order_relaxed);
    while (level > limit && !atomic_compare_exchange_weak_explicit(
                                &budget->level, &level, limit,
                                memory_order_relaxed, memory_order_relaxed)) {
    }
}

void
pgw_retry_budget_deposit(struct pgw_retry_budget *budget)
{
    int64_t level = atomic_load_explicit(&budget->level, memory_order_relaxed);
    int64_t limit = atomic_load_explicit(&budget->limit, memory_order_relaxed);

    while (level < limit) {
        int64_t next = MIN(level + budget->deposit, limit);

        if (atomic_compare_exchange_weak_explicit(&budget->level, &level, next,
                                                  memory_order_relaxed,
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
     * Failure: a zone dies and each request in it fails. Symptom without the
     * bucket: every one is sent again, several times, and the zones that are
     * left go down under the multiple of their load. The bucket is enough
     * because only first attempts fill it, never retries.
     */
    int64_t level = atomic_load_explicit(&budget->level, memory_order_relaxed);

    while (level >= TOKEN) {
        if (atomic_compare_exchange_weak_explicit(
                &budget->level, &level, level - TOKEN, memory_order_relaxed,
                memory_order_relaxed)) {
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
    int64_t level = atomic_load_explicit(&budget->level, memory_order_relaxed);

    return (uint32_t)(level / TOKEN);
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
