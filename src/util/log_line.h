#ifndef PGW_UTIL_LOG_LINE_H
#define PGW_UTIL_LOG_LINE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * DOC: Reading back what util/log.h writes
 *
 * Collected logs have passed through others: a line may have a prefix of the
 * collector's, may be cut, or may not be one of ours at all.
 */

/* More pairs than any event has. */
#define PGW_LOG_LINE_PAIRS_MAX 40

/**
 * struct pgw_log_pair - one key=value pair, without its quotes
 */
struct pgw_log_pair {
    const char *key;
    const char *value;
};

/**
 * struct pgw_log_line - one line
 * @ts_us: when it was written, microseconds since 1970, UTC
 * @instance: which process wrote it
 * @zone: its availability zone, "" if it is not said
 * @event: name of the event
 * @pairs: what follows the event's name, in order
 * @pair_count: number of @pairs
 * @text: owns all of the above
 */
struct pgw_log_line {
    int64_t ts_us;
    const char *instance;
    const char *zone;
    const char *event;
    struct pgw_log_pair pairs[PGW_LOG_LINE_PAIRS_MAX];
    size_t pair_count;
    char *text;
};

/**
 * pgw_log_line_parse() - read one line
 * @out: receives it, to be freed with pgw_log_line_free(); NULL on false
 * @text: the line, with or without its end; what stands before "ts=" is
 *   passed over
 * @size: bytes of @text
 *
 * Return: false when it is not a whole line of ours.
 */
bool pgw_log_line_parse(struct pgw_log_line **out, const char *text,
                        size_t size);
void pgw_log_line_free(struct pgw_log_line *line);

/** pgw_log_line_get() - value of a key behind the event's name, or NULL */
const char *pgw_log_line_get(const struct pgw_log_line *line, const char *key);

/** pgw_log_line_number() - the same as a number, 0 when there is none */
uint64_t pgw_log_line_number(const struct pgw_log_line *line, const char *key);

G_END_DECLS

#endif
