#include "gateway/quota/retry_budgets.h"

struct pgw_retry_budgets {
    struct pgw_retry_budgets_options options;
    GHashTable *by_service;
};

struct pgw_retry_budgets *
pgw_retry_budgets_new(const struct pgw_retry_budgets_options *options)
{
    struct pgw_retry_budgets *budgets = g_new0(struct pgw_retry_budgets, 1);

    budgets->options = *options;
    budgets->by_service =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                              (GDestroyNotify)pgw_retry_budget_free);
    return budgets;
}

void
pgw_retry_budgets_free(struct pgw_retry_budgets *budgets)
{
    g_hash_table_destroy(budgets->by_service);
    g_free(budgets);
}

static uint32_t
slack_per_entry(const struct pgw_retry_budgets *budgets)
{
    return MAX(budgets->options.slack / MAX(budgets->options.entries, 1), 1);
}

void
pgw_retry_budgets_set_entries(struct pgw_retry_budgets *budgets,
                              uint32_t entries)
{
    GHashTableIter iter;
    void *budget;

    if (entries == 0 || entries == budgets->options.entries) {
        return;
    }
    budgets->options.entries = entries;
    g_hash_table_iter_init(&iter, budgets->by_service);
    while (g_hash_table_iter_next(&iter, NULL, &budget)) {
        pgw_retry_budget_set_burst(budget, slack_per_entry(budgets));
    }
}

static struct pgw_retry_budget *
get_or_add(struct pgw_retry_budgets *budgets, const char *service)
{
    struct pgw_retry_budget *budget =
        g_hash_table_lookup(budgets->by_service, service);

    if (budget == NULL) {
        struct pgw_retry_options options = {
            .share_permille = budgets->options.share_permille,
            .burst = slack_per_entry(budgets),
        };

        budget = pgw_retry_budget_new(&options);
        g_hash_table_insert(budgets->by_service, g_strdup(service), budget);
    }
    return budget;
}

void
pgw_retry_budgets_deposit(struct pgw_retry_budgets *budgets,
                          const char *service)
{
    pgw_retry_budget_deposit(get_or_add(budgets, service));
}

bool
pgw_retry_budgets_withdraw(struct pgw_retry_budgets *budgets,
                           const char *service)
{
    return pgw_retry_budget_withdraw(get_or_add(budgets, service));
}
