#include "decode.h"
#include "scene_gateway.h"
#include "util/log.h"
#include <string.h>
#include <unistd.h>

#define ROUTES                                                                \
    "\"routes\":[{\"name\":\"r\",\"host\":\"h.example\",\"path_prefix\":"     \
    "\"/\",\"kind\":\"idempotent\",\"timeout_ms\":20000,\"service\":"         \
    "\"service\",\"max_attempts\":1},{\"name\":\"o\",\"host\":\"h.example\"," \
    "\"path_prefix\":\"/open/\",\"kind\":\"idempotent\",\"timeout_ms\":"      \
    "20000,\"service\":\"service\",\"max_attempts\":1,\"no_auth\":true}],"    \
    "\"services\":[{\"name\":\"service\"}]"

static struct pgw_route_table *next_table;

static void
apply_table(struct scene *scene)
{
    pgw_gateway_set_routes(scene->gateway, next_table);
    pgw_route_table_unref(next_table);
}

/* Puts a configuration in force, with the members beside its routes; returns
 * false if it cannot be read. */
static bool
configure(struct scene *scene, unsigned version, const char *members)
{
    char *text =
        g_strdup_printf("{\"version\":%u,%s%s}", version, ROUTES, members);
    struct pgw_document document = {
        .kind = (char *)"config",
        .name = (char *)"main",
        .revision = version,
        .body = text,
    };

    next_table = platform_decode_config(&document);
    g_free(text);
    if (next_table == NULL) {
        return false;
    }
    scene_run(scene, apply_table);
    return true;
}

/* Whether a request with a key is run; any other is answered 401. */
static bool
is_run(struct scene *scene, const char *path, const char *key)
{
    int caller = scene_call_with_key(scene, key, path, "a");
    char *answer;
    bool runs = false;

    for (unsigned i = 0; i < SCENE_TIMEOUT_S * 100 && !runs; i++) {
        struct timeval limit = {.tv_usec = 10000};
        char byte;

        setsockopt(caller, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        if (recv(caller, &byte, 1, MSG_PEEK) > 0) {
            break;
        }
        runs = !scene_has_no_connection(scene, 0);
    }
    if (runs) {
        int upstream = scene_accept(scene, 0);

        g_free(scene_read_request(upstream));
        scene_answer(upstream, "a", 200, "Connection: close\r\n", "ok");
        close(upstream);
        answer = scene_read_until(caller, "ok");
    }
    else {
        answer = scene_read_until(caller, "unauthorized");
        g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 401 "));
    }
    g_free(answer);
    close(caller);
    return runs;
}

/* Guards against routes that are open to everybody, as the list of workspaces
 * is empty. */
static void
test_empty_list_opens_no_route(void)
{
    static const char *const empty[] = {",\"tenants\":[]", ",\"tenants\":null",
                                        ",\"tenants\": [ ]"};
    struct scene *scene = scene_new(1);
    unsigned version = 1;

    g_assert_true(
        configure(scene, version++,
                  ",\"tenants\":[{\"name\":\"w\",\"api_keys\":[\"k\"]}]"));
    g_assert_true(is_run(scene, "/x", "k"));
    g_assert_false(is_run(scene, "/x", "other"));
    for (size_t i = 0; i < G_N_ELEMENTS(empty); i++) {
        g_assert_true(configure(scene, version++, empty[i]));
        g_assert_false(is_run(scene, "/x", "k"));
        g_assert_false(is_run(scene, "/x", "other"));
        g_assert_true(is_run(scene, "/open/x", "other"));
    }
    scene_free(scene);
}

/* Guards against callers that are turned away where no keys are asked for. */
static void
test_absent_list_asks_for_no_keys(void)
{
    struct scene *scene = scene_new(1);

    g_assert_true(configure(scene, 1, ""));
    g_assert_true(is_run(scene, "/x", "any"));
    scene_free(scene);
}

/* Guards against a list of another type that is taken for none: routes without
 * keys, or no routes at all. The configuration before stays in force. */
static void
test_unreadable_lists_change_nothing(void)
{
    static const char *const unreadable[] = {
        ",\"tenants\":{}", ",\"tenants\":\"w\"", ",\"tenants\":0",
        ",\"tenants\":false", ",\"tenants\":[[]]"};
    struct scene *scene = scene_new(1);

    g_assert_true(configure(
        scene, 1, ",\"tenants\":[{\"name\":\"w\",\"api_keys\":[\"k\"]}]"));
    for (unsigned i = 0; i < G_N_ELEMENTS(unreadable); i++) {
        g_assert_false(configure(scene, i + 2, unreadable[i]));
    }
    g_assert_false(is_run(scene, "/x", "other"));
    g_assert_true(is_run(scene, "/x", "k"));
    scene_free(scene);
}

/* Guards against keys that are lost, or let everybody in, beside one that is
 * none. */
static void
test_odd_keys_hide_no_other(void)
{
    struct scene *scene = scene_new(1);

    g_assert_true(configure(
        scene, 1,
        ",\"tenants\":[{\"name\":\"w\",\"api_keys\":[7,null,\"\",{},\"k\"]},"
        "{\"name\":\"x\"},{\"name\":\"y\",\"api_keys\":\"z\"}]"));
    g_assert_true(is_run(scene, "/x", "k"));
    g_assert_false(is_run(scene, "/x", ""));
    g_assert_false(is_run(scene, "/x", "z"));
    scene_free(scene);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    pgw_log_init("test", "", "error");
    g_test_add_func("/route_keys/empty_list_opens_no_route",
                    test_empty_list_opens_no_route);
    g_test_add_func("/route_keys/absent_list_asks_for_no_keys",
                    test_absent_list_asks_for_no_keys);
    g_test_add_func("/route_keys/unreadable_lists_change_nothing",
                    test_unreadable_lists_change_nothing);
    g_test_add_func("/route_keys/odd_keys_hide_no_other",
                    test_odd_keys_hide_no_other);
    return g_test_run();
}
