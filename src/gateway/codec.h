#ifndef PGW_GATEWAY_CODEC_H
#define PGW_GATEWAY_CODEC_H

#include "gateway/choose.h"
#include "gateway/http_reader.h"
#include "gateway/upstream_table.h"
#include <glib.h>
#include <stdbool.h>

/**
 * DOC: What a deployment's callers and upstreams speak
 *
 * The gateway knows what the fields of a request mean, the codec knows how
 * they are spelled. A deployment brings one table of these functions.
 */

/**
 * struct pgw_request_facts - what the gateway needs of a caller's request
 * @id: the caller's name for this attempt; echoed by upstreams
 * @host: which host it asks for
 * @key: the caller's key, NULL without one
 * @deadline_ms: how long the caller waits, 0: not said
 * @model: model's name, NULL for a plain call
 * @prompt: parts of the prompt
 * @has_tokens: the sizes of prompt and answer were sent
 * @resume_after: the caller has events up to this one
 * @has_resume: @resume_after was sent
 */
struct pgw_request_facts {
    const char *id;
    const char *host;
    const char *key;
    uint32_t deadline_ms;
    const char *model;
    struct pgw_prompt prompt;
    bool has_tokens;
    uint64_t resume_after;
    bool has_resume;
};

/* Urgencies that engines tell apart. */
#define PGW_PRIORITIES 10

/**
 * struct pgw_forward - a request on its way to an upstream
 * @head: the caller's head
 * @body: the whole body
 * @body_size: its size in bytes
 * @instance: the incarnation that may run it
 * @workspace: the key's workspace, NULL without one
 * @deadline_ms: what is left
 * @priority: below %PGW_PRIORITIES, 0 first; -1: not said
 * @cache_salt: text under which prompt parts are cached, NULL: none
 * @weights: version that must compute the answer, 0: any
 * @fetch_from: "IP:PORT" that holds parts of the prompt, NULL: nobody
 * @save_to: "IP:PORT" that keeps parts, NULL: nobody
 * @resume_after: id of the last event that the caller has
 * @has_resume: @resume_after is set
 */
struct pgw_forward {
    const struct pgw_http_head *head;
    const void *body;
    size_t body_size;
    const char *instance;
    const char *workspace;
    uint32_t deadline_ms;
    int priority;
    const char *cache_salt;
    uint64_t weights;
    const char *fetch_from;
    const char *save_to;
    uint64_t resume_after;
    bool has_resume;
};

/**
 * struct pgw_answer_facts - what the gateway needs of an upstream's head
 * @id: the attempt that it answers, NULL: not said
 * @genuine: it bears the mark of an upstream's own answer
 * @not_run: the upstream states that it did not run the request
 * @instance: incarnation that answered, NULL: not said
 * @has_load: @load is set
 * @load: its load
 * @weights: version that computes the answer, 0: not said
 * @is_stream: the body is a series of events
 */
struct pgw_answer_facts {
    const char *id;
    bool genuine;
    bool not_run;
    const char *instance;
    bool has_load;
    struct pgw_upstream_load load;
    uint64_t weights;
    bool is_stream;
};

/**
 * struct pgw_codec - one deployment's spelling
 * @read_request: decode a caller's head; false: it is not proper. Texts point
 *   into the head
 * @write_request: append the whole request as it goes to an upstream
 * @read_answer: decode an upstream's head
 * @keep_answer_field: whether callers get this field of an upstream's head
 */
struct pgw_codec {
    bool (*read_request)(struct pgw_request_facts *out,
                         const struct pgw_http_head *head);
    void (*write_request)(GString *out, const struct pgw_forward *forward);
    void (*read_answer)(struct pgw_answer_facts *out,
                        const struct pgw_http_head *head);
    bool (*keep_answer_field)(const char *name);
};

#endif
