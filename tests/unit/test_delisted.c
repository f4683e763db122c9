#include "gateway/upstream/delisted.h"

#define NOW UINT64_C(100000000)
#define SECOND UINT64_C(1000000)

static const struct pgw_delisted_options options = {
    .single_grace_us = SECOND,
    .mass_grace_us = 3 * SECOND / 2,
    .recovering_us = 13 * SECOND / 10,
    .relist_us = 11 * SECOND / 5,
};

static const struct pgw_list_disruption undisrupted;

static struct pgw_upstream *
put(struct pgw_upstream_table *table, unsigned number)
{
    char id[8];
    char address[32];
    struct pgw_upstream_facts facts = {
        .id = id,
        .service = "s",
        .address = address,
        .zone = "a",
        .slots = 4,
    };

    g_snprintf(id, sizeof(id), "u%u", number);
    g_snprintf(address, sizeof(address), "127.0.0.1:%u", 1000 + number);
    return pgw_upstream_table_put(table, &facts);
}

/*
 * The upstreams of a pool are replaced one after the other, about one a
 * second, and vanish without having announced a drain. Each stays usable for
 * one second, however many follow: it no longer exists after that, and
 * requests sent to it would fail.
 */
static void
test_grace_periods_are_independent(void)
{
    struct pgw_upstream_table *table = pgw_upstream_table_new("a");

    for (unsigned i = 0; i < 12; i++) {
        put(table, i);
    }
    for (unsigned i = 0; i < 8; i++) {
        uint64_t now = NOW + i * SECOND * 9 / 10;
        char id[8];

        g_snprintf(id, sizeof(id), "u%u", i);
        pgw_delisted_add(table, pgw_upstream_table_find(table, id),
                         &undisrupted, &options, now);
        pgw_delisted_sweep(table, now);
        if (i >= 2) {
            g_snprintf(id, sizeof(id), "u%u", i - 2);
            g_assert_null(pgw_upstream_table_find(table, id));
        }
    }
    pgw_upstream_table_free(table);
}

/*
 * The store recovers, and its list loses the upstreams one after the other.
 * All stay usable until those that are alive are listed again, and no longer.
 */
static void
test_store_recovers(void)
{
    struct pgw_upstream_table *table = pgw_upstream_table_new("a");
    struct pgw_upstream *first = put(table, 0);
    struct pgw_upstream *second = put(table, 1);
    struct pgw_list_disruption disruption = {
        .began_us = NOW - 2 * SECOND,
        .failed_us = NOW - SECOND / 2,
        .ended_us = NOW,
        .is_catching_up = true,
    };

    pgw_delisted_add(table, first, &disruption, &options, NOW);
    g_assert_false(pgw_delisted_sweep(table, NOW + SECOND / 5));
    disruption.is_catching_up = false;
    pgw_delisted_add(table, second, &disruption, &options, NOW + SECOND / 2);
    g_assert_false(pgw_delisted_sweep(table, NOW + 2 * SECOND));
    put(table, 1);
    g_assert_true(pgw_delisted_sweep(table, NOW + 11 * SECOND / 5));
    g_assert_null(pgw_upstream_table_find(table, "u0"));
    g_assert_false(pgw_delisted_sweep(table, NOW + 9 * SECOND));
    g_assert_nonnull(pgw_upstream_table_find(table, "u1"));
    pgw_upstream_table_free(table);
}

/* Guards against requests to an upstream after its drain time, since an entry
 * that was cut off alone takes the list for one that has just recovered. */
static void
test_leaving_after_a_cut(void)
{
    struct pgw_upstream_table *table = pgw_upstream_table_new("a");
    struct pgw_upstream *upstream = put(table, 0);
    const struct pgw_list_disruption disruption = {
        .began_us = NOW - SECOND,
        .failed_us = NOW,
        .ended_us = NOW + SECOND / 5,
    };

    put(table, 1);
    put(table, 2);
    pgw_delisted_add(table, upstream, &disruption, &options,
                     NOW + 6 * SECOND / 5);
    g_assert_true(pgw_upstream_is_usable(upstream, NOW + 2 * SECOND));
    g_assert_false(pgw_upstream_is_usable(upstream, NOW + 27 * SECOND / 10));
    pgw_upstream_table_free(table);
}

/* Guards against requests to an upstream that left while an entry was cut off,
 * long before the entry hears of it. */
