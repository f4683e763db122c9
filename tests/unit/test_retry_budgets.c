#include "gateway/retry_budgets.h"

static unsigned
take_all(struct pgw_retry_budgets *budgets, const char *service)
{
    unsigned taken = 0;

    while (pgw_retry_budgets_withdraw(budgets, service)) {
        taken++;
    }
    return taken;
}

/*
 * All upstreams of a small service fail while a large one has much traffic.
 * The small service's repeats end with its own share: those of the large one
 * are not spent on it.
 */
static void
test_services_do_not_share(void)
{
    struct pgw_retry_budgets_options options = {
        .share_permille = 200, .slack = 40, .entries = 4};
    struct pgw_retry_budgets *budgets = pgw_retry_budgets_new(&options);

    g_assert_cmpuint(take_all(budgets, "small"), ==, 10);
    for (unsigned i = 0; i < 1000; i++) {
        pgw_retry_budgets_deposit(budgets, "large");
    }
    for (unsigned i = 0; i < 20; i++) {
        pgw_retry_budgets_deposit(budgets, "small");
    }
    g_assert_cmpuint(take_all(budgets, "small"), ==, 4);
    g_assert_cmpuint(take_all(budgets, "large"), ==, 10);
    pgw_retry_budgets_free(budgets);
}

/* 31 entries must not each spend an eighth of the slack. */
static void
test_slack_is_divided(void)
{
    struct pgw_retry_budgets_options options = {
        .share_permille = 200, .slack = 102, .entries = 8};
    struct pgw_retry_budgets *budgets = pgw_retry_budgets_new(&options);

    pgw_retry_budgets_deposit(budgets, "s");
    pgw_retry_budgets_set_entries(budgets, 31);
    g_assert_cmpuint(take_all(budgets, "s"), ==, 3);
    pgw_retry_budgets_set_entries(budgets, 0);
    g_assert_cmpuint(take_all(budgets, "new"), ==, 3);
    pgw_retry_budgets_free(budgets);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/budgets/services", test_services_do_not_share);
    g_test_add_func("/budgets/slack", test_slack_is_divided);
    return g_test_run();
}
