/* Frames: complete, split at every byte, and invalid ones. */
#include <string.h>

#include "libparsleygw/frame.h"
#include "parsleygw/errors.h"

static void
append_cancel(struct pgw_buffer *out, uint32_t attempt)
{
    uint8_t id[16] = {1, 2, 3};
    Pgw__Cancel cancel = PGW__CANCEL__INIT;

    cancel.request.data = id;
    cancel.request.len = sizeof(id);
    cancel.attempt = attempt;
    pgw_frame_append(out, PGW_FRAME_CANCEL, &cancel.base);
}

static void
assert_cancel(struct pgw_buffer *in, uint32_t attempt)
{
    enum pgw_frame_type type;
    ProtobufCMessage *message = NULL;
    GError *error = NULL;

    g_assert_cmpint(pgw_frame_decode(&type, &message, in, &error), ==,
                    PGW_FRAME_DECODED);
    g_assert_no_error(error);
    g_assert_cmpint(type, ==, PGW_FRAME_CANCEL);
    g_assert_cmpuint(((Pgw__Cancel *)message)->attempt, ==, attempt);
    g_assert_cmpuint(((Pgw__Cancel *)message)->request.len, ==, 16);
    pgw_frame_free(message);
}

static void
test_split_anywhere(void)
{
    struct pgw_buffer whole = {0};
    struct pgw_buffer in = {0};
    enum pgw_frame_type type;
    ProtobufCMessage *message = NULL;
    GError *error = NULL;

    append_cancel(&whole, 7);
    append_cancel(&whole, 8);
    for (size_t cut = 0; cut < pgw_buffer_size(&whole) / 2; cut++) {
        const uint8_t *head = pgw_buffer_head(&whole);

        pgw_buffer_append(&in, head, cut);
        g_assert_cmpint(pgw_frame_decode(&type, &message, &in, &error), ==,
                        PGW_FRAME_INCOMPLETE);
        g_assert_no_error(error);
        pgw_buffer_append(&in, head + cut, pgw_buffer_size(&whole) - cut);
        assert_cancel(&in, 7);
        assert_cancel(&in, 8);
        g_assert_cmpuint(pgw_buffer_size(&in), ==, 0);
    }
    pgw_buffer_dispose(&in);
    pgw_buffer_dispose(&whole);
}

static void
assert_invalid(const uint8_t *bytes, size_t size)
{
    struct pgw_buffer in = {0};
    enum pgw_frame_type type;
    ProtobufCMessage *message = NULL;
    GError *error = NULL;

    pgw_buffer_append(&in, bytes, size);
    g_assert_cmpint(pgw_frame_decode(&type, &message, &in, &error), ==,
                    PGW_FRAME_INVALID);
    g_assert_error(error, PGW_ERROR, PGW_ERROR_PROTOCOL);
    g_assert_null(message);
    g_clear_error(&error);
    pgw_buffer_dispose(&in);
}

/* Each frame is rejected as soon as its bytes show the error, so that a peer
 * cannot make a process wait for or buffer more than one frame. */
static void
test_invalid(void)
{
    const uint8_t zero_length[] = {0, 0, 0, 0, PGW_FRAME_CANCEL};
    const uint8_t max_length[] = {0xff, 0xff, 0xff, 0xff, PGW_FRAME_CANCEL};
    const uint8_t too_long[] = {0, 0xa0, 0, 1, PGW_FRAME_CANCEL};
    const uint8_t no_type[] = {0, 0, 0, 1, 0};
    const uint8_t unknown_type[] = {0, 0, 0, 9, PGW_FRAME_TYPE_COUNT};
    /* Field 1 declares 127 bytes but none follow. */
    const uint8_t truncated_field[] = {0,    0,   0, 3, PGW_FRAME_CANCEL,
                                       0x0a, 0x7f};

    assert_invalid(zero_length, sizeof(zero_length));
    assert_invalid(max_length, sizeof(max_length));
    assert_invalid(too_long, sizeof(too_long));
    assert_invalid(no_type, sizeof(no_type));
    assert_invalid(unknown_type, sizeof(unknown_type));
    assert_invalid(truncated_field, sizeof(truncated_field));
}

static void
test_largest(void)
{
    struct pgw_buffer in = {0};
    Pgw__Data data = PGW__DATA__INIT;
    enum pgw_frame_type type;
    ProtobufCMessage *message = NULL;
    GError *error = NULL;

    data.data.len = PGW_FRAME_MAX_SIZE - 64;
    data.data.data = g_malloc0(data.data.len);
    pgw_frame_append(&in, PGW_FRAME_DATA, &data.base);
    g_assert_cmpint(pgw_frame_decode(&type, &message, &in, &error), ==,
                    PGW_FRAME_DECODED);
    g_assert_cmpuint(((Pgw__Data *)message)->data.len, ==, data.data.len);
    /* An empty buffer releases its peak capacity. */
    g_assert_cmpuint(in.capacity, ==, 0);
    pgw_frame_free(message);
    g_free(data.data.data);
    pgw_buffer_dispose(&in);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/frame/split-anywhere", test_split_anywhere);
    g_test_add_func("/frame/invalid", test_invalid);
    g_test_add_func("/frame/largest", test_largest);
    return g_test_run();
}
