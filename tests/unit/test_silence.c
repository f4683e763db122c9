#include "gateway/response_timeout.h"
#include <glib.h>

/* Tokens that an engine reads in a millisecond, alone. */
#define ENGINE_TOKENS_PER_MS 50

/*
 * Eight prompts of 17,000 tokens come to one engine together, which reads them
 * all side by side. The caller of the last one waits for all eight: giving the
 * engine up before would throw eight reads away and load the next one as much.
 */
static void
test_full_engine_may_end(void)
{
    uint64_t all_us = UINT64_C(8) * 17000 * 1000 / ENGINE_TOKENS_PER_MS;

    g_assert_cmpuint(pgw_response_timeout_us(800000, 0.7, 17000), >, all_us);
}

/* An engine that hangs is given up within seconds all the same. */
static void
test_hanging_engine_is_given_up(void)
{
    g_assert_cmpuint(pgw_response_timeout_us(300000, 0.7, 400), <, 500000);
    g_assert_cmpuint(pgw_response_timeout_us(800000, 0.7, 17000), <, 5000000);
}

static void
test_plain_call(void)
{
    g_assert_cmpuint(pgw_response_timeout_us(300000, 0.5, 0), ==, 150000);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/silence/full", test_full_engine_may_end);
    g_test_add_func("/silence/hanging", test_hanging_engine_is_given_up);
    g_test_add_func("/silence/plain", test_plain_call);
    return g_test_run();
}
