/* Decisions on permits: pure. */
#include "parsleygw/permit.h"

#include <string.h>

#include "parsleygw/errors.h"

static size_t
find_index(const struct pgw_permit_table *table, const char *target)
{
    size_t i = 0;

    while (i < table->n && strcmp(table->slots[i].target, target) != 0) {
        i++;
    }
    return i;
}

const struct pgw_permit_slot *
pgw_permit_table_find(const struct pgw_permit_table *table, const char *target)
{
    size_t i = find_index(table, target);

    return i == table->n ? NULL : &table->slots[i];
}

void
pgw_permit_observe(struct pgw_permit_observer *observer,
                   const struct pgw_permit_table *table, uint64_t now_us)
{
    struct pgw_permit_observer before = *observer;

    observer->n = table->n;
    for (size_t i = 0; i < table->n; i++) {
        const struct pgw_permit_slot *slot = &table->slots[i];

        g_strlcpy(observer->seen[i].target, slot->target,
                  sizeof(observer->seen[i].target));
        observer->seen[i].fence = slot->fence;
        observer->seen[i].beat = slot->beat;
        observer->seen[i].since_us = now_us;
        for (size_t j = 0; j < before.n; j++) {
            if (strcmp(before.seen[j].target, slot->target) == 0 &&
                before.seen[j].fence == slot->fence &&
                before.seen[j].beat == slot->beat) {
                observer->seen[i].since_us = before.seen[j].since_us;
            }
        }
    }
}

bool
pgw_permit_has_lapsed(const struct pgw_permit_observer *observer,
                      const struct pgw_permit_slot *slot, uint64_t now_us,
                      uint64_t term_us)
{
    for (size_t i = 0; i < observer->n; i++) {
        if (strcmp(observer->seen[i].target, slot->target) == 0) {
            return observer->seen[i].fence == slot->fence &&
                   observer->seen[i].beat == slot->beat &&
                   now_us >= observer->seen[i].since_us + term_us;
        }
    }
    return false;
}

/* One step's surroundings. */
struct decision {
    struct pgw_permit_table *table;
    const struct pgw_permit_request *request;
    const struct pgw_permit_observer *observer;
    uint64_t now_us;
    uint64_t term_us;
    bool write;
};

static bool
is_reclaimable(const struct decision *decision,
               const struct pgw_permit_slot *slot)
{
    const struct pgw_permit_request *request = decision->request;

    if (!pgw_permit_has_lapsed(decision->observer, slot, decision->now_us,
                               decision->term_us)) {
        return false;
    }
    /* A started load goes on in the engine without its holder: giving its
     * permit away would let one load more than declared run, and all of them
     * slow down. */
#ifndef PGW_DISABLE_PERMIT_STARTED
    return slot->phase == PGW_PERMIT_GRANTED ||
           (request->is_gone != NULL &&
            request->is_gone(request->data, slot->target));
#else
    return request != NULL;
#endif
}

static void
remove_slot(struct pgw_permit_table *table, size_t index)
{
    table->n--;
    memmove(&table->slots[index], &table->slots[index + 1],
            (table->n - index) * sizeof(table->slots[0]));
}

static void
reclaim(struct decision *decision)
{
    struct pgw_permit_table *table = decision->table;
    size_t i = 0;

    while (i < table->n) {
        if (is_reclaimable(decision, &table->slots[i])) {
            remove_slot(table, i);
            decision->write = true;
        }
        else {
            i++;
        }
    }
}

/* Numbers of successive grants grow: each write is made against a higher
 * version than the one before. */
static uint64_t
next_fence(const struct pgw_permit_table *table)
{
    return table->version + 1;
}

static bool
acquire_new(struct decision *decision, GError **error)
{
    struct pgw_permit_table *table = decision->table;
    const struct pgw_permit_request *request = decision->request;
    struct pgw_permit_slot *slot;
    unsigned limit = MIN(request->limit, PGW_PERMIT_SLOTS_MAX);

    if (table->n >= limit) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_OVERLOADED,
                    "permit for %s: %zu of %u in use: wait for a release",
                    request->target, table->n, limit);
        return false;
    }
    slot = &table->slots[table->n++];
    *slot = (struct pgw_permit_slot){.fence = next_fence(table),
                                     .phase = PGW_PERMIT_GRANTED,
                                     .order = *request->order};
    g_strlcpy(slot->target, request->target, sizeof(slot->target));
    g_strlcpy(slot->holder, request->holder, sizeof(slot->holder));
    decision->write = true;
    return true;
}

