/* Client of the object API, on top of libcurl. */
#include <curl/curl.h>
#include <pthread.h>
#include <string.h>

#include "parsleygw/errors.h"
#include "parsleygw/store.h"
#include "store_response.h"
#include "util/curl_head.h"

struct http_store {
    struct pgw_store base;
    char *url;
    uint32_t connect_timeout_ms;
    uint32_t max_idle;
    size_t max_response_bytes;
    pthread_mutex_t lock;
    GQueue idle; /* CURL handles with open connections */
};

/* One HTTP call: its request and response. */
struct call {
    struct http_store *store;
    CURL *curl;
    struct curl_slist *headers;
    const char *method;
    char *label; /* "GET /objects/pool/name", for error messages */
    const char *body;
    size_t body_size;
    size_t body_sent;
    GString *response;
    bool response_too_large;
    long status;
};

static CURL *
acquire_handle(struct http_store *store)
{
    CURL *curl;

    pthread_mutex_lock(&store->lock);
    curl = g_queue_pop_tail(&store->idle);
    pthread_mutex_unlock(&store->lock);
    return curl == NULL ? curl_easy_init() : curl;
}

static void
release_handle(struct http_store *store, CURL *curl)
{
    bool kept = false;

    curl_easy_reset(curl);
    pthread_mutex_lock(&store->lock);
    if (store->idle.length < store->max_idle) {
        g_queue_push_tail(&store->idle, curl);
        kept = true;
    }
    pthread_mutex_unlock(&store->lock);
    if (!kept) {
        curl_easy_cleanup(curl);
    }
}

static size_t
write_callback(char *data, size_t size, size_t count, void *pointer)
{
    struct call *call = pointer;

    if (call->response->len + size * count > call->store->max_response_bytes) {
        call->response_too_large = true;
        return 0;
    }
    g_string_append_len(call->response, data, (gssize)(size * count));
    return size * count;
}

static size_t
read_callback(char *buffer, size_t size, size_t count, void *pointer)
{
    struct call *call = pointer;
    size_t n = MIN(size * count, call->body_size - call->body_sent);

    memcpy(buffer, call->body + call->body_sent, n);
    call->body_sent += n;
    return n;
}

static void call_init(struct call *call, struct http_store *store,
                      const char *method, const char *format, ...)
    G_GNUC_PRINTF(4, 5);

static void
call_init(struct call *call, struct http_store *store, const char *method,
          const char *format, ...)
{
    va_list arguments;
    char *path;
    char *url;

    va_start(arguments, format);
    path = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    *call = (struct call){.store = store, .method = method};
    call->curl = acquire_handle(store);
    call->response = g_string_new(NULL);
    call->label = g_strdup_printf("%s %s", method, path);
    url = g_strconcat(store->url, path, NULL);
    curl_easy_setopt(call->curl, CURLOPT_URL, url);
    curl_easy_setopt(call->curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(call->curl, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(call->curl, CURLOPT_CUSTOMREQUEST, method);
    curl_easy_setopt(call->curl, CURLOPT_CONNECTTIMEOUT_MS,
                     (long)store->connect_timeout_ms);
    curl_easy_setopt(call->curl, CURLOPT_WRITEFUNCTION, write_callback);
    curl_easy_setopt(call->curl, CURLOPT_WRITEDATA, call);
    g_free(url);
    g_free(path);
}

static void
call_dispose(struct call *call)
{
    release_handle(call->store, call->curl);
    curl_slist_free_all(call->headers);
    g_string_free(call->response, TRUE);
    g_free(call->label);
}

static void
call_set_condition(struct call *call, uint64_t expected)
{
    char header[64];

    g_snprintf(header, sizeof(header), "If-Match: %" G_GUINT64_FORMAT,
               expected);
    call->headers = curl_slist_append(call->headers, header);
    call->headers = curl_slist_append(call->headers, "Expect:");
    curl_easy_setopt(call->curl, CURLOPT_HTTPHEADER, call->headers);
}

#ifdef PGW_DISABLE_STORE_REPLAY
static int
seek_callback(void *pointer, curl_off_t offset, int origin)
{
    struct call *call = pointer;

    call->body_sent = (size_t)offset;
    return origin == SEEK_SET ? CURL_SEEKFUNC_OK : CURL_SEEKFUNC_FAIL;
}
#endif

/* libcurl resends a request if a reused connection closes before a response.
 * A conditional write that has taken effect would then fail with a conflict
 * caused by itself, and the operator would see a conflict with a writer that
 * does not exist. A read callback without a seek callback cannot be rewound,
 * so libcurl reports the lost response instead. */
static void
call_set_body(struct call *call, const char *body)
{
    call->body = body;
    call->body_size = strlen(body);
    curl_easy_setopt(call->curl, CURLOPT_UPLOAD, 1L);
    curl_easy_setopt(call->curl, CURLOPT_READFUNCTION, read_callback);
    curl_easy_setopt(call->curl, CURLOPT_READDATA, call);
#ifdef PGW_DISABLE_STORE_REPLAY
    curl_easy_setopt(call->curl, CURLOPT_SEEKFUNCTION, seek_callback);
    curl_easy_setopt(call->curl, CURLOPT_SEEKDATA, call);
#endif
    curl_easy_setopt(call->curl, CURLOPT_INFILESIZE_LARGE,
                     (curl_off_t)call->body_size);
}

static bool
is_write(const struct call *call)
{
    return strcmp(call->method, "GET") != 0;
}

/* No byte of a request is sent before the connection is established. */
static bool
was_sent(struct call *call, CURLcode code)
{
    curl_off_t pretransfer_us = 0;

    if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST ||
        code == CURLE_URL_MALFORMAT) {
        return false;
    }
    curl_easy_getinfo(call->curl, CURLINFO_PRETRANSFER_TIME_T,
                      &pretransfer_us);
    return pretransfer_us > 0;
}

static void
set_transport_error(struct call *call, CURLcode code, GError **error)
{
    const char *reason = curl_easy_strerror(code);

    if (call->response_too_large) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_TOO_LARGE,
                    "%s: response exceeds %zu bytes: split the collection",
                    call->label, call->store->max_response_bytes);
    }
    else if (!was_sent(call, code)) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_UNAVAILABLE,
                    "%s: %s: check the store's address and state", call->label,
                    reason);
    }
    else if (is_write(call)) {
        g_set_error(
            error, PGW_ERROR, PGW_ERROR_UNKNOWN_OUTCOME,
            "%s: %s: the change may have taken effect: read the object",
            call->label, reason);
    }
    else if (code == CURLE_OPERATION_TIMEDOUT) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_TIMEOUT,
                    "%s: no response before the deadline: try again later",
                    call->label);
    }
    else {
        g_set_error(error, PGW_ERROR, PGW_ERROR_UNAVAILABLE,
                    "%s: %s: try again later", call->label, reason);
    }
}

