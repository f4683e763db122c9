#ifndef PGW_SIDECAR_SUSPICION_H
#define PGW_SIDECAR_SUSPICION_H

#include "sidecar/gate.h"

/**
 * DOC: Crash suspicion
 *
 * Drives the pure machine of quarantine.h: asks it before a request runs,
 * reports crashes and successes, makes its store operations.
 */

struct suspicion;

struct suspicion *suspicion_new(struct sidecar *sidecar);
void suspicion_free(struct suspicion *suspicion);

/**
 * suspicion_ask() - may the run go to the engine?
 *
 * Return: true when it may at once, beside others; else the answer follows by
 * gate_suspicion_decided().
 */
bool suspicion_ask(struct suspicion *suspicion, struct run *run);

/** suspicion_crashed() - its engine, @incarnation, died while it ran */
void suspicion_crashed(struct suspicion *suspicion, struct run *run,
                       uint64_t incarnation);

/** suspicion_succeeded() - it ran to its end */
void suspicion_succeeded(struct suspicion *suspicion, struct run *run);

/** suspicion_released() - it ended without having run, or nobody asks more */
void suspicion_released(struct suspicion *suspicion, struct run *run);

/** suspicion_gathers() - whether the request that an entry is about to place
 * must come here, see copies.h */
bool suspicion_gathers(struct suspicion *suspicion, const Pgw__Probe *probe);

/** suspicion_record() - a record arrived from the store or a peer */
void suspicion_record(void *context, const struct pgw_fingerprint *fingerprint,
                      uint64_t version, const char *value, size_t length);

/* gate.c */
/** gate_suspicion_decided() - answer to suspicion_ask() or _crashed() */
void gate_suspicion_decided(struct run *run,
                            const struct pgw_quarantine_decision *decision);

#endif
