#include "gateway/quota/retry_budgets.h"

/* The deployment's limit holds for each ten seconds. One slot more, since the
 * current one is incomplete: the window is never shorter for retries. */
#define WINDOW_SLOTS 11
#define SLOT_US 1000000ULL

/*
 * Requests and retries of one service, by second.
 * @slot: number of the second that an item counts
 * @borrowed: retries that the bucket did not give
 */
struct retry_window {
    struct {
        uint64_t slot;
        uint32_t requests;
        uint32_t retries;
        uint32_t borrowed;
    } items[WINDOW_SLOTS];
};

struct pgw_retry_budgets {
    struct pgw_retry_budgets_options options;
    GHashTable *by_service;
    GHashTable *windows; /* service -> struct retry_window */
};

struct pgw_retry_budgets *
pgw_retry_budgets_new(const struct pgw_retry_budgets_options *options)
{
    struct pgw_retry_budgets *budgets = g_new0(struct pgw_retry_budgets, 1);

    budgets->options = *options;
    budgets->by_service =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                              (GDestroyNotify)pgw_retry_budget_free);
    budgets->windows =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return budgets;
}

void
pgw_retry_budgets_free(struct pgw_retry_budgets *budgets)
{
    g_hash_table_destroy(budgets->by_service);
    g_hash_table_destroy(budgets->windows);
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

static struct retry_window *
get_window(struct pgw_retry_budgets *budgets, const char *service)
{
    struct retry_window *window =
        g_hash_table_lookup(budgets->windows, service);

    if (window == NULL) {
        window = g_new0(struct retry_window, 1);
        g_hash_table_insert(budgets->windows, g_strdup(service), window);
    }
    return window;
}

static void
count(struct pgw_retry_budgets *budgets, const char *service, uint64_t now_us,
      uint32_t requests, uint32_t retries, uint32_t borrowed)
{
    struct retry_window *window = get_window(budgets, service);
    uint64_t slot = now_us / SLOT_US;
    size_t i = slot % WINDOW_SLOTS;

    if (window->items[i].slot != slot) {
        window->items[i].slot = slot;
        window->items[i].requests = 0;
        window->items[i].retries = 0;
        window->items[i].borrowed = 0;
    }
    window->items[i].requests += requests;
    window->items[i].retries += retries;
    window->items[i].borrowed += borrowed;
}

void
pgw_retry_budgets_count_request(struct pgw_retry_budgets *budgets,
                                const char *service, uint64_t now_us)
{
    count(budgets, service, now_us, 1, 0, 0);
}

void
pgw_retry_budgets_count_retry(struct pgw_retry_budgets *budgets,
                              const char *service, uint64_t now_us)
{
    count(budgets, service, now_us, 0, 1, 0);
}

bool
pgw_retry_budgets_has_room(struct pgw_retry_budgets *budgets,
                           const char *service, uint64_t now_us)
{
    const struct retry_window *window = get_window(budgets, service);
    uint64_t slot = now_us / SLOT_US;
    uint64_t requests = 0;
    uint64_t retries = 1;

    for (size_t i = 0; i < WINDOW_SLOTS; i++) {
        uint64_t age = slot - window->items[i].slot;

        if (window->items[i].slot > slot || age >= WINDOW_SLOTS) {
            continue;
        }
        retries += window->items[i].retries;
        /* The oldest second may lie outside of the limit's window. */
        requests += age + 1 < WINDOW_SLOTS ? window->items[i].requests : 0;
    }
    return retries * 1000 <= requests * budgets->options.share_permille +
                                 (uint64_t)slack_per_entry(budgets) * 1000;
}

static bool
has_borrowed(struct pgw_retry_budgets *budgets, const char *service,
             uint64_t now_us)
{
    const struct retry_window *window = get_window(budgets, service);
    uint64_t slot = now_us / SLOT_US;

    for (size_t i = 0; i < WINDOW_SLOTS; i++) {
        if (window->items[i].borrowed > 0 && window->items[i].slot <= slot &&
            slot - window->items[i].slot < WINDOW_SLOTS) {
            return true;
        }
    }
    return false;
}

/*
 * Failure: reserved retries use all that is left of the limit, and the bucket
 * gives others as before. Symptom: the deployment's limit is exceeded, by up
 * to as much again. The bucket keeps the limit by itself only while nothing
 * was taken past it.
 */
bool
pgw_retry_budgets_take(struct pgw_retry_budgets *budgets, const char *service,
                       bool reserved, uint64_t now_us)
{
    bool has_room = pgw_retry_budgets_has_room(budgets, service, now_us);
    bool borrows;

    if (!has_room && has_borrowed(budgets, service, now_us)) {
        return false;
    }
    borrows = !pgw_retry_budgets_withdraw(budgets, service);
    if (borrows && (!reserved || !has_room)) {
        return false;
    }
    count(budgets, service, now_us, 0, 1, borrows);
    return true;
}