/* There is an order for the target already. */
static bool
acquire_existing(struct decision *decision, struct pgw_permit_slot *slot,
                 GError **error)
{
    const struct pgw_permit_request *request = decision->request;

    if (strcmp(slot->holder, request->holder) == 0) {
        return true;
    }
    if (!pgw_permit_has_lapsed(decision->observer, slot, decision->now_us,
                               decision->term_us)) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_CONFLICT,
                    "order for %s: carried out by %s: wait until it is "
                    "released or lapses",
                    slot->target, slot->holder);
        return false;
    }
    /* The holder is dead or paused. Its successor goes on with what was
     * started, under a higher number, so that an order which the old holder
     * still sends when it wakes up is refused. */
#ifndef PGW_DISABLE_PERMIT_FENCE
    slot->fence = next_fence(decision->table);
#endif
    slot->beat++;
    g_strlcpy(slot->holder, request->holder, sizeof(slot->holder));
    if (slot->phase == PGW_PERMIT_GRANTED) {
        slot->order = *request->order;
    }
    decision->write = true;
    return true;
}

static bool
decide_acquire(struct decision *decision, struct pgw_permit_slot *out,
               GError **error)
{
    struct pgw_permit_table *table = decision->table;
    size_t i = find_index(table, decision->request->target);
    bool ok;

    if (i < table->n) {
        ok = acquire_existing(decision, &table->slots[i], error);
    }
    else {
        reclaim(decision);
        i = table->n;
        ok = acquire_new(decision, error);
    }
    if (ok) {
        *out = table->slots[i];
    }
    return ok;
}

static bool
decide_held(struct decision *decision, struct pgw_permit_slot *out,
            GError **error)
{
    const struct pgw_permit_request *request = decision->request;
    struct pgw_permit_table *table = decision->table;
    size_t i = find_index(table, request->target);
    bool held = i < table->n && table->slots[i].fence == request->fence;

    if (request->step == PGW_PERMIT_RELEASE) {
        if (held) {
            remove_slot(table, i);
            decision->write = true;
        }
        return true;
    }
    if (!held) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_STALE,
                    "order for %s: number %" G_GUINT64_FORMAT
                    " was reclaimed: do not send it, acquire again",
                    request->target, request->fence);
        return false;
    }
    if (request->step == PGW_PERMIT_RENEW ||
        table->slots[i].phase == PGW_PERMIT_GRANTED) {
        table->slots[i].beat++;
        decision->write = true;
    }
    if (request->step == PGW_PERMIT_RENEW && request->order != NULL) {
        table->slots[i].order = *request->order;
    }
    if (request->step == PGW_PERMIT_START) {
        table->slots[i].phase = PGW_PERMIT_STARTED;
    }
    *out = table->slots[i];
    return true;
}

bool
pgw_permit_decide(struct pgw_permit_table *table, bool *write,
                  struct pgw_permit_slot *slot,
                  const struct pgw_permit_request *request,
                  const struct pgw_permit_observer *observer, uint64_t now_us,
                  uint64_t term_us, GError **error)
{
    struct decision decision = {.table = table,
                                .request = request,
                                .observer = observer,
                                .now_us = now_us,
                                .term_us = term_us};
    bool ok;

    if (request->step == PGW_PERMIT_ACQUIRE) {
        ok = decide_acquire(&decision, slot, error);
    }
    else {
        ok = decide_held(&decision, slot, error);
    }
    *write = ok && decision.write;
    return ok;
}

unsigned
pgw_permit_limit(unsigned load_permits, size_t usable)
{
    if (usable <= 1) {
        return 1;
    }
    return (unsigned)MIN((size_t)load_permits, usable - 1);
}

bool
pgw_permit_fencing_admit(struct pgw_permit_fencing *gate, uint64_t fence,
                         GError **error)
{
    bool stale = fence < gate->high_water;

#ifdef PGW_DISABLE_PERMIT_GATE
    stale = false;
#endif
    if (stale) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_STALE,
                    "order with number %" G_GUINT64_FORMAT
                    ": %" G_GUINT64_FORMAT
                    " went to the engine already: acquire again",
                    fence, gate->high_water);
        return false;
    }
    gate->high_water = MAX(gate->high_water, fence);
    return true;
}
