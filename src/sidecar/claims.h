#ifndef PGW_SIDECAR_CLAIMS_H
#define PGW_SIDECAR_CLAIMS_H

#include "parsleygw/claim.h"
#include "sidecar/gate.h"

/**
 * DOC: Claims of calls that may not be repeated
 *
 * Drives the pure machines of claim.h: one for each object that holds keys,
 * with the store's answers fed back by the loop.
 */

struct claims;

struct claims *claims_new(struct sidecar *sidecar);
/** claims_free() - forget everything; only once claims_are_settled() or late
 */
void claims_free(struct claims *claims);

/**
 * claims_ask() - may this run be handed to its service?
 * @claims: the claims
 * @run: a call that may not be repeated; its ticket is set
 *
 * Answers, at once or later, by gate_claim_decided().
 */
void claims_ask(struct claims *claims, struct run *run);

/** claims_cancel() - forget a run that still waits for its claim */
bool claims_cancel(struct claims *claims, struct run *run);

/** claims_finish() - the service gave its whole answer */
void claims_finish(struct claims *claims, struct run *run);

/** claims_fail() - it did not; @was_sent: the service may have run it */
void claims_fail(struct claims *claims, struct run *run, bool was_sent);

/** claims_close() - a planned stop: take no more, write what is left */
void claims_close(struct claims *claims);
bool claims_are_settled(const struct claims *claims);

/* gate.c */
void gate_claim_decided(struct run *run,
                        const struct pgw_claim_decision *decision);

#endif
