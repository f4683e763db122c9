#ifndef PGW_GATEWAY_CONFIG_CODEC_H
#define PGW_GATEWAY_CONFIG_CODEC_H

#include "gateway/http/http_reader.h"
#include "gateway/placement/choose.h"
#include "gateway/upstream/upstream_notice.h"
#include "gateway/upstream/upstream_table.h"
#include <glib.h>
#include <stdbool.h>

/**
 * DOC: Encoding of a deployment's HTTP messages
 *
 * The gateway knows the meaning of the fields of a request, the codec knows
 * their names and formats. A deployment provides one table of these functions.
 */

/**
 * struct pgw_request_facts - what the gateway needs of a caller's request
 * @id: the caller's id of this attempt; upstreams echo it
 * @host: requested host
 * @key: the caller's API key, NULL without one
 * @deadline_ms: how long the caller waits, 0: not stated
 * @model: name of the model, NULL for a request to a plain service
 * @prompt: parts of the prompt
 * @has_tokens: the caller stated the sizes of prompt and answer
 * @resume_after: id of the last event that the caller has
 * @has_resume: @resume_after is set
 * @resumes: id of the attempt that brought the stream's first event, NULL: not
 *   stated
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
    const char *resumes;
};

/* Priorities that engines distinguish. */
#define PGW_PRIORITIES 10

/**
 * struct pgw_forward - a request as it is sent to an upstream
 * @head: the caller's head
 * @body: the whole body
 * @body_size: its size in bytes
 * @instance: the incarnation that may run it
 * @workspace: the key's workspace, NULL without one
 * @deadline_ms: time left until the deadline
 * @priority: below %PGW_PRIORITIES, 0 is the most urgent; -1: not sent
 * @cache_salt: salt of the cache keys of the prompt's parts, NULL: none
 * @weights: version of the weights that must run it, 0: any
 * @fetch_from: "IP:PORT" from which to fetch cached parts, NULL: none
 * @save_to: "IP:PORT" of the store to which to save parts, NULL: none
 * @backup_to: "IP:PORT" of the engine that receives a copy of the run's KV
 *   cache, NULL: none
 * @backup_at: "IP:PORT" of the engine that holds the copy from which the run
 *   of the same attempt goes on, NULL: it begins
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
    const char *backup_to;
    const char *backup_at;
    uint64_t resume_after;
    bool has_resume;
};

/**
 * struct pgw_answer_facts - what the gateway needs of an upstream's head
 * @id: id of the attempt that it answers, NULL: not stated
 * @genuine: the head carries the field that marks an upstream's own answer
 * @not_run: the upstream states that it did not run the request
 * @instance: incarnation that answered, NULL: not stated
 * @has_load: @load is set
 * @load: the upstream's load
 * @weights: version of the weights that run it, 0: not stated
 * @is_stream: the body is a stream of events
 * @notice: what the upstream states about itself
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
    struct pgw_upstream_notice notice;
};

/**
 * struct pgw_codec - encoding and decoding of one deployment's messages
 * @read_request: decode a caller's head; false: it is malformed. The decoded
 *   strings point into the head
 * @write_request: append the whole request as it goes to an upstream
 * @write_status_check: append a status check of the upstream at @host, with
 *   the path that its service names
 * @read_answer: decode an upstream's head
 * @keep_answer_field: whether callers get this field of an upstream's head
 */
struct pgw_codec {
    bool (*read_request)(struct pgw_request_facts *out,
                         const struct pgw_http_head *head);
    void (*write_request)(GString *out, const struct pgw_forward *forward);
    void (*write_status_check)(GString *out, const char *path,
                               const char *host);
    void (*read_answer)(struct pgw_answer_facts *out,
                        const struct pgw_http_head *head);
    bool (*keep_answer_field)(const char *name);
};

#endif
