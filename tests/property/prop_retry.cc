// Retries stay a share of first attempts, whatever fails and in whatever
// order, and waits before them are spread over the whole bound.
#include "parsleygw/retry.h"
#include "prop_support.h"

int
main()
{
    bool good = true;

    good &= rc::check("retries are at most the burst and the share", [] {
        pgw_retry_options options = PGW_RETRY_OPTIONS_INIT;
        uint64_t first = 0, retried = 0;

        options.share_permille = *rc::gen::inRange(0u, 1000u);
        options.burst = *rc::gen::inRange(0u, 50u);
        pgw_retry_budget *budget = pgw_retry_budget_new(&options);
        for (uint32_t number : random_script(500)) {
            // A dead zone: many more ask for a retry than come anew.
            if (number % 4 == 0) {
                pgw_retry_budget_deposit(budget);
                first++;
            }
            else if (pgw_retry_budget_withdraw(budget)) {
                retried++;
            }
        }
        pgw_retry_budget_free(budget);
        RC_ASSERT(retried * 1000 <= options.burst * 1000ull +
                                        first * options.share_permille);
    });
    good &= rc::check("an unused budget is never lost", [] {
        pgw_retry_options options = PGW_RETRY_OPTIONS_INIT;

        options.burst = *rc::gen::inRange(1u, 50u);
        pgw_retry_budget *budget = pgw_retry_budget_new(&options);
        while (pgw_retry_budget_withdraw(budget) &&
               pgw_retry_budget_tokens(budget) < options.burst) {
        }
        for (uint32_t i = 0; i < 1000 / options.share_permille; i++) {
            pgw_retry_budget_deposit(budget);
        }
        RC_ASSERT(pgw_retry_budget_withdraw(budget));
        pgw_retry_budget_free(budget);
    });
    good &= rc::check("waits stay in bounds and are spread", [] {
        pgw_retry_backoff backoff = PGW_RETRY_BACKOFF_INIT;
        uint32_t failures = *rc::gen::inRange(1u, 40u);
        uint64_t bound = backoff.base_us, low = 0, high = 0;

        for (uint32_t i = 1; i < failures && bound < backoff.max_us; i++) {
            bound *= 2;
        }
        bound = bound < backoff.max_us ? bound : backoff.max_us;
        for (uint32_t i = 0; i < 64; i++) {
            choices choose(i);
            uint64_t random = (uint64_t)choose.pick(1u << 31) << 31 |
                              choose.pick(1u << 31);
            uint64_t wait = pgw_retry_backoff_us(&backoff, failures, random);

            RC_ASSERT(wait <= bound);
            low += wait < bound / 2;
            high += wait >= bound / 2;
        }
        RC_ASSERT(low > 8u);
        RC_ASSERT(high > 8u);
    });
    return good ? 0 : 1;
}
