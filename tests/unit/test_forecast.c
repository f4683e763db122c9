#include "gateway/pace/forecast.h"
#include <glib.h>

static void
test_prompt_waits_for_backlog(void)
{
    struct pgw_forecast_input input = {
        .prefill_rate = 60,
        .backlog_tokens = 12000,
        .pending_tokens = 6000,
        .generation_ms = 500,
    };
    struct pgw_forecast forecast;

    pgw_forecast_compute(&forecast, &input);
    g_assert_cmpfloat_with_epsilon(forecast.pause_ms, 100, 1e-9);
    g_assert_cmpfloat_with_epsilon(forecast.first_ms, 300, 1e-9);
    g_assert_cmpfloat_with_epsilon(forecast.end_ms, 800, 1e-9);
}

/* Guards against a division by a rate that is not known. */
static void
test_no_rate_gives_no_forecast(void)
{
    struct pgw_forecast_input input = {.pending_tokens = 6000,
                                       .generation_ms = 500};
    struct pgw_forecast forecast = {.first_ms = 1};

    pgw_forecast_compute(&forecast, &input);
    g_assert_cmpfloat(forecast.first_ms, ==, 0);
    g_assert_cmpfloat(forecast.end_ms, ==, 0);
    g_assert_cmpfloat(forecast.pause_ms, ==, 0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/forecast/backlog", test_prompt_waits_for_backlog);
    g_test_add_func("/forecast/no_rate", test_no_rate_gives_no_forecast);
    return g_test_run();
}
