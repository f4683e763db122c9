#include "gateway/weights_order.h"
#include <glib.h>

#define START UINT64_C(10000000)
/* When the engine begins by itself. */
#define TURN_US UINT64_C(1200000)

static const struct pgw_weights_order_options options =
    PGW_WEIGHTS_ORDER_OPTIONS_INIT;

static struct pgw_weights_order
make(void)
{
    struct pgw_weights_order order;

    pgw_weights_order_init(&order, &options);
    order.running = 1;
    return order;
}

/* Steps until the order is to be given; returns when. */
static uint64_t
until_order(struct pgw_weights_order *order, uint64_t now)
{
    for (unsigned i = 0; i < 20; i++) {
        switch (pgw_weights_order_step(order, now)) {
        case PGW_WEIGHTS_REQUEST_TOKEN:
            pgw_weights_order_set_token(order, 41, now);
            break;
        case PGW_WEIGHTS_SEND_ORDER:
            return now;
        case PGW_WEIGHTS_WAIT:
            g_assert_cmpuint(order->next_us, >, now);
            now = order->next_us;
            break;
        case PGW_WEIGHTS_ANNOUNCE_LOADING:
        case PGW_WEIGHTS_ANNOUNCE_AVAILABLE:
            break;
        }
    }
    g_assert_not_reached();
}

static void
test_whole_course(void)
{
    struct pgw_weights_order order = make();
    uint64_t now;

    g_assert_cmpint(pgw_weights_order_step(&order, START), ==,
                    PGW_WEIGHTS_WAIT);
    pgw_weights_order_set_target(&order, 2, TURN_US, START);
    now = until_order(&order, START);
    g_assert_cmpuint(now, >=, START + TURN_US);
    g_assert_true(order.announced);
    pgw_weights_order_mark_sent(&order, now);
    pgw_weights_order_handle_answer(&order, PGW_ORDER_ACCEPTED, now);
    pgw_weights_order_apply_report(&order, 1, true, 0, now + 1000);
    g_assert_cmpint(pgw_weights_order_step(&order, now + 1000), ==,
                    PGW_WEIGHTS_WAIT);
    pgw_weights_order_apply_report(&order, 2, false, 0, now + 300000);
    g_assert_cmpint(pgw_weights_order_step(&order, now + 300000), ==,
                    PGW_WEIGHTS_ANNOUNCE_AVAILABLE);
    g_assert_cmpint(pgw_weights_order_step(&order, now + 300000), ==,
                    PGW_WEIGHTS_WAIT);
}

/*
 * Requests wait at the engine when its turn comes. They get their places
 * before the order is given, for which the entries were told; when they take
 * too long, the order goes first.
 */
static void
test_queue_empties_first(void)
{
    struct pgw_weights_order order = make();
    uint64_t now;

    pgw_weights_order_set_target(&order, 2, 0, START);
    pgw_weights_order_apply_report(&order, 1, false, 5, START);
    now = until_order(&order, START);
    g_assert_cmpuint(now, ==, START + options.drain_us);
    order = make();
    pgw_weights_order_set_target(&order, 2, 0, START);
    pgw_weights_order_apply_report(&order, 1, false, 5, START);
    pgw_weights_order_set_token(&order, 41, START);
    g_assert_cmpint(pgw_weights_order_step(&order, START), ==,
                    PGW_WEIGHTS_ANNOUNCE_LOADING);
    now = START + options.announce_us;
    g_assert_cmpint(pgw_weights_order_step(&order, now), ==, PGW_WEIGHTS_WAIT);
    pgw_weights_order_apply_report(&order, 1, false, 0, now);
    g_assert_cmpint(pgw_weights_order_step(&order, now), ==,
                    PGW_WEIGHTS_SEND_ORDER);
}

/*
 * The engine is on another machine, and its reports there are old: right after
 * the order one still says the older weights and that it is not busy. A second
 * order would be taken as another load.
 */
static void
test_old_reports(void)
{
    struct pgw_weights_order_options far = options;
    struct pgw_weights_order order;
    uint64_t now;

    far.report_lag_us = 1000000;
    pgw_weights_order_init(&order, &far);
    order.running = 1;
    pgw_weights_order_set_target(&order, 2, 0, START);
    now = until_order(&order, START);
    pgw_weights_order_mark_sent(&order, now);
    pgw_weights_order_handle_answer(&order, PGW_ORDER_ACCEPTED, now);
    pgw_weights_order_apply_report(&order, 1, false, 0, now + 900000);
    g_assert_cmpint(pgw_weights_order_step(&order, now + 900000), ==,
                    PGW_WEIGHTS_WAIT);
    pgw_weights_order_apply_report(&order, 2, false, 0, now + 1000000);
    g_assert_cmpint(pgw_weights_order_step(&order, now + 1000000), ==,
                    PGW_WEIGHTS_ANNOUNCE_AVAILABLE);
}

/* The answer is lost. Until it is sure that the order is not on its way, no
 * second one is given; then it is given again. */
