#ifndef PGW_SYNC_COPY_H
#define PGW_SYNC_COPY_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * DOC: Queue of peers that wait for a full copy
 *
 * Processes that restart together request a full copy from the same peer
 * within milliseconds. Sending all copies at once would fill the send queues
 * of the links with hundreds of megabytes, so the next copy is sent only when
 * most of the previous one has been transmitted. No request is dropped: a
 * process without a copy would stay empty and read the store, and so would all
 * the others. The functions are pure: the time and the number of pending bytes
 * are passed in.
 */

/* The next copy waits while this much is pending on the current link. */
#define PGW_SYNC_COPY_MAX_PENDING_BYTES ((size_t)1 << 20)
/* After this time the next copy is sent even if the current link is stuck. */
#define PGW_SYNC_COPY_TIMEOUT_US UINT64_C(1000000)

/**
 * struct pgw_sync_copy - links that wait for a full copy, in order
 * @waiting: links that requested a copy
 * @current: link that was sent the last copy; NULL: none to wait for
 * @started_us: when that copy was sent
 */
struct pgw_sync_copy {
    GQueue waiting;
    void *current;
    uint64_t started_us;
};

#define PGW_SYNC_COPY_INIT                                                    \
    {                                                                         \
        .waiting = G_QUEUE_INIT                                               \
    }

/** pgw_sync_copy_enqueue() - add @link unless it is queued already */
void pgw_sync_copy_enqueue(struct pgw_sync_copy *copy, void *link);

/** pgw_sync_copy_remove() - @link needs no copy any more or is closing */
void pgw_sync_copy_remove(struct pgw_sync_copy *copy, const void *link);

/**
 * pgw_sync_copy_next() - take the next link to send a copy to
 * @copy: the queue; the returned link is removed from it
 * @pending: bytes not sent yet on @current, if there is one
 * @now_us: current time
 *
 * Return: a link; NULL if none waits or the current copy is still being sent.
 */
void *pgw_sync_copy_next(struct pgw_sync_copy *copy, size_t pending,
                         uint64_t now_us);

G_END_DECLS

#endif
