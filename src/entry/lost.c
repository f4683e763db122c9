#include "entry/lost.h"
#include "entry/exchange.h"
#include "util/log.h"

#define CRASH_SPAN_US UINT64_C(600000000)
/* A zone that is gone is silent wherever it is asked. */
#define ASKED_MAX 4

/*
 * One number for all engines: a prompt that many send runs on several engines,
 * and entries that each lose sight of another one would add up to two crashes
 * that nobody saw. All that is lost within ten minutes counts as one; the
 * second crash is proof only when the request ran alone.
 */
static uint64_t
crash_number(void)
{
    return pgw_hlc_wall_us() / CRASH_SPAN_US;
}

static void
take_back(struct entry *entry)
{
    struct lost_marks *lost = &entry->lost;

    for (uint32_t i = 0; i < lost->count; i++) {
        pgw_suspects_withdraw(entry->suspects, &lost->marks[i], lost->crash);
    }
    lost->count = 0;
}

static bool
is_candidate(const struct upstream *upstream, const struct exchange *exchange)
{
    return exchange->format != FORMAT_SERVICE &&
           pgw_loss_is_candidate(&upstream->entry->loss, exchange->charge_us,
                                 pgw_link_heard_us(upstream->link));
}

static uint32_t
count_candidates(const struct upstream *upstream)
{
    uint32_t count = 0;

    pgw_list_foreach (link, &upstream->attempts) {
        count += is_candidate(
            upstream, pgw_container_of(link, struct exchange, at_target));
    }
    return count;
}

static void
mark(struct entry *entry, struct exchange *exchange)
{
    const struct pgw_fingerprint *fingerprint = &exchange->request.fingerprint;
    struct lost_marks *lost = &entry->lost;
    bool recorded;

    exchange->suspect = true;
    if (pgw_suspects_find(entry->suspects, fingerprint, &recorded) == NULL) {
        pgw_suspects_announce(entry->suspects, fingerprint, lost->crash,
                              pgw_hlc_wall_us());
        lost->marks[lost->count++] = *fingerprint;
    }
}

static void
mark_newest(struct upstream *upstream, uint32_t marks)
{
    struct pgw_list *link = upstream->attempts.prev;

    upstream->entry->lost.engine = upstream->engine;
    upstream->entry->lost.crash = crash_number();
    upstream->entry->lost.count = 0;
    for (; marks > 0 && link != &upstream->attempts; link = link->prev) {
        struct exchange *exchange =
            pgw_container_of(link, struct exchange, at_target);

        if (is_candidate(upstream, exchange)) {
            mark(upstream->entry, exchange);
            marks--;
        }
    }
}

/*
 * Failure: a zone goes, and only one of its sidecars has an attempt of this
 * entry. Symptom: the others' silence is found after a minute, so that the
 * break looks like a lone one; its marked attempts are refused where the store
 * cannot be reached, and end although there are engines. Asked, the others
 * are found within the time in which breaks belong together.
 */
static void
ask_others(const struct upstream *upstream)
{
#ifndef PGW_DISABLE_LOST_ASK
    struct entry *entry = upstream->entry;
    GHashTableIter iter;
    gpointer value;
    unsigned asked = 0;

    g_hash_table_iter_init(&iter, entry->upstreams);
    while (asked < ASKED_MAX && g_hash_table_iter_next(&iter, NULL, &value)) {
        struct upstream *other = value;

        if (other != upstream && !other->is_seed && upstream_can_talk(other) &&
            strcmp(other->zone, upstream->zone) == 0) {
            upstream_ask(other);
            asked++;
        }
    }
#else
    (void)upstream;
#endif
}

bool
lost_is_open(struct entry *entry)
{
    pgw_list_foreach_safe (link, &entry->lost.asked) {
        struct upstream *upstream =
            pgw_container_of(link, struct upstream, asked);

        if (!upstream_can_talk(upstream) ||
            pgw_link_heard_us(upstream->link) >= upstream->asked_us) {
            pgw_list_remove(link);
        }
    }
    return !pgw_list_is_empty(&entry->lost.asked);
}

void
lost_mark(struct upstream *upstream)
{
    struct entry *entry = upstream->entry;
    uint32_t marks;

    if (!upstream->greeted || upstream->is_seed) {
        return;
    }
    if (!pgw_loss_record_break(&marks, &entry->loss,
                               count_candidates(upstream), pgw_now_us())) {
        take_back(entry);
    }
#ifndef PGW_DISABLE_QUARANTINE_LOST
    /*
     * Failure: a request takes the machine along, so that no sidecar reports
     * the crash. Symptom: two machines are lost each time that it is sent.
     * Its next attempt carries the suspicion with it and runs alone under the
     * store's permit; if that machine goes as well, the permit runs out and
     * counts as the second crash.
     */
    if (marks > 0) {
        mark_newest(upstream, marks);
        ask_others(upstream);
    }
#endif
}

void
lost_take_state(struct upstream *upstream, bool alive, uint64_t engine)
{
    struct entry *entry = upstream->entry;

    upstream->engine = engine;
    /* An engine that died is reported by its sidecar, if that lives. */
    if (entry->lost.count > 0 && alive && engine == entry->lost.engine) {
        take_back(entry);
    }
}
