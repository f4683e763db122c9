#include "cli/explain.h"

#include "util/hlc.h"
#include "util/log.h"

#include <string.h>

static unsigned
lane_of(struct pgw_timeline *timeline, const struct pgw_log_line *line)
{
    struct pgw_timeline_lane lane = {0};

    for (guint i = 0; i < timeline->lanes->len; i++) {
        if (strcmp(g_array_index(timeline->lanes, struct pgw_timeline_lane, i)
                       .instance,
                   line->instance) == 0) {
            return i;
        }
    }
    lane.instance = g_strdup(line->instance);
    lane.zone = g_strdup(line->zone);
    g_array_append_val(timeline->lanes, lane);
    return timeline->lanes->len - 1;
}

static char *
print_pairs(const struct pgw_log_line *line)
{
    GString *out = g_string_new(NULL);

    for (size_t i = 0; i < line->pair_count; i++) {
        if (strcmp(line->pairs[i].key, "request") == 0) {
            continue;
        }
        g_string_append_printf(out, "%s%s=", out->len > 0 ? " " : "",
                               line->pairs[i].key);
        pgw_log_append_value(out, line->pairs[i].value);
    }
    return g_string_free(out, FALSE);
}

static void
add_lines(struct pgw_timeline *timeline, const GPtrArray *lines)
{
    for (guint i = 0; i < lines->len; i++) {
        const struct pgw_log_line *line = g_ptr_array_index(lines, i);
        struct pgw_timeline_event event = {
            .hlc = pgw_hlc_from_us((uint64_t)line->ts_us),
            .lane = lane_of(timeline, line),
            .kind = PGW_TIMELINE_LOG_LINE,
            .kind_name = g_strdup(line->event),
            .request = g_strdup(pgw_log_line_get(line, "request")),
            .text = print_pairs(line),
        };

        g_array_append_val(timeline->events, event);
    }
}

void
pgw_explanation_timeline(struct pgw_timeline *out,
                         const struct pgw_explanation *explanation)
{
    pgw_timeline_init(out);
    add_lines(out, explanation->lines);
    add_lines(out, explanation->context);
    pgw_timeline_sort(out);
}
