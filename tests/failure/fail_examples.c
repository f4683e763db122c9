/*
 * An operator starts from the examples. A key that was renamed in the code
 * and not there would stop the first start of every process; so each example
 * goes through the check of the program that reads it. A broken copy must
 * not pass, or the check would say nothing.
 */
#include <string.h>

#include "harness_process.h"
#include "util/program.h"

static char *
example(const char *deployment, const char *file)
{
    char *tests = g_path_get_dirname(__FILE__);
    char *path = g_build_filename(tests, "..", "..", "examples", deployment,
                                  file, NULL);

    g_free(tests);
    return path;
}

static int
check_settings(struct harness *harness, const char *program, const char *path)
{
    return harness_process_wait(
        harness_spawn(harness, program, "--check", "--config", path, NULL));
}

static int
check_objects(struct harness *harness, const char *path)
{
    return harness_process_wait(
        harness_spawn(harness, "parsleygw", "profile", "check", path, NULL));
}

struct settings_case {
    const char *deployment;
    const char *file;
    const char *program;
};

static const struct settings_case settings[] = {
    {"passports", "entry.json", "parsleygw-entry"},
    {"passports", "sidecar-assistant.json", "parsleygw-sidecar"},
    {"passports", "sidecar-record.json", "parsleygw-sidecar"},
    {"labels", "entry.json", "parsleygw-entry"},
    {"labels", "sidecar-rulebook.json", "parsleygw-sidecar"},
    {"labels", "sidecar-label.json", "parsleygw-sidecar"},
};

static void
test_settings_pass(void)
{
    struct harness *harness = harness_new();

    for (size_t i = 0; i < G_N_ELEMENTS(settings); i++) {
        char *path = example(settings[i].deployment, settings[i].file);

        g_assert_cmpint(check_settings(harness, settings[i].program, path), ==,
                        PGW_EXIT_OK);
        g_free(path);
    }
    harness_free(harness);
}

/* Replaces @from by @to in an example and gives the copy's path. */
static const char *
spoil(struct harness *harness, const char *path, const char *from,
      const char *to)
{
    char *text = NULL;
    GString *copy;
    const char *name;

    g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
    copy = g_string_new(text);
    g_assert_cmpuint(g_string_replace(copy, from, to, 1), ==, 1);
    name = harness_write_file(harness, "spoilt.json", "%s", copy->str);
    g_string_free(copy, TRUE);
    g_free(text);
    return name;
}

static void
test_objects_pass_and_broken_ones_do_not(void)
{
    static const char *const deployments[] = {"passports", "labels"};
    struct harness *harness = harness_new();

    for (size_t i = 0; i < G_N_ELEMENTS(deployments); i++) {
        char *path = example(deployments[i], "objects.json");

        g_assert_cmpint(check_objects(harness, path), ==, PGW_EXIT_OK);
        g_assert_cmpint(
            check_objects(harness, spoil(harness, path, "\"pool\": \"",
                                         "\"pool\": "
                                         "\"no-")),
            ==, PGW_EXIT_INVALID);
        g_assert_cmpint(
            check_objects(harness,
                          spoil(harness, path, "\"share\"", "\"shares\"")),
            ==, PGW_EXIT_INVALID);
        g_free(path);
    }
    harness_free(harness);
}

static void
test_operator_settings_pass(void)
{
    struct harness *harness = harness_new();
    char *path = example("labels", "operator.json");

    g_assert_cmpint(
        harness_process_wait(harness_spawn(harness, "parsleygw", "--settings",
                                           path, "help", NULL)),
        ==, PGW_EXIT_OK);
    g_assert_cmpint(
        harness_process_wait(harness_spawn(
            harness, "parsleygw", "--settings",
            spoil(harness, path, "admin_port", "admin_prt"), "help", NULL)),
        ==, PGW_EXIT_INVALID);
    g_free(path);
    harness_free(harness);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/examples/settings", test_settings_pass);
    g_test_add_func("/examples/objects",
                    test_objects_pass_and_broken_ones_do_not);
    g_test_add_func("/examples/operator", test_operator_settings_pass);
    return g_test_run();
}
