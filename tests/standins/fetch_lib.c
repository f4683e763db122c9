#include "fetch_lib.h"

#include <curl/curl.h>

static size_t
take(char *data, size_t size, size_t count, void *answer)
{
    g_string_append_len(answer, data, (gssize)(size * count));
    return size * count;
}

long
standin_fetch(GString *answer, const char *method, const char *url,
              const GString *body)
{
    CURL *curl = curl_easy_init();
    long status = 0;

    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, take);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, answer);
    if (body != NULL) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, (long)body->len);
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body->str);
    }
    if (curl_easy_perform(curl) == CURLE_OK) {
        curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    }
    curl_easy_cleanup(curl);
    return status;
}
