#include "gateway/share/share_table.h"

#define NOW_US 5000000ULL

/* Failure: a caller that repeats before its time moves or loses its promise,
 * or a caller is believed long after its time. */
static void
test_returned_callers(void)
{
    struct pgw_returned_callers *callers =
        g_new0(struct pgw_returned_callers, 1);
    struct pgw_returned_caller told = {
        .key = 7,
        .at = {.at_us = NOW_US + 300000, .is_promised = true},
        .in_time_start_us = 9,
    };
    struct pgw_returned_caller known;

    pgw_returned_callers_add(callers, &told);
    g_assert_cmpint(pgw_returned_callers_take(callers, 8, NOW_US, &known), ==,
                    PGW_RETURNED_UNKNOWN);
    for (int i = 0; i < 2; i++) {
        g_assert_cmpint(pgw_returned_callers_take(callers, 7, NOW_US, &known),
                        ==, PGW_RETURNED_EARLY);
        g_assert_cmpuint(known.at.at_us, ==, told.at.at_us);
    }
    g_assert_cmpint(
        pgw_returned_callers_take(callers, 7, told.at.at_us, &known), ==,
        PGW_RETURNED_PROMISED);
    g_assert_cmpuint(known.in_time_start_us, ==, 9);
    g_assert_cmpint(
        pgw_returned_callers_take(callers, 7, told.at.at_us, &known), ==,
        PGW_RETURNED_UNKNOWN);
    pgw_returned_callers_add(callers, &told);
    g_assert_cmpint(
        pgw_returned_callers_take(
            callers, 7, told.at.at_us + PGW_RETURNED_LATE_US + 1, &known),
        ==, PGW_RETURNED_UNKNOWN);
    told.at.is_promised = false;
    pgw_returned_callers_add(callers, &told);
    g_assert_cmpint(
        pgw_returned_callers_take(callers, 7, told.at.at_us, &known), ==,
        PGW_RETURNED_LATE);
    g_free(callers);
}

/* Failure: callers without a promise push out those that have one. */
static void
test_promises_stay(void)
{
    struct pgw_returned_callers *callers =
        g_new0(struct pgw_returned_callers, 1);
    struct pgw_returned_caller known;

    for (uint64_t key = 1; key <= 100000; key++) {
        pgw_returned_callers_add(
            callers, &(struct pgw_returned_caller){
                         .key = key,
                         .at = {.at_us = NOW_US, .is_promised = key <= 100}});
    }
    for (uint64_t key = 1; key <= 100; key++) {
        g_assert_cmpint(
            pgw_returned_callers_take(callers, key, NOW_US, &known), ==,
            PGW_RETURNED_PROMISED);
    }
    g_free(callers);
}

/* Failure: those refused together come back together. */
static void
test_spread(void)
{
    struct pgw_return_times times = {0};
    struct pgw_return_input input = {
        .tokens = 100,
        .room_per_s = 10000,
        .earliest_us = NOW_US,
        .latest_us = NOW_US + 1000000,
        .promised_by_us = UINT64_MAX,
        .now_us = NOW_US,
    };
    unsigned promised = 0;
    uint64_t last_us = 0;

    for (int i = 0; i < 200; i++) {
        struct pgw_return at;

        input.random = (uint64_t)i * 7919;
        pgw_return_times_add(&at, &times, &input);
        g_assert_cmpuint(at.at_us, >, NOW_US);
        g_assert_cmpuint(at.at_us, <=, input.latest_us);
        promised += at.is_promised;
        last_us = at.is_promised ? MAX(last_us, at.at_us) : last_us;
    }
    g_assert_cmpuint(promised, >=, 90);
    g_assert_cmpuint(promised, <=, 100);
    g_assert_cmpuint(last_us, >, NOW_US + 900000);
}

static void
count_promise(const struct pgw_returned_caller *caller, void *context)
{
    unsigned *count = context;

    (void)caller;
    ++*count;
}

/* Failure: a caller that repeats at once makes its entry tell all others of
 * its promise each time. */
static void
test_told_once(void)
{
    struct pgw_share_table *table = pgw_share_table_new();
    struct pgw_returned_caller caller = {
        .key = 7,
        .at = {.at_us = NOW_US + 300000, .is_promised = true},
    };
    unsigned told = 0;

    table->on_promise = count_promise;
    table->context = &told;
    g_assert_true(pgw_share_table_refuse(table, &caller));
    for (int i = 0; i < 100; i++) {
        g_assert_false(pgw_share_table_refuse(table, &caller));
    }
    g_assert_cmpuint(told, ==, 1);
    caller.at.at_us++;
    g_assert_true(pgw_share_table_refuse(table, &caller));
    g_assert_cmpuint(told, ==, 2);
    pgw_share_table_free(table);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/return_times/callers", test_returned_callers);
    g_test_add_func("/return_times/promises_stay", test_promises_stay);
    g_test_add_func("/return_times/spread", test_spread);
    g_test_add_func("/return_times/told_once", test_told_once);
    return g_test_run();
}
