#ifndef PGW_SIDECAR_GATE_INTERNAL_H
#define PGW_SIDECAR_GATE_INTERNAL_H

#include "sidecar/gate.h"

/**
 * DOC: Shared by the gate's files
 *
 * gate.c takes frames and decides who may wait, gate_run.c takes a run from
 * its start to its end, gate_crash.c deals with engines that die.
 */

/* gate.c */
/** run_offer() - ask the admission for a place */
void run_offer(struct run *run);

#define GATE_BACKOFF_MESSAGE                                                  \
    "the engine requested a backoff: send to another one"

/* gate_run.c */
/** gate_backoff_ms() - remaining time of the backoff that the engine
 * requested, in milliseconds */
uint32_t gate_backoff_ms(const struct sidecar *sidecar);
/** run_start() - the admission gave a place: claim, or wait for a suspect */
void run_start(struct run *run);
/** run_fits_drain() - a run that begins now will have ended when a planned
 * stop cuts it; always true without a stop */
bool run_fits_drain(const struct run *run);
/** run_refuse_late() - refuse a waiting run that does not fit, as not run */
void run_refuse_late(struct run *run);
/** run_withdraw() - whether it certainly has not run and now never will */
bool run_withdraw(struct run *run);
/**
 * run_give_up() - end a run for its entry, as not run if it can be withdrawn
 * @run: freed unless it has to run to its end
 * @refusal: the reason
 * @waited: message if the run was withdrawn
 * @ran: message if it may have run
 */
void run_give_up(struct run *run, enum pgw_refusal refusal, const char *waited,
                 const char *ran);
/** run_resume() - go on with an answer that was held back */
void run_resume(struct run *run);
/** run_free() - forget a run that the admission no longer knows */
void run_free(struct run *run);
/** run_deadline_due() - callback of a run's timer */
void run_deadline_due(struct pgw_timer *timer);

#endif