static void
test_leaving_during_a_cut(void)
{
    struct pgw_upstream_table *table = pgw_upstream_table_new("a");
    struct pgw_upstream *upstream = put(table, 0);
    const struct pgw_list_disruption disruption = {
        .began_us = NOW - 6 * SECOND,
        .failed_us = NOW - SECOND / 5,
        .ended_us = NOW,
        .is_catching_up = true,
    };

    put(table, 1);
    put(table, 2);
    pgw_delisted_add(table, upstream, &disruption, &options, NOW);
    g_assert_false(pgw_upstream_is_usable(upstream, NOW));
    pgw_upstream_table_free(table);
}

/* Guards against a release during a cut that looks like a list without its
 * upstreams: new ones are listed, and as many have left. */
static void
test_release_during_a_cut(void)
{
    struct pgw_upstream_table *table = pgw_upstream_table_new("a");
    struct pgw_upstream *upstreams[12];
    const struct pgw_list_disruption disruption = {
        .began_us = NOW - 6 * SECOND,
        .failed_us = NOW - SECOND / 5,
        .ended_us = NOW,
        .is_catching_up = true,
    };

    for (unsigned i = 0; i < 12; i++) {
        upstreams[i] = put(table, i);
        upstreams[i]->added_us = i < 6 ? NOW - 60 * SECOND : NOW;
    }
    for (unsigned i = 0; i < 6; i++) {
        pgw_delisted_add(table, upstreams[i], &disruption, &options, NOW);
    }
    for (unsigned i = 0; i < 6; i++) {
        g_assert_false(pgw_upstream_is_usable(upstreams[i], NOW));
    }
    /* Others that vanish later do not bring them back. */
    pgw_delisted_add(table, upstreams[6], &undisrupted, &options, NOW);
    g_assert_false(pgw_upstream_is_usable(upstreams[0], NOW));
    pgw_upstream_table_free(table);
}

/* A third of the pool is delisted at once. The grace period is longer, but no
 * longer than the one for mass delisting. */
static void
test_mass_delisting(void)
{
    struct pgw_upstream_table *table = pgw_upstream_table_new("a");
    struct pgw_upstream *upstreams[6];

    for (unsigned i = 0; i < 6; i++) {
        upstreams[i] = put(table, i);
    }
    pgw_delisted_add(table, upstreams[0], &undisrupted, &options, NOW);
    pgw_delisted_add(table, upstreams[1], &undisrupted, &options, NOW);
    g_assert_false(pgw_delisted_sweep(table, NOW + SECOND));
    pgw_delisted_add(table, upstreams[2], &undisrupted, &options,
                     NOW + SECOND);
    g_assert_true(pgw_delisted_sweep(table, NOW + 3 * SECOND / 2));
    g_assert_null(pgw_upstream_table_find(table, "u0"));
    g_assert_nonnull(pgw_upstream_table_find(table, "u2"));
    pgw_upstream_table_free(table);
}

/* Guards against grace periods that are longer than what is left of the drain
 * time when a slow watch has delivered the delisting. */
static void
test_grace_periods_keep_drain_times(void)
{
    /* Drain time, and how late a delisting is heard, in ms. */
    static const uint64_t bounds_ms[][2] = {
        {1000, 350}, {2000, 350}, {3000, 850}, {4000, 1350}, {10000, 4350},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(bounds_ms); i++) {
        const struct pgw_delisted_bounds bounds = {
            .drain_us = bounds_ms[i][0] * 1000,
            .heard_us = bounds_ms[i][1] * 1000,
        };
        uint64_t left_us = bounds.drain_us - bounds.heard_us - SECOND / 10;
        struct pgw_delisted_options periods;

        pgw_delisted_options_init(&periods, &bounds);
        g_assert_cmpuint(periods.single_grace_us, <=, left_us);
        g_assert_cmpuint(periods.mass_grace_us, <=, left_us);
        g_assert_cmpuint(periods.mass_grace_us, >=, periods.single_grace_us);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/delisted/grace_periods_are_independent",
                    test_grace_periods_are_independent);
    g_test_add_func("/delisted/store_recovers", test_store_recovers);
    g_test_add_func("/delisted/leaving_after_a_cut", test_leaving_after_a_cut);
    g_test_add_func("/delisted/leaving_during_a_cut",
                    test_leaving_during_a_cut);
    g_test_add_func("/delisted/release_during_a_cut",
                    test_release_during_a_cut);
    g_test_add_func("/delisted/grace_periods_keep_drain_times",
                    test_grace_periods_keep_drain_times);
    g_test_add_func("/delisted/mass_delisting", test_mass_delisting);
    return g_test_run();
}
