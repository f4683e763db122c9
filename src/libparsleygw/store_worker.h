#ifndef PGW_STORE_WORKER_H
#define PGW_STORE_WORKER_H

#include "parsleygw/io.h"
#include "parsleygw/store.h"
#include "util/loop.h"

/**
 * DOC: Store operations of a loop
 *
 * The store's client blocks; a few threads of this worker make its calls for
 * a loop, which gets each answer as a task.
 */

struct pgw_store_worker;

/** pgw_store_worker_new() - start up to @threads threads when needed */
struct pgw_store_worker *pgw_store_worker_new(struct pgw_store *store,
                                              struct pgw_loop *loop,
                                              unsigned threads);

/**
 * pgw_store_worker_free() - wait for what is under way
 *
 * The loop must not be running any more; answers that it has not seen are
 * dropped without a call.
 */
void pgw_store_worker_free(struct pgw_store_worker *worker);

/**
 * pgw_store_worker_submit() - make one operation
 * @worker: the worker
 * @kind: kind of the object
 * @name: its name
 * @io: the operation; its value is taken over
 * @timeout_us: time for the call; after it the outcome counts as unknown
 * @done: called on the loop's thread
 * @context: handed to @done
 */
void pgw_store_worker_submit(struct pgw_store_worker *worker, const char *kind,
                             const char *name, struct pgw_io *io,
                             uint64_t timeout_us,
                             void (*done)(void *context,
                                          const struct pgw_io_reply *reply),
                             void *context);

/**
 * pgw_store_worker_list_instances() - read the platform's list
 * @worker: the worker
 * @timeout_us: time for the call
 * @done: called on the loop's thread; @list is NULL when there is none
 * @context: handed to @done
 */
void pgw_store_worker_list_instances(
    struct pgw_store_worker *worker, uint64_t timeout_us,
    void (*done)(void *context, const struct pgw_store_instances *list),
    void *context);

#endif