static void
test_lost_answer(void)
{
    struct pgw_weights_order order = make();
    uint64_t now;

    pgw_weights_order_set_target(&order, 2, 0, START);
    now = until_order(&order, START);
    pgw_weights_order_mark_sent(&order, now);
    pgw_weights_order_handle_answer(&order, PGW_ORDER_LOST, now);
    pgw_weights_order_apply_report(&order, 1, false, 0, now + 1000);
    g_assert_cmpint(pgw_weights_order_step(&order, now + 1000), ==,
                    PGW_WEIGHTS_WAIT);
    pgw_weights_order_apply_report(&order, 1, false, 0,
                                   now + options.settle_us);
    g_assert_cmpint(pgw_weights_order_step(&order, now + options.settle_us),
                    ==, PGW_WEIGHTS_SEND_ORDER);
}

/* The engine has seen a higher token: the next order bears a new one. */
static void
test_fenced(void)
{
    struct pgw_weights_order order = make();
    uint64_t now;

    pgw_weights_order_set_target(&order, 2, 0, START);
    now = until_order(&order, START);
    pgw_weights_order_mark_sent(&order, now);
    pgw_weights_order_handle_answer(&order, PGW_ORDER_FENCED, now);
    now += options.again_us;
    g_assert_cmpint(pgw_weights_order_step(&order, now), ==,
                    PGW_WEIGHTS_REQUEST_TOKEN);
    pgw_weights_order_set_token(&order, 99, now);
    until_order(&order, now);
    g_assert_cmpuint(order.token, ==, 99);
}

static void
test_no_token(void)
{
    struct pgw_weights_order order = make();

    pgw_weights_order_set_target(&order, 2, 0, START);
    g_assert_cmpint(pgw_weights_order_step(&order, START), ==,
                    PGW_WEIGHTS_REQUEST_TOKEN);
    g_assert_cmpint(pgw_weights_order_step(&order, START), ==,
                    PGW_WEIGHTS_WAIT);
    pgw_weights_order_set_token(&order, 0, START);
    g_assert_cmpint(pgw_weights_order_step(&order, START), ==,
                    PGW_WEIGHTS_WAIT);
    g_assert_false(order.announced);
    g_assert_cmpint(
        pgw_weights_order_step(&order, START + options.token_again_us), ==,
        PGW_WEIGHTS_REQUEST_TOKEN);
}

/* A version is named while the one before is being loaded: the newest one is
 * ordered next, older names change nothing. */
static void
test_newer_name_meanwhile(void)
{
    struct pgw_weights_order order = make();
    uint64_t now;

    pgw_weights_order_set_target(&order, 2, 0, START);
    now = until_order(&order, START);
    pgw_weights_order_mark_sent(&order, now);
    pgw_weights_order_handle_answer(&order, PGW_ORDER_ACCEPTED, now);
    pgw_weights_order_set_target(&order, 4, 0, now);
    pgw_weights_order_set_target(&order, 3, 0, now);
    pgw_weights_order_apply_report(&order, 2, false, 0, now + 300000);
    g_assert_cmpint(pgw_weights_order_step(&order, now + 300000), ==,
                    PGW_WEIGHTS_SEND_ORDER);
    g_assert_cmpuint(order.wanted, ==, 4);
}

/* Its turn comes sooner than it would begin by itself; a later time that is
 * said after that changes nothing. */
static void
test_soonest_turn_holds(void)
{
    struct pgw_weights_order order = make();
    uint64_t now;

    pgw_weights_order_set_target(&order, 2, 3 * TURN_US, START);
    pgw_weights_order_set_target(&order, 2, TURN_US, START);
    pgw_weights_order_set_target(&order, 3, 2 * TURN_US, START);
    now = until_order(&order, START);
    g_assert_cmpuint(now, >=, START + TURN_US);
    g_assert_cmpuint(now, <, START + 2 * TURN_US);
    g_assert_cmpuint(order.wanted, ==, 3);
}

/* A version is named while the order for the one before is being carried out.
 * The engine serves with that one until its turn for the next comes. */
static void
test_next_version_has_its_own_turn(void)
{
    struct pgw_weights_order order = make();
    uint64_t now;

    pgw_weights_order_set_target(&order, 2, 0, START);
    now = until_order(&order, START);
    pgw_weights_order_mark_sent(&order, now);
    pgw_weights_order_handle_answer(&order, PGW_ORDER_ACCEPTED, now);
    pgw_weights_order_set_target(&order, 3, TURN_US, now);
    pgw_weights_order_apply_report(&order, 2, false, 0, now + 300000);
    g_assert_cmpint(pgw_weights_order_step(&order, now + 300000), ==,
                    PGW_WEIGHTS_ANNOUNCE_AVAILABLE);
    g_assert_cmpint(pgw_weights_order_step(&order, now + 300000), ==,
                    PGW_WEIGHTS_WAIT);
    g_assert_cmpuint(order.next_us, ==, now + TURN_US);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/weights_order/course", test_whole_course);
    g_test_add_func("/weights_order/lost_answer", test_lost_answer);
    g_test_add_func("/weights_order/fenced", test_fenced);
    g_test_add_func("/weights_order/no_token", test_no_token);
    g_test_add_func("/weights_order/newer_name", test_newer_name_meanwhile);
    g_test_add_func("/weights_order/old_reports", test_old_reports);
    g_test_add_func("/weights_order/queue", test_queue_empties_first);
    g_test_add_func("/weights_order/soonest_turn", test_soonest_turn_holds);
    g_test_add_func("/weights_order/own_turn",
                    test_next_version_has_its_own_turn);
    return g_test_run();
}
