#include "gateway/sidecar/weights_order.h"
#include <glib.h>

#define CLOCK_START_US UINT64_C(10000000)
/* Delay of a scheduled start. */
#define START_DELAY_US UINT64_C(1200000)
#define TOKEN_VALID_US UINT64_C(8000000)

static const struct pgw_weights_order_options options =
    PGW_WEIGHTS_ORDER_OPTIONS_INIT;

static struct pgw_weights_order
make_order(void)
{
    struct pgw_weights_order order;

    pgw_weights_order_init(&order, &options);
    order.running_version = 1;
    return order;
}

/* Runs steps until the order is to be sent; returns that time. */
static uint64_t
run_until_order(struct pgw_weights_order *order, uint64_t now)
{
    for (unsigned i = 0; i < 20; i++) {
        switch (pgw_weights_order_next_step(order, now)) {
        case PGW_WEIGHTS_REQUEST_TOKEN:
            pgw_weights_order_set_token(order, 41, TOKEN_VALID_US, now);
            break;
        case PGW_WEIGHTS_SEND_ORDER:
            return now;
        case PGW_WEIGHTS_WAIT:
            g_assert_cmpuint(order->next_step_us, >, now);
            now = order->next_step_us;
            break;
        case PGW_WEIGHTS_ANNOUNCE_LOADING:
        case PGW_WEIGHTS_ANNOUNCE_AVAILABLE:
            break;
        }
    }
    g_assert_not_reached();
}

static void
test_full_cycle(void)
{
    struct pgw_weights_order order = make_order();
    uint64_t now;

    g_assert_cmpint(pgw_weights_order_next_step(&order, CLOCK_START_US), ==,
                    PGW_WEIGHTS_WAIT);
    pgw_weights_order_set_target(&order, 2, START_DELAY_US, CLOCK_START_US);
    now = run_until_order(&order, CLOCK_START_US);
    g_assert_cmpuint(now, >=, CLOCK_START_US + START_DELAY_US);
    g_assert_true(order.announced);
    pgw_weights_order_mark_sent(&order, now);
    pgw_weights_order_handle_answer(&order, PGW_ORDER_ACCEPTED, now);
    pgw_weights_order_apply_report(&order, 1, true, 0, now + 1000);
    g_assert_cmpint(pgw_weights_order_next_step(&order, now + 1000), ==,
                    PGW_WEIGHTS_WAIT);
    pgw_weights_order_apply_report(&order, 2, false, 0, now + 300000);
    g_assert_cmpint(pgw_weights_order_next_step(&order, now + 300000), ==,
                    PGW_WEIGHTS_ANNOUNCE_AVAILABLE);
    g_assert_cmpint(pgw_weights_order_next_step(&order, now + 300000), ==,
                    PGW_WEIGHTS_WAIT);
}

/*
 * Requests are queued at the engine when its load is due. The order waits
 * until they run, and no longer than the drain timeout; the load is announced
 * before, so that no more requests arrive.
 */
static void
test_queue_drains_first(void)
{
    struct pgw_weights_order order = make_order();
    uint64_t now;

    pgw_weights_order_set_target(&order, 2, 0, CLOCK_START_US);
    pgw_weights_order_apply_report(&order, 1, false, 5, CLOCK_START_US);
    now = run_until_order(&order, CLOCK_START_US);
    g_assert_cmpuint(now, ==, CLOCK_START_US + options.drain_timeout_us);
    order = make_order();
    pgw_weights_order_set_target(&order, 2, 0, CLOCK_START_US);
    pgw_weights_order_apply_report(&order, 1, false, 5, CLOCK_START_US);
    pgw_weights_order_set_token(&order, 41, TOKEN_VALID_US, CLOCK_START_US);
    g_assert_cmpint(pgw_weights_order_next_step(&order, CLOCK_START_US), ==,
                    PGW_WEIGHTS_ANNOUNCE_LOADING);
    now = CLOCK_START_US + options.announce_lead_us;
    g_assert_cmpint(pgw_weights_order_next_step(&order, now), ==,
                    PGW_WEIGHTS_WAIT);
    pgw_weights_order_apply_report(&order, 1, false, 0, now);
    g_assert_cmpint(pgw_weights_order_next_step(&order, now), ==,
                    PGW_WEIGHTS_SEND_ORDER);
}