/* Error code and message by HTTP status. Any other status is unexpected. */
struct status_error {
    long status;
    enum pgw_error code;
    const char *message;
};

static const struct status_error status_errors[] = {
    {404, PGW_ERROR_NOT_FOUND, "no such object: check kind and name"},
    {409, PGW_ERROR_CONFLICT,
     "another writer changed the object first: read it and apply the "
     "change to its current value"},
    {410, PGW_ERROR_STALE,
     "the store no longer has the changes after this version: list again"},
    {413, PGW_ERROR_TOO_LARGE,
     "value exceeds the store's size limit: split it"},
    {429, PGW_ERROR_OVERLOADED,
     "rate limit of the store exceeded: reduce the call rate"},
    {503, PGW_ERROR_UNAVAILABLE, "the store is unavailable: try again later"},
};

static void
set_status_error(struct call *call, GError **error)
{
    for (size_t i = 0; i < G_N_ELEMENTS(status_errors); i++) {
        if (status_errors[i].status == call->status) {
            g_set_error(error, PGW_ERROR, (gint)status_errors[i].code,
                        "%s: %s", call->label, status_errors[i].message);
            return;
        }
    }
    g_set_error(error, PGW_ERROR,
                is_write(call) ? PGW_ERROR_UNKNOWN_OUTCOME
                               : PGW_ERROR_PROTOCOL,
                "%s: unexpected status %ld: check that the address is that of "
                "the object API",
                call->label, call->status);
}

static bool
set_malformed_error(struct call *call, GError **error)
{
    g_set_error(
        error, PGW_ERROR,
        is_write(call) ? PGW_ERROR_UNKNOWN_OUTCOME : PGW_ERROR_PROTOCOL,
        "%s: malformed response: check that the address is that of the "
        "object API",
        call->label);
    return false;
}

static bool
call_run(struct call *call, uint64_t deadline_us, GError **error)
{
    gint64 timeout_ms =
        ((gint64)deadline_us - g_get_monotonic_time() + 999) / 1000;
    struct pgw_curl_head head;
    CURLcode code;

    if (timeout_ms <= 0) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_UNAVAILABLE,
                    "%s: the deadline passed before the call: increase the "
                    "timeout",
                    call->label);
        return false;
    }
    curl_easy_setopt(call->curl, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
    pgw_curl_head_watch(call->curl, &head);
    code = pgw_curl_head_check(&head, curl_easy_perform(call->curl));
    if (code != CURLE_OK) {
        set_transport_error(call, code, error);
        return false;
    }
    curl_easy_getinfo(call->curl, CURLINFO_RESPONSE_CODE, &call->status);
    if (call->status != 200) {
        set_status_error(call, error);
        return false;
    }
    return true;
}

static struct http_store *
http_store(struct pgw_store *store)
{
    return (struct http_store *)store;
}

static bool
http_get(struct pgw_store *store, struct pgw_store_object *out,
         const char *kind, const char *name, uint64_t deadline_us,
         GError **error)
{
    struct call call;
    bool ok;

    *out = (struct pgw_store_object){0};
    call_init(&call, http_store(store), "GET", "/objects/%s/%s", kind, name);
    ok = call_run(&call, deadline_us, error);
    if (ok && !pgw_store__parse_object(out, call.response->str,
                                       call.response->len)) {
        ok = set_malformed_error(&call, error);
    }
    call_dispose(&call);
    return ok;
}

