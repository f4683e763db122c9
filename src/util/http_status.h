#ifndef PGW_UTIL_HTTP_STATUS_H
#define PGW_UTIL_HTTP_STATUS_H

#include <stdbool.h>
#include <stddef.h>

/**
 * DOC: Status lines of HTTP/1.1 answers
 *
 * A status has three digits and is between 100 and 599 (RFC 9110, 15). The
 * parser libraries read any number there, and take one below 200 for that of
 * an interim answer, after which the final one is awaited. 101 is none either,
 * as no request asks for another protocol.
 */

/**
 * struct pgw_http_status - progress of one answer's status line
 * @part: part of the line that is being read
 * @digits: digits of the status so far
 * @value: their value
 *
 * A zeroed one awaits the line.
 */
struct pgw_http_status {
    unsigned part;
    unsigned digits;
    unsigned value;
};

/**
 * pgw_http_status_feed() - check the bytes of an answer up to its status
 * @status: progress
 * @data: bytes of the answer
 * @size: number of bytes; those after the status are not looked at
 *
 * Return: false if the status is invalid.
 */
bool pgw_http_status_feed(struct pgw_http_status *status, const char *data,
                          size_t size);

#endif
