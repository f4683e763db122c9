#include "util/curl_head.h"
#include "util/http_status.h"
#include <string.h>

/* libcurl bounds heads to about as much, and does not bound trailers. */
#define HEAD_MAX ((size_t)256 * 1024)

/* Called with one line at a time, also for interim answers and trailers. */
static size_t
on_line(char *data, size_t size, size_t count, void *context)
{
    struct pgw_curl_head *head = context;
    size_t total = size * count;

    head->size += total;
    if (head->size > HEAD_MAX) {
        return 0;
    }
    if (total >= 5 && memcmp(data, "HTTP/", 5) == 0) {
        struct pgw_http_status status = {0};

        head->complete = false;
        if (!pgw_http_status_feed(&status, data, total)) {
            return 0;
        }
    }
    else if (total > 0 && (data[0] == '\r' || data[0] == '\n')) {
        head->complete = true;
    }
    return total;
}

void
pgw_curl_head_watch(CURL *easy, struct pgw_curl_head *head)
{
    *head = (struct pgw_curl_head){0};
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_line);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, head);
}

CURLcode
pgw_curl_head_check(const struct pgw_curl_head *head, CURLcode code)
{
    return code == CURLE_OK && !head->complete ? CURLE_PARTIAL_FILE : code;
}
