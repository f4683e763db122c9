#include "load.h"

#include <curl/curl.h>
#include <json-glib/json-glib.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#include "answer.h"
#include "util/json_text.h"
#include "util/list.h"

#define LEAD_US 200000 /* time for the threads to start */
#define REPEAT_PAUSE_US 50000
#define GRACE_MS 10000 /* waited beyond the profile's deadline */
#define POLL_MAX_MS 50
#define CONNECTIONS_MAX 4096L
#define URL_SIZE 96

struct load {
    struct load_options options;
    uint64_t began_us;
    uint64_t began_wall_ms;
    struct load_result *results;
    struct sender *senders;
    atomic_uint running;
};

/**
 * struct sender - one thread of callers
 * @next: its next arrival in the schedule
 * @idle: easy handles to use again
 * @repeats: calls that wait for their repeat
 */
struct sender {
    struct load *load;
    GThread *thread;
    CURLM *multi;
    size_t next;
    unsigned open;
    GPtrArray *idle;
    struct pgw_list repeats;
};

/**
 * struct call - one call on its way
 * @link: in the sender's @repeats
 * @prompt: kept to check the answer against
 */
struct call {
    struct pgw_list link;
    struct sender *sender;
    const struct arrival *arrival;
    const struct call_class *class;
    struct load_result *result;
    CURL *curl;
    struct curl_slist *headers;
    GString *prompt;
    GString *body;
    struct answer answer;
    uint64_t repeat_us;
    char key[WORKLOAD_KEY_SIZE];
};

static uint64_t
now_us(void)
{
    return (uint64_t)g_get_monotonic_time();
}

static uint64_t
intended_us(const struct call *call)
{
    return call->sender->load->began_us + call->arrival->at_us;
}

void
load_key(char out[WORKLOAD_KEY_SIZE], const struct load *load,
         const struct arrival *arrival)
{
    workload_key(out, arrival, load->options.seed,
                 load->began_wall_ms + arrival->at_us / 1000);
}

static size_t
take_data(char *data, size_t size, size_t count, void *user_data)
{
    struct call *call = user_data;
    long status = 0;

    curl_easy_getinfo(call->curl, CURLINFO_RESPONSE_CODE, &status);
    answer_take(&call->answer, status, data, size * count);
    if (call->answer.tokens > 0 && call->result->ttft_us == 0) {
        call->result->ttft_us = now_us() - intended_us(call);
    }
    return size * count;
}

static void
write_body(struct call *call)
{
    GString *out = call->body;

    g_string_truncate(out, 0);
    if (call->class->service) {
        g_string_append_printf(out, "{\"call\":\"%s\"}", call->key);
        return;
    }
    g_string_append(out, "{\"model\":");
    pgw_json_append_text(out, call->sender->load->options.direct
                                  ? call->sender->load->options.scenario->model
                                  : call->class->profile);
    g_string_append(out, ",\"prompt\":");
    pgw_json_append_string(out, call->prompt->str, call->prompt->len);
    g_string_append_printf(out, ",\"stream\":true,\"max_tokens\":%u",
                           call->class->max_tokens);
    if (call->sender->load->options.direct) {
        char id[40];

        /* Only this call's own; the stand-in needs no more of it. */
        snprintf(id, sizeof(id), "%032zx", call->arrival->number);
        g_string_append_printf(
            out,
            ",\"version\":\"w1\",\"request_id\":\"%s\",\"cache_salt\":"
            "\"%u\"",
            id, call->arrival->workspace);
    }
    g_string_append_c(out, '}');
}

static void
set_headers(struct call *call)
{
    char key[64], line[128];

    fleet_key(key, sizeof(key), call->arrival->workspace);
    snprintf(line, sizeof(line), "Authorization: Bearer %s", key);
    call->headers = curl_slist_append(call->headers, line);
    call->headers =
        curl_slist_append(call->headers, "Content-Type: application/json");
    call->headers = curl_slist_append(call->headers, "Expect:");
    if (call->class->service) {
        snprintf(line, sizeof(line), "Idempotency-Key: %s", call->key);
        call->headers = curl_slist_append(call->headers, line);
    }
}

