#ifndef STANDINS_ENGINE_H
#define STANDINS_ENGINE_H

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "engine_cache_lib.h"
#include "engine_events_lib.h"
#include "http_lib.h"
#include "sync_lib.h"
#include "util/list.h"

/**
 * DOC: Parts of the stand-in for a model engine
 *
 * engine_batch_lib.c runs requests, engine_reports_lib.c answers what the
 * engine tells about itself, engine_orders_lib.c loads weights,
 * engine_kv_lib.c moves cache to and from the KV store. One lock guards all
 * state; it is taken before any lock of a call.
 */

#define ENGINE_PRIORITIES 4
#define ENGINE_TOKEN_BYTES 4 /* bytes of prompt that count as one token */
#define ENGINE_LOAD_SAMPLES 256

/**
 * struct engine_options - command line, times already scaled
 * @prefill_rate: uncached prompt tokens computed in a second
 * @decode_us: one decode step of the whole batch
 * @prefill_chunk: most prompt tokens computed in one step
 * @load_age_us: age of a load report
 * @load_us: time that loading weights takes
 * @kv_rate: tokens a second to or from the KV store
 * @crash_on: a prompt with this text ends the process, or NULL
 * @crash_after_us: time from its begin to that end, even if its caller leaves
 * @crash_answered_us: time from the end of that prompt's answer, which is
 *   whole, to the end of the process; 0: it ends as it begins the prompt
 * @crash_linger_us: time from the break of that answer to the end
 * @retry_after_us: Retry-After of the first request, which is refused; 0: none
 * is
 * @stop_at: answers end by themselves after so many tokens, 0 for never
 */
struct engine_options {
    const char *model;
    const char *version;
    double prefill_rate;
    uint64_t decode_us;
    unsigned batch;
    unsigned block_tokens;
    unsigned cache_blocks;
    unsigned prefill_chunk;
    unsigned queue_limit;
    uint64_t load_age_us;
    uint64_t load_us;
    double kv_rate;
    const char *weight_store;
    const char *crash_on;
    uint64_t crash_after_us;
    uint64_t crash_answered_us;
    uint64_t crash_linger_us;
    uint64_t retry_after_us;
    unsigned stop_at;
    bool ignore_fence;
};

/**
 * struct engine_load - what a load report says
 * @queued_tokens: prompt tokens not yet computed
 */
struct engine_load {
    uint64_t at;
    unsigned running;
    unsigned waiting;
    uint64_t queued_tokens;
};

struct engine_stats {
    uint64_t requests;
    uint64_t cancelled;
    uint64_t prefilled_tokens;
    uint64_t cached_tokens;
    uint64_t resume_mismatches;
    uint64_t requests_in_backoff;
};

/**
 * struct engine_request - one completion
 * @text_hash: what the answer's tokens derive from
 * @load_order: the engine's, when the request was accepted
 * @next_token: index of the token that comes next
 * @prefilled: prompt tokens whose state exists, cached ones included
 * @tail: last held block of the prompt
 * @stored: blocks of @chain that are cached and held
 */
struct engine_request {
    struct pgw_list link;
    char id[ENGINE_ID_SIZE];
    struct standin_call *call;
    bool streams;
    bool poison;
    unsigned priority;
    uint64_t arrival;
    GArray *chain;
    unsigned prompt_tokens;
    uint64_t text_hash;
    uint64_t load_order;
    unsigned next_token;
    unsigned max_tokens;

    bool started;
    bool cancelled;
    bool decodes;
    unsigned planned;
    unsigned prefilled;
    unsigned cached_tokens;
    struct engine_block *tail;
    unsigned stored;
    GString *text;
};

struct engine {
    struct engine_options options;
    uint64_t incarnation;

    pthread_mutex_t lock; /* guards all below */
    pthread_cond_t work;
    struct engine_cache *cache;
    struct engine_journal *journal;
    struct pgw_list waiting[ENGINE_PRIORITIES];
    struct pgw_list running; /* by priority, then arrival */
    unsigned waiting_count;
    unsigned running_count;
    uint64_t arrivals;
    uint64_t backoff_until; /* 0: no backoff was requested */
    uint64_t reap_at;
    struct engine_load loads[ENGINE_LOAD_SAMPLES];
    uint64_t load_count;
    struct engine_stats stats;
    GHashTable *executions; /* request id to how often it began to run */

    pthread_cond_t poll_changed;
    struct pgw_list polls; /* waiting readers of events */

    char *model;
    char *version;
    GPtrArray *adapters;
    char *role;
    uint64_t fence;
    bool weights_loading;
    bool weights_loaded; /* they replace the old ones as soon as no request
                            needs those */
    uint64_t load_order;
    char *next_model;
    char *next_version;
    GPtrArray *adapters_loading;
};

uint64_t engine_now(void);

/* engine_batch_lib.c */
void engine_batch_start(struct engine *engine);
/**
 * engine_batch_submit() - queue a request, which then belongs to the batch
 *
 * Return: false when a load of weights began since the request was accepted;
 * its chain of blocks may then belong to weights that are gone.
 */
bool engine_batch_submit(struct engine *engine,
                         struct engine_request *request);
void engine_request_free(struct engine_request *request);
bool engine_batch_cancel(struct engine *engine, const char *id);

/** engine_token_text() - the text of token @index, from the prompt alone */
void engine_token_text(char *out, size_t size, uint64_t text_hash,
                       unsigned index);

/* engine_reports_lib.c; the caller of _sample and _notify holds the lock */
void engine_reports_start(struct engine *engine);
void engine_load_sample(struct engine *engine, uint64_t now);
void engine_events_notify(struct engine *engine);
void engine_serve_events(struct engine *engine, struct standin_call *call);
void engine_serve_blocks(struct engine *engine, struct standin_call *call);
void engine_serve_load(struct engine *engine, struct standin_call *call);
void engine_serve_stats(struct engine *engine, struct standin_call *call);

/* engine_orders_lib.c; the caller of _finish_load holds the lock */
void engine_serve_status(struct engine *engine, struct standin_call *call);
void engine_serve_orders(struct engine *engine, struct standin_call *call);
void engine_finish_load(struct engine *engine, uint64_t now);
bool engine_runs(const struct engine *engine, const char *model,
                 const char *version, const char *adapter);

/* engine_kv_lib.c */
void engine_serve_kv(struct engine *engine, struct standin_call *call,
                     bool is_export);

#endif
