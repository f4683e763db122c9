#include "gateway/cached_parts.h"

static void
take(struct pgw_cached_parts *parts, uint64_t epoch, bool gap, uint64_t number,
     uint64_t key, uint32_t tokens)
{
    struct pgw_cache_event event = {
        .number = number, .key = key, .tokens = tokens};
    struct pgw_cache_events events = {
        .epoch = epoch,
        .next = number + 1,
        .gap = gap,
        .events = &event,
        .count = 1,
    };

    pgw_cached_parts_apply_events(parts, &events);
}

static void
expect_words(struct pgw_cached_parts *parts, bool far, size_t most,
             const char *expected)
{
    GArray *words = pgw_cached_parts_changes(parts, far, most);
    GString *text = g_string_new(NULL);

    for (unsigned i = 0; i < words->len; i++) {
        const struct pgw_part_update *word =
            &g_array_index(words, struct pgw_part_update, i);

        g_string_append_printf(text, "%s%" G_GUINT64_FORMAT ":%u%s",
                               i == 0 ? "" : " ", word->key, word->tokens,
                               word->expected ? "?" : "");
    }
    g_assert_cmpstr(text->str, ==, expected);
    g_string_free(text, TRUE);
    g_array_unref(words);
}

/* An entry asks for a part, which the others hear at once; then the engine
 * holds it, and drops it again. What nobody asks for is told to nobody. */
static void
test_follow(void)
{
    struct pgw_cached_parts parts;

    pgw_cached_parts_init(&parts);
    take(&parts, 1, false, 1, 9, 700);
    expect_words(&parts, false, 9, "");
    pgw_cached_parts_expect(&parts, 7, 5000, 0);
    expect_words(&parts, false, 9, "7:5000?");
    expect_words(&parts, true, 9, "7:5000?");
    take(&parts, 1, false, 2, 7, 5000);
    expect_words(&parts, false, 9, "7:5000");
    expect_words(&parts, true, 9, "7:5000");
    g_assert_cmpuint(pgw_cached_parts_tokens(&parts, 7), ==, 5000);
    g_assert_cmpuint(parts.next, ==, 3);
    take(&parts, 1, false, 3, 7, 0);
    expect_words(&parts, false, 9, "7:0");
    expect_words(&parts, true, 9, "7:0");
    /* It holds this one already: the others hear that it does. */
    pgw_cached_parts_expect(&parts, 9, 700, 0);
    expect_words(&parts, false, 9, "9:700");
    pgw_cached_parts_dispose(&parts);
}

/* There is no room for all: the largest go first, the rest follows, and what
 * has come and gone in between is not told. */
static void
test_largest_go_first(void)
{
    struct pgw_cached_parts parts;

    pgw_cached_parts_init(&parts);
    for (uint64_t key = 1; key <= 4; key++) {
        pgw_cached_parts_expect(&parts, key, 0, 0);
        take(&parts, 1, false, key, key, (uint32_t)(key * 100));
    }
    expect_words(&parts, true, 2, "4:400 3:300");
    take(&parts, 1, false, 5, 2, 0);
    expect_words(&parts, true, 2, "1:100");
    take(&parts, 1, false, 6, 4, 0);
    take(&parts, 1, false, 7, 2, 200);
    expect_words(&parts, true, 1, "4:0");
    expect_words(&parts, true, 1, "2:200");
    g_assert_false(pgw_cached_parts_has_changes(&parts, true));
    pgw_cached_parts_dispose(&parts);
}

/* An entry that connects hears of all that is asked for; one of another zone
 * of what the others there have heard. */
static void
test_new_entry_hears_all(void)
{
    struct pgw_cached_parts parts;
    GArray *all;

    pgw_cached_parts_init(&parts);
    for (uint64_t key = 1; key <= 3; key++) {
        take(&parts, 1, false, key, key, (uint32_t)(key * 100));
    }
    pgw_cached_parts_expect(&parts, 1, 100, 0);
    pgw_cached_parts_expect(&parts, 2, 100, 0);
    expect_words(&parts, true, 1, "2:200");
    all = pgw_cached_parts_snapshot(&parts, false);
    g_assert_cmpuint(all->len, ==, 2);
    g_array_unref(all);
    all = pgw_cached_parts_snapshot(&parts, true);
    g_assert_cmpuint(all->len, ==, 1);
    g_array_unref(all);
    pgw_cached_parts_dispose(&parts);
}

/* The engine crashes and comes back empty, or its newest events have pushed
 * out older ones: nothing of before counts as held. */
static void
test_lost_history(void)
{
    for (unsigned restart = 0; restart < 2; restart++) {
        struct pgw_cached_parts parts;

        pgw_cached_parts_init(&parts);
        take(&parts, 1, false, 1, 7, 5000);
        g_array_unref(pgw_cached_parts_changes(&parts, true, 9));
        take(&parts, 1 + restart, !restart, 9, 8, 6000);
        g_assert_cmpuint(pgw_cached_parts_tokens(&parts, 7), ==, 0);
        g_assert_cmpuint(pgw_cached_parts_tokens(&parts, 8), ==, 6000);
        g_assert_true(parts.reset);
        g_assert_true(parts.remote_reset);
        pgw_cached_parts_dispose(&parts);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/held_parts/follow", test_follow);
    g_test_add_func("/held_parts/largest_first", test_largest_go_first);
    g_test_add_func("/held_parts/new_entry", test_new_entry_hears_all);
    g_test_add_func("/held_parts/lost_history", test_lost_history);
    return g_test_run();
}