static void
write_url(char out[URL_SIZE], const struct call *call)
{
    const struct load_options *options = &call->sender->load->options;
    size_t turn = call->arrival->number + call->result->repeats;
    unsigned port = options->ports[turn % options->n_ports];

    if (call->class->service) {
        snprintf(out, URL_SIZE, "http://127.0.0.1:%u/svc/%s/records", port,
                 call->class->profile);
    }
    else {
        snprintf(out, URL_SIZE, "http://127.0.0.1:%u/v1/completions", port);
    }
}

static void
send_call(struct call *call)
{
    CURL *curl = call->curl;
    char url[URL_SIZE];

    write_url(url, call);
    answer_reset(&call->answer);
    call->result->ttft_us = 0;
    curl_easy_reset(curl);
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_PRIVATE, call);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, take_data);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, call);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, call->headers);
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, (long)call->body->len);
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, call->body->str);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS,
                     (long)call->class->deadline_ms + GRACE_MS);
    curl_multi_add_handle(call->sender->multi, curl);
}

static void
start_call(struct sender *sender, const struct arrival *arrival)
{
    struct load *load = sender->load;
    struct call *call = g_new0(struct call, 1);

    call->sender = sender;
    call->arrival = arrival;
    call->class = &load->options.scenario->classes[arrival->class];
    call->result = &load->results[arrival->number];
    call->prompt = g_string_new(NULL);
    call->body = g_string_new(NULL);
    answer_init(&call->answer, call->class->service);
    load_key(call->key, load, arrival);
    if (!call->class->service) {
        workload_prompt(call->prompt, load->options.scenario, arrival,
                        load->options.seed);
    }
    write_body(call);
    set_headers(call);
    call->curl = sender->idle->len > 0
                     ? g_ptr_array_steal_index_fast(sender->idle, 0)
                     : curl_easy_init();
    sender->open++;
    call->result->late_us = now_us() - intended_us(call);
    send_call(call);
}

static void
end_call(struct call *call)
{
    call->result->total_us = now_us() - intended_us(call);
    g_ptr_array_add(call->sender->idle, call->curl);
    call->sender->open--;
    curl_slist_free_all(call->headers);
    answer_dispose(&call->answer);
    g_string_free(call->prompt, TRUE);
    g_string_free(call->body, TRUE);
    g_free(call);
}

/* A caller gives up when the answer would be of no use any more. */
static bool
may_repeat(const struct call *call)
{
    uint64_t limit = ((uint64_t)call->class->deadline_ms + GRACE_MS) * 1000;

    return !call->sender->load->options.direct &&
           now_us() + REPEAT_PAUSE_US < intended_us(call) + limit;
}

static void
settle(struct call *call, CURLcode code, long status)
{
    struct load_result *result = call->result;
    struct curl_header *upstream;
    struct answer_check check = {
        .prompt = call->prompt,
        .tokens = call->class->max_tokens,
        .key = call->key,
        .body_size = call->body->len,
    };

    answer_judge(&call->answer, result, code == CURLE_OK, status, &check);
    if (curl_easy_header(call->curl, "X-Pgw-Upstream", 0, CURLH_HEADER, -1,
                         &upstream) == CURLHE_OK) {
        g_strlcpy(result->upstream, upstream->value, sizeof(result->upstream));
    }
    if (result->outcome == OUTCOME_LOST && may_repeat(call)) {
        result->repeats++;
        call->repeat_us = now_us() + REPEAT_PAUSE_US;
        pgw_list_append(&call->sender->repeats, &call->link);
        return;
    }
    if (call->class->service && result->outcome == OUTCOME_ANSWERED) {
        result->ttft_us = now_us() - intended_us(call);
    }
    end_call(call);
}

