/* Fuzzes the frame decoder: it decodes a frame, waits for more bytes, or
 * reports an invalid stream with an error. */
#include <string.h>

#include "libparsleygw/frame.h"
#include "parsleygw/errors.h"

#include "fuzz/fuzz_input.h"

struct result_counts {
    unsigned decoded;
    unsigned invalid;
    unsigned incomplete;
};

static void
decode_all(struct result_counts *counts, const GByteArray *input)
{
    struct pgw_buffer in = {0};
    enum pgw_frame_result result;

    pgw_buffer_append(&in, input->data, input->len);
    do {
        size_t before = pgw_buffer_size(&in);
        enum pgw_frame_type type;
        ProtobufCMessage *message = NULL;
        GError *error = NULL;

        result = pgw_frame_decode(&type, &message, &in, &error);
        g_assert_cmpint(result == PGW_FRAME_INVALID, ==, error != NULL);
        g_assert_cmpint(result == PGW_FRAME_DECODED, ==, message != NULL);
        if (result == PGW_FRAME_DECODED) {
            g_assert_cmpuint(pgw_buffer_size(&in), <, before);
            /* A decoded message can be encoded again. */
            pgw_frame_append(&in, type, message);
            in.end -= protobuf_c_message_get_packed_size(message) +
                      PGW_FRAME_HEADER_SIZE;
            counts->decoded++;
        }
        counts->invalid += result == PGW_FRAME_INVALID;
        counts->incomplete += result == PGW_FRAME_INCOMPLETE;
        pgw_frame_free(message);
        g_clear_error(&error);
    } while (result == PGW_FRAME_DECODED);
    pgw_buffer_dispose(&in);
}

static void
append_open(struct pgw_buffer *out)
{
    uint8_t id[16] = {9};
    Pgw__Level level = PGW__LEVEL__INIT;
    Pgw__Level *levels[] = {&level, &level};
    Pgw__Open open = PGW__OPEN__INIT;

    level.hash_high = 1;
    level.end_tokens = 16;
    open.request.data = id;
    open.request.len = sizeof(id);
    open.attempt = 1;
    open.workspace = "skalholt";
    open.deadline_ms = 1000;
    open.n_levels = 2;
    open.levels = levels;
    open.body.data = id;
    open.body.len = sizeof(id);
    open.temperature = 0.5;
    pgw_frame_append(out, PGW_FRAME_OPEN, &open.base);
}

static void
append_objects(struct pgw_buffer *out)
{
    Pgw__Object object = PGW__OBJECT__INIT;
    Pgw__Object *list[] = {&object};
    Pgw__Objects objects = PGW__OBJECTS__INIT;
    uint64_t buckets[4] = {1, 2, 3, 4};
    Pgw__Digest digest = PGW__DIGEST__INIT;

    object.kind = "pool";
    object.name = "guide";
    object.version = 3;
    objects.n_objects = 1;
    objects.objects = list;
    pgw_frame_append(out, PGW_FRAME_OBJECTS, &objects.base);
    digest.summary = 7;
    digest.n_buckets = 4;
    digest.buckets = buckets;
    pgw_frame_append(out, PGW_FRAME_DIGEST, &digest.base);
}

int
main(void)
{
    struct pgw_buffer seeds[2] = {0};
    struct fuzz_seed list[2];
    GRand *random = g_rand_new_with_seed(FUZZ_SEED);
    GByteArray *input = g_byte_array_new();
    struct result_counts counts = {0};

    append_open(&seeds[0]);
    append_objects(&seeds[1]);
    for (unsigned i = 0; i < 2; i++) {
        list[i].data = pgw_buffer_head(&seeds[i]);
        list[i].size = pgw_buffer_size(&seeds[i]);
    }
    for (unsigned i = 0; i < FUZZ_INPUTS; i++) {
        fuzz_next(input, random, list, 2);
        decode_all(&counts, input);
    }
    g_print("decoded %u, invalid %u, incomplete %u\n", counts.decoded,
            counts.invalid, counts.incomplete);
    /* Each result occurred often: the inputs are neither all valid nor all
     * invalid. */
    g_assert_cmpuint(counts.decoded, >, FUZZ_INPUTS / 10);
    g_assert_cmpuint(counts.invalid, >, FUZZ_INPUTS / 10);
    g_assert_cmpuint(counts.incomplete, >, FUZZ_INPUTS / 10);
    g_byte_array_unref(input);
    g_rand_free(random);
    pgw_buffer_dispose(&seeds[0]);
    pgw_buffer_dispose(&seeds[1]);
    return 0;
}
