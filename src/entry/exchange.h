#ifndef PGW_ENTRY_EXCHANGE_H
#define PGW_ENTRY_EXCHANGE_H

#include "entry/entry.h"
#include "parsleygw/attempt.h"
#include "parsleygw/level.h"
#include "util/buffer.h"
#include "util/loop.h"
#include <microhttpd.h>

/**
 * enum exchange_format - how the answer is written for the caller
 * @FORMAT_COMPLETION: /v1/completions
 * @FORMAT_CHAT: /v1/chat/completions
 * @FORMAT_SERVICE: a plain service's answer as it is
 */
enum exchange_format {
    FORMAT_COMPLETION,
    FORMAT_CHAT,
    FORMAT_SERVICE,
};

/**
 * struct refusal - a typed refusal towards the caller
 * @code: why
 * @ran: whether the request ran
 * @retry_after_ms: when to come back, 0: nothing said
 * @message: what was found and what to do; owned
 */
struct refusal {
    enum pgw_refusal code;
    enum pgw_ran ran;
    uint32_t retry_after_ms;
    char *message;
};

/**
 * struct exchange_request - what the filters found; fixed once placed
 * @method: HTTP method
 * @path: URL path, with the query for a plain call
 * @content_type: of the body
 * @body: as received
 * @workspace: who asks
 * @share: the workspace's share
 * @profile: chosen profile
 * @pool: its pool
 * @model: model name
 * @adapter: adapter name, may be empty
 * @version: weights version
 * @priority: order at the sidecar
 * @deadline_ms: time for the whole answer
 * @repeatable: a second run does no harm
 * @ttft_weight: see &struct pgw_profile
 * @max_tokens: most tokens of the answer
 * @seed: seed of sampling
 * @temperature: of sampling
 * @stream: answer as an event stream
 * @prompt: text for the engine
 * @boundaries: ends of chat messages in @prompt, in bytes
 * @n_boundaries: number of @boundaries
 * @idempotency_key: caller's key, or empty
 * @chain: levels of the prompt, or of the idempotency key
 * @bytes_per_token: the pool's
 * @fingerprint: what it asks, whoever sends it again
 */
struct exchange_request {
    char *method;
    char *path;
    char *content_type;
    struct pgw_buffer body;
    char *workspace;
    uint32_t share;
    char *profile;
    char *pool;
    char *model;
    char *adapter;
    char *version;
    enum pgw_priority priority;
    uint32_t deadline_ms;
    bool repeatable;
    double ttft_weight;
    uint32_t max_tokens;
    uint64_t seed;
    double temperature;
    bool stream;
    GString *prompt;
    uint32_t boundaries[PGW_LEVEL_MAX];
    size_t n_boundaries;
    char *idempotency_key;
    struct pgw_level_chain chain;
    uint32_t bytes_per_token;
    struct pgw_fingerprint fingerprint;
};

/**
 * struct exchange_output - what the caller gets; under @lock
 * @lock: between the HTTP thread and the loop thread
 * @bytes: rendered and not yet taken
 * @status: HTTP status once it is known, 0 before
 * @content_type: of the answer
 * @upstream: instance that serves it, for a header
 * @cached_tokens: prompt tokens that came from its cache, for a header
 * @finished: nothing more will be appended
 * @broken: the answer ends early and the connection must show it
 * @suspended: the HTTP server waits for pgw to resume the connection
 * @responding: the response was handed to the HTTP server
 * @grant_queued: the task that grants is on its way to the loop
 * @starved: the loop holds a grant back until @bytes has shrunk
 */
struct exchange_output {
    pthread_mutex_t lock;
    struct pgw_buffer bytes;
    unsigned status;
    char *content_type;
    char *upstream;
    uint32_t cached_tokens;
    uint32_t retry_after_ms;
    bool finished;
    bool broken;
    bool suspended;
    bool responding;
    bool starved;
    bool grant_queued;
};

/**
 * enum exchange_phase - progress on the HTTP side
 * @PHASE_BODY: the request is being read
 * @PHASE_WAITING: handed to the loop
 * @PHASE_RESPONDED: a response is queued
 */
enum exchange_phase {
    PHASE_BODY,
    PHASE_WAITING,
    PHASE_RESPONDED,
};

