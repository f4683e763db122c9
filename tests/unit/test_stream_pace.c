#include "gateway/request/exchange.h"
#include "util/metric.h"
#include <string.h>

#define MS UINT64_C(1000)
#define SENT (100000 * MS)

/**
 * struct scene - a stream at an upstream that prefills two long prompts
 */
struct scene {
    struct pgw_route route;
    struct pgw_upstream upstream;
    struct pgw_exchange exchange;
};

static void
open_scene(struct scene *scene, uint32_t pause_objective_ms)
{
    *scene = (struct scene){
        .route = {.objective_ms = 500,
                  .pause_objective_ms = pause_objective_ms},
        .upstream = {.load = {.long_prefills = 2}},
        .exchange = {.sends = 1, .received_us = SENT, .sent_us = SENT},
    };
    scene->exchange.route = &scene->route;
    scene->exchange.upstream = &scene->upstream;
}

/* Events of a stream, at times since it was sent. */
static void
relay(struct scene *scene, const uint64_t *at_ms, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        pgw_stream_pace_add_event(&scene->exchange, SENT + at_ms[i] * MS);
    }
    scene->exchange.began_us = SENT + at_ms[0] * MS;
    scene->exchange.first_event_us = scene->exchange.began_us;
}

static void
expect_metric(const char *line)
{
    char *text = pgw_metric_render();

    if (strstr(text, line) == NULL) {
        g_error("'%s' is missing in: %s", line, text);
    }
    g_free(text);
}

/* The time until the first event is no pause, and neither is an even pace. */
static void
test_even_stream(void)
{
    static const uint64_t at_ms[] = {450, 600, 750, 900};
    struct scene scene;

    open_scene(&scene, 400);
    relay(&scene, at_ms, G_N_ELEMENTS(at_ms));
    g_assert_cmpuint(scene.exchange.pace.longest_pause_us, ==, 150 * MS);
    g_assert_false(pgw_stream_pace_is_late(&scene.exchange));
}

/* Guards against streams that pause beside long prompts and count as good. */
static void
test_pause(void)
{
    static const uint64_t at_ms[] = {20, 40, 650, 660};
    struct scene scene;

    open_scene(&scene, 400);
    relay(&scene, at_ms, G_N_ELEMENTS(at_ms));
    g_assert_cmpuint(scene.exchange.pace.longest_pause_us, ==, 610 * MS);
    g_assert_cmpuint(scene.exchange.pace.long_prefills, ==, 2);
    g_assert_true(pgw_stream_pace_is_late(&scene.exchange));
    pgw_stream_pace_record(&scene.exchange, true, SENT + 670 * MS);
    expect_metric("pgw_gateway_late_pace_total 1\n");
    expect_metric("pgw_gateway_late_first_total 0\n");
    scene.route.pause_objective_ms = 0;
    g_assert_false(pgw_stream_pace_is_late(&scene.exchange));
}

/* Forecasts are compared with answers that one attempt gave, and a request
 * without a forecast counts in neither histogram. */
static void
test_forecast_errors(void)
{
    static const uint64_t at_ms[] = {100, 120};
    struct scene scene;

    open_scene(&scene, 0);
    relay(&scene, at_ms, G_N_ELEMENTS(at_ms));
    pgw_stream_pace_record(&scene.exchange, true, SENT + 300 * MS);
    expect_metric("pgw_gateway_forecast_first_error_seconds_count 0\n");
    scene.exchange.forecast =
        (struct pgw_forecast){.first_ms = 140, .end_ms = 200};
    pgw_stream_pace_record(&scene.exchange, false, SENT + 300 * MS);
    expect_metric("pgw_gateway_forecast_first_error_seconds_count 0\n");
    pgw_stream_pace_record(&scene.exchange, true, SENT + 300 * MS);
    expect_metric("pgw_gateway_forecast_first_error_seconds_count 1\n");
    expect_metric("pgw_gateway_forecast_end_error_seconds_count 1\n");
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/stream_pace/even", test_even_stream);
    g_test_add_func("/stream_pace/pause", test_pause);
    g_test_add_func("/stream_pace/forecast_errors", test_forecast_errors);
    return g_test_run();
}
