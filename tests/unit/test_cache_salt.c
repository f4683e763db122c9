#include "gateway/request/exchange.h"
#include "scene_gateway.h"
#include <string.h>
#include <unistd.h>

#define LONG_NAME                                                             \
    "a-workspace-whose-name-has-more-than-one-hundred-bytes-and-differs-"     \
    "from-another-one-in-its-last-byte-only-"

/**
 * struct member - a workspace of a configuration
 * @name: its name; its key is the same, NULL ends a list
 */
struct member {
    const char *name;
    bool isolated;
};

static struct pgw_route_table *next_table;

static void
apply_table(struct scene *scene)
{
    pgw_gateway_set_routes(scene->gateway, next_table);
    pgw_route_table_unref(next_table);
}

static void
configure(struct scene *scene, uint64_t version, const struct member *members)
{
    struct pgw_route route = {
        .name = g_strdup("r"),
        .host = g_strdup("h.example"),
        .path_prefix = g_strdup("/"),
        .targets = g_new0(struct pgw_route_target, 1),
        .target_count = 1,
        .repeatable = true,
        .timeout_ms = SCENE_TIMEOUT_S * 1000,
        .max_attempts = 1,
    };

    route.targets[0] =
        (struct pgw_route_target){.service = g_strdup("service"), .weight = 1};
    next_table = pgw_route_table_new(version);
    pgw_route_table_add_route(next_table, &route);
    pgw_route_table_add_service(
        next_table, &(struct pgw_service){.name = g_strdup("service")});
    for (; members->name != NULL; members++) {
        const char *keys[] = {members->name, NULL};
        struct pgw_workspace workspace = {
            .name = g_strdup(members->name),
            .isolated = members->isolated,
        };

        pgw_route_table_add_workspace(next_table, &workspace, keys);
    }
    scene_run(scene, apply_table);
}

static void
set_weights(struct scene *scene)
{
    pgw_upstream_set_version(
        pgw_upstream_table_find(pgw_gateway_upstreams(scene->gateway), "u0"),
        "m", 1);
}

static struct scene *
engine_scene(void)
{
    struct scene *scene = scene_new(1);

    scene_run(scene, set_weights);
    return scene;
}

/* Sends a prompt of a workspace and returns its salt, to be freed. */
static char *
salt_of_attempt(struct scene *scene, const char *workspace, const char *id)
{
    int caller = scene_call_with_key_and_prompt(scene, workspace, "/x", id);
    int upstream = scene_accept(scene, 0);
    char *request = scene_read_request(upstream);
    char *salt = strstr(request, "\r\nCache-Salt: ");

    g_assert_nonnull(salt);
    salt += strlen("\r\nCache-Salt: ");
    salt = g_strndup(salt, strcspn(salt, "\r"));
    g_free(request);
    scene_answer(upstream, id, 200, "Connection: close\r\n", "ok");
    g_free(scene_read_until(caller, "ok"));
    close(caller);
    close(upstream);
    return salt;
}

static char *
salt_of(struct scene *scene, const char *workspace)
{
    return salt_of_attempt(scene, workspace, workspace);
}

/* Guards against workspaces that find what one of them had cached before it
 * became isolated. */
static void
test_isolated_workspace_leaves_its_parts(void)
{
    static const struct member before[] = {{"a", false}, {"b", false}, {0}};
    static const struct member after[] = {{"a", true}, {"b", false}, {0}};
    struct scene *scene = engine_scene();
    char *shared;
    char *rest;
    char *alone;

    configure(scene, 1, before);
    shared = salt_of(scene, "a");
    rest = salt_of(scene, "b");
    g_assert_cmpstr(shared, ==, rest);
    g_free(rest);
    configure(scene, 2, after);
    rest = salt_of(scene, "b");
    alone = salt_of(scene, "a");
    g_assert_cmpstr(rest, !=, shared);
    g_assert_cmpstr(alone, !=, shared);
    g_assert_cmpstr(alone, !=, rest);
    g_free(alone);
    g_free(rest);
    g_free(shared);
    scene_free(scene);
}

/* Guards against prompts that are read again since a configuration came that
 * leaves the isolated workspaces as they are. */
static void
test_cached_parts_outlive_a_configuration(void)
{
    static const struct member before[] = {
        {"a", true}, {"b", false}, {"c", false}, {0}};
    static const struct member after[] = {
        {"d", false}, {"b", false}, {"a", true}, {0}};
    struct scene *scene = engine_scene();
    char *salts[4];

    configure(scene, 1, before);
    salts[0] = salt_of(scene, "a");
    salts[1] = salt_of(scene, "b");
    configure(scene, 2, after);
    salts[2] = salt_of(scene, "a");
    salts[3] = salt_of(scene, "b");
    g_assert_cmpstr(salts[0], ==, salts[2]);
    g_assert_cmpstr(salts[1], ==, salts[3]);
    for (size_t i = 0; i < G_N_ELEMENTS(salts); i++) {
        g_free(salts[i]);
    }
    scene_free(scene);
}

/* Guards against isolated workspaces with long names that share parts, as
 * their names are cut. */
static void
test_long_names_stay_apart(void)
{
    static const struct member members[] = {
        {LONG_NAME "1", true}, {LONG_NAME "2", true}, {0}};
    struct scene *scene = engine_scene();
    char *first;
    char *second;

    configure(scene, 1, members);
    first = salt_of(scene, LONG_NAME "1");
    second = salt_of(scene, LONG_NAME "2");
    g_assert_cmpstr(first, !=, second);
    g_free(first);
    g_free(second);
    scene_free(scene);
}

/* Guards against requests with the same id, or with long ids that are cut,
 * that share parts while the version of an engine's weights is not known. */
static void
test_unknown_weights_share_nothing(void)
{
    static const struct member members[] = {{"a", true}, {"b", true}, {0}};
    struct scene *scene = scene_new(1);
    char *salts[4];

    configure(scene, 1, members);
    salts[0] = salt_of_attempt(scene, "a", "x");
    salts[1] = salt_of_attempt(scene, "b", "x");
    salts[2] = salt_of_attempt(scene, "a", LONG_NAME "1");
    salts[3] = salt_of_attempt(scene, "a", LONG_NAME "2");
    g_assert_cmpstr(salts[0], !=, salts[1]);
    g_assert_cmpstr(salts[2], !=, salts[3]);
    for (size_t i = 0; i < G_N_ELEMENTS(salts); i++) {
        g_free(salts[i]);
    }
    scene_free(scene);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/cache_salt/isolated_workspace_leaves_its_parts",
                    test_isolated_workspace_leaves_its_parts);
    g_test_add_func("/cache_salt/cached_parts_outlive_a_configuration",
                    test_cached_parts_outlive_a_configuration);
    g_test_add_func("/cache_salt/long_names_stay_apart",
                    test_long_names_stay_apart);
    g_test_add_func("/cache_salt/unknown_weights_share_nothing",
                    test_unknown_weights_share_nothing);
    return g_test_run();
}
