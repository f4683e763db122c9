#ifndef PGW_GATEWAY_SHARE_ROOM_H
#define PGW_GATEWAY_SHARE_ROOM_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: How much of a service this entry gets while requests wait
 *
 * The rate at which waiting requests are sent is what the entry's queue can
 * count on: engines that were lost, other entries and cold caches are part of
 * it. It is observed only while requests wait; otherwise it would be the rate
 * at which they arrive.
 *
 * Load answered: a part of the engines is gone, and callers must be told at
 * once that they will not be served here.
 */

/* Width of a bucket, and the number of buckets: one second in all, so that a
 * change is seen within one. */
#define PGW_ROOM_BUCKET_US 100000ULL
#define PGW_ROOM_BUCKETS 10

/**
 * struct pgw_room - observed rate; zeroed: nothing was observed
 * @since_us: since when requests wait, 0: none does
 * @bucket: number of the newest bucket
 * @sent: tokens of the requests sent, by bucket
 */
struct pgw_room {
    uint64_t since_us;
    uint64_t bucket;
    double sent[PGW_ROOM_BUCKETS];
};

/** pgw_room_begin() - a request waits; does nothing if others do */
void pgw_room_begin(struct pgw_room *room, uint64_t now_us);

/** pgw_room_end() - no request waits any more */
void pgw_room_end(struct pgw_room *room);

/** pgw_room_add() - a request of @tokens was sent */
void pgw_room_add(struct pgw_room *room, double tokens, uint64_t now_us);

/** pgw_room_per_s() - tokens sent per second while requests wait, 0: not
 * known, because they have not waited for long enough or nothing was sent */
double pgw_room_per_s(const struct pgw_room *room, uint64_t now_us);

#endif
