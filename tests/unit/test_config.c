#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#include "parsleygw/config.h"
#include "parsleygw/errors.h"

#define DIGEST_A                                                              \
    "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
#define DIGEST_B                                                              \
    "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
#define WORKSPACE(digest, revoked)                                            \
    "{\"share\":2,\"keys\":[{\"id\":\"k1\",\"sha256\":\"" digest              \
    "\",\"revoked\":" revoked "}]}"
#define POOL "{\"model\":\"rulebook-7b\",\"version\":\"w1\"}"
#define PROFILE "{\"pool\":\"main\",\"workspaces\":[\"passports\"]}"
#define UPSTREAM(state)                                                       \
    "{\"pool\":\"main\",\"zone\":\"z1\",\"address\":\"127.0.0.1:7000\","      \
    "\"state\":\"" state "\"}"

static void
apply(struct pgw_config_set *set, const char *kind, const char *name,
      uint64_t version, const char *value)
{
    GError *error = NULL;

    pgw_config_set_apply(set, kind, name, version, value, NULL, &error);
    g_assert_no_error(error);
}

static struct pgw_config_set *
example_set(void)
{
    struct pgw_config_set *set = pgw_config_set_new();

    apply(set, "pool", "main", 1, POOL);
    apply(set, "profile", "stamp", 2, PROFILE);
    apply(set, "workspace", "passports", 3, WORKSPACE(DIGEST_A, "false"));
    apply(set, "upstream", "u2", 4, UPSTREAM("joined"));
    apply(set, "upstream", "u1", 5, UPSTREAM("leaving"));
    return set;
}

static void
test_snapshot(void)
{
    struct pgw_config_set *set = example_set();
    struct pgw_config *config = pgw_config_build(set);
    struct pgw_config *later;
    uint8_t digest[PGW_KEY_DIGEST_SIZE];
    const struct pgw_upstream *const *upstreams;
    size_t n;

    memset(digest, 0xaa, sizeof(digest));
    g_assert_cmpstr(pgw_config_workspace_by_key(config, digest)->name, ==,
                    "passports");
    upstreams = pgw_config_upstreams(config, "main", &n);
    g_assert_cmpuint(n, ==, 2);
    g_assert_cmpstr(upstreams[0]->id, ==, "u1");
    g_assert_true(upstreams[0]->leaving);
    g_assert_cmpstr(upstreams[1]->host, ==, "127.0.0.1");
    g_assert_cmpuint(upstreams[1]->port, ==, 7000);
    g_assert_true(
        pgw_profile_allows(pgw_config_profile(config, "stamp"), "passports"));
    g_assert_false(
        pgw_profile_allows(pgw_config_profile(config, "stamp"), "labels"));
    g_assert_cmpuint(pgw_config_pool(config, "main")->load_permits, ==, 3);

    /* Later changes of the set do not affect an earlier snapshot. */
    apply(set, "workspace", "passports", 9, WORKSPACE(DIGEST_A, "true"));
    apply(set, "upstream", "u2", 10, NULL);
    later = pgw_config_build(set);
    g_assert_null(pgw_config_workspace_by_key(later, digest));
    g_assert_null(pgw_config_upstream(later, "u2"));
    g_assert_nonnull(pgw_config_upstream(config, "u2"));
    g_assert_nonnull(pgw_config_workspace_by_key(config, digest));
    g_assert_cmpuint(pgw_config_version(later), ==, 10);
    pgw_config_set_free(set);
    pgw_config_unref(config);
    g_assert_nonnull(pgw_config_pool(later, "main"));
    pgw_config_unref(later);
}

struct bad_value {
    const char *kind;
    const char *name;
    const char *value;
    const char *pattern;
};

