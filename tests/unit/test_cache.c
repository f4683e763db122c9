#include <parsleygw/cache.h>

static const struct pgw_level_salt salt = {"labels", "m", "", "w1"};
static const struct pgw_cache_source source = {9, "w1", 1};
static const struct pgw_request_id request = {{1}};

/* Creates a view with the two blocks of a prompt of 32 tokens. */
static struct pgw_cache *
view_with_prompt(struct pgw_level_chain *chain)
{
    struct pgw_cache *cache = pgw_cache_new(NULL);
    char prompt[128] = {0};
    struct pgw_cache_event events[] = {
        {2, PGW_CACHE_STORED, request, 12, 11, 32},
        {1, PGW_CACHE_STORED, request, 11, 0, 16},
    };

    g_assert_true(pgw_level_chain_init(chain, &salt, prompt, sizeof(prompt),
                                       NULL, 0, 4));
    g_assert_true(pgw_cache_set_engine(cache, &source, 2));
    pgw_cache_record_request(cache, &request, chain, &salt, 3);
    pgw_cache_apply(cache, &source, events, 2, 2, 4);
    return cache;
}

static void
test_level_of_another_workspace_never_matches(void)
{
    struct pgw_level_chain chain;
    struct pgw_cache *cache = view_with_prompt(&chain);
    uint32_t hint;

    g_assert_cmpuint(pgw_cache_match(cache, "labels", &chain, 5, NULL), ==,
                     32);
    g_assert_cmpuint(pgw_cache_match(cache, "other", &chain, 5, &hint), ==, 0);
    g_assert_cmpuint(hint, ==, 0);
    g_assert_cmpuint(pgw_cache_last_block(cache, "labels", &chain), ==, 12);
    g_assert_cmpuint(pgw_cache_last_block(cache, "other", &chain), ==, 0);
    pgw_cache_free(cache);
}

static void
test_first_token_gives_hint_and_counts_overestimate(void)
{
    struct pgw_level_chain chain;
    struct pgw_cache *cache = view_with_prompt(&chain);
    struct pgw_cache_event eviction = {3, PGW_CACHE_EVICTED, {{0}}, 11, 0, 0};
    struct pgw_cache_stats stats;
    uint32_t hint;

    pgw_cache_record_request(cache, &request, &chain, &salt, 5);
    pgw_cache_apply(cache, &source, &eviction, 1, 3, 6);
    pgw_cache_record_first_token(cache, &request, &source, 16, 7);
    g_assert_cmpuint(pgw_cache_match(cache, "labels", &chain, 8, &hint), ==,
                     0);
    g_assert_cmpuint(hint, ==, 32);
    g_assert_cmpuint(pgw_cache_match(cache, "labels", &chain, 99999999, &hint),
                     ==, 0);
    g_assert_cmpuint(hint, ==, 0);
    pgw_cache_stats_get(&stats, cache);
    g_assert_cmpuint(stats.overestimated_tokens, ==, 16);
    pgw_cache_free(cache);
}

static void
test_sync_is_due_once_per_interval(void)
{
    struct pgw_level_chain chain;
    struct pgw_cache *cache = view_with_prompt(&chain);
    struct pgw_cache_block list[] = {{12, 11}, {11, 0}};

    g_assert_false(pgw_cache_sync_is_due(cache, 5));
    pgw_cache_apply(cache, &source, NULL, 0, 5, 6);
    g_assert_cmpuint(pgw_cache_match(cache, "labels", &chain, 7, NULL), ==, 0);
    g_assert_true(pgw_cache_sync_is_due(cache, 8));
    g_assert_false(pgw_cache_sync_is_due(cache, 9));
    g_assert_false(pgw_cache_sync(cache, &source, 4, list, 2, 10));
    g_assert_true(pgw_cache_sync_is_due(cache, 2000000));
    g_assert_true(pgw_cache_sync(cache, &source, 5, list, 2, 2000001));
    g_assert_false(pgw_cache_sync_is_due(cache, 9000000));
    g_assert_cmpuint(pgw_cache_match(cache, "labels", &chain, 9000000, NULL),
                     ==, 32);
    pgw_cache_free(cache);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/cache/level-of-another-workspace-never-matches",
                    test_level_of_another_workspace_never_matches);
    g_test_add_func("/cache/first-token-gives-hint",
                    test_first_token_gives_hint_and_counts_overestimate);
    g_test_add_func("/cache/sync-is-due-once-per-interval",
                    test_sync_is_due_once_per_interval);
    return g_test_run();
}
