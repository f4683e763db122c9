#include "parsleygw/errors.h"
#include "parsleygw/place.h"
#include "parsleygw/settings.h"
#include "util/address.h"
#include "util/json_reader.h"

#include <glib/gstdio.h>
#include <string.h>

#define ENTRY_HEAD                                                            \
    "\"instance\":\"e1\",\"zone\":\"a\",\"listen\":\"127.0.0.1:0\","          \
    "\"admin_listen\":\"[::1]:9\","

struct bad_case {
    const char *json;
    const char *found; /* part of the message */
};

static const struct bad_case bad_cases[] = {
    {"{" ENTRY_HEAD "\"store_url\":\"http://127.0.0.1:1\",\"thread\":4}",
     "thread: unknown key"},
    {"{" ENTRY_HEAD "\"threads\":2}", "store_url: missing"},
    {"{" ENTRY_HEAD "\"store_url\":\"http://store:1\"}",
     "\"store:1\" is no IP"},
    {"{" ENTRY_HEAD "\"store_url\":\"http://127.0.0.1:0\"}", "found port 0"},
    {"{" ENTRY_HEAD "\"store_url\":\"http://127.0.0.1:1\",\"threads\":0}",
     "threads: found 0; write a number from 1 to 256"},
    {"{" ENTRY_HEAD "\"store_url\":\"http://127.0.0.1:1\",\"threads\":\"4\"}",
     "threads: found \"4\"; write a whole number"},
    {"{" ENTRY_HEAD "\"store_url\":\"http://127.0.0.1:1\",\"threads\":1.5}",
     "write a whole number"},
    {"{" ENTRY_HEAD "\"store_url\":\"http://127.0.0.1:1\",\"policy\":\"x\"}",
     "write parsleygw, parsleygw-v1, parsleygw-v2, parsleygw-v3, "
     "parsleygw-v4, hash, least-loaded, round-robin"},
    {"{" ENTRY_HEAD
     "\"store_url\":\"http://127.0.0.1:1\",\"seeds\":[\"127.0.0.1:2\",3]}",
     "seeds: found 3; write text"},
    {"{" ENTRY_HEAD "\"store_url\":\"http://127.0.0.1:1\",\"seeds\":{}}",
     "write a list"},
    {"[1]", "found no object"},
    {"", "empty"},
    {"{\"a\":", "not valid JSON"},
};

static char *
write_file(const char *text)
{
    char *path = NULL;
    int fd = g_file_open_tmp("pgw-settings-XXXXXX", &path, NULL);

    g_assert_cmpint(fd, >=, 0);
    g_assert_true(g_file_set_contents(path, text, -1, NULL));
    g_close(fd, NULL);
    return path;
}

static void
test_bad_settings_name_the_remedy(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(bad_cases); i++) {
        char *path = write_file(bad_cases[i].json);
        struct pgw_entry_settings *settings = NULL;
        GError *error = NULL;

        g_assert_false(pgw_entry_settings_load(&settings, path, &error));
        g_assert_null(settings);
        g_assert_error(error, PGW_ERROR, PGW_ERROR_INVALID);
        g_assert_true(g_str_has_prefix(error->message, path));
        if (strstr(error->message, bad_cases[i].found) == NULL) {
            g_error("\"%s\" lacks \"%s\"", error->message, bad_cases[i].found);
        }
        g_assert_null(strchr(error->message, '\n'));
        g_error_free(error);
        g_unlink(path);
        g_free(path);
    }
}

