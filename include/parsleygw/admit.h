#ifndef PARSLEYGW_ADMIT_H
#define PARSLEYGW_ADMIT_H

#include <glib.h>
#include <parsleygw/types.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "libparsleygw/heap.h"
#include "util/list.h"

G_BEGIN_DECLS

/**
 * DOC: Admission at the sidecar
 *
 * Admission control before one upstream. It keeps the upstream's own queue
 * short, so that the order of service is decided as late as possible: by
 * priority, then fairly between workspaces by share. Not thread-safe.
 */

struct pgw_admit;

/**
 * struct pgw_admit_options - limits and initial estimates
 * @max_running: requests that the upstream runs concurrently
 * @reserved: slots of @max_running that batch requests must not use
 * @max_prefill_tokens: limit of the uncached tokens of running requests
 *     without a first token; a single larger prompt may be sent alone
 * @max_waiting: limit of waiting requests; each workspace may use its share
 * @starvation_us: after this time without a start, a lower priority with
 *     waiting requests gets one start
 * @prefill_tokens_per_s: initial estimate, then learned
 * @step_us: initial estimate of the time of one decode step, then learned
 */
struct pgw_admit_options {
    uint32_t max_running;
    uint32_t reserved;
    uint32_t max_prefill_tokens;
    uint32_t max_waiting;
    uint64_t starvation_us;
    double prefill_tokens_per_s;
    double step_us;
};

#define PGW_ADMIT_OPTIONS_INIT                                                \
    {                                                                         \
        .max_running = 32, .reserved = 4, .max_prefill_tokens = 2048,         \
        .max_waiting = 4096, .starvation_us = 5000000,                        \
        .prefill_tokens_per_s = 10000.0, .step_us = 20000.0                   \
    }

enum pgw_admit_state {
    PGW_ADMIT_IDLE,
    PGW_ADMIT_WAITING,
    PGW_ADMIT_PREFILL,
    PGW_ADMIT_DECODE,
};

/**
 * struct pgw_admit_position - position of an item; private
 * @queue: link in the queue of its workspace, or among the expired items
 * @flow: queue of its workspace; NULL if the item is not in it
 * @deadline: link among the deadlines of waiting items
 * @since_us: time of the offer, then of the start, then of the first token
 * @started_us: when it was started
 */
struct pgw_admit_position {
    struct pgw_list queue;
    struct pgw_admit_flow *flow;
    struct pgw_heap_node deadline;
    uint64_t since_us;
    uint64_t started_us;
};

/**
 * struct pgw_admit_item - one request, embedded by the caller
 * @link: for the caller, not used by admission
 * @workspace: pgw_level_workspace_hash() of the workspace
 * @share: the workspace's weight, 0 counts as 1
 * @priority: one of &enum pgw_priority
 * @deadline: latest time of the first token in microseconds, 0: none
 * @uncached_tokens: prompt tokens that the upstream must prefill; 0 for a
 *     plain service
 * @max_tokens: maximum tokens of the answer
 * @is_batch: must not use the reserved slots; implied by %PGW_PRIORITY_BATCH
 * @state: read-only for the caller
 * @position: private
 *
 * Zero the struct before use.
 */
struct pgw_admit_item {
    struct pgw_list link;
    uint64_t workspace;
    uint32_t share;
    enum pgw_priority priority;
    uint64_t deadline;
    uint32_t uncached_tokens;
    uint32_t max_tokens;
    bool is_batch;
    enum pgw_admit_state state;
    struct pgw_admit_position position;
};

enum pgw_admit_verdict {
    PGW_ADMIT_RUN,
    PGW_ADMIT_QUEUE,
    PGW_ADMIT_REFUSE,
};

/**
 * struct pgw_admit_answer - decision on an offered item
 * @verdict: run now, wait for pgw_admit_next(), or refused
 * @refusal: the reason, if refused
 * @retry_after_ms: when to retry, if refused
 * @ttft_us: estimated time to first token
 */
struct pgw_admit_answer {
    enum pgw_admit_verdict verdict;
    enum pgw_refusal refusal;
    uint32_t retry_after_ms;
    uint64_t ttft_us;
};

/**
 * struct pgw_admit_load - current load
 * @running: requests at the upstream
 * @waiting: queued requests
 * @queued_tokens: uncached tokens waiting or in prefill
 * @prefill_tokens_per_s: learned rate
 * @step_us: learned time of a decode step
 */
