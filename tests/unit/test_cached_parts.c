#include "gateway/upstream/cached_parts.h"

static void
apply_event(struct pgw_cached_parts *parts, uint64_t epoch, bool gap,
            uint64_t number, uint64_t key, uint32_t tokens)
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
expect_changes(struct pgw_cached_parts *parts, bool remote, size_t max_count,
               const char *expected)
{
    GArray *updates = pgw_cached_parts_changes(parts, remote, max_count);
    GString *text = g_string_new(NULL);

    for (unsigned i = 0; i < updates->len; i++) {
        const struct pgw_part_update *update =
            &g_array_index(updates, struct pgw_part_update, i);

        g_string_append_printf(text, "%s%" G_GUINT64_FORMAT ":%u%s",
                               i == 0 ? "" : " ", update->key, update->tokens,
                               update->expected ? "?" : "");
    }
    g_assert_cmpstr(text->str, ==, expected);
    g_string_free(text, TRUE);
    g_array_unref(updates);
}

/* An entry announces a part, which is reported to the others at once; then the
 * engine caches the part and evicts it again. A part that no entry has
 * requested is not reported. */
static void
test_changes_are_reported(void)
{
    struct pgw_cached_parts parts;

    pgw_cached_parts_init(&parts);
    apply_event(&parts, 1, false, 1, 9, 700);
    expect_changes(&parts, false, 9, "");
    pgw_cached_parts_expect(&parts, 7, 5000, 0);
    expect_changes(&parts, false, 9, "7:5000?");
    expect_changes(&parts, true, 9, "7:5000?");
    apply_event(&parts, 1, false, 2, 7, 5000);
    expect_changes(&parts, false, 9, "7:5000");
    expect_changes(&parts, true, 9, "7:5000");
    g_assert_cmpuint(pgw_cached_parts_tokens(&parts, 7), ==, 5000);
    g_assert_cmpuint(parts.next, ==, 3);
    apply_event(&parts, 1, false, 3, 7, 0);
    expect_changes(&parts, false, 9, "7:0");
    expect_changes(&parts, true, 9, "7:0");
    /* The part is cached already: it is reported as cached. */
    pgw_cached_parts_expect(&parts, 9, 700, 0);
    expect_changes(&parts, false, 9, "9:700");
    pgw_cached_parts_dispose(&parts);
}

/* When not all changes fit into a report, the largest go first and the others
 * follow later. A part that was cached and evicted in between is not reported.
 */
static void
test_largest_go_first(void)
{
    struct pgw_cached_parts parts;

    pgw_cached_parts_init(&parts);
    for (uint64_t key = 1; key <= 4; key++) {
        pgw_cached_parts_expect(&parts, key, 0, 0);
        apply_event(&parts, 1, false, key, key, (uint32_t)(key * 100));
    }
    expect_changes(&parts, true, 2, "4:400 3:300");
    apply_event(&parts, 1, false, 5, 2, 0);
    expect_changes(&parts, true, 2, "1:100");
    apply_event(&parts, 1, false, 6, 4, 0);
    apply_event(&parts, 1, false, 7, 2, 200);
    expect_changes(&parts, true, 1, "4:0");
    expect_changes(&parts, true, 1, "2:200");
    g_assert_false(pgw_cached_parts_has_changes(&parts, true));
    pgw_cached_parts_dispose(&parts);
}

/* An entry that connects gets all requested parts. An entry of a remote zone
 * gets what was reported to the others there. */
static void
test_snapshot_for_new_entry(void)
{
    struct pgw_cached_parts parts;
    GArray *all;

    pgw_cached_parts_init(&parts);
    for (uint64_t key = 1; key <= 3; key++) {
        apply_event(&parts, 1, false, key, key, (uint32_t)(key * 100));
    }
    pgw_cached_parts_expect(&parts, 1, 100, 0);
    pgw_cached_parts_expect(&parts, 2, 100, 0);
    expect_changes(&parts, true, 1, "2:200");
    all = pgw_cached_parts_snapshot(&parts, false);
    g_assert_cmpuint(all->len, ==, 2);
    g_array_unref(all);
    all = pgw_cached_parts_snapshot(&parts, true);
    g_assert_cmpuint(all->len, ==, 1);
    g_array_unref(all);
    pgw_cached_parts_dispose(&parts);
}

/* The engine restarts with an empty cache, or its events were overwritten by
 * newer ones: no earlier part counts as cached. */
static void
test_lost_events_reset(void)
{
    for (unsigned restart = 0; restart < 2; restart++) {
        struct pgw_cached_parts parts;

        pgw_cached_parts_init(&parts);
        apply_event(&parts, 1, false, 1, 7, 5000);
        g_array_unref(pgw_cached_parts_changes(&parts, true, 9));
        apply_event(&parts, 1 + restart, !restart, 9, 8, 6000);
        g_assert_cmpuint(pgw_cached_parts_tokens(&parts, 7), ==, 0);
        g_assert_cmpuint(pgw_cached_parts_tokens(&parts, 8), ==, 6000);
        g_assert_true(parts.local_reset);
        g_assert_true(parts.remote_reset);
        pgw_cached_parts_dispose(&parts);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/cached_parts/changes", test_changes_are_reported);
    g_test_add_func("/cached_parts/largest_first", test_largest_go_first);
    g_test_add_func("/cached_parts/snapshot", test_snapshot_for_new_entry);
    g_test_add_func("/cached_parts/lost_events", test_lost_events_reset);
    return g_test_run();
}
