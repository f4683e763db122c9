#include "gateway/placement/lanes.h"

#define SECOND_US UINT64_C(1000000)
#define NOW (UINT64_C(100) * SECOND_US)

static const struct pgw_lanes_options options = PGW_LANES_OPTIONS_INIT;

struct pool {
    struct pgw_upstream_table *table;
    const struct pgw_upstream_pool *pool;
    struct pgw_lanes lanes;
    uint64_t now_us;
};

/* @per_zone engines in each of two zones; the entry is in "a". */
static void
pool_init(struct pool *pool, unsigned per_zone)
{
    *pool = (struct pool){.now_us = NOW};
    pool->table = pgw_upstream_table_new("a");
    for (unsigned i = 0; i < 2 * per_zone; i++) {
        char id[16];
        char address[32];
        struct pgw_upstream_facts facts = {
            .id = id,
            .service = "s",
            .address = address,
            .zone = i % 2 == 0 ? "a" : "b",
            .slots = 48,
        };

        g_snprintf(id, sizeof(id), "e%u", i);
        g_snprintf(address, sizeof(address), "10.0.0.%u:80", i + 1);
        pgw_upstream_table_put(pool->table, &facts);
    }
    pool->pool = pgw_upstream_table_pool(pool->table, "s");
}

static void
pool_dispose(struct pool *pool)
{
    pgw_upstream_table_free(pool->table);
}

static struct pgw_upstream *
engine(const struct pool *pool, unsigned index)
{
    char id[16];

    g_snprintf(id, sizeof(id), "e%u", index);
    return pgw_upstream_table_find(pool->table, id);
}

/* Long prompts are pending at @busy engines of the entry's zone for @ms, while
 * the entry sends as many tokens of short prompts as @short_tokens, and
 * @long_tokens of long ones, each 100 ms. */
static void
play(struct pool *pool, unsigned busy, uint32_t short_tokens,
     uint32_t long_tokens, unsigned ms)
{
    for (unsigned i = 0; i < pool->pool->local->len; i++) {
        ((struct pgw_upstream *)g_ptr_array_index(pool->pool->local, i))
            ->long_prefills = i < busy;
    }
    for (unsigned i = 0; i < ms / 100; i++) {
        pool->now_us += PGW_LANES_INTERVAL_US;
        for (uint32_t left = short_tokens; left > 0; left -= MIN(left, 400)) {
            pgw_lanes_count_prompt(&pool->lanes, &options, MIN(left, 400), 400,
                                   pool->now_us);
        }
        if (long_tokens > 0) {
            pgw_lanes_count_prompt(&pool->lanes, &options, long_tokens,
                                   long_tokens, pool->now_us);
        }
        pgw_lanes_update(&pool->lanes, &options, pool->pool, pool->now_us);
    }
}

static unsigned
count(const struct pool *pool, const char *zone, enum pgw_lane lane)
{
    unsigned found = 0;

    for (unsigned i = 0; i < pool->pool->all->len; i++) {
        const struct pgw_upstream *upstream =
            g_ptr_array_index(pool->pool->all, i);

        found += g_str_equal(upstream->zone, zone) && upstream->lane == lane;
    }
    return found;
}

/* Guards against a division of a pool that has room for all. */
static void
test_idle_pool_is_not_divided(void)
{
    struct pool pool;

    pool_init(&pool, 10);
    play(&pool, 1, 4000, 14000, 5000);
    g_assert_false(pool.lanes.divided);
    g_assert_cmpuint(count(&pool, "a", PGW_LANE_NONE), ==, 10);
    pool_dispose(&pool);
}

/* Guards against short streams that pause beside long prompts: while long ones
 * keep most engines busy, each kind has engines in each zone, by its work. */
static void
test_busy_pool_is_divided_by_work(void)
{
    struct pool pool;
    unsigned few;

    pool_init(&pool, 10);
    play(&pool, 8, 4000, 28000, 3000);
    g_assert_true(pool.lanes.divided);
    few = count(&pool, "a", PGW_LANE_SHORT);
    g_assert_cmpuint(few, >=, 1);
    g_assert_cmpuint(few, <=, 3);
    g_assert_cmpuint(count(&pool, "b", PGW_LANE_SHORT), ==, few);
    g_assert_cmpuint(count(&pool, "b", PGW_LANE_LONG), ==, 10 - few);
    play(&pool, 8, 28000, 28000, 9000);
    g_assert_cmpuint(count(&pool, "a", PGW_LANE_SHORT), >, few);
    g_assert_cmpuint(count(&pool, "a", PGW_LANE_SHORT), <=, 5);
    pool_dispose(&pool);
}