struct pgw_admit_load {
    uint32_t running;
    uint32_t waiting;
    uint32_t queued_tokens;
    double prefill_tokens_per_s;
    double step_us;
};

/**
 * pgw_admit_new() - create admission control for one upstream
 * @options: limits, NULL for the defaults
 */
struct pgw_admit *pgw_admit_new(const struct pgw_admit_options *options);

/* Does not free the items still in it. */
void pgw_admit_free(struct pgw_admit *admit);

/**
 * pgw_admit_offer() - decide on a new request
 * @out: receives the decision
 * @admit: admission control
 * @item: used until pgw_admit_done(), pgw_admit_remove(), pgw_admit_expire()
 *     or pgw_admit_drain() releases it; not used if refused
 * @now_us: microseconds
 */
void pgw_admit_offer(struct pgw_admit_answer *out, struct pgw_admit *admit,
                     struct pgw_admit_item *item, uint64_t now_us);

/**
 * pgw_admit_next() - start the next waiting request
 * @admit: admission control
 * @now_us: microseconds
 *
 * Call again until NULL, after each pgw_admit_offer(), pgw_admit_done(),
 * pgw_admit_first_token(), pgw_admit_remove() and from a timer.
 *
 * Return: an item, now counted as running, or NULL.
 */
struct pgw_admit_item *pgw_admit_next(struct pgw_admit *admit,
                                      uint64_t now_us);

/**
 * pgw_admit_set_uncached_tokens() - correct the uncached tokens
 * @admit: admission control
 * @item: waiting or running
 * @uncached_tokens: new count
 *
 * For a waiting item whose prefix has been cached meanwhile, and before
 * pgw_admit_first_token() with the count from the upstream's answer, so that
 * the rate is learned from the tokens actually prefilled.
 */
void pgw_admit_set_uncached_tokens(struct pgw_admit *admit,
                                   struct pgw_admit_item *item,
                                   uint32_t uncached_tokens);

/**
 * pgw_admit_first_token() - record the end of an item's prefill
 * @admit: admission control
 * @item: a running item; further calls for it do nothing
 * @now_us: microseconds
 */
void pgw_admit_first_token(struct pgw_admit *admit,
                           struct pgw_admit_item *item, uint64_t now_us);

/**
 * pgw_admit_done() - record the end of an item, complete or not
 * @admit: admission control
 * @item: a running item, released
 * @completion_tokens: tokens of the answer, 0 if it failed
 * @now_us: microseconds
 */
void pgw_admit_done(struct pgw_admit *admit, struct pgw_admit_item *item,
                    uint32_t completion_tokens, uint64_t now_us);

/**
 * pgw_admit_remove() - remove an item whose caller disconnected
 * @admit: admission control
 * @item: waiting or running, released; an idle item is ignored
 * @now_us: microseconds
 *
 * Return: true if it was still waiting, so that it certainly did not run.
 */
bool pgw_admit_remove(struct pgw_admit *admit, struct pgw_admit_item *item,
                      uint64_t now_us);

/**
 * pgw_admit_expire() - release a waiting item whose deadline has passed
 * @admit: admission control
 * @now_us: microseconds
 *
 * Call again until NULL. The item did not run.
 */
struct pgw_admit_item *pgw_admit_expire(struct pgw_admit *admit,
                                        uint64_t now_us);

/**
 * pgw_admit_drain() - release a waiting item, whatever its deadline
 * @admit: admission control
 *
 * For an upstream that crashed or drains. Call again until NULL.
 */
struct pgw_admit_item *pgw_admit_drain(struct pgw_admit *admit);

/**
 * pgw_admit_estimate_us() - expected time to first token
 * @admit: admission control
 * @workspace: pgw_level_workspace_hash() of the workspace
 * @share: its weight
 * @priority: priority of the request
 * @uncached_tokens: prompt tokens to prefill
 *
 * Return: microseconds; O(1) in the number of workspaces and requests.
 */
uint64_t pgw_admit_estimate_us(const struct pgw_admit *admit,
                               uint64_t workspace, uint32_t share,
                               enum pgw_priority priority,
                               uint32_t uncached_tokens);

/**
 * pgw_admit_load_get() - read the current load
 * @out: receives it
 * @admit: admission control
 */
void pgw_admit_load_get(struct pgw_admit_load *out,
                        const struct pgw_admit *admit);

G_END_DECLS

#endif
