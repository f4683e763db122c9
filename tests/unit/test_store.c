/* The HTTP client against standin-objects, a separate process. */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include "parsleygw/errors.h"
#include "parsleygw/store.h"

#define SECOND_US 1000000

struct fixture {
    GPid pid;
    char *url;
    struct pgw_store *store;
};

static uint64_t
deadline_after(int seconds)
{
    return (uint64_t)g_get_monotonic_time() + (uint64_t)seconds * SECOND_US;
}

/* Kills the stand-in when the test aborts. */
static void
die_with_parent(gpointer data)
{
    (void)data;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
}

static void
fixture_init(struct fixture *fixture)
{
    const char *folder = g_getenv("PGW_STANDINS");
    char *program = g_build_filename(folder == NULL ? "build/tests" : folder,
                                     "standin-objects", NULL);
    char *arguments[] = {program, NULL};
    struct pgw_store_options options = PGW_STORE_OPTIONS_INIT;
    GError *error = NULL;
    unsigned port = 0;
    gint output;
    FILE *stream;

    g_spawn_async_with_pipes(NULL, arguments, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
                             die_with_parent, NULL, &fixture->pid, NULL,
                             &output, NULL, &error);
    g_assert_no_error(error);
    stream = fdopen(output, "r");
    g_assert_cmpint(fscanf(stream, "port=%u", &port), ==, 1);
    fclose(stream);
    fixture->url = g_strdup_printf("http://127.0.0.1:%u/", port);
    options.url = fixture->url;
    g_assert_true(pgw_store_new(&fixture->store, &options, &error));
    g_assert_no_error(error);
    g_free(program);
}

static void
fixture_dispose(struct fixture *fixture)
{
    pgw_store_free(fixture->store);
    kill(fixture->pid, SIGTERM);
    waitpid(fixture->pid, NULL, 0);
    g_spawn_close_pid(fixture->pid);
    g_free(fixture->url);
}

/* Posts a setting to the stand-in's control path. */
static void
post_control(struct fixture *fixture, const char *path, const char *body)
{
    char *target = g_strdup_printf("%s%s", fixture->url, path);
    char *command[] = {"curl", "-s", "-S", "-d", (char *)body, target, NULL};
    GError *error = NULL;
    gint status;

    g_spawn_sync(NULL, command, NULL,
                 G_SPAWN_SEARCH_PATH | G_SPAWN_STDOUT_TO_DEV_NULL, NULL, NULL,
                 NULL, NULL, &status, &error);
    g_assert_no_error(error);
    g_assert_cmpint(status, ==, 0);
    g_free(target);
}

static uint64_t
put(struct fixture *fixture, const char *name, uint64_t expected,
    const char *value)
{
    struct pgw_store_object out;
    GError *error = NULL;
    uint64_t version;

    pgw_store_put_if(fixture->store, &out, "pool", name, expected, value,
                     deadline_after(10), &error);
    g_assert_no_error(error);
    version = out.version;
    pgw_store_object_dispose(&out);
    return version;
}