/* Guards against short prompts that pause for seconds until the division
 * begins when demand rises, and against a division that outlasts the rise. */
static void
test_division_follows_load(void)
{
    struct pool pool;

    pool_init(&pool, 10);
    play(&pool, 0, 4000, 0, 2000);
    play(&pool, 8, 4000, 28000, 500);
    g_assert_true(pool.lanes.divided);
    play(&pool, 0, 4000, 0, 3000);
    g_assert_false(pool.lanes.divided);
    g_assert_cmpuint(count(&pool, "a", PGW_LANE_NONE), ==, 10);
    pool_dispose(&pool);
}

/* Guards against entries that disagree on what an engine is for: with other
 * shares of the same traffic their lanes differ by few engines. */
static void
test_entries_agree(void)
{
    struct pool one;
    struct pool other;
    unsigned differences = 0;

    pool_init(&one, 20);
    pool_init(&other, 20);
    play(&one, 16, 4000, 28000, 3000);
    play(&other, 14, 5000, 30000, 3000);
    for (unsigned i = 0; i < 40; i++) {
        differences += engine(&one, i)->lane != engine(&other, i)->lane;
    }
    g_assert_cmpuint(differences, <=, 4);
    pool_dispose(&one);
    pool_dispose(&other);
}

/* Guards against a lane of engines that are gone: when a third of a zone
 * vanishes or falls silent, the lanes are formed anew from the others. */
static void
test_lost_engines_leave_their_lane(void)
{
    struct pool pool;

    pool_init(&pool, 9);
    play(&pool, 7, 4000, 28000, 3000);
    for (unsigned i = 0, lost = 0; i < 18 && lost < 3; i += 2) {
        if (engine(&pool, i)->lane == PGW_LANE_SHORT || lost > 0) {
            engine(&pool, i)->last_seen_us = NOW - 5 * SECOND_US;
            lost++;
        }
    }
    play(&pool, 5, 4000, 28000, 200);
    g_assert_cmpuint(count(&pool, "a", PGW_LANE_SHORT), >=, 1);
    g_assert_cmpuint(count(&pool, "a", PGW_LANE_NONE), ==, 3);
    pool_dispose(&pool);
}

/* Guards against a zone whose only engine is kept from one kind. */
static void
test_single_engine_serves_both(void)
{
    struct pool pool;

    pool_init(&pool, 1);
    play(&pool, 1, 4000, 28000, 3000);
    g_assert_cmpuint(count(&pool, "a", PGW_LANE_NONE), ==, 1);
    pool_dispose(&pool);
}

/* Guards against a pool with long prompts only that keeps engines free. */
static void
test_one_kind_is_not_divided(void)
{
    struct pool pool;

    pool_init(&pool, 10);
    play(&pool, 9, 0, 28000, 3000);
    g_assert_cmpuint(count(&pool, "a", PGW_LANE_SHORT), ==, 0);
    pool_dispose(&pool);
}

/* Guards against a division that stays when no route promises pauses any
 * more, and against one that ends between two requests. */
static void
test_unneeded_division_expires(void)
{
    struct pool pool;

    pool_init(&pool, 10);
    play(&pool, 8, 4000, 28000, 3000);
    pgw_lanes_expire(&pool.lanes, &options, pool.pool,
                     pool.now_us + options.window_us - 1);
    g_assert_true(pool.lanes.divided);
    g_assert_cmpuint(count(&pool, "a", PGW_LANE_NONE), ==, 0);
    pgw_lanes_expire(&pool.lanes, &options, pool.pool,
                     pool.now_us + options.window_us);
    g_assert_false(pool.lanes.divided);
    g_assert_cmpuint(count(&pool, "a", PGW_LANE_NONE), ==, 10);
    g_assert_cmpuint(count(&pool, "b", PGW_LANE_NONE), ==, 10);
    pool_dispose(&pool);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/lanes/idle_pool_is_not_divided",
                    test_idle_pool_is_not_divided);
    g_test_add_func("/lanes/busy_pool_is_divided_by_work",
                    test_busy_pool_is_divided_by_work);
    g_test_add_func("/lanes/division_follows_load",
                    test_division_follows_load);
    g_test_add_func("/lanes/entries_agree", test_entries_agree);
    g_test_add_func("/lanes/lost_engines_leave_their_lane",
                    test_lost_engines_leave_their_lane);
    g_test_add_func("/lanes/single_engine_serves_both",
                    test_single_engine_serves_both);
    g_test_add_func("/lanes/one_kind_is_not_divided",
                    test_one_kind_is_not_divided);
    g_test_add_func("/lanes/unneeded_division_expires",
                    test_unneeded_division_expires);
    return g_test_run();
}
