#ifndef PGW_UTIL_CURL_HEAD_H
#define PGW_UTIL_CURL_HEAD_H

#include <curl/curl.h>
#include <stdbool.h>
#include <stddef.h>

/**
 * DOC: Heads of answers that libcurl reads
 *
 * libcurl reports an answer whose connection closes after the status line as
 * complete: with the status and an empty body. Only the empty line after the
 * head shows that the head is whole. It also keeps all trailers of an answer,
 * however many, so their size is bounded here, and takes some numbers for a
 * status that are none (http_status.h).
 */

/**
 * struct pgw_curl_head - progress of one answer's head
 * @complete: the empty line after the head of the last answer has arrived
 * @size: bytes of all heads and trailers so far
 */
struct pgw_curl_head {
    bool complete;
    size_t size;
};

/** pgw_curl_head_watch() - watch the head of the answer to a request; @head
 * must outlive the request, which fails with %CURLE_WRITE_ERROR if heads and
 * trailers are too large, or a status is invalid */
void pgw_curl_head_watch(CURL *easy, struct pgw_curl_head *head);

/** pgw_curl_head_check() - the result of a request: %CURLE_PARTIAL_FILE in
 * place of %CURLE_OK if its answer ended within its head */
CURLcode pgw_curl_head_check(const struct pgw_curl_head *head, CURLcode code);

#endif
