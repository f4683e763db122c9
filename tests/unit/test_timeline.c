#include "cli/timeline.h"
#include "order.h"
#include "util/hex.h"
#include "util/hlc.h"
#include "util/trace.h"

#include <string.h>

/* What a process with @trace would answer to GET /timeline. */
static void
add_process(struct pgw_timeline *timeline, const struct pgw_trace *trace,
            const char *instance)
{
    struct pgw_trace_query all = {0};
    char *text = pgw_trace_to_json(trace, &all, instance, "za");
    JsonNode *root = json_from_string(text, NULL);

    g_assert_true(pgw_timeline_add(timeline, root));
    json_node_unref(root);
    g_free(text);
}

/* An entry whose wall clock lags by a minute sends a request to a sidecar and
 * hears from it; by wall clocks the answer would stand before the question. */
static void
make_timeline(struct pgw_timeline *out)
{
    struct pgw_request_id id = {{0xab, 0xcd}};
    struct pgw_hlc entry_clock = {0};
    struct pgw_hlc sidecar_clock = {0};
    struct pgw_trace *entry;
    struct pgw_trace *sidecar;

    pgw_trace_new(&entry, 16, &entry_clock);
    pgw_trace_new(&sidecar, 16, &sidecar_clock);
    entry_clock.last = pgw_hlc_from_us(pgw_hlc_wall_us() + 50000000);
    pgw_trace_record(entry, PGW_TRACE_ATTEMPT_OPEN, &id, 1, 7, 0, "<guide&1>");
    pgw_hlc_receive(&sidecar_clock, entry_clock.last, pgw_hlc_wall_us());
    pgw_trace_record(sidecar, PGW_TRACE_FIRST_TOKEN, &id, 1, 96, 128, NULL);
    pgw_trace_record(sidecar, PGW_TRACE_SIDECAR_REFUSE, &id, 2,
                     PGW_REFUSAL_LEAVING, PGW_RAN_NO, NULL);
    pgw_hlc_receive(&entry_clock, sidecar_clock.last, pgw_hlc_wall_us());
    pgw_trace_record(entry, PGW_TRACE_RETRY, &id, 2, 0, 1, NULL);
    pgw_timeline_init(out);
    add_process(out, sidecar, "sidecar-1");
    add_process(out, entry, "entry-a");
    g_ptr_array_add(out->missing, g_strdup("192.0.2.1:9: timed out"));
    pgw_timeline_sort(out);
    pgw_trace_free(entry);
    pgw_trace_free(sidecar);
}

static void
test_causal_order(void)
{
    static const char *const expected[] = {
        "entry-a",
        "attempt_open",
        "abcd0000#1",
        "<guide&1>",
        "uncached_tokens=7",
        "sidecar-1",
        "first_token",
        "cached_tokens=96",
        "sidecar_refuse",
        "refusal=leaving ran=no",
        "retry",
        "failures=1",
        "# no events from 192.0.2.1:9: timed out",
        NULL};
    struct pgw_timeline timeline;
    char *text;

    make_timeline(&timeline);
    text = pgw_timeline_to_text(&timeline);
    assert_in_order(text, expected);
    g_free(text);
    pgw_timeline_dispose(&timeline);
}

static void
test_json_and_html(void)
{
    static const char *const expected[] = {"class=\"step\"",
                                           "attempt_open",
                                           "&lt;guide&amp;1&gt;",
                                           "first_token",
                                           "class=\"event fault\"",
                                           "sidecar_refuse",
                                           "class=\"event retry\"",
                                           "</svg>",
                                           NULL};
    struct pgw_timeline timeline;
    JsonNode *node;
    char *text;

    make_timeline(&timeline);
    text = pgw_timeline_to_html(&timeline);
    assert_in_order(text, expected);
    g_assert_null(strstr(text, "<guide"));
    g_assert_null(strstr(text, "http://192"));
    g_free(text);
    text = pgw_timeline_to_json(&timeline);
    node = json_from_string(text, NULL);
    g_assert_cmpuint(json_array_get_length(json_object_get_array_member(
                         json_node_get_object(node), "events")),
                     ==, 4);
    json_node_unref(node);
    g_free(text);
    pgw_timeline_dispose(&timeline);
}

static void
test_foreign_answers_are_refused(void)
{
    struct pgw_timeline timeline;
    JsonNode *node = json_from_string("{\"events\":[3,{}],\"x\":1}", NULL);
    JsonNode *other = json_from_string("[1]", NULL);

    pgw_timeline_init(&timeline);
    g_assert_false(pgw_timeline_add(&timeline, NULL));
    g_assert_false(pgw_timeline_add(&timeline, other));
    g_assert_true(pgw_timeline_add(&timeline, node));
    g_assert_cmpuint(timeline.events->len, ==, 1);
    json_node_unref(node);
    json_node_unref(other);
    pgw_timeline_dispose(&timeline);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/timeline/order", test_causal_order);
    g_test_add_func("/timeline/formats", test_json_and_html);
    g_test_add_func("/timeline/foreign", test_foreign_answers_are_refused);
    return g_test_run();
}