/*
 * The engine is on another machine, so its reports arrive with a lag: right
 * after the order a report still has the old version and no busy flag. A
 * second order would start a second load.
 */
static void
test_report_lag(void)
{
    struct pgw_weights_order_options remote_options = options;
    struct pgw_weights_order order;
    uint64_t now;

    remote_options.report_lag_us = 1000000;
    pgw_weights_order_init(&order, &remote_options);
    order.running_version = 1;
    pgw_weights_order_set_target(&order, 2, 0, CLOCK_START_US);
    now = run_until_order(&order, CLOCK_START_US);
    pgw_weights_order_mark_sent(&order, now);
    pgw_weights_order_handle_answer(&order, PGW_ORDER_ACCEPTED, now);
    pgw_weights_order_apply_report(&order, 1, false, 0, now + 900000);
    g_assert_cmpint(pgw_weights_order_next_step(&order, now + 900000), ==,
                    PGW_WEIGHTS_WAIT);
    pgw_weights_order_apply_report(&order, 2, false, 0, now + 1000000);
    g_assert_cmpint(pgw_weights_order_next_step(&order, now + 1000000), ==,
                    PGW_WEIGHTS_ANNOUNCE_AVAILABLE);
}

/* The answer is lost. The order is sent again, but not while the first one
 * may still arrive. */
static void
test_lost_answer(void)
{
    struct pgw_weights_order order = make_order();
    uint64_t now;

    pgw_weights_order_set_target(&order, 2, 0, CLOCK_START_US);
    now = run_until_order(&order, CLOCK_START_US);
    pgw_weights_order_mark_sent(&order, now);
    pgw_weights_order_handle_answer(&order, PGW_ORDER_LOST, now);
    pgw_weights_order_apply_report(&order, 1, false, 0, now + 1000);
    g_assert_cmpint(pgw_weights_order_next_step(&order, now + 1000), ==,
                    PGW_WEIGHTS_WAIT);
    pgw_weights_order_apply_report(&order, 1, false, 0,
                                   now + options.unknown_outcome_us);
    g_assert_cmpint(
        pgw_weights_order_next_step(&order, now + options.unknown_outcome_us),
        ==, PGW_WEIGHTS_SEND_ORDER);
}

/* The engine has seen a higher token: the next order carries a new one. */
static void
test_fenced(void)
{
    struct pgw_weights_order order = make_order();
    uint64_t now;

    pgw_weights_order_set_target(&order, 2, 0, CLOCK_START_US);
    now = run_until_order(&order, CLOCK_START_US);
    pgw_weights_order_mark_sent(&order, now);
    pgw_weights_order_handle_answer(&order, PGW_ORDER_FENCED, now);
    now += options.retry_delay_us;
    g_assert_cmpint(pgw_weights_order_next_step(&order, now), ==,
                    PGW_WEIGHTS_REQUEST_TOKEN);
    pgw_weights_order_set_token(&order, 99, TOKEN_VALID_US, now);
    run_until_order(&order, now);
    g_assert_cmpuint(order.token, ==, 99);
}

static void
test_no_token(void)
{
    struct pgw_weights_order order = make_order();

    pgw_weights_order_set_target(&order, 2, 0, CLOCK_START_US);
    g_assert_cmpint(pgw_weights_order_next_step(&order, CLOCK_START_US), ==,
                    PGW_WEIGHTS_REQUEST_TOKEN);
    g_assert_cmpint(pgw_weights_order_next_step(&order, CLOCK_START_US), ==,
                    PGW_WEIGHTS_WAIT);
    pgw_weights_order_set_token(&order, 0, 0, CLOCK_START_US);
    g_assert_cmpint(pgw_weights_order_next_step(&order, CLOCK_START_US), ==,
                    PGW_WEIGHTS_WAIT);
    g_assert_false(order.announced);
    g_assert_cmpint(pgw_weights_order_next_step(
                        &order, CLOCK_START_US + options.token_retry_delay_us),
                    ==, PGW_WEIGHTS_REQUEST_TOKEN);
}