/**
 * struct exchange - one caller's request from accept to account
 * @entry: the process
 * @references: HTTP side and loop side
 * @id: request id
 * @connection: the caller's
 * @format: how the answer is written
 * @began_us: when the head was read
 * @wall: seconds since 1970, for answers
 * @request: input
 * @output: towards the caller
 * @begin: task that hands it to the loop
 * @gone: task that tells the loop of a caller who went away
 * @grant: task that tells the loop that the caller has taken enough
 * @phase: progress on the HTTP side; of that thread only
 * @too_large: the body went over the limit; the rest is thrown away
 * @counted: it counts among the entry's exchanges in flight
 * @workspace_counted: and among those of its workspace
 *
 * Of the loop's thread:
 * @attempt: state machine of the attempts
 * @timer: its next timer
 * @place_timer: probes are waited for, or a retry is
 * @placement: choice under way, or NULL
 * @target: where the current attempt runs; NULL without one
 * @at_target: link in the target's list of attempts
 * @ungranted: bytes received and not yet granted again
 * @charge_tokens: uncached tokens charged to @target
 * @charge_us: when
 * @attempt_number: number of the current attempt
 * @resume_from: tokens that the next attempt must not give again
 * @text: tokens delivered so far, to resume from and to answer whole
 * @prompt_tokens: as the engine counts
 * @cached_tokens: as the engine counts
 * @completion_tokens: as the engine counts
 * @service_status: HTTP status of a plain answer
 * @service_type: its content type
 * @first_token_us: when the answer began, 0 before
 * @versions_tried: weights versions that had no place for it, since it was
 *   sent last
 * @failures: failed attempts
 * @withdrawn: a planned stop has taken the call back, unless it had begun
 * @suspect: a quarantine record names its fingerprint
 * @ended: the caller has its final answer
 */
struct exchange {
    struct entry *entry;
    atomic_uint references;
    struct pgw_request_id id;
    struct MHD_Connection *connection;
    enum exchange_format format;
    uint64_t began_us;
    int64_t wall;
    struct exchange_request request;
    struct exchange_output output;
    struct pgw_task begin;
    struct pgw_task gone;
    struct pgw_task grant;
    enum exchange_phase phase;
    bool too_large;
    bool counted;
    bool workspace_counted;
    struct pgw_attempt attempt;
    struct pgw_timer timer;
    struct pgw_timer place_timer;
    struct placement *placement;
    struct upstream *target;
    struct pgw_list at_target;
    size_t ungranted;
    uint32_t attempt_number;
    uint32_t charge_tokens;
    uint64_t charge_us;
    uint32_t resume_from;
    GString *text;
    uint32_t prompt_tokens;
    uint32_t cached_tokens;
    uint32_t completion_tokens;
    unsigned service_status;
    char *service_type;
    uint64_t first_token_us;
    struct pgw_version_tried versions_tried;
    uint32_t failures;
    bool withdrawn;
    bool suspect;
    bool ended;
};

/* exchange.c */
struct exchange *exchange_new(struct entry *entry,
                              struct MHD_Connection *connection);
struct exchange *exchange_ref(struct exchange *exchange);
void exchange_unref(struct exchange *exchange);

/* Output, from the loop's thread. */
/** exchange_begin_output() - status and headers are settled; once */
void exchange_begin_output(struct exchange *exchange, unsigned status,
                           const char *content_type);
/** exchange_set_upstream() - who serves it now, for a header */
void exchange_set_upstream(struct exchange *exchange, const char *id);
/** exchange_append() - more of the answer */
void exchange_append(struct exchange *exchange, const void *data, size_t size);
/** exchange_is_behind() - the caller has more than @limit bytes to take; then
 * the HTTP side posts the grant task once it has caught up */
bool exchange_is_behind(struct exchange *exchange, size_t limit);
/** exchange_answer() - the whole answer at once */
void exchange_answer(struct exchange *exchange, unsigned status,
                     const char *content_type, uint32_t retry_after_ms,
                     const void *data, size_t size);
/** exchange_finish_output() - the answer ends here, early if @broken */
void exchange_finish_output(struct exchange *exchange, bool broken);
/** exchange_caller_is_gone() - looks at the connection of a waiting caller */
bool exchange_caller_is_gone(struct exchange *exchange);

