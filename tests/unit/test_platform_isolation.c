#include "scene_gateway.h"

#include "gateway/placement/cache_salt.h"
#include "isolation_record.h"
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A process; the test acts as the store. */
struct fixture {
    struct scene scene;
    struct platform_store *store;
    struct pgw_isolation *isolation;
    struct platform_isolation_record *record;
    int listener;
    int fd;
    uint64_t version;
    const char *scope;
};

static struct fixture *
fixture_of(struct scene *scene)
{
    return pgw_container_of(scene, struct fixture, scene);
}

static void
start_record(struct scene *scene)
{
    struct fixture *fixture = fixture_of(scene);

    fixture->record =
        platform_isolation_record_new(fixture->store, fixture->isolation);
}

static void
sync_record(struct scene *scene)
{
    platform_isolation_record_sync(fixture_of(scene)->record);
}

/* Serves the next call, which the record makes when it is synchronised;
 * returns its text, to be freed. */
static char *
serve(struct fixture *fixture, const char *method, const char *end,
      unsigned status, const char *body)
{
    struct pollfd polled = {.fd = fixture->listener, .events = POLLIN};
    char *request;

    for (unsigned i = 0; poll(&polled, 1, 1) == 0; i++) {
        g_assert_cmpuint(i, <, SCENE_TIMEOUT_S * 1000);
        scene_run(&fixture->scene, sync_record);
    }
    fixture->fd = accept(fixture->listener, NULL, NULL);
    request = scene_read_until(fixture->fd, end);
    g_assert_true(g_str_has_prefix(request, method));
    scene_answer(fixture->fd, "s", status, "Connection: close\r\n", body);
    close(fixture->fd);
    return request;
}

static void
fixture_init(struct fixture *fixture)
{
    struct pgw_address address;

    *fixture = (struct fixture){.listener = scene_listen(&address)};
    fixture->scene.loop = pgw_loop_new(NULL);
    fixture->store = platform_store_new(fixture->scene.loop, &address);
    fixture->isolation = pgw_isolation_new();
    pthread_create(&fixture->scene.thread, NULL, scene_loop_main,
                   fixture->scene.loop);
    scene_run(&fixture->scene, start_record);
}

static void
fixture_dispose(struct fixture *fixture)
{
    pgw_loop_stop(fixture->scene.loop);
    pthread_join(fixture->scene.thread, NULL);
    platform_isolation_record_free(fixture->record);
    platform_store_free(fixture->store);
    pgw_isolation_free(fixture->isolation);
    pgw_loop_free(fixture->scene.loop);
    close(fixture->listener);
}

static void
apply_isolation(struct scene *scene)
{
    static const char *const no_keys[] = {NULL};
    struct fixture *fixture = fixture_of(scene);
    struct pgw_route_table *table = pgw_route_table_new(fixture->version);
    struct pgw_workspace workspace = {.name = g_strdup("a\"\\"),
                                      .isolated = true};

    pgw_route_table_add_workspace(table, &workspace, no_keys);
    pgw_isolation_set_routes(fixture->isolation, table);
    pgw_route_table_unref(table);
}

static void
isolate(struct fixture *fixture, uint64_t version)
{
    fixture->version = version;
    scene_run(&fixture->scene, apply_isolation);
}

static void
read_scope(struct scene *scene)
{
    struct fixture *fixture = fixture_of(scene);

    fixture->scope = pgw_isolation_scope(fixture->isolation, NULL);
}

/* Waits until an answer is handled: the scope of all others becomes @expected.
 */
static void
wait_for_scope(struct fixture *fixture, const char *expected)
{
    for (unsigned i = 0; i < SCENE_TIMEOUT_S * 1000; i++) {
        scene_run(&fixture->scene, read_scope);
        if (strcmp(fixture->scope, expected) == 0) {
            return;
        }
        g_usleep(1000);
    }
    g_assert_cmpstr(fixture->scope, ==, expected);
}

/* Guards against isolated workspaces that nobody knows after all entries have
 * ended. */
static void
test_record_outlives_all_entries(void)
{
    struct fixture first;
    struct fixture second;
    char *created;
    char *object;
    char *scope;

    fixture_init(&first);
    isolate(&first, 3);
    g_free(serve(&first, "GET ", "\r\n\r\n", 404, "{}"));
    created =
        serve(&first, "POST ", "}}", 201, "{\"metadata\":{\"revision\":8}}");
    object = strstr(created, "\r\n\r\n") + 4;
    scene_run(&first.scene, read_scope);
    g_assert_cmpstr(first.scope, !=, "");
    scope = g_strdup(first.scope);
    fixture_dispose(&first);
    fixture_init(&second);
    g_free(serve(&second, "GET ", "\r\n\r\n", 200, object));
    wait_for_scope(&second, scope);
    fixture_dispose(&second);
    g_free(scope);
    g_free(created);
}

/* Guards against a record that another entry has written meanwhile, or that is
 * unreadable, and that hides the others' workspaces or is never mended. */
static void
test_conflict_is_read_again(void)
{
    static const char *const names[] = {"a\"\\", "b"};
    struct fixture fixture;

    fixture_init(&fixture);
    isolate(&fixture, 3);
    g_free(serve(&fixture, "GET ", "\r\n\r\n", 404, "{}"));
    g_free(serve(&fixture, "POST ", "}}", 409, "{}"));
    g_free(serve(&fixture, "GET ", "\r\n\r\n", 200,
                 "{\"metadata\":{\"revision\":9},\"specification\":"
                 "{\"names\":[7,null,\"b\"],\"version\":\"x\"}}"));
    g_free(serve(&fixture, "PUT ", "}}", 200,
                 "{\"metadata\":{\"revision\":10}}"));
    wait_for_scope(&fixture,
                   pgw_cache_scope(PGW_CACHE_SCOPE_OTHERS, names, 2));
    fixture_dispose(&fixture);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/platform_isolation/record_outlives_all_entries",
                    test_record_outlives_all_entries);
    g_test_add_func("/platform_isolation/conflict_is_read_again",
                    test_conflict_is_read_again);
    return g_test_run();
}
