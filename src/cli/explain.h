#ifndef PGW_CLI_EXPLAIN_H
#define PGW_CLI_EXPLAIN_H

#include "cli/timeline.h"
#include "util/log_line.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Why a request of the gateway path ended as it did
 *
 * Works on the collected logs of all processes, read once from front to back,
 * so that they may come from a pipe. Of the requests only those asked for are
 * kept; of the other lines all are, since they are few and say what a process
 * believed.
 */

/**
 * enum pgw_cause - what made a request fail, run late or be sent again
 * @PGW_CAUSE_UNKNOWN: the logs do not tell
 * @PGW_CAUSE_NONE: nothing: the whole answer came at once and in time
 * @PGW_CAUSE_CALLER_LEFT: its caller closed the connection
 * @PGW_CAUSE_BAD_REQUEST: the request is not proper
 * @PGW_CAUSE_NO_CONFIGURATION: the entry had not heard of one yet
 * @PGW_CAUSE_STOPPING: a planned stop of the entry left no time for it
 * @PGW_CAUSE_NO_ROUTE: no route of the configuration matched
 * @PGW_CAUSE_BAD_KEY: the configuration does not hold the caller's key
 * @PGW_CAUSE_POISON: it was running in several crashes
 * @PGW_CAUSE_QUOTA: its workspace had spent its quota
 * @PGW_CAUSE_UPSTREAM_FAILED: the upstream answered with a failure of its own
 * @PGW_CAUSE_UPSTREAM_LOST: the upstream went down or was replaced
 * @PGW_CAUSE_UPSTREAM_FULL: the upstream said that it did not run it
 * @PGW_CAUSE_UPSTREAM_SILENT: no answer came for long
 * @PGW_CAUSE_CONNECTION: the connection broke, the upstream lived on
 * @PGW_CAUSE_ANSWER_DAMAGED: what came was no whole answer
 * @PGW_CAUSE_WEIGHTS: the engine was loading, or had just loaded, new weights
 * @PGW_CAUSE_UPSTREAM_LIMITS: all upstreams were at the limits that they named
 * @PGW_CAUSE_UPSTREAMS_IN_BACKOFF: all upstreams had asked for a time without
 * requests
 * @PGW_CAUSE_STREAM_VERSION: no upstream runs the software version that began
 * its stream, or that version is not known
 * @PGW_CAUSE_NO_PLACE: no upstream had a place for it
 * @PGW_CAUSE_NO_ROOM: others waited for its service, and its turn would have
 * come too late
 * @PGW_CAUSE_LONG_PROMPT: its prompt had to be read
 * @PGW_CAUSE_CROWDED: many others ran at its upstream
 * @PGW_CAUSE_PAUSED: its stream paused while its upstream prefilled others'
 *   prompts
 * @PGW_CAUSE_SLOW: none of these: its upstream took long
 */
enum pgw_cause {
    PGW_CAUSE_UNKNOWN,
    PGW_CAUSE_NONE,
    PGW_CAUSE_CALLER_LEFT,
    PGW_CAUSE_BAD_REQUEST,
    PGW_CAUSE_NO_CONFIGURATION,
    PGW_CAUSE_STOPPING,
    PGW_CAUSE_NO_ROUTE,
    PGW_CAUSE_BAD_KEY,
    PGW_CAUSE_POISON,
    PGW_CAUSE_QUOTA,
    PGW_CAUSE_UPSTREAM_FAILED,
    PGW_CAUSE_UPSTREAM_LOST,
    PGW_CAUSE_UPSTREAM_FULL,
    PGW_CAUSE_UPSTREAM_SILENT,
    PGW_CAUSE_CONNECTION,
    PGW_CAUSE_ANSWER_DAMAGED,
    PGW_CAUSE_WEIGHTS,
    PGW_CAUSE_UPSTREAM_LIMITS,
    PGW_CAUSE_UPSTREAMS_IN_BACKOFF,
    PGW_CAUSE_STREAM_VERSION,
    PGW_CAUSE_NO_PLACE,
    PGW_CAUSE_NO_ROOM,
    PGW_CAUSE_LONG_PROMPT,
    PGW_CAUSE_CROWDED,
    PGW_CAUSE_PAUSED,
    PGW_CAUSE_SLOW,
    PGW_CAUSE_COUNT,
};

/** pgw_cause_name() - name of a cause, in snake case */
const char *pgw_cause_name(enum pgw_cause cause);

/**
 * struct pgw_explanation - one request
 * @request: its id
 * @lines: of &struct pgw_log_line about it, by time
 * @context: lines that tell what happened around it, by time; not owned
 * @end: its last line, NULL when no process logged its end
 * @cause: see there
 * @sentence: the cause with its figures, one sentence
 */
struct pgw_explanation {
    char *request;
    GPtrArray *lines;
    GPtrArray *context;
    const struct pgw_log_line *end;
    enum pgw_cause cause;
    char *sentence;
};

/**
 * struct pgw_logs - what was read
 * @wanted: id of the only request that is kept; NULL: all that failed, ran
 *   late or were sent again
 * @requests: id -> &struct pgw_explanation
 * @changes: of &struct pgw_log_line: lines about no request, by time
 * @addresses: upstream's id -> address
 * @read: lines of ours that were read
 * @ended: requests that ended, whether kept or not
 */
struct pgw_logs {
    char *wanted;
    GHashTable *requests;
    GPtrArray *changes;
    GHashTable *addresses;
    uint64_t read;
    uint64_t ended;
};

/** pgw_logs_init() - nothing was read; @wanted is copied */
void pgw_logs_init(struct pgw_logs *logs, const char *wanted);
void pgw_logs_dispose(struct pgw_logs *logs);

/** pgw_logs_take() - one line; what is not ours is passed over */
void pgw_logs_take(struct pgw_logs *logs, const char *text, size_t size);

/** pgw_logs_finish() - all was read: orders it and finds the causes */
void pgw_logs_finish(struct pgw_logs *logs);

/** pgw_logs_list() - &struct pgw_explanation of all kept requests, by time;
 * release the array, not what it points to */
GPtrArray *pgw_logs_list(const struct pgw_logs *logs);

/** pgw_line_is_paused() - a request_end line of a stream with a pause above
 * the objective of its route */
bool pgw_line_is_paused(const struct pgw_log_line *line);

/** pgw_line_went_well() - a request_end line of a whole answer from the first
 * upstream, in time */
bool pgw_line_went_well(const struct pgw_log_line *line);

/** pgw_explanation_find_cause() - fill @cause, @sentence and @context */
void pgw_explanation_find_cause(struct pgw_explanation *explanation,
                                const struct pgw_logs *logs);

/** pgw_explanation_timeline() - its lines and what happened around it; dispose
 * it */
void pgw_explanation_timeline(struct pgw_timeline *out,
                              const struct pgw_explanation *explanation);

#endif