/* refusal.c */
void refusal_set(struct refusal *refusal, enum pgw_refusal code,
                 enum pgw_ran ran, uint32_t retry_after_ms, const char *format,
                 ...) G_GNUC_PRINTF(5, 6);
void refusal_dispose(struct refusal *refusal);
/** refusal_advice() - message for a refusal that came without one */
const char *refusal_advice(enum pgw_refusal code);
/** refusal_render() - the JSON object that callers get */
char *refusal_render(const struct refusal *refusal);

/**
 * struct filter - one step of the pipe before placement
 * @name: for logs
 * @run: returns false, with the refusal set, to end the request
 */
struct filter {
    const char *name;
    bool (*run)(struct exchange *exchange, const struct pgw_config *config,
                struct refusal *refusal);
};

extern const struct filter filter_identify;
extern const struct filter filter_parse;
extern const struct filter filter_profile;
extern const struct filter filter_limit;
extern const struct filter filter_levels;

/* filter_levels.c */
/** levels_stamp() - give a prompt another weights version, with its levels */
void levels_stamp(struct exchange_request *request, const char *version);

/* version.c: on the loop's thread */
/**
 * version_stamp() - give the request the weights version that is its share
 *
 * Done at placement and not where the request was read: an engine that
 * changes over while the request waits must not leave it without any.
 */
void version_stamp(struct exchange *exchange, const struct pool *pool);
/**
 * version_shift() - nobody of the stamped version takes it: try the next one
 *
 * Once through all versions, so that a refusal still comes soon.
 *
 * Return: false when there is no other one.
 */
bool version_shift(struct exchange *exchange);

/* place.c: on the loop's thread */
/** place_begin() - choose a sidecar for the next attempt */
void place_begin(struct exchange *exchange);
void place_take_reply(struct entry *entry, struct upstream *upstream,
                      const Pgw__ProbeReply *reply);
/** place_forget() - an upstream is about to be freed */
void place_forget(struct entry *entry, const struct upstream *upstream);
/** place_cancel() - stop a choice that is no longer wanted */
void place_cancel(struct exchange *exchange);
void place_timer_due(struct pgw_timer *timer);

/* forward.c: on the loop's thread */
/** forward_begin() - an exchange arrives from the HTTP side */
void forward_begin(struct pgw_task *task);
/** forward_send() - open the next attempt at a sidecar */
void forward_send(struct exchange *exchange, struct upstream *upstream,
                  uint32_t uncached_tokens);
/** forward_step() - feed one event to the attempts and act on the decision */
void forward_step(struct exchange *exchange,
                  const struct pgw_attempt_event *event,
                  const ProtobufCMessage *message);
void forward_take_frame(struct entry *entry, struct upstream *upstream,
                        enum pgw_frame_type type,
                        const ProtobufCMessage *message);
void forward_link_lost(struct exchange *exchange);
/** forward_not_run() - the sidecar has ended without starting the attempt */
void forward_not_run(struct exchange *exchange);
/** forward_ran() - whether the request ran, as far as is known now */
enum pgw_ran forward_ran(const struct exchange *exchange);
/** forward_withdraw_late() - take a call that must not run again back from
 * the queue of its sidecar, if it might still run when a planned stop cuts it
 */
void forward_withdraw_late(struct exchange *exchange);
void forward_refuse(struct exchange *exchange, const struct refusal *refusal);
void forward_caller_gone(struct exchange *exchange);
void forward_grant(struct pgw_task *task);
/** forward_received() - Data of that cost came; grants more when it may */
void forward_received(struct exchange *exchange, size_t cost);

/* relay.c: rendering of answers, on the loop's thread */
void relay_start(struct exchange *exchange, const Pgw__Started *started);
void relay_data(struct exchange *exchange, const Pgw__Data *data);
void relay_restart(struct exchange *exchange);
void relay_end(struct exchange *exchange, const Pgw__End *end);
void relay_refuse(struct exchange *exchange, const struct refusal *refusal);

/* account.c */
void account_init(void);
void account_accept(void);
void account_drop(enum pgw_attempt_drop drop);
void account_retry(bool resume);
/** account_refusal() - one that never came to placement, too */
void account_refusal(const struct pgw_request_id *id,
                     const struct refusal *refusal);
void account_end(struct exchange *exchange, const struct refusal *refusal);

#endif
