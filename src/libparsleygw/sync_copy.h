#ifndef PGW_SYNC_COPY_H
#define PGW_SYNC_COPY_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * DOC: Whole copies are sent to one peer after another
 *
 * Processes that restart together ask the same peer for its whole copy within
 * milliseconds. Sent at once to all, the copies would fill the queues of the
 * links with hundreds of megabytes; so the next one waits until most of the
 * last one is out. Whoever asked stays in the queue: were it dropped, it would
 * stay empty and ask the store, as all the others would. Pure: the clock and
 * the bytes still queued are passed in.
 */

/* More than this still queued for a peer keeps the next one waiting. */
#define PGW_SYNC_COPY_MAX_PENDING_BYTES ((size_t)1 << 20)
/* One that takes nothing for so long is not waited for. */
#define PGW_SYNC_COPY_TIMEOUT_US UINT64_C(1000000)

/**
 * struct pgw_sync_copy - who gets a copy, in order
 * @waiting: links that asked
 * @current: the last one that was served; NULL: it needs no time any more
 * @began_us: when it was served
 */
struct pgw_sync_copy {
    GQueue waiting;
    void *current;
    uint64_t began_us;
};

#define PGW_SYNC_COPY_INIT                                                    \
    {                                                                         \
        .waiting = G_QUEUE_INIT                                               \
    }

/** pgw_sync_copy_enqueue() - @link asks; one that waits already is not added
 */
void pgw_sync_copy_enqueue(struct pgw_sync_copy *copy, void *link);

/** pgw_sync_copy_remove() - @link needs no copy any more, or is closing */
void pgw_sync_copy_remove(struct pgw_sync_copy *copy, const void *link);

/**
 * pgw_sync_copy_next() - whom to send a copy now
 * @copy: the queue, which it leaves
 * @pending: bytes still queued for @current, if there is one
 * @now_us: present time
 *
 * Return: a link, or NULL: nobody waits, or not yet.
 */
void *pgw_sync_copy_next(struct pgw_sync_copy *copy, size_t pending,
                         uint64_t now_us);

G_END_DECLS

#endif
