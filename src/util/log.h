#ifndef PGW_UTIL_LOG_H
#define PGW_UTIL_LOG_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/**
 * DOC: Logs: one line of key=value pairs for each event, on standard error
 *
 * pgw_log_info("stream_end", "request=%s status=%u", id, status) writes
 *
 *   ts=2026-12-02T19:30:00.123456Z level=info instance=entry-a zone=a
 *   event=stream_end request=90ab.. status=200
 *
 * (as one line). The format is a list of key=conversion pairs with one space
 * between them; spaces, quotes and control characters inside a value are
 * quoted, so that no value can forge a pair or a line. Keys named prompt,
 * body, key, authorization or text never have their value written.
 */

/**
 * enum pgw_log_level - levels, the most severe first
 * @PGW_LOG_ERROR: always written
 * @PGW_LOG_WARNING: trouble
 * @PGW_LOG_INFO: decisions and changes
 * @PGW_LOG_ROUTINE: info of which some lines do; printed as "info"
 * @PGW_LOG_DEBUG: off by default
 */
enum pgw_log_level {
    PGW_LOG_ERROR,
    PGW_LOG_WARNING,
    PGW_LOG_INFO,
    PGW_LOG_ROUTINE,
    PGW_LOG_DEBUG,
};

/**
 * pgw_log_init() - install the writer; call once, before threads start
 * @instance: name of this instance
 * @zone: its availability zone; may be empty
 * @level: "error", "warning", "info" or "debug"; anything else is "info"
 */
void pgw_log_init(const char *instance, const char *zone, const char *level);

/**
 * pgw_log_set_output() - where lines go and how many at most
 * @fd: the descriptor, made non-blocking; standard error before
 * @lines_per_s: lines in a second, errors not counted; 0 is no limit
 *
 * Call once, before threads start.
 */
void pgw_log_set_output(int fd, unsigned lines_per_s);

/**
 * pgw_log_enabled() - whether a level is written at all
 * @level: the level
 */
bool pgw_log_enabled(enum pgw_log_level level);

/**
 * pgw_log_event() - write one event; use the macros below
 * @level: level
 * @event: name of the event in snake case
 * @format: pairs, see above; "" for none. Conversions: s d i u x X c g f e p
 *   with l, ll, z, h and hh, width and precision ('*' is not taken)
 */
void pgw_log_event(enum pgw_log_level level, const char *event,
                   const char *format, ...) G_GNUC_PRINTF(3, 4);

#define pgw_log_at(level, ...)                                                \
    do {                                                                      \
        if (pgw_log_enabled(level)) {                                         \
            pgw_log_event(level, __VA_ARGS__);                                \
        }                                                                     \
    } while (0)

/**
 * pgw_log_some() - an info event that may be a routine one
 * @routine: one of many alike, which may be left out
 *
 * Routine lines get at most %PGW_LOG_ROUTINE_SHARE of a second's lines, so
 * that however many requests end well, there is room for those that do not.
 */
#define pgw_log_some(routine, ...)                                            \
    do {                                                                      \
        if (pgw_log_enabled(PGW_LOG_INFO)) {                                  \
            pgw_log_event((routine) ? PGW_LOG_ROUTINE : PGW_LOG_INFO,         \
                          __VA_ARGS__);                                       \
        }                                                                     \
    } while (0)

#define pgw_log_error(...) pgw_log_at(PGW_LOG_ERROR, __VA_ARGS__)
#define pgw_log_warning(...) pgw_log_at(PGW_LOG_WARNING, __VA_ARGS__)
#define pgw_log_info(...) pgw_log_at(PGW_LOG_INFO, __VA_ARGS__)
#define pgw_log_debug(...) pgw_log_at(PGW_LOG_DEBUG, __VA_ARGS__)

/**
 * pgw_log_append_value() - append a value, quoted where it needs to be
 * @out: text to append to
 * @value: the value; NULL is written as "-"
 */
void pgw_log_append_value(GString *out, const char *value);

G_END_DECLS

#endif
