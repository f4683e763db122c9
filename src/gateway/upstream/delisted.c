#include "gateway/upstream/delisted.h"
#include "util/log.h"

/* If more than this share of all upstreams is delisted at once, the list is
 * probably wrong. */
#define MASS_LOSS_SHARE 0.25

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

        if (upstream->delisted_until_us > 0) {
            upstream->delisted_until_us =
                MAX(upstream->delisted_until_us,
                    upstream->delisted_at_us + grace_us);
        }
    }
}

void
pgw_delisted_add(struct pgw_upstream_table *table,
                 struct pgw_upstream *upstream, bool store_recovering,
                 const struct pgw_delisted_options *options, uint64_t now_us)
{
    upstream->delisted_at_us = now_us;
    upstream->delisted_until_us = now_us + options->single_grace_us;
    if (store_recovering) {
        extend_grace_periods(table, options->store_recovery_grace_us);
    }
    else if (is_mass_loss(table)) {
        extend_grace_periods(table, options->mass_grace_us);
    }
}

bool
pgw_delisted_sweep(struct pgw_upstream_table *table, uint64_t now_us)
{
    bool any_removed = false;

    pgw_list_foreach_safe (item, pgw_upstream_table_all(table)) {
        struct pgw_upstream *upstream =
            pgw_container_of(item, struct pgw_upstream, in_table);

        if (upstream->delisted_until_us > 0 &&
            now_us >= upstream->delisted_until_us) {
            pgw_log_info(
                "upstream_removed", "upstream=%s since_ms=%" G_GUINT64_FORMAT,
                upstream->id, (now_us - upstream->delisted_at_us) / 1000);
            pgw_upstream_table_remove(table, upstream);
            any_removed = true;
        }
    }
    return any_removed;
}
