#include "util/hex.h"
#include "util/trace.h"

#include <json-glib/json-glib.h>
#include <string.h>

static void
test_keeps_the_newest(void)
{
    struct pgw_hlc clock = {0};
    struct pgw_trace_query all = {0};
    struct pgw_trace_query one = {0};
    struct pgw_request_id id = {{7}};
    struct pgw_trace *trace;
    GArray *events;

    pgw_trace_new(&trace, 5, &clock); /* rounded up to 8 */
    for (uint64_t i = 0; i < 20; i++) {
        pgw_trace_record(trace, PGW_TRACE_PLACE, i == 15 ? &id : NULL, 1, i, 0,
                         "a text that is longer than the record has room for");
    }
    events = pgw_trace_read(trace, &all);
    g_assert_cmpuint(events->len, ==, 8);
    for (guint i = 0; i < events->len; i++) {
        g_assert_cmpuint(g_array_index(events, struct pgw_trace_event, i).a,
                         ==, 12 + i);
    }
    one.request = &id;
    one.since = g_array_index(events, struct pgw_trace_event, 2).hlc;
    g_array_unref(events);
    events = pgw_trace_read(trace, &one);
    g_assert_cmpuint(events->len, ==, 1);
    g_assert_cmpuint(g_array_index(events, struct pgw_trace_event, 0).a, ==,
                     15);
    g_array_unref(events);
    all.limit = 3;
    events = pgw_trace_read(trace, &all);
    g_assert_cmpuint(events->len, ==, 3);
    g_assert_cmpuint(g_array_index(events, struct pgw_trace_event, 0).a, ==,
                     17);
    g_array_unref(events);
    pgw_trace_free(trace);
}

#define WRITERS 4
#define ROUNDS 20000

struct writer {
    struct pgw_trace *trace;
    int *running;
    uint32_t number;
};

static void *
write_many(void *data)
{
    struct writer *writer = data;
    struct pgw_request_id id;

    for (uint64_t i = 0; i < ROUNDS; i++) {
        memset(id.bytes, (int)(i & 0xff), sizeof(id.bytes));
        pgw_trace_record(writer->trace, PGW_TRACE_QUEUE, &id, writer->number,
                         i, ~i, NULL);
    }
    __atomic_fetch_sub(writer->running, 1, __ATOMIC_SEQ_CST);
    return NULL;
}

/* An event mixed from two would not pass this. */
static void
check_whole(const struct pgw_trace_event *event)
{
    g_assert_cmpuint(event->b, ==, ~event->a);
    for (size_t i = 0; i < sizeof(event->request.bytes); i++) {
        g_assert_cmpuint(event->request.bytes[i], ==, event->a & 0xff);
    }
}

/* Four writers go round a small ring while a reader copies it: each copied
 * event is one that was written, and all are written or counted as dropped. */
static void
test_readers_see_whole_events(void)
{
    struct pgw_hlc clock = {0};
    struct pgw_trace_query all = {0};
    struct writer writers[WRITERS];
    GThread *threads[WRITERS];
    struct pgw_trace *trace;
    int running = WRITERS;
    GArray *events;

    pgw_trace_new(&trace, 16, &clock);
    for (uint32_t i = 0; i < WRITERS; i++) {
        writers[i] = (struct writer){trace, &running, i};
        threads[i] = g_thread_new("writer", write_many, &writers[i]);
    }
    do {
        events = pgw_trace_read(trace, &all);
        for (guint i = 0; i < events->len; i++) {
            check_whole(&g_array_index(events, struct pgw_trace_event, i));
        }
        g_array_unref(events);
    } while (__atomic_load_n(&running, __ATOMIC_SEQ_CST) > 0);
    for (int i = 0; i < WRITERS; i++) {
        g_thread_join(threads[i]);
    }
    events = pgw_trace_read(trace, &all);
    g_assert_cmpuint(events->len, >, 0);
    g_assert_cmpuint(pgw_trace_dropped(trace), <, WRITERS * ROUNDS);
    g_array_unref(events);
    pgw_trace_free(trace);
}

static void
test_json(void)
{
    struct pgw_hlc clock = {0};
    struct pgw_trace_query all = {0};
    struct pgw_request_id id = {{0xab, 1}};
    struct pgw_trace *trace;
    JsonNode *root;
    JsonObject *event;
    char *text;

    pgw_trace_new(&trace, 8, &clock);
    pgw_trace_record(trace, PGW_TRACE_CLAIM, &id, 2, 3, UINT64_MAX,
                     "quote \" and \xff");
    text = pgw_trace_to_json(trace, &all, "entry-a", "za");
    root = json_from_string(text, NULL);
    g_assert_nonnull(root);
    event = json_array_get_object_element(
        json_object_get_array_member(json_node_get_object(root), "events"), 0);
    g_assert_cmpstr(json_object_get_string_member(event, "kind"), ==, "claim");
    g_assert_cmpstr(json_object_get_string_member(event, "request"), ==,
                    "ab010000000000000000000000000000");
    g_assert_cmpint(json_object_get_int_member(event, "attempt"), ==, 2);
    g_assert_cmpstr(json_object_get_string_member(event, "b"), ==,
                    "ffffffffffffffff");
    json_node_unref(root);
    g_free(text);
    pgw_trace_free(trace);
}

static void
test_kinds_have_distinct_names(void)
{
    GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);

    for (int i = 0; i < PGW_TRACE_KIND_COUNT; i++) {
        g_assert_nonnull(pgw_trace_kind_name(i));
        g_assert_true(g_hash_table_add(names, (char *)pgw_trace_kind_name(i)));
    }
    g_assert_cmpstr(pgw_trace_kind_name(PGW_TRACE_KIND_COUNT), ==, "unknown");
    g_hash_table_unref(names);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/trace/newest", test_keeps_the_newest);
    g_test_add_func("/trace/concurrent", test_readers_see_whole_events);
    g_test_add_func("/trace/json", test_json);
    g_test_add_func("/trace/names", test_kinds_have_distinct_names);
    return g_test_run();
}
