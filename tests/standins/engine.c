#include "engine.h"

#include <curl/curl.h>
#include <getopt.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <xxhash.h>

/**
 * DOC: standin-engine, a model engine for tests and experiments
 *
 * It computes nothing but spends the time that an engine would: README.md
 * tells what each option does, docs/upstream-protocol.md what it speaks.
 */

#define SERVER_THREADS 2

struct arguments {
    struct engine_options engine;
    struct engine_journal_options journal;
    uint16_t port;
    double decode_ms;
    double delay_min_ms;
    double delay_max_ms;
    double load_age_ms;
    double load_ms;
    double time_scale;
};

#define ARGUMENTS_INIT                                                        \
    {                                                                         \
        .engine = {.model = "rulebook-7b",                                    \
                   .version = "w1",                                           \
                   .prefill_rate = 10000,                                     \
                   .batch = 32,                                               \
                   .block_tokens = 16,                                        \
                   .cache_blocks = 4096,                                      \
                   .prefill_chunk = 512,                                      \
                   .queue_limit = 4096,                                       \
                   .kv_rate = 100000},                                        \
        .journal = {.loss = 0.01, .seed = 1}, .decode_ms = 20,                \
        .delay_min_ms = 50, .delay_max_ms = 500, .load_age_ms = 1000,         \
        .load_ms = 2000, .time_scale = 1,                                     \
    }

enum option_id {
    OPTION_PORT = 256,
    OPTION_MODEL,
    OPTION_VERSION,
    OPTION_PREFILL_RATE,
    OPTION_DECODE_MS,
    OPTION_BATCH,
    OPTION_BLOCK_TOKENS,
    OPTION_CACHE_BLOCKS,
    OPTION_PREFILL_CHUNK,
    OPTION_EVENT_DELAY_MS,
    OPTION_EVENT_LOSS,
    OPTION_EVENT_REPEAT,
    OPTION_LOAD_AGE_MS,
    OPTION_QUEUE_LIMIT,
    OPTION_TIME_SCALE,
    OPTION_SEED,
    OPTION_CRASH_ON,
    OPTION_CRASH_LINGER_MS,
    OPTION_CRASH_AFTER_MS,
    OPTION_CRASH_ANSWERED_MS,
    OPTION_STOP_AT,
    OPTION_RETRY_AFTER_MS,
    OPTION_IGNORE_FENCE,
    OPTION_LOAD_MS,
    OPTION_KV_RATE,
    OPTION_WEIGHT_STORE,
};

static const struct option long_options[] = {
    {"port", required_argument, NULL, OPTION_PORT},
    {"model", required_argument, NULL, OPTION_MODEL},
    {"version", required_argument, NULL, OPTION_VERSION},
    {"prefill-rate", required_argument, NULL, OPTION_PREFILL_RATE},
    {"decode-ms", required_argument, NULL, OPTION_DECODE_MS},
    {"batch", required_argument, NULL, OPTION_BATCH},
    {"block-tokens", required_argument, NULL, OPTION_BLOCK_TOKENS},
    {"cache-blocks", required_argument, NULL, OPTION_CACHE_BLOCKS},
    {"prefill-chunk", required_argument, NULL, OPTION_PREFILL_CHUNK},
    {"event-delay-ms", required_argument, NULL, OPTION_EVENT_DELAY_MS},
    {"event-loss", required_argument, NULL, OPTION_EVENT_LOSS},
    {"event-repeat", required_argument, NULL, OPTION_EVENT_REPEAT},
    {"load-age-ms", required_argument, NULL, OPTION_LOAD_AGE_MS},
    {"queue-limit", required_argument, NULL, OPTION_QUEUE_LIMIT},
    {"time-scale", required_argument, NULL, OPTION_TIME_SCALE},
    {"seed", required_argument, NULL, OPTION_SEED},
    {"crash-on", required_argument, NULL, OPTION_CRASH_ON},
    {"crash-linger-ms", required_argument, NULL, OPTION_CRASH_LINGER_MS},
    {"crash-after-ms", required_argument, NULL, OPTION_CRASH_AFTER_MS},
    {"crash-answered-ms", required_argument, NULL, OPTION_CRASH_ANSWERED_MS},
    {"stop-at", required_argument, NULL, OPTION_STOP_AT},
    {"retry-after-ms", required_argument, NULL, OPTION_RETRY_AFTER_MS},
    {"ignore-fence", no_argument, NULL, OPTION_IGNORE_FENCE},
    {"load-ms", required_argument, NULL, OPTION_LOAD_MS},
    {"kv-rate", required_argument, NULL, OPTION_KV_RATE},
    {"weight-store", required_argument, NULL, OPTION_WEIGHT_STORE},
    {NULL, 0, NULL, 0},
};

