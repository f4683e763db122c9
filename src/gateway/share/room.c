#include "gateway/share/room.h"
#include <glib.h>
#include <string.h>

/* Requests wait for this long before the rate is used: a few of them have been
 * sent by then. More would let callers wait for nothing. */
#define MIN_OBSERVED_US 300000

void
pgw_room_begin(struct pgw_room *room, uint64_t now_us)
{
    if (room->since_us == 0) {
        *room = (struct pgw_room){
            .since_us = now_us,
            .bucket = now_us / PGW_ROOM_BUCKET_US,
        };
    }
}

void
pgw_room_end(struct pgw_room *room)
{
    room->since_us = 0;
}

void
pgw_room_add(struct pgw_room *room, double tokens, uint64_t now_us)
{
    uint64_t bucket = now_us / PGW_ROOM_BUCKET_US;

    if (room->since_us == 0) {
        return;
    }
    if (bucket >= room->bucket + PGW_ROOM_BUCKETS) {
        memset(room->sent, 0, sizeof(room->sent));
        room->bucket = bucket;
    }
    while (room->bucket < bucket) {
        room->bucket++;
        room->sent[room->bucket % PGW_ROOM_BUCKETS] = 0;
    }
    room->sent[bucket % PGW_ROOM_BUCKETS] += tokens;
}

double
pgw_room_per_s(const struct pgw_room *room, uint64_t now_us)
{
    uint64_t newest = now_us / PGW_ROOM_BUCKET_US;
    uint64_t window_us = (PGW_ROOM_BUCKETS - 1) * PGW_ROOM_BUCKET_US +
                         now_us % PGW_ROOM_BUCKET_US;
    double sent = 0;

    if (room->since_us == 0 || now_us < room->since_us + MIN_OBSERVED_US) {
        return 0;
    }
    for (uint64_t i = 0; i < PGW_ROOM_BUCKETS && i <= room->bucket; i++) {
        if (room->bucket - i + PGW_ROOM_BUCKETS > newest) {
            sent += room->sent[(room->bucket - i) % PGW_ROOM_BUCKETS];
        }
    }
    return sent * 1e6 / (double)MIN(window_us, now_us - room->since_us);
}