static void
test_versions(void)
{
    struct fixture fixture;
    struct pgw_store_object object;
    struct pgw_store_list list;
    GError *error = NULL;
    uint64_t first;
    uint64_t second;
    char *large = g_strnfill(1024 * 1024 + 1, ' ');

    fixture_init(&fixture);
    first = put(&fixture, "a", 0, "{\"n\":1}");
    second = put(&fixture, "a", first, "{\"n\":2}");
    g_assert_cmpuint(second, >, first);
    g_assert_false(pgw_store_put_if(fixture.store, &object, "pool", "a", first,
                                    "{\"n\":3}", deadline_after(10), &error));
    g_assert_error(error, PGW_ERROR, PGW_ERROR_CONFLICT);
    g_clear_error(&error);
    g_assert_cmpuint(object.version, ==, second);
    g_assert_cmpstr(object.value, ==, "{\"n\":2}");
    pgw_store_object_dispose(&object);
    put(&fixture, "b", 0, "{\"text\":\"]},{\\\"\"}");
    g_assert_true(pgw_store_list(fixture.store, &list, "pool",
                                 deadline_after(10), &error));
    g_assert_no_error(error);
    g_assert_cmpuint(list.n, ==, 2);
    g_assert_cmpuint(list.version, ==, second + 1);
    pgw_store_list_dispose(&list);
    g_assert_false(pgw_store_get(fixture.store, &object, "pool", "c",
                                 deadline_after(10), &error));
    g_assert_error(error, PGW_ERROR, PGW_ERROR_NOT_FOUND);
    g_clear_error(&error);
    g_assert_false(pgw_store_put_if(fixture.store, &object, "pool", "l", 0,
                                    large, deadline_after(10), &error));
    g_assert_error(error, PGW_ERROR, PGW_ERROR_TOO_LARGE);
    g_clear_error(&error);
    g_free(large);
    fixture_dispose(&fixture);
}

static void
test_watch(void)
{
    struct fixture fixture;
    struct pgw_store_list changes;
    GError *error = NULL;
    uint64_t version;

    fixture_init(&fixture);
    version = put(&fixture, "a", 0, "{}");
    g_assert_true(pgw_store_watch(fixture.store, &changes, "pool", version, 20,
                                  deadline_after(10), &error));
    g_assert_cmpuint(changes.n, ==, 0);
    g_assert_cmpuint(changes.version, ==, version);
    pgw_store_list_dispose(&changes);
    g_assert_true(pgw_store_delete_if(fixture.store, "pool", "a", version,
                                      deadline_after(10), &error));
    g_assert_no_error(error);
    g_assert_true(pgw_store_watch(fixture.store, &changes, "pool", version,
                                  5000, deadline_after(10), &error));
    g_assert_cmpuint(changes.n, ==, 1);
    g_assert_true(changes.objects[0].deleted);
    g_assert_cmpuint(changes.objects[0].version, ==, version + 1);
    pgw_store_list_dispose(&changes);
    /* A stale read of the store contains the deleted object again. */
    post_control(&fixture, "_control", "{\"answer_old\":true,\"as_of\":1}");
    g_assert_true(pgw_store_list(fixture.store, &changes, "pool",
                                 deadline_after(10), &error));
    g_assert_cmpuint(changes.n, ==, 1);
    g_assert_cmpuint(changes.version, ==, version);
    pgw_store_list_dispose(&changes);
    fixture_dispose(&fixture);
}

static void
test_failures(void)
{
    struct fixture fixture;
    struct pgw_store_object object;
    GError *error = NULL;

    fixture_init(&fixture);
    put(&fixture, "a", 0, "{}");
    post_control(&fixture, "_control", "{\"lose_answers\":1}");
    /* The connection is reused: libcurl must not resend the write. */
    g_assert_false(pgw_store_put_if(fixture.store, &object, "pool", "b", 0,
                                    "{}", deadline_after(10), &error));
    g_assert_error(error, PGW_ERROR, PGW_ERROR_UNKNOWN_OUTCOME);
    g_clear_error(&error);
    g_assert_true(pgw_store_get(fixture.store, &object, "pool", "b",
                                deadline_after(10), &error));
    pgw_store_object_dispose(&object);
    post_control(&fixture, "_control", "{\"outage\":true}");
    g_assert_false(pgw_store_get(fixture.store, &object, "pool", "b",
                                 deadline_after(10), &error));
    g_assert_error(error, PGW_ERROR, PGW_ERROR_UNAVAILABLE);
    g_clear_error(&error);
    post_control(&fixture, "_control",
                 "{\"outage\":false,\"latency_ms\":5000}");
    g_assert_false(pgw_store_get(fixture.store, &object, "pool", "b",
                                 (uint64_t)g_get_monotonic_time() + 50000,
                                 &error));
    g_assert_error(error, PGW_ERROR, PGW_ERROR_TIMEOUT);
    g_clear_error(&error);
    fixture_dispose(&fixture);
}

