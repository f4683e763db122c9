#include "cli/fetch.h"

#include "cli/objects.h"

#include "parsleygw/errors.h"
#include "util/address.h"

#include <curl/curl.h>
#include <string.h>

#define MAX_ANSWER_BYTES ((size_t)64 << 20)
#define POLL_MS 100

static void
add_address(GPtrArray *addresses, char *address)
{
    if (g_ptr_array_find_with_equal_func(addresses, address, g_str_equal,
                                         NULL)) {
        g_free(address);
        return;
    }
    g_ptr_array_add(addresses, address);
}

static bool
add_declared(struct pgw_cli *cli, GPtrArray *addresses, GError **error)
{
    const struct pgw_upstream *const *upstreams;
    struct pgw_config_set *set = NULL;
    struct pgw_config *config;
    size_t count = 0;

    if (!pgw_cli_open_store(cli, error) ||
        !pgw_cli_load_set(cli, &set, error)) {
        return false;
    }
    config = pgw_config_build(set);
    upstreams = pgw_config_upstreams(config, NULL, &count);
    for (size_t i = 0; i < count; i++) {
        const char *format =
            strchr(upstreams[i]->host, ':') != NULL ? "[%s]:%u" : "%s:%u";

        add_address(addresses, g_strdup_printf(format, upstreams[i]->host,
                                               cli->options.admin_port));
    }
    pgw_config_unref(config);
    pgw_config_set_free(set);
    return true;
}

GPtrArray *
pgw_cli_admin_addresses(struct pgw_cli *cli, GError **error)
{
    GPtrArray *addresses = g_ptr_array_new_with_free_func(g_free);

    for (char **item = cli->options.admin; *item != NULL; item++) {
        add_address(addresses, g_strdup(*item));
    }
    if (cli->options.admin_port != 0 && !add_declared(cli, addresses, error)) {
        g_ptr_array_unref(addresses);
        return NULL;
    }
    if (addresses->len == 0) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                    "no process to ask; add --admin ip:port,.. or "
                    "--admin-port N");
        g_ptr_array_unref(addresses);
        return NULL;
    }
    return addresses;
}

static size_t
take_body(char *data, size_t size, size_t count, void *context)
{
    struct pgw_cli_answer *answer = context;

    if (answer->body->len + size * count > MAX_ANSWER_BYTES) {
        return 0;
    }
    g_string_append_len(answer->body, data, (gssize)(size * count));
    return size * count;
}

static CURL *
new_request(struct pgw_cli_answer *answer, const char *path,
            uint32_t timeout_ms)
{
    char *url = g_strdup_printf("http://%s%s", answer->address, path);
    CURL *easy = curl_easy_init();

    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, take_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, answer);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, answer);
    pgw_curl_head_watch(easy, &answer->head);
    g_free(url);
    return easy;
}

static void
take_result(CURLM *multi, const CURLMsg *message)
{
    struct pgw_cli_answer *answer = NULL;
    CURL *easy = message->easy_handle;
    CURLcode code;

    curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&answer);
    code = pgw_curl_head_check(&answer->head, message->data.result);
    if (code == CURLE_OK) {
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &answer->status);
    }
    else {
        answer->problem = g_strdup(curl_easy_strerror(code));
    }
    curl_multi_remove_handle(multi, easy);
    curl_easy_cleanup(easy);
}

static void
run(CURLM *multi)
{
    int running = 1;

    while (running > 0) {
        CURLMsg *message;
        int queued;

        if (curl_multi_perform(multi, &running) != CURLM_OK) {
            return;
        }
        while ((message = curl_multi_info_read(multi, &queued)) != NULL) {
            if (message->msg == CURLMSG_DONE) {
                take_result(multi, message);
            }
        }
        if (running > 0) {
            curl_multi_poll(multi, NULL, 0, POLL_MS, NULL);
        }
    }
}

static void
answer_clear(gpointer data)
{
    struct pgw_cli_answer *answer = data;

    g_free(answer->address);
    g_free(answer->problem);
    g_string_free(answer->body, TRUE);
}

GArray *
pgw_cli_fetch_all(const GPtrArray *addresses, const char *path,
                  uint32_t timeout_ms)
{
    GArray *answers = g_array_sized_new(
        FALSE, TRUE, sizeof(struct pgw_cli_answer), addresses->len);
    CURLM *multi = curl_multi_init();

    g_array_set_clear_func(answers, answer_clear);
    /* The requests keep pointers into the array, so it must not move. */
    g_array_set_size(answers, addresses->len);
    for (guint i = 0; i < addresses->len; i++) {
        struct pgw_cli_answer *answer =
            &g_array_index(answers, struct pgw_cli_answer, i);

        answer->address = g_strdup(g_ptr_array_index(addresses, i));
        answer->body = g_string_new(NULL);
        curl_multi_add_handle(multi, new_request(answer, path, timeout_ms));
    }
    run(multi);
    curl_multi_cleanup(multi);
    return answers;
}
