#ifndef PGW_SIDECAR_CLAIM_SWEEP_H
#define PGW_SIDECAR_CLAIM_SWEEP_H

#include "sidecar/sidecar.h"

/**
 * DOC: Deleting expired claims
 *
 * Drives the pure machine pgw_claim_sweep: slowly, one store operation at a
 * time. Without it the store keeps every claim for ever.
 */

struct claim_sweep;

struct claim_sweep *claim_sweep_new(struct sidecar *sidecar);
/** claim_sweep_free() - once the store's worker is stopped; NULL is allowed */
void claim_sweep_free(struct claim_sweep *sweep);

/** claim_sweep_used() - an object of claims came into use */
void claim_sweep_used(struct claim_sweep *sweep, const char *name);

#endif