static void
test_confirmed_put(void)
{
    struct fixture fixture;
    struct pgw_store_object object;
    GError *error = NULL;
    uint64_t version;

    fixture_init(&fixture);
    post_control(&fixture, "_control", "{\"lose_answers\":1}");
    g_assert_true(pgw_store_put_confirmed(fixture.store, &object, "pool", "a",
                                          0, "{\"by\":\"n1\"}", "n1",
                                          deadline_after(20), &error));
    g_assert_no_error(error);
    version = object.version;
    g_assert_cmpuint(version, >, 0);
    pgw_store_object_dispose(&object);

    /* Without a lost response, another writer's value is a plain conflict. */
    g_assert_false(pgw_store_put_confirmed(fixture.store, &object, "pool", "a",
                                           0, "{\"by\":\"n2\"}", "n2",
                                           deadline_after(20), &error));
    g_assert_error(error, PGW_ERROR, PGW_ERROR_CONFLICT);
    g_clear_error(&error);
    g_assert_cmpstr(object.value, ==, "{\"by\":\"n1\"}");
    pgw_store_object_dispose(&object);

    post_control(&fixture, "_control", "{\"outage\":true}");
    g_assert_false(pgw_store_put_confirmed(
        fixture.store, &object, "pool", "a", version, "{\"by\":\"n3\"}", "n3",
        (uint64_t)g_get_monotonic_time() + 100000, &error));
    g_assert_error(error, PGW_ERROR, PGW_ERROR_UNAVAILABLE);
    g_clear_error(&error);
    pgw_store_object_dispose(&object);
    fixture_dispose(&fixture);
}

/* A store where the first write takes effect, its response is lost, and
 * another writer replaces the object before it is read back. */
struct overwritten_store {
    struct pgw_store base;
    unsigned writes;
};

static bool
overwritten_put_if(struct pgw_store *store, struct pgw_store_object *out,
                   const char *kind, const char *name, uint64_t expected,
                   const char *value, uint64_t deadline_us, GError **error)
{
    struct overwritten_store *fake = (struct overwritten_store *)store;

    (void)kind;
    (void)name;
    (void)expected;
    (void)value;
    (void)deadline_us;
    *out = (struct pgw_store_object){0};
    fake->writes++;
    g_set_error(error, PGW_ERROR, PGW_ERROR_UNKNOWN_OUTCOME, "lost");
    return false;
}

static bool
overwritten_get(struct pgw_store *store, struct pgw_store_object *out,
                const char *kind, const char *name, uint64_t deadline_us,
                GError **error)
{
    (void)store;
    (void)kind;
    (void)deadline_us;
    (void)error;
    *out = (struct pgw_store_object){.name = g_strdup(name),
                                     .version = 9,
                                     .value = g_strdup("{\"by\":\"other\"}")};
    return true;
}

static void
test_overwritten_after_lost_response(void)
{
    static const struct pgw_store_ops ops = {.put_if = overwritten_put_if,
                                             .get = overwritten_get};
    struct overwritten_store fake = {.base.ops = &ops};
    struct pgw_store_object object;
    GError *error = NULL;

    g_assert_false(pgw_store_put_confirmed(&fake.base, &object, "pool", "a", 1,
                                           "{\"by\":\"n1\"}", "n1",
                                           deadline_after(20), &error));
    g_assert_error(error, PGW_ERROR, PGW_ERROR_UNKNOWN_OUTCOME);
    g_assert_cmpuint(fake.writes, ==, 1);
    g_clear_error(&error);
    pgw_store_object_dispose(&object);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/store/versions", test_versions);
    g_test_add_func("/store/watch", test_watch);
    g_test_add_func("/store/failures", test_failures);
    g_test_add_func("/store/confirmed-put", test_confirmed_put);
    g_test_add_func("/store/overwritten-after-lost-response",
                    test_overwritten_after_lost_response);
    return g_test_run();
}