/* Newer versions are announced while one is being loaded: the newest one is
 * ordered next, and older ones that arrive later change nothing. */
static void
test_newer_target_while_loading(void)
{
    struct pgw_weights_order order = make_order();
    uint64_t now;

    pgw_weights_order_set_target(&order, 2, 0, CLOCK_START_US);
    now = run_until_order(&order, CLOCK_START_US);
    pgw_weights_order_mark_sent(&order, now);
    pgw_weights_order_handle_answer(&order, PGW_ORDER_ACCEPTED, now);
    pgw_weights_order_set_target(&order, 4, 0, now);
    pgw_weights_order_set_target(&order, 3, 0, now);
    pgw_weights_order_apply_report(&order, 2, false, 0, now + 300000);
    g_assert_cmpint(pgw_weights_order_next_step(&order, now + 300000), ==,
                    PGW_WEIGHTS_SEND_ORDER);
    g_assert_cmpuint(order.target_version, ==, 4);
}

/* An earlier start replaces a later one, for a newer version, too; a later
 * start changes nothing. */
static void
test_earliest_start_wins(void)
{
    struct pgw_weights_order order = make_order();
    uint64_t now;

    pgw_weights_order_set_target(&order, 2, 3 * START_DELAY_US,
                                 CLOCK_START_US);
    pgw_weights_order_set_target(&order, 2, START_DELAY_US, CLOCK_START_US);
    pgw_weights_order_set_target(&order, 3, 2 * START_DELAY_US,
                                 CLOCK_START_US);
    now = run_until_order(&order, CLOCK_START_US);
    g_assert_cmpuint(now, >=, CLOCK_START_US + START_DELAY_US);
    g_assert_cmpuint(now, <, CLOCK_START_US + 2 * START_DELAY_US);
    g_assert_cmpuint(order.target_version, ==, 3);
}

/* A version is announced while the order for the previous one is executed. The
 * engine serves with the previous one until the start of the next is due. */
static void
test_next_target_has_own_start(void)
{
    struct pgw_weights_order order = make_order();
    uint64_t now;

    pgw_weights_order_set_target(&order, 2, 0, CLOCK_START_US);
    now = run_until_order(&order, CLOCK_START_US);
    pgw_weights_order_mark_sent(&order, now);
    pgw_weights_order_handle_answer(&order, PGW_ORDER_ACCEPTED, now);
    pgw_weights_order_set_target(&order, 3, START_DELAY_US, now);
    pgw_weights_order_apply_report(&order, 2, false, 0, now + 300000);
    g_assert_cmpint(pgw_weights_order_next_step(&order, now + 300000), ==,
                    PGW_WEIGHTS_ANNOUNCE_AVAILABLE);
    g_assert_cmpint(pgw_weights_order_next_step(&order, now + 300000), ==,
                    PGW_WEIGHTS_WAIT);
    g_assert_cmpuint(order.next_step_us, ==, now + START_DELAY_US);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/weights_order/full_cycle", test_full_cycle);
    g_test_add_func("/weights_order/lost_answer", test_lost_answer);
    g_test_add_func("/weights_order/fenced", test_fenced);
    g_test_add_func("/weights_order/no_token", test_no_token);
    g_test_add_func("/weights_order/newer_target",
                    test_newer_target_while_loading);
    g_test_add_func("/weights_order/report_lag", test_report_lag);
    g_test_add_func("/weights_order/queue_drains_first",
                    test_queue_drains_first);
    g_test_add_func("/weights_order/earliest_start", test_earliest_start_wins);
    g_test_add_func("/weights_order/next_target_own_start",
                    test_next_target_has_own_start);
    return g_test_run();
}
