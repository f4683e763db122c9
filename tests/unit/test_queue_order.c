#include "gateway/share/queue_order.h"

#define NOW_US 1000000

static struct pgw_queue_order_item
make_item(uint64_t workspace, uint32_t tokens, uint64_t in_time_start_us)
{
    return (struct pgw_queue_order_item){
        .admit = {.workspace = workspace,
                  .share = 1,
                  .uncached_tokens = tokens},
        .in_time_start_us = in_time_start_us,
        .late_start_us = NOW_US * 5,
    };
}

static void
assert_order(struct pgw_queue_order *order, struct pgw_queue_order_item *items,
             const size_t *expected, size_t count)
{
    struct pgw_list turns;

    pgw_list_init(&turns);
    pgw_queue_order_list(order, &turns, NOW_US);
    for (size_t i = 0; i < count; i++) {
        g_assert_true(pgw_list_first(&turns) ==
                      &items[expected[i]].admit.link);
        pgw_list_remove(turns.next);
    }
    g_assert_true(pgw_list_is_empty(&turns));
}

/* Failure: a caller that comes back as told, or one close to its time, waits
 * behind those that came before it; one that repeats at once goes before. */
static void
test_within_workspace(void)
{
    static const size_t expected[] = {4, 1, 0, 2, 3};
    struct pgw_queue_order_item items[] = {
        make_item(1, 10, NOW_US + 500), make_item(1, 10, NOW_US + 100),
        make_item(1, 10, NOW_US - 1),   make_item(1, 10, NOW_US + 50),
        make_item(1, 10, NOW_US - 1),
    };
    struct pgw_queue_order order;

    items[3].is_early = true;
    items[4].returned = true;
    pgw_queue_order_init(&order);
    for (size_t i = 0; i < G_N_ELEMENTS(items); i++) {
        pgw_queue_order_add(&order, &items[i]);
    }
    assert_order(&order, items, expected, G_N_ELEMENTS(items));
    pgw_queue_order_dispose(&order);
}

/* Guards against a stream that its caller takes up and that is refused while
 * new requests begin. */
static void
test_resumed_first(void)
{
    static const size_t expected[] = {2, 1, 0};
    struct pgw_queue_order_item items[] = {
        make_item(1, 10, NOW_US + 100),
        make_item(1, 10, NOW_US + 500),
        make_item(1, 10, NOW_US - 1),
    };
    struct pgw_queue_order order;

    items[1].returned = true;
    items[2].is_resumed = true;
    pgw_queue_order_init(&order);
    for (size_t i = 0; i < G_N_ELEMENTS(items); i++) {
        pgw_queue_order_add(&order, &items[i]);
    }
    assert_order(&order, items, expected, G_N_ELEMENTS(items));
    pgw_queue_order_dispose(&order);
}

/* Failure: the prompts of one workspace, or one long prompt, take the turns of
 * the others. */
static void
test_between_workspaces(void)
{
    static const size_t expected[] = {0, 3, 4, 1, 2};
    struct pgw_queue_order_item items[] = {
        make_item(1, 100, NOW_US + 10), make_item(1, 100, NOW_US + 20),
        make_item(1, 100, NOW_US + 30), make_item(2, 40, NOW_US + 40),
        make_item(2, 40, NOW_US + 50),
    };
    struct pgw_queue_order order;
    struct pgw_queue_place place;

    pgw_queue_order_init(&order);
    for (size_t i = 0; i < G_N_ELEMENTS(items); i++) {
        pgw_queue_order_add(&order, &items[i]);
    }
    assert_order(&order, items, expected, G_N_ELEMENTS(items));
    pgw_queue_order_find(&place, &order, &items[4], NOW_US);
    g_assert_cmpuint(place.before, ==, 2);
    g_assert_cmpfloat(place.work, ==, 140);
    items[1].turn_by_us = NOW_US;
    g_assert_true(pgw_queue_order_last(&place, &order, 1, NOW_US) ==
                  &items[1]);
    g_assert_cmpuint(place.before, ==, 3);
    pgw_queue_order_serve(&order, &items[0], 100);
    pgw_queue_order_remove(&order, &items[1]);
    pgw_queue_order_remove(&order, &items[1]);
    assert_order(&order, items, (const size_t[]){3, 4, 2}, 3);
    pgw_queue_order_dispose(&order);
}

/* Failure: the least urgent workspaces are starved. */
static void
test_shares(void)
{
    g_assert_cmpuint(pgw_queue_order_share(0), ==, 4);
    g_assert_cmpuint(pgw_queue_order_share(1), ==, 2);
    g_assert_cmpuint(pgw_queue_order_share(5), ==, 1);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/queue_order/within", test_within_workspace);
    g_test_add_func("/queue_order/resumed_first", test_resumed_first);
    g_test_add_func("/queue_order/between", test_between_workspaces);
    g_test_add_func("/queue_order/shares", test_shares);
    return g_test_run();
}
