#ifndef PGW_ENTRY_LOST_H
#define PGW_ENTRY_LOST_H

#include "entry/upstream.h"

/**
 * DOC: What went with a sidecar
 *
 * Carries out what libparsleygw/loss.h decides: attempts lost with a sidecar
 * that may have died with its engine become suspects of this entry. Their
 * next attempt takes the record to its sidecar, which writes it to the store
 * and runs the request alone.
 */

/** lost_mark() - a link broke; before its attempts are told */
void lost_mark(struct upstream *upstream);

/**
 * lost_is_open() - whether the last break may yet turn out to be its zone's
 *
 * Until then the next attempt of a marked request is held back.
 */
bool lost_is_open(struct entry *entry);

/** lost_take_state() - its sidecar is there again: does the engine live? */
void lost_take_state(struct upstream *upstream, bool alive, uint64_t engine);

#endif
