#ifndef STANDINS_SYNC_LIB_H
#define STANDINS_SYNC_LIB_H

#include <pthread.h>
#include <stdint.h>

/**
 * DOC: Condition variables on the monotonic clock
 *
 * POSIX threads and not GLib's locks: the thread sanitizer does not see the
 * latter and would report every access that they guard.
 */

void standin_cond_init(pthread_cond_t *cond);

/** standin_cond_wait_until() - wait until woken or @deadline (microseconds) */
void standin_cond_wait_until(pthread_cond_t *cond, pthread_mutex_t *lock,
                             uint64_t deadline);

#endif
