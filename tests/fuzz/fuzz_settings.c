/* The readers of settings files and of configuration values: they accept, or
 * refuse with one line that says what to write. */
#include <glib/gstdio.h>
#include <stdio.h>
#include <string.h>

#include "parsleygw/config.h"
#include "parsleygw/errors.h"
#include "parsleygw/settings.h"

#include "fuzz/fuzz_input.h"

/* Each input is written to a file, which costs more than its reading. */
#define FILE_INPUTS 4000
#define OBJECT_INPUTS 10000

static const char *const files[] = {
    "{\"instance\":\"entry-1\",\"zone\":\"a\",\"listen\":\"127.0.0.1:0\","
    "\"admin_listen\":\"[::1]:0\",\"store_url\":\"http://127.0.0.1:80\","
    "\"seeds\":[\"127.0.0.1:7000\"],\"threads\":2,\"policy\":\"hash\"}",
    "{\"instance\":\"up-1\",\"zone\":\"a\",\"pool\":\"guide\","
    "\"listen\":\"127.0.0.1:0\",\"admin_listen\":\"127.0.0.1:0\","
    "\"upstream_url\":\"http://127.0.0.1:81\",\"upstream_type\":\"service\","
    "\"store_url\":\"http://127.0.0.1:80\",\"checks_fencing\":true}",
};

static const struct {
    const char *kind;
    const char *value;
} objects[] = {
    {"pool", "{\"type\":\"model\",\"model\":\"m\",\"version\":\"w1\","
             "\"load_permits\":3,\"checks_fencing\":true}"},
    {"profile", "{\"type\":\"model\",\"pool\":\"p\",\"priority\":\"batch\","
                "\"deadline_ms\":900,\"repeatable\":true,\"ttft_weight\":0.5,"
                "\"workspaces\":[\"*\"]}"},
    {"workspace",
     "{\"share\":1,\"max_inflight\":0,\"keys\":[{\"id\":\"k\",\"sha256\":"
     "\"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\","
     "\"revoked\":false}]}"},
    {"upstream", "{\"pool\":\"p\",\"zone\":\"a\",\"address\":"
                 "\"127.0.0.1:1\",\"state\":\"joined\"}"},
};

static void
check_error(const GError *error)
{
    g_assert_true(error->domain == PGW_ERROR);
    g_assert_cmpuint(strlen(error->message), >, 0);
    if (strchr(error->message, '\n') != NULL) {
        g_error("more than one line: %s", error->message);
    }
}

static unsigned
load_file(const char *path)
{
    struct pgw_entry_settings *entry = NULL;
    struct pgw_sidecar_settings *sidecar = NULL;
    GError *errors[2] = {NULL, NULL};
    unsigned good = 0;

    good += pgw_entry_settings_load(&entry, path, &errors[0]);
    good += pgw_sidecar_settings_load(&sidecar, path, &errors[1]);
    g_assert_cmpint(entry != NULL, ==, errors[0] == NULL);
    g_assert_cmpint(sidecar != NULL, ==, errors[1] == NULL);
    for (unsigned i = 0; i < 2; i++) {
        if (errors[i] != NULL) {
            check_error(errors[i]);
            g_clear_error(&errors[i]);
        }
    }
    pgw_entry_settings_free(entry);
    pgw_sidecar_settings_free(sidecar);
    return good;
}

static void
write_file(const char *path, const GByteArray *input)
{
    FILE *file = fopen(path, "w");

    g_assert_nonnull(file);
    g_assert_cmpuint(fwrite(input->data, 1, input->len, file), ==, input->len);
    fclose(file);
}

static void
fuzz_files(GRand *random)
{
    struct fuzz_seed list[G_N_ELEMENTS(files)];
    GByteArray *input = g_byte_array_new();
    char *dir = g_dir_make_tmp("pgw-fuzz-XXXXXX", NULL);
    char *path = g_build_filename(dir, "settings.json", NULL);
    unsigned good = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(files); i++) {
        list[i].data = (const uint8_t *)files[i];
        list[i].size = strlen(files[i]);
    }
    for (unsigned i = 0; i < FILE_INPUTS; i++) {
        fuzz_next(input, random, list, G_N_ELEMENTS(files));
        write_file(path, input);
        good += load_file(path);
    }
    g_print("files: accepted %u of %u\n", good, FILE_INPUTS);
    g_assert_cmpuint(good, >, FILE_INPUTS / 20);
    g_assert_cmpuint(good, <, FILE_INPUTS);
    g_unlink(path);
    g_rmdir(dir);
    g_free(path);
    g_free(dir);
    g_byte_array_unref(input);
}

static void
fuzz_objects(GRand *random)
{
    GByteArray *input = g_byte_array_new();
    unsigned good = 0;

    for (unsigned i = 0; i < OBJECT_INPUTS; i++) {
        size_t which = fuzz_pick(random, G_N_ELEMENTS(objects));
        struct fuzz_seed seed = {
            .data = (const uint8_t *)objects[which].value,
            .size = strlen(objects[which].value),
        };
        struct pgw_config_set *set = pgw_config_set_new();
        GError *error = NULL;
        bool accepted;

        fuzz_next(input, random, &seed, 1);
        g_byte_array_append(input, (const guint8 *)"", 1);
        accepted =
            pgw_config_set_apply(set, objects[which].kind, "x", 1,
                                 (const char *)input->data, NULL, &error);
        g_assert_cmpint(accepted, ==, error == NULL);
        if (accepted) {
            struct pgw_config *config = pgw_config_build(set);

            pgw_config_unref(config);
            good++;
        }
        else {
            check_error(error);
            g_clear_error(&error);
        }
        pgw_config_set_free(set);
    }
    g_print("objects: accepted %u of %u\n", good, OBJECT_INPUTS);
    g_assert_cmpuint(good, >, OBJECT_INPUTS / 20);
    g_assert_cmpuint(good, <, OBJECT_INPUTS);
    g_byte_array_unref(input);
}

int
main(void)
{
    GRand *random = g_rand_new_with_seed(FUZZ_SEED);

    fuzz_files(random);
    fuzz_objects(random);
    g_rand_free(random);
    return 0;
}
