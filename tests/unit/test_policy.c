#include "gateway/config/policy.h"
#include "parsleygw/errors.h"
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

static bool
load(struct pgw_policy *out, const char *text, GError **error)
{
    char *path = NULL;
    int fd = g_file_open_tmp("pgw-policy-XXXXXX", &path, NULL);
    bool good;

    g_assert_cmpint(fd, >=, 0);
    close(fd);
    g_assert_true(g_file_set_contents(path, text, -1, NULL));
    good = pgw_policy_load(out, path, error);
    g_unlink(path);
    g_free(path);
    return good;
}

/* Each mechanism can be switched off by its name, without the others. */
static void
test_each_has_a_name(void)
{
    for (unsigned i = 0; i < PGW_MECHANISM_COUNT; i++) {
        struct pgw_policy policy;
        GError *error = NULL;
        char *text =
            g_strdup_printf("{\"off\":[\"%s\"]}", pgw_mechanism_name(i));

        g_assert_true(load(&policy, text, &error));
        for (unsigned j = 0; j < PGW_MECHANISM_COUNT; j++) {
            g_assert_cmpint(pgw_policy_is_on(&policy, j), ==, i != j);
        }
        g_free(text);
    }
}

/* A file without a list leaves all mechanisms on. Unknown names, unknown keys
 * and values of the wrong type are rejected with a message that lists what is
 * valid. */
static void
test_files(void)
{
    static const char *const bad[] = {
        "{\"off\":[\"window\"]}",
        "{\"on\":[]}",
        "{\"off\":\"store\"}",
        "[]",
    };
    struct pgw_policy policy;
    GError *error = NULL;

    g_assert_true(load(&policy, "{}", &error));
    g_assert_true(pgw_policy_is_on(&policy, PGW_MECHANISM_STORE));
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        g_assert_false(load(&policy, bad[i], &error));
        g_assert_error(error, PGW_ERROR, PGW_ERROR_INVALID);
        g_clear_error(&error);
    }
    g_assert_false(load(&policy, bad[0], &error));
    g_assert_nonnull(strstr(error->message, "load_window"));
    g_clear_error(&error);
    g_assert_false(pgw_policy_load(&policy, "/nonexistent", &error));
    g_clear_error(&error);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/policy/names", test_each_has_a_name);
    g_test_add_func("/policy/files", test_files);
    return g_test_run();
}
