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
 * The gate before one upstream. It keeps the upstream's own queue short, so
 * that the order of service is decided late: by priority, then fairly between
 * workspaces by share. Not thread-safe.
 */

struct pgw_admit;

/**
 * struct pgw_admit_options - limits and first guesses
 * @max_running: requests that the upstream runs at once
 * @reserved: slots of @max_running that batch work leaves free
 * @max_prefill_tokens: uncached tokens handed to the upstream whose first
 *     token has not come; a single larger prompt may go alone
 * @max_waiting: waiting requests; each workspace may fill its share of it
 * @starvation_us: a lower priority that has waited so long without a start
 * gets one start
 * @prefill_tokens_per_s: first guess, learned from then on
 * @step_us: first guess of the time of one decode step, learned
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
 * struct pgw_admit_place - where an item stands at the gate; not for callers
 * @queue: link of its workspace's queue
 * @flow: its workspace's queue; NULL once it is not waiting there
 * @deadline: link among the deadlines of waiting items
 * @since: when it was started, later when its first token came
 * @started: when it was started
 */
struct pgw_admit_place {
    struct pgw_list queue;
    struct pgw_admit_flow *flow;
    struct pgw_heap_node deadline;
    uint64_t since;
    uint64_t started;
};

/**
 * struct pgw_admit_item - one request at the gate, embedded by the caller
 * @link: the caller's own, untouched while the item is at the gate
 * @workspace: pgw_level_workspace_hash() of the workspace
 * @share: the workspace's weight, 0 counts as 1
 * @priority: one of &enum pgw_priority
 * @deadline: latest time of the first token in microseconds, 0: none
 * @uncached_tokens: prompt tokens that the upstream must compute; 0 for a
 *     plain service
 * @max_tokens: most tokens of the answer
 * @is_batch: leave the reserved slots free (set for %PGW_PRIORITY_BATCH)
 * @state: read-only for the caller
 * @at: the gate's own
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
    struct pgw_admit_place at;
};

enum pgw_admit_verdict {
    PGW_ADMIT_RUN,
    PGW_ADMIT_QUEUE,
    PGW_ADMIT_REFUSE,
};

/**
 * struct pgw_admit_answer - what becomes of an offered item
 * @verdict: run now, wait for pgw_admit_next(), or refused and not kept
 * @refusal: the reason, if refused
 * @retry_after_ms: when to come back, if refused
 * @ttft_us: estimated time to first token
 */
struct pgw_admit_answer {
    enum pgw_admit_verdict verdict;
    enum pgw_refusal refusal;
    uint32_t retry_after_ms;
    uint64_t ttft_us;
};

/**
 * struct pgw_admit_load - what is at the gate
 * @running: requests handed to the upstream
 * @waiting: requests waiting here
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
 * pgw_admit_new() - make an empty gate
 * @options: limits, NULL for the defaults
 */
struct pgw_admit *pgw_admit_new(const struct pgw_admit_options *options);

/* Items still at the gate are forgotten, not freed. */
void pgw_admit_free(struct pgw_admit *admit);

/**
 * pgw_admit_offer() - decide on a new request
 * @out: receives the decision
 * @admit: the gate
 * @item: kept unless refused, until pgw_admit_done(), pgw_admit_remove() or
 *     pgw_admit_expire() gives it back
 * @now: microseconds
 */
void pgw_admit_offer(struct pgw_admit_answer *out, struct pgw_admit *admit,
                     struct pgw_admit_item *item, uint64_t now);

/**
 * pgw_admit_next() - take the next waiting request that may start
 * @admit: the gate
 * @now: microseconds
 *
 * Call again until NULL, after each pgw_admit_offer(), pgw_admit_done(),
 * pgw_admit_first_token(), pgw_admit_remove() and from a timer.
 *
 * Return: an item, now counted as running, or NULL.
 */
struct pgw_admit_item *pgw_admit_next(struct pgw_admit *admit, uint64_t now);

/**
 * pgw_admit_set_uncached_tokens() - the tokens to compute are known better by
 * now
 * @admit: the gate
 * @item: waiting or running
 * @uncached_tokens: new count
 *
 * For a waiting item whose prefix has been cached meanwhile, and before
 * pgw_admit_first_token() with what the upstream's answer says, so that the
 * rate is learned from what was computed and not from what was expected.
 */
void pgw_admit_set_uncached_tokens(struct pgw_admit *admit,
                                   struct pgw_admit_item *item,
                                   uint32_t uncached_tokens);

/**
 * pgw_admit_first_token() - a running item's prefill is over
 * @admit: the gate
 * @item: a running item; a second call for it does nothing
 * @now: microseconds
 */
void pgw_admit_first_token(struct pgw_admit *admit,
                           struct pgw_admit_item *item, uint64_t now);

/**
 * pgw_admit_done() - a running item has ended, whole or not
 * @admit: the gate
 * @item: a running item, given back
 * @completion_tokens: tokens of the answer, 0 if it failed
 * @now: microseconds
 */
void pgw_admit_done(struct pgw_admit *admit, struct pgw_admit_item *item,
                    uint32_t completion_tokens, uint64_t now);

/**
 * pgw_admit_remove() - a caller went away
 * @admit: the gate
 * @item: waiting or running, given back; an idle one is left alone
 * @now: microseconds
 *
 * Return: true if it was still waiting, so that it certainly did not run.
 */
bool pgw_admit_remove(struct pgw_admit *admit, struct pgw_admit_item *item,
                      uint64_t now);

/**
 * pgw_admit_expire() - give back a waiting item whose deadline has passed
 * @admit: the gate
 * @now: microseconds
 *
 * Call again until NULL. The item did not run.
 */
struct pgw_admit_item *pgw_admit_expire(struct pgw_admit *admit, uint64_t now);

/**
 * pgw_admit_drain() - give back waiting items, whatever their deadline
 * @admit: the gate
 *
 * For an upstream that died or leaves. Call again until NULL.
 */
struct pgw_admit_item *pgw_admit_drain(struct pgw_admit *admit);

/**
 * pgw_admit_estimate_us() - expected time to first token
 * @admit: the gate
 * @workspace: pgw_level_workspace_hash() of the workspace
 * @share: its weight
 * @priority: the request's
 * @uncached_tokens: prompt tokens to compute
 *
 * Return: microseconds; O(1) in the number of workspaces and requests.
 */
uint64_t pgw_admit_estimate_us(const struct pgw_admit *admit,
                               uint64_t workspace, uint32_t share,
                               enum pgw_priority priority,
                               uint32_t uncached_tokens);

/**
 * pgw_admit_load_get() - read the gate's load
 * @out: receives it
 * @admit: the gate
 */
void pgw_admit_load_get(struct pgw_admit_load *out,
                        const struct pgw_admit *admit);

G_END_DECLS

#endif
