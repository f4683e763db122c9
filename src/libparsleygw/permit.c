/* Decisions on permits, without I/O. */
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

/* Inputs and result of one step. */
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
    /* A started load continues in the engine without its holder. Reclaiming
     * its permit would let one load more than declared run and slow down all
     * loads. */
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
reclaim_lapsed(struct decision *decision)
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

/* Fencing numbers of successive grants grow, because each write expects a
 * higher version than the write before. */
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
                    "permit for %s: %zu of %u in use: wait until one is "
                    "released",
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

/* The target already has an order. */
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
                    "order for %s: in progress at %s: wait until it is "
                    "released or its lease lapses",
                    slot->target, slot->holder);
        return false;
    }
    /* The holder is dead or paused. Its successor resumes a started order
     * under a higher number, so that an order sent by the old holder after its
     * pause is refused. */
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
        reclaim_lapsed(decision);
        i = table->n;
        ok = acquire_new(decision, error);
    }
    if (ok) {
        *out = table->slots[i];
    }
    return ok;
}

static bool
decide_for_holder(struct decision *decision, struct pgw_permit_slot *out,
                  GError **error)
{
    const struct pgw_permit_request *request = decision->request;
    struct pgw_permit_table *table = decision->table;
    size_t i = find_index(table, request->target);
    bool is_held = i < table->n && table->slots[i].fence == request->fence;

    if (request->step == PGW_PERMIT_RELEASE) {
        if (is_held) {
            remove_slot(table, i);
            decision->write = true;
        }
        return true;
    }
    if (!is_held) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_STALE,
                    "order for %s: permit with fencing number "
                    "%" G_GUINT64_FORMAT
                    " was reclaimed: acquire a new one before sending",
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
        ok = decide_for_holder(&decision, slot, error);
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
pgw_permit_fencing_admit(struct pgw_permit_fencing *fencing, uint64_t fence,
                         GError **error)
{
    bool is_stale = fence < fencing->high_water;

#ifdef PGW_DISABLE_PERMIT_GATE
    is_stale = false;
#endif
    if (is_stale) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_STALE,
                    "order with fencing number %" G_GUINT64_FORMAT
                    " is outdated: the highest is %" G_GUINT64_FORMAT
                    ": acquire a new permit",
                    fence, fencing->high_water);
        return false;
    }
    fencing->high_water = MAX(fencing->high_water, fence);
    return true;
}
