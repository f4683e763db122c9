#ifndef PGW_CLI_TIMELINE_H
#define PGW_CLI_TIMELINE_H

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Lines of logs have their numbers in @text alone. */
#define PGW_TIMELINE_LOG_LINE (-2)

/**
 * struct pgw_timeline_event - one event of one process
 * @hlc: hybrid logical clock
 * @lane: index of its process
 * @kind: its kind's number, -1 for a kind this program does not know,
 *   %PGW_TIMELINE_LOG_LINE for a line of a log
 * @kind_name: its kind's name
 * @request: 32 digits, or NULL
 * @attempt: number of the attempt, 0 for none
 * @a: first number
 * @b: second number
 * @text: short text
 */
struct pgw_timeline_event {
    uint64_t hlc;
    unsigned lane;
    int kind;
    char *kind_name;
    char *request;
    uint32_t attempt;
    uint64_t a;
    uint64_t b;
    char *text;
};

/**
 * struct pgw_timeline_lane - one process
 * @instance: its name
 * @zone: its availability zone
 * @dropped: events that its ring lost
 */
struct pgw_timeline_lane {
    char *instance;
    char *zone;
    uint64_t dropped;
};

/**
 * struct pgw_timeline - events of all processes in causal order
 * @lanes: array of &struct pgw_timeline_lane
 * @events: array of &struct pgw_timeline_event
 * @missing: processes that did not answer: "address: why"
 */
struct pgw_timeline {
    GArray *lanes;
    GArray *events;
    GPtrArray *missing;
};

void pgw_timeline_init(struct pgw_timeline *timeline);
void pgw_timeline_dispose(struct pgw_timeline *timeline);

/**
 * pgw_timeline_add() - add what one process's /timeline answered
 * @timeline: the time line
 * @root: the answer
 *
 * Return: false when the answer is not one of /timeline.
 */
bool pgw_timeline_add(struct pgw_timeline *timeline, JsonNode *root);

/** pgw_timeline_sort() - bring all events into causal order */
void pgw_timeline_sort(struct pgw_timeline *timeline);

/** pgw_timeline_details() - the numbers and text of an event; release it */
char *pgw_timeline_details(const struct pgw_timeline_event *event);

/** pgw_timeline_clock() - "HH:MM:SS.uuuuuu" UTC of a clock value */
void pgw_timeline_clock(char out[16], uint64_t hlc);

/** pgw_timeline_to_text() - one line an event; release it */
char *pgw_timeline_to_text(const struct pgw_timeline *timeline);

/** pgw_timeline_to_json() - one JSON object; release it */
char *pgw_timeline_to_json(const struct pgw_timeline *timeline);

/** pgw_timeline_to_html() - a page with a picture; release it */
char *pgw_timeline_to_html(const struct pgw_timeline *timeline);

#endif
