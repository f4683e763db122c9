#include "gateway/quota/retry_budgets.h"

static unsigned
withdraw_all(struct pgw_retry_budgets *budgets, const char *service)
{
    unsigned count = 0;

    while (pgw_retry_budgets_withdraw(budgets, service)) {
        count++;
    }
    return count;
}

/*
 * All upstreams of a small service fail while a large service has much
 * traffic. The retries of the small service are limited by its own budget and
 * do not use that of the large one.
 */
static void
test_services_have_own_budgets(void)
{
    struct pgw_retry_budgets_options options = {
        .share_permille = 200, .slack = 40, .entries = 4};
    struct pgw_retry_budgets *budgets = pgw_retry_budgets_new(&options);

    g_assert_cmpuint(withdraw_all(budgets, "small"), ==, 10);
    for (unsigned i = 0; i < 1000; i++) {
        pgw_retry_budgets_deposit(budgets, "large");
    }
    for (unsigned i = 0; i < 20; i++) {
        pgw_retry_budgets_deposit(budgets, "small");
    }
    g_assert_cmpuint(withdraw_all(budgets, "small"), ==, 4);
    g_assert_cmpuint(withdraw_all(budgets, "large"), ==, 10);
    pgw_retry_budgets_free(budgets);
}

/* 31 entries must not each use an eighth of the slack. */
static void
test_slack_is_divided_among_entries(void)
{
    struct pgw_retry_budgets_options options = {
        .share_permille = 200, .slack = 102, .entries = 8};
    struct pgw_retry_budgets *budgets = pgw_retry_budgets_new(&options);

    pgw_retry_budgets_deposit(budgets, "s");
    pgw_retry_budgets_set_entries(budgets, 31);
    g_assert_cmpuint(withdraw_all(budgets, "s"), ==, 3);
    pgw_retry_budgets_set_entries(budgets, 0);
    g_assert_cmpuint(withdraw_all(budgets, "new"), ==, 3);
    pgw_retry_budgets_free(budgets);
}

/*
 * Guards against a limit that is broken by runs which go on from a copy: what
 * the bucket gave counts too, only requests of the last ten seconds make room,
 * and retries are forgotten no sooner.
 */
static void
test_window_keeps_the_limit(void)
{
    struct pgw_retry_budgets_options options = {
        .share_permille = 200, .slack = 40, .entries = 4};
    struct pgw_retry_budgets *budgets = pgw_retry_budgets_new(&options);
    uint64_t start_us = 50000000;
    unsigned count = 0;

    for (unsigned i = 0; i < 100; i++) {
        pgw_retry_budgets_count_request(budgets, "s", start_us);
    }
    while (pgw_retry_budgets_has_room(budgets, "s", start_us)) {
        pgw_retry_budgets_count_retry(budgets, "s", start_us);
        count++;
    }
    g_assert_cmpuint(count, ==, 20 + 10);
    g_assert_true(pgw_retry_budgets_has_room(budgets, "other", start_us));
    g_assert_false(
        pgw_retry_budgets_has_room(budgets, "s", start_us + 10000000));
    g_assert_true(
        pgw_retry_budgets_has_room(budgets, "s", start_us + 11000000));
    pgw_retry_budgets_free(budgets);
}

/*
 * Guards against a limit that is exceeded after runs went on from copies: they
 * used what was left of it, and the bucket's retries came on top. 100 requests
 * a second, and a caller of retries that takes all it gets.
 */
static void
test_others_keep_the_limit_after_reserved(void)
{
    struct pgw_retry_budgets_options options = {
        .share_permille = 200, .slack = 40, .entries = 4};
    struct pgw_retry_budgets *budgets = pgw_retry_budgets_new(&options);
    unsigned taken[40] = {0};

    for (unsigned second = 0; second < 40; second++) {
        uint64_t now_us = (50 + second) * 1000000ULL;

        for (unsigned i = 0; i < 100; i++) {
            pgw_retry_budgets_deposit(budgets, "s");
            pgw_retry_budgets_count_request(budgets, "s", now_us);
        }
        while (second >= 15 &&
               pgw_retry_budgets_take(budgets, "s", second == 15, now_us)) {
            taken[second]++;
        }
    }
    for (unsigned from = 0; from + 10 <= 40; from++) {
        unsigned sum = 0;

        for (unsigned i = 0; i < 10; i++) {
            sum += taken[from + i];
        }
        g_assert_cmpuint(sum, <=, 100 * 10 / 5 + 10);
    }
    g_assert_cmpuint(taken[15], ==, 100 * 10 / 5 + 10);
    pgw_retry_budgets_free(budgets);
}

/* Guards earlier deployments: without reserved retries the bucket alone
 * decides. */
static void
test_bucket_decides_without_reserved(void)
{
    struct pgw_retry_budgets_options options = {
        .share_permille = 200, .slack = 40, .entries = 4};
    struct pgw_retry_budgets *budgets = pgw_retry_budgets_new(&options);
    unsigned count = 0;

    for (unsigned i = 0; i < 10; i++) {
        pgw_retry_budgets_count_retry(budgets, "s", 50000000);
    }
    while (pgw_retry_budgets_take(budgets, "s", false, 50000000)) {
        count++;
    }
    g_assert_cmpuint(count, ==, 10);
    pgw_retry_budgets_free(budgets);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/retry_budgets/services", test_services_have_own_budgets);
    g_test_add_func("/retry_budgets/slack",
                    test_slack_is_divided_among_entries);
    g_test_add_func("/retry_budgets/window", test_window_keeps_the_limit);
    g_test_add_func("/retry_budgets/after_reserved",
                    test_others_keep_the_limit_after_reserved);
    g_test_add_func("/retry_budgets/bucket_alone",
                    test_bucket_decides_without_reserved);
    return g_test_run();
}
