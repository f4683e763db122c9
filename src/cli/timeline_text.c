#include "cli/timeline.h"

#include "cli/objects.h"
#include "util/trace.h"

static const struct pgw_timeline_lane *
lane_of(const struct pgw_timeline *timeline,
        const struct pgw_timeline_event *event)
{
    return &g_array_index(timeline->lanes, struct pgw_timeline_lane,
                          event->lane);
}

static int
lane_width(const struct pgw_timeline *timeline)
{
    glong width = 0;

    for (guint i = 0; i < timeline->lanes->len; i++) {
        glong length = g_utf8_strlen(
            g_array_index(timeline->lanes, struct pgw_timeline_lane, i)
                .instance,
            -1);

        width = MAX(width, length);
    }
    return (int)width;
}

static void
append_event(GString *out, const struct pgw_timeline *timeline,
             const struct pgw_timeline_event *event, int width)
{
    char clock[16];
    char attempt[16] = "";
    char *details = pgw_timeline_details(event);

    pgw_timeline_clock(clock, event->hlc);
    if (event->attempt != 0) {
        g_snprintf(attempt, sizeof(attempt), "#%u", event->attempt);
    }
    /* Eight digits tell requests apart on a screen; JSON has them all. */
    g_string_append_printf(
        out, "%s  %-*s  %-15s  %.8s%-3s  %s\n", clock, width,
        lane_of(timeline, event)->instance, event->kind_name,
        event->request != NULL ? event->request : "        ", attempt,
        details);
    g_free(details);
}

static void
append_gaps(GString *out, const struct pgw_timeline *timeline)
{
    for (guint i = 0; i < timeline->lanes->len; i++) {
        const struct pgw_timeline_lane *lane =
            &g_array_index(timeline->lanes, struct pgw_timeline_lane, i);

        if (lane->dropped > 0) {
            g_string_append_printf(out,
                                   "# %s lost %" G_GUINT64_FORMAT " events\n",
                                   lane->instance, lane->dropped);
        }
    }
    for (guint i = 0; i < timeline->missing->len; i++) {
        g_string_append_printf(
            out, "# no events from %s\n",
            (const char *)g_ptr_array_index(timeline->missing, i));
    }
}

char *
pgw_timeline_to_text(const struct pgw_timeline *timeline)
{
    GString *out = g_string_new(NULL);
    int width = lane_width(timeline);

    for (guint i = 0; i < timeline->events->len; i++) {
        append_event(
            out, timeline,
            &g_array_index(timeline->events, struct pgw_timeline_event, i),
            width);
    }
    append_gaps(out, timeline);
    return g_string_free(out, FALSE);
}

static void
add_text(JsonObject *object, const char *name, const char *value)
{
    json_object_set_string_member(object, name, value);
}

static JsonObject *
event_to_json(const struct pgw_timeline *timeline,
              const struct pgw_timeline_event *event)
{
    JsonObject *object = json_object_new();
    char clock[17];
    char *details = pgw_timeline_details(event);

    g_snprintf(clock, sizeof(clock), "%016" G_GINT64_MODIFIER "x", event->hlc);
    add_text(object, "hlc", clock);
    add_text(object, "instance", lane_of(timeline, event)->instance);
    add_text(object, "zone", lane_of(timeline, event)->zone);
    add_text(object, "kind", event->kind_name);
    if (event->request != NULL) {
        add_text(object, "request", event->request);
    }
    json_object_set_int_member(object, "attempt", event->attempt);
    add_text(object, "text", event->text);
    add_text(object, "details", details);
    g_free(details);
    return object;
}

char *
pgw_timeline_to_json(const struct pgw_timeline *timeline)
{
    JsonObject *root = json_object_new();
    JsonArray *events = json_array_new();
    JsonArray *missing = json_array_new();
    JsonNode *node = json_node_new(JSON_NODE_OBJECT);
    char *text;

    for (guint i = 0; i < timeline->events->len; i++) {
        json_array_add_object_element(
            events,
            event_to_json(timeline,
                          &g_array_index(timeline->events,
                                         struct pgw_timeline_event, i)));
    }
    for (guint i = 0; i < timeline->missing->len; i++) {
        json_array_add_string_element(missing,
                                      g_ptr_array_index(timeline->missing, i));
    }
    json_object_set_array_member(root, "events", events);
    json_object_set_array_member(root, "missing", missing);
    json_node_take_object(node, root);
    text = pgw_cli_json_text(node, true);
    json_node_unref(node);
    return text;
}
