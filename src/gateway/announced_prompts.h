#ifndef PGW_GATEWAY_ANNOUNCED_PROMPTS_H
#define PGW_GATEWAY_ANNOUNCED_PROMPTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Long prompts that entries have announced to a sidecar
 *
 * An engine's report counts its requests, but not what is left to be read of
 * them, nor what waits in its queue. The sidecar adds up what was announced
 * and finds in each report what has become of it.
 */

/**
 * struct pgw_engine_run - a request that an engine runs, by its report
 * @id: pgw_announced_prompts_id() of the request
 * @tokens: in memory
 * @events: that it has generated; 0: its prompt is being read
 */
struct pgw_engine_run {
    uint64_t id;
    uint32_t tokens;
    uint64_t events;
};

/**
 * struct pgw_engine_work - an engine's requests, by its report
 * @runs: those that it lists
 * @run_count: number of @runs
 * @reading: requests that it runs and does not list: some engines list a
 *   request from its first token on
 * @waiting: requests in its queue
 */
struct pgw_engine_work {
    const struct pgw_engine_run *runs;
    size_t run_count;
    uint32_t reading;
    uint32_t waiting;
};

/**
 * struct pgw_announced_prompts - requests that may not have been read yet
 * @requests: pgw_announced_prompts_id() -> &struct announced_request
 */
struct pgw_announced_prompts {
    GHashTable *requests;
};

/**
 * struct pgw_pending_prefill - what an engine has before it
 * @tokens: prompt tokens that are left to be read
 * @prompts: long prompts of which some are
 */
struct pgw_pending_prefill {
    uint64_t tokens;
    uint32_t prompts;
};

/** pgw_announced_prompts_id() - hash of a request's id */
uint64_t pgw_announced_prompts_id(const char *id);

void pgw_announced_prompts_init(struct pgw_announced_prompts *announced);
void pgw_announced_prompts_dispose(struct pgw_announced_prompts *announced);

/** pgw_announced_prompts_clear() - the engine started anew: it has none of
 * them */
void pgw_announced_prompts_clear(struct pgw_announced_prompts *announced);

/** pgw_announced_prompts_add() - an entry sends a prompt of which @to_read
 * tokens have to be read */
void pgw_announced_prompts_add(struct pgw_announced_prompts *announced,
                               uint64_t id, uint32_t to_read, uint64_t now_us);

/** pgw_announced_prompts_end() - an entry says that its prompt was read, or
 * given up
 */
void pgw_announced_prompts_end(struct pgw_announced_prompts *announced,
                               uint64_t id);

/**
 * pgw_announced_prompts_apply_report() - find in a report what has become of
 * them
 * @announced: the requests
 * @work: the report
 * @now_us: monotonic time
 */
void
pgw_announced_prompts_apply_report(struct pgw_announced_prompts *announced,
                                   const struct pgw_engine_work *work,
                                   uint64_t now_us);

/** pgw_announced_prompts_pending() - what is left to be read */
struct pgw_pending_prefill
pgw_announced_prompts_pending(const struct pgw_announced_prompts *announced);

#endif
