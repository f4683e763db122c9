#ifndef PGW_UTIL_RCU_H
#define PGW_UTIL_RCU_H

#include <glib.h>

/**
 * DOC: Read-copy-update of one shared snapshot
 *
 * Readers on a request's path take the current snapshot without a lock or a
 * reference count of its own cache line (ck_epoch sections); the single
 * writer replaces it and frees the old one once no reader can hold it.
 */

struct pgw_rcu;

/**
 * pgw_rcu_new() - make a cell
 * @dispose: frees a snapshot that was replaced; called by a later writer or
 *           by pgw_rcu_free(), never by a reader
 */
struct pgw_rcu *pgw_rcu_new(void (*dispose)(void *snapshot));

/** pgw_rcu_free() - free the cell and its snapshot; no reader may be left */
void pgw_rcu_free(struct pgw_rcu *cell);

/**
 * pgw_rcu_read_lock() - enter a section and read the snapshot
 * @cell: the cell
 *
 * Return: the current snapshot or NULL; valid until pgw_rcu_read_unlock()
 * on the same thread. Sections may not block and may not nest.
 */
void *pgw_rcu_read_lock(struct pgw_rcu *cell);

/** pgw_rcu_read_unlock() - leave the section of pgw_rcu_read_lock() */
void pgw_rcu_read_unlock(struct pgw_rcu *cell);

/**
 * pgw_rcu_replace() - publish a new snapshot; one writer at a time
 * @cell: the cell
 * @snapshot: the new one, owned by the cell from now on
 */
void pgw_rcu_replace(struct pgw_rcu *cell, void *snapshot);

#endif