static void
take_finished(struct sender *sender)
{
    CURLMsg *message;
    int left;

    while ((message = curl_multi_info_read(sender->multi, &left)) != NULL) {
        struct call *call;
        CURLcode code = message->data.result;
        CURL *curl = message->easy_handle;
        long status = 0;

        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        curl_easy_getinfo(curl, CURLINFO_PRIVATE, (char **)&call);
        curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
        curl_multi_remove_handle(sender->multi, curl);
        settle(call, code, status);
    }
}

/* Return: time of the next call to send, UINT64_MAX when there is none. */
static uint64_t
start_due(struct sender *sender)
{
    const struct load *load = sender->load;
    const GArray *schedule = load->options.schedule;
    uint64_t next = UINT64_MAX;

    while (sender->next < schedule->len) {
        const struct arrival *arrival =
            &g_array_index(schedule, struct arrival, sender->next);

        next = load->began_us + arrival->at_us;
        if (next > now_us()) {
            break;
        }
        start_call(sender, arrival);
        sender->next += load->options.threads;
        next = UINT64_MAX;
    }
    pgw_list_foreach_safe (pos, &sender->repeats) {
        struct call *call = pgw_container_of(pos, struct call, link);

        if (call->repeat_us <= now_us()) {
            pgw_list_remove(pos);
            send_call(call);
        }
        else {
            next = MIN(next, call->repeat_us);
        }
    }
    return next;
}

static void *
run_sender(void *data)
{
    struct sender *sender = data;
    int running;

    for (;;) {
        uint64_t next = start_due(sender), now;
        int wait_ms = POLL_MAX_MS;

        curl_multi_perform(sender->multi, &running);
        take_finished(sender);
        if (next == UINT64_MAX && sender->open == 0) {
            break;
        }
        now = now_us();
        if (next != UINT64_MAX) {
            uint64_t left = next > now ? next - now : 0;

            wait_ms = (int)MIN((left + 500) / 1000, POLL_MAX_MS);
        }
        curl_multi_poll(sender->multi, NULL, 0, wait_ms, NULL);
    }
    atomic_fetch_sub(&sender->load->running, 1);
    return NULL;
}

struct load *
load_start(const struct load_options *options)
{
    struct load *load = g_new0(struct load, 1);

    load->options = *options;
    load->began_us = now_us() + LEAD_US;
    load->began_wall_ms = (uint64_t)g_get_real_time() / 1000;
    load->results = g_new0(struct load_result, options->schedule->len + 1);
    load->senders = g_new0(struct sender, options->threads);
    atomic_init(&load->running, options->threads);
    for (unsigned i = 0; i < options->threads; i++) {
        struct sender *sender = &load->senders[i];

        sender->load = load;
        sender->next = i;
        sender->multi = curl_multi_init();
        curl_multi_setopt(sender->multi, CURLMOPT_MAXCONNECTS,
                          CONNECTIONS_MAX);
        sender->idle = g_ptr_array_new();
        pgw_list_init(&sender->repeats);
        sender->thread = g_thread_new("callers", run_sender, sender);
    }
    return load;
}

uint64_t
load_began_us(const struct load *load)
{
    return load->began_us;
}

bool
load_is_done(struct load *load)
{
    return atomic_load(&load->running) == 0;
}

const struct load_result *
load_finish(struct load *load)
{
    for (unsigned i = 0; i < load->options.threads; i++) {
        if (load->senders[i].thread != NULL) {
            g_thread_join(g_steal_pointer(&load->senders[i].thread));
        }
    }
    return load->results;
}

void
load_free(struct load *load)
{
    load_finish(load);
    for (unsigned i = 0; i < load->options.threads; i++) {
        struct sender *sender = &load->senders[i];

        for (guint j = 0; j < sender->idle->len; j++) {
            curl_easy_cleanup(g_ptr_array_index(sender->idle, j));
        }
        g_ptr_array_unref(sender->idle);
        curl_multi_cleanup(sender->multi);
    }
    g_free(load->senders);
    g_free(load->results);
    g_free(load);
}
