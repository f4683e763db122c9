/* The parser of callers' bodies: it reads a request, or refuses it with an
 * error and leaves nothing behind. */
#include <string.h>

#include "entry/request_parse.h"
#include "parsleygw/errors.h"

#include "fuzz/fuzz_input.h"

static const char *const bodies[] = {
    "{\"model\":\"route\",\"prompt\":\"where to?\",\"max_tokens\":16,"
    "\"stream\":true,\"seed\":7,\"temperature\":0.25,\"n\":1}",
    "{\"model\":\"route\",\"messages\":[{\"role\":\"system\",\"content\":"
    "\"r\\u00e9gle\\n\"},{\"role\":\"user\",\"content\":\"hi\"}],"
    "\"max_completion_tokens\":3,\"stream\":false,\"stop\":null}",
};

static bool
parse_one(const GByteArray *input, bool chat)
{
    struct request_fields fields;
    GError *error = NULL;
    bool good = request_parse(&fields, input->data, input->len, chat, &error);

    g_assert_cmpint(good, ==, error == NULL);
    if (good) {
        g_assert_nonnull(fields.model);
        g_assert_cmpuint(fields.prompt->len, >, 0);
        g_assert_true(g_utf8_validate(fields.prompt->str,
                                      (gssize)fields.prompt->len, NULL));
        g_assert_cmpuint(fields.n_boundaries, <=, PGW_LEVEL_MAX);
        g_assert_cmpuint(fields.max_tokens, <=, 1000000);
        request_fields_dispose(&fields);
    }
    else {
        g_assert_error(error, PGW_ERROR, PGW_ERROR_INVALID);
        g_assert_cmpuint(strlen(error->message), >, 0);
    }
    g_clear_error(&error);
    return good;
}

int
main(void)
{
    struct fuzz_seed list[G_N_ELEMENTS(bodies)];
    GRand *random = g_rand_new_with_seed(FUZZ_SEED);
    GByteArray *input = g_byte_array_new();
    unsigned good = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
        list[i].data = (const uint8_t *)bodies[i];
        list[i].size = strlen(bodies[i]);
    }
    for (unsigned i = 0; i < FUZZ_INPUTS; i++) {
        fuzz_next(input, random, list, G_N_ELEMENTS(bodies));
        good += parse_one(input, false);
        good += parse_one(input, true);
    }
    g_print("accepted %u of %u\n", good, 2 * FUZZ_INPUTS);
    g_assert_cmpuint(good, >, FUZZ_INPUTS / 20);
    g_assert_cmpuint(good, <, FUZZ_INPUTS);
    g_byte_array_unref(input);
    g_rand_free(random);
    return 0;
}
