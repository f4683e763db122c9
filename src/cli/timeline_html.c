#include "cli/timeline.h"

#include "util/hlc.h"
#include "util/trace.h"

#include <string.h>

/* One row an event, the newest that fit; more would be no picture. */
#define MAX_EVENTS 3000
#define ROW_HEIGHT 18
#define HEAD_HEIGHT 40
#define TIME_WIDTH 120
#define LANE_WIDTH 150
#define LABEL_WIDTH 640

enum look {
    LOOK_REQUEST,
    LOOK_RETRY,
    LOOK_FAULT,
    LOOK_CONFIG,
    LOOK_FLEET
};

static const char *const look_names[] = {"request", "retry", "fault", "config",
                                         "fleet"};

/* Kinds that are not listed are the ordinary way of a request. */
static enum look
look_of(int kind)
{
    switch (kind) {
    case PGW_TRACE_RETRY:
    case PGW_TRACE_RESUME:
    case PGW_TRACE_CANCEL:
        return LOOK_RETRY;
    case PGW_TRACE_REQUEST_REFUSE:
    case PGW_TRACE_ATTEMPT_FAIL:
    case PGW_TRACE_SIDECAR_REFUSE:
    case PGW_TRACE_UPSTREAM_DOWN:
    case PGW_TRACE_PEER_DOWN:
    case PGW_TRACE_STORE_DOWN:
    case PGW_TRACE_EVENT_GAP:
    case PGW_TRACE_QUARANTINE_ADD:
        return LOOK_FAULT;
    case PGW_TRACE_CONFIG_APPLY:
        return LOOK_CONFIG;
    case PGW_TRACE_PROCESS_START:
    case PGW_TRACE_PROCESS_STOP:
    case PGW_TRACE_PEER_UP:
    case PGW_TRACE_UPSTREAM_UP:
    case PGW_TRACE_RESYNC:
    case PGW_TRACE_ORDER:
    case PGW_TRACE_ORDER_DONE:
    case PGW_TRACE_PERMIT_TAKE:
    case PGW_TRACE_PERMIT_RELEASE:
    case PGW_TRACE_DRAIN_BEGIN:
    case PGW_TRACE_DRAIN_END:
    case PGW_TRACE_QUARANTINE_LIFT:
    case PGW_TRACE_STORE_UP:
        return LOOK_FLEET;
    default:
        return LOOK_REQUEST;
    }
}

/* Where an event stands in the picture. */
struct place {
    unsigned x;
    unsigned y;
};

static struct place
place_of(const struct pgw_timeline_event *event, guint row)
{
    return (struct place){.x = TIME_WIDTH + LANE_WIDTH * event->lane +
                               LANE_WIDTH / 2,
                          .y = ROW_HEIGHT * row + ROW_HEIGHT / 2};
}

static void
append_escaped(GString *out, const char *text)
{
    char *escaped = g_markup_escape_text(text, -1);

    g_string_append(out, escaped);
    g_free(escaped);
}

/* The names stay in sight while the picture scrolls under them. */
static void
append_lane_names(GString *out, const struct pgw_timeline *timeline,
                  unsigned width)
{
    g_string_append_printf(out,
                           "<div class=\"names\"><svg width=\"%u\" "
                           "height=\"%u\">\n",
                           width, HEAD_HEIGHT);
    for (guint i = 0; i < timeline->lanes->len; i++) {
        const struct pgw_timeline_lane *lane =
            &g_array_index(timeline->lanes, struct pgw_timeline_lane, i);
        unsigned x = TIME_WIDTH + LANE_WIDTH * i + LANE_WIDTH / 2;

        g_string_append_printf(out, "<text class=\"head\" x=\"%u\" y=\"16\">",
                               x);
        append_escaped(out, lane->instance);
        g_string_append_printf(out,
                               "</text><text class=\"zone\" x=\"%u\" "
                               "y=\"32\">",
                               x);
        append_escaped(out, lane->zone);
        g_string_append(out, "</text>\n");
    }
    g_string_append(out, "</svg></div>\n");
}

static void
append_lanes(GString *out, const struct pgw_timeline *timeline,
             unsigned height)
{
    for (guint i = 0; i < timeline->lanes->len; i++) {
        unsigned x = TIME_WIDTH + LANE_WIDTH * i + LANE_WIDTH / 2;

        g_string_append_printf(out,
                               "<line class=\"lane\" x1=\"%u\" y1=\"0\" "
                               "x2=\"%u\" y2=\"%u\"/>\n",
                               x, x, height);
    }
}

/* From a request's last event to this one: its way through the processes. */
static void
append_step(GString *out, const struct pgw_timeline_event *event,
            struct place from, struct place to)
{
    g_string_append_printf(out,
                           "<line class=\"step\" data-r=\"%s\" x1=\"%u\" "
                           "y1=\"%u\" x2=\"%u\" y2=\"%u\"/>\n",
                           event->request, from.x, from.y, to.x, to.y);
}

static void
append_time(GString *out, const struct pgw_timeline_event *event,
            uint64_t start, unsigned y)
{
    char clock[16];
    uint64_t us = pgw_hlc_to_us(event->hlc) - pgw_hlc_to_us(start);

    pgw_timeline_clock(clock, event->hlc);
    g_string_append_printf(out,
                           "<text class=\"time\" x=\"4\" y=\"%u\">%s"
                           "<title>%.3f ms after the first event</title>"
                           "</text>",
                           y + 4, clock, (double)us / 1000);
}

static void
append_event(GString *out, const struct pgw_timeline_event *event,
             struct place at)
{
    char *details = pgw_timeline_details(event);

