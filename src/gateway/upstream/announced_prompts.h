#ifndef PGW_GATEWAY_UPSTREAM_ANNOUNCED_PROMPTS_H
#define PGW_GATEWAY_UPSTREAM_ANNOUNCED_PROMPTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Long prompts that entries have announced to a sidecar
 *
 * An engine's report counts its requests, but not the tokens that they still
 * have to prefill, nor those in its queue. The sidecar adds up the announced
 * tokens and uses each report to find out which prompts have been prefilled.
 */

/**
 * struct pgw_engine_run - a running request in an engine's report
 * @id: pgw_announced_prompts_id() of the request
 * @tokens: tokens in the KV cache
 * @events: number of generated events; 0: its prompt is being prefilled
 */
struct pgw_engine_run {
    uint64_t id;
    uint32_t tokens;
    uint64_t events;
};

/**
 * struct pgw_engine_work - an engine's requests, from its report
 * @runs: running requests that the report lists
 * @run_count: number of @runs
 * @unlisted_runs: running requests that the report does not list; some engines
 *   list a request only from its first token on
 * @waiting: requests in its queue
 */
struct pgw_engine_work {
    const struct pgw_engine_run *runs;
    size_t run_count;
    uint32_t unlisted_runs;
    uint32_t waiting;
};

/**
 * struct pgw_announced_prompts - announced requests that may still be pending
 * @requests: pgw_announced_prompts_id() -> &struct announced_request
 */
struct pgw_announced_prompts {
    GHashTable *requests;
};

/**
 * struct pgw_pending_prefill - prefill that an engine has still to do
 * @tokens: pending prompt tokens
 * @prompts: number of long prompts with pending tokens
 */
struct pgw_pending_prefill {
    uint64_t tokens;
    uint32_t prompts;
};

/** pgw_announced_prompts_id() - hash of a request's id */
uint64_t pgw_announced_prompts_id(const char *id);

void pgw_announced_prompts_init(struct pgw_announced_prompts *announced);
void pgw_announced_prompts_dispose(struct pgw_announced_prompts *announced);

/** pgw_announced_prompts_clear() - drop all requests: the engine restarted */
void pgw_announced_prompts_clear(struct pgw_announced_prompts *announced);

/** pgw_announced_prompts_add() - an entry sends a prompt of which the engine
 * has to prefill @pending_tokens */
void pgw_announced_prompts_add(struct pgw_announced_prompts *announced,
                               uint64_t id, uint32_t pending_tokens,
                               uint64_t now_us);

/** pgw_announced_prompts_end() - an entry announces that its prompt was
 * prefilled or abandoned */
void pgw_announced_prompts_end(struct pgw_announced_prompts *announced,
                               uint64_t id);

/**
 * pgw_announced_prompts_apply_report() - remove requests that are no longer
 * pending by an engine's report
 * @announced: the requests
 * @work: the report
 * @now_us: monotonic time
 */
void
pgw_announced_prompts_apply_report(struct pgw_announced_prompts *announced,
                                   const struct pgw_engine_work *work,
                                   uint64_t now_us);

/** pgw_announced_prompts_pending() - sum of all pending prompts */
struct pgw_pending_prefill
pgw_announced_prompts_pending(const struct pgw_announced_prompts *announced);

#endif
