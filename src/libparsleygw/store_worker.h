#ifndef PGW_STORE_WORKER_H
#define PGW_STORE_WORKER_H

#include "parsleygw/io.h"
#include "parsleygw/store.h"
#include "util/loop.h"

/**
 * DOC: Asynchronous store calls for an event loop
 *
 * The store's client blocks. A worker makes its calls on a thread pool and
 * delivers each result as a task on the loop.
 */

struct pgw_store_worker;

/** pgw_store_worker_new() - create a pool of up to @threads threads */
struct pgw_store_worker *pgw_store_worker_new(struct pgw_store *store,
                                              struct pgw_loop *loop,
                                              unsigned threads);

/**
 * pgw_store_worker_free() - wait for calls in flight and release the worker
 *
 * The loop must have stopped. Results that it has not processed are dropped
 * without calling their callbacks.
 */
void pgw_store_worker_free(struct pgw_store_worker *worker);

/**
 * pgw_store_worker_submit() - start one operation
 * @worker: the worker
 * @kind: kind of the object
 * @name: its name
 * @io: the operation; ownership of its value passes to the worker
 * @timeout_us: timeout of the call; after it a change has unknown outcome
 * @done: called on the loop's thread
 * @context: passed to @done
 */
void pgw_store_worker_submit(struct pgw_store_worker *worker, const char *kind,
                             const char *name, struct pgw_io *io,
                             uint64_t timeout_us,
                             void (*done)(void *context,
                                          const struct pgw_io_reply *reply),
                             void *context);

/**
 * pgw_store_worker_list_instances() - read the platform's list of instances
 * @worker: the worker
 * @timeout_us: timeout of the call
 * @done: called on the loop's thread; @list is NULL after a failure
 * @context: passed to @done
 */
void pgw_store_worker_list_instances(
    struct pgw_store_worker *worker, uint64_t timeout_us,
    void (*done)(void *context, const struct pgw_store_instances *list),
    void *context);

#endif
