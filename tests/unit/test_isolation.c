#include "gateway/config/isolation.h"
#include <string.h>

/* Workspaces of a configuration: a name in capitals is isolated. */
static void
configure(struct pgw_isolation *isolation, uint64_t version, const char *names)
{
    struct pgw_route_table *table = pgw_route_table_new(version);
    static const char *const no_keys[] = {NULL};

    for (; *names != '\0'; names++) {
        struct pgw_workspace workspace = {
            .name = g_strdup_printf("%c", g_ascii_tolower(*names)),
            .isolated = g_ascii_isupper(*names),
        };

        pgw_route_table_add_workspace(table, &workspace, no_keys);
    }
    pgw_isolation_set_routes(isolation, table);
    pgw_route_table_unref(table);
}

/* Stores what @from would write, as @to reads it; returns whether it would. */
static bool
store(struct pgw_isolation *to, const struct pgw_isolation *from)
{
    uint64_t version;
    const char **names = pgw_isolation_next_record(&version, from);

    if (names == NULL) {
        return false;
    }
    pgw_isolation_set_record(to, version, names);
    g_free(names);
    return true;
}

static struct pgw_isolation *
new_isolation(void)
{
    struct pgw_isolation *isolation = pgw_isolation_new();

    pgw_isolation_set_record(isolation, 0, NULL);
    return isolation;
}

/* Guards against scopes that change with anything else than the isolated
 * workspaces, or do not change with these. */
static void
test_scope_follows_the_isolated(void)
{
    struct pgw_isolation *isolation = new_isolation();
    const char *first;
    const char *second;

    configure(isolation, 1, "ab");
    first = pgw_isolation_scope(isolation, "b");
    g_assert_true(first == pgw_isolation_scope(isolation, "a"));
    g_assert_true(first == pgw_isolation_scope(isolation, NULL));
    configure(isolation, 2, "bca");
    g_assert_true(first == pgw_isolation_scope(isolation, "b"));
    configure(isolation, 3, "bcA");
    second = pgw_isolation_scope(isolation, "b");
    g_assert_true(second != first);
    g_assert_true(second == pgw_isolation_scope(isolation, "c"));
    g_assert_true(second != pgw_isolation_scope(isolation, "a"));
    configure(isolation, 4, "BcA");
    g_assert_true(second != pgw_isolation_scope(isolation, "c"));
    g_assert_true(pgw_isolation_scope(isolation, "b") !=
                  pgw_isolation_scope(isolation, "a"));
    configure(isolation, 5, "bcA");
    g_assert_true(second == pgw_isolation_scope(isolation, "b"));
    configure(isolation, 6, "abc");
    g_assert_true(first == pgw_isolation_scope(isolation, "a"));
    pgw_isolation_free(isolation);
}

/* Guards against workspaces that return to what one had cached before it was
 * isolated, once it is removed, also at an entry that has just started. */
static void
test_removed_workspace_stays_isolated(void)
{
    struct pgw_isolation *isolation = new_isolation();
    struct pgw_isolation *restarted = pgw_isolation_new();
    const char *shared;
    const char *apart;

    configure(isolation, 1, "ab");
    shared = pgw_isolation_scope(isolation, "b");
    configure(isolation, 2, "Ab");
    apart = pgw_isolation_scope(isolation, "b");
    g_assert_true(store(restarted, isolation));
    configure(isolation, 3, "b");
    g_assert_true(apart == pgw_isolation_scope(isolation, "b"));
    configure(restarted, 3, "b");
    g_assert_true(apart == pgw_isolation_scope(restarted, "b"));
    /* It comes back and shares its parts. */
    configure(restarted, 4, "ab");
    g_assert_true(shared == pgw_isolation_scope(restarted, "b"));
    pgw_isolation_free(restarted);
    pgw_isolation_free(isolation);
}

/* Guards against entries that derive different scopes, as one reads the record
 * before its configuration and another one after it. */
static void
test_order_does_not_matter(void)
{
    static const char *const names[] = {"a", "x", NULL};
    struct pgw_isolation *first = pgw_isolation_new();
    struct pgw_isolation *second = pgw_isolation_new();

    pgw_isolation_set_record(first, 5, names);
    configure(first, 6, "abC");
    configure(second, 6, "abC");
    pgw_isolation_set_record(second, 5, names);
    g_assert_true(pgw_isolation_scope(first, "b") ==
                  pgw_isolation_scope(second, "b"));
    g_assert_true(pgw_isolation_scope(first, "b") ==
                  pgw_isolation_scope(first, "a"));
    pgw_isolation_free(first);
    pgw_isolation_free(second);
}

/* Guards against an entry whose configuration is old, as behind a restored
 * store, and that undoes what a newer one has isolated. */
static void
test_newer_record_holds(void)
{
    static const char *const names[] = {"a", NULL};
    struct pgw_isolation *isolation = pgw_isolation_new();
    uint64_t version;

    pgw_isolation_set_record(isolation, 9, names);
    configure(isolation, 5, "ab");
    g_assert_true(pgw_isolation_scope(isolation, "a") !=
                  pgw_isolation_scope(isolation, "b"));
    g_assert_null(pgw_isolation_next_record(&version, isolation));
    configure(isolation, 9, "ab");
    g_assert_true(pgw_isolation_scope(isolation, "a") ==
                  pgw_isolation_scope(isolation, "b"));
    pgw_isolation_free(isolation);
}

/* Guards against writes that say nothing, and before the record was read. */
static void
test_record_is_written_once(void)
{
    struct pgw_isolation *isolation = pgw_isolation_new();
    struct pgw_isolation *other = new_isolation();

    configure(isolation, 1, "Ab");
    g_assert_false(store(other, isolation));
    pgw_isolation_set_record(isolation, 0, NULL);
    g_assert_true(store(other, isolation));
    g_assert_true(store(isolation, isolation));
    g_assert_false(store(other, isolation));
    configure(other, 1, "Ab");
    g_assert_false(store(isolation, other));
    configure(isolation, 2, "Abc");
    g_assert_false(store(other, isolation));
    configure(isolation, 3, "abc");
    g_assert_true(store(other, isolation));
    pgw_isolation_free(other);
    pgw_isolation_free(isolation);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/isolation/scope_follows_the_isolated",
                    test_scope_follows_the_isolated);
    g_test_add_func("/isolation/removed_workspace_stays_isolated",
                    test_removed_workspace_stays_isolated);
    g_test_add_func("/isolation/order_does_not_matter",
                    test_order_does_not_matter);
    g_test_add_func("/isolation/newer_record_holds", test_newer_record_holds);
    g_test_add_func("/isolation/record_is_written_once",
                    test_record_is_written_once);
    return g_test_run();
}