static bool
parse_delay(struct arguments *arguments, const char *text)
{
    char *end;

    arguments->delay_min_ms = g_ascii_strtod(text, &end);
    arguments->delay_max_ms =
        *end == '-' ? g_ascii_strtod(end + 1, NULL) : arguments->delay_min_ms;
    return arguments->delay_max_ms >= arguments->delay_min_ms;
}

static bool
parse_text_option(struct arguments *arguments, int option, const char *text)
{
    struct engine_options *engine = &arguments->engine;

    switch (option) {
    case OPTION_MODEL:
        engine->model = text;
        return true;
    case OPTION_VERSION:
        engine->version = text;
        return true;
    case OPTION_CRASH_ON:
        engine->crash_on = text;
        return true;
    case OPTION_WEIGHT_STORE:
        engine->weight_store = text;
        return true;
    case OPTION_IGNORE_FENCE:
        engine->ignore_fence = true;
        return true;
    case OPTION_EVENT_DELAY_MS:
        return parse_delay(arguments, text);
    default:
        return false;
    }
}

static bool
parse_number_option(struct arguments *arguments, int option, double number)
{
    struct engine_options *engine = &arguments->engine;

    switch (option) {
    case OPTION_PORT:
        arguments->port = (uint16_t)number;
        return true;
    case OPTION_PREFILL_RATE:
        engine->prefill_rate = number;
        return number > 0;
    case OPTION_DECODE_MS:
        arguments->decode_ms = number;
        return true;
    case OPTION_BATCH:
        engine->batch = (unsigned)number;
        return number >= 1;
    case OPTION_BLOCK_TOKENS:
        engine->block_tokens = (unsigned)number;
        return number >= 1;
    case OPTION_CACHE_BLOCKS:
        engine->cache_blocks = (unsigned)number;
        return true;
    case OPTION_PREFILL_CHUNK:
        engine->prefill_chunk = (unsigned)number;
        return number >= 1;
    case OPTION_EVENT_LOSS:
        arguments->journal.loss = number;
        return true;
    case OPTION_EVENT_REPEAT:
        arguments->journal.repeat = number;
        return true;
    case OPTION_LOAD_AGE_MS:
        arguments->load_age_ms = number;
        return true;
    case OPTION_QUEUE_LIMIT:
        engine->queue_limit = (unsigned)number;
        return true;
    case OPTION_TIME_SCALE:
        arguments->time_scale = number;
        return number > 0;
    case OPTION_SEED:
        arguments->journal.seed = (uint32_t)number;
        return true;
    case OPTION_CRASH_LINGER_MS:
        engine->crash_linger_us = (uint64_t)(number * 1000);
        return true;
    case OPTION_CRASH_AFTER_MS:
        engine->crash_after_us = (uint64_t)(number * 1000);
        return true;
    case OPTION_CRASH_ANSWERED_MS:
        engine->crash_answered_us = (uint64_t)(number * 1000);
        return true;
    case OPTION_STOP_AT:
        engine->stop_at = (unsigned)number;
        return true;
    case OPTION_RETRY_AFTER_MS:
        engine->retry_after_us = (uint64_t)(number * 1000);
        return number > 0;
    case OPTION_LOAD_MS:
        arguments->load_ms = number;
        return true;
    case OPTION_KV_RATE:
        engine->kv_rate = number;
        return number > 0;
    default:
        return false;
    }
}

static uint64_t
scaled_us(const struct arguments *arguments, double ms)
{
    return (uint64_t)(ms * 1000 / arguments->time_scale);
}

static void
parse_arguments(struct arguments *arguments, int argc, char **argv)
{
    struct engine_options *engine = &arguments->engine;
    int option;

    while ((option = getopt_long(argc, argv, "", long_options, NULL)) != -1) {
        if (!parse_text_option(arguments, option, optarg) &&
            (optarg == NULL ||
             !parse_number_option(arguments, option,
                                  g_ascii_strtod(optarg, NULL)))) {
            fprintf(stderr, "%s: bad option: see tests/standins/README.md\n",
                    argv[0]);
            exit(2);
        }
    }
    engine->prefill_rate *= arguments->time_scale;
    engine->kv_rate *= arguments->time_scale;
    engine->decode_us = scaled_us(arguments, arguments->decode_ms);
    engine->load_age_us = scaled_us(arguments, arguments->load_age_ms);
    engine->load_us = scaled_us(arguments, arguments->load_ms);
    arguments->journal.delay_min_us =
        scaled_us(arguments, arguments->delay_min_ms);
    arguments->journal.delay_max_us =
        scaled_us(arguments, arguments->delay_max_ms);
}

static const char *
member(JsonObject *body, const char *name)
{
    return json_object_get_string_member_with_default(body, name, "");
}

