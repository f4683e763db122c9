#include "gateway/config/route_table.h"
#include <string.h>

static void
add_route(struct pgw_route_table *table, const char *host, const char *prefix,
          const char *service)
{
    struct pgw_route route = {
        .name = g_strdup(prefix),
        .host = g_strdup(host),
        .path_prefix = g_strdup(prefix),
        .targets = g_new0(struct pgw_route_target, 2),
        .target_count = 2,
    };

    route.targets[0].service = g_strdup(service);
    route.targets[0].weight = 9;
    route.targets[1].service = g_strdup("other");
    route.targets[1].weight = 1;
    pgw_route_table_add_route(table, &route);
}

static struct pgw_route_table *
make_table(void)
{
    static const char *const keys[] = {"k1", "k2", NULL};
    struct pgw_route_table *table = pgw_route_table_new(7);
    struct pgw_workspace workspace = {.name = g_strdup("w"), .isolated = true};

    add_route(table, "a.example", "/x/", "short");
    add_route(table, "a.example", "/x/y/", "long");
    add_route(table, "b.example", "/", "all");
    pgw_route_table_add_workspace(table, &workspace, keys);
    return table;
}

static const char *
match_prefix(const struct pgw_route_table *table, const char *host,
             const char *target)
{
    const struct pgw_route *route = pgw_route_table_match(table, host, target);

    return route == NULL ? NULL : route->path_prefix;
}

static void
test_longest_prefix_of_the_host(void)
{
    struct pgw_route_table *table = make_table();

    g_assert_cmpstr(match_prefix(table, "a.example", "/x/1"), ==, "/x/");
    g_assert_cmpstr(match_prefix(table, "a.example", "/x/y/1"), ==, "/x/y/");
    g_assert_cmpstr(match_prefix(table, "A.Example:8080", "/x/y/"), ==,
                    "/x/y/");
    g_assert_cmpstr(match_prefix(table, "a.example", "/x?/y/"), ==, NULL);
    g_assert_cmpstr(match_prefix(table, "a.example", "/"), ==, NULL);
    g_assert_cmpstr(match_prefix(table, "b.example", "/x/y/"), ==, "/");
    g_assert_cmpstr(match_prefix(table, "c.example", "/x/"), ==, NULL);
    pgw_route_table_unref(table);
}

/*
 * Guards against a table whose cost grows with the number of routes, which
 * would block the loop while callers wait. Adds 100,000 routes to one host and
 * finds each of them. A table that sorts after each added route, or scans all
 * routes for each request, does not finish within the test's time limit.
 */
static void
test_many_routes(void)
{
    struct pgw_route_table *table = make_table();
    const unsigned count = 100000;

    for (unsigned i = 0; i < count; i++) {
        char *prefix = g_strdup_printf("/x/many/%u/", i);

        add_route(table, "a.example", prefix, "s");
        g_free(prefix);
    }
    for (unsigned i = 0; i < count; i++) {
        char *prefix = g_strdup_printf("/x/many/%u/", i);
        char *target = g_strconcat(prefix, "below/1", NULL);

        g_assert_cmpstr(match_prefix(table, "a.example", target), ==, prefix);
        g_free(target);
        g_free(prefix);
    }
    g_assert_cmpstr(match_prefix(table, "a.example", "/x/many/"), ==, "/x/");
    g_assert_cmpstr(match_prefix(table, "a.example", "/x/y/1"), ==, "/x/y/");
    pgw_route_table_unref(table);
}

static void
test_keys(void)
{
    struct pgw_route_table *table = make_table();

    g_assert_true(pgw_route_table_requires_keys(table));
    g_assert_cmpstr(pgw_route_table_workspace(table, "k2")->name, ==, "w");
    g_assert_null(pgw_route_table_workspace(table, "k3"));
    pgw_route_table_unref(table);
}

static void
test_weights(void)
{
    struct pgw_route_table *table = make_table();
    const struct pgw_route *route =
        pgw_route_table_match(table, "a.example", "/x/");
    unsigned others = 0;

    for (uint64_t i = 0; i < 100; i++) {
        others += strcmp(pgw_route_pick(route, i), "other") == 0;
    }
    g_assert_cmpuint(others, ==, 10);
    pgw_route_table_unref(table);
}

/* Guards against a single KV store that gets all traffic: prompts are divided
 * over three stores, and each prompt always has the same one. */
static void
test_prompts_are_divided_over_kv_stores(void)
{
    struct pgw_route_table *table = pgw_route_table_new(1);
    GHashTable *counts = g_hash_table_new(g_str_hash, g_str_equal);

    for (unsigned i = 0; i < 3; i++) {
        struct pgw_service service = {
            .name = g_strdup_printf("kv%u", i),
            .is_kv_store = true,
            .store_address = g_strdup_printf("127.0.0.1:%u", 9000 + i),
        };

        pgw_route_table_add_service(table, &service);
    }
    for (uint64_t part = 1; part <= 3000; part++) {
        const struct pgw_service *store =
            pgw_route_table_kv_store(table, part);
        unsigned count =
            GPOINTER_TO_UINT(g_hash_table_lookup(counts, store->name));

        g_assert_true(store == pgw_route_table_kv_store(table, part));
        g_hash_table_insert(counts, store->name, GUINT_TO_POINTER(count + 1));
    }
    for (unsigned i = 0; i < 3; i++) {
        char name[8];

        g_snprintf(name, sizeof(name), "kv%u", i);
        g_assert_cmpuint(GPOINTER_TO_UINT(g_hash_table_lookup(counts, name)),
                         >, 800);
    }
    g_hash_table_destroy(counts);
    pgw_route_table_unref(table);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/route_table/longest_prefix",
                    test_longest_prefix_of_the_host);
    g_test_add_func("/route_table/many", test_many_routes);
    g_test_add_func("/route_table/keys", test_keys);
    g_test_add_func("/route_table/weights", test_weights);
    g_test_add_func("/route_table/kv_stores",
                    test_prompts_are_divided_over_kv_stores);
    return g_test_run();
}