/* The settings know the names that the table of policies has. */
static void
test_policies(void)
{
    static const char *const names[] = {
        "parsleygw",    "parsleygw-v1", "parsleygw-v2", "parsleygw-v3",
        "parsleygw-v4", "hash",         "least-loaded", "round-robin"};

    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        char *text = g_strdup_printf(
            "{" ENTRY_HEAD "\"store_url\":\"http://127.0.0.1:1\","
            "\"seeds\":[\"127.0.0.1:2\"],\"policy\":\"%s\"}",
            names[i]);
        char *path = write_file(text);
        struct pgw_entry_settings *settings = NULL;
        GError *error = NULL;

        pgw_entry_settings_load(&settings, path, &error);
        g_assert_no_error(error);
        g_assert_cmpstr(pgw_place_policy_find(settings->policy)->name, ==,
                        names[i]);
        pgw_entry_settings_free(settings);
        g_unlink(path);
        g_free(path);
        g_free(text);
    }
}

static void
test_settings_and_defaults(void)
{
    char *path = write_file(
        "{" ENTRY_HEAD "\"store_url\":\"http://127.0.0.1:1\","
        "\"seeds\":[\"127.0.0.1:2\",\"[::1]:3\"],\"max_body_bytes\":4096}");
    struct pgw_entry_settings *settings = NULL;
    GError *error = NULL;

    g_assert_true(pgw_entry_settings_load(&settings, path, &error));
    g_assert_no_error(error);
    g_assert_cmpuint(settings->max_body_bytes, ==, 4096);
    g_assert_cmpuint(settings->probe_fanout, ==, 4);
    g_assert_cmpstr(settings->policy, ==, "parsleygw");
    g_assert_cmpstr(settings->region, ==, "");
    g_assert_cmpuint(g_strv_length(settings->seeds), ==, 2);
    g_assert_null(settings->bootstrap_file);
    pgw_entry_settings_free(settings);
    g_unlink(path);
    g_free(path);
}

static void
test_missing_file(void)
{
    struct pgw_sidecar_settings *settings = NULL;
    GError *error = NULL;

    g_assert_false(
        pgw_sidecar_settings_load(&settings, "/nonexistent/x.json", &error));
    g_assert_error(error, PGW_ERROR, PGW_ERROR_NOT_FOUND);
    g_error_free(error);
}

static void
test_deep_nesting_is_refused(void)
{
    const size_t depth = 1000000;
    char *text = g_malloc(depth);
    JsonNode *node = NULL;
    GError *error = NULL;

    memset(text, '[', depth);
    g_assert_false(pgw_json_parse(&node, text, depth, "body", &error));
    g_assert_error(error, PGW_ERROR, PGW_ERROR_INVALID);
    g_assert_nonnull(strstr(error->message, "nested deeper"));
    g_error_free(error);
    g_free(text);
    /* Brackets inside a string are no nesting. */
    text = g_strnfill(100, '[');
    char *quoted = g_strdup_printf("[\"\\\"%s\"]", text);

    g_assert_true(pgw_json_parse(&node, quoted, strlen(quoted), "x", NULL));
    json_node_unref(node);
    g_free(quoted);
    g_free(text);
}

static void
test_address_round_trip(void)
{
    static const char *const good[] = {"127.0.0.1:80", "[2001:db8::7]:65535"};
    static const char *const bad[] = {
        "localhost:80", "127.0.0.1", "127.0.0.1:65536", "[::1]", "::1:80", "",
        ":1",           "[]:1"};
    struct pgw_address address;
    char text[PGW_ADDRESS_TEXT_SIZE];

    for (size_t i = 0; i < G_N_ELEMENTS(good); i++) {
        g_assert_true(pgw_address_parse(&address, good[i], NULL));
        pgw_address_format(text, &address);
        g_assert_cmpstr(text, ==, good[i]);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        g_assert_false(pgw_address_parse(&address, bad[i], NULL));
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/json_reader/bad", test_bad_settings_name_the_remedy);
    g_test_add_func("/json_reader/defaults", test_settings_and_defaults);
    g_test_add_func("/settings/policies", test_policies);
    g_test_add_func("/json_reader/missing_file", test_missing_file);
    g_test_add_func("/json_reader/depth", test_deep_nesting_is_refused);
    g_test_add_func("/json_reader/address", test_address_round_trip);
    return g_test_run();
}
