#include "gateway/placement/response_timeout.h"
#include <glib.h>

/* Tokens that an otherwise idle engine prefills in a millisecond. */
#define ENGINE_PREFILL_TOKENS_PER_MS 50

/*
 * Eight prompts of 17,000 tokens reach one engine together, which prefills
 * them concurrently. The last one takes as long as all eight. An earlier
 * timeout would waste eight prefills and move the same load to the next
 * engine.
 */
static void
test_full_engine_may_finish(void)
{
    uint64_t all_prefills_us =
        UINT64_C(8) * 17000 * 1000 / ENGINE_PREFILL_TOKENS_PER_MS;

    g_assert_cmpuint(pgw_response_timeout_us(800000, 0.7, 17000), >,
                     all_prefills_us);
}

/* A hanging engine still times out within seconds. */
static void
test_hanging_engine_times_out(void)
{
    g_assert_cmpuint(pgw_response_timeout_us(300000, 0.7, 400), <, 500000);
    g_assert_cmpuint(pgw_response_timeout_us(800000, 0.7, 17000), <, 5000000);
}

static void
test_plain_service(void)
{
    g_assert_cmpuint(pgw_response_timeout_us(300000, 0.5, 0), ==, 150000);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/response_timeout/full_engine_may_finish",
                    test_full_engine_may_finish);
    g_test_add_func("/response_timeout/hanging_engine_times_out",
                    test_hanging_engine_times_out);
    g_test_add_func("/response_timeout/plain_service", test_plain_service);
    return g_test_run();
}
