#include "gateway/upstream/delisted.h"
#include "util/log.h"

/* If more than this share of all upstreams is delisted at once, the list is
 * probably wrong. */
#define MASS_LOSS_SHARE 0.25
/* An upstream that was delisted alone is used for this share of its drain
 * time, in case the list is wrong. */
#define SINGLE_GRACE_SHARE 0.5
/* Of the drain time, beside how late a delisting is heard: 50 ms for the
 * answer of the store, 100 ms for a request to reach the upstream. */
#define DELIVERY_US 150000ULL
/* More of a service than is taken away at once: a zone of three. */
#define LAPSED_SHARE 0.35
/* A service of three may lose one upstream. */
#define LAPSED_MIN 2
/* Upstreams that were delisted while the store was unreachable are listed
 * again two seconds after its recovery; a tenth more for the delivery. */
#define RELIST_US 2200000
/* The store may have recovered up to the timeout of a call before that call
 * failed, and checks for missed heartbeats in between. */
#define RECOVERING_US 1300000

void
pgw_delisted_options_init(struct pgw_delisted_options *out,
                          const struct pgw_delisted_bounds *bounds)
{
    *out = (struct pgw_delisted_options){
        .single_grace_us =
            (uint64_t)((double)bounds->drain_us * SINGLE_GRACE_SHARE),
        .mass_grace_us = bounds->drain_us -
                         MIN(bounds->heard_us + DELIVERY_US, bounds->drain_us),
        .recovering_us = RECOVERING_US,
        .relist_us = RELIST_US,
    };
}

static bool
is_mass_loss(struct pgw_upstream_table *table)
{
    unsigned delisted = 0;
    unsigned total = 0;

    pgw_list_foreach (item, pgw_upstream_table_all(table)) {
        delisted += pgw_container_of(item, struct pgw_upstream, in_table)
                        ->delisted_until_us > 0;
        total++;
    }
    return (double)delisted > (double)total * MASS_LOSS_SHARE;
}

/* Applies the grace period of the last delisted upstream to all delisted ones,
 * each counted from its own delisting. */
static void
extend_grace_periods(struct pgw_upstream_table *table, uint64_t grace_us)
{
    pgw_list_foreach (item, pgw_upstream_table_all(table)) {
        struct pgw_upstream *upstream =
            pgw_container_of(item, struct pgw_upstream, in_table);

        if (upstream->delisted_until_us > 0 &&
            !upstream->delisting_was_missed) {
            upstream->delisted_until_us =
                MAX(upstream->delisted_until_us,
                    upstream->delisted_at_us + grace_us);
        }
    }
}

bool
pgw_list_is_recovering(const struct pgw_list_disruption *disruption,
                       const struct pgw_delisted_options *options,
                       uint64_t now_us)
{
    return disruption->began_us > 0 &&
           (disruption->ended_us == 0 ||
            now_us < disruption->failed_us + options->recovering_us);
}

static bool
is_delisted_since(const struct pgw_upstream *upstream, uint64_t since_us)
{
    return upstream->delisted_until_us > 0 &&
           upstream->delisted_at_us >= since_us;
}

/* Whether the list lacks so many upstreams of a service since the disruption
 * began that they have hardly left. New ones stand for as many that have: a
 * release lists the new one first. */
static bool
has_lapsed(const struct pgw_upstream_pool *pool,
           const struct pgw_list_disruption *disruption)
{
    unsigned lost = 0;
    unsigned added = 0;

    for (guint i = 0; i < pool->all->len; i++) {
        const struct pgw_upstream *upstream = g_ptr_array_index(pool->all, i);

        lost += is_delisted_since(upstream, disruption->began_us);
        added += upstream->added_us >= disruption->began_us;
    }
    return lost >= added + LAPSED_MIN &&
           lost - added > (pool->all->len - added) * LAPSED_SHARE;
}

static void
use_until_listed_again(const struct pgw_upstream_pool *pool,
                       const struct pgw_list_disruption *disruption,
                       uint64_t until_us)
{
    for (guint i = 0; i < pool->all->len; i++) {
        struct pgw_upstream *upstream = g_ptr_array_index(pool->all, i);

        if (is_delisted_since(upstream, disruption->began_us)) {
            upstream->delisted_until_us =
                MAX(upstream->delisted_until_us, until_us);
        }
    }
}

/*
 * Failure: an entry is cut off alone, and an upstream leaves meanwhile or soon
 * afterwards. Symptom: it gets requests after its drain time, which began
 * before the entry heard of it.
 */
void
pgw_delisted_add(struct pgw_upstream_table *table,
                 struct pgw_upstream *upstream,
                 const struct pgw_list_disruption *disruption,
                 const struct pgw_delisted_options *options, uint64_t now_us)
{
    const struct pgw_upstream_pool *pool =
        pgw_upstream_table_pool(table, upstream->service);

    upstream->delisted_at_us = now_us;
    upstream->delisting_was_missed = disruption->is_catching_up;
    upstream->delisted_until_us = disruption->is_catching_up
                                      ? now_us
                                      : now_us + options->single_grace_us;
    if (pgw_list_is_recovering(disruption, options, now_us) &&
        has_lapsed(pool, disruption)) {
        use_until_listed_again(
            pool, disruption,
            (disruption->ended_us == 0 ? now_us : disruption->ended_us) +
                options->relist_us);
    }
    else if (!disruption->is_catching_up && is_mass_loss(table)) {
        extend_grace_periods(table, options->mass_grace_us);
    }
}

/* One whose delisting was missed stays to be counted by has_lapsed(). */
static bool
is_due(const struct pgw_upstream *upstream, uint64_t now_us)
{
    return upstream->delisted_until_us > 0 &&
           now_us >= upstream->delisted_until_us &&
           (!upstream->delisting_was_missed ||
            now_us >= upstream->delisted_at_us + RECOVERING_US);
}

bool
pgw_delisted_sweep(struct pgw_upstream_table *table, uint64_t now_us)
{
    bool any_removed = false;

    pgw_list_foreach_safe (item, pgw_upstream_table_all(table)) {
        struct pgw_upstream *upstream =
            pgw_container_of(item, struct pgw_upstream, in_table);

        if (is_due(upstream, now_us)) {
            pgw_log_info(
                "upstream_removed", "upstream=%s since_ms=%" G_GUINT64_FORMAT,
                upstream->id, (now_us - upstream->delisted_at_us) / 1000);
            pgw_upstream_table_remove(table, upstream);
            any_removed = true;
        }
    }
    return any_removed;
}