static bool
run_list(struct call *call, struct pgw_store_list *out, const char *member,
         uint64_t deadline_us, GError **error)
{
    bool ok = call_run(call, deadline_us, error);

    *out = (struct pgw_store_list){0};
    if (ok && !pgw_store__parse_list(out, call->response->str,
                                     call->response->len, member)) {
        ok = set_malformed_error(call, error);
    }
    call_dispose(call);
    return ok;
}

static bool
http_list(struct pgw_store *store, struct pgw_store_list *out,
          const char *kind, uint64_t deadline_us, GError **error)
{
    struct call call;

    call_init(&call, http_store(store), "GET", "/objects/%s", kind);
    return run_list(&call, out, "objects", deadline_us, error);
}

static bool
http_watch(struct pgw_store *store, struct pgw_store_list *out,
           const char *kind, uint64_t after, uint32_t wait_ms,
           uint64_t deadline_us, GError **error)
{
    struct call call;

    call_init(&call, http_store(store), "GET",
              "/watch/%s?after=%" G_GUINT64_FORMAT "&wait_ms=%u", kind, after,
              wait_ms);
    return run_list(&call, out, "changes", deadline_us, error);
}

static bool
http_put_if(struct pgw_store *store, struct pgw_store_object *out,
            const char *kind, const char *name, uint64_t expected,
            const char *value, uint64_t deadline_us, GError **error)
{
    struct call call;
    bool ok;

    *out = (struct pgw_store_object){0};
    call_init(&call, http_store(store), "PUT", "/objects/%s/%s", kind, name);
    call_set_condition(&call, expected);
    call_set_body(&call, value);
    ok = call_run(&call, deadline_us, error);
    if ((ok || call.status == 409) &&
        !pgw_store__parse_object(out, call.response->str,
                                 call.response->len)) {
        if (ok) {
            ok = set_malformed_error(&call, error);
        }
    }
    call_dispose(&call);
    return ok;
}

static bool
http_delete_if(struct pgw_store *store, const char *kind, const char *name,
               uint64_t expected, uint64_t deadline_us, GError **error)
{
    struct call call;
    bool ok;

    call_init(&call, http_store(store), "DELETE", "/objects/%s/%s", kind,
              name);
    call_set_condition(&call, expected);
    /* A request without a body has no read callback that could prevent the
     * resend. libcurl never resends on a fresh connection. */
    curl_easy_setopt(call.curl, CURLOPT_FRESH_CONNECT, 1L);
    ok = call_run(&call, deadline_us, error);
    call_dispose(&call);
    return ok;
}

static bool
http_instances(struct pgw_store *store, struct pgw_store_instances *out,
               uint64_t deadline_us, GError **error)
{
    struct call call;
    bool ok;

    *out = (struct pgw_store_instances){0};
    call_init(&call, http_store(store), "GET", "/instances");
    ok = call_run(&call, deadline_us, error);
    if (ok && !pgw_store__parse_instances(out, call.response->str,
                                          call.response->len)) {
        ok = set_malformed_error(&call, error);
    }
    call_dispose(&call);
    return ok;
}

static void
http_free(struct pgw_store *base)
{
    struct http_store *store = http_store(base);
    CURL *curl;

    while ((curl = g_queue_pop_head(&store->idle)) != NULL) {
        curl_easy_cleanup(curl);
    }
    pthread_mutex_destroy(&store->lock);
    g_free(store->url);
    g_free(store);
}

static const struct pgw_store_ops http_ops = {
    .get = http_get,
    .list = http_list,
    .put_if = http_put_if,
    .delete_if = http_delete_if,
    .watch = http_watch,
    .instances = http_instances,
    .free = http_free,
};

static gpointer
init_curl(gpointer data)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    return data;
}

bool
pgw_store_new(struct pgw_store **out, const struct pgw_store_options *options,
              GError **error)
{
    static GOnce once = G_ONCE_INIT;
    struct http_store *store;
    size_t length;

    *out = NULL;
    if (options->url == NULL || !g_str_has_prefix(options->url, "http://")) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                    "store: \"%s\" is not a URL: use http://ip:port",
                    options->url == NULL ? "" : options->url);
        return false;
    }
    g_once(&once, init_curl, &once);
    store = g_new0(struct http_store, 1);
    store->base.ops = &http_ops;
    store->url = g_strdup(options->url);
    length = strlen(store->url);
    while (length > 0 && store->url[length - 1] == '/') {
        store->url[--length] = '\0';
    }
    store->connect_timeout_ms = options->connect_timeout_ms;
    store->max_idle = options->max_idle;
    store->max_response_bytes = options->max_response_bytes;
    pthread_mutex_init(&store->lock, NULL);
    g_queue_init(&store->idle);
    *out = &store->base;
    return true;
}