    g_string_append_printf(
        out,
        "<g class=\"event %s\" data-r=\"%s\"><circle cx=\"%u\" cy=\"%u\" "
        "r=\"5\"/><text x=\"%u\" y=\"%u\">",
        look_names[look_of(event->kind)],
        event->request != NULL ? event->request : "", at.x, at.y, at.x + 10,
        at.y + 4);
    append_escaped(out, event->kind_name);
    if (event->request != NULL) {
        g_string_append_printf(out, " <tspan class=\"id\">%.8s",
                               event->request);
        if (event->attempt != 0) {
            g_string_append_printf(out, " #%u", event->attempt);
        }
        g_string_append(out, "</tspan>");
    }
    g_string_append_c(out, ' ');
    append_escaped(out, details);
    g_string_append(out, "</text></g>\n");
    g_free(details);
}

/* All steps come before all events, so that no line crosses a label. */
static void
append_steps(GString *out, const struct pgw_timeline_event *events,
             guint count)
{
    GHashTable *last = g_hash_table_new(g_str_hash, g_str_equal);

    for (guint row = 0; row < count; row++) {
        const char *request = events[row].request;
        guint before;

        if (request == NULL) {
            continue;
        }
        /* Rows count from 1 in the table; 0 is a request not seen yet. */
        before = GPOINTER_TO_UINT(g_hash_table_lookup(last, request));
        if (before != 0) {
            append_step(out, &events[row],
                        place_of(&events[before - 1], before - 1),
                        place_of(&events[row], row));
        }
        g_hash_table_insert(last, events[row].request,
                            GUINT_TO_POINTER(row + 1));
    }
    g_hash_table_unref(last);
}

static void
append_events(GString *out, const struct pgw_timeline *timeline, guint first)
{
    const struct pgw_timeline_event *events =
        (const struct pgw_timeline_event *)(void *)timeline->events->data +
        first;
    guint count = timeline->events->len - first;

    append_steps(out, events, count);
    for (guint row = 0; row < count; row++) {
        struct place at = place_of(&events[row], row);

        append_time(out, &events[row], events[0].hlc, at.y);
        append_event(out, &events[row], at);
    }
}

static void
append_head(GString *out, const struct pgw_timeline *timeline, guint shown)
{
    g_string_append(
        out,
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
        "<title>parsleygw time line</title>\n<style>\n"
        "body{font:13px sans-serif;margin:12px;color:#222;background:#fff}\n"
        "svg text{font:12px monospace;paint-order:stroke;stroke:#fff;"
        "stroke-width:3px}\n.lane{stroke:#ddd}\n"
        ".names{position:sticky;top:0;background:#fff}\n"
        ".head{text-anchor:middle;font-weight:bold}\n"
        ".zone{text-anchor:middle;fill:#777}\n.time{fill:#777}\n"
        ".id{fill:#777}\n.step{stroke:#9bb;stroke-width:1.5}\n"
        ".request circle{fill:#2a6fbb}\n.retry circle{fill:#e08a00}\n"
        ".fault circle{fill:#c62828}\n.fault text{fill:#c62828}\n"
        ".config circle{fill:#6a3fa0}\n.fleet circle{fill:#4d8a3f}\n"
        ".picked .dim{opacity:.15}\n.key{padding:0 10px 0 2px}\n"
        "g.event{cursor:pointer}\n</style></head><body>\n");
    g_string_append_printf(
        out,
        "<p>%u of %u events, time in UTC. Click an event to follow its "
        "request, click it again to see all.</p>\n<p>",
        shown, timeline->events->len);
    for (size_t i = 0; i < G_N_ELEMENTS(look_names); i++) {
        g_string_append_printf(
            out,
            "<svg class=\"%s\" width=\"12\" height=\"12\"><circle cx=\"6\" "
            "cy=\"6\" r=\"5\"/></svg><span class=\"key\">%s</span>",
            look_names[i], look_names[i]);
    }
    g_string_append(out, "</p>\n");
    for (guint i = 0; i < timeline->missing->len; i++) {
        g_string_append(out, "<p class=\"fault\">no events from ");
        append_escaped(out, g_ptr_array_index(timeline->missing, i));
        g_string_append(out, "</p>\n");
    }
}

static const char script[] =
    "<script>\n"
    "var root=document.getElementById('lines'),picked='';\n"
    "root.addEventListener('click',function(e){\n"
    " var g=e.target.closest('[data-r]'),r=g?g.dataset.r:'';\n"
    " picked=r===picked?'':r;\n"
    " root.classList.toggle('picked',picked!=='');\n"
    " root.querySelectorAll('[data-r]').forEach(function(n){\n"
    "  n.classList.toggle('dim',n.dataset.r!==picked);});\n"
    "});\n</script>\n";

char *
pgw_timeline_to_html(const struct pgw_timeline *timeline)
{
    GString *out = g_string_new(NULL);
    guint count = timeline->events->len;
    guint first = count > MAX_EVENTS ? count - MAX_EVENTS : 0;
    unsigned width =
        TIME_WIDTH + LANE_WIDTH * timeline->lanes->len + LABEL_WIDTH;
    unsigned height = ROW_HEIGHT * (count - first) + 8;

    append_head(out, timeline, count - first);
    append_lane_names(out, timeline, width);
    g_string_append_printf(out,
                           "<svg id=\"lines\" "
                           "xmlns=\"http://www.w3.org/2000/svg\" "
                           "width=\"%u\" height=\"%u\">\n",
                           width, height);
    append_lanes(out, timeline, height);
    append_events(out, timeline, first);
    g_string_append(out, "</svg>\n");
    g_string_append(out, script);
    g_string_append(out, "</body></html>\n");
    return g_string_free(out, FALSE);
}