/* The answer depends on the prompt alone; a resumed text that is not the
 * answer's own beginning leads it astray, as it would a real model. */
static void
prepare_answer(struct engine *engine, struct engine_request *request,
               const char *prompt, const char *resume_text)
{
    GString *expected = g_string_new(NULL);
    char text[32];

    request->text_hash = XXH3_64bits(prompt, strlen(prompt));
    for (unsigned i = 0; i < request->next_token; i++) {
        engine_token_text(text, sizeof(text), request->text_hash, i);
        g_string_append(expected, text);
    }
    if (strcmp(expected->str, resume_text) != 0) {
        request->text_hash = XXH3_64bits_withSeed(
            resume_text, strlen(resume_text), request->text_hash);
        pthread_mutex_lock(&engine->lock);
        engine->stats.resume_mismatches++;
        pthread_mutex_unlock(&engine->lock);
    }
    g_string_free(expected, TRUE);
}

static void
prepare_chain(struct engine *engine, struct engine_request *request,
              JsonObject *body)
{
    const char *prompt = member(body, "prompt");
    GString *text = g_string_new(prompt);
    uint64_t root;

    g_string_append(text, member(body, "resume_text"));
    pthread_mutex_lock(&engine->lock);
    root = engine_chain_root(member(body, "cache_salt"), engine->model,
                             member(body, "adapter"), engine->version);
    pthread_mutex_unlock(&engine->lock);
    request->chain = engine_chain_blocks(root, text->str, text->len,
                                         (size_t)engine->options.block_tokens *
                                             ENGINE_TOKEN_BYTES);
    request->prompt_tokens =
        (unsigned)((text->len + ENGINE_TOKEN_BYTES - 1) / ENGINE_TOKEN_BYTES);
    request->poison = engine->options.crash_on != NULL &&
                      strstr(prompt, engine->options.crash_on) != NULL;
    g_string_free(text, TRUE);
}

static struct engine_request *
request_new(struct engine *engine, struct standin_call *call, JsonObject *body,
            uint64_t load_order)
{
    struct engine_request *request = g_new0(struct engine_request, 1);
    gint64 priority =
        json_object_get_int_member_with_default(body, "priority", 2);

    g_strlcpy(request->id, member(body, "request_id"), sizeof(request->id));
    request->call = standin_call_ref(call);
    request->text = g_string_new(NULL);
    request->streams =
        json_object_get_boolean_member_with_default(body, "stream", FALSE);
    request->priority =
        (unsigned)CLAMP(priority, 0, (gint64)ENGINE_PRIORITIES - 1);
    request->max_tokens = (unsigned)json_object_get_int_member_with_default(
        body, "max_tokens", 16);
    request->next_token = (unsigned)json_object_get_int_member_with_default(
        body, "resume_from", 0);
    request->load_order = load_order;
    prepare_chain(engine, request, body);
    prepare_answer(engine, request, member(body, "prompt"),
                   member(body, "resume_text"));
    return request;
}

static void
refuse_overloaded(struct standin_call *call)
{
    standin_call_error(call, 503, "overloaded",
                       "the queue is full or weights are loading: try "
                       "another engine or later");
}

/* The first request is refused with Retry-After. Return: whether the time is
 * not over, and the request was refused. */
static bool
refuse_in_backoff(struct engine *engine, struct standin_call *call)
{
    uint64_t now = (uint64_t)g_get_monotonic_time();
    bool in_backoff;
    char seconds[32];

    if (engine->options.retry_after_us == 0) {
        return false;
    }
    pthread_mutex_lock(&engine->lock);
    if (engine->backoff_until == 0) {
        engine->backoff_until = now + engine->options.retry_after_us;
    }
    else {
        engine->stats.requests_in_backoff += now < engine->backoff_until;
    }
    in_backoff = now < engine->backoff_until;
    pthread_mutex_unlock(&engine->lock);
    if (in_backoff) {
        snprintf(seconds, sizeof(seconds), "%.3f",
                 (double)engine->options.retry_after_us / 1e6);
        standin_call_add_header(call, "Retry-After", seconds);
        refuse_overloaded(call);
    }
    return in_backoff;
}

/* Return: whether the engine takes the request; else it has been answered. */
static bool
accept_completion(struct engine *engine, struct standin_call *call,
                  JsonObject *body, uint64_t *load_order)
{
    bool runs, busy;
    char incarnation[20];

    pthread_mutex_lock(&engine->lock);
    *load_order = engine->load_order;
    runs = engine_runs(engine, member(body, "model"), member(body, "version"),
                       member(body, "adapter"));
    busy = engine->waiting_count >= engine->options.queue_limit ||
           engine->weights_loading;
    standin_call_add_header(call, "X-Model-Version", engine->version);
    pthread_mutex_unlock(&engine->lock);
    snprintf(incarnation, sizeof(incarnation), "%016" PRIx64,
             engine->incarnation);
    standin_call_add_header(call, "X-Engine-Incarnation", incarnation);
    if (!runs) {
        standin_call_error(call, 409, "wrong_version",
                           "this engine runs another model, adapter or "
                           "version: see GET /status");
    }
    else if (busy) {
        refuse_overloaded(call);
    }
    return runs && !busy;
}