static void
test_refused_values(void)
{
    static const struct bad_value bad[] = {
        {"profile", "a b", PROFILE, "*name: use 1 to 64*"},
        {"engine", "a", "{}", "kind \"engine\": give*"},
        {"profile", "p", "{}", "profile/p: pool: missing: add*"},
        {"profile", "p", "[]", "profile/p: not a JSON object: write*"},
        {"profile", "p", "{\"pool\":\"m\" /*\"*/}",
         "profile/p: not valid JSON: a character*remove it*"},
        {"profile", "p", "{\"pool\":\"m\",\"deadline_ms\":-1}",
         "*deadline_ms: give a number from 1 to*"},
        {"profile", "p", "{\"pool\":\"m\",\"ttft_weight\":1.5}",
         "*ttft_weight: give a number from 0 to 1*"},
        {"profile", "p", "{\"pool\":\"m\",\"workspaces\":[1]}",
         "*workspaces?0?: give a workspace*"},
        {"workspace", "w", "{\"keys\":[{\"id\":\"k\",\"sha256\":\"12\"}]}",
         "workspace/w: keys?0?.sha256: give the 64*"},
        {"upstream", "u",
         "{\"pool\":\"m\",\"zone\":\"z\",\"address\":\"x:1\"}",
         "*address: give the sidecar's ip:port*"},
        {"upstream", "u", "{\"pool\":\"m\",\"zone\":\"z\",\"address\":\":\"}",
         "*address: give*"},
    };
    struct pgw_config_set *set = pgw_config_set_new();

    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        GError *error = NULL;
        bool changed = true;

        g_assert_false(pgw_config_set_apply(set, bad[i].kind, bad[i].name, 7,
                                            bad[i].value, &changed, &error));
        g_assert_error(error, PGW_ERROR, PGW_ERROR_INVALID);
        if (!g_pattern_match_simple(bad[i].pattern, error->message)) {
            g_error("\"%s\" does not match", error->message);
        }
        g_assert_false(changed);
        g_error_free(error);
    }
    g_assert_cmpuint(pgw_config_set_count(set), ==, 0);
    pgw_config_set_free(set);
}

static void
test_oversized_values(void)
{
    struct pgw_config_set *set = pgw_config_set_new();
    char *nested = g_strnfill(PGW_CONFIG_VALUE_MAX - 1, '[');
    char *large = g_strnfill(PGW_CONFIG_VALUE_MAX + 1, ' ');
    GError *error = NULL;

    memcpy(nested, "{\"a\":", 5);
    g_assert_false(
        pgw_config_set_apply(set, "pool", "m", 1, nested, NULL, &error));
    g_assert_error(error, PGW_ERROR, PGW_ERROR_INVALID);
    g_clear_error(&error);
    g_assert_false(
        pgw_config_set_apply(set, "pool", "m", 1, large, NULL, &error));
    g_assert_error(error, PGW_ERROR, PGW_ERROR_TOO_LARGE);
    g_clear_error(&error);
    g_free(nested);
    g_free(large);
    pgw_config_set_free(set);
}

static void
test_file_round_trip(void)
{
    struct pgw_config_set *set = example_set();
    struct pgw_config_set *copy = pgw_config_set_new();
    GError *error = NULL;
    char *path = NULL;
    int fd = g_file_open_tmp("pgw-config-XXXXXX", &path, &error);

    g_assert_no_error(error);
    close(fd);
    apply(set, "upstream", "gone", 11, NULL);
    g_assert_true(pgw_config_set_save(set, path, &error));
    g_assert_true(pgw_config_set_load_file(copy, path, &error));
    g_assert_no_error(error);
    g_assert_cmpuint(pgw_config_set_summary(copy), ==,
                     pgw_config_set_summary(set));
    g_assert_cmpuint(pgw_config_set_version(copy, "upstream", "gone"), ==, 11);
    g_unlink(path);
    g_assert_false(pgw_config_set_load_file(copy, path, &error));
    g_assert_error(error, PGW_ERROR, PGW_ERROR_IO);
    g_clear_error(&error);
    g_free(path);
    pgw_config_set_free(set);
    pgw_config_set_free(copy);
}

