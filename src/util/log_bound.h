#ifndef PGW_UTIL_LOG_BOUND_H
#define PGW_UTIL_LOG_BOUND_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/**
 * DOC: How many lines a process may log
 *
 * Failure: under a burst each request writes lines, and a reader that cannot
 * follow costs the requests their processor. Symptom: late answers. A second
 * has room for a fixed number of lines, and routine ones only for a part of
 * it, so that the lines of the few requests that failed are not the ones left
 * out. What is left out is counted. Pure: the time is passed in.
 */

/* Part of a second's lines that routine ones may take. Half: a process that
 * writes more than that of them has a sample that is large enough, and the
 * other half is several times what fails in a second of a bad day. */
#define PGW_LOG_ROUTINE_SHARE 0.5

/**
 * struct pgw_log_bound - state of one process; starts as zeros
 * @lines_per_s: lines in a second, 0: no bound
 * @second: the current one
 * @written: lines in it
 * @routine: of these, routine ones
 * @dropped: lines left out since they were last told
 */
struct pgw_log_bound {
    unsigned lines_per_s;
    gint64 second;
    unsigned written;
    unsigned routine;
    unsigned dropped;
};

/**
 * pgw_log_bound_take() - ask for room for one line
 * @bound: the state
 * @routine: it is a routine line
 * @now_us: monotonic time
 * @dropped: receives how many lines are to be told as left out, often 0
 *
 * Return: whether the line may be written.
 */
bool pgw_log_bound_take(struct pgw_log_bound *bound, bool routine,
                        gint64 now_us, unsigned *dropped);

/** pgw_log_bound_lost() - a line that had room could not be written */
void pgw_log_bound_lost(struct pgw_log_bound *bound);

G_END_DECLS

#endif