static void
serve_completion(struct engine *engine, struct standin_call *call)
{
    JsonObject *body = standin_call_json(call);
    struct engine_request *request;
    uint64_t load_order;

    if (body == NULL) {
        return;
    }
    if (*member(body, "prompt") == '\0' ||
        json_object_get_int_member_with_default(body, "resume_from", 0) >=
            json_object_get_int_member_with_default(body, "max_tokens", 16)) {
        standin_call_error(call, 400, "bad_request",
                           "prompt must not be empty and max_tokens must "
                           "exceed resume_from");
    }
    else if (!refuse_in_backoff(engine, call) &&
             accept_completion(engine, call, body, &load_order)) {
        request = request_new(engine, call, body, load_order);
        if (!engine_batch_submit(engine, request)) {
            refuse_overloaded(call);
            engine_request_free(request);
        }
    }
    json_object_unref(body);
}

static void
serve_cancel(struct engine *engine, struct standin_call *call)
{
    JsonObject *body = standin_call_json(call);

    if (body != NULL) {
        bool found = engine_batch_cancel(engine, member(body, "request_id"));

        standin_call_replyf(call, 200, "{\"cancelled\":%s}",
                            found ? "true" : "false");
        json_object_unref(body);
    }
}

static void
serve_export(struct engine *engine, struct standin_call *call)
{
    engine_serve_kv(engine, call, true);
}

static void
serve_import(struct engine *engine, struct standin_call *call)
{
    engine_serve_kv(engine, call, false);
}

static const struct {
    const char *method;
    const char *path;
    void (*serve)(struct engine *engine, struct standin_call *call);
} routes[] = {
    {"POST", "/v1/completions", serve_completion},
    {"POST", "/cancel", serve_cancel},
    {"GET", "/events", engine_serve_events},
    {"GET", "/blocks", engine_serve_blocks},
    {"GET", "/load", engine_serve_load},
    {"GET", "/status", engine_serve_status},
    {"POST", "/orders", engine_serve_orders},
    {"POST", "/kv/export", serve_export},
    {"POST", "/kv/import", serve_import},
    {"GET", "/_stats", engine_serve_stats},
};

static void
handle(struct standin_call *call, void *data)
{
    for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
        if (strcmp(standin_call_method(call), routes[i].method) == 0 &&
            strcmp(standin_call_path(call), routes[i].path) == 0) {
            routes[i].serve(data, call);
            return;
        }
    }
    standin_call_error(call, 404, "not_found",
                       "see the model engine's calls in "
                       "docs/upstream-protocol.md");
}

static struct engine *
engine_new(const struct arguments *arguments)
{
    struct engine *engine = g_new0(struct engine, 1);

    engine->options = arguments->engine;
    pthread_mutex_init(&engine->lock, NULL);
    standin_cond_init(&engine->work);
    standin_cond_init(&engine->poll_changed);
    if (getrandom(&engine->incarnation, sizeof(engine->incarnation), 0) < 0) {
        engine->incarnation = (uint64_t)g_get_real_time();
    }
    engine->journal = engine_journal_new(&arguments->journal);
    engine->cache =
        engine_cache_new(engine->options.cache_blocks, engine->journal);
    for (unsigned i = 0; i < ENGINE_PRIORITIES; i++) {
        pgw_list_init(&engine->waiting[i]);
    }
    pgw_list_init(&engine->running);
    pgw_list_init(&engine->polls);
    engine->executions =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    engine->model = g_strdup(engine->options.model);
    engine->version = g_strdup(engine->options.version);
    engine->role = g_strdup("serve");
    engine->next_model = g_strdup("");
    engine->next_version = g_strdup("");
    engine->adapters_loading = g_ptr_array_new_with_free_func(g_free);
    engine->adapters = g_ptr_array_new_with_free_func(g_free);
    return engine;
}

int
main(int argc, char **argv)
{
    struct arguments arguments = ARGUMENTS_INIT;
    struct engine *engine;

    standin_process_init();
    parse_arguments(&arguments, argc, argv);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    engine = engine_new(&arguments);
    engine_batch_start(engine);
    engine_reports_start(engine);
    standin_server_run(&(struct standin_server_options){
        .port = arguments.port,
        .threads = SERVER_THREADS,
        .handle = handle,
        .data = engine,
    });
}
