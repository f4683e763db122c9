#ifndef PGW_GATEWAY_PACE_START_DELAY_H
#define PGW_GATEWAY_PACE_START_DELAY_H

#include "util/list.h"
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: How long short prompts wait for their first event at an engine
 *
 * An engine's report of its load is some hundred milliseconds old, and does
 * not count what other entries have sent since. What an entry sees of its own
 * requests is newer: those that still wait show how long the engine's queue is
 * at least, and those that began show how long it was.
 *
 * Load answered: more short prompts from many entries than engines prefill.
 */

/**
 * struct pgw_start_delay - of one engine; initialise with
 * pgw_start_delay_init()
 * @waiting: &struct pgw_start_wait, the oldest first
 * @average_us: moving average of the delays seen
 * @average_at_us: when the last one was seen, 0: none was
 */
struct pgw_start_delay {
    struct pgw_list waiting;
    double average_us;
    uint64_t average_at_us;
};

/**
 * struct pgw_start_wait - embedded in a request
 * @link: among those that wait; unlinked if the request does not wait
 * @sent_us: when it was sent
 */
struct pgw_start_wait {
    struct pgw_list link;
    uint64_t sent_us;
};

void pgw_start_delay_init(struct pgw_start_delay *delay);

/** pgw_start_delay_begin() - a request was sent and waits for its first event
 */
void pgw_start_delay_begin(struct pgw_start_delay *delay,
                           struct pgw_start_wait *wait, uint64_t now_us);

/** pgw_start_delay_end() - its first event has come, or with @began false it
 * has ended without one; does nothing if the request does not wait */
void pgw_start_delay_end(struct pgw_start_delay *delay,
                         struct pgw_start_wait *wait, bool began,
                         uint64_t now_us);

/**
 * pgw_start_delay_estimate_us() - delay of a request that is sent now
 *
 * The average fades within some hundred milliseconds without a request, so
 * that an engine that was avoided is tried again.
 */
uint64_t pgw_start_delay_estimate_us(const struct pgw_start_delay *delay,
                                     uint64_t now_us);

#endif
