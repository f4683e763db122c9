#include "cli/timeline.h"

#include "parsleygw/claim.h"
#include "util/hlc.h"
#include "util/trace.h"

#include <string.h>

#define DAY_SECONDS 86400u

static void
lane_clear(gpointer data)
{
    struct pgw_timeline_lane *lane = data;

    g_free(lane->instance);
    g_free(lane->zone);
}

static void
event_clear(gpointer data)
{
    struct pgw_timeline_event *event = data;

    g_free(event->kind_name);
    g_free(event->request);
    g_free(event->text);
}

void
pgw_timeline_init(struct pgw_timeline *timeline)
{
    timeline->lanes =
        g_array_new(FALSE, FALSE, sizeof(struct pgw_timeline_lane));
    timeline->events =
        g_array_new(FALSE, FALSE, sizeof(struct pgw_timeline_event));
    timeline->missing = g_ptr_array_new_with_free_func(g_free);
    g_array_set_clear_func(timeline->lanes, lane_clear);
    g_array_set_clear_func(timeline->events, event_clear);
}

void
pgw_timeline_dispose(struct pgw_timeline *timeline)
{
    g_array_unref(timeline->lanes);
    g_array_unref(timeline->events);
    g_ptr_array_unref(timeline->missing);
}

static const char *
text_of(JsonObject *object, const char *name)
{
    return json_object_get_string_member_with_default(object, name, "");
}

static uint64_t
number_of(JsonObject *object, const char *name)
{
    return (uint64_t)json_object_get_int_member_with_default(object, name, 0);
}

static uint64_t
hex_of(JsonObject *object, const char *name)
{
    return g_ascii_strtoull(text_of(object, name), NULL, 16);
}

static void
add_event(struct pgw_timeline *timeline, JsonObject *object, unsigned lane)
{
    const char *request = text_of(object, "request");
    struct pgw_timeline_event event = {
        .hlc = hex_of(object, "hlc"),
        .lane = lane,
        .kind = pgw_trace_kind_parse(text_of(object, "kind")),
        .kind_name = g_strdup(text_of(object, "kind")),
        .request = *request == '\0' ? NULL : g_strdup(request),
        .attempt = (uint32_t)number_of(object, "attempt"),
        .a = hex_of(object, "a"),
        .b = hex_of(object, "b"),
        .text = g_strdup(text_of(object, "text")),
    };

    g_array_append_val(timeline->events, event);
}

bool
pgw_timeline_add(struct pgw_timeline *timeline, JsonNode *root)
{
    struct pgw_timeline_lane lane;
    JsonObject *object;
    JsonNode *events;

    if (root == NULL || !JSON_NODE_HOLDS_OBJECT(root)) {
        return false;
    }
    object = json_node_get_object(root);
    events = json_object_get_member(object, "events");
    if (events == NULL || !JSON_NODE_HOLDS_ARRAY(events)) {
        return false;
    }
    lane = (struct pgw_timeline_lane){
        .instance = g_strdup(text_of(object, "instance")),
        .zone = g_strdup(text_of(object, "zone")),
        .dropped = number_of(object, "dropped"),
    };
    g_array_append_val(timeline->lanes, lane);
    for (guint i = 0; i < json_array_get_length(json_node_get_array(events));
         i++) {
        JsonNode *event =
            json_array_get_element(json_node_get_array(events), i);

        if (JSON_NODE_HOLDS_OBJECT(event)) {
            add_event(timeline, json_node_get_object(event),
                      timeline->lanes->len - 1);
        }
    }
    return true;
}

/* Clock values order what can have caused what; the lane only makes the
 * order of unrelated events with equal values the same in each run. */
static int
compare_events(gconstpointer a, gconstpointer b)
{
    const struct pgw_timeline_event *x = a;
    const struct pgw_timeline_event *y = b;

    if (x->hlc != y->hlc) {
        return x->hlc < y->hlc ? -1 : 1;
    }
    return (int)x->lane - (int)y->lane;
}

void
pgw_timeline_sort(struct pgw_timeline *timeline)
{
    g_array_sort(timeline->events, compare_events);
}

static const char *
claim_action_name(uint64_t action)
{
    static const char *const names[] = {
        [PGW_CLAIM_PENDING] = "pending",
        [PGW_CLAIM_RUN] = "run",
        [PGW_CLAIM_REPLAY] = "replay",
        [PGW_CLAIM_REFUSE] = "refuse",
    };

    return action < G_N_ELEMENTS(names) ? names[action] : "unknown";
}

static void
append_number(GString *out, const char *label, uint64_t value)
{
    if (label == NULL) {
        return;
    }
    g_string_append_printf(out, "%s%s=", out->len > 0 ? " " : "", label);
    if (strcmp(label, "refusal") == 0) {
        g_string_append(out, pgw_refusal_name((int)MIN(value, G_MAXINT)));
    }
    else if (strcmp(label, "ran") == 0) {
        g_string_append(out, pgw_ran_name((int)MIN(value, G_MAXINT)));
    }
    else if (strcmp(label, "action") == 0) {
        g_string_append(out, claim_action_name(value));
    }
    else if (strcmp(label, "incarnation") == 0) {
        g_string_append_printf(out, "%" G_GINT64_MODIFIER "x", value);
    }
    else {
        g_string_append_printf(out, "%" G_GUINT64_FORMAT, value);
    }
}

char *
pgw_timeline_details(const struct pgw_timeline_event *event)
{
    GString *out = g_string_new(event->text);

    if (event->kind == PGW_TIMELINE_LOG_LINE) {
        return g_string_free(out, FALSE);
    }
    append_number(out, pgw_trace_kind_label_a(event->kind), event->a);
    append_number(out, pgw_trace_kind_label_b(event->kind), event->b);
    return g_string_free(out, FALSE);
}

void
pgw_timeline_clock(char out[16], uint64_t hlc)
{
    uint64_t us = pgw_hlc_to_us(hlc);
    unsigned second = (unsigned)(us / G_USEC_PER_SEC % DAY_SECONDS);

    g_snprintf(out, 16, "%02u:%02u:%02u.%06u", second / 3600, second / 60 % 60,
               second % 60, (unsigned)(us % G_USEC_PER_SEC));
}
