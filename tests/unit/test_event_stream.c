#include "gateway/http/event_stream.h"
#include <string.h>

static const char answer[] = "id: 1\ndata: a\n\n"
                             "id: 2\r\ndata: b\r\n\r\n"
                             "weights: 3\nid: 7\ndata: c\n\n";

/* Pieces of any size return the same bytes, split at ends of events. */
static void
test_pieces(void)
{
    for (size_t step = 1; step < sizeof(answer); step++) {
        struct pgw_event_stream stream = {0};
        GString *out = g_string_new(NULL);

        for (size_t at = 0; at < strlen(answer); at += step) {
            size_t size = MIN(step, strlen(answer) - at);
            size_t complete_size =
                pgw_event_stream_feed(&stream, answer + at, size);

            g_string_append_len(out,
                                (const char *)pgw_buffer_head(&stream.pending),
                                (gssize)complete_size);
            pgw_event_stream_consume(&stream, complete_size);
            g_assert_true(out->len == 0 ||
                          g_str_has_suffix(out->str, "\n\n") ||
                          g_str_has_suffix(out->str, "\r\n\r\n"));
        }
        g_assert_cmpstr(out->str, ==, answer);
        g_assert_cmpuint(stream.events, ==, 3);
        g_assert_cmpuint(stream.last_id, ==, 7);
        g_assert_false(stream.out_of_order);
        g_string_free(out, TRUE);
        pgw_event_stream_dispose(&stream);
    }
}

/* A connection breaks within event 3. The incomplete event is dropped, and
 * event 3 of another upstream follows event 2. */
static void
test_discards_partial_event(void)
{
    struct pgw_event_stream stream = {0};
    size_t complete_size =
        pgw_event_stream_feed(&stream, "id: 1\n\nid: 2\n\nid: 3\nda", 23);

    g_assert_cmpuint(complete_size, ==, 14);
    pgw_event_stream_consume(&stream, complete_size);
    pgw_event_stream_discard_partial(&stream);
    g_assert_cmpuint(stream.last_id, ==, 2);
    complete_size = pgw_event_stream_feed(&stream, "id: 3\n\n", 7);
    g_assert_cmpuint(complete_size, ==, 7);
    g_assert_false(stream.out_of_order);
    pgw_event_stream_dispose(&stream);
}

static void
test_order(void)
{
    struct pgw_event_stream stream = {0};

    pgw_event_stream_feed(&stream, "id: 4\n\n", 7);
    pgw_event_stream_feed(&stream, "id: 4\n\n", 7);
    g_assert_true(stream.out_of_order);
    pgw_event_stream_dispose(&stream);
}

/* Guards against a gap: another upstream goes on after events that it has not
 * sent. Ids that were not consecutive before may go on with any larger one. */
static void
test_next(void)
{
    struct pgw_event_stream stream = {0};
    struct pgw_event_stream uneven = {0};

    pgw_event_stream_feed(&stream, "id: 4\n\nid: 5\n\n", 14);
    pgw_event_stream_consume(&stream, 14);
    pgw_event_stream_require_next(&stream);
    pgw_event_stream_feed(&stream, "id: 6\n\nid: 8\n\n", 14);
    g_assert_false(stream.out_of_order);
    pgw_event_stream_dispose(&stream);

    stream = (struct pgw_event_stream){0};
    pgw_event_stream_feed(&stream, "id: 4\n\nid: 5\n\n", 14);
    pgw_event_stream_consume(&stream, 14);
    pgw_event_stream_require_next(&stream);
    pgw_event_stream_feed(&stream, "id: 7\n\n", 7);
    g_assert_true(stream.out_of_order);
    pgw_event_stream_dispose(&stream);

    pgw_event_stream_feed(&uneven, "id: 4\n\nid: 6\n\n", 14);
    pgw_event_stream_consume(&uneven, 14);
    pgw_event_stream_require_next(&uneven);
    pgw_event_stream_feed(&uneven, "id: 9\n\n", 7);
    g_assert_false(uneven.out_of_order);
    pgw_event_stream_dispose(&uneven);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/event_stream/pieces", test_pieces);
    g_test_add_func("/event_stream/restart", test_discards_partial_event);
    g_test_add_func("/event_stream/order", test_order);
    g_test_add_func("/event_stream/next", test_next);
    return g_test_run();
}