struct edit {
    const char *kind;
    const char *name;
    const char *value;
    const char *pattern;
    bool force_allows;
};

static void
test_dangerous_edits(void)
{
    static const struct edit edits[] = {
        {"workspace", "passports", NULL, "*locks everyone*--force*", true},
        {"workspace", "passports", WORKSPACE(DIGEST_A, "true"),
         "*locks everyone*", true},
        {"workspace", "labels", WORKSPACE(DIGEST_A, "false"),
         "*key of workspace \"passports\"*", false},
        {"pool", "main", NULL, "*in use by profile/stamp*", true},
        {"pool", "main", "{\"type\":\"service\"}", "*in use by*", true},
        {"profile", "stamp", NULL, "*last profile*", true},
        {"profile", "new", "{\"pool\":\"none\"}", "*no pool \"none\"*", false},
        {"profile", "new", "{\"pool\":\"main\",\"type\":\"service\"}",
         "*other type*", false},
        {"profile", "new", "{\"pool\":\"main\",\"prio\":1}",
         "*prio: no such member*", false},
        {"upstream", "u2", UPSTREAM("leaving"), "*last joined upstream*",
         true},
        {"upstream", "u2", NULL, "*last joined upstream*", true},
    };
    struct pgw_config_set *set = example_set();
    GError *error = NULL;

    for (size_t i = 0; i < G_N_ELEMENTS(edits); i++) {
        const struct edit *edit = &edits[i];

        g_assert_false(pgw_config_check(set, edit->kind, edit->name,
                                        edit->value, PGW_CONFIG_CHECK_NONE,
                                        &error));
        g_assert_error(error, PGW_ERROR, PGW_ERROR_INVALID);
        if (!g_pattern_match_simple(edit->pattern, error->message)) {
            g_error("\"%s\" does not match", error->message);
        }
        g_clear_error(&error);
        g_assert_cmpint(pgw_config_check(set, edit->kind, edit->name,
                                         edit->value, PGW_CONFIG_CHECK_FORCE,
                                         NULL),
                        ==, edit->force_allows);
    }
    g_assert_true(pgw_config_check(set, "workspace", "labels",
                                   WORKSPACE(DIGEST_B, "false"),
                                   PGW_CONFIG_CHECK_NONE, &error));
    g_assert_true(pgw_config_check(set, "upstream", "u1", NULL,
                                   PGW_CONFIG_CHECK_NONE, &error));
    g_assert_no_error(error);
    pgw_config_set_free(set);
}

/* A bootstrap file truncated at any position is refused, although its objects
 * are read one at a time. */
static void
test_truncated_text_refused(void)
{
    static const char text[] =
        "{\"note\":[1],\"objects\":[{\"kind\":\"workspace\",\"name\":\"w\","
        "\"version\":3,\"value\":{\"share\":1,\"keys\":[]}}]}";

    for (gssize length = 0; length <= (gssize)strlen(text); length++) {
        struct pgw_config_set *set = pgw_config_set_new();
        GError *error = NULL;
        bool whole = length == (gssize)strlen(text);

        g_assert_cmpint(pgw_config_set_load_text(set, text, length, &error),
                        ==, whole);
        g_assert_true((error == NULL) == whole);
        g_clear_error(&error);
        pgw_config_set_free(set);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/config/snapshot-is-immutable", test_snapshot);
    g_test_add_func("/config/truncated-text-refused",
                    test_truncated_text_refused);
    g_test_add_func("/config/invalid-values-refused", test_refused_values);
    g_test_add_func("/config/oversized-values-refused", test_oversized_values);
    g_test_add_func("/config/file-round-trip", test_file_round_trip);
    g_test_add_func("/config/dangerous-edits-refused", test_dangerous_edits);
    return g_test_run();
}
