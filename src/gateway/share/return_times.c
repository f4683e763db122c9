#include "gateway/share/return_times.h"
#include <string.h>

/* Places that one caller may have. More would only take longer to search. */
#define WAYS 8
/* A caller's clock and the way to it: one that is early by less is in time. */
#define EARLY_US 20000

static double *
slot_of(struct pgw_return_times *times, uint64_t slot)
{
    return &times->promised[slot % PGW_RETURN_SLOTS];
}

static void
forget_past(struct pgw_return_times *times, uint64_t now_us)
{
    uint64_t slot = now_us / PGW_RETURN_SLOT_US;

    if (slot >= times->slot + PGW_RETURN_SLOTS) {
        memset(times->promised, 0, sizeof(times->promised));
        times->slot = slot;
    }
    for (; times->slot < slot; times->slot++) {
        *slot_of(times, times->slot) = 0;
    }
}

/* Room that is left from @first to before @end, as far as @tokens need it;
 * @end is moved to after the last slot that is needed. */
static bool
find_room(struct pgw_return_times *times, uint64_t first, uint64_t *end,
          double per_slot, double tokens)
{
    for (uint64_t slot = first; slot < *end; slot++) {
        tokens -= MAX(per_slot - *slot_of(times, slot), 0);
        if (tokens <= 0) {
            *end = slot + 1;
            return true;
        }
    }
    return false;
}

static void
take_room(struct pgw_return_times *times, uint64_t first, uint64_t end,
          double per_slot, double tokens)
{
    for (uint64_t slot = first; slot < end && tokens > 0; slot++) {
        double part =
            CLAMP(per_slot - *slot_of(times, slot), 0, MAX(tokens, 0));

        *slot_of(times, slot) += part;
        tokens -= part;
    }
}

static bool
promise(struct pgw_return *out, struct pgw_return_times *times,
        const struct pgw_return_input *input)
{
    double per_slot = input->room_per_s * PGW_RETURN_SLOT_US / 1e6;
    uint64_t last = times->slot + PGW_RETURN_SLOTS - 1;
    uint64_t first =
        MAX(input->earliest_us, input->now_us) / PGW_RETURN_SLOT_US + 1;
    uint64_t by_us = MIN(input->promised_by_us, input->latest_us);
    uint64_t latest = MIN(by_us / PGW_RETURN_SLOT_US, last);

    while (first < latest && *slot_of(times, first) >= per_slot) {
        first++;
    }
    /* A large request uses the room of several slots from its return on. */
    uint64_t end = last + 1;

    if (first >= latest ||
        !find_room(times, first, &end, per_slot, input->tokens)) {
        return false;
    }
    take_room(times, first, end, per_slot, input->tokens);
    out->at_us =
        first * PGW_RETURN_SLOT_US + input->random % PGW_RETURN_SLOT_US;
    out->is_promised = true;
    return true;
}

void
pgw_return_times_add(struct pgw_return *out, struct pgw_return_times *times,
                     const struct pgw_return_input *input)
{
    uint64_t left_us = input->latest_us > input->now_us
                           ? input->latest_us - input->now_us
                           : 0;

    forget_past(times, input->now_us);
    if (input->room_per_s > 0 && promise(out, times, input)) {
        return;
    }
    *out = (struct pgw_return){
        .at_us =
            input->now_us + left_us / 2 + input->random % (left_us / 2 + 1),
    };
}

static struct pgw_returned_caller *
ways_of(struct pgw_returned_callers *callers, uint64_t key)
{
    return &callers->items[key % (PGW_RETURNED_CALLERS_MAX / WAYS) * WAYS];
}

/* The caller's place, or the one that is missed least: without a promise, or
 * with the earliest. */
static struct pgw_returned_caller *
place_of(struct pgw_returned_callers *callers, uint64_t key)
{
    struct pgw_returned_caller *ways = ways_of(callers, key);
    struct pgw_returned_caller *least = &ways[0];

    for (unsigned i = 0; i < WAYS; i++) {
        if (ways[i].key == key) {
            return &ways[i];
        }
        if (ways[i].at.is_promised != least->at.is_promised
                ? least->at.is_promised
                : ways[i].at.at_us < least->at.at_us) {
            least = &ways[i];
        }
    }
    return least;
}

bool
pgw_returned_callers_add(struct pgw_returned_callers *callers,
                         const struct pgw_returned_caller *caller)
{
    struct pgw_returned_caller *place = place_of(callers, caller->key);
    bool is_new = place->key != caller->key ||
                  place->at.at_us != caller->at.at_us ||
                  place->at.is_promised != caller->at.is_promised;

    *place = *caller;
    return is_new;
}

enum pgw_returned
pgw_returned_callers_take(struct pgw_returned_callers *callers, uint64_t key,
                          uint64_t now_us, struct pgw_returned_caller *out)
{
    struct pgw_returned_caller *caller = place_of(callers, key);

    if (key == 0 || caller->key != key ||
        now_us > caller->at.at_us + PGW_RETURNED_LATE_US) {
        return PGW_RETURNED_UNKNOWN;
    }
    *out = *caller;
    if (now_us + EARLY_US < caller->at.at_us) {
        return PGW_RETURNED_EARLY;
    }
    *caller = (struct pgw_returned_caller){0};
    return out->at.is_promised ? PGW_RETURNED_PROMISED : PGW_RETURNED_LATE;
}
