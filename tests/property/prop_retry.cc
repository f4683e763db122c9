// Retries stay within a share of the first attempts for any order of attempts
// and failures, and backoff waits are spread over the whole range.
#include "parsleygw/retry.h"
#include "prop_support.h"

int
main()
{
    bool passed = true;

    passed &= rc::check("retries are at most the burst and the share", [] {
        pgw_retry_options options = PGW_RETRY_OPTIONS_INIT;
        uint64_t first_attempts = 0, retries = 0;

        options.share_permille = *rc::gen::inRange(0u, 1000u);
        options.burst = *rc::gen::inRange(0u, 50u);
        pgw_retry_budget *budget = pgw_retry_budget_new(&options);
        for (uint32_t number : random_script(500)) {
            // A failed zone: many more retries than first attempts.
            if (number % 4 == 0) {
                pgw_retry_budget_deposit(budget);
                first_attempts++;
            }
            else if (pgw_retry_budget_withdraw(budget)) {
                retries++;
            }
        }
        pgw_retry_budget_free(budget);
        RC_ASSERT(retries * 1000 <=
                  options.burst * 1000ull +
                      first_attempts * options.share_permille);
    });
    passed &= rc::check("enough deposits always allow a retry", [] {
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
    passed &= rc::check("waits stay in bounds and are spread", [] {
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
    return passed ? 0 : 1;
}
