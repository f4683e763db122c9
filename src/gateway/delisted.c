#include "gateway/delisted.h"
#include "util/log.h"

/* More than this share of all upstreams gone at once is the list's fault. */
#define MANY_SHARE 0.25

static bool
are_many(struct pgw_upstream_table *table)
{
    unsigned lapsed = 0;
    unsigned total = 0;

    pgw_list_foreach (item, pgw_upstream_table_all(table)) {
        lapsed += pgw_container_of(item, struct pgw_upstream, in_table)
                      ->delisted_until_us > 0;
        total++;
    }
    return (double)lapsed > (double)total * MANY_SHARE;
}

/* What holds for the one that vanished last holds for those before, too. */
static void
prolong_all(struct pgw_upstream_table *table, uint64_t keep_us)
{
    pgw_list_foreach (item, pgw_upstream_table_all(table)) {
        struct pgw_upstream *upstream =
            pgw_container_of(item, struct pgw_upstream, in_table);

        if (upstream->delisted_until_us > 0) {
            upstream->delisted_until_us =
                MAX(upstream->delisted_until_us,
                    upstream->delisted_at_us + keep_us);
        }
    }
}

void
pgw_delisted_add(struct pgw_upstream_table *table,
                 struct pgw_upstream *upstream, bool in_trouble,
                 const struct pgw_delisted_options *options, uint64_t now_us)
{
    upstream->delisted_at_us = now_us;
    upstream->delisted_until_us = now_us + options->single_grace_us;
    if (in_trouble) {
        prolong_all(table, options->store_recovery_grace_us);
    }
    else if (are_many(table)) {
        prolong_all(table, options->mass_grace_us);
    }
}

bool
pgw_delisted_sweep(struct pgw_upstream_table *table, uint64_t now_us)
{
    bool any = false;

    pgw_list_foreach_safe (item, pgw_upstream_table_all(table)) {
        struct pgw_upstream *upstream =
            pgw_container_of(item, struct pgw_upstream, in_table);

        if (upstream->delisted_until_us > 0 &&
            now_us >= upstream->delisted_until_us) {
            pgw_log_info(
                "upstream_removed", "upstream=%s since_ms=%" G_GUINT64_FORMAT,
                upstream->id, (now_us - upstream->delisted_at_us) / 1000);
            pgw_upstream_table_remove(table, upstream);
            any = true;
        }
    }
    return any;
}
