#ifndef PGW_GATEWAY_PACE_PREFILL_METER_H
#define PGW_GATEWAY_PACE_PREFILL_METER_H

#include "gateway/pace/engine_pace.h"
#include <glib.h>

/**
 * DOC: Measurement of an engine's prefill rate
 *
 * The sidecar sees the long prompts of all entries. While one of them is
 * pending, the engine prefills; the tokens that were prefilled in such a busy
 * period, divided by its length, are the engine's rate. A period in which a
 * prompt was abandoned yields no sample, as nobody knows how much of the
 * prompt was prefilled.
 *
 * Load answered: long prompts from many entries, each of which sends too few
 * to one engine to know its rate.
 */

/**
 * struct pgw_prefill_meter - measurement of one engine
 * @pending: id of a request -> when it was announced
 * @since_us: start of the busy period
 * @tokens: tokens that were prefilled in it
 * @is_spoiled: a prompt of the period was abandoned
 * @pace: the result
 */
struct pgw_prefill_meter {
    GHashTable *pending;
    uint64_t since_us;
    uint64_t tokens;
    bool is_spoiled;
    struct pgw_engine_pace pace;
};

void pgw_prefill_meter_init(struct pgw_prefill_meter *meter);
void pgw_prefill_meter_dispose(struct pgw_prefill_meter *meter);

/** pgw_prefill_meter_clear() - the engine has restarted: forget all */
void pgw_prefill_meter_clear(struct pgw_prefill_meter *meter);

/** pgw_prefill_meter_begin() - a long prompt is sent to the engine */
void pgw_prefill_meter_begin(struct pgw_prefill_meter *meter, uint64_t request,
                             uint64_t now_us);

/**
 * pgw_prefill_meter_end() - a prompt is no longer pending
 * @meter: the measurement
 * @request: id of the request; nothing happens if it is not pending
 * @tokens: tokens that the engine has prefilled for it, without those that it
 *   had cached or fetched; 0: unknown
 * @now_us: monotonic time
 */
void pgw_prefill_meter_end(struct pgw_prefill_meter *meter, uint64_t request,
                           uint32_t tokens, uint64_t now_us);

/** pgw_prefill_meter_expire() - drop prompts whose end was not announced in
 * time; call at least once a second */
void pgw_prefill_meter_expire(struct pgw_prefill_meter *meter,
                              uint64_t now_us);

#endif
